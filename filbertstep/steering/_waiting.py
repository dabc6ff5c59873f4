"""Queues of requests that wait on this VM for a slot of a server.

Each service has a queue, ordered by priority and then by the time at which
the answer should arrive, or by cost (see ``_overload``).  A waiting request
counts as load of the server that is currently best for it, so that the next
request sees a longer queue there.
"""

import asyncio
import bisect
import collections.abc
import operator
import typing

from filbertstep.steering import _overload
from filbertstep.steering import _placement
from filbertstep.steering import _servers

# Region and allowed regions of a request.
Scope = tuple[str | None, frozenset[str] | None]

# Waiting requests by server.
WaitCounts = dict[_servers.ServerRecord, int]


class WaitingRequest:
    """A request that waits for a slot.

    ``target_time`` is when its answer should arrive, ``deadline`` when its
    wait ends.  The future resolves to the server to use, with a slot reserved,
    or to None: at the deadline, or as soon as there is no server for which it
    is worth waiting.

    ``cost`` is set in a service whose queue is ordered by cost; the wait of a
    request there that has none, or while nothing is known of the slots, ends
    at ``former_deadline``.  A request that is rejected gets None, and
    ``retry_after_s`` tells when its caller may return.
    """

    def __init__(
        self,
        query: _placement.PlacementQuery,
        priority: int,
        arrived_at: float,
        target_time: float,
        deadline: float,
        cost: _overload.RequestCost | None = None,
        former_deadline: float = float('inf'),
    ) -> None:
        self.query = query
        self.priority_key: _overload.SortKey = (
            priority,
            target_time,
            arrived_at,
        )
        self.sort_key: _overload.SortKey = self.priority_key
        self.deadline = deadline
        self.cost = cost
        self.former_deadline = former_deadline
        self.waits_since = arrived_at
        self.goes_first = False
        self.retry_after_s: float | None = None
        self.scope: Scope = (query.region, query.allowed_regions)
        # In the order by cost, the counts of its queue, and the server for
        # which it counts as waiting.
        self.counts: WaitCounts = {}
        self.counted_at: _servers.ServerRecord | None = None
        self.future: asyncio.Future[_placement.Candidate | None] = (
            asyncio.get_running_loop().create_future()
        )

    def count_at(self, server: _servers.ServerRecord | None) -> None:
        """Count as waiting for a server, and no longer for another."""
        if server is self.counted_at:
            return
        if self.counted_at is not None:
            self.counts[self.counted_at] -= 1
        if server is not None:
            self.counts[server] = self.counts.get(server, 0) + 1
        self.counted_at = server


