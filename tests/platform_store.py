"""Fake of the platform's store, with failures that tests can inject."""

import asyncio
import base64
import copy
import json
import typing

from aiohttp import web

# Maximum number of items in a page.
PAGE_ITEMS: typing.Final = 5

# Prefixes of the keys of other writers than the entry program.
WRITER_PREFIXES: typing.Final = ('op/', 'servers/')

# Time between checks for expired leases.
LEASE_CHECK_INTERVAL_S: typing.Final = 0.1


class Copy(typing.NamedTuple):
    """Copy of the content of the fake store."""

    items: dict[str, dict[str, typing.Any]]
    events: list[dict[str, typing.Any]]
    revision: int
    leases: dict[int, list[str]]
    next_lease: int


class FakePlatformStore:
    """Store of keys with revisions and leases, served over HTTP.

    It implements the platform's documented interface.  Tests inject failures:
    a nonzero ``status`` is the answer to every call, ``unresponsive`` leaves
    all calls unanswered, ``drop_write_replies`` executes writes but closes the
    connection instead of answering, and ``delay_s`` delays each call.  The
    next transaction that writes a key of ``lost_keys`` is not answered; the
    test executes it later with ``execute_late_writes``.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, typing.Any]] = {}
        self.events: list[dict[str, typing.Any]] = []
        self.revision = 1
        self.era = 1
        # What other writers have to write again after a restore: values by
        # key, None for deletions.
        self.lost: dict[str, bytes | None] = {}
        self.dropped_until = 0
        self.leases: dict[int, list[str]] = {}
        # Lifetimes of leases, and the times at which they expire.
        self.lease_lifetimes_s: dict[int, float] = {}
        self.lease_ends_at: dict[int, float] = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.status = 0
        self.unresponsive = False
        self.drop_write_replies = False
        self.lost_keys: set[str] = set()
        self.late_writes: list[dict[str, typing.Any]] = []
        self.delay_s = 0.0
        self.calls: dict[str, int] = {}
        self.runner: web.AppRunner | None = None
        self.address = ''

    async def start(self) -> None:
        """Listen on an unused port of the loopback interface."""
        app = web.Application(middlewares=[self.inject_failures])
        prefix = '/filbertstep'
        app.router.add_get(f'{prefix}/kv-range', self.handle_range)
        app.router.add_get(f'{prefix}/kv-watch', self.handle_watch)
        app.router.add_post(f'{prefix}/kv-txn', self.handle_transaction)
        app.router.add_post(f'{prefix}/kv-lease', self.handle_grant)
        app.router.add_post(f'{prefix}/kv-keep/{{lease}}', self.handle_renewal)
        app.router.add_delete(
            f'{prefix}/kv-lease-end/{{lease}}', self.handle_lease_end
        )
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        host, port = self.runner.addresses[0][:2]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the listener."""
        if self.runner is not None:
            await self.runner.cleanup()

    @web.middleware
    async def inject_failures(
        self, request: web.Request, handler: typing.Any
    ) -> web.StreamResponse:
        """Apply the injected failures; Any: aiohttp's handler type."""
        name = request.path.split('/')[2]
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.unresponsive:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.delay_s)
        if self.status:
            return self.name_era(web.Response(status=self.status))
        answer = self.name_era(await handler(request))
        if self.drop_write_replies and request.method != 'GET':
            assert request.transport is not None
            request.transport.abort()
        return answer

    def name_era(self, answer: web.StreamResponse) -> web.StreamResponse:
        """Add the header that names the store's era."""
        answer.headers.setdefault('Store-Era', str(self.era))
        return answer

    def make_copy(self) -> Copy:
        """Return a copy from which the store can be restored."""
        return copy.deepcopy(
            Copy(
                self.items,
                self.events,
                self.revision,
                self.leases,
                self.next_lease,
            )
        )

    def restore(self, older: Copy) -> None:
        """Restore the store from an older copy.

        What was written since is lost, and its revisions and lease ids are
        given out again.  Watches that wait are cut with 410.
        """
        restored = copy.deepcopy(older)
        for key in self.items.keys() | restored.items.keys():
            item = self.items.get(key)
            if (
                key.startswith(WRITER_PREFIXES)
                and key not in self.lost
                and (item != restored.items.get(key))
            ):
                self.lost[key] = (
                    base64.b64decode(item['value']) if item else None
                )
        self.items = restored.items
        self.events = restored.events
        self.revision = restored.revision
        self.leases = restored.leases
        self.next_lease = restored.next_lease
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def write_lost(self) -> None:
        """Write again what other writers lost by a restore."""
        for key, value in list(self.lost.items()):
            if value is None:
                self.delete(key)
            else:
                self.put(key, value)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return the new revision."""
        self.lost.pop(key, None)
        self.revision += 1
        previous = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': previous['created'] if previous else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        if lease:
            self.leases[lease].append(key)
        self.append_event(item)
        return self.revision

    def delete(self, key: str) -> int:
        """Delete a key and return the revision."""
        self.lost.pop(key, None)
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.append_event(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )
        return self.revision

    def append_event(self, event: dict[str, typing.Any]) -> None:
        """Append an event to the history and wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_history(self) -> None:
        """Drop all events, so that watches must list all keys again."""
        self.events = []
        self.dropped_until = self.revision

    def expire_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        for key in self.leases.pop(lease, []):
            # The key may have been written again under another lease.
            if self.items.get(key, {}).get('lease') == lease:
                self.delete(key)

    def extend_lease(self, lease: int) -> None:
        """Extend a lease to its full lifetime from now."""
        now = asyncio.get_running_loop().time()
        self.lease_ends_at[lease] = now + self.lease_lifetimes_s[lease]

    async def expire_leases(self) -> None:
        """End expired leases until the task is cancelled.

        Only tests in which leases must expire start this task.
        """
        while True:
            now = asyncio.get_running_loop().time()
            for lease in [
                lease_id
                for lease_id in self.leases
                if self.lease_ends_at[lease_id] < now
            ]:
                self.expire_lease(lease)
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)

    async def handle_range(self, request: web.Request) -> web.Response:
        """Return a page of items."""
        prefix = request.query.get('prefix', '')
        after = request.query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return json_response(
            {
                'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
                'has_more': len(keys) > PAGE_ITEMS,
                'store_revision': self.revision,
            }
        )

    async def handle_watch(self, request: web.Request) -> web.Response:
        """Return the events after a revision, or none when the wait ends."""
        prefix = request.query.get('prefix', '')
        after = int(request.query['after'])
        if after < self.dropped_until or after > self.revision:
            return web.Response(status=410)
        era = self.era

        def matching_events() -> list[dict[str, typing.Any]]:
            return [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(request.query['wait_ms']) / 1000):
                while not matching_events() and self.era == era:
                    await self.changed.wait()
        except TimeoutError:
            pass
        if self.era != era:
            return web.Response(status=410)
        return json_response(
            {'events': matching_events(), 'store_revision': self.revision}
        )

    async def handle_transaction(self, request: web.Request) -> web.Response:
        """Commit a transaction, or lose its answer."""
        body = json.loads(await request.read())
        lost = self.lost_keys & {write['key'] for write in body['writes']}
        if lost:
            self.lost_keys -= lost
            self.late_writes.append(body)
            assert request.transport is not None
            request.transport.abort()
            return web.Response(status=503)
        return self.commit(body)

    def execute_late_writes(self) -> list[int]:
        """Execute the transactions without an answer; return the statuses."""
        late, self.late_writes = self.late_writes, []
        return [self.commit(body).status for body in late]

    def commit(self, body: dict[str, typing.Any]) -> web.Response:
        """Commit a transaction if its conditions hold."""
        for condition in body['expect_rev']:
            item = self.items.get(condition['key'])
            if (item['revision'] if item else 0) != condition['revision']:
                return web.Response(status=412)
        for write in body['writes']:
            if write['lease'] and write['lease'] not in self.leases:
                return web.Response(status=404)
        for write in body['writes']:
            self.put(
                write['key'], base64.b64decode(write['value']), write['lease']
            )
        for key in body['deletes']:
            self.delete(key)
        return json_response({'revision': self.revision})

    async def handle_grant(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        body = json.loads(await request.read())
        self.next_lease += 1
        self.leases[self.next_lease] = []
        self.lease_lifetimes_s[self.next_lease] = body['ttl_ms'] / 1000
        self.extend_lease(self.next_lease)
        return json_response(
            {'lease': self.next_lease, 'ttl_ms': body['ttl_ms']}
        )

    async def handle_renewal(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        lease = int(request.match_info['lease'])
        if lease not in self.leases:
            return web.Response(status=404)
        self.extend_lease(lease)
        return json_response(
            {'ttl_ms': int(self.lease_lifetimes_s[lease] * 1000)}
        )

    async def handle_lease_end(self, request: web.Request) -> web.Response:
        """Revoke a lease."""
        self.expire_lease(int(request.match_info['lease']))
        return json_response({})


def json_response(body: dict[str, typing.Any]) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        body=json.dumps(body).encode(), content_type='application/json'
    )
