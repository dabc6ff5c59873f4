"""Stand-in for a backend server: slots, queue, injected faults, load reports.

One process runs one or several servers, each on its own port.  A request that
contains the crash text ends the whole process if it runs a single server, and
otherwise only the server that received the request.
"""

import asyncio
import collections.abc
import random

from aiohttp import web
import multidict
import result

from filbertstep import _history
from filbertstep import _standin_common
from filbertstep import _standin_faults
from filbertstep import _standin_load
from filbertstep import _standin_runs
from filbertstep import _standin_slots
from filbertstep import codec


class BackendServer:
    """One backend server.

    ``on_crash`` is called for a request that contains the crash text and must
    end the server.
    """

    def __init__(
        self,
        spec: _standin_faults.ServerSpec,
        faults: _standin_faults.ServerFaults,
        seed: int,
        secret_prefix: str,
        history: _history.HistoryWriter,
        on_crash: collections.abc.Callable[[], None],
    ) -> None:
        self.spec = spec
        self.faults = _standin_common.FaultSettings(
            _standin_faults.ServerFaults, faults, self.apply_faults
        )
        self.random = random.Random(f'{seed}/{spec["name"]}')
        self.secret_prefix = secret_prefix
        self.history = history
        self.on_crash = on_crash
        self.slot_queue = _standin_slots.SlotQueue(
            faults['slots'], faults['queue']
        )
        self.run_count = 0
        self.load_report = _standin_load.LoadReport(
            _standin_common.loop_time()
        )
        self.previous_response: tuple[str, bytes] | None = None
        self.runner: web.AppRunner | None = None

    def app(self) -> web.Application:
        """Return the application of this server."""
        app = web.Application(
            client_max_size=_standin_runs.MAX_RESPONSE_BYTES + 1
        )
        _standin_common.add_control_routes(
            app, self.apply_patch, self.control_document
        )
        app.router.add_get('/healthz', self.handle_probe)
        app.router.add_route('*', '/{path:.*}', self.handle_request)
        return app

    def apply_patch(
        self, patch: _standin_common.JsonObject
    ) -> result.Result[None, str]:
        """Change limits and faults by a patch from the control path."""
        was_draining = self.faults.fields['draining']
        applied = self.faults.merge(patch)
        if isinstance(applied, result.Ok):
            if self.faults.fields['draining'] != was_draining:
                self.record_state_event(
                    'serving' if was_draining else 'draining'
                )
        return applied

    def apply_faults(self) -> None:
        """Apply changed limits; if ``cold`` is set, restart the warm-up."""
        if self.faults.fields['cold']:
            self.faults.fields['cold'] = False
            self.load_report.cold_started_at = _standin_common.loop_time()
        self.slot_queue.slot_count = self.faults.fields['slots']
        self.slot_queue.queue_limit = self.faults.fields['queue']
        self.slot_queue.assign_free_slots()

    def control_document(self) -> _standin_common.JsonObject:
        """Return limits, faults and counts."""
        return {
            **self.faults.fields,
            'name': self.spec['name'],
            'running': self.slot_queue.running,
            'waiting': len(self.slot_queue.waiters),
            'runs': self.run_count,
        }

    def record_request_event(
        self,
        event: str,
        request_info: _standin_runs.RequestInfo,
        **fields: object,
    ) -> None:
        """Write an event about a request to the history."""
        self.history.write(
            event,
            server=self.spec['name'],
            service=self.spec['service'],
            region=self.spec['region'],
            running=self.slot_queue.running,
            waiting=len(self.slot_queue.waiters),
            **request_info._asdict(),
            **fields,
        )

    def record_state_event(self, state: str) -> None:
        """Write an event about the server itself to the history."""
        self.history.write(
            'server_state', server=self.spec['name'], state=state
        )

    async def handle_probe(self, request: web.Request) -> web.Response:
        """Respond to a health probe, with load in ORCA's JSON format."""
        fields = self.faults.fields
        if fields['healthz_status'] == 0:
            return _standin_common.abort_connection(request)
        status = 503 if fields['draining'] else fields['healthz_status']
        state = 'draining' if fields['draining'] else 'serving'
        response = _standin_common.json_response({'state': state}, status)
        self.add_load_headers(response.headers)
        return response

    def add_load_headers(self, headers: multidict.CIMultiDict[str]) -> None:
        """Add load and drain state to the headers of a response."""
        fields = self.faults.fields
        headers['endpoint-load-metrics'] = self.load_report.orca_header(
            _standin_common.loop_time(),
            fields['load_lag_s'],
            fields['reported_load'],
        )
        if fields['draining']:
            headers['X-Draining'] = 'true'

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """Handle a request: run it, shed it or crash.

        ``X-Deadline-Ms`` is the time from arrival after which the request is
        removed from the queue or its run is ended.
        """
        if self.exceeds_connection_limit(request):
            return _standin_common.abort_connection(request)
        received_at = _standin_common.loop_time()
        body = await request.read()
        request_info = _standin_runs.describe_request(
            request, body, self.secret_prefix
        )
        deadline_ms = _standin_runs.parse_number(
            request.headers, 'X-Deadline-Ms'
        )
        deadline = received_at + deadline_ms / 1000 if deadline_ms else None
        if not await self.acquire_slot(request_info, deadline):
            return self.shed_response()
        self.run_count += 1
        run_number = self.run_count
        self.record_request_event('begin', request_info, run=run_number)
        if self.contains_crash_text(request, body):
            self.record_request_event('crash', request_info, run=run_number)
            self.on_crash()
            return _standin_common.abort_connection(request)
        return await self.run_request(
            request, request_info, run_number, deadline
        )

    async def acquire_slot(
        self, request_info: _standin_runs.RequestInfo, deadline: float | None
    ) -> bool:
        """Take a slot, waiting in the queue if there is room in it.

        Returns False if the request must be shed, because the queue is full or
        the deadline has passed.
        """
        if not self.slot_queue.try_take_slot():
            waiter = self.slot_queue.enqueue()
            if waiter is not None:
                self.record_request_event('queued', request_info)
            if waiter is None or not await self.slot_queue.wait_for_slot(
                waiter, deadline
            ):
                self.record_request_event('shed', request_info)
                return False
        self.sample_load()
        return True

    async def run_request(
        self,
        request: web.Request,
        request_info: _standin_runs.RequestInfo,
        run_number: int,
        deadline: float | None,
    ) -> web.StreamResponse:
        """Run a request in its slot until it ends or its deadline passes.

        A client that disconnects cancels the handler; the run then ends with
        the event ``cancel``.
        """
        outcome = _standin_runs.RunOutcome(
            'cancel', web.Response(status=500), 0
        )
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(self.service_time_s(request))
                outcome = await self.respond(request, request_info, run_number)
        except TimeoutError:
            timeout_response = self.error_response(
                504, request_info, 'deadline'
            )
            outcome = _standin_runs.RunOutcome('deadline', timeout_response, 0)
        except ConnectionError:
            # The client disconnected while the response was being sent.
            # This is recorded as a cancellation.
            pass
        finally:
            self.slot_queue.release_slot()
            self.sample_load()
            self.record_request_event(
                outcome.event,
                request_info,
                run=run_number,
                answer_bytes=outcome.response_bytes,
            )
        return outcome.response

    def exceeds_connection_limit(self, request: web.Request) -> bool:
        """Tell whether the request's connection exceeds the limit."""
        server = None if self.runner is None else self.runner.server
        limit = self.faults.fields['connections']
        if server is None or len(server.connections) <= limit:
            return False
        # Connections are listed in the order in which they were opened.
        return request.protocol in server.connections[limit:]

    def sample_load(self) -> None:
        """Record the share of slots in use for load reports."""
        slots = self.faults.fields['slots']
        self.load_report.add_sample(
            _standin_common.loop_time(),
            self.slot_queue.running / max(1, slots),
            self.run_count,
        )

    def service_time_s(self, request: web.Request) -> float:
        """Return the seconds that a request runs before its response.

        This is ``run_ms`` of its query, or else a random time.  A server that
        is still warming up takes longer.
        """
        fields = self.faults.fields
        requested_ms = _standin_runs.parse_number(request.query, 'run_ms')
        mean_s = fields['mean_ms'] / 1000
        drawn_s = self.random.gammavariate(4.0, mean_s / 4.0)
        base_s = (
            min(requested_ms, _standin_runs.MAX_RUN_MS) / 1000
            if requested_ms
            else drawn_s
        )
        return base_s * self.load_report.service_time_factor(
            _standin_common.loop_time(),
            fields['cold_factor'],
            fields['warmup_s'],
        )

    def contains_crash_text(self, request: web.Request, body: bytes) -> bool:
        """Tell whether path, query or body contain the crash text."""
        text = self.faults.fields['crash_text']
        return bool(text) and (
            text.encode() in body or text in request.path_qs
        )

    def shed_response(self) -> web.Response:
        """Return the response to a request that is shed without being run."""
        response = _standin_common.json_response({'message': 'shed'}, 503)
        response.headers['X-Not-Run'] = 'true'
        self.add_load_headers(response.headers)
        return response

    def error_response(
        self,
        status: int,
        request_info: _standin_runs.RequestInfo,
        message: str,
    ) -> web.Response:
        """Return the response to a run that failed."""
        response = _standin_common.json_response({'message': message}, status)
        response.headers['X-Request-Id'] = request_info.request_id
        self.add_load_headers(response.headers)
        return response

    def response_body(
        self,
        request_info: _standin_runs.RequestInfo,
        run_number: int,
        body_bytes: int,
    ) -> bytes:
        """Return a JSON body that tells which request was run where.

        It is padded to ``body_bytes`` if it is shorter.
        """
        content: dict[str, object] = {
            'request_id': request_info.request_id,
            'server': self.spec['name'],
            'account': request_info.account,
            'body_digest': request_info.body_digest,
            'run': run_number,
        }
        body = codec.encode(content)
        # The padding field takes bytes itself, even when it is empty.
        padding_bytes = body_bytes - len(body) - len(',"pad":""')
        if padding_bytes <= 0:
            return body
        return codec.encode({**content, 'pad': 'x' * padding_bytes})

    async def respond(
        self,
        request: web.Request,
        request_info: _standin_runs.RequestInfo,
        run_number: int,
    ) -> _standin_runs.RunOutcome:
        """Build the response of a run; send it if streamed or truncated.

        The query can set the body size (``bytes``) and the time over which the
        body is sent in chunks (``stream_ms``).
        """
        body_bytes = int(
            min(
                _standin_runs.parse_number(request.query, 'bytes'),
                _standin_runs.MAX_RESPONSE_BYTES,
            )
        )
        fields = self.faults.fields
        own_response = (
            request_info.request_id,
            self.response_body(request_info, run_number, body_bytes),
        )
        request_id, body = own_response
        if (
            self.previous_response is not None
            and self.random.random() < fields['crossed_probability']
        ):
            request_id, body = self.previous_response
            self.record_request_event('crossed', request_info, run=run_number)
        self.previous_response = own_response
        headers = multidict.CIMultiDict({'X-Request-Id': request_id})
        self.add_load_headers(headers)
        stream_s = min(
            _standin_runs.parse_number(request.query, 'stream_ms'),
            _standin_runs.MAX_RUN_MS,
        )
        if self.random.random() < fields['cut_probability']:
            return await self.send_truncated(request, headers, body)
        if not stream_s:
            response = web.Response(
                body=body, headers=headers, content_type='application/json'
            )
            return _standin_runs.RunOutcome('end', response, len(body))
        return await _standin_runs.send_stream(
            request, headers, body, stream_s / 1000
        )

    async def send_truncated(
        self,
        request: web.Request,
        headers: multidict.CIMultiDict[str],
        body: bytes,
    ) -> _standin_runs.RunOutcome:
        """Send the first half of a response, then abort the connection."""
        response = web.StreamResponse(headers=headers)
        response.content_type = 'application/json'
        response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        # Aborting discards unsent data, so give the half time to be sent.
        await asyncio.sleep(0.01)
        if request.transport is not None:
            request.transport.abort()
        return _standin_runs.RunOutcome('cut', response, len(body) // 2)
