"""Splits the requests of each service over regions, and shifts them gradually.

A region without enough capacity for its callers sends a share of its requests
to other regions.  This share changes slowly, since a quick shift of traffic
reaches servers that have none of its objects cached, and overloads links.

An object stays in one region, local or remote, as far as the split allows:
each region runs the first request for an object without having it cached, and
a region with few servers cannot cache all objects.  Requests are also counted
by region, so that the split holds in short windows too.  A region that lags
behind gets more objects, and only if that does not suffice, any request.
"""

import collections
import collections.abc
import math
import typing

from filbertstep.steering import _model
from filbertstep.steering import _routes
from filbertstep.steering import _servers

# Parts of ``Bounds.max_shift_share`` for gradual changes of the split, and for
# requests that overflow because the chosen region has no capacity.
SPLIT_SHIFT_SHARE: typing.Final = 0.4
OVERFLOW_SHIFT_SHARE: typing.Final = 0.25

# Window over which ``Bounds.max_shift_share`` applies.
SHIFT_WINDOW_S: typing.Final = 2.0

# Minimum time between two adjustments of a split.
ADJUST_INTERVAL_S: typing.Final = 0.5

# Above ``HIGH_LOAD``, more requests leave a region for less loaded ones; below
# ``LOW_LOAD``, or below the load of all other regions, they return.  Loads are
# requests per slot, waiting requests included.  Requests hardly wait below
# ``HIGH_LOAD``.  The gap between the two prevents oscillation.
HIGH_LOAD: typing.Final = 0.7
LOW_LOAD: typing.Final = 0.5

# Minimum difference in load between two regions before requests shift.
LOAD_MARGIN: typing.Final = 0.15

# Difference up to which two loads count as equal.
LOAD_TOLERANCE: typing.Final = 0.02

# Requests leave a region whose latency exceeds ``SLOW_LATENCY_RATIO`` of the
# target and ``MAX_RELATIVE_LATENCY`` times that of the fastest other region.
# Servers with requests for more objects than they can cache are slow long
# before their slots are full.
SLOW_LATENCY_RATIO: typing.Final = 0.9
MAX_RELATIVE_LATENCY: typing.Final = 1.5

# Lower limit of a region's latency ratio in comparisons.
MIN_LATENCY_RATIO: typing.Final = 0.01

# Lower limit of a route's target: an operator may set none.
MIN_TARGET_S: typing.Final = 0.01

# Weight of one answer in the moving averages of latency.
LATENCY_WEIGHT: typing.Final = 0.05

# Assumed load of slots of which no load is known.
ASSUMED_LOAD: typing.Final = 0.55

# Load up to which the initial split fills the local slots with local requests.
INITIAL_LOCAL_LOAD: typing.Final = 0.7

# Loss of local slots within one step, as a share of the usual slots, above
# which requests shift at once.
LARGE_SLOT_LOSS: typing.Final = 0.2

# Maximum growth of the usual slots in one step, as a share.  A server that
# starts before the one that it replaces stops is no lasting gain.
MAX_USUAL_SLOTS_GROWTH: typing.Final = 0.05

# Weight of one step's load reports in the moving averages of load.  Fewer than
# ``FULL_WEIGHT_REPORTS`` reports weigh proportionally less.
REPORTED_LOAD_WEIGHT: typing.Final = 0.4
FULL_WEIGHT_REPORTS: typing.Final = 8

# Load that is assumed of the slots of a server that asked for a pause.
PAUSED_SERVER_LOAD: typing.Final = 1.0

# Weight of what replaces missing reports.  It is lower because this VM's own
# estimate covers only a part of all requests.
ESTIMATE_WEIGHT: typing.Final = 0.1

# Age up to which a VM shares its load reports with other VMs, and time for
# which those use them.
MAX_SHARED_REPORT_AGE_S: typing.Final = 1.5
MAX_SUMMARY_AGE_S: typing.Final = 3.0

# One more than the number of hash values, so that ``(hash + 1) / HASH_RANGE``
# is strictly between 0 and 1.
HASH_RANGE: typing.Final = 2**64 + 1

# Number of requests by which a region may lag behind its weight before the
# split takes precedence over keeping an object in one region.
MIN_LAG_REQUESTS: typing.Final = 6.0

# The same limit as a share of a VM's requests in a window.  It is multiplied
# by the square root of the number of VMs, because their lags partly cancel
# out, and stays far below ``Bounds.max_shift_share``.
LAG_SHARE_OF_REQUESTS: typing.Final = 0.025

# Relative growth of a region's weight for each request that it lags behind.
LAG_WEIGHT_GAIN: typing.Final = 0.1


class LoadSummary(typing.NamedTuple):
    """Mean of the loads that servers of a region reported, and their number.

    Loads are requests per slot, waiting requests included.
    """

    load: float
    reports: int


