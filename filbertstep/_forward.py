"""Forwards a request to one backend server over a kept-alive connection.

The outcome says whether the server may have run the request.  It is
``NOT_SENT`` only if no byte of the request was written.  To decide that
reliably, the connector runs the ``before_send`` check once it has a connection
and before the request uses it.
"""

import asyncio
import collections
import collections.abc
import contextvars
import enum
import re
import socket
import struct
import typing

import aiohappyeyeballs
import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams
import multidict
import yarl

from filbertstep import errors

# Responses up to this size are read completely before they are passed on, so
# that the caller gets an error instead of a truncated response.
MAX_BUFFERED_BYTES: typing.Final = 1024 * 1024

# Part of a response that is read whatever other responses hold.  Most
# responses are smaller.
MIN_BUFFERED_BYTES: typing.Final = 64 * 1024

# Default limit for the bodies of all responses that are being read.
DEFAULT_BUFFER_BYTES: typing.Final = 64 * 1024 * 1024

# Idle timeout of connections if servers announce none.  It must be shorter
# than that of the servers: a request sent on a connection that the server
# closes at that moment has an unknown outcome.
KEEPALIVE_TIMEOUT_S: typing.Final = 4.0

# A connection is not used any more this long before the timeout that a server
# announces in ``Keep-Alive``, to allow for network delay and late timers.
KEEPALIVE_MARGIN_S: typing.Final = 1.5

# Upper limit for idle connections, whatever timeout servers announce.
MAX_KEEPALIVE_TIMEOUT_S: typing.Final = 15.0

MAX_CONNECTIONS_PER_SERVER: typing.Final = 64

# Connecting to a backend server usually takes milliseconds.  When this limit
# passes, nothing was sent, so the request can go to another server.
CONNECT_TIMEOUT_S: typing.Final = 0.4

# The kernel closes a connection whose sent bytes are not acknowledged for this
# time.  Kept-alive connections can stop responding without a reset.
TCP_USER_TIMEOUT_MS: typing.Final = 1500

# A close resets the connection.  An ordinary close would still deliver what
# the network holds up, and a server could run a request that was given up.
RESET_ON_CLOSE: typing.Final = struct.pack('ii', 1, 0)

# Limit for what a server sends in one response besides the last head and the
# content of the body: empty lines, an unfinished head, extensions of chunks.
MAX_OVERHEAD_BYTES: typing.Final = 64 * 1024

# Statuses that HTTP defines (RFC 9110, section 15).  The parser accepts any
# three digits.
MIN_STATUS: typing.Final = 100
MAX_STATUS: typing.Final = 599

# Lowest HTTP status of a response that is not interim.
MIN_FINAL_STATUS: typing.Final = 200

# No request asks for another protocol: ``Upgrade`` is not forwarded.
SWITCHING_PROTOCOLS_STATUS: typing.Final = 101

# Start of a status line, and the part of a head that is kept to find it after
# an empty line.
STATUS_LINE_START: typing.Final = b'HTTP/'
KEPT_HEAD_BYTES: typing.Final = 16

# End of a head.
HEAD_END: typing.Final = b'\r\n\r\n'

# Interim responses to one request.
MAX_INTERIM_RESPONSES: typing.Final = 32

# Data of one read that is parsed at a time outside of bodies.
MAX_PARSED_BYTES: typing.Final = 16 * 1024

# Responses to earlier requests that are skipped before an attempt fails.
MAX_SKIPPED_RESPONSES: typing.Final = 4

# Ids of earlier requests that are kept for each connection.
MAX_EARLIER_IDS: typing.Final = 64

# A server to which the request was not directed did not run it.
MISDIRECTED_STATUS: typing.Final = 421

REQUEST_ID_HEADER: typing.Final = 'X-Request-Id'
KEEP_ALIVE_HEADER: typing.Final = 'Keep-Alive'
KEEP_ALIVE_TIMEOUT_REGEX: typing.Final = re.compile(
    r'timeout=([0-9]{1,9})(?![0-9])'
)


