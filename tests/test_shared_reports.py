"""Reports on servers that the entry VMs of a zone share."""

import asyncio
import json
import typing
import unittest
from unittest import mock

import aiohttp

from filbertstep import clock
from filbertstep import delivery
from filbertstep import metrics
from filbertstep import steering
from filbertstep.entry import _connections
from filbertstep.entry import _peers
from filbertstep.entry import _report_exchange
from tests import steering_samples as samples
from tests import test_entry_knowledge
from tests import test_entry_requests

ROUTE: typing.Final = samples.route()


def build_report(
    server_id: str = 's0',
    running: int = 3,
    waiting: int = 2,
    at: float = 10.0,
    object_key: str = 'x',
) -> steering.ServerReport:
    """Return a report."""
    return steering.ServerReport(
        server_id,
        object_key,
        steering.LoadReport(running, waiting, 1.0),
        at,
    )


class TestReportLog(unittest.TestCase):
    """What a collector passes on."""

    def test_a_vm_gets_the_new_reports_of_others(self) -> None:
        """Guards against reports that come back to the VM that sent them.

        It would count its own requests a second time.
        """
        log = steering.ReportLog()
        log.add('vm-1', build_report('s0'))
        log.add('vm-2', build_report('s1'))
        log.add('vm-2', build_report('s2'))
        self.assertEqual(
            [report.server_id for report in log.newer_than(0, 'vm-1', 10.0)],
            ['s1', 's2'],
        )
        self.assertEqual(
            [report.server_id for report in log.newer_than(2, 'vm-1', 10.0)],
            ['s2'],
        )
        self.assertEqual(log.newer_than(0, 'vm-2', 20.0), [])

    def test_memory_and_messages_are_bounded(self) -> None:
        """Guards against memory that grows with the traffic of a zone."""
        log = steering.ReportLog()
        for number in range(10_000):
            log.add('vm-1', build_report(f's{number}'))
        self.assertLessEqual(len(log.reports), 4096)
        newer = log.newer_than(0, 'vm-2', 10.0)
        self.assertEqual(len(newer), log.max_per_message)
        self.assertEqual(newer[-1].server_id, 's9999')

    def test_an_old_report_behind_a_newer_one_is_left_out(self) -> None:
        """Guards against messages with ages that readers refuse.

        A VM that was paused sends reports that are older than the others'.
        """
        log = steering.ReportLog()
        log.add('vm-1', build_report('s0', at=100.0))
        log.add('vm-1', build_report('s1', at=41.0))
        self.assertEqual(
            [report.server_id for report in log.newer_than(0, 'vm-2', 101.0)],
            ['s0'],
        )


