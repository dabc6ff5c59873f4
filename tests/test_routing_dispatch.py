"""Tests of the dispatcher: from a request to a slot and back."""

import asyncio
import collections
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies
import result

from filbertstep import clock
from filbertstep import config
from filbertstep import errors
from filbertstep import routing
from tests import routing_fakes

Assigned = result.Result[routing.Assignment, errors.Failure]

ANSWERED = routing.Observation(routing.Outcome.ANSWERED, 0.02, 1000, False)
WITHDRAWN = errors.Failure(errors.ErrorKind.UNAUTHORIZED, 'key withdrawn')


class Bench:
    """A dispatcher in hobart with fakes of its neighbours."""

    def __init__(self, docs: config.Documents) -> None:
        self.clock = clock.FakeClock()
        self.views = config.ViewTable()
        self.health = routing.HealthTable()
        self.index = 0
        self.change(docs)
        self.slots = routing_fakes.FakeSlots(self.config.backend_servers)
        self.shares = routing_fakes.FakeShares()
        fleet = routing.Fleet(self.views, self.health)
        self.shift = routing.ShiftSystem(self.views, fleet, 'hobart')
        self.dispatcher = routing.Dispatcher(
            routing.Neighbours(
                self.views, self.slots, self.shares, self.health, self.shift
            ),
            self.clock,
            'hobart',
            'hobart-a',
            random.Random(5),
        )

    def change(self, docs: config.Documents) -> None:
        """Learn a configuration."""
        self.index += 1
        routing_fakes.learn(self.views, docs, self.index, self.clock.now())
        assert self.views.newest is not None
        self.config = self.views.newest.config
        self.health.sync(self.config.backend_servers, self.clock.now())

    def request(
        self, service: str = 'bookings', **changes: typing.Any
    ) -> routing.DispatchRequest:
        """Return a request with five seconds to its deadline."""
        made = routing.DispatchRequest(
            service=self.config.services[service],
            client_account='bakery',
            weight=1.0,
            point=0.1,
            deadline=self.clock.now() + 5.0,
            request_bytes=500,
        )
        return made._replace(**changes)

    async def get(
        self, service: str = 'bookings', **changes: typing.Any
    ) -> routing.Assignment:
        """Assign a request that must start at once."""
        task = self.begin(service, **changes)
        await settle()
        assert task.done()
        return task.result().unwrap()

    async def refusal(
        self, service: str = 'bookings', **changes: typing.Any
    ) -> errors.Failure:
        """Assign a request that must be refused at once."""
        task = self.begin(service, **changes)
        await settle()
        assert task.done()
        return task.result().unwrap_err()

    def begin(
        self, service: str = 'bookings', **changes: typing.Any
    ) -> asyncio.Task[Assigned]:
        """Assign a request in a task."""
        return asyncio.get_running_loop().create_task(
            self.dispatcher.assign(self.request(service, **changes))
        )

    def finish(
        self,
        assignment: routing.Assignment,
        observation: routing.Observation = ANSWERED,
    ) -> None:
        """Finish an assignment now."""
        self.dispatcher.finish(assignment, observation, self.clock.now())

    def tick(self, seconds: float = 0.1) -> None:
        """Advance the clock and tick."""
        self.clock.advance(seconds)
        self.dispatcher.tick(self.clock.now())


async def settle() -> None:
    """Let tasks run until they wait."""
    for _ in range(5):
        await asyncio.sleep(0)


def two_servers(**parts: typing.Any) -> config.Documents:
    """Return servers a and b in hobart and c in launceston, two slots each.

    All weight is in hobart unless ``regions`` says otherwise.
    """
    regions = parts.pop('regions', {'hobart': 1.0})
    servers = {
        name: routing_fakes.server_doc('bookings', region)
        for name, region in (
            ('a', 'hobart'),
            ('b', 'hobart'),
            ('c', 'launceston'),
        )
    }
    services = {'bookings': routing_fakes.service_doc(regions=regions)}
    return routing_fakes.documents(services, servers, **parts)


LINKS = {
    f'{start}-{end}': {
        'from_region': start,
        'to_region': end,
        'bytes_per_s': 1e6,
        'burst_bytes': 1e6,
    }
    for start, end in (('hobart', 'launceston'), ('launceston', 'hobart'))
}

