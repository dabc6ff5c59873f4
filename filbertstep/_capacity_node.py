"""Measurements of heartbeats and ticks in a node."""

import collections.abc
import typing

import msgspec
import uvloop

from filbertstep import _capacity_axes
from filbertstep import _capacity_fit
from filbertstep import _capacity_world
from filbertstep import codec
from filbertstep import node
from filbertstep import systems

Size = _capacity_world.Size
Values = _capacity_fit.Values

TICKS: typing.Final = 5
BEATS: typing.Final = 20

# Account whose bucket the heartbeat advertises.
BUSY_AMOUNT: typing.Final = 5.0

HEARTBEAT_UNITS: typing.Final = {
    'idle_bytes': 'bytes of one body, no demand',
    'busy_bytes': 'bytes of one body, demand of every account',
    'build_us': 'us',
    'encode_us': 'us',
    'decode_us': 'us',
    'take_us': 'us, check and take in and build the answer',
}

SYSTEMS: typing.Final = (
    'agreement',
    'shares',
    'slots',
    'health',
    'shift',
    'quarantine',
    'dispatch',
    'intents',
    'lookup',
    'callers',
    'node',
)

TICK_UNITS: typing.Final = {name: 'us a tick' for name in (*SYSTEMS, 'all')}


async def beat(size: Size) -> Values:
    """Measure one heartbeat of a node of a size."""
    async with _capacity_world.node_of(size) as one:
        idle = len(
            codec.encode(one.agreement.heartbeats.build_request('vm-1'))
        )
        now = one.clock.now()
        for bucket in one.token_buckets.table.buckets.values():
            bucket.demand.record(BUSY_AMOUNT * bucket.limits.rate, now)
        sender = _capacity_world.member(1, size.regions)
        heartbeats = one.agreement.heartbeats
        build = _capacity_fit.cost_us(
            lambda: heartbeats.build_request(sender.vm), BEATS
        )
        message = heartbeats.build_request(sender.vm)
        encode = _capacity_fit.cost_us(lambda: codec.encode(message), BEATS)
        body = codec.encode(_capacity_world.heartbeat(one, sender))
        decode = _capacity_fit.cost_us(
            lambda: msgspec.json.decode(body), BEATS
        )
        watch = _capacity_fit.Stopwatch()
        for _ in range(BEATS):
            answer = await heartbeats.handle_heartbeat(
                msgspec.json.decode(body)
            )
            answer.unwrap()
        take = watch.us() / BEATS - decode
    return {
        'idle_bytes': float(idle),
        'busy_bytes': float(len(body)),
        'build_us': build,
        'encode_us': encode,
        'decode_us': decode,
        'take_us': take,
    }


def measure_beat_members(size: int) -> Values:
    """Measure a heartbeat by members."""
    return uvloop.run(beat(Size(members=size)))


def measure_beat_accounts(size: int) -> Values:
    """Measure a heartbeat by client accounts."""
    return uvloop.run(beat(Size(accounts=size)))


def measure_beat_services(size: int) -> Values:
    """Measure a heartbeat by services."""
    return uvloop.run(beat(Size(services=size)))


def measure_beat_servers(size: int) -> Values:
    """Measure a heartbeat by backend servers."""
    return uvloop.run(beat(Size(servers=size)))


def tick_parts(
    one: node.Node,
) -> dict[str, collections.abc.Callable[[float], object]]:
    """Return what a node runs each tick, by system."""
    names = iter(SYSTEMS)
    parts: dict[str, collections.abc.Callable[[float], object]] = {
        name: system.tick
        for system, name in zip(one.systems, names, strict=False)
    }
    parts['callers'] = one.caller_listener.tick

    def rest(now: float) -> None:
        one.lookups.load = one.used_slot_fraction()
        one.report_changes(now)

    parts['node'] = rest
    return parts


async def tick(size: Size) -> Values:
    """Measure a tick of each system of a node without requests."""
    async with _capacity_world.node_of(size) as one:
        now = one.clock.now()
        one.tick()
        for row in one.health.table.rows.values():
            row.next_probe_at = float('inf')
        found = dict.fromkeys(SYSTEMS, 0.0)
        for _ in range(TICKS):
            # Systems refresh what lapses when a tick has passed.
            now += systems.TICK_INTERVAL_S
            _capacity_world.keep_fresh(one, now)
            for name, part in tick_parts(one).items():
                watch = _capacity_fit.Stopwatch()
                part(now)
                found[name] += watch.us() / TICKS
        if not one.agreement.is_fresh(now):
            raise AssertionError('the node is not fresh')
    return {**found, 'all': sum(found.values())}


def measure_tick_members(size: int) -> Values:
    """Measure a tick by members."""
    return uvloop.run(tick(Size(members=size)))


def measure_tick_accounts(size: int) -> Values:
    """Measure a tick by client accounts."""
    return uvloop.run(tick(Size(accounts=size)))


def measure_tick_servers(size: int) -> Values:
    """Measure a tick by backend servers."""
    return uvloop.run(tick(Size(servers=size)))


EXPERIMENTS: typing.Final = (
    _capacity_axes.by_members(
        'heartbeat_members', HEARTBEAT_UNITS, measure_beat_members
    ),
    _capacity_axes.by_accounts(
        'heartbeat_accounts', HEARTBEAT_UNITS, measure_beat_accounts
    ),
    _capacity_fit.Experiment(
        'heartbeat_services',
        'services',
        (2, 4, 8, 16),
        _capacity_axes.FEW,
        _capacity_world.SERVICES,
        HEARTBEAT_UNITS,
        measure_beat_services,
        _capacity_fit.SHORT_RUNS,
    ),
    _capacity_axes.by_servers(
        'heartbeat_servers', HEARTBEAT_UNITS, measure_beat_servers
    ),
    _capacity_axes.by_members(
        'tick_members', TICK_UNITS, measure_tick_members
    ),
    _capacity_axes.by_accounts(
        'tick_accounts', TICK_UNITS, measure_tick_accounts
    ),
    _capacity_axes.by_servers(
        'tick_servers', TICK_UNITS, measure_tick_servers
    ),
)
