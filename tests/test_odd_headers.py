"""Headers and addresses with numbers that other programs got wrong."""

import asyncio
import types
import typing
import unittest

from filbertstep import _decimals
from filbertstep import delivery
from filbertstep import platform
from filbertstep import steering
from filbertstep.entry import _callers
from filbertstep.entry import _requests
from tests import test_entry_requests
from tests import test_forward
from tests import test_forward_faulty

Kind = delivery.ForwardOutcomeKind

ODD_NUMBERS: typing.Final = (
    '\u00b2',
    '\u0663',
    '9' * 400,
    '9' * 5000,
    '-1',
    '1e400',
    '',
)


class TestDecimals(unittest.TestCase):
    """Parsing of whole numbers."""

    def test_only_short_ascii_numbers_are_parsed(self) -> None:
        """Guards against digits that ``int`` rejects or reads otherwise."""
        for text in ODD_NUMBERS:
            with self.subTest(text=text[:10]):
                self.assertIsNone(_decimals.parse_decimal(text))
        self.assertEqual(_decimals.parse_decimal('0012'), 12)
        self.assertIsNone(_decimals.parse_decimal('1234', 3))


class TestLoadHeader(test_entry_requests.RequestTestCase):
    """Servers that report an odd load."""

    async def test_an_odd_load_does_not_lose_the_answer(self) -> None:
        """Guards against an internal error after a server ran a request."""
        for number in ODD_NUMBERS:
            for load in (f'{number},1,3', f'1,{number}'):
                with self.subTest(load=load[:10]):
                    self.build(
                        test_entry_requests.answered(200)._replace(
                            headers=(('X-Server-Load', load),)
                        )
                    )
                    reply = await self.serve()
                    self.assertEqual(reply.status, 200)
                    await asyncio.sleep(0)
                    self.assertEqual(self.requests_in_progress(), 0)
        report = steering.parse_load(' 1 , 2, 3')
        self.assertEqual(report, steering.LoadReport(1, 2))


class TestDeadlineHeader(unittest.TestCase):
    """Callers that send an odd deadline."""

    def test_an_odd_deadline_counts_as_none(self) -> None:
        """Guards against an internal error for a caller's header."""
        wire_format = platform.PlatformAdapter('').wire_format()
        # Any: stands in for classes of which it has the used attributes only.
        listener: typing.Any = types.SimpleNamespace(wire_format=wire_format)
        for number in ODD_NUMBERS:
            with self.subTest(number=number[:10]):
                request: typing.Any = types.SimpleNamespace(
                    headers={wire_format.deadline_header: number},
                    method='GET',
                    raw_path='/a',
                    cookies={},
                )
                call = _callers.CallerListener.parse_call(
                    listener, request, 100.0
                )
                self.assertEqual(
                    call.deadline, 100.0 + _requests.DEFAULT_DEADLINE_S
                )


class TestAffinityCookie(test_entry_requests.RequestTestCase):
    """Callers whose affinity cookie is not UTF-8."""

    async def test_an_odd_cookie_is_no_error(self) -> None:
        """Guards against an internal error for a caller's header.

        The byte 255 in a cookie arrives as a surrogate.
        """
        wire_format = platform.PlatformAdapter('').wire_format()
        # Any: stands in for classes of which it has the used attributes only.
        listener: typing.Any = types.SimpleNamespace(wire_format=wire_format)
        for cookie, expected in (
            ('a\udcff', 'a\\xff'),
            ('\udcc3\udca9', '\u00e9'),
            ('\u00e9', '\u00e9'),
            ('a', 'a'),
        ):
            with self.subTest(cookie=ascii(cookie)):
                request: typing.Any = types.SimpleNamespace(
                    headers={},
                    method='GET',
                    raw_path='/a',
                    cookies={wire_format.affinity_cookie: cookie},
                )
                call = _callers.CallerListener.parse_call(
                    listener, request, 100.0
                )
                self.assertEqual(call.affinity_key, expected)
                self.build()
                reply = await self.serve(affinity_key=call.affinity_key)
                self.assertEqual(reply.status, 200)


class TestForwarder(test_forward_faulty.FaultyCase):
    """Attempts at servers with an odd address or header."""

    async def test_an_odd_keep_alive_does_not_lose_the_answer(self) -> None:
        """Guards against an exception in place of an outcome."""
        for number in ODD_NUMBERS:
            with self.subTest(number=number[:10]):
                response = test_forward.http_response(
                    b'yes', f'Keep-Alive: timeout={number}'
                )
                await self.connect(test_forward.replies(response))
                outcome = await self.send('r1')
                self.assertEqual(outcome.body, b'yes')

    async def test_an_odd_address_was_not_sent_to(self) -> None:
        """Guards against an exception that says nothing of the request."""
        await self.connect(test_forward.replies())
        for address in (
            '127.0.0.1:99999',
            '::1:80',
            'a..b:80',
            '[::1:80',
            f'127.0.0.1:{"9" * 5000}',
        ):
            with self.subTest(address=address[:20]):
                self.address = address
                outcome = await self.send('r1')
                self.assertEqual(outcome.kind, Kind.NOT_SENT)
                self.assertFalse(outcome.sent)
