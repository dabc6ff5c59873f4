"""Stops the requests of withdrawn keys.

As soon as this VM learns that a key was withdrawn, it admits no request with
it and refuses those that wait for a slot.  Running requests may finish within
a grace period and are then cancelled.
"""

import asyncio
import typing

from filbertstep import _admission
from filbertstep import _exchange
from filbertstep import delivery
from filbertstep import errors
from filbertstep import metrics

# Running requests are cancelled this long after this VM has found that their
# key was withdrawn.
WITHDRAWN_KEY_GRACE_S: typing.Final = 5.0


class ActiveRequest:
    """An admitted request that is not finished.

    ``request_id`` is set once the body was read, ``withdrawn_at`` when the
    key is found to be withdrawn, and ``stream_task`` while the response is
    streamed to the caller.
    """

    def __init__(self, admitted: _admission.AdmittedRequest) -> None:
        self.admitted = admitted
        self.request_id = ''
        self.withdrawn_at: float | None = None
        self.stream_task: asyncio.Task[typing.Any] | None = None


class WithdrawnKeyMonitor:
    """Tracks active requests and stops those whose key was withdrawn."""

    def __init__(
        self,
        admission: _admission.Admission,
        executor: _exchange.RequestExecutor,
        forwarder: delivery.Forwarder,
        counters: metrics.Metrics,
    ) -> None:
        self.admission = admission
        self.executor = executor
        self.forwarder = forwarder
        self.counters = counters
        self.active_requests: dict[int, ActiveRequest] = {}
        self.checked_view_index = -1

    def tick(self, now: float) -> None:
        """Check keys after a configuration change; cancel overdue requests.

        Also drops the retry budgets of removed services.
        """
        views = self.admission.views
        if views.head_index() != self.checked_view_index:
            self.checked_view_index = views.head_index()
            newest = views.newest
            if newest is not None:
                retry_budget = self.executor.attempt_runner.retry_budget
                retry_budget.retain_services(newest.config.services.keys())
            self.refuse_queued_requests(now)
            for active_request in self.active_requests.values():
                if active_request.withdrawn_at is None and not (
                    self.admission.is_still_authorized(
                        active_request.admitted, now
                    )
                ):
                    active_request.withdrawn_at = now
        for active_request in list(self.active_requests.values()):
            withdrawn_at = active_request.withdrawn_at
            if (
                withdrawn_at is not None
                and now - withdrawn_at >= WITHDRAWN_KEY_GRACE_S
            ):
                self.cancel_request(active_request)

    def refuse_queued_requests(self, now: float) -> None:
        """Refuse requests of withdrawn keys that wait for a slot."""
        views = self.admission.views
        self.executor.attempt_runner.dispatcher.refuse_waiting(
            lambda request: (
                request.api_key_digest is not None
                and request.client_account
                != views.key_account(request.api_key_digest, now)
                and request.client_account != _admission.OPEN_ACCOUNT
            ),
            errors.Failure(
                errors.ErrorKind.UNAUTHORIZED, 'the key was withdrawn'
            ),
        )

    def cancel_request(self, active_request: ActiveRequest) -> None:
        """Cancel a request, or the streaming of its response."""
        self.counters.events.labels('withdrawn_answer_cut').inc()
        if active_request.stream_task is not None:
            active_request.stream_task.cancel()
        else:
            self.forwarder.cancel(active_request.request_id)
