"""Tests of the peers' listener together with the client of its peers."""

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
    """A message reaches the system that answers its path."""

    async def asyncSetUp(self) -> None:
        """Start a listener that echoes, and a client of it."""

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
        """Guards against a route that no path with two parts matches.

        Returned loans were answered with 404, and their slots stayed unused
        until the loans ended.
        """
        for path in (_loans.BORROW_PATH, _loans.RETURN_PATH):
            with self.subTest(path):
                answer = await self.peers.call('vm-2', path, {'a': 1}, 5.0)
                self.assertEqual(result.Ok({'a': 1}), answer)

    async def test_unknown_path(self) -> None:
        """Guards against a missing handler that looks like a lost answer."""
        answer = await self.peers.call('vm-2', '/peer/none', {}, 5.0)
        assert isinstance(answer, result.Err)
        self.assertIs(errors.ErrorKind.NOT_FOUND, answer.err_value.kind)
