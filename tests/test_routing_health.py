"""Tests of the health states of backend servers and of health probes."""

import asyncio
import random
import typing
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from filbertstep import clock
from filbertstep import config
from filbertstep import routing
from tests import routing_fakes

E = routing.HealthEvent
S = routing.HealthState

# The expected transitions, written independently of the implementation.
TABLE = {
    S.UNKNOWN: {
        E.PROBE_UP: S.UP,
        E.PROBE_DRAINING: S.DRAINING,
        E.PROBE_FAILED: S.SUSPECT,
        E.ANSWERED: S.UP,
        E.SHED: S.UNKNOWN,
        E.TIMED_OUT: S.UNKNOWN,
        E.CONNECT_FAILED: S.SUSPECT,
        E.BROKEN: S.SUSPECT,
        E.SAID_DRAINING: S.DRAINING,
        E.EJECTION_ENDED: S.UNKNOWN,
        E.AGED: S.UNKNOWN,
    },
    S.UP: {
        E.PROBE_UP: S.UP,
        E.PROBE_DRAINING: S.DRAINING,
        E.PROBE_FAILED: S.SUSPECT,
        E.ANSWERED: S.UP,
        E.SHED: S.UP,
        E.TIMED_OUT: S.UP,
        E.CONNECT_FAILED: S.SUSPECT,
        E.BROKEN: S.SUSPECT,
        E.SAID_DRAINING: S.DRAINING,
        E.EJECTION_ENDED: S.UP,
        E.AGED: S.UNKNOWN,
    },
    S.SUSPECT: {
        E.PROBE_UP: S.UP,
        E.PROBE_DRAINING: S.DRAINING,
        E.PROBE_FAILED: S.DOWN,
        E.ANSWERED: S.UP,
        E.SHED: S.SUSPECT,
        E.TIMED_OUT: S.SUSPECT,
        E.CONNECT_FAILED: S.DOWN,
        E.BROKEN: S.DOWN,
        E.SAID_DRAINING: S.DRAINING,
        E.EJECTION_ENDED: S.SUSPECT,
        E.AGED: S.UNKNOWN,
    },
    S.DOWN: {
        E.PROBE_UP: S.UP,
        E.PROBE_DRAINING: S.DRAINING,
        E.PROBE_FAILED: S.DOWN,
        E.ANSWERED: S.SUSPECT,
        E.SHED: S.DOWN,
        E.TIMED_OUT: S.DOWN,
        E.CONNECT_FAILED: S.DOWN,
        E.BROKEN: S.DOWN,
        E.SAID_DRAINING: S.DRAINING,
        E.EJECTION_ENDED: S.SUSPECT,
        E.AGED: S.UNKNOWN,
    },
    S.DRAINING: {
        E.PROBE_UP: S.UP,
        E.PROBE_DRAINING: S.DRAINING,
        E.PROBE_FAILED: S.DOWN,
        E.ANSWERED: S.DRAINING,
        E.SHED: S.DRAINING,
        E.TIMED_OUT: S.DRAINING,
        E.CONNECT_FAILED: S.DOWN,
        E.BROKEN: S.DRAINING,
        E.SAID_DRAINING: S.DRAINING,
        E.EJECTION_ENDED: S.DRAINING,
        E.AGED: S.DRAINING,
    },
}


def server(
    name: str, region: str = 'hobart', slots: int = 5, warmup_s: float = 10.0
) -> config.BackendServer:
    """Return a backend server of the service ``bookings``."""
    return config.BackendServer(
        name, 'bookings', '127.0.0.1:9', region, 'a', slots, 400, warmup_s
    )


def table_of(
    count: int, region: str = 'hobart', now: float = 0.0
) -> routing.HealthTable:
    """Return a table with servers ``s0``, ``s1`` and so on."""
    table = routing.HealthTable()
    names = [f's{number}' for number in range(count)]
    table.sync({name: server(name, region) for name in names}, now)
    return table