class ResponseConventions(typing.NamedTuple):
    """How to interpret the responses of backend servers.

    A server that did not run a request sets ``not_run_header`` to one of
    ``not_run_values`` (ignoring case), or to any value if that set is empty.
    ``allow_close_delimited`` accepts responses whose end is marked only by the
    end of the connection.
    """

    not_run_header: str = 'X-Not-Run'
    not_run_values: frozenset[str] = frozenset({'true'})
    allow_close_delimited: bool = False


BeforeSend = collections.abc.Callable[[], errors.Failure | None]
"""Check that runs once there is a connection; a failure prevents the send."""


class ForwardOutcomeKind(enum.Enum):
    """How one attempt ended.

    ``SHED``: the server reported that it did not run the request.  ``BROKEN``:
    the connection failed after the request was sent, or no valid response
    arrived.  ``MISMATCHED``: the server sent something else than the response
    to this request, or a response without a valid status.  Unlike ``BROKEN``,
    it is never taken for a crash.  Metrics and log lines contain the names of
    the members.
    """

    ANSWERED = enum.auto()
    NOT_SENT = enum.auto()
    SHED = enum.auto()
    BROKEN = enum.auto()
    TIMED_OUT = enum.auto()
    MISMATCHED = enum.auto()
    CANCELLED = enum.auto()


class Attempt(typing.NamedTuple):
    """A request to send to one backend server.

    ``server`` is ``host:port``; ``path`` and ``query`` are percent-encoded.
    The attempt, including a streamed response, ends after ``time_left_s``
    seconds; the server is told the time that remains when the request is sent.
    """

    server: str
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    time_left_s: float


class TruncatedBodyError(Exception):
    """A streamed response body ended early or took too long."""


class ForwardOutcome(typing.NamedTuple):
    """Outcome of an attempt; which fields are set depends on ``kind``.

    ``sent`` tells whether the server may have received the request.
    ``status`` is 0 if no response head arrived.  ``failure`` is that of
    ``before_send``.  For ``ANSWERED`` either ``body`` is complete, or
    ``stream`` yields it and raises ``TruncatedBodyError`` if it ends early.
    """

    kind: ForwardOutcomeKind
    sent: bool
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    stream: 'ResponseStream | None' = None
    failure: errors.Failure | None = None
    message: str = ''


