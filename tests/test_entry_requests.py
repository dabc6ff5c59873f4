"""The way of a request: refusals, repeats, and what they say."""

import asyncio
import json
import typing
import unittest

import msgspec

from filbertstep import clock
from filbertstep import delivery
from filbertstep import errors
from filbertstep import metrics
from filbertstep import platform
from filbertstep import steering
from filbertstep.entry import _contracts
from filbertstep.entry import _messages
from filbertstep.entry import _requests
from filbertstep.entry import _state
from filbertstep.entry import _strikes
from filbertstep.entry import _tries
from tests import steering_samples as samples
from tests import test_entry_knowledge

KEY: typing.Final = 'k' * 20

Kind = delivery.OutcomeKind


class FakeForwarder(delivery.Forwarder):
    """Yields prepared outcomes; a number waits that many seconds first."""

    def __init__(self, *outcomes: delivery.Outcome | float) -> None:
        super().__init__()
        self.outcomes = list(outcomes)
        self.attempts: list[delivery.Attempt] = []
        self.cancelled = 0

    async def send(
        self, attempt: delivery.Attempt, on_sending: delivery.OnSending
    ) -> delivery.Outcome:
        """Return the next outcome, OK when none is left."""
        self.attempts.append(attempt)
        outcome = self.outcomes.pop(0) if self.outcomes else answered(200)
        if isinstance(outcome, delivery.Outcome):
            return outcome
        try:
            await asyncio.sleep(outcome)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return answered(200)


def answered(status: int) -> delivery.Outcome:
    """Return a server's answer."""
    headers = (('X-Server-Seal', 'seal'), ('X-Server-Load', '1,0,3'))
    return delivery.Outcome(Kind.ANSWERED, True, status, headers, b'body')


def no_answer(kind: Kind, sent: bool = True) -> delivery.Outcome:
    """Return an outcome without an answer."""
    return delivery.Outcome(kind, sent, message='lost')


SHED: typing.Final = delivery.Outcome(Kind.SHED, True, 503)


class RequestTestCase(unittest.IsolatedAsyncioTestCase):
    """One VM with three servers in its zone."""

    def build(
        self, *outcomes: delivery.Outcome | float, **changes: typing.Any
    ) -> None:
        """Build the system; Any: a route's fields of several types."""
        self.clock = clock.SystemClock()
        self.log = test_entry_knowledge.make_log(self.clock)
        settings = _contracts.EntrySettings(
            vm='v1',
            host='127.0.0.1',
            availability_zone='a-1',
            region='a',
            caller_address='127.0.0.1:1',
            ready_address='127.0.0.1:2',
            peer_address='127.0.0.1:3',
            lookup_address='127.0.0.1:4',
            metrics_port=5,
            seed_addresses=(),
            region_by_zone=dict(samples.REGIONS),
            store_address='127.0.0.1:6',
            min_lease_s=1.0,
            first_start=True,
            log_lines_per_s=100.0,
            bounds=samples.BOUNDS,
        )
        adapter = platform.PlatformAdapter('')
        self.state = _state.State(
            settings, adapter.decoder(), self.clock, self.log
        )
        self.forwarder = FakeForwarder(*outcomes)
        self.asked: list[str] = []

        async def ask(account: steering.ClientAccount) -> float:
            self.asked.append(account.name)
            return 0.0

        counters = metrics.Metrics()
        self.system = _requests.RequestHandler(
            self.state,
            _tries.AttemptSender(
                self.state, self.forwarder, adapter.wire_format(), counters
            ),
            counters,
            ask,
        )
        self.configure(routes=(samples.route(**changes),))
        self.set_knowledge_age(0.0)
        for number in range(3):
            self.state.servers.put(
                samples.server(f's{number}'), self.clock.now()
            )

    def configure(self, **changes: typing.Any) -> None:
        """Put a configuration in force; Any: fields of several types."""
        subject = _contracts.ParsedKey(_contracts.KeyKind.CONFIGURATION, '')
        known = self.state.configuration
        changes.setdefault('version', known.version + 1 if known else 1)
        self.state.apply_configuration(
            subject, samples.configuration(**changes)
        )

    def set_knowledge_age(self, age_s: float) -> None:
        """Set the age of what the VM knows."""
        self.state.replica.fresh_at = self.clock.now() - age_s

    def call(self, **changes: typing.Any) -> _messages.Call:
        """Return a call; Any: fields of several types."""
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
        """Serve a call; Any: fields of several types."""

        async def body() -> bytes:
            return b'sent'

        return await self.system.serve(self.call(**changes), body)

    def places(self) -> int:
        """Return the places that are taken on all servers."""
        return sum(
            row.in_progress for row in self.state.servers.by_id.values()
        )

    def kind(self, reply: _messages.Reply) -> errors.ErrorKind | None:
        """Return the kind of a failure."""
        return reply.failure.kind if reply.failure else None


