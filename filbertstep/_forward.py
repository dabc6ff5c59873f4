"""One try of a request at a backend server.

The outcome says whether the server may have run the request.  It is 'not
sent' only while no byte of the request went out, so the connector asks for
permission after it has a connection and before the request uses it.
"""

import asyncio
import collections.abc
import contextvars
import enum
import re
import socket
import typing

import aiohappyeyeballs
import aiohttp
from aiohttp import client_proto
from aiohttp import http_parser
from aiohttp import streams
import yarl

from filbertstep import errors

# Answers up to this size, in bytes, are read whole before they are passed on;
# the caller then gets an error instead of a cut answer.
MAX_BUFFERED_BYTES: typing.Final = 1024 * 1024

# Idle connections are closed after this time in seconds.  It must be shorter
# than the time after which backend servers close theirs: a request sent on a
# connection that is closed at that moment has an unknown outcome.
KEEPALIVE_TIMEOUT_S: typing.Final = 4.0

# How long in seconds before the end that a server states in ``Keep-Alive`` a
# connection is used no more: the way there, and timers that fire late.
KEEPALIVE_MARGIN_S: typing.Final = 1.5

# Longest idle time in seconds of a connection whatever servers state.
MAX_KEEPALIVE_TIMEOUT_S: typing.Final = 15.0

# Connections of one process to one backend server.
MAX_CONNECTIONS_PER_SERVER: typing.Final = 64

# Time limit in seconds of a TCP connection to a backend server, which takes
# milliseconds.  Nothing was sent, so the request can go elsewhere.
CONNECT_TIMEOUT_S: typing.Final = 0.4

# Time in milliseconds after which the kernel gives up on sent bytes that are
# not acknowledged.  Kept connections can go silent without a reset.
TCP_USER_TIMEOUT_MS: typing.Final = 1500

REQUEST_ID_HEADER: typing.Final = 'X-Request-Id'
KEEP_ALIVE_HEADER: typing.Final = 'Keep-Alive'
KEEP_ALIVE_TIMEOUT_REGEX: typing.Final = re.compile(r'timeout=(\d+)')


class ResponseConventions(typing.NamedTuple):
    """How backend servers spell what they say about a request.

    A server that did not run a request says so by ``not_run_header`` with
    one of ``not_run_values``, any value if there are none.  ``unframed``
    accepts answers that end with their connection.
    """

    not_run_header: str = 'X-Not-Run'
    not_run_values: frozenset[str] = frozenset({'true'})
    allow_close_delimited: bool = False


BeforeSend = collections.abc.Callable[[], errors.Failure | None]
"""Called when a connection exists; a failure stops the request as not run."""


class ForwardOutcomeKind(enum.Enum):
    """What became of one try."""

    ANSWERED = enum.auto()
    NOT_SENT = enum.auto()
    SHED = enum.auto()
    BROKEN = enum.auto()
    TIMED_OUT = enum.auto()
    MISMATCHED = enum.auto()
    CANCELLED = enum.auto()


class Attempt(typing.NamedTuple):
    """A request for one backend server.

    ``path`` and ``query`` are encoded; ``server`` is ``host:port``;
    ``time_left_s`` in seconds is what the server learns as its deadline.
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
    """A streamed answer ended before its end."""


class ForwardOutcome(typing.NamedTuple):
    """Outcome of a try; what it holds depends on the kind.

    ``sent`` tells whether the server may have seen the request, ``status``
    is 0 when no head of an answer arrived.  ``failure``
    is that of ``on_sending``.  For ANSWERED either ``body`` is whole, or
    ``stream`` yields it and raises ``BrokenAnswerError`` when it is cut.
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
    """Stops a request that has a connection but was not sent."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class RepeatedError(Exception):
    """Stops the HTTP client from sending a request a second time."""


class AttemptState:
    """State of one try while it runs."""

    def __init__(
        self, before_send: BeforeSend, deadline: float, request_id: str
    ) -> None:
        self.before_send = before_send
        self.request_id = request_id
        # Time of the event loop at which the try ends.
        self.deadline = deadline
        self.sent = False
        # Status of the answer, 0 until its head arrives.
        self.status = 0
        self.cancelled = False
        self.timeout_scope: asyncio.Timeout | None = None
        self.transport: asyncio.Transport | None = None

    def authorize_send(self, request: aiohttp.ClientRequest) -> None:
        """Mark the request as sent, or raise to stop it."""
        failure = self.before_send()
        if failure is not None:
            raise SendVetoedError(failure)
        # The server counts the time from now on; waiting for the connection
        # must not let it run longer than the slot is held.
        left_s = self.deadline - asyncio.get_running_loop().time()
        if left_s <= 0:
            raise TimeoutError
        request.headers['X-Deadline-Ms'] = str(max(1, int(left_s * 1000)))
        self.sent = True


CURRENT_ATTEMPT: contextvars.ContextVar[AttemptState | None] = (
    contextvars.ContextVar('SENDING', default=None)
)


class ResponseMatchingProtocol(client_proto.ResponseHandler):
    """Skips answers to earlier requests of a kept connection.

    A faulty server answers twice.  The second answer arrives where that to
    the next request is due; the request id tells them apart.
    """

    expected_id: str | None = None
    record_keep_alive: collections.abc.Callable[[str], None] | None = None

    async def read(
        self,
    ) -> tuple[http_parser.RawResponseMessage, streams.StreamReader]:
        """Return the next answer that can belong to the request."""
        while True:
            message, payload = await super().read()
            keep_alive = message.headers.get(KEEP_ALIVE_HEADER)
            if keep_alive is not None and self.record_keep_alive is not None:
                self.record_keep_alive(keep_alive)
            echoed = message.headers.get(REQUEST_ID_HEADER)
            if self.expected_id is None or echoed in (None, self.expected_id):
                return message, payload
            await payload.read()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer without a length when the connection was reset.

        The parser takes any end of the connection for the end of the answer.
        """
        if exc is not None and self._payload is not None:
            if not self._payload.is_eof():
                self._payload.set_exception(
                    aiohttp.ClientPayloadError('connection reset')
                )
        super().connection_lost(exc)