TWO_REGIONS = {'hobart': 1.0, 'launceston': 1e-6}


class TestAssign(unittest.IsolatedAsyncioTestCase):
    """Requests start on slots, wait for them, or are refused."""

    async def test_uses_every_slot_once(self) -> None:
        """Guards against two requests on one slot."""
        bench = Bench(two_servers())
        taken = [await bench.get() for _ in range(4)]
        slots = {(item.server.name, item.hold.slot) for item in taken}
        self.assertEqual({('a', 0), ('a', 1), ('b', 0), ('b', 1)}, slots)
        self.assertEqual(4, bench.slots.total_in_use())
        for item in taken:
            bench.finish(item)
        self.assertEqual(0, bench.slots.total_in_use())

    async def test_waits_for_a_slot_in_turn(self) -> None:
        """Guards against waiting requests that nobody wakes."""
        bench = Bench(two_servers())
        taken = [await bench.get() for _ in range(4)]
        waiting = [bench.begin() for _ in range(2)]
        await settle()
        self.assertFalse(waiting[0].done() or waiting[1].done())
        self.assertEqual(2, bench.dispatcher.status(0.0)['bookings']['queued'])
        bench.finish(taken[0])
        await settle()
        self.assertTrue(waiting[0].done())
        self.assertFalse(waiting[1].done())
        self.assertEqual(taken[0].server, waiting[0].result().unwrap().server)
        bench.finish(taken[1])
        await settle()
        self.assertTrue(waiting[1].done())

    async def test_finish_twice_is_a_fault(self) -> None:
        """Guards against a slot that is released under another request."""
        bench = Bench(two_servers())
        taken = await bench.get()
        bench.finish(taken)
        with self.assertRaises(KeyError):
            bench.finish(taken)

    async def test_run_that_may_continue_keeps_its_slot(self) -> None:
        """Guards against a slot that two requests use after a broken one."""
        bench = Bench(two_servers())
        taken = await bench.get()
        broken = routing.Observation(routing.Outcome.BROKEN, 0.1, 0, True)
        bench.finish(taken, broken)
        self.assertEqual([taken.hold], bench.slots.held_to_deadline)
        self.assertEqual(1, bench.slots.total_in_use())
        self.assertEqual(bench.clock.now() + 5.0, taken.hold.run_until)

    async def test_cancelled_waiter_leaves(self) -> None:
        """Guards against a slot for a caller that has gone."""
        bench = Bench(two_servers())
        taken = [await bench.get() for _ in range(4)]
        gone, stays = bench.begin(), bench.begin()
        await settle()
        gone.cancel()
        await settle()
        bench.finish(taken[0])
        await settle()
        self.assertTrue(gone.cancelled())
        self.assertIsInstance(stays.result(), result.Ok)

    async def test_cancelled_between_wake_and_run(self) -> None:
        """Guards against a slot that is lost when its waiter is cancelled."""
        for order in ('finish first', 'cancel first'):
            with self.subTest(order=order):
                bench = Bench(two_servers())
                taken = [await bench.get() for _ in range(4)]
                gone = bench.begin()
                await settle()
                if order == 'finish first':
                    bench.finish(taken[0])
                    gone.cancel()
                else:
                    gone.cancel()
                    bench.finish(taken[0])
                await settle()
                self.assertTrue(gone.cancelled())
                self.assertEqual(3, bench.slots.total_in_use())
                self.assertEqual(3, len(bench.dispatcher.running))

    async def test_too_little_time(self) -> None:
        """Guards against a request that is sent and cannot finish."""
        bench = Bench(two_servers())
        for _ in range(10):
            taken = await bench.get()
            bench.finish(taken, ANSWERED._replace(latency_s=0.3))
        now = bench.clock.now()
        failure = await bench.refusal(deadline=now + 0.29)
        self.assertEqual(errors.ErrorKind.OVERLOADED, failure.kind)
        bench.finish(await bench.get(deadline=now + 0.31))
        failure = await Bench(two_servers()).refusal(deadline=now + 0.0009)
        self.assertEqual(errors.ErrorKind.OVERLOADED, failure.kind)

    async def test_waiting_ends_before_the_deadline(self) -> None:
        """Guards against interactive requests that wait till the end."""
        docs = two_servers()
        docs[config.Kind.SERVICE]['care'] = routing_fakes.service_doc(
            'deferrable'
        )
        docs[config.Kind.BACKEND_SERVER]['d'] = routing_fakes.server_doc(
            'care', 'hobart', slots=1
        )
        bench = Bench(docs)
        for _ in range(4):
            await bench.get()
        await bench.get('care')
        quick, patient = bench.begin(), bench.begin('care')
        await settle()
        bench.tick(2.4)
        await settle()
        self.assertFalse(quick.done())
        bench.tick(0.2)
        await settle()
        self.assertEqual(
            errors.ErrorKind.OVERLOADED, quick.result().unwrap_err().kind
        )
        bench.tick(2.3)
        await settle()
        self.assertFalse(patient.done())
        bench.tick(0.2)
        await settle()
        self.assertEqual(
            errors.ErrorKind.OVERLOADED, patient.result().unwrap_err().kind
        )

    async def test_withdrawn_key_fails_waiters(self) -> None:
        """Guards against a waiting request that runs after a withdrawal."""
        bench = Bench(two_servers())
        taken = [await bench.get() for _ in range(4)]
        gone, stays = bench.begin(key_digest='k1'), bench.begin()
        await settle()
        failed = bench.dispatcher.fail_where(
            lambda request: request.key_digest == 'k1', WITHDRAWN
        )
        self.assertEqual(1, failed)
        bench.finish(taken[0])
        await settle()
        self.assertEqual(result.Err(WITHDRAWN), gone.result())
        self.assertIsInstance(stays.result(), result.Ok)

    async def test_status(self) -> None:
        """Guards against figures that do not follow the requests."""
        bench = Bench(two_servers())
        for _ in range(99):
            bench.finish(await bench.get())
        slow = await bench.get()
        bench.finish(slow, ANSWERED._replace(latency_s=4.0))
        await bench.get()
        status = bench.dispatcher.status(bench.clock.now())['bookings']
        self.assertEqual((0, 1), (status['queued'], status['running']))
        self.assertEqual({'hobart': 3, 'launceston': 2}, status['idle_slots'])
        assert status['p50_s'] is not None
        assert status['p99_s'] is not None
        self.assertTrue(0.01 < status['p50_s'] <= 0.02)
        self.assertTrue(0.01 < status['p99_s'] <= 0.02)


