"""State machines that drive a fleet through faults and check invariants.

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

MOST_VMS = 5
SLOTS = 2
SERVERS = 2

picks = strategies.integers(min_value=0, max_value=MOST_VMS - 1)
spans = strategies.sampled_from([0.1, 0.3, 1.0, 3.0, 5.0])


class Violation(AssertionError):
    """An invariant that did not hold."""


class UseMeter:
    """Checks use <= burst + rate * t in every window of all VMs' use.

    That holds in every window exactly if one token bucket of the same rate
    and burst that was full at the start never goes below zero.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.noted_at = now

    def use(self, amount: float, now: float) -> None:
        """Count use; raise when a window has too much."""
        filled = self.level + self.rate * (now - self.noted_at)
        self.level = min(self.burst, filled) - amount
        self.noted_at = now
        if self.level < -1e-6:
            raise Violation(f'use exceeds burst + rate * t by {-self.level}')


class FleetMachine(stateful.RuleBasedStateMachine):
    """Faults that concern both systems."""

    rate: typing.ClassVar[float] = 20.0
    burst: typing.ClassVar[float] = 30.0

    def __init__(self) -> None:
        super().__init__()
        self.fleet = fakes.Fleet(
            fakes.make_documents(self.rate, self.burst, SERVERS, SLOTS), seed=7
        )
        self.loop = fakes.SimulatedLoop(self.fleet.clock)
        self.spare = [f'vm-{number}' for number in range(4, 9)]
        self.failures: list[BaseException] = []
        self.fleet.start_epoch_1(3)

    def now(self) -> float:
        """Return the simulated time."""
        return self.fleet.clock.now()

    def run(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a coroutine, then raise what a task of the test found."""
        self.loop.run_until_complete(work)
        if self.failures:
            raise self.failures[0]

    def spawn(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a coroutine beside the following rules."""
        task = self.loop.create_task(work)
        task.add_done_callback(self.note_failure)

    def note_failure(self, task: asyncio.Task[None]) -> None:
        """Keep what a task raised."""
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(typing.cast(Violation, task.exception()))

    def pick(self, number: int) -> fakes.Node:
        """Return one of the processes that are up."""
        nodes = [node for _, node in sorted(self.fleet.nodes.items())]
        return nodes[number % len(nodes)]

    def check(self) -> None:
        """Raise when an invariant does not hold now."""

    @stateful.rule(seconds=spans)
    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        self.run(self.fleet.go_on(seconds, self.check))

    @stateful.rule(learners=strategies.sets(picks))
    def commit(self, learners: set[int]) -> None:
        """Commit an epoch of the VMs that answer; some learn it at once."""
        self.fleet.store.commit(
            ((node.vm, node.incarnation) for node in self.fleet.running()),
            self.now(),
        )
        for number in learners:
            self.learn(number)

    @stateful.rule(number=picks)
    def learn(self, number: int) -> None:
        """Let a VM learn the newest epoch."""
        node = self.pick(number)
        if not node.frozen:
            node.learn(self.fleet.store, self.now())
        self.check()

    @stateful.rule(number=picks)
    def freeze(self, number: int) -> None:
        """Freeze a VM, or resume it."""
        node = self.pick(number)
        if node.frozen or len(self.fleet.running()) > 1:
            self.fleet.set_frozen(node.vm, not node.frozen)
        self.check()

    @stateful.rule(number=picks)
    def kill(self, number: int) -> None:
        """Kill a VM that is not the last one running."""
        node = self.pick(number)
        if node.frozen or len(self.fleet.running()) > 1:
            self.fleet.kill(node.vm)

    @stateful.rule(number=picks, frozen=strategies.booleans())
    def remove(self, number: int, frozen: bool) -> None:
        """Lose a VM; the others learn an epoch without it at once."""
        node = self.pick(number)
        if len(self.fleet.running()) < 2:
            return
        if frozen:
            self.fleet.set_frozen(node.vm, True)
        else:
            self.fleet.kill(node.vm)
        self.commit(set(range(MOST_VMS)))

    @stateful.rule(number=picks)
    def restart(self, number: int) -> None:
        """Replace the process of a VM by a new one."""
        node = self.pick(number)
        if len(self.fleet.running()) > 1:
            self.fleet.kill(node.vm)
            self.fleet.start(node.vm)

    @stateful.rule()
    def join(self) -> None:
        """Start a VM that was not there before."""
        if self.spare and len(self.fleet.nodes) < MOST_VMS:
            self.fleet.start(self.spare.pop())

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.2, 0.6]))
    def lose(self, loss: float) -> None:
        """Set the part of requests and of answers that are lost."""
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
        self.meter = UseMeter(self.rate, self.burst, self.now())

    def check(self) -> None:
        """Check the sum of units over fresh VMs."""
        units = {
            vm: node.units(self.now()) for vm, node in self.fleet.nodes.items()
        }
        if sum(units.values()) > sharing.UNITS_PER_RESOURCE:
            raise Violation(f'units of fresh VMs exceed the whole: {units}')

    @stateful.rule(number=picks, count=strategies.integers(1, 40))
    def request(self, number: int, count: int) -> None:
        """Send requests to a VM."""
        node = self.pick(number)
        if not node.frozen:
            for _ in range(count):
                self.spawn(self.one(node))
            self.run(asyncio.sleep(0))

    @stateful.rule(number=picks, rate=strategies.sampled_from([5, 30]))
    def stream(self, number: int, rate: int) -> None:
        """Send requests to a VM for two seconds."""
        node = self.pick(number)

        async def send() -> None:
            for _ in range(2 * rate):
                if node.frozen or self.fleet.nodes.get(node.vm) is not node:
                    return
                self.spawn(self.one(node))
                await asyncio.sleep(1 / rate)

        self.spawn(send())
        self.run(self.fleet.go_on(1.0, self.check))

    async def one(self, node: fakes.Node) -> None:
        """Send one request; a dead process sends nothing on."""
        taken = await node.shares.consume(fakes.ACCOUNT, 1.0, 0.25)
        if taken and self.fleet.nodes.get(node.vm) is node:
            self.meter.use(1.0, self.now())

    @stateful.rule(number=picks)
    def hand_over(self, number: int) -> None:
        """Stop a VM as planned."""
        node = self.pick(number)
        if not node.frozen and len(self.fleet.running()) > 1:
            self.run(node.shares.hand_over())
            self.check()
            self.fleet.kill(node.vm)


