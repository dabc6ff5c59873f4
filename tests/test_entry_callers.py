"""Answers to callers over HTTP."""

import asyncio
import collections.abc
import contextlib
import types
import typing
from unittest import mock

from filbertstep import clock
from filbertstep import delivery
from filbertstep import platform
from filbertstep import steering
from filbertstep.entry import _callers
from filbertstep.entry import _connections
from filbertstep.entry import _messages
from filbertstep.entry import _stopping
from tests import test_forward_endless
from tests import test_forward_faulty

REQUEST: typing.Final = b'GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n'

TIME_LEFT_S: typing.Final = 1.0
LATE_S: typing.Final = 0.5


class ForwardingHandler:
    """Sends each request to one server, in place of a ``RequestHandler``."""

    def __init__(
        self,
        send: collections.abc.Callable[
            [str, float], collections.abc.Awaitable[delivery.ForwardOutcome]
        ],
    ) -> None:
        self.send = send

    async def serve(self, *_: object) -> _messages.Reply:
        """Return the answer of the server."""
        outcome = await self.send('r1', TIME_LEFT_S)
        return _messages.Reply(
            outcome.status, (), outcome.body, outcome.stream
        )

    def has_non_idempotent_in_flight(self, _: str) -> bool:
        """Return that requests may be cancelled."""
        return False


class TestEndlessAnswers(test_forward_faulty.FaultyCase):
    """Answers whose body does not end."""

    async def call(self, request: bytes = REQUEST) -> asyncio.StreamReader:
        """Send a request through a VM to a server that sends without end."""
        await self.connect(
            test_forward_endless.replies_without_end(
                *test_forward_endless.ENDLESS_BODIES['chunks']
            )
        )
        configuration = types.SimpleNamespace(limits=steering.Limits())
        self.log = mock.Mock()
        # Any: stands in for classes of which it has the used attributes only.
        state: typing.Any = types.SimpleNamespace(
            configuration=configuration, log=self.log, stop=_stopping.Stop()
        )
        handler: typing.Any = ForwardingHandler(self.send)
        listener = _callers.CallerListener(
            handler,
            state,
            platform.PlatformAdapter('').wire_format(),
            clock.SystemClock(),
            1_000_000,
        )
        self.http_server = _connections.make_http_server(listener.handle)
        self.addAsyncCleanup(self.http_server.shutdown, 0.1)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(self.http_server, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        self.addCleanup(writer.close)
        writer.write(request)
        return reader

    async def test_the_caller_sees_that_the_answer_is_incomplete(self) -> None:
        """Guards against an answer that ends as if it were complete."""
        reader = await self.call()
        last = b''
        async with asyncio.timeout(TIME_LEFT_S + LATE_S):
            try:
                while chunk := await reader.read(
                    test_forward_endless.BLOCK_BYTES
                ):
                    last = (last + chunk)[-5:]
            except ConnectionError:
                pass
        self.assertNotEqual(last, b'0\r\n\r\n')
        self.assertTrue(last)
        self.log.write.assert_called_once()
        self.assertEqual(self.log.write.call_args.args, ('answer_cut',))

    async def test_nothing_is_written_to_standard_error(self) -> None:
        """Guards against keys in the log, and a traceback for each answer.

        aiohttp logs malformed heads in full.
        """
        requests = (REQUEST, b'GET /a HTTP/1.1\r\nKey k1\r\n\r\n')
        for request in requests:
            with self.subTest(request=request):
                with self.assertNoLogs('aiohttp'):
                    reader = await self.call(request)
                    with contextlib.suppress(ConnectionError):
                        while await reader.read(
                            test_forward_endless.BLOCK_BYTES
                        ):
                            pass

    async def test_a_caller_that_does_not_read_is_disconnected(self) -> None:
        """Guards against holding a request past its time for a slow caller."""
        await self.call()
        async with asyncio.timeout(TIME_LEFT_S + LATE_S):
            await self.server.closed.wait()
        await asyncio.sleep(LATE_S)
        self.assertFalse(self.http_server.connections)
