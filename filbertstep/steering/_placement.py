"""Chooses the backend server of a request.

The choice minimizes the estimated time to the answer: the network, the wait
for a slot, and the run, which is several times shorter on a server that
handled the same object recently.  Equal estimates are decided by rendezvous
rank, so that all VMs send a new object to the same server of a zone.
"""

import collections.abc
import enum
import typing

from filbertstep.steering import _model
from filbertstep.steering import _routes
from filbertstep.steering import _servers

# Estimated time in seconds of the way to a server and back: within a zone,
# between zones of a region, and between regions.
SAME_ZONE_ROUND_TRIP_S: typing.Final = 0.001
SAME_REGION_ROUND_TRIP_S: typing.Final = 0.004
OTHER_REGION_ROUND_TRIP_S: typing.Final = 0.03

# Charge in seconds of estimated time for each byte that crosses between zones
# of a region, and between regions: both are paid for.
CROSS_ZONE_COST_S_PER_BYTE: typing.Final = 25e-6
CROSS_REGION_COST_S_PER_BYTE: typing.Final = 25e-6

# Bytes of a request and its answer that are assumed before any answer, and up
# to which all zones of a region rank their servers together.  Fewer servers
# then have to get an object at hand, for a charge that hardly counts.
INITIAL_EXCHANGE_BYTES: typing.Final = 3000.0
SMALL_EXCHANGE_BYTES: typing.Final = 1000.0

# Estimated extra time in seconds for each place further down in the
# rendezvous order, of servers that are not known to have the object at hand.
# A run there is longer now and leaves the object on one server more.
RANK_PENALTY_S: typing.Final = 0.5

# Cold runs that a failure costs: the repeat, and the chance that none is left.
FAILURE_COST_RUNS: typing.Final = 2.0

# Probability that the first in rank has an object at hand that this VM did
# not send there: other VMs rank it first too.
TOP_RANK_CACHED_PROBABILITY: typing.Final = 0.5

# Servers of a group that are considered beside the warm ones.
RANKED_SERVERS_PER_GROUP: typing.Final = 4

# Time in seconds without a request after which a server gets the next one
# for which it ranks first.
UNUSED_SERVER_S: typing.Final = 1.0

# Weight of one answer in a route's moving averages of run times.
RUN_TIME_WEIGHT: typing.Final = 0.05

EXCHANGE_BYTES_WEIGHT: typing.Final = 0.2

# Run times that are assumed before any answer, relative to the target.
INITIAL_UNCACHED_RUN_RATIO: typing.Final = 1.5
INITIAL_CACHED_RUN_RATIO: typing.Final = 0.5

# Requests that may be at a server beyond its slots, so that none idles for
# the length of the way back from another region.
OTHER_REGION_EXTRA_REQUESTS: typing.Final = 1


class Distance(enum.Enum):
    """Where a server is, seen from a VM."""

    SAME_ZONE = enum.auto()
    SAME_REGION = enum.auto()
    OTHER_REGION = enum.auto()


# Seconds of the way, and charge in seconds for each byte.
NETWORK_COSTS: typing.Final = {
    Distance.SAME_ZONE: (SAME_ZONE_ROUND_TRIP_S, 0.0),
    Distance.SAME_REGION: (
        SAME_REGION_ROUND_TRIP_S,
        CROSS_ZONE_COST_S_PER_BYTE,
    ),
    Distance.OTHER_REGION: (
        OTHER_REGION_ROUND_TRIP_S,
        CROSS_REGION_COST_S_PER_BYTE,
    ),
}


