"""Measurements of the tables of shares and slots, and of their rules."""

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

Size = _capacity_world.Size
Values = _capacity_fit.Values


def own_slots(one: node.Node) -> typing.Any:
    """Return a node's table of slots, which is private to the slot system."""
    if not isinstance(one.slots, sharing.SlotSystem):
        raise TypeError('a baseline node has no table of slots')
    return one.slots.table


async def new_epoch(size: Size) -> Values:
    """Measure what a change of the epoch costs shares and slots."""
    async with _capacity_world.node_of(size) as one:
        now = one.clock.now() + systems.TICK_INTERVAL_S
        _capacity_world.keep_fresh(one, now)
        newest = one.views.newest
        if newest is None:
            raise AssertionError('the node knows no view')
        members = list(newest.epoch.members.values())
        members.append(_capacity_world.member(size.members, size.regions))
        view = newest._replace(
            head_index=11,
            epoch=config.Epoch(
                2,
                {row.vm: row for row in members},
                newest.epoch.witnesses,
            ),
            former_epochs=(newest.epoch,),
        )
        one.token_buckets.tick(now)
        one.slots.tick(now)
        one.views.add_view(view, now)
        watch = _capacity_fit.Stopwatch()
        one.token_buckets.tick(now)
        shares_us = watch.us()
        one.slots.tick(now)
        slots_us = watch.us()
    return {'shares_ms': shares_us / 1000, 'slots_ms': slots_us / 1000}


def measure_epoch_members(size: int) -> Values:
    """Measure a change of the epoch by members."""
    return uvloop.run(new_epoch(Size(members=size)))


def measure_epoch_servers(size: int) -> Values:
    """Measure a change of the epoch by backend servers."""
    return uvloop.run(new_epoch(Size(servers=size)))


async def tables(size: Size) -> Values:
    """Weigh the tables of shares and slots."""
    async with _capacity_world.node_of(size) as one:
        now = one.clock.now() + systems.TICK_INTERVAL_S

        def fill_shares() -> None:
            one.token_buckets.table.refreshed_at = float('-inf')
            one.token_buckets.table.refresh(now)

        def fill_slots() -> None:
            table.refreshed_at = float('-inf')
            table.refresh(now)

        one.token_buckets.table.buckets.clear()
        _, shares_mib, _ = _capacity_blocks.memory(fill_shares)
        table = own_slots(one)
        table.owned, table.ownership_cache, table.groups_seen = {}, {}, {}
        _, slots_mib, _ = _capacity_blocks.memory(fill_slots)

        def health() -> None:
            one.health.tick(now)

        one.health.table.rows.clear()
        one.health.synced_head_index = -1
        one.health.region = 'elsewhere'
        _, health_mib, _ = _capacity_blocks.memory(health)
    return {
        'shares_kib': shares_mib * 1024,
        'slots_kib': slots_mib * 1024,
        'health_kib': health_mib * 1024,
    }


def measure_table_accounts(size: int) -> Values:
    """Weigh the tables by client accounts."""
    return uvloop.run(tables(Size(accounts=size)))


def measure_table_servers(size: int) -> Values:
    """Weigh the tables by backend servers."""
    return uvloop.run(tables(Size(servers=size)))


async def request_rules(servers: int) -> Values:
    """Measure the share and the slot of one request."""
    async with _capacity_world.node_of(Size(servers=servers)) as one:
        now = one.clock.now()
        one.tick()
        for bucket in one.token_buckets.table.buckets.values():
            bucket.limits = bucket.limits._replace(rate=1e9, burst=1e9)
            bucket.tokens = 1e8

        def share() -> None:
            if not one.token_buckets.try_consume(
                'client_account/account-0', 1.0, now
            ):
                raise AssertionError('no token')

        server = next(
            name for name, own in own_slots(one).owned.items() if own
        )

        def slot() -> None:
            hold = one.slots.acquire(server, 1.0, now)
            if hold is None:
                raise AssertionError('no slot')
            one.slots.release(hold, now)

        place = own_slots(one).group_of(server)
        if place is None:
            raise AssertionError('no such server')
        return {
            'share_us': _capacity_fit.cost_us(share, 500),
            'slot_us': _capacity_fit.cost_us(slot, 500),
            'idle_us': _capacity_fit.cost_us(
                lambda: one.slots.idle_counts(
                    place.service, place.region, now
                ),
                100,
            ),
        }


def measure_request(size: int) -> Values:
    """Measure the rules of a request by backend servers."""
    return uvloop.run(request_rules(size))


EPOCH_UNITS: typing.Final = {'shares_ms': 'ms', 'slots_ms': 'ms'}
TABLE_UNITS: typing.Final = {
    'shares_kib': 'KiB',
    'slots_kib': 'KiB',
    'health_kib': 'KiB',
}

EXPERIMENTS: typing.Final = (
    _capacity_axes.by_members(
        'epoch_members', EPOCH_UNITS, measure_epoch_members
    ),
    _capacity_axes.by_servers(
        'epoch_servers', EPOCH_UNITS, measure_epoch_servers
    ),
    _capacity_axes.by_accounts(
        'table_accounts', TABLE_UNITS, measure_table_accounts
    ),
    _capacity_axes.by_servers(
        'table_servers', TABLE_UNITS, measure_table_servers
    ),
    _capacity_axes.by_servers(
        'request_servers',
        {'share_us': 'us', 'slot_us': 'us', 'idle_us': 'us'},
        measure_request,
    ),
)
