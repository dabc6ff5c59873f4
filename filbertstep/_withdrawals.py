"""Ends the work for withdrawn keys.

A withdrawn key admits nothing from the moment that this VM learns of it.
What was admitted before gets some seconds to finish and is then cut.
"""

import asyncio
import typing

from filbertstep import _admission
from filbertstep import _exchange
from filbertstep import delivery
from filbertstep import errors
from filbertstep import metrics

# Time in seconds after a withdrawal until running answers of the key are cut.
WITHDRAWN_KEY_GRACE_S: typing.Final = 5.0


class ActiveRequest:
    """A request that this VM is working on."""

    def __init__(self, admitted: _admission.AdmittedRequest) -> None:
        self.admitted = admitted
        self.request_id = ''
        self.withdrawn_at: float | None = None
        self.stream_task: asyncio.Task[typing.Any] | None = None


class WithdrawnKeyMonitor:
    """Requests that this VM works on, and their end when keys go."""

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
        """End running answers whose key was withdrawn some seconds ago."""
        views = self.admission.views
        if views.index() != self.checked_view_index:
            self.checked_view_index = views.index()
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
        """Refuse requests that wait for a slot with a withdrawn key."""
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
        """End one answer whose key was withdrawn."""
        self.counters.events.labels('withdrawn_answer_cut').inc()
        if active_request.stream_task is not None:
            active_request.stream_task.cancel()
        else:
            self.forwarder.cancel(active_request.request_id)
