"""Handling of requests: refusals, retries, and the replies to callers."""

import asyncio
import collections.abc
import json
import typing
import unittest
from unittest import mock

import msgspec

from filbertstep import clock
from filbertstep import delivery
from filbertstep import errors
from filbertstep import metrics
from filbertstep import platform
from filbertstep import routing
from filbertstep import steering
from filbertstep.entry import _contracts
from filbertstep.entry import _messages
from filbertstep.entry import _requests
from filbertstep.entry import _state
from filbertstep.entry import _stopping
from filbertstep.entry import _strikes
from filbertstep.entry import _tries
from tests import entry_samples
from tests import steering_samples as samples
from tests import test_entry_knowledge

KEY: typing.Final = 'k' * 20

# Shorter than the estimated time of a request.
STOP_TIMEOUT_S: typing.Final = 0.2

Kind = delivery.ForwardOutcomeKind


class FakeForwarder(delivery.Forwarder):
    """Returns prepared outcomes instead of sending anything.

    A number stands for a successful answer after that many seconds.
    """

    def __init__(self, *outcomes: delivery.ForwardOutcome | float) -> None:
        super().__init__()
        self.outcomes = list(outcomes)
        self.attempts: list[delivery.Attempt] = []
        self.cancelled_attempts = 0
        # Times in seconds until the next outcomes; without one, at once.
        self.delays_s: list[float] = []

    async def send(
        self, attempt: delivery.Attempt, before_send: delivery.BeforeSend
    ) -> delivery.ForwardOutcome:
        """Return the next outcome, a 200 answer when none is left."""
        failure = before_send()
        if failure is not None:
            return delivery.ForwardOutcome(
                Kind.NOT_SENT, False, failure=failure
            )
        self.attempts.append(attempt)
        outcome = self.outcomes.pop(0) if self.outcomes else answered(200)
        if self.delays_s:
            await asyncio.sleep(self.delays_s.pop(0))
        if isinstance(outcome, delivery.ForwardOutcome):
            return outcome
        try:
            await asyncio.sleep(outcome)
        except asyncio.CancelledError:
            self.cancelled_attempts += 1
            raise
        return answered(200)


def answered(
    status: int, *extra_headers: tuple[str, str]
) -> delivery.ForwardOutcome:
    """Return the outcome of a server's answer with this status."""
    headers = (('X-Server-Seal', 'seal'), ('X-Server-Load', '1,0,3'))
    return delivery.ForwardOutcome(
        Kind.ANSWERED, True, status, headers + extra_headers, b'body'
    )


def shed(status: int, *headers: tuple[str, str]) -> delivery.ForwardOutcome:
    """Return the outcome of an answer that says 'not run'."""
    return delivery.ForwardOutcome(Kind.SHED, True, status, headers)


def no_answer(kind: Kind, sent: bool = True) -> delivery.ForwardOutcome:
    """Return an outcome of this kind without an answer."""
    return delivery.ForwardOutcome(kind, sent, message='lost')


SHED: typing.Final = shed(503)

LEAVING: typing.Final = ('Server-Leaving', '1')


class RequestTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class: one VM with three backend servers in its zone."""

    def build(
        self, *outcomes: delivery.ForwardOutcome | float, **changes: typing.Any
    ) -> None:
        """Build a VM whose attempts have the given outcomes.

        Any: ``changes`` are fields of the route, of several types.
        """
        self.clock = self.make_clock()
        self.log = test_entry_knowledge.make_log(self.clock)
        platform_adapter = platform.PlatformAdapter('')
        self.state = _state.State(
            entry_samples.settings(),
            platform_adapter.decoder(),
            self.clock,
            self.log,
        )
        self.forwarder = self.make_forwarder(*outcomes)
        self.asked_accounts: list[str] = []

        async def request_tokens(account: steering.ClientAccount) -> float:
            self.asked_accounts.append(account.name)
            return 0.0

        counters = metrics.Metrics()
        self.system = _requests.RequestHandler(
            self.state,
            _tries.AttemptSender(
                self.state,
                self.forwarder,
                platform_adapter.wire_format(),
                counters,
            ),
            counters,
            request_tokens,
        )
        self.configure(routes=(samples.route(**changes),))
        self.set_knowledge_age(0.0)
        for number in range(3):
            self.state.servers.put(
                samples.server(f's{number}'), self.clock.now()
            )

    def make_clock(self) -> clock.Clock:
        """Return the clock of the VM."""
        return clock.SystemClock()

    def make_forwarder(
        self, *outcomes: delivery.ForwardOutcome | float
    ) -> FakeForwarder:
        """Return the forwarder of the VM."""
        return FakeForwarder(*outcomes)

    def sent_to(self) -> list[str]:
        """Return the ids of the servers to which requests were sent."""
        return [
            dict(attempt.headers)['X-Expect-Instance']
            for attempt in self.forwarder.attempts
        ]

    def log_lines(self, kind: str) -> list[dict[str, typing.Any]]:
        """Return the log lines of a kind; Any: values of several types."""
        lines = bytes(self.log.handler.pending).decode().splitlines()
        return [
            line for line in map(json.loads, lines) if line['kind'] == kind
        ]

    def configure(self, **changes: typing.Any) -> None:
        """Apply a configuration; Any: fields of several types."""
        subject = _contracts.ParsedKey(_contracts.KeyKind.CONFIGURATION, '')
        known = self.state.configuration
        changes.setdefault('version', known.version + 1 if known else 1)
        self.state.apply_configuration(
            subject, samples.configuration(**changes)
        )

    def set_knowledge_age(self, age_s: float) -> None:
        """Set the age in seconds of the VM's replica of the store."""
        self.state.replica.fresh_at = self.clock.now() - age_s

    def call(self, **changes: typing.Any) -> _messages.Call:
        """Return a call by the test account; Any: fields of several types."""
        now = self.clock.now()
        return _messages.Call(
            request_id='id-1',
            method='GET',
            host='shop.example',
            path='/orders/7?x=1',
            headers=(
                ('Host', 'shop.example'),
                ('Authorization', f'Bearer {KEY}'),
                ('X-Tenant', 'forged'),
                ('X-Deadline-Ms', '3000'),
                ('X-Own', 'kept'),
                ('Connection', 'keep-alive, x-hop'),
                ('X-Hop', 'dropped'),
            ),
            key=KEY,
            affinity_key='x',
            arrived_at=now,
            deadline=now + 3.0,
        )._replace(**changes)

    async def serve(self, **changes: typing.Any) -> _messages.Reply:
        """Handle a call; Any: fields of several types."""

        async def read_body() -> bytes:
            return b'sent'

        return await self.system.serve(self.call(**changes), read_body)

    def requests_in_progress(self) -> int:
        """Return the number of requests in progress on all servers."""
        return sum(
            row.in_progress for row in self.state.servers.by_id.values()
        )

    def kind(self, reply: _messages.Reply) -> errors.ErrorKind | None:
        """Return the error kind of a failure, None for a server's answer."""
        return reply.failure.kind if reply.failure else None


class TestForwarding(RequestTestCase):
    """What is sent to a backend server."""

    async def test_api_key_and_hop_headers_are_not_forwarded(self) -> None:
        """A server must not see a caller's API key or hop-by-hop headers."""
        self.build()
        reply = await self.serve()
        self.assertEqual((reply.status, reply.body), (200, b'body'))
        (attempt,) = self.forwarder.attempts
        headers = dict(attempt.headers)
        self.assertNotIn('Authorization', headers)
        self.assertNotIn('X-Hop', headers)
        self.assertEqual(headers['X-Tenant'], 'acme')
        self.assertEqual(headers['X-Own'], 'kept')
        self.assertIn(headers['X-Expect-Instance'], ('s0', 's1', 's2'))
        self.assertEqual((attempt.path, attempt.query), ('/orders/7', 'x=1'))
        self.assertLessEqual(attempt.time_left_s, 1.5)
        self.assertEqual(self.requests_in_progress(), 0)

    async def test_forwarded_time_is_the_lower_of_deadline_and_timeout(
        self,
    ) -> None:
        """A server must not work for longer than the caller waits."""
        self.build()
        await self.serve(deadline=self.clock.now() + 0.7)
        self.assertLessEqual(self.forwarder.attempts[0].time_left_s, 0.7)