class TestSharedLoads(unittest.TestCase):
    """Pattern: many VMs with few requests each, which meet on a server."""

    def setUp(self) -> None:
        """Create the placement of a VM that has sent nothing yet."""
        self.table = samples.server_table(
            samples.server('s0'), samples.server('s1'), samples.server('s2')
        )
        self.placement = steering.Placement(
            self.table, 'a', 'a-1', samples.BOUNDS
        )
        for server in self.table.by_id.values():
            server.last_sent_at = 10.0

    def choose(self, now: float = 10.0) -> str:
        """Return the server that a request for an object gets."""
        best = self.placement.best_candidate(
            steering.PlacementQuery(ROUTE, 'orders', 'x', None), now
        )
        assert best is not None
        return best.server.entry.server_id

    def test_a_server_that_others_have_filled_is_avoided(self) -> None:
        """Guards against sending to a full server that ranks first."""
        first = self.choose()
        reports = [build_report(first, running=3, waiting=20)] * 4
        steering.apply_reports(self.table, reports, 10.0)
        self.assertNotEqual(self.choose(), first)
        # The requests that were reported have ended.
        self.assertEqual(self.choose(40.0), first)

    def test_an_object_that_others_had_cached_is_found(self) -> None:
        """Guards against a run without the object beside a cached copy."""
        first = self.choose()
        other = next(name for name in self.table.by_id if name != first)
        steering.apply_reports(
            self.table, [build_report(other, running=1, waiting=0)], 10.0
        )
        self.assertEqual(self.choose(), other)

    def test_own_requests_are_not_counted_twice(self) -> None:
        """Guards against avoiding a server because of the own requests."""
        server = self.table.by_id['s0']
        server.in_progress = 2
        steering.apply_reports(
            self.table, [build_report(running=3, waiting=0)], 10.0
        )
        self.assertEqual(server.current_other_vm_requests(10.0), 0.0)

    def test_odd_reports_change_nothing(self) -> None:
        """Guards against reports that are out of date or of no server."""
        for report in (
            build_report('s9'),
            build_report(at=-100.0),
            build_report(at=1000.0),
        ):
            with self.subTest(report=report):
                steering.apply_reports(self.table, [report], 10.0)
                for server in self.table.by_id.values():
                    self.assertEqual(server.estimated_requests(10.0), 0.0)
                    self.assertFalse(server.cached_objects)

    def test_an_older_machine_figure_does_not_replace_a_newer_one(
        self,
    ) -> None:
        """Guards against a slow machine that an older report hides.

        Reports of several VMs do not arrive in the order of their times.
        """
        server = self.table.by_id['s0']
        server.record_machine(2.5, 10.0)
        steering.apply_reports(self.table, [build_report(at=9.0)], 10.0)
        self.assertEqual(server.current_machine_slowdown(10.0), 2.5)

    def test_reports_on_the_former_process_of_a_server_are_ignored(
        self,
    ) -> None:
        """Guards against relying on the cache of a server that restarted."""
        self.table.put(samples.server('s0', incarnation=2), 9.5)
        server = self.table.by_id['s0']
        steering.apply_reports(self.table, [build_report(at=9.0)], 10.0)
        self.assertFalse(server.cached_objects)
        self.assertEqual(server.estimated_requests(10.0), 0.0)
        steering.apply_reports(self.table, [build_report(at=9.6)], 10.0)
        self.assertIn('x', server.cached_objects)


class FakeSettings(typing.NamedTuple):
    """Name and zone of the VM."""

    vm: str
    availability_zone: str = 'a-1'


class FakeMembers(typing.NamedTuple):
    """Live VMs by name."""

    live: dict[str, steering.Member]


class FakeState(typing.NamedTuple):
    """The parts of a VM's state that the exchange needs."""

    servers: steering.ServerTable
    members: FakeMembers
    settings: FakeSettings


class Vm:
    """One VM with a table of one server."""

    def __init__(self, name: str, session: aiohttp.ClientSession) -> None:
        self.clock = clock.FakeClock()
        self.table = samples.server_table(samples.server('s0'))
        # Any: the fake state has only what the exchange needs.
        state: typing.Any = FakeState(
            self.table, FakeMembers({}), FakeSettings(name)
        )
        self.state = state
        self.exchange = _report_exchange.ReportExchange(
            state,
            session,
            self.clock,
            metrics.Metrics(),
            test_entry_knowledge.make_log(self.clock),
        )

    def answer(self, running: int, machine: float | None = 1.0) -> None:
        """Get an answer from the server."""
        self.exchange.record(
            's0',
            'x',
            steering.LoadReport(running, 0, machine),
            self.clock.now(),
        )

    def known_load(self) -> float:
        """Return the estimated requests of other VMs at the server."""
        return self.table.by_id['s0'].current_other_vm_requests(
            self.clock.now()
        )


