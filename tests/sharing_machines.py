"""Hypothesis state machines that inject faults and check invariants.

The rules start, kill, freeze and resume VMs, commit epochs that VMs learn at
different times, and lose requests and answers between VMs.
"""

import asyncio
import collections
import collections.abc
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from filbertstep import sharing
from filbertstep import systems
from tests import sharing_fakes as fakes

MAX_VMS = 5
SLOTS = 2
SERVERS = 2

node_numbers = strategies.integers(min_value=0, max_value=MAX_VMS - 1)
durations = strategies.sampled_from([0.1, 0.3, 1.0, 3.0, 5.0])


class Violation(AssertionError):
    """An invariant that did not hold."""


class UsageMeter:
    """Checks that the use of all VMs is at most burst + rate * t.

    This holds in every window of length t exactly if one token bucket of the
    same rate and burst, full at the start, never becomes negative.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_at = now

    def record_use(self, amount: float, now: float) -> None:
        """Record use; raise Violation if it exceeds the bound."""
        filled = self.tokens + self.rate * (now - self.updated_at)
        self.tokens = min(self.burst, filled) - amount
        self.updated_at = now
        if self.tokens < -1e-6:
            raise Violation(f'use exceeds burst + rate * t by {-self.tokens}')


class FleetMachine(stateful.RuleBasedStateMachine):
    """Faults that concern token buckets and slots."""

    rate: typing.ClassVar[float] = 20.0
    burst: typing.ClassVar[float] = 30.0

    def __init__(self) -> None:
        super().__init__()
        self.fleet = fakes.Fleet(
            fakes.make_documents(self.rate, self.burst, SERVERS, SLOTS), seed=7
        )
        self.loop = fakes.SimulatedLoop(self.fleet.clock)
        self.unused_vms = [f'vm-{number}' for number in range(4, 9)]
        self.failures: list[BaseException] = []
        self.fleet.start_members(3)

    def now(self) -> float:
        """Return the simulated time."""
        return self.fleet.clock.now()

    def run_until_complete(
        self,
        coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Run a coroutine, then raise the first exception of a task."""
        self.loop.run_until_complete(coroutine)
        if self.failures:
            raise self.failures[0]

    def start_task(
        self,
        coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Run a coroutine in the background of the following rules."""
        task = self.loop.create_task(coroutine)
        task.add_done_callback(self.record_failure)

    def record_failure(self, task: asyncio.Task[None]) -> None:
        """Record the exception of a task, if any."""
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(typing.cast(Violation, task.exception()))

    def pick_node(self, number: int) -> fakes.Node:
        """Return one of the processes that are up, selected by a number."""
        nodes = [node for _, node in sorted(self.fleet.nodes.items())]
        return nodes[number % len(nodes)]

    def assert_invariants(self) -> None:
        """Raise Violation if an invariant does not hold now."""

    @stateful.rule(seconds=durations)
    def pass_time(self, seconds: float) -> None:
        """Let simulated time pass."""
        self.run_until_complete(
            self.fleet.run_for(seconds, self.assert_invariants)
        )

    @stateful.rule(learners=strategies.sets(node_numbers))
    def commit(self, learners: set[int]) -> None:
        """Commit an epoch of the running VMs; learners learn it at once."""
        self.fleet.store.commit(
            (
                (node.vm, node.incarnation)
                for node in self.fleet.running_nodes()
            ),
            self.now(),
        )
        for number in learners:
            self.learn(number)

    @stateful.rule(number=node_numbers)
    def learn(self, number: int) -> None:
        """Let a VM learn the newest epoch."""
        node = self.pick_node(number)
        if not node.frozen:
            node.learn(self.fleet.store, self.now())
        self.assert_invariants()

    @stateful.rule(number=node_numbers)
    def freeze(self, number: int) -> None:
        """Freeze a running VM, or resume a frozen one."""
        node = self.pick_node(number)
        if node.frozen or len(self.fleet.running_nodes()) > 1:
            self.fleet.set_frozen(node.vm, not node.frozen)
        self.assert_invariants()

    @stateful.rule(number=node_numbers)
    def kill(self, number: int) -> None:
        """Kill a VM unless it is the last one running."""
        node = self.pick_node(number)
        if node.frozen or len(self.fleet.running_nodes()) > 1:
            self.fleet.kill(node.vm)

    @stateful.rule(number=node_numbers, frozen=strategies.booleans())
    def remove(self, number: int, frozen: bool) -> None:
        """Lose a VM; the others learn an epoch without it at once."""
        node = self.pick_node(number)
        if len(self.fleet.running_nodes()) < 2:
            return
        if frozen:
            self.fleet.set_frozen(node.vm, True)
        else:
            self.fleet.kill(node.vm)
        self.commit(set(range(MAX_VMS)))

    @stateful.rule(number=node_numbers)
    def restart(self, number: int) -> None:
        """Replace the process of a VM by a new one."""
        node = self.pick_node(number)
        if len(self.fleet.running_nodes()) > 1:
            self.fleet.kill(node.vm)
            self.fleet.start(node.vm)

    @stateful.rule()
    def join(self) -> None:
        """Start a VM that has not been used before."""
        if self.unused_vms and len(self.fleet.nodes) < MAX_VMS:
            self.fleet.start(self.unused_vms.pop())

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.2, 0.6]))
    def lose(self, loss: float) -> None:
        """Set the fraction of requests, and of answers, that are lost."""
        self.fleet.peers.loss = loss

    def teardown(self) -> None:
        """Close the event loop."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(
                asyncio.gather(*tasks, return_exceptions=True)
            )
        self.loop.close()