class TestAdmission(RequestTestCase):
    """Refusals before a request is sent to any server."""

    async def test_late_request_in_a_stop_is_refused(self) -> None:
        """Guards against passing on what the exit of the process cuts off."""
        self.build()
        self.state.stop.begin(
            self.clock.now() - _stopping.ACCEPTING_S,
            2 * _stopping.ACCEPTING_S,
        )
        reply = await self.serve()
        self.assertIs(self.kind(reply), errors.ErrorKind.STOPPING)
        self.assertEqual((reply.status, self.forwarder.attempts), (503, []))

    async def test_refusal_kinds(self) -> None:
        """Each refusal has the right error kind and reaches no server."""
        kinds = errors.ErrorKind
        for name, age_s, changes, expected in (
            ('unknown path', 0.0, {'path': '/x'}, kinds.NOT_FOUND),
            ('unknown key', 0.0, {'key': 'other'}, kinds.UNAUTHORIZED),
            ('no key', 0.0, {'key': None}, kinds.UNAUTHORIZED),
            (
                'unknown path, old replica',
                3.0,
                {'path': '/x'},
                kinds.NO_FRESH_CONFIG,
            ),
            (
                'unknown key, old replica',
                3.0,
                {'key': 'new'},
                kinds.NO_FRESH_CONFIG,
            ),
            ('known key, older replica', 4.9, {}, kinds.NO_FRESH_CONFIG),
        ):
            with self.subTest(name=name):
                self.build()
                self.set_knowledge_age(age_s)
                reply = await self.serve(**changes)
                self.assertEqual(self.kind(reply), expected)
                self.assertEqual(self.forwarder.attempts, [])

    async def test_vm_without_configuration_answers_503(self) -> None:
        """A VM that has just started must not answer 404."""
        self.build()
        self.state.configuration = self.state.routes = None
        reply = await self.serve()
        self.assertEqual(reply.status, 503)

    async def test_withdrawn_key_is_refused(self) -> None:
        """An API key must not work after its withdrawal."""
        self.build()
        self.configure(
            accounts={'acme': samples.account(api_keys=frozenset())}
        )
        reply = await self.serve()
        self.assertEqual(self.kind(reply), errors.ErrorKind.UNAUTHORIZED)

    async def test_older_configuration_is_ignored(self) -> None:
        """A configuration that arrives late must not replace a newer one."""
        self.build()
        self.configure(version=9)
        self.configure(version=8, routes=())
        reply = await self.serve()
        self.assertEqual(reply.status, 200)

    async def test_public_routes_need_no_key_and_no_recent_replica(
        self,
    ) -> None:
        """A public route has no key to check, so the replica may be old."""
        self.build(public=True)
        self.set_knowledge_age(60.0)
        reply = await self.serve(key=None)
        self.assertEqual(reply.status, 200)

    async def test_over_rate_reply_has_retry_after(
        self,
    ) -> None:
        """The reply says when to return, and peers were asked before."""
        self.build()
        self.configure(
            accounts={
                'acme': samples.account(rate_per_s=1.0, burst_tokens=1.0)
            }
        )
        replies = [await self.serve() for _ in range(14)]
        last = replies[-1]
        self.assertEqual(self.kind(last), errors.ErrorKind.OVER_RATE)
        assert last.failure is not None
        self.assertGreater(last.failure.retry_after_s or 0.0, 0.0)
        self.assertIn('acme', self.asked_accounts)


