"""Tests of one try at a backend server, against servers on loopback."""

import asyncio
import collections.abc
import typing
import unittest

from filbertstep import delivery
from filbertstep import errors

O = delivery.ForwardOutcomeKind  # noqa: E741
Replier = collections.abc.Callable[
    ['RawServer', asyncio.StreamWriter, bytes],
    collections.abc.Awaitable[None],
]


class RawServer:
    """An HTTP server that answers with bytes that a test writes."""

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
        """Answer the requests of one connection."""
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
    """Return a header of a request as it came."""
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


def answer(body: bytes, *headers: str, status: str = '200 OK') -> bytes:
    """Return an HTTP answer with a length."""
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}', *headers]
    return '\r\n'.join([*lines, '', '']).encode() + body


def no_objection() -> errors.Failure | None:
    """Let the request go out."""
    return None


CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


class Case(typing.NamedTuple):
    """What a backend server does and the outcome."""

    name: str
    reply: Replier
    kind: delivery.ForwardOutcomeKind
    body: bytes = b''
    status: int = 0


CASES = [
    Case('whole', replies(answer(b'yes')), O.ANSWERED, b'yes', 200),
    Case(
        'error status',
        replies(answer(b'no', status='500 X')),
        O.ANSWERED,
        b'no',
        500,
    ),
    Case(
        'chunked',
        replies(CHUNKED, b'3\r\nabc\r\n0\r\n\r\n'),
        O.ANSWERED,
        b'abc',
        200,
    ),
    Case(
        'no content',
        replies(b'HTTP/1.1 204 No Content\r\n\r\n'),
        O.ANSWERED,
        b'',
        204,
    ),
    Case(
        'redirect',
        replies(answer(b'', 'Location: /other', status='302 Found')),
        O.ANSWERED,
        b'',
        302,
    ),
    Case(
        'shed',
        replies(answer(b'', 'X-Not-Run: true', status='503 Busy')),
        O.SHED,
        b'',
        503,
    ),
    Case(
        'own id', replies(answer(b'', 'X-Request-Id: id-1')), O.ANSWERED, b'',
        200,
    ),
    Case(
        'id of another',
        replies(answer(b'secret', 'X-Request-Id: id-2')),
        O.MISMATCHED,
    ),
    Case('closed without answer', replies(close=True), O.BROKEN),
    Case(
        'shorter than its length',
        replies(answer(b'0123456789')[:-1], close=True),
        O.BROKEN,
        b'',
        200,
    ),
    Case(
        'chunks without end', replies(CHUNKED, b'3\r\nabc\r\n', close=True),
        O.BROKEN, b'', 200,
    ),
    Case(
        'no length and no chunks',
        replies(b'HTTP/1.1 200 OK\r\n\r\nabc', close=True),
        O.BROKEN,
        b'',
        200,
    ),
    Case('no HTTP', replies(b'hello\r\n\r\n', close=True), O.BROKEN),
]  # fmt: skip


class ForwardCase(unittest.IsolatedAsyncioTestCase):
    """A forwarder and one backend server."""

    async def asyncSetUp(self) -> None:
        """Make a forwarder."""
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
        before_send: delivery.BeforeSend = no_objection,
        **changes: typing.Any,
    ) -> delivery.ForwardOutcome:
        """Send a request."""
        return await self.forwarder.send(
            self.attempt(address, **changes), before_send
        )


class TestOutcomes(ForwardCase):
    """Each way in which a try can end."""

    async def test_cases(self) -> None:
        """Guards against a cut or foreign answer that is passed on."""
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
        """Guards against 'unknown' for a request that was not sent."""
        server, address = await self.serve(replies())
        await server.stop()
        outcome = await self.send(address)
        self.assertIs(O.NOT_SENT, outcome.kind)
        self.assertFalse(outcome.sent)

    async def test_no_answer_in_time(self) -> None:
        """Guards against a request that holds its slot for ever."""
        server, address = await self.serve(replies())
        outcome = await self.send(address, time_left_s=0.1)
        self.assertIs(O.TIMED_OUT, outcome.kind)
        await asyncio.wait_for(server.closed.wait(), 5)

    async def test_mismatch_closes_the_connection(self) -> None:
        """Guards against answers that stay crossed on a connection."""
        for body in (b'', b'body'):
            with self.subTest(body=body):
                foreign = answer(body, 'X-Request-Id: id-2')
                server, address = await self.serve(replies(foreign))
                await self.send(address)
                await self.send(address)
                self.assertEqual(2, server.connections)

    async def test_put_is_sent_once(self) -> None:
        """Guards against an HTTP client that repeats PUT by itself."""

        async def second_closes(
            server: RawServer, writer: asyncio.StreamWriter, request: bytes
        ) -> None:
            if len(server.requests) > 1:
                writer.close()
            else:
                writer.write(answer(b''))

        server, address = await self.serve(second_closes)
        first = await self.send(address, method='PUT')
        self.assertIs(O.ANSWERED, first.kind)
        second = await self.send(address, method='PUT')
        self.assertIs(O.BROKEN, second.kind)
        self.assertEqual(2, len(server.requests))
        self.assertEqual(1, server.connections)