class TimedSummary(typing.NamedTuple):
    """A summary, and the time in seconds at which this VM got it."""

    summary: LoadSummary
    at: float


class ServiceSplit:
    """Split of the requests for one service that arrive in this region.

    ``remote_share`` is the share that goes to other regions.
    """

    def __init__(self, remote_share: float, now: float) -> None:
        self.remote_share = remote_share
        self.adjusted_at = now
        # Usual number of slots of this region, 0 before the first step.
        self.usual_slots = 0.0
        # Moving averages of the load by region, and the loads that servers
        # reported since the last step.
        self.loads: dict[str, float] = {}
        self.load_reports: dict[str, list[float]] = {}
        # The newest summary of another VM's reports by region.
        self.peer_summaries: dict[str, TimedSummary] = {}
        # Reports by servers of this region in the last step that had any.
        self.local_summary: TimedSummary | None = None
        # Number of load reports by region in the last step.
        self.report_counts: dict[str, int] = {}
        # Moving averages of the latency relative to the target, by region.
        self.latency_ratios: dict[str, float] = {}
        # Relative weights of the other regions among the remote requests.
        self.remote_weights: dict[str, float] = {}
        # Number of requests that each region, including this one, lags behind
        # its weight.
        self.credits: dict[str, float] = {}
        # Times of recent requests, and of those that overflowed to another
        # region.
        self.request_times: collections.deque[float] = collections.deque()
        self.overflow_times: collections.deque[float] = collections.deque()

    def peer_reports(self, region: str, now: float) -> list[float]:
        """Return the loads of a region that another VM recently received."""
        received = self.peer_summaries.get(region)
        if received is None or now - received.at > MAX_SUMMARY_AGE_S:
            return []
        summary = received.summary
        return [summary.load] * min(summary.reports, FULL_WEIGHT_REPORTS)

    def prune(self, now: float) -> None:
        """Drop the times of requests before the window."""
        for times in (self.request_times, self.overflow_times):
            while times and times[0] < now - SHIFT_WINDOW_S:
                times.popleft()


