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

ConfigSize = _capacity_world.ConfigSize
FigureValues = _capacity_fit.FigureValues

MEASURED_TICKS: typing.Final = 5
HEARTBEAT_REPEATS: typing.Final = 20

# Demand recorded for each token bucket, as a multiple of its rate, so that a
# heartbeat advertises every client account.
BUSY_DEMAND_PER_RATE: typing.Final = 5.0

HEARTBEAT_UNITS: typing.Final = {
    'idle_bytes': 'bytes of one body, no demand',
    'busy_bytes': 'bytes of one body, demand of every account',
    'build_us': 'us',
    'encode_us': 'us',
    'decode_us': 'us',
    'take_us': 'us, check and take in and build the answer',
}

TICK_PARTS: typing.Final = (
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

TICK_UNITS: typing.Final = {name: 'us a tick' for name in (*TICK_PARTS, 'all')}


async def run_heartbeat(size: ConfigSize) -> FigureValues:
    """Measure building, encoding, decoding and handling a heartbeat."""
    async with _capacity_world.node_with_config(size) as measured_node:
        idle_bytes = len(
            codec.encode(
                measured_node.agreement.heartbeats.build_request('vm-1')
            )
        )
        now = measured_node.clock.now()
        for bucket in measured_node.token_buckets.table.buckets.values():
            bucket.demand.record(
                BUSY_DEMAND_PER_RATE * bucket.limits.rate, now
            )
        sender = _capacity_world.build_member(1, size.regions)
        heartbeats = measured_node.agreement.heartbeats
        build_us = _capacity_fit.cpu_us_per_call(
            lambda: heartbeats.build_request(sender.vm), HEARTBEAT_REPEATS
        )
        message = heartbeats.build_request(sender.vm)
        encode_us = _capacity_fit.cpu_us_per_call(
            lambda: codec.encode(message), HEARTBEAT_REPEATS
        )
        body = codec.encode(
            _capacity_world.build_heartbeat_from(measured_node, sender)
        )
        decode_us = _capacity_fit.cpu_us_per_call(
            lambda: msgspec.json.decode(body), HEARTBEAT_REPEATS
        )
        timer = _capacity_fit.CpuTimer()
        for _ in range(HEARTBEAT_REPEATS):
            answer = await heartbeats.handle_heartbeat(
                msgspec.json.decode(body)
            )
            answer.unwrap()
        handle_us = timer.lap_us() / HEARTBEAT_REPEATS - decode_us
    return {
        'idle_bytes': float(idle_bytes),
        'busy_bytes': float(len(body)),
        'build_us': build_us,
        'encode_us': encode_us,
        'decode_us': decode_us,
        'take_us': handle_us,
    }


def measure_heartbeat_members(size: int) -> FigureValues:
    """Measure a heartbeat for a number of members."""
    return uvloop.run(run_heartbeat(ConfigSize(members=size)))


def measure_heartbeat_accounts(size: int) -> FigureValues:
    """Measure a heartbeat for a number of client accounts."""
    return uvloop.run(run_heartbeat(ConfigSize(accounts=size)))


def measure_heartbeat_services(size: int) -> FigureValues:
    """Measure a heartbeat for a number of services."""
    return uvloop.run(run_heartbeat(ConfigSize(services=size)))


def measure_heartbeat_servers(size: int) -> FigureValues:
    """Measure a heartbeat for a number of backend servers."""
    return uvloop.run(run_heartbeat(ConfigSize(servers=size)))


def tick_functions(
    measured_node: node.Node,
) -> dict[str, collections.abc.Callable[[float], object]]:
    """Return the functions that a node runs in each tick, by name.

    The first names of ``TICK_PARTS`` are those of ``Node.systems`` in order.
    """
    names = iter(TICK_PARTS)
    functions: dict[str, collections.abc.Callable[[float], object]] = {
        name: system.tick
        for system, name in zip(measured_node.systems, names, strict=False)
    }
    functions['callers'] = measured_node.caller_listener.tick

    def tick_node(now: float) -> None:
        measured_node.lookups.load = measured_node.used_slot_fraction()
        measured_node.report_changes(now)

    functions['node'] = tick_node
    return functions


async def run_ticks(size: ConfigSize) -> FigureValues:
    """Measure the mean tick of each part of a node that has no requests."""
    async with _capacity_world.node_with_config(size) as measured_node:
        now = measured_node.clock.now()
        measured_node.tick()
        # Prevents probes during the measured ticks.
        for row in measured_node.health.table.rows.values():
            row.next_probe_at = float('inf')
        mean_us = dict.fromkeys(TICK_PARTS, 0.0)
        for _ in range(MEASURED_TICKS):
            # Some parts refresh their state only after a whole tick interval.
            now += systems.TICK_INTERVAL_S
            _capacity_world.record_store_evidence(measured_node, now)
            for name, tick_function in tick_functions(measured_node).items():
                timer = _capacity_fit.CpuTimer()
                tick_function(now)
                mean_us[name] += timer.lap_us() / MEASURED_TICKS
        if not measured_node.agreement.is_fresh(now):
            raise AssertionError('the node has no fresh evidence')
    return {**mean_us, 'all': sum(mean_us.values())}


def measure_tick_members(size: int) -> FigureValues:
    """Measure a tick for a number of members."""
    return uvloop.run(run_ticks(ConfigSize(members=size)))


def measure_tick_accounts(size: int) -> FigureValues:
    """Measure a tick for a number of client accounts."""
    return uvloop.run(run_ticks(ConfigSize(accounts=size)))


def measure_tick_servers(size: int) -> FigureValues:
    """Measure a tick for a number of backend servers."""
    return uvloop.run(run_ticks(ConfigSize(servers=size)))


EXPERIMENTS: typing.Final = (
    _capacity_axes.members_experiment(
        'heartbeat_members', HEARTBEAT_UNITS, measure_heartbeat_members
    ),
    _capacity_axes.accounts_experiment(
        'heartbeat_accounts', HEARTBEAT_UNITS, measure_heartbeat_accounts
    ),
    _capacity_fit.Experiment(
        'heartbeat_services',
        'services',
        (2, 4, 8, 16),
        _capacity_axes.QUICK_COUNTS,
        _capacity_world.TARGET_SERVICES,
        HEARTBEAT_UNITS,
        measure_heartbeat_services,
        _capacity_fit.SHORT_EXPERIMENT_RUNS,
    ),
    _capacity_axes.servers_experiment(
        'heartbeat_servers', HEARTBEAT_UNITS, measure_heartbeat_servers
    ),
    _capacity_axes.members_experiment(
        'tick_members', TICK_UNITS, measure_tick_members
    ),
    _capacity_axes.accounts_experiment(
        'tick_accounts', TICK_UNITS, measure_tick_accounts
    ),
    _capacity_axes.servers_experiment(
        'tick_servers', TICK_UNITS, measure_tick_servers
    ),
)
