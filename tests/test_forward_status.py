"""Tests of forwarding to servers whose responses have an invalid status.

MIXED: a failing server sends status 000, and the caller receives a response
that is not the server's.
"""

import asyncio
import collections.abc
import contextlib
import typing
import unittest
from unittest import mock

from aiohttp import client_proto
from aiohttp import http_parser

from filbertstep import _forward
from filbertstep import delivery
from tests import test_forward
from tests import test_forward_endless
from tests import test_forward_faulty

Kind = delivery.ForwardOutcomeKind

# Time limit of an attempt.  One whose response is invalid must end earlier.
TIME_LEFT_S: typing.Final = 5.0
EARLY_S: typing.Final = 2.0

PARSERS: typing.Final = {
    'compiled': http_parser.HttpResponseParser,
    'python': http_parser.HttpResponseParserPy,
}

# How the entry program and filbertstep-node configure their forwarders.
FORWARDERS: typing.Final[
    dict[str, collections.abc.Callable[[], delivery.Forwarder]]
] = {
    'entry': lambda: delivery.Forwarder(
        conventions=test_forward_faulty.CONVENTIONS,
        skip_mismatched_responses=True,
    ),
    'node': delivery.Forwarder,
}

INTERIM: typing.Final = b'HTTP/1.1 103 Early\r\nX-Step: 1\r\n\r\n'

FINAL: typing.Final = test_forward_faulty.response_with_length('r2', b'ok')

# What stands for the status, with the space before it.
INVALID_STATUSES: typing.Final = {
    '000': b' 000',
    '001': b' 001',
    '099': b' 099',
    '600': b' 600',
    '999': b' 999',
    'one digit': b' 2',
    'two digits': b' 20',
    'four digits': b' 2000',
    'four digits with a zero': b' 0200',
    'plus sign': b' +200',
    'minus sign': b' -200',
    'sign and two digits': b' +20',
    'negative one': b' -1',
    'letters': b' abc',
    'a letter among digits': b' 2x0',
    'hexadecimal': b' 0xC8',
    'exponent': b' 2e2',
    'underscore': b' 2_0',
    'digits apart': b' 20 0',
    'reason without a space': b' 200OK',
    'empty': b' ',
    'missing': b'',
    'superscript digit': ' ²00'.encode(),
    'fullwidth digits': ' ２００'.encode(),
    'Arabic digits': ' ٢٠٠'.encode(),
}


def response(status: bytes, *headers: str, body: bytes = b'no') -> bytes:
    """Return a response to r2; ``status`` follows the version."""
    lines = [
        'X-Request-Id: r2',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    head = '\r\n'.join([*lines, '', '']).encode()
    return b'HTTP/1.1' + status + b' Reason\r\n' + head + body


UPGRADE: typing.Final = (
    b'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n'
    b'Upgrade: other\r\n\r\n'
)

# Responses of which no part may reach a caller.
INVALID_RESPONSES: typing.Final = {
    **{
        f'status {name}': response(status)
        for name, status in INVALID_STATUSES.items()
    },
    '000 without a reason': (
        b'HTTP/1.1 000\r\nX-Request-Id: r2\r\nContent-Length: 0\r\n\r\n'
    ),
    '000 without other headers': b'HTTP/1.1 000 Reason\r\n\r\n',
    '000 that says that the request was not run': response(
        b' 000', 'X-Not-Executed: 1', 'X-Not-Run: true'
    ),
    '600 that says that the request was not run': response(
        b' 600', 'X-Not-Executed: 1', 'X-Not-Run: true'
    ),
    '000 before a valid response': response(b' 000') + FINAL,
    '000 after an interim response': INTERIM + response(b' 000'),
    '101': UPGRADE,
    '101 with a length': (
        b'HTTP/1.1 101 Switching Protocols\r\nContent-Length: 0\r\n\r\n'
    ),
    '101 with bytes of another protocol': UPGRADE + b'\x00other',
    '101 before a valid response': UPGRADE + FINAL,
    '101 after an interim response': INTERIM + UPGRADE,
    'interim response with a length': (
        b'HTTP/1.1 103 Early\r\nContent-Length: 2\r\n\r\n' + FINAL
    ),
    'interim response with a body': (
        b'HTTP/1.1 103 Early\r\nContent-Length: 2\r\n\r\nno' + FINAL
    ),
    'interim response whose body looks like a response': (
        b'HTTP/1.1 103 Early\r\nContent-Length: %d\r\n\r\n' % len(FINAL)
        + test_forward_faulty.response_with_length('r2', b'no')
        + FINAL
    ),
    'interim response with a chunked body': (
        b'HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2\r\nno\r\n0\r\n\r\n' + FINAL
    ),
    'more interim responses than the limit': (
        INTERIM * (_forward.MAX_INTERIM_RESPONSES + 1) + FINAL
    ),
}

# Responses that are valid although one of the checks looks at them.
VALID_RESPONSES: typing.Final = {
    'one interim response': INTERIM + FINAL,
    'interim responses of several kinds': (
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n'
        b'HTTP/1.1 199 Other\r\n\r\n' + INTERIM + FINAL
    ),
    'as many interim responses as the limit': (
        INTERIM * _forward.MAX_INTERIM_RESPONSES + FINAL
    ),
    'interim response that announces an empty body': (
        b'HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n' + FINAL
    ),
    'no reason': FINAL.replace(b'200 OK', b'200'),
    'empty reason': FINAL.replace(b'200 OK', b'200 '),
    'highest status': FINAL.replace(b'200 OK', b'599 Other'),
}


def replies_from_second(sent: bytes) -> test_forward.Replier:
    """Return a replier that answers each id but r2 regularly."""

    async def reply(
        server: test_forward.RawServer,
        writer: asyncio.StreamWriter,
        request: bytes,
    ) -> None:
        request_id = test_forward.header(request, 'X-Request-Id') or ''
        if request_id == 'r2':
            writer.write(sent)
            return
        writer.write(
            test_forward_faulty.response_with_length(
                request_id, request_id.encode()
            )
        )

    return reply


def replies_by_bytes(sent: bytes) -> test_forward.Replier:
    """Return a replier that writes one byte at a time."""

    async def reply(
        server: test_forward.RawServer,
        writer: asyncio.StreamWriter,
        request: bytes,
    ) -> None:
        for position in range(len(sent)):
            writer.write(sent[position : position + 1])
            await asyncio.sleep(0.001)

    return reply


class StatusCase(unittest.IsolatedAsyncioTestCase):
    """Sends requests to a server that answers r2 in a way of its own."""

    @contextlib.asynccontextmanager
    async def connected(
        self,
        reply: test_forward.Replier,
        create_forwarder: collections.abc.Callable[[], delivery.Forwarder],
    ) -> collections.abc.AsyncIterator[None]:
        """Run a server and a forwarder."""
        self.server = test_forward.RawServer(reply)
        self.address = await self.server.start()
        self.forwarder = create_forwarder()
        try:
            yield
        finally:
            await self.forwarder.close()
            await self.server.stop()

    async def send(
        self, request_id: str, method: str = 'POST'
    ) -> delivery.ForwardOutcome:
        """Send a request."""
        attempt = delivery.Attempt(
            self.address, method, '/a', '', (), b'', request_id, TIME_LEFT_S
        )
        return await self.forwarder.send(attempt, lambda: None)

    def check_rejected(self, outcome: delivery.ForwardOutcome) -> None:
        """Check that an attempt failed and that its run is unknown.

        MISMATCHED is a failure of the server without a strike for the request.
        """
        self.assertEqual(outcome.kind, Kind.MISMATCHED)
        self.assertTrue(outcome.sent)
        self.assertEqual(outcome.status, 0)
        self.assertEqual(outcome.headers, ())
        self.assertEqual(outcome.body, b'')
        self.assertIsNone(outcome.stream)


class TestInvalidStatus(StatusCase):
    """Responses whose status line or interim responses are invalid."""

    async def test_the_response_reaches_no_caller(self) -> None:
        """Guards against a caller that gets status 0, 600 or 101.

        Also guards against a quarantine of requests that crash no server, and
        against the use of the connection for another request.
        """
        for parser_name, parser in PARSERS.items():
            for forwarder_name, create_forwarder in FORWARDERS.items():
                for name, sent in INVALID_RESPONSES.items():
                    for kept in (False, True):
                        with (
                            self.subTest(
                                name,
                                parser=parser_name,
                                forwarder=forwarder_name,
                                kept=kept,
                            ),
                            mock.patch.object(
                                client_proto, 'HttpResponseParser', parser
                            ),
                        ):
                            await self.check_invalid(
                                sent, create_forwarder, kept
                            )

    async def check_invalid(
        self,
        sent: bytes,
        create_forwarder: collections.abc.Callable[[], delivery.Forwarder],
        kept: bool,
    ) -> None:
        """Send a request that gets these bytes, and one after it."""
        async with self.connected(replies_from_second(sent), create_forwarder):
            if kept:
                first = await self.send('r1')
                self.assertEqual(first.body, b'r1')
            async with asyncio.timeout(EARLY_S):
                second = await self.send('r2')
            self.check_rejected(second)
            self.assertEqual(self.server.connections, 1)
            async with asyncio.timeout(EARLY_S):
                await self.server.closed.wait()
            third = await self.send('r3')
            self.assertEqual(third.kind, Kind.ANSWERED)
            self.assertEqual(third.body, b'r3')
            self.assertEqual(self.server.connections, 2)

    async def test_a_response_in_parts_reaches_no_caller(self) -> None:
        """Guards against a check that needs the head in a single read."""
        for status in (b' 000', b' 2000', b' abc', b''):
            for name, create_forwarder in FORWARDERS.items():
                with self.subTest(name, status=status):
                    reply = replies_by_bytes(response(status))
                    async with self.connected(reply, create_forwarder):
                        self.check_rejected(await self.send('r2'))

    async def test_responses_without_a_body_are_checked(self) -> None:
        """Guards against a check that only bodies lead to."""
        for method in ('HEAD', 'GET'):
            for status in (b' 000', b' 600'):
                with self.subTest(method, status=status):
                    async with self.connected(
                        replies_from_second(response(status, body=b'')),
                        FORWARDERS['entry'],
                    ):
                        self.check_rejected(await self.send('r2', method))

    async def test_valid_responses_still_arrive(self) -> None:
        """Guards against rejecting interim responses or unusual statuses."""
        for parser_name, parser in PARSERS.items():
            for forwarder_name, create_forwarder in FORWARDERS.items():
                for name, sent in VALID_RESPONSES.items():
                    with (
                        self.subTest(
                            name, parser=parser_name, forwarder=forwarder_name
                        ),
                        mock.patch.object(
                            client_proto, 'HttpResponseParser', parser
                        ),
                    ):
                        async with self.connected(
                            replies_from_second(sent), create_forwarder
                        ):
                            outcomes = [
                                await self.send(request_id)
                                for request_id in ('r1', 'r2', 'r3')
                            ]
                            self.assertEqual(
                                [one.body for one in outcomes],
                                [b'r1', b'ok', b'r3'],
                            )
                            self.assertEqual(self.server.connections, 1)


class TestInvalidResponsesWithoutEnd(StatusCase):
    """Servers that do not stop sending."""

    async def test_the_attempt_ends_early(self) -> None:
        """Guards against reading up to the deadline what is no response."""
        for name, first, repeated in (
            ('interim responses', b'', INTERIM),
            ('responses with status 000', b'', response(b' 000')),
            ('a body with status 000', b'HTTP/1.1 000 A\r\n\r\n', b'a'),
            ('bytes after a 101', UPGRADE, b'a'),
            (
                'an interim body',
                b'HTTP/1.1 103 Early\r\nContent-Length: 9999999\r\n\r\n',
                b'a',
            ),
            (
                'a chunked interim body',
                b'HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n',
                b'1\r\na\r\n',
            ),
        ):
            for forwarder_name, create_forwarder in FORWARDERS.items():
                with self.subTest(name, forwarder=forwarder_name):
                    reply = test_forward_endless.replies_without_end(
                        first, repeated
                    )
                    async with self.connected(reply, create_forwarder):
                        async with asyncio.timeout(EARLY_S):
                            outcome = await self.send('r2')
                            await self.server.closed.wait()
                        self.check_rejected(outcome)


class TestInvalidStatusAfterResponse(StatusCase):
    """Servers that add a response with an invalid status to a valid one."""

    async def test_the_connection_is_not_used_again(self) -> None:
        """Guards against an invalid response that goes to the next caller."""
        for name, extra in (
            ('000', response(b' 000')),
            ('four digits', response(b' 2000')),
            ('101', UPGRADE),
        ):
            for delay_s in (0.0, 0.02):
                with self.subTest(name, delay_s=delay_s):
                    await self.check_extra(extra, delay_s)

    async def check_extra(self, extra: bytes, delay_s: float) -> None:
        """Send requests to a server that adds bytes to one response."""

        async def reply(
            server: test_forward.RawServer,
            writer: asyncio.StreamWriter,
            request: bytes,
        ) -> None:
            request_id = test_forward.header(request, 'X-Request-Id') or ''
            writer.write(
                test_forward_faulty.response_with_length(
                    request_id, request_id.encode()
                )
                + (extra if not delay_s and request_id == 'r1' else b'')
            )
            if delay_s and request_id == 'r1':
                await asyncio.sleep(delay_s)
                writer.write(extra)

        async with self.connected(reply, FORWARDERS['entry']):
            first = await self.send('r1')
            if first.kind is Kind.ANSWERED:
                self.assertEqual(first.body, b'r1')
            else:
                self.check_rejected(first)
            await asyncio.sleep(2 * delay_s)
            second = await self.send('r2')
            self.assertEqual(second.kind, Kind.ANSWERED)
            self.assertEqual(second.body, b'r2')
            self.assertEqual(self.server.connections, 2)
