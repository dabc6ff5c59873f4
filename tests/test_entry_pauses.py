"""Servers that turn requests away and ask for a pause."""

import asyncio
import random
import typing
from unittest import mock

from filbertstep import clock
from filbertstep import delivery
from filbertstep import emulator
from filbertstep import errors
from tests import steering_samples as samples
from tests import test_entry_requests

ErrorKind = errors.ErrorKind

answered = test_entry_requests.answered
shed = test_entry_requests.shed

# Time for which a server tolerates requests that were on their way, and their
# number from then to the end of the pause.
GRACE_S: typing.Final = 0.5
MAX_LATE_REQUESTS: typing.Final = 2

# The pause that servers ask for in the burst, and the length of the burst.
PAUSE_S: typing.Final = 1.5
BURST_S: typing.Final = 6.0


def retry_after(seconds: object) -> tuple[str, str]:
    """Return the header that asks for a pause."""
    return ('Retry-After', str(seconds))


class TestPauses(test_entry_requests.RequestTestCase):
    """One VM and three servers."""

    def pause_servers(self, **pauses: float) -> None:
        """Let servers ask for pauses in seconds, by server id."""
        for name, pause_s in pauses.items():
            self.state.servers.by_id[name].announcements.request_pause(
                pause_s, self.clock.now()
            )

    async def test_server_gets_no_requests_in_its_pause(self) -> None:
        """Guards against requests to a server that turned one away."""
        for name, outcome in (
            ('not run', shed(503, retry_after(2))),
            ('no word of whether it ran', answered(503, retry_after('1.5'))),
        ):
            with self.subTest(name=name):
                self.build(outcome, public=True, max_attempts=1)
                await self.serve()
                (paused,) = self.sent_to()
                for number in range(20):
                    reply = await self.serve(affinity_key=str(number))
                    self.assertEqual(reply.status, 200)
                self.assertNotIn(paused, self.sent_to()[1:])
                (line,) = self.log_lines('server_paused')
                self.assertEqual(line['server'], paused)
                self.assertEqual(self.log_lines('strike'), [])

    async def test_other_answers_ask_for_no_pause(self) -> None:
        """Guards against pauses that no server asked for."""
        for outcome in (
            shed(421, retry_after(9)),
            answered(421, retry_after(9)),
            shed(429, retry_after(9)),
            answered(200, retry_after(9)),
            answered(500, retry_after(9)),
            shed(503),
            shed(503, retry_after('Sat, 05 Dec 2026 07:00:00 GMT')),
            shed(503, retry_after(-1)),
        ):
            with self.subTest(outcome=outcome):
                self.build(outcome)
                await self.serve()
                self.assertEqual(self.log_lines('server_paused'), [])

    async def test_all_servers_paused_means_a_refusal_at_once(self) -> None:
        """Guards against requests that wait for servers that want none.

        The caller may come back when the first pause ends.
        """
        for pauses, lowest, highest in (
            ({'s0': 5.0, 's1': 1.2, 's2': 9.0}, 1.0, 1.2),
            ({'s0': 60.0, 's1': 60.0, 's2': 60.0}, 2.0, 2.0),
            ({'s0': 0.08, 's1': 1.0, 's2': 1.0}, 0.1, 0.1),
        ):
            with self.subTest(pauses=pauses):
                self.build()
                self.pause_servers(**pauses)
                reply = await asyncio.wait_for(self.serve(), 0.05)
                self.assertEqual(self.kind(reply), ErrorKind.NO_ROOM)
                assert reply.failure is not None
                retry_after_s = reply.failure.retry_after_s or 0.0
                self.assertGreaterEqual(retry_after_s, lowest)
                self.assertLessEqual(retry_after_s, highest)
                self.assertEqual(self.forwarder.attempts, [])

    async def test_retry_respects_pauses(self) -> None:
        """Guards against a retry at a server that wants no requests.

        The reply names the shortest pause of all servers, also of those that
        were tried.
        """
        self.build(shed(503, retry_after('1.0')), max_attempts=3)
        self.pause_servers(s0=5.0, s1=5.0)
        reply = await self.serve()
        self.assertEqual(self.sent_to(), ['s2'])
        assert reply.failure is not None
        self.assertGreater(reply.failure.retry_after_s or 0.0, 0.8)
        self.assertLessEqual(reply.failure.retry_after_s or 0.0, 1.0)

    async def test_last_attempt_turned_away_names_the_pause(self) -> None:
        """Guards against callers that come back before a server may run."""
        self.build(shed(503, retry_after('1.0')), max_attempts=1)
        self.pause_servers(s0=5.0, s1=5.0)
        reply = await self.serve()
        assert reply.failure is not None
        self.assertGreater(reply.failure.retry_after_s or 0.0, 0.8)

    async def test_hedge_respects_pauses(self) -> None:
        """Guards against a hedged request at a server that wants none."""
        self.build(0.5, target_s=0.1)
        self.pause_servers(s0=5.0, s1=5.0)
        self.assertEqual((await self.serve()).status, 200)
        self.assertEqual(self.sent_to(), ['s2'])

    async def test_waiting_requests_are_refused_when_a_pause_begins(
        self,
    ) -> None:
        """Guards against a queue that is sent to a full server."""
        self.build(
            shed(503, retry_after(2)),
            target_s=8.0,
            timeout_s=10.0,
            max_attempts=1,
            public=True,
        )
        for name in ('s1', 's2'):
            self.state.servers.remove(name)
        self.state.servers.by_id['s0'].in_progress = 3
        waiting = [asyncio.ensure_future(self.serve()) for _ in range(5)]
        await asyncio.sleep(0.02)
        self.assertEqual(self.forwarder.attempts, [])
        self.state.servers.by_id['s0'].in_progress = 2
        self.state.wait_queue.dispatch('orders', self.clock.now())
        for reply in await asyncio.wait_for(asyncio.gather(*waiting), 0.2):
            self.assertEqual(self.kind(reply), ErrorKind.NO_ROOM)
            assert reply.failure is not None
            self.assertGreater(reply.failure.retry_after_s or 0.0, 1.5)
        self.assertEqual(len(self.forwarder.attempts), 1)

    async def test_pause_that_begins_while_connecting_is_respected(
        self,
    ) -> None:
        """Guards against a request that is sent after a slow connect.

        The server is not to blame, so it does not count as failed.
        """
        self.build()
        check = self.system.attempt_sender.check_pause
        announced: list[str] = []

        def check_after_pause(
            server: typing.Any,
        ) -> errors.Failure | None:
            if not announced:
                announced.append(server.entry.server_id)
                self.pause_servers(**{server.entry.server_id: 5.0})
            return check(server)

        with mock.patch.object(
            self.system.attempt_sender, 'check_pause', check_after_pause
        ):
            self.assertEqual((await self.serve()).status, 200)
        (used,) = self.sent_to()
        self.assertNotEqual(used, announced[0])
        server = self.state.servers.by_id[announced[0]]
        self.assertEqual(server.consecutive_failures, 0)
        self.assertEqual(self.requests_in_progress(), 0)

    async def test_pauses_move_few_requests_to_other_regions(self) -> None:
        """Guards against a region that empties at once, and fills again.

        Servers that pause return soon, unlike those that leave.
        """
        for leaving, most in ((False, 8), (True, 100)):
            with self.subTest(leaving=leaving):
                self.build(public=True)
                self.state.servers.put(
                    samples.server('far', 'b-1', slots=99), self.clock.now()
                )
                self.state.regions.service_split(
                    'orders', self.clock.now()
                ).remote_share = 0.0
                for name in ('s0', 's1', 's2'):
                    announcements = self.state.servers.by_id[
                        name
                    ].announcements
                    announcements.leaving = leaving
                    announcements.request_pause(60.0, self.clock.now())
                for _ in range(100):
                    await self.serve()
                moved = len(self.forwarder.attempts)
                self.assertGreater(moved, 0)
                self.assertLessEqual(moved, most)
                if leaving:
                    self.assertEqual(moved, most)


