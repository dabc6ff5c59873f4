"""Stand-in for backend servers: slots, queue, faults and false reports.

One process serves one server or several, each on its own port.  A request
with the crash text ends the process when it serves one server, and only its
own server when it serves several.
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
    """One backend server; ``on_crash`` must end it."""

    def __init__(
        self,
        doc: _standin_faults.ServerDoc,
        faults: _standin_faults.ServerFaults,
        seed: int,
        secret_prefix: str,
        history: _history.HistoryWriter,
        on_crash: collections.abc.Callable[[], None],
    ) -> None:
        self.doc = doc
        self.faults = _standin_common.FaultSettings(
            _standin_faults.ServerFaults, faults, self.changed
        )
        self.random = random.Random(f'{seed}/{doc["name"]}')
        self.secret_prefix = secret_prefix
        self.history = history
        self.on_crash = on_crash
        self.slots = _standin_slots.SlotQueue(faults['slots'], faults['queue'])
        self.runs = 0
        self.load = _standin_load.LoadReport(_standin_common.loop_time())
        self.last_answer: tuple[str, bytes] | None = None
        self.runner: web.AppRunner | None = None

    def app(self) -> web.Application:
        """Return the application of this server."""
        app = web.Application(
            client_max_size=_standin_runs.MAX_ANSWER_BYTES + 1
        )
        _standin_common.add_control_routes(
            app, self.apply_patch, self.control_document
        )
        app.router.add_get('/healthz', self.healthz)
        app.router.add_route('*', '/{path:.*}', self.handle)
        return app

    def apply_patch(
        self, patch: _standin_common.JsonObject
    ) -> result.Result[None, str]:
        """Change limits and faults."""
        drained = self.faults.fields['draining']
        done = self.faults.merge(patch)
        if isinstance(done, result.Ok):
            if self.faults.fields['draining'] != drained:
                self.write_state('serving' if drained else 'draining')
        return done

    def changed(self) -> None:
        """Apply the faults that are events rather than states."""
        if self.faults.fields['cold']:
            self.faults.fields['cold'] = False
            self.load.cold_at = _standin_common.loop_time()
        self.slots.slots = self.faults.fields['slots']
        self.slots.queue = self.faults.fields['queue']
        self.slots.fill()

    def control_document(self) -> _standin_common.JsonObject:
        """Return limits, faults and counts."""
        return {
            **self.faults.fields,
            'name': self.doc['name'],
            'running': self.slots.running,
            'waiting': len(self.slots.waiting),
            'runs': self.runs,
        }

    def write(
        self, event: str, subject: _standin_runs.Run, **fields: object
    ) -> None:
        """Append an event of a request."""
        self.history.write(
            event,
            server=self.doc['name'],
            service=self.doc['service'],
            region=self.doc['region'],
            running=self.slots.running,
            waiting=len(self.slots.waiting),
            **subject._asdict(),
            **fields,
        )

    def write_state(self, state: str) -> None:
        """Append an event of the server itself."""
        self.history.write(
            'server_state', server=self.doc['name'], state=state
        )

    async def healthz(self, request: web.Request) -> web.Response:
        """Answer a probe with the load in ORCA's JSON form."""
        fields = self.faults.fields
        if fields['healthz_status'] == 0:
            return _standin_common.abort_connection(request)
        status = 503 if fields['draining'] else fields['healthz_status']
        state = 'draining' if fields['draining'] else 'serving'
        answer = _standin_common.json_response({'state': state}, status)
        self.add_headers(answer.headers)
        return answer

    def add_headers(self, headers: multidict.CIMultiDict[str]) -> None:
        """Add load and drain state to an answer's headers."""
        fields = self.faults.fields
        headers['endpoint-load-metrics'] = self.load.header(
            _standin_common.loop_time(),
            fields['load_lag_s'],
            fields['reported_load'],
        )
        if fields['draining']:
            headers['X-Draining'] = 'true'

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Run one request, or shed it."""
        if self.over_connections(request):
            return _standin_common.abort_connection(request)
        started = _standin_common.loop_time()
        body = await request.read()
        run = _standin_runs.describe(request, body, self.secret_prefix)
        deadline_ms = _standin_runs.number_in(request.headers, 'X-Deadline-Ms')
        end = started + deadline_ms / 1000 if deadline_ms else None
        if not await self.take_slot(run, end):
            return self.refusal()
        self.runs += 1
        number = self.runs
        self.write('begin', run, run=number)
        if self.crashes(request, body):
            self.write('crash', run, run=number)
            self.on_crash()
            return _standin_common.abort_connection(request)
        return await self.run(request, run, number, end)

    async def take_slot(
        self, run: _standin_runs.Run, end: float | None
    ) -> bool:
        """Take a slot, waiting in the queue if there is room in it."""
        if not self.slots.take_now():
            turn = self.slots.join()
            if turn is not None:
                self.write('queued', run)
            if turn is None or not await self.slots.wait(turn, end):
                self.write('shed', run)
                return False
        self.report_load()
        return True

    async def run(
        self,
        request: web.Request,
        run: _standin_runs.Run,
        number: int,
        end: float | None,
    ) -> web.StreamResponse:
        """Run a request that has a slot, to its end or its deadline."""
        done = _standin_runs.Done('cancel', web.Response(status=500), 0)
        try:
            async with asyncio.timeout_at(end):
                await asyncio.sleep(self.run_time_s(request))
                done = await self.answer(request, run, number)
        except TimeoutError:
            error = self.error(504, run, 'deadline')
            done = _standin_runs.Done('deadline', error, 0)
        except ConnectionError:
            # The caller left while its answer was sent: a cancellation.
            pass
        finally:
            self.slots.release()
            self.report_load()
            self.write(
                done.event, run, run=number, answer_bytes=done.answer_bytes
            )
        return done.answer

    def over_connections(self, request: web.Request) -> bool:
        """Tell whether a request came on a connection above the limit."""
        server = None if self.runner is None else self.runner.server
        limit = self.faults.fields['connections']
        if server is None or len(server.connections) <= limit:
            return False
        # Connections are listed in the order in which they were made.
        return request.protocol in server.connections[limit:]

    def report_load(self) -> None:
        """Sample the part of the slots in use."""
        slots = self.faults.fields['slots']
        self.load.sample(
            _standin_common.loop_time(),
            self.slots.running / max(1, slots),
            self.runs,
        )

    def run_time_s(self, request: web.Request) -> float:
        """Return how long a request runs before its answer, in seconds."""
        fields = self.faults.fields
        asked = _standin_runs.number_in(request.query, 'run_ms')
        mean_s = fields['mean_ms'] / 1000
        drawn = self.random.gammavariate(4.0, mean_s / 4.0)
        base = min(asked, _standin_runs.MAX_RUN_MS) / 1000 if asked else drawn
        return base * self.load.slowness(
            _standin_common.loop_time(),
            fields['cold_factor'],
            fields['warmup_s'],
        )

    def crashes(self, request: web.Request, body: bytes) -> bool:
        """Tell whether the request holds the crash text."""
        text = self.faults.fields['crash_text']
        return bool(text) and (
            text.encode() in body or text in request.path_qs
        )

    def refusal(self) -> web.Response:
        """Return the answer to a request that was shed."""
        answer = _standin_common.json_response({'message': 'shed'}, 503)
        answer.headers['X-Not-Run'] = 'true'
        self.add_headers(answer.headers)
        return answer

    def error(
        self, status: int, run: _standin_runs.Run, message: str
    ) -> web.Response:
        """Return the answer to a run that did not end well."""
        answer = _standin_common.json_response({'message': message}, status)
        answer.headers['X-Request-Id'] = run.request_id
        self.add_headers(answer.headers)
        return answer

    def body_of(self, run: _standin_runs.Run, number: int, size: int) -> bytes:
        """Return an answer that says what ran, padded to a size."""
        content: dict[str, object] = {
            'request_id': run.request_id,
            'server': self.doc['name'],
            'account': run.account,
            'body_digest': run.body_digest,
            'run': number,
        }
        body = codec.encode(content)
        # The empty field itself adds these many bytes.
        missing = size - len(body) - len(',"pad":""')
        if missing <= 0:
            return body
        return codec.encode({**content, 'pad': 'x' * missing})

    async def answer(
        self, request: web.Request, run: _standin_runs.Run, number: int
    ) -> _standin_runs.Done:
        """Return the answer of a run, or send it in pieces."""
        size = int(
            min(
                _standin_runs.number_in(request.query, 'bytes'),
                _standin_runs.MAX_ANSWER_BYTES,
            )
        )
        fields = self.faults.fields
        own = (run.request_id, self.body_of(run, number, size))
        told, body = own
        if (
            self.last_answer is not None
            and self.random.random() < fields['crossed_probability']
        ):
            told, body = self.last_answer
            self.write('crossed', run, run=number)
        self.last_answer = own
        headers = multidict.CIMultiDict({'X-Request-Id': told})
        self.add_headers(headers)
        stream_s = min(
            _standin_runs.number_in(request.query, 'stream_ms'),
            _standin_runs.MAX_RUN_MS,
        )
        if self.random.random() < fields['cut_probability']:
            return await self.cut(request, headers, body)
        if not stream_s:
            answer = web.Response(
                body=body, headers=headers, content_type='application/json'
            )
            return _standin_runs.Done('end', answer, len(body))
        return await _standin_runs.stream(
            request, headers, body, stream_s / 1000
        )

    async def cut(
        self,
        request: web.Request,
        headers: multidict.CIMultiDict[str],
        body: bytes,
    ) -> _standin_runs.Done:
        """Send half of an answer, then break the connection."""
        answer = web.StreamResponse(headers=headers)
        answer.content_type = 'application/json'
        answer.content_length = len(body)
        await answer.prepare(request)
        await answer.write(body[: len(body) // 2])
        # Lets the first half leave before the connection breaks.
        await asyncio.sleep(0.01)
        if request.transport is not None:
            request.transport.abort()
        return _standin_runs.Done('cut', answer, len(body) // 2)
