"""Stand-ins around the fleet: store, backend servers, links, VMs."""

import asyncio
import collections.abc
import itertools
import json
import pathlib
import random
import signal
import time
import typing

from aiohttp import web

from filbertstep import _history as product_history
from filbertstep import _standin_link
from tests import entry_process
from tests import platform_store
from tests.fleet_soak import _checks
from tests.fleet_soak import _history

# Availability zones with their regions, and VMs and servers of each.
ZONES: typing.Final = {
    'a-1': 'a',
    'a-2': 'a',
    'b-1': 'b',
    'b-2': 'b',
    'c-1': 'c',
}
SERVERS: typing.Final = {'orders': 2, 'stock': 1}

# Routes by prefix with service and whether they are idempotent.
ROUTES: typing.Final = {
    '/order/': ('orders', False),
    '/status/': ('orders', True),
    '/stock/': ('stock', True),
}
HOST: typing.Final = 'shop.example'

# Slots and queue of a server, and the mean time of a run in seconds.
SLOTS: typing.Final = 4
QUEUE: typing.Final = 4
RUN_S: typing.Final = 0.08

# Time in seconds until the store drops a silent server's entry, and between
# a server's entries coming back and the store's return.
SILENT_S: typing.Final = 4.5

# Time in seconds for which a leaving server goes on.
LEAVING_S: typing.Final = 3.0

# Path of a request that ends each server that runs it.
POISON: typing.Final = '/status/poison'


class Server:
    """A backend server; ``up`` until it ends.

    Faults: ``slow`` multiplies run times, ``lose`` is the probability that
    an answer is lost after the run.
    """

    def __init__(
        self, world: 'World', service: str, zone: str, name: str
    ) -> None:
        self.world = world
        self.service = service
        self.zone = zone
        self.name = name
        self.slots = asyncio.Semaphore(SLOTS)
        self.running = 0
        self.waiting = 0
        self.slow = 1.0
        self.lose = 0.0
        self.draining = False
        self.up = True
        self.born = int(time.time() * 1000)
        self.http = web.Server(
            self.handle, handler_cancellation=True, access_log=None
        )
        self.listener: asyncio.Server | None = None
        self.address = ''

    async def start(self) -> None:
        """Listen behind a link of its own, and register."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.http, '127.0.0.1', 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = await self.world.relay(self.link, f'127.0.0.1:{port}')
        self.register()

    @property
    def link(self) -> str:
        """Return the name of the link to this server."""
        return f'server-{self.name}'

    def register(self) -> None:
        """Write this server's entry."""
        document = {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': SLOTS,
            },
            'status': {
                'state': 'draining' if self.draining else 'ready',
                'seq_no': 1,
                'cold_left_ms': 0,
            },
        }
        key = f'servers/{self.name}'
        self.world.store.put(key, json.dumps(document).encode())

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Run a request as the platform's servers do."""
        headers = request.headers
        request_id = headers.get('X-Request-Id', '')
        expected = headers.get('X-Expect-Instance', self.name)
        if expected != self.name:
            return self.turned_away(request_id, 421)
        if self.waiting >= QUEUE:
            return self.turned_away(request_id, 503)
        body = await request.read()
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self.run(request, request_id, body)
        finally:
            self.running -= 1
            self.slots.release()

    async def run(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.Response:
        """Note the run and do the work."""
        text = str(request.headers) + request.raw_path + body.decode()
        self.world.history.ran.append(
            _history.Ran(
                self.world.now(),
                request_id,
                self.name,
                self.service,
                self.zone,
                request.headers.get('X-Tenant', ''),
                leak=any(key in text for key in self.world.keys),
            )
        )
        assert request.transport is not None
        if request.path == POISON:
            asyncio.ensure_future(self.world.crash(self, 2.0))
            await asyncio.sleep(1.0)
        draw = self.world.random
        await asyncio.sleep(RUN_S * self.slow * draw.uniform(0.5, 1.5))
        if draw.random() < self.lose:
            request.transport.abort()
        return web.Response(
            text=f'{request_id} {self.name}',
            headers={
                'X-Request-Id': request_id,
                'X-Server-Seal': 'seal',
                'X-Server-Load': f'{self.running},{self.waiting},{SLOTS}',
            },
        )

    def turned_away(self, request_id: str, status: int) -> web.Response:
        """Answer without running a request."""
        headers = {'X-Request-Id': request_id, 'X-Not-Executed': '1'}
        return web.Response(status=status, headers=headers)

    def end(self) -> None:
        """Close the listener and break all connections."""
        self.up = False
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.http.connections):
            if connection.transport is not None:
                connection.transport.abort()


class Vm(entry_process.EntryProcess):
    """An entry VM; its way to the store is a link of its own."""

    def __init__(self, world: 'World', name: str, zone: str) -> None:
        super().__init__(
            world.folder,
            name,
            zone=zone,
            region=ZONES[zone],
            zones=ZONES,
        )
        self.world = world
        self.zone = zone
        # Whether faults own the process at the moment.
        self.busy = False

    async def launch(self) -> None:
        """Start the process; its lines go to a file."""
        with open(self.settings_path.with_suffix('.log'), 'ab') as output:
            await self.start(output.fileno())
        self.write_settings(bootstrap=False)

    async def gone(self) -> None:
        """Wait until the process has ended."""
        assert self.process is not None
        await self.process.wait()


