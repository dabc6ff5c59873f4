"""Limits on what clients may make a VM hold, one by one."""

import asyncio
import random
import typing
import unittest

from aiohttp import web

from filbertstep import steering
from filbertstep.entry import _connections
from filbertstep.entry import _intake

Reason = _intake.CloseReason

CHUNKED_HEAD: typing.Final = (
    b'POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
)

REQUEST: typing.Final = b'GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n'

MAX_WAIT_S: typing.Final = 10.0
SETTLE_S: typing.Final = 0.1

# More than the kernel takes for a client that does not read.
LARGE_BYTES: typing.Final = 20_000_000


class FakeConnection(_intake.Connection):
    """A connection with given sizes; ``reason`` is why it was closed."""

    def __init__(self, size_bytes: int = 0, since: float = 0.0) -> None:
        self.size_bytes = size_bytes
        self.since = since
        self.reason: Reason | None = None

    def unfinished_bytes(self) -> int:
        """Return the given size."""
        return self.size_bytes

    def unread_bytes(self) -> int:
        """Return the given size."""
        return self.size_bytes

    def late_part(self, now: float, limits: steering.Limits) -> bool:
        """Return whether the head began too long ago."""
        return now - self.since > limits.header_timeout_s

    def postpone(self, delay_s: float) -> None:
        """Begin later."""
        self.since += delay_s

    def abort(self, reason: Reason) -> None:
        """Note the reason."""
        self.reason = reason


class TestCharges(unittest.TestCase):
    """Bytes that all connections hold together."""

    def test_used_bytes_follow_the_connections(self) -> None:
        """Guards against memory that is counted for ever, or not at all."""
        table = _intake.ChargeTable(100)
        first, second = FakeConnection(), FakeConnection()
        table.put(first, 60, 1.0)
        table.put(second, 30, 2.0)
        table.put(first, 10, 3.0)
        self.assertEqual(table.used_bytes, 40)
        self.assertEqual(table.charges[first].since, 1.0)
        table.discard(first)
        table.discard(first)
        self.assertEqual(table.used_bytes, 30)
        self.assertEqual(table.pop_excess(), [])

    def test_the_oldest_large_ones_are_closed(self) -> None:
        """Guards against closing small requests because of large ones."""
        table = _intake.ChargeTable(100)
        small, old, new = (FakeConnection() for _ in range(3))
        for connection, size_bytes in ((small, 1), (old, 60), (new, 60)):
            table.put(connection, size_bytes, 1.0)
        self.assertEqual(table.pop_excess(), [old])
        self.assertEqual(table.used_bytes, 61)

    def test_excess_is_closed_at_once(self) -> None:
        """Guards against memory that grows until the next sweep."""
        intake = _intake.Intake(_intake.Capacity(100, 100, 9, 9))
        for put, reason in (
            (intake.put_unfinished, Reason.REQUEST_MEMORY),
            (intake.put_unread, Reason.UNREAD_MEMORY),
        ):
            with self.subTest(reason=reason):
                first, second = FakeConnection(80), FakeConnection(80)
                put(first, 1.0)
                put(second, 2.0)
                self.assertEqual((first.reason, second.reason), (reason, None))


class TestSweep(unittest.TestCase):
    """Times of unfinished heads and of unread answers."""

    def setUp(self) -> None:
        """Create the limits."""
        self.intake = _intake.Intake(
            limits=lambda: steering.Limits(header_timeout_s=3.0)
        )

    def sweep_until(self, until: float) -> None:
        """Sweep at the regular interval."""
        now = self.intake.swept_at or 0.0
        while now <= until:
            self.intake.sweep(now)
            now += _intake.SWEEP_INTERVAL_S

    def test_late_heads_are_closed(self) -> None:
        """Guards against connections whose heads never end."""
        connection = FakeConnection(10)
        self.intake.put_unfinished(connection, 0.0)
        self.sweep_until(3.0)
        self.assertIsNone(connection.reason)
        self.sweep_until(3.5)
        self.assertIs(connection.reason, Reason.HEAD_TIMEOUT)

    def test_a_pause_of_the_process_does_not_count(self) -> None:
        """Guards against closing heads that arrived during the pause."""
        connection = FakeConnection(10)
        self.sweep_until(1.0)
        self.intake.put_unfinished(connection, 1.0)
        self.intake.sweep(10.0)
        self.assertIsNone(connection.reason)

    def test_unread_answers_are_closed_without_progress(self) -> None:
        """Guards against clients that never read, and closing slow ones."""
        stuck, slow = FakeConnection(1000), FakeConnection(1000)
        self.intake.put_unread(stuck, 0.0)
        self.intake.put_unread(slow, 0.0)
        self.sweep_until(_intake.UNREAD_TIMEOUT_S - 1.0)
        slow.size_bytes -= 1
        self.sweep_until(_intake.UNREAD_TIMEOUT_S + 1.0)
        self.assertIs(stuck.reason, Reason.UNREAD)
        self.assertIsNone(slow.reason)
        slow.size_bytes = 0
        self.sweep_until(_intake.UNREAD_TIMEOUT_S + 2.0)
        self.assertNotIn(slow, self.intake.unread.charges)

    def test_connection_limits_follow_descriptors_and_memory(self) -> None:
        """Guards against listeners that take all descriptors or memory."""
        many = 2**40
        for descriptors, memory_bytes, expected in (
            (256, many, (96, 16)),
            (many, 600 * _intake.CONNECTION_BYTES, (600, 100)),
            (10, many, (_intake.MIN_CONNECTIONS, _intake.MIN_CONNECTIONS)),
        ):
            with self.subTest(descriptors=descriptors):
                self.assertEqual(
                    _intake.connection_limits(
                        descriptors, 0.375, memory_bytes
                    ),
                    expected,
                )


