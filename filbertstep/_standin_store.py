"""Stand-in for the key-value service, with Consul's published HTTP API.

Covers ``/v1/kv`` and ``/v1/session`` as far as an agreement on one record
needs them.  As in Consul since version 1.5.2, a write that changes nothing
keeps the modify index, so that a client must not rely on a rewrite of the same
content to raise it; ``equal_write_keeps_index`` turns this off.
"""

import asyncio
import random
import typing

from aiohttp import web
import result

from filbertstep import _history
from filbertstep import _kv
from filbertstep import _standin_common

# Consul's longest and default wait of a blocking query in seconds.
MAX_WAIT_S: typing.Final = 600.0
DEFAULT_WAIT_S: typing.Final = 300.0

KV_PREFIX: typing.Final = '/v1/kv/'


class StoreFaults(typing.TypedDict):
    """Faults and limits of the store.

    ``lose_answers`` counts the next writes whose answer is lost.  A limit of
    0 calls a second means none.
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
    """HTTP side of the store."""

    def __init__(
        self, faults: StoreFaults, seed: int, history: _history.HistoryWriter
    ) -> None:
        self.faults = _standin_common.FaultSettings(
            StoreFaults, faults, self.wake_all
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
        self.waiting = 0
        self.changed = asyncio.Event()
        self.buckets: dict[str, _standin_common.TokenBucket] = {}

    def app(self) -> web.Application:
        """Return the application; must be called in a running loop."""
        start = _standin_common.loop_time()
        for name in ('reads', 'writes'):
            self.buckets[name] = _standin_common.TokenBucket(start)
        app = web.Application(
            middlewares=[self.guard], client_max_size=2 * _kv.MAX_VALUE_BYTES
        )
        app.router.add_get(KV_PREFIX + '{key:.*}', self.read)
        app.router.add_put(KV_PREFIX + '{key:.*}', self.write)
        app.router.add_delete(KV_PREFIX + '{key:.*}', self.delete)
        app.router.add_put('/v1/session/create', self.session_create)
        app.router.add_put('/v1/session/renew/{id}', self.session_renew)
        app.router.add_put('/v1/session/destroy/{id}', self.session_destroy)
        _standin_common.add_control_routes(
            app, self.apply_patch, self.control_document
        )
        return app

    def apply_patch(
        self, patch: _standin_common.JsonObject
    ) -> result.Result[None, str]:
        """Change faults."""
        done = self.faults.merge(patch)
        if isinstance(done, result.Ok):
            self.history.write('faults', **self.faults.fields)
        return done

    def control_document(self) -> _standin_common.JsonObject:
        """Return faults, counts of calls and the newest index."""
        return {
            **self.faults.fields,
            'counts': dict(self.counts),
            'waiting': self.waiting,
            'index': self.table.index,
        }

    def wake_all(self) -> None:
        """Let every waiting query look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    @web.middleware
    async def guard(
        self, request: web.Request, handler: typing.Any
    ) -> web.StreamResponse:
        """Apply faults and limits to every call but the control path."""
        if request.path == _standin_common.CONTROL_PATH:
            return typing.cast(web.StreamResponse, await handler(request))
        fields = self.faults.fields
        if fields['down']:
            return _standin_common.abort_connection(request)
        side = 'reads' if request.method == 'GET' else 'writes'
        self.counts[side] += 1
        limit = fields[f'{side}_per_s']
        if not self.buckets[side].try_acquire(
            limit, _standin_common.loop_time()
        ):
            self.counts['limited'] += 1
            return web.Response(status=429, text='rate limit')
        if fields['delay_s'] > 0:
            await asyncio.sleep(fields['delay_s'])
        answer: web.StreamResponse = await handler(request)
        # The fault may have come while the call was under way.
        if self.faults.fields['down'] or self.loses_answer(side):
            return _standin_common.abort_connection(request)
        return answer

    def loses_answer(self, side: str) -> bool:
        """Tell whether the answer of a call that took effect is lost."""
        fields = self.faults.fields
        if side != 'writes':
            return False
        lost = bool(fields['lose_answers'] > 0)
        if lost:
            fields['lose_answers'] -= 1
        if self.random.random() < fields['lose_answer_probability']:
            lost = True
        self.counts['lost'] += int(lost)
        return lost

    async def read(self, request: web.Request) -> web.Response:
        """Answer a read, blocking when an index is given."""
        key, query = request.match_info['key'], request.query
        prefix = 'recurse' in query or 'keys' in query
        index = int(query.get('index', '0'))
        if index > 0:
            wait_s = min(
                MAX_WAIT_S,
                _kv.duration_s(query.get('wait', ''), DEFAULT_WAIT_S),
            )
            await self.wait(key, prefix, index, wait_s)
        self.expire()
        found = self.table.find(key, prefix)
        headers = {'X-Consul-Index': str(self.table.index_of(key, prefix))}
        if not found:
            return web.Response(status=404, headers=headers)
        if 'raw' in query:
            return web.Response(body=found[0].value, headers=headers)
        body: object = [entry.document() for entry in found]
        if 'keys' in query:
            body = [entry.key for entry in found]
        answer = _standin_common.json_response(body)
        answer.headers.update(headers)
        return answer

    async def wait(
        self, key: str, prefix: bool, index: int, wait_s: float
    ) -> None:
        """Wait until the index is higher, a time ends or the store fails."""
        self.counts['waits'] += 1
        self.waiting += 1
        end = _standin_common.loop_time() + wait_s
        try:
            while (
                self.table.index_of(key, prefix) <= index
                and not self.faults.fields['down']
            ):
                changed = self.changed
                async with asyncio.timeout_at(end):
                    await changed.wait()
        except TimeoutError:
            pass
        finally:
            self.waiting -= 1

    async def write(self, request: web.Request) -> web.Response:
        """Answer a PUT with ``cas``, ``acquire`` or ``release``."""
        value = await request.read()
        if len(value) > _kv.MAX_VALUE_BYTES:
            return web.Response(status=413, text='value is too large')
        self.expire()
        query = request.query
        key = request.match_info['key']
        cas = int(query['cas']) if 'cas' in query else None
        done = self.table.put(
            _kv.Put(
                key=key,
                value=value,
                flags=int(query.get('flags', '0')),
                cas=cas,
                acquire=query.get('acquire'),
                release=query.get('release'),
                keeps_index=self.faults.fields['equal_write_keeps_index'],
            ),
            _standin_common.loop_time(),
        )
        if isinstance(done, result.Err):
            return web.Response(status=500, text=done.err_value)
        return self.written(key, done.ok_value)

    def written(self, key: str, succeeded: bool) -> web.Response:
        """Tell watchers of a write and answer it."""
        self.wake_all()
        self.history.write(
            'write', key=key, index=self.table.index, succeeded=succeeded
        )
        return _standin_common.json_response(succeeded)

    async def delete(self, request: web.Request) -> web.Response:
        """Answer a DELETE with ``cas`` or ``recurse``."""
        key, query = request.match_info['key'], request.query
        cas = int(query['cas']) if 'cas' in query else None
        done = self.table.delete(key, 'recurse' in query, cas)
        return self.written(key, done)

    def expire(self) -> None:
        """End sessions whose time to live is over."""
        if self.table.expire(_standin_common.loop_time()):
            self.wake_all()

    async def session_create(self, request: web.Request) -> web.Response:
        """Create a session; TTL and LockDelay as in ``15s``."""
        body = await _standin_common.read_json_object(request)
        if isinstance(body, result.Err):
            return web.Response(status=400, text=body.err_value)
        made = self.table.create_session(
            body.ok_value, _standin_common.loop_time()
        )
        if isinstance(made, result.Err):
            return web.Response(status=400, text=made.err_value)
        return _standin_common.json_response({'ID': made.ok_value.id})

    async def session_renew(self, request: web.Request) -> web.Response:
        """Renew a session; 404 when it has expired."""
        self.expire()
        session = self.table.renew_session(
            request.match_info['id'], _standin_common.loop_time()
        )
        if session is None:
            return web.Response(status=404, text='session not found')
        return _standin_common.json_response([session.document()])

    async def session_destroy(self, request: web.Request) -> web.Response:
        """Destroy a session and release its locks."""
        self.table.end_session(
            request.match_info['id'], _standin_common.loop_time()
        )
        self.wake_all()
        return _standin_common.json_response(True)


async def expire_forever(standin: StoreStandin) -> None:
    """End sessions in time even when nobody calls."""
    while True:
        await asyncio.sleep(0.1)
        standin.expire()


async def run(
    host: str, port: int, faults: StoreFaults, seed: int, history: str
) -> None:
    """Serve the store until the process is told to stop."""
    writer = _standin_common.open_history(history, 'store')
    standin = StoreStandin(faults, seed, writer)
    runner = await _standin_common.start_http_server(standin.app(), host, port)
    expiry = asyncio.create_task(expire_forever(standin))
    try:
        await _standin_common.wait_for_stop_signal()
    finally:
        expiry.cancel()
        await runner.cleanup()
        writer.close()
