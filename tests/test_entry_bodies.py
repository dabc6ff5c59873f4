"""Pattern: many large uploads at once, also by slow callers."""

import asyncio
import collections.abc
import types
import typing
import unittest
from unittest import mock

from filbertstep import clock
from filbertstep import errors
from filbertstep import platform
from filbertstep import steering
from filbertstep.entry import _callers
from filbertstep.entry import _connections
from filbertstep.entry import _messages
from filbertstep.entry import _stopping

CAPACITY_BYTES: typing.Final = 100_000

MAX_WAIT_S: typing.Final = 10.0


class HoldingHandler:
    """Reads each body and answers once ``answering`` is set."""

    def __init__(self) -> None:
        self.answering = asyncio.Event()
        self.bodies: list[bytes] = []

    async def serve(
        self,
        call: _messages.Call,
        read_body: collections.abc.Callable[
            [], collections.abc.Awaitable[bytes | errors.Failure]
        ],
    ) -> _messages.Reply:
        """Return a reply of this VM if the body cannot be held, else 200."""
        body = await read_body()
        if isinstance(body, errors.Failure):
            return _messages.failure_reply(
                body.kind, body.message, body.retry_after_s
            )
        self.bodies.append(body)
        await self.answering.wait()
        return _messages.Reply(200, (), b'done')

    def has_non_idempotent_in_flight(self, _: str) -> bool:
        """Return that requests may be cancelled."""
        return False


class ListenerCase(unittest.IsolatedAsyncioTestCase):
    """Base class: the listener for callers, in front of such a handler."""

    async def asyncSetUp(self) -> None:
        """Start a listener in front of the handler."""
        self.handler = HoldingHandler()
        # Any: stand in for classes of which they have the used attributes.
        handler: typing.Any = self.handler
        state: typing.Any = types.SimpleNamespace(
            configuration=types.SimpleNamespace(
                limits=steering.Limits(max_body_bytes=1_000_000)
            ),
            routes=types.SimpleNamespace(
                find=lambda *_: types.SimpleNamespace(idempotent=True)
            ),
            log=mock.Mock(),
            stop=_stopping.Stop(),
        )
        self.listener = _callers.CallerListener(
            handler,
            state,
            platform.PlatformAdapter('').wire_format(),
            clock.SystemClock(),
            CAPACITY_BYTES,
        )
        http_server = _connections.make_http_server(
            self.listener.handle, self.listener
        )
        self.addAsyncCleanup(http_server.shutdown, 0.1)
        server = await asyncio.get_running_loop().create_server(
            http_server, '127.0.0.1', 0
        )
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]

    async def status(self, reader: asyncio.StreamReader) -> int:
        """Return the status of an answer."""
        async with asyncio.timeout(MAX_WAIT_S):
            return int((await reader.readline()).split()[1])


class TestUploads(ListenerCase):
    """Memory for the bodies of the requests to one VM."""

    @property
    def used_bytes(self) -> int:
        """Return the bytes that the VM holds."""
        return self.listener.body_memory.used_bytes

    async def upload(
        self, sent_bytes: int, length: int | None = None, deadline_ms: int = 0
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a head and the first bytes of a body.

        Without a length, the body is one chunk of many.
        """
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        framing = (
            'Transfer-Encoding: chunked'
            if length is None
            else f'Content-Length: {length}'
        )
        writer.write(
            f'POST /a HTTP/1.1\r\nHost: a.example\r\n{framing}\r\n'
            f'X-Deadline-Ms: {deadline_ms or 9000}\r\n\r\n'.encode()
        )
        body = b'x' * sent_bytes
        if length is None:
            body = f'{sent_bytes:x}\r\n'.encode() + body + b'\r\n'
        writer.write(body)
        return reader, writer

    async def wait_until_used(self, expected: int) -> None:
        """Wait until the VM holds this many bytes."""
        async with asyncio.timeout(MAX_WAIT_S):
            while self.used_bytes != expected:
                await asyncio.sleep(0.01)

    async def test_slow_callers_cannot_fill_the_memory(self) -> None:
        """Guards against counting connections, or lengths, and not bytes.

        Six callers announce 30 kB each and send 5 kB; the rest comes later.
        """
        callers = [await self.upload(5_000, 30_000) for _ in range(6)]
        await self.wait_until_used(30_000)
        for _, writer in callers:
            writer.write(b'x' * 25_000)
        statuses = []
        for number, (reader, _) in enumerate(callers):
            if number == 0:
                self.handler.answering.set()
            statuses.append(await self.status(reader))
            self.assertLessEqual(self.used_bytes, CAPACITY_BYTES)
        self.assertEqual(set(statuses), {200, 503})
        await self.wait_until_used(0)

    async def test_a_body_that_cannot_fit_is_refused_unread(self) -> None:
        """Guards against reading what is refused later, and 413 for 503."""
        await self.upload(70_000, 90_000)
        await self.wait_until_used(70_000)
        reader, _ = await self.upload(0, 40_000)
        self.assertEqual(await self.status(reader), 503)
        self.assertEqual(self.used_bytes, 70_000)
        reader, _ = await self.upload(0, 10_000_000)
        self.assertEqual(await self.status(reader), 413)

    async def test_chunks_count_as_they_arrive(self) -> None:
        """Guards against bodies without a length that are not counted."""
        await self.upload(70_000)
        await self.wait_until_used(70_000)
        reader, _ = await self.upload(40_000)
        self.assertEqual(await self.status(reader), 503)
        await self.wait_until_used(70_000)

    async def test_memory_is_free_after_the_answer(self) -> None:
        """Guards against a VM that refuses all bodies after a while."""
        self.handler.answering.set()
        for _ in range(5):
            reader, writer = await self.upload(60_000, 60_000)
            self.assertEqual(await self.status(reader), 200)
            writer.close()
            await self.wait_until_used(0)
        self.assertEqual(len(self.handler.bodies), 5)

    async def test_memory_is_free_after_a_disconnect(self) -> None:
        """Guards against memory that callers who leave keep."""
        _, writer = await self.upload(50_000, 60_000)
        await self.wait_until_used(50_000)
        writer.close()
        await self.wait_until_used(0)

    async def test_a_caller_that_stops_sending_is_refused(self) -> None:
        """Guards against a body that holds memory without end."""
        reader, _ = await self.upload(50_000, 60_000, deadline_ms=300)
        self.assertEqual(await self.status(reader), 503)
        await self.wait_until_used(0)


if __name__ == '__main__':
    unittest.main()
