"""Tests of the client of the platform's VM list."""

import unittest

import aiohttp
from aiohttp import test_utils
from aiohttp import web

from filbertstep import agreement


class TestConsulVmList(unittest.IsolatedAsyncioTestCase):
    """Reads documented and invalid answers of the health endpoint."""

    async def asyncSetUp(self) -> None:
        """Start a server that answers with ``response_text``."""
        self.response_text = '[]'
        self.queries: list[dict[str, str]] = []
        app = web.Application()
        app.router.add_get('/v1/health/service/filbertstep', self.answer)
        self.server = test_utils.TestServer(app)
        await self.server.start_server()
        self.session = aiohttp.ClientSession()
        self.vm_list = agreement.ConsulVmList(
            str(self.server.make_url('/')), 'v0', self.session
        )

    async def asyncTearDown(self) -> None:
        """Stop the server."""
        await self.session.close()
        await self.server.close()

    async def answer(self, request: web.Request) -> web.Response:
        """Record the query and answer with ``response_text``."""
        self.queries.append(dict(request.query))
        return web.Response(text=self.response_text)

    async def test_list_is_read(self) -> None:
        """URLs and states must be read correctly, or default if missing."""
        self.response_text = """[
            {"Node": {"Node": "v1"}, "Checks": [], "Service": {
                "Address": "127.0.0.1", "Port": 81, "Meta": {
                    "peers_url": "https://127.0.0.1:81/",
                    "callers_url": "http://127.0.0.1:80",
                    "state": "leaving"}}},
            {"Node": {"Node": "v2"}, "Service": {
                "Address": "127.0.0.2", "Port": 82, "Meta": {}}}]"""
        self.assertEqual(
            [
                agreement.ListedVm(
                    'v1',
                    'https://127.0.0.1:81',
                    'http://127.0.0.1:80',
                    'leaving',
                ),
                agreement.ListedVm('v2', 'http://127.0.0.2:82', '', 'live'),
            ],
            (await self.vm_list.fetch()).unwrap(),
        )
        self.assertEqual([{'vm': 'v0'}], self.queries)

    async def test_unreadable_answer_is_an_error(self) -> None:
        """An invalid answer must not be read as an empty list.

        An empty list would mean that no VM exists any more.
        """
        deep = '[{"x":' + '[' * 100_000 + ']' * 100_000 + '}]'
        for text in ('', '{}', '[{"Node": {}}]', deep):
            with self.subTest(text=text[:20]):
                self.response_text = text
                self.assertTrue((await self.vm_list.fetch()).is_err())
        await self.server.close()
        self.assertTrue((await self.vm_list.fetch()).is_err())
