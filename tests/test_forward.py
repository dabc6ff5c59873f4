"""Tests of forwarding one request to a backend server on loopback."""

import asyncio
import collections.abc
import typing
import unittest

from filbertstep import delivery
from filbertstep import errors

Kind = delivery.ForwardOutcomeKind
Replier = collections.abc.Callable[
    ['RawServer', asyncio.StreamWriter, bytes],
    collections.abc.Awaitable[None],
]


class RawServer:
    """An HTTP server whose responses are raw bytes from a test."""

    def __init__(self, reply: Replier) -> None:
        self.reply = reply
        self.requests: list[bytes] = []
        self.connections = 0
        self.closed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read the requests of one connection and reply to each."""
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = 0
                for line in head.split(b'\r\n'):
                    if line.lower().startswith(b'content-length:'):
                        length = int(line.partition(b':')[2])
                self.requests.append(head + await reader.readexactly(length))
                await self.reply(self, writer, self.requests[-1])
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            self.closed.set()


def header(request: bytes, name: str) -> str | None:
    """Return the value of a header in a raw request, or None."""
    for line in request.split(b'\r\n\r\n')[0].split(b'\r\n')[1:]:
        found, _, value = line.decode().partition(':')
        if found.lower() == name.lower():
            return value.strip()
    return None


def replies(*parts: bytes, close: bool = False) -> Replier:
    """Return a replier that writes parts, then closes if asked to."""

    async def reply(
        server: RawServer, writer: asyncio.StreamWriter, request: bytes
    ) -> None:
        for part in parts:
            writer.write(part)
            await writer.drain()
        if close:
            writer.close()

    return reply


def http_response(body: bytes, *headers: str, status: str = '200 OK') -> bytes:
    """Return an HTTP response with ``Content-Length``."""
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}', *headers]
    return '\r\n'.join([*lines, '', '']).encode() + body


def allow_send() -> errors.Failure | None:
    """Permit the request to be sent."""
    return None


CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


class Case(typing.NamedTuple):
    """The reply of a backend server and the expected outcome."""

    name: str
    reply: Replier
    kind: delivery.ForwardOutcomeKind
    body: bytes = b''
    status: int = 0


CASES = [
    Case('whole', replies(http_response(b'yes')), Kind.ANSWERED, b'yes', 200),
    Case(
        'error status',
        replies(http_response(b'no', status='500 X')),
        Kind.ANSWERED,
        b'no',
        500,
    ),
    Case(
        'chunked',
        replies(CHUNKED, b'3\r\nabc\r\n0\r\n\r\n'),
        Kind.ANSWERED,
        b'abc',
        200,
    ),
    Case(
        'no content',
        replies(b'HTTP/1.1 204 No Content\r\n\r\n'),
        Kind.ANSWERED,
        b'',
        204,
    ),
    Case(
        'redirect',
        replies(http_response(b'', 'Location: /other', status='302 Found')),
        Kind.ANSWERED,
        b'',
        302,
    ),
    Case(
        'shed',
        replies(http_response(b'', 'X-Not-Run: true', status='503 Busy')),
        Kind.SHED,
        b'',
        503,
    ),
    Case(
        'own id',
        replies(http_response(b'', 'X-Request-Id: id-1')),
        Kind.ANSWERED,
        b'',
        200,
    ),
    Case(
        'id of another',
        replies(http_response(b'secret', 'X-Request-Id: id-2')),
        Kind.MISMATCHED,
    ),
    Case('closed without answer', replies(close=True), Kind.BROKEN),
    Case(
        'shorter than its length',
        replies(http_response(b'0123456789')[:-1], close=True),
        Kind.BROKEN,
        b'',
        200,
    ),
    Case(
        'chunks without end', replies(CHUNKED, b'3\r\nabc\r\n', close=True),
        Kind.BROKEN, b'', 200,
    ),
    Case(
        'no length and no chunks',
        replies(b'HTTP/1.1 200 OK\r\n\r\nabc', close=True),
        Kind.BROKEN,
        b'',
        200,
    ),
    Case('no HTTP', replies(b'hello\r\n\r\n', close=True), Kind.BROKEN),
]  # fmt: skip


class ForwardCase(unittest.IsolatedAsyncioTestCase):
    """A forwarder and one backend server."""

    async def asyncSetUp(self) -> None:
        """Create a forwarder."""
        self.forwarder = delivery.Forwarder()
        self.addAsyncCleanup(self.forwarder.close)

    async def serve(self, reply: Replier) -> tuple[RawServer, str]:
        """Start a backend server."""
        server = RawServer(reply)
        address = await server.start()
        self.addAsyncCleanup(server.stop)
        return server, address

    def attempt(self, address: str, **changes: typing.Any) -> delivery.Attempt:
        """Return a request for a backend server."""
        return delivery.Attempt(
            server=address,
            method='POST',
            path='/book/a%2Fb',
            query='q=%20x',
            headers=(('Accept', 'x/y'),),
            body=b'order',
            request_id='id-1',
            time_left_s=5.0,
        )._replace(**changes)

    async def send(
        self,
        address: str,
        before_send: delivery.BeforeSend = allow_send,
        **changes: typing.Any,
    ) -> delivery.ForwardOutcome:
        """Send a request."""
        return await self.forwarder.send(
            self.attempt(address, **changes), before_send
        )


class TestOutcomes(ForwardCase):
    """Each way in which an attempt can end."""

    async def test_cases(self) -> None:
        """Guards against passing on a truncated or mismatched response."""
        for case in CASES:
            with self.subTest(case.name):
                server, address = await self.serve(case.reply)
                outcome = await self.send(address)
                self.assertIs(case.kind, outcome.kind)
                self.assertTrue(outcome.sent)
                self.assertEqual(case.body, outcome.body)
                self.assertEqual(case.status, outcome.status)
                self.assertEqual(1, len(server.requests))

    async def test_no_listener(self) -> None:
        """Guards against an unknown outcome if the request was not sent."""
        server, address = await self.serve(replies())
        await server.stop()
        outcome = await self.send(address)
        self.assertIs(Kind.NOT_SENT, outcome.kind)
        self.assertFalse(outcome.sent)

    async def test_no_response_in_time(self) -> None:
        """Guards against a request that holds its slot for ever."""
        server, address = await self.serve(replies())
        outcome = await self.send(address, time_left_s=0.1)
        self.assertIs(Kind.TIMED_OUT, outcome.kind)
        await asyncio.wait_for(server.closed.wait(), 5)

    async def test_mismatch_closes_the_connection(self) -> None:
        """Guards against later mismatched responses on the same connection."""
        for body in (b'', b'body'):
            with self.subTest(body=body):
                mismatched = http_response(body, 'X-Request-Id: id-2')
                server, address = await self.serve(replies(mismatched))
                await self.send(address)
                await self.send(address)
                self.assertEqual(2, server.connections)

    async def test_put_is_sent_once(self) -> None:
        """Guards against an HTTP client that retries PUT by itself."""

        async def second_closes(
            server: RawServer, writer: asyncio.StreamWriter, request: bytes
        ) -> None:
            if len(server.requests) > 1:
                writer.close()
            else:
                writer.write(http_response(b''))

        server, address = await self.serve(second_closes)
        first = await self.send(address, method='PUT')
        self.assertIs(Kind.ANSWERED, first.kind)
        second = await self.send(address, method='PUT')
        self.assertIs(Kind.BROKEN, second.kind)
        self.assertEqual(2, len(server.requests))
        self.assertEqual(1, server.connections)


class TestRequest(ForwardCase):
    """The request that the server receives."""

    async def test_bytes_of_the_request(self) -> None:
        """Guards against a decoded path and against unexpected headers."""
        server, address = await self.serve(replies(http_response(b'')))
        await self.send(address)
        request = server.requests[0]
        self.assertTrue(
            request.startswith(b'POST /book/a%2Fb?q=%20x HTTP/1.1\r\n')
        )
        self.assertTrue(request.endswith(b'\r\n\r\norder'))
        self.assertEqual('id-1', header(request, 'X-Request-Id'))
        deadline = int(header(request, 'X-Deadline-Ms') or 0)
        self.assertTrue(0 < deadline <= 5000)
        names = {
            line.partition(b':')[0].lower()
            for line in request.split(b'\r\n\r\n')[0].split(b'\r\n')[1:]
        }
        self.assertEqual(
            {
                b'host',
                b'accept',
                b'x-request-id',
                b'x-deadline-ms',
                b'content-length',
            },
            names,
        )

    async def test_cookies_are_not_kept(self) -> None:
        """Guards against one caller's cookie in another's request."""
        server, address = await self.serve(
            replies(http_response(b'', 'Set-Cookie: a=1'))
        )
        outcome = await self.send(address)
        self.assertIn(('Set-Cookie', 'a=1'), outcome.headers)
        await self.send(address)
        self.assertIsNone(header(server.requests[1], 'Cookie'))
        self.assertEqual(1, server.connections)

    async def test_connections_are_limited(self) -> None:
        """Guards against more connections than a server accepts."""
        self.forwarder = delivery.Forwarder(max_connections_per_server=2)
        self.addAsyncCleanup(self.forwarder.close)

        async def delayed_reply(
            server: RawServer, writer: asyncio.StreamWriter, request: bytes
        ) -> None:
            await asyncio.sleep(0.02)
            writer.write(http_response(b''))

        server, address = await self.serve(delayed_reply)
        outcomes = await asyncio.gather(
            *(self.send(address, request_id=f'id-{n}') for n in range(6))
        )
        self.assertEqual({Kind.ANSWERED}, {one.kind for one in outcomes})
        self.assertEqual(2, server.connections)


class TestBeforeSend(ForwardCase):
    """The check that runs before a request is sent."""

    async def test_vetoed_request_is_not_sent(self) -> None:
        """Guards against a send with stale configuration."""
        server, address = await self.serve(replies(http_response(b'')))
        failure = errors.Failure(errors.ErrorKind.NO_FRESH_CONFIG, 'stale')
        for kept_alive in (False, True):
            with self.subTest(kept_alive=kept_alive):
                request_count = len(server.requests)
                outcome = await self.send(address, lambda: failure)
                self.assertIs(Kind.NOT_SENT, outcome.kind)
                self.assertFalse(outcome.sent)
                self.assertEqual(failure, outcome.failure)
                self.assertEqual(request_count, len(server.requests))
                again = await self.send(address)
                self.assertIs(Kind.ANSWERED, again.kind)
                self.assertEqual(1, server.connections)

    async def test_check_runs_once_with_a_connection(self) -> None:
        """Guards against a check long before the request is written."""
        server, address = await self.serve(replies(http_response(b'')))
        requests_at_check = []

        def record_check() -> errors.Failure | None:
            requests_at_check.append(len(server.requests))
            return None

        await self.send(address, record_check)
        self.assertEqual([0], requests_at_check)
        unreachable, other = await self.serve(replies())
        await unreachable.stop()
        await self.send(other, record_check)
        self.assertEqual([0], requests_at_check)


class TestCancel(ForwardCase):
    """Attempts that are cancelled."""

    async def test_cancelled_coroutine_closes_the_connection(self) -> None:
        """Guards against work that continues after the caller has left."""
        server, address = await self.serve(replies())
        task = asyncio.create_task(self.send(address))
        while not server.requests:
            await asyncio.sleep(0.005)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await asyncio.wait_for(server.closed.wait(), 5)
        self.assertEqual({}, self.forwarder.in_flight)

    async def test_cancel_by_request_id(self) -> None:
        """Guards against a response after the caller's key was withdrawn."""
        server, address = await self.serve(replies())
        task = asyncio.create_task(self.send(address))
        while not server.requests:
            await asyncio.sleep(0.005)
        self.assertFalse(self.forwarder.cancel('other'))
        self.assertTrue(self.forwarder.cancel('id-1'))
        outcome = await task
        self.assertIs(Kind.CANCELLED, outcome.kind)
        self.assertTrue(outcome.sent)
        await asyncio.wait_for(server.closed.wait(), 5)