class TestForwarding(RequestTestCase):
    """What a server gets."""

    async def test_the_key_stays_here(self) -> None:
        """Guards against a server that sees a caller's key."""
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
        self.assertEqual(self.places(), 0)

    async def test_the_less_of_deadline_and_timeout_is_passed_on(
        self,
    ) -> None:
        """Guards against a server that works longer than the caller waits."""
        self.build()
        await self.serve(deadline=self.clock.now() + 0.7)
        self.assertLessEqual(self.forwarder.attempts[0].time_left_s, 0.7)


class TestAdmission(RequestTestCase):
    """Refusals before any server is asked."""

    async def test_refusals(self) -> None:
        """Guards against a refusal of the wrong kind."""
        kinds = errors.ErrorKind
        for name, age_s, changes, expected in (
            ('unknown path', 0.0, {'path': '/x'}, kinds.NOT_FOUND),
            ('unknown key', 0.0, {'key': 'other'}, kinds.UNAUTHORIZED),
            ('no key', 0.0, {'key': None}, kinds.UNAUTHORIZED),
            ('old: path', 3.0, {'path': '/x'}, kinds.NO_FRESH_CONFIG),
            ('old: key', 3.0, {'key': 'new'}, kinds.NO_FRESH_CONFIG),
            ('older: good key', 4.9, {}, kinds.NO_FRESH_CONFIG),
        ):
            with self.subTest(name=name):
                self.build()
                self.set_knowledge_age(age_s)
                reply = await self.serve(**changes)
                self.assertEqual(self.kind(reply), expected)
                self.assertEqual(self.forwarder.attempts, [])

    async def test_a_vm_without_configuration_says_not_run(self) -> None:
        """Guards against 404 from a VM that has just started."""
        self.build()
        self.state.configuration = self.state.routes = None
        reply = await self.serve()
        self.assertEqual(reply.status, 503)

    async def test_a_withdrawn_key_is_refused(self) -> None:
        """Guards against a key that works after its withdrawal."""
        self.build()
        self.configure(
            accounts={'acme': samples.account(api_keys=frozenset())}
        )
        reply = await self.serve()
        self.assertEqual(self.kind(reply), errors.ErrorKind.UNAUTHORIZED)

    async def test_versions_never_go_back(self) -> None:
        """Guards against an old configuration that comes late."""
        self.build()
        self.configure(version=9)
        self.configure(version=8, routes=())
        reply = await self.serve()
        self.assertEqual(reply.status, 200)

    async def test_public_routes_need_no_key_and_no_fresh_knowledge(
        self,
    ) -> None:
        """Guards against refusing what no withdrawal can concern."""
        self.build(public=True)
        self.set_knowledge_age(60.0)
        reply = await self.serve(key=None)
        self.assertEqual(reply.status, 200)

    async def test_an_account_over_its_rate_is_told_when_to_return(
        self,
    ) -> None:
        """Guards against refusals without advice."""
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
        self.assertIn('acme', self.asked)


