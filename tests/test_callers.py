"""Tests of the callers' listener over HTTP on loopback."""

import asyncio
import typing
import unittest

import aiohttp

from filbertstep import _callers
from filbertstep import _web
from filbertstep import _withdrawals
from filbertstep import burn
from filbertstep import config
from filbertstep import delivery
from filbertstep import errors
from filbertstep import lookup
from filbertstep import settings
from tests import exchange_bench
from tests import routing_fakes

ErrorKind = errors.ErrorKind
BEARER: typing.Final = {'Authorization': f'Bearer {exchange_bench.SECRET}'}


class CallersCase(unittest.IsolatedAsyncioTestCase):
    """A callers' listener before a request path with fakes."""

    async def asyncSetUp(self) -> None:
        """Listen."""
        self.bench = bench = exchange_bench.Bench()
        self.lookups = lookup.LookupSystem(
            lookup.Identity(
                'owner', 'i1', 'hobart', 'hobart-a', 'http://127.0.0.1:1'
            ),
            bench.clock,
            bench.views,
            bench.executor.membership,
            bench.freshness,
        )
        self.lookups.state = 'serving'
        self.lookups.tick(bench.clock.now())
        self.burn_table = burn.BurnTable(bench.clock.now())
        self.listener = _callers.CallerListener(
            bench.admission,
            bench.executor,
            self.lookups,
            bench.freshness,
            typing.cast(delivery.Forwarder, bench.forwarder),
            bench.clock,
            bench.counters,
            self.burn_table,
            bench.recorder,
            'hobart',
        )
        runner = await _web.start_listener(
            self.listener.make_application(),
            settings.Listener('127.0.0.1', 0, '', None, None),
            1.0,
            _callers.parser_limits(),
        )
        self.addAsyncCleanup(runner.cleanup)
        self.port = int(runner.addresses[0][1])
        self.session = aiohttp.ClientSession(
            f'http://127.0.0.1:{self.port}', auto_decompress=False
        )
        self.addAsyncCleanup(self.session.close)

    async def call(
        self,
        method: str = 'GET',
        path: str = '/bookings/1',
        data: typing.Any = None,
        **headers: str,
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        """Send one request; header names have ``_`` for dashes."""
        fields = {
            **BEARER,
            **{k.replace('_', '-'): v for k, v in headers.items()},
        }
        async with self.session.request(
            method, path, data=data, headers=fields
        ) as answer:
            return answer, await answer.read()

    async def check(
        self, kind: ErrorKind, ran: str, **parts: typing.Any
    ) -> None:
        """Check that a request is refused."""
        answer, _ = await self.call(**parts)
        self.assertEqual(kind.value, answer.headers.get('X-Error-Kind'))
        self.assertEqual(errors.ANSWERS[kind].status, answer.status)
        self.assertEqual(ran, answer.headers['X-Ran'])

    async def send_raw(self, text: bytes) -> bytes:
        """Send bytes and return the start of what comes."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(text)
        async with asyncio.timeout(5):
            found = await reader.read(65536)
        writer.close()
        return found

    async def until(self, condition: typing.Callable[[], bool]) -> None:
        """Wait for a condition."""
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)

    def withdraw(self) -> None:
        """Withdraw the key and let the listener notice."""
        docs = exchange_bench.documents(with_key=False)
        now = self.bench.clock.now()
        routing_fakes.learn(self.bench.views, docs, 2, now)
        self.listener.tick(now)


class TestAnswers(CallersCase):
    """Answers, and refusals with what they say about the run."""

    async def test_answer(self) -> None:
        """Guards against an answer without its request id."""
        answer, body = await self.call(X_Request_Id='mine')
        self.assertEqual((200, b'ok'), (answer.status, body))
        self.assertEqual('mine', answer.headers['X-Request-Id'])
        self.assertEqual('yes', answer.headers['X-Ran'])
        self.assertEqual('text/plain', answer.headers['Content-Type'])

    async def test_ids_that_the_vm_makes(self) -> None:
        """Guards against two requests under one id."""
        found = set()
        for method in ('GET', 'POST'):
            for _ in range(2):
                answer, _ = await self.call(method)
                found.add(answer.headers['X-Request-Id'])
        self.assertEqual(4, len(found))

    async def test_refusals(self) -> None:
        """Guards against a refusal of another kind than its cause."""
        await self.check(ErrorKind.NOT_FOUND, 'no', path='/nowhere')
        await self.check(ErrorKind.FORBIDDEN, 'no', path='/bookings/urgent')
        await self.check(
            ErrorKind.UNAUTHORIZED, 'no', Authorization='Bearer ' + 'x' * 40
        )
        await self.check(ErrorKind.BAD_REQUEST, 'no', X_Deadline_Ms='soon')
        await self.check(
            ErrorKind.BAD_REQUEST, 'no', method='POST', X_Request_Id='x'
        )

    async def test_refused_copies_of_an_order(self) -> None:
        """Guards against 'not run' for an order that ran, whoever asks."""
        request_id = self.bench.new_request_id()
        await self.call('POST', X_Request_Id=request_id)
        fields = {'method': 'POST', 'X_Request_Id': request_id}
        await self.check(
            ErrorKind.NOT_FOUND, 'unknown', path='/nowhere', **fields
        )
        await self.check(
            ErrorKind.UNAUTHORIZED,
            'unknown',
            Authorization='Bearer ' + 'x' * 40,
            **fields,
        )
        await self.check(
            ErrorKind.BODY_TOO_LARGE, 'unknown', data=b'x' * 1001, **fields
        )
        self.listener.stopping = True
        await self.check(ErrorKind.MOVED, 'unknown', **fields)
        self.bench.freshness.value = False
        await self.check(ErrorKind.NO_FRESH_CONFIG, 'unknown', **fields)

    async def test_ids_are_forgotten_by_the_index(self) -> None:
        """Guards against ids that stay known when their rows are gone."""
        request_id = self.bench.new_request_id()
        await self.call('POST', X_Request_Id=request_id)
        owned = self.bench.intents.owned_requests
        self.assertEqual({request_id: 1}, dict(owned.id_counts))
        self.bench.clock.advance(21 * 60.0)
        self.bench.intents.tick(self.bench.clock.now())
        self.assertEqual({}, dict(owned.id_counts))

    async def test_not_run_brings_a_grant(self) -> None:
        """Guards against a caller that cannot send its order again."""
        request_id = self.bench.new_request_id('other')
        answer, _ = await self.call('POST', X_Request_Id=request_id)
        self.assertEqual('not_run', answer.headers['X-Error-Kind'])
        grant = delivery.parse_grant(answer.headers['X-Grant']).unwrap()
        self.assertEqual('owner', grant.owner)

    async def test_moved(self) -> None:
        """Guards against a caller that stays with a VM that stops."""
        self.listener.stopping = True
        answer, _ = await self.call()
        self.assertEqual('moved', answer.headers['X-Error-Kind'])
        self.assertEqual('close', answer.headers['Connection'])

    async def test_outcome(self) -> None:
        """Guards against an outcome that another account can read."""
        request_id = self.bench.new_request_id()
        await self.call('POST', X_Request_Id=request_id)
        path = f'/v1/outcome?id={request_id}'
        answer, body = await self.call(path=path)
        self.assertEqual((200, b'ok'), (answer.status, body))
        await self.check(
            ErrorKind.UNAUTHORIZED,
            'unknown',
            path=path,
            Authorization='Bearer ' + 'x' * 40,
        )
        # The id of an open service's request would be another record.
        async with self.session.get(path) as unnamed:
            self.assertEqual('not_run', unnamed.headers['X-Error-Kind'])
        await self.check(ErrorKind.BAD_REQUEST, 'no', path='/v1/outcome?id=x')

    async def test_outcome_without_a_key(self) -> None:
        """Guards against 'not run' for a caller that forgot its key."""
        request_id = self.bench.new_request_id()
        await self.call('POST', X_Request_Id=request_id)
        docs = exchange_bench.documents()
        docs[config.EntityKind.SERVICE]['parts']['open'] = False
        routing_fakes.learn(self.bench.views, docs, 2, 0.0)
        path = f'/v1/outcome?id={request_id}'
        async with self.session.get(path) as answer:
            self.assertEqual(401, answer.status)
            self.assertEqual('unknown', answer.headers['X-Ran'])

    async def test_counts(self) -> None:
        """Guards against answers that no metric shows."""
        await self.call()
        await self.call(path='/nowhere')
        self.bench.freshness.value = False
        await self.call()
        text = self.bench.counters.render().decode()
        for outcome in ('ok', 'not_found', 'no_fresh_config'):
            self.assertRegex(text, f'outcome="{outcome}"[^\n]*}} 1.0')


class TestBodies(CallersCase):
    """Bodies and heads at their limits."""

    async def test_sizes(self) -> None:
        """Guards against a body over the limit, with and without a length."""
        limit = exchange_bench.MAX_BODY

        async def pieces(size: int) -> typing.AsyncIterator[bytes]:
            for _ in range(size):
                yield b'x'

        for size, status in ((limit, 200), (limit + 1, 413)):
            answer, _ = await self.call('POST', data=b'x' * size)
            self.assertEqual(status, answer.status)
            answer, _ = await self.call('POST', data=pieces(size))
            self.assertEqual(status, answer.status)

    async def test_body_that_does_not_arrive(self) -> None:
        """Guards against a connection that is kept by a slow caller."""
        found = await self.send_raw(
            b'POST /bookings/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
            b'Authorization: Bearer ' + exchange_bench.SECRET.encode()
            + b'\r\nX-Deadline-Ms: 50\r\nContent-Length: 5\r\n\r\nab'
        )  # fmt: skip
        self.assertIn(b'400', found.partition(b'\r\n')[0])
        self.assertIn(b'X-Error-Kind: bad_request', found)
        self.assertEqual([], self.bench.forwarder.attempts)

    async def test_body_with_broken_chunks(self) -> None:
        """Guards against an internal error for a malformed body."""
        found = await self.send_raw(
            b'POST /bookings/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
            b'Authorization: Bearer ' + exchange_bench.SECRET.encode()
            + b'\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n'
        )  # fmt: skip
        self.assertIn(b' 400 ', found.partition(b'\r\n')[0])
        self.assertEqual([], self.bench.forwarder.attempts)

    async def test_malformed_head_is_not_logged(self) -> None:
        """Guards against a key in a log line.

        The HTTP library logged the malformed line of a head in full.
        """
        key = exchange_bench.SECRET.encode()
        with self.assertNoLogs():
            for head in (
                b'GET / HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer '
                + key + b'\x00\r\n\r\n',
                b'GET / HTTP/1.1\r\nHost: x\r\n' + key + b'\r\n\r\n',
            ):  # fmt: skip
                found = await self.send_raw(head)
                self.assertIn(b' 400 ', found.partition(b'\r\n')[0])

    async def test_oversized_head(self) -> None:
        """Guards against a head that fills the memory."""
        for head in (
            b'GET /' + b'x' * 9000 + b' HTTP/1.1\r\nHost: x\r\n\r\n',
            b'GET / HTTP/1.1\r\nHost: x\r\nX-A: ' + b'x' * 9000 + b'\r\n\r\n',
        ):
            found = await self.send_raw(head)
            self.assertIn(b' 400 ', found.partition(b'\r\n')[0])
        self.assertEqual({}, self.listener.active_requests)


class TestStreams(CallersCase):
    """Answers that are passed on in pieces."""

    async def test_whole_stream(self) -> None:
        """Guards against a piece that is lost."""
        stream = exchange_bench.FakeStream([b'a', b'b' * 9000, b'c'])
        self.bench.forwarder.outcomes = [
            exchange_bench.answered(stream=stream)
        ]
        answer, body = await self.call()
        self.assertEqual(b'a' + b'b' * 9000 + b'c', body)
        self.assertEqual('yes', answer.headers['X-Ran'])
        self.assertTrue(stream.closed)
        self.assertEqual(
            9002, self.bench.dispatcher.attempt_results[0].answer_bytes
        )

    async def test_broken_stream(self) -> None:
        """Guards against a cut answer that looks whole (P7)."""
        stream = exchange_bench.FakeStream([b'a'], broken=True)
        self.bench.forwarder.outcomes = [
            exchange_bench.answered(stream=stream)
        ]
        with self.assertRaises(aiohttp.ClientError):
            await self.call()
        await self.until(lambda: bool(self.bench.dispatcher.attempt_results))
        self.assertTrue(
            self.bench.dispatcher.attempt_results[0].run_may_continue
        )

    async def test_caller_that_leaves(self) -> None:
        """Guards against a stream that nobody reads any more."""
        stream = exchange_bench.FakeStream([b'a', b'b'])
        stream.gate = asyncio.Event()
        self.bench.forwarder.outcomes = [
            exchange_bench.answered(stream=stream)
        ]
        async with self.session.get('/bookings/1', headers=BEARER) as answer:
            await answer.content.readany()
            answer.close()
        await self.until(lambda: stream.closed)
        self.assertEqual(set(), self.bench.dispatcher.running)
        await self.until(lambda: not self.listener.active_requests)


class TestWithdrawnKeys(CallersCase):
    """Answers that run when their key is withdrawn (P5)."""

    async def cut_after_grace(self) -> None:
        """Withdraw the key and let the time until the cut pass."""
        self.withdraw()
        self.bench.clock.advance(_withdrawals.WITHDRAWN_KEY_GRACE_S - 0.1)
        self.listener.tick(self.bench.clock.now())
        self.assertEqual([], self.bench.forwarder.cancelled)
        self.bench.clock.advance(0.2)
        self.listener.tick(self.bench.clock.now())

    async def test_running_request_is_cancelled(self) -> None:
        """Guards against work for a withdrawn key after 5 s.

        A request without an id of its caller was not cancelled, because the
        listener did not know the id that it ran under.
        """
        for given in ('', 'mine'):
            await self.asyncSetUp()
            gate = self.bench.forwarder.gate = asyncio.Event()
            headers = {'X_Request_Id': given} if given else {}
            task = asyncio.ensure_future(self.call(**headers))
            await self.until(lambda: bool(self.bench.forwarder.attempts))
            sent = self.bench.forwarder.attempts[0].request_id
            await self.cut_after_grace()
            self.assertEqual([sent], self.bench.forwarder.cancelled)
            gate.set()
            await task

    async def test_stream_is_cut(self) -> None:
        """Guards against an answer that streams on after 5 s."""
        stream = exchange_bench.FakeStream([b'a', b'b'])
        stream.gate = asyncio.Event()
        self.bench.forwarder.outcomes = [
            exchange_bench.answered(stream=stream)
        ]
        with self.assertRaises(aiohttp.ClientError):
            async with self.session.get(
                '/bookings/1', headers=BEARER
            ) as answer:
                await answer.content.readany()
                await self.cut_after_grace()
                await answer.read()
        self.assertTrue(stream.closed)

    async def test_waiting_requests_are_refused(self) -> None:
        """Guards against a queue full of requests that cannot be sent."""
        self.withdraw()
        failures = self.bench.dispatcher.refuse_failures
        self.assertEqual(ErrorKind.UNAUTHORIZED, failures[-1].kind)

    async def test_connected_caller_is_refused_at_once(self) -> None:
        """Guards against a key that lives as long as a connection."""
        await self.call()
        self.withdraw()
        await self.check(ErrorKind.UNAUTHORIZED, 'no')

    async def test_budgets_of_deleted_services(self) -> None:
        """Guards against retry budgets that pile up."""
        retry_budget = self.bench.attempt_runner.retry_budget
        retry_budget.record_request('gone')
        self.withdraw()
        self.assertNotIn('gone', retry_budget.tokens)
