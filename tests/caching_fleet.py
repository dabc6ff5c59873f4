"""Entry VMs and caching backend servers in one process, in virtual time.

The VMs are the product's own ``RequestHandler`` with its tables.  Only the
connections are replaced: ``CachingServer`` has slots, a short queue and a
cache of the objects that it handled last, and runs a request faster if it has
the object cached.
"""

import asyncio
import collections
import random
import typing

from filbertstep import clock
from filbertstep import delivery
from filbertstep import emulator
from filbertstep import metrics
from filbertstep import platform
from filbertstep import steering
from filbertstep.entry import _contracts
from filbertstep.entry import _load_exchange
from filbertstep.entry import _messages
from filbertstep.entry import _requests
from filbertstep.entry import _state
from filbertstep.entry import _tries
from tests import entry_samples
from tests import steering_samples as samples
from tests import test_entry_knowledge

# One-way network times between regions, and between VMs and servers of one.
REMOTE_DELAY_S: typing.Final = 0.012
LOCAL_DELAY_S: typing.Final = 0.001

# Requests that a server queues when its slots are full.
MAX_QUEUED: typing.Final = 9

TICK_INTERVAL_S: typing.Final = 0.05

# Relative spread of run times.
RUN_TIME_SPREAD: typing.Final = 0.15


class Workload(typing.NamedTuple):
    """Requests for one service.

    ``run_s`` is the run time without the object cached and ``cached_run_s``
    with it.  The callers of each region request ``objects`` objects of their
    own.  ``rates_per_s`` holds the requests per second of each region.
    """

    route: steering.Route
    run_s: float
    cached_run_s: float
    objects: int
    rates_per_s: dict[str, float]


class Served(typing.NamedTuple):
    """One request: when it arrived, how long it took, and its status.

    Arrivals are seconds since the start of the fleet.
    """

    arrived_at: float
    took_s: float
    status: int


class CachingServer:
    """One backend server of the fleet."""

    def __init__(
        self,
        entry: steering.ServerEntry,
        cached_objects: int,
        generator: random.Random,
    ) -> None:
        self.entry = entry
        self.cached_objects = cached_objects
        self.generator = generator
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.slots = asyncio.Semaphore(entry.slots)
        # Running and waiting requests.
        self.present = 0

    def load(self) -> tuple[tuple[str, str], ...]:
        """Return the load header: running and waiting requests, slots."""
        running = min(self.present, self.entry.slots)
        report = f'{running},{self.present - running},{self.entry.slots}'
        return (('X-Server-Load', report),)

    async def run(
        self, object_key: str, workload: Workload
    ) -> delivery.ForwardOutcome:
        """Run a request, or shed it if the queue is full."""
        if self.present >= self.entry.slots + MAX_QUEUED:
            return delivery.ForwardOutcome(
                delivery.ForwardOutcomeKind.SHED, True, 503, self.load()
            )
        self.present += 1
        try:
            async with self.slots:
                cached = object_key in self.cache
                self.cache[object_key] = None
                self.cache.move_to_end(object_key)
                if len(self.cache) > self.cached_objects:
                    self.cache.popitem(last=False)
                run_s = workload.cached_run_s if cached else workload.run_s
                await asyncio.sleep(
                    run_s * self.generator.gauss(1.0, RUN_TIME_SPREAD)
                )
            return delivery.ForwardOutcome(
                delivery.ForwardOutcomeKind.ANSWERED, True, 200, self.load()
            )
        finally:
            self.present -= 1


class FleetForwarder(delivery.Forwarder):
    """Delivers one VM's requests to the servers of the fleet."""

    def __init__(self, fleet: 'Fleet', region: str) -> None:
        super().__init__()
        self.fleet = fleet
        self.region = region

    async def send(
        self, attempt: delivery.Attempt, before_send: delivery.BeforeSend
    ) -> delivery.ForwardOutcome:
        """Run an attempt on its server."""
        server = self.fleet.servers[attempt.server]
        zone = server.entry.availability_zone
        remote = samples.REGIONS[zone] != self.region
        delay_s = REMOTE_DELAY_S if remote else LOCAL_DELAY_S
        try:
            async with asyncio.timeout(attempt.time_left_s):
                await asyncio.sleep(delay_s)
                outcome = await server.run(attempt.path, self.fleet.workload)
                await asyncio.sleep(delay_s)
        except TimeoutError:
            return delivery.ForwardOutcome(
                delivery.ForwardOutcomeKind.TIMED_OUT, True
            )
        return outcome


class FleetLoadExchange(_load_exchange.LoadExchange):
    """Asks another VM of the fleet for its loads."""

    def __init__(self, fleet: 'Fleet', state: _state.State) -> None:
        super().__init__(
            state, typing.cast(typing.Any, None), state.clock, state.log
        )
        self.fleet = fleet

    async def fetch(self, address: str) -> dict[str, _load_exchange.LoadDoc]:
        """Return the loads of the VM with this address."""
        await asyncio.sleep(REMOTE_DELAY_S)
        return _load_exchange.loads_answer(
            self.fleet.states[address].regions, self.clock.now()
        )


