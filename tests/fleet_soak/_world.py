"""Test environment of a run: entry VMs as processes, fakes for all else.

The fakes are the store, the backend servers and the network links.
"""

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

from filbertstep import _history as link_history
from filbertstep import _standin_link
from tests import entry_process
from tests import platform_store
from tests.fleet_soak import _checks
from tests.fleet_soak import _history

# Region of each availability zone.
REGION_BY_ZONE: typing.Final = {
    'a-1': 'a',
    'a-2': 'a',
    'b-1': 'b',
    'b-2': 'b',
    'c-1': 'c',
}

# Number of servers in each availability zone by service.
SERVERS_PER_ZONE: typing.Final = {'orders': 2, 'stock': 1}

# Service by path prefix, and whether its requests are idempotent.
ROUTES: typing.Final = {
    '/order/': ('orders', False),
    '/status/': ('orders', True),
    '/stock/': ('stock', True),
}
HOST: typing.Final = 'shop.example'

# Requests that a server executes at the same time.
SLOTS_PER_SERVER: typing.Final = 4
MAX_QUEUED_REQUESTS: typing.Final = 4
MEAN_EXECUTION_S: typing.Final = 0.08

# The object whose requests take long, but less than a VM that stops has left
# when it no longer accepts requests.
LONG_OBJECT: typing.Final = 'long'
LONG_EXECUTION_S: typing.Final = 0.8

# Time from the crash of a server until the store deletes its entry.
ENTRY_EXPIRY_S: typing.Final = 4.5

# Time until a draining server's entry is deleted; the server stops once it is
# idle.
DRAIN_DURATION_S: typing.Final = 3.0

# In two thirds of the worlds, the machines of servers are slow by turns, and
# the servers report it; one kind of request is urgent and another one is not.
EVEN_SEED_DIVISOR: typing.Final = 3
SLOW_MACHINE_FACTOR: typing.Final = 2.5
SLOW_MACHINE_SHARE: typing.Final = 0.15
MACHINE_CHANGE_S: typing.Final = 0.6
PRIORITIES: typing.Final = {'/order/': 0, '/status/': 1, '/stock/': 2}

# Pauses in seconds that a full server asks for; 0 stands for no such request.
PAUSES_S: typing.Final = (0.0, 0.8, 5.0)

# Bytes that a faulty server sends first in place of a response, and those that
# it repeats until the connection is closed.
ENDLESS_RESPONSES: typing.Final = (
    (b'HTTP/1.1 200 OK\r\n', b'X-A: a\r\n'),
    (b'', b'HTTP/1.1 103 Early\r\n\r\n'),
    (b'HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\n\r\n', b'a'),
    (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'4\r\nmore\r\n',
    ),
)

# Size of the blocks of such bytes, and the pause after each.
ENDLESS_BLOCK_BYTES: typing.Final = 64 * 1024
ENDLESS_PAUSE_S: typing.Final = 0.01

# Path of poison requests, which crash each server that executes them.
POISON_PATH: typing.Final = '/status/poison'


