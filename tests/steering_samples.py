"""Rows for tests of the steering package."""

import typing

from filbertstep import steering

BOUNDS: typing.Final = steering.Bounds(
    stop_s=6.0,
    config_s=2.0,
    key_withdrawal_s=5.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=62.0,
    cold_factor=1.5,
    lookup_ttl_s=5.0,
    shift_share=0.15,
    rate_over=0.1,
    rate_slack=20.0,
)

# Availability zones by name, with their regions.
REGIONS: typing.Final = {
    'a-1': 'a',
    'a-2': 'a',
    'b-1': 'b',
    'b-2': 'b',
    'c-1': 'c',
}

SERVICE: typing.Final = steering.Service(
    name='orders',
    cold_s=3.0,
    cold_per_s=2.7,
)


def route(**changes: typing.Any) -> steering.Route:
    """Return a route; Any: fields of several types."""
    return steering.Route(
        name='r-1',
        host='shop.example',
        prefix='/orders/',
        idempotent=True,
        destinations=(steering.Destination('orders', 1.0),),
        timeout_s=1.5,
        target_s=0.4,
        attempts=2,
        priority=1,
        home_regions=frozenset(),
        public=False,
        sticky=True,
    )._replace(**changes)


def account(**changes: typing.Any) -> steering.ClientAccount:
    """Return a client account; Any: fields of several types."""
    return steering.ClientAccount(
        name='acme',
        keys=frozenset({'k' * 20}),
        priority=None,
        rate=10.0,
        burst=10.0,
        home_regions=frozenset(),
    )._replace(**changes)


def server(
    server_id: str, zone: str = 'a-1', **changes: typing.Any
) -> steering.ServerEntry:
    """Return a server's entry; Any: fields of several types."""
    return steering.ServerEntry(
        server_id=server_id,
        service='orders',
        address='10.0.0.1:80',
        availability_zone=zone,
        slots=3,
        draining=False,
        cold_left_s=0.0,
        incarnation=1,
    )._replace(**changes)


def member(vm: str, zone: str = 'a-1') -> steering.Member:
    """Return an entry VM."""
    return steering.Member(
        vm=vm,
        availability_zone=zone,
        region=REGIONS[zone],
        callers=f'{vm}:80',
        peers=f'{vm}:81',
    )


def configuration(**changes: typing.Any) -> steering.Configuration:
    """Return a configuration; Any: fields of several types."""
    return steering.Configuration(
        version=1,
        routes=(route(),),
        services={'orders': SERVICE},
        accounts={'acme': account()},
        limits=steering.Limits(),
    )._replace(**changes)


def table(*entries: steering.ServerEntry) -> steering.ServerTable:
    """Return a table of servers that were seen at time 0."""
    found = steering.ServerTable(dict(REGIONS))
    for entry in entries:
        found.put(entry, 0.0)
    return found
