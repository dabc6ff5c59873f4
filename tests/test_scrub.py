"""Tests of header filtering and of keeping keys from backend servers."""

import typing
import unittest
import urllib.parse

import hypothesis
from hypothesis import strategies
import result

from filbertstep import delivery
from filbertstep import errors

KEY = 'mJ4x+Tq/0aVw9c-Zr_7LdK.e2s~Yb6Hn8uPfGiQo='
CREDENTIALS = delivery.Credentials(KEY, delivery.key_digest(KEY))
OTHER = 'A' * 43
ErrorKind = errors.ErrorKind


def encode_all(text: str, times: int = 1) -> str:
    """Return a text with every character percent-encoded, repeatedly."""
    for _ in range(times):
        text = ''.join(f'%{ord(character):02x}' for character in text)
    return text


ENCODED_FORMS = {
    'raw': KEY,
    'quoted': urllib.parse.quote(KEY, safe=''),
    'all encoded': encode_all(KEY),
    'encoded upper case': encode_all(KEY).upper(),
    'encoded twice': urllib.parse.quote(
        urllib.parse.quote(KEY, safe=''), safe=''
    ),
    'percent sign encoded': encode_all(KEY).replace('%', '%25'),
    'partly encoded': encode_all(KEY[:9]) + KEY[9:],
    'JSON escapes': ''.join(f'\\u{ord(one):04X}' for one in KEY),
    'JSON slash': KEY.replace('/', '\\/'),
}


class KeyCase(typing.NamedTuple):
    """Headers, and the key or failure expected from them."""

    headers: list[tuple[str, str]]
    expected: str | errors.ErrorKind | None


KEY_CASES = [
    KeyCase([], None),
    KeyCase([('Authorization', f'Bearer {KEY}')], KEY),
    KeyCase([('authorization', f'bearer  {KEY} ')], KEY),
    KeyCase([('X-Api-Key', KEY)], KEY),
    KeyCase([('X-Api-Key', KEY), ('Authorization', f'Bearer {KEY}')], KEY),
    KeyCase([('X-Api-Key', KEY), ('X-API-KEY', OTHER)], ErrorKind.BAD_REQUEST),
    KeyCase([('Authorization', f'Basic {KEY}')], ErrorKind.UNAUTHORIZED),
    KeyCase([('Authorization', 'Bearer')], ErrorKind.UNAUTHORIZED),
    KeyCase([('Authorization', 'Bearer short')], ErrorKind.UNAUTHORIZED),
    KeyCase([('X-Api-Key', 'A' * 257)], ErrorKind.UNAUTHORIZED),
    KeyCase([('X-Api-Key', 'A' * 30 + ' b')], ErrorKind.UNAUTHORIZED),
]


def scrubbed(
    path: str = '/book',
    query: str = '',
    headers: list[tuple[str, str]] | None = None,
    body: bytes = b'',
) -> result.Result[delivery.SanitizedHeaders, errors.Failure]:
    """Sanitize a request that was sent with ``KEY``."""
    given = headers if headers is not None else []
    return delivery.sanitize_request(CREDENTIALS, path, query, given, body)


class TestExtractKey(unittest.TestCase):
    """A request has at most one key, in either of two headers."""

    def test_cases(self) -> None:
        """Guards against a key that is missed or read incorrectly."""
        for case in KEY_CASES:
            with self.subTest(headers=case.headers):
                got = delivery.extract_key(case.headers)
                if isinstance(case.expected, errors.ErrorKind):
                    self.assertIs(case.expected, got.unwrap_err().kind)
                else:
                    self.assertEqual(case.expected, got.unwrap().key)

    def test_digest_is_sha256_in_hex(self) -> None:
        """Guards against digests other than those in the configuration."""
        self.assertEqual(
            'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad',
            delivery.key_digest('abc'),
        )

    def test_key_is_not_in_the_repr(self) -> None:
        """Guards against a key in a log line or traceback."""
        self.assertNotIn(KEY, repr(CREDENTIALS))


