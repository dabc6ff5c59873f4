"""What this VM knows of each backend server.

A row joins the server's own entry with this VM's experience: requests in
progress, the load that answers reported, the objects that the server handled
recently, and failures.  Experience outweighs what a server says of itself.
"""

import collections
import collections.abc
import typing

from filbertstep.steering import _model

# Objects that a server is assumed to have at hand, least recently used out.
MAX_CACHED_OBJECTS: typing.Final = 24

# Time in seconds after which an object no longer counts as at hand.
CACHED_OBJECT_TTL_S: typing.Final = 60.0

# Time in seconds in which the estimate of other VMs' requests halves without
# a report, and the weight of one report in it.
LOAD_REPORT_HALF_LIFE_S: typing.Final = 1.5
LOAD_REPORT_WEIGHT: typing.Final = 0.5

# Weight of one answer in the moving averages of failures and of slowness.
FAILURE_WEIGHT: typing.Final = 0.25
SLOWDOWN_WEIGHT: typing.Final = 0.3

# Time in seconds in which bad experience with a server halves.  A server that
# is avoided yields no new experience, so the old must lose its weight.
HEALTH_HALF_LIFE_S: typing.Final = 3.0

# Share of failures above which a server gets trial requests only.
MAX_FAILURE_RATE: typing.Final = 0.35

# First and longest time in seconds without requests after a failure to
# connect or a failing share; doubled by each failure in a row.
INITIAL_PAUSE_S: typing.Final = 0.5
MAX_PAUSE_S: typing.Final = 4.0

# Bounds on the slowness factor.
MIN_SLOWDOWN: typing.Final = 0.5
MAX_SLOWDOWN: typing.Final = 20.0