class WaitQueue:
    """Waiting requests by service, sorted in the order of their dispatch."""

    def __init__(self, placement: _placement.Placement) -> None:
        self.placement = placement
        self.queues: dict[str, list[WaitingRequest]] = {}
        # Services whose queues are ordered by cost.
        self.schedules: dict[str, _overload.ServiceSchedule] = {}
        self.counts: dict[str, WaitCounts] = {}

    def order_by_cost(
        self, services: collections.abc.Set[str], now: float
    ) -> None:
        """Order the queues of these services by cost, others by priority."""
        for service in self.schedules.keys() - services:
            del self.schedules[service], self.counts[service]
            queue = self.queues.get(service, [])
            for request in queue:
                request.count_at(None)
                request.sort_key = request.priority_key
                request.deadline = min(
                    request.deadline, request.former_deadline
                )
            queue.sort(key=lambda queued: queued.sort_key)
        for service in services - self.schedules.keys():
            schedule = _overload.ServiceSchedule(now)
            schedule.scopes = {
                request.scope for request in self.queues.get(service, ())
            }
            self.schedules[service] = schedule
            self.counts[service] = {}
            for request in self.queues.get(service, ()):
                request.counts = self.counts[service]
            servers = self.placement.table.by_service.get(service, {})
            for server in servers.values():
                server.waiting_requests = 0

    def plans(self, service: str, now: float) -> bool:
        """Return whether there are plans for the requests of a service.

        There are none without figures on the slots that this VM can use.
        """
        schedule = self.schedules.get(service)
        if schedule is None:
            return False
        self.count_slots(schedule, service, now)
        return schedule.slots() is not None

    def known_slots(self, service: str) -> float | None:
        """Return the slots that plans reckon with, None without any."""
        schedule = self.schedules.get(service)
        slots = None if schedule is None else schedule.slots()
        return None if slots is None else round(slots, 2)

    def length(self, service: str) -> int:
        """Return the number of waiting requests of a service."""
        return len(self.queues.get(service, ()))

    def add(self, request: WaitingRequest) -> None:
        """Add a request to the queue of its service."""
        queue = self.queues.setdefault(request.query.service, [])
        schedule = self.schedules.get(request.query.service)
        if schedule is not None:
            now = request.waits_since
            schedule.supply.advance(now, bool(queue))
            if request.cost is not None:
                schedule.record_arrival(request.cost, now)
            if schedule.has_plan:
                request.sort_key = (
                    schedule.provisional_key(request.cost, now)
                    if request.cost is not None
                    else uncosted_key(request)
                )
            schedule.scopes.add(request.scope)
            request.counts = self.counts[request.query.service]
            bisect.insort(queue, request, key=sort_key_of)
            return
        queue.append(request)
        queue.sort(key=lambda queued: queued.sort_key)

    def start_wait(
        self,
        request: WaitingRequest,
        best: _placement.Candidate,
        now: float,
    ) -> None:
        """Add a request for which ``best`` was found, and dispatch.

        In the order by cost, servers are compared again only if there is a
        free slot.
        """
        service = request.query.service
        schedule = self.schedules.get(service)
        if (
            schedule is not None
            and request.cost is not None
            and not best.can_send_now
            and schedule.is_hopeless(request.cost, now)
        ):
            schedule.record_seen(request.cost, now)
            request.retry_after_s = schedule.reject(request.cost, now)
            request.future.set_result(None)
            return
        self.add(request)
        if schedule is None or best.can_send_now:
            self.dispatch(service, now)
            return
        request.count_at(best.server)
        if self.update_plan(schedule, service, now):
            self.queues[service] = end_rejected(self.queues[service])
        best.server.waiting_requests = self.counts[service][best.server]

    def discard(self, request: WaitingRequest) -> None:
        """Remove a request if it is still queued.

        Its caller has disconnected, or its wait has ended.
        """
        queue = self.queues.get(request.query.service, [])
        if request in queue:
            queue.remove(request)
            request.count_at(None)

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
        schedule = self.schedules.get(service)
        if schedule is not None:
            self.dispatch_by_cost(schedule, service, now)
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
            elif not self.placement.may_wait(request.query, now):
                request.future.set_result(None)
                continue
            remaining.append(request)
        if remaining:
            self.queues[service] = remaining
        else:
            # The counts of waiting requests were reset above.
            del self.queues[service]

    def dispatch_by_cost(
        self, schedule: _overload.ServiceSchedule, service: str, now: float
    ) -> None:
        """Dispatch what can be sent, in the order of the service's plan.

        Servers are compared for the first requests only, so that the cost of
        a dispatch does not grow with the queue.
        """
        schedule.supply.advance(now, True)
        planned = self.update_plan(schedule, service, now)
        queue, counts = self.queues[service], self.counts[service]
        # A request is compared with those before it only.
        for server in counts:
            server.waiting_requests = 0
        scans_all = schedule.wants_scan(now)
        compares_all = scans_all and schedule.wants_comparison_of_all(now)
        compared: dict[Scope, int] = {}
        open_scopes = len(schedule.scopes)
        remaining = []
        place = 0
        for place, request in enumerate(queue, 1):
            count = compared.get(request.scope, 0)
            compares = count < _overload.COMPARED_REQUESTS or compares_all
            if request.future.done() or now >= request.deadline:
                end_wait(request, None)
            elif compares and self.try_send(schedule, request, now):
                compared[request.scope] = max(
                    count, _overload.COMPARED_BEFORE_SEND
                )
            else:
                remaining.append(request)
                compared[request.scope] = count + 1
                if count + 1 == _overload.COMPARED_REQUESTS:
                    open_scopes -= 1
                if open_scopes <= 0 and not compares_all:
                    break
        rest = queue[place:]
        if scans_all:
            ended = [
                request
                for request in rest
                if now >= request.deadline or request.future.done()
            ]
            for request in ended:
                end_wait(request, None)
            if ended:
                rest = [each for each in rest if not each.future.done()]
        remaining += rest
        if compares_all:
            schedule.scopes = {request.scope for request in remaining}
        if planned:
            remaining = end_rejected(remaining)
        for server, waiting in list(counts.items()):
            server.waiting_requests = waiting
            if not waiting:
                del counts[server]
        if remaining:
            self.queues[service] = remaining
        else:
            schedule.record_empty()
            del self.queues[service]

    def try_send(
        self,
        schedule: _overload.ServiceSchedule,
        request: WaitingRequest,
        now: float,
    ) -> bool:
        """Send a request if there is a slot; return whether its wait ends.

        It also ends if there is no server for which it is worth waiting.
        """
        candidate = self.placement.best_candidate(request.query, now)
        if candidate is None:
            if not self.placement.may_wait(request.query, now):
                end_wait(request, None)
                return True
            request.count_at(None)
            return False
        if not candidate.can_send_now:
            request.count_at(candidate.server)
            candidate.server.waiting_requests += 1
            return False
        # As in ``dispatch``, the slot is reserved here.
        reserve_slot(candidate, now)
        if request.cost is not None:
            if request.goes_first:
                schedule.charge_first(request.cost)
            schedule.record_dispatch(request.cost, now)
        end_wait(request, candidate)
        return True

    def update_plan(
        self, schedule: _overload.ServiceSchedule, service: str, now: float
    ) -> bool:
        """Plan the queue of a service anew if there is reason to.

        Returns whether it was planned.

        Requests that have no chance get their Retry-After.  They are rejected
        only after the dispatch, as a slot may be free that no other can use.
        """
        queue = self.queues.get(service, [])
        if not schedule.is_due(len(queue), now):
            return False
        self.count_slots(schedule, service, now)
        costed = [
            (request, request.cost)
            for request in queue
            if request.cost is not None and not request.future.done()
        ]
        costs = [cost for _, cost in costed]
        plan = schedule.plan(costs, now)
        for request in queue:
            request.goes_first = False
            request.retry_after_s = None
            if plan is None:
                request.sort_key = request.priority_key
                request.deadline = min(
                    request.deadline, request.former_deadline
                )
            elif request.cost is None:
                request.sort_key = uncosted_key(request)
        if plan is not None:
            for index, key in enumerate(plan.sort_keys(costs)):
                costed[index][0].sort_key = key
            if plan.first is not None:
                costed[plan.first][0].goes_first = True
            for rejection in schedule.rejections_of(costs, plan, now):
                costed[rejection.position][
                    0
                ].retry_after_s = rejection.retry_after_s
        queue.sort(key=sort_key_of)
        return True

    def count_slots(
        self, schedule: _overload.ServiceSchedule, service: str, now: float
    ) -> None:
        """Count the slots of a service that this VM can use.

        In other regions, these are only those that it uses already.
        """
        if not schedule.wants_count(now):
            return
        placement = self.placement
        schedule.record_count(
            sum(
                max(
                    server.in_progress,
                    server.entry.slots - server.current_other_vm_requests(now)
                    if server.region == placement.region
                    and not server.has_requested_pause(now)
                    else 0.0,
                )
                for server in placement.table.usable_servers(service, None)
            ),
            now,
        )


sort_key_of = operator.attrgetter('sort_key')


def uncosted_key(request: WaitingRequest) -> _overload.SortKey:
    """Return the place of a request without a plan, as if it were on time."""
    return (_overload.ON_TIME_TIER, *request.priority_key[1:])


def end_wait(
    request: WaitingRequest, candidate: _placement.Candidate | None
) -> None:
    """End the wait of a request that leaves a queue ordered by cost."""
    request.count_at(None)
    if not request.future.done():
        request.future.set_result(candidate)


def end_rejected(queue: list[WaitingRequest]) -> list[WaitingRequest]:
    """End the waits of rejected requests; return the other requests."""
    kept = []
    for request in queue:
        if request.retry_after_s is None:
            kept.append(request)
            continue
        end_wait(request, None)
    return kept


def reserve_slot(candidate: _placement.Candidate, now: float) -> None:
    """Reserve a slot of a server for a request that is about to be sent."""
    server = candidate.server
    server.in_progress += 1
    server.last_sent_at = now
    if server.is_cold(now):
        server.last_cold_sent_at = now
