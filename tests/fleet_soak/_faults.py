"""Fault injection: the seed determines which faults occur, and when.

Planned faults are routine operator actions, which must not interrupt requests.
Faults repair what they broke before they end; crashed and drained servers are
replaced in the background.
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

# Longest duration of a fault, except for suspended VMs and evacuated
# availability zones, which may take 1 or 2 s longer.
MAX_FAULT_S: typing.Final = 5.0

# Choices for the pause between two actions of the same fault.
ACTION_PAUSES_S: typing.Final = (0.05, 0.4, 1.5)

# Probability that a mass kill includes a given VM.
MASS_KILL_PROBABILITY: typing.Final = 0.7

POISON_INTERVAL_S: typing.Final = 0.3

# Choices for the time until the writers write again after a restore of the
# store, which they do within about 2 s.
REWRITE_DELAYS_S: typing.Final = (0.0, 0.3, 1.5)

# States of a faulty link: silent in one or both directions, resetting
# connections, or delaying data.
LINK_FAULTS: typing.Final[tuple[dict[str, object], ...]] = (
    {'forward': 'hold'},
    {'backward': 'hold'},
    {'forward': 'hold', 'backward': 'hold'},
    {'forward': 'reset'},
    {'delay_s': 0.3},
)

FaultAction = collections.abc.Callable[
    [_world.World, random.Random], collections.abc.Awaitable[None]
]


class ScheduledFault(typing.NamedTuple):
    """A fault to inject ``start_s`` seconds after the fault phase starts."""

    start_s: float
    name: str
    seed: int


def choose_duration(rng: random.Random) -> float:
    """Return a random duration of a fault in seconds."""
    return rng.choice((0.3, 1.2, 2.5, 3.5, MAX_FAULT_S))


def choose_unclaimed_vm(
    world: _world.World, rng: random.Random
) -> _world.Vm | None:
    """Return a random VM that no other fault is restarting, if any."""
    unclaimed = [vm for vm in world.vms if not vm.claimed_by_fault]
    return rng.choice(unclaimed) if unclaimed else None


async def stop_vms(world: _world.World, rng: random.Random) -> None:
    """Stop VMs gracefully, one after the other, and restart each."""
    for _ in range(rng.randint(1, 3)):
        vm = choose_unclaimed_vm(world, rng)
        if vm is None:
            return
        vm.claimed_by_fault = True
        await _world.terminate_vm(vm, entry_process.BOUNDS['grace_s'])
        await vm.launch()
        vm.claimed_by_fault = False
        await asyncio.sleep(rng.choice(ACTION_PAUSES_S))


async def kill_vms(world: _world.World, rng: random.Random) -> None:
    """Kill one VM, or most of them at once, and restart them."""
    vm = choose_unclaimed_vm(world, rng)
    killed = [vm] if vm else []
    if rng.random() < 0.3:
        killed = [
            candidate
            for candidate in world.vms
            if not candidate.claimed_by_fault
            and rng.random() < MASS_KILL_PROBABILITY
        ]
    for killed_vm in killed:
        killed_vm.claimed_by_fault = True
        killed_vm.send_signal(signal.SIGKILL)
    await asyncio.sleep(rng.choice((0.2, 1.0, 3.0)))
    for killed_vm in killed:
        await killed_vm.wait_for_exit()
        await killed_vm.launch()
        killed_vm.claimed_by_fault = False


async def pause_vm(world: _world.World, rng: random.Random) -> None:
    """Suspend a VM for less or more time than its cached state is valid."""
    vm = rng.choice(world.vms)
    vm.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.choice((0.4, 2.0, MAX_FAULT_S + 1.0)))
    vm.send_signal(signal.SIGCONT)


async def reload_settings(world: _world.World, rng: random.Random) -> None:
    """Change settings files, with or without the signal to reload them."""
    for _ in range(rng.randint(1, 4)):
        vm = rng.choice(world.vms)
        vm.write_settings(**{'bounds.budget_slack': rng.randint(50, 70)})
        if rng.random() < 0.6:
            vm.send_signal(signal.SIGHUP)
        await asyncio.sleep(rng.choice(ACTION_PAUSES_S))


async def add_routes(world: _world.World, rng: random.Random) -> None:
    """Add routes shortly one after the other."""
    for _ in range(rng.randint(1, 3)):
        prefix = f'/new{world.config_version}/'
        service = rng.choice(list(_world.SERVERS_PER_ZONE))
        world.routes[prefix] = (service, rng.random() < 0.5)
        world.write_config()
        world.record_change(Kind.ROUTE_ADDED, prefix)
        await asyncio.sleep(rng.choice(ACTION_PAUSES_S))


async def withdraw_key(world: _world.World, rng: random.Random) -> None:
    """Withdraw an API key that callers continue to use.

    Each client account keeps at least one key.
    """
    account = rng.choice(list(_checks.ACCOUNT_LIMITS))
    keys = [key for key, name in world.active_keys.items() if name == account]
    if len(keys) < 2:
        return
    key = rng.choice(keys)
    del world.active_keys[key]
    world.write_config()
    world.record_change(Kind.KEY_WITHDRAWN, key)


async def drain_servers(world: _world.World, rng: random.Random) -> None:
    """Replace servers; some are removed without announcing the drain."""
    for _ in range(rng.randint(1, 3)):
        server = rng.choice(world.ready_servers())
        world.start_task(
            world.drain_server(
                server,
                announced=rng.random() < 0.7,
                entry_delay_s=rng.choice((0.0, MAX_FAULT_S)),
            )
        )
        await asyncio.sleep(rng.choice(ACTION_PAUSES_S))


async def evacuate_zone(world: _world.World, rng: random.Random) -> None:
    """Evacuate an availability zone and restore it."""
    zone = rng.choice(list(_world.REGION_BY_ZONE))
    key = f'op/evacuate/{zone}'
    world.store.put(key, b'{}')
    world.record_change(Kind.ZONE_EVACUATED, zone)
    await asyncio.sleep(MAX_FAULT_S + 2.0)
    world.store.delete(key)
    world.record_change(Kind.ZONE_RESTORED, zone)


async def fail_store(world: _world.World, rng: random.Random) -> None:
    """Make the store refuse or ignore calls, drop replies or respond slowly.

    In some cases, all leases expire as well.
    """
    store = world.store
    field, faulty_value, normal_value = rng.choice(
        (
            ('status', 503, 0),
            ('status', 429, 0),
            ('unresponsive', True, False),
            ('drop_write_replies', True, False),
            ('delay_s', 0.4, 0.0),
        )
    )
    setattr(store, field, faulty_value)
    await asyncio.sleep(choose_duration(rng))
    if field != 'drop_write_replies' and rng.random() < 0.4:
        for lease in list(store.leases):
            store.expire_lease(lease)
    setattr(store, field, normal_value)


async def invalidate_store_watches(
    world: _world.World, _rng: random.Random
) -> None:
    """Make the store drop its events, so that watches list all keys again."""
    world.store.drop_history()


async def restore_store(world: _world.World, rng: random.Random) -> None:
    """Restore the store from a copy some seconds old.

    The operator and the servers soon write again what the copy lacks.
    """
    store = world.store
    older = store.make_copy()
    await asyncio.sleep(choose_duration(rng))
    store.status = 503
    await asyncio.sleep(rng.choice((0.1, 1.2, 2.5)))
    store.restore(older)
    store.status = 0
    await asyncio.sleep(rng.choice(REWRITE_DELAYS_S))
    store.write_lost()


async def cut_store_links(world: _world.World, rng: random.Random) -> None:
    """Break the links of up to half of the VMs to the store."""
    links = [f'store-{vm.name}' for vm in world.vms]
    chosen = rng.sample(links, rng.randint(1, max(1, len(links) // 2)))
    await break_links(world, rng, chosen)


async def cut_server_links(world: _world.World, rng: random.Random) -> None:
    """Break the links of up to three servers."""
    count = rng.randint(1, 3)
    servers = world.ready_servers()
    await break_links(
        world, rng, [server.link for server in rng.sample(servers, count)]
    )


async def break_links(
    world: _world.World, rng: random.Random, links: list[str]
) -> None:
    """Break links in the same way and repair them."""
    fields = rng.choice(LINK_FAULTS)
    for link in links:
        world.patch_link(link, **fields)
    await asyncio.sleep(choose_duration(rng))
    for link in links:
        world.patch_link(link, forward='open', backward='open', delay_s=0.0)


async def crash_servers(world: _world.World, rng: random.Random) -> None:
    """Crash servers one after the other, possibly also their replacements."""
    for _ in range(rng.randint(1, 3)):
        server = rng.choice(world.ready_servers())
        world.start_task(
            world.crash_server(server, rng.choice((0.3, 2.0, 4.0)))
        )
        await asyncio.sleep(rng.choice(ACTION_PAUSES_S))


async def degrade_servers(world: _world.World, rng: random.Random) -> None:
    """Make servers slow, lose responses, or send bytes without end.

    The servers of a service may also turn requests away as if they were full.
    """
    servers = rng.sample(world.ready_servers(), 3)
    for server in servers:
        server.execution_time_factor = rng.choice((1.0, 6.0))
        server.response_loss_probability = rng.choice((0.0, 0.3))
    duration_s = choose_duration(rng)
    for server in servers:
        server.endless_response_probability = rng.choice((0.0, 0.3))
    service = rng.choice(list(_world.SERVERS_PER_ZONE))
    full_servers = [
        server for server in world.ready_servers() if server.service == service
    ]
    rejection_probability = rng.choice((0.0, 0.6))
    for server in full_servers:
        server.rejection_probability = rejection_probability
    await asyncio.sleep(duration_s)
    for server in servers:
        server.execution_time_factor = 1.0
        server.response_loss_probability = 0.0
        server.endless_response_probability = 0.0
    for server in full_servers:
        server.rejection_probability = 0.0


async def send_poison_requests(
    world: _world.World, rng: random.Random
) -> None:
    """Send a series of requests that crash each server they reach."""
    caller = _callers.Caller(world, 1000 + rng.randrange(1000), 0)
    key = next(
        key for key, name in world.active_keys.items() if name == 'acme'
    )

    async def send() -> None:
        for number in range(rng.randint(8, 14)):
            caller.vm_address = world.vms[number % len(world.vms)].addresses[
                'front'
            ]
            caller.sticky = True
            await caller.send_attempt(
                _world.POISON_PATH, key, True, world.now() + 1.5, poison=True
            )
            await asyncio.sleep(POISON_INTERVAL_S)

    await caller.run_with_session(send)


PLANNED_FAULTS: typing.Final[dict[str, FaultAction]] = {
    action.__name__: action
    for action in (
        stop_vms,
        reload_settings,
        add_routes,
        withdraw_key,
        drain_servers,
        evacuate_zone,
    )
}

UNPLANNED_FAULTS: typing.Final[dict[str, FaultAction]] = {
    action.__name__: action
    for action in (
        kill_vms,
        pause_vm,
        fail_store,
        invalidate_store_watches,
        restore_store,
        cut_store_links,
        cut_server_links,
        crash_servers,
        degrade_servers,
        send_poison_requests,
    )
}

ALL_FAULTS: typing.Final = {**PLANNED_FAULTS, **UNPLANNED_FAULTS}


def schedule(seed: int, seconds: float) -> list[ScheduledFault]:
    """Return the faults of a run; a third of the seeds have only planned ones.

    ``seconds`` is the duration of the fault phase.  Up to three faults start
    at about the same time, so that they overlap.  Faults are chosen from their
    sorted names, so that a rename that changes the order changes all runs.
    """
    rng = random.Random(f'faults/{seed}')
    names = sorted(PLANNED_FAULTS if seed % 3 == 0 else ALL_FAULTS)
    faults = []
    start_s = 0.0
    while start_s < seconds:
        for _ in range(rng.choice((1, 1, 2, 3))):
            fault = ScheduledFault(
                start_s + rng.uniform(0.0, 0.5),
                rng.choice(names),
                rng.getrandbits(32),
            )
            faults.append(fault)
        start_s += rng.uniform(0.5, 4.0)
    return faults


async def inject(world: _world.World, fault: ScheduledFault) -> None:
    """Inject a fault at its scheduled time and record its duration."""
    await asyncio.sleep(fault.start_s)
    started_at = world.now()
    # Recorded before the injection, so that the checks also see a fault that
    # fails halfway.
    record = _history.Fault(
        started_at, float('inf'), fault.name, fault.name in PLANNED_FAULTS
    )
    world.history.faults.append(record)
    try:
        await ALL_FAULTS[fault.name](world, random.Random(fault.seed))
    finally:
        position = world.history.faults.index(record)
        world.history.faults[position] = record._replace(ended_at=world.now())