def open_socket(address: aiohappyeyeballs.AddrInfoType) -> socket.socket:
    """Return a socket whose sent bytes must be acknowledged in time."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    return opened


class BeforeSendConnector(aiohttp.TCPConnector):
    """Asks the running try for permission once it has a connection."""

    # Shortest idle time in seconds that a server stated.
    shortest_server_timeout_s = float('inf')

    def skip_mismatched_responses(self) -> None:
        """Use ``MatchingProtocol``; aiohttp has no public way to set it."""

        def protocol() -> ResponseMatchingProtocol:
            handler = ResponseMatchingProtocol(loop=self._loop)
            handler.record_keep_alive = self.record_keep_alive
            return handler

        self._factory = protocol  # type: ignore[assignment]

    def record_keep_alive(self, keep_alive: str) -> None:
        """Keep idle connections as long as all servers say they do.

        aiohttp has one limit for all connections and no public way to change
        it.  New connections cost servers a place for a moment.
        """
        found = KEEP_ALIVE_TIMEOUT_REGEX.search(keep_alive)
        if found is None:
            return
        self.shortest_server_timeout_s = min(
            self.shortest_server_timeout_s, int(found[1])
        )
        self._keepalive_timeout = max(
            min(KEEPALIVE_TIMEOUT_S, self.shortest_server_timeout_s / 2),
            min(
                MAX_KEEPALIVE_TIMEOUT_S,
                self.shortest_server_timeout_s - KEEPALIVE_MARGIN_S,
            ),
        )

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: typing.Any,
        timeout: aiohttp.ClientTimeout,
    ) -> typing.Any:
        """Return a connection that the request uses at once."""
        state = CURRENT_ATTEMPT.get()
        if state is not None and state.sent:
            # The HTTP client repeats some methods when a kept connection was
            # closed; whether that is allowed is for the service to say.
            raise RepeatedError
        connection = await super().connect(req, traces, timeout)
        if state is not None:
            try:
                state.authorize_send(req)
                state.transport = connection.transport
                if isinstance(connection.protocol, ResponseMatchingProtocol):
                    connection.protocol.expected_id = state.request_id
            except BaseException:
                connection.release()
                raise
        return connection


class ResponseStream:
    """The body of a large answer, in pieces.

    The consumer must read to the end or call ``close``.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        read: list[bytes],
        deadline: float,
        on_close: collections.abc.Callable[[], object],
    ) -> None:
        self.response = response
        self.read = read
        self.deadline = deadline
        self.on_close = on_close

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the pieces; raise ``BrokenAnswerError`` if it is cut."""
        try:
            for chunk in self.read:
                yield chunk
            while True:
                async with asyncio.timeout_at(self.deadline):
                    chunk = await self.response.content.readany()
                if not chunk:
                    break
                yield chunk
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise TruncatedBodyError(type(error).__name__) from error
        finally:
            # Closes the connection unless the answer was read to its end.
            self.close()

    def close(self) -> None:
        """Close the connection if the answer is not complete."""
        self.on_close()
        if self.response.content.at_eof():
            self.response.release()
        else:
            self.response.close()


class Forwarder:
    """Sends requests to backend servers over kept connections."""

    def __init__(
        self,
        max_connections_per_server: int = MAX_CONNECTIONS_PER_SERVER,
        conventions: ResponseConventions | None = None,
        skip_mismatched_responses: bool = False,
    ) -> None:
        self.max_connections_per_server = max_connections_per_server
        self.conventions = (
            ResponseConventions() if conventions is None else conventions
        )
        self.skip_mismatched_responses = skip_mismatched_responses
        self.session: aiohttp.ClientSession | None = None
        self.in_flight: dict[str, AttemptState] = {}
        self.open_streams: dict[str, ResponseStream] = {}

    def start(self) -> aiohttp.ClientSession:
        """Return the session, which needs a running event loop."""
        if self.session is None:
            connector = BeforeSendConnector(
                limit=0,
                limit_per_host=self.max_connections_per_server,
                keepalive_timeout=KEEPALIVE_TIMEOUT_S,
                socket_factory=open_socket,
            )
            if self.skip_mismatched_responses:
                connector.skip_mismatched_responses()
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
        """Close the connection of a running try, as for a withdrawn key.

        The try's outcome is CANCELLED, or its stream is cut.  Returns whether
        it was running.
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

    async def send(
        self, attempt: Attempt, before_send: BeforeSend
    ) -> ForwardOutcome:
        """Try a request at a backend server.

        Cancelling this coroutine closes the connection, by which the server
        learns that the work is no longer wanted.
        """
        loop = asyncio.get_running_loop()
        state = AttemptState(
            before_send,
            loop.time() + attempt.time_left_s,
            attempt.request_id,
        )
        token = CURRENT_ATTEMPT.set(state)
        self.in_flight[attempt.request_id] = state
        try:
            async with asyncio.timeout_at(state.deadline) as timeout_scope:
                state.timeout_scope = timeout_scope
                return await self.exchange(attempt, state)
        except TimeoutError:
            return self.timed_out(state)
        except SendVetoedError as error:
            return ForwardOutcome(
                ForwardOutcomeKind.NOT_SENT,
                False,
                failure=error.failure,
                message=error.failure.message,
            )
        except (aiohttp.ClientError, OSError, RepeatedError) as error:
            return connection_failed(state, type(error).__name__)
        finally:
            CURRENT_ATTEMPT.reset(token)
            if self.in_flight.get(attempt.request_id) is state:
                del self.in_flight[attempt.request_id]

    def timed_out(self, state: AttemptState) -> ForwardOutcome:
        """Return the outcome of a try whose time limit passed."""
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
        """Send a request and read its answer."""
        url = f'http://{attempt.server}{attempt.path}'
        if attempt.query:
            url = f'{url}?{attempt.query}'
        headers = [
            *attempt.headers,
            ('X-Request-Id', attempt.request_id),
        ]
        response = await self.start().request(
            attempt.method,
            yarl.URL(url, encoded=True),
            headers=headers,
            data=attempt.body or None,
            allow_redirects=False,
        )
        state.status = response.status
        try:
            return await self.read(attempt, state, response)
        except BaseException:
            response.close()
            raise

    async def read(
        self,
        attempt: Attempt,
        state: AttemptState,
        response: aiohttp.ClientResponse,
    ) -> ForwardOutcome:
        """Check an answer and read it, as far as it is buffered."""
        headers = tuple(
            # A plain string: the HTTP library's own type cannot be sent on.
            (str(name), value)
            for name, value in response.headers.items()
        )
        echoed = response.headers.get('X-Request-Id')
        if echoed is not None and echoed != attempt.request_id:
            response.close()
            # An answer without a body has already given its connection back
            # to the pool, where closing the answer does not reach it.
            if state.transport is not None:
                state.transport.close()
            return ForwardOutcome(
                ForwardOutcomeKind.MISMATCHED,
                True,
                message='answer of another',
            )
        if not self.conventions.allow_close_delimited and not is_delimited(
            attempt.method, response
        ):
            response.close()
            return connection_failed(
                state, 'the end of the answer is not marked'
            )
        chunks, complete = await read_buffered(response)
        kind = ForwardOutcomeKind.ANSWERED
        if reports_not_run(self.conventions, response):
            kind = ForwardOutcomeKind.SHED
        if not complete and kind is ForwardOutcomeKind.ANSWERED:
            stream = ResponseStream(
                response,
                chunks,
                state.deadline,
                lambda: self.open_streams.pop(attempt.request_id, None),
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
            kind, True, response.status, headers, b''.join(chunks)
        )


def connection_failed(state: AttemptState, message: str) -> ForwardOutcome:
    """Return the outcome of a try whose connection failed."""
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
    """Tell whether the server says that it did not run the request."""
    value = response.headers.get(conventions.not_run_header)
    if value is None:
        return False
    return (
        not conventions.not_run_values
        or value.lower() in conventions.not_run_values
    )


def is_delimited(method: str, response: aiohttp.ClientResponse) -> bool:
    """Tell whether an answer says where it ends.

    Without a length or chunks, a cut connection looks like the end.
    """
    if method == 'HEAD' or response.status in (204, 304):
        return True
    if 'Content-Length' in response.headers:
        return True
    transfer_coding = response.headers.get('Transfer-Encoding', '')
    return transfer_coding.lower().endswith('chunked')


async def read_buffered(
    response: aiohttp.ClientResponse,
) -> tuple[list[bytes], bool]:
    """Read up to the buffering limit; return whether that was all."""
    chunks: list[bytes] = []
    size = 0
    while size <= MAX_BUFFERED_BYTES:
        chunk = await response.content.readany()
        if not chunk:
            return chunks, True
        chunks.append(chunk)
        size += len(chunk)
    return chunks, False