class TestStates(unittest.TestCase):
    """Transitions between states, expiry and moving averages."""

    def test_each_transition(self) -> None:
        """Guards against a transition that differs from the expected table."""
        for state, row in TABLE.items():
            self.assertEqual(set(E), set(row))
            for event, following in row.items():
                with self.subTest(state=state, event=event):
                    table = table_of(4)
                    table.rows['s0'].state = state
                    table.observe('s0', event, 20.0)
                    self.assertEqual(following, table.rows['s0'].state)
                    usable = following not in (S.DOWN, S.DRAINING)
                    self.assertEqual(usable, table.is_usable('s0'))

    def test_lagging_probe_does_not_end_a_drain(self) -> None:
        """Guards against new requests for a server that announced draining."""
        table = table_of(2)
        table.observe('s0', E.SAID_DRAINING, 10.0)
        table.observe('s0', E.PROBE_UP, 11.0)
        self.assertFalse(table.is_usable('s0'))
        table.observe('s0', E.PROBE_UP, 15.5)
        self.assertTrue(table.is_usable('s0'))

    def test_old_evidence_expires(self) -> None:
        """Guards against servers that stay down when probes stop."""
        table = table_of(3)
        table.observe('s0', E.PROBE_FAILED, 1.0)
        table.observe('s0', E.PROBE_FAILED, 2.0)
        table.observe('s1', E.PROBE_UP, 2.0)
        table.observe('s2', E.PROBE_DRAINING, 2.0)
        table.expire_evidence(11.0)
        self.assertFalse(table.is_usable('s0'))
        table.expire_evidence(12.5)
        states = [table.rows[name].state for name in ('s0', 's1', 's2')]
        # Draining does not expire, as the server must get no new requests.
        self.assertEqual([S.UNKNOWN, S.UNKNOWN, S.DRAINING], states)

    def test_unknown_servers_do_not_expire(self) -> None:
        """Guards against an event in each tick for each unprobed server."""
        table = table_of(3)
        with mock.patch.object(table, 'observe', side_effect=AssertionError):
            table.expire_evidence(1000.0)

    def test_old_report_is_not_used(self) -> None:
        """Guards against using old load reports after probes stop."""
        table = table_of(1)
        table.record_load('s0', 0.7, 1.0)
        self.assertEqual(0.7, table.reported_load('s0', 10.0))
        self.assertIsNone(table.reported_load('s0', 11.5))

    def test_failure_rate_rises_with_shed_requests_and_decays(self) -> None:
        """Guards against preferring a server that reports idle but sheds."""
        table = table_of(1)
        for _ in range(5):
            table.observe('s0', E.SHED, 1.0)
        rate = table.failure_rate('s0', 1.0)
        self.assertGreater(rate, 0.8)
        self.assertAlmostEqual(rate / 2, table.failure_rate('s0', 6.0))
        self.assertTrue(table.is_usable('s0'))


