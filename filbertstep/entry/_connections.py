"""Callers' connections, which a VM that stops closes without losing answers.

aiohttp has no public way to tell whether a connection is idle, nor which
requests wait behind the one that is being handled.
"""

import abc
import asyncio
import collections.abc
import contextlib
import select
import typing

from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from filbertstep import _web
from filbertstep import steering
from filbertstep.entry import _intake

# Limits what aiohttp parses in one header or request line; the configured
# limit is checked on the whole head.
MAX_PARSED_LINE_BYTES: typing.Final = 64 * 1024

# Idle connections are closed by the sweep, as the configuration says.  Must
# exceed any limit that operators set.
KEEPALIVE_TIMEOUT_S: typing.Final = 24 * 3600.0

# Heads are parsed in pieces of this size.  Otherwise one read, of up to
# 256 KB, could exceed the limit of a head unnoticed.
MAX_PARSED_PIECE_BYTES: typing.Final = 16 * 1024

# Empty lines between requests that do not count as the start of a head.
MAX_BLANK_BYTES: typing.Final = 4

# Bytes of the unanswered requests behind the one that is being handled, above
# which a connection is not read.  Each request may also hold a read.
MAX_QUEUED_BYTES: typing.Final = 256 * 1024

# Memory of a parsed request and of each of its headers, beside their text.
# Each text is held twice, as bytes and as a string.  Measured were 0.6 KB for
# a request, and 436 bytes for a header of 111.
MESSAGE_BYTES: typing.Final = 2 * 1024
HEADER_BYTES: typing.Final = 256

# Callers that connect without end must not keep the listeners open.
MAX_ACCEPT_PENDING_S: typing.Final = 0.2

REFUSAL_TEXTS: typing.Final = {
    400: 'malformed request',
    431: 'the head is too large',
}


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

    @abc.abstractmethod
    def held_answer_bytes(self, connection: 'CallerConnection') -> int:
        """Return the bytes of answers that wait for their turn."""