class ShareMachine(FleetMachine):
    """Requests of one account at several VMs."""

    def __init__(self) -> None:
        super().__init__()
        self.meter = UsageMeter(self.rate, self.burst, self.now())

    def assert_invariants(self) -> None:
        """Check the sum of the units of fresh VMs."""
        units = {
            vm: node.units(self.now()) for vm, node in self.fleet.nodes.items()
        }
        if sum(units.values()) > sharing.UNITS_PER_RESOURCE:
            raise Violation(f'units of fresh VMs exceed the whole: {units}')

    @stateful.rule(number=node_numbers, count=strategies.integers(1, 40))
    def request(self, number: int, count: int) -> None:
        """Send requests to a VM."""
        node = self.pick_node(number)
        if not node.frozen:
            for _ in range(count):
                self.start_task(self.send_request(node))
            self.run_until_complete(asyncio.sleep(0))

    @stateful.rule(number=node_numbers, rate=strategies.sampled_from([5, 30]))
    def stream(self, number: int, rate: int) -> None:
        """Send requests to a VM at a rate for two seconds."""
        node = self.pick_node(number)

        async def send() -> None:
            for _ in range(2 * rate):
                if node.frozen or self.fleet.nodes.get(node.vm) is not node:
                    return
                self.start_task(self.send_request(node))
                await asyncio.sleep(1 / rate)

        self.start_task(send())
        self.run_until_complete(
            self.fleet.run_for(1.0, self.assert_invariants)
        )

    async def send_request(self, node: fakes.Node) -> None:
        """Send one request; a dead process does not use its token."""
        taken = await node.shares.consume(fakes.ACCOUNT, 1.0, 0.25)
        if taken and self.fleet.nodes.get(node.vm) is node:
            self.meter.record_use(1.0, self.now())

    @stateful.rule(number=node_numbers)
    def hand_over(self, number: int) -> None:
        """Stop a VM as planned, which pushes its units to peers."""
        node = self.pick_node(number)
        if not node.frozen and len(self.fleet.running_nodes()) > 1:
            self.run_until_complete(node.shares.hand_over())
            self.assert_invariants()
            self.fleet.kill(node.vm)


class SmallBurstMachine(ShareMachine):
    """Requests of an account whose equal splits are below one token."""

    rate = 8.0
    burst = 2.0


class RunningRequest:
    """A request on a backend server.

    It ends when it is released or at the ``run_until`` of its hold.
    """

    def __init__(self, node: fakes.Node, hold: systems.SlotHold) -> None:
        self.node = node
        self.hold = hold
        self.released = False


