"""Assigns requests to slots of backend servers and releases the slots.

For each request, ``Dispatcher.assign`` asks the shift system for the region,
takes the usable servers there from the slot system and the health table, and
lets the choice policy pick one.  Requests that cannot start yet wait in a
fair queue.  There is no ``await`` between placing a request in a region and
acquiring its slot, so that placement counts, slots and reserved link bytes
stay consistent with each other.
"""

import asyncio
import collections
import collections.abc
import itertools
import random
import typing

import result

from filbertstep import _assignments
from filbertstep import _choice
from filbertstep import _grants
from filbertstep import _health
from filbertstep import _links
from filbertstep import _queue
from filbertstep import _situation
from filbertstep import _starts
from filbertstep import _statistics
from filbertstep import clock
from filbertstep import config
from filbertstep import errors
from filbertstep import systems

# Waiting requests that are considered each time a slot becomes free.  More
# than one, because the first may have no usable region while a later one has.
MAX_SCANNED_REQUESTS: typing.Final = 32

# Share of the time to its deadline that an interactive request may spend in
# the queue.  The rest is for running it, or for the caller to react to the
# refusal.
INTERACTIVE_MAX_WAIT_SHARE: typing.Final = 0.8

QueueEntry = _queue.QueueEntry[
    _assignments.DispatchRequest, _assignments.Assignment
]
Queue = _queue.FairQueue[_assignments.DispatchRequest, _assignments.Assignment]


