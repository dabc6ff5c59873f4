"""HTTP listener for callers.

It serves look-ups of entry VMs, requests to services, and queries for the
outcome of a request id.
"""

import asyncio
import collections.abc
import typing

from aiohttp import web
import result

from filbertstep import _admission
from filbertstep import _exchange
from filbertstep import _recorder
from filbertstep import _web
from filbertstep import _withdrawals
from filbertstep import burn
from filbertstep import clock
from filbertstep import delivery
from filbertstep import errors
from filbertstep import lookup
from filbertstep import metrics
from filbertstep import systems

REQUEST_ID_HEADER: typing.Final = 'X-Request-Id'
GRANT_HEADER: typing.Final = 'X-Grant'

# A request with a longer request line or header field is refused with 400.
MAX_REQUEST_LINE_BYTES: typing.Final = 8190
MAX_HEADER_FIELD_BYTES: typing.Final = 8190

# Longest time for which ``/v1/outcome`` waits for a running request to end.
MAX_OUTCOME_WAIT_S: typing.Final = 1.0


class CallerListener:
    """HTTP handlers for callers; counts every response to a request.

    While ``stopping`` is set, requests are refused so that callers move to
    other VMs.
    """

    def __init__(
        self,
        admission: _admission.Admission,
        executor: _exchange.RequestExecutor,
        lookups: lookup.LookupSystem,
        freshness: systems.Freshness,
        forwarder: delivery.Forwarder,
        clock: clock.Clock,
        counters: metrics.Metrics,
        burn_table: burn.BurnTable,
        recorder: _recorder.HistoryRecorder,
        region: str,
    ) -> None:
        self.admission = admission
        self.executor = executor
        self.lookups = lookups
        self.freshness = freshness
        self.clock = clock
        self.counters = counters
        self.burn_table = burn_table
        self.recorder = recorder
        self.region = region
        self.withdrawn_key_monitor = _withdrawals.WithdrawnKeyMonitor(
            admission, executor, forwarder, counters
        )
        self.active_requests = self.withdrawn_key_monitor.active_requests
        self.stopping = False

    def make_application(self) -> web.Application:
        """Return the web application of this listener."""
        app = web.Application(middlewares=[_web.error_middleware])
        app.router.add_get('/v1/lookup', self.handle_lookup)
        app.router.add_get('/v1/outcome', self.handle_outcome)
        app.router.add_route('*', '/{tail:.*}', self.handle_request)
        return app

    async def handle_lookup(self, request: web.Request) -> web.Response:
        """Respond with the entry VMs that the caller should use."""
        service = request.query.get('service', '')
        client = request.query.get('client') or request.remote
        answer = self.lookups.answer(service, client)
        if isinstance(answer, result.Err):
            return _web.error_response(answer.err_value)
        self.counters.lookups.labels(service).inc()
        self.recorder.record_lookup(service, answer.ok_value)
        return web.Response(
            body=answer.ok_value, content_type='application/json'
        )

    async def handle_outcome(self, request: web.Request) -> web.Response:
        """Respond with the outcome of a request id of the key's account."""
        request_id = request.query.get('id', '')
        now = self.clock.now()
        if not self.freshness.is_fresh(now):
            return self.stale_config_response(request_id)
        account = self.outcome_account(raw_request(request), now)
        if isinstance(account, result.Err):
            return self.buffered_response(
                _exchange.refusal_reply(
                    request_id,
                    account.err_value,
                    self.ran_override(request_id),
                )
            )
        reply = await self.executor.resolve(
            account.ok_value, request_id, '', MAX_OUTCOME_WAIT_S
        )
        return self.buffered_response(reply)

    def outcome_account(
        self, raw: _admission.RawRequest, now: float
    ) -> result.Result[str, errors.Failure]:
        """Return the account whose outcome is queried.

        A query without a key is for the open account.  If there is no open
        service, it is refused: the caller must have forgotten its key, and
        would take 'not run' as the outcome for its own account.
        """
        credentials = delivery.extract_key(raw.headers)
        if isinstance(credentials, result.Err):
            return credentials
        views, digest = self.admission.views, credentials.ok_value.digest
        if digest is not None:
            account = views.key_account(digest, now)
            if account is not None:
                return result.Ok(account)
        elif views.newest is not None and any(
            service.open for service in views.newest.config.services.values()
        ):
            return result.Ok(_admission.OPEN_ACCOUNT)
        return result.Err(
            errors.Failure(
                errors.ErrorKind.UNAUTHORIZED, 'a key in force is required'
            )
        )

    def stale_config_response(self, request_id: str) -> web.Response:
        """Return the refusal while the configuration is not confirmed."""
        return self.buffered_response(
            _exchange.refusal_reply(
                request_id,
                errors.Failure(
                    errors.ErrorKind.NO_FRESH_CONFIG,
                    'this VM cannot confirm its configuration',
                    1.0,
                ),
                self.ran_override(request_id),
            )
        )

    def ran_override(self, request_id: str) -> errors.Ran | None:
        """Return 'unknown' if an earlier copy of the request may have run.

        Returns None otherwise: a refusal then says what its kind says.  The
        account may not be known yet, so an id that this process owns counts
        as new only if no account has used it.
        """
        parsed = delivery.parse_request_id(request_id)
        if isinstance(parsed, result.Err):
            return None
        is_first = self.executor.is_first_copy(
            '', request_id, parsed.ok_value.grant
        )
        is_known = self.executor.knows_request_id(request_id)
        return None if is_first and not is_known else errors.Ran.UNKNOWN

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """Handle a request to a service."""
        started_at = self.clock.now()
        raw = raw_request(request)
        request_id = request.headers.get(REQUEST_ID_HEADER, '')
        if not self.freshness.is_fresh(started_at):
            self.count_response('', '', errors.ErrorKind.NO_FRESH_CONFIG)
            return self.stale_config_response(request_id)
        admitted = self.admission.admit(raw, started_at)
        if isinstance(admitted, result.Err):
            failure = admitted.err_value
            self.count_response('', '', failure.kind)
            return self.buffered_response(
                _exchange.refusal_reply(
                    request_id, failure, self.ran_override(request_id)
                )
            )
        active_request = _withdrawals.ActiveRequest(admitted.ok_value)
        self.active_requests[id(active_request)] = active_request
        try:
            return await self.run_and_respond(
                request, active_request, request_id, started_at
            )
        finally:
            del self.active_requests[id(active_request)]

    async def run_and_respond(
        self,
        request: web.Request,
        active_request: _withdrawals.ActiveRequest,
        request_id: str,
        started_at: float,
    ) -> web.StreamResponse:
        """Run an admitted request, send the reply, and record the result."""
        admitted = active_request.admitted
        service = admitted.service
        reply: _exchange.Reply | None = None
        try:
            reply = await self.run_request(request, active_request, request_id)
            return await self.respond(request, active_request, reply)
        finally:
            kind = errors.ErrorKind.INTERNAL
            if reply is not None and reply.failure is not None:
                kind = reply.failure.kind
                self.recorder.record_refusal(
                    reply.request_id, service.name, admitted.account, kind
                )
            elapsed_s = self.clock.now() - started_at
            in_time = elapsed_s * 1000 <= service.objective.in_time_ms
            failed = reply is None or reply.failure is not None
            self.count_response(
                service.name, admitted.account, kind if failed else None
            )
            self.burn_table.count(
                burn.RowKey(service.name, admitted.account, self.region),
                kind if failed else None,
                in_time,
                started_at + elapsed_s,
            )
            self.counters.latency.labels(service.name).observe(elapsed_s)

    async def run_request(
        self,
        request: web.Request,
        active_request: _withdrawals.ActiveRequest,
        request_id: str,
    ) -> _exchange.Reply:
        """Read the body and run the request; return the reply."""
        admitted = active_request.admitted
        if self.stopping:
            return _exchange.refusal_reply(
                request_id,
                errors.Failure(
                    errors.ErrorKind.MOVED, 'this VM is about to stop', 1.0
                ),
                self.ran_override(request_id)
                if admitted.at_most_once
                else None,
            )
        body = await self.read_body(request, admitted)
        if isinstance(body, result.Err):
            ran = (
                self.ran_override(request_id)
                if admitted.at_most_once
                else None
            )
            return _exchange.refusal_reply(request_id, body.err_value, ran)
        # Stored here so that the request can be cancelled if its key is
        # withdrawn.
        active_request.request_id = request_id or self.executor.new_request_id(
            admitted.at_most_once
        )
        return await self.executor.run(
            admitted, body.ok_value, active_request.request_id
        )

    async def read_body(
        self, request: web.Request, admitted: _admission.AdmittedRequest
    ) -> result.Result[bytes, errors.Failure]:
        """Read the body.

        Returns a failure if it exceeds the service's size limit or does not
        arrive before the deadline.
        """
        limit = admitted.service.max_body_bytes
        too_large = errors.Failure(
            errors.ErrorKind.BODY_TOO_LARGE,
            f'the service takes bodies of at most {limit} bytes',
        )
        if (request.content_length or 0) > limit:
            return result.Err(too_large)
        time_left_s = admitted.deadline - self.clock.now()
        body = bytearray()
        try:
            async with asyncio.timeout(max(0.0, time_left_s)):
                async for chunk in request.content.iter_any():
                    body += chunk
                    if len(body) > limit:
                        return result.Err(too_large)
        except TimeoutError:
            return result.Err(
                errors.Failure(
                    errors.ErrorKind.BAD_REQUEST,
                    'the body did not arrive before the deadline',
                )
            )
        return result.Ok(bytes(body))

    async def respond(
        self,
        request: web.Request,
        active_request: _withdrawals.ActiveRequest,
        reply: _exchange.Reply,
    ) -> web.StreamResponse:
        """Send a reply to the caller."""
        if reply.stream is None:
            return self.buffered_response(reply)
        active_request.stream_task = asyncio.current_task()
        response = web.StreamResponse(status=reply.status)
        self.set_headers(response, reply)
        size = 0
        complete = False
        try:
            await response.prepare(request)
            async for chunk in reply.stream:
                size += len(chunk)
                await response.write(chunk)
            await response.write_eof()
            complete = True
        except delivery.TruncatedBodyError:
            # Closing without the final chunk tells the caller that the body
            # is incomplete.
            if request.transport is not None:
                request.transport.abort()
        finally:
            if reply.on_stream_end is not None:
                reply.on_stream_end(size, complete)
        return response

    def buffered_response(self, reply: _exchange.Reply) -> web.Response:
        """Return the HTTP response for a reply that is not streamed."""
        if reply.failure is not None:
            headers = {REQUEST_ID_HEADER: reply.request_id}
            if reply.include_grant:
                headers[GRANT_HEADER] = self.lookups.own_grant()
            if self.stopping:
                headers['Connection'] = 'close'
            return _web.error_response(reply.failure, headers, reply.ran)
        response = web.Response(status=reply.status, body=reply.body)
        self.set_headers(response, reply)
        return response

    def set_headers(
        self, response: web.StreamResponse, reply: _exchange.Reply
    ) -> None:
        """Copy the reply's headers and add this system's own."""
        for name, value in reply.headers:
            if name.lower() == 'content-type':
                response.headers['Content-Type'] = value
            else:
                response.headers.add(name, value)
        response.headers[REQUEST_ID_HEADER] = reply.request_id
        response.headers[_web.RAN_HEADER] = reply.ran.value
        if self.stopping:
            response.headers['Connection'] = 'close'

    def count_response(
        self, service: str, account: str, kind: errors.ErrorKind | None
    ) -> None:
        """Count a response; ``kind`` is None if the request succeeded."""
        outcome = 'ok' if kind is None else kind.value
        self.counters.requests.labels(service, account, outcome).inc()

    def tick(self, now: float) -> None:
        """Stop the requests of withdrawn keys."""
        self.withdrawn_key_monitor.tick(now)


def raw_request(request: web.Request) -> _admission.RawRequest:
    """Return the parts of a request as received."""
    path, _, query = request.raw_path.partition('?')
    headers = tuple(
        (str(name), value) for name, value in request.headers.items()
    )
    return _admission.RawRequest(request.method, path, query, headers)


def parser_limits() -> collections.abc.Mapping[str, int]:
    """Return the limits for aiohttp's request parser."""
    return {
        'max_line_size': MAX_REQUEST_LINE_BYTES,
        'max_field_size': MAX_HEADER_FIELD_BYTES,
    }


IDLE_POLL_INTERVAL_S: typing.Final = 0.05


async def wait_until_idle(listener: CallerListener, timeout_s: float) -> bool:
    """Wait until no request is active; return False after ``timeout_s``."""
    deadline = listener.clock.now() + timeout_s
    while listener.active_requests or listener.executor.background_tasks:
        if listener.clock.now() >= deadline:
            return False
        await asyncio.sleep(IDLE_POLL_INTERVAL_S)
    return True
