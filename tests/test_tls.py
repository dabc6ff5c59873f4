"""Tests of TLS on the listeners, with a test certificate for loopback."""

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
    """Return the received message."""
    return result.Ok(message)


class TlsCase(unittest.IsolatedAsyncioTestCase):
    """Serves an application over TLS on loopback."""

    async def serve(self, app: web.Application) -> str:
        """Serve an application until the test ends; return its URL."""
        listener = settings.Listener(
            '127.0.0.1', 0, '', CERTIFICATE, PRIVATE_KEY
        )
        runner = await _web.start_listener(app, listener, 1.0)
        self.addAsyncCleanup(runner.cleanup)
        return f'https://127.0.0.1:{runner.addresses[0][1]}'


class TestListeners(TlsCase):
    """All clients verify the server's certificate."""

    async def test_peers(self) -> None:
        """Guards against peers that send requests to an unverified server."""
        server = _peer_server.PeerServer({'/peer/echo': echo})
        url = await self.serve(server.make_application(TOKEN))
        async with aiohttp.ClientSession() as session:
            for ca_file, trusted in ((CERTIFICATE, True), (None, False)):
                peers = _http_peers.HttpPeers(
                    session,
                    TOKEN,
                    lambda vm: url,
                    _tls.client_context(ca_file),
                    metrics.Metrics(),
                )
                response = await peers.call(
                    'vm-2', '/peer/echo', {'a': 1}, 2.0
                )
                if trusted:
                    self.assertEqual({'a': 1}, response.unwrap())
                else:
                    kind = response.unwrap_err().kind
                    self.assertEqual(errors.ErrorKind.NOT_RUN, kind)

    async def test_operators_client(self) -> None:
        """Guards against a token that is sent to an unverified server."""

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
        status = await client.call_first_reachable('GET', '/v1/status', None)
        self.assertEqual({'vm': 'vm-1'}, status)
        del doc['ca_file']
        with self.assertRaises(_ctl_client.CtlError) as caught:
            await client.call_first_reachable('GET', '/v1/status', None)
        self.assertEqual(
            _ctl_client.ExitCode.UNAVAILABLE, caught.exception.code
        )

    async def test_caller(self) -> None:
        """Guards against a key that is sent to an unverified server."""
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
                call_result = await client.call(
                    'bookings', 'GET', '/bookings', deadline_s=5.0
                )
            self.assertEqual(status, call_result.status)
        self.assertEqual(1, len(seen))


class TestFiles(unittest.TestCase):
    """Files named in the settings are checked before the start."""

    def node_settings(
        self, tls: dict[str, typing.Any], **fields: typing.Any
    ) -> settings.NodeSettings:
        """Return node settings with TLS fields for the peers' listener."""
        parsed = settings.parse(test_settings.VALID_SETTINGS).unwrap()
        listener = parsed.peers._replace(**tls)
        return parsed._replace(peers=listener, **fields)

    def test_files(self) -> None:
        """Guards against a node that fails once it is in the list of VMs."""
        valid = {'certificate': CERTIFICATE, 'private_key': PRIVATE_KEY}
        with tempfile.TemporaryDirectory() as directory:
            absent = f'{directory}/absent.pem'
            cases = [
                (self.node_settings(valid, ca_file=CERTIFICATE), ''),
                (self.node_settings({}), ''),
                (
                    self.node_settings({**valid, 'certificate': absent}),
                    '$.peers.tls',
                ),
                (
                    self.node_settings({**valid, 'private_key': CERTIFICATE}),
                    '$.peers.tls',
                ),
                (self.node_settings(valid, ca_file=absent), '$.ca_file'),
                (self.node_settings(valid, ca_file=PRIVATE_KEY), '$.ca_file'),
            ]
            for node_settings, error_field in cases:
                with self.subTest(error_field):
                    checked = _tls.check_files(node_settings)
                    self.assertEqual(bool(error_field), checked.is_err())
                    self.assertIn(error_field, checked.err() or '')

    def test_client_settings(self) -> None:
        """Guards against a command that fails midway due to its settings."""
        valid = {'urls': ['https://127.0.0.1:1'], 'token': 'abc'}
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
            for changed_fields, error_field in cases:
                with self.subTest(changed_fields=changed_fields):
                    path.write_text(json.dumps({**valid, **changed_fields}))
                    if not error_field:
                        _ctl_client.load_settings(str(path))
                        continue
                    with self.assertRaises(_ctl_client.CtlError) as caught:
                        _ctl_client.load_settings(str(path))
                    self.assertIn(error_field, str(caught.exception))
                    self.assertEqual(2, caught.exception.code)

    def test_minimum_version(self) -> None:
        """Guards against insecure TLS versions."""
        context = _tls.server_context(
            settings.Listener('', 0, '', CERTIFICATE, PRIVATE_KEY)
        )
        assert context is not None
        self.assertGreaterEqual(
            context.minimum_version, ssl.TLSVersion.TLSv1_2
        )