class FullServers(test_entry_requests.FakeForwarder):
    """Servers with fewer free slots than this VM believes.

    Others fill them.  ``arrivals`` and ``refusals`` are the times at which
    requests reached a server or were turned away, by server id.
    """

    def __init__(self, time_source: clock.Clock) -> None:
        super().__init__()
        self.clock = time_source
        self.rng = random.Random(1)
        self.running: dict[str, int] = {}
        self.arrivals: dict[str, list[float]] = {}
        self.refusals: dict[str, list[float]] = {}

    async def send(
        self, attempt: delivery.Attempt, before_send: delivery.BeforeSend
    ) -> delivery.ForwardOutcome:
        """Connect, run the request if a slot is free, else turn it away."""
        server = dict(attempt.headers)['X-Expect-Instance']
        # A few connections take long.
        slow = self.rng.random() < 0.1
        await asyncio.sleep(0.39 if slow else 0.001)
        failure = before_send()
        if failure is not None:
            return delivery.ForwardOutcome(
                delivery.ForwardOutcomeKind.NOT_SENT, False, failure=failure
            )
        await asyncio.sleep(0.002)
        self.arrivals.setdefault(server, []).append(self.clock.now())
        if self.running.get(server, 0) >= 1:
            self.refusals.setdefault(server, []).append(self.clock.now())
            await asyncio.sleep(0.002)
            return shed(503, retry_after(PAUSE_S))
        self.running[server] = self.running.get(server, 0) + 1
        try:
            await asyncio.sleep(0.2)
        finally:
            self.running[server] -= 1
        return answered(200)

    def late_requests(self, server: str, refused_at: float) -> int:
        """Return the number of requests that a server got in a pause."""
        return sum(
            refused_at + GRACE_S < arrived_at < refused_at + PAUSE_S
            for arrived_at in self.arrivals[server]
        )