class Dispatcher(systems.System):
    """Assigns requests to slots and keeps one queue per service on this VM."""

    def __init__(
        self,
        dependencies: _starts.DispatcherSystems,
        clock: clock.Clock,
        region: str,
        availability_zone: str,
        rng: random.Random,
        policy: _choice.ChoicePolicy | None = None,
    ) -> None:
        self.slots = dependencies.slots
        self.health = dependencies.health
        self.shift = dependencies.shift
        self.views = dependencies.views
        self.directory = dependencies.shift.directory
        self.links = _links.LinkAccounting(
            dependencies.views, dependencies.token_buckets, clock, region
        )
        self.capacity_reader = _situation.CapacityReader(
            self.directory, dependencies.slots, availability_zone
        )
        self.clock = clock
        self.starter = _starts.RequestStarter(
            dependencies,
            self.capacity_reader,
            _grants.CapacityReserver(
                self.links,
                dependencies.slots,
                dependencies.health,
                policy or _choice.SlotAwareChoice(),
                rng,
            ),
        )
        self.running = self.starter.running
        self.queues: dict[str, Queue] = {}
        self.statistics: dict[str, _statistics.ServiceStatistics] = {}

    async def assign(
        self, request: _assignments.DispatchRequest
    ) -> result.Result[_assignments.Assignment, errors.Failure]:
        """Assign a slot to a request, waiting in the queue if necessary.

        Returns the failure to send to the caller if the request is refused.
        Each assignment must be passed to ``finish`` exactly once.  If the
        task is cancelled while it waits, the request is removed from the
        queue.
        """
        now = self.clock.now()
        name = request.service.name
        min_run_s = self.statistics_of(name).min_run_s()
        if request.deadline - now <= min_run_s:
            return result.Err(
                _queue.overloaded_failure(
                    'too little time is left to run', min_run_s
                )
            )
        queue = self.queues.setdefault(name, _queue.FairQueue())
        queue_was_empty = not queue
        if queue_was_empty:
            outcome = self.starter.try_start(
                request,
                0.0,
                self.capacity_reader.read_snapshot(name, now),
                now,
            )
            if outcome is not None:
                if isinstance(outcome, result.Ok):
                    account = request.client_account or ''
                    queue.record_immediate_start(account, request.weight, now)
                return outcome
        entry = self.make_entry(request, min_run_s, now)
        failure = queue.push(entry, request.service.queue_limit, now)
        if failure is not None:
            return result.Err(failure)
        if queue_was_empty:
            self.report_waiting(queue, [entry], now)
        else:
            self.start_waiting(name, now)
        return await self.wait_for_start(queue, entry)

    def make_entry(
        self,
        request: _assignments.DispatchRequest,
        min_run_s: float,
        now: float,
    ) -> QueueEntry:
        """Return the queue entry of a request.

        Its ``latest_start`` leaves the minimum run time before the deadline;
        interactive requests have to start earlier.
        """
        latest = request.deadline - min_run_s
        if request.service.work is config.WorkType.INTERACTIVE:
            max_wait_s = INTERACTIVE_MAX_WAIT_SHARE * (request.deadline - now)
            latest = min(latest, now + max_wait_s)
        account = request.client_account or ''
        return _queue.QueueEntry(request, account, request.weight, now, latest)

    async def wait_for_start(
        self, queue: Queue, entry: QueueEntry
    ) -> result.Result[_assignments.Assignment, errors.Failure]:
        """Wait until the queued request is started or refused."""
        try:
            return await entry.future
        except asyncio.CancelledError:
            queue.remove(entry)
            future = entry.future
            if future.done() and not future.cancelled():
                outcome = future.result()
                if isinstance(outcome, result.Ok):
                    self.release_unused(outcome.ok_value)
            raise

    def release_unused(self, assignment: _assignments.Assignment) -> None:
        """Release an assignment whose request was cancelled before sending."""
        attempt = _assignments.AttemptResult(
            _assignments.AttemptOutcome.NOT_SENT, 0.0, 0, False
        )
        self.finish(assignment, attempt, self.clock.now())

    def finish(
        self,
        assignment: _assignments.Assignment,
        attempt: _assignments.AttemptResult,
        now: float,
    ) -> None:
        """Release an assignment and record the result of its attempt.

        Raises KeyError if the assignment was already finished.
        """
        del self.running[assignment.number]
        if attempt.run_may_continue:
            self.slots.release_at_deadline(assignment.slot_hold)
        else:
            self.slots.release(assignment.slot_hold, now)
        name = assignment.placement.service
        answered = attempt.outcome is _assignments.AttemptOutcome.ANSWERED
        self.links.settle(assignment.link_reservation, attempt, now)
        if answered:
            self.statistics_of(name).record_run(attempt.latency_s, now)
            self.links.record_answer_size(name, attempt.answer_bytes)
        self.update_health(assignment.server.name, attempt, now)
        self.start_waiting(name, now)

    def update_health(
        self, server: str, attempt: _assignments.AttemptResult, now: float
    ) -> None:
        """Report the result of an attempt to the health table."""
        event = _assignments.HEALTH_EVENTS.get(attempt.outcome)
        if event is not None:
            self.health.observe(server, event, now, attempt.latency_s)
        if attempt.draining:
            self.health.observe(server, _health.HealthEvent.SAID_DRAINING, now)

    def on_capacity_available(self, service: str) -> None:
        """Start waiting requests because slots or link bytes became free."""
        self.start_waiting(service, self.clock.now())

    def start_waiting(
        self, service: str, now: float, refuse: bool = False
    ) -> None:
        """Start waiting requests of a service in queue order.

        With ``refuse``, the queue is scanned even if no slot is idle, to
        refuse requests that can no longer start.  That scan is too expensive
        for every release of a slot, so only ``tick`` requests it.
        """
        queue = self.queues.get(service)
        while queue:
            snapshot = self.capacity_reader.read_snapshot(service, now)
            waiting = list(
                itertools.islice(queue.in_order(), MAX_SCANNED_REQUESTS)
            )
            idle = any(snapshot.idle_servers.values())
            if not (idle or refuse) or not self.start_or_refuse_one(
                queue, waiting, snapshot, now
            ):
                self.report_waiting(queue, waiting, now)
                return

    def start_or_refuse_one(
        self,
        queue: Queue,
        waiting: list[QueueEntry],
        snapshot: _situation.CapacitySnapshot,
        now: float,
    ) -> bool:
        """Start or refuse the first waiting request that can be.

        Returns whether the queue changed.
        """
        for entry in waiting:
            if entry.latest_start <= now:
                queue.refuse_expired(now)
                return True
            waited_s = now - entry.arrived_at
            if entry.future.done():
                # The waiting task was cancelled but has not run yet, so it has
                # not removed its entry.
                queue.remove(entry)
                return True
            outcome = self.starter.try_start(
                entry.request, waited_s, snapshot, now
            )
            if outcome is None:
                continue
            if isinstance(outcome, result.Ok):
                queue.remove_started(entry, now)
            else:
                queue.remove(entry)
            entry.resolve(outcome)
            return True
        return False

    def report_waiting(
        self, queue: Queue, waiting: list[QueueEntry], now: float
    ) -> None:
        """Report waiting requests by region, so that slots are borrowed."""
        if not waiting:
            return
        service = waiting[0].request.service
        counts = collections.Counter(
            self.shift.preferred_regions(
                service, entry.request.hash_point, now
            )[0]
            for entry in waiting
        )
        for region, count in counts.items():
            # Extrapolate from the scanned requests to the whole queue.
            scaled = -(-count * len(queue) // len(waiting))
            self.slots.report_waiting(service.name, region, scaled, now)

    def refuse_waiting(
        self,
        predicate: collections.abc.Callable[
            [_assignments.DispatchRequest], bool
        ],
        failure: errors.Failure,
    ) -> int:
        """Refuse matching waiting requests and return their number."""
        return sum(
            queue.refuse_matching(
                lambda entry: predicate(entry.request), failure
            )
            for queue in self.queues.values()
        )

    def tick(self, now: float) -> None:
        """Refuse expired requests and start those that can start now.

        Interactive services come first, because all services share the
        bandwidth of the links between regions.
        """
        view = self.views.newest
        services = {} if view is None else view.config.services
        for name in [name for name in self.queues if name not in services]:
            if not self.queues[name]:
                del self.queues[name]
                self.statistics.pop(name, None)
        deferrable = {
            name
            for name, service in services.items()
            if service.work is config.WorkType.DEFERRABLE
        }
        for name in sorted(
            self.queues, key=lambda name: (name in deferrable, name)
        ):
            self.queues[name].refuse_expired(now)
            self.start_waiting(name, now, refuse=True)

    def status(self, now: float) -> dict[str, _statistics.ServiceStatus]:
        """Return the figures of the status page by service."""
        view = self.views.newest
        names = [] if view is None else sorted(view.config.services)
        running = collections.Counter(
            item.placement.service for item in self.running.values()
        )
        return {
            name: self.statistics_of(name).status(
                len(self.queues.get(name, ())),
                running[name],
                {
                    region: sum(
                        self.slots.idle_counts(name, region, now).values()
                    )
                    for region in self.directory.servers_by_region(name)
                },
            )
            for name in names
        }

    def statistics_of(self, service: str) -> _statistics.ServiceStatistics:
        """Return the statistics of a service, creating them if necessary."""
        service_statistics = self.statistics.get(service)
        if service_statistics is None:
            service_statistics = _statistics.ServiceStatistics()
            self.statistics[service] = service_statistics
        return service_statistics
