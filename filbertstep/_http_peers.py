"""Client for calls to other VMs over HTTP.

A call that could not connect had no effect and fails with ``NOT_RUN``.  If
bytes may have been sent, a call without a response fails with
``OUTCOME_UNKNOWN``, because the peer may have acted on it.
"""

import collections.abc
import ssl
import typing

import aiohttp
import result

from filbertstep import codec
from filbertstep import errors
from filbertstep import metrics
from filbertstep import transport


class HttpPeers(transport.Peers):
    """Sends messages to other VMs.

    ``peer_url`` returns the URL of a VM's listener for peers, or None if it
    is not known.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        token: str,
        peer_url: collections.abc.Callable[[str], str | None],
        tls: ssl.SSLContext | None,
        counters: metrics.Metrics,
    ) -> None:
        self.session = session
        self.headers = {'Authorization': f'Bearer {token}'}
        self.peer_url = peer_url
        self.tls = tls
        self.counters = counters

    async def call(
        self,
        vm: str,
        path: str,
        message: transport.Message,
        timeout_s: float,
    ) -> result.Result[transport.Message, errors.Failure]:
        """Send a message, wait for the response, and count the call."""
        answer = await self.post_message(vm, path, message, timeout_s)
        outcome = 'ok' if isinstance(answer, result.Ok) else 'error'
        self.counters.peer_calls.labels(path, outcome).inc()
        return answer

    async def post_message(
        self,
        vm: str,
        path: str,
        message: transport.Message,
        timeout_s: float,
    ) -> result.Result[transport.Message, errors.Failure]:
        """Send a message and wait for the response."""
        url = self.peer_url(vm)
        if url is None:
            return error_result(
                errors.ErrorKind.NOT_RUN, f'no address of {vm}'
            )
        try:
            async with self.session.post(
                url + path,
                data=codec.encode(message),
                headers=self.headers,
                ssl=self.tls if self.tls is not None else True,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return decode_response(response.status, await response.read())
        except aiohttp.ClientConnectorError:
            return error_result(
                errors.ErrorKind.NOT_RUN, f'{vm} is unreachable'
            )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return error_result(
                errors.ErrorKind.OUTCOME_UNKNOWN, f'no answer from {vm}'
            )


class FailureDoc(typing.TypedDict):
    """Body of a response that reports a failure."""

    kind: str
    message: str
    ran: str
    retry_after_s: float | None


def error_result(
    kind: errors.ErrorKind, message: str
) -> result.Err[errors.Failure]:
    """Return a ``Failure`` wrapped in ``Err``."""
    return result.Err(errors.Failure(kind, message))


def encode_failure(failure: errors.Failure) -> bytes:
    """Return the body of a response that reports a failure."""
    return codec.encode(
        {
            **errors.error_body(failure),
            'retry_after_s': failure.retry_after_s,
        }
    )


def decode_response(
    status: int, body: bytes
) -> result.Result[transport.Message, errors.Failure]:
    """Decode a peer's response.

    An invalid response becomes an ``OUTCOME_UNKNOWN`` failure, and a failure
    of an unknown kind becomes ``INTERNAL``.
    """
    decoded = codec.decode_open(body, object).unwrap_or(None)
    if status == 200 and isinstance(decoded, dict):
        return result.Ok(decoded)
    converted = codec.convert(decoded, FailureDoc)
    if isinstance(converted, result.Err):
        return error_result(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            f'a peer answered with status {status} and an unreadable body',
        )
    failure_doc = converted.ok_value
    try:
        kind = errors.ErrorKind(failure_doc['kind'])
    except ValueError:
        kind = errors.ErrorKind.INTERNAL
    return result.Err(
        errors.Failure(
            kind, failure_doc['message'], failure_doc['retry_after_s']
        )
    )