class CallerConnection(web_protocol.RequestHandler, _intake.Connection):
    """A connection that knows whether a request has begun to arrive.

    Reading stops for good at the first error (``refused``): after it, aiohttp
    would keep a copy of each further piece of data as part of an error.
    """

    __slots__ = (
        'body',
        'body_read_bytes',
        'body_since',
        'charged',
        'head_bytes',
        'head_incomplete',
        'head_since',
        'intake',
        'refused',
        'socket_transport',
    )

    def __init__(
        self,
        server: 'CallerServer',
        *args: typing.Any,
        **kwargs: typing.Any,
    ) -> None:
        super().__init__(server, *args, **kwargs)
        self.intake = server.intake
        self.head_incomplete = False
        # Bytes of an unfinished head, and when it began; 0.0 if it has not.
        self.head_bytes = 0
        self.head_since = 0.0
        # The body that is arriving, and the bytes that were read for it.
        self.body: streams.StreamReader | None = None
        self.body_read_bytes = 0
        self.body_since = 0.0
        self.charged = False
        self.refused = False
        self.socket_transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve a connection."""
        self.socket_transport = typing.cast(asyncio.Transport, transport)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the connection, and free what it held.

        The rest of it is a cycle, which garbage collection may find late.
        """
        super().connection_lost(exc)
        self._messages.clear()
        self._message_tail = b''
        self.body = None
        self.socket_transport = None

    def data_received(self, data: bytes) -> None:
        """Parse data from the caller."""
        size = len(data)
        if size <= MAX_PARSED_PIECE_BYTES:
            self.parse(data)
            return
        start = 0
        while start < size and not self.refused:
            if self.body is None and not self._buffer_paused:
                end = start + MAX_PARSED_PIECE_BYTES
            else:
                end = size
            self.parse(data[start:end])
            start = end

    def parse(self, data: bytes) -> None:
        """Parse a piece of data, and check its limits."""
        if self.refused:
            return
        requests_before = self._request_count
        super().data_received(data)
        arrived = self._request_count - requests_before
        body = self.body
        if arrived:
            self.head_incomplete = False
            self.head_bytes = 0
            self.head_since = 0.0
            message, payload = self._messages[-1]
            if not isinstance(message, http_parser.RawRequestMessage):
                self.refuse_unparsed(message)
            elif payload.is_eof():
                self.body = None
            else:
                self.body = payload
                self.body_read_bytes = 0
                self.body_since = self._loop.time()
            self.report_arrivals(arrived)
        elif body is not None:
            self.check_body(body, len(data))
        elif data:
            self.check_head(data)
        if (
            self.charged
            or self.body is not None
            or self.head_bytes
            or len(self._messages) > 1
            or self._upgraded
        ):
            self.update_charge()

    def check_head(self, data: bytes) -> None:
        """Count bytes of a head that is not complete."""
        if (
            self._upgraded
            or self._close
            or self._force_close
            or self._buffer_paused
        ):
            # Not parsed yet, or never.
            return
        if not self.head_bytes:
            self.body = self.newest_body()
            if self.body is not None:
                return
        self.head_bytes += len(data)
        if not self.head_since:
            if self.head_bytes <= MAX_BLANK_BYTES and not data.strip(b'\r\n'):
                # Some clients send an empty line after a body.
                return
            self.head_since = self._loop.time()
        if self.awaits_request or self._request_count == 0:
            self.head_incomplete = True
        if self.head_bytes > self.intake.max_head_bytes():
            # Answered in its turn, like a head that cannot be parsed.
            self._request_count += 1
            self._messages.append(refusal(431))
            waiter = self._waiter
            if waiter is not None and not waiter.done():
                waiter.set_result(None)
            self.stop_reading(_intake.CloseReason.HEAD_TOO_LARGE)

    def newest_body(self) -> streams.StreamReader | None:
        """Return the body that is arriving, if the newest request has one.

        aiohttp itself parses what follows a request to upgrade.
        """
        if self._messages:
            payload = self._messages[-1][1]
        elif self._current_request is not None:
            payload = self._current_request.content
        else:
            return None
        return None if payload.is_eof() else payload

    def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> collections.abc.Coroutine[
        typing.Any, typing.Any, tuple[web.StreamResponse, bool]
    ]:
        """Send a response; Any: coroutines have these types."""
        finishing = super().finish_response(request, resp, start_time)
        return self.finish_upgrade(finishing) if self._upgraded else finishing

    async def finish_upgrade(
        self,
        finishing: collections.abc.Coroutine[
            typing.Any, typing.Any, tuple[web.StreamResponse, bool]
        ],
    ) -> tuple[web.StreamResponse, bool]:
        """Check what aiohttp parsed after a request to upgrade."""
        finished = await finishing
        if self._messages and not self.refused:
            message = self._messages[-1][0]
            if not isinstance(message, http_parser.RawRequestMessage):
                self.refuse_unparsed(message)
        return finished

    def check_body(self, body: streams.StreamReader, size: int) -> None:
        """Count bytes that were read for a body."""
        self.body_read_bytes += size
        if body.is_eof():
            self.body = None
        elif (
            self.body_read_bytes
            > _intake.FRAMING_BYTES + _intake.FRAMING_FACTOR * body.total_bytes
        ):
            self.abort(_intake.CloseReason.FRAMING)

    def refuse_unparsed(self, error: typing.Any) -> None:
        """Refuse a head that aiohttp cannot parse; Any: its type is private.

        The text of aiohttp's error contains the data.  After an error in a
        body, there is nothing to be answered: its request is not complete.
        """
        too_large = isinstance(error.exc, http_exceptions.LineTooLong)
        reason = (
            _intake.CloseReason.HEAD_TOO_LARGE
            if too_large
            else _intake.CloseReason.MALFORMED
        )
        if self.body is not None and not self.body.is_eof():
            self.abort(reason)
            return
        self._messages[-1] = refusal(431 if too_large else 400)
        self.stop_reading(reason)

    def stop_reading(self, reason: _intake.CloseReason) -> None:
        """Read no more; the refusal in the queue closes the connection."""
        self.refused = True
        self.head_bytes = 0
        self.head_since = 0.0
        self._pause_transport_reading()
        self.report_close(reason)

    def abort(self, reason: _intake.CloseReason) -> None:
        """Close the connection, with what was not sent."""
        transport = self.socket_transport
        self.refused = True
        self.body = None
        self.head_bytes = 0
        self.head_since = 0.0
        if transport is not None:
            self.report_close(reason)
            self.socket_transport = None
            # The transport may be about to write.
            self._loop.call_soon(transport.abort)

    def report_close(self, reason: _intake.CloseReason) -> None:
        """Report that a limit closes this connection."""
        server, transport = self._manager, self.socket_transport
        if not isinstance(server, CallerServer) or transport is None:
            return
        peer = transport.get_extra_info('peername')
        address = f'{peer[0]}:{peer[1]}' if peer else ''
        self.intake.report(server.name, address, reason)

    def queued_bytes(self) -> int:
        """Return the bytes that unanswered requests in the queue hold."""
        total = 0
        for message, payload in self._messages:
            total += MESSAGE_BYTES + getattr(payload, '_size', 0)
            if isinstance(message, http_parser.RawRequestMessage):
                total += 2 * len(message.path) + sum(
                    2 * (len(name) + len(value)) + HEADER_BYTES
                    for name, value in message.raw_headers
                )
        return total

    def unfinished_bytes(self) -> int:
        """Return the bytes held for unfinished requests; 0 if none is."""
        total = self.head_bytes + len(self._message_tail)
        if self.body is not None:
            total += self.body._size + max(
                0, self.body_read_bytes - self.body.total_bytes
            )
        if len(self._messages) > 1 or (
            self._messages and self._request_in_progress
        ):
            total += self.queued_bytes()
        return total

    def update_charge(self) -> None:
        """Count what is held; read no more if too much is in the queue."""
        if self.socket_transport is None:
            return
        if (
            not self._buffer_paused
            and not self.refused
            and self._messages
            and (len(self._messages) > 1 or self._request_in_progress)
            and self.queued_bytes() > MAX_QUEUED_BYTES
        ):
            self._pause_reading_for_buffer()
        self.intake.put_unfinished(self, self._loop.time())
        self.charged = self in self.intake.unfinished.charges

    def _resume_reading_if_drained(self) -> None:
        # Called by aiohttp whenever it takes a request from the queue.
        if self.refused or self.queued_bytes() > MAX_QUEUED_BYTES:
            return
        super()._resume_reading_if_drained()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read again after a body was read by its handler."""
        if not self.refused:
            super().resume_reading(resume_parser)

    def pause_writing(self) -> None:
        """Note that the caller does not read as fast as answers come."""
        super().pause_writing()
        if self.socket_transport is not None:
            self.intake.put_unread(self, self._loop.time())

    def unread_bytes(self) -> int:
        """Return the bytes of answers that the caller has not read."""
        transport, server = self.socket_transport, self._manager
        if transport is None or not (self._paused or transport.is_closing()):
            return 0
        size_bytes = transport.get_write_buffer_size()
        if isinstance(server, CallerServer) and server.observer is not None:
            size_bytes += server.observer.held_answer_bytes(self)
        return size_bytes

    def late_part(self, now: float, limits: steering.Limits) -> bool:
        """Return whether a part of a request takes longer than allowed."""
        if self._buffer_paused or self._reading_paused:
            # This VM does not read, so the caller cannot finish.
            if self.head_since:
                self.head_since = now
            self.body_since = now
            return False
        server = self._manager
        if self.head_since:
            since = self.head_since
        elif (
            self.body is not None
            and isinstance(server, CallerServer)
            and server.times_bodies
        ):
            since = self.body_since
        else:
            return False
        allowed_s = limits.header_timeout_s + _intake.HEAD_DELAY_S
        return now - since > allowed_s and (
            not self.has_unread_data or now - since > 2 * allowed_s
        )

    def postpone(self, delay_s: float) -> None:
        """Do not count a time in which nothing was read."""
        if self.head_since:
            self.head_since += delay_s
        self.body_since += delay_s

    def last_used_at(self) -> float:
        """Return when the last answer ended or the connection opened."""
        return self._next_keepalive_close_time - KEEPALIVE_TIMEOUT_S

    @property
    def was_used(self) -> bool:
        """Return whether a request was read on the connection."""
        return self._request_count > 0

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
    """Low-level HTTP server whose connections can be closed when idle.

    ``times_bodies`` is set if the handler does not limit the time of bodies.
    """

    observer: ConnectionObserver | None = None

    def __init__(
        self,
        handler: typing.Any,
        intake: _intake.Intake,
        name: str,
        max_connections: int,
        times_bodies: bool,
        **kwargs: typing.Any,
    ) -> None:
        super().__init__(handler, **kwargs)
        self.intake = intake
        self.name = name
        self.max_connections = max_connections
        self.times_bodies = times_bodies
        self.open_count = 0
        # Closed because of the limit, but not gone yet.
        self.evicted: set[web_protocol.RequestHandler] = set()
        self.idle_swept_at = float('-inf')
        # A search that found nothing is not repeated at once.
        self.evict_after = float('-inf')

    def connection_made(
        self,
        handler: web_protocol.RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        """Add a connection; close others if there are too many."""
        super().connection_made(handler, transport)
        self.open_count += 1
        if self.open_count > self.max_connections:
            self.evict(handler)

    def connection_lost(
        self,
        handler: web_protocol.RequestHandler,
        exc: BaseException | None = None,
    ) -> None:
        """Remove a connection."""
        super().connection_lost(handler, exc)
        if handler in self.evicted:
            self.evicted.discard(handler)
        else:
            self.open_count -= 1
        if isinstance(handler, CallerConnection):
            self.intake.forget(handler)
            if self.observer is not None:
                self.observer.connection_lost(handler)

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def evict(self, newest: web_protocol.RequestHandler) -> None:
        """Close connections without a complete request, or the newest one.

        Those that never had one go first, then those idle for longest.
        """
        now = self._loop.time()
        if now < self.evict_after:
            self.close_evicted(newest)
            return
        waiting = [
            connection
            for connection in self._connections
            if isinstance(connection, CallerConnection)
            and connection is not newest
            and connection not in self.evicted
            and connection.awaits_request
            and (connection.is_idle or not connection.was_used)
        ]
        waiting.sort(
            key=lambda connection: (
                connection.was_used,
                connection.last_used_at(),
            )
        )
        count = max(1, int(self.max_connections * _intake.EVICTED_SHARE))
        chosen = [
            connection
            for connection in waiting[: 2 * count]
            if connection.head_bytes or not connection.has_unread_data
        ][:count]
        if not chosen:
            self.evict_after = now + _intake.SWEEP_INTERVAL_S
            self.close_evicted(newest)
        for connection in chosen:
            self.close_evicted(connection)

    def close_evicted(self, connection: web_protocol.RequestHandler) -> None:
        """Close a connection that is no longer counted."""
        if isinstance(connection, CallerConnection):
            self.evicted.add(connection)
            self.open_count -= 1
            connection.abort(_intake.CloseReason.CONNECTIONS)

    def sweep(self, now: float) -> None:
        """Close connections that are idle for longer than configured."""
        if now - self.idle_swept_at < _intake.IDLE_SWEEP_INTERVAL_S:
            return
        self.idle_swept_at = now
        idle_since = now - self.intake.limits().idle_timeout_s
        for connection in self.connections:
            if not isinstance(connection, CallerConnection):
                continue
            transport = connection.socket_transport
            if transport is not None and transport.is_closing():
                # Waits until the rest of an answer was read.
                self.intake.put_unread(connection, now)
            elif (
                connection.is_idle
                and connection.last_used_at() < idle_since
                and not connection.has_unread_data
            ):
                connection.report_close(_intake.CloseReason.IDLE)
                connection.force_close()

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


def announces_body(payload: streams.StreamReader) -> bool:
    """Return whether the head of a request announces a body.

    Unlike the end of the payload, this does not depend on how much has arrived
    (RFC 9112, section 6.3).  The parser shares one empty payload among the
    requests whose heads announce none.
    """
    return payload is not streams.EMPTY_PAYLOAD


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


def refusal(status: int) -> tuple[typing.Any, streams.StreamReader]:
    """Return what aiohttp queues for a refused request; Any: private type."""
    error = web_protocol._ErrInfo(
        status=status,
        exc=http_exceptions.BadHttpMessage(''),
        message=REFUSAL_TEXTS[status],
    )
    return error, streams.EMPTY_PAYLOAD


def make_http_server(
    handler: typing.Any,
    observer: ConnectionObserver | None = None,
    intake: _intake.Intake | None = None,
    name: str = 'callers',
) -> CallerServer:
    """Return a low-level server; Any: aiohttp's handler type is private.

    Without ``intake``, its limits apply that are not shared by listeners.
    """
    intake = intake or _intake.Intake()
    server = CallerServer(
        handler,
        intake,
        name,
        intake.capacity.caller_connections
        if observer is not None
        else intake.capacity.other_connections,
        observer is None,
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
