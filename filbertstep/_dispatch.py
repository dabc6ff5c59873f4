"""From a request to a slot of a backend server, and back.

``Dispatcher.assign`` composes the parts: the shift system names the region,
the slots and the health table give the servers that may be used there, the
policy chooses one, and the fair queue holds what cannot start yet.  Nothing
here waits between placing a request and taking its slot, so that counts,
slots and link bytes agree.
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

# Waiting requests that one release of a slot looks at.  The first may be held
# back by its region while one behind it can start.
SCAN_LIMIT: typing.Final = 32

# Part of the time to its deadline that an interactive request may wait; the
# rest is for running it and for the caller to do something else.
INTERACTIVE_WAIT_SHARE: typing.Final = 0.8

Waiter = _queue.Waiter[_assignments.DispatchRequest, _assignments.Assignment]
Queue = _queue.FairQueue[_assignments.DispatchRequest, _assignments.Assignment]


class Dispatcher(systems.System):
    """Assigns requests to slots; keeps the queues of this VM."""

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
        self.fleet = dependencies.shift.fleet
        self.links = _links.Links(
            dependencies.views, dependencies.shares, clock, region
        )
        self.survey = _situation.Survey(
            self.fleet, dependencies.slots, availability_zone
        )
        self.clock = clock
        self.starter = _starts.Starter(
            dependencies,
            self.survey,
            _grants.Granter(
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
        """Return a slot for a request, or why it is not run.

        Each assignment must be passed to ``finish`` once.  When the task is
        cancelled while it waits, the request leaves the queue.
        """
        now = self.clock.now()
        name = request.service.name
        least = self.measured(name).least_run_s()
        if request.deadline - now <= least:
            return result.Err(
                _queue.overloaded('too little time is left to run', least)
            )
        queue = self.queues.setdefault(name, _queue.FairQueue())
        first = not queue
        if first:
            outcome = self.starter.attempt(
                request, 0.0, self.survey.look(name, now), now
            )
            if outcome is not None:
                if isinstance(outcome, result.Ok):
                    account = request.client_account or ''
                    queue.pass_through(account, request.weight, now)
                return outcome
        waiter = self.waiter(request, least, now)
        failure = queue.push(waiter, request.service.queue_limit, now)
        if failure is not None:
            return result.Err(failure)
        if first:
            self.want(queue, [waiter], now)
        else:
            self.pump(name, now)
        return await self.wait(queue, waiter)

    def waiter(
        self,
        request: _assignments.DispatchRequest,
        least_run_s: float,
        now: float,
    ) -> Waiter:
        """Return the waiter of a request, with its latest useful start."""
        latest = request.deadline - least_run_s
        if request.service.work is config.Work.INTERACTIVE:
            span = INTERACTIVE_WAIT_SHARE * (request.deadline - now)
            latest = min(latest, now + span)
        account = request.client_account or ''
        return _queue.Waiter(request, account, request.weight, now, latest)

    async def wait(
        self, queue: Queue, waiter: Waiter
    ) -> result.Result[_assignments.Assignment, errors.Failure]:
        """Wait until a request starts or is refused."""
        try:
            return await waiter.future
        except asyncio.CancelledError:
            queue.remove(waiter)
            future = waiter.future
            if future.done() and not future.cancelled():
                outcome = future.result()
                if isinstance(outcome, result.Ok):
                    self.abandon(outcome.ok_value)
            raise

    def abandon(self, assignment: _assignments.Assignment) -> None:
        """Give back what a cancelled request got just before."""
        observation = _assignments.AttemptResult(
            _assignments.AttemptOutcome.NOT_SENT, 0.0, 0, False
        )
        self.finish(assignment, observation, self.clock.now())

    def finish(
        self,
        assignment: _assignments.Assignment,
        observation: _assignments.AttemptResult,
        now: float,
    ) -> None:
        """Release what an assignment holds and learn from its outcome.

        Raises KeyError when the assignment was finished before.
        """
        del self.running[assignment.number]
        if observation.run_may_continue:
            self.slots.release_at_deadline(assignment.slot_hold)
        else:
            self.slots.release(assignment.slot_hold, now)
        name = assignment.placement.service
        answered = observation.outcome is _assignments.AttemptOutcome.ANSWERED
        self.links.settle(assignment.link_reservation, observation, now)
        if answered:
            self.measured(name).note_run(observation.latency_s, now)
            self.links.note_answer(name, observation.answer_bytes)
        self.learn(assignment.server.name, observation, now)
        self.pump(name, now)

    def learn(
        self, server: str, observation: _assignments.AttemptResult, now: float
    ) -> None:
        """Pass an observation to the health table."""
        event = _assignments.HEALTH_EVENTS.get(observation.outcome)
        if event is not None:
            self.health.observe(server, event, now, observation.latency_s)
        if observation.draining:
            self.health.observe(server, _health.HealthEvent.SAID_DRAINING, now)

    def on_capacity_available(self, service: str) -> None:
        """Start what can start, because slots or link bytes arrived."""
        self.pump(service, self.clock.now())

    def pump(self, service: str, now: float, refuse: bool = False) -> None:
        """Start waiting requests of a service in turn.

        With ``refuse``, also look for those that cannot start any more; this
        costs time at each call and need not follow each release of a slot.
        """
        queue = self.queues.get(service)
        while queue:
            situation = self.survey.look(service, now)
            waiting = list(itertools.islice(queue.in_order(), SCAN_LIMIT))
            idle = any(situation.idle.values())
            if not (idle or refuse) or not self.pump_one(
                queue, waiting, situation, now
            ):
                self.want(queue, waiting, now)
                return

    def pump_one(
        self,
        queue: Queue,
        waiting: list[Waiter],
        situation: _situation.Situation,
        now: float,
    ) -> bool:
        """Start or refuse the first request that allows it."""
        for waiter in waiting:
            if waiter.latest_start <= now:
                queue.expire(now)
                return True
            waited_s = now - waiter.arrived
            if waiter.future.done():
                # Its task was cancelled and has not run since.
                queue.remove(waiter)
                return True
            outcome = self.starter.attempt(
                waiter.request, waited_s, situation, now
            )
            if outcome is None:
                continue
            if isinstance(outcome, result.Ok):
                queue.take(waiter, now)
            else:
                queue.remove(waiter)
            waiter.resolve(outcome)
            return True
        return False

    def want(self, queue: Queue, waiting: list[Waiter], now: float) -> None:
        """Ask the slot system to borrow where requests wait."""
        if not waiting:
            return
        service = waiting[0].request.service
        counts = collections.Counter(
            self.shift.preferred(service, waiter.request.hash_point, now)[0]
            for waiter in waiting
        )
        for region, count in counts.items():
            # Those beyond the scan limit are spread like those within it.
            scaled = -(-count * len(queue) // len(waiting))
            self.slots.report_waiting(service.name, region, scaled, now)

    def refuse_waiting(
        self,
        predicate: collections.abc.Callable[
            [_assignments.DispatchRequest], bool
        ],
        failure: errors.Failure,
    ) -> int:
        """Refuse waiting requests that match; return how many."""
        return sum(
            queue.refuse_matching(
                lambda waiter: predicate(waiter.request), failure
            )
            for queue in self.queues.values()
        )

    def tick(self, now: float) -> None:
        """Refuse what is late and start what can start.

        Interactive services come first, because all services share the links.
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
            if service.work is config.Work.DEFERRABLE
        }
        for name in sorted(
            self.queues, key=lambda name: (name in deferrable, name)
        ):
            self.queues[name].expire(now)
            self.pump(name, now, refuse=True)

    def status(self, now: float) -> dict[str, _statistics.ServiceStatus]:
        """Return the operators' figures by service."""
        view = self.views.newest
        names = [] if view is None else sorted(view.config.services)
        running = collections.Counter(
            item.placement.service for item in self.running.values()
        )
        return {
            name: self.measured(name).status(
                len(self.queues.get(name, ())),
                running[name],
                {
                    region: sum(
                        self.slots.idle_counts(name, region, now).values()
                    )
                    for region in self.fleet.by_region(name)
                },
            )
            for name in names
        }

    def measured(self, service: str) -> _statistics.ServiceStatistics:
        """Return the statistics of a service."""
        found = self.statistics.get(service)
        if found is None:
            found = _statistics.ServiceStatistics()
            self.statistics[service] = found
        return found
