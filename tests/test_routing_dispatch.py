"""Tests of the assignment and the release of slots by the dispatcher."""

import asyncio
import typing
import unittest

import hypothesis
from hypothesis import strategies
import result

from filbertstep import config
from filbertstep import errors
from filbertstep import routing
from tests import routing_bench
from tests import routing_fakes

WITHDRAWN = errors.Failure(errors.ErrorKind.UNAUTHORIZED, 'key withdrawn')


class TestAssign(unittest.IsolatedAsyncioTestCase):
    """Requests get a slot, wait for one, or are refused."""

    async def test_uses_every_slot_once(self) -> None:
        """Guards against assigning one slot to two requests."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        assignments = [await bench.get() for _ in range(4)]
        slots = {
            (item.server.name, item.slot_hold.slot) for item in assignments
        }
        self.assertEqual({('a', 0), ('a', 1), ('b', 0), ('b', 1)}, slots)
        self.assertEqual(4, bench.slots.total_in_use())
        for item in assignments:
            bench.finish(item)
        self.assertEqual(0, bench.slots.total_in_use())

    async def test_queued_requests_start_in_order(self) -> None:
        """Guards against queued requests that ignore a released slot."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        assignments = [await bench.get() for _ in range(4)]
        waiting = [bench.begin() for _ in range(2)]
        await routing_bench.settle()
        self.assertFalse(waiting[0].done() or waiting[1].done())
        self.assertEqual(2, bench.dispatcher.status(0.0)['bookings']['queued'])
        bench.finish(assignments[0])
        await routing_bench.settle()
        self.assertTrue(waiting[0].done())
        self.assertFalse(waiting[1].done())
        self.assertEqual(
            assignments[0].server, waiting[0].result().unwrap().server
        )
        bench.finish(assignments[1])
        await routing_bench.settle()
        self.assertTrue(waiting[1].done())

    async def test_finish_twice_raises(self) -> None:
        """Guards against releasing a slot that another request now uses."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        assignment = await bench.get()
        bench.finish(assignment)
        with self.assertRaises(KeyError):
            bench.finish(assignment)

    async def test_run_that_may_continue_keeps_its_slot(self) -> None:
        """Guards against reusing a slot while its request may still run."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        assignment = await bench.get()
        broken = routing.AttemptResult(
            routing.AttemptOutcome.BROKEN, 0.1, 0, True
        )
        bench.finish(assignment, broken)
        self.assertEqual([assignment.slot_hold], bench.slots.held_to_deadline)
        self.assertEqual(1, bench.slots.total_in_use())
        self.assertEqual(
            bench.clock.now() + 5.0, assignment.slot_hold.run_until
        )

    async def test_cancelled_request_leaves_the_queue(self) -> None:
        """Guards against assigning a slot to a caller that has left."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        assignments = [await bench.get() for _ in range(4)]
        cancelled, other = bench.begin(), bench.begin()
        await routing_bench.settle()
        cancelled.cancel()
        await routing_bench.settle()
        bench.finish(assignments[0])
        await routing_bench.settle()
        self.assertTrue(cancelled.cancelled())
        self.assertIsInstance(other.result(), result.Ok)

    async def test_cancelled_between_assignment_and_resumption(self) -> None:
        """Guards against leaking a slot if the waiting task is cancelled.

        The slot is assigned before the task runs again, so that the task is
        cancelled while it already has one.
        """
        for order in ('finish first', 'cancel first'):
            with self.subTest(order=order):
                bench = routing_bench.Bench(routing_bench.two_servers())
                assignments = [await bench.get() for _ in range(4)]
                cancelled = bench.begin()
                await routing_bench.settle()
                if order == 'finish first':
                    bench.finish(assignments[0])
                    cancelled.cancel()
                else:
                    cancelled.cancel()
                    bench.finish(assignments[0])
                await routing_bench.settle()
                self.assertTrue(cancelled.cancelled())
                self.assertEqual(3, bench.slots.total_in_use())
                self.assertEqual(3, len(bench.dispatcher.running))

    async def test_too_little_time_is_refused(self) -> None:
        """Guards against sending a request that cannot finish in time."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        for _ in range(10):
            assignment = await bench.get()
            bench.finish(
                assignment, routing_bench.ANSWERED._replace(latency_s=0.3)
            )
        now = bench.clock.now()
        failure = await bench.refusal(deadline=now + 0.29)
        self.assertEqual(errors.ErrorKind.OVERLOADED, failure.kind)
        bench.finish(await bench.get(deadline=now + 0.31))
        failure = await routing_bench.Bench(
            routing_bench.two_servers()
        ).refusal(deadline=now + 0.0009)
        self.assertEqual(errors.ErrorKind.OVERLOADED, failure.kind)

    async def test_waiting_ends_before_the_deadline(self) -> None:
        """Guards against interactive requests that wait too long."""
        docs = routing_bench.two_servers()
        docs[config.EntityKind.SERVICE]['care'] = routing_fakes.service_doc(
            'deferrable'
        )
        docs[config.EntityKind.BACKEND_SERVER]['d'] = routing_fakes.server_doc(
            'care', 'hobart', slots=1
        )
        bench = routing_bench.Bench(docs)
        for _ in range(4):
            await bench.get()
        await bench.get('care')
        quick, patient = bench.begin(), bench.begin('care')
        await routing_bench.settle()
        bench.tick(3.9)
        await routing_bench.settle()
        self.assertFalse(quick.done())
        bench.tick(0.2)
        await routing_bench.settle()
        self.assertEqual(
            errors.ErrorKind.OVERLOADED, quick.result().unwrap_err().kind
        )
        bench.tick(0.8)
        await routing_bench.settle()
        self.assertFalse(patient.done())
        bench.tick(0.2)
        await routing_bench.settle()
        self.assertEqual(
            errors.ErrorKind.OVERLOADED, patient.result().unwrap_err().kind
        )

    async def test_withdrawn_key_refuses_waiting_requests(self) -> None:
        """Guards against running a request whose key has been withdrawn."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        assignments = [await bench.get() for _ in range(4)]
        withdrawn, other = bench.begin(api_key_digest='k1'), bench.begin()
        await routing_bench.settle()
        failed = bench.dispatcher.refuse_waiting(
            lambda request: request.api_key_digest == 'k1', WITHDRAWN
        )
        self.assertEqual(1, failed)
        bench.finish(assignments[0])
        await routing_bench.settle()
        self.assertEqual(result.Err(WITHDRAWN), withdrawn.result())
        self.assertIsInstance(other.result(), result.Ok)

    async def test_status(self) -> None:
        """Guards against status figures that do not match the requests."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        for _ in range(99):
            bench.finish(await bench.get())
        slow = await bench.get()
        bench.finish(slow, routing_bench.ANSWERED._replace(latency_s=4.0))
        await bench.get()
        status = bench.dispatcher.status(bench.clock.now())['bookings']
        self.assertEqual((0, 1), (status['queued'], status['running']))
        self.assertEqual({'hobart': 3, 'launceston': 2}, status['idle_slots'])
        assert status['p50_s'] is not None
        assert status['p99_s'] is not None
        self.assertTrue(0.01 < status['p50_s'] <= 0.02)
        self.assertTrue(0.01 < status['p99_s'] <= 0.02)