class TestRetries(RequestTestCase):
    """Which attempts are retried, and the final reply."""

    async def test_retries_and_status_by_outcome(self) -> None:
        """Retries and final status for each kind of outcome.

        A non-idempotent request must never run twice, and the reply must say
        that it did not run only if that is certain.
        """
        for name, outcomes, idempotent, expected_attempts, status in (
            ('shed once', (SHED,), False, 2, 200),
            ('shed twice', (SHED, SHED), False, 2, 503),
            ('misdirected', (answered(421),), False, 2, 200),
            (
                'broken, non-idempotent',
                (no_answer(Kind.BROKEN),),
                False,
                1,
                502,
            ),
            ('broken, idempotent', (no_answer(Kind.BROKEN),), True, 2, 200),
            (
                'timed out, non-idempotent',
                (no_answer(Kind.TIMED_OUT),),
                False,
                1,
                504,
            ),
            (
                'shed, then broken',
                (SHED, no_answer(Kind.BROKEN)),
                False,
                2,
                502,
            ),
            (
                'broken, then shed, idempotent',
                (no_answer(Kind.BROKEN), SHED),
                True,
                2,
                502,
            ),
            ('status 500, non-idempotent', (answered(500),), False, 1, 500),
            ('status 500, idempotent', (answered(500),), True, 2, 200),
            (
                'statuses 500 and 504',
                (answered(500), answered(504)),
                True,
                2,
                504,
            ),
            (
                'unreachable three times',
                (no_answer(Kind.NOT_SENT, False),) * 3,
                False,
                3,
                503,
            ),
        ):
            with self.subTest(name=name):
                self.build(*outcomes, idempotent=idempotent)
                reply = await self.serve()
                self.assertEqual(reply.status, status)
                self.assertEqual(
                    len(self.forwarder.attempts), expected_attempts
                )
                self.assertEqual(self.requests_in_progress(), 0)
                servers = [
                    dict(attempt.headers)['X-Expect-Instance']
                    for attempt in self.forwarder.attempts
                ]
                self.assertEqual(len(set(servers)), len(servers))

    async def test_unmarked_refusals_promise_nothing(self) -> None:
        """Guards against 'not run' for a request that a server ran.

        A server that did not run a request says so in a header.
        """
        for server_status in (408, 429, 503):
            for idempotent, expected in ((False, 502), (True, server_status)):
                with self.subTest(server_status, idempotent=idempotent):
                    self.build(
                        *[answered(server_status)] * 3, idempotent=idempotent
                    )
                    reply = await self.serve()
                    self.assertEqual(reply.status, expected)
                    self.assertEqual(
                        ('X-Server-Seal', 'seal') in reply.headers, idempotent
                    )

    async def test_server_headers_come_only_with_server_answers(self) -> None:
        """Only a server's own answer may carry its X-Server-Seal header."""
        self.build(answered(500), idempotent=False)
        reply = await self.serve()
        self.assertIn(('X-Server-Seal', 'seal'), reply.headers)
        self.build(SHED, SHED)
        reply = await self.serve()
        self.assertEqual(reply.headers, ())

    async def test_streams_of_unused_answers_are_closed(self) -> None:
        """Guards against connections that stay open after a retry.

        Their servers may send without end.
        """
        for status in (421, 500):
            with self.subTest(status=status):
                stream = mock.Mock()
                self.build(answered(status)._replace(stream=stream))
                reply = await self.serve()
                self.assertEqual(reply.status, 200)
                self.assertIsNone(reply.stream)
                stream.close.assert_called_once_with()

    async def test_the_stream_of_the_reply_stays_open(self) -> None:
        """Guards against cutting off the answer that the caller gets."""
        stream = mock.Mock()
        self.build(answered(200)._replace(stream=stream))
        reply = await self.serve()
        self.assertIs(reply.stream, stream)
        stream.close.assert_not_called()

    async def test_retries_need_retry_budget(self) -> None:
        """Retries beyond the retry budget would multiply the load."""
        self.build(answered(500))
        self.state.retry_budget.try_take = (  # type: ignore[method-assign]
            lambda service, now: False
        )
        reply = await self.serve()
        self.assertEqual(reply.status, 500)
        self.assertEqual(len(self.forwarder.attempts), 1)
        self.assertEqual(self.requests_in_progress(), 0)


class TestSlowServers(RequestTestCase):
    """A server that accepts a request and does not answer."""

    async def test_slow_idempotent_request_is_hedged(self) -> None:
        """A second server gets an idempotent request that stays unanswered."""
        self.build(30.0, target_s=0.1)
        reply = await self.serve()
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(self.forwarder.attempts), 2)
        # The cancelled attempt ends in the next iterations of the event loop.
        await asyncio.sleep(0.01)
        self.assertEqual(self.forwarder.cancelled_attempts, 1)
        self.assertEqual(self.requests_in_progress(), 0)

    async def test_non_idempotent_request_is_not_hedged(self) -> None:
        """A non-idempotent request must not run on two servers."""
        self.build(0.6, target_s=0.1, idempotent=False)
        reply = await self.serve()
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(self.forwarder.attempts), 1)

    async def test_caller_disconnect_releases_slots(self) -> None:
        """Attempts for a caller that disconnected are cancelled."""
        self.build(30.0, 30.0, target_s=0.1)
        task = asyncio.ensure_future(self.serve())
        await asyncio.sleep(0.5)
        self.assertEqual(self.requests_in_progress(), 2)
        task.cancel()
        await asyncio.wait({task})
        await asyncio.sleep(0.01)
        self.assertEqual(self.requests_in_progress(), 0)
        self.assertEqual(self.forwarder.cancelled_attempts, 2)


