"""Requests at the stand-in backend server: description, secrets, streaming."""

import asyncio
import collections.abc
import hashlib
import typing
import urllib.parse

from aiohttp import web
import multidict

# Bounds of what a request's query may ask for.
MAX_RUN_MS: typing.Final = 60_000.0
MAX_ANSWER_BYTES: typing.Final = 16 * 1024 * 1024

# Pieces of a streamed answer.
STREAM_PIECES: typing.Final = 10

ACCOUNT_HEADER: typing.Final = 'X-Client-Account'


class Run(typing.NamedTuple):
    """One request at a server, as its events describe it."""

    request_id: str
    account: str
    method: str
    path: str
    body_digest: str
    body_bytes: int
    header_names: list[str]
    secret_seen: bool


class Done(typing.NamedTuple):
    """How a run ended: its event, the answer and the bytes of its body."""

    event: str
    answer: web.StreamResponse
    answer_bytes: int


def number_in(query: collections.abc.Mapping[str, str], name: str) -> float:
    """Return a number of the query, 0 when it is absent or none."""
    try:
        return max(0.0, float(query.get(name, '0')))
    except ValueError:
        return 0.0


def contains_secret(request: web.Request, body: bytes, prefix: str) -> bool:
    """Tell whether a secret's prefix occurs, raw or percent-encoded.

    Decodes twice, since a key in a forwarded URL may be encoded twice.
    """
    if not prefix:
        return False
    parts = [request.raw_path.encode(), body]
    for name, value in request.raw_headers:
        parts.extend((name, value))
    sought = prefix.lower().encode()
    once = [urllib.parse.unquote_to_bytes(part) for part in parts]
    twice = [urllib.parse.unquote_to_bytes(part) for part in once]
    return any(sought in part.lower() for part in parts + once + twice)


def describe(request: web.Request, body: bytes, prefix: str) -> Run:
    """Return what the events of a request say about it."""
    seen = contains_secret(request, body, prefix)
    return Run(
        request_id=request.headers.get('X-Request-Id', ''),
        account=request.headers.get(ACCOUNT_HEADER, ''),
        method=request.method,
        # A path with a secret would put the secret into the history.
        path='' if seen else request.path,
        body_digest=hashlib.sha256(body).hexdigest(),
        body_bytes=len(body),
        header_names=sorted(
            {
                '' if seen and prefix.lower() in name.lower() else name.lower()
                for name in request.headers
            }
        ),
        secret_seen=seen,
    )


async def stream(
    request: web.Request,
    headers: multidict.CIMultiDict[str],
    body: bytes,
    stream_s: float,
) -> Done:
    """Send a body in pieces spread over a time in seconds."""
    answer = web.StreamResponse(headers=headers)
    answer.content_type = 'application/json'
    await answer.prepare(request)
    step = max(1, -(-len(body) // STREAM_PIECES))
    for start in range(0, len(body), step):
        await answer.write(body[start : start + step])
        await asyncio.sleep(stream_s / STREAM_PIECES)
    await answer.write_eof()
    return Done('end', answer, len(body))