class Op(typing.NamedTuple):
    """One operation of a random interleaving."""

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
        """Apply the operations, finish all requests and check for leaks."""
        caps = {'bookings': {'max_share': 0.3, 'interval_s': 10.0}}
        regions = {'hobart': 3.0, 'launceston': 1.0}
        bench = routing_bench.Bench(
            routing_bench.two_servers(
                regions=regions, caps=caps, links=routing_bench.LINKS
            )
        )
        bench.token_buckets.tokens = {
            f'link/{name}': 50_000.0 for name in routing_bench.LINKS
        }
        tasks: list[asyncio.Task[routing_bench.Assigned]] = []
        assignments: list[routing.Assignment] = []
        for op in ops:
            self.apply(bench, op, tasks, assignments)
            if op.kind != 'late cancel':
                await routing_bench.settle()
            self.collect(tasks, assignments)
            self.check(bench, assignments)
        bench.health.sync({}, bench.clock.now())
        bench.health.sync(bench.config.backend_servers, bench.clock.now())
        for _ in range(200):
            await routing_bench.settle()
            self.collect(tasks, assignments)
            while assignments:
                self.end(bench, assignments.pop())
            bench.tick()
        self.assertEqual([], tasks)
        self.assertEqual(0, bench.slots.total_in_use())
        self.assertEqual({}, bench.dispatcher.running)
        self.assertEqual(
            dict.fromkeys(bench.token_buckets.tokens, 50_000.0),
            bench.token_buckets.tokens,
        )

    def end(
        self, bench: routing_bench.Bench, assignment: routing.Assignment
    ) -> None:
        """Finish a request as not sent, which refunds all its link bytes."""
        bench.finish(
            assignment,
            routing.AttemptResult(
                routing.AttemptOutcome.NOT_SENT, 0.0, 0, False
            ),
        )

    def apply(
        self,
        bench: routing_bench.Bench,
        op: Op,
        tasks: list[asyncio.Task[routing_bench.Assigned]],
        assignments: list[routing.Assignment],
    ) -> None:
        """Apply one operation."""
        names = sorted(bench.config.backend_servers)
        name = names[op.number % len(names)]
        if op.kind == 'assign':
            account = f'account-{op.number % 3}'
            tasks.append(
                bench.begin(hash_point=op.point, client_account=account)
            )
        elif op.kind == 'finish' and assignments:
            self.end(bench, assignments.pop(op.number % len(assignments)))
        elif op.kind == 'cancel' and tasks:
            tasks[op.number % len(tasks)].cancel()
        elif op.kind == 'late cancel' and tasks and assignments:
            self.end(bench, assignments.pop(op.number % len(assignments)))
            tasks[op.number % len(tasks)].cancel()
        elif op.kind == 'pause':
            bench.tick(0.07 * op.number)
        elif op.kind == 'break':
            event = routing.HealthEvent.PROBE_FAILED
            bench.health.observe(name, event, bench.clock.now())
        elif op.kind == 'revive':
            event = routing.HealthEvent.PROBE_UP
            bench.health.observe(name, event, bench.clock.now())

    def collect(
        self,
        tasks: list[asyncio.Task[routing_bench.Assigned]],
        assignments: list[routing.Assignment],
    ) -> None:
        """Move the assignments of finished tasks to ``assignments``."""
        for task in [task for task in tasks if task.done()]:
            tasks.remove(task)
            if not task.cancelled() and isinstance(task.result(), result.Ok):
                assignments.append(task.result().unwrap())

    def check(
        self, bench: routing_bench.Bench, assignments: list[routing.Assignment]
    ) -> None:
        """Check the invariants that hold after each operation."""
        running = bench.dispatcher.running
        self.assertEqual(bench.slots.total_in_use(), len(running))
        slots = {
            (item.slot_hold.server, item.slot_hold.slot)
            for item in assignments
        }
        self.assertEqual(len(assignments), len(slots))
        for name, server in bench.config.backend_servers.items():
            self.assertLessEqual(bench.slots.in_use_count(name), server.slots)
        for tokens in bench.token_buckets.tokens.values():
            self.assertGreaterEqual(tokens, 0.0)
