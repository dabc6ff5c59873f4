"""Health of backend servers from probes and from results of requests.

Health endpoints lag and may be wrong.  The state machine of a server therefore
gives results of this VM's own requests (passive health checks, also called
observations) the same weight as probes.  Observations alone eject at most half
of the servers of a service in a region, because a fault of this VM would look
the same as faults of all servers.
"""

import enum
import math
import typing

import logbook

from filbertstep import config
from filbertstep import logs

LOGGER = logbook.Logger('health')

# Seconds until evidence expires; ten probe intervals.
EVIDENCE_LIFETIME_S: typing.Final = 10.0

# Seconds for which a server that announced draining stays in that state even
# if its health endpoint, which may lag, reports it as up.
DRAINING_HOLD_S: typing.Final = 5.0

# Duration of the first ejection that is based on observations alone.
BASE_EJECTION_S: typing.Final = 5.0

# Limit of the duration, which doubles with each further ejection.
MAX_EJECTION_S: typing.Final = 60.0

# An ejection this long after the end of the last one counts as the first.
EJECTION_RESET_S: typing.Final = 120.0

# Weight of one attempt in the moving average of failures.
FAILURE_RATE_EWMA_WEIGHT: typing.Final = 0.3

# Weight of one response in the moving average of the latency.
LATENCY_EWMA_WEIGHT: typing.Final = 0.2

# Seconds in which the failure rate halves without attempts, so that a server
# that requests avoid because of failures is tried again.
FAILURE_RATE_HALF_LIFE_S: typing.Final = 5.0


class HealthState(enum.StrEnum):
    """Health of a server; those down or draining get no new requests."""

    UNKNOWN = 'unknown'
    UP = 'up'
    SUSPECT = 'suspect'
    DOWN = 'down'
    DRAINING = 'draining'


class HealthEvent(enum.StrEnum):
    """Probe result, result of a request, or expiry that affects a state.

    ``SAID_DRAINING`` is an ``X-Draining`` header in a response.
    """

    PROBE_UP = 'probe_up'
    PROBE_DRAINING = 'probe_draining'
    PROBE_FAILED = 'probe_failed'
    ANSWERED = 'answered'
    SHED = 'shed'
    TIMED_OUT = 'timed_out'
    CONNECT_FAILED = 'connect_failed'
    BROKEN = 'broken'
    SAID_DRAINING = 'said_draining'
    EJECTION_ENDED = 'ejection_ended'
    AGED = 'aged'


USABLE_STATES: typing.Final = frozenset(
    {HealthState.UNKNOWN, HealthState.UP, HealthState.SUSPECT}
)

# Observed failures.  Only ejections for these are limited to half of the
# servers.
PASSIVE_FAILURE_EVENTS: typing.Final = frozenset(
    {HealthEvent.CONNECT_FAILED, HealthEvent.BROKEN}
)

FAILURE_EVENTS: typing.Final = frozenset(
    {*PASSIVE_FAILURE_EVENTS, HealthEvent.SHED, HealthEvent.TIMED_OUT}
)

# Next states by present state, in the order of ``EVENT_ORDER``.  The evidence
# of a draining server never expires, because the server must get no new
# requests while probes are lost.
EVENT_ORDER: typing.Final = tuple(HealthEvent)
TRANSITION_ROWS: typing.Final[dict[HealthState, str]] = {
    # up, drain, fail, answered, shed, late, connect, broken, said, ended, aged
    HealthState.UNKNOWN: 'up draining suspect up unknown unknown '
    'suspect suspect draining unknown unknown',
    HealthState.UP: 'up draining suspect up up up '
    'suspect suspect draining up unknown',
    HealthState.SUSPECT: 'up draining down up suspect suspect '
    'down down draining suspect unknown',
    HealthState.DOWN: 'up draining down suspect down down '
    'down down draining suspect unknown',
    HealthState.DRAINING: 'up draining down draining draining draining '
    'down draining draining draining draining',
}
TRANSITIONS: typing.Final[
    dict[tuple[HealthState, HealthEvent], HealthState]
] = {
    (state, event): HealthState(next_state)
    for state, row in TRANSITION_ROWS.items()
    for event, next_state in zip(EVENT_ORDER, row.split(), strict=True)
}

# States that expire.  Servers of other regions are not probed and stay in the
# unknown state; skipping them avoids an event for each of them in each tick.
EXPIRING_STATES: typing.Final = frozenset(
    state
    for state in HealthState
    if TRANSITIONS[state, HealthEvent.AGED] is not state
)


