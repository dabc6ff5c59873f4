"""Stand-in for the key-value service, with Consul's published HTTP API.

Serves the parts of ``/v1/kv`` and ``/v1/session`` that are needed to agree on
the content of one record.  As in Consul since version 1.5.2, a write that
changes nothing keeps the modify index, so a client must not rely on rewriting
the same content to raise it.  Setting ``equal_write_keeps_index`` to false
turns this off.
"""

import asyncio
import random
import typing

from aiohttp import web
import result

from filbertstep import _history
from filbertstep import _kv
from filbertstep import _standin_common

# Consul's maximum for the wait of a blocking query.
MAX_BLOCKING_WAIT_S: typing.Final = 600.0
# Consul's default wait of a blocking query.
DEFAULT_BLOCKING_WAIT_S: typing.Final = 300.0

KV_PATH_PREFIX: typing.Final = '/v1/kv/'


class StoreFaults(typing.TypedDict):
    """Faults and limits of the store.

    ``down`` aborts the connection of every call.  ``delay_s`` delays every
    call.  The next ``lose_answers`` writes, and each write with
    ``lose_answer_probability``, take effect but get no response.  Calls above
    ``writes_per_s`` or ``reads_per_s`` get status 429; 0 means no limit.
    """

    down: bool
    delay_s: float
    lose_answers: int
    lose_answer_probability: float
    writes_per_s: float
    reads_per_s: float
    equal_write_keeps_index: bool


NO_FAULTS: typing.Final[StoreFaults] = {
    'down': False,
    'delay_s': 0.0,
    'lose_answers': 0,
    'lose_answer_probability': 0.0,
    'writes_per_s': 0.0,
    'reads_per_s': 0.0,
    'equal_write_keeps_index': True,
}


