"""HTTP listeners for callers' requests, look-ups and readiness checks."""

import asyncio
import typing

from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web

from filbertstep import _decimals
from filbertstep import _web
from filbertstep import clock
from filbertstep import codec
from filbertstep import delivery
from filbertstep import errors
from filbertstep import steering
from filbertstep.entry import _bodies
from filbertstep.entry import _connections
from filbertstep.entry import _contracts
from filbertstep.entry import _messages
from filbertstep.entry import _pipelines
from filbertstep.entry import _requests
from filbertstep.entry import _state
from filbertstep.entry import _stopping
from filbertstep.entry import _supervision

# Deadlines of this many digits are thirty years away.
MAX_DEADLINE_DIGITS: typing.Final = 12

# Colon, space and line end (CRLF).
HEADER_SEPARATOR_BYTES: typing.Final = 4


class CallerListener(_connections.ConnectionObserver):
    """HTTP handler for callers' requests.

    ``running`` holds the requests that are being handled.
    """

    def __init__(
        self,
        request_handler: _requests.RequestHandler,
        state: _state.State,
        wire_format: _contracts.WireFormat,
        time_source: clock.Clock,
        body_memory_bytes: int,
    ) -> None:
        self.request_handler = request_handler
        self.state = state
        self.wire_format = wire_format
        self.clock = time_source
        self.running: set[_pipelines.RunningRequest] = set()
        self.pipelines = _pipelines.PipelineTable()
        self.body_memory = _bodies.BodyMemory(body_memory_bytes)
        self.body_readers: set[_bodies.BodyReader] = set()

    def request_arrived(
        self,
        connection: _connections.CallerConnection,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        """Note when a request arrived, and start it early if it may."""
        pipeline = self.pipelines.open(connection)
        pipeline.requests[id(message)] = _pipelines.PipelinedRequest(
            message, self.clock.now(), _connections.announces_body(payload)
        )
        self.start_early(connection, pipeline)

    def connection_lost(
        self, connection: _connections.CallerConnection
    ) -> None:
        """Give up the requests that were started early."""
        for early in self.pipelines.close(connection):
            early.give_up()
            self.running.discard(early.running)

    def held_answer_bytes(
        self, connection: _connections.CallerConnection
    ) -> int:
        """Return the bytes of answers that wait for their turn."""
        return self.pipelines.get(connection).held_answer_bytes()

    def start_early(
        self,
        connection: _connections.CallerConnection,
        pipeline: _pipelines.Pipeline,
    ) -> None:
        """Start requests that wait behind others of their connection.

        A VM that stops starts none: its next answer closes the connection.
        """
        if not self.state.stop.rules(self.clock.now()).keeps_connections:
            return
        try:
            for request in pipeline.waiting_to_start(self.is_repeatable):
                http_request = connection.bodyless_request(request.message)
                if self.check_limits(http_request) is not None:
                    return
                call = self.parse_call(http_request, request.arrived_at)
                running = _pipelines.RunningRequest(
                    call.request_id, request.arrived_at
                )
                self.running.add(running)
                self.state.log.write('early_start', id=call.request_id)
                pipeline.early_runs[id(request.message)] = _pipelines.EarlyRun(
                    call,
                    running,
                    asyncio.ensure_future(
                        self.request_handler.serve(call, read_no_body)
                    ),
                )
        except Exception as error:
            # An error here would close the connection, with the answers of
            # other requests.  This request is handled in its turn.
            self.log_internal_error('', error)

    def is_repeatable(self, request: _pipelines.PipelinedRequest) -> bool:
        """Return whether a request may run more than once."""
        message, routes = request.message, self.state.routes
        if routes is None:
            return False
        route = routes.find(
            message.headers.get('Host', ''), message.path.partition('?')[0]
        )
        return route is not None and route.idempotent

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        connection = request.protocol
        pipeline = self.pipelines.get(connection)
        key = _connections.message_identity(request)
        pipeline.handled = key
        arrived = pipeline.requests.get(key)
        arrived_at = arrived.arrived_at if arrived else self.clock.now()
        early = pipeline.early_runs.get(key)
        running = (
            early.running
            if early
            else _pipelines.RunningRequest(
                request.headers.get(self.wire_format.request_id_header, ''),
                arrived_at,
            )
        )
        self.running.add(running)
        try:
            if early is not None:
                call, work = early.call, early.work
            else:
                refusal = self.check_limits(request)
                if refusal is not None:
                    return await self.send(request, refusal)
                call = self.parse_call(request, arrived_at)
                reader = _bodies.BodyReader(
                    self.body_memory,
                    request,
                    self.limits().max_body_bytes,
                    call.deadline,
                    self.clock,
                )
                work = asyncio.ensure_future(
                    self.request_handler.serve(call, reader.read)
                )
                reader.end_by(self.state.stop.runs_until)
                self.body_readers.add(reader)
                # The work may outlive this handler, and needs the body.
                work.add_done_callback(lambda _: self.release(reader))
            try:
                reply = await asyncio.shield(work)
            except asyncio.CancelledError:
                self.handle_disconnect(call, work)
                raise
            except Exception as error:
                self.log_internal_error(call.request_id, error)
                reply = _messages.failure_reply(
                    errors.ErrorKind.INTERNAL, 'internal error'
                )
            return await self.send(request, reply)
        finally:
            self.running.discard(running)
            pipeline.finish(key)
            if isinstance(connection, _connections.CallerConnection):
                self.start_early(connection, pipeline)

    def release(self, reader: _bodies.BodyReader) -> None:
        """Free the body of a request that has ended."""
        self.body_readers.discard(reader)
        reader.release()

    def end_bodies_by(self, stop_time: float) -> None:
        """Read bodies until the stop of this VM at most."""
        for reader in self.body_readers:
            reader.end_by(stop_time)

    def log_internal_error(self, request_id: str, error: Exception) -> None:
        """Log a fault of the program."""
        self.state.log.write(
            'internal_error',
            id=request_id,
            type=type(error).__name__,
            trace=_supervision.innermost_frames(error),
        )

    def handle_disconnect(
        self, call: _messages.Call, work: asyncio.Future[_messages.Reply]
    ) -> None:
        """Cancel the work for a caller that closed the connection.

        A non-idempotent request that a server already has may be half done.
        It runs to its end, so that this system's records agree with the
        server's.
        """
        if not self.request_handler.has_non_idempotent_in_flight(
            call.request_id
        ):
            work.cancel()

    def limits(self) -> steering.Limits:
        """Return the limits of the configuration in force."""
        configuration = self.state.configuration
        return configuration.limits if configuration else steering.Limits()

    def check_limits(self, request: web.BaseRequest) -> _messages.Reply | None:
        """Return a failure reply if head or body are too large, or None."""
        limits = self.limits()
        head_bytes = len(request.raw_path) + sum(
            len(name) + len(value) + HEADER_SEPARATOR_BYTES
            for name, value in request.raw_headers
        )
        if head_bytes > limits.max_head_bytes:
            return _messages.failure_reply(
                errors.ErrorKind.HEAD_TOO_LARGE, 'the head is too large'
            )
        length = request.content_length
        if length is not None and length > limits.max_body_bytes:
            return _messages.failure_reply(
                errors.ErrorKind.BODY_TOO_LARGE, 'the body is too large'
            )
        return None

    def parse_call(
        self, request: web.BaseRequest, arrived_at: float
    ) -> _messages.Call:
        """Return the call that an HTTP request describes."""
        wire_format, headers = self.wire_format, request.headers
        time_left_s = _requests.DEFAULT_DEADLINE_S
        deadline_ms = _decimals.parse_decimal(
            headers.get(wire_format.deadline_header, ''), MAX_DEADLINE_DIGITS
        )
        if deadline_ms is not None:
            time_left_s = deadline_ms / 1000
        scheme, _, key = headers.get(wire_format.key_header, '').partition(' ')
        known_scheme = scheme.lower() == wire_format.key_scheme.lower()
        return _messages.Call(
            request_id=headers.get(wire_format.request_id_header, ''),
            method=request.method,
            host=headers.get('Host', ''),
            path=request.raw_path,
            headers=tuple(
                (str(name), value) for name, value in headers.items()
            ),
            key=key.strip() if known_scheme else None,
            affinity_key=escape_undecoded(
                request.cookies.get(wire_format.affinity_cookie, '')
            ),
            arrived_at=arrived_at,
            deadline=arrived_at + time_left_s,
        )

    async def send(
        self, request: web.BaseRequest, reply: _messages.Reply
    ) -> web.StreamResponse:
        """Send a reply to the caller.

        Raises ``TruncatedBodyError`` if the server breaks a streamed answer
        off, and ``TimeoutError`` if the caller does not read it in time; the
        connection is aborted then.
        """
        if reply.failure is not None:
            reply = self.render_failure(request, reply.failure)
        response: web.StreamResponse
        if reply.stream is None:
            response = web.Response(status=reply.status, body=reply.body)
        else:
            response = web.StreamResponse(status=reply.status)
        for name, value in reply.headers:
            if name.lower() == 'content-type':
                response.headers[name] = value
            else:
                response.headers.add(name, value)
        if not self.state.stop.rules(self.clock.now()).keeps_connections:
            # Requests behind this one that were passed on get their answers.
            early_runs = self.pipelines.get(request.protocol).early_runs
            if not early_runs.keys() - {
                _connections.message_identity(request)
            }:
                response.force_close()
        if reply.stream is None:
            return response
        try:
            # A caller that stops reading must not keep the stream open.
            async with asyncio.timeout_at(reply.stream.deadline):
                await response.prepare(request)
                async for chunk in reply.stream:
                    await response.write(chunk)
                await response.write_eof()
        except (delivery.TruncatedBodyError, TimeoutError) as error:
            self.state.log.write(
                'answer_cut',
                id=request.headers.get(self.wire_format.request_id_header),
                error=str(error) or type(error).__name__,
            )
            # The missing last chunk shows the caller that the answer is
            # incomplete.
            if request.transport is not None:
                request.transport.abort()
            raise
        finally:
            reply.stream.close()
        return response

    def render_failure(
        self, request: web.BaseRequest, failure: errors.Failure
    ) -> _messages.Reply:
        """Return the HTTP form of a failure of this system."""
        headers = [
            ('Content-Type', 'application/json'),
            (_web.ERROR_KIND_HEADER, failure.kind.value),
        ]
        request_id = request.headers.get(self.wire_format.request_id_header)
        if request_id is not None:
            headers.append((self.wire_format.request_id_header, request_id))
        if failure.retry_after_s is not None:
            headers.append(
                (
                    self.wire_format.retry_after_header,
                    f'{failure.retry_after_s:g}',
                )
            )
        return _messages.Reply(
            errors.ANSWERS[failure.kind].status,
            tuple(headers),
            codec.encode(errors.error_body(failure)),
        )


async def read_no_body() -> bytes:
    """Return the body of a request that has none."""
    return b''


class LookupListener:
    """HTTP handlers for look-ups by callers and readiness checks."""

    def __init__(
        self,
        state: _state.State,
        own_member: steering.Member,
        wire_format: _contracts.WireFormat,
        time_source: clock.Clock,
    ) -> None:
        self.state = state
        self.own_member = own_member
        self.wire_format = wire_format
        self.clock = time_source

    async def handle_lookup(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answer a look-up with VM addresses; 503 if no VM is known."""
        if request.path != self.wire_format.lookup_path:
            return web.Response(status=404)
        lookup = self.wire_format.parse_lookup(request.query)
        if lookup is None:
            return web.Response(status=400)
        members = dict(self.state.members.live)
        if not self.state.stop.rules(self.clock.now()).listed:
            members.pop(self.own_member.vm, None)
        nearest_vms = steering.nearest_members(
            members.values(), lookup.region, lookup.availability_zone
        )
        if not nearest_vms:
            return web.Response(status=503)
        ttl_s = min(
            _stopping.LOOKUP_TTL_S,
            self.state.settings.bounds.max_lookup_ttl_s,
        )
        body = self.wire_format.format_lookup_answer(
            [member.callers for member in nearest_vms], ttl_s
        )
        return _web.json_response(body)

    async def handle_ready(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answer 200 if this VM accepts requests of callers, else 503."""
        if request.path != self.wire_format.ready_path:
            return web.Response(status=404)
        now = self.clock.now()
        ready = self.state.stop.rules(now).listed and self.state.is_ready(now)
        return web.Response(status=200 if ready else 503)


def escape_undecoded(text: str) -> str:
    """Return a header's text with escapes for bytes that are not UTF-8.

    aiohttp decodes such bytes to surrogates, which cannot be encoded again.
    """
    if text.isascii():
        return text
    return text.encode('utf-8', 'surrogateescape').decode(
        'utf-8', 'backslashreplace'
    )
