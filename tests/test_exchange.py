"""Tests of one admitted request from its rate to its answer."""

import asyncio
import typing
import unittest

import result

from filbertstep import _admission
from filbertstep import _exchange
from filbertstep import _tries
from filbertstep import _try_state
from filbertstep import delivery
from filbertstep import errors
from filbertstep import routing
from tests import exchange_bench

ErrorKind = errors.ErrorKind
OutcomeKind = delivery.ForwardOutcomeKind
AttemptOutcome = routing.AttemptOutcome


class Expectation(typing.NamedTuple):
    """Expected effects if every attempt of a request has the same outcome.

    ``attempts`` and ``kinds`` are the number of attempts and the error kind,
    first for an idempotent request, then for one that runs at most once.
    ``intent_state`` is the state of the request id at the backup VM.
    """

    attempt_outcome: AttemptOutcome
    run_may_continue: bool
    attempts: tuple[int, int]
    kinds: tuple[ErrorKind, ErrorKind]
    ran: errors.Ran
    intent_state: str


MAX_ATTEMPTS = _tries.MAX_ATTEMPTS
EXPECTATIONS: typing.Final[dict[OutcomeKind, Expectation]] = {
    OutcomeKind.NOT_SENT: Expectation(
        AttemptOutcome.CONNECT_FAILED,
        False,
        (MAX_ATTEMPTS, MAX_ATTEMPTS),
        (ErrorKind.NO_ROOM,) * 2,
        errors.Ran.NO,
        'fenced',
    ),
    OutcomeKind.SHED: Expectation(
        AttemptOutcome.SHED,
        False,
        (MAX_ATTEMPTS, MAX_ATTEMPTS),
        (ErrorKind.OVERLOADED,) * 2,
        errors.Ran.NO,
        'fenced',
    ),
    OutcomeKind.BROKEN: Expectation(
        AttemptOutcome.BROKEN,
        True,
        (2, 1),
        (ErrorKind.BACKEND_FAILED, ErrorKind.OUTCOME_UNKNOWN),
        errors.Ran.UNKNOWN,
        'intended',
    ),
    OutcomeKind.MISMATCHED: Expectation(
        AttemptOutcome.BROKEN,
        True,
        (2, 1),
        (ErrorKind.BACKEND_FAILED, ErrorKind.OUTCOME_UNKNOWN),
        errors.Ran.UNKNOWN,
        'intended',
    ),
    OutcomeKind.TIMED_OUT: Expectation(
        AttemptOutcome.TIMED_OUT,
        True,
        (1, 1),
        (ErrorKind.DEADLINE_EXCEEDED, ErrorKind.OUTCOME_UNKNOWN),
        errors.Ran.UNKNOWN,
        'intended',
    ),
    OutcomeKind.CANCELLED: Expectation(
        AttemptOutcome.CANCELLED,
        True,
        (1, 1),
        (ErrorKind.OUTCOME_UNKNOWN,) * 2,
        errors.Ran.UNKNOWN,
        'intended',
    ),
}


class ExchangeCase(unittest.IsolatedAsyncioTestCase):
    """The request path with fakes at its ends."""

    def setUp(self) -> None:
        """Build it."""
        self.bench = exchange_bench.Bench()
        self.dispatcher = self.bench.dispatcher
        self.forwarder = self.bench.forwarder

    def tearDown(self) -> None:
        """Check that every slot came back; ``finish`` checks for twice."""
        self.assertEqual(set(), self.dispatcher.running)

    def check_refusal(
        self, reply: _exchange.Reply, kind: ErrorKind, ran: errors.Ran
    ) -> None:
        """Check a reply that is a failure."""
        assert reply.failure is not None
        self.assertEqual(kind, reply.failure.kind)
        self.assertEqual(ran, reply.ran)


