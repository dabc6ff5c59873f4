"""Checkers of shifts, load and drains: P1, P2 and P10."""

import collections
import math
import typing

from filbertstep import _facts
from filbertstep import _history
from filbertstep import _violations

# VMs count an interval in 20 buckets, so that their windows can be longer
# than the interval by one bucket.
BUCKETS: typing.Final = 20

# Time in seconds after which a leaving backend server gets no new work.
DRAIN_BOUND_S: typing.Final = 5.0

# Allowance for the time between a decision and its effect at a backend
# server, in seconds of a link's rate.
JITTER_S: typing.Final = 0.25


def check_shift_caps(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P1: moved requests of any interval stay within the cap."""
    found = [
        _violations.Violation(
            'P1',
            event['t'],
            f'{event["request_id"]} placed in {event["region"]}, reference '
            f'{event["reference_region"]}, but moved is {event["moved"]}',
        )
        for event in _violations.select_events(history, 'placed')
        if event['moved'] != (event['region'] != event['reference_region'])
    ]
    for service, cap in facts.shift_caps.items():
        placed = [
            event
            for event in _violations.select_events(history, 'placed')
            if event['service'] == service
        ]
        found.extend(check_cap(service, cap, placed))
    return found


def check_cap(
    service: str, cap: _facts.ShiftCapFact, placed: list[_history.AnyEvent]
) -> list[_violations.Violation]:
    """Check every window of an interval that ends with a moved request."""
    found = []
    moved: collections.deque[float] = collections.deque()
    counted: collections.deque[float] = collections.deque()
    longest = cap.interval_s * (1 + 1 / BUCKETS)
    for event in placed:
        at = event['t']
        counted.append(at)
        while counted[0] <= at - longest:
            counted.popleft()
        if event['region'] == event['reference_region']:
            continue
        moved.append(at)
        while moved[0] <= at - cap.interval_s:
            moved.popleft()
        limit = math.floor(cap.max_share * len(counted) + 1e-9)
        if len(moved) > limit:
            what = f'{service}: {len(moved)} of {len(counted)} moved'
            found.append(_violations.Violation('P1', at, what))
    return found


def check_overload(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P2: no more requests at a server or region than slots, no full link."""
    found = []
    demand: dict[str, int] = {}
    for event in history:
        if event['event'] == 'server_state':
            if event['state'] in ('serving', 'stopped'):
                demand[event['server']] = 0
            continue
        if 'running' not in event or event.get('server') not in facts.servers:
            continue
        # A request that was shed was placed there all the same.
        shed = int(event['event'] == 'shed')
        demand[event['server']] = event['running'] + event['waiting'] + shed
        if event['event'] in ('begin', 'queued', 'shed'):
            found.extend(overloads(event, demand, facts))
        demand[event['server']] -= shed
    return found + check_links(history, facts)


def overloads(
    event: _history.AnyEvent, demand: dict[str, int], facts: _facts.Facts
) -> list[_violations.Violation]:
    """Return whether a server and its part of a region are overloaded."""
    own = facts.servers[event['server']]
    found = []
    if demand[event['server']] > own.slots:
        what = f'{event["server"]}: {demand[event["server"]]} requests'
        found.append(_violations.Violation('P2', event['t'], what))
    peers = [
        name
        for name, fact in facts.servers.items()
        if (fact.region, fact.service) == (own.region, own.service)
    ]
    slots = sum(facts.servers[name].slots for name in peers)
    total = sum(demand.get(name, 0) for name in peers)
    if total > slots:
        what = f'region {own.region}, {own.service}: {total} for {slots} slots'
        found.append(_violations.Violation('P2', event['t'], what))
    return found


def check_links(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P2: bytes between two regions stay within the link's rate."""
    uses = link_uses(history, facts)
    # An answer of unknown size is settled only when it has ended.
    largest = max(
        (
            event['answer_bytes']
            for event in _violations.select_events(history, 'end', 'cut')
        ),
        default=0,
    )
    found = []
    buckets = {
        pair: _violations.TokenBucket(
            link.bytes_per_s,
            link.burst_bytes,
            link.bytes_per_s * JITTER_S + largest,
        )
        for pair, link in facts.links.items()
    }
    for at, pair, size in uses:
        if not buckets[pair].try_consume(at, size):
            what = f'link {pair[0]} to {pair[1]}: {size} bytes too many'
            found.append(_violations.Violation('P2', at, what))
    return found


def link_uses(
    history: _violations.History, facts: _facts.Facts
) -> list[tuple[float, tuple[str, str], int]]:
    """Return (time, regions, bytes) of requests and answers on links."""
    uses = []
    vm_region: dict[str, str] = {}
    for event in history:
        name = event['event']
        if name == 'placed':
            region = facts.vm_regions.get(event['process'], '')
            vm_region[event['request_id']] = region
        if name not in ('begin', 'end', 'cut'):
            continue
        near = vm_region.get(event['request_id'], '')
        pair, size = (near, event['region']), event['body_bytes']
        if name != 'begin':
            pair, size = (event['region'], near), event['answer_bytes']
        if pair in facts.links:
            uses.append((event['t'], pair, size))
    return uses


def check_drains(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P10: a leaving backend server gets no new work after 5 s."""
    found = []
    for event in _violations.select_events(history, 'begin', 'queued', 'shed'):
        for drain in facts.server_drains:
            late = event['t'] - drain.began_at
            over = drain.ended_at is not None and event['t'] > drain.ended_at
            if drain.server != event['server'] or over:
                continue
            if late > DRAIN_BOUND_S:
                what = f'{drain.server} got work {late:.1f} s into its drain'
                found.append(_violations.Violation('P10', event['t'], what))
    return found
