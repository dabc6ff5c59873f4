"""Chooses the backend server of a request.

The choice minimizes the estimated time to the answer: network time, wait for
a slot, and run time, which is several times shorter on a server that handled
the same object recently and still has it cached.  Servers that do not have
the object cached are ordered by rendezvous hashing, so that all VMs send a
new object to the same server of a zone.
"""

import collections
import collections.abc
import enum
import math
import typing

from filbertstep.steering import _copies
from filbertstep.steering import _load_reports
from filbertstep.steering import _model
from filbertstep.steering import _ranking
from filbertstep.steering import _routes
from filbertstep.steering import _servers

# Estimated network round-trip times.
SAME_ZONE_ROUND_TRIP_S: typing.Final = 0.001
SAME_REGION_ROUND_TRIP_S: typing.Final = 0.004
OTHER_REGION_ROUND_TRIP_S: typing.Final = 0.03

# Seconds added to an estimate for each byte that crosses zones of a region, or
# regions: both kinds of traffic are billed.
CROSS_ZONE_COST_S_PER_BYTE: typing.Final = 25e-6
CROSS_REGION_COST_S_PER_BYTE: typing.Final = 25e-6

# Assumed size of a request and its answer before the first answer.  Rather
# too large, as what turns out to be heavy would have crossed zones meanwhile.
INITIAL_EXCHANGE_BYTES: typing.Final = 5000.0

# Seconds added to the estimate for each place in the rendezvous order after
# the first, unless the server is known to have the object cached.  A request
# there takes longer now and adds the object to the cache of one more server.
RANK_PENALTY_S: typing.Final = 0.5

# Cost of a failure in runs without the object cached: one for the retry, one
# for the risk that no retry is left.
FAILURE_COST_RUNS: typing.Final = 2.0

# Probability that the first server in rank has cached an object that this VM
# did not request from it: other VMs rank it first too.
TOP_RANK_CACHED_PROBABILITY: typing.Final = 0.5

# Servers of each group that are considered in addition to those that are
# known to have the object cached.
RANKED_SERVERS_PER_GROUP: typing.Final = 4

# Bound of the kept groups of a service, by the regions that a request may use.
# There are few unless accounts have many different home regions.
MAX_SELECTIONS: typing.Final = 64

# A server without requests for this time gets the next request for which it
# ranks first.
UNUSED_SERVER_S: typing.Final = 1.0

# Weights of one answer in a route's moving averages.  Sizes differ a lot from
# answer to answer, but decisions on them must not.
RUN_TIME_WEIGHT: typing.Final = 0.05
EXCHANGE_BYTES_WEIGHT: typing.Final = 0.02

# Up to this slowdown a server counts as normal.  Run times vary by some 15%.
MAX_NORMAL_SLOWDOWN: typing.Final = 1.3

# Keeps divisors from 0: the target latency of a route may be 0.
MIN_RUN_S: typing.Final = 0.001

# Assumed run times before the first answer, relative to the route's target.
INITIAL_UNCACHED_RUN_RATIO: typing.Final = 1.5
INITIAL_CACHED_RUN_RATIO: typing.Final = 0.5

# Requests sent to a server of another region beyond its slots, so that no slot
# idles while an answer travels back.
OTHER_REGION_EXTRA_REQUESTS: typing.Final = 1


# Share of the slack of a cold server's rate that VMs may use when they send
# their first requests at the same moment.  The rest covers requests from VMs
# that do not know yet that the server is cold.
COLD_SLACK_SHARE: typing.Final = 0.6

# More VMs than any deployment has.  Configured rates may be infinite.
MAX_SENDERS: typing.Final = 1_000_000

# Time after a change of the entry VMs in which only those send to a cold
# server that did so before.  A second, which is the period of the rate limit,
# and the time in which all VMs learn of the change.
COLD_HANDOVER_S: typing.Final = 1.5

# Changes of the entry VMs within this time count as one, and the bound of
# those that are kept.  Together they cover ``COLD_HANDOVER_S``.
MIN_FORMER_VMS_INTERVAL_S: typing.Final = 0.2
MAX_FORMER_VMS: typing.Final = 8