class TestServers(unittest.IsolatedAsyncioTestCase):
    """Which servers a request may run on."""

    async def names(self, bench: Bench, **changes: typing.Any) -> set[str]:
        """Return the servers of two requests that run at a time."""
        taken = [await bench.get(**changes) for _ in range(2)]
        for item in taken:
            bench.finish(item, ANSWERED)
        return {item.server.name for item in taken}

    async def test_excluded_server(self) -> None:
        """Guards against a retry on the server that failed before."""
        bench = Bench(two_servers())
        found = await self.names(bench, exclude=frozenset({'a'}))
        self.assertEqual({'b'}, found)
        failure = await bench.refusal(exclude=frozenset({'a', 'b'}))
        self.assertEqual(errors.ErrorKind.NO_ROOM, failure.kind)

    async def test_drain_in_the_configuration(self) -> None:
        """Guards against new work for a server that operators drain."""
        bench = Bench(two_servers())
        drain = {'target_kind': 'backend_server', 'target': 'a'}
        bench.change(two_servers(drains={'d': drain}))
        self.assertEqual({'b'}, await self.names(bench))

    async def test_answer_that_says_draining(self) -> None:
        """Guards against new work after an X-Draining header."""
        bench = Bench(two_servers())
        taken = await bench.get(exclude=frozenset({'b'}))
        bench.finish(taken, ANSWERED._replace(draining=True))
        self.assertEqual({'b'}, await self.names(bench))

    async def test_failures_eject(self) -> None:
        """Guards against requests for a server that refuses connections."""
        bench = Bench(two_servers())
        refused = routing.Observation(
            routing.Outcome.CONNECT_FAILED, 0.0, 0, False
        )
        for _ in range(2):
            taken = await bench.get(exclude=frozenset({'b'}))
            bench.finish(taken, refused)
        self.assertEqual({'b'}, await self.names(bench))

    async def test_shedding_server_loses_weight(self) -> None:
        """Guards against a server that reports idle and sheds."""
        bench = Bench(two_servers())
        bench.health.report_load('a', 0.0, bench.clock.now())
        bench.health.report_load('b', 0.8, bench.clock.now())
        shed = routing.Observation(routing.Outcome.SHED, 0.001, 0, False)
        found = collections.Counter[str]()
        for _ in range(100):
            taken = await bench.get()
            found[taken.server.name] += 1
            bench.finish(taken, shed if taken.server.name == 'a' else ANSWERED)
            bench.clock.advance(0.02)
        self.assertLess(found['a'], 10)

    async def test_slow_start_by_slot_number(self) -> None:
        """Guards against a cold server on which all VMs use their slots."""
        bench = Bench(two_servers())
        for event in (routing.Event.PROBE_FAILED,) * 2:
            bench.health.observe('a', event, bench.clock.now())
        bench.health.observe('a', routing.Event.PROBE_UP, bench.clock.now())
        only_a = frozenset({'b'})
        taken = await bench.get(exclude=only_a)
        self.assertEqual(0, taken.hold.slot)
        deadline = bench.clock.now() + 30
        waiting = bench.begin(exclude=only_a, deadline=deadline)
        await settle()
        self.assertFalse(waiting.done())
        self.assertEqual(1, bench.slots.in_use('a'))
        bench.tick(10.1)
        await settle()
        self.assertEqual(1, waiting.result().unwrap().hold.slot)

    async def test_slow_start_needs_the_low_slots(self) -> None:
        """Guards against a VM that owns only high slots and uses one."""
        bench = Bench(two_servers())
        bench.slots.owned['a'] = [1]
        bench.health.rows['a'].ramp_since = bench.clock.now()
        waiting = bench.begin(exclude=frozenset({'b'}))
        await settle()
        self.assertFalse(waiting.done())
        self.assertEqual(0, bench.slots.in_use('a'))
        waiting.cancel()