class SendVetoedError(Exception):
    """Raised when ``before_send`` prevents a request from being sent."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class RepeatedError(Exception):
    """Raised when the HTTP client tries to send a request a second time.

    The name of this class appears in messages to callers.
    """


class AttemptLimits:
    """Times on the event loop by which all attempts end.

    Servers are told to end their runs at ``run_end``.  An attempt without a
    response, or with an incomplete one that is not streamed, ends at
    ``response_end``.
    """

    def __init__(self) -> None:
        self.run_end = float('inf')
        self.response_end = float('inf')


class AttemptState:
    """State of one attempt in progress."""

    def __init__(
        self,
        before_send: BeforeSend,
        deadline: float,
        request_id: str,
        limits: AttemptLimits,
    ) -> None:
        self.before_send = before_send
        self.request_id = request_id
        self.limits = limits
        # Event loop time at which the attempt ends.
        self.deadline = deadline
        self.sent = False
        # HTTP status of the response, 0 until its head arrives.
        self.status = 0
        self.cancelled = False
        self.timeout_scope: asyncio.Timeout | None = None
        self.protocol: BoundedProtocol | None = None

    def authorize_send(self, request: aiohttp.ClientRequest) -> None:
        """Run ``before_send``, set ``X-Deadline-Ms``, and note the send.

        Raises ``SendVetoedError`` or, after the deadline, ``TimeoutError``.
        """
        failure = self.before_send()
        if failure is not None:
            raise SendVetoedError(failure)
        # The server counts its time from now on.  Time spent waiting for the
        # connection is subtracted, so that the request does not run longer
        # than its slot is held.
        run_end = min(self.deadline, self.limits.run_end)
        left_s = run_end - asyncio.get_running_loop().time()
        if left_s <= 0:
            raise TimeoutError
        request.headers['X-Deadline-Ms'] = str(max(1, int(left_s * 1000)))
        self.sent = True


CURRENT_ATTEMPT: contextvars.ContextVar[AttemptState | None] = (
    contextvars.ContextVar('SENDING', default=None)
)


class ExcessBytesError(aiohttp.ClientError):
    """Raised when a server sends more than the limits for one response.

    The name of this class appears in messages to callers.
    """


class InvalidStatusError(aiohttp.ClientError):
    """Raised when a response has no valid status.

    It is also raised for a 101, which no request asks for, and for an interim
    response that announces a body.  The name of this class appears in messages
    to callers.
    """


def has_valid_status(message: http_parser.RawResponseMessage) -> bool:
    """Return whether a response may be read on by its status.

    An interim response ends with its head.  One that announces a body leaves
    open whether the bytes after it are that body or the next response.
    """
    if not MIN_STATUS <= message.code <= MAX_STATUS:
        return False
    if message.code >= MIN_FINAL_STATUS:
        return True
    return (
        message.code != SWITCHING_PROTOCOLS_STATUS
        and 'Transfer-Encoding' not in message.headers
        and message.headers.get('Content-Length', '0') == '0'
    )


def echoed_ids(
    headers: multidict.CIMultiDictProxy[str],
) -> frozenset[str]:
    """Return the request ids in a response; more than one is a fault."""
    return frozenset(headers.getall(REQUEST_ID_HEADER, ())) - {''}


class BoundedProtocol(client_proto.ResponseHandler):
    """Closes a connection on which a server sends bytes without end.

    aiohttp limits the lines of a head.  This class limits everything else that
    is not the content of a body, and accepts nothing on an idle connection.
    It also closes a connection on which a response has an invalid status.

    ``attributed`` tells whether the last final response certainly belongs to
    the current request, and not to an earlier one on the same connection.
    """

    expected_id: str | None = None
    awaits_head = False
    overhead_bytes = 0
    # First bytes of an unfinished head.
    head_start = b''
    interim_responses = 0
    final_responses = 0
    attributed = False
    expects_new_id = True
    # Whether any response on this connection contained a request id.
    echoes_ids = False

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.earlier_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_EARLIER_IDS
        )

    def begin_request(self, request_id: str) -> None:
        """Expect the response to the request that is about to be sent."""
        self.expected_id = request_id
        self.expects_new_id = request_id not in self.earlier_ids
        self.earlier_ids.append(request_id)
        self.awaits_head = True
        self.overhead_bytes = 0
        self.head_start = b''
        self.interim_responses = 0

    async def read(
        self,
    ) -> tuple[http_parser.RawResponseMessage, streams.StreamReader]:
        """Return the next interim or final response."""
        message, payload = await super().read()
        if message.code >= MIN_FINAL_STATUS:
            self.awaits_head = False
            ids = echoed_ids(message.headers)
            self.attributed = self.is_attributed(ids)
            self.echoes_ids = self.echoes_ids or bool(ids)
            self.final_responses += 1
        return message, payload

    def is_attributed(self, ids: frozenset[str]) -> bool:
        """Return whether a response with these ids is to this request.

        Without an id, only the first response on a connection is.  An id that
        an earlier request had, too, does not tell the two apart.
        """
        if not ids:
            return self.final_responses == 0
        return ids == {self.expected_id} and self.expects_new_id

    def data_received(self, data: bytes) -> None:
        """Parse data from the server within the limits."""
        while not self.is_in_body():
            # A head is parsed by itself, because the parser drops it if what
            # follows it is invalid.  A single read may also contain thousands
            # of interim responses.
            head_size = data.find(HEAD_END, 0, MAX_PARSED_BYTES)
            size = (
                MAX_PARSED_BYTES
                if head_size < 0
                else head_size + len(HEAD_END)
            )
            if len(data) <= size:
                break
            self.parse(data[:size])
            if self.transport is None or self.transport.is_closing():
                return
            data = data[size:]
        self.parse(data)

    def is_in_body(self) -> bool:
        """Return whether the body of a response is incomplete."""
        return self._payload is not None and not self._payload.is_eof()

    def parse(self, data: bytes) -> None:
        """Parse data, or close the connection if a limit is exceeded."""
        payload = self._payload
        if data and not self.is_in_body() and not self.awaits_head:
            # These bytes belong to no request (RFC 9112, section 9.2).
            self.abort()
            return
        if not self.is_in_body():
            start = self.head_start + data[:KEPT_HEAD_BYTES]
            self.head_start = start.lstrip()[:KEPT_HEAD_BYTES]
        body_bytes = 0 if payload is None else payload.total_bytes
        super().data_received(data)
        if self._payload is payload and (
            payload is None or payload.total_bytes == body_bytes
        ):
            # No response has begun, and no body has continued.
            self.overhead_bytes += len(data)
        if self.overhead_bytes > MAX_OVERHEAD_BYTES:
            self.reject_response(ExcessBytesError())

    def feed_data(
        self,
        data: tuple[http_parser.RawResponseMessage, streams.StreamReader],
        size: int = 0,
    ) -> None:
        """Queue a parsed response, or reject it and all that follow it."""
        message, _ = data
        self.head_start = b''
        if self.exception() is not None:
            return
        if not has_valid_status(message):
            self.reject_response(InvalidStatusError())
            return
        self.interim_responses += message.code < MIN_FINAL_STATUS
        if self.interim_responses > MAX_INTERIM_RESPONSES:
            self.reject_response(ExcessBytesError())
            return
        super().feed_data(data, size)

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException | None = None
    ) -> None:
        """Fail the current attempt.

        A status line that the parser rejects gets the same error as a status
        that it accepts and that is invalid.  In both cases the server has not
        crashed.
        """
        if isinstance(
            exc_cause, http_exceptions.BadStatusLine
        ) and self.head_start.startswith(STATUS_LINE_START):
            exc = InvalidStatusError()
        if exc_cause is None:
            super().set_exception(exc)
        else:
            super().set_exception(exc, exc_cause)

    def close(self) -> None:
        """Close the connection without sending what is still buffered."""
        self.abort()

    def reject_response(self, error: aiohttp.ClientError) -> None:
        """Fail the current attempt and close the connection."""
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class ResponseMatchingProtocol(BoundedProtocol):
    """Skips responses to earlier requests on a kept-alive connection.

    A faulty server may respond twice.  The second response arrives where the
    response to the next request is expected; the request id in the response
    tells them apart.  A response without an id is skipped too if the server
    is known to send ids.  ``record_keep_alive`` gets ``Keep-Alive`` values.
    """

    record_keep_alive: collections.abc.Callable[[str], None] | None = None

    async def read(
        self,
    ) -> tuple[http_parser.RawResponseMessage, streams.StreamReader]:
        """Return the next response that can belong to the request.

        Raises ``ExcessBytesError`` if the responses to other requests exceed
        the limits.
        """
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            message, payload = await super().read()
            keep_alive = message.headers.get(KEEP_ALIVE_HEADER)
            if keep_alive is not None and self.record_keep_alive is not None:
                self.record_keep_alive(keep_alive)
            if not self.is_of_another(message):
                return message, payload
            self.awaits_head = True
            await skip_body(payload)
        raise ExcessBytesError

    def is_of_another(self, message: http_parser.RawResponseMessage) -> bool:
        """Return whether a response is to another request than this."""
        if not self.expected_id or message.code < MIN_FINAL_STATUS:
            return False
        ids = echoed_ids(message.headers)
        if not ids:
            return self.echoes_ids and not self.attributed
        return ids != {self.expected_id}

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a close-delimited response when the connection was reset.

        The parser takes any end of the connection for the end of a response.
        """
        if exc is not None and self._payload is not None:
            if not self._payload.is_eof():
                self._payload.set_exception(
                    aiohttp.ClientPayloadError('connection reset')
                )
        super().connection_lost(exc)