# Cold servers for which the decision whether this VM sends to them is kept.
MAX_COLD_SENDERS: typing.Final = 4096

# Relative deviation from the mean run time that almost no run exceeds.
RUN_TIME_SPREAD: typing.Final = 0.3


class Distance(enum.Enum):
    """Network distance between this VM and a server."""

    SAME_ZONE = enum.auto()
    SAME_REGION = enum.auto()
    OTHER_REGION = enum.auto()


# Round-trip time in seconds, and cost in seconds per byte.
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
    """Moving averages of a route's run times and of its exchange size.

    Run times are in seconds, with and without the object cached.
    ``exchange_bytes`` is the size of a request and its answer together.
    """

    def __init__(self, target_s: float) -> None:
        self.uncached_s = INITIAL_UNCACHED_RUN_RATIO * target_s
        self.cached_s = INITIAL_CACHED_RUN_RATIO * target_s
        self.exchange_bytes = INITIAL_EXCHANGE_BYTES
        self.exchanges = 0

    def expected_run_s(self, cached_probability: float) -> float:
        """Return the expected run time on a server of normal speed.

        ``cached_probability`` is the probability that the server has the
        object cached.
        """
        return (
            cached_probability * self.cached_s
            + (1.0 - cached_probability) * self.uncached_s
        )

    def was_cached(self, assumed: bool, run_s: float, slowdown: float) -> bool:
        """Return whether a run of this time had the object cached.

        ``assumed`` is what this VM knew: other VMs also fill the caches, and
        a server may have evicted the object.  ``slowdown`` is that of the
        server before the run.
        """
        if not assumed:
            return run_s < math.sqrt(self.cached_s * self.uncached_s)
        # A long run on a server that was slow before says nothing.
        return (
            slowdown > MAX_NORMAL_SLOWDOWN
            or not 1.0 / MAX_NORMAL_SLOWDOWN
            < run_s / max(MIN_RUN_S, self.uncached_s)
            < MAX_NORMAL_SLOWDOWN
        )

    def record_size(self, size_bytes: int) -> None:
        """Update the average with the size of one exchange.

        ``size_bytes`` includes request and answer.
        """
        self.exchanges += 1
        weight = max(EXCHANGE_BYTES_WEIGHT, 1.0 / (1.0 + self.exchanges))
        self.exchange_bytes += weight * (size_bytes - self.exchange_bytes)

    def record(self, cached: bool, run_s: float, size_bytes: int) -> None:
        """Update the averages with the run time and size of one exchange.

        ``cached`` tells whether the run had the object cached.
        """
        self.record_size(size_bytes)
        if cached:
            self.cached_s += RUN_TIME_WEIGHT * (run_s - self.cached_s)
        else:
            self.uncached_s += RUN_TIME_WEIGHT * (run_s - self.uncached_s)


class PlacementQuery(typing.NamedTuple):
    """A request to be placed on a server.

    ``affinity_key`` identifies the object that the request concerns; it is
    empty if there is none.  ``allowed_regions`` None allows all regions, an
    empty set none.  ``tried_servers`` holds the ids of servers to which the
    request was sent before.  ``region`` restricts the choice to one region
    unless it is None.  The time of the request ends at ``deadline``.
    """

    route: _model.Route
    service: str
    affinity_key: str
    allowed_regions: frozenset[str] | None
    tried_servers: frozenset[str] = frozenset()
    region: str | None = None
    deadline: float = float('inf')


class Candidate(typing.NamedTuple):
    """A server and the estimated time until its answer, in seconds.

    ``estimate_s`` is the total cost, which includes ``slot_wait_s``, the wait
    for a slot, and ``run_s``, the run time.  ``cached`` tells whether the
    server is known to have the object cached, ``can_send_now`` whether the
    request may be sent at once.
    """

    server: _servers.ServerRecord
    estimate_s: float
    slot_wait_s: float
    run_s: float
    cached: bool
    can_send_now: bool


