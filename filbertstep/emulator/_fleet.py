"""The entry VMs of a scenario, with the product's own decisions."""

import asyncio
import random
import typing

import result

from filbertstep import clock
from filbertstep import delivery
from filbertstep import entry
from filbertstep import metrics
from filbertstep import steering
from filbertstep.emulator import _callers
from filbertstep.emulator import _events
from filbertstep.emulator import _scenario
from filbertstep.emulator import _servers
from filbertstep.emulator import _virtual_time

TICK_INTERVAL_S: typing.Final = 0.05

HOST: typing.Final = 'emulated.example'

BOUNDS: typing.Final = steering.Bounds(
    stop_grace_s=6.0,
    config_apply_s=2.0,
    key_withdrawal_s=5.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=60.0,
    cold_rate_factor=1.5,
    max_lookup_ttl_s=5.0,
    max_shift_share=0.15,
    rate_tolerance=0.1,
    rate_slack_tokens=20.0,
)


class WireFormat(entry.WireFormat):
    """Names of headers; nothing of a look-up is emulated."""

    lookup_path = '/lookup'
    ready_path = '/ready'
    request_id_header = 'X-Request-Id'
    deadline_header = 'X-Deadline-Ms'
    key_header = 'Authorization'
    key_scheme = 'Bearer'
    account_header = 'X-Account'
    expected_server_header = 'X-Expected-Server'
    not_run_header = 'X-Not-Run'
    load_header = 'X-Load'
    retry_after_header = 'Retry-After'
    affinity_cookie = 'object'

    def parse_lookup(self, query: object) -> entry.LookupQuery | None:
        """Return nothing: there are no look-ups."""
        return None

    def format_lookup_answer(
        self, addresses: object, ttl_s: float
    ) -> dict[str, object]:
        """Return nothing: there are no look-ups."""
        return {}

    def parse_server_notice(
        self, status: int, headers: object
    ) -> entry.ServerNotice:
        """Return that a server said nothing about itself."""
        return entry.ServerNotice()


class Decoder(entry.Decoder):
    """Decodes nothing: the tables are filled directly."""

    def parse_key(self, key: str) -> entry.ParsedKey:
        """Return that a key is the configuration's."""
        return entry.ParsedKey(entry.KeyKind.CONFIGURATION, key)

    def decode(
        self, key: str, value: bytes
    ) -> result.Result[entry.DecodedValue, str]:
        """Return an error."""
        return result.Err('no documents are emulated')

    def recency(self, key: str, value: bytes) -> entry.Recency | None:
        """Return that a value does not tell."""
        return None


class NoLog(entry.DecisionLog):
    """Drops all lines."""

    def __init__(self) -> None:
        """Open no output."""

    def write(self, kind: str, **fields: object) -> None:
        """Drop a line."""

    def flush(self) -> None:
        """Do nothing."""


class EmulatedForwarder(delivery.Forwarder):
    """Delivers one VM's requests to the emulated servers."""

    def __init__(self, fleet: 'Fleet', zone: str) -> None:
        super().__init__()
        self.fleet = fleet
        self.zone = zone

    async def send(
        self, attempt: delivery.Attempt, before_send: delivery.BeforeSend
    ) -> delivery.ForwardOutcome:
        """Run an attempt on its server."""
        fleet, server = self.fleet, self.fleet.servers[attempt.server]
        kind_name, _, object_key = attempt.path.strip('/').partition('/')
        kind = fleet.scenario['requests'][kind_name]
        server_zone = server.entry.availability_zone
        delay_s = fleet.delay_s(self.zone, server_zone)
        if not server.alive:
            await asyncio.sleep(delay_s)
            return delivery.ForwardOutcome(
                delivery.ForwardOutcomeKind.NOT_SENT, False
            )
        fleet.count_bytes(self.zone, server_zone, kind)
        try:
            async with asyncio.timeout(attempt.time_left_s):
                await asyncio.sleep(delay_s)
                outcome = await server.run(
                    object_key, kind, WireFormat.load_header
                )
                await asyncio.sleep(delay_s)
        except TimeoutError:
            return delivery.ForwardOutcome(
                delivery.ForwardOutcomeKind.TIMED_OUT, True
            )
        return outcome


class EmulatedLoadExchange(entry.LoadExchange):
    """Asks another VM of the fleet for its loads."""

    def __init__(self, fleet: 'Fleet', state: entry.State) -> None:
        # Any: nothing is sent over this session.
        session: typing.Any = None
        super().__init__(state, session, state.clock, state.log)
        self.fleet = fleet

    async def fetch(self, address: str) -> dict[str, entry.LoadDoc]:
        """Return the loads of the VM with this name."""
        vm = self.fleet.vms[address]
        await asyncio.sleep(
            self.fleet.delay_s(
                self.state.settings.availability_zone,
                vm.state.settings.availability_zone,
            )
        )
        return entry.loads_answer(vm.state.regions, self.clock.now())


class EmulatedVm(typing.NamedTuple):
    """One entry VM."""

    state: entry.State
    handler: entry.RequestHandler


