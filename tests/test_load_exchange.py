"""Loads of regions that entry VMs tell each other."""

import asyncio
import typing
import unittest

import aiohttp

from filbertstep import clock
from filbertstep import steering
from filbertstep.entry import _connections
from filbertstep.entry import _load_exchange
from filbertstep.entry import _peers
from tests import caching_fleet
from tests import steering_samples as samples
from tests import test_entry_knowledge


class FakeSettings(typing.NamedTuple):
    """Name of the VM."""

    vm: str


class FakeMembers(typing.NamedTuple):
    """Live VMs by name."""

    live: dict[str, steering.Member]


class FakeState(typing.NamedTuple):
    """The parts of a VM's state that an exchange of loads needs."""

    regions: steering.RegionSplitter
    members: FakeMembers
    settings: FakeSettings


class Vm:
    """One VM with a server in each region, and its listener for peers."""

    def __init__(self, name: str, zone: str) -> None:
        self.clock = clock.FakeClock()
        self.table = samples.server_table(
            samples.server('a0', 'a-1'),
            samples.server('b0', 'b-1'),
            samples.server('c0', 'c-1'),
        )
        self.regions = steering.RegionSplitter(
            self.table, samples.REGIONS[zone], samples.BOUNDS
        )
        self.regions.service_split('orders', self.clock.now())
        self.log = test_entry_knowledge.make_log(self.clock)
        # Any: the fake state has only what an exchange of loads needs.
        self.state: typing.Any = FakeState(
            self.regions, FakeMembers({}), FakeSettings(name)
        )

    def receive_reports(self, server_id: str, running: int) -> None:
        """Receive reports by one server for a second."""
        for _ in range(10):
            self.clock.advance(0.1)
            self.regions.choose_region('orders', 'x', self.clock.now())
            self.regions.record_load(self.table.by_id[server_id], running, 0)
            self.regions.tick(self.clock.now())