class RequestCosts(typing.NamedTuple):
    """What the estimates of all servers for a request have in common.

    Run times are in seconds on a server of normal speed.  ``maybe_cached_s``
    is that of the first server in rank, which may have the object cached.
    ``slot_s`` is the time for which a request ahead holds a slot.
    ``own_copy_due_s`` is added for servers of other zones of the region.  The
    network costs are by distance.
    """

    cached_s: float
    maybe_cached_s: float
    uncached_s: float
    slot_s: float
    own_copy_due_s: float
    same_zone_s: float
    same_region_s: float
    other_region_s: float


class FormerVms(typing.NamedTuple):
    """Entry VMs by availability zone, and when this VM learned of others."""

    vms_by_zone: collections.abc.Mapping[str, frozenset[str]]
    ended_at: float


class Comparison(typing.NamedTuple):
    """The servers to compare for a request, and what their estimates need.

    ``eligible`` holds servers with their ranks, ``distances`` those of all
    usable servers of the service.
    """

    eligible: list[tuple[int, _servers.ServerRecord]]
    distances: dict[_servers.ServerRecord, Distance]
    costs: RequestCosts


class ServiceGroups:
    """Groups of the usable servers of a service, for one generation."""

    def __init__(
        self, distances: dict[_servers.ServerRecord, Distance]
    ) -> None:
        self.distances = distances
        # Groups in the table order of their first servers, by the regions
        # that a request may use and by whether zones share a copy.
        self.selections: dict[
            tuple[frozenset[str] | None, str | None, bool],
            tuple[_ranking.ServerGroup, ...],
        ] = {}
        # The same servers in two selections are one group.
        self.groups: dict[
            tuple[_servers.ServerRecord, ...], _ranking.ServerGroup
        ] = {}


