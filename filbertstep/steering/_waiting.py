"""Requests of one service that wait on this VM for a slot.

The order is by priority, then by the latest start that still meets the
target.  Each waiting request counts against the server that it waits for, so
that the next one sees a longer line there.
"""

import asyncio
import typing

from filbertstep.steering import _placement


class Waiter:
    """A request that waits; ``deadline`` bounds its wait.

    The future yields the server to send to, or None when the wait is over
    without one.
    """

    def __init__(
        self,
        question: _placement.Question,
        priority: int,
        arrived: float,
        target: float,
        deadline: float,
    ) -> None:
        self.question = question
        self.order = (priority, target, arrived)
        self.deadline = deadline
        self.future: asyncio.Future[_placement.Candidate | None] = (
            asyncio.get_running_loop().create_future()
        )


class WaitingRoom:
    """Places waiting requests whenever a slot may have become free."""

    def __init__(self, placement: _placement.Placement) -> None:
        self.placement = placement
        self.waiters: dict[str, list[Waiter]] = {}

    def waiting(self, service: str) -> int:
        """Return how many requests of a service wait."""
        return len(self.waiters.get(service, ()))

    def add(self, waiter: Waiter) -> None:
        """Let a request wait."""
        rows = self.waiters.setdefault(waiter.question.service, [])
        rows.append(waiter)
        rows.sort(key=lambda item: item.order)

    def discard(self, waiter: Waiter) -> None:
        """Forget a request whose caller has left or that was started."""
        rows = self.waiters.get(waiter.question.service, [])
        if waiter in rows:
            rows.remove(waiter)

    def run(self, service: str, now: float) -> None:
        """Start what can start and end the waits that are over."""
        rows = self.waiters.get(service)
        if rows is None:
            return
        table = self.placement.table.by_service.get(service, {})
        for row in table.values():
            row.awaited = 0
        remaining = []
        for waiter in rows:
            if waiter.future.done():
                continue
            if now >= waiter.deadline:
                waiter.future.set_result(None)
                continue
            best = self.placement.best(waiter.question, now)
            if best is not None and best.free:
                # The caller's task raises the count of requests in progress
                # only when it runs; until then the place is held here.
                reserve(best, now)
                waiter.future.set_result(best)
                continue
            if best is not None:
                best.row.awaited += 1
            remaining.append(waiter)
        if remaining:
            self.waiters[service] = remaining
        else:
            # Nothing is awaited any more: the counts were cleared above.
            del self.waiters[service]


def reserve(candidate: _placement.Candidate, now: float) -> None:
    """Take a place at a server for a request that is about to be sent."""
    row = candidate.row
    row.in_progress += 1
    row.last_sent = now
    if row.cold(now):
        row.cold_sent = now