class RunTimes:
    """Moving averages of a route's run times in seconds."""

    def __init__(self, target_s: float) -> None:
        self.uncached_s = INITIAL_UNCACHED_RUN_RATIO * target_s
        self.cached_s = INITIAL_CACHED_RUN_RATIO * target_s
        self.exchange_bytes = INITIAL_EXCHANGE_BYTES

    def expected_run_s(self, warm: float) -> float:
        """Return the run time on an idle server of usual speed.

        ``warm`` is the probability that it has the object at hand.
        """
        return warm * self.cached_s + (1.0 - warm) * self.uncached_s

    def record(self, warm: bool, run_s: float, size: int) -> None:
        """Count an answer; ``size`` in bytes, that of the request included."""
        self.exchange_bytes += EXCHANGE_BYTES_WEIGHT * (
            size - self.exchange_bytes
        )
        if warm:
            self.cached_s += RUN_TIME_WEIGHT * (run_s - self.cached_s)
        else:
            self.uncached_s += RUN_TIME_WEIGHT * (run_s - self.uncached_s)


class PlacementQuery(typing.NamedTuple):
    """A request to be placed.

    ``affinity_key`` names the object that the request concerns, empty for
    none.
    ``homes`` None or empty allows all regions.  ``tried`` holds the ids of
    servers that had the request before.  ``region`` limits the choice to one
    region, None to none.
    """

    route: _model.Route
    service: str
    affinity_key: str
    allowed_regions: frozenset[str] | None
    tried_servers: frozenset[str] = frozenset()
    region: str | None = None


class Candidate(typing.NamedTuple):
    """A server with the estimated seconds until it has answered.

    ``start_s`` is the estimated wait for a slot, ``run_s`` the run.
    ``free`` tells whether the request may be sent now.
    """

    server: _servers.ServerRecord
    estimate_s: float
    slot_wait_s: float
    run_s: float
    cached: bool
    can_send_now: bool


