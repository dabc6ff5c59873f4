"""Tests of the dispatcher's choice of servers and regions."""

import collections
import typing
import unittest

from filbertstep import errors
from filbertstep import routing
from tests import routing_bench
from tests import routing_fakes


class TestServers(unittest.IsolatedAsyncioTestCase):
    """Which servers a request may run on."""

    async def names(
        self, bench: routing_bench.Bench, **changes: typing.Any
    ) -> set[str]:
        """Return the servers of two requests that run at the same time."""
        assignments = [await bench.get(**changes) for _ in range(2)]
        for item in assignments:
            bench.finish(item, routing_bench.ANSWERED)
        return {item.server.name for item in assignments}

    async def test_excluded_server_is_not_used(self) -> None:
        """Guards against a retry on the server that failed before."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        found = await self.names(bench, excluded_servers=frozenset({'a'}))
        self.assertEqual({'b'}, found)
        failure = await bench.refusal(excluded_servers=frozenset({'a', 'b'}))
        self.assertEqual(errors.ErrorKind.NO_ROOM, failure.kind)

    async def test_drained_server_is_not_used(self) -> None:
        """Guards against new requests for a server that operators drain."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        drain = {'target_kind': 'backend_server', 'target': 'a'}
        bench.change(routing_bench.two_servers(drains={'d': drain}))
        self.assertEqual({'b'}, await self.names(bench))

    async def test_draining_header_stops_requests(self) -> None:
        """Guards against new requests after an X-Draining header."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        assignment = await bench.get(excluded_servers=frozenset({'b'}))
        bench.finish(
            assignment, routing_bench.ANSWERED._replace(draining=True)
        )
        self.assertEqual({'b'}, await self.names(bench))

    async def test_connection_failures_eject(self) -> None:
        """Guards against requests for a server that refuses connections."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        refused = routing.AttemptResult(
            routing.AttemptOutcome.CONNECT_FAILED, 0.0, 0, False
        )
        for _ in range(2):
            assignment = await bench.get(excluded_servers=frozenset({'b'}))
            bench.finish(assignment, refused)
        self.assertEqual({'b'}, await self.names(bench))

    async def test_shedding_server_gets_few_requests(self) -> None:
        """Guards against preferring a server that reports idle but sheds."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        bench.health.record_load('a', 0.0, bench.clock.now())
        bench.health.record_load('b', 0.8, bench.clock.now())
        shed = routing.AttemptResult(
            routing.AttemptOutcome.SHED, 0.001, 0, False
        )
        found = collections.Counter[str]()
        for _ in range(100):
            assignment = await bench.get()
            found[assignment.server.name] += 1
            bench.finish(
                assignment,
                shed
                if assignment.server.name == 'a'
                else routing_bench.ANSWERED,
            )
            bench.clock.advance(0.02)
        self.assertLess(found['a'], 10)

    async def test_slow_start_by_slot_number(self) -> None:
        """Guards against all VMs using their slots on a cold server."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        for event in (routing.HealthEvent.PROBE_FAILED,) * 2:
            bench.health.observe('a', event, bench.clock.now())
        bench.health.observe(
            'a', routing.HealthEvent.PROBE_UP, bench.clock.now()
        )
        only_a = frozenset({'b'})
        assignment = await bench.get(excluded_servers=only_a)
        self.assertEqual(0, assignment.slot_hold.slot)
        deadline = bench.clock.now() + 30
        waiting = bench.begin(excluded_servers=only_a, deadline=deadline)
        await routing_bench.settle()
        self.assertFalse(waiting.done())
        self.assertEqual(1, bench.slots.in_use_count('a'))
        bench.tick(10.1)
        await routing_bench.settle()
        self.assertEqual(1, waiting.result().unwrap().slot_hold.slot)

    async def test_slow_start_needs_the_low_slots(self) -> None:
        """Guards against using a slot whose number slow start excludes."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        bench.slots.owned['a'] = [1]
        bench.health.rows['a'].slow_start_since = bench.clock.now()
        waiting = bench.begin(excluded_servers=frozenset({'b'}))
        await routing_bench.settle()
        self.assertFalse(waiting.done())
        self.assertEqual(0, bench.slots.in_use_count('a'))
        waiting.cancel()


class TestRegions(unittest.IsolatedAsyncioTestCase):
    """Borrowed slots, other regions, shift caps and link bytes."""

    async def test_waits_for_a_borrowed_slot_before_moving(self) -> None:
        """Guards against moving requests while peers have idle slots here."""
        bench = routing_bench.Bench(
            routing_bench.two_servers(regions=routing_bench.TWO_REGIONS)
        )
        bench.slots.owned.update(a=[], b=[])
        bench.slots.idle_fractions['hobart'] = 0.5
        waiting = bench.begin()
        await routing_bench.settle()
        self.assertFalse(waiting.done())
        self.assertEqual(1, bench.slots.reported_waiting['bookings', 'hobart'])
        bench.slots.owned['a'] = [0]
        bench.dispatcher.on_capacity_available('bookings')
        await routing_bench.settle()
        self.assertEqual('a', waiting.result().unwrap().server.name)
        # Placements that were cancelled do not count.
        self.assertEqual(1, bench.shift.states['bookings'].placed)
        moved = bench.begin()
        await routing_bench.settle()
        self.assertFalse(moved.done())
        bench.tick()
        await routing_bench.settle()
        self.assertEqual('c', moved.result().unwrap().server.name)
        self.assertTrue(moved.result().unwrap().placement.moved)

    async def test_full_region_moves_at_once(self) -> None:
        """Guards against waiting while another region has idle servers."""
        bench = routing_bench.Bench(
            routing_bench.two_servers(regions=routing_bench.TWO_REGIONS)
        )
        for _ in range(4):
            await bench.get()
        assignment = await bench.get()
        self.assertEqual('launceston', assignment.placement.region)

    async def test_cap_prevents_a_move(self) -> None:
        """Guards against a move above the cap, or a needless refusal."""
        caps = {'bookings': {'max_share': 0.0, 'interval_s': 10.0}}
        bench = routing_bench.Bench(
            routing_bench.two_servers(
                regions=routing_bench.TWO_REGIONS, caps=caps
            )
        )
        assignments = [await bench.get() for _ in range(4)]
        waiting = bench.begin()
        await routing_bench.settle()
        self.assertFalse(waiting.done())
        bench.finish(assignments[0])
        await routing_bench.settle()
        self.assertFalse(waiting.result().unwrap().placement.moved)

    async def test_cap_without_usable_servers_refuses_at_once(self) -> None:
        """Guards against waiting for servers that are all down."""
        caps = {'bookings': {'max_share': 0.0, 'interval_s': 10.0}}
        bench = routing_bench.Bench(
            routing_bench.two_servers(
                regions=routing_bench.TWO_REGIONS, caps=caps
            )
        )
        bench.finish(await bench.get())
        for name in ('a', 'b'):
            bench.health.rows[name].state = routing.HealthState.DOWN
        bench.clock.advance(1.0)
        failure = await bench.refusal()
        self.assertEqual(errors.ErrorKind.SHIFT_CAP, failure.kind)
        self.assertEqual(9.0, failure.retry_after_s)
        bench.health.rows['c'].state = routing.HealthState.DOWN
        bench.clock.advance(1.0)
        failure = await bench.refusal()
        self.assertEqual(errors.ErrorKind.NO_ROOM, failure.kind)

    async def test_waiting_requests_of_a_failed_region_are_refused(
        self,
    ) -> None:
        """Guards against requests that wait although all servers are down."""
        bench = routing_bench.Bench(routing_bench.two_servers())
        for _ in range(4):
            await bench.get()
        waiting = bench.begin()
        await routing_bench.settle()
        for name in ('a', 'b'):
            bench.health.rows[name].state = routing.HealthState.DOWN
        bench.tick()
        await routing_bench.settle()
        self.assertEqual(
            errors.ErrorKind.NO_ROOM, waiting.result().unwrap_err().kind
        )

    def remote_server_bench(
        self, work: str = 'interactive'
    ) -> routing_bench.Bench:
        """Return a bench whose only server is in another region."""
        service = routing_fakes.service_doc(work, {'launceston': 1.0})
        bench = routing_bench.Bench(
            routing_fakes.documents(
                {'bookings': service},
                {'c': routing_fakes.server_doc('bookings', 'launceston', 9)},
                links=routing_bench.LINKS,
            )
        )
        bench.token_buckets.tokens = {
            'link/hobart-launceston': 2000.0,
            'link/launceston-hobart': 40_000.0,
        }
        return bench

    async def test_link_bytes_are_settled(self) -> None:
        """Guards against buckets that drift from the bytes actually sent."""
        cases = (
            (routing_bench.ANSWERED, 1500.0, 39_000.0),
            (
                routing_bench.ANSWERED._replace(answer_bytes=39_000),
                1500.0,
                1000.0,
            ),
            (
                routing_bench.ANSWERED._replace(answer_bytes=90_000),
                1500.0,
                -50_000.0,
            ),
            (
                routing.AttemptResult(
                    routing.AttemptOutcome.CONNECT_FAILED, 0.0, 0, False
                ),
                2000.0,
                40_000.0,
            ),
            (
                routing.AttemptResult(
                    routing.AttemptOutcome.SHED, 0.0, 200, False
                ),
                1500.0,
                39_800.0,
            ),
        )
        for attempt, out, back in cases:
            with self.subTest(attempt=attempt):
                bench = self.remote_server_bench()
                assignment = await bench.get()
                self.assertEqual(
                    1500.0,
                    bench.token_buckets.tokens['link/hobart-launceston'],
                )
                self.assertEqual(
                    40_000 - 16_384,
                    bench.token_buckets.tokens['link/launceston-hobart'],
                )
                bench.finish(assignment, attempt)
                self.assertEqual(
                    {
                        'link/hobart-launceston': out,
                        'link/launceston-hobart': back,
                    },
                    bench.token_buckets.tokens,
                )

    async def test_link_bytes_are_refunded_without_a_slot(self) -> None:
        """Guards against leaking bytes if no slot can be acquired."""
        bench = self.remote_server_bench()
        bench.slots.owned['c'] = [5]
        bench.health.rows['c'].slow_start_since = bench.clock.now()
        before = dict(bench.token_buckets.tokens)
        waiting = bench.begin()
        await routing_bench.settle()
        self.assertFalse(waiting.done())
        self.assertEqual(before, bench.token_buckets.tokens)
        waiting.cancel()

    async def test_waits_for_link_bytes(self) -> None:
        """Guards against overloading a link between regions."""
        bench = self.remote_server_bench()
        await bench.get()
        await bench.get()
        waiting = bench.begin()
        await routing_bench.settle()
        self.assertFalse(waiting.done())
        self.assertEqual(2, bench.slots.total_in_use())
        self.assertEqual(
            1000.0, bench.token_buckets.tokens['link/hobart-launceston']
        )
        self.assertIn('link/launceston-hobart', bench.token_buckets.asked)
        bench.token_buckets.tokens['link/launceston-hobart'] = 20_000.0
        bench.tick()
        await routing_bench.settle()
        self.assertTrue(waiting.done())

    async def test_deferrable_work_leaves_a_reserve(self) -> None:
        """Guards against deferrable responses that use up a link."""
        for work, starts in (('interactive', True), ('deferrable', False)):
            with self.subTest(work=work):
                bench = self.remote_server_bench(work)
                # A quarter of the burst of 1 MB is reserved.
                bench.token_buckets.tokens = dict.fromkeys(
                    bench.token_buckets.tokens, 251_000.0
                )
                task = bench.begin()
                await routing_bench.settle()
                self.assertEqual(starts, task.done())
                bench.token_buckets.tokens['link/launceston-hobart'] = (
                    270_000.0
                )
                bench.tick()
                await routing_bench.settle()
                self.assertTrue(task.done())
                left = bench.token_buckets.tokens['link/launceston-hobart']
                if not starts:
                    self.assertEqual(270_000.0 - 16_384, left)

    async def test_interactive_work_gets_link_bytes_first(self) -> None:
        """Guards against deferrable work that takes the remaining bytes."""
        services = {
            name: routing_fakes.service_doc(work, {'launceston': 1.0})
            for name, work in (
                ('care', 'deferrable'),
                ('orders', 'interactive'),
            )
        }
        servers = {
            name: routing_fakes.server_doc(name, 'launceston', 9)
            for name in services
        }
        bench = routing_bench.Bench(
            routing_fakes.documents(
                services, servers, links=routing_bench.LINKS
            )
        )
        bench.token_buckets.tokens = {
            'link/hobart-launceston': 1e6,
            'link/launceston-hobart': 0.0,
        }
        care = bench.begin('care')
        await routing_bench.settle()
        orders = bench.begin('orders')
        await routing_bench.settle()
        self.assertFalse(care.done() or orders.done())
        # Enough for one response and the reserve, but not for two responses.
        bench.token_buckets.tokens['link/launceston-hobart'] = 280_000.0
        bench.tick()
        await routing_bench.settle()
        self.assertTrue(orders.done())
        self.assertFalse(care.done())
        care.cancel()
