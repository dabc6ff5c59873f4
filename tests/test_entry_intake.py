"""Clients that ignore all limits, against the entry program as a process.

The tests check that the process lives, that its memory and descriptors stay
within bounds, and that it answers an ordinary request afterwards.
"""

import asyncio
import copy
import json
import os
import pathlib
import resource
import typing
import unittest

from tests import intake_crowd
from tests import test_entry_program
from tests import test_platform_adapter as adapter_tests

# Memory of the VM, which its resident memory must not exceed.
MEMORY_MB: typing.Final = 120
MAX_RESIDENT_BYTES: typing.Final = MEMORY_MB * 1024 * 1024

# Limit of descriptors that the process inherits.  The rest of the program
# needs about 30 of them.
DESCRIPTOR_LIMIT: typing.Final = 256
MAX_DESCRIPTORS: typing.Final = 224
SILENT_CONNECTIONS: typing.Final = 300

HEADER_BYTES: typing.Final = 4096
BODY_BYTES: typing.Final = 100_000

ATTACK_S: typing.Final = 2.5
SAMPLE_INTERVAL_S: typing.Final = 0.02
RETRY_INTERVAL_S: typing.Final = 0.2

LISTENERS: typing.Final = ('front', 'directory', 'ready', 'control')

KEY: typing.Final = test_entry_program.KEY