class Placement:
    """Places requests of one VM."""

    def __init__(
        self,
        table: _servers.ServerTable,
        region: str,
        availability_zone: str,
        bounds: _model.Bounds,
    ) -> None:
        self.table = table
        self.region = region
        self.availability_zone = availability_zone
        self.bounds = bounds
        self.run_times: dict[str, RunTimes] = {}
        self.services: collections.abc.Mapping[str, _model.Service] = {}
        # VMs by availability zone, which share the bound of a cold server.
        self.vms_in_zone: collections.abc.Mapping[str, int] = {}

    def route_run_times(self, route: _model.Route) -> RunTimes:
        """Return the run times of a route."""
        known = self.run_times.get(route.name)
        if known is None:
            known = self.run_times[route.name] = RunTimes(route.target_s)
        return known

    def distance(self, row: _servers.ServerRecord) -> Distance:
        """Return where a server is, seen from this VM."""
        if row.entry.availability_zone == self.availability_zone:
            return Distance.SAME_ZONE
        if row.region == self.region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def network_cost_s(self, distance: Distance, size: float) -> float:
        """Return the estimated cost of the way to a server and back."""
        way_s, byte_s = NETWORK_COSTS[distance]
        return way_s + byte_s * size

    def eligible_servers(
        self, question: PlacementQuery, now: float
    ) -> list[tuple[int, _servers.ServerRecord]]:
        """Return the first few servers of each group and the warm ones.

        Each comes with its place in its group, 0 for the first in rank.
        """
        light = (
            self.route_run_times(question.route).exchange_bytes
            <= SMALL_EXCHANGE_BYTES
        )
        groups: dict[Distance, list[_servers.ServerRecord]] = {}
        for row in self.table.usable_servers(
            question.service, question.allowed_regions
        ):
            if row.entry.server_id in question.tried_servers:
                continue
            if question.region is None or row.region == question.region:
                groups.setdefault(self.ranking_group(row, light), []).append(
                    row
                )
        chosen: list[tuple[int, _servers.ServerRecord]] = []
        for rows in groups.values():
            rows.sort(
                key=lambda row: _routes.rendezvous_rank(
                    row.entry.server_id, question.affinity_key
                ),
                reverse=True,
            )
            ready = [
                row
                for row in rows
                if now >= row.paused_until and self.cold_rate_allows(row, now)
            ]
            chosen += [
                (place, row)
                for place, row in enumerate(ready)
                if place < RANKED_SERVERS_PER_GROUP
                or (
                    question.affinity_key
                    and row.has_cached(question.affinity_key, now)
                )
            ]
        return chosen

    def best_candidate(
        self,
        question: PlacementQuery,
        now: float,
        max_wait_s: float = float('inf'),
    ) -> Candidate | None:
        """Return the server with the least estimate, None without any.

        Servers with a longer wait than ``max_wait_s`` are chosen only if all
        others have one too: no request is refused beside a free slot.
        """
        best: Candidate | None = None
        best_order = (True, float('inf'))
        for place, row in self.eligible_servers(question, now):
            found = self.estimate(row, question, place == 0, now)
            if not found.cached:
                found = found._replace(
                    estimate_s=found.estimate_s + place * RANK_PENALTY_S
                )
            if place == 0 and found.can_send_now and self.is_unused(row, now):
                return found
            order = (found.slot_wait_s > max_wait_s, found.estimate_s)
            if best is None or order < best_order:
                best, best_order = found, order
        return best

    def ranking_group(
        self, row: _servers.ServerRecord, light: bool
    ) -> Distance:
        """Return the servers among which a server is ranked."""
        found = self.distance(row)
        if light and found is Distance.SAME_ZONE:
            return Distance.SAME_REGION
        return found

    def is_unused(self, row: _servers.ServerRecord, now: float) -> bool:
        """Tell whether a server of this zone lacks the objects it should have.

        It joined, or was away, and the others are warm for all objects.
        Without requests for which it ranks first it would stay unused.
        """
        return (
            row.entry.availability_zone == self.availability_zone
            and now - row.last_sent_at > UNUSED_SERVER_S
        )

    def estimate(
        self,
        row: _servers.ServerRecord,
        question: PlacementQuery,
        first: bool,
        now: float,
    ) -> Candidate:
        """Return the estimate for one server."""
        times = self.route_run_times(question.route)
        distance = self.distance(row)
        row.decay_health(now)
        warm = bool(question.affinity_key) and row.has_cached(
            question.affinity_key, now
        )
        chance = 1.0 if warm else 0.0
        if first and question.affinity_key and not warm:
            chance = TOP_RANK_CACHED_PROBABILITY
        run_s = times.expected_run_s(chance) * row.slowdown
        slots = max(1, row.entry.slots)
        limit = slots
        if distance is Distance.OTHER_REGION:
            limit += OTHER_REGION_EXTRA_REQUESTS
        occupied = row.estimated_requests(now)
        ahead = occupied + row.waiting_requests
        start_s = 0.0
        if ahead > slots - 0.5:
            start_s = (
                (ahead - slots + 1) * times.cached_s * row.slowdown / slots
            )
        # A failing server costs the time of the repeat on top.
        risk_s = row.failure_rate * FAILURE_COST_RUNS * times.uncached_s
        return Candidate(
            row,
            self.network_cost_s(distance, times.exchange_bytes)
            + start_s
            + run_s
            + risk_s,
            start_s,
            run_s,
            warm,
            ahead <= limit - 0.5,
        )

    def cold_rate_allows(self, row: _servers.ServerRecord, now: float) -> bool:
        """Tell whether a cold server may get a request from this VM.

        The VMs of the server's zone share its bound equally, others send
        nothing until it is warm.  Only where the zone has no VM, those of
        all zones share it.
        """
        if not row.is_cold(now):
            return True
        service = self.services.get(row.entry.service)
        if service is None or service.cold_per_s <= 0:
            return True
        zone = row.entry.availability_zone
        sharing = self.vms_in_zone.get(zone, 0)
        if sharing:
            if zone != self.availability_zone:
                return False
        else:
            sharing = max(1, sum(self.vms_in_zone.values()))
        # Keeps to the server's own rate: the slack of the bound is for what
        # VMs send that do not know yet that the server is cold.
        rate = service.cold_per_s * self.bounds.cold_rate_factor
        return now - row.last_cold_sent_at >= sharing / rate