async def skip_body(payload: streams.StreamReader) -> None:
    """Read a body and discard it.

    Raises ``ExcessBytesError`` if it exceeds the buffering limit.
    """
    while await payload.readany():
        if payload.total_bytes > MAX_BUFFERED_BYTES:
            raise ExcessBytesError


def open_socket(address: aiohappyeyeballs.AddrInfoType) -> socket.socket:
    """Return a socket that is reset when it is closed.

    It has a limit on the time to acknowledgement.
    """
    family, kind, protocol, _, _ = address
    opened_socket = socket.socket(family, kind, protocol)
    opened_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    opened_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
    )
    return opened_socket


class BeforeSendConnector(aiohttp.TCPConnector):
    """Connector that runs the ``before_send`` check of the current attempt."""

    # Shortest idle timeout that a server announced in ``Keep-Alive``.
    shortest_announced_s = float('inf')

    def set_protocol(self, skip_mismatched_responses: bool) -> None:
        """Set the protocol of new connections.

        aiohttp has no public way to do so.
        """

        def create_protocol() -> BoundedProtocol:
            if not skip_mismatched_responses:
                return BoundedProtocol(loop=self._loop)
            protocol = ResponseMatchingProtocol(loop=self._loop)
            protocol.record_keep_alive = self.record_keep_alive
            return protocol

        self._factory = create_protocol  # type: ignore[assignment]

    def record_keep_alive(self, keep_alive: str) -> None:
        """Set the idle timeout from the shortest that a server announced.

        aiohttp has one timeout for all connections and no public way to change
        it.  Long timeouts save new connections, each of which briefly takes up
        capacity at the server.
        """
        match = KEEP_ALIVE_TIMEOUT_REGEX.search(keep_alive)
        if match is None:
            return
        self.shortest_announced_s = min(
            self.shortest_announced_s, int(match[1])
        )
        self._keepalive_timeout = max(
            min(KEEPALIVE_TIMEOUT_S, self.shortest_announced_s / 2),
            min(
                MAX_KEEPALIVE_TIMEOUT_S,
                self.shortest_announced_s - KEEPALIVE_MARGIN_S,
            ),
        )

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: typing.Any,
        timeout: aiohttp.ClientTimeout,
    ) -> typing.Any:
        """Return a connection for immediate use, if ``before_send`` permits.

        Raises ``RepeatedError`` if the current attempt was sent before, and
        what ``authorize_send`` raises.
        """
        state = CURRENT_ATTEMPT.get()
        if state is not None and state.sent:
            # The HTTP client retries some methods when a kept-alive connection
            # was closed.  Only the service's configuration may allow a retry.
            raise RepeatedError
        connection = await super().connect(req, traces, timeout)
        if state is not None:
            try:
                state.authorize_send(req)
                if isinstance(connection.protocol, BoundedProtocol):
                    state.protocol = connection.protocol
                    connection.protocol.begin_request(state.request_id)
            except BaseException:
                connection.release()
                raise
        return connection