class SlotMachine(FleetMachine):
    """Requests on the slots of backend servers."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[RunningRequest] = []

    def assert_invariants(self) -> None:
        """Check that no server has more running requests than slots."""
        self.requests = [
            request
            for request in self.requests
            if not request.released and self.now() < request.hold.run_until
        ]
        counts = collections.Counter(
            request.hold.server for request in self.requests
        )
        if max(counts.values(), default=0) > SLOTS:
            holders = [
                (request.node.vm, request.node.incarnation, request.hold)
                for request in self.requests
            ]
            raise Violation(f'more requests than slots: {holders}')

    @stateful.rule(
        number=node_numbers,
        run_for_s=strategies.sampled_from([0.5, 2.0]),
        count=strategies.integers(1, SLOTS * SERVERS + 1),
    )
    def request(self, number: int, run_for_s: float, count: int) -> None:
        """Start requests at a VM; borrow slots for those without one."""
        node = self.pick_node(number)
        if node.frozen:
            return
        started = self.start_requests(node, run_for_s, count)
        if started < count:
            self.run_until_complete(
                self.borrow_and_start(node, run_for_s, count - started)
            )

    async def borrow_and_start(
        self, node: fakes.Node, run_for_s: float, count: int
    ) -> None:
        """Request loans, then start requests on them."""
        self.fleet.heartbeat()
        node.slots.report_waiting('shop', 'west', count, self.now())
        await self.fleet.run_for(0.3, self.assert_invariants)
        if not node.frozen:
            self.start_requests(node, run_for_s, count)

    def start_requests(
        self, node: fakes.Node, run_for_s: float, count: int
    ) -> int:
        """Start up to ``count`` requests on a VM's idle slots.

        Returns the number of requests that started.
        """
        now = self.now()
        started = 0
        for server in ['b0', 'b1'] * SLOTS:
            hold = None
            if started < count:
                hold = node.slots.acquire(server, run_for_s, now)
            if hold is not None:
                started += 1
                self.requests.append(RunningRequest(node, hold))
                self.assert_invariants()
        return started

    @stateful.rule(
        numbers=strategies.sets(node_numbers, min_size=1),
        seconds=strategies.sampled_from([0.5, 2.0, 6.0]),
    )
    def load(self, numbers: set[int], seconds: float) -> None:
        """Send requests to some VMs for a time."""
        nodes = {
            self.pick_node(number).vm: self.pick_node(number)
            for number in numbers
        }
        self.run_until_complete(
            self.fleet.run_for(
                seconds, lambda: self.end_and_start_requests(nodes.values())
            )
        )

    def end_and_start_requests(
        self, nodes: collections.abc.Iterable[fakes.Node]
    ) -> None:
        """End some requests and start some, borrowing slots if needed."""
        self.assert_invariants()
        for request in self.requests:
            if self.fleet.rng.random() < 0.1 and not request.node.frozen:
                request.released = True
                request.node.slots.release(request.hold, self.now())
        for node in nodes:
            if not node.frozen:
                started = self.start_requests(
                    node, self.fleet.rng.uniform(0.3, 2), 2
                )
                node.slots.report_waiting(
                    'shop', 'west', 2 - started, self.now()
                )

    @stateful.rule(number=node_numbers, crossed=strategies.booleans())
    def finish(self, number: int, crossed: bool) -> None:
        """End a request.

        If ``crossed``, the VM does not know whether it has ended, and keeps
        its slot until the deadline.
        """
        self.assert_invariants()
        if not self.requests:
            return
        request = self.requests[number % len(self.requests)]
        if crossed:
            request.node.slots.release_at_deadline(request.hold)
        elif not request.node.frozen:
            request.released = True
            request.node.slots.release(request.hold, self.now())

    @stateful.rule(number=node_numbers)
    def hand_over(self, number: int) -> None:
        """Stop a VM as planned; requests on its slots keep running."""
        node = self.pick_node(number)
        if not node.frozen and len(self.fleet.running_nodes()) > 1:
            self.run_until_complete(node.slots.hand_over())
            self.fleet.kill(node.vm)


def run_machine(
    machine: type[FleetMachine], examples: int, steps: int = 60
) -> None:
    """Run a state machine with a reproducible sequence of examples."""
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
            suppress_health_check=list(hypothesis.HealthCheck),
            phases=[hypothesis.Phase.generate],
            print_blob=False,
        ),
    )
