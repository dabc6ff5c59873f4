"""Tests for the execution of admitted requests."""

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


class RequestPathTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class: a request path with a fake dispatcher and forwarder."""

    def setUp(self) -> None:
        """Build the request path."""
        self.bench = exchange_bench.Bench()
        self.dispatcher = self.bench.dispatcher
        self.forwarder = self.bench.forwarder

    def tearDown(self) -> None:
        """Check that every slot was released.

        The fake dispatcher checks that none was released twice.
        """
        self.assertEqual(set(), self.dispatcher.running)

    def check_refusal(
        self, reply: _exchange.Reply, kind: ErrorKind, ran: errors.Ran
    ) -> None:
        """Check that a reply is a failure of a kind."""
        assert reply.failure is not None
        self.assertEqual(kind, reply.failure.kind)
        self.assertEqual(ran, reply.ran)


class TestOutcomes(RequestPathTestCase):
    """Each kind of outcome, for idempotent and at-most-once requests."""

    def test_all_outcome_kinds_are_covered(self) -> None:
        """Every kind of outcome must have a rule and an expectation."""
        self.assertEqual(set(OutcomeKind), set(_try_state.OUTCOME_RULES))
        self.assertEqual(
            set(OutcomeKind) - {OutcomeKind.ANSWERED}, set(EXPECTATIONS)
        )

    async def test_failures(self) -> None:
        """Retries and replies must be right (properties P8 and P9)."""
        for kind, expected in EXPECTATIONS.items():
            for index, method in enumerate(('GET', 'POST')):
                with self.subTest(kind=kind, method=method):
                    await self.check_failure(kind, expected, index, method)

    async def check_failure(
        self, kind: OutcomeKind, expected: Expectation, index: int, method: str
    ) -> None:
        """Check a request whose attempts all have one kind of outcome."""
        self.setUp()
        bench = self.bench
        bench.allow_retries()
        sent = kind is not OutcomeKind.NOT_SENT
        self.forwarder.outcomes = [delivery.ForwardOutcome(kind, sent)]
        request_id = bench.new_request_id()
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
        state = bench.backup_state(request_id)
        self.assertEqual(expected.intent_state if index else 'none', state)
        tried = [one.excluded_servers for one in self.dispatcher.requests]
        self.assertEqual([len(one) for one in tried], list(range(len(tried))))

    async def test_response(self) -> None:
        """A response must be returned whole, and recorded if at-most-once."""
        for method, state in {'GET': 'none', 'POST': 'done'}.items():
            request_id = self.bench.new_request_id()
            reply = await self.bench.run(method, request_id)
            await self.bench.settle()
            self.assertEqual((200, b'ok'), (reply.status, reply.body))
            self.assertEqual(errors.Ran.YES, reply.ran)
            self.assertEqual(state, self.bench.backup_state(request_id))

    async def test_shed_then_answered(self) -> None:
        """A shed at-most-once request must be sent to another server."""
        shed = delivery.ForwardOutcome(OutcomeKind.SHED, True)
        self.forwarder.outcomes = [shed, exchange_bench.answered()]
        request_id = self.bench.new_request_id()
        reply = await self.bench.run('POST', request_id)
        await self.bench.settle()
        self.assertEqual(b'ok', reply.body)
        self.assertEqual('done', self.bench.backup_state(request_id))

    async def test_retry_budget(self) -> None:
        """Retries must not multiply the load: no budget, no retry."""
        self.forwarder.outcomes = [
            delivery.ForwardOutcome(OutcomeKind.BROKEN, True)
        ]
        await self.bench.run()
        self.assertEqual(1, len(self.forwarder.attempts))

    async def test_quarantined_request_is_not_retried(self) -> None:
        """A request that crashes servers must not reach more servers."""
        self.bench.allow_retries()
        self.forwarder.outcomes = [
            delivery.ForwardOutcome(OutcomeKind.BROKEN, True)
        ]
        reply = await self.bench.run()
        self.check_refusal(reply, ErrorKind.BACKEND_FAILED, errors.Ran.UNKNOWN)
        reply = await self.bench.run()
        self.check_refusal(reply, ErrorKind.QUARANTINED, errors.Ran.NO)
        self.assertEqual(2, len(self.forwarder.attempts))

    async def test_refusals_before_send(self) -> None:
        """A VM that was suspended must not send afterwards.

        Its configuration may be stale or the deadline may have passed.
        """

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
                    request_id = self.bench.new_request_id()
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
                        self.bench.backup_state(request_id),
                    )

    async def test_key_in_the_body(self) -> None:
        """A backend server must not receive a key (property P4)."""
        request_id = self.bench.new_request_id()
        body = exchange_bench.SECRET.encode()
        reply = await self.bench.run('POST', request_id, body)
        self.check_refusal(reply, ErrorKind.KEY_IN_REQUEST, errors.Ran.NO)
        self.assertEqual([], self.forwarder.attempts)


class TestRates(RequestPathTestCase):
    """Rate limits, and refusals by the dispatcher."""

    async def test_over_rate(self) -> None:
        """A request above the rate limit must not take a slot."""
        self.bench.token_buckets.has_tokens = False
        for method in ('GET', 'POST'):
            reply = await self.bench.run(method, self.bench.new_request_id())
            self.check_refusal(reply, ErrorKind.OVER_RATE, errors.Ran.NO)
        self.assertEqual([], self.dispatcher.requests)

    async def test_open_services_have_no_rate_limit(self) -> None:
        """A request to an open service must not need tokens."""
        self.bench.token_buckets.has_tokens = False
        reply = await self.bench.run(path='/parts/1')
        self.assertIsNone(reply.failure)
        self.assertEqual([], self.bench.token_buckets.asked)

    async def test_refused_by_the_dispatcher(self) -> None:
        """No intent may be recorded for a request that got no slot."""
        refusal = errors.Failure(ErrorKind.SHIFT_CAP, 'cap', 1.0)
        for method in ('GET', 'POST'):
            self.dispatcher.refusals = [refusal]
            request_id = self.bench.new_request_id()
            reply = await self.bench.run(method, request_id)
            self.check_refusal(reply, ErrorKind.SHIFT_CAP, errors.Ran.NO)
            self.assertEqual('none', self.bench.backup_state(request_id))

    async def test_refused_after_first_attempt(self) -> None:
        """The intent must be withdrawn if no server is left to try."""
        self.forwarder.outcomes = [
            delivery.ForwardOutcome(OutcomeKind.SHED, True)
        ]
        request_id = self.bench.new_request_id()
        task = asyncio.ensure_future(self.bench.run('POST', request_id))
        self.forwarder.gate = asyncio.Event()
        await self.bench.settle()
        self.dispatcher.refusals = [errors.Failure(ErrorKind.NO_ROOM, 'none')]
        self.forwarder.gate.set()
        self.check_refusal(await task, ErrorKind.NO_ROOM, errors.Ran.NO)
        await self.bench.settle()
        self.assertEqual('fenced', self.bench.backup_state(request_id))


class TestCopies(RequestPathTestCase):
    """Replies to copies of a request under one id (property P8)."""

    async def test_copy_gets_the_same_response(self) -> None:
        """An at-most-once request must not run twice (property P9)."""
        request_id = self.bench.new_request_id()
        first = await self.bench.run('POST', request_id)
        second = await self.bench.run('POST', request_id)
        self.assertEqual(first.body, second.body)
        self.assertEqual(errors.Ran.YES, second.ran)
        self.assertEqual(1, len(self.forwarder.attempts))

    async def test_copy_with_another_body(self) -> None:
        """A copy with another body must not get the first one's response."""
        request_id = self.bench.new_request_id()
        await self.bench.run('POST', request_id, b'1')
        reply = await self.bench.run('POST', request_id, b'2')
        self.check_refusal(reply, ErrorKind.ID_REUSED, errors.Ran.NO)

    async def test_refused_copy_of_a_request_that_ran(self) -> None:
        """A refused copy must not say 'not run' if the request ran."""
        request_id = self.bench.new_request_id()
        await self.bench.run('POST', request_id)
        self.bench.token_buckets.has_tokens = False
        reply = await self.bench.run('POST', request_id)
        self.check_refusal(reply, ErrorKind.OVER_RATE, errors.Ran.UNKNOWN)

    async def test_refused_copy_while_the_first_waits_for_a_slot(self) -> None:
        """A copy must not be 'not run' while the first is still queued.

        The first copy has no recorded intent yet, so it is not in the owner's
        table.  Its caller may have sent the second copy after its connection
        broke.
        """
        request_id = self.bench.new_request_id()
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
        """A copy refused by the queue must not say 'not run' if one runs."""
        request_id = self.bench.new_request_id()
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

    async def test_concurrent_copies(self) -> None:
        """If several copies get a slot, only one may run."""
        request_id = self.bench.new_request_id()
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

    async def test_copy_at_another_vm(self) -> None:
        """Only the owner and the backup may say that a copy was not run."""
        request_id = self.bench.new_request_id('other')
        self.bench.token_buckets.has_tokens = False
        reply = await self.bench.run('POST', request_id)
        self.check_refusal(reply, ErrorKind.OVER_RATE, errors.Ran.UNKNOWN)
        self.bench.token_buckets.has_tokens = True
        reply = await self.bench.run('POST', request_id)
        self.check_refusal(reply, ErrorKind.NOT_RUN, errors.Ran.NO)
        self.assertTrue(reply.include_grant)
        self.assertEqual('fenced', self.bench.backup_state(request_id))

    async def test_copy_while_backup_is_unreachable(self) -> None:
        """Without the backup's answer, a copy must not be 'not run'."""
        request_id = self.bench.new_request_id('other')
        self.bench.peers.lost_calls.add(('backup', '/peer/intent'))
        reply = await self.bench.run('POST', request_id)
        self.check_refusal(
            reply, ErrorKind.OUTCOME_UNKNOWN, errors.Ran.UNKNOWN
        )

    async def test_old_id_of_the_owner(self) -> None:
        """A refusal must not say 'not run' for an id that the owner forgot."""
        request_id = self.bench.new_request_id()
        self.bench.clock.advance(9 * 60.0)
        self.bench.token_buckets.has_tokens = False
        reply = await self.bench.run('POST', request_id)
        self.check_refusal(reply, ErrorKind.OVER_RATE, errors.Ran.UNKNOWN)

    async def test_malformed_ids(self) -> None:
        """An at-most-once request needs an id that a backup records."""
        for request_id in ('r-1', 'x' * 500, 'a~b~c'):
            reply = await self.bench.run('POST', request_id)
            self.check_refusal(reply, ErrorKind.BAD_REQUEST, errors.Ran.NO)
            self.assertEqual('', reply.request_id)

    async def test_generated_ids(self) -> None:
        """Requests without an id must be recorded under a generated one."""
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


class TestModuleFunctions(unittest.TestCase):
    """Functions of the module."""

    def test_response_too_large_to_store(self) -> None:
        """A response that was not stored must not become an empty one."""
        response = delivery.StoredResponse(200, (), b'', True)
        reply = _exchange.reply_from_stored('id', result.Ok(response))
        assert reply.failure is not None
        self.assertEqual(ErrorKind.OUTCOME_UNKNOWN, reply.failure.kind)
        self.assertEqual(errors.Ran.YES, reply.ran)

    def test_request_target(self) -> None:
        """Requests with different queries must have different fingerprints."""
        raw = _admission.RawRequest('GET', '/a', 'b=1', ())
        self.assertEqual('/a?b=1', _exchange.request_target(raw))
        self.assertEqual(
            '/a', _exchange.request_target(raw._replace(query=''))
        )