def upload(size: int, chunked: bool) -> bytes:
    """Return a request with a body."""
    if not chunked:
        head = f'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {size}'
        return head.encode() + b'\r\n\r\n' + b'x' * size
    content = f'{size:x}\r\n{"x" * size}\r\n' if size else ''
    return CHUNKED_HEAD + f'{content}0\r\n\r\n'.encode()


class Closes(_intake.IntakeObserver):
    """Collects the reasons of closed connections."""

    def __init__(self) -> None:
        self.reasons: list[Reason] = []

    def connection_closed(
        self, listener: str, address: str, reason: Reason
    ) -> None:
        """Collect a reason."""
        self.reasons.append(reason)


class TestConnections(unittest.IsolatedAsyncioTestCase):
    """Connections to a server with these limits."""

    async def asyncSetUp(self) -> None:
        """Start a server that answers at once unless it is told to wait."""
        self.answering = asyncio.Event()
        self.answering.set()
        self.closes = Closes()
        self.limits = steering.Limits(max_head_bytes=5000)
        self.intake = _intake.Intake(
            _intake.Capacity(2**30, 2**30, 8, 8),
            lambda: self.limits,
            self.closes,
        )
        self.server = _connections.make_http_server(
            self.handle, None, self.intake, 'test'
        )
        self.addAsyncCleanup(self.server.shutdown, 0.1)
        listener = await asyncio.get_running_loop().create_server(
            self.server, '127.0.0.1', 0
        )
        self.addCleanup(listener.close)
        self.port = listener.sockets[0].getsockname()[1]

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with the number of the bytes of the body."""
        await self.answering.wait()
        if request.path == '/large':
            return web.Response(body=b'x' * LARGE_BYTES)
        return web.Response(body=str(len(await request.read())).encode())

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def read_all(self, reader: asyncio.StreamReader) -> bytes:
        """Return what arrives until the connection is closed."""
        received = b''
        async with asyncio.timeout(MAX_WAIT_S):
            try:
                while data := await reader.read(65536):
                    received += data
            except ConnectionError:
                pass
        return received

    async def read_answer(self, reader: asyncio.StreamReader) -> bytes:
        """Return the status line of an answer with a body of one digit."""
        async with asyncio.timeout(MAX_WAIT_S):
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(1)
        return head.partition(b'\r\n')[0]

    def sweep(self, after_s: float) -> None:
        """Sweep as at a later time."""
        now = asyncio.get_running_loop().time() + after_s
        self.intake.swept_at = now - _intake.SWEEP_INTERVAL_S
        self.intake.sweep(now)
        self.server.sweep(now)

    async def test_a_malformed_head_is_answered_in_its_turn(self) -> None:
        """Guards against losing the answers of earlier requests.

        The refusal must not contain the data, which may have keys.
        """
        self.answering.clear()
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await asyncio.sleep(SETTLE_S)
        writer.write(b'\x00secret')
        await asyncio.sleep(SETTLE_S)
        self.answering.set()
        received = await self.read_all(reader)
        self.assertTrue(received.startswith(b'HTTP/1.1 200'))
        self.assertIn(b'HTTP/1.0 400', received)
        self.assertNotIn(b'secret', received)
        self.assertEqual(self.closes.reasons, [Reason.MALFORMED])

    async def test_a_head_that_does_not_end_is_refused(self) -> None:
        """Guards against heads without end, with small headers too."""
        for first, repeated in (
            (REQUEST[:-2], b'X-A: ' + b'a' * 900 + b'\r\n'),
            (b'', b'\r\n' * 500),
        ):
            with self.subTest(repeated=repeated[:5]):
                reader, writer = await self.connect()
                writer.write(first + repeated * 30)
                self.assertIn(b' 431 ', await self.read_all(reader))
        self.assertEqual(self.closes.reasons, [Reason.HEAD_TOO_LARGE] * 2)

    async def test_many_pipelined_requests_are_not_refused(self) -> None:
        """Guards against counting requests that wait as one large head."""
        self.answering.clear()
        reader, writer = await self.connect()
        header = b'X-A: ' + b'a' * 4000 + b'\r\n\r\n'
        writer.write((REQUEST[:-2] + header) * 300)
        await asyncio.sleep(SETTLE_S)
        self.assertLess(
            self.intake.unfinished.used_bytes,
            2 * _connections.MAX_QUEUED_BYTES + 2**19,
        )
        self.assertGreater(self.intake.unfinished.used_bytes, 0)
        self.answering.set()
        for _ in range(300):
            self.assertEqual(
                await self.read_answer(reader), b'HTTP/1.1 200 OK'
            )
        self.sweep(0.0)
        self.assertEqual(self.intake.unfinished.used_bytes, 0)
        self.assertEqual(self.closes.reasons, [])

    async def test_pipelined_bodies_are_not_lost(self) -> None:
        """Guards against a connection that is never read again."""
        self.answering.clear()
        reader, writer = await self.connect()
        upload = (
            b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 400000\r\n\r\n'
            + b'x' * 400_000
        )
        writer.write(upload * 6)
        await asyncio.sleep(SETTLE_S)
        self.answering.set()
        async with asyncio.timeout(MAX_WAIT_S):
            for _ in range(6):
                await reader.readuntil(b'\r\n\r\n')
                self.assertEqual(await reader.readexactly(6), b'400000')
        self.assertEqual(self.closes.reasons, [])

    async def test_chunks_of_one_byte_are_allowed(self) -> None:
        """Guards against taking small chunks for endless framing."""
        reader, writer = await self.connect()
        writer.write(CHUNKED_HEAD + b'1\r\nx\r\n' * 200_000 + b'0\r\n\r\n')
        async with asyncio.timeout(MAX_WAIT_S):
            await reader.readuntil(b'\r\n\r\n')
            self.assertEqual(await reader.readexactly(6), b'200000')

    async def test_framing_without_end_is_cut(self) -> None:
        """Guards against a chunk extension that never ends."""
        reader, writer = await self.connect()
        writer.write(CHUNKED_HEAD + b'1;' + b'a' * 2 * _intake.FRAMING_BYTES)
        self.assertEqual(await self.read_all(reader), b'')
        self.assertEqual(self.closes.reasons, [Reason.FRAMING])

    async def test_a_slow_head_is_closed(self) -> None:
        """Guards against heads that arrive a byte at a time."""
        self.limits = steering.Limits(header_timeout_s=3.0)
        reader, writer = await self.connect()
        writer.write(REQUEST[:10])
        await asyncio.sleep(SETTLE_S)
        self.sweep(3.0)
        self.assertEqual(self.closes.reasons, [])
        self.sweep(3.0 + 2 * _intake.HEAD_DELAY_S)
        self.assertEqual(await self.read_all(reader), b'')
        self.assertEqual(self.closes.reasons, [Reason.HEAD_TIMEOUT])

    async def test_an_empty_line_does_not_begin_a_head(self) -> None:
        """Guards against closing on clients that end bodies with one."""
        self.limits = steering.Limits(header_timeout_s=3.0)
        reader, writer = await self.connect()
        for _ in range(2):
            writer.write(REQUEST)
            await self.read_answer(reader)
            writer.write(b'\r\n')
            await asyncio.sleep(SETTLE_S)
            self.sweep(20.0)
        self.assertEqual(self.closes.reasons, [])
        writer.write(b'\r\n\r\n')
        await asyncio.sleep(SETTLE_S)
        self.sweep(20.0)
        self.assertEqual(self.closes.reasons, [Reason.HEAD_TIMEOUT])

    async def test_idle_connections_are_closed_as_configured(self) -> None:
        """Guards against closing a connection that its caller reuses."""
        self.limits = steering.Limits(idle_timeout_s=15.0)
        reader, writer = await self.connect()
        writer.write(REQUEST)
        self.assertEqual(await self.read_answer(reader), b'HTTP/1.1 200 OK')
        self.sweep(0.8 * 15.0)
        self.assertEqual(self.closes.reasons, [])
        self.sweep(15.5)
        self.assertEqual(await self.read_all(reader), b'')
        self.assertEqual(self.closes.reasons, [Reason.IDLE])

    async def test_running_requests_are_not_idle(self) -> None:
        """Guards against closing a connection whose answer takes long."""
        self.answering.clear()
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await asyncio.sleep(SETTLE_S)
        self.sweep(1000.0)
        self.answering.set()
        self.assertEqual(await self.read_answer(reader), b'HTTP/1.1 200 OK')

    async def test_connections_that_never_read_are_closed(self) -> None:
        """Guards against answers that wait for their reader for ever."""
        for closes in (False, True):
            with self.subTest(closes=closes):
                _, writer = await self.connect()
                # The client's stream stops reading at its own limit.
                request = REQUEST.replace(b'/a', b'/large')
                if closes:
                    request = request[:-2] + b'Connection: close\r\n\r\n'
                writer.write(request)
                await asyncio.sleep(5 * SETTLE_S)
                self.assertGreater(self.intake.unread.used_bytes, 0)
                # The kernel has taken a part since writing was paused.
                self.sweep(0.0)
                self.sweep(_intake.UNREAD_TIMEOUT_S - 1.0)
                self.assertEqual(self.closes.reasons, [])
                self.sweep(_intake.UNREAD_TIMEOUT_S + 1.0)
                await asyncio.sleep(SETTLE_S)
                self.assertEqual(self.closes.reasons, [Reason.UNREAD])
                self.assertEqual(self.intake.unread.used_bytes, 0)
                self.assertEqual(self.server.connections, [])
                self.closes.reasons.clear()

    async def test_requests_in_any_pieces_are_answered(self) -> None:
        """Guards against limits that depend on how requests are cut."""
        for seed in range(20):
            with self.subTest(seed=seed):
                generator = random.Random(seed)
                sizes = [
                    generator.choice((0, 1, 1000, 70_000, 300_000))
                    for _ in range(50)
                ]
                sent = b''.join(
                    upload(size, generator.random() < 0.5) for size in sizes
                )
                reader, writer = await self.connect()
                answers = asyncio.ensure_future(
                    self.read_sizes(reader, len(sizes))
                )
                async with asyncio.timeout(MAX_WAIT_S):
                    while sent:
                        end = generator.choice((1, 100, 16_384, 400_000))
                        writer.write(sent[:end])
                        sent = sent[end:]
                        await writer.drain()
                        await asyncio.sleep(0)
                    self.assertEqual(await answers, sizes)
                writer.close()
        self.assertEqual(self.closes.reasons, [])

    async def test_requests_after_an_upgrade_are_limited(self) -> None:
        """Guards against data that aiohttp parses by itself."""
        head = (
            REQUEST[:-2] + b'Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n'
        )
        self.answering.clear()
        reader, writer = await self.connect()
        writer.write(head + upload(300_000, True) + REQUEST)
        await asyncio.sleep(SETTLE_S)
        self.answering.set()
        self.assertEqual(await self.read_sizes(reader, 3), [0, 300_000, 0])
        self.answering.clear()
        writer.write(head + b'\x00secret' * 1000)
        await asyncio.sleep(SETTLE_S)
        self.answering.set()
        received = await self.read_all(reader)
        self.assertIn(b'HTTP/1.0 400', received)
        self.assertNotIn(b'secret', received)

    async def read_sizes(
        self, reader: asyncio.StreamReader, count: int
    ) -> list[int]:
        """Return the sizes of the bodies that the answers name."""
        sizes = []
        async with asyncio.timeout(MAX_WAIT_S):
            for _ in range(count):
                head = await reader.readuntil(b'\r\n\r\n')
                self.assertTrue(head.startswith(b'HTTP/1.1 200'))
                length = head.partition(b'Content-Length: ')[2]
                body = await reader.readexactly(int(length.split()[0]))
                sizes.append(int(body))
        return sizes

    async def test_unused_connections_make_room(self) -> None:
        """Guards against a limit that closes connections in use."""
        used_reader, used_writer = await self.connect()
        used_writer.write(REQUEST)
        await self.read_answer(used_reader)
        silent = [await self.connect() for _ in range(20)]
        await asyncio.sleep(SETTLE_S)
        self.assertLessEqual(len(self.server.connections), 8)
        used_writer.write(REQUEST)
        await self.read_answer(used_reader)
        reader, writer = silent[-1]
        writer.write(REQUEST)
        await self.read_answer(reader)
        self.assertEqual(set(self.closes.reasons), {Reason.CONNECTIONS})
        self.assertEqual(self.server.open_count, len(self.server.connections))


if __name__ == '__main__':
    unittest.main()