class BufferMemory:
    """Bytes of the bodies that are being read, of all attempts together.

    Beyond ``capacity_bytes``, responses are passed on as streams instead of
    being read completely first.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0

    def has_room(self) -> bool:
        """Return whether more may be read."""
        return self.used_bytes < self.capacity_bytes


class BodyBuffer:
    """The part of a response's body that was read and not passed on yet."""

    def __init__(self, memory: BufferMemory) -> None:
        self.memory = memory
        self.chunks: collections.deque[bytes] = collections.deque()
        self.size = 0

    def may_grow(self) -> bool:
        """Return whether the limits allow to read more."""
        return self.size <= MAX_BUFFERED_BYTES and (
            self.size < MIN_BUFFERED_BYTES or self.memory.has_room()
        )

    def append(self, chunk: bytes) -> None:
        """Add a chunk."""
        self.chunks.append(chunk)
        self.size += len(chunk)
        self.memory.used_bytes += len(chunk)

    def pop(self) -> bytes:
        """Remove and return the first chunk."""
        chunk = self.chunks.popleft()
        self.size -= len(chunk)
        self.memory.used_bytes -= len(chunk)
        return chunk

    def take(self) -> bytes:
        """Remove and return everything."""
        body = b''.join(self.chunks)
        self.clear()
        return body

    def clear(self) -> None:
        """Drop everything."""
        self.memory.used_bytes -= self.size
        self.size = 0
        self.chunks.clear()


