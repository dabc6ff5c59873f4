"""Queues of requests that wait on this VM for a slot of a server.

Each service has a queue, ordered by priority and then by the time at which
the answer should arrive.  A waiting request counts as load of the server that
is currently best for it, so that the next request sees a longer queue there.
"""

import asyncio
import typing

from filbertstep.steering import _placement


class WaitingRequest:
    """A request that waits for a slot.

    ``target_time`` is when its answer should arrive, ``deadline`` when its
    wait ends.  The future resolves to the server to use, with a slot reserved,
    or to None: at the deadline, or as soon as there is no server that wants
    any request.
    """

    def __init__(
        self,
        query: _placement.PlacementQuery,
        priority: int,
        arrived_at: float,
        target_time: float,
        deadline: float,
    ) -> None:
        self.query = query
        self.sort_key = (priority, target_time, arrived_at)
        self.deadline = deadline
        self.future: asyncio.Future[_placement.Candidate | None] = (
            asyncio.get_running_loop().create_future()
        )


class WaitQueue:
    """Waiting requests by service, sorted in the order of their dispatch."""

    def __init__(self, placement: _placement.Placement) -> None:
        self.placement = placement
        self.queues: dict[str, list[WaitingRequest]] = {}

    def length(self, service: str) -> int:
        """Return the number of waiting requests of a service."""
        return len(self.queues.get(service, ()))

    def add(self, request: WaitingRequest) -> None:
        """Add a request to the queue of its service."""
        queue = self.queues.setdefault(request.query.service, [])
        queue.append(request)
        queue.sort(key=lambda queued: queued.sort_key)

    def discard(self, request: WaitingRequest) -> None:
        """Remove a request if it is still queued.

        Its caller has disconnected, or its wait has ended.
        """
        queue = self.queues.get(request.query.service, [])
        if request in queue:
            queue.remove(request)

    def limit_waits(self, deadline: float) -> None:
        """End all waits at a time that is given, or before."""
        for queue in self.queues.values():
            for request in queue:
                request.deadline = min(request.deadline, deadline)

    def dispatch(self, service: str, now: float) -> None:
        """Dispatch the requests that can be sent, and end expired waits.

        Must run whenever a slot may have become free, and from time to time
        for the deadlines.
        """
        queue = self.queues.get(service)
        if queue is None:
            return
        servers = self.placement.table.by_service.get(service, {})
        for server in servers.values():
            server.waiting_requests = 0
        remaining = []
        for request in queue:
            if request.future.done():
                continue
            if now >= request.deadline:
                request.future.set_result(None)
                continue
            candidate = self.placement.best_candidate(request.query, now)
            if candidate is not None and candidate.can_send_now:
                # Reserve the slot here: the task of the request runs only
                # later, and the next request must not get the same slot.
                reserve_slot(candidate, now)
                request.future.set_result(candidate)
                continue
            if candidate is not None:
                candidate.server.waiting_requests += 1
            elif self.placement.accepting_from(request.query, now) > now:
                request.future.set_result(None)
                continue
            remaining.append(request)
        if remaining:
            self.queues[service] = remaining
        else:
            # The counts of waiting requests were reset above.
            del self.queues[service]


def reserve_slot(candidate: _placement.Candidate, now: float) -> None:
    """Reserve a slot of a server for a request that is about to be sent."""
    server = candidate.server
    server.in_progress += 1
    server.last_sent_at = now
    if server.is_cold(now):
        server.last_cold_sent_at = now