class TestOutcomes(ExchangeCase):
    """Every kind of outcome, for idempotent and at_most_once requests."""

    def test_rows_are_complete(self) -> None:
        """Guards against a kind of outcome without a rule."""
        self.assertEqual(set(OutcomeKind), set(_try_state.OUTCOME_RULES))
        self.assertEqual(
            set(OutcomeKind) - {OutcomeKind.ANSWERED}, set(EXPECTATIONS)
        )

    async def test_failures(self) -> None:
        """Guards against wrong retries and untrue answers (P8, P9)."""
        for kind, expected in EXPECTATIONS.items():
            for index, method in enumerate(('GET', 'POST')):
                with self.subTest(kind=kind, method=method):
                    await self.check_failure(kind, expected, index, method)

    async def check_failure(
        self, kind: OutcomeKind, expected: Expectation, index: int, method: str
    ) -> None:
        """Check one kind of outcome at every server."""
        self.setUp()
        bench = self.bench
        bench.allow_retries()
        sent = kind is not OutcomeKind.NOT_SENT
        self.forwarder.outcomes = [delivery.ForwardOutcome(kind, sent)]
        request_id = bench.new_id()
        reply = await bench.run(method, request_id)
        await bench.settle()
        self.check_refusal(reply, expected.kinds[index], expected.ran)
        self.assertEqual(
            expected.attempts[index], len(self.forwarder.attempts)
        )
        for attempt_result in self.dispatcher.attempt_results:
            self.assertEqual(expected.attempt_outcome, attempt_result.outcome)
            self.assertEqual(
                expected.run_may_continue, attempt_result.run_may_continue
            )
        self.assertEqual(set(), self.dispatcher.running)
        state = bench.record_state(request_id)
        self.assertEqual(expected.intent_state if index else 'none', state)
        tried = [one.excluded_servers for one in self.dispatcher.requests]
        self.assertEqual([len(one) for one in tried], list(range(len(tried))))

    async def test_answer(self) -> None:
        """Guards against an answer that is not recorded, or not whole."""
        for method, state in {'GET': 'none', 'POST': 'done'}.items():
            request_id = self.bench.new_id()
            reply = await self.bench.run(method, request_id)
            await self.bench.settle()
            self.assertEqual((200, b'ok'), (reply.status, reply.body))
            self.assertEqual(errors.Ran.YES, reply.ran)
            self.assertEqual(state, self.bench.record_state(request_id))

    async def test_shed_then_answered(self) -> None:
        """Guards against a at_most_once request that gives up too early."""
        shed = delivery.ForwardOutcome(OutcomeKind.SHED, True)
        self.forwarder.outcomes = [shed, exchange_bench.answered()]
        request_id = self.bench.new_id()
        reply = await self.bench.run('POST', request_id)
        await self.bench.settle()
        self.assertEqual(b'ok', reply.body)
        self.assertEqual('done', self.bench.record_state(request_id))

    async def test_retry_budget(self) -> None:
        """Guards against retries that multiply the load."""
        self.forwarder.outcomes = [
            delivery.ForwardOutcome(OutcomeKind.BROKEN, True)
        ]
        await self.bench.run()
        self.assertEqual(1, len(self.forwarder.attempts))

    async def test_quarantined_request_is_not_repeated(self) -> None:
        """Guards against a query of death that goes on to more servers."""
        self.bench.allow_retries()
        self.forwarder.outcomes = [
            delivery.ForwardOutcome(OutcomeKind.BROKEN, True)
        ]
        reply = await self.bench.run()
        self.check_refusal(reply, ErrorKind.BACKEND_FAILED, errors.Ran.UNKNOWN)
        reply = await self.bench.run()
        self.check_refusal(reply, ErrorKind.QUARANTINED, errors.Ran.NO)
        self.assertEqual(2, len(self.forwarder.attempts))

    async def test_refusals_at_the_last_check(self) -> None:
        """Guards against a send by a VM that was frozen, or a lost key."""

        def stale() -> None:
            self.bench.freshness.value = False

        def late() -> None:
            self.bench.clock.advance(10.0)

        for change, kind in (
            (stale, ErrorKind.NO_FRESH_CONFIG),
            (late, ErrorKind.OVERLOADED),
        ):
            for method in ('GET', 'POST'):
                with self.subTest(kind=kind, method=method):
                    self.setUp()
                    request_id = self.bench.new_id()
                    admitted = self.bench.admit(
                        exchange_bench.raw_request(method)
                    )
                    change()
                    reply = await self.bench.executor.run(
                        admitted, b'', request_id
                    )
                    await self.bench.settle()
                    self.check_refusal(reply, kind, errors.Ran.NO)
                    self.assertEqual([], self.forwarder.attempts)
                    attempt_result = self.dispatcher.attempt_results[0]
                    self.assertEqual(
                        AttemptOutcome.NOT_SENT, attempt_result.outcome
                    )
                    self.assertFalse(attempt_result.run_may_continue)
                    self.assertEqual(
                        'none' if method == 'GET' else 'fenced',
                        self.bench.record_state(request_id),
                    )

    async def test_key_in_the_body(self) -> None:
        """Guards against a key at a backend server (P4)."""
        request_id = self.bench.new_id()
        body = exchange_bench.SECRET.encode()
        reply = await self.bench.run('POST', request_id, body)
        self.check_refusal(reply, ErrorKind.KEY_IN_REQUEST, errors.Ran.NO)
        self.assertEqual([], self.forwarder.attempts)