REQUEST_START: typing.Final = (
    b'GET /stock/1 HTTP/1.1\r\nHost: shop.example\r\n'
    b'Authorization: Bearer ' + KEY.encode() + b'\r\n'
)
CHUNKED_HEAD: typing.Final = (
    b'POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n'
    b'X-Deadline-Ms: 4000\r\n'
    b'Authorization: Bearer ' + KEY.encode() + b'\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


def stream(first: bytes, repeated: bytes) -> intake_crowd.Stream:
    """Return what a client sends."""
    return intake_crowd.Stream(first, repeated)


class IntakeCase(test_entry_program.ProgramCase):
    """Base class: one VM with low limits."""

    settings_fields: typing.ClassVar[dict[str, object]] = {
        'limits.memory_mb': MEMORY_MB
    }

    async def start_program(self) -> None:
        """Start the program with a low limit of descriptors."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, hard))
        try:
            await super().start_program()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        self.peak_bytes = 0
        self.peak_descriptors = 0

    def configure(self, version: str, keys: list[str]) -> None:
        """Write a configuration with low limits of requests."""
        document = copy.deepcopy(adapter_tests.CONFIGURATION)
        document['version'] = version
        document['tenants'] = [{'name': 'acme', 'api_keys': keys}]
        document['limits']['header_bytes'] = HEADER_BYTES
        document['limits']['body_bytes'] = BODY_BYTES
        for rule in document['listeners'][0]['rules']:
            rule['action'] = {
                'service': 'orders',
                'timeout_ms': 2000,
                'attempts': 1,
            }
        self.store.put('op/config', json.dumps(document).encode())

    def sample(self) -> None:
        """Note the resident memory and the descriptors of the process."""
        folder = pathlib.Path(f'/proc/{self.process.pid}')
        if self.process.returncode is None:
            pages = int((folder / 'statm').read_text().split()[1])
            self.peak_bytes = max(
                self.peak_bytes, pages * resource.getpagesize()
            )
            self.peak_descriptors = max(
                self.peak_descriptors, len(os.listdir(folder / 'fd'))
            )

    def all_addresses(self) -> list[str]:
        """Return the addresses of all listeners."""
        return [
            *(self.addresses[name] for name in LISTENERS),
            self.metrics_address,
        ]

    async def sample_for(self, duration_s: float) -> None:
        """Note memory and descriptors for a time, up to twice the bound."""
        loop = asyncio.get_running_loop()
        until = loop.time() + duration_s
        while loop.time() < until and self.peak_bytes < 2 * MAX_RESIDENT_BYTES:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def check_sound(self, retries: bool = False) -> None:
        """Check the bounds, and that an ordinary request is answered.

        With ``retries``, it is sent again after each 503, as callers do: the
        requests of the crowd were valid and may still run.
        """
        self.assertIsNone(self.process.returncode)
        self.assertLess(self.peak_bytes, MAX_RESIDENT_BYTES)
        self.assertLess(self.peak_descriptors, MAX_DESCRIPTORS)
        await self.wait_until(self.is_ready)
        async with asyncio.timeout(test_entry_program.MAX_WAIT_S):
            status, body = await self.send_request()
            while retries and status == 503:
                await asyncio.sleep(RETRY_INTERVAL_S)
                status, body = await self.send_request()
        self.assertEqual((status, body), (200, self.body.decode()))
        kinds = {line['kind'] for line in self.output}
        self.assertNotIn('internal_error', kinds)

    async def check_stream(
        self,
        sent: intake_crowd.Stream,
        addresses: list[str] | None = None,
        retries: bool = False,
    ) -> None:
        """Check the program while a crowd sends a stream.

        It sends to all listeners unless ``addresses`` names others.
        """
        crowd = intake_crowd.Crowd(addresses or self.all_addresses(), sent)
        crowd.start()
        try:
            await self.sample_for(ATTACK_S)
        finally:
            await crowd.stop()
        await self.check_sound(retries)


class TestEndlessHeads(IntakeCase):
    """Heads of requests that never end."""

    async def test_request_lines(self) -> None:
        """Guards against request lines without end that fill the memory."""
        await self.check_stream(stream(b'GET /', b'a'))

    async def test_arbitrary_bytes(self) -> None:
        """Guards against an error message for each piece of such data."""
        await self.check_stream(stream(b'', b'\x00garbage '))

    async def test_empty_lines(self) -> None:
        """Guards against empty lines without end before a request."""
        await self.check_stream(stream(b'', b'\r\n'))

    async def test_header_names(self) -> None:
        """Guards against a header name without end."""
        await self.check_stream(stream(REQUEST_START, b'a'))

    async def test_header_values(self) -> None:
        """Guards against a header value without end."""
        await self.check_stream(stream(REQUEST_START + b'X-A: ', b'a'))

    async def test_small_headers(self) -> None:
        """Guards against headers without end that are each small."""
        await self.check_stream(stream(REQUEST_START, b'X-A: a\r\n'))

    async def test_large_headers(self) -> None:
        """Guards against many headers that each keep a limit of the parser."""
        header = b'X-A: ' + b'a' * 60_000 + b'\r\n'
        await self.check_stream(stream(REQUEST_START, header))


class TestEndlessBodies(IntakeCase):
    """Bodies whose framing never ends."""

    async def test_trailers(self) -> None:
        """Guards against trailers without end."""
        await self.check_stream(stream(CHUNKED_HEAD + b'0\r\n', b'X-A: a\r\n'))

    async def test_large_trailers(self) -> None:
        """Guards against trailers that each keep a limit of the parser."""
        trailer = b'X-A: ' + b'a' * 60_000 + b'\r\n'
        await self.check_stream(stream(CHUNKED_HEAD + b'0\r\n', trailer))

    async def test_chunk_extensions(self) -> None:
        """Guards against a chunk extension without end."""
        await self.check_stream(stream(CHUNKED_HEAD + b'4;', b'a'))

    async def test_chunk_sizes(self) -> None:
        """Guards against the size of a chunk without end."""
        await self.check_stream(stream(CHUNKED_HEAD, b'0'))


class TestUnreadAnswers(IntakeCase):
    """Requests without end whose answers nobody reads."""

    async def test_pipelined_requests(self) -> None:
        """Guards against a growing queue of requests or answers."""
        await self.check_stream(
            stream(b'', REQUEST_START + b'\r\n'), retries=True
        )

    async def test_requests_with_many_headers(self) -> None:
        """Guards against requests that take many times their bytes."""
        await self.check_stream(
            stream(b'', REQUEST_START + b'a:b\r\n' * 100 + b'\r\n'),
            retries=True,
        )

    async def test_requests_for_each_listener(self) -> None:
        """Guards against short requests with long answers."""
        paths = ('/metrics', '/filbertstep/ready', '/filbertstep/resolve')
        requests = b''.join(
            f'GET {path} HTTP/1.1\r\nHost: a\r\n\r\n'.encode()
            for path in paths
        )
        await self.check_stream(stream(b'', requests))

    async def test_bodies_behind_requests(self) -> None:
        """Guards against bodies that arrive before the turn of a request."""
        self.delay_s = 1.5
        upload = CHUNKED_HEAD + b'10000\r\n' + b'x' * 65536 + b'\r\n0\r\n\r\n'
        await self.check_stream(
            stream(REQUEST_START + b'\r\n', upload),
            [self.addresses['front']] * 5,
            retries=True,
        )

    async def test_large_answers(self) -> None:
        """Guards against answers that wait in the memory for their reader."""
        self.body = b'x' * 900_000
        await self.check_stream(
            stream(b'', REQUEST_START + b'\r\n'),
            [self.addresses['front']] * 5,
            retries=True,
        )


class TestSilentConnections(IntakeCase):
    """Connections on which nothing is sent."""

    async def test_descriptors_are_left(self) -> None:
        """Guards against connections that use up the descriptors."""
        for address in self.all_addresses():
            opened = await intake_crowd.open_silent(
                address, SILENT_CONNECTIONS
            )
            for connection in opened:
                self.addCleanup(connection.close)
            await self.sample_for(0.5)
        await self.check_sound()


if __name__ == '__main__':
    unittest.main()
