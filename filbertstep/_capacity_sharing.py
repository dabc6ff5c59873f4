"""Measurements of the token bucket table and the slot table."""

import typing

import uvloop

from filbertstep import _capacity_axes
from filbertstep import _capacity_blocks
from filbertstep import _capacity_fit
from filbertstep import _capacity_world
from filbertstep import config
from filbertstep import node
from filbertstep import sharing
from filbertstep import systems

ConfigSize = _capacity_world.ConfigSize
FigureValues = _capacity_fit.FigureValues


def get_slot_table(measured_node: node.Node) -> typing.Any:
    """Return the slot table of a node, a private part of SlotSystem.

    Raises TypeError if the node does not use SlotSystem.
    """
    if not isinstance(measured_node.slots, sharing.SlotSystem):
        raise TypeError(
            'the node does not use SlotSystem; it has no slot table'
        )
    return measured_node.slots.table


async def run_epoch_change(size: ConfigSize) -> FigureValues:
    """Measure the first tick of token buckets and slots in a new epoch."""
    async with _capacity_world.node_with_config(size) as measured_node:
        now = measured_node.clock.now() + systems.TICK_INTERVAL_S
        _capacity_world.record_store_evidence(measured_node, now)
        newest = measured_node.views.newest
        if newest is None:
            raise AssertionError('the node has no view')
        members = list(newest.epoch.members.values())
        members.append(
            _capacity_world.build_member(size.members, size.regions)
        )
        view = newest._replace(
            head_index=11,
            epoch=config.Epoch(
                2,
                {member.vm: member for member in members},
                newest.epoch.witnesses,
            ),
            former_epochs=(newest.epoch,),
        )
        measured_node.token_buckets.tick(now)
        measured_node.slots.tick(now)
        measured_node.views.add_view(view, now)
        timer = _capacity_fit.CpuTimer()
        measured_node.token_buckets.tick(now)
        shares_us = timer.lap_us()
        measured_node.slots.tick(now)
        slots_us = timer.lap_us()
    return {'shares_ms': shares_us / 1000, 'slots_ms': slots_us / 1000}


def measure_epoch_members(size: int) -> FigureValues:
    """Measure a change of the epoch for a number of members."""
    return uvloop.run(run_epoch_change(ConfigSize(members=size)))


def measure_epoch_servers(size: int) -> FigureValues:
    """Measure a change of the epoch for a number of backend servers."""
    return uvloop.run(run_epoch_change(ConfigSize(servers=size)))


async def run_table_memory(size: ConfigSize) -> FigureValues:
    """Measure the memory of the token bucket, slot and health tables."""
    async with _capacity_world.node_with_config(size) as measured_node:
        now = measured_node.clock.now() + systems.TICK_INTERVAL_S

        def refresh_shares() -> None:
            measured_node.token_buckets.table.refreshed_at = float('-inf')
            measured_node.token_buckets.table.refresh(now)

        def refresh_slots() -> None:
            slot_table.refreshed_at = float('-inf')
            slot_table.refresh(now)

        measured_node.token_buckets.table.buckets.clear()
        _, shares_mib, _ = _capacity_blocks.trace_memory(refresh_shares)
        slot_table = get_slot_table(measured_node)
        (
            slot_table.owned,
            slot_table.ownership_cache,
            slot_table.groups_seen,
        ) = {}, {}, {}
        _, slots_mib, _ = _capacity_blocks.trace_memory(refresh_slots)

        def refresh_health() -> None:
            measured_node.health.tick(now)

        measured_node.health.table.rows.clear()
        measured_node.health.synced_head_index = -1
        # No server is in this region, so the tick starts no probe.
        measured_node.health.region = 'elsewhere'
        _, health_mib, _ = _capacity_blocks.trace_memory(refresh_health)
    return {
        'shares_kib': shares_mib * 1024,
        'slots_kib': slots_mib * 1024,
        'health_kib': health_mib * 1024,
    }


def measure_table_accounts(size: int) -> FigureValues:
    """Measure the tables' memory for a number of client accounts."""
    return uvloop.run(run_table_memory(ConfigSize(accounts=size)))


def measure_table_servers(size: int) -> FigureValues:
    """Measure the tables' memory for a number of backend servers."""
    return uvloop.run(run_table_memory(ConfigSize(servers=size)))


async def run_request(servers: int) -> FigureValues:
    """Measure taking the token and the slot of one request."""
    async with _capacity_world.node_with_config(
        ConfigSize(servers=servers)
    ) as measured_node:
        now = measured_node.clock.now()
        measured_node.tick()
        for bucket in measured_node.token_buckets.table.buckets.values():
            bucket.limits = bucket.limits._replace(rate=1e9, burst=1e9)
            bucket.tokens = 1e8

        def consume_token() -> None:
            if not measured_node.token_buckets.try_consume(
                'client_account/account-0', 1.0, now
            ):
                raise AssertionError('no token was available')

        server = next(
            name
            for name, slots in get_slot_table(measured_node).owned.items()
            if slots
        )

        def acquire_and_release_slot() -> None:
            hold = measured_node.slots.acquire(server, 1.0, now)
            if hold is None:
                raise AssertionError('no slot was available')
            measured_node.slots.release(hold, now)

        group = get_slot_table(measured_node).group_of(server)
        if group is None:
            raise AssertionError('the server has no slot group')
        return {
            'share_us': _capacity_fit.cpu_us_per_call(consume_token, 500),
            'slot_us': _capacity_fit.cpu_us_per_call(
                acquire_and_release_slot, 500
            ),
            'idle_us': _capacity_fit.cpu_us_per_call(
                lambda: measured_node.slots.idle_counts(
                    group.service, group.region, now
                ),
                100,
            ),
        }


def measure_request(size: int) -> FigureValues:
    """Measure one request for a number of backend servers."""
    return uvloop.run(run_request(size))


EPOCH_UNITS: typing.Final = {'shares_ms': 'ms', 'slots_ms': 'ms'}
TABLE_UNITS: typing.Final = {
    'shares_kib': 'KiB',
    'slots_kib': 'KiB',
    'health_kib': 'KiB',
}

EXPERIMENTS: typing.Final = (
    _capacity_axes.members_experiment(
        'epoch_members', EPOCH_UNITS, measure_epoch_members
    ),
    _capacity_axes.servers_experiment(
        'epoch_servers', EPOCH_UNITS, measure_epoch_servers
    ),
    _capacity_axes.accounts_experiment(
        'table_accounts', TABLE_UNITS, measure_table_accounts
    ),
    _capacity_axes.servers_experiment(
        'table_servers', TABLE_UNITS, measure_table_servers
    ),
    _capacity_axes.servers_experiment(
        'request_servers',
        {'share_us': 'us', 'slot_us': 'us', 'idle_us': 'us'},
        measure_request,
    ),
)
