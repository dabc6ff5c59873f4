"""Which region serves a request, kept steady from one moment to the next.

A region with less room than its callers need sends a part of its requests to
other regions.  That part changes slowly: a quick move of traffic meets servers
that have none of its objects at hand, and overloads links.

An object keeps to one region, home or other, as far as the counts allow: each
region that gets an object runs it once without having it at hand, and a region
with few servers cannot keep all objects.  The counts are kept as well, so that
the part that moves stays the same in short windows too.
"""

import collections
import collections.abc
import math
import typing

from filbertstep.steering import _model
from filbertstep.steering import _routes
from filbertstep.steering import _servers

# Share of the bound on shifts that slow changes of the split may use, and
# that requests may use which find no room where the split sends them.
SPLIT_SHIFT_SHARE: typing.Final = 0.4
OVERFLOW_SHIFT_SHARE: typing.Final = 0.25

# Window in seconds in which the bound on shifts counts.
SHIFT_WINDOW_S: typing.Final = 2.0

# Time in seconds between two adjustments of a split.
ADJUST_INTERVAL_S: typing.Final = 0.5

# Load of a region's slots, waiting requests included, above which more
# requests leave it for regions with less load, and below which they return.
# Requests hardly wait below the first.  The gap keeps the split from swinging.
HIGH_LOAD: typing.Final = 0.7
LOW_LOAD: typing.Final = 0.5

# Difference of load between regions that moves requests.
LOAD_MARGIN: typing.Final = 0.15

# Time to an answer, relative to the target, above which requests leave a
# region whose answers take this many times as long as another's.  Servers that
# get more objects than they keep at hand are slow long before they are full.
SLOW_LATENCY_RATIO: typing.Final = 0.9
MAX_RELATIVE_LATENCY: typing.Final = 1.5

# Least time relative to the target that counts, and the target in seconds that
# is assumed at least: an operator may set none.
MIN_LATENCY_RATIO: typing.Final = 0.01
MIN_TARGET_S: typing.Final = 0.01

# Weight of one answer in the moving averages of times.
LATENCY_WEIGHT: typing.Final = 0.05

# Load of all slots together that is assumed before anything was measured, and
# the one that a region's own requests may fill its slots up to at first.
INITIAL_LOAD: typing.Final = 0.55
INITIAL_OWN_LOAD: typing.Final = 0.7

# Part of a region's slots whose loss within one step moves requests at once.
LARGE_SLOT_LOSS: typing.Final = 0.2

# Growth in one step of the slots that a region usually has.  A server that
# starts before the one that it replaces leaves is no lasting gain.
MAX_SLOT_GROWTH: typing.Final = 0.05

# Weight in the moving averages of load of one step's reports, when they are as
# many as these; that of fewer is less in proportion.  Without any, this VM's
# own requests count, which are a part of all.
REPORTED_LOAD_WEIGHT: typing.Final = 0.4
FULL_WEIGHT_REPORTS: typing.Final = 8
OWN_LOAD_WEIGHT: typing.Final = 0.1

# One more than the number of hash values.
HASH_RANGE: typing.Final = 2**64 + 1

# Requests by which a region's count may lag behind its weight, so that an
# object goes to the same region: at least one, and this part of a VM's
# requests in a window, times the root of the number of VMs, as their lags
# cancel out.  Far below the bound on shifts.
MIN_LAG_REQUESTS: typing.Final = 1.0
LAG_SHARE_OF_REQUESTS: typing.Final = 0.025


class ServiceSplit:
    """Split of one service's requests that start in this VM's region."""

    def __init__(self, moved: float, now: float) -> None:
        self.remote_share = moved
        self.adjusted_at = now
        # Slots that this region usually has, 0 before the first step.
        self.usual_slots = 0.0
        # Moving averages of the load of each region's slots, and what servers
        # reported of theirs since the last step.
        self.loads: dict[str, float] = {}
        self.load_reports: dict[str, list[float]] = {}
        # Moving averages of the times to an answer, relative to the target.
        self.latency_ratios: dict[str, float] = {}
        # Parts of the moved requests by region, relative to each other.
        self.remote_weights: dict[str, float] = {}
        # Requests that each region is behind its weight, this one included.
        self.credits: dict[str, float] = {}
        # Times of recent requests, and of those that overflowed.
        self.request_times: collections.deque[float] = collections.deque()
        self.overflow_times: collections.deque[float] = collections.deque()

    def prune(self, now: float) -> None:
        """Forget requests before the window."""
        for times in (self.request_times, self.overflow_times):
            while times and times[0] < now - SHIFT_WINDOW_S:
                times.popleft()