class TestFullServers(RequestTestCase):
    """More requests than slots on the servers."""

    def set_in_progress(self, in_progress: int) -> None:
        """Set the number of requests in progress on each server."""
        for row in self.state.servers.by_id.values():
            row.in_progress = in_progress

    async def test_request_without_slot_in_time_is_refused_at_once(
        self,
    ) -> None:
        """A request that cannot get a slot in time must not wait in vain."""
        self.build()
        self.set_in_progress(12)
        started = self.clock.now()
        reply = await self.serve()
        self.assertEqual(self.kind(reply), errors.ErrorKind.NO_ROOM)
        assert reply.failure is not None
        self.assertGreater(reply.failure.retry_after_s or 0.0, 0.0)
        self.assertLess(self.clock.now() - started, 0.1)

    async def test_waiting_request_gets_next_free_slot(self) -> None:
        """A request must not keep waiting while a slot is free."""
        self.build(target_s=4.0, timeout_s=10.0)
        self.set_in_progress(3)
        task = asyncio.ensure_future(
            self.serve(deadline=self.clock.now() + 10)
        )
        await asyncio.sleep(0.02)
        self.assertEqual(self.forwarder.attempts, [])
        self.set_in_progress(2)
        self.state.wait_queue.dispatch('orders', self.clock.now())
        reply = await task
        self.assertEqual(reply.status, 200)

    async def test_refused_request_refunds_its_token(self) -> None:
        """Requests that never ran must not put an account over its rate."""
        self.build()
        self.configure(
            accounts={
                'acme': samples.account(rate_per_s=1.0, burst_tokens=1.0)
            }
        )
        self.set_in_progress(12)
        for _ in range(30):
            reply = await self.serve()
            self.assertEqual(self.kind(reply), errors.ErrorKind.NO_ROOM)

    async def test_route_without_target_latency_is_served(self) -> None:
        """A target of 0 must not fail with a division by zero."""
        self.build(target_s=0.0)
        for _ in range(2):
            reply = await self.serve()
            self.assertEqual((reply.status, reply.body), (200, b'body'))

    async def test_request_is_refused_at_once_without_servers(self) -> None:
        """A request must not wait for servers that have all been removed."""
        self.build()
        for name in ('s0', 's1', 's2'):
            self.state.servers.remove(name)
        reply = await self.serve()
        self.assertEqual(reply.status, 503)