class TestLoadExchange(unittest.IsolatedAsyncioTestCase):
    """VM a1 of region a, and VMs of region b."""

    async def asyncSetUp(self) -> None:
        """Start the listener of VM b1."""
        self.peer = Vm('b1', 'b-1')
        any_part = typing.cast(typing.Any, None)
        listener = _peers.PeerListener(
            self.peer.state, any_part, any_part, self.peer.clock, any_part
        )
        http_server = _connections.make_http_server(listener.handle)
        self.addAsyncCleanup(http_server.shutdown, 0.1)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(http_server, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.vm = Vm('a1', 'a-1')
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        self.exchange = _load_exchange.LoadExchange(
            self.vm.state, session, self.vm.clock, self.vm.log
        )
        self.member = samples.member('b1', 'b-1')._replace(
            peers=f'127.0.0.1:{port}'
        )

    async def test_the_load_of_another_region_becomes_known(self) -> None:
        """Guards against guessing the load where no own requests go."""
        self.peer.receive_reports('b0', running=4)
        await self.exchange.ask(self.member)
        self.vm.receive_reports('a0', running=2)
        split = self.vm.regions.splits['orders']
        self.assertGreater(split.loads['b'], 0.7)
        self.assertGreater(split.report_counts['b'], 0)
        self.assertEqual(split.report_counts['c'], 0)

    async def test_only_loads_of_the_own_region_are_passed_on(self) -> None:
        """Guards against old loads that VMs tell each other in a circle."""
        self.peer.receive_reports('c0', running=4)
        self.assertEqual(
            _load_exchange.loads_answer(
                self.peer.regions, self.peer.clock.now()
            ),
            {},
        )

    async def test_old_loads_are_not_used(self) -> None:
        """Guards against loads of a region that is out of reach."""
        self.peer.receive_reports('b0', running=4)
        await self.exchange.ask(self.member)
        for _ in range(4):
            self.vm.receive_reports('a0', running=2)
        split = self.vm.regions.splits['orders']
        self.assertEqual(split.report_counts['b'], 0)
        self.peer.clock.advance(10.0)
        self.assertEqual(
            _load_exchange.loads_answer(
                self.peer.regions, self.peer.clock.now()
            ),
            {},
        )

    async def test_unreachable_and_faulty_peers_are_tolerated(self) -> None:
        """Guards against ending the exchange after one failure."""
        for answer in (b'', b'[]', b'{"orders": {"load": "x"}}'):
            with self.subTest(answer=answer):

                async def reply(
                    reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter,
                    answer: bytes = answer,
                ) -> None:
                    await reader.readuntil(b'\r\n\r\n')
                    if answer:
                        writer.write(
                            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
                            % len(answer)
                        )
                        writer.write(answer)
                    writer.close()

                server = await asyncio.start_server(reply, '127.0.0.1', 0)
                self.addCleanup(server.close)
                port = server.sockets[0].getsockname()[1]
                await self.exchange.ask(
                    self.member._replace(peers=f'127.0.0.1:{port}')
                )
        self.assertEqual(self.vm.regions.splits['orders'].peer_summaries, {})

    async def test_regions_and_their_vms_take_turns(self) -> None:
        """Guards against asking in proportion to the number of VMs."""
        zones = {'a1': 'a-1', 'a2': 'a-2', 'b1': 'b-1', 'b2': 'b-1'}
        zones |= {f'c{number}': 'c-1' for number in range(5)}
        self.vm.state.members.live.update(
            {vm: samples.member(vm, zone) for vm, zone in zones.items()}
        )
        peers = [self.exchange.next_peer() for _ in range(15)]
        asked = [peer.vm for peer in peers if peer is not None]
        self.assertEqual(asked[:6], ['a2', 'b1', 'c0', 'a2', 'b2', 'c1'])
        self.assertEqual(set(asked), zones.keys() - {'a1'})

    async def test_a_single_vm_asks_nobody(self) -> None:
        """Guards against a failure of the first VM of a deployment."""
        self.vm.state.members.live['a1'] = samples.member('a1')
        self.assertIsNone(self.exchange.next_peer())


# A request takes three times as long without its object cached.
WORKLOAD: typing.Final = caching_fleet.Workload(
    route=samples.route(target_s=1.0, timeout_s=4.0, public=True),
    run_s=1.6,
    cached_run_s=0.48,
    objects=24,
    rates_per_s={},
)

VM_ZONES: typing.Final = {
    'a1': 'a-1',
    'a2': 'a-1',
    'a3': 'a-2',
    'b1': 'b-1',
    'b2': 'b-2',
    'c1': 'c-1',
    'c2': 'c-1',
}

CACHED_OBJECTS: typing.Final = 23

# All VMs start with empty caches at time 0; after the settling time, all
# objects could be cached.
SETTLING_S: typing.Final = 25.0
DURATION_S: typing.Final = 40.0

SEEDS: typing.Final = (1, 2, 3)


class TestOverload(unittest.TestCase):
    """A service whose servers have no object cached, as after a restart."""

    def settled_fleets(
        self, servers_by_zone: dict[str, int], workload: caching_fleet.Workload
    ) -> list[caching_fleet.Fleet]:
        """Return fleets that have served requests, one for each seed."""
        fleets = []
        for seed in SEEDS:
            fleet = caching_fleet.Fleet(
                workload, VM_ZONES, servers_by_zone, CACHED_OBJECTS, seed
            )
            fleet.run(DURATION_S)
            fleets.append(fleet)
        return fleets

    def test_regions_with_enough_slots_keep_their_requests(self) -> None:
        """Guards against regions that exchange their requests.

        Regions b and c have twice the slots that their requests need.
        """
        workload = WORKLOAD._replace(
            rates_per_s={'a': 11.5, 'b': 11.5, 'c': 11.5}
        )
        fleets = self.settled_fleets(
            {'a-1': 1, 'b-1': 2, 'b-2': 2, 'c-1': 4}, workload
        )
        for region in 'bc':
            shares = [
                state.regions.splits['orders'].remote_share
                for fleet in fleets
                for state in fleet.states.values()
                if state.regions.region == region
            ]
            self.assertLess(sum(shares) / len(shares), 0.2)

    def test_a_service_recovers_from_empty_caches(self) -> None:
        """Guards against an overload that lasts because of its own effects.

        Requests that spread over servers and regions run without their objects
        cached, and keep all slots in use.
        """
        workload = WORKLOAD._replace(
            rates_per_s={'a': 8.0, 'b': 8.0, 'c': 8.0}
        )
        fleets = self.settled_fleets(
            {'a-1': 1, 'a-2': 1, 'b-1': 2, 'c-1': 3}, workload
        )
        settled = [
            request
            for fleet in fleets
            for request in fleet.served
            if SETTLING_S <= request.arrived_at < DURATION_S
        ]
        in_time = sum(
            request.status == 200 and request.took_s <= workload.route.target_s
            for request in settled
        )
        self.assertGreater(in_time / len(settled), 0.8)