class TestRequest(ForwardCase):
    """What goes out."""

    async def test_bytes_of_the_request(self) -> None:
        """Guards against a path that is decoded and headers that leak."""
        server, address = await self.serve(replies(answer(b'')))
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
            replies(answer(b'', 'Set-Cookie: a=1'))
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

        async def slow(
            server: RawServer, writer: asyncio.StreamWriter, request: bytes
        ) -> None:
            await asyncio.sleep(0.02)
            writer.write(answer(b''))

        server, address = await self.serve(slow)
        outcomes = await asyncio.gather(
            *(self.send(address, request_id=f'id-{n}') for n in range(6))
        )
        self.assertEqual({O.ANSWERED}, {one.kind for one in outcomes})
        self.assertEqual(2, server.connections)


class TestLastMoment(ForwardCase):
    """The question before the bytes go out."""

    async def test_stopped_request_is_not_sent(self) -> None:
        """Guards against a send after the evidence lapsed."""
        server, address = await self.serve(replies(answer(b'')))
        failure = errors.Failure(errors.ErrorKind.NO_FRESH_CONFIG, 'stale')
        for kept in (False, True):
            with self.subTest(kept_connection=kept):
                before = len(server.requests)
                outcome = await self.send(address, lambda: failure)
                self.assertIs(O.NOT_SENT, outcome.kind)
                self.assertFalse(outcome.sent)
                self.assertEqual(failure, outcome.failure)
                self.assertEqual(before, len(server.requests))
                again = await self.send(address)
                self.assertIs(O.ANSWERED, again.kind)
                self.assertEqual(1, server.connections)

    async def test_asked_once_and_with_a_connection(self) -> None:
        """Guards against a check that is long past when bytes go out."""
        server, address = await self.serve(replies(answer(b'')))
        asked = []

        def note() -> errors.Failure | None:
            asked.append(len(server.requests))
            return None

        await self.send(address, note)
        self.assertEqual([0], asked)
        unreachable, other = await self.serve(replies())
        await unreachable.stop()
        await self.send(other, note)
        self.assertEqual([0], asked)


class TestCancel(ForwardCase):
    """Work that is no longer wanted."""

    async def test_cancelled_coroutine_closes_the_connection(self) -> None:
        """Guards against work that goes on after the caller has left."""
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
        """Guards against answers that outlive their withdrawn key."""
        server, address = await self.serve(replies())
        task = asyncio.create_task(self.send(address))
        while not server.requests:
            await asyncio.sleep(0.005)
        self.assertFalse(self.forwarder.cancel('other'))
        self.assertTrue(self.forwarder.cancel('id-1'))
        outcome = await task
        self.assertIs(O.CANCELLED, outcome.kind)
        self.assertTrue(outcome.sent)
        await asyncio.wait_for(server.closed.wait(), 5)


class TestLargeAnswers(ForwardCase):
    """Answers above one megabyte."""

    LARGE = b'0123456789abcdef' * 200_000

    async def read(self, outcome: delivery.ForwardOutcome) -> bytes:
        """Read a streamed answer."""
        assert outcome.stream is not None
        return b''.join([piece async for piece in outcome.stream])

    async def test_whole_answer_is_streamed(self) -> None:
        """Guards against pieces that are lost between buffer and stream."""
        server, address = await self.serve(replies(answer(self.LARGE)))
        outcome = await self.send(address)
        self.assertIs(O.ANSWERED, outcome.kind)
        self.assertEqual(self.LARGE, await self.read(outcome))
        again = await self.send(address)
        self.assertEqual(self.LARGE, await self.read(again))
        self.assertEqual(1, server.connections)

    async def test_cut_answer_raises(self) -> None:
        """Guards against a cut stream that looks complete."""
        chunk = b'%x\r\n' % len(self.LARGE) + self.LARGE + b'\r\n'
        for name, parts in {
            'length': (answer(self.LARGE)[:-1],),
            'chunks': (CHUNKED, chunk),
        }.items():
            with self.subTest(name):
                _, address = await self.serve(replies(*parts, close=True))
                outcome = await self.send(address)
                self.assertIs(O.ANSWERED, outcome.kind)
                with self.assertRaises(delivery.TruncatedBodyError):
                    await self.read(outcome)

    async def test_deadline_holds_for_the_stream(self) -> None:
        """Guards against a stream that holds its slot for ever."""
        _, address = await self.serve(replies(answer(self.LARGE)[:-1]))
        outcome = await self.send(address, time_left_s=0.5)
        with self.assertRaises(delivery.TruncatedBodyError):
            await self.read(outcome)

    async def test_cancelled_stream_is_cut(self) -> None:
        """Guards against a stream that outlives its withdrawn key."""
        server, address = await self.serve(replies(answer(self.LARGE)[:-1]))
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
        """Guards against an end of the stream that looks regular."""
        _, address = await self.serve(replies(answer(self.LARGE)[:-1]))
        outcome = await self.send(address)
        self.assertTrue(self.forwarder.cancel('id-1'))
        with self.assertRaises(delivery.TruncatedBodyError):
            await self.read(outcome)

    async def test_unread_stream_is_closed(self) -> None:
        """Guards against connections that nobody reads."""
        server, address = await self.serve(replies(answer(self.LARGE)))
        outcome = await self.send(address)
        assert outcome.stream is not None
        outcome.stream.close()
        await asyncio.wait_for(server.closed.wait(), 5)
