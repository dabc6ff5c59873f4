"""HTTP connections of callers, without automatic retries by aiohttp.

aiohttp resends requests of some methods if a reused connection turns out to be
closed.  Callers must decide on each retry themselves, because they count their
attempts and distribute them over VMs.
"""

import contextvars
import typing

import aiohttp

# Well below the idle timeout of entry VMs, so that requests are rarely sent on
# a connection that the VM is about to close.
KEEPALIVE_TIMEOUT_S: typing.Final = 10.0

CONNECTED: contextvars.ContextVar[list[str] | None] = contextvars.ContextVar(
    'CONNECTED', default=None
)
"""Hosts that the current request has been connected to.

If it is None, the number of connections is not limited.
"""


class SecondConnectionError(aiohttp.ClientError):
    """Raised instead of opening a second connection for a request."""


class SingleAttemptConnector(aiohttp.TCPConnector):
    """Connector that allows one connection for each request, new or reused."""

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: typing.Any,
        timeout: aiohttp.ClientTimeout,
    ) -> typing.Any:
        """Return a connection.

        Raises SecondConnectionError if the current request has had one.
        """
        connected_hosts = CONNECTED.get()
        if connected_hosts:
            raise SecondConnectionError(
                'the request has already had a connection'
            )
        connection = await super().connect(req, traces, timeout)
        if connected_hosts is not None:
            connected_hosts.append(str(req.url.host))
        return connection