class ResponseStream:
    """The body of a large response, in chunks.

    Yields what is in ``buffer`` first.  The consumer must read to the end or
    call ``close``.  ``deadline`` is event loop time; the connection is closed
    then even if the consumer does not read on.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        buffer: BodyBuffer,
        deadline: float,
    ) -> None:
        self.response = response
        self.buffer = buffer
        self.deadline = deadline
        self.closed = False
        self.close_callbacks: list[collections.abc.Callable[[], object]] = []
        self.deadline_timer = asyncio.get_running_loop().call_at(
            deadline, self.close
        )

    def call_when_closed(
        self, callback: collections.abc.Callable[[], object]
    ) -> None:
        """Run a callback once, at the end of the stream or now if it ended."""
        if self.closed:
            callback()
        else:
            self.close_callbacks.append(callback)

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the chunks; raise ``TruncatedBodyError`` at an early end."""
        try:
            while self.buffer.chunks:
                yield self.buffer.pop()
            while True:
                async with asyncio.timeout_at(self.deadline):
                    chunk = await self.response.content.readany()
                if not chunk:
                    break
                yield chunk
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise TruncatedBodyError(type(error).__name__) from error
        finally:
            # Closes the connection unless the body was read to its end.
            self.close()

    def close(self) -> None:
        """Release the connection, or close it if the body is incomplete."""
        if self.closed:
            return
        self.closed = True
        self.deadline_timer.cancel()
        self.buffer.clear()
        if self.response.content.at_eof():
            self.response.release()
        else:
            self.response.close()
        for callback in self.close_callbacks:
            callback()


