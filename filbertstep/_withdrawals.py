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
WITHDRAWN_GRACE_S: typing.Final = 5.0


class Activity:
    """A request that this VM is working on."""

    def __init__(self, admitted: _admission.Admitted) -> None:
        self.admitted = admitted
        self.request_id = ''
        self.withdrawn_at: float | None = None
        self.stream_task: asyncio.Task[typing.Any] | None = None


class Withdrawals:
    """Requests that this VM works on, and their end when keys go."""

    def __init__(
        self,
        admission: _admission.Admission,
        exchange: _exchange.Exchange,
        forwarder: delivery.Forwarder,
        counters: metrics.Metrics,
    ) -> None:
        self.admission = admission
        self.exchange = exchange
        self.forwarder = forwarder
        self.counters = counters
        self.active: dict[int, Activity] = {}
        self.checked_index = -1

    def tick(self, now: float) -> None:
        """End running answers whose key was withdrawn some seconds ago."""
        views = self.admission.views
        if views.index() != self.checked_index:
            self.checked_index = views.index()
            newest = views.newest
            if newest is not None:
                retries = self.exchange.tries.retries
                retries.retain_services(newest.config.services.keys())
            self.refuse_waiting(now)
            for activity in self.active.values():
                if activity.withdrawn_at is None and not (
                    self.admission.still_allowed(activity.admitted, now)
                ):
                    activity.withdrawn_at = now
        for activity in list(self.active.values()):
            since = activity.withdrawn_at
            if since is not None and now - since >= WITHDRAWN_GRACE_S:
                self.cut(activity)

    def refuse_waiting(self, now: float) -> None:
        """Refuse requests that wait for a slot with a withdrawn key."""
        views = self.admission.views
        self.exchange.tries.dispatcher.refuse_waiting(
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

    def cut(self, activity: Activity) -> None:
        """End one answer whose key was withdrawn."""
        self.counters.events.labels('withdrawn_answer_cut').inc()
        if activity.stream_task is not None:
            activity.stream_task.cancel()
        else:
            self.forwarder.cancel(activity.request_id)
