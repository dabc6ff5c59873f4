"""Tests for the callers' listener, over HTTP on the loopback interface."""

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


class CallerListenerTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class: a callers' listener on a request path with fakes."""

    async def asyncSetUp(self) -> None:
        """Start the listener and a client session."""
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
        """Send a request; in header names, ``_`` stands for a dash."""
        request_headers = {
            **BEARER,
            **{k.replace('_', '-'): v for k, v in headers.items()},
        }
        async with self.session.request(
            method, path, data=data, headers=request_headers
        ) as response:
            return response, await response.read()

    async def check_refusal(
        self, kind: ErrorKind, ran: str, **options: typing.Any
    ) -> None:
        """Check that a request is refused."""
        response, _ = await self.call(**options)
        self.assertEqual(kind.value, response.headers.get('X-Error-Kind'))
        self.assertEqual(errors.ANSWERS[kind].status, response.status)
        self.assertEqual(ran, response.headers['X-Ran'])

    async def send_raw(self, text: bytes) -> bytes:
        """Send bytes on a new connection; return the start of the response."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(text)
        async with asyncio.timeout(5):
            received = await reader.read(65536)
        writer.close()
        return received

    async def wait_until(self, condition: typing.Callable[[], bool]) -> None:
        """Wait until a condition holds, for at most 5 s."""
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)

    def withdraw_key(self) -> None:
        """Withdraw the key and run a tick of the listener."""
        docs = exchange_bench.documents(with_key=False)
        now = self.bench.clock.now()
        routing_fakes.learn(self.bench.views, docs, 2, now)
        self.listener.tick(now)


class TestResponses(CallerListenerTestCase):
    """Responses, and what refusals say about whether a request ran."""

    async def test_response(self) -> None:
        """A response must have its headers, such as the request id."""
        response, body = await self.call(X_Request_Id='mine')
        self.assertEqual((200, b'ok'), (response.status, body))
        self.assertEqual('mine', response.headers['X-Request-Id'])
        self.assertEqual('yes', response.headers['X-Ran'])
        self.assertEqual('text/plain', response.headers['Content-Type'])

    async def test_generated_ids(self) -> None:
        """Requests without an id must get different ids."""
        request_ids = set()
        for method in ('GET', 'POST'):
            for _ in range(2):
                response, _ = await self.call(method)
                request_ids.add(response.headers['X-Request-Id'])
        self.assertEqual(4, len(request_ids))

    async def test_refusals(self) -> None:
        """The error kind of a refusal must match its cause."""
        await self.check_refusal(ErrorKind.NOT_FOUND, 'no', path='/nowhere')
        await self.check_refusal(
            ErrorKind.FORBIDDEN, 'no', path='/bookings/urgent'
        )
        await self.check_refusal(
            ErrorKind.UNAUTHORIZED, 'no', Authorization='Bearer ' + 'x' * 40
        )
        await self.check_refusal(
            ErrorKind.BAD_REQUEST, 'no', X_Deadline_Ms='soon'
        )
        await self.check_refusal(
            ErrorKind.BAD_REQUEST, 'no', method='POST', X_Request_Id='x'
        )

    async def test_refused_copies_of_a_request(self) -> None:
        """No refusal of a copy may say 'not run' if the request ran."""
        request_id = self.bench.new_request_id()
        await self.call('POST', X_Request_Id=request_id)
        call_options = {'method': 'POST', 'X_Request_Id': request_id}
        await self.check_refusal(
            ErrorKind.NOT_FOUND, 'unknown', path='/nowhere', **call_options
        )
        await self.check_refusal(
            ErrorKind.UNAUTHORIZED,
            'unknown',
            Authorization='Bearer ' + 'x' * 40,
            **call_options,
        )
        await self.check_refusal(
            ErrorKind.BODY_TOO_LARGE,
            'unknown',
            data=b'x' * 1001,
            **call_options,
        )
        self.listener.stopping = True
        await self.check_refusal(ErrorKind.MOVED, 'unknown', **call_options)
        self.bench.freshness.value = False
        await self.check_refusal(
            ErrorKind.NO_FRESH_CONFIG, 'unknown', **call_options
        )

    async def test_forgotten_ids_leave_the_index(self) -> None:
        """The count of an id must go when its row is forgotten."""
        request_id = self.bench.new_request_id()
        await self.call('POST', X_Request_Id=request_id)
        owned = self.bench.intents.owned_requests
        self.assertEqual({request_id: 1}, dict(owned.id_counts))
        self.bench.clock.advance(21 * 60.0)
        self.bench.intents.tick(self.bench.clock.now())
        self.assertEqual({}, dict(owned.id_counts))

    async def test_not_run_includes_a_grant(self) -> None:
        """With 'not run', a caller must get a grant to send again."""
        request_id = self.bench.new_request_id('other')
        response, _ = await self.call('POST', X_Request_Id=request_id)
        self.assertEqual('not_run', response.headers['X-Error-Kind'])
        grant = delivery.parse_grant(response.headers['X-Grant']).unwrap()
        self.assertEqual('owner', grant.owner)

    async def test_stopping(self) -> None:
        """A stopping VM must refuse requests and close the connections."""
        self.listener.stopping = True
        response, _ = await self.call()
        self.assertEqual('moved', response.headers['X-Error-Kind'])
        self.assertEqual('close', response.headers['Connection'])

    async def test_outcome(self) -> None:
        """Only the account of a request may read its outcome."""
        request_id = self.bench.new_request_id()
        await self.call('POST', X_Request_Id=request_id)
        path = f'/v1/outcome?id={request_id}'
        response, body = await self.call(path=path)
        self.assertEqual((200, b'ok'), (response.status, body))
        await self.check_refusal(
            ErrorKind.UNAUTHORIZED,
            'unknown',
            path=path,
            Authorization='Bearer ' + 'x' * 40,
        )
        # Without a key, the query is for the open account, which has no such
        # request.
        async with self.session.get(path) as unnamed:
            self.assertEqual('not_run', unnamed.headers['X-Error-Kind'])
        await self.check_refusal(
            ErrorKind.BAD_REQUEST, 'no', path='/v1/outcome?id=x'
        )

    async def test_outcome_without_a_key(self) -> None:
        """A caller that forgot its key must not be told 'not run'."""
        request_id = self.bench.new_request_id()
        await self.call('POST', X_Request_Id=request_id)
        docs = exchange_bench.documents()
        docs[config.EntityKind.SERVICE]['parts']['open'] = False
        routing_fakes.learn(self.bench.views, docs, 2, 0.0)
        path = f'/v1/outcome?id={request_id}'
        async with self.session.get(path) as response:
            self.assertEqual(401, response.status)
            self.assertEqual('unknown', response.headers['X-Ran'])

    async def test_counts(self) -> None:
        """Metrics must count every response."""
        await self.call()
        await self.call(path='/nowhere')
        self.bench.freshness.value = False
        await self.call()
        text = self.bench.counters.render().decode()
        for outcome in ('ok', 'not_found', 'no_fresh_config'):
            self.assertRegex(text, f'outcome="{outcome}"[^\n]*}} 1.0')


class TestBodies(CallerListenerTestCase):
    """Size and time limits of request bodies and heads."""

    async def test_sizes(self) -> None:
        """A body over the limit must be refused, with or without a length."""
        limit = exchange_bench.MAX_BODY_BYTES

        async def chunks(size: int) -> typing.AsyncIterator[bytes]:
            for _ in range(size):
                yield b'x'

        for size, status in ((limit, 200), (limit + 1, 413)):
            response, _ = await self.call('POST', data=b'x' * size)
            self.assertEqual(status, response.status)
            response, _ = await self.call('POST', data=chunks(size))
            self.assertEqual(status, response.status)

    async def test_body_that_does_not_arrive(self) -> None:
        """A slow caller must not keep a connection past its deadline."""
        received = await self.send_raw(
            b'POST /bookings/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
            b'Authorization: Bearer ' + exchange_bench.SECRET.encode()
            + b'\r\nX-Deadline-Ms: 50\r\nContent-Length: 5\r\n\r\nab'
        )  # fmt: skip
        self.assertIn(b'400', received.partition(b'\r\n')[0])
        self.assertIn(b'X-Error-Kind: bad_request', received)
        self.assertEqual([], self.bench.forwarder.attempts)

    async def test_body_with_broken_chunks(self) -> None:
        """A malformed body must be refused as a bad request."""
        received = await self.send_raw(
            b'POST /bookings/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
            b'Authorization: Bearer ' + exchange_bench.SECRET.encode()
            + b'\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n'
        )  # fmt: skip
        self.assertIn(b' 400 ', received.partition(b'\r\n')[0])
        self.assertEqual([], self.bench.forwarder.attempts)

    async def test_malformed_head_is_not_logged(self) -> None:
        """A key must not be logged.

        aiohttp logged the malformed line of a request head in full.
        """
        key = exchange_bench.SECRET.encode()
        with self.assertNoLogs():
            for head in (
                b'GET / HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer '
                + key + b'\x00\r\n\r\n',
                b'GET / HTTP/1.1\r\nHost: x\r\n' + key + b'\r\n\r\n',
            ):  # fmt: skip
                received = await self.send_raw(head)
                self.assertIn(b' 400 ', received.partition(b'\r\n')[0])

    async def test_oversized_head(self) -> None:
        """A request head must not use unlimited memory."""
        for head in (
            b'GET /' + b'x' * 9000 + b' HTTP/1.1\r\nHost: x\r\n\r\n',
            b'GET / HTTP/1.1\r\nHost: x\r\nX-A: ' + b'x' * 9000 + b'\r\n\r\n',
        ):
            received = await self.send_raw(head)
            self.assertIn(b' 400 ', received.partition(b'\r\n')[0])
        self.assertEqual({}, self.listener.active_requests)


class TestStreams(CallerListenerTestCase):
    """Streamed responses."""

    async def test_whole_stream(self) -> None:
        """No chunk may be lost."""
        stream = exchange_bench.FakeStream([b'a', b'b' * 9000, b'c'])
        self.bench.forwarder.outcomes = [
            exchange_bench.answered(stream=stream)
        ]
        response, body = await self.call()
        self.assertEqual(b'a' + b'b' * 9000 + b'c', body)
        self.assertEqual('yes', response.headers['X-Ran'])
        self.assertTrue(stream.closed)
        self.assertEqual(
            9002, self.bench.dispatcher.attempt_results[0].answer_bytes
        )

    async def test_broken_stream(self) -> None:
        """A truncated response must not look complete (property P7)."""
        stream = exchange_bench.FakeStream([b'a'], broken=True)
        self.bench.forwarder.outcomes = [
            exchange_bench.answered(stream=stream)
        ]
        with self.assertRaises(aiohttp.ClientError):
            await self.call()
        await self.wait_until(
            lambda: bool(self.bench.dispatcher.attempt_results)
        )
        self.assertTrue(
            self.bench.dispatcher.attempt_results[0].run_may_continue
        )

    async def test_caller_that_disconnects(self) -> None:
        """The stream of a disconnected caller must be closed."""
        stream = exchange_bench.FakeStream([b'a', b'b'])
        stream.gate = asyncio.Event()
        self.bench.forwarder.outcomes = [
            exchange_bench.answered(stream=stream)
        ]
        async with self.session.get('/bookings/1', headers=BEARER) as response:
            await response.content.readany()
            response.close()
        await self.wait_until(lambda: stream.closed)
        self.assertEqual(set(), self.bench.dispatcher.running)
        await self.wait_until(lambda: not self.listener.active_requests)


class TestWithdrawnKeys(CallerListenerTestCase):
    """Requests that run when their key is withdrawn (property P5)."""

    async def withdraw_and_pass_grace(self) -> None:
        """Withdraw the key and let the grace period pass."""
        self.withdraw_key()
        self.bench.clock.advance(_withdrawals.WITHDRAWN_KEY_GRACE_S - 0.1)
        self.listener.tick(self.bench.clock.now())
        self.assertEqual([], self.bench.forwarder.cancelled)
        self.bench.clock.advance(0.2)
        self.listener.tick(self.bench.clock.now())

    async def test_running_request_is_cancelled(self) -> None:
        """A running request must be cancelled 5 s after its key is withdrawn.

        A request that came without an id was not cancelled, because the
        listener did not know its generated id.
        """
        for given in ('', 'mine'):
            await self.asyncSetUp()
            gate = self.bench.forwarder.gate = asyncio.Event()
            headers = {'X_Request_Id': given} if given else {}
            task = asyncio.ensure_future(self.call(**headers))
            await self.wait_until(lambda: bool(self.bench.forwarder.attempts))
            sent = self.bench.forwarder.attempts[0].request_id
            await self.withdraw_and_pass_grace()
            self.assertEqual([sent], self.bench.forwarder.cancelled)
            gate.set()
            await task

    async def test_stream_is_cancelled(self) -> None:
        """A stream must end 5 s after its key is withdrawn."""
        stream = exchange_bench.FakeStream([b'a', b'b'])
        stream.gate = asyncio.Event()
        self.bench.forwarder.outcomes = [
            exchange_bench.answered(stream=stream)
        ]
        with self.assertRaises(aiohttp.ClientError):
            async with self.session.get(
                '/bookings/1', headers=BEARER
            ) as response:
                await response.content.readany()
                await self.withdraw_and_pass_grace()
                await response.read()
        self.assertTrue(stream.closed)

    async def test_waiting_requests_are_refused(self) -> None:
        """Queued requests of a withdrawn key must be refused."""
        self.withdraw_key()
        failures = self.bench.dispatcher.refuse_failures
        self.assertEqual(ErrorKind.UNAUTHORIZED, failures[-1].kind)

    async def test_connected_caller_is_refused_at_once(self) -> None:
        """A withdrawn key must also be refused on an open connection."""
        await self.call()
        self.withdraw_key()
        await self.check_refusal(ErrorKind.UNAUTHORIZED, 'no')

    async def test_retry_budgets_of_removed_services(self) -> None:
        """Retry budgets of removed services must not accumulate."""
        retry_budget = self.bench.attempt_runner.retry_budget
        retry_budget.record_request('gone')
        self.withdraw_key()
        self.assertNotIn('gone', retry_budget.tokens)