class TestLeavingServers(RequestTestCase):
    """Servers that say in their answers that they are leaving."""

    async def test_server_gets_no_requests_after_it_said_so(self) -> None:
        """Guards against requests to a server that announced its end.

        The store may list it as ready for longer, or be out of reach.
        """
        for name, outcome in (
            ('success', answered(200, LEAVING)),
            ('own failure', answered(500, LEAVING)),
            ('not run', shed(503, LEAVING)),
            ('other case', answered(200, ('server-leaving', '1'))),
            (
                'streamed',
                answered(200, LEAVING)._replace(stream=mock.Mock()),
            ),
        ):
            with self.subTest(name=name):
                self.build(outcome, idempotent=False, max_attempts=1)
                await self.serve()
                (leaving,) = self.sent_to()
                for number in range(12):
                    await self.serve(affinity_key=str(number))
                self.assertNotIn(leaving, self.sent_to()[1:])
                self.assertEqual(len(self.forwarder.attempts), 13)
                (line,) = self.log_lines('server_leaving')
                self.assertEqual(line['server'], leaving)

    async def test_retry_goes_to_another_server(self) -> None:
        """Guards against a retry at a server that is leaving."""
        self.build(shed(503, LEAVING), shed(503, LEAVING), max_attempts=3)
        self.assertEqual((await self.serve()).status, 200)
        self.assertEqual(len(set(self.sent_to())), 3)
        for _ in range(5):
            await self.serve()
        self.assertEqual(set(self.sent_to()[2:]), {self.sent_to()[2]})

    async def test_unused_answer_of_a_hedged_request_counts(self) -> None:
        """Guards against dropping what the slower of two servers said."""
        self.build(answered(500, LEAVING), target_s=0.1)
        self.forwarder.delays_s = [0.4, 0.3]
        await self.serve()
        first, second = self.sent_to()
        self.assertNotEqual(first, second)
        self.assertTrue(self.state.servers.by_id[first].announcements.leaving)

    async def test_misdirected_answer_says_nothing(self) -> None:
        """Guards against giving up a server for what another one said.

        The answer comes from another server that has the address now.
        """
        for outcome in (answered(421, LEAVING), shed(421, LEAVING)):
            self.build(outcome)
            self.assertEqual((await self.serve()).status, 200)
            self.assertEqual(self.log_lines('server_leaving'), [])
            for server in self.state.servers.by_id.values():
                self.assertFalse(server.announcements.leaving)

    async def test_requests_in_progress_finish(self) -> None:
        """Guards against ending requests at a server that still serves."""
        self.build(0.2, answered(200, LEAVING), idempotent=False)
        for name in ('s1', 's2'):
            self.state.servers.remove(name)
        running = asyncio.ensure_future(self.serve())
        await asyncio.sleep(0.05)
        self.assertEqual((await self.serve()).status, 200)
        refused = await self.serve()
        self.assertEqual(self.kind(refused), errors.ErrorKind.NO_ROOM)
        self.assertEqual((await running).status, 200)
        self.assertEqual(len(self.forwarder.attempts), 2)

    async def test_work_of_a_silent_server_is_not_started_again(self) -> None:
        """Guards against repeating what a server is still running.

        Its entry lapses while it runs a request, as if it had ended.
        """
        for idempotent in (True, False):
            with self.subTest(idempotent=idempotent):
                self.build(0.2, idempotent=idempotent)
                running = asyncio.ensure_future(self.serve())
                await asyncio.sleep(0.05)
                self.state.servers.remove(self.sent_to()[0])
                self.assertEqual((await running).status, 200)
                self.assertEqual(len(self.forwarder.attempts), 1)
                self.assertEqual(self.forwarder.cancelled_attempts, 0)

    async def test_waiting_request_is_not_sent_there(self) -> None:
        """Guards against dispatching a queued request to such a server."""
        self.build(target_s=4.0, timeout_s=10.0)
        for server in self.state.servers.by_id.values():
            server.in_progress = 3
        waiting = asyncio.ensure_future(
            self.serve(deadline=self.clock.now() + 10)
        )
        await asyncio.sleep(0.02)
        leaving = self.state.servers.by_id['s0']
        leaving.announcements.leaving = True
        leaving.in_progress = 0
        self.state.wait_queue.dispatch('orders', self.clock.now())
        self.assertFalse(waiting.done())
        self.state.servers.by_id['s1'].in_progress = 2
        self.state.wait_queue.dispatch('orders', self.clock.now())
        self.assertEqual((await waiting).status, 200)
        self.assertEqual(self.sent_to(), ['s1'])


class CrashingForwarder(FakeForwarder):
    """Lets a server start again after its connection broke.

    ``restart`` gets the id of the server.
    """

    restart: collections.abc.Callable[[str], None]

    async def send(
        self, attempt: delivery.Attempt, before_send: delivery.BeforeSend
    ) -> delivery.ForwardOutcome:
        """Return the next outcome."""
        outcome = await super().send(attempt, before_send)
        if outcome.kind is Kind.BROKEN:
            self.restart(dict(attempt.headers)['X-Expect-Instance'])
        return outcome