class ServerRecord:
    """One backend server; times are those of this VM's clock."""

    def __init__(
        self, entry: _model.ServerEntry, region: str, now: float
    ) -> None:
        self.entry = entry
        self.region = region
        self.cold_until = now + entry.cold_left_s
        # Time of the last request to the server while it was cold.
        self.last_cold_sent_at = float('-inf')
        self.last_sent_at = float('-inf')
        self.in_progress = 0
        # Estimate of other VMs' requests, and when it was made.
        self.other_vm_requests = 0.0
        self.other_vm_requests_at = now
        self.cached_objects: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Moving averages of failures (0 to 1) and of run times relative to
        # what was expected, and when they were updated.
        self.failure_rate = 0.0
        self.slowdown = 1.0
        self.health_updated_at = now
        self.consecutive_failures = 0
        self.paused_until = float('-inf')
        # Requests that wait on this VM for this server.
        self.waiting_requests = 0

    def estimated_requests(self, now: float) -> float:
        """Return the requests that are estimated to be at the server."""
        return self.in_progress + self.current_other_vm_requests(now)

    def current_other_vm_requests(self, now: float) -> float:
        """Return the estimate of other VMs' requests, which ages."""
        age = max(0.0, now - self.other_vm_requests_at)
        return float(
            self.other_vm_requests * 0.5 ** (age / LOAD_REPORT_HALF_LIFE_S)
        )

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Take the load that came with an answer to this VM.

        The answered request itself is still in it, as it is in this VM's
        requests in progress.
        """
        others = max(0, running + waiting - self.in_progress)
        known = self.current_other_vm_requests(now)
        self.other_vm_requests = known + LOAD_REPORT_WEIGHT * (others - known)
        self.other_vm_requests_at = now

    def has_cached(self, name: str, now: float) -> bool:
        """Tell whether the server handled an object recently."""
        used = self.cached_objects.get(name)
        return used is not None and now - used < CACHED_OBJECT_TTL_S

    def record_object(self, name: str, now: float) -> None:
        """Remember that the server handles an object."""
        self.cached_objects[name] = now
        self.cached_objects.move_to_end(name)
        while len(self.cached_objects) > MAX_CACHED_OBJECTS:
            self.cached_objects.popitem(last=False)

    def decay_health(self, now: float) -> None:
        """Bring failures and slowness up to a time."""
        age = max(0.0, now - self.health_updated_at)
        kept = 0.5 ** (age / HEALTH_HALF_LIFE_S)
        self.failure_rate *= kept
        self.slowdown = 1.0 + (self.slowdown - 1.0) * kept
        self.health_updated_at = now

    def record_success(self, slowness: float, now: float) -> None:
        """Count an answer that took ``slowness`` times what was expected."""
        self.decay_health(now)
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate
        self.consecutive_failures = 0
        bounded = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowness))
        self.slowdown += SLOWDOWN_WEIGHT * (bounded - self.slowdown)

    def record_shed(self, now: float) -> None:
        """Count a request that the server turned away without running it.

        The server answers and others may fare better there, so it does not
        pause; its estimate grows by the risk of another try.
        """
        self.decay_health(now)
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)

    def record_failure(self, now: float, unreachable: bool) -> None:
        """Count a failed request; an unreachable server pauses at once."""
        self.decay_health(now)
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)
        self.consecutive_failures += 1
        if unreachable or self.failure_rate > MAX_FAILURE_RATE:
            pause = INITIAL_PAUSE_S * 2.0 ** min(
                8, self.consecutive_failures - 1
            )
            self.paused_until = now + min(MAX_PAUSE_S, pause)

    def record_overdue(self, slowness: float, now: float) -> None:
        """Raise the slowness of a server that has not answered yet."""
        self.decay_health(now)
        bounded = min(MAX_SLOWDOWN, slowness)
        if bounded > self.slowdown:
            self.slowdown += SLOWDOWN_WEIGHT * (bounded - self.slowdown)

    def is_cold(self, now: float) -> bool:
        """Tell whether the server still warms up after its start."""
        return now < self.cold_until


class ServerTable:
    """Backend servers by id, and by service.

    ``evacuated`` holds the availability zones that must get no request.
    """

    def __init__(self, regions: dict[str, str]) -> None:
        self.region_by_zone = regions
        self.by_id: dict[str, ServerRecord] = {}
        self.by_service: dict[str, dict[str, ServerRecord]] = {}
        self.evacuated_zones: set[str] = set()

    def put(self, entry: _model.ServerEntry, now: float) -> None:
        """Take a server's entry; a new incarnation knows nothing."""
        row = self.by_id.get(entry.server_id)
        if row is not None and (
            row.entry.incarnation != entry.incarnation
            or row.entry.service != entry.service
            or row.entry.address != entry.address
        ):
            self.remove(entry.server_id)
            row = None
        if row is None:
            region = self.region_by_zone.get(entry.availability_zone, '')
            row = self.by_id[entry.server_id] = ServerRecord(
                entry, region, now
            )
            self.by_service.setdefault(entry.service, {})[entry.server_id] = (
                row
            )
            return
        row.entry = entry
        row.cold_until = max(row.cold_until, now + entry.cold_left_s)

    def remove(self, server_id: str) -> None:
        """Forget a server."""
        row = self.by_id.pop(server_id, None)
        if row is not None:
            del self.by_service[row.entry.service][server_id]

    def evacuate(self, availability_zone: str) -> None:
        """Send nothing more to an availability zone."""
        self.evacuated_zones.add(availability_zone)

    def end_evacuation(
        self,
        availability_zone: str,
        now: float,
        services: collections.abc.Mapping[str, _model.Service],
    ) -> None:
        """Use an evacuated zone again; its servers may have become cold."""
        if availability_zone not in self.evacuated_zones:
            return
        self.evacuated_zones.discard(availability_zone)
        for row in self.by_id.values():
            if row.entry.availability_zone != availability_zone:
                continue
            service = services.get(row.entry.service)
            if service is not None:
                row.cold_until = max(
                    row.cold_until, now + service.cold_start_s
                )
            row.cached_objects.clear()

    def usable_servers(
        self, service: str, homes: frozenset[str] | None
    ) -> list[ServerRecord]:
        """Return servers that may get requests, within the home regions."""
        return [
            row
            for row in self.by_service.get(service, {}).values()
            if not row.entry.draining
            and row.entry.availability_zone not in self.evacuated_zones
            and (homes is None or row.region in homes)
        ]
