"""What goes wrong in a run, and when: chosen by seed, in series, overlapping.

Planned faults are what operators do; nothing may be cut by them.  Each fault
heals what it broke before it ends.
"""

import asyncio
import collections.abc
import random
import signal
import typing

from tests import entry_process
from tests.fleet_soak import _callers
from tests.fleet_soak import _checks
from tests.fleet_soak import _history
from tests.fleet_soak import _world

Kind = _history.ChangeKind

# Longest time in seconds of one fault.
LONGEST_S: typing.Final = 5.0

# Times in seconds between two steps of a series.
SERIES_S: typing.Final = (0.05, 0.4, 1.5)

# Part of the VMs that are killed at once.
HERD_SHARE: typing.Final = 0.7

# Time in seconds between two requests that end servers.
POISON_PAUSE_S: typing.Final = 0.3

# States of a link: silent one way or both, reset, or delayed.
CUTS: typing.Final[tuple[dict[str, object], ...]] = (
    {'forward': 'hold'},
    {'backward': 'hold'},
    {'forward': 'hold', 'backward': 'hold'},
    {'forward': 'reset'},
    {'delay_s': 0.3},
)

Act = collections.abc.Callable[
    [_world.World, random.Random], collections.abc.Awaitable[None]
]


class Planned(typing.NamedTuple):
    """A fault of a run; ``at`` in seconds from the first one possible."""

    at: float
    name: str
    seed: int


def duration(rng: random.Random) -> float:
    """Return how long a fault lasts in seconds."""
    return rng.choice((0.3, 1.2, 2.5, 3.5, LONGEST_S))


def free_vm(world: _world.World, rng: random.Random) -> _world.Vm | None:
    """Return a VM whose process no other fault restarts."""
    free = [vm for vm in world.vms if not vm.busy]
    return rng.choice(free) if free else None


async def stop_vms(world: _world.World, rng: random.Random) -> None:
    """Stop VMs as planned, one after the other, and start them again."""
    for _ in range(rng.randint(1, 3)):
        vm = free_vm(world, rng)
        if vm is None:
            return
        vm.busy = True
        await _world.stop_politely(vm, entry_process.BOUNDS['grace_s'])
        await vm.launch()
        vm.busy = False
        await asyncio.sleep(rng.choice(SERIES_S))


async def kill_vms(world: _world.World, rng: random.Random) -> None:
    """Kill a VM, or most at once, and start them again."""
    vm = free_vm(world, rng)
    killed = [vm] if vm else []
    if rng.random() < 0.3:
        killed = [
            row
            for row in world.vms
            if not row.busy and rng.random() < HERD_SHARE
        ]
    for row in killed:
        row.busy = True
        row.send_signal(signal.SIGKILL)
    await asyncio.sleep(rng.choice((0.2, 1.0, 3.0)))
    for row in killed:
        await row.gone()
        await row.launch()
        row.busy = False


async def pause_vm(world: _world.World, rng: random.Random) -> None:
    """Suspend a VM for less or more than its knowledge lasts."""
    vm = rng.choice(world.vms)
    vm.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.choice((0.4, 2.0, LONGEST_S + 1.0)))
    vm.send_signal(signal.SIGCONT)


async def reload_vms(world: _world.World, rng: random.Random) -> None:
    """Change settings files, with the signal and without."""
    for _ in range(rng.randint(1, 4)):
        vm = rng.choice(world.vms)
        vm.write_settings(**{'bounds.budget_slack': rng.randint(50, 70)})
        if rng.random() < 0.6:
            vm.send_signal(signal.SIGHUP)
        await asyncio.sleep(rng.choice(SERIES_S))


async def add_routes(world: _world.World, rng: random.Random) -> None:
    """Add routes in quick succession."""
    for _ in range(rng.randint(1, 3)):
        prefix = f'/new{world.version}/'
        service = rng.choice(list(_world.SERVERS))
        world.routes[prefix] = (service, rng.random() < 0.5)
        world.configure()
        world.note(Kind.ROUTE_ADDED, prefix)
        await asyncio.sleep(rng.choice(SERIES_S))


async def withdraw_key(world: _world.World, rng: random.Random) -> None:
    """Withdraw a key whose callers go on with it."""
    account = rng.choice(list(_checks.ACCOUNTS))
    keys = [key for key, name in world.in_force.items() if name == account]
    if len(keys) < 2:
        return
    key = rng.choice(keys)
    del world.in_force[key]
    world.configure()
    world.note(Kind.KEY_WITHDRAWN, key)


async def drain_servers(world: _world.World, rng: random.Random) -> None:
    """Replace servers, of which some don't say that they leave."""
    for _ in range(rng.randint(1, 3)):
        server = rng.choice(world.ready_servers())
        world.spawn(world.drain(server, rng.random() < 0.7))
        await asyncio.sleep(rng.choice(SERIES_S))


async def evacuate_zone(world: _world.World, rng: random.Random) -> None:
    """Evacuate an availability zone and take it back."""
    zone = rng.choice(list(_world.ZONES))
    key = f'op/evacuate/{zone}'
    world.store.put(key, b'{}')
    world.note(Kind.ZONE_EVACUATED, zone)
    await asyncio.sleep(LONGEST_S + 2.0)
    world.store.delete(key)
    world.note(Kind.ZONE_TAKEN_BACK, zone)


