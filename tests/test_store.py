"""Tests of the Consul client against a minimal KV server."""

import base64
import typing
import unittest

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import result

from filbertstep import store

KEY: typing.Final = 'filbertstep/head'


class FakeKvServer:
    """Handles KV API requests for one key and records their queries.

    If ``status`` is set, reads fail with it.  With ``break_after_write`` the
    connection is closed after a write, before its response.
    """

    def __init__(self) -> None:
        self.value: bytes | None = None
        self.index = 7
        self.status: int | None = None
        self.break_after_write = False
        self.queries: list[dict[str, str]] = []

    async def get(self, request: web.Request) -> web.Response:
        """Handle a GET request."""
        self.queries.append(dict(request.query))
        headers = {'X-Consul-Index': str(self.index)}
        if self.status is not None:
            return web.Response(status=self.status)
        if self.value is None:
            return web.Response(status=404, headers=headers)
        text = base64.b64encode(self.value).decode()
        body = [
            {
                'LockIndex': 0,
                'Key': request.match_info['key'],
                'Flags': 0,
                'Value': text,
                'CreateIndex': 3,
                'ModifyIndex': self.index,
            }
        ]
        return web.json_response(body, headers=headers)

    async def put(self, request: web.Request) -> web.Response:
        """Handle a PUT request."""
        cas = int(request.query['cas'])
        if cas != (0 if self.value is None else self.index):
            return web.Response(text='false\n')
        self.value = await request.read()
        self.index += 1
        if self.break_after_write and request.transport is not None:
            request.transport.close()
        return web.Response(text='true\n')


class TestConsulStore(unittest.IsolatedAsyncioTestCase):
    """The client follows the Consul API and classifies errors by effect."""

    async def asyncSetUp(self) -> None:
        """Start the KV server and create a client."""
        self.handler = FakeKvServer()
        app = web.Application()
        app.router.add_get('/v1/kv/{key:.*}', self.handler.get)
        app.router.add_put('/v1/kv/{key:.*}', self.handler.put)
        self.server = test_utils.TestServer(app)
        await self.server.start_server()
        self.session = aiohttp.ClientSession()
        self.store = store.ConsulStore(
            str(self.server.make_url('/')), self.session
        )

    async def asyncTearDown(self) -> None:
        """Stop the KV server."""
        await self.session.close()
        await self.server.close()

    async def test_absent_then_written_then_read(self) -> None:
        """Guards against wrong modify indexes and value encodings."""
        self.assertEqual(result.Ok(store.ABSENT), await self.store.get(KEY))
        written = await self.store.put_cas(KEY, b'\x00one', 0)
        self.assertEqual(result.Ok(True), written)
        entry = (await self.store.get(KEY)).unwrap()
        self.assertEqual(store.Entry(b'\x00one', 8), entry)
        self.assertEqual(
            result.Ok(False), await self.store.put_cas(KEY, b'two', 0)
        )
        self.assertIn('consistent', self.handler.queries[-1])

    async def test_blocking_read_uses_the_index(self) -> None:
        """Guards against a busy loop of reads that do not block.

        Consul answers a read without an index at once, and a key that does
        not exist has no modify index.
        """
        await self.store.wait_for_change(KEY, 0, 0.5)
        await self.store.wait_for_change(KEY, 0, 0.5)
        self.assertEqual(
            {'consistent': '', 'index': '7', 'wait': '500ms'},
            self.handler.queries[-1],
        )
        await self.store.wait_for_change(KEY, 5, 1.0)
        self.assertEqual('5', self.handler.queries[-1]['index'])

    async def test_error_status_is_unknown(self) -> None:
        """Guards against taking a server error for a missing key."""
        self.handler.status = 500
        self.assertEqual(
            result.Err(store.StoreError.UNKNOWN), await self.store.get(KEY)
        )

    async def test_answer_lost_after_the_write(self) -> None:
        """Guards against reporting a write that took effect as not sent.

        aiohttp retries the request, so False is a possible result too.
        """
        self.handler.break_after_write = True
        answer = await self.store.put_cas(KEY, b'one', 0)
        self.assertIn(
            answer,
            (result.Err(store.StoreError.UNKNOWN), result.Ok(False)),
        )
        self.assertEqual(b'one', self.handler.value)

    async def test_refused_connection_is_not_sent(self) -> None:
        """Guards against an undecided ticket although nothing was sent.

        A refused connection means that the write had no effect.
        """
        await self.server.close()
        self.assertEqual(
            result.Err(store.StoreError.NOT_SENT),
            await self.store.put_cas(KEY, b'one', 0),
        )