class TestRates(ExchangeCase):
    """Tokens of an account, and refusals by the dispatcher."""

    async def test_over_rate(self) -> None:
        """Guards against a request over the rate that takes a slot."""
        self.bench.token_buckets.has_tokens = False
        for method in ('GET', 'POST'):
            reply = await self.bench.run(method, self.bench.new_id())
            self.check_refusal(reply, ErrorKind.OVER_RATE, errors.Ran.NO)
        self.assertEqual([], self.dispatcher.requests)

    async def test_open_services_have_no_rate(self) -> None:
        """Guards against an open service that needs tokens of nobody."""
        self.bench.token_buckets.has_tokens = False
        reply = await self.bench.run(path='/parts/1')
        self.assertIsNone(reply.failure)
        self.assertEqual([], self.bench.token_buckets.asked)

    async def test_refused_by_the_dispatcher(self) -> None:
        """Guards against an intent for a request that got no slot."""
        refusal = errors.Failure(ErrorKind.SHIFT_CAP, 'cap', 1.0)
        for method in ('GET', 'POST'):
            self.dispatcher.refusals = [refusal]
            request_id = self.bench.new_id()
            reply = await self.bench.run(method, request_id)
            self.check_refusal(reply, ErrorKind.SHIFT_CAP, errors.Ran.NO)
            self.assertEqual('none', self.bench.record_state(request_id))

    async def test_refused_after_a_first_try(self) -> None:
        """Guards against an intent that is left when no server is free."""
        self.forwarder.outcomes = [
            delivery.ForwardOutcome(OutcomeKind.SHED, True)
        ]
        request_id = self.bench.new_id()
        task = asyncio.ensure_future(self.bench.run('POST', request_id))
        self.forwarder.gate = asyncio.Event()
        await self.bench.settle()
        self.dispatcher.refusals = [errors.Failure(ErrorKind.NO_ROOM, 'none')]
        self.forwarder.gate.set()
        self.check_refusal(await task, ErrorKind.NO_ROOM, errors.Ran.NO)
        await self.bench.settle()
        self.assertEqual('fenced', self.bench.record_state(request_id))