class TestRegions(unittest.IsolatedAsyncioTestCase):
    """Loans, spills, caps and link bytes."""

    async def test_waits_for_a_loan_before_it_spills(self) -> None:
        """Guards against shifts while peers have idle slots nearby."""
        bench = Bench(two_servers(regions=TWO_REGIONS))
        bench.slots.owned.update(a=[], b=[])
        bench.slots.others['hobart'] = 0.5
        waiting = bench.begin()
        await settle()
        self.assertFalse(waiting.done())
        self.assertEqual(1, bench.slots.wanted['bookings', 'hobart'])
        bench.slots.owned['a'] = [0]
        bench.dispatcher.wake('bookings')
        await settle()
        self.assertEqual('a', waiting.result().unwrap().server.name)
        spilt = bench.begin()
        await settle()
        self.assertFalse(spilt.done())
        bench.tick()
        await settle()
        self.assertEqual('c', spilt.result().unwrap().server.name)
        self.assertTrue(spilt.result().unwrap().placement.moved)

    async def test_full_region_spills_at_once(self) -> None:
        """Guards against waiting beside idle servers."""
        bench = Bench(two_servers(regions=TWO_REGIONS))
        for _ in range(4):
            await bench.get()
        taken = await bench.get()
        self.assertEqual('launceston', taken.placement.region)

    async def test_cap_holds_a_spill_back(self) -> None:
        """Guards against a spill above the cap, or a needless refusal."""
        caps = {'bookings': {'max_share': 0.0, 'interval_s': 10.0}}
        bench = Bench(two_servers(regions=TWO_REGIONS, caps=caps))
        taken = [await bench.get() for _ in range(4)]
        waiting = bench.begin()
        await settle()
        self.assertFalse(waiting.done())
        bench.finish(taken[0])
        await settle()
        self.assertFalse(waiting.result().unwrap().placement.moved)

    async def test_cap_with_a_dead_region_refuses_at_once(self) -> None:
        """Guards against waiting for servers that are gone."""
        caps = {'bookings': {'max_share': 0.0, 'interval_s': 10.0}}
        bench = Bench(two_servers(regions=TWO_REGIONS, caps=caps))
        bench.finish(await bench.get())
        for name in ('a', 'b'):
            bench.health.rows[name].state = routing.State.DOWN
        bench.clock.advance(1.0)
        failure = await bench.refusal()
        self.assertEqual(errors.ErrorKind.SHIFT_CAP, failure.kind)
        self.assertEqual(9.0, failure.retry_after_s)
        bench.health.rows['c'].state = routing.State.DOWN
        bench.clock.advance(1.0)
        failure = await bench.refusal()
        self.assertEqual(errors.ErrorKind.NO_ROOM, failure.kind)

    async def test_region_that_dies_under_waiters(self) -> None:
        """Guards against waiters that nobody refuses."""
        bench = Bench(two_servers())
        for _ in range(4):
            await bench.get()
        waiting = bench.begin()
        await settle()
        for name in ('a', 'b'):
            bench.health.rows[name].state = routing.State.DOWN
        bench.tick()
        await settle()
        self.assertEqual(
            errors.ErrorKind.NO_ROOM, waiting.result().unwrap_err().kind
        )

    def far(self, work: str = 'interactive') -> Bench:
        """Return a bench whose only server is behind a link."""
        service = routing_fakes.service_doc(work, {'launceston': 1.0})
        bench = Bench(
            routing_fakes.documents(
                {'bookings': service},
                {'c': routing_fakes.server_doc('bookings', 'launceston', 9)},
                links=LINKS,
            )
        )
        bench.shares.tokens = {
            'link/hobart-launceston': 2000.0,
            'link/launceston-hobart': 40_000.0,
        }
        return bench

    async def test_link_bytes_are_settled(self) -> None:
        """Guards against link shares that drift from what was sent."""
        cases = (
            (ANSWERED, 1500.0, 39_000.0),
            (ANSWERED._replace(answer_bytes=39_000), 1500.0, 1000.0),
            (ANSWERED._replace(answer_bytes=90_000), 1500.0, -50_000.0),
            (
                routing.Observation(
                    routing.Outcome.CONNECT_FAILED, 0.0, 0, False
                ),
                2000.0,
                40_000.0,
            ),
            (
                routing.Observation(routing.Outcome.SHED, 0.0, 200, False),
                1500.0,
                39_800.0,
            ),
        )
        for observation, out, back in cases:
            with self.subTest(observation=observation):
                bench = self.far()
                taken = await bench.get()
                self.assertEqual(
                    1500.0, bench.shares.tokens['link/hobart-launceston']
                )
                self.assertEqual(
                    40_000 - 16_384,
                    bench.shares.tokens['link/launceston-hobart'],
                )
                bench.finish(taken, observation)
                self.assertEqual(
                    {
                        'link/hobart-launceston': out,
                        'link/launceston-hobart': back,
                    },
                    bench.shares.tokens,
                )

    async def test_no_link_bytes(self) -> None:
        """Guards against requests that overload a link."""
        bench = self.far()
        await bench.get()
        await bench.get()
        waiting = bench.begin()
        await settle()
        self.assertFalse(waiting.done())
        self.assertEqual(2, bench.slots.total_in_use())
        self.assertEqual(1000.0, bench.shares.tokens['link/hobart-launceston'])
        self.assertIn('link/launceston-hobart', bench.shares.asked)
        bench.shares.tokens['link/launceston-hobart'] = 20_000.0
        bench.tick()
        await settle()
        self.assertTrue(waiting.done())

    async def test_deferrable_work_leaves_a_reserve(self) -> None:
        """Guards against deferrable answers that fill the link."""
        for work, starts in (('interactive', True), ('deferrable', False)):
            with self.subTest(work=work):
                bench = self.far(work)
                # A quarter of the burst of 1 MB is reserved.
                bench.shares.tokens = dict.fromkeys(
                    bench.shares.tokens, 251_000.0
                )
                task = bench.begin()
                await settle()
                self.assertEqual(starts, task.done())
                bench.shares.tokens['link/launceston-hobart'] = 270_000.0
                bench.tick()
                await settle()
                self.assertTrue(task.done())
                left = bench.shares.tokens['link/launceston-hobart']
                if not starts:
                    self.assertEqual(270_000.0 - 16_384, left)