class TestRepeats(RequestTestCase):
    """Which tries are repeated, and what the answer says."""

    async def test_outcomes(self) -> None:
        """Guards against running an order twice, and false 'not run'."""
        for name, outcomes, idempotent, tries, status in (
            ('shed once', (SHED,), False, 2, 200),
            ('shed twice', (SHED, SHED), False, 2, 503),
            ('misdirected', (answered(421),), False, 2, 200),
            ('broken order', (no_answer(Kind.BROKEN),), False, 1, 502),
            ('broken read', (no_answer(Kind.BROKEN),), True, 2, 200),
            ('silent order', (no_answer(Kind.TIMED_OUT),), False, 1, 504),
            (
                'shed, then broken',
                (SHED, no_answer(Kind.BROKEN)),
                False,
                2,
                502,
            ),
            (
                'broken read, then shed',
                (no_answer(Kind.BROKEN), SHED),
                True,
                2,
                502,
            ),
            ('failed order', (answered(500),), False, 1, 500),
            ('failed read', (answered(500),), True, 2, 200),
            ('failed twice', (answered(500), answered(504)), True, 2, 504),
            (
                'unreachable thrice',
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
                self.assertEqual(len(self.forwarder.attempts), tries)
                self.assertEqual(self.places(), 0)
                servers = [
                    dict(attempt.headers)['X-Expect-Instance']
                    for attempt in self.forwarder.attempts
                ]
                self.assertEqual(len(set(servers)), len(servers))

    async def test_a_seal_comes_with_its_own_status(self) -> None:
        """Guards against a server's seal on an answer of this system."""
        self.build(answered(500), idempotent=False)
        reply = await self.serve()
        self.assertIn(('X-Server-Seal', 'seal'), reply.headers)
        self.build(SHED, SHED)
        reply = await self.serve()
        self.assertEqual(reply.headers, ())

    async def test_repeats_need_an_allowance(self) -> None:
        """Guards against repeats that multiply the load."""
        self.build(answered(500))
        self.state.retry_budget.try_take = (  # type: ignore[method-assign]
            lambda service, now: False
        )
        reply = await self.serve()
        self.assertEqual(reply.status, 500)
        self.assertEqual(len(self.forwarder.attempts), 1)
        self.assertEqual(self.places(), 0)


class TestSilentServers(RequestTestCase):
    """A server that takes a request and does not answer."""

    async def test_a_read_goes_to_a_second_server(self) -> None:
        """Guards against waiting for an answer that was lost."""
        self.build(30.0, target_s=0.1)
        reply = await self.serve()
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(self.forwarder.attempts), 2)
        # The cancelled try ends in the next turns of the event loop.
        await asyncio.sleep(0.01)
        self.assertEqual(self.forwarder.cancelled, 1)
        self.assertEqual(self.places(), 0)

    async def test_an_order_does_not(self) -> None:
        """Guards against an order that two servers run."""
        self.build(0.6, target_s=0.1, idempotent=False)
        reply = await self.serve()
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(self.forwarder.attempts), 1)

    async def test_a_caller_who_leaves_frees_the_place(self) -> None:
        """Guards against work for callers who have left."""
        self.build(30.0, 30.0, target_s=0.1)
        task = asyncio.ensure_future(self.serve())
        await asyncio.sleep(0.5)
        self.assertEqual(self.places(), 2)
        task.cancel()
        await asyncio.wait({task})
        await asyncio.sleep(0.01)
        self.assertEqual(self.places(), 0)
        self.assertEqual(self.forwarder.cancelled, 2)


