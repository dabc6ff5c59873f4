"""Token buckets and slots of several simulated VMs in one process.

Time is simulated: instead of sleeping, the event loop advances the clock to
its next timer, so that tests run fast and always in the same order.
"""

import asyncio
import collections.abc
import random
import selectors
import typing

import result

from filbertstep import clock
from filbertstep import config
from filbertstep import errors
from filbertstep import sharing
from filbertstep import systems
from filbertstep import transport

EVIDENCE_LIFETIME_S = config.EVIDENCE_LIFETIME_S
ACCOUNT = 'client_account/acme'


class ClockAdvancingSelector(selectors.SelectSelector):
    """Advances the clock instead of waiting."""

    def __init__(self, fake_clock: clock.FakeClock) -> None:
        super().__init__()
        self.fake_clock = fake_clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock; raise RuntimeError if no timer is set."""
        if timeout is None:
            raise RuntimeError('the event loop has no timer to wait for')
        self.fake_clock.advance(timeout)
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is that of a fake clock."""

    def __init__(self, fake_clock: clock.FakeClock) -> None:
        super().__init__(ClockAdvancingSelector(fake_clock))
        self.fake_clock = fake_clock

    def time(self) -> float:
        """Return the simulated time."""
        return self.fake_clock.time


T = typing.TypeVar('T')


def run_simulated(
    fake_clock: clock.FakeClock,
    coroutine: collections.abc.Coroutine[typing.Any, typing.Any, T],
) -> T:
    """Run a coroutine in simulated time."""
    loop = SimulatedLoop(fake_clock)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


class FakeHead(typing.NamedTuple):
    """A committed head; ``members`` are VMs and incarnations."""

    head_index: int
    number: int
    members: tuple[tuple[str, str], ...]
    committed_at: float


class FakeStore:
    """Committed heads; all of them have the same documents."""

    def __init__(
        self,
        documents: config.Documents,
        regions: dict[str, str] | None = None,
    ) -> None:
        self.documents = documents
        self.regions = regions or {}
        self.heads: list[FakeHead] = []

    def commit(
        self, members: collections.abc.Iterable[tuple[str, str]], now: float
    ) -> FakeHead:
        """Commit the next epoch."""
        number = len(self.heads) + 1
        head = FakeHead(10 * number, number, tuple(sorted(members)), now)
        self.heads.append(head)
        return head

    def epoch(self, head: FakeHead) -> config.Epoch:
        """Return the epoch of a head."""
        rows = {
            vm: config.Member(
                vm, incarnation, self.regions.get(vm, 'west'), 'west-a'
            )
            for vm, incarnation in head.members
        }
        return config.Epoch(head.number, rows, tuple(sorted(rows)))

    def view(self, head: FakeHead) -> config.View:
        """Return the view of a head, with its former epochs."""
        former = self.heads[: head.number - 1]
        doc = config.empty_head()
        doc['epoch'] = config.epoch_to_doc(self.epoch(head))
        return config.View(
            head_index=head.head_index,
            head=doc,
            epoch=self.epoch(head),
            former_epochs=tuple(map(self.epoch, former))[
                -config.MAX_FORMER_EPOCHS :
            ],
            documents=self.documents,
            config=config.build_config(self.documents),
        )


class FakeFreshness(systems.Freshness):
    """Decides freshness from the commits to a fake store.

    A VM that has not learned an epoch within ``EVIDENCE_LIFETIME_S`` after
    its commit is not fresh.  A test can set ``forced_stale``.
    """

    def __init__(self, store: FakeStore, views: config.ViewTable) -> None:
        self.store = store
        self.views = views
        self.forced_stale = False

    def is_fresh(self, now: float) -> bool:
        """Return whether no epoch has been missed for too long."""
        missed = [
            head
            for head in self.store.heads
            if head.head_index > self.views.head_index()
        ]
        too_late = any(
            now - head.committed_at >= EVIDENCE_LIFETIME_S for head in missed
        )
        return (
            not too_late
            and not self.forced_stale
            and self.views.head_index() > 0
        )


