"""Copies of the tables that decisions change, for decisions to try out.

A decision on a copy is the one that the original would make next, and leaves
the original unchanged.  A copy holds only what concerns some services.  What
decisions only read is shared with the original, and what is kept to make
decisions faster is built anew.
"""

import asyncio
import collections.abc
import copy
import typing

from filbertstep.steering import _overload
from filbertstep.steering import _placement
from filbertstep.steering import _quota
from filbertstep.steering import _ranking
from filbertstep.steering import _regions
from filbertstep.steering import _routes
from filbertstep.steering import _servers
from filbertstep.steering import _waiting


class Snapshot(typing.NamedTuple):
    """Copies of the tables of a VM that refer to each other."""

    servers: _servers.ServerTable
    placement: _placement.Placement
    regions: _regions.RegionSplitter
    wait_queue: _waiting.WaitQueue


def take_snapshot(
    wait_queue: _waiting.WaitQueue,
    regions: _regions.RegionSplitter,
    services: collections.abc.Set[str],
    object_key: str,
) -> Snapshot:
    """Copy the tables as far as they concern some services.

    ``object_key`` is the object of the request to decide on.  Needs a running
    event loop, for the futures of waiting requests.
    """
    placement = wait_queue.placement
    object_keys = {object_key} | {
        request.query.affinity_key
        for service in services
        for request in wait_queue.queues.get(service, ())
    }
    servers, records = copy_servers(placement.table, services, object_keys)
    copied_placement = copy_placement(placement, servers)
    return Snapshot(
        servers,
        copied_placement,
        copy_regions(regions, servers, services),
        copy_wait_queue(wait_queue, copied_placement, records, services),
    )


def copy_servers(
    table: _servers.ServerTable,
    services: collections.abc.Set[str],
    object_keys: collections.abc.Set[str],
) -> tuple[
    _servers.ServerTable, dict[_servers.ServerRecord, _servers.ServerRecord]
]:
    """Copy the servers of some services.

    Returns the new table, and its records by the original ones.  The objects
    of the servers are shared, as only an attempt changes them.  Servers are
    found by ``object_keys`` only: there are thousands of objects.
    """
    copied = _servers.ServerTable(table.region_by_zone)
    copied.evacuated_zones = set(table.evacuated_zones)
    records: dict[_servers.ServerRecord, _servers.ServerRecord] = {}
    for service in services:
        members = table.by_service.get(service)
        if members is None:
            continue
        copied.by_service[service] = {}
        for server_id, server in members.items():
            record = records[server] = copy.copy(server)
            record.index = copied.objects
            record.load_changes = copied.load_changes
            copied.by_service[service][server_id] = record
            copied.by_id[server_id] = record
    for object_key in object_keys:
        for server in table.objects.servers.get(object_key, ()):
            if server in records:
                copied.objects.add(object_key, records[server])
    return copied, records


def copy_placement(
    placement: _placement.Placement, servers: _servers.ServerTable
) -> _placement.Placement:
    """Copy the averages of a placement, for a copy of its servers."""
    copied = copy.copy(placement)
    copied.table = servers
    copied.run_times = {
        route: copy.copy(times) for route, times in placement.run_times.items()
    }
    copied.mean_run_s = dict(placement.mean_run_s)
    copied.usual_loads = {
        service: copy.copy(load)
        for service, load in placement.usual_loads.items()
    }
    copied.cold_senders = {}
    copied.groups_by_service = {}
    copied.rank_orders = _ranking.RankOrders()
    copied.groups_generation = servers.generation.number
    return copied


def copy_regions(
    regions: _regions.RegionSplitter,
    servers: _servers.ServerTable,
    services: collections.abc.Set[str],
) -> _regions.RegionSplitter:
    """Copy the splits of some services over regions."""
    copied = copy.copy(regions)
    copied.table = servers
    copied.splits = {}
    for service in services & regions.splits.keys():
        split = copied.splits[service] = copy.copy(regions.splits[service])
        split.remote_weights = dict(split.remote_weights)
        split.credits = dict(split.credits)
        split.request_times = split.request_times.copy()
        split.overflow_times = split.overflow_times.copy()
    return copied


def copy_wait_queue(
    wait_queue: _waiting.WaitQueue,
    placement: _placement.Placement,
    records: dict[_servers.ServerRecord, _servers.ServerRecord],
    services: collections.abc.Set[str],
) -> _waiting.WaitQueue:
    """Copy the waiting requests of some services and their schedules.

    ``records`` are the copied servers by the original ones.
    """
    copied = copy.copy(wait_queue)
    copied.placement = placement
    copied.counts = {
        service: {
            copied_record(server, records): waiting
            for server, waiting in wait_queue.counts[service].items()
        }
        for service in services & wait_queue.counts.keys()
    }
    copied.queues = {
        service: [
            copy_waiting(request, records, copied.counts.get(service, {}))
            for request in wait_queue.queues[service]
        ]
        for service in services & wait_queue.queues.keys()
    }
    copied.schedules = {
        service: copy_schedule(wait_queue.schedules[service])
        for service in services & wait_queue.schedules.keys()
    }
    return copied


def copied_record(
    server: _servers.ServerRecord,
    records: dict[_servers.ServerRecord, _servers.ServerRecord],
) -> _servers.ServerRecord:
    """Return the copy of a server, made now if it has left the table."""
    if server not in records:
        records[server] = copy.copy(server)
    return records[server]


def copy_waiting(
    request: _waiting.WaitingRequest,
    records: dict[_servers.ServerRecord, _servers.ServerRecord],
    counts: _waiting.WaitCounts,
) -> _waiting.WaitingRequest:
    """Copy a waiting request, with a future that nobody waits for.

    ``counts`` are the copied counts of its queue.
    """
    copied = copy.copy(request)
    copied.counts = counts
    if not request.future.done():
        copied.future = asyncio.get_running_loop().create_future()
    if request.counted_at is not None:
        copied.counted_at = copied_record(request.counted_at, records)
    return copied


def copy_schedule(
    schedule: _overload.ServiceSchedule,
) -> _overload.ServiceSchedule:
    """Copy the schedule of a service."""
    copied = copy.copy(schedule)
    copied.supply = copy.copy(schedule.supply)
    copied.groups = {
        group: copy.copy(wait) for group, wait in schedule.groups.items()
    }
    copied.scopes = set(schedule.scopes)
    return copied


def copy_balancer(
    balancer: _routes.WeightedBalancer,
) -> _routes.WeightedBalancer:
    """Copy the positions of all routes in their sequences."""
    copied = copy.copy(balancer)
    copied.credits = dict(balancer.credits)
    copied.sequences = dict(balancer.sequences)
    return copied


def copy_quotas(
    quotas: _quota.QuotaTable, accounts: collections.abc.Set[str]
) -> _quota.QuotaTable:
    """Copy the token buckets of some accounts."""
    copied = copy.copy(quotas)
    copied.buckets = {
        account: copy.copy(quotas.buckets[account])
        for account in accounts & quotas.buckets.keys()
    }
    copied.holders_cache = dict(quotas.holders_cache)
    return copied
