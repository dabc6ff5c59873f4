"""The program while a backend server sends bytes without end."""

import asyncio
import copy
import json
import pathlib
import resource
import time
import typing

from tests import platform_store
from tests import test_entry_program
from tests import test_forward
from tests import test_forward_endless
from tests import test_platform_adapter as adapter_tests

# Callers that send to the faulty server, and the time between two of them.
# All of them wait for their answers until the timeout of the route.
CALLERS = 120
CALLER_INTERVAL_S = 0.015

# What the memory of the program may grow by, with a server of three slots.
MAX_GROWTH_BYTES = 32 * 1024 * 1024

# Time in which other callers expect their answers.
ANSWER_S = 0.5

Part = tuple[bytes, bytes]


class TestFaultyServer(test_entry_program.ProgramCase):
    """One service has a faulty server, another one has a sound server."""

    async def asyncSetUp(self) -> None:
        """Start a second, sound server beside the fakes and the program."""
        self.endless: Part = (b'', b'')
        self.sound = test_forward.RawServer(self.reply)
        self.sound_address = await self.sound.start()
        self.addAsyncCleanup(self.sound.stop)
        await super().asyncSetUp()
        self.put_entry(self.store, 'servers/i-2', self.sound_address, 'stock')
        await self.wait_until(self.is_sound_server_known)

    async def is_sound_server_known(self) -> bool:
        """Return whether the sound server's service is served."""
        return (await self.send_request('/stock/1'))[0] == 200

    async def reply(
        self,
        server: test_forward.RawServer,
        writer: asyncio.StreamWriter,
        request: bytes,
    ) -> None:
        """Answer, or send bytes without end."""
        if server is self.sound:
            await super().reply(server, writer, request)
            return
        await test_forward_endless.replies_without_end(*self.endless)(
            server, writer, request
        )

    def configure(self, version: str, keys: list[str]) -> None:
        """Write a configuration with one service for each route."""
        document: dict[str, typing.Any] = copy.deepcopy(
            adapter_tests.CONFIGURATION
        )
        rules = document['listeners'][0]['rules']
        rules[1]['action'] = {**rules[0]['action'], 'service': 'stock'}
        document['clusters'].append(
            {**document['clusters'][0], 'name': 'stock'}
        )
        document['tenants'] = [{'name': 'acme', 'api_keys': keys}]
        self.store.put('op/config', json.dumps(document).encode())

    def put_entry(
        self,
        store: platform_store.FakePlatformStore,
        key: str,
        address: str,
        service: str,
    ) -> None:
        """Write a server's entry into the store."""
        document = {
            **adapter_tests.SERVER,
            'address': address,
            'info': {**adapter_tests.SERVER['info'], 'service': service},
            'status': {'state': 'ready', 'seq_no': 1, 'cold_left_ms': 0},
        }
        store.put(key, json.dumps(document).encode())

    def memory_bytes(self) -> int:
        """Return the resident memory of the program."""
        statm = pathlib.Path(f'/proc/{self.process.pid}/statm').read_text()
        return int(statm.split()[1]) * resource.getpagesize()

    async def open_caller(self, number: int, reads: bool) -> None:
        """Send a request to the faulty server; read the answer if asked to."""
        await asyncio.sleep(number * CALLER_INTERVAL_S)
        host, _, port = self.addresses['front'].rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(
            (
                f'GET /orders/{number} HTTP/1.1\r\nHost: shop.example\r\n'
                f'X-Request-Id: endless-{number}\r\nX-Deadline-Ms: 4000\r\n'
                f'Authorization: Bearer {test_entry_program.KEY}\r\n\r\n'
            ).encode()
        )
        if not reads:
            # The kernel takes little; the program keeps the rest.
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            return
        try:
            while await reader.read(65536):
                pass
        except ConnectionError:
            pass

    async def check_flood(self, endless: Part, reads: bool) -> None:
        """Check memory and other callers while many get such an answer."""
        self.endless = endless
        before = peak = self.memory_bytes()
        callers = [
            asyncio.ensure_future(self.open_caller(number, reads))
            for number in range(CALLERS)
        ]
        slowest_s = 0.0
        until = time.monotonic() + 3.0
        while time.monotonic() < until:
            started = time.monotonic()
            status, body = await self.send_request('/stock/1')
            slowest_s = max(slowest_s, time.monotonic() - started)
            self.assertEqual((status, body), (200, 'done'))
            peak = max(peak, self.memory_bytes())
            await asyncio.sleep(0.02)
        for caller in callers:
            caller.cancel()
        self.assertLess(peak - before, MAX_GROWTH_BYTES)
        self.assertLess(slowest_s, ANSWER_S)
        self.assertIsNone(self.process.returncode)

    async def test_unread_bodies_are_bounded(self) -> None:
        """Guards against bodies without end that fill the memory."""
        for name, (
            head,
            repeated,
        ) in test_forward_endless.ENDLESS_BODIES.items():
            with self.subTest(name):
                await self.check_flood((head, repeated), reads=False)

    async def test_read_bodies_are_bounded(self) -> None:
        """Guards against bodies without end that delay other callers."""
        for name, (
            head,
            repeated,
        ) in test_forward_endless.ENDLESS_BODIES.items():
            with self.subTest(name):
                await self.check_flood((head, repeated), reads=True)

    async def test_heads_are_bounded(self) -> None:
        """Guards against heads without end that fill the memory."""
        for name in ('garbage', 'headers', 'interim responses'):
            with self.subTest(name):
                await self.check_flood(
                    test_forward_endless.ENDLESS_HEADS[name], reads=True
                )