class FakeMembership(systems.Membership):
    """Lists the other VMs of a fleet that are up."""

    def __init__(self, fleet: 'Fleet', vm: str) -> None:
        self.fleet = fleet
        self.vm = vm

    def live_vms(self, now: float) -> list[systems.LiveVm]:
        """Return the other VMs, frozen ones included."""
        return [
            systems.LiveVm(
                node.vm, node.incarnation, 'west', 'west-a', 'serving', '',
                0, 0.0,
            )
            for name, node in sorted(self.fleet.nodes.items())
            if name != self.vm
        ]  # fmt: skip


class SimulatedPeers(transport.FakePeers):
    """Calls peers with a delay; loses requests and answers at random."""

    def __init__(self, one_way_delay_s: float, rng: random.Random) -> None:
        super().__init__()
        self.one_way_delay_s = one_way_delay_s
        self.rng = rng
        self.loss = 0.0
        self.frozen: set[str] = set()
        self.calls = 0

    async def call(
        self,
        vm: str,
        path: str,
        message: transport.Message,
        timeout_s: float,
    ) -> result.Result[transport.Message, errors.Failure]:
        """Call a peer through the simulated network."""
        self.calls += 1
        unknown: result.Result[transport.Message, errors.Failure] = result.Err(
            errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, 'lost')
        )
        await asyncio.sleep(self.one_way_delay_s)
        if vm in self.frozen or self.rng.random() < self.loss:
            await asyncio.sleep(timeout_s)
            return unknown
        answer = await super().call(vm, path, message, timeout_s)
        await asyncio.sleep(self.one_way_delay_s)
        if self.rng.random() < self.loss:
            await asyncio.sleep(timeout_s)
            return unknown
        return answer


class Node:
    """One process on a VM, with its token buckets and slots."""

    def __init__(self, fleet: 'Fleet', vm: str, incarnation: str) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.frozen = False
        self.views = config.ViewTable()
        self.freshness = FakeFreshness(fleet.store, self.views)
        arguments = (
            vm,
            incarnation,
            fleet.clock,
            self.views,
            self.freshness,
            FakeMembership(fleet, vm),
            fleet.peers,
            random.Random(f'{vm}/{incarnation}'),
        )
        self.shares = sharing.TokenBucketSystem(*arguments)
        self.slots = sharing.SlotSystem(*arguments)
        self.systems: list[sharing.TokenBucketSystem | sharing.SlotSystem] = [
            self.shares,
            self.slots,
        ]

    def learn(self, store: FakeStore, now: float) -> None:
        """Learn the newest head."""
        if store.heads:
            self.views.add_view(store.view(store.heads[-1]), now)

    def units(self, now: float, resource: str = ACCOUNT) -> int:
        """Return the units of a resource that this VM may use now."""
        bucket = self.shares.table.get(resource, now)
        if bucket is None or not self.freshness.is_fresh(now):
            return 0
        return bucket.units


