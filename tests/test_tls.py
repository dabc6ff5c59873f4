"""Tests of TLS on the listeners, with a certificate kept for loopback."""

import json
import pathlib
import ssl
import tempfile
import typing
import unittest

import aiohttp
from aiohttp import web
import result

from filbertstep import _ctl_client
from filbertstep import _http_peers
from filbertstep import _peer_server
from filbertstep import _tls
from filbertstep import _web
from filbertstep import caller
from filbertstep import errors
from filbertstep import metrics
from filbertstep import settings
from filbertstep import transport
from tests import test_settings

DATA = pathlib.Path(__file__).parent / 'data'
CERTIFICATE = str(DATA / 'loopback.pem')
PRIVATE_KEY = str(DATA / 'loopback-key.pem')
TOKEN = 'token-of-the-peers'


async def echo(
    message: transport.Message,
) -> result.Result[transport.Message, errors.Failure]:
    """Answer with the message."""
    return result.Ok(message)


class TlsCase(unittest.IsolatedAsyncioTestCase):
    """An application behind TLS on loopback."""

    async def serve(self, app: web.Application) -> str:
        """Serve an application until the test ends; return its URL."""
        listener = settings.Listener(
            '127.0.0.1', 0, '', CERTIFICATE, PRIVATE_KEY
        )
        runner = await _web.start_listener(app, listener, 1.0)
        self.addAsyncCleanup(runner.cleanup)
        return f'https://127.0.0.1:{runner.addresses[0][1]}'


class TestListeners(TlsCase):
    """Clients verify the certificate."""

    async def test_peers(self) -> None:
        """Guards against peers that talk to whoever has the address."""
        server = _peer_server.PeerServer({'/peer/echo': echo})
        url = await self.serve(server.make_application(TOKEN))
        async with aiohttp.ClientSession() as session:
            for ca_file, good in ((CERTIFICATE, True), (None, False)):
                peers = _http_peers.HttpPeers(
                    session,
                    TOKEN,
                    lambda vm: url,
                    _tls.client_context(ca_file),
                    metrics.Metrics(),
                )
                found = await peers.call('vm-2', '/peer/echo', {'a': 1}, 2.0)
                if good:
                    self.assertEqual({'a': 1}, found.unwrap())
                else:
                    kind = found.unwrap_err().kind
                    self.assertEqual(errors.ErrorKind.NOT_RUN, kind)

    async def test_operators_client(self) -> None:
        """Guards against a token that is sent to an unknown server."""

        async def handle(request: web.Request) -> web.Response:
            return _web.json_response({'vm': 'vm-1'})

        app = web.Application()
        app.router.add_get('/v1/status', handle)
        doc: _ctl_client.ClientSettingsDoc = {
            'urls': [await self.serve(app)],
            'token': TOKEN,
            'ca_file': CERTIFICATE,
        }
        client = _ctl_client.OperatorClient(doc)
        found = await client.call_first_reachable('GET', '/v1/status', None)
        self.assertEqual({'vm': 'vm-1'}, found)
        del doc['ca_file']
        with self.assertRaises(_ctl_client.CtlError) as caught:
            await client.call_first_reachable('GET', '/v1/status', None)
        self.assertEqual(
            _ctl_client.ExitCode.UNAVAILABLE, caught.exception.code
        )

    async def test_caller(self) -> None:
        """Guards against a key that is sent to an unknown server."""
        seen: list[str] = []

        async def look_up(request: web.Request) -> web.Response:
            row = {
                'vm': 'vm-1',
                'url': url,
                'region': 'hobart',
                'grant': 'vm-1~a~vm-1~a~1',
                'weight': 1,
            }
            return _web.json_response(
                {'hold_s': 2, 'service': 'bookings', 'vms': [row]}
            )

        async def handle(request: web.Request) -> web.Response:
            seen.append(request.headers['Authorization'])
            fields = {'X-Request-Id': request.headers['X-Request-Id']}
            return web.Response(text='ok', headers=fields)

        app = web.Application()
        app.router.add_get('/v1/lookup', look_up)
        app.router.add_get('/bookings', handle)
        url = await self.serve(app)
        for ca_file, status in ((CERTIFICATE, 200), (None, 0)):
            async with caller.CallerClient(
                [url], 'k' * 30, ca_file=ca_file, max_attempts=2
            ) as client:
                answer = await client.call(
                    'bookings', 'GET', '/bookings', deadline_s=5.0
                )
            self.assertEqual(status, answer.status)
        self.assertEqual(1, len(seen))


class TestFiles(unittest.TestCase):
    """Files that the settings name are checked before the start."""

    def options(
        self, tls: dict[str, typing.Any], **fields: typing.Any
    ) -> settings.NodeSettings:
        """Return settings with TLS on the peers' listener."""
        found = settings.parse(test_settings.VALID_SETTINGS).unwrap()
        listener = found.peers._replace(**tls)
        return found._replace(peers=listener, **fields)

    def test_files(self) -> None:
        """Guards against a node that fails when it is already listed."""
        good = {'certificate': CERTIFICATE, 'private_key': PRIVATE_KEY}
        with tempfile.TemporaryDirectory() as directory:
            absent = f'{directory}/absent.pem'
            cases = [
                (self.options(good, ca_file=CERTIFICATE), ''),
                (self.options({}), ''),
                (
                    self.options({**good, 'certificate': absent}),
                    '$.peers.tls',
                ),
                (
                    self.options({**good, 'private_key': CERTIFICATE}),
                    '$.peers.tls',
                ),
                (self.options(good, ca_file=absent), '$.ca_file'),
                (self.options(good, ca_file=PRIVATE_KEY), '$.ca_file'),
            ]
            for options, named in cases:
                with self.subTest(named):
                    found = _tls.check_files(options)
                    self.assertEqual(bool(named), found.is_err())
                    self.assertIn(named, found.err() or '')

    def test_client_settings(self) -> None:
        """Guards against a command that fails half way by its settings."""
        good = {'urls': ['https://127.0.0.1:1'], 'token': 'abc'}
        cases: list[tuple[dict[str, typing.Any], str]] = [
            ({}, ''),
            ({'ca_file': CERTIFICATE}, ''),
            ({'ca_file': PRIVATE_KEY}, '$.ca_file'),
            ({'urls': []}, '$.urls'),
            ({'urls': ['127.0.0.1:1']}, '$.urls'),
            ({'token': 'a\nb'}, '$.token'),
            ({'tokn': 'a'}, '$.tokn'),
        ]
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'ctl.json'
            for change, named in cases:
                with self.subTest(change=change):
                    path.write_text(json.dumps({**good, **change}))
                    if not named:
                        _ctl_client.load_settings(str(path))
                        continue
                    with self.assertRaises(_ctl_client.CtlError) as caught:
                        _ctl_client.load_settings(str(path))
                    self.assertIn(named, str(caught.exception))
                    self.assertEqual(2, caught.exception.code)

    def test_minimum_version(self) -> None:
        """Guards against TLS versions that are broken."""
        context = _tls.server_context(
            settings.Listener('', 0, '', CERTIFICATE, PRIVATE_KEY)
        )
        assert context is not None
        self.assertGreaterEqual(
            context.minimum_version, ssl.TLSVersion.TLSv1_2
        )