class TestLimitedAttempts(ForwardCase):
    """Attempts of a process that stops."""

    async def test_all_attempts_of_a_request_end(self) -> None:
        """Guards against a stop that forgets the attempt before a hedge."""
        server, address = await self.serve(replies())
        tasks = [asyncio.create_task(self.send(address)) for _ in range(2)]
        while len(server.requests) < 2:
            await asyncio.sleep(0.005)
        now = asyncio.get_running_loop().time()
        self.forwarder.limit_attempts(now + 0.05, now + 0.1)
        outcomes = await asyncio.wait_for(asyncio.gather(*tasks), 2.0)
        self.assertEqual(
            [Kind.TIMED_OUT] * 2, [outcome.kind for outcome in outcomes]
        )

    async def test_server_is_told_the_end_of_runs(self) -> None:
        """Guards against work that a server begins after the exit."""
        server, address = await self.serve(replies(http_response(b'yes')))
        now = asyncio.get_running_loop().time()
        self.forwarder.limit_attempts(now + 2.0, now + 3.0)
        for time_left_s, expected_ms in ((5.0, 2000), (1.0, 1000)):
            with self.subTest(time_left_s=time_left_s):
                await self.send(address, time_left_s=time_left_s)
                told_ms = int(
                    header(server.requests[-1], 'X-Deadline-Ms') or 0
                )
                self.assertLessEqual(told_ms, expected_ms)
                self.assertGreater(told_ms, expected_ms - 900)

    async def test_no_attempt_begins_after_the_end_of_runs(self) -> None:
        """Guards against a request that only the exit ends."""
        server, address = await self.serve(replies(http_response(b'yes')))
        now = asyncio.get_running_loop().time()
        self.forwarder.limit_attempts(now, now + 1.0)
        outcome = await self.send(address)
        self.assertIs(Kind.NOT_SENT, outcome.kind)
        self.assertEqual([], server.requests)


