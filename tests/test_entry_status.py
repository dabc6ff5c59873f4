"""The program while a server sends responses with an invalid status.

MIXED: a failing server sends status 000, and the caller receives a response
that is not the server's.
"""

import asyncio
import copy
import json
import os
import typing

from tests import test_entry_program
from tests import test_forward
from tests import test_forward_endless
from tests import test_platform_adapter as adapter_tests

# Replaced by the id of the request.
ID: typing.Final = b'REQUEST-ID'

INVALID_HEADERS: typing.Final = (
    b'X-Request-Id: REQUEST-ID\r\nX-Server-Seal: seal\r\n'
    b'Content-Length: 2\r\n\r\nno'
)

INVALID_RESPONSES: typing.Final = {
    '000': b'HTTP/1.1 000 A\r\n' + INVALID_HEADERS,
    '099': b'HTTP/1.1 099 A\r\n' + INVALID_HEADERS,
    '600': b'HTTP/1.1 600 A\r\n' + INVALID_HEADERS,
    '999': b'HTTP/1.1 999 A\r\n' + INVALID_HEADERS,
    '101': (
        b'HTTP/1.1 101 A\r\nConnection: upgrade\r\nUpgrade: other\r\n'
        b'X-Request-Id: REQUEST-ID\r\n\r\n'
    ),
    'not run': b'HTTP/1.1 000 A\r\nX-Not-Executed: 1\r\n' + INVALID_HEADERS,
    'an interim response with a body': (
        b'HTTP/1.1 103 A\r\n'
        + INVALID_HEADERS
        + b'HTTP/1.1 200 A\r\n'
        + INVALID_HEADERS
    ),
    'two digits': b'HTTP/1.1 20 A\r\n' + INVALID_HEADERS,
    'four digits': b'HTTP/1.1 2000 A\r\n' + INVALID_HEADERS,
    'sign': b'HTTP/1.1 +200 A\r\n' + INVALID_HEADERS,
    'letters': b'HTTP/1.1 abc A\r\n' + INVALID_HEADERS,
}

# Answers of a server after which it is no longer paused for its failures.
RECOVERY_ANSWERS: typing.Final = 4


class TestInvalidStatus(test_entry_program.ProgramCase):
    """One server of a service, and later a second one."""

    async def asyncSetUp(self) -> None:
        """Start a second server beside the fakes and the program."""
        self.invalid = b''
        self.faulty_answers = 0
        self.second = test_forward.RawServer(self.reply)
        self.second_address = await self.second.start()
        self.addAsyncCleanup(self.second.stop)
        await super().asyncSetUp()
        await self.wait_until(self.is_server_known)

    async def is_server_known(self) -> bool:
        """Return whether the service is served."""
        return (await self.send_request('/orders/0'))[0] == 200

    def configure(self, version: str, keys: list[str]) -> None:
        """Write a configuration whose routes have the same service."""
        document: dict[str, typing.Any] = copy.deepcopy(
            adapter_tests.CONFIGURATION
        )
        rules = document['listeners'][0]['rules']
        rules[1]['action'] = copy.deepcopy(rules[0]['action'])
        document['version'] = version
        # The rate must not refuse a request of the test.
        document['tenants'] = [
            {
                'name': 'acme',
                'api_keys': keys,
                'rate_per_s': 1000,
                'burst': 1000,
            }
        ]
        self.store.put('op/config', json.dumps(document).encode())

    def put_second_server(self) -> None:
        """Write the second server's entry into the store."""
        document = {
            **adapter_tests.SERVER,
            'address': self.second_address,
            'status': {'state': 'ready', 'seq_no': 1, 'cold_left_ms': 0},
        }
        self.store.put('servers/i-2', json.dumps(document).encode())

    async def reply(
        self,
        server: test_forward.RawServer,
        writer: asyncio.StreamWriter,
        request: bytes,
    ) -> None:
        """Send the invalid response while some are left, or answer.

        Which of two servers gets a request first is up to the program.
        """
        if not self.faulty_answers:
            await super().reply(server, writer, request)
            return
        self.faulty_answers -= 1
        request_id = test_forward.header(request, 'X-Request-Id') or ''
        writer.write(self.invalid.replace(ID, request_id.encode()))

    async def event_count(self, event: str) -> float:
        """Return a counter of the program's events."""
        url = f'http://{self.metrics_address}/metrics'
        async with self.session.get(url) as response:
            for line in (await response.text()).splitlines():
                if f'"{event}"' in line and 'created' not in line:
                    return float(line.rpartition(' ')[2])
        return 0.0

    async def send_by_hand(self, path: str) -> bytes:
        """Send a POST request; return the response's status line."""
        host, _, port = self.addresses['front'].rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = (
                f'POST {path} HTTP/1.1\r\nHost: shop.example\r\n'
                f'X-Request-Id: {os.urandom(8).hex()}\r\n'
                'X-Deadline-Ms: 4000\r\nContent-Length: 0\r\n'
                f'Authorization: Bearer {test_entry_program.KEY}\r\n\r\n'
            )
            writer.write(head.encode())
            async with asyncio.timeout(test_entry_program.MAX_WAIT_S):
                return await reader.readline()
        finally:
            writer.close()

    async def check_failed(self, response: bytes) -> None:
        """Check a request that may run once and gets an invalid response."""
        for _ in range(RECOVERY_ANSWERS):
            await self.wait_until(self.is_server_known)
        counted = await self.event_count('try_mismatched')
        requests = len(self.server.requests)
        self.invalid = response
        self.faulty_answers = 1
        status_line = await self.send_by_hand('/orders/1')
        self.assertEqual(status_line.split()[:2], [b'HTTP/1.1', b'502'])
        self.assertEqual(len(self.server.requests), requests + 1)
        self.assertEqual(await self.event_count('try_mismatched'), counted + 1)
        await self.wait_until(self.is_server_known)
        self.assertNotIn('strike', {line['kind'] for line in self.output})

    async def test_requests_that_may_run_once_get_502(self) -> None:
        """Guards against a caller that gets such a status, and a second run.

        Also guards against a quarantine of requests that crash no server.
        """
        for name, response in INVALID_RESPONSES.items():
            with self.subTest(name):
                await self.check_failed(response)

    async def test_endless_interim_responses_get_502(self) -> None:
        """Guards against a caller that waits for interim responses."""
        interim = b'HTTP/1.1 103 Early\r\n\r\n'
        await self.check_failed(
            interim * (test_forward_endless.BLOCK_BYTES // len(interim))
        )

    async def test_idempotent_requests_go_to_another_server(self) -> None:
        """Guards against a failure while a sound server is there."""
        self.put_second_server()

        async def second_server_is_known() -> bool:
            return any(
                line['kind'] == 'server' and line['server'] == 'i-2'
                for line in self.output
            )

        await self.wait_until(second_server_is_known)
        for name in ('000', '600', '101', 'two digits'):
            with self.subTest(name):
                for _ in range(RECOVERY_ANSWERS):
                    await self.wait_until(self.is_server_known)
                before = [len(self.server.requests), len(self.second.requests)]
                self.faulty_answers = 1
                self.invalid = INVALID_RESPONSES[name]
                answer = await self.send_request('/stock/1', method='GET')
                self.assertEqual(answer, (200, 'done'))
                # Each server gets the request once.
                self.assertEqual(
                    [len(self.server.requests), len(self.second.requests)],
                    [count + 1 for count in before],
                )