class TestReportExchange(unittest.IsolatedAsyncioTestCase):
    """VMs 1 and 2 of a zone, and VM 3, which collects their reports."""

    async def asyncSetUp(self) -> None:
        """Start the listener of VM 3."""
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        self.vms = [Vm(f'vm-{number}', session) for number in (1, 2, 3)]
        any_part = typing.cast(typing.Any, None)
        listener = _peers.PeerListener(
            self.vms[2].state,
            any_part,
            any_part,
            self.vms[2].clock,
            any_part,
            self.vms[2].exchange,
        )
        http_server = _connections.make_http_server(listener.handle)
        self.addAsyncCleanup(http_server.shutdown, 0.1)
        loop = asyncio.get_running_loop()
        self.listening = await loop.create_server(http_server, '127.0.0.1', 0)
        self.addCleanup(self.listening.close)
        port = self.listening.sockets[0].getsockname()[1]
        self.members = [
            samples.member(f'vm-{number}')._replace(peers=f'127.0.0.1:{port}')
            for number in (1, 2, 3)
        ]

    async def exchange(self, number: int) -> None:
        """Let a VM exchange reports once."""
        await self.vms[number - 1].exchange.exchange(self.members)

    async def test_reports_reach_the_other_vms(self) -> None:
        """Guards against a VM that knows only its own answers."""
        self.vms[0].answer(running=4)
        await self.exchange(1)
        await self.exchange(2)
        self.assertGreater(self.vms[1].known_load(), 1.0)
        self.assertGreater(self.vms[2].known_load(), 1.0)
        self.assertEqual(self.vms[0].known_load(), 0.0)
        self.assertIn('x', self.vms[1].table.by_id['s0'].cached_objects)

    async def test_a_collector_reports_what_it_learned_itself(self) -> None:
        """Guards against losing the answers of the collector."""
        self.vms[2].answer(running=4)
        await self.exchange(3)
        await self.exchange(1)
        self.assertGreater(self.vms[0].known_load(), 1.0)

    async def test_a_restarted_collector_is_noticed(self) -> None:
        """Guards against waiting for numbers that a new process will reach.

        It would pass on nothing until it had as many reports as the old one.
        """
        for _ in range(5):
            self.vms[0].answer(running=1)
        await self.exchange(1)
        await self.exchange(2)
        collector = self.vms[2].exchange
        collector.start_id = 'another process'
        collector.collected = steering.ReportLog()
        self.vms[0].answer(running=4)
        await self.exchange(1)
        before = self.vms[1].known_load()
        await self.exchange(2)
        self.assertGreater(self.vms[1].known_load(), before + 0.5)

    async def test_a_failed_collector_costs_nothing_but_reports(self) -> None:
        """Guards against an error in a VM whose collector is gone."""
        self.listening.close()
        await self.listening.wait_closed()
        self.members = [
            member._replace(peers='127.0.0.1:1') for member in self.members
        ]
        self.vms[0].answer(running=4)
        await self.exchange(1)
        self.assertEqual(self.vms[0].exchange.unsent, [])

    async def test_reports_continue_after_very_many(self) -> None:
        """Guards against a collector that refuses its own numbers.

        A zone with 130 requests a second has a million reports in 2.2 hours.
        """
        self.vms[2].exchange.collected.last_number = 1_000_000
        for _ in range(2):
            before = self.vms[1].known_load()
            self.vms[0].answer(running=4)
            await self.exchange(1)
            await self.exchange(2)
            self.assertGreater(self.vms[1].known_load(), before)

    async def test_old_reports_do_not_cost_the_new_ones(self) -> None:
        """Guards against a refused message after a pause, or without peers."""
        self.vms[0].answer(running=4)
        self.vms[0].clock.advance(100.0)
        self.vms[0].answer(running=4)
        await self.exchange(1)
        self.assertGreater(self.vms[2].known_load(), 1.0)

    async def test_an_answer_read_after_a_pause_is_old(self) -> None:
        """Guards against old loads that count as new when a VM wakes up."""
        exchange = self.vms[1].exchange

        async def answer_late(
            _address: str, _doc: _report_exchange.ReportsDoc
        ) -> _report_exchange.ReportsAnswerDoc:
            self.vms[1].clock.advance(30.0)
            return {
                'collector_start': 'c',
                'last': 1,
                'reports': [('s0', 'x', 4, 0, 1.0, 0.1)],
            }

        with mock.patch.object(exchange, 'send', answer_late):
            await self.exchange(2)
        self.assertEqual(self.vms[1].known_load(), 0.0)
        self.assertFalse(self.vms[1].table.by_id['s0'].cached_objects)

    def test_servers_without_the_figure_are_not_reported(self) -> None:
        """Guards against messages in deployments that have no such servers."""
        self.vms[0].answer(running=4, machine=None)
        self.assertFalse(self.vms[0].exchange.active)
        self.assertEqual(self.vms[0].exchange.unsent, [])

    def test_odd_messages_are_refused(self) -> None:
        """Guards against an error for a message of a faulty peer."""
        row = ['s0', 'x', 1, 0, 1.0, 0.1]
        doc = {
            'vm': 'vm-1',
            'collector_start': '',
            'after': 0,
            'reports': [row],
        }
        collect = self.vms[2].exchange.collect
        self.assertIsNotNone(collect(json.dumps(doc).encode()))
        for index, value in (
            (0, 7),
            (0, 's' * 1000),
            (2, -1),
            (2, 10**9),
            (3, 'many'),
            (4, 0),
            (4, -1.0),
            (5, -1.0),
            (5, 1e9),
        ):
            with self.subTest(index=index, value=value):
                odd_row = list(row)
                odd_row[index] = value
                odd = {**doc, 'reports': [odd_row]}
                self.assertIsNone(collect(json.dumps(odd).encode()))
        for field, odd_value in (
            ('vm', 'v' * 1000),
            ('after', -1),
            ('reports', [row] * 50_000),
        ):
            with self.subTest(field=field):
                odd = {**doc, field: odd_value}
                self.assertIsNone(collect(json.dumps(odd).encode()))
        for body in (b'', b'[]', b'{}', b'[' * 100_000):
            with self.subTest(body=body[:10]):
                self.assertIsNone(collect(body))

    def test_the_largest_message_is_accepted(self) -> None:
        """Guards against refusing the reports of requests with odd keys."""
        exchange = self.vms[0].exchange
        load = steering.LoadReport(999_999, 999_999, 20.0)
        for _ in range(600):
            exchange.record('s' * 256, '\x01' * 64, load, 1000.0)
            exchange.record('s' * 257, '', load, 1000.0)
        rows = _report_exchange.to_rows(exchange.unsent, 1002.0)
        self.assertEqual(len(rows), 512)
        body = json.dumps(
            {
                'vm': 'v' * 256,
                'collector_start': '1000.000000',
                'after': 10**12,
                'reports': rows,
            }
        ).encode()
        self.assertIsNotNone(self.vms[2].exchange.collect(body))

    def test_unsent_reports_are_bounded(self) -> None:
        """Guards against memory that grows while there is no other VM."""
        for _ in range(2000):
            self.vms[0].answer(running=1)
        self.assertLessEqual(len(self.vms[0].exchange.unsent), 512)


class TestReportedObjects(test_entry_requests.RequestTestCase):
    """The objects that a VM reports as handled by a server."""

    async def reported_objects(
        self, *outcomes: delivery.ForwardOutcome, affinity_key: str = 'x'
    ) -> list[str]:
        """Return the objects that are reported for one request."""
        self.build(*outcomes)
        recorder = mock.Mock()
        self.system.attempt_sender.report_exchange = recorder
        await self.serve(affinity_key=affinity_key)
        return [call.args[1] for call in recorder.record.call_args_list]

    async def test_only_a_server_that_ran_the_request_has_the_object(
        self,
    ) -> None:
        """Guards against sending all VMs to a server that sheds requests."""
        load = ('X-Server-Load', '3,9,3,100')
        for outcome, expected in (
            (test_entry_requests.answered(200, load), ['x']),
            (test_entry_requests.answered(404, load), ['x']),
            (test_entry_requests.shed(503, load), ['']),
            (test_entry_requests.answered(500, load), ['']),
        ):
            with self.subTest(status=outcome.status):
                reported = await self.reported_objects(outcome)
                self.assertEqual(reported[:1], expected)
