"""Requests of one service that wait on this VM for a slot.

The order is by priority, then by the latest start that still meets the
target.  Each waiting request counts against the server that it waits for, so
that the next one sees a longer line there.
"""

import asyncio
import typing

from filbertstep.steering import _placement


class WaitingRequest:
    """A request that waits; ``deadline`` bounds its wait.

    The future yields the server to send to, or None when the wait is over
    without one.
    """

    def __init__(
        self,
        question: _placement.PlacementQuery,
        priority: int,
        arrived: float,
        target: float,
        deadline: float,
    ) -> None:
        self.request = question
        self.sort_key = (priority, target, arrived)
        self.deadline = deadline
        self.future: asyncio.Future[_placement.Candidate | None] = (
            asyncio.get_running_loop().create_future()
        )


class WaitQueue:
    """Places waiting requests whenever a slot may have become free."""

    def __init__(self, placement: _placement.Placement) -> None:
        self.placement = placement
        self.queues: dict[str, list[WaitingRequest]] = {}

    def length(self, service: str) -> int:
        """Return how many requests of a service wait."""
        return len(self.queues.get(service, ()))

    def add(self, waiter: WaitingRequest) -> None:
        """Let a request wait."""
        rows = self.queues.setdefault(waiter.request.service, [])
        rows.append(waiter)
        rows.sort(key=lambda item: item.sort_key)

    def discard(self, waiter: WaitingRequest) -> None:
        """Forget a request whose caller has left or that was started."""
        rows = self.queues.get(waiter.request.service, [])
        if waiter in rows:
            rows.remove(waiter)

    def dispatch(self, service: str, now: float) -> None:
        """Start what can start and end the waits that are over."""
        rows = self.queues.get(service)
        if rows is None:
            return
        table = self.placement.table.by_service.get(service, {})
        for row in table.values():
            row.waiting_requests = 0
        remaining = []
        for waiter in rows:
            if waiter.future.done():
                continue
            if now >= waiter.deadline:
                waiter.future.set_result(None)
                continue
            best = self.placement.best_candidate(waiter.request, now)
            if best is not None and best.can_send_now:
                # The caller's task raises the count of requests in progress
                # only when it runs; until then the place is held here.
                reserve_slot(best, now)
                waiter.future.set_result(best)
                continue
            if best is not None:
                best.server.waiting_requests += 1
            remaining.append(waiter)
        if remaining:
            self.queues[service] = remaining
        else:
            # Nothing is awaited any more: the counts were cleared above.
            del self.queues[service]


def reserve_slot(candidate: _placement.Candidate, now: float) -> None:
    """Take a place at a server for a request that is about to be sent."""
    row = candidate.server
    row.in_progress += 1
    row.last_sent_at = now
    if row.is_cold(now):
        row.last_cold_sent_at = now