class Fleet:
    """VMs, servers and callers of one emulation.

    ``zone_bytes`` and ``region_bytes`` are what crossed zones of a region, and
    regions.  ``calls`` has the requests that ended.
    """

    def __init__(self, scenario: _scenario.Scenario, seed: int) -> None:
        self.scenario = scenario
        self.clock = clock.FakeClock()
        self.started_at = self.clock.now()
        self.generator = random.Random(seed)
        self.zone_bytes = 0
        self.region_bytes = 0
        self.calls: list[_callers.EndedCall] = []
        self.servers = {
            server.entry.address: server
            for service in scenario['services']
            for server in self.build_servers(service)
        }
        self.members = [
            steering.Member(name, zone, scenario['zones'][zone], name, name)
            for zone, count in scenario['vms'].items()
            for name in (f'{zone}-{number}' for number in range(count))
        ]
        self.vms = {
            member.vm: self.build_vm(member) for member in self.members
        }

    def build_servers(self, service: str) -> list[_servers.EmulatedServer]:
        """Return the servers of a service."""
        doc = self.scenario['services'][service]
        return [
            _servers.EmulatedServer(
                steering.ServerEntry(
                    server_id=f'i-{self.generator.getrandbits(40):010x}',
                    service=service,
                    address=f'{service}-{zone}-{number}',
                    availability_zone=zone,
                    slots=doc['slots'],
                    draining=False,
                    cold_left_s=0.0,
                    incarnation=1,
                ),
                doc,
                self.generator,
            )
            for zone, count in doc['servers'].items()
            for number in range(count)
        ]

    def build_vm(self, member: steering.Member) -> EmulatedVm:
        """Return a VM that knows the whole fleet."""
        settings = entry.EntrySettings(
            vm=member.vm,
            host='',
            availability_zone=member.availability_zone,
            region=member.region,
            caller_address='',
            ready_address='',
            peer_address=member.vm,
            lookup_address='',
            metrics_port=0,
            seed_addresses=(),
            region_by_zone=dict(self.scenario['zones']),
            store_address='',
            min_lease_s=1.0,
            first_start=True,
            log_lines_per_s=1.0,
            body_memory_bytes=0,
            answer_memory_bytes=0,
            request_memory_bytes=0,
            unread_memory_bytes=0,
            connection_memory_bytes=0,
            connection_share=0.375,
            bounds=BOUNDS,
        )
        state = entry.State(settings, Decoder(), self.clock, NoLog())
        counters = metrics.Metrics()
        sender = entry.AttemptSender(
            state,
            EmulatedForwarder(self, member.availability_zone),
            WireFormat(),
            counters,
        )

        async def request_no_tokens(_: steering.ClientAccount) -> float:
            return 0.0

        state.apply_configuration(
            Decoder().parse_key(''), self.build_configuration()
        )
        for server in self.servers.values():
            state.servers.put(server.entry, self.clock.now())
        for other in self.members:
            state.members.live[other.vm] = other
        state.update_vm_shares()
        return EmulatedVm(
            state,
            entry.RequestHandler(state, sender, counters, request_no_tokens),
        )

    def build_configuration(self) -> steering.Configuration:
        """Return the configuration: a public route for each kind."""
        return steering.Configuration(
            version=1,
            routes=tuple(
                steering.Route(
                    name=name,
                    host=HOST,
                    path_prefix=f'/{name}/',
                    idempotent=kind['idempotent'],
                    destinations=(steering.Destination(kind['service'], 1.0),),
                    timeout_s=kind['timeout_ms'] / 1000,
                    target_s=kind['target_ms'] / 1000,
                    max_attempts=2,
                    priority=kind['priority'],
                    home_regions=frozenset(),
                    public=True,
                    sticky=True,
                )
                for name, kind in self.scenario['requests'].items()
            ),
            services={
                name: steering.Service(name, 0.0, 0.0)
                for name in self.scenario['services']
            },
            accounts={},
            limits=steering.Limits(),
        )

    def delay_s(self, zone: str, other_zone: str) -> float:
        """Return the one-way network time between two zones."""
        links, regions = self.scenario['links'], self.scenario['zones']
        if zone == other_zone:
            return links['in_zone_ms'] / 1000
        if regions[zone] == regions[other_zone]:
            return links['cross_zone_ms'] / 1000
        return links['cross_region_ms'] / 1000

    def count_bytes(
        self, zone: str, other_zone: str, kind: _scenario.RequestsDoc
    ) -> None:
        """Count the bytes of an exchange that crosses zones or regions."""
        size = kind['request_bytes'] + kind['answer_bytes']
        regions = self.scenario['zones']
        if regions[zone] != regions[other_zone]:
            self.region_bytes += size
        elif zone != other_zone:
            self.zone_bytes += size

    async def run(self) -> None:
        """Let callers send requests, and wait for the last answers."""
        tasks = [
            asyncio.ensure_future(self.tick(vm)) for vm in self.vms.values()
        ]
        tasks += [
            asyncio.ensure_future(EmulatedLoadExchange(self, vm.state).run())
            for vm in self.vms.values()
        ]
        tasks += [
            asyncio.ensure_future(_events.run_event(self, event))
            for event in self.scenario.get('events', [])
        ]
        await _callers.run_callers(self)
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        for outcome in ended:
            if isinstance(outcome, Exception):
                raise outcome

    async def tick(self, vm: EmulatedVm) -> None:
        """Run the periodic work of a VM."""
        state = vm.state
        while True:
            now = self.clock.now()
            state.replica.fresh_at = now
            state.regions.tick(now)
            for service in list(state.wait_queue.queues):
                state.wait_queue.dispatch(service, now)
            await asyncio.sleep(TICK_INTERVAL_S)


def play(scenario: _scenario.Scenario, seed: int) -> Fleet:
    """Emulate a scenario; return the fleet with what happened."""
    fleet = Fleet(scenario, seed)
    loop = _virtual_time.VirtualLoop(fleet.clock)
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(fleet.run())
    return fleet
