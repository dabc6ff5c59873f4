"""Callers' connections, which a VM that stops closes without losing answers.

aiohttp has no public way to tell whether a connection is idle, nor which
requests wait behind the one that is being handled.
"""

import abc
import asyncio
import contextlib
import select
import typing

from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from filbertstep import _web

# Limits what aiohttp parses in one header or request line; the configured
# limit is checked on the whole head.
MAX_PARSED_LINE_BYTES: typing.Final = 64 * 1024

# Callers reuse connections that were idle for up to four fifths of the
# configured limit, so this must exceed any limit that operators set.
KEEPALIVE_TIMEOUT_S: typing.Final = 75.0

# Callers that connect without end must not keep the listeners open.
MAX_ACCEPT_PENDING_S: typing.Final = 0.2


class ConnectionObserver(abc.ABC):
    """Is told of requests when their heads arrive, in their order."""

    @abc.abstractmethod
    def request_arrived(
        self,
        connection: 'CallerConnection',
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        """Note a request, which may have to wait for earlier ones."""

    @abc.abstractmethod
    def connection_lost(self, connection: 'CallerConnection') -> None:
        """Forget the requests of a connection."""


class CallerConnection(web_protocol.RequestHandler):
    """A connection that knows whether a request has begun to arrive."""

    __slots__ = ('head_incomplete',)

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.head_incomplete = False

    def data_received(self, data: bytes) -> None:
        """Parse data from the caller."""
        requests_before = self._request_count
        super().data_received(data)
        arrived = self._request_count - requests_before
        if arrived:
            self.head_incomplete = False
            self.report_arrivals(arrived)
        elif self.awaits_request or self._request_count == 0:
            self.head_incomplete = True

    def report_arrivals(self, count: int) -> None:
        """Tell the observer of the newest requests."""
        server = self._manager
        if not isinstance(server, CallerServer) or server.observer is None:
            return
        for message, payload in list(self._messages)[-count:]:
            # A head that cannot be parsed has an error in place of a message.
            if isinstance(message, http_parser.RawRequestMessage):
                server.observer.request_arrived(self, message, payload)

    def bodyless_request(
        self, message: http_parser.RawRequestMessage
    ) -> web.BaseRequest:
        """Return a request that was read but is not being handled yet."""
        # Any: nothing is written for this object, and no task handles it.
        nothing: typing.Any = None
        return web.BaseRequest(
            message, streams.EMPTY_PAYLOAD, self, nothing, nothing, self._loop
        )

    @property
    def awaits_request(self) -> bool:
        """Whether all requests whose heads were read are answered."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def is_idle(self) -> bool:
        """Whether nothing of an unanswered request was read."""
        return self.awaits_request and not self.head_incomplete

    @property
    def has_unread_data(self) -> bool:
        """Whether data of the caller, or its close, waits in the kernel."""
        return self.transport is not None and is_readable(
            self.transport.get_extra_info('socket').fileno()
        )


class CallerServer(web.Server):
    """Low-level HTTP server whose connections can be closed when idle."""

    observer: ConnectionObserver | None = None

    def connection_lost(
        self,
        handler: web_protocol.RequestHandler,
        exc: BaseException | None = None,
    ) -> None:
        """Remove a connection."""
        super().connection_lost(handler, exc)
        if self.observer is not None:
            if isinstance(handler, CallerConnection):
                self.observer.connection_lost(handler)

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def close_idle(self) -> int:
        """Close the idle connections; return how many there were.

        What is left of their last answers is still sent.
        """
        idle = [
            connection
            for connection in self.connections
            if isinstance(connection, CallerConnection)
            and connection.is_idle
            and not connection.has_unread_data
        ]
        for connection in idle:
            connection.force_close()
        return len(idle)

    async def drain(self, poll_interval_s: float) -> int:
        """Close each connection once it is idle and its answers are sent.

        Returns how many were idle.  Does not end before the last caller has
        taken its answer.
        """
        closed = 0
        while self.connections:
            closed += self.close_idle()
            await asyncio.sleep(poll_interval_s)
        return closed


def message_identity(request: web.BaseRequest) -> int:
    """Return what tells a request from all others that are unanswered."""
    return id(request._message)


def is_readable(descriptor: int) -> bool:
    """Return whether a socket has data to read or a connection to accept."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


async def accept_pending(listeners: list[asyncio.Server]) -> None:
    """Accept the connections that the kernel has queued for listeners.

    Closing a listener resets them, after callers may have sent requests.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(MAX_ACCEPT_PENDING_S):
            while any(
                is_readable(listening.fileno())
                for listener in listeners
                for listening in listener.sockets
            ):
                await asyncio.sleep(0)


def make_http_server(
    handler: typing.Any, observer: ConnectionObserver | None = None
) -> CallerServer:
    """Return a low-level server; Any: aiohttp's handler type is private."""
    server = CallerServer(
        handler,
        access_log=None,
        handler_cancellation=True,
        auto_decompress=False,
        keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        logger=_web.SILENCED_LOGGER,
        max_line_size=MAX_PARSED_LINE_BYTES,
        max_field_size=MAX_PARSED_LINE_BYTES,
        lingering_time=1.0,
    )
    server.observer = observer
    return server
