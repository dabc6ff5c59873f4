"""Records of the backend servers, as seen by this VM.

A record combines the entry that a server published about itself with what
this VM measured: requests in progress, the load reported in answers, the
objects that the server handled recently, failures and slowdown.  Measurements
take precedence over what the server published.
"""

import collections
import collections.abc
import typing

from filbertstep.steering import _load_reports
from filbertstep.steering import _model

# Number of objects that a server is assumed to cache, with least recently used
# eviction.
MAX_CACHED_OBJECTS: typing.Final = 24

# Time after its last use from which an object no longer counts as cached.
CACHED_OBJECT_TTL_S: typing.Final = 60.0

# Half-life of the estimate of other VMs' requests, and the weight of one load
# report in it.
LOAD_REPORT_HALF_LIFE_S: typing.Final = 1.5
LOAD_REPORT_WEIGHT: typing.Final = 0.5

# Time for which a reported load may last.  Longer than a VM that stops accepts
# requests, in which it gets ever fewer reports.
MAX_REPORTED_LOAD_AGE_S: typing.Final = 4.0

# Weight of one load report in the moving average of a service.
USUAL_LOAD_WEIGHT: typing.Final = 0.1

# Weights of one answer in the moving averages of failures and of slowdown.
FAILURE_WEIGHT: typing.Final = 0.25
SLOWDOWN_WEIGHT: typing.Final = 0.3

# Half-life of the failure rate and the slowdown of a server.  A server that is
# avoided yields no new measurements, so the old ones must lose their weight.
HEALTH_HALF_LIFE_S: typing.Final = 3.0

# Half-life of the slowdown that a server reports of its machine, which changes
# many times per second.
MACHINE_SLOWDOWN_HALF_LIFE_S: typing.Final = 0.25

# Failure rate above which a server gets only occasional trial requests, since
# each failure pauses it again.
MAX_FAILURE_RATE: typing.Final = 0.35

# Time without requests after a failed connection attempt, or after any failure
# while the failure rate exceeds ``MAX_FAILURE_RATE``.  Consecutive failures
# double it up to the maximum.
INITIAL_PAUSE_S: typing.Final = 0.5
MAX_PAUSE_S: typing.Final = 4.0

# Longest pause that a server can ask for at a time.  Longer than an overload
# usually lasts, but one wrong value does not remove a server for hours.
MAX_REQUESTED_PAUSE_S: typing.Final = 300.0

# Removed servers whose announcements are kept, since the store may list them
# again.
MAX_REMOVED_SERVERS: typing.Final = 1024

# Changes of loads that are kept for the orders by load, 8 bytes each.
MAX_LOAD_CHANGES: typing.Final = 1024

# Limits of the slowdown.
MIN_SLOWDOWN: typing.Final = 0.5
MAX_SLOWDOWN: typing.Final = 20.0


class Generation:
    """Number of the current set of usable servers.

    It rises with each change of the set, of its order, and of the slots and
    zones of its servers.  What was derived from the set is valid only for the
    generation of which it was derived.
    """

    def __init__(self) -> None:
        self.number = 0

    def advance(self) -> None:
        """Invalidate what was derived from the set so far."""
        self.number += 1


class Announcements:
    """What an incarnation of a server said about itself in its answers.

    It remains valid whatever the store says: an entry may be older.
    ``generation`` is that of the table to which the server belongs.
    """

    def __init__(self, generation: Generation) -> None:
        self.generation = generation
        self._leaving = False
        # End of the pause that the server asked this VM for.
        self.requested_pause_until = float('-inf')

    @property
    def leaving(self) -> bool:
        """Whether the server announced that it will stop."""
        return self._leaving

    @leaving.setter
    def leaving(self, leaving: bool) -> None:
        if leaving != self._leaving:
            self._leaving = leaving
            self.generation.advance()

    def request_pause(self, pause_s: float, now: float) -> None:
        """Begin a pause, or extend one that would end earlier."""
        until = now + min(MAX_REQUESTED_PAUSE_S, pause_s)
        self.requested_pause_until = max(self.requested_pause_until, until)


