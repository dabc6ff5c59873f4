"""Placement without anything kept between decisions, as a reference.

Each decision iterates over all servers of a service, computes a rendezvous
hash for each, and sorts.  ``steering.Placement`` must decide the same.
"""

import collections.abc

from filbertstep import steering
from filbertstep.steering import _placement
from filbertstep.steering import _routes
from filbertstep.steering import _servers

Distance = _placement.Distance


class PlainRecord(steering.ServerRecord):
    """A record whose decays are always computed."""

    def estimated_requests(self, now: float) -> float:
        """Return the estimated number of requests at the server."""
        return self.in_progress + self.current_other_vm_requests(now)

    def current_other_vm_requests(self, now: float) -> float:
        """Return the estimate of other VMs' requests, which decays."""
        age_s = max(0.0, now - self.other_vm_requests_at)
        return float(
            self.other_vm_requests
            * 0.5 ** (age_s / _servers.LOAD_REPORT_HALF_LIFE_S)
        )

    def record_object(self, object_key: str, now: float) -> None:
        """Record that the server handles, and thus caches, an object."""
        self.cached_objects[object_key] = now
        self.cached_objects.move_to_end(object_key)
        while len(self.cached_objects) > _servers.MAX_CACHED_OBJECTS:
            self.cached_objects.popitem(last=False)

    def decay_health(self, now: float) -> None:
        """Decay the failure rate and the slowdown up to a time."""
        elapsed_s = max(0.0, now - self.health_updated_at)
        decay = 0.5 ** (elapsed_s / _servers.HEALTH_HALF_LIFE_S)
        self.failure_rate *= decay
        self.slowdown = 1.0 + (self.slowdown - 1.0) * decay
        self.health_updated_at = now


class PlainTable(steering.ServerTable):
    """A table that lists its usable servers anew each time."""

    def put(self, entry: steering.ServerEntry, now: float) -> None:
        """Add or update a server."""
        server = self.by_id.get(entry.server_id)
        if server is not None and (
            server.entry.incarnation != entry.incarnation
            or server.entry.service != entry.service
            or server.entry.address != entry.address
        ):
            self.remove(entry.server_id)
            server = None
        if server is None:
            region = self.region_by_zone.get(entry.availability_zone, '')
            announcements = self.removed_announcements.pop(
                (entry.server_id, entry.incarnation), None
            )
            server = self.by_id[entry.server_id] = PlainRecord(
                entry,
                region,
                announcements or _servers.Announcements(self.generation),
                self.objects,
                self.load_changes,
                now,
            )
            self.by_service.setdefault(entry.service, {})[entry.server_id] = (
                server
            )
            return
        server.entry = entry
        server.cold_until = max(server.cold_until, now + entry.cold_left_s)

    def remove(self, server_id: str) -> None:
        """Remove a server."""
        server = self.by_id.pop(server_id, None)
        if server is None:
            return
        del self.by_service[server.entry.service][server_id]
        key = (server_id, server.entry.incarnation)
        self.removed_announcements[key] = server.announcements
        if len(self.removed_announcements) > _servers.MAX_REMOVED_SERVERS:
            self.removed_announcements.popitem(last=False)

    def evacuate(self, availability_zone: str) -> None:
        """Send no more requests to an availability zone."""
        self.evacuated_zones.add(availability_zone)

    def end_evacuation(
        self,
        availability_zone: str,
        now: float,
        services: collections.abc.Mapping[str, steering.Service],
    ) -> None:
        """Use an evacuated zone again."""
        if availability_zone not in self.evacuated_zones:
            return
        self.evacuated_zones.discard(availability_zone)
        for server in self.by_id.values():
            if server.entry.availability_zone != availability_zone:
                continue
            service = services.get(server.entry.service)
            if service is not None:
                server.cold_until = max(
                    server.cold_until, now + service.cold_start_s
                )
            server.cached_objects.clear()

    def usable_servers(
        self, service: str, allowed_regions: frozenset[str] | None
    ) -> list[steering.ServerRecord]:
        """Return the servers of a service that may get requests."""
        return [
            server
            for server in self.by_service.get(service, {}).values()
            if not server.is_leaving()
            and server.entry.availability_zone not in self.evacuated_zones
            and (allowed_regions is None or server.region in allowed_regions)
        ]


class PlainSplitter(steering.RegionSplitter):
    """A splitter that counts the slots anew each time."""

    def slots_by_region(self, service: str) -> dict[str, int]:
        """Return the number of usable slots of a service by region."""
        slots: dict[str, int] = {}
        for server in self.table.usable_servers(service, None):
            slots[server.region] = (
                slots.get(server.region, 0) + server.entry.slots
            )
        return slots