class World:
    """One run's fleet and what surrounds it."""

    def __init__(self, folder: pathlib.Path, seed: int, vms: int) -> None:
        self.folder = folder
        self.random = random.Random(f'world/{seed}')
        self.history = _history.History()
        self.store = platform_store.FakePlatformStore()
        self.links = _standin_link.LinkStandin(
            '127.0.0.1',
            product_history.HistoryWriter(
                str(folder / 'links'), 'links', f'seed-{seed}'
            ),
        )
        self.numbers = itertools.count(1)
        self.version = 0
        # Accounts by key, the keys in force.
        self.keys = {
            f'key-{account}-{number}': account
            for account in _checks.ACCOUNTS
            for number in range(3)
        }
        self.in_force = dict(self.keys)
        self.routes = dict(ROUTES)
        self.servers: list[Server] = []
        zones = itertools.cycle(ZONES)
        self.vms = [
            Vm(self, f'vm-{number}', next(zones)) for number in range(vms)
        ]
        self.tasks: list[asyncio.Future[None]] = []

    def now(self) -> float:
        """Return the time in seconds of all that is noted."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start everything and wait until the VMs are ready."""
        await self.store.start()
        self.spawn(self.store.expire_leases())
        self.configure()
        for service, count in SERVERS.items():
            for zone in ZONES:
                for _ in range(count):
                    await self.add_server(service, zone)
        seeds = [vm.addresses['control'] for vm in self.vms[:3]]
        for vm in self.vms:
            address = await self.relay(f'store-{vm.name}', self.store.address)
            vm.write_settings(**{'platform.address': address, 'seeds': seeds})
            await vm.launch()

    async def stop(self) -> None:
        """End everything that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for vm in self.vms:
            await vm.kill()
        for server in self.servers:
            server.end()
        await self.links.close()
        await self.store.stop()

    def spawn(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run work beside the rest."""
        self.tasks.append(asyncio.ensure_future(work))

    async def relay(self, link: str, target: str) -> str:
        """Return an address that leads over a link to a target."""
        port = await self.links.add_relay(
            {'link': link, 'port': 0, 'target': target}
        )
        return f'127.0.0.1:{port}'

    def configure(self) -> None:
        """Write the operator's configuration."""
        self.version += self.random.randint(1, 3)
        rules = [
            {
                'name': prefix.strip('/'),
                'kind': 'idempotent' if idempotent else 'non_idempotent',
                'target_latency_ms': 500,
                'priority': 1,
                'sticky': True,
                'match': {'prefix': prefix},
                'action': {
                    'service': service,
                    'timeout_ms': 2500,
                    'attempts': 2,
                },
            }
            for prefix, (service, idempotent) in self.routes.items()
        ]
        document = {
            'version': f'r{self.version}',
            'limits': {'header_bytes': 16384, 'body_bytes': 100_000},
            'tenants': [
                {
                    'name': name,
                    'api_keys': [
                        key
                        for key, owner in self.in_force.items()
                        if owner == name
                    ],
                    'rate_per_s': rate,
                    'burst': burst,
                }
                for name, (rate, burst) in _checks.ACCOUNTS.items()
            ],
            'listeners': [{'host': HOST, 'rules': rules}],
            'clusters': [
                {'name': name, 'cold_start_s': 0, 'cold_per_s': 0}
                for name in SERVERS
            ],
        }
        self.store.put('op/config', json.dumps(document).encode())

    def note(self, kind: _history.ChangeKind, name: str) -> None:
        """Note that the store acknowledged a change."""
        self.history.changes.append(_history.Change(self.now(), kind, name))

    async def add_server(self, service: str, zone: str) -> None:
        """Start a new backend server."""
        name = f'i-{next(self.numbers)}'
        server = Server(self, service, zone, name)
        self.servers.append(server)
        await server.start()

    async def crash(self, server: Server, down_s: float) -> None:
        """End a server without a word; another incarnation comes back."""
        if not server.up:
            return
        server.end()
        await asyncio.sleep(down_s)
        await self.add_server(server.service, server.zone)
        await asyncio.sleep(max(0.0, SILENT_S - down_s))
        self.store.delete(f'servers/{server.name}')

    async def drain(self, server: Server, told: bool) -> None:
        """Let a server leave, with or without an entry that says so."""
        server.draining = True
        if told:
            server.register()
        else:
            self.store.delete(f'servers/{server.name}')
        self.note(_history.ChangeKind.SERVER_LEAVES, server.name)
        await self.add_server(server.service, server.zone)
        await asyncio.sleep(LEAVING_S)
        self.store.delete(f'servers/{server.name}')
        while server.running:
            await asyncio.sleep(0.05)
        server.end()

    def ready_servers(self) -> list[Server]:
        """Return the servers that serve and stay."""
        return [row for row in self.servers if row.up and not row.draining]

    def set_link(self, name: str, **fields: object) -> None:
        """Change a link's state."""
        self.links.apply_patch({name: fields}).unwrap()


async def stop_politely(vm: Vm, limit_s: float) -> None:
    """Send SIGTERM, and SIGKILL after the time that is allowed."""
    vm.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(limit_s):
            await vm.gone()
    except TimeoutError:
        vm.send_signal(signal.SIGKILL)
        await vm.gone()