class Op(typing.NamedTuple):
    """One operation of an interleaving."""

    kind: str
    number: int
    point: float


OPS = strategies.lists(
    strategies.builds(
        Op,
        kind=strategies.sampled_from(
            ['assign', 'assign', 'assign', 'finish', 'finish', 'cancel',
             'late cancel', 'pause', 'break', 'revive']
        ),
        number=strategies.integers(0, 50),
        point=strategies.sampled_from([0.05, 0.35, 0.7, 0.95]),
    ),
    max_size=60,
)  # fmt: skip


class TestInterleavings(unittest.TestCase):
    """No interleaving loses a slot, a link byte or a request."""

    @hypothesis.settings(
        derandomize=True, max_examples=120, deadline=None, database=None
    )
    @hypothesis.given(OPS)
    def test_everything_is_given_back(self, ops: list[Op]) -> None:
        """Guards against slots and bytes that leak, and stuck waiters."""
        asyncio.run(self.run_ops(ops))

    async def run_ops(self, ops: list[Op]) -> None:
        """Apply the operations; then finish all and look at what is left."""
        caps = {'bookings': {'max_share': 0.3, 'interval_s': 10.0}}
        regions = {'hobart': 3.0, 'launceston': 1.0}
        bench = Bench(two_servers(regions=regions, caps=caps, links=LINKS))
        bench.shares.tokens = {f'link/{name}': 50_000.0 for name in LINKS}
        tasks: list[asyncio.Task[Assigned]] = []
        taken: list[routing.Assignment] = []
        for op in ops:
            self.apply(bench, op, tasks, taken)
            if op.kind != 'late cancel':
                await settle()
            self.collect(tasks, taken)
            self.check(bench, taken)
        bench.health.sync({}, bench.clock.now())
        bench.health.sync(bench.config.backend_servers, bench.clock.now())
        for _ in range(200):
            await settle()
            self.collect(tasks, taken)
            while taken:
                self.end(bench, taken.pop())
            bench.tick()
        self.assertEqual([], tasks)
        self.assertEqual(0, bench.slots.total_in_use())
        self.assertEqual({}, bench.dispatcher.running)
        self.assertEqual(
            dict.fromkeys(bench.shares.tokens, 50_000.0), bench.shares.tokens
        )

    def end(self, bench: Bench, assignment: routing.Assignment) -> None:
        """Finish a request that was not sent, so that all bytes return."""
        bench.finish(
            assignment,
            routing.Observation(routing.Outcome.NOT_SENT, 0.0, 0, False),
        )

    def apply(
        self,
        bench: Bench,
        op: Op,
        tasks: list[asyncio.Task[Assigned]],
        taken: list[routing.Assignment],
    ) -> None:
        """Apply one operation."""
        names = sorted(bench.config.backend_servers)
        name = names[op.number % len(names)]
        if op.kind == 'assign':
            account = f'account-{op.number % 3}'
            tasks.append(bench.begin(point=op.point, client_account=account))
        elif op.kind == 'finish' and taken:
            self.end(bench, taken.pop(op.number % len(taken)))
        elif op.kind == 'cancel' and tasks:
            tasks[op.number % len(tasks)].cancel()
        elif op.kind == 'late cancel' and tasks and taken:
            self.end(bench, taken.pop(op.number % len(taken)))
            tasks[op.number % len(tasks)].cancel()
        elif op.kind == 'pause':
            bench.tick(0.07 * op.number)
        elif op.kind == 'break':
            event = routing.Event.PROBE_FAILED
            bench.health.observe(name, event, bench.clock.now())
        elif op.kind == 'revive':
            event = routing.Event.PROBE_UP
            bench.health.observe(name, event, bench.clock.now())

    def collect(
        self,
        tasks: list[asyncio.Task[Assigned]],
        taken: list[routing.Assignment],
    ) -> None:
        """Move what tasks got to the list of running requests."""
        for task in [task for task in tasks if task.done()]:
            tasks.remove(task)
            if not task.cancelled() and isinstance(task.result(), result.Ok):
                taken.append(task.result().unwrap())

    def check(self, bench: Bench, taken: list[routing.Assignment]) -> None:
        """Check what holds after each operation."""
        running = bench.dispatcher.running
        self.assertEqual(bench.slots.total_in_use(), len(running))
        slots = {(item.hold.server, item.hold.slot) for item in taken}
        self.assertEqual(len(taken), len(slots))
        for name, server in bench.config.backend_servers.items():
            self.assertLessEqual(bench.slots.in_use(name), server.slots)
        for tokens in bench.shares.tokens.values():
            self.assertGreaterEqual(tokens, 0.0)