class HealthRow:
    """State of one server and what was observed about it.

    Times are seconds of the VM's clock.  ``slow_start_since`` is the beginning
    of the slow start, None if there is none.  ``ejected_until`` is set while
    the server is down because of observations alone.  ``latency_s`` and
    ``failure_rate`` are moving averages.
    """

    def __init__(self, server: config.BackendServer) -> None:
        self.server = server
        self.state = HealthState.UNKNOWN
        self.last_evidence_at = -math.inf
        self.draining_until = -math.inf
        self.slow_start_since: float | None = None
        self.ejected_until: float | None = None
        self.recent_ejections = 0
        self.ejection_ended_at = -math.inf
        self.load: float | None = None
        self.load_at = -math.inf
        self.latency_s: float | None = None
        self.latency_at = -math.inf
        self.failure_rate = 0.0
        self.failure_rate_at = -math.inf
        self.last_used_at = -math.inf
        self.next_probe_at = -math.inf


class HealthTable:
    """Health of all backend servers; ``rows`` is keyed by name."""

    def __init__(self) -> None:
        self.rows: dict[str, HealthRow] = {}
        self.synced = False
        # Incremented when the results of ``is_usable`` may have changed.
        self.version = 0

    def sync(
        self, servers: dict[str, config.BackendServer], now: float
    ) -> None:
        """Follow the configuration: add new servers and drop removed ones.

        A new server starts slowly, except those of the first configuration:
        in that case the VM is new and not the servers.
        """
        self.version += 1
        for name in [name for name in self.rows if name not in servers]:
            del self.rows[name]
        for name, server in servers.items():
            row = self.rows.get(name)
            if row is None or row.server.address != server.address:
                row = self.rows[name] = HealthRow(server)
                row.slow_start_since = now if self.synced else None
            row.server = server
        # An empty configuration does not count as the first one.
        self.synced = self.synced or bool(servers)

    def is_usable(self, name: str) -> bool:
        """Return whether a server may get new requests."""
        row = self.rows.get(name)
        return row is None or row.state in USABLE_STATES

    def is_suspect(self, name: str) -> bool:
        """Return whether a server should be used only if there is no other."""
        row = self.rows.get(name)
        return row is not None and row.state is HealthState.SUSPECT

    def allowed_slots(self, server: config.BackendServer, now: float) -> int:
        """Return the number of slots of a server that slow start allows now.

        This many slots with the lowest numbers may be used.  Slots are
        numbered across all VMs, so that all VMs that see a server return
        allow the same slots.
        """
        row = self.rows.get(server.name)
        if row is None:
            return 1 if self.synced else server.slots
        if row.slow_start_since is None:
            return server.slots
        elapsed = max(0.0, now - row.slow_start_since)
        if elapsed >= server.warmup_s:
            row.slow_start_since = None
            return server.slots
        return 1 + math.floor((server.slots - 1) * elapsed / server.warmup_s)

    def reported_load(self, name: str, now: float) -> float | None:
        """Return the last reported load (0 to 1), None if it has expired."""
        row = self.rows.get(name)
        if row is None or now - row.load_at > EVIDENCE_LIFETIME_S:
            return None
        return row.load

    def recent_latency_s(self, name: str, now: float) -> float | None:
        """Return the moving average of the latency, None if it has expired."""
        row = self.rows.get(name)
        if row is None or now - row.latency_at > EVIDENCE_LIFETIME_S:
            return None
        return row.latency_s

    def failure_rate(self, name: str, now: float) -> float:
        """Return the recent share (0 to 1) of failed or shed attempts."""
        row = self.rows.get(name)
        if row is None or row.failure_rate == 0.0:
            return 0.0
        age = max(0.0, now - row.failure_rate_at)
        return row.failure_rate * math.exp2(-age / FAILURE_RATE_HALF_LIFE_S)

    def record_load(self, name: str, load: float | None, now: float) -> None:
        """Record the load that a server reported."""
        row = self.rows.get(name)
        if row is not None and load is not None:
            row.load = load
            row.load_at = now

    def record_use(self, name: str, now: float) -> None:
        """Record that this VM sends to a server, so that it is probed."""
        row = self.rows.get(name)
        if row is not None:
            row.last_used_at = now

    def observe(
        self,
        name: str,
        event: HealthEvent,
        now: float,
        latency_s: float | None = None,
    ) -> None:
        """Apply an event to a server; unknown servers are ignored."""
        row = self.rows.get(name)
        if row is None:
            return
        self.update_averages(row, event, now, latency_s)
        if (
            event is HealthEvent.SAID_DRAINING
            or event is HealthEvent.PROBE_DRAINING
        ):
            row.draining_until = now + DRAINING_HOLD_S
        if event not in (HealthEvent.AGED, HealthEvent.EJECTION_ENDED):
            row.last_evidence_at = now
        next_state = self.next_state(row, event, now)
        if next_state is not row.state:
            self.change_state(row, next_state, event, now)
        elif (
            event is HealthEvent.PROBE_FAILED and row.state is HealthState.DOWN
        ):
            # The probe confirms the state, which thus no longer depends on
            # observations alone.
            row.ejected_until = None

    def update_averages(
        self,
        row: HealthRow,
        event: HealthEvent,
        now: float,
        latency_s: float | None,
    ) -> None:
        """Update the moving averages that the choice policy uses."""
        if event in FAILURE_EVENTS or event is HealthEvent.ANSWERED:
            sample = 1.0 if event in FAILURE_EVENTS else 0.0
            old = self.failure_rate(row.server.name, now)
            row.failure_rate = old + FAILURE_RATE_EWMA_WEIGHT * (sample - old)
            row.failure_rate_at = now
        if event is HealthEvent.ANSWERED and latency_s is not None:
            known = self.recent_latency_s(row.server.name, now)
            row.latency_s = (
                latency_s
                if known is None
                else known + LATENCY_EWMA_WEIGHT * (latency_s - known)
            )
            row.latency_at = now

    def next_state(
        self, row: HealthRow, event: HealthEvent, now: float
    ) -> HealthState:
        """Return the next state: exceptions first, then the table."""
        next_state = TRANSITIONS[row.state, event]
        if row.state is HealthState.DRAINING and event is HealthEvent.PROBE_UP:
            # The health endpoint may lag behind the X-Draining header.
            still_draining = now < row.draining_until
            return HealthState.DRAINING if still_draining else next_state
        ejected = row.ejected_until is not None
        if ejected and event in (
            HealthEvent.PROBE_UP,
            HealthEvent.ANSWERED,
            HealthEvent.AGED,
        ):
            # Requests have failed, so a successful probe does not end the
            # ejection early.
            return HealthState.DOWN
        if next_state is HealthState.DOWN and event in PASSIVE_FAILURE_EVENTS:
            confirmed = row.state in (HealthState.DOWN, HealthState.DRAINING)
            if not confirmed and not self.ejection_allowed(row):
                return row.state
        return next_state

    def ejection_allowed(self, row: HealthRow) -> bool:
        """Return whether one more server of the group may be ejected."""
        group = [
            other
            for other in self.rows.values()
            if other.server.service == row.server.service
            and other.server.region == row.server.region
        ]
        ejected = sum(other.ejected_until is not None for other in group)
        return 2 * (ejected + 1) <= len(group)

    def change_state(
        self,
        row: HealthRow,
        state: HealthState,
        event: HealthEvent,
        now: float,
    ) -> None:
        """Enter a new state, starting or ending ejection and slow start."""
        logs.state_change(
            LOGGER,
            'backend_server_health',
            server=row.server.name,
            former=row.state.value,
            state=state.value,
            cause=event.value,
        )
        if row.state not in USABLE_STATES and state in USABLE_STATES:
            row.slow_start_since = now
        if row.ejected_until is not None and state is not HealthState.DOWN:
            row.ejected_until = None
            row.ejection_ended_at = now
        if state is HealthState.DOWN and row.state in USABLE_STATES:
            if event in PASSIVE_FAILURE_EVENTS:
                self.eject(row, now)
        row.state = state
        self.version += 1

    def eject(self, row: HealthRow, now: float) -> None:
        """Take a server out of use for a time because of observations."""
        if now - row.ejection_ended_at > EJECTION_RESET_S:
            row.recent_ejections = 0
        duration_s = min(
            MAX_EJECTION_S, BASE_EJECTION_S * 2**row.recent_ejections
        )
        row.recent_ejections = min(row.recent_ejections + 1, 10)
        row.ejected_until = now + duration_s

    def expire_evidence(self, now: float) -> None:
        """End due ejections and expire old evidence."""
        for name, row in self.rows.items():
            if row.ejected_until is not None:
                if now >= row.ejected_until:
                    self.observe(name, HealthEvent.EJECTION_ENDED, now)
            elif (
                row.state in EXPIRING_STATES
                and now - row.last_evidence_at > EVIDENCE_LIFETIME_S
            ):
                self.observe(name, HealthEvent.AGED, now)