class ObjectIndex:
    """Servers by the objects that they are assumed to cache.

    It holds at most ``MAX_CACHED_OBJECTS`` objects of each server.
    """

    def __init__(self) -> None:
        self.servers: dict[str, dict['ServerRecord', None]] = {}

    def add(self, object_key: str, server: 'ServerRecord') -> None:
        """Add a server of an object."""
        self.servers.setdefault(object_key, {})[server] = None

    def discard(self, object_key: str, server: 'ServerRecord') -> None:
        """Remove a server of an object, if it is known."""
        servers = self.servers.get(object_key)
        if servers is not None:
            servers.pop(server, None)
            if not servers:
                del self.servers[object_key]


class LoadChanges:
    """The servers whose estimated number of requests has changed.

    Decay is no change.

    ``servers`` is a sequence of up to ``MAX_LOAD_CHANGES`` servers, oldest
    first.  A reader remembers how far it has read, and starts again when
    ``restarts`` differs.
    """

    def __init__(self) -> None:
        self.servers: list['ServerRecord'] = []
        self.restarts = 0

    def add(self, server: 'ServerRecord') -> None:
        """Add a change."""
        if len(self.servers) >= MAX_LOAD_CHANGES:
            self.servers.clear()
            self.restarts += 1
        self.servers.append(server)


class UsableServers(typing.NamedTuple):
    """The servers of a service that may get requests, in table order.

    ``slots`` is the number of their slots by region.
    """

    servers: tuple['ServerRecord', ...]
    slots: dict[str, int]


class UsualLoad:
    """Moving average of the load that the servers of a service report.

    ``requests_per_slot`` counts running and waiting requests.
    """

    def __init__(self) -> None:
        self.requests_per_slot = 0.0
        self.updated_at = float('-inf')

    def record(self, requests_per_slot: float, now: float) -> None:
        """Update the average with one report."""
        if now - self.updated_at > MAX_REPORTED_LOAD_AGE_S:
            self.requests_per_slot = requests_per_slot
        else:
            self.requests_per_slot += USUAL_LOAD_WEIGHT * (
                requests_per_slot - self.requests_per_slot
            )
        self.updated_at = now

    def current(self, now: float) -> float:
        """Return the average, 0 without a recent report."""
        if now - self.updated_at > MAX_REPORTED_LOAD_AGE_S:
            return 0.0
        return self.requests_per_slot