class TestEjection(unittest.TestCase):
    """Observations alone eject at most half of the servers."""

    def test_bound_for_each_size(self) -> None:
        """Guards against ejecting a whole region for a fault of the VM."""
        for count in range(1, 8):
            for event in (E.CONNECT_FAILED, E.BROKEN):
                with self.subTest(count=count, event=event):
                    table = table_of(count)
                    for _ in range(5):
                        for name in table.rows:
                            table.observe(name, event, 1.0)
                    down = sum(
                        not table.is_usable(name) for name in table.rows
                    )
                    self.assertEqual(count // 2, down)

    def test_probes_are_not_bounded(self) -> None:
        """Guards against a limit on servers that probes find down."""
        table = table_of(4)
        for name in table.rows:
            table.observe(name, E.PROBE_FAILED, 1.0)
            table.observe(name, E.PROBE_FAILED, 2.0)
        self.assertFalse(any(map(table.is_usable, table.rows)))

    def test_confirmed_ejection_does_not_count(self) -> None:
        """Guards against servers that are really down using up the limit."""
        table = table_of(2)
        for name in ('s0', 's1'):
            table.observe(name, E.BROKEN, 1.0)
            table.observe(name, E.BROKEN, 1.0)
        self.assertTrue(table.is_usable('s1'))
        table.observe('s0', E.PROBE_FAILED, 2.0)
        table.observe('s1', E.BROKEN, 2.0)
        self.assertFalse(table.is_usable('s1'))

    def test_successful_probe_does_not_end_an_ejection(self) -> None:
        """Guards against using a server that fails requests but not probes."""
        table = table_of(2)
        table.observe('s0', E.BROKEN, 1.0)
        table.observe('s0', E.BROKEN, 1.0)
        table.observe('s0', E.PROBE_UP, 2.0)
        table.expire_evidence(5.9)
        self.assertFalse(table.is_usable('s0'))
        table.expire_evidence(6.1)
        self.assertEqual(S.SUSPECT, table.rows['s0'].state)

    def test_repeated_ejections_last_longer(self) -> None:
        """Guards against retrying a failing server every few seconds."""
        table = table_of(2)
        durations = []
        now = 1.0
        for _ in range(6):
            table.observe('s0', E.BROKEN, now)
            table.observe('s0', E.BROKEN, now)
            until = table.rows['s0'].ejected_until
            assert until is not None
            durations.append(until - now)
            now = until
            table.expire_evidence(now)
        self.assertEqual([5.0, 10.0, 20.0, 40.0, 60.0, 60.0], durations)


class TestSlowStart(unittest.TestCase):
    """During slow start the allowed slots increase from 1 to all."""

    def test_new_server_starts_slowly(self) -> None:
        """Guards against full load on a cold server."""
        table = table_of(1)
        servers = {'s0': server('s0'), 'new': server('new')}
        table.sync(servers, 100.0)
        allowed = [
            table.allowed_slots(servers['new'], now)
            for now in (100.0, 102.4, 102.5, 105.0, 107.5, 109.9, 110.0)
        ]
        self.assertEqual([1, 1, 2, 3, 4, 4, 5], allowed)
        self.assertEqual(5, table.allowed_slots(servers['s0'], 100.0))

    def test_returning_server_starts_slowly(self) -> None:
        """Guards against full load on a server that has just restarted."""
        for event in (E.PROBE_FAILED, E.PROBE_DRAINING):
            with self.subTest(event=event):
                table = table_of(1)
                table.observe('s0', event, 1.0)
                table.observe('s0', event, 2.0)
                table.observe('s0', E.PROBE_UP, 30.0)
                self.assertEqual(1, table.allowed_slots(server('s0'), 30.0))
                self.assertEqual(5, table.allowed_slots(server('s0'), 40.0))

    def test_suspect_server_does_not_start_slowly(self) -> None:
        """Guards against reducing capacity after a single failed probe."""
        table = table_of(1)
        table.observe('s0', E.PROBE_FAILED, 1.0)
        table.observe('s0', E.PROBE_UP, 2.0)
        self.assertEqual(5, table.allowed_slots(server('s0'), 2.0))


class FakeProber(routing.Prober):
    """Reports every server as up and records which were probed."""

    def __init__(self) -> None:
        self.probed: list[str] = []
        self.load: float | None = 0.25

    async def probe(self, server: config.BackendServer) -> routing.ProbeResult:
        """Record the probe and report the server as up."""
        self.probed.append(server.name)
        return routing.ProbeResult(E.PROBE_UP, self.load)


class TestHealthSystem(unittest.IsolatedAsyncioTestCase):
    """Selection of the servers to probe, and the probe interval."""

    async def asyncSetUp(self) -> None:
        """Create a health system with the default configuration."""
        self.clock = clock.FakeClock()
        self.views = config.ViewTable()
        routing_fakes.learn(self.views, routing_fakes.documents(), 1, 0.0)
        self.table = routing.HealthTable()
        self.prober = FakeProber()
        self.system = routing.HealthSystem(
            self.table,
            self.views,
            self.prober,
            self.clock,
            'hobart',
            random.Random(3),
        )

    async def ticks(self, seconds: float) -> None:
        """Run ten ticks per second of the fake clock."""
        for _ in range(round(seconds * 10)):
            self.system.tick(self.clock.now())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.clock.advance(0.1)

    async def test_own_region_is_probed_each_second(self) -> None:
        """Guards against every VM probing every server."""
        await self.ticks(10)
        self.assertEqual({'hobart-1', 'hobart-2'}, set(self.prober.probed))
        self.assertTrue(16 <= len(self.prober.probed) <= 24)
        self.assertEqual(
            0.25, self.table.reported_load('hobart-1', self.clock.now())
        )

    async def test_used_servers_of_other_regions_are_probed(self) -> None:
        """Guards against sending to a remote server without probing it."""
        await self.ticks(0.1)
        self.table.record_use('burnie-1', self.clock.now())
        await self.ticks(1)
        self.assertIn('burnie-1', self.prober.probed)
        await self.ticks(31)
        self.prober.probed.clear()
        await self.ticks(3)
        self.assertNotIn('burnie-1', self.prober.probed)

    async def test_removed_server_is_dropped(self) -> None:
        """Guards against keeping servers that are no longer configured."""
        await self.ticks(0.1)
        docs = routing_fakes.documents()
        del docs[config.EntityKind.BACKEND_SERVER]['hobart-1']
        routing_fakes.learn(self.views, docs, 2, self.clock.now())
        await self.ticks(0.1)
        self.assertNotIn('hobart-1', self.table.rows)


class ProbeCase(typing.NamedTuple):
    """A response of a health endpoint and the expected probe result."""

    status: int
    header: str | None
    event: routing.HealthEvent
    load: float | None


PROBE_CASES = (
    ProbeCase(200, None, E.PROBE_UP, None),
    ProbeCase(200, 'JSON {"cpu_utilization": 0.3}', E.PROBE_UP, 0.3),
    ProbeCase(200, '{"application_utilization": 0.4}', E.PROBE_UP, 0.4),
    ProbeCase(200, 'JSON {"cpu_utilization": 7}', E.PROBE_UP, 1.0),
    ProbeCase(200, 'JSON {"cpu_utilization": "x"}', E.PROBE_UP, None),
    ProbeCase(200, 'TEXT cpu_utilization=0.3', E.PROBE_UP, None),
    ProbeCase(503, None, E.PROBE_DRAINING, None),
    ProbeCase(500, None, E.PROBE_FAILED, None),
    ProbeCase(302, None, E.PROBE_FAILED, None),
)


class TestHttpProber(unittest.IsolatedAsyncioTestCase):
    """Probes of an HTTP server on the loopback interface."""

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Respond as the present case specifies."""
        self.assertEqual('/healthz', request.path)
        header = self.case.header
        headers = {} if header is None else {'endpoint-load-metrics': header}
        return web.Response(status=self.case.status, headers=headers)

    async def asyncSetUp(self) -> None:
        """Start the HTTP server and a client session."""
        runner = web.ServerRunner(web.Server(self.answer))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        self.address = f'127.0.0.1:{runner.addresses[0][1]}'
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.case = PROBE_CASES[0]

    async def test_responses(self) -> None:
        """Guards against misreading the status or the load report."""
        prober = routing.HttpProber(self.session)
        for case in PROBE_CASES:
            with self.subTest(case=case):
                self.case = case
                probe = await prober.probe(
                    server('s0')._replace(address=self.address)
                )
                self.assertEqual((case.event, case.load), tuple(probe))

    async def test_no_listener_is_a_failure(self) -> None:
        """Guards against an exception that stops the probes."""
        probe = await routing.HttpProber(self.session).probe(
            server('s0')._replace(address='127.0.0.1:1')
        )
        self.assertEqual(E.PROBE_FAILED, probe.event)