class Forwarder:
    """Sends requests to backend servers over kept-alive connections.

    ``max_connections_per_server`` applies to this process only.  With
    ``skip_mismatched_responses``, a response with another request id is
    skipped instead of ending the attempt as ``MISMATCHED``, and ``Keep-Alive``
    timeouts that servers announce are used.  ``buffer_bytes`` limits the
    bodies of all responses that are being read.
    """

    def __init__(
        self,
        max_connections_per_server: int = MAX_CONNECTIONS_PER_SERVER,
        conventions: ResponseConventions | None = None,
        skip_mismatched_responses: bool = False,
        buffer_bytes: int = DEFAULT_BUFFER_BYTES,
    ) -> None:
        self.max_connections_per_server = max_connections_per_server
        self.conventions = (
            ResponseConventions() if conventions is None else conventions
        )
        self.skip_mismatched_responses = skip_mismatched_responses
        self.buffer_memory = BufferMemory(buffer_bytes)
        self.session: aiohttp.ClientSession | None = None
        self.limits = AttemptLimits()
        # The newest attempt in progress by request id, and all attempts: a
        # hedged request has two.
        self.in_flight: dict[str, AttemptState] = {}
        self.unfinished: set[AttemptState] = set()
        self.open_streams: dict[str, ResponseStream] = {}

    def get_session(self) -> aiohttp.ClientSession:
        """Return the HTTP session, created on first use in the event loop."""
        if self.session is None:
            connector = BeforeSendConnector(
                limit=0,
                limit_per_host=self.max_connections_per_server,
                keepalive_timeout=KEEPALIVE_TIMEOUT_S,
                socket_factory=open_socket,
            )
            connector.set_protocol(self.skip_mismatched_responses)
            self.session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
                skip_auto_headers=(
                    'User-Agent',
                    'Accept',
                    'Accept-Encoding',
                    'Content-Type',
                ),
            )
        return self.session

    async def close(self) -> None:
        """Close all connections."""
        if self.session is not None:
            await self.session.close()
            self.session = None

    def cancel(self, request_id: str) -> bool:
        """Stop an attempt and close its connection, as for a withdrawn key.

        The outcome becomes ``CANCELLED``; a streamed response is cut off.
        Returns whether the attempt was in progress.
        """
        stream = self.open_streams.get(request_id)
        if stream is not None:
            stream.close()
            return True
        state = self.in_flight.get(request_id)
        if state is None or state.timeout_scope is None:
            return False
        state.cancelled = True
        state.timeout_scope.reschedule(asyncio.get_running_loop().time())
        return True

    def limit_attempts(self, run_end: float, response_end: float) -> None:
        """End all attempts, also those in progress, by an event loop time.

        The fields of ``AttemptLimits`` have these names.  What a server was
        told before stays in force there.
        """
        self.limits.run_end = run_end
        self.limits.response_end = response_end
        for state in self.unfinished:
            scope = state.timeout_scope
            if scope is None or scope.expired():
                continue
            ends_at = scope.when()
            if ends_at is not None and ends_at > response_end:
                scope.reschedule(response_end)

    def has_sent(self, request_id: str) -> bool:
        """Return whether an attempt in progress was sent to its server."""
        state = self.in_flight.get(request_id)
        return request_id in self.open_streams or (
            state is not None and state.sent
        )

    async def send(
        self, attempt: Attempt, before_send: BeforeSend
    ) -> ForwardOutcome:
        """Send a request to a backend server and return the outcome.

        Cancelling this coroutine closes the connection, which tells the server
        that the response is not needed any more.
        """
        loop = asyncio.get_running_loop()
        state = AttemptState(
            before_send,
            loop.time() + attempt.time_left_s,
            attempt.request_id,
            self.limits,
        )
        token = CURRENT_ATTEMPT.set(state)
        self.in_flight[attempt.request_id] = state
        self.unfinished.add(state)
        try:
            async with asyncio.timeout_at(
                min(state.deadline, self.limits.response_end)
            ) as timeout_scope:
                state.timeout_scope = timeout_scope
                return await self.exchange(attempt, state)
        except TimeoutError:
            return self.timeout_outcome(state)
        except SendVetoedError as error:
            return ForwardOutcome(
                ForwardOutcomeKind.NOT_SENT,
                False,
                failure=error.failure,
                message=error.failure.message,
            )
        except (ExcessBytesError, InvalidStatusError) as error:
            # Not BROKEN, which may count as a crash caused by the request.
            return ForwardOutcome(
                ForwardOutcomeKind.MISMATCHED,
                True,
                state.status,
                message=type(error).__name__,
            )
        except (
            aiohttp.ClientError,
            OSError,
            RepeatedError,
            # What the HTTP client raises for an invalid address.
            ValueError,
        ) as error:
            return connection_failed(state, type(error).__name__)
        finally:
            CURRENT_ATTEMPT.reset(token)
            self.unfinished.discard(state)
            if self.in_flight.get(attempt.request_id) is state:
                del self.in_flight[attempt.request_id]

    def timeout_outcome(self, state: AttemptState) -> ForwardOutcome:
        """Return the outcome of an attempt that timed out or was cancelled."""
        if state.cancelled:
            return ForwardOutcome(
                ForwardOutcomeKind.CANCELLED, state.sent, message='cancelled'
            )
        if not state.sent:
            return connection_failed(state, 'no connection in time')
        return ForwardOutcome(
            ForwardOutcomeKind.TIMED_OUT, True, message='no answer'
        )

    async def exchange(
        self, attempt: Attempt, state: AttemptState
    ) -> ForwardOutcome:
        """Send a request and read the response."""
        url = f'http://{attempt.server}{attempt.path}'
        if attempt.query:
            url = f'{url}?{attempt.query}'
        headers = [
            *attempt.headers,
            ('X-Request-Id', attempt.request_id),
        ]
        response = await self.get_session().request(
            attempt.method,
            yarl.URL(url, encoded=True),
            headers=headers,
            data=attempt.body or None,
            allow_redirects=False,
        )
        state.status = response.status
        try:
            return await self.read_response(attempt, state, response)
        except BaseException:
            response.close()
            raise

    async def read_response(
        self,
        attempt: Attempt,
        state: AttemptState,
        response: aiohttp.ClientResponse,
    ) -> ForwardOutcome:
        """Check a response and read it, up to the buffering limit.

        The rest of a larger body is left to the stream of the outcome.
        """
        headers = tuple(
            # aiohttp's own string type for names cannot be serialized.
            (str(name), value)
            for name, value in response.headers.items()
        )
        ids = echoed_ids(response.headers)
        if ids and ids != {attempt.request_id}:
            return mismatched(state, response, 'answer of another')
        not_run = reports_not_run(self.conventions, response)
        if (
            (not_run or response.status == MISDIRECTED_STATUS)
            and state.protocol is not None
            and not state.protocol.attributed
        ):
            return mismatched(state, response, 'refusal of any request')
        if not self.conventions.allow_close_delimited and not is_delimited(
            attempt.method, response
        ):
            response.close()
            return connection_failed(
                state, 'the end of the answer is not marked'
            )
        buffer = BodyBuffer(self.buffer_memory)
        try:
            complete = await read_buffered(response, buffer)
        except BaseException:
            buffer.clear()
            raise
        kind = (
            ForwardOutcomeKind.SHED if not_run else ForwardOutcomeKind.ANSWERED
        )
        if not complete and kind is ForwardOutcomeKind.ANSWERED:
            stream = ResponseStream(response, buffer, state.deadline)
            stream.call_when_closed(
                lambda: self.open_streams.pop(attempt.request_id, None)
            )
            self.open_streams[attempt.request_id] = stream
            return ForwardOutcome(
                kind, True, response.status, headers, stream=stream
            )
        if complete:
            response.release()
        else:
            response.close()
        return ForwardOutcome(
            kind, True, response.status, headers, buffer.take()
        )


