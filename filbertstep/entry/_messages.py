"""Calls and replies as they pass between callers and backend servers."""

import collections.abc
import typing

from filbertstep import delivery
from filbertstep import errors
from filbertstep import steering

MAX_RETRY_AFTER_S: typing.Final = 2.0
MIN_RETRY_AFTER_S: typing.Final = 0.1

# Headers of one connection, and those that the HTTP library sets itself.
NOT_FORWARDED_HEADERS: typing.Final = delivery.HOP_BY_HOP_HEADERS | {
    'content-length',
    'expect',
}


class Call(typing.NamedTuple):
    """A caller's request without its body.

    Times are those of this VM's clock; ``deadline`` is when the caller stops
    waiting.  ``path`` is percent-encoded and includes the query.  ``key`` is
    the API key, None if the caller sent none.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    key: str | None
    affinity_key: str
    arrived_at: float
    deadline: float


class Reply(typing.NamedTuple):
    """An answer to a caller: a server's own, or a failure of this system.

    If ``stream`` is set, the whole body comes from there instead of ``body``.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    stream: delivery.ResponseStream | None = None
    failure: errors.Failure | None = None


class Admitted(typing.NamedTuple):
    """A request that may be sent to servers.

    ``account`` is None on a public route.  ``allowed_regions`` None allows
    all.  ``deadline`` also accounts for the timeout of the route.  ``region``
    is the preferred region, None for no preference.
    """

    call: Call
    route: steering.Route
    account: steering.ClientAccount | None
    service: str
    allowed_regions: frozenset[str] | None
    deadline: float
    region: str | None


def failure_reply(
    kind: errors.ErrorKind, message: str, retry_after_s: float | None = None
) -> Reply:
    """Return the reply for a failure; ``message`` is sent to the caller."""
    failure = errors.Failure(kind, message, retry_after_s)
    return Reply(errors.ANSWERS[kind].status, (), b'', failure=failure)


def clamp_retry_after(seconds: float) -> float:
    """Return a Retry-After in seconds within its bounds."""
    return round(
        min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds)),
        2,
    )


def end_to_end_headers(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers without hop-by-hop headers."""
    header_list = list(headers)
    connection_specific = {
        token.strip().lower()
        for name, value in header_list
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    return [
        (name, value)
        for name, value in header_list
        if name.lower() not in NOT_FORWARDED_HEADERS
        and name.lower() not in connection_specific
    ]