class TestSanitizeRequest(unittest.TestCase):
    """Places where a key can occur, and what happens to the request."""

    def test_key_in_path_query_or_body_is_refused(self) -> None:
        """Guards against a key that reaches a backend server."""
        for name, form in ENCODED_FORMS.items():
            for place, request in {
                'path': scrubbed(path=f'/book/{form}/x'),
                'query': scrubbed(query=f'a=b&token={form}&c=d'),
                'body': scrubbed(body=f'{{"key": "{form}"}}'.encode()),
            }.items():
                with self.subTest(form=name, place=place):
                    failure = request.unwrap_err()
                    self.assertIs(ErrorKind.KEY_IN_REQUEST, failure.kind)
                    self.assertNotIn(KEY, failure.message)

    def test_key_in_allowed_header_is_removed(self) -> None:
        """Guards against a key in a header that is passed on."""
        for name, form in ENCODED_FORMS.items():
            with self.subTest(form=name):
                headers = [
                    ('Accept', 'text/plain'),
                    ('User-Agent', f'cafe {form}'),
                    ('Cookie', f'a=1; session={form}; b=2'),
                ]
                forwarded = scrubbed(headers=headers).unwrap().headers
                self.assertEqual(
                    (('Accept', 'text/plain'), ('Cookie', 'a=1; b=2')),
                    forwarded,
                )

    def test_only_allowed_headers_pass(self) -> None:
        """Guards against secrets in headers that were not considered."""
        headers = [
            ('Authorization', f'Bearer {KEY}'),
            ('X-Api-Key', KEY),
            ('Proxy-Authorization', 'x'),
            ('X-Secret', 'x'),
            ('X-Deadline-Ms', '99999'),
            ('X-Request-Id', 'x'),
            ('Host', 'x'),
            ('Connection', 'close, Accept'),
            ('Accept', 'a/b'),
            ('Content-Type', 'x/y'),
        ]
        forwarded = scrubbed(headers=headers).unwrap().headers
        self.assertEqual((('Content-Type', 'x/y'),), forwarded)

    def test_compressed_body_is_refused(self) -> None:
        """Guards against a key inside a compressed body."""
        for coding, refused in [('gzip', True), ('identity', False)]:
            with self.subTest(coding=coding):
                got = scrubbed(headers=[('Content-Encoding', coding)])
                self.assertEqual(refused, isinstance(got, result.Err))

    def test_other_requests_pass(self) -> None:
        """Guards against refusing requests that do not contain the key."""
        for body in (b'', KEY[:-1].encode(), b'%zz\\u', b'\xff%'):
            with self.subTest(body=body):
                got = scrubbed('/a%20b', 'q=%2F%25', [], body)
                self.assertIsInstance(got, result.Ok)

    def test_request_without_a_key(self) -> None:
        """Guards against open routes that require a key."""
        no_credentials = delivery.Credentials(None, None)
        got = delivery.sanitize_request(
            no_credentials, '/a', '', [('Accept', 'x/y')], b''
        )
        self.assertEqual((('Accept', 'x/y'),), got.unwrap().headers)


def encoded_key(choices: int) -> str:
    """Return the key, each character encoded zero to three times.

    ``choices`` holds one base-7 digit for each character.
    """
    parts = []
    for character in KEY:
        choices, choice = divmod(choices, 7)
        depth = (choice + 1) // 2
        code = f'{ord(character):02x}'
        if choice % 2:
            code = code.upper()
        parts.append(
            character if depth == 0 else '%' + '25' * (depth - 1) + code
        )
    return ''.join(parts)


ENCODED_KEYS = strategies.integers(0, 7 ** len(KEY) - 1).map(encoded_key)
PLAIN = strategies.text('ab%=&; /"\\u0259', max_size=12)
WITH_KEY = strategies.tuples(
    PLAIN, strategies.one_of(strategies.just(''), ENCODED_KEYS), PLAIN
).map(''.join)
HEADER_NAMES = strategies.sampled_from(
    [
        'Accept',
        'Authorization',
        'Connection',
        'Cookie',
        'Content-Type',
        'Origin',
        'Range',
        'traceparent',
        'User-Agent',
        'X-Api-Key',
        'X-Other',
    ]
)


def decoded_forms(text: str) -> typing.Iterator[str]:
    """Yield a text and the results of repeated percent-decoding."""
    for _ in range(6):
        yield text
        text = urllib.parse.unquote(text, errors='replace')


class TestFuzz(unittest.TestCase):
    """No output towards a backend server contains the key."""

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=400,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        WITH_KEY,
        WITH_KEY,
        strategies.lists(strategies.tuples(HEADER_NAMES, WITH_KEY)),
        WITH_KEY,
    )
    def test_no_output_contains_the_key(
        self,
        path: str,
        query: str,
        headers: list[tuple[str, str]],
        body: str,
    ) -> None:
        """Guards against a place or an encoding that nobody thought of."""
        got = scrubbed(path, query, headers, body.encode())
        if isinstance(got, result.Err):
            return
        sent = [path, query, body]
        sent.extend(value for _, value in got.ok_value.headers)
        for text in sent:
            for form in decoded_forms(text):
                self.assertNotIn(KEY, form)


class TestResponseHeaders(unittest.TestCase):
    """Response headers that are passed on to callers."""

    def test_denied_headers_are_dropped(self) -> None:
        """Guards against a backend server that sets this system's headers."""
        headers = [
            ('Content-Type', 'x/y'),
            ('Set-Cookie', 'a=1'),
            ('Set-Cookie', 'b=2'),
            ('Connection', 'X-Hop'),
            ('X-Hop', '1'),
            ('Transfer-Encoding', 'chunked'),
            ('Content-Length', '5'),
            ('X-Ran', 'no'),
            ('X-Not-Run', 'true'),
            ('X-Error-Kind', 'not_run'),
            ('X-Request-Id', 'x'),
            ('endpoint-load-metrics', 'JSON {}'),
        ]
        self.assertEqual(
            (
                ('Content-Type', 'x/y'),
                ('Set-Cookie', 'a=1'),
                ('Set-Cookie', 'b=2'),
            ),
            delivery.strip_response_headers(headers),
        )