class SmallBurstMachine(ShareMachine):
    """The same with a burst that the equal split divides below one token."""

    rate = 8.0
    burst = 2.0


class Running:
    """A request on a backend server, over when released or at its time."""

    def __init__(self, node: fakes.Node, hold: systems.SlotHold) -> None:
        self.node = node
        self.hold = hold
        self.released = False


class SlotMachine(FleetMachine):
    """Requests on the slots of backend servers."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[Running] = []

    def check(self) -> None:
        """Check that no server may run more requests than its slots."""
        self.requests = [
            one
            for one in self.requests
            if not one.released and self.now() < one.hold.run_until
        ]
        counts = collections.Counter(one.hold.server for one in self.requests)
        if max(counts.values(), default=0) > SLOTS:
            holders = [
                (one.node.vm, one.node.incarnation, one.hold)
                for one in self.requests
            ]
            raise Violation(f'more requests than slots: {holders}')

    @stateful.rule(
        number=picks,
        run_for_s=strategies.sampled_from([0.5, 2.0]),
        count=strategies.integers(1, SLOTS * SERVERS + 1),
    )
    def request(self, number: int, run_for_s: float, count: int) -> None:
        """Start requests at a VM; those without a slot borrow one."""
        node = self.pick(number)
        if node.frozen:
            return
        started = self.start(node, run_for_s, count)
        if started < count:
            self.run(self.borrow(node, run_for_s, count - started))

    async def borrow(
        self, node: fakes.Node, run_for_s: float, count: int
    ) -> None:
        """Ask for loans, then start requests on them."""
        self.fleet.heartbeat()
        node.slots.report_waiting('shop', 'west', count, self.now())
        await self.fleet.go_on(0.3, self.check)
        if not node.frozen:
            self.start(node, run_for_s, count)

    def start(self, node: fakes.Node, run_for_s: float, count: int) -> int:
        """Start up to a number of requests on a VM's idle slots."""
        now = self.now()
        started = 0
        for server in ['b0', 'b1'] * SLOTS:
            hold = None
            if started < count:
                hold = node.slots.acquire(server, run_for_s, now)
            if hold is not None:
                started += 1
                self.requests.append(Running(node, hold))
                self.check()
        return started

    @stateful.rule(
        numbers=strategies.sets(picks, min_size=1),
        seconds=strategies.sampled_from([0.5, 2.0, 6.0]),
    )
    def load(self, numbers: set[int], seconds: float) -> None:
        """Keep sending requests to some VMs."""
        nodes = {self.pick(number).vm: self.pick(number) for number in numbers}
        self.run(
            self.fleet.go_on(seconds, lambda: self.load_tick(nodes.values()))
        )

    def load_tick(self, nodes: collections.abc.Iterable[fakes.Node]) -> None:
        """End some requests and start some, with loans where wanted."""
        self.check()
        for one in self.requests:
            if self.fleet.rng.random() < 0.1 and not one.node.frozen:
                one.released = True
                one.node.slots.release(one.hold, self.now())
        for node in nodes:
            if not node.frozen:
                started = self.start(node, self.fleet.rng.uniform(0.3, 2), 2)
                node.slots.report_waiting(
                    'shop', 'west', 2 - started, self.now()
                )

    @stateful.rule(number=picks, crossed=strategies.booleans())
    def finish(self, number: int, crossed: bool) -> None:
        """End a request, or lose track of it until its deadline."""
        self.check()
        if not self.requests:
            return
        one = self.requests[number % len(self.requests)]
        if crossed:
            one.node.slots.release_at_deadline(one.hold)
        elif not one.node.frozen:
            one.released = True
            one.node.slots.release(one.hold, self.now())

    @stateful.rule(number=picks)
    def hand_over(self, number: int) -> None:
        """Stop a VM as planned; its own requests are left running."""
        node = self.pick(number)
        if not node.frozen and len(self.fleet.running()) > 1:
            self.run(node.slots.hand_over())
            self.fleet.kill(node.vm)


def run_machine(
    machine: type[FleetMachine], examples: int, steps: int = 60
) -> None:
    """Run a state machine with a fixed sequence of examples."""
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