def mismatched(
    state: AttemptState, response: aiohttp.ClientResponse, message: str
) -> ForwardOutcome:
    """Close the connection and return the outcome of an unusable response."""
    response.close()
    # A response without a body has already returned its connection to the
    # pool, so closing the response does not close it.
    if state.protocol is not None:
        state.protocol.close()
    return ForwardOutcome(ForwardOutcomeKind.MISMATCHED, True, message=message)


def connection_failed(state: AttemptState, message: str) -> ForwardOutcome:
    """Return the outcome of an attempt without a usable response.

    The kind is ``BROKEN``, or ``NOT_SENT`` if the request was not sent.
    """
    kind = (
        ForwardOutcomeKind.BROKEN
        if state.sent
        else ForwardOutcomeKind.NOT_SENT
    )
    return ForwardOutcome(
        kind, state.sent, status=state.status, message=message
    )


def reports_not_run(
    conventions: ResponseConventions, response: aiohttp.ClientResponse
) -> bool:
    """Tell whether the server reported that it did not run the request."""
    value = response.headers.get(conventions.not_run_header)
    if value is None:
        return False
    return (
        not conventions.not_run_values
        or value.lower() in conventions.not_run_values
    )


def is_delimited(method: str, response: aiohttp.ClientResponse) -> bool:
    """Tell whether a response marks where its body ends.

    Without a length or chunked coding, a broken connection looks like the end.
    """
    if method == 'HEAD' or response.status in (204, 304):
        return True
    if 'Content-Length' in response.headers:
        return True
    transfer_coding = response.headers.get('Transfer-Encoding', '')
    return transfer_coding.lower().endswith('chunked')


async def read_buffered(
    response: aiohttp.ClientResponse, buffer: BodyBuffer
) -> bool:
    """Read a body up to the buffering limits; return if it is complete."""
    while buffer.may_grow():
        chunk = await response.content.readany()
        if not chunk:
            return True
        buffer.append(chunk)
    return False
