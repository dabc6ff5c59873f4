"""Stand-in for upstreams, after "Upstreams" and "Service discovery"."""

import asyncio
import itertools
import time
import typing

from aiohttp import web

from review.standins import machines
from review.standins import record as records
from review.standins import store as stores

HEARTBEAT_S: typing.Final = 1.5
COLD_S: typing.Final = 3.0

# An entry is removed after this time of silence.
ENTRY_LIFETIME_S: typing.Final = 3 * HEARTBEAT_S

counter = itertools.count(1)


class Upstream:
    """One upstream.  ``crash_path`` ends it when it begins such a request."""

    def __init__(
        self,
        service: str,
        zone: str,
        slots: int,
        work_s: float,
        store: stores.Store,
        record: records.Record,
        crash_path: str = '',
        back_after_s: float = 2.0,
        cold_per_s: float = 0.0,
    ) -> None:
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.store = store
        self.record = record
        self.crash_path = crash_path
        self.back_after_s = back_after_s
        self.cold_per_s = cold_per_s
        self.address = f'127.0.0.1:{machines.free_port()}'
        self.instance = ''
        self.state = 'ready'
        self.born = 0
        self.seq_no = 0
        self.cold_until = 0.0
        self.busy = 0
        self.written: tuple[object, ...] = ()
        self.item: object = None
        self.running = False
        self.runner: web.ServerRunner | None = None
        self.transports: set[typing.Any] = set()
        self.beats: asyncio.Task[None] | None = None

    async def start(self, cold: bool = False) -> None:
        """Start a new incarnation and register it."""
        self.instance = f'i-{next(counter):06x}'
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.seq_no = 0
        self.cold_until = time.monotonic() + (COLD_S if cold else 0.0)
        self.written = ()
        await self.listen()
        self.beats = asyncio.ensure_future(self.beat())

    async def listen(self) -> None:
        """Open the listener."""
        host, _, port = self.address.rpartition(':')
        self.runner = web.ServerRunner(
            web.Server(self.handle, handler_cancellation=True),
            shutdown_timeout=0.01,
        )
        await self.runner.setup()
        await web.TCPSite(
            self.runner, host, int(port), reuse_address=True
        ).start()
        self.running = True

    async def beat(self) -> None:
        """Write the entry at once, and then in the usual interval."""
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def entry(self) -> dict[str, object]:
        """Return the entry, as the beat in the examples of the wire."""
        self.seq_no += 1
        cold_s = max(0.0, self.cold_until - time.monotonic())
        return {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'seq_no': self.seq_no,
                'cold_left_ms': int(cold_s * 1000),
            },
        }

    def write_entry(self) -> float:
        """Write the entry if more than its count has changed."""
        entry = self.entry()
        status = typing.cast(dict[str, object], entry['status'])
        says = (status['state'], status['cold_left_ms'])
        key = f'servers/{self.instance}'
        if says == self.written and self.store.items.get(key) == self.item:
            return 0.0
        self.written = says
        acknowledged = self.store.put(key, entry)
        self.item = self.store.items[key]
        return acknowledged

    def drain(self) -> float:
        """Report that the upstream leaves; return the time of the ack."""
        self.state = 'draining'
        return self.write_entry()

    async def crash(self) -> None:
        """End without a word, and start again after some seconds."""
        self.record.write('upstream_crashed', instance=self.instance)
        instance = self.instance
        await self.end()
        await asyncio.sleep(self.back_after_s)
        await self.start(cold=True)
        await asyncio.sleep(max(0.0, ENTRY_LIFETIME_S - self.back_after_s))
        self.store.remove(f'servers/{instance}')

    async def end(self) -> None:
        """Close the listener and all connections."""
        self.running = False
        if self.beats is not None:
            self.beats.cancel()
        for transport in list(self.transports):
            transport.abort()
        if self.runner is not None:
            await self.runner.cleanup()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run one request."""
        self.transports = {t for t in self.transports if not t.is_closing()}
        if request.transport is not None:
            self.transports.add(request.transport)
        request_id = request.headers.get('X-Request-Id', '')
        expected = request.headers.get('X-Expect-Instance')
        headers = {
            'X-Request-Id': request_id,
            'X-Server-Load': f'{self.busy},0,{self.slots}',
        }
        if self.state == 'draining':
            headers['Server-Leaving'] = '1'
        if expected not in (None, self.instance):
            self.record.write(
                'upstream_421', instance=self.instance, id=request_id
            )
            return web.Response(
                status=421, headers={'X-Instance-Id': self.instance}
            )
        self.record.write(
            'upstream_got',
            instance=self.instance,
            service=self.service,
            id=request_id,
            method=request.method,
            path=request.raw_path,
            tenant=request.headers.get('X-Tenant'),
            deadline_ms=request.headers.get('X-Deadline-Ms'),
            state=self.state,
        )
        if self.busy >= self.slots:
            headers['X-Not-Executed'] = '1'
            return web.Response(status=503, headers=headers)
        if self.crash_path and request.raw_path.startswith(self.crash_path):
            self.store.spawn(self.crash())
            await asyncio.sleep(3600)
        self.busy += 1
        headers['X-Server-Load'] = f'{self.busy},0,{self.slots}'
        try:
            body = await request.read()
            await asyncio.sleep(self.work_s)
        finally:
            self.busy -= 1
        self.record.write(
            'upstream_ran', instance=self.instance, id=request_id
        )
        headers['X-Server-Seal'] = f'seal.{self.instance}.{request_id}'
        content = f'{self.service} ran {request_id} {len(body)}'.encode()
        return web.Response(status=200, body=content, headers=headers)
