"""Filters headers, and keeps API keys away from backend servers.

A backend server must never see a caller's API key, wherever the caller put it.
Request headers pass by an allow-list.  If an allowed header or a cookie
contains the key, that header or cookie is removed.  A key in the path, query
or body cannot be removed without changing the request, so the request is
refused.
"""

import collections.abc
import functools
import hashlib
import re
import typing

import result

from filbertstep import errors

Headers = collections.abc.Sequence[tuple[str, str]]
"""Names and values in the order in which they were received."""

# Keys are 256-bit random values; 22 characters of base64 hold 128 bits.  A
# shorter key could occur in a request body by chance.
KEY_REGEX: typing.Final = re.compile(r'[A-Za-z0-9._~+/=-]{22,256}')

# Any other header may carry a secret of the caller or of this system.
ALLOWED_REQUEST_HEADERS: typing.Final = frozenset(
    {
        'accept',
        'accept-charset',
        'accept-encoding',
        'accept-language',
        'cache-control',
        'content-language',
        'content-type',
        'cookie',
        'if-match',
        'if-modified-since',
        'if-none-match',
        'if-range',
        'if-unmodified-since',
        'origin',
        'prefer',
        'range',
        'traceparent',
        'tracestate',
        'user-agent',
    }
)

# Headers that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS: typing.Final = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)

# Headers that only this system may set, or that would tell callers about
# individual backend servers.
DENIED_RESPONSE_HEADERS: typing.Final = frozenset(
    {
        'alt-svc',
        'content-length',
        'endpoint-load-metrics',
        'endpoint-load-metrics-bin',
        'server',
        'x-deadline-ms',
        'x-draining',
        'x-error-kind',
        'x-grant',
        'x-not-run',
        'x-ran',
        'x-request-id',
    }
)


class Credentials(typing.NamedTuple):
    """A caller's API key and its digest; both None without a key."""

    key: str | None
    digest: str | None

    def __repr__(self) -> str:
        """Return a text without the key, which must not get into logs."""
        return f'Credentials(key=..., digest={self.digest!r})'


class SanitizedHeaders(typing.NamedTuple):
    """Request headers that may be sent to a backend server."""

    headers: tuple[tuple[str, str], ...]


def key_digest(key: str) -> str:
    """Return the SHA-256 digest of a key in lower-case hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def extract_key(
    headers: Headers,
) -> result.Result[Credentials, errors.Failure]:
    """Return the key from ``Authorization: Bearer`` or ``X-Api-Key``.

    Failures: ``bad_request`` for two different keys; ``unauthorized`` for
    another authorization scheme or text that cannot be a key.
    """
    keys: set[str] = set()
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == 'authorization':
            scheme, _, key = value.strip().partition(' ')
            if scheme.lower() != 'bearer':
                return unauthorized()
            keys.add(key.strip())
        elif lower_name == 'x-api-key':
            keys.add(value.strip())
    if not keys:
        return result.Ok(Credentials(None, None))
    if len(keys) > 1:
        return result.Err(
            errors.Failure(
                errors.ErrorKind.BAD_REQUEST, 'two different keys were sent'
            )
        )
    key = keys.pop()
    if KEY_REGEX.fullmatch(key) is None:
        return unauthorized()
    return result.Ok(Credentials(key, key_digest(key)))


def unauthorized() -> result.Err[errors.Failure]:
    """Return the failure for credentials that are not a valid key."""
    return result.Err(
        errors.Failure(
            errors.ErrorKind.UNAUTHORIZED,
            'a key is expected as a bearer token or in X-Api-Key',
        )
    )


@functools.lru_cache(maxsize=1024)
def key_pattern(key: str) -> re.Pattern[bytes]:
    r"""Return a pattern for a key in which any character may be encoded.

    Each character matches itself, its percent-encoding, which may be repeated
    (``%2541``), and its escape in JSON (``\u0041``, ``\/``).
    """
    parts = []
    for character in key:
        code = f'{ord(character):02x}'
        encodings = [
            re.escape(character),
            f'%(?:25)*{code}',
            f'\\\\u00{code}',
        ]
        if character == '/':
            encodings.append(r'\\/')
        # Hex digits match in either case, characters of the key do not.
        encodings[1:3] = [f'(?i:{form})' for form in encodings[1:3]]
        parts.append(f'(?:{"|".join(encodings)})')
    return re.compile(''.join(parts).encode('ascii'))


def contains_key(key: str, data: bytes) -> bool:
    """Tell whether data contains a key, plain or encoded."""
    if key.encode('ascii') in data:
        return True
    # Most bodies contain neither character.  The plain search above is several
    # times faster than the pattern below.
    if b'%' not in data and b'\\' not in data:
        return False
    return key_pattern(key).search(data) is not None


def sanitize_request(
    credentials: Credentials,
    path: str,
    query: str,
    headers: Headers,
    body: bytes,
) -> result.Result[SanitizedHeaders, errors.Failure]:
    """Return the headers for the backend server, or refuse the request.

    ``path`` and ``query`` are as received, still percent-encoded.  Failures:
    ``key_in_request``; ``bad_request`` for a compressed body, which cannot be
    searched for a key.
    """
    if any(
        name.lower() == 'content-encoding'
        and value.strip().lower() not in ('', 'identity')
        for name, value in headers
    ):
        return result.Err(
            errors.Failure(
                errors.ErrorKind.BAD_REQUEST,
                'compressed request bodies are not accepted',
            )
        )
    key = credentials.key
    if key is not None:
        places = {
            'path': path.encode(errors='surrogateescape'),
            'query': query.encode(errors='surrogateescape'),
            'body': body,
        }
        for place, data in places.items():
            if contains_key(key, data):
                return result.Err(
                    errors.Failure(
                        errors.ErrorKind.KEY_IN_REQUEST,
                        f'the {place} of the request contains the key',
                    )
                )
    connection_specific = connection_listed_headers(headers)
    forwarded = []
    for name, value in headers:
        lower_name = name.lower()
        if (
            lower_name not in ALLOWED_REQUEST_HEADERS
            or lower_name in connection_specific
        ):
            continue
        cleaned: str | None = value
        if key is not None:
            cleaned = remove_key(key, lower_name, value)
        if cleaned is not None:
            forwarded.append((name, cleaned))
    return result.Ok(SanitizedHeaders(tuple(forwarded)))


def remove_key(key: str, name: str, value: str) -> str | None:
    """Return a header's value without the key, or None to drop the header.

    ``name`` is in lower case.  Of a ``cookie`` header, only the cookies that
    contain the key are removed; other headers are dropped.
    """
    if name != 'cookie':
        return None if header_contains_key(key, value) else value
    pairs = [
        pair.strip()
        for pair in value.split(';')
        if pair.strip() and not header_contains_key(key, pair)
    ]
    cleaned = '; '.join(pairs)
    if not cleaned or header_contains_key(key, cleaned):
        return None
    return cleaned


def header_contains_key(key: str, value: str) -> bool:
    """Tell whether a header's value contains a key, plain or encoded."""
    return contains_key(key, value.encode(errors='surrogateescape'))


def connection_listed_headers(headers: Headers) -> frozenset[str]:
    """Return the header names listed in ``Connection``, in lower case."""
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for token in value.split(',')
        if token.strip()
    )


def strip_response_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """Return the response headers that may be passed on to the caller."""
    dropped = (
        HOP_BY_HOP_HEADERS
        | DENIED_RESPONSE_HEADERS
        | connection_listed_headers(headers)
    )
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )
