"""Checkers of region shifts, load and drains: P1, P2 and P10."""

import collections
import math
import typing

from filbertstep import _facts
from filbertstep import _history
from filbertstep import _violations

# VMs count the requests of an interval in this number of time buckets, so
# that their window can be longer than the interval by one bucket.
INTERVAL_BUCKETS: typing.Final = 20

# Time from the begin of a drain until a backend server must get no new work.
DRAIN_BOUND_S: typing.Final = 5.0

# Tolerated excess, as seconds of a link's rate: a VM decides on a transfer,
# but the checker counts it when it takes effect at a backend server.
LINK_JITTER_S: typing.Final = 0.25


def check_shift_caps(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P1: moved requests of any interval stay within the shift cap.

    A moved request is one that is placed outside its reference region.
    """
    violations = [
        _violations.Violation(
            'P1',
            event['t'],
            f'{event["request_id"]} placed in {event["region"]}, reference '
            f'region {event["reference_region"]}, but moved is '
            f'{event["moved"]}',
        )
        for event in _violations.select_events(history, 'placed')
        if event['moved'] != (event['region'] != event['reference_region'])
    ]
    for service, cap in facts.shift_caps.items():
        placements = [
            event
            for event in _violations.select_events(history, 'placed')
            if event['service'] == service
        ]
        violations.extend(check_service_shift_cap(service, cap, placements))
    return violations


def check_service_shift_cap(
    service: str,
    cap: _facts.ShiftCapFact,
    placements: list[_history.AnyEvent],
) -> list[_violations.Violation]:
    """Check every window that ends with a moved request of one service.

    The window of all requests is longer than that of moved requests by one
    bucket, as it can be at the VMs.
    """
    violations = []
    moved_times: collections.deque[float] = collections.deque()
    placed_times: collections.deque[float] = collections.deque()
    longest_window_s = cap.interval_s * (1 + 1 / INTERVAL_BUCKETS)
    for placed in placements:
        at = placed['t']
        placed_times.append(at)
        while placed_times[0] <= at - longest_window_s:
            placed_times.popleft()
        if placed['region'] == placed['reference_region']:
            continue
        moved_times.append(at)
        while moved_times[0] <= at - cap.interval_s:
            moved_times.popleft()
        limit = math.floor(cap.max_share * len(placed_times) + 1e-9)
        if len(moved_times) > limit:
            text = (
                f'{service}: {len(moved_times)} of {len(placed_times)} '
                f'requests moved'
            )
            violations.append(_violations.Violation('P1', at, text))
    return violations


def check_overload(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P2: no server, region or link is loaded above its limit.

    The limit of servers and regions is their number of slots, that of links
    their rate and burst in bytes.
    """
    violations = []
    demand: dict[str, int] = {}
    for event in history:
        if event['event'] == 'server_state':
            if event['state'] in ('serving', 'stopped'):
                demand[event['server']] = 0
            continue
        if 'running' not in event or event.get('server') not in facts.servers:
            continue
        # The server's counts leave out a request that it shed, although the
        # system sent it there.
        shed = int(event['event'] == 'shed')
        demand[event['server']] = event['running'] + event['waiting'] + shed
        if event['event'] in ('begin', 'queued', 'shed'):
            violations.extend(slot_violations(event, demand, facts))
        demand[event['server']] -= shed
    return violations + check_link_rates(history, facts)


def slot_violations(
    event: _history.AnyEvent, demand: dict[str, int], facts: _facts.Facts
) -> list[_violations.Violation]:
    """Return overloads of a server, and of its service in its region.

    ``demand`` is the number of running and waiting requests of each server.
    """
    server = facts.servers[event['server']]
    violations = []
    if demand[event['server']] > server.slots:
        text = (
            f'{event["server"]}: {demand[event["server"]]} requests, '
            f'more than its slots'
        )
        violations.append(_violations.Violation('P2', event['t'], text))
    region_servers = [
        name
        for name, other in facts.servers.items()
        if (other.region, other.service) == (server.region, server.service)
    ]
    slots = sum(facts.servers[name].slots for name in region_servers)
    total_demand = sum(demand.get(name, 0) for name in region_servers)
    if total_demand > slots:
        text = (
            f'region {server.region}, service {server.service}: '
            f'{total_demand} requests for {slots} slots'
        )
        violations.append(_violations.Violation('P2', event['t'], text))
    return violations


def check_link_rates(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P2: bytes between two regions stay within the link's rate."""
    transfers = link_transfers(history, facts)
    # The size of a response may be unknown until it has ended; only then is
    # it charged to the link, so that one response may exceed the limit.
    largest_response_bytes = max(
        (
            event['answer_bytes']
            for event in _violations.select_events(history, 'end', 'cut')
        ),
        default=0,
    )
    violations = []
    buckets = {
        regions: _violations.TokenBucket(
            link.bytes_per_s,
            link.burst_bytes,
            link.bytes_per_s * LINK_JITTER_S + largest_response_bytes,
        )
        for regions, link in facts.links.items()
    }
    for at, regions, size_bytes in transfers:
        if not buckets[regions].try_consume(at, size_bytes):
            text = (
                f'link {regions[0]} to {regions[1]}: transfer of '
                f'{size_bytes} bytes exceeds its rate and burst'
            )
            violations.append(_violations.Violation('P2', at, text))
    return violations


def link_transfers(
    history: _violations.History, facts: _facts.Facts
) -> list[tuple[float, tuple[str, str], int]]:
    """Return the transfers of requests and responses on known links.

    Each is (time in seconds, (from region, to region), bytes).
    """
    transfers = []
    vm_region_by_request: dict[str, str] = {}
    for event in history:
        event_name = event['event']
        if event_name == 'placed':
            region = facts.vm_regions.get(event['process'], '')
            vm_region_by_request[event['request_id']] = region
        if event_name not in ('begin', 'end', 'cut'):
            continue
        vm_region = vm_region_by_request.get(event['request_id'], '')
        regions, size_bytes = (vm_region, event['region']), event['body_bytes']
        if event_name != 'begin':
            regions, size_bytes = (
                (event['region'], vm_region),
                event['answer_bytes'],
            )
        if regions in facts.links:
            transfers.append((event['t'], regions, size_bytes))
    return transfers


def check_server_drains(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P10: a draining backend server gets no new work after 5 s."""
    violations = []
    for event in _violations.select_events(history, 'begin', 'queued', 'shed'):
        for drain in facts.server_drains:
            elapsed_s = event['t'] - drain.began_at
            drain_ended = (
                drain.ended_at is not None and event['t'] > drain.ended_at
            )
            if drain.server != event['server'] or drain_ended:
                continue
            if elapsed_s > DRAIN_BOUND_S:
                text = (
                    f'{drain.server} got new work {elapsed_s:.1f} s into '
                    f'its drain'
                )
                violations.append(
                    _violations.Violation('P10', event['t'], text)
                )
    return violations
