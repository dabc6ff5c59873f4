"""Tests for the peers' listener together with its client."""

import unittest

import aiohttp
from aiohttp import web
import result

from filbertstep import _http_peers
from filbertstep import _loans
from filbertstep import _peer_server
from filbertstep import errors
from filbertstep import metrics
from filbertstep import transport

TOKEN = 'a token of the peers'


class TestPeerServer(unittest.IsolatedAsyncioTestCase):
    """Messages must reach the handler of their path."""

    async def asyncSetUp(self) -> None:
        """Start a listener whose handlers echo, and a client."""

        async def echo(
            message: transport.Message,
        ) -> result.Result[transport.Message, errors.Failure]:
            return result.Ok(message)

        handlers = {_loans.BORROW_PATH: echo, _loans.RETURN_PATH: echo}
        app = _peer_server.PeerServer(handlers).make_application(TOKEN)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        self.addAsyncCleanup(self.runner.cleanup)
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        port = self.runner.addresses[0][1]
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        self.peers = _http_peers.HttpPeers(
            session,
            TOKEN,
            lambda vm: f'http://127.0.0.1:{port}',
            None,
            metrics.Metrics(),
        )

    async def test_every_path_is_reached(self) -> None:
        """The route must also match paths of several segments.

        Messages that return loans got status 404, and the slots stayed unused
        until the loans ended.
        """
        for path in (_loans.BORROW_PATH, _loans.RETURN_PATH):
            with self.subTest(path):
                answer = await self.peers.call('vm-2', path, {'a': 1}, 5.0)
                self.assertEqual(result.Ok({'a': 1}), answer)

    async def test_unknown_path(self) -> None:
        """A missing handler must not look like a lost response."""
        answer = await self.peers.call('vm-2', '/peer/none', {}, 5.0)
        assert isinstance(answer, result.Err)
        self.assertIs(errors.ErrorKind.NOT_FOUND, answer.err_value.kind)