class TestQuarantine(RequestTestCase):
    """A request that crashes each server that runs it."""

    def make_forwarder(
        self, *outcomes: delivery.ForwardOutcome | float
    ) -> FakeForwarder:
        """Return a forwarder to servers that crash."""
        forwarder = CrashingForwarder(*outcomes)
        forwarder.restart = self.restart
        return forwarder

    def restart(self, server_id: str) -> None:
        """Read the entry of a new start of a server."""
        known = self.state.servers.by_id[server_id].entry
        self.state.servers.put(
            known._replace(incarnation=known.incarnation + 1),
            self.clock.now(),
        )

    def broken_connections(self, count: int) -> list[delivery.ForwardOutcome]:
        """Return outcomes of connections that broke before any answer."""
        return [no_answer(Kind.BROKEN)] * count

    async def test_quarantined_request_is_not_sent(self) -> None:
        """One caller must not crash the servers of a service in turn."""
        self.build(*self.broken_connections(9), max_attempts=2)
        for number in range(4):
            await self.serve(request_id=f'id-{number}')
        self.assertEqual(len(self.forwarder.attempts), 3)
        reply = await self.serve(request_id='id-9')
        self.assertEqual(self.kind(reply), errors.ErrorKind.QUARANTINED)
        # Each log line is a JSON object, including that of the quarantine.
        lines = bytes(self.log.handler.pending).decode().splitlines()
        kinds = [json.loads(line)['kind'] for line in lines]
        self.assertEqual(kinds.count('strike'), 3)
        self.assertEqual(kinds.count('quarantine'), 1)
        self.assertEqual(reply.status, 429)
        self.assertEqual(len(self.forwarder.attempts), 3)

    async def test_equal_requests_of_one_crash(self) -> None:
        """Guards against a quarantine after one crash of a server.

        It runs several equal requests, which may run once only.
        """
        self.build(
            *self.broken_connections(3), max_attempts=1, idempotent=False
        )
        for server_id in ('s1', 's2'):
            self.state.servers.remove(server_id)
        self.forwarder.delays_s = [0.02, 0.02, 0.02]
        async with asyncio.timeout(5.0):
            await asyncio.gather(
                *(self.serve(request_id=f'id-{n}') for n in range(3))
            )
            reply = await self.serve()
        self.assertNotEqual(self.kind(reply), errors.ErrorKind.QUARANTINED)
        counted = [row['counted'] for row in self.log_lines('strike')]
        self.assertEqual(counted, [True, False, False])

    async def test_other_requests_are_not_quarantined(self) -> None:
        """A request must not be refused because of another one's strikes."""
        self.build(*self.broken_connections(3), max_attempts=3)
        await self.serve()
        self.assertEqual((await self.serve(path='/orders/8')).status, 200)

    async def test_answer_clears_strikes(self) -> None:
        """Harmless requests must not be quarantined for crashes of servers.

        Many callers send the same request, and a server that crashes takes
        several of them with it.
        """
        self.build(
            *self.broken_connections(2),
            answered(200),
            *self.broken_connections(2),
            max_attempts=2,
        )
        for number in range(3):
            await self.serve(request_id=f'id-{number}')
        self.assertEqual((await self.serve()).status, 200)

    async def test_peer_strikes_count(self) -> None:
        """A caller must not get past the quarantine by using several VMs."""
        self.build(*self.broken_connections(3), max_attempts=1)
        await self.serve()
        peer = _strikes.StrikeTable('v2', self.clock, self.log)
        admitted = self.system.admit(self.call())
        assert isinstance(admitted, _messages.Admitted)
        for number in range(2):
            crash = routing.Crash(f'i-{number}', 1, 0.0, 0.0)
            peer.record_strike(admitted, b'sent', crash)
        value = msgspec.json.encode(peer.own_strikes())
        change = _contracts.Change('strikes/v2', 9, value)
        self.state.apply_change(change)
        self.state.apply_change(change)
        reply = await self.serve()
        self.assertEqual(self.kind(reply), errors.ErrorKind.QUARANTINED)

    async def test_unreadable_strikes_are_ignored(self) -> None:
        """A strikes key written by another program must do no harm."""
        self.build()
        self.state.apply_change(_contracts.Change('strikes/v2', 9, b'{"a":1}'))
        self.assertEqual((await self.serve()).status, 200)


class StoppingForwarder(FakeForwarder):
    """Begins the stop of the VM when the first attempt was sent."""

    begin_stop: collections.abc.Callable[[float], None]

    async def send(
        self, attempt: delivery.Attempt, before_send: delivery.BeforeSend
    ) -> delivery.ForwardOutcome:
        """Return the next outcome after the stop has begun."""
        self.begin_stop(STOP_TIMEOUT_S)
        return await super().send(attempt, before_send)