class StoreStandin:
    """HTTP API of the stand-in store; the data is in ``table``."""

    def __init__(
        self, faults: StoreFaults, seed: int, history: _history.HistoryWriter
    ) -> None:
        self.faults = _standin_common.FaultSettings(
            StoreFaults, faults, self.wake_blocked_reads
        )
        self.table = _kv.KvTable()
        self.random = random.Random(seed)
        self.history = history
        self.counts: dict[str, int] = {
            'reads': 0,
            'writes': 0,
            'waits': 0,
            'limited': 0,
            'lost': 0,
        }
        self.blocked_reads = 0
        self.table_changed = asyncio.Event()
        self.rate_limiters: dict[str, _standin_common.TokenBucket] = {}

    def app(self) -> web.Application:
        """Return the application; must be called in a running event loop."""
        now = _standin_common.loop_time()
        for call_kind in ('reads', 'writes'):
            self.rate_limiters[call_kind] = _standin_common.TokenBucket(now)
        app = web.Application(
            middlewares=[self.inject_faults],
            client_max_size=2 * _kv.MAX_VALUE_BYTES,
        )
        app.router.add_get(KV_PATH_PREFIX + '{key:.*}', self.handle_read)
        app.router.add_put(KV_PATH_PREFIX + '{key:.*}', self.handle_write)
        app.router.add_delete(KV_PATH_PREFIX + '{key:.*}', self.handle_delete)
        app.router.add_put('/v1/session/create', self.handle_session_create)
        app.router.add_put('/v1/session/renew/{id}', self.handle_session_renew)
        app.router.add_put(
            '/v1/session/destroy/{id}', self.handle_session_destroy
        )
        _standin_common.add_control_routes(
            app, self.apply_patch, self.control_document
        )
        return app

    def apply_patch(
        self, patch: _standin_common.JsonObject
    ) -> result.Result[None, str]:
        """Change faults by a patch from the control path."""
        applied = self.faults.merge(patch)
        if isinstance(applied, result.Ok):
            self.history.write('faults', **self.faults.fields)
        return applied

    def control_document(self) -> _standin_common.JsonObject:
        """Return faults, counts of calls, blocked reads and newest index."""
        return {
            **self.faults.fields,
            'counts': dict(self.counts),
            'waiting': self.blocked_reads,
            'index': self.table.index,
        }

    def wake_blocked_reads(self) -> None:
        """Make every blocking query check the index and the faults again."""
        self.table_changed.set()
        self.table_changed = asyncio.Event()

    @web.middleware
    async def inject_faults(
        self, request: web.Request, handler: typing.Any
    ) -> web.StreamResponse:
        """Apply faults and limits to all requests except the control path."""
        if request.path == _standin_common.CONTROL_PATH:
            return typing.cast(web.StreamResponse, await handler(request))
        fields = self.faults.fields
        if fields['down']:
            return _standin_common.abort_connection(request)
        call_kind = 'reads' if request.method == 'GET' else 'writes'
        self.counts[call_kind] += 1
        max_per_s = fields[f'{call_kind}_per_s']
        if not self.rate_limiters[call_kind].try_acquire(
            max_per_s, _standin_common.loop_time()
        ):
            self.counts['limited'] += 1
            return web.Response(status=429, text='rate limit')
        if fields['delay_s'] > 0:
            await asyncio.sleep(fields['delay_s'])
        response: web.StreamResponse = await handler(request)
        # The store may have been set to down during the call.
        if self.faults.fields['down'] or self.should_lose_response(call_kind):
            return _standin_common.abort_connection(request)
        return response

    def should_lose_response(self, call_kind: str) -> bool:
        """Decide whether the response to a completed call is lost.

        Only responses to writes can be lost.  Counts each loss, and lowers
        ``lose_answers`` if it is not yet 0.
        """
        fields = self.faults.fields
        if call_kind != 'writes':
            return False
        lost = bool(fields['lose_answers'] > 0)
        if lost:
            fields['lose_answers'] -= 1
        if self.random.random() < fields['lose_answer_probability']:
            lost = True
        self.counts['lost'] += int(lost)
        return lost

    async def handle_read(self, request: web.Request) -> web.Response:
        """Handle a GET of a key or, with ``recurse`` or ``keys``, a prefix.

        With ``index`` the query blocks until the index is higher or ``wait``
        has passed.
        """
        key, query = request.match_info['key'], request.query
        is_prefix = 'recurse' in query or 'keys' in query
        index = int(query.get('index', '0'))
        if index > 0:
            wait_s = min(
                MAX_BLOCKING_WAIT_S,
                _kv.parse_duration_s(
                    query.get('wait', ''), DEFAULT_BLOCKING_WAIT_S
                ),
            )
            await self.wait_for_change(key, is_prefix, index, wait_s)
        self.expire_sessions()
        entries = self.table.find(key, is_prefix)
        headers = {
            'X-Consul-Index': str(self.table.blocking_index(key, is_prefix))
        }
        if not entries:
            return web.Response(status=404, headers=headers)
        if 'raw' in query:
            return web.Response(body=entries[0].value, headers=headers)
        body: object = [entry.api_document() for entry in entries]
        if 'keys' in query:
            body = [entry.key for entry in entries]
        response = _standin_common.json_response(body)
        response.headers.update(headers)
        return response

    async def wait_for_change(
        self, key: str, is_prefix: bool, index: int, wait_s: float
    ) -> None:
        """Wait until the index is higher, time is up or the store is down."""
        self.counts['waits'] += 1
        self.blocked_reads += 1
        deadline = _standin_common.loop_time() + wait_s
        try:
            while (
                self.table.blocking_index(key, is_prefix) <= index
                and not self.faults.fields['down']
            ):
                table_changed = self.table_changed
                async with asyncio.timeout_at(deadline):
                    await table_changed.wait()
        except TimeoutError:
            pass
        finally:
            self.blocked_reads -= 1

    async def handle_write(self, request: web.Request) -> web.Response:
        """Handle a PUT, possibly with ``cas``, ``acquire`` or ``release``."""
        value = await request.read()
        if len(value) > _kv.MAX_VALUE_BYTES:
            return web.Response(status=413, text='value is too large')
        self.expire_sessions()
        query = request.query
        key = request.match_info['key']
        cas = int(query['cas']) if 'cas' in query else None
        written = self.table.put(
            _kv.PutRequest(
                key=key,
                value=value,
                flags=int(query.get('flags', '0')),
                cas=cas,
                acquire=query.get('acquire'),
                release=query.get('release'),
                equal_write_keeps_index=self.faults.fields[
                    'equal_write_keeps_index'
                ],
            ),
            _standin_common.loop_time(),
        )
        if isinstance(written, result.Err):
            return web.Response(status=500, text=written.err_value)
        return self.finish_write(key, written.ok_value)

    def finish_write(self, key: str, succeeded: bool) -> web.Response:
        """Wake blocked reads, record a write or delete and respond to it."""
        self.wake_blocked_reads()
        self.history.write(
            'write', key=key, index=self.table.index, succeeded=succeeded
        )
        return _standin_common.json_response(succeeded)

    async def handle_delete(self, request: web.Request) -> web.Response:
        """Handle a DELETE, possibly with ``cas`` or ``recurse``."""
        key, query = request.match_info['key'], request.query
        cas = int(query['cas']) if 'cas' in query else None
        written = self.table.delete(key, 'recurse' in query, cas)
        return self.finish_write(key, written)

    def expire_sessions(self) -> None:
        """Invalidate the sessions whose time to live has passed."""
        if self.table.expire_sessions(_standin_common.loop_time()):
            self.wake_blocked_reads()

    async def handle_session_create(
        self, request: web.Request
    ) -> web.Response:
        """Create a session; ``TTL`` and ``LockDelay`` are like ``15s``."""
        body = await _standin_common.read_json_object(request)
        if isinstance(body, result.Err):
            return web.Response(status=400, text=body.err_value)
        created = self.table.create_session(
            body.ok_value, _standin_common.loop_time()
        )
        if isinstance(created, result.Err):
            return web.Response(status=400, text=created.err_value)
        return _standin_common.json_response({'ID': created.ok_value.id})

    async def handle_session_renew(self, request: web.Request) -> web.Response:
        """Renew a session; respond with 404 when it has expired."""
        self.expire_sessions()
        session = self.table.renew_session(
            request.match_info['id'], _standin_common.loop_time()
        )
        if session is None:
            return web.Response(status=404, text='session not found')
        return _standin_common.json_response([session.api_document()])

    async def handle_session_destroy(
        self, request: web.Request
    ) -> web.Response:
        """Destroy a session and release its locks."""
        self.table.invalidate_session(
            request.match_info['id'], _standin_common.loop_time()
        )
        self.wake_blocked_reads()
        return _standin_common.json_response(True)


async def expire_sessions_periodically(standin: StoreStandin) -> None:
    """Expire sessions on time even when no requests arrive."""
    while True:
        await asyncio.sleep(0.1)
        standin.expire_sessions()


async def run(
    host: str, port: int, faults: StoreFaults, seed: int, history_path: str
) -> None:
    """Serve the store until the process gets a stop signal."""
    writer = _standin_common.open_history(history_path, 'store')
    standin = StoreStandin(faults, seed, writer)
    runner = await _standin_common.start_http_server(standin.app(), host, port)
    expiry_task = asyncio.create_task(expire_sessions_periodically(standin))
    try:
        await _standin_common.wait_for_stop_signal()
    finally:
        expiry_task.cancel()
        await runner.cleanup()
        writer.close()