class TestBurst(test_entry_requests.RequestTestCase):
    """Pattern: a burst at servers that are full, on a fake clock."""

    def make_clock(self) -> clock.Clock:
        """Return the fake clock of the event loop."""
        return self.fake_clock

    def make_forwarder(
        self, *outcomes: delivery.ForwardOutcome | float
    ) -> test_entry_requests.FakeForwarder:
        """Return full servers."""
        self.servers = FullServers(self.fake_clock)
        return self.servers

    async def send_burst(self) -> list[tuple[float, typing.Any]]:
        """Send requests, also again after refusals; return their replies.

        Each reply comes with the seconds that it took.
        """
        replies: list[tuple[float, typing.Any]] = []

        async def send(number: int) -> None:
            for _ in range(2):
                started = self.clock.now()
                reply = await self.serve(affinity_key=str(number % 24))
                replies.append((self.clock.now() - started, reply))
                if reply.failure is None:
                    return
                await asyncio.sleep(reply.failure.retry_after_s or 0.0)

        tasks: list[asyncio.Task[None]] = []
        end = self.clock.now() + BURST_S
        while self.clock.now() < end:
            tasks.append(asyncio.ensure_future(send(len(tasks))))
            for service in list(self.state.wait_queue.queues):
                self.state.wait_queue.dispatch(service, self.clock.now())
            await asyncio.sleep(0.025)
        await asyncio.gather(*tasks)
        return replies

    def test_full_servers_get_at_most_two_requests_in_a_pause(self) -> None:
        """Guards against VMs that keep a full server busy with refusals."""
        self.fake_clock = clock.FakeClock()
        loop = emulator.VirtualLoop(self.fake_clock)
        self.addCleanup(loop.close)
        self.build(public=True, target_s=0.6, timeout_s=3.0, max_attempts=3)
        replies = loop.run_until_complete(self.send_burst())
        refusals = self.servers.refusals
        self.assertEqual(set(refusals), {'s0', 's1', 's2'})
        for server, times in refusals.items():
            late = [
                self.servers.late_requests(server, refused_at)
                for refused_at in times
            ]
            self.assertLessEqual(max(late), MAX_LATE_REQUESTS)
            # Each server is used again after its pauses.
            self.assertGreater(times[-1], times[0] + PAUSE_S)
        served = sum(reply.failure is None for _, reply in replies)
        self.assertGreater(served, 10)
        for took_s, reply in replies:
            if (
                reply.failure is not None
                and reply.failure.message == 'all servers asked for a pause'
            ):
                self.assertLess(took_s, 0.5)
                self.assertLessEqual(
                    reply.failure.retry_after_s or 0.0, PAUSE_S
                )