class ServerRecord:
    """One backend server.  Times are on the clock of this VM.

    ``index`` finds the server by its cached objects as long as it is in the
    table.  ``load_changes`` is told of each change of the load.
    """

    def __init__(
        self,
        entry: _model.ServerEntry,
        region: str,
        announcements: Announcements,
        index: ObjectIndex,
        load_changes: LoadChanges,
        now: float,
    ) -> None:
        self.entry = entry
        self.region = region
        self.announcements = announcements
        self.index: ObjectIndex | None = index
        self.load_changes = load_changes
        # Reports of other VMs from before may be on a former process.
        self.known_since = now
        self.cold_until = now + entry.cold_left_s
        # Time of the last request sent to the server while it was cold.
        self.last_cold_sent_at = float('-inf')
        self.last_sent_at = float('-inf')
        self._in_progress = 0
        # Estimate of the requests of other VMs at the server, and its time.
        self.other_vm_requests = 0.0
        self.other_vm_requests_at = now
        # Other VMs' requests in the newest load report, and the time of it.
        self.reported_other_requests = 0
        self.load_reported_at = float('-inf')
        # Times of last use by object, least recently used first.
        self.cached_objects: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Moving averages of failures (0 to 1) and of the ratio of actual to
        # expected run times, and the time of their last update.
        self.failure_rate = 0.0
        self.slowdown = 1.0
        self.health_updated_at = now
        self.consecutive_failures = 0
        # Ratio of the last run that was measured and its time, and the
        # slowdown of the machine that the server last reported.
        self.last_run_ratio = 1.0
        self.last_run_at = float('-inf')
        self.machine_slowdown = 1.0
        self.machine_slowdown_at = now
        self.paused_until = float('-inf')
        # Requests that wait on this VM for a slot of this server.
        self.waiting_requests = 0

    @property
    def in_progress(self) -> int:
        """Requests of this VM at the server."""
        return self._in_progress

    @in_progress.setter
    def in_progress(self, in_progress: int) -> None:
        self._in_progress = in_progress
        self.load_changes.add(self)

    def estimated_requests(self, now: float) -> float:
        """Return the estimated number of requests at the server."""
        if not self.other_vm_requests:
            return float(self._in_progress)
        return self._in_progress + self.current_other_vm_requests(now)

    def current_other_vm_requests(self, now: float) -> float:
        """Return the estimate of other VMs' requests, which decays."""
        if not self.other_vm_requests:
            return 0.0
        age_s = now - self.other_vm_requests_at
        if age_s <= 0.0:
            return self.other_vm_requests
        return float(
            self.other_vm_requests * 0.5 ** (age_s / LOAD_REPORT_HALF_LIFE_S)
        )

    def lasting_requests(
        self, now: float, usual_requests_per_slot: float
    ) -> float:
        """Return the number of requests at the server if the load lasts.

        The estimate decays, so that a server that was full is tried again.
        Without a recent report, the load of the server is taken for the one
        that is usual in its service.
        """
        others = self.current_other_vm_requests(now)
        if now - self.load_reported_at <= MAX_REPORTED_LOAD_AGE_S:
            return self._in_progress + max(
                others, self.reported_other_requests
            )
        return max(
            self._in_progress + others,
            usual_requests_per_slot * max(1, self.entry.slots),
        )

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Update the estimate with the load reported in an answer.

        The load still includes the answered request, as does the number of
        this VM's requests in progress.
        """
        reported = max(0, running + waiting - self.in_progress)
        self.reported_other_requests = reported
        self.load_reported_at = now
        self.update_other_vm_requests(reported, LOAD_REPORT_WEIGHT, now)

    def record_shared_load(
        self, running: int, waiting: int, reported_at: float, now: float
    ) -> None:
        """Update the estimate with a load that another VM got in an answer.

        The answered request has left the server, and what the report says of
        others loses its weight with its age.
        """
        reported = max(0, running + waiting - 1 - self.in_progress)
        if reported_at >= self.load_reported_at:
            self.reported_other_requests = reported
            self.load_reported_at = reported_at
        age_s = max(0.0, now - reported_at)
        weight = LOAD_REPORT_WEIGHT * 0.5 ** (age_s / LOAD_REPORT_HALF_LIFE_S)
        self.update_other_vm_requests(reported, weight, now)

    def update_other_vm_requests(
        self, reported: int, weight: float, now: float
    ) -> None:
        """Move the estimate toward a reported number of requests."""
        current = self.current_other_vm_requests(now)
        self.other_vm_requests = current + weight * (reported - current)
        self.other_vm_requests_at = now
        self.load_changes.add(self)

    def record_machine(
        self, slowdown: float | None, reported_at: float
    ) -> None:
        """Record the slowdown of the machine that the server reported.

        None stands for a server that does not report it.  Reports of other
        VMs may be older than the last one, and are ignored then.
        """
        if slowdown is not None and reported_at >= self.machine_slowdown_at:
            self.machine_slowdown = min(
                _load_reports.MAX_MACHINE_SLOWDOWN,
                max(_load_reports.MIN_MACHINE_SLOWDOWN, slowdown),
            )
            self.machine_slowdown_at = reported_at

    def current_machine_slowdown(self, now: float) -> float:
        """Return the expected slowdown of the machine, which decays to 1."""
        if self.machine_slowdown == 1.0:
            return 1.0
        age_s = max(0.0, now - self.machine_slowdown_at)
        return 1.0 + (self.machine_slowdown - 1.0) * float(
            0.5 ** (age_s / MACHINE_SLOWDOWN_HALF_LIFE_S)
        )

    def has_cached(self, object_key: str, now: float) -> bool:
        """Return whether the server is assumed to have an object cached."""
        used_at = self.cached_objects.get(object_key)
        return used_at is not None and now - used_at < CACHED_OBJECT_TTL_S

    def record_object(self, object_key: str, now: float) -> None:
        """Record that the server handles, and thus caches, an object."""
        if self.index is not None and object_key not in self.cached_objects:
            self.index.add(object_key, self)
        self.cached_objects[object_key] = now
        self.cached_objects.move_to_end(object_key)
        while len(self.cached_objects) > MAX_CACHED_OBJECTS:
            evicted_key, _ = self.cached_objects.popitem(last=False)
            if self.index is not None:
                self.index.discard(evicted_key, self)

    def forget_objects(self) -> None:
        """Assume that the server has no object cached."""
        if self.index is not None:
            for object_key in self.cached_objects:
                self.index.discard(object_key, self)
        self.cached_objects.clear()

    def leave_table(self) -> None:
        """Find the server no more by its cached objects."""
        if self.index is not None:
            for object_key in self.cached_objects:
                self.index.discard(object_key, self)
            self.index = None

    def decay_health(self, now: float) -> None:
        """Decay the failure rate and the slowdown up to a time."""
        if now == self.health_updated_at:
            return
        if not self.failure_rate and self.slowdown == 1.0:
            self.health_updated_at = now
            return
        elapsed_s = max(0.0, now - self.health_updated_at)
        decay = 0.5 ** (elapsed_s / HEALTH_HALF_LIFE_S)
        self.failure_rate *= decay
        self.slowdown = 1.0 + (self.slowdown - 1.0) * decay
        self.health_updated_at = now

    def record_success(self, slowdown: float, now: float) -> None:
        """Record an answer that took ``slowdown`` times the expected time."""
        self.decay_health(now)
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate
        self.consecutive_failures = 0
        bounded = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
        self.slowdown += SLOWDOWN_WEIGHT * (bounded - self.slowdown)

    def record_shed(self, now: float) -> None:
        """Record a request that the server rejected without running it.

        The server responds and may accept other requests, so it is not
        paused.  The higher failure rate raises its cost estimate instead.
        """
        self.decay_health(now)
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)

    def record_failure(self, now: float, unreachable: bool) -> None:
        """Record a failed request; an unreachable server is paused at once."""
        self.decay_health(now)
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)
        self.consecutive_failures += 1
        if unreachable or self.failure_rate > MAX_FAILURE_RATE:
            pause_s = INITIAL_PAUSE_S * 2.0 ** min(
                8, self.consecutive_failures - 1
            )
            self.paused_until = now + min(MAX_PAUSE_S, pause_s)

    def record_overdue(self, slowdown: float, now: float) -> None:
        """Raise the slowdown of a server whose answer is overdue.

        ``slowdown`` is the elapsed time relative to the expected run time.
        """
        self.decay_health(now)
        bounded = min(MAX_SLOWDOWN, slowdown)
        if bounded > self.slowdown:
            self.slowdown += SLOWDOWN_WEIGHT * (bounded - self.slowdown)

    def is_cold(self, now: float) -> bool:
        """Return whether the server is in its slow start."""
        return now < self.cold_until

    def has_requested_pause(self, now: float) -> bool:
        """Return whether the server wants no requests from this VM now."""
        return now < self.announcements.requested_pause_until

    def is_leaving(self) -> bool:
        """Return whether the server announced anywhere that it will stop."""
        return self.entry.draining or self.announcements.leaving


class ServerTable:
    """Records of all backend servers, by id and by service.

    ``evacuated_zones`` holds the availability zones that must get no requests.
    """

    def __init__(self, region_by_zone: dict[str, str]) -> None:
        self.region_by_zone = region_by_zone
        self.by_id: dict[str, ServerRecord] = {}
        self.by_service: dict[str, dict[str, ServerRecord]] = {}
        self.evacuated_zones: set[str] = set()
        self.generation = Generation()
        self.objects = ObjectIndex()
        self.load_changes = LoadChanges()
        # Usable servers by service, and the generation of which they are.
        self.usable_by_service: dict[str, UsableServers] = {}
        self.usable_generation = self.generation.number
        # Announcements of removed servers by id and incarnation, oldest first.
        # Requests that are still in progress there may add to them.
        self.removed_announcements: collections.OrderedDict[
            tuple[str, int], Announcements
        ] = collections.OrderedDict()

    def put(self, entry: _model.ServerEntry, now: float) -> None:
        """Add or update a server.

        The measurements are discarded if its incarnation, service or address
        has changed; its announcements only with the incarnation.
        """
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
            server = self.by_id[entry.server_id] = ServerRecord(
                entry,
                region,
                announcements or Announcements(self.generation),
                self.objects,
                self.load_changes,
                now,
            )
            self.by_service.setdefault(entry.service, {})[entry.server_id] = (
                server
            )
            self.generation.advance()
            return
        if (
            server.entry.draining != entry.draining
            or server.entry.availability_zone != entry.availability_zone
            or server.entry.slots != entry.slots
        ):
            self.generation.advance()
        server.entry = entry
        server.cold_until = max(server.cold_until, now + entry.cold_left_s)

    def has_told_start(self, server_id: str) -> bool:
        """Return whether a server's entry has told when the server started."""
        server = self.by_id.get(server_id)
        if server is not None:
            return server.entry.incarnation != 0
        return any(
            known_id == server_id and incarnation != 0
            for known_id, incarnation in self.removed_announcements
        )

    def remove(self, server_id: str) -> None:
        """Remove a server."""
        server = self.by_id.pop(server_id, None)
        if server is None:
            return
        del self.by_service[server.entry.service][server_id]
        server.leave_table()
        self.generation.advance()
        key = (server_id, server.entry.incarnation)
        self.removed_announcements[key] = server.announcements
        if len(self.removed_announcements) > MAX_REMOVED_SERVERS:
            self.removed_announcements.popitem(last=False)

    def evacuate(self, availability_zone: str) -> None:
        """Send no more requests to an availability zone."""
        self.evacuated_zones.add(availability_zone)
        self.generation.advance()

    def end_evacuation(
        self,
        availability_zone: str,
        now: float,
        services: collections.abc.Mapping[str, _model.Service],
    ) -> None:
        """Use an evacuated zone again.

        Its servers are treated as cold, since they may have become so without
        requests.
        """
        if availability_zone not in self.evacuated_zones:
            return
        self.evacuated_zones.discard(availability_zone)
        self.generation.advance()
        for server in self.by_id.values():
            if server.entry.availability_zone != availability_zone:
                continue
            service = services.get(server.entry.service)
            if service is not None:
                server.cold_until = max(
                    server.cold_until, now + service.cold_start_s
                )
            server.forget_objects()

    def usable(self, service: str) -> UsableServers:
        """Return the servers of a service that may get requests.

        The result is kept until the next generation, one for each service
        that has a server.
        """
        if self.usable_generation != self.generation.number:
            self.usable_by_service.clear()
            self.usable_generation = self.generation.number
        usable = self.usable_by_service.get(service)
        if usable is None:
            members = self.by_service.get(service)
            if not members:
                return UsableServers((), {})
            servers = tuple(
                server
                for server in members.values()
                if not server.is_leaving()
                and server.entry.availability_zone not in self.evacuated_zones
            )
            slots: dict[str, int] = {}
            for server in servers:
                slots[server.region] = (
                    slots.get(server.region, 0) + server.entry.slots
                )
            usable = UsableServers(servers, slots)
            self.usable_by_service[service] = usable
        return usable

    def usable_servers(
        self, service: str, allowed_regions: frozenset[str] | None
    ) -> list[ServerRecord]:
        """Return the servers of a service that may get requests.

        ``allowed_regions`` None allows all regions, an empty set none.
        """
        servers = self.usable(service).servers
        if allowed_regions is None:
            return list(servers)
        return [
            server for server in servers if server.region in allowed_regions
        ]