class TestLargeResponses(ForwardCase):
    """Responses above the buffering limit of 1 MiB."""

    LARGE = b'0123456789abcdef' * 200_000

    async def read(self, outcome: delivery.ForwardOutcome) -> bytes:
        """Read a streamed response."""
        assert outcome.stream is not None
        return b''.join([chunk async for chunk in outcome.stream])

    async def test_complete_response_is_streamed(self) -> None:
        """Guards against chunks that are lost between buffer and stream."""
        server, address = await self.serve(replies(http_response(self.LARGE)))
        outcome = await self.send(address)
        self.assertIs(Kind.ANSWERED, outcome.kind)
        self.assertEqual(self.LARGE, await self.read(outcome))
        again = await self.send(address)
        self.assertEqual(self.LARGE, await self.read(again))
        self.assertEqual(1, server.connections)

    async def test_truncated_response_raises(self) -> None:
        """Guards against a truncated stream that looks complete."""
        chunk = b'%x\r\n' % len(self.LARGE) + self.LARGE + b'\r\n'
        for name, parts in {
            'length': (http_response(self.LARGE)[:-1],),
            'chunks': (CHUNKED, chunk),
        }.items():
            with self.subTest(name):
                _, address = await self.serve(replies(*parts, close=True))
                outcome = await self.send(address)
                self.assertIs(Kind.ANSWERED, outcome.kind)
                with self.assertRaises(delivery.TruncatedBodyError):
                    await self.read(outcome)

    async def test_deadline_holds_for_the_stream(self) -> None:
        """Guards against a stream that holds its slot for ever."""
        _, address = await self.serve(replies(http_response(self.LARGE)[:-1]))
        outcome = await self.send(address, time_left_s=0.5)
        with self.assertRaises(delivery.TruncatedBodyError):
            await self.read(outcome)

    async def test_cancelled_stream_is_cut(self) -> None:
        """Guards against a stream that outlasts its withdrawn key."""
        server, address = await self.serve(
            replies(http_response(self.LARGE)[:-1])
        )
        outcome = await self.send(address)
        assert outcome.stream is not None
        reading = asyncio.create_task(self.read(outcome))
        await asyncio.sleep(0.05)
        self.assertTrue(self.forwarder.cancel('id-1'))
        with self.assertRaises(delivery.TruncatedBodyError):
            await asyncio.wait_for(reading, 5)
        await asyncio.wait_for(server.closed.wait(), 5)
        self.assertFalse(self.forwarder.cancel('id-1'))

    async def test_stream_cut_before_it_is_read(self) -> None:
        """Guards against a cancelled stream that looks complete."""
        _, address = await self.serve(replies(http_response(self.LARGE)[:-1]))
        outcome = await self.send(address)
        self.assertTrue(self.forwarder.cancel('id-1'))
        with self.assertRaises(delivery.TruncatedBodyError):
            await self.read(outcome)

    async def test_unread_stream_is_closed(self) -> None:
        """Guards against connections that stay open without a reader."""
        server, address = await self.serve(replies(http_response(self.LARGE)))
        outcome = await self.send(address)
        assert outcome.stream is not None
        outcome.stream.close()
        await asyncio.wait_for(server.closed.wait(), 5)