class TestStopping(RequestTestCase):
    """Attempts that the exit of the process would cut off."""

    def begin_stop(self, left_s: float) -> None:
        """Stop the VM; runs must end in ``left_s`` seconds."""
        stop, now = self.state.stop, self.clock.now()
        stop.begin(now, left_s)
        stop.runs_until = now + left_s
        self.state.limit_runs(stop.runs_until)

    async def test_request_that_cannot_finish_is_refused(self) -> None:
        """Guards against passing on what another VM can serve to its end."""
        self.build()
        self.begin_stop(STOP_TIMEOUT_S)
        reply = await self.serve()
        self.assertIs(self.kind(reply), errors.ErrorKind.STOPPING)
        self.assertEqual(self.forwarder.attempts, [])
        self.assertEqual(self.requests_in_progress(), 0)

    async def test_requests_are_served_only_if_long_runs_can_finish(
        self,
    ) -> None:
        """Guards against cutting off a request that took unexpectedly long.

        The server is believed to have the object, and runs 0.2 s with it and
        0.6 s without.  The exit is due in the given time.
        """
        for left_s, timeout_s, expected in (
            (0.3, 1.5, errors.ErrorKind.STOPPING),
            (0.7, 1.5, errors.ErrorKind.STOPPING),
            (1.0, 1.5, None),
            # Its time ends with an answer before the exit.
            (0.7, 0.5, None),
        ):
            with self.subTest(left_s=left_s, timeout_s=timeout_s):
                self.build(timeout_s=timeout_s, idempotent=False)
                now = self.clock.now()
                for server in self.state.servers.by_id.values():
                    server.record_object('x', now)
                self.begin_stop(left_s)
                self.state.stop.accepts_until = now + STOP_TIMEOUT_S
                reply = await self.serve()
                self.assertIs(self.kind(reply), expected)
                self.assertEqual(
                    len(self.forwarder.attempts), 0 if expected else 1
                )

    async def test_retry_that_cannot_finish_is_refused(self) -> None:
        """Guards against a further attempt that is cut off."""
        self.build()
        forwarder = StoppingForwarder(SHED)
        forwarder.begin_stop = self.begin_stop
        self.system.attempt_sender.forwarder = forwarder
        reply = await self.serve()
        self.assertIs(self.kind(reply), errors.ErrorKind.STOPPING)
        self.assertEqual(len(forwarder.attempts), 1)
        self.assertEqual(self.requests_in_progress(), 0)

    async def test_another_server_is_used_if_it_can_finish(self) -> None:
        """Guards against rejecting in a stop what another server can finish.

        The server that has the object also has a queue, and is believed to be
        the fastest all the same, as its report is old.
        """
        self.build(timeout_s=5.0)
        now = self.clock.now()
        caching = self.state.servers.by_id['s0']
        caching.record_object('x', now)
        caching.record_load(3, 10, now - 2.0)
        for server in self.state.servers.by_id.values():
            server.last_sent_at = now
        self.begin_stop(2.0)
        self.assertIsNone(self.kind(await self.serve()))
        self.assertNotIn('s0', self.sent_to())

    async def test_wait_ends_once_no_server_can_finish(self) -> None:
        """Guards against a wait until the exit that cannot lead to a server.

        Its caller can use the time on another VM.
        """
        self.build(target_s=20.0, timeout_s=100.0)
        for server in self.state.servers.by_id.values():
            server.in_progress = server.entry.slots
        serving = asyncio.ensure_future(self.serve(deadline=float('inf')))
        await asyncio.sleep(0.05)
        self.assertEqual(self.state.wait_queue.length('orders'), 1)
        self.begin_stop(10.0)
        self.state.wait_queue.dispatch('orders', self.clock.now())
        async with asyncio.timeout(1.0):
            reply = await serving
        self.assertIs(self.kind(reply), errors.ErrorKind.STOPPING)
        self.assertEqual(self.forwarder.attempts, [])

    async def test_waiting_request_is_refused_before_the_exit(self) -> None:
        """Guards against the exit while a request waits for a slot."""
        self.build(target_s=20.0)
        for server in self.state.servers.by_id.values():
            server.in_progress = server.entry.slots
        serving = asyncio.ensure_future(self.serve())
        await asyncio.sleep(0.05)
        self.assertEqual(self.state.wait_queue.length('orders'), 1)
        now = self.clock.now()
        # The exit is due, so that the time for waits is over.
        self.begin_stop(-STOP_TIMEOUT_S)
        self.state.wait_queue.dispatch('orders', now)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            reply = await serving
        self.assertIs(self.kind(reply), errors.ErrorKind.NO_ROOM)
        self.assertEqual(self.forwarder.attempts, [])