class RegionSplitter:
    """Chooses regions for the requests that arrive at this VM."""

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
        # Number of entry VMs in this region.
        self.region_vm_count = 1

    def slots_by_region(self, service: str) -> dict[str, int]:
        """Return the number of usable slots of a service by region."""
        return dict(self.table.usable(service).slots)

    def service_split(self, service: str, now: float) -> ServiceSplit:
        """Return a service's split, created from the slots at first use."""
        split = self.splits.get(service)
        if split is None:
            split = ServiceSplit(self.initial_remote_share(service), now)
            self.splits[service] = split
        return split

    def initial_remote_share(self, service: str) -> float:
        """Return the initial remote share, assuming equal demand by region."""
        slots = self.slots_by_region(service)
        total_slots = sum(slots.values())
        if not total_slots:
            return 0.0
        slots_per_region = total_slots / len(
            set(self.table.region_by_zone.values())
        )
        local_capacity = INITIAL_LOCAL_LOAD * slots.get(self.region, 0)
        return max(0.0, 1.0 - local_capacity / slots_per_region / ASSUMED_LOAD)

    def choose_region(
        self, service: str, affinity_key: str, now: float
    ) -> str:
        """Choose a region for a request without home regions."""
        split = self.service_split(service, now)
        split.prune(now)
        split.request_times.append(now)
        weights = self.region_weights(service, split)
        if len(weights) < 2:
            return self.region
        for region, weight in weights.items():
            split.credits[region] = split.credits.get(region, 0.0) + weight
        # A region that no longer gets requests is not behind either.
        for region in split.credits.keys() - weights.keys():
            del split.credits[region]
        chosen = most_behind = max(weights, key=split.credits.__getitem__)
        if affinity_key and split.credits[most_behind] <= self.max_lag(split):
            # A raised weight moves few objects to a region that lags behind,
            # and the same ones on all VMs.
            chosen = preferred_region(
                {
                    region: weight
                    * math.exp(LAG_WEIGHT_GAIN * split.credits[region])
                    for region, weight in weights.items()
                },
                affinity_key,
            )
        split.credits[chosen] -= 1.0
        return chosen

    def max_lag(self, split: ServiceSplit) -> float:
        """Return by how many requests a region may lag behind its weight."""
        lag_share = LAG_SHARE_OF_REQUESTS * math.sqrt(self.region_vm_count)
        return max(MIN_LAG_REQUESTS, lag_share * len(split.request_times))

    def region_weights(
        self, service: str, split: ServiceSplit
    ) -> dict[str, float]:
        """Return the share of the requests by region.

        The shares sum to one.  This region gets all requests if no other one
        has a usable server.
        """
        if split.remote_share <= 0.0:
            return {self.region: 1.0}
        remote_slots = self.slots_by_region(service)
        remote_slots.pop(self.region, None)
        if not remote_slots:
            return {self.region: 1.0}
        if not split.remote_weights.keys() & remote_slots.keys():
            split.remote_weights = dict(remote_slots)
        remote_weights = {
            region: split.remote_weights.get(region, 0.0)
            for region in remote_slots
        }
        total_weight = sum(remote_weights.values())
        weights = {
            region: split.remote_share * weight / total_weight
            for region, weight in remote_weights.items()
            if weight > 0
        }
        if split.remote_share < 1.0:
            weights[self.region] = 1.0 - split.remote_share
        return weights

    def try_overflow(self, service: str, now: float) -> bool:
        """Count an overflow to another region; return False at the limit."""
        split = self.service_split(service, now)
        split.prune(now)
        max_overflows = (
            self.bounds.max_shift_share
            * OVERFLOW_SHIFT_SHARE
            * len(split.request_times)
        )
        if len(split.overflow_times) + 1 > max_overflows:
            return False
        split.overflow_times.append(now)
        return True

    def tick(self, now: float) -> list[str]:
        """Update the loads and adjust the splits.

        Returns the services whose remote share has changed.
        """
        adjusted = []
        for service, split in self.splits.items():
            if now - split.adjusted_at < ADJUST_INTERVAL_S:
                continue
            split.adjusted_at = now
            split.prune(now)
            previous_share = split.remote_share
            slots = self.slots_by_region(service)
            self.shift_lost_slots(split, slots.get(self.region, 0))
            self.update_loads(service, split, slots, now)
            if not split.request_times:
                # Without local requests, the loads are no reason to change
                # this split.
                continue
            self.adjust_split(split)
            if split.remote_share != previous_share:
                adjusted.append(service)
        return adjusted

    def record_load(
        self, server: _servers.ServerRecord, running: int, waiting: int
    ) -> None:
        """Record the load reported in a server's answer.

        The answered request is subtracted.  The remaining requests, those of
        other VMs included, are what a new request competes with.
        """
        split = self.splits.get(server.entry.service)
        if split is not None:
            load = max(0, running + waiting - 1) / max(1, server.entry.slots)
            split.load_reports.setdefault(server.region, []).append(load)

    def local_summaries(self, now: float) -> dict[str, LoadSummary]:
        """Return the recent loads of this region by service, for other VMs."""
        return {
            service: split.local_summary.summary
            for service, split in self.splits.items()
            if split.local_summary is not None
            and now - split.local_summary.at <= MAX_SHARED_REPORT_AGE_S
        }

    def record_summary(
        self, service: str, region: str, summary: LoadSummary, now: float
    ) -> None:
        """Record the loads of a region that another VM received."""
        split = self.splits.get(service)
        if split is not None:
            split.peer_summaries[region] = TimedSummary(summary, now)

    def record_latency(
        self, server: _servers.ServerRecord, took_s: float, target_s: float
    ) -> None:
        """Record the latency of a server's answer."""
        split = self.splits.get(server.entry.service)
        if split is not None:
            latency_ratio = took_s / max(MIN_TARGET_S, target_s)
            average = split.latency_ratios.get(server.region, latency_ratio)
            split.latency_ratios[server.region] = average + LATENCY_WEIGHT * (
                latency_ratio - average
            )

    def update_loads(
        self,
        service: str,
        split: ServiceSplit,
        slots: collections.abc.Mapping[str, int],
        now: float,
    ) -> None:
        """Update the moving averages of the load by region."""
        estimated: dict[str, float] = {}
        paused_counts: collections.Counter[str] = collections.Counter()
        for server in self.table.usable_servers(service, None):
            requests = min(
                server.entry.slots + 1,
                server.estimated_requests(now) + server.waiting_requests,
            )
            if server.has_requested_pause(now):
                # It gets no requests from this VM, so it reports no load.
                paused_counts[server.region] += 1
                requests = max(
                    requests, PAUSED_SERVER_LOAD * server.entry.slots
                )
            estimated[server.region] = (
                estimated.get(server.region, 0.0) + requests
            )
        for region, region_slots in slots.items():
            reports = split.load_reports.pop(region, [])
            if region == self.region:
                self.update_local(split, reports, now)
            reports += split.peer_reports(region, now)
            reports += [PAUSED_SERVER_LOAD] * paused_counts[region]
            split.report_counts[region] = len(reports)
            if reports:
                load = summarize(reports).load
                weight = REPORTED_LOAD_WEIGHT * min(
                    1.0, len(reports) / FULL_WEIGHT_REPORTS
                )
            else:
                load = estimated.get(region, 0.0) / max(1, region_slots)
                weight = ESTIMATE_WEIGHT
                if region != self.region:
                    # Most requests there are those of other VMs, so few own
                    # ones do not show that the region is idle.
                    load = max(load, ASSUMED_LOAD)
            average = split.loads.get(region, ASSUMED_LOAD)
            split.loads[region] = average + weight * (load - average)
        split.load_reports.clear()

    def update_local(
        self,
        split: ServiceSplit,
        reports: collections.abc.Sequence[float],
        now: float,
    ) -> None:
        """Update what the answers of one step tell of this region.

        ``reports`` are the loads in answers to requests of this VM.
        """
        if reports:
            split.local_summary = TimedSummary(summarize(reports), now)
        elif self.region in split.latency_ratios:
            # Without answers, there is no evidence that this region is still
            # slow.
            split.latency_ratios[self.region] *= 1.0 - ESTIMATE_WEIGHT

    def shift_lost_slots(self, split: ServiceSplit, local_slots: int) -> None:
        """Shift requests at once after a large loss of local slots.

        The remaining ``local_slots`` have no room for them, so that a gradual
        shift would queue and then refuse them.
        """
        if local_slots < (1.0 - LARGE_SLOT_LOSS) * split.usual_slots:
            split.remote_share = (
                1.0
                - (1.0 - split.remote_share) * local_slots / split.usual_slots
            )
        max_usual_slots = (
            split.usual_slots * (1.0 + MAX_USUAL_SLOTS_GROWTH) or local_slots
        )
        split.usual_slots = min(local_slots, max_usual_slots)

    def adjust_split(self, split: ServiceSplit) -> None:
        """Change the split by one step if loads or latencies require it."""
        local_load = split.loads.get(self.region)
        if local_load is None:
            return
        remote_loads = [
            load
            for region, load in split.loads.items()
            if region != self.region
        ]
        if not remote_loads:
            return
        step = (
            self.bounds.max_shift_share
            * SPLIT_SHIFT_SHARE
            * ADJUST_INTERVAL_S
            / SHIFT_WINDOW_S
        )
        less_loaded_remote = min(remote_loads) < local_load - LOAD_MARGIN
        relative_latency = self.relative_latency(split)
        if (
            local_load > HIGH_LOAD and less_loaded_remote
        ) or relative_latency > MAX_RELATIVE_LATENCY:
            split.remote_share = min(1.0, split.remote_share + step)
        elif (
            local_load < max(LOW_LOAD, min(remote_loads) - LOAD_TOLERANCE)
            and relative_latency < 1.0
        ):
            split.remote_share = max(0.0, split.remote_share - step)
        self.rebalance_remote_weights(split, step)

    def relative_latency(self, split: ServiceSplit) -> float:
        """Return this region's latency relative to the fastest other region.

        It is 0 while answers arrive well within the target, and without
        answers from other regions.
        """
        local_ratio = split.latency_ratios.get(self.region, 0.0)
        remote_ratios = [
            ratio
            for region, ratio in split.latency_ratios.items()
            if region != self.region
        ]
        if local_ratio < SLOW_LATENCY_RATIO or not remote_ratios:
            return 0.0
        return local_ratio / max(min(remote_ratios), MIN_LATENCY_RATIO)

    def rebalance_remote_weights(
        self, split: ServiceSplit, step: float
    ) -> None:
        """Shift remote requests from the busiest region to the least busy."""
        loads = {
            region: load
            for region, load in split.loads.items()
            if region != self.region
        }
        weighted_regions = [
            region for region in split.remote_weights if region in loads
        ]
        if not weighted_regions:
            return
        busiest = max(weighted_regions, key=lambda region: loads[region])
        least_busy = min(loads, key=lambda region: loads[region])
        if (
            loads[busiest] < HIGH_LOAD
            or loads[least_busy] > loads[busiest] - LOAD_MARGIN
        ):
            return
        total_weight = sum(split.remote_weights.values())
        moved_weight = min(
            total_weight * step / max(step, split.remote_share),
            split.remote_weights[busiest],
        )
        split.remote_weights[busiest] -= moved_weight
        split.remote_weights[least_busy] = (
            split.remote_weights.get(least_busy, 0.0) + moved_weight
        )


def summarize(loads: collections.abc.Sequence[float]) -> LoadSummary:
    """Return the mean and number of at least one load."""
    return LoadSummary(sum(loads) / len(loads), len(loads))


def preferred_region(
    weights: collections.abc.Mapping[str, float], affinity_key: str
) -> str:
    """Return the region of an object by weighted rendezvous hashing.

    Objects are distributed in proportion to the weights, and a change of the
    weights moves few objects.
    """
    best_region, best_score = '', float('-inf')
    for region, weight in weights.items():
        if weight <= 0:
            continue
        hash_fraction = (
            _routes.rendezvous_rank(region, affinity_key) + 1
        ) / HASH_RANGE
        score = weight / -math.log(hash_fraction)
        if score > best_score:
            best_region, best_score = region, score
    return best_region
