"""Sample data for tests of the steering package."""

import typing

from filbertstep import steering

BOUNDS: typing.Final = steering.Bounds(
    stop_grace_s=6.0,
    config_apply_s=2.0,
    key_withdrawal_s=5.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=62.0,
    cold_rate_factor=1.5,
    max_lookup_ttl_s=5.0,
    max_shift_share=0.15,
    rate_tolerance=0.1,
    rate_slack_tokens=20.0,
    cold_slack=5.0,
)

# Regions by availability zone.
REGIONS: typing.Final = {
    'a-1': 'a',
    'a-2': 'a',
    'b-1': 'b',
    'b-2': 'b',
    'c-1': 'c',
}

SERVICE: typing.Final = steering.Service(
    name='orders',
    cold_start_s=3.0,
    cold_per_s=2.7,
)


def route(**changes: typing.Any) -> steering.Route:
    """Return a route with ``changes``; Any: types differ by field."""
    return steering.Route(
        name='r-1',
        host='shop.example',
        path_prefix='/orders/',
        idempotent=True,
        destinations=(steering.Destination('orders', 1.0),),
        timeout_s=1.5,
        target_s=0.4,
        max_attempts=2,
        priority=1,
        home_regions=frozenset(),
        public=False,
        sticky=True,
    )._replace(**changes)


def account(**changes: typing.Any) -> steering.ClientAccount:
    """Return a client account with ``changes``; Any: types differ by field."""
    return steering.ClientAccount(
        name='acme',
        api_keys=frozenset({'k' * 20}),
        priority=None,
        rate_per_s=10.0,
        burst_tokens=10.0,
        home_regions=frozenset(),
    )._replace(**changes)


def server(
    server_id: str, zone: str = 'a-1', **changes: typing.Any
) -> steering.ServerEntry:
    """Return a server entry with ``changes``; Any: types differ by field."""
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
    """Return a registered entry VM."""
    return steering.Member(
        vm=vm,
        availability_zone=zone,
        region=REGIONS[zone],
        callers=f'{vm}:80',
        peers=f'{vm}:81',
    )


def configuration(**changes: typing.Any) -> steering.Configuration:
    """Return a configuration with ``changes``; Any: types differ by field."""
    return steering.Configuration(
        version=1,
        routes=(route(),),
        services={'orders': SERVICE},
        accounts={'acme': account()},
        limits=steering.Limits(),
    )._replace(**changes)


def server_table(*entries: steering.ServerEntry) -> steering.ServerTable:
    """Return a table of servers, added at time 0."""
    servers = steering.ServerTable(dict(REGIONS))
    for entry in entries:
        servers.put(entry, 0.0)
    return servers
