"""Request details, secret detection and streaming of the backend stand-in."""

import asyncio
import collections.abc
import hashlib
import typing
import urllib.parse

from aiohttp import web
import multidict

# Upper bounds of the times and body sizes that a request's query can set.
MAX_RUN_MS: typing.Final = 60_000.0
MAX_RESPONSE_BYTES: typing.Final = 16 * 1024 * 1024

STREAM_CHUNK_COUNT: typing.Final = 10

CLIENT_ACCOUNT_HEADER: typing.Final = 'X-Client-Account'


class RequestInfo(typing.NamedTuple):
    """Details of a request that are written with each of its events.

    ``body_digest`` is the SHA-256 of the body in hexadecimal.
    """

    request_id: str
    account: str
    method: str
    path: str
    body_digest: str
    body_bytes: int
    header_names: list[str]
    secret_seen: bool


class RunOutcome(typing.NamedTuple):
    """How the run of a request ended.

    ``event`` is the name of the event that records the end, and
    ``response_bytes`` the number of body bytes sent.
    """

    event: str
    response: web.StreamResponse
    response_bytes: int


def parse_number(
    values: collections.abc.Mapping[str, str], name: str
) -> float:
    """Return a number from a query or from headers.

    Absent, negative or malformed numbers give 0.
    """
    try:
        return max(0.0, float(values.get(name, '0')))
    except ValueError:
        return 0.0


def contains_secret(
    request: web.Request, body: bytes, secret_prefix: str
) -> bool:
    """Tell whether a request contains the prefix of secrets.

    Searches path, headers and body, ignoring case.  Percent-encoding is
    decoded up to two times, because a key in a forwarded URL may have been
    encoded twice.
    """
    if not secret_prefix:
        return False
    parts = [request.raw_path.encode(), body]
    for name, value in request.raw_headers:
        parts.extend((name, value))
    prefix_bytes = secret_prefix.lower().encode()
    decoded_once = [urllib.parse.unquote_to_bytes(part) for part in parts]
    decoded_twice = [
        urllib.parse.unquote_to_bytes(part) for part in decoded_once
    ]
    return any(
        prefix_bytes in part.lower()
        for part in parts + decoded_once + decoded_twice
    )


def describe_request(
    request: web.Request, body: bytes, secret_prefix: str
) -> RequestInfo:
    """Return the details of a request that go into its events."""
    has_secret = contains_secret(request, body, secret_prefix)
    return RequestInfo(
        request_id=request.headers.get('X-Request-Id', ''),
        account=request.headers.get(CLIENT_ACCOUNT_HEADER, ''),
        method=request.method,
        # Left out so that no secret is written into the history.
        path='' if has_secret else request.path,
        body_digest=hashlib.sha256(body).hexdigest(),
        body_bytes=len(body),
        header_names=sorted(
            {
                ''
                if has_secret and secret_prefix.lower() in name.lower()
                else name.lower()
                for name in request.headers
            }
        ),
        secret_seen=has_secret,
    )


async def send_stream(
    request: web.Request,
    headers: multidict.CIMultiDict[str],
    body: bytes,
    duration_s: float,
) -> RunOutcome:
    """Send a response body in equal chunks spread over ``duration_s``."""
    response = web.StreamResponse(headers=headers)
    response.content_type = 'application/json'
    await response.prepare(request)
    chunk_bytes = max(1, -(-len(body) // STREAM_CHUNK_COUNT))
    for offset in range(0, len(body), chunk_bytes):
        await response.write(body[offset : offset + chunk_bytes])
        await asyncio.sleep(duration_s / STREAM_CHUNK_COUNT)
    await response.write_eof()
    return RunOutcome('end', response, len(body))