class TestFullServers(RequestTestCase):
    """More requests than slots."""

    def fill(self, in_progress: int) -> None:
        """Take places on all servers."""
        for row in self.state.servers.by_id.values():
            row.in_progress = in_progress

    async def test_what_cannot_start_in_time_is_refused_at_once(
        self,
    ) -> None:
        """Guards against requests that wait for nothing."""
        self.build()
        self.fill(12)
        started = self.clock.now()
        reply = await self.serve()
        self.assertEqual(self.kind(reply), errors.ErrorKind.NO_ROOM)
        assert reply.failure is not None
        self.assertGreater(reply.failure.retry_after_s or 0.0, 0.0)
        self.assertLess(self.clock.now() - started, 0.1)

    async def test_a_waiting_request_gets_the_next_slot(self) -> None:
        """Guards against requests that wait beside a free slot."""
        self.build(target_s=4.0, timeout_s=10.0)
        self.fill(3)
        task = asyncio.ensure_future(
            self.serve(deadline=self.clock.now() + 10)
        )
        await asyncio.sleep(0.02)
        self.assertEqual(self.forwarder.attempts, [])
        self.fill(2)
        self.state.wait_queue.dispatch('orders', self.clock.now())
        reply = await task
        self.assertEqual(reply.status, 200)

    async def test_a_refused_request_costs_no_token(self) -> None:
        """Guards against accounts over their rate that got nothing."""
        self.build()
        self.configure(
            accounts={
                'acme': samples.account(rate_per_s=1.0, burst_tokens=1.0)
            }
        )
        self.fill(12)
        for _ in range(30):
            reply = await self.serve()
            self.assertEqual(self.kind(reply), errors.ErrorKind.NO_ROOM)

    async def test_a_route_without_a_target_is_served(self) -> None:
        """Guards against an answer that is lost to a division by zero."""
        self.build(target_s=0.0)
        for _ in range(2):
            reply = await self.serve()
            self.assertEqual((reply.status, reply.body), (200, b'body'))

    async def test_no_server_is_refused_at_once(self) -> None:
        """Guards against waiting for servers that are all gone."""
        self.build()
        for name in ('s0', 's1', 's2'):
            self.state.servers.remove(name)
        reply = await self.serve()
        self.assertEqual(reply.status, 503)


class TestQuarantine(RequestTestCase):
    """A request that ends each server that runs it."""

    def broken(self, count: int) -> list[delivery.Outcome]:
        """Return connections that broke before any answer."""
        return [no_answer(Kind.BROKEN)] * count

    async def test_it_gets_no_further_server(self) -> None:
        """Guards against one caller who ends a service's servers in turn."""
        self.build(*self.broken(9), max_attempts=2)
        for number in range(4):
            await self.serve(request_id=f'id-{number}')
        self.assertEqual(len(self.forwarder.attempts), 3)
        reply = await self.serve(request_id='id-9')
        self.assertEqual(self.kind(reply), errors.ErrorKind.QUARANTINED)
        # Each line is a JSON object, that of the quarantine too.
        lines = bytes(self.log.handler.pending).decode().splitlines()
        kinds = [json.loads(line)['kind'] for line in lines]
        self.assertEqual(kinds.count('strike'), 3)
        self.assertEqual(kinds.count('quarantine'), 1)
        self.assertEqual(reply.status, 429)
        self.assertEqual(len(self.forwarder.attempts), 3)

    async def test_other_requests_go_on(self) -> None:
        """Guards against a caller who is refused for another's request."""
        self.build(*self.broken(3), max_attempts=3)
        await self.serve()
        self.assertEqual((await self.serve(path='/orders/8')).status, 200)

    async def test_an_answer_clears_the_strikes(self) -> None:
        """Guards against refusing what was in progress when servers ended.

        Many callers send the same request, and a server ends with several in
        progress.
        """
        self.build(
            *self.broken(2), answered(200), *self.broken(2), max_attempts=2
        )
        for number in range(3):
            await self.serve(request_id=f'id-{number}')
        self.assertEqual((await self.serve()).status, 200)

    async def test_strikes_of_peers_count(self) -> None:
        """Guards against a caller who sends it to each VM in turn."""
        self.build(*self.broken(3), max_attempts=1)
        await self.serve()
        peer = _strikes.StrikeTable('v2', self.clock, self.log)
        admitted = self.system.admit(self.call())
        assert isinstance(admitted, _messages.Admitted)
        for _ in range(2):
            peer.record_strike(admitted, b'sent')
        value = msgspec.json.encode(peer.own_strikes())
        change = _contracts.Change('strikes/v2', 9, value)
        self.state.apply_change(change)
        self.state.apply_change(change)
        reply = await self.serve()
        self.assertEqual(self.kind(reply), errors.ErrorKind.QUARANTINED)

    async def test_foreign_strikes_are_skipped(self) -> None:
        """Guards against a key of ours that another program wrote."""
        self.build()
        self.state.apply_change(_contracts.Change('strikes/v2', 9, b'{"a":1}'))
        self.assertEqual((await self.serve()).status, 200)