class Placement:
    """Chooses servers for the requests that arrive at this VM."""

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
        # Number of entry VMs by availability zone.  They share the rate limit
        # of a cold server.
        self.vms_in_zone: collections.abc.Mapping[str, int] = {}
        # Names of this VM and of the same VMs; empty if only their numbers are
        # known.
        self.own_vm = ''
        self.vms_by_zone: collections.abc.Mapping[str, frozenset[str]] = {}
        # The VMs that were named until recently, oldest first.
        self.former_vms: collections.deque[FormerVms] = collections.deque(
            maxlen=MAX_FORMER_VMS
        )
        # How many VMs send to a cold server, 0 unless this VM does, by its id,
        # its zone and by how many VMs may.
        self.cold_senders: dict[tuple[str, str, int], int] = {}
        self.copies = _copies.CopyPolicy()
        # Services whose requests take very different times, and moving
        # averages of the run times of their requests of all routes.
        self.unequal_services: collections.abc.Set[str] = frozenset()
        self.mean_run_s: dict[str, float] = {}
        # When runs must have ended, because this VM stops.
        self.runs_until = float('inf')
        # Loads that servers report, by service.
        self.usual_loads: dict[str, _servers.UsualLoad] = {}
        # Derived from the table's usable servers of one generation.
        self.groups_by_service: dict[str, ServiceGroups] = {}
        self.rank_orders = _ranking.RankOrders()
        self.groups_generation = table.generation.number

    def route_run_times(self, route: _model.Route) -> RunTimes:
        """Return the moving averages of a route."""
        run_times = self.run_times.get(route.name)
        if run_times is None:
            run_times = self.run_times[route.name] = RunTimes(route.target_s)
        return run_times

    def distance(self, server: _servers.ServerRecord) -> Distance:
        """Return the network distance of a server."""
        if server.entry.availability_zone == self.availability_zone:
            return Distance.SAME_ZONE
        if server.region == self.region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def network_cost_s(self, distance: Distance, size_bytes: float) -> float:
        """Return the round-trip time plus the traffic cost, in seconds."""
        round_trip_s, cost_s_per_byte = NETWORK_COSTS[distance]
        return round_trip_s + cost_s_per_byte * size_bytes

    def matching_servers(
        self, query: PlacementQuery
    ) -> list[_servers.ServerRecord]:
        """Return the servers that may run a request, now or later."""
        return [
            server
            for server in self.table.usable_servers(
                query.service, query.allowed_regions
            )
            if server.entry.server_id not in query.tried_servers
            and (query.region is None or server.region == query.region)
        ]

    def accepting_from(self, query: PlacementQuery, now: float) -> float:
        """Return when the first server that may run a request wants any.

        This is ``now`` unless all of them asked for a pause, and infinite
        without such a server.
        """
        return min(
            (
                max(now, server.announcements.requested_pause_until)
                for server in self.matching_servers(query)
            ),
            default=float('inf'),
        )

    def service_groups(self, service: str) -> ServiceGroups:
        """Return the groups of a service in the current generation."""
        if self.groups_generation != self.table.generation.number:
            self.groups_by_service.clear()
            self.rank_orders.clear()
            self.groups_generation = self.table.generation.number
        groups = self.groups_by_service.get(service)
        if groups is None:
            servers = self.table.usable(service).servers
            groups = ServiceGroups(
                {server: self.distance(server) for server in servers}
            )
            if servers:
                self.groups_by_service[service] = groups
        return groups

    def ranked_groups(
        self, query: PlacementQuery, shared: bool
    ) -> collections.abc.Sequence[_ranking.ServerGroup]:
        """Return the groups of the servers that may run a request.

        They come in the table order of their first servers, without those
        that were tried.  ``shared`` ranks the zones of this VM's region
        together.
        """
        service_groups = self.service_groups(query.service)
        key = (query.allowed_regions, query.region, shared)
        groups = service_groups.selections.get(key)
        if groups is None:
            if len(service_groups.selections) >= MAX_SELECTIONS:
                service_groups.selections.clear()
                service_groups.groups.clear()
            groups = self.build_groups(query, shared, service_groups)
            service_groups.selections[key] = groups
        if not query.tried_servers:
            return groups
        return sorted(
            groups, key=lambda group: group.first_position(query.tried_servers)
        )

    def build_groups(
        self,
        query: PlacementQuery,
        shared: bool,
        service_groups: ServiceGroups,
    ) -> tuple[_ranking.ServerGroup, ...]:
        """Return the groups of a query, those that are known if possible."""
        members: dict[Distance, list[tuple[int, _servers.ServerRecord]]] = {}
        for position, server in enumerate(
            self.table.usable(query.service).servers
        ):
            if (
                query.allowed_regions is None
                or server.region in query.allowed_regions
            ) and (query.region is None or server.region == query.region):
                members.setdefault(
                    self.ranking_group(server, shared), []
                ).append((position, server))
        groups = []
        for placed in members.values():
            servers = tuple(server for _, server in placed)
            group = service_groups.groups.get(servers)
            if group is None:
                group = service_groups.groups[servers] = _ranking.ServerGroup(
                    servers,
                    tuple(position for position, _ in placed),
                    self.table.load_changes,
                )
            groups.append(group)
        return tuple(groups)

    def eligible_servers(
        self, query: PlacementQuery, now: float
    ) -> list[tuple[int, _servers.ServerRecord]]:
        """Return the servers to compare, each with its rank in its group.

        These are the first few servers of each group, and all servers known
        to have the object cached.  Rank 0 is the first.  The order for an
        object is the same on all VMs.  Requests without one have no reason to
        meet on a server, so the least loaded servers come first.
        """
        return self.eligible_in_groups(
            query, self.shares_copy(query, now), now
        )

    def eligible_in_groups(
        self, query: PlacementQuery, shared: bool, now: float
    ) -> list[tuple[int, _servers.ServerRecord]]:
        """Return the servers to compare; ``shared`` as in ranked_groups."""
        chosen: list[tuple[int, _servers.ServerRecord]] = []
        for group in self.ranked_groups(query, shared):
            if query.affinity_key:
                chosen += self.first_ranked(group, query, now)
            else:
                chosen += enumerate(
                    group.load_order.least_loaded(
                        RANKED_SERVERS_PER_GROUP,
                        now,
                        lambda server: self.may_send(server, query, now),
                    )
                )
        return chosen

    def first_ranked(
        self, group: _ranking.ServerGroup, query: PlacementQuery, now: float
    ) -> list[tuple[int, _servers.ServerRecord]]:
        """Return the servers of a group to compare for an object."""
        key = query.affinity_key
        caching = {
            server
            for server in self.table.objects.servers.get(key, ())
            if server in group.load_order.places
            and server.has_cached(key, now)
        }
        chosen: list[tuple[int, _servers.ServerRecord]] = []
        rank = 0
        for server in self.rank_orders.get(group, key):
            if self.may_send(server, query, now):
                if rank < RANKED_SERVERS_PER_GROUP or server in caching:
                    chosen.append((rank, server))
                rank += 1
            caching.discard(server)
            if rank >= RANKED_SERVERS_PER_GROUP and not caching:
                break
        return chosen

    def may_send(
        self, server: _servers.ServerRecord, query: PlacementQuery, now: float
    ) -> bool:
        """Return whether a usable server may get a request now or next."""
        return (
            now >= server.paused_until
            and now >= server.announcements.requested_pause_until
            and (
                now >= server.cold_until or self.cold_rate_allows(server, now)
            )
            and (
                not query.tried_servers
                or server.entry.server_id not in query.tried_servers
            )
        )

    def best_candidate(
        self,
        query: PlacementQuery,
        now: float,
        max_wait_s: float = float('inf'),
    ) -> Candidate | None:
        """Return the server with the lowest estimate, None if there is none.

        A server whose slot wait exceeds ``max_wait_s`` is chosen only if that
        holds for all servers, so that no request is refused while another
        server has a free slot.  A VM that stops leaves out the servers that
        may answer too late.
        """
        compared = self.comparison(query, now)
        if compared is None:
            return None
        eligible, distances, costs = compared
        is_limited = self.runs_until < query.deadline
        best: Candidate | None = None
        best_late, best_s = True, float('inf')
        for rank, server in eligible:
            if is_limited and not self.ends_in_time(server, query, now):
                continue
            candidate = self.estimate(
                server, distances[server], rank, query, costs, now
            )
            if (
                rank == 0
                and candidate.can_send_now
                and self.is_unused(server, now)
            ):
                return candidate
            late = candidate.slot_wait_s > max_wait_s
            if (
                best is None
                or late < best_late
                or (late == best_late and candidate.estimate_s < best_s)
            ):
                best, best_late = candidate, late
                best_s = candidate.estimate_s
        return best

    def longest_s(
        self, server: _servers.ServerRecord, query: PlacementQuery, now: float
    ) -> float:
        """Return the longest time to the answer that is to be expected.

        The load that the server last reported lasts, and the run is a long
        one without the object: the server may have evicted it.
        """
        run_times = self.route_run_times(query.route)
        usual_load = self.usual_loads.get(query.service)
        slots = max(1, server.entry.slots)
        requests_ahead = server.waiting_requests + server.lasting_requests(
            now, usual_load.current(now) if usual_load is not None else 0.0
        )
        slot_wait_s = 0.0
        if requests_ahead > slots - 0.5:
            mean_run_s = self.mean_run_s.get(
                query.service, run_times.uncached_s
            )
            slot_wait_s = (requests_ahead - slots + 1) * mean_run_s / slots
        server.decay_health(now)
        slowdown = max(1.0, server.slowdown) * max(
            1.0, server.current_machine_slowdown(now)
        )
        round_trip_s, _ = NETWORK_COSTS[self.distance(server)]
        run_s = run_times.uncached_s * MAX_NORMAL_SLOWDOWN
        return round_trip_s + slowdown * (slot_wait_s + run_s)

    def ends_in_time(
        self, server: _servers.ServerRecord, query: PlacementQuery, now: float
    ) -> bool:
        """Return whether a run certainly ends before this VM exits.

        A request whose own time ends before has an answer then.
        """
        return (
            query.deadline <= self.runs_until
            or now + self.longest_s(server, query, now) < self.runs_until
        )

    def may_wait(self, query: PlacementQuery, now: float) -> bool:
        """Return whether a request without a candidate may wait for one.

        That is useless if all servers asked for a pause, or if a run would
        end after this VM exits.
        """
        return (
            query.deadline <= self.runs_until
            and self.accepting_from(query, now) <= now
        )

    def comparison(
        self, query: PlacementQuery, now: float
    ) -> Comparison | None:
        """Return the servers to compare, None if there is none."""
        crossing_costs, shared = None, False
        if query.affinity_key:
            crossing_costs = self.crossing_costs(query.route)
            shared = self.copies.shares_copy(
                _copies.ObjectKey(query.service, query.affinity_key),
                crossing_costs,
                now,
            )
        eligible = self.eligible_in_groups(query, shared, now)
        if not eligible:
            return None
        distances = self.service_groups(query.service).distances
        own_copy_due_s = 0.0
        if crossing_costs is not None and not (
            shared or self.has_own_copy(query, eligible, distances, now)
        ):
            own_copy_due_s = crossing_costs.first_run_s
        return Comparison(
            eligible, distances, self.request_costs(query, own_copy_due_s)
        )

    def ranking_group(
        self, server: _servers.ServerRecord, shared: bool
    ) -> Distance:
        """Return the group of servers within which a server is ranked.

        ``shared`` ranks the zones of this VM's region together.
        """
        distance = self.distance(server)
        if shared and distance is Distance.SAME_ZONE:
            return Distance.SAME_REGION
        return distance

    def shares_copy(self, query: PlacementQuery, now: float) -> bool:
        """Return whether the zones of this region share an object's copy."""
        return bool(query.affinity_key) and self.copies.shares_copy(
            _copies.ObjectKey(query.service, query.affinity_key),
            self.crossing_costs(query.route),
            now,
        )

    def crossing_costs(self, route: _model.Route) -> _copies.CrossingCosts:
        """Return what sharing a copy and what another copy costs."""
        run_times = self.route_run_times(route)
        failure_s = (
            FAILURE_COST_RUNS
            * run_times.uncached_s
            * overrun_probability(run_times.uncached_s, route.timeout_s)
        )
        return _copies.CrossingCosts(
            self.network_cost_s(
                Distance.SAME_REGION, run_times.exchange_bytes
            ),
            max(0.0, run_times.uncached_s - run_times.cached_s) + failure_s,
        )

    def record_sent(
        self, query: PlacementQuery, server: _servers.ServerRecord, now: float
    ) -> None:
        """Record that a server gets a request, and caches its object."""
        if not query.affinity_key:
            return
        server.record_object(query.affinity_key, now)
        key = _copies.ObjectKey(query.service, query.affinity_key)
        distance = self.distance(server)
        if distance is Distance.SAME_ZONE:
            self.copies.record_own_copy(key)
        elif distance is Distance.SAME_REGION:
            costs = self.crossing_costs(query.route)
            self.copies.record_crossing(key, costs.crossing_s, now)

    def has_own_copy(
        self,
        query: PlacementQuery,
        eligible: list[tuple[int, _servers.ServerRecord]],
        distances: dict[_servers.ServerRecord, Distance],
        now: float,
    ) -> bool:
        """Return whether a server of this zone has the object cached.

        Without it, and unless the zone shares a copy, another crossing costs
        the first run beyond its bytes: the own copy saves crossings from now
        on.
        """
        for _, server in eligible:
            if distances[server] is Distance.SAME_ZONE and server.has_cached(
                query.affinity_key, now
            ):
                return True
        return False

    def is_unused(self, server: _servers.ServerRecord, now: float) -> bool:
        """Return whether a server of this zone has had no recent requests.

        After it joins or returns, other servers have all objects cached and
        are preferred.  It would stay unused without the requests for which it
        ranks first.
        """
        return (
            server.entry.availability_zone == self.availability_zone
            and now - server.last_sent_at > UNUSED_SERVER_S
        )

    def slot_s(self, service: str, run_times: RunTimes) -> float:
        """Return the expected time for which a request ahead holds a slot.

        Where requests are unequal, those ahead usually belong to other routes
        than the waiting one.
        """
        if service not in self.unequal_services:
            return run_times.cached_s
        return self.mean_run_s.get(service, run_times.cached_s)

    def record_run_s(self, service: str, run_s: float) -> None:
        """Update the mean run time of a service, whatever the route."""
        mean_s = self.mean_run_s.get(service, run_s)
        self.mean_run_s[service] = mean_s + RUN_TIME_WEIGHT * (run_s - mean_s)

    def record_reported_load(
        self,
        server: _servers.ServerRecord,
        load: _load_reports.LoadReport,
        now: float,
    ) -> None:
        """Record the load that a server reported with an answer."""
        server.record_load(load.running, load.waiting, now)
        server.record_machine(load.machine_slowdown, now)
        self.usual_loads.setdefault(
            server.entry.service, _servers.UsualLoad()
        ).record(
            (load.running + load.waiting) / max(1, server.entry.slots), now
        )

    def request_costs(
        self, query: PlacementQuery, own_copy_due_s: float
    ) -> RequestCosts:
        """Return what the estimates of all servers have in common."""
        run_times = self.route_run_times(query.route)
        size_bytes = run_times.exchange_bytes
        return RequestCosts(
            run_times.cached_s,
            run_times.expected_run_s(TOP_RANK_CACHED_PROBABILITY),
            run_times.uncached_s,
            self.slot_s(query.service, run_times),
            own_copy_due_s,
            self.network_cost_s(Distance.SAME_ZONE, size_bytes),
            self.network_cost_s(Distance.SAME_REGION, size_bytes),
            self.network_cost_s(Distance.OTHER_REGION, size_bytes),
        )

    def estimate(
        self,
        server: _servers.ServerRecord,
        distance: Distance,
        rank: int,
        query: PlacementQuery,
        costs: RequestCosts,
        now: float,
    ) -> Candidate:
        """Estimate the time to the answer of one server.

        ``rank`` is the place of the server in its group, 0 for the first.
        """
        if server.health_updated_at != now:
            server.decay_health(now)
        slots = server.entry.slots
        if slots < 1:
            slots = 1
        max_requests = slots
        extra_s = 0.0
        if distance is Distance.SAME_ZONE:
            network_s = costs.same_zone_s
        elif distance is Distance.SAME_REGION:
            network_s = costs.same_region_s
            extra_s = costs.own_copy_due_s
        else:
            network_s = costs.other_region_s
            max_requests += OTHER_REGION_EXTRA_REQUESTS
        cached = False
        penalty_s = 0.0
        run_s = costs.uncached_s
        if query.affinity_key:
            cached = server.has_cached(query.affinity_key, now)
            if cached:
                run_s = costs.cached_s
            elif rank:
                penalty_s = rank * RANK_PENALTY_S
            else:
                run_s = costs.maybe_cached_s
        slowdown = server.slowdown
        machine_slowdown = server.current_machine_slowdown(now)
        run_s *= slowdown * machine_slowdown
        requests_ahead = (
            server.estimated_requests(now) + server.waiting_requests
        )
        slot_wait_s = 0.0
        if requests_ahead > slots - 0.5:
            slot_wait_s = (
                (requests_ahead - slots + 1) * costs.slot_s * slowdown / slots
            )
        # A failure adds the time of the retry.
        risk_s = server.failure_rate * FAILURE_COST_RUNS * costs.uncached_s
        return Candidate(
            server,
            network_s + slot_wait_s + run_s + risk_s + extra_s + penalty_s,
            slot_wait_s,
            run_s,
            cached,
            requests_ahead <= max_requests - 0.5,
        )

    def set_vms(
        self,
        own_vm: str,
        vms_by_zone: collections.abc.Mapping[str, frozenset[str]],
        now: float = float('-inf'),
    ) -> None:
        """Set the entry VMs that look-ups name, by availability zone."""
        if own_vm == self.own_vm and vms_by_zone == self.vms_by_zone:
            return
        if self.vms_by_zone and (
            not self.former_vms
            or now - self.former_vms[-1].ended_at >= MIN_FORMER_VMS_INTERVAL_S
        ):
            self.former_vms.append(FormerVms(self.vms_by_zone, now))
        self.vms_in_zone = {
            zone: len(vms) for zone, vms in vms_by_zone.items()
        }
        self.own_vm = own_vm
        self.vms_by_zone = vms_by_zone
        self.cold_senders.clear()

    def cold_rate_allows(
        self, server: _servers.ServerRecord, now: float
    ) -> bool:
        """Return whether the slow start of a server permits a request now.

        The entry VMs of the server's zone share its rate limit equally, and
        VMs of other zones send nothing to it.  If the zone has no entry VM,
        those of all zones share the limit.  Where more VMs share it than may
        send at the same moment, only some of them send at all.
        """
        if not server.is_cold(now):
            return True
        service = self.services.get(server.entry.service)
        if service is None or service.cold_per_s <= 0:
            return True
        zone = server.entry.availability_zone
        sharing_vms = self.vms_in_zone.get(zone, 0)
        if sharing_vms:
            if zone != self.availability_zone:
                return False
        else:
            sharing_vms = max(1, sum(self.vms_in_zone.values()))
        rate = service.cold_per_s * self.bounds.cold_rate_factor
        at_once = rate + COLD_SLACK_SHARE * self.bounds.cold_slack
        max_senders = max(1, int(min(MAX_SENDERS, at_once)))
        if self.own_vm:
            senders = self.cold_sender_count(server, max_senders, now)
        else:
            # Only the numbers of VMs are known.
            senders = sharing_vms if sharing_vms <= max_senders else 0
        if not senders:
            return False
        # Whole requests of each VM in a second: all may send at the same
        # moments, and then the mean rate alone does not keep the bound.
        per_second = max_senders // senders
        interval_s = max(senders / rate, 1.0 / per_second)
        return now - server.last_cold_sent_at >= interval_s

    def cold_sender_count(
        self, server: _servers.ServerRecord, max_senders: int, now: float
    ) -> int:
        """Return how many VMs send to a cold server if this VM is among them.

        Otherwise, returns 0.  For some time after a change of the VMs, those
        before the change count too: others may not know of the change yet, or
        have used the rate within the last second.
        """
        former_vms = self.former_vms
        while former_vms and now - former_vms[0].ended_at > COLD_HANDOVER_S:
            former_vms.popleft()
            self.cold_senders.clear()
        key = (
            server.entry.server_id,
            server.entry.availability_zone,
            max_senders,
        )
        count = self.cold_senders.get(key)
        if count is None:
            count = self.sender_count(server, self.vms_by_zone, max_senders)
            for former in former_vms:
                if not count:
                    break
                former_count = self.sender_count(
                    server, former.vms_by_zone, max_senders
                )
                count = max(count, former_count) if former_count else 0
            if len(self.cold_senders) >= MAX_COLD_SENDERS:
                self.cold_senders.clear()
            self.cold_senders[key] = count
        return count

    def sender_count(
        self,
        server: _servers.ServerRecord,
        vms_by_zone: collections.abc.Mapping[str, frozenset[str]],
        max_senders: int,
    ) -> int:
        """Return how many of some VMs send to a cold server.

        Returns 0 if this VM is not among them.  A VM that look-ups do not
        name, because it stops or has just started, does not count for the
        others, so it sends nothing.
        """
        vms = vms_by_zone.get(
            server.entry.availability_zone
        ) or frozenset().union(*vms_by_zone.values())
        if self.own_vm not in vms:
            return 0
        if len(vms) <= max_senders:
            return len(vms)
        first_vms = sorted(
            vms,
            key=lambda vm: _routes.rendezvous_rank(vm, server.entry.server_id),
        )[:max_senders]
        return max_senders if self.own_vm in first_vms else 0


def overrun_probability(run_s: float, limit_s: float) -> float:
    """Return the probability that a run with this mean exceeds a limit."""
    excess = run_s * (1.0 + RUN_TIME_SPREAD) - limit_s
    spread_s = 2.0 * RUN_TIME_SPREAD * max(MIN_RUN_S, run_s)
    return min(1.0, max(0.0, excess / spread_s))