async def fail_store(world: _world.World, rng: random.Random) -> None:
    """Let the store refuse, be silent or slow, or lose answers."""
    store = world.store
    field, value, usual = rng.choice(
        (
            ('status', 503, 0),
            ('status', 429, 0),
            ('unresponsive', True, False),
            ('drop_write_replies', True, False),
            ('delay_s', 0.4, 0.0),
        )
    )
    setattr(store, field, value)
    await asyncio.sleep(duration(rng))
    if field != 'drop_write_replies' and rng.random() < 0.4:
        for lease in list(store.leases):
            store.expire_lease(lease)
    setattr(store, field, usual)


async def forget_history(world: _world.World, _rng: random.Random) -> None:
    """Let the store drop its history."""
    world.store.drop_history()


async def cut_store(world: _world.World, rng: random.Random) -> None:
    """Cut VMs off from the store, one way or both."""
    links = [f'store-{vm.name}' for vm in world.vms]
    chosen = rng.sample(links, rng.randint(1, max(1, len(links) // 2)))
    await cut(world, rng, chosen)


async def cut_servers(world: _world.World, rng: random.Random) -> None:
    """Cut off servers, one way or both."""
    count = rng.randint(1, 3)
    rows = world.ready_servers()
    await cut(world, rng, [row.link for row in rng.sample(rows, count)])


async def cut(
    world: _world.World, rng: random.Random, links: list[str]
) -> None:
    """Break links and mend them."""
    fields = rng.choice(CUTS)
    for link in links:
        world.set_link(link, **fields)
    await asyncio.sleep(duration(rng))
    for link in links:
        world.set_link(link, forward='open', backward='open', delay_s=0.0)


async def crash_servers(world: _world.World, rng: random.Random) -> None:
    """End servers without a word; some go down again and again."""
    for _ in range(rng.randint(1, 3)):
        server = rng.choice(world.ready_servers())
        world.spawn(world.crash(server, rng.choice((0.3, 2.0, 4.0))))
        await asyncio.sleep(rng.choice(SERIES_S))


async def disturb_servers(world: _world.World, rng: random.Random) -> None:
    """Let servers be slow or lose the answers of what they ran."""
    rows = rng.sample(world.ready_servers(), 3)
    for row in rows:
        row.slow = rng.choice((1.0, 6.0))
        row.lose = rng.choice((0.0, 0.3))
    await asyncio.sleep(duration(rng))
    for row in rows:
        row.slow, row.lose = 1.0, 0.0


async def send_poison(world: _world.World, rng: random.Random) -> None:
    """Send a request again and again that ends each server."""
    caller = _callers.Caller(world, 1000 + rng.randrange(1000), 0)
    key = next(key for key, name in world.in_force.items() if name == 'acme')

    async def send() -> None:
        for number in range(rng.randint(8, 14)):
            caller.vm = world.vms[number % len(world.vms)].addresses['front']
            caller.loyal = True
            await caller.attempt(
                _world.POISON, key, True, world.now() + 1.5, poison=True
            )
            await asyncio.sleep(POISON_PAUSE_S)

    await caller.with_session(send)


PLANNED: typing.Final[dict[str, Act]] = {
    act.__name__: act
    for act in (
        stop_vms,
        reload_vms,
        add_routes,
        withdraw_key,
        drain_servers,
        evacuate_zone,
    )
}

UNPLANNED: typing.Final[dict[str, Act]] = {
    act.__name__: act
    for act in (
        kill_vms,
        pause_vm,
        fail_store,
        forget_history,
        cut_store,
        cut_servers,
        crash_servers,
        disturb_servers,
        send_poison,
    )
}

ALL: typing.Final = {**PLANNED, **UNPLANNED}


def schedule(seed: int, seconds: float) -> list[Planned]:
    """Return the faults of a run; a third of the seeds has planned ones only.

    They come in pairs and threes as well as alone, so that they overlap.
    """
    rng = random.Random(f'faults/{seed}')
    names = sorted(PLANNED if seed % 3 == 0 else ALL)
    found = []
    at = 0.0
    while at < seconds:
        for _ in range(rng.choice((1, 1, 2, 3))):
            row = Planned(
                at + rng.uniform(0.0, 0.5),
                rng.choice(names),
                rng.getrandbits(32),
            )
            found.append(row)
        at += rng.uniform(0.5, 4.0)
    return found


async def play(world: _world.World, planned: Planned) -> None:
    """Wait for a fault's time, do it and note its span."""
    await asyncio.sleep(planned.at)
    started = world.now()
    # Noted at once, so that the checks know of it whatever becomes of it.
    row = _history.Fault(
        started, float('inf'), planned.name, planned.name in PLANNED
    )
    world.history.faults.append(row)
    try:
        await ALL[planned.name](world, random.Random(planned.seed))
    finally:
        at = world.history.faults.index(row)
        world.history.faults[at] = row._replace(until=world.now())