class RegionSplitter:
    """Splits the requests of this VM's callers over regions."""

    def __init__(
        self,
        table: _servers.ServerTable,
        region: str,
        bounds: _model.Bounds,
    ) -> None:
        self.table = table
        self.region = region
        self.bounds = bounds
        self.splits: dict[str, ServiceSplit] = {}
        # VMs that split requests of this region's callers.
        self.region_vm_count = 1

    def slots_by_region(self, service: str) -> dict[str, int]:
        """Return the usable slots of a service by region."""
        found: dict[str, int] = {}
        for row in self.table.usable_servers(service, None):
            found[row.region] = found.get(row.region, 0) + row.entry.slots
        return found

    def service_split(self, service: str, now: float) -> ServiceSplit:
        """Return a service's split, at first from the slots alone."""
        known = self.splits.get(service)
        if known is None:
            known = ServiceSplit(self.initial_remote_share(service), now)
            self.splits[service] = known
        return known

    def initial_remote_share(self, service: str) -> float:
        """Return the part that moves if all regions have equal demand."""
        slots = self.slots_by_region(service)
        total = sum(slots.values())
        if not total:
            return 0.0
        fair = total / len(set(self.table.region_by_zone.values()))
        kept = INITIAL_OWN_LOAD * slots.get(self.region, 0)
        return max(0.0, 1.0 - kept / fair / INITIAL_LOAD)

    def choose_region(
        self, service: str, affinity_key: str, now: float
    ) -> str:
        """Return the region of a request that may go anywhere."""
        split = self.service_split(service, now)
        split.prune(now)
        split.request_times.append(now)
        weights = self.region_weights(service, split)
        if len(weights) < 2:
            return self.region
        for region, weight in weights.items():
            split.credits[region] = split.credits.get(region, 0.0) + weight
        # A region that gets nothing any more owes nothing either.
        for region in split.credits.keys() - weights.keys():
            del split.credits[region]
        chosen = furthest = max(weights, key=split.credits.__getitem__)
        if affinity_key and split.credits[furthest] <= self.max_lag(split):
            chosen = preferred_region(weights, affinity_key)
        split.credits[chosen] -= 1.0
        return chosen

    def max_lag(self, split: ServiceSplit) -> float:
        """Return how many requests a region may be behind its weight."""
        share = LAG_SHARE_OF_REQUESTS * math.sqrt(self.region_vm_count)
        return max(MIN_LAG_REQUESTS, share * len(split.request_times))

    def region_weights(
        self, service: str, split: ServiceSplit
    ) -> dict[str, float]:
        """Return the part of the requests that each region gets.

        They sum to one.  Without a usable server elsewhere, this region gets
        all.
        """
        if split.remote_share <= 0.0:
            return {self.region: 1.0}
        slots = self.slots_by_region(service)
        slots.pop(self.region, None)
        if not slots:
            return {self.region: 1.0}
        if not split.remote_weights.keys() & slots.keys():
            split.remote_weights = dict(slots)
        others = {
            region: split.remote_weights.get(region, 0.0) for region in slots
        }
        total = sum(others.values())
        weights = {
            region: split.remote_share * weight / total
            for region, weight in others.items()
            if weight > 0
        }
        if split.remote_share < 1.0:
            weights[self.region] = 1.0 - split.remote_share
        return weights

    def try_overflow(self, service: str, now: float) -> bool:
        """Take one request out of the allowance for unplanned moves."""
        split = self.service_split(service, now)
        split.prune(now)
        most = (
            self.bounds.max_shift_share
            * OVERFLOW_SHIFT_SHARE
            * len(split.request_times)
        )
        if len(split.overflow_times) + 1 > most:
            return False
        split.overflow_times.append(now)
        return True

    def tick(self, now: float) -> list[str]:
        """Measure loads and adjust the splits; return services adjusted."""
        adjusted = []
        for service, split in self.splits.items():
            if now - split.adjusted_at < ADJUST_INTERVAL_S:
                continue
            split.adjusted_at = now
            split.prune(now)
            before = split.remote_share
            slots = self.slots_by_region(service)
            self.shift_lost_slots(split, slots.get(self.region, 0))
            self.update_loads(service, split, slots, now)
            if not split.request_times:
                # Load without own requests says nothing of this split.
                continue
            self.adjust_split(split)
            if split.remote_share != before:
                adjusted.append(service)
        return adjusted

    def record_load(
        self, row: _servers.ServerRecord, running: int, waiting: int
    ) -> None:
        """Take the load that came with a server's answer.

        The answered request itself is still in it.  What a server had besides
        is what a request meets there, other VMs' requests included.
        """
        split = self.splits.get(row.entry.service)
        if split is not None:
            load = max(0, running + waiting - 1) / max(1, row.entry.slots)
            split.load_reports.setdefault(row.region, []).append(load)

    def record_latency(
        self, row: _servers.ServerRecord, took_s: float, target_s: float
    ) -> None:
        """Take the time to a server's answer."""
        split = self.splits.get(row.entry.service)
        if split is not None:
            ratio = took_s / max(MIN_TARGET_S, target_s)
            known = split.latency_ratios.get(row.region, ratio)
            split.latency_ratios[row.region] = known + LATENCY_WEIGHT * (
                ratio - known
            )

    def update_loads(
        self,
        service: str,
        split: ServiceSplit,
        slots: collections.abc.Mapping[str, int],
        now: float,
    ) -> None:
        """Update the moving averages of the load of each region's slots."""
        busy: dict[str, float] = {}
        for row in self.table.usable_servers(service, None):
            occupied = min(
                row.entry.slots + 1,
                row.estimated_requests(now) + row.waiting_requests,
            )
            busy[row.region] = busy.get(row.region, 0.0) + occupied
        for region, count in slots.items():
            reports = split.load_reports.pop(region, [])
            if reports:
                load = sum(reports) / len(reports)
                weight = REPORTED_LOAD_WEIGHT * min(
                    1.0, len(reports) / FULL_WEIGHT_REPORTS
                )
            else:
                load = busy.get(region, 0.0) / max(1, count)
                weight = OWN_LOAD_WEIGHT
                if region == self.region and region in split.latency_ratios:
                    # Without answers nothing shows that it is still slow.
                    split.latency_ratios[region] *= 1.0 - OWN_LOAD_WEIGHT
            known = split.loads.get(region, INITIAL_LOAD)
            split.loads[region] = known + weight * (load - known)
        split.load_reports.clear()

    def shift_lost_slots(self, split: ServiceSplit, slots: int) -> None:
        """Move the requests whose slots are gone; ``slots`` are left here.

        What remains has no room for them, so that a slow move would only
        queue and refuse them first.
        """
        if slots < (1.0 - LARGE_SLOT_LOSS) * split.usual_slots:
            split.remote_share = (
                1.0 - (1.0 - split.remote_share) * slots / split.usual_slots
            )
        usual = split.usual_slots * (1.0 + MAX_SLOT_GROWTH) or slots
        split.usual_slots = min(slots, usual)

    def adjust_split(self, split: ServiceSplit) -> None:
        """Move the split one step if the loads ask for it."""
        own = split.loads.get(self.region)
        if own is None:
            return
        others = [
            load
            for region, load in split.loads.items()
            if region != self.region
        ]
        if not others:
            return
        step = (
            self.bounds.max_shift_share
            * SPLIT_SHIFT_SHARE
            * ADJUST_INTERVAL_S
            / SHIFT_WINDOW_S
        )
        lower = min(others) < own - LOAD_MARGIN
        slower = self.relative_latency(split)
        if (own > HIGH_LOAD and lower) or slower > MAX_RELATIVE_LATENCY:
            split.remote_share = min(1.0, split.remote_share + step)
        elif own < LOW_LOAD and slower < 1.0:
            split.remote_share = max(0.0, split.remote_share - step)
        self.rebalance_remote_weights(split, step)

    def relative_latency(self, split: ServiceSplit) -> float:
        """Return how many times slower this region is than the fastest.

        0 while its answers come well within the target, or without others.
        """
        own = split.latency_ratios.get(self.region, 0.0)
        others = [
            time
            for region, time in split.latency_ratios.items()
            if region != self.region
        ]
        if own < SLOW_LATENCY_RATIO or not others:
            return 0.0
        return own / max(min(others), MIN_LATENCY_RATIO)

    def rebalance_remote_weights(
        self, split: ServiceSplit, step: float
    ) -> None:
        """Move requests from a loaded other region to a less loaded one."""
        loads = {
            region: load
            for region, load in split.loads.items()
            if region != self.region
        }
        used = [region for region in split.remote_weights if region in loads]
        if not used:
            return
        most = max(used, key=lambda name: loads[name])
        least = min(loads, key=lambda name: loads[name])
        if loads[most] < HIGH_LOAD or loads[least] > loads[most] - LOAD_MARGIN:
            return
        total = sum(split.remote_weights.values())
        part = min(
            total * step / max(step, split.remote_share),
            split.remote_weights[most],
        )
        split.remote_weights[most] -= part
        split.remote_weights[least] = (
            split.remote_weights.get(least, 0.0) + part
        )


def preferred_region(
    weights: collections.abc.Mapping[str, float], affinity_key: str
) -> str:
    """Return the region of an object, in proportion to the weights.

    Weighted rendezvous hashing: a change of weights moves few objects.
    """
    best, highest = '', float('-inf')
    for region, weight in weights.items():
        if weight <= 0:
            continue
        point = (
            _routes.rendezvous_rank(region, affinity_key) + 1
        ) / HASH_RANGE
        score = weight / -math.log(point)
        if score > highest:
            best, highest = region, score
    return best
