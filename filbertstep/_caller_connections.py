"""Connections of the caller, without repeats by the HTTP client itself.

aiohttp sends requests of some methods again when a kept connection turns out
to be closed.  The caller counts its tries and spreads them over VMs, so that
a repeat is its own decision.
"""

import contextvars
import typing

import aiohttp

# Idle connections are closed after this time in seconds, well before an entry
# VM closes them, so that few requests meet a connection that is being closed.
KEEPALIVE_TIMEOUT_S: typing.Final = 10.0

CONNECTED: contextvars.ContextVar[list[str] | None] = contextvars.ContextVar(
    'CONNECTED', default=None
)
"""Hosts to which the running try has had a connection."""


class SecondConnectionError(aiohttp.ClientError):
    """Stops the HTTP client from sending a request a second time."""


class SingleAttemptConnector(aiohttp.TCPConnector):
    """Gives each try one connection."""

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: typing.Any,
        timeout: aiohttp.ClientTimeout,
    ) -> typing.Any:
        """Return a connection, or raise for a second one of the same try."""
        connected = CONNECTED.get()
        if connected:
            raise SecondConnectionError('second connection of one try')
        connection = await super().connect(req, traces, timeout)
        if connected is not None:
            connected.append(str(req.url.host))
        return connection
