"""Stand-in of the platform's store, with failures that tests switch on."""

import asyncio
import base64
import json
import typing

from aiohttp import web

# Items in one page of a range.
PAGE_ITEMS: typing.Final = 5

# Time in seconds between looks for leases that have ended.
LEASE_CHECK_INTERVAL_S: typing.Final = 0.1


class FakePlatformStore:
    """Keys with revisions and leases, served as the platform's pages say.

    ``status`` other than 0 answers every call with it; ``silent`` answers
    none; ``lose_writes`` does writes and closes the connection; ``delay_s``
    is the time in seconds before each call.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, typing.Any]] = {}
        self.events: list[dict[str, typing.Any]] = []
        self.revision = 1
        self.dropped_until = 0
        self.leases: dict[int, list[str]] = {}
        # Lifetimes of leases in seconds, and when they end.
        self.lease_lifetimes_s: dict[int, float] = {}
        self.lease_ends_at: dict[int, float] = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.status = 0
        self.unresponsive = False
        self.drop_write_replies = False
        self.delay_s = 0.0
        self.calls: dict[str, int] = {}
        self.runner: web.AppRunner | None = None
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
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
        """Fail calls as switched on; Any: aiohttp's handler type."""
        name = request.path.split('/')[2]
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.unresponsive:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.delay_s)
        if self.status:
            return web.Response(status=self.status)
        answer: web.StreamResponse = await handler(request)
        if self.drop_write_replies and request.method != 'GET':
            assert request.transport is not None
            request.transport.abort()
        return answer

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as the operator or a server does."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        if lease:
            self.leases[lease].append(key)
        self.append_event(item)
        return self.revision

    def delete(self, key: str) -> int:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.append_event(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )
        return self.revision

    def append_event(self, event: dict[str, typing.Any]) -> None:
        """Keep an event and wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_history(self) -> None:
        """Drop the history."""
        self.events = []
        self.dropped_until = self.revision

    def expire_lease(self, lease: int) -> None:
        """End a lease; its keys go."""
        for key in self.leases.pop(lease, []):
            self.delete(key)

    def extend_lease(self, lease: int) -> None:
        """Let a lease last for its lifetime from now on."""
        now = asyncio.get_running_loop().time()
        self.lease_ends_at[lease] = now + self.lease_lifetimes_s[lease]

    async def expire_leases(self) -> None:
        """End leases that nobody renewed, for ever.

        Tests that need no such end don't start this.
        """
        while True:
            now = asyncio.get_running_loop().time()
            for lease in [
                row for row in self.leases if self.lease_ends_at[row] < now
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
        """Return events after a revision, or none after the wait."""
        prefix = request.query.get('prefix', '')
        after = int(request.query['after'])
        if after < self.dropped_until:
            return web.Response(status=410)

        def found() -> list[dict[str, typing.Any]]:
            return [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(request.query['wait_ms']) / 1000):
                while not found():
                    await self.changed.wait()
        except TimeoutError:
            pass
        return json_response(
            {'events': found(), 'store_revision': self.revision}
        )

    async def handle_transaction(self, request: web.Request) -> web.Response:
        """Do a transaction if its conditions hold."""
        body = json.loads(await request.read())
        for row in body['expect_rev']:
            known = self.items.get(row['key'])
            if (known['revision'] if known else 0) != row['revision']:
                return web.Response(status=412)
        for row in body['writes']:
            if row['lease'] and row['lease'] not in self.leases:
                return web.Response(status=404)
            self.put(row['key'], base64.b64decode(row['value']), row['lease'])
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
        """End a lease."""
        self.expire_lease(int(request.match_info['lease']))
        return json_response({})


def json_response(body: dict[str, typing.Any]) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        body=json.dumps(body).encode(), content_type='application/json'
    )