class Fleet:
    """Entry VMs by availability zone, and servers of one service."""

    def __init__(
        self,
        workload: Workload,
        vm_zones: dict[str, str],
        servers_by_zone: dict[str, int],
        cached_objects: int,
        seed: int,
    ) -> None:
        self.workload = workload
        self.clock = clock.FakeClock()
        self.generator = random.Random(seed)
        entries = [
            samples.server(
                f'i-{self.generator.getrandbits(40):010x}',
                zone,
                address=f'{zone}:{number}',
            )
            for zone, count in servers_by_zone.items()
            for number in range(count)
        ]
        self.servers = {
            entry.address: CachingServer(entry, cached_objects, self.generator)
            for entry in entries
        }
        self.vm_zones = vm_zones
        self.states: dict[str, _state.State] = {}
        self.handlers: dict[str, _requests.RequestHandler] = {}
        for vm in vm_zones:
            self.build_vm(vm)
        self.served: list[Served] = []
        self.started_at = self.clock.now()

    def build_vm(self, vm: str) -> None:
        """Start a VM that knows the whole fleet."""
        zone = self.vm_zones[vm]
        region = samples.REGIONS[zone]
        settings = entry_samples.settings(
            vm=vm,
            availability_zone=zone,
            region=region,
            log_lines_per_s=1.0,
        )
        adapter = platform.PlatformAdapter('')
        log = test_entry_knowledge.make_log(self.clock)
        state = _state.State(settings, adapter.decoder(), self.clock, log)
        counters = metrics.Metrics()
        sender = _tries.AttemptSender(
            state,
            FleetForwarder(self, region),
            adapter.wire_format(),
            counters,
        )

        async def request_no_tokens(_: steering.ClientAccount) -> float:
            return 0.0

        self.handlers[vm] = _requests.RequestHandler(
            state, sender, counters, request_no_tokens
        )
        self.states[vm] = state
        subject = _contracts.ParsedKey(_contracts.KeyKind.CONFIGURATION, '')
        state.apply_configuration(
            subject, samples.configuration(routes=(self.workload.route,))
        )
        for server in self.servers.values():
            state.servers.put(server.entry, self.clock.now())
        for other, zone_of_other in self.vm_zones.items():
            state.members.live[other] = samples.member(
                other, zone_of_other
            )._replace(peers=other)
        zones = collections.Counter(self.vm_zones.values())
        state.placement.vms_in_zone = zones
        state.regions.region_vm_count = sum(
            count
            for other, count in zones.items()
            if samples.REGIONS[other] == region
        )

    def run(self, seconds: float) -> None:
        """Let callers send requests for a time, and wait for the answers."""
        loop = emulator.VirtualLoop(self.clock)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            runner.run(self.play(seconds))

    async def play(self, seconds: float) -> None:
        """Send each VM's requests until the time has passed."""
        end = self.clock.now() + seconds
        tasks = [asyncio.ensure_future(self.tick(vm)) for vm in self.states]
        tasks += [
            asyncio.ensure_future(FleetLoadExchange(self, state).run())
            for state in self.states.values()
        ]
        await asyncio.gather(*(self.call(vm, end) for vm in self.states))
        for task in tasks:
            task.cancel()

    async def tick(self, vm: str) -> None:
        """Run the periodic work of a VM."""
        state = self.states[vm]
        while True:
            now = self.clock.now()
            state.replica.fresh_at = now
            state.regions.tick(now)
            for service in list(state.wait_queue.queues):
                state.wait_queue.dispatch(service, now)
            await asyncio.sleep(TICK_INTERVAL_S)

    async def call(self, vm: str, end: float) -> None:
        """Send the requests of one VM's callers, at random times."""
        calls: list[asyncio.Future[None]] = []
        regions = self.states[vm].regions
        rate_per_s = (
            self.workload.rates_per_s[regions.region] / regions.region_vm_count
        )
        while self.clock.now() < end:
            await asyncio.sleep(self.generator.expovariate(rate_per_s))
            calls.append(
                asyncio.ensure_future(self.serve(vm, f'{vm}-{len(calls)}'))
            )
        await asyncio.gather(*calls)

    async def serve(self, vm: str, request_id: str) -> None:
        """Send one request for a random object."""
        now = self.clock.now()
        region = samples.REGIONS[self.vm_zones[vm]]
        number = self.generator.randrange(self.workload.objects)
        object_key = f'{region}{number}'
        call = _messages.Call(
            request_id=request_id,
            method='GET',
            host=self.workload.route.host,
            path=f'{self.workload.route.path_prefix}{object_key}',
            headers=(),
            key=None,
            affinity_key=object_key,
            arrived_at=now,
            deadline=now + self.workload.route.timeout_s,
        )

        async def read_body() -> bytes:
            return b''

        reply = await self.handlers[vm].serve(call, read_body)
        self.served.append(
            Served(now - self.started_at, self.clock.now() - now, reply.status)
        )