class Server:
    """A fake backend server; ``alive`` until it is stopped.

    Tests inject faults: ``execution_time_factor`` multiplies execution times,
    ``rejection_probability`` is the probability that a request is turned away
    as if the server were full, ``response_loss_probability`` that the
    connection is aborted after the execution instead of a response, and
    ``endless_response_probability`` that bytes without end are sent.
    """

    def __init__(
        self, world: 'World', service: str, zone: str, name: str
    ) -> None:
        self.world = world
        self.service = service
        self.zone = zone
        self.name = name
        self.slots = asyncio.Semaphore(SLOTS_PER_SERVER)
        self.executing = 0
        self.queued = 0
        self.execution_time_factor = 1.0
        self.rejection_probability = 0.0
        self.response_loss_probability = 0.0
        self.endless_response_probability = 0.0
        self.draining = False
        self.alive = True
        self.started_ms = int(time.time() * 1000)
        self.entry_count = 0
        self.http = web.Server(
            self.handle, handler_cancellation=True, access_log=None
        )
        self.listener: asyncio.Server | None = None
        self.address = ''

    async def start(self) -> None:
        """Listen behind a separate link and register the server."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.http, '127.0.0.1', 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = await self.world.add_relay(
            self.link, f'127.0.0.1:{port}'
        )
        self.register()

    @property
    def machine_slowdown(self) -> float:
        """How much longer than usual work takes on the machine now."""
        if not self.world.is_uneven:
            return 1.0
        period = int(self.world.now() / MACHINE_CHANGE_S)
        is_slow = (
            random.Random(f'{self.name}/{period}').random()
            < SLOW_MACHINE_SHARE
        )
        return SLOW_MACHINE_FACTOR if is_slow else 1.0

    @property
    def link(self) -> str:
        """Return the name of the link to this server."""
        return f'server-{self.name}'

    def register(self) -> None:
        """Write the entry of this server to the store."""
        self.entry_count += 1
        document = {
            'address': self.address,
            'born': self.started_ms,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': SLOTS_PER_SERVER,
            },
            'status': {
                'state': 'draining' if self.draining else 'ready',
                'seq_no': self.entry_count,
                'cold_left_ms': 0,
            },
        }
        key = f'servers/{self.name}'
        self.world.store.put(key, json.dumps(document).encode())

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Handle a request like the servers of the platform.

        Requests for another server or beyond the queue limit are rejected.
        """
        headers = request.headers
        request_id = headers.get('X-Request-Id', '')
        expected = headers.get('X-Expect-Instance', self.name)
        if expected != self.name:
            return self.reject(request_id, 421)
        self.world.history.arrivals.append(
            _history.Arrival(self.world.now(), request_id, self.name)
        )
        if (
            self.queued >= MAX_QUEUED_REQUESTS
            or self.world.rng.random() < self.rejection_probability
        ):
            return self.turn_away(request_id)
        body = await request.read()
        self.queued += 1
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        self.executing += 1
        try:
            return await self.execute(request, request_id, body)
        finally:
            self.executing -= 1
            self.slots.release()

    async def execute(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.Response:
        """Record the execution of a request and simulate the work."""
        text = str(request.headers) + request.raw_path + body.decode()
        self.world.history.executions.append(
            _history.Execution(
                self.world.now(),
                request_id,
                self.name,
                self.service,
                self.zone,
                request.headers.get('X-Tenant', ''),
                key_leaked=any(
                    key in text for key in self.world.account_by_key
                ),
            )
        )
        assert request.transport is not None
        if request.path == POISON_PATH:
            asyncio.ensure_future(self.world.crash_server(self, 2.0))
            await asyncio.sleep(1.0)
        rng = self.world.rng
        mean_execution_s = (
            LONG_EXECUTION_S
            if request.path.endswith(LONG_OBJECT)
            else MEAN_EXECUTION_S
        )
        await asyncio.sleep(
            mean_execution_s
            * self.execution_time_factor
            * self.machine_slowdown
            * rng.uniform(0.5, 1.5)
        )
        if rng.random() < self.response_loss_probability:
            request.transport.abort()
        if rng.random() < self.endless_response_probability:
            await send_without_end(
                request.transport, *rng.choice(ENDLESS_RESPONSES)
            )
        return web.Response(
            text=f'{request_id} {self.name}',
            headers={
                'X-Request-Id': request_id,
                'X-Server-Seal': 'seal',
                'X-Server-Load': self.load_report(),
                **self.leaving_header(request_id),
            },
        )

    def load_report(self) -> str:
        """Return the load header."""
        report = f'{self.executing},{self.queued},{SLOTS_PER_SERVER}'
        if self.world.is_uneven:
            report += f',{int(100 * self.machine_slowdown)}'
        return report

    def leaving_header(self, request_id: str) -> dict[str, str]:
        """Return the header that announces that the server leaves, if any."""
        if not self.draining:
            return {}
        self.world.history.notices.append(
            _history.Notice(
                self.world.now(),
                _history.NoticeKind.LEAVING,
                self.name,
                request_id,
            )
        )
        return {'Server-Leaving': '1'}

    def turn_away(self, request_id: str) -> web.Response:
        """Return the response of a full server, which may ask for a pause."""
        response = self.reject(request_id, 503)
        response.headers.update(self.leaving_header(request_id))
        pause_s = self.world.rng.choice(PAUSES_S)
        if pause_s:
            response.headers['Retry-After'] = str(pause_s)
            self.world.history.notices.append(
                _history.Notice(
                    self.world.now(),
                    _history.NoticeKind.PAUSE,
                    self.name,
                    request_id,
                    pause_s,
                )
            )
        return response

    def reject(self, request_id: str, status: int) -> web.Response:
        """Return a response to a request that is not executed."""
        headers = {'X-Request-Id': request_id, 'X-Not-Executed': '1'}
        return web.Response(status=status, headers=headers)

    def stop(self) -> None:
        """Close the listener and abort all connections."""
        self.alive = False
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.http.connections):
            if connection.transport is not None:
                connection.transport.abort()


