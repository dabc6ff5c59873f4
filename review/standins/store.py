"""Stand-in for the platform's store, after "The platform's metadata store"."""

import asyncio
import base64
import collections.abc
import json
import typing

from aiohttp import web

from review.standins import record as records

PAGE_ITEMS: typing.Final = 100
LEASE_CHECK_S: typing.Final = 0.02
ANSWER_S: typing.Final = 0.004

Body = dict[str, typing.Any]

LoseAnswer = collections.abc.Callable[[Body], float | None]
"""Returns after how many seconds a write without an answer is executed."""


class Store:
    """Keys with revisions and leases.

    ``lose_answer`` is asked for each transaction.  A write whose answer is
    lost is executed later, if its conditions still hold then, and nothing
    further is sent on its connection.
    """

    def __init__(self, record: records.Record) -> None:
        self.record = record
        self.items: dict[str, Body] = {}
        self.events: list[Body] = []
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.lose_answer: LoseAnswer = lambda body: None
        self.transactions = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_get('/filbertstep/kv-key', self.get_key)
        app.router.add_get('/filbertstep/kv-range', self.get_range)
        app.router.add_get('/filbertstep/kv-watch', self.get_watch)
        app.router.add_post('/filbertstep/kv-txn', self.post_transaction)
        app.router.add_post('/filbertstep/kv-lease', self.post_lease)
        app.router.add_post('/filbertstep/kv-keep/{lease}', self.post_keep)
        app.router.add_delete(
            '/filbertstep/kv-lease-end/{lease}', self.delete_lease
        )
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        host, port = self.runner.addresses[0][:2]
        self.address = f'{host}:{port}'
        self.spawn(self.expire_leases())

    def spawn(self, work: collections.abc.Coroutine[None, None, None]) -> None:
        """Run a task until the end of the run."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def put(self, key: str, document: object, lease: int = 0) -> float:
        """Write a document as another writer; return the time of the ack."""
        self.write(key, json.dumps(document).encode(), lease)
        return self.record.write('store_ack', key=key, document=document)

    def remove(self, key: str) -> float:
        """Delete a key as another writer; return the time of the ack."""
        self.delete(key)
        return self.record.write('store_ack', key=key, deleted=True)

    def write(self, key: str, value: bytes, lease: int) -> None:
        """Write a key."""
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': lease,
        }
        self.add_event(dict(self.items[key]))

    def delete(self, key: str) -> None:
        """Delete a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.add_event(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def add_event(self, event: Body) -> None:
        """Keep an event for the watches, and wake them."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease: int) -> None:
        """End a lease; its keys are removed."""
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.delete(key)
            self.record.write('store_lease_ended', lease=lease, key=key)

    async def expire_leases(self) -> None:
        """End the leases that were not renewed."""
        loop = asyncio.get_running_loop()
        while True:
            for lease, (ends_at, _) in list(self.leases.items()):
                if ends_at < loop.time():
                    self.end_lease(lease)
            await asyncio.sleep(LEASE_CHECK_S)

    async def get_key(self, request: web.Request) -> web.Response:
        """Answer with one item."""
        item = self.items.get(request.query['key'])
        if item is None:
            return web.Response(status=404)
        return answer({**item, 'store_revision': self.revision})

    async def get_range(self, request: web.Request) -> web.Response:
        """Answer with a page of items."""
        await asyncio.sleep(ANSWER_S)
        prefix = request.query.get('prefix', '')
        after = request.query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return answer(
            {
                'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
                'has_more': len(keys) > PAGE_ITEMS,
                'store_revision': self.revision,
            }
        )

    async def get_watch(self, request: web.Request) -> web.Response:
        """Answer once there is an event, or when the wait ends."""
        await asyncio.sleep(ANSWER_S)
        prefix = request.query.get('prefix', '')
        after = int(request.query['after'])
        found: list[Body] = []
        try:
            async with asyncio.timeout(int(request.query['wait_ms']) / 1000):
                while True:
                    found = [
                        event
                        for event in self.events
                        if event['revision'] > after
                        and event['key'].startswith(prefix)
                    ]
                    if found:
                        break
                    await self.changed.wait()
        except TimeoutError:
            pass
        return answer({'events': found, 'store_revision': self.revision})

    async def post_transaction(self, request: web.Request) -> web.Response:
        """Execute a transaction, or lose its answer."""
        await asyncio.sleep(ANSWER_S)
        body = json.loads(await request.read())
        self.transactions += 1
        keys = [write['key'] for write in body.get('writes', [])]
        late_s = self.lose_answer(body)
        if late_s is None:
            response = self.execute(body)
            self.record.write(
                'store_txn',
                writes=keys,
                deletes=body.get('deletes', []),
                leases=[write['lease'] for write in body.get('writes', [])],
                status=response.status,
            )
            return response
        self.record.write('store_txn_unanswered', writes=keys, late_s=late_s)
        self.spawn(self.execute_late(body, late_s))
        await asyncio.sleep(3600)
        return web.Response(status=503)

    async def execute_late(self, body: Body, late_s: float) -> None:
        """Execute a transaction whose answer was lost."""
        await asyncio.sleep(late_s)
        response = self.execute(body)
        self.record.write(
            'store_txn_late',
            writes=[write['key'] for write in body.get('writes', [])],
            leases=[write['lease'] for write in body.get('writes', [])],
            status=response.status,
        )

    def execute(self, body: Body) -> web.Response:
        """Execute a transaction: all of it or nothing."""
        for row in body.get('expect_rev', []):
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                return web.Response(status=412)
        writes = body.get('writes', [])
        if any(w['lease'] and w['lease'] not in self.leases for w in writes):
            return web.Response(status=404)
        if any(w['key'].startswith(('op/', 'servers/')) for w in writes):
            return web.Response(status=403)
        for write in writes:
            value = base64.b64decode(write['value'])
            self.write(write['key'], value, write['lease'])
        for key in body.get('deletes', []):
            self.delete(key)
        return answer({'revision': self.revision})

    async def post_lease(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        await asyncio.sleep(ANSWER_S)
        ttl_ms = json.loads(await request.read())['ttl_ms']
        self.next_lease += 1
        self.leases[self.next_lease] = (
            asyncio.get_running_loop().time() + ttl_ms / 1000,
            ttl_ms / 1000,
        )
        return answer({'lease': self.next_lease, 'ttl_ms': ttl_ms})

    async def post_keep(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        await asyncio.sleep(ANSWER_S)
        lease = int(request.match_info['lease'])
        if lease not in self.leases:
            return web.Response(status=404)
        ttl_s = self.leases[lease][1]
        now = asyncio.get_running_loop().time()
        self.leases[lease] = (now + ttl_s, ttl_s)
        return answer({'ttl_ms': int(ttl_s * 1000)})

    async def delete_lease(self, request: web.Request) -> web.Response:
        """End a lease."""
        await asyncio.sleep(ANSWER_S)
        lease = int(request.match_info['lease'])
        if lease not in self.leases:
            return web.Response(status=404)
        self.end_lease(lease)
        return answer({})


def answer(body: Body) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        body=json.dumps(body).encode(), content_type='application/json'
    )