class PlainPlacement(steering.Placement):
    """A placement that examines all servers for each decision."""

    def eligible_servers(
        self, query: steering.PlacementQuery, now: float
    ) -> list[tuple[int, steering.ServerRecord]]:
        """Return the servers to compare, each with its rank in its group."""
        shared = self.shares_copy(query, now)
        groups: dict[Distance, list[steering.ServerRecord]] = {}
        for server in self.matching_servers(query):
            groups.setdefault(self.ranking_group(server, shared), []).append(
                server
            )
        chosen: list[tuple[int, steering.ServerRecord]] = []
        for servers in groups.values():
            servers.sort(
                key=lambda server: self.ranking_key(server, query, now)
            )
            available = [
                server
                for server in servers
                if now >= server.paused_until
                and not server.has_requested_pause(now)
                and self.cold_rate_allows(server, now)
            ]
            chosen += [
                (rank, server)
                for rank, server in enumerate(available)
                if rank < _placement.RANKED_SERVERS_PER_GROUP
                or (
                    query.affinity_key
                    and server.has_cached(query.affinity_key, now)
                )
            ]
        return chosen

    def matching_servers(
        self, query: steering.PlacementQuery
    ) -> list[steering.ServerRecord]:
        """Return the servers that may run a request, now or later."""
        return [
            server
            for server in self.table.usable_servers(
                query.service, query.allowed_regions
            )
            if server.entry.server_id not in query.tried_servers
            and (query.region is None or server.region == query.region)
        ]

    def ranking_key(
        self,
        server: steering.ServerRecord,
        query: steering.PlacementQuery,
        now: float,
    ) -> float:
        """Return what sorts a server within its group, the first lowest."""
        if not query.affinity_key:
            return server.estimated_requests(now) / max(1, server.entry.slots)
        return -_routes.rendezvous_rank(
            server.entry.server_id, query.affinity_key
        )

    def best_candidate(
        self,
        query: steering.PlacementQuery,
        now: float,
        max_wait_s: float = float('inf'),
    ) -> steering.Candidate | None:
        """Return the server with the lowest estimate, if there is any."""
        best: steering.Candidate | None = None
        best_cost = (True, float('inf'))
        eligible = self.eligible_servers(query, now)
        own_copy_due_s = self.plain_own_copy_due_s(
            query, [server for _, server in eligible], now
        )
        for rank, server in eligible:
            candidate = self.plain_estimate(server, query, rank == 0, now)
            if self.distance(server) is Distance.SAME_REGION:
                candidate = candidate._replace(
                    estimate_s=candidate.estimate_s + own_copy_due_s
                )
            if query.affinity_key and not candidate.cached:
                candidate = candidate._replace(
                    estimate_s=candidate.estimate_s
                    + rank * _placement.RANK_PENALTY_S
                )
            if (
                rank == 0
                and candidate.can_send_now
                and self.is_unused(server, now)
            ):
                return candidate
            cost = (candidate.slot_wait_s > max_wait_s, candidate.estimate_s)
            if best is None or cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def plain_own_copy_due_s(
        self,
        query: steering.PlacementQuery,
        servers: list[steering.ServerRecord],
        now: float,
    ) -> float:
        """Return what another crossing costs beyond its bytes, in seconds."""
        if (
            not query.affinity_key
            or self.shares_copy(query, now)
            or any(
                server.has_cached(query.affinity_key, now)
                for server in servers
                if self.distance(server) is Distance.SAME_ZONE
            )
        ):
            return 0.0
        return self.crossing_costs(query.route).first_run_s

    def plain_estimate(
        self,
        server: steering.ServerRecord,
        query: steering.PlacementQuery,
        ranks_first: bool,
        now: float,
    ) -> steering.Candidate:
        """Estimate the time to the answer of one server."""
        run_times = self.route_run_times(query.route)
        distance = self.distance(server)
        server.decay_health(now)
        cached = bool(query.affinity_key) and server.has_cached(
            query.affinity_key, now
        )
        cached_probability = 1.0 if cached else 0.0
        if ranks_first and query.affinity_key and not cached:
            cached_probability = _placement.TOP_RANK_CACHED_PROBABILITY
        run_s = run_times.expected_run_s(cached_probability) * server.slowdown
        slots = max(1, server.entry.slots)
        max_requests = slots
        if distance is Distance.OTHER_REGION:
            max_requests += _placement.OTHER_REGION_EXTRA_REQUESTS
        at_server = server.estimated_requests(now)
        requests_ahead = at_server + server.waiting_requests
        slot_wait_s = 0.0
        if requests_ahead > slots - 0.5:
            slot_wait_s = (
                (requests_ahead - slots + 1)
                * run_times.cached_s
                * server.slowdown
                / slots
            )
        risk_s = (
            server.failure_rate
            * _placement.FAILURE_COST_RUNS
            * run_times.uncached_s
        )
        return steering.Candidate(
            server,
            self.network_cost_s(distance, run_times.exchange_bytes)
            + slot_wait_s
            + run_s
            + risk_s,
            slot_wait_s,
            run_s,
            cached,
            requests_ahead <= max_requests - 0.5,
        )
