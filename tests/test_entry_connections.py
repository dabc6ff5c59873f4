"""Closing callers' connections without losing answers."""

import asyncio
import collections.abc
import socket
import typing
import unittest
import unittest.mock

from aiohttp import web
import uvloop

from filbertstep.entry import _connections

REQUEST: typing.Final = b'GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n'

BODY_BYTES: typing.Final = 500_000

# Smaller than the answer, so that most of it waits in the process.
SOCKET_BUFFER_BYTES: typing.Final = 8192

POLL_INTERVAL_S: typing.Final = 0.01
SETTLE_S: typing.Final = 0.2
MAX_WAIT_S: typing.Final = 10.0


class CallerSide(typing.NamedTuple):
    """The server under test and a caller's end of a connection to it."""

    server: _connections.CallerServer
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def settle(self) -> None:
        """Wait until what was sent has been handled."""
        await asyncio.sleep(SETTLE_S)

    def start_drain(self) -> asyncio.Task[int]:
        """Start to drain the server."""
        return asyncio.ensure_future(self.server.drain(POLL_INTERVAL_S))


async def handle(request: web.BaseRequest) -> web.StreamResponse:
    """Answer with a body that does not fit into the socket's buffer."""
    return web.Response(body=b'x' * BODY_BYTES)


async def connect() -> CallerSide:
    """Return a new server and a connection to it."""
    server = _connections.make_http_server(handle)
    listening = socket.socket()
    listening.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
    )
    listening.bind(('127.0.0.1', 0))
    loop = asyncio.get_running_loop()
    await loop.create_server(server, sock=listening)
    opened = socket.socket()
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    opened.setblocking(False)
    await loop.sock_connect(opened, listening.getsockname())
    reader, writer = await asyncio.open_connection(
        sock=opened, limit=SOCKET_BUFFER_BYTES
    )
    return CallerSide(server, reader, writer)


class TestDrain(unittest.TestCase):
    """What callers get while the connections are closed."""

    def run_in_loop(
        self,
        steps: collections.abc.Callable[
            [CallerSide], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        """Run a test in the event loop that the program uses."""

        async def run() -> None:
            async with asyncio.timeout(MAX_WAIT_S):
                await steps(await connect())

        uvloop.run(run())

    def test_drain_waits_until_a_slow_caller_has_the_answer(self) -> None:
        """Guards against an exit while an answer waits in a write buffer."""

        async def steps(caller: CallerSide) -> None:
            caller.writer.write(REQUEST)
            await caller.reader.readuntil(b'\r\n\r\n')
            await caller.settle()
            drain = caller.start_drain()
            await caller.settle()
            self.assertFalse(drain.done())
            received = 0
            while chunk := await caller.reader.read(BODY_BYTES):
                received += len(chunk)
            self.assertEqual(received, BODY_BYTES)
            await drain

        self.run_in_loop(steps)

    def test_idle_connections_close_at_once(self) -> None:
        """Guards against a caller that sends a request to a stopping VM."""

        async def steps(caller: CallerSide) -> None:
            await caller.settle()
            self.assertEqual(await caller.start_drain(), 1)
            self.assertEqual(await caller.reader.read(), b'')

        self.run_in_loop(steps)

    def test_request_that_has_begun_is_answered(self) -> None:
        """Guards against closing a connection on a request that was read."""

        async def steps(caller: CallerSide) -> None:
            caller.writer.write(REQUEST[:10])
            await caller.settle()
            drain = caller.start_drain()
            await caller.settle()
            caller.writer.write(REQUEST[10:])
            head = await caller.reader.readuntil(b'\r\n\r\n')
            self.assertTrue(head.startswith(b'HTTP/1.1 200'))
            await caller.reader.readexactly(BODY_BYTES)
            await drain

        self.run_in_loop(steps)

    def test_head_that_begins_with_the_connection_is_answered(self) -> None:
        """Guards against closing on a head that was read with the connection.

        Its first part can be read before aiohttp waits for requests.
        """

        async def steps(caller: CallerSide) -> None:
            server_end = _connections.CallerConnection(
                caller.server, loop=asyncio.get_running_loop()
            )
            transport = unittest.mock.create_autospec(asyncio.Transport)
            server_end.connection_made(transport)
            server_end.data_received(REQUEST[:10])
            await caller.settle()
            self.assertTrue(server_end.awaits_request)
            self.assertFalse(server_end.is_idle)
            server_end.force_close()

        self.run_in_loop(steps)
