"""Waits and rejections of requests under overload, by their cost."""

import asyncio
import typing
import unittest

import result

from filbertstep import errors
from filbertstep import steering
from filbertstep.entry import _contracts
from filbertstep.entry import _messages
from filbertstep.entry import _program
from filbertstep.platform import _settings
from tests import entry_samples
from tests import steering_samples as samples
from tests import test_entry_requests
from tests import test_platform_adapter

ARCHIVE: typing.Final = samples.route(
    name='archive',
    path_prefix='/archive/',
    priority=2,
    timeout_s=8.0,
    target_s=2.0,
    sticky=False,
)


class TestOverload(test_entry_requests.RequestTestCase):
    """Urgent short requests beside archive reads, and all slots in use."""

    def build_overload(self, order: str = 'auto') -> None:
        """Build a VM whose nine slots are all in use."""
        self.build()
        self.state.set_settings(
            entry_samples.settings(
                overload_order=steering.OverloadOrder(order)
            )
        )
        self.configure(
            routes=(
                samples.route(priority=0, sticky=False, max_attempts=1),
                ARCHIVE,
            ),
            accounts={'acme': samples.account(rate_per_s=0.0)},
        )
        for row in self.state.servers.by_id.values():
            row.in_progress = 3

    async def tick(self) -> None:
        """Dispatch at intervals, as the entry program does."""
        while True:
            self.state.wait_queue.dispatch('orders', self.clock.now())
            await asyncio.sleep(_program.TICK_INTERVAL_S)

    def start(
        self, path: str, left_s: float = 10.0
    ) -> asyncio.Task[_messages.Reply]:
        """Start a request whose caller waits for this time."""
        return asyncio.ensure_future(
            self.serve(path=path, deadline=self.clock.now() + left_s)
        )

    def counted(self, name: str, service: str, priority: int) -> float:
        """Return the value of a counter."""
        labels = {'service': service, 'priority': str(priority)}
        return (
            self.system.counters.registry.get_sample_value(name, labels) or 0.0
        )

    async def test_no_order_waits_longer_than_half_of_the_target(
        self,
    ) -> None:
        """Guards against slots that late answers take from others.

        Waits until the deadline served fewer requests in time under load.
        """
        for order in ('auto', 'priority'):
            with self.subTest(order=order):
                self.build_overload(order)
                ticker = asyncio.ensure_future(self.tick())
                task = self.start('/orders/7')
                async with asyncio.timeout(2.0):
                    reply = await task
                ticker.cancel()
                self.assertEqual(reply.status, 503)
                self.assertEqual(self.forwarder.attempts, [])

    async def test_urgent_requests_pass_a_burst_of_archive_reads(
        self,
    ) -> None:
        """A burst of long reads must not hold up a short urgent request."""
        self.build_overload()
        reads = [self.start('/archive/1') for _ in range(3)]
        await asyncio.sleep(0.01)
        urgent = self.start('/orders/7')
        await asyncio.sleep(0.01)
        self.assertEqual(self.state.wait_queue.length('orders'), 4)
        self.state.servers.by_id['s1'].in_progress = 2
        self.state.wait_queue.dispatch('orders', self.clock.now())
        await asyncio.sleep(0.01)
        self.assertTrue(urgent.done())
        self.assertEqual(urgent.result().status, 200)
        self.assertEqual(
            self.counted('filbertstep_waits_total', 'orders', 2), 3.0
        )
        for read in reads:
            read.cancel()
        await asyncio.wait(reads)
        self.assertEqual(self.state.wait_queue.length('orders'), 0)

    async def test_displaced_requests_are_rejected_and_never_run(self) -> None:
        """Reads that lose their place get 503 at once, and reach no server.

        The servers hang in all slots, so that few slots become free.
        """
        self.build_overload()
        reads = [self.start('/archive/1', 6.0) for _ in range(4)]
        await asyncio.sleep(0.02)
        self.assertFalse(any(read.done() for read in reads))
        urgent = [self.start('/orders/7', 6.0) for _ in range(30)]
        ticker = asyncio.ensure_future(self.tick())
        await asyncio.sleep(0.2)
        rejected = [read for read in reads if read.done()]
        self.assertGreaterEqual(len(rejected), 1)
        for read in rejected:
            reply = read.result()
            self.assertEqual(reply.status, 503)
            self.assertIs(self.kind(reply), errors.ErrorKind.NO_ROOM)
            assert reply.failure is not None
            self.assertGreaterEqual(
                reply.failure.retry_after_s or 0.0,
                _messages.MIN_RETRY_AFTER_S,
            )
            self.assertLessEqual(
                reply.failure.retry_after_s or 9.0,
                _messages.MAX_RETRY_AFTER_S,
            )
        self.assertEqual(self.forwarder.attempts, [])
        self.assertEqual(self.requests_in_progress(), 9)
        self.assertGreaterEqual(
            self.counted('filbertstep_rejected_overload_total', 'orders', 2),
            len(rejected),
        )
        (line,) = self.log_lines('overload')
        self.assertEqual((line['service'], line['entered']), ('orders', True))
        now = self.clock.now()
        self.system.log_ended_overloads(now + 60.0)
        self.assertEqual(
            [line['entered'] for line in self.log_lines('overload')],
            [True, False],
        )
        for task in (ticker, *reads, *urgent):
            task.cancel()
        await asyncio.wait([ticker, *reads, *urgent])
        self.assertEqual(self.requests_in_progress(), 9)

    async def test_waits_end_when_all_servers_go(self) -> None:
        """All servers of a service are removed while requests wait."""
        self.build_overload()
        tasks = [self.start('/archive/1') for _ in range(4)]
        await asyncio.sleep(0.01)
        self.assertEqual(self.state.wait_queue.length('orders'), 4)
        for name in ('s0', 's1', 's2'):
            self.state.servers.remove(name)
        self.state.wait_queue.dispatch('orders', self.clock.now())
        async with asyncio.timeout(0.5):
            replies = await asyncio.gather(*tasks)
        self.assertEqual({reply.status for reply in replies}, {503})
        self.assertEqual(self.forwarder.attempts, [])

    async def test_hopeless_request_is_rejected_at_once(self) -> None:
        """A request without a chance must not wait for its deadline."""
        self.build_overload()
        reads = [self.start('/archive/1') for _ in range(8)]
        urgent = [self.start('/orders/7') for _ in range(12)]
        await asyncio.sleep(0.01)
        ticker = asyncio.ensure_future(self.tick())
        started = self.clock.now()
        async with asyncio.timeout(2.0):
            reply = await self.start('/archive/2', 0.5)
        self.assertEqual(reply.status, 503)
        self.assertLess(self.clock.now() - started, 0.15)
        for task in (ticker, *reads, *urgent):
            task.cancel()
        await asyncio.wait([ticker, *reads, *urgent])

    async def test_absurd_times_are_treated_as_before(self) -> None:
        """A route with an absurd target must not fail requests."""
        self.build_overload()
        self.configure(
            routes=(
                samples.route(priority=0, target_s=float('inf')),
                ARCHIVE,
            )
        )
        for row in self.state.servers.by_id.values():
            row.in_progress = 2
        read = self.start('/archive/1')
        async with asyncio.timeout(2.0):
            reply = await self.start('/orders/7')
            self.assertEqual(reply.status, 200)
            self.assertEqual((await read).status, 200)

    async def test_the_order_follows_the_configuration(self) -> None:
        """Deployments with one priority are served as before."""
        self.build()
        self.assertEqual(set(self.state.wait_queue.schedules), set())
        self.configure(routes=(samples.route(priority=0), ARCHIVE))
        self.assertEqual(set(self.state.wait_queue.schedules), {'orders'})
        self.configure(routes=(samples.route(priority=0),))
        self.assertEqual(set(self.state.wait_queue.schedules), set())


class TestSetting(unittest.TestCase):
    """The setting ``overload_order``."""

    def parse(
        self, field: str
    ) -> result.Result[_contracts.EntrySettings, str]:
        """Parse sample settings with one more field."""
        text = test_platform_adapter.render_settings({})
        return _settings.parse_settings(text.replace('{', '{' + field, 1))

    def test_values_are_checked(self) -> None:
        """Guards against a start with a misspelt order."""
        for field, expected in (
            ('', steering.OverloadOrder.AUTO),
            ('overload_order: "auto",', steering.OverloadOrder.AUTO),
            ('overload_order: "cost",', steering.OverloadOrder.COST),
            ('overload_order: "priority",', steering.OverloadOrder.PRIORITY),
        ):
            self.assertIs(self.parse(field).unwrap().overload_order, expected)
        for field in ('overload_order: "costs",', 'overload_order: 1,'):
            self.assertIn('$.overload_order', self.parse(field).unwrap_err())