async def send_without_end(
    transport: asyncio.WriteTransport, first: bytes, repeated: bytes
) -> None:
    """Send bytes until the connection is closed."""
    block = repeated * (ENDLESS_BLOCK_BYTES // len(repeated))
    transport.write(first)
    while not transport.is_closing():
        if transport.get_write_buffer_size() < ENDLESS_BLOCK_BYTES:
            transport.write(block)
        await asyncio.sleep(ENDLESS_PAUSE_S)


class Vm(entry_process.EntryProcess):
    """An entry VM; it reaches the store over a separate link."""

    def __init__(self, world: 'World', name: str, zone: str) -> None:
        super().__init__(
            world.folder,
            name,
            zone=zone,
            region=REGION_BY_ZONE[zone],
            zones=REGION_BY_ZONE,
        )
        self.world = world
        self.zone = zone
        # Whether a fault is stopping or restarting the process.
        self.claimed_by_fault = False

    async def launch(self) -> None:
        """Start the process; its output is appended to a log file."""
        with open(self.settings_path.with_suffix('.log'), 'ab') as log_file:
            await self.start(log_file.fileno())
        self.write_settings(bootstrap=False)

    async def wait_for_exit(self) -> None:
        """Wait until the process has ended."""
        assert self.process is not None
        await self.process.wait()


class World:
    """Fleet and test environment of one run."""

    def __init__(self, folder: pathlib.Path, seed: int, vm_count: int) -> None:
        self.folder = folder
        self.rng = random.Random(f'world/{seed}')
        self.is_uneven = seed % EVEN_SEED_DIVISOR != 0
        self.history = _history.History()
        self.store = platform_store.FakePlatformStore()
        self.links = _standin_link.LinkStandin(
            '127.0.0.1',
            link_history.HistoryWriter(
                str(folder / 'links'), 'links', f'seed-{seed}'
            ),
        )
        self.server_numbers = itertools.count(1)
        self.config_version = 0
        # Client account of each API key; withdrawn keys remain here and are
        # deleted from ``active_keys``.
        self.account_by_key = {
            f'key-{account}-{number}': account
            for account in _checks.ACCOUNT_LIMITS
            for number in range(3)
        }
        self.active_keys = dict(self.account_by_key)
        self.routes = dict(ROUTES)
        self.servers: list[Server] = []
        zones = itertools.cycle(REGION_BY_ZONE)
        self.vms = [
            Vm(self, f'vm-{number}', next(zones)) for number in range(vm_count)
        ]
        self.tasks: list[asyncio.Future[None]] = []

    def now(self) -> float:
        """Return the current time in seconds on the clock of all records."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start the store, the servers and the VMs."""
        await self.store.start()
        self.start_task(self.store.expire_leases())
        self.write_config()
        for service, count in SERVERS_PER_ZONE.items():
            for zone in REGION_BY_ZONE:
                for _ in range(count):
                    await self.add_server(service, zone)
        seeds = [vm.addresses['control'] for vm in self.vms[:3]]
        for vm in self.vms:
            address = await self.add_relay(
                f'store-{vm.name}', self.store.address
            )
            vm.write_settings(**{'platform.address': address, 'seeds': seeds})
            await vm.launch()

    async def stop(self) -> None:
        """Stop everything that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for vm in self.vms:
            await vm.kill()
        for server in self.servers:
            server.stop()
        await self.links.close()
        await self.store.stop()

    def start_task(
        self,
        coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Run a coroutine as a task that ends with the run at the latest."""
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def add_relay(self, link: str, target: str) -> str:
        """Return an address that forwards to a target over a new link."""
        port = await self.links.add_relay(
            {'link': link, 'port': 0, 'target': target}
        )
        return f'127.0.0.1:{port}'

    def write_config(self) -> None:
        """Write the operator's configuration to the store as a new version."""
        self.config_version += self.rng.randint(1, 3)
        rules = [
            {
                'name': prefix.strip('/'),
                'kind': 'idempotent' if idempotent else 'non_idempotent',
                'target_latency_ms': 500,
                'priority': PRIORITIES.get(prefix, 1) if self.is_uneven else 1,
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
            'version': f'r{self.config_version}',
            'limits': {'header_bytes': 16384, 'body_bytes': 100_000},
            'tenants': [
                {
                    'name': name,
                    'api_keys': [
                        key
                        for key, account in self.active_keys.items()
                        if account == name
                    ],
                    'rate_per_s': rate,
                    'burst': burst,
                }
                for name, (rate, burst) in _checks.ACCOUNT_LIMITS.items()
            ],
            'listeners': [{'host': HOST, 'rules': rules}],
            'clusters': [
                {'name': name, 'cold_start_s': 0, 'cold_per_s': 0}
                for name in SERVERS_PER_ZONE
            ],
        }
        self.store.put('op/config', json.dumps(document).encode())

    def record_change(self, kind: _history.ChangeKind, name: str) -> None:
        """Record that the store acknowledged a change."""
        self.history.changes.append(_history.Change(self.now(), kind, name))

    async def add_server(self, service: str, zone: str) -> None:
        """Start a new backend server in an availability zone."""
        name = f'i-{next(self.server_numbers)}'
        server = Server(self, service, zone, name)
        self.servers.append(server)
        await server.start()

    async def crash_server(self, server: Server, down_s: float) -> None:
        """Stop a server without a drain and start a replacement later.

        The replacement starts after ``down_s`` seconds.  The entry of the
        stopped server stays in the store until it expires.
        """
        if not server.alive:
            return
        server.stop()
        await asyncio.sleep(down_s)
        await self.add_server(server.service, server.zone)
        await asyncio.sleep(max(0.0, ENTRY_EXPIRY_S - down_s))
        self.store.delete(f'servers/{server.name}')

    async def drain_server(
        self, server: Server, announced: bool, entry_delay_s: float
    ) -> None:
        """Replace a server and stop it once it has executed its requests.

        The server announces the drain in its answers at once, and after a
        delay in its entry, or the entry is deleted then.
        """
        server.draining = True
        await asyncio.sleep(entry_delay_s)
        if announced:
            server.register()
        else:
            self.store.delete(f'servers/{server.name}')
        self.record_change(_history.ChangeKind.SERVER_DRAINING, server.name)
        await self.add_server(server.service, server.zone)
        await asyncio.sleep(DRAIN_DURATION_S)
        self.store.delete(f'servers/{server.name}')
        while server.executing:
            await asyncio.sleep(0.05)
        server.stop()

    def ready_servers(self) -> list[Server]:
        """Return the servers that are alive and not draining."""
        return [
            server
            for server in self.servers
            if server.alive and not server.draining
        ]

    def patch_link(self, name: str, **fields: object) -> None:
        """Change fields of the state of a link."""
        self.links.apply_patch({name: fields}).unwrap()


async def terminate_vm(vm: Vm, timeout_s: float) -> None:
    """Send SIGTERM, and SIGKILL if the process outlives the timeout."""
    vm.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(timeout_s):
            await vm.wait_for_exit()
    except TimeoutError:
        vm.send_signal(signal.SIGKILL)
        await vm.wait_for_exit()
