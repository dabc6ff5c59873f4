"""Tests for shared HTTP server functions and for calls between peers."""

import asyncio
import typing
import unittest

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import result

from filbertstep import _http_peers
from filbertstep import _peer_server
from filbertstep import _web
from filbertstep import errors
from filbertstep import metrics
from filbertstep import transport

ErrorKind = errors.ErrorKind
TOKEN = 'token-of-the-peers'


class TestErrorResponse(unittest.TestCase):
    """HTTP responses for failures."""

    def test_every_kind(self) -> None:
        """Each response must match the row of ``errors.ANSWERS``."""
        for kind, row in errors.ANSWERS.items():
            with self.subTest(kind):
                response = _web.error_response(errors.Failure(kind, 'why'))
                self.assertEqual(row.status, response.status)
                self.assertEqual(kind.value, response.headers['X-Error-Kind'])
                self.assertEqual(row.ran.value, response.headers['X-Ran'])
                self.assertNotIn('Retry-After', response.headers)
        self.assertEqual(set(ErrorKind), set(errors.ANSWERS))

    def test_retry_after_is_rounded_up(self) -> None:
        """``Retry-After`` must not let a caller retry too early."""
        for seconds, text in {
            0.05: '1', 1.0: '1', 1.01: '2', 7.5: '8', 600.0: '600',
        }.items():  # fmt: skip
            failure = errors.Failure(ErrorKind.OVER_RATE, 'why', seconds)
            response = _web.error_response(failure)
            self.assertEqual(text, response.headers['Retry-After'])

    def test_ran_can_be_overridden(self) -> None:
        """Body and header must say the same about whether the request ran."""
        response = _web.error_response(
            errors.Failure(ErrorKind.OVER_RATE, 'why'),
            None,
            errors.Ran.UNKNOWN,
        )
        self.assertEqual('unknown', response.headers['X-Ran'])
        assert isinstance(response.body, bytes)
        self.assertIn(b'"ran":"unknown"', response.body)


class WebTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class: a web application on the loopback interface."""

    async def serve(
        self, app: web.Application
    ) -> test_utils.TestClient[web.Request, web.Application]:
        """Serve an application until the test ends."""
        client = test_utils.TestClient(test_utils.TestServer(app))
        await client.start_server()
        self.addAsyncCleanup(client.close)
        return client


class TestMiddlewares(WebTestCase):
    """Bearer tokens, and exceptions in handlers."""

    async def test_tokens(self) -> None:
        """Requests without an exact bearer token must be refused."""
        app = web.Application(
            middlewares=[
                _web.error_middleware,
                _web.require_bearer_token(['a' * 16]),
            ]
        )

        async def handle(request: web.Request) -> web.Response:
            return _web.json_response({})

        app.router.add_get('/', handle)
        client = await self.serve(app)
        for given, status in {
            None: 401,
            '': 401,
            'Bearer': 401,
            'Bearer ' + 'a' * 15: 401,
            'Bearer ' + 'a' * 17: 401,
            'Basic ' + 'a' * 16: 401,
            'Bearer \u00e9' + 'a' * 16: 401,
            'Bearer ' + 'a' * 16: 200,
        }.items():
            with self.subTest(given):
                headers = {} if given is None else {'Authorization': given}
                response = await client.get('/', headers=headers)
                self.assertEqual(status, response.status)

    async def test_exceptions(self) -> None:
        """A response must not contain the text of an exception."""
        app = web.Application(
            middlewares=[_web.error_middleware], client_max_size=10
        )

        async def fail(request: web.Request) -> web.Response:
            raise ValueError('secret')

        async def read(request: web.Request) -> web.Response:
            await request.read()
            return _web.json_response({})

        app.router.add_get('/fail', fail)
        app.router.add_post('/read', read)
        client = await self.serve(app)
        cases: list[tuple[str, str, bytes | None, ErrorKind]] = [
            ('GET', '/fail', None, ErrorKind.INTERNAL),
            ('GET', '/nowhere', None, ErrorKind.NOT_FOUND),
            ('DELETE', '/fail', None, ErrorKind.BAD_REQUEST),
            ('POST', '/read', b'x' * 11, ErrorKind.BODY_TOO_LARGE),
        ]
        for method, path, body, kind in cases:
            with self.subTest(path=path, method=method):
                response = await client.request(method, path, data=body)
                self.assertEqual(errors.ANSWERS[kind].status, response.status)
                self.assertEqual(kind.value, response.headers['X-Error-Kind'])
                self.assertNotIn('secret', await response.text())


class PeerTestCase(WebTestCase):
    """Base class: a peers' listener and a client that calls it."""

    async def asyncSetUp(self) -> None:
        """Start the listener with the handlers of this class."""
        self.fixed_reply: result.Result[transport.Message, errors.Failure]
        self.fixed_reply = result.Ok({'a': 1})
        self.calls: list[transport.Message] = []
        self.reply_delay_s = 0.0
        server = _peer_server.PeerServer(
            {'/peer/echo': self.handle, '/peer/fail': self.raise_error}
        )
        self.http = await self.serve(server.make_application(TOKEN))
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.url: str | None = str(self.http.make_url('')).rstrip('/')
        self.counters = metrics.Metrics()

    async def handle(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Record the call and return ``fixed_reply``."""
        self.calls.append(message)
        await asyncio.sleep(self.reply_delay_s)
        return self.fixed_reply

    async def raise_error(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Raise an exception."""
        raise ValueError

    async def call(
        self, path: str = '/peer/echo', token: str = TOKEN
    ) -> result.Result[transport.Message, errors.Failure]:
        """Call the listener as a peer does."""
        peers = _http_peers.HttpPeers(
            self.session, token, lambda vm: self.url, None, self.counters
        )
        return await peers.call('vm-2', path, {'x': [1]}, 0.3)

    async def kind(
        self, path: str = '/peer/echo', token: str = TOKEN
    ) -> ErrorKind:
        """Return the error kind of a call that must fail."""
        return (await self.call(path, token)).unwrap_err().kind


class TestPeers(PeerTestCase):
    """Messages and failures between peers."""

    async def test_message(self) -> None:
        """Messages must arrive unchanged."""
        self.assertEqual({'a': 1}, (await self.call()).unwrap())
        self.assertEqual([{'x': [1]}], self.calls)

    async def test_failures_arrive_unchanged(self) -> None:
        """A failure must arrive with its kind, message and retry time."""
        for kind in ErrorKind:
            for seconds in (None, 1.5):
                with self.subTest(kind=kind, seconds=seconds):
                    failure = errors.Failure(kind, 'why', seconds)
                    self.fixed_reply = result.Err(failure)
                    found = (await self.call()).unwrap_err()
                    self.assertEqual(failure, found)

    async def test_calls_without_a_readable_answer(self) -> None:
        """A call that may have had an effect must not be 'not run'."""
        self.assertEqual(
            ErrorKind.OUTCOME_UNKNOWN, await self.kind('/peer/fail')
        )
        self.reply_delay_s = 5.0
        self.assertEqual(ErrorKind.OUTCOME_UNKNOWN, await self.kind())

    async def test_calls_that_were_not_sent(self) -> None:
        """A call that could not connect must be 'not run', not 'unknown'."""
        await self.http.server.close()
        self.assertEqual(ErrorKind.NOT_RUN, await self.kind())
        self.url = None
        self.assertEqual(ErrorKind.NOT_RUN, await self.kind())

    async def test_unknown_message(self) -> None:
        """A peer that does not know a message must refuse it."""
        self.assertEqual(ErrorKind.NOT_FOUND, await self.kind('/peer/other'))

    async def test_wrong_token(self) -> None:
        """A call without the peers' token must be refused."""
        found = await self.call(token='another')
        self.assertTrue(found.is_err())
        self.assertEqual([], self.calls)

    async def test_bodies_that_are_no_messages(self) -> None:
        """A handler must only be called with a JSON object."""
        headers = {'Authorization': f'Bearer {TOKEN}'}
        for body in (b'', b'[]', b'1', b'{', b'\xff'):
            response = await self.http.post(
                '/peer/echo', data=body, headers=headers
            )
            self.assertEqual(400, response.status)
            found = _http_peers.decode_response(400, await response.read())
            self.assertEqual(ErrorKind.BAD_REQUEST, found.unwrap_err().kind)
        self.assertEqual([], self.calls)


class TestReadAnswer(unittest.TestCase):
    """Responses that no peer of this version sends."""

    CASES: typing.Final[dict[tuple[int, bytes], ErrorKind]] = {
        (200, b''): ErrorKind.OUTCOME_UNKNOWN,
        (200, b'[]'): ErrorKind.OUTCOME_UNKNOWN,
        (502, b'<html>'): ErrorKind.OUTCOME_UNKNOWN,
        (500, b'{"kind":"not_run"}'): ErrorKind.OUTCOME_UNKNOWN,
        (
            500,
            b'{"kind":"new","message":"","ran":"no","retry_after_s":null}',
        ): ErrorKind.INTERNAL,
    }

    def test_invalid_responses(self) -> None:
        """An invalid response must not be taken for a refusal."""
        for (status, body), kind in self.CASES.items():
            with self.subTest(body):
                found = _http_peers.decode_response(status, body)
                self.assertEqual(kind, found.unwrap_err().kind)