class TestCopies(ExchangeCase):
    """Copies of a request under one id; what they may say (P8)."""

    async def test_copy_gets_the_same_answer(self) -> None:
        """Guards against an order that runs twice (P9)."""
        request_id = self.bench.new_id()
        first = await self.bench.run('POST', request_id)
        second = await self.bench.run('POST', request_id)
        self.assertEqual(first.body, second.body)
        self.assertEqual(errors.Ran.YES, second.ran)
        self.assertEqual(1, len(self.forwarder.attempts))

    async def test_copy_with_another_body(self) -> None:
        """Guards against the answer of another order."""
        request_id = self.bench.new_id()
        await self.bench.run('POST', request_id, b'1')
        reply = await self.bench.run('POST', request_id, b'2')
        self.check_refusal(reply, ErrorKind.ID_REUSED, errors.Ran.NO)

    async def test_refused_copy_of_a_request_that_ran(self) -> None:
        """Guards against 'not run' for an order that ran."""
        request_id = self.bench.new_id()
        await self.bench.run('POST', request_id)
        self.bench.token_buckets.has_tokens = False
        reply = await self.bench.run('POST', request_id)
        self.check_refusal(reply, ErrorKind.OVER_RATE, errors.Ran.UNKNOWN)

    async def test_refused_copy_while_the_first_waits_for_a_slot(self) -> None:
        """Guards against 'not run' while the first copy is still queued.

        The first copy has no intent yet, so the owner's table does not show
        it; its caller may have sent the second one after a broken connection.
        """
        request_id = self.bench.new_id()
        gate = self.dispatcher.gate = asyncio.Event()
        first = asyncio.ensure_future(self.bench.run('POST', request_id))
        await self.bench.settle()
        self.bench.token_buckets.has_tokens = False
        reply = await self.bench.run('POST', request_id)
        self.check_refusal(reply, ErrorKind.OVER_RATE, errors.Ran.UNKNOWN)
        gate.set()
        self.assertEqual(errors.Ran.YES, (await first).ran)
        self.assertEqual({}, dict(self.bench.executor.active_copies))

    async def test_copy_that_the_dispatcher_refuses(self) -> None:
        """Guards against 'not run' by the queue while a copy runs."""
        request_id = self.bench.new_id()
        gate = self.dispatcher.gate = asyncio.Event()
        tasks = [
            asyncio.ensure_future(self.bench.run('POST', request_id))
            for _ in range(2)
        ]
        await self.bench.settle()
        self.dispatcher.refusals = [
            errors.Failure(ErrorKind.OVERLOADED, 'full')
        ]
        gate.set()
        first, second = await asyncio.gather(*tasks)
        self.check_refusal(first, ErrorKind.OVERLOADED, errors.Ran.UNKNOWN)
        self.assertEqual(errors.Ran.YES, second.ran)
        self.assertEqual(1, len(self.forwarder.attempts))

    async def test_two_copies_at_once(self) -> None:
        """Guards against two runs of copies that both got a slot."""
        request_id = self.bench.new_id()
        self.forwarder.gate = asyncio.Event()
        tasks = [
            asyncio.ensure_future(self.bench.run('POST', request_id))
            for _ in range(3)
        ]
        await self.bench.settle()
        self.forwarder.gate.set()
        replies = await asyncio.gather(*tasks)
        self.assertEqual([b'ok'] * 3, [one.body for one in replies])
        self.assertEqual(1, len(self.forwarder.attempts))

    async def test_copy_at_another_vm_says_no_only_as_the_backup(self) -> None:
        """Guards against 'not run' from a VM that cannot know."""
        request_id = self.bench.new_id('other')
        self.bench.token_buckets.has_tokens = False
        reply = await self.bench.run('POST', request_id)
        self.check_refusal(reply, ErrorKind.OVER_RATE, errors.Ran.UNKNOWN)
        self.bench.token_buckets.has_tokens = True
        reply = await self.bench.run('POST', request_id)
        self.check_refusal(reply, ErrorKind.NOT_RUN, errors.Ran.NO)
        self.assertTrue(reply.include_grant)
        self.assertEqual('fenced', self.bench.record_state(request_id))

    async def test_copy_without_a_backup(self) -> None:
        """Guards against 'not run' when the backup does not answer."""
        request_id = self.bench.new_id('other')
        self.bench.peers.lost_calls.add(('backup', '/peer/intent'))
        reply = await self.bench.run('POST', request_id)
        self.check_refusal(
            reply, ErrorKind.OUTCOME_UNKNOWN, errors.Ran.UNKNOWN
        )

    async def test_old_id_of_the_owner(self) -> None:
        """Guards against a refusal of an id that the owner forgot."""
        request_id = self.bench.new_id()
        self.bench.clock.advance(9 * 60.0)
        self.bench.token_buckets.has_tokens = False
        reply = await self.bench.run('POST', request_id)
        self.check_refusal(reply, ErrorKind.OVER_RATE, errors.Ran.UNKNOWN)

    async def test_ids_of_another_form(self) -> None:
        """Guards against an order under an id that nobody records."""
        for request_id in ('r-1', 'x' * 500, 'a~b~c'):
            reply = await self.bench.run('POST', request_id)
            self.check_refusal(reply, ErrorKind.BAD_REQUEST, errors.Ran.NO)
            self.assertEqual('', reply.request_id)

    async def test_ids_that_the_vm_makes(self) -> None:
        """Guards against an order without an id that is not recorded."""
        request_id = self.bench.executor.new_request_id(True)
        reply = await self.bench.run('POST', request_id)
        self.assertEqual(errors.Ran.YES, reply.ran)
        parsed = delivery.parse_request_id(request_id).unwrap()
        self.assertEqual(parsed.grant.owner, parsed.grant.backup)
        table = self.bench.intents.backup.table
        record = table.records[exchange_bench.ACCOUNT, request_id]
        self.assertEqual('done', record.state.value)
        other = self.bench.executor.new_request_id(True)
        self.assertNotEqual(other, request_id)


class TestStored(unittest.TestCase):
    """Replies for recorded outcomes."""

    def test_too_large_to_keep(self) -> None:
        """Guards against an empty answer in index of one not kept."""
        answer = delivery.StoredResponse(200, (), b'', True)
        reply = _exchange.reply_from_stored('id', result.Ok(answer))
        assert reply.failure is not None
        self.assertEqual(ErrorKind.OUTCOME_UNKNOWN, reply.failure.kind)
        self.assertEqual(errors.Ran.YES, reply.ran)

    def test_target(self) -> None:
        """Guards against one fingerprint for two queries."""
        raw = _admission.RawRequest('GET', '/a', 'b=1', ())
        self.assertEqual('/a?b=1', _exchange.request_target(raw))
        self.assertEqual(
            '/a', _exchange.request_target(raw._replace(query=''))
        )
