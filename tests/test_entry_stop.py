"""The planned stop of the entry program, as callers see it."""

import asyncio
import copy
import json
import signal
import typing
import unittest

from filbertstep.entry import _stopping
from tests import entry_process
from tests import test_entry_program
from tests import test_forward
from tests import test_platform_adapter as adapter_tests

KEY: typing.Final = test_entry_program.KEY

GRACE_S: typing.Final = entry_process.BOUNDS['grace_s']

# Leaves more time between the last steps of a stop.
LONG_GRACE_S: typing.Final = 6.0

# After the time in which a stopping VM still accepts requests, and early
# enough for an answer that takes no time.
LATE_S: typing.Final = 0.65 * GRACE_S

# A request that is sent later after the signal must not be cut off.
EXCUSED_S: typing.Final = 3.0

# Answers of this size are passed on while they arrive.
STREAMED_BYTES: typing.Final = 2 * 1024 * 1024

# Longer than a stop.
ROUTE_TIMEOUT_MS: typing.Final = 10_000


class RawCaller:
    """One connection to the VM."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, request_id: str) -> None:
        """Send a request."""
        self.writer.write(request_head(request_id))

    async def read_head(self) -> tuple[int, dict[str, str]]:
        """Read the head of an answer; return its status and headers."""
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
        status_line, *lines = head.strip().split('\r\n')
        headers = {}
        for line in lines:
            name, _, value = line.partition(': ')
            headers[name.lower()] = value
        return int(status_line.split(' ')[1]), headers

    async def read_answer(self) -> tuple[int, dict[str, str], bytes]:
        """Read an answer; raise ``IncompleteReadError`` if it is cut."""
        status, headers = await self.read_head()
        body = await self.reader.readexactly(int(headers['content-length']))
        return status, headers, body


def request_head(request_id: str) -> bytes:
    """Return a request that may run at most once."""
    return (
        'GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\n'
        f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: 9000\r\n'
        f'Authorization: Bearer {KEY}\r\n\r\n'
    ).encode()


class TestPhases(unittest.TestCase):
    """What a stopping VM does when."""

    def test_requests_are_accepted_until_look_ups_have_expired(self) -> None:
        """Guards against late requests, and callers that find no VM."""
        look_ups_s = _stopping.LOOKUP_TTLS_IN_USE * _stopping.LOOKUP_TTL_S
        for stop_timeout_s, lowest_s, highest_s in (
            (6.0, look_ups_s, EXCUSED_S),
            (30.0, look_ups_s, EXCUSED_S),
            (3.0, 1.0, 1.5),
        ):
            with self.subTest(stop_timeout_s=stop_timeout_s):
                stop = _stopping.Stop()
                self.assertIs(stop.phase(100.0), _stopping.Phase.SERVING)
                stop.begin(100.0, stop_timeout_s)
                stop.begin(101.0, stop_timeout_s)
                self.assertIs(stop.phase(100.0), _stopping.Phase.LEAVING)
                accepting_s = stop.accepts_until - 100.0
                self.assertGreater(accepting_s, lowest_s)
                self.assertLess(accepting_s, highest_s)
                self.assertIs(
                    stop.phase(stop.accepts_until), _stopping.Phase.REFUSING
                )
                self.assertLess(stop.exits_at, 100.0 + stop_timeout_s)


class StopCase(test_entry_program.ProgramCase):
    """Base class: a VM that is stopped, and its callers.

    With ``rejects_at_deadline``, the server rejects requests when their time
    is over.
    """

    async def asyncSetUp(self) -> None:
        """Start the fakes and the program."""
        self.rejects_at_deadline = False
        await super().asyncSetUp()

    async def reply(
        self,
        server: test_forward.RawServer,
        writer: asyncio.StreamWriter,
        request: bytes,
    ) -> None:
        """Answer as a backend server does."""
        request_id = test_forward.header(request, 'X-Request-Id')
        if self.rejects_at_deadline:
            deadline_ms = test_forward.header(request, 'X-Deadline-Ms')
            await asyncio.sleep(int(deadline_ms or 0) / 1000)
            writer.write(
                f'HTTP/1.1 503 Late\r\nX-Request-Id: {request_id}\r\n'
                'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return
        await super().reply(server, writer, request)

    def configure(self, version: str, keys: list[str]) -> None:
        """Write a configuration whose routes allow for slow servers."""
        document = copy.deepcopy(adapter_tests.CONFIGURATION)
        document['version'] = version
        document['tenants'] = [{'name': 'acme', 'api_keys': keys}]
        for rule in document['listeners'][0]['rules']:
            rule['action']['timeout_ms'] = ROUTE_TIMEOUT_MS
        self.store.put('op/config', json.dumps(document).encode())

    async def connect(self) -> RawCaller:
        """Open a connection to the VM."""
        host, _, port = self.addresses['front'].partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return RawCaller(reader, writer)

    async def request_stop(self) -> None:
        """Send SIGTERM, and wait until the VM is no longer ready."""
        self.process.send_signal(signal.SIGTERM)

        async def not_ready() -> bool:
            return not await self.is_ready()

        await self.wait_until(not_ready)

    async def finish(self) -> dict[str, typing.Any]:
        """Wait for the end of the process; return its ``stopped`` line."""
        async with asyncio.timeout(test_entry_program.MAX_WAIT_S):
            self.assertEqual(await self.process.wait(), 0)
            await self.output_reader
        (line,) = [row for row in self.output if row['kind'] == 'stopped']
        return line

    def passed_on(self) -> list[str]:
        """Return the ids of the requests that the server has received."""
        ids = []
        for request in self.server.requests:
            _, _, rest = request.partition(b'X-Request-Id: ')
            ids.append(rest.partition(b'\r\n')[0].decode())
        return ids


class TestStop(StopCase):
    """What callers get from a VM that stops."""

    async def test_late_request_on_a_kept_connection_is_not_given_up(
        self,
    ) -> None:
        """Guards against passing on what the exit of the process cuts off.

        A connection that is idle when requests are no longer accepted closes.
        """
        kept = await self.connect()
        kept.send('first')
        self.assertEqual((await kept.read_answer())[0], 200)
        self.delay_s = 0.8 * GRACE_S
        running = await self.connect()
        running.send('running')
        await asyncio.sleep(0.1)
        await self.request_stop()
        await asyncio.sleep(LATE_S)
        kept.send('late')
        with self.assertRaises((asyncio.IncompleteReadError, OSError)):
            await kept.read_head()
        self.assertEqual((await running.read_answer())[0], 200)
        await self.finish()
        self.assertEqual(self.passed_on(), ['first', 'running'])

    async def test_late_request_is_refused_as_not_run(self) -> None:
        """Guards against a late request that gets no answer.

        It has begun while requests were accepted and is complete later.
        """
        self.delay_s = 0.8 * GRACE_S
        caller = await self.connect()
        request = request_head('late')
        caller.writer.write(request[:20])
        await asyncio.sleep(0.1)
        await self.request_stop()
        await asyncio.sleep(LATE_S)
        caller.writer.write(request[20:])
        status, headers, _ = await caller.read_answer()
        self.assertEqual(status, 503)
        self.assertEqual(headers['connection'], 'close')
        self.assertLessEqual(float(headers['retry-after']), 0.1)
        self.assertEqual(self.passed_on(), [])
        stopped = await self.finish()
        self.assertEqual((stopped['refused'], stopped['running']), (1, 0))

    async def test_upload_half_read_at_the_signal_is_not_given_up(
        self,
    ) -> None:
        """Guards against passing on an upload that the exit cuts off.

        The rest of one body arrives early enough for a long run, that of the
        other does not; none has a server when the signal comes.
        """
        self.delay_s = 0.1
        head = (
            'POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n'
            'X-Request-Id: {}\r\nX-Deadline-Ms: 9000\r\n'
            f'Authorization: Bearer {KEY}\r\nContent-Length: 900\r\n\r\n'
        )
        early, late = await self.connect(), await self.connect()
        for caller, name in ((early, 'early'), (late, 'late')):
            caller.writer.write(head.format(name).encode() + b'x' * 450)
        await asyncio.sleep(0.1)
        await self.request_stop()
        early.writer.write(b'x' * 450)
        self.assertEqual((await early.read_answer())[0], 200)
        await asyncio.sleep(0.8 * GRACE_S)
        late.writer.write(b'x' * 450)
        self.assertEqual((await late.read_answer())[0], 503)
        await self.finish()
        self.assertEqual(self.passed_on(), ['early'])

    async def test_requests_that_wait_in_the_kernel_are_answered(self) -> None:
        """Guards against resetting connections whose requests were not read.

        The event loop is late when the time to accept requests ends.
        """
        kept = await self.connect()
        kept.send('first')
        self.assertEqual((await kept.read_answer())[0], 200)
        await self.request_stop()
        self.process.send_signal(signal.SIGSTOP)
        kept.send('kept')
        new = await self.connect()
        new.send('new')
        await asyncio.sleep(LATE_S)
        self.process.send_signal(signal.SIGCONT)
        for caller in (kept, new):
            self.assertEqual((await caller.read_answer())[0], 503)
        await self.finish()
        self.assertEqual(self.passed_on(), ['first'])

    async def test_answer_cut_by_the_exit_is_logged(self) -> None:
        """Guards against a lost request whose id leads to no line.

        Of an answer too large to be held, the server sends only a part.
        """
        self.body = b'x' * STREAMED_BYTES
        self.missing_bytes = 1000
        caller = await self.connect()
        caller.send('cut')
        self.assertEqual((await caller.read_head())[0], 200)
        await self.request_stop()
        with self.assertRaises((asyncio.IncompleteReadError, OSError)):
            await caller.reader.readexactly(len(self.body))
        self.assertEqual((await self.finish())['running'], 1)
        (line,) = [row for row in self.output if row['kind'] == 'request_cut']
        self.assertEqual((line['id'], line['sent']), ('cut', True))


class TestUnansweredRequests(StopCase):
    """Requests that have no answer from their server when the VM exits."""

    settings_fields: typing.ClassVar[dict[str, object]] = {
        'bounds.grace_s': LONG_GRACE_S
    }

    async def test_requests_in_the_queue_of_a_server_are_answered(
        self,
    ) -> None:
        """Guards against closing connections without an answer.

        The server begins neither request before the exit.  One is sent before
        the signal and one after it.
        """
        self.delay_s = 2 * LONG_GRACE_S
        callers = [await self.connect() for _ in range(2)]
        callers[0].send('before')
        await asyncio.sleep(0.1)
        await self.request_stop()
        callers[1].send('after')
        for caller in callers:
            status, headers, body = await caller.read_answer()
            self.assertEqual((status, headers['connection']), (504, 'close'))
            self.assertNotIn('retry-after', headers)
            self.assertEqual(json.loads(body)['ran'], 'unknown')
        self.assertEqual(self.passed_on(), ['before', 'after'])
        stopped = await self.finish()
        self.assertEqual(stopped['running'], 0)
        self.assertEqual(stopped['interrupted'], 2)
        before, after = (
            row for row in self.output if row['kind'] == 'interrupted'
        )
        self.assertEqual((before['id'], after['id']), ('before', 'after'))
        self.assertLess(before['sent_after_s'], 0.0)
        self.assertIsNone(before['longest_s'])
        self.assertGreater(after['sent_after_s'], 0.0)
        self.assertEqual((after['server'], after['ahead']), ('i-1', 1))
        self.assertIsNone(after['load_age_s'])
        self.assertLess(stopped['after_s'], LONG_GRACE_S)

    async def test_request_that_no_server_began_may_be_repeated(self) -> None:
        """Guards against an unknown outcome of what certainly did not run.

        A server rejects what still waits there at the time that it was told.
        """
        self.rejects_at_deadline = True
        caller = await self.connect()
        await self.request_stop()
        caller.send('queued')
        status, headers, body = await caller.read_answer()
        self.assertEqual((status, headers['connection']), (503, 'close'))
        self.assertEqual(json.loads(body)['ran'], 'no')
        self.assertLessEqual(float(headers['retry-after']), 0.1)
        self.assertEqual(self.passed_on(), ['queued'])
        self.assertEqual((await self.finish())['running'], 0)

    async def test_half_sent_request_is_refused_before_the_exit(self) -> None:
        """Guards against closing connections without an answer.

        The rest of the body does not arrive, before the signal or after it.
        """
        head = (
            'POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n'
            'X-Request-Id: half\r\nX-Deadline-Ms: 9000\r\n'
            f'Authorization: Bearer {KEY}\r\nContent-Length: 900\r\n\r\n'
        )
        callers = [await self.connect() for _ in range(2)]
        callers[0].writer.write(head.encode() + b'x' * 450)
        await asyncio.sleep(0.1)
        await self.request_stop()
        callers[1].writer.write(head.encode() + b'x' * 450)
        for caller in callers:
            status, headers, body = await caller.read_answer()
            self.assertEqual((status, headers['connection']), (503, 'close'))
            self.assertEqual(json.loads(body)['kind'], 'stopping')
        self.assertEqual(self.passed_on(), [])
        self.assertLess((await self.finish())['after_s'], LONG_GRACE_S)

    async def test_answer_shortly_before_the_exit_is_delivered(self) -> None:
        """Guards against interrupting what can be served before the exit."""
        self.delay_s = 0.94 * LONG_GRACE_S
        caller = await self.connect()
        self.process.send_signal(signal.SIGTERM)
        caller.send('late answer')
        self.assertEqual((await caller.read_answer())[0], 200)
        self.assertEqual((await self.finish())['interrupted'], 0)