class Fleet:
    """VMs that call each other through a simulated network."""

    def __init__(
        self,
        documents: config.Documents,
        one_way_delay_s: float = 0.012,
        seed: int = 1,
        regions: dict[str, str] | None = None,
    ) -> None:
        self.clock = clock.FakeClock()
        self.rng = random.Random(seed)
        self.store = FakeStore(documents, regions)
        self.peers = SimulatedPeers(one_way_delay_s, self.rng)
        self.nodes: dict[str, Node] = {}
        self.dead: list[Node] = []
        self.process_count = 0

    def start(self, vm: str) -> Node:
        """Start a process that has not learned any epoch yet."""
        self.process_count += 1
        node = Node(self, vm, f'i{self.process_count}')
        self.nodes[vm] = node
        for system in node.systems:
            for path, handler in system.handlers().items():
                self.peers.handlers[(vm, path)] = handler
        return node

    def kill(self, vm: str) -> None:
        """Kill a process; peers cannot reach it any more."""
        self.dead.append(self.nodes.pop(vm))
        self.peers.frozen.discard(vm)
        for key in [key for key in self.peers.handlers if key[0] == vm]:
            del self.peers.handlers[key]

    def set_frozen(self, vm: str, frozen: bool) -> None:
        """Freeze or resume a process; a frozen one answers no calls."""
        self.nodes[vm].frozen = frozen
        if frozen:
            self.peers.frozen.add(vm)
        else:
            self.peers.frozen.discard(vm)

    def start_members(self, count: int) -> None:
        """Start VMs that are members of epoch 1 and know it."""
        for number in range(1, count + 1):
            self.start(f'vm-{number}')
        self.commit_to_all()

    def commit_to_all(self) -> None:
        """Commit an epoch of the VMs that are up; all learn it at once."""
        self.commit()
        for node in self.nodes.values():
            node.learn(self.store, self.clock.now())

    def commit(self) -> None:
        """Commit an epoch of the VMs that are up."""
        self.store.commit(
            ((node.vm, node.incarnation) for node in self.nodes.values()),
            self.clock.now(),
        )

    def running_nodes(self) -> list[Node]:
        """Return the processes that are up and not frozen."""
        return [node for node in self.nodes.values() if not node.frozen]

    def tick(self) -> None:
        """Run one tick of every process."""
        for node in self.running_nodes():
            for system in node.systems:
                system.tick(self.clock.now())

    def heartbeat(self) -> None:
        """Deliver a heartbeat of every running process to all others."""
        now = self.clock.now()
        for node in self.running_nodes():
            for system in node.systems:
                part = system.payload(now)
                for other in self.running_nodes():
                    if other is not node:
                        peer = other.systems[node.systems.index(system)]
                        peer.receive(node.vm, node.incarnation, part, now)

    async def run_for(
        self,
        seconds: float,
        after_tick: collections.abc.Callable[[], object] = lambda: None,
    ) -> None:
        """Run ticks and heartbeats; call ``after_tick`` after each tick."""
        for count in range(round(seconds / systems.TICK_INTERVAL_S)):
            if count % 5 == 0:
                self.heartbeat()
            self.tick()
            after_tick()
            await asyncio.sleep(systems.TICK_INTERVAL_S)


def make_documents(
    rate: float = 100.0,
    burst: float = 50.0,
    servers: int = 2,
    slots: int = 3,
    deadline_ms: int = 2000,
) -> config.Documents:
    """Return documents of an account, a service, its servers and a link."""
    documents = config.empty_documents()
    documents[config.EntityKind.CLIENT_ACCOUNT]['acme'] = {
        'rate': rate,
        'burst': burst,
        'services': ['shop'],
    }
    documents[config.EntityKind.SERVICE]['shop'] = {
        'path_prefix': '/shop',
        'work': 'interactive',
        'open': False,
        'idempotent_methods': ['GET'],
        'deadline_ms': deadline_ms,
        'max_body_bytes': 1000,
        'queue_limit': 10,
        'regions': {'west': 1.0},
        'objective': {
            'in_time_ms': 100,
            'in_time_share': 0.99,
            'served_share': 0.999,
        },
    }
    for number in range(servers):
        documents[config.EntityKind.BACKEND_SERVER][f'b{number}'] = {
            'service': 'shop',
            'address': f'127.0.0.1:{9000 + number}',
            'region': 'west',
            'availability_zone': 'west-a',
            'slots': slots,
            'connections': 10,
            'warmup_s': 0,
        }
    documents[config.EntityKind.LINK]['west-east'] = {
        'from_region': 'west',
        'to_region': 'east',
        'bytes_per_s': 1e6,
        'burst_bytes': 1e5,
    }
    return documents
