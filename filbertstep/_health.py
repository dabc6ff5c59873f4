"""Health of backend servers: probe results and passive observations.

Health and load endpoints lag and mislead, so a server's state follows a table
that treats what this VM's own requests met as evidence of equal rank.  What
this VM alone observed takes at most half of a region's servers of a service
out of use, because a fault of the VM's own looks the same.
"""

import enum
import math
import typing

import logbook

from filbertstep import config
from filbertstep import logs

LOGGER = logbook.Logger('health')

# Time in seconds after which a result says nothing any more; ten probes.
EVIDENCE_S: typing.Final = 10.0

# Time in seconds for which a server that says it is draining stays so
# although its health endpoint, which may lag, reports it as up.
DRAINING_HOLD_S: typing.Final = 5.0

# First and longest time in seconds of an ejection on observation alone; each
# one that follows within ``EJECTION_MEMORY_S`` doubles it.
EJECTION_S: typing.Final = 5.0
EJECTION_MAX_S: typing.Final = 60.0
EJECTION_MEMORY_S: typing.Final = 120.0

# Weight of one attempt in the trouble and latency averages.
TROUBLE_WEIGHT: typing.Final = 0.3
LATENCY_WEIGHT: typing.Final = 0.2

# Time in seconds in which trouble halves without any attempt, so that a
# server that lost its weight is tried again.
TROUBLE_HALF_LIFE_S: typing.Final = 5.0


class HealthState(enum.StrEnum):
    """Health of a server; all but down and draining may get requests."""

    UNKNOWN = 'unknown'
    UP = 'up'
    SUSPECT = 'suspect'
    DOWN = 'down'
    DRAINING = 'draining'


class HealthEvent(enum.StrEnum):
    """What was learned about a server."""

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


USABLE: typing.Final = frozenset(
    {HealthState.UNKNOWN, HealthState.UP, HealthState.SUSPECT}
)

# Events that this VM's own requests bring; only they are bounded.
OBSERVED_BAD: typing.Final = frozenset(
    {HealthEvent.CONNECT_FAILED, HealthEvent.BROKEN}
)

TROUBLE: typing.Final = frozenset(
    {*OBSERVED_BAD, HealthEvent.SHED, HealthEvent.TIMED_OUT}
)

# Next state by state, in the order of ``EVENT_ORDER``.  A draining server
# never ages to unknown: while probes are lost it must get no new work.
EVENT_ORDER: typing.Final = tuple(HealthEvent)
ROWS: typing.Final[dict[HealthState, str]] = {
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
    (state, event): HealthState(following)
    for state, row in ROWS.items()
    for event, following in zip(EVENT_ORDER, row.split(), strict=True)
}

# Servers of other regions are not probed and have no evidence; without this
# each tick would age each of them again.
AGEING: typing.Final = frozenset(
    state
    for state in HealthState
    if TRANSITIONS[state, HealthEvent.AGED] is not state
)


class HealthRow:
    """One server: its state, slow start and what was observed of it.

    Times are seconds of the VM's clock.  ``ramp_since`` is the start of the
    slow start, None when there is none.  ``ejected_until`` is set while the
    server is down on observation alone.
    """

    def __init__(self, server: config.BackendServer) -> None:
        self.server = server
        self.state = HealthState.UNKNOWN
        self.evidence_at = -math.inf
        self.draining_until = -math.inf
        self.ramp_since: float | None = None
        self.ejected_until: float | None = None
        self.ejections = 0
        self.ejection_ended_at = -math.inf
        self.load: float | None = None
        self.load_at = -math.inf
        self.latency_s: float | None = None
        self.latency_at = -math.inf
        self.trouble = 0.0
        self.trouble_at = -math.inf
        self.used_at = -math.inf
        self.next_probe = -math.inf


class HealthTable:
    """Health of the backend servers by name."""

    def __init__(self) -> None:
        self.rows: dict[str, HealthRow] = {}
        self.synced = False
        # Rises with each change of what ``usable`` returns.
        self.version = 0

    def sync(
        self, servers: dict[str, config.BackendServer], now: float
    ) -> None:
        """Add new servers and drop those that are gone.

        A server that appears later starts slowly.  The first set does not: it
        is this VM that is new then, not the servers.
        """
        self.version += 1
        for name in [name for name in self.rows if name not in servers]:
            del self.rows[name]
        for name, server in servers.items():
            row = self.rows.get(name)
            if row is None or row.server.address != server.address:
                row = self.rows[name] = HealthRow(server)
                row.ramp_since = now if self.synced else None
            row.server = server
        # Before the first configuration there is no server to be warm.
        self.synced = self.synced or bool(servers)

    def usable(self, name: str) -> bool:
        """Tell whether a server may get new requests."""
        row = self.rows.get(name)
        return row is None or row.state in USABLE

    def suspect(self, name: str) -> bool:
        """Tell whether a server should be used only for want of another."""
        row = self.rows.get(name)
        return row is not None and row.state is HealthState.SUSPECT

    def allowed(self, server: config.BackendServer, now: float) -> int:
        """Return how many of all its slots a server may have in use.

        Slots are numbered over all VMs, so that VMs which see the same return
        of a server allow the same slots.
        """
        row = self.rows.get(server.name)
        if row is None:
            return 1 if self.synced else server.slots
        if row.ramp_since is None:
            return server.slots
        elapsed = max(0.0, now - row.ramp_since)
        if elapsed >= server.warmup_s:
            row.ramp_since = None
            return server.slots
        return 1 + math.floor((server.slots - 1) * elapsed / server.warmup_s)

    def load(self, name: str, now: float) -> float | None:
        """Return a server's report unless it is too old."""
        row = self.rows.get(name)
        if row is None or now - row.load_at > EVIDENCE_S:
            return None
        return row.load

    def latency(self, name: str, now: float) -> float | None:
        """Return the recent latency in seconds, None when unknown."""
        row = self.rows.get(name)
        if row is None or now - row.latency_at > EVIDENCE_S:
            return None
        return row.latency_s

    def trouble(self, name: str, now: float) -> float:
        """Return the recent share of attempts that were shed or failed."""
        row = self.rows.get(name)
        if row is None or row.trouble == 0.0:
            return 0.0
        age = max(0.0, now - row.trouble_at)
        return row.trouble * math.exp2(-age / TROUBLE_HALF_LIFE_S)

    def report_load(self, name: str, load: float | None, now: float) -> None:
        """Keep a load report."""
        row = self.rows.get(name)
        if row is not None and load is not None:
            row.load = load
            row.load_at = now

    def note_use(self, name: str, now: float) -> None:
        """Note that this VM sends to a server, so that it is probed."""
        row = self.rows.get(name)
        if row is not None:
            row.used_at = now

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
        self.average(row, event, now, latency_s)
        if (
            event is HealthEvent.SAID_DRAINING
            or event is HealthEvent.PROBE_DRAINING
        ):
            row.draining_until = now + DRAINING_HOLD_S
        if event not in (HealthEvent.AGED, HealthEvent.EJECTION_ENDED):
            row.evidence_at = now
        following = self.following(row, event, now)
        if following is not row.state:
            self.enter(row, following, event, now)
        elif (
            event is HealthEvent.PROBE_FAILED and row.state is HealthState.DOWN
        ):
            # The probe confirms it: no longer on observation alone.
            row.ejected_until = None

    def average(
        self,
        row: HealthRow,
        event: HealthEvent,
        now: float,
        latency_s: float | None,
    ) -> None:
        """Update the averages that the choice of a server uses."""
        if event in TROUBLE or event is HealthEvent.ANSWERED:
            sample = 1.0 if event in TROUBLE else 0.0
            old = self.trouble(row.server.name, now)
            row.trouble = old + TROUBLE_WEIGHT * (sample - old)
            row.trouble_at = now
        if event is HealthEvent.ANSWERED and latency_s is not None:
            known = self.latency(row.server.name, now)
            row.latency_s = (
                latency_s
                if known is None
                else known + LATENCY_WEIGHT * (latency_s - known)
            )
            row.latency_at = now

    def following(
        self, row: HealthRow, event: HealthEvent, now: float
    ) -> HealthState:
        """Return the next state of a server, exceptions to the table first."""
        following = TRANSITIONS[row.state, event]
        if row.state is HealthState.DRAINING and event is HealthEvent.PROBE_UP:
            # The health endpoint lags behind the X-Draining header.
            held = now < row.draining_until
            return HealthState.DRAINING if held else following
        ejected = row.ejected_until is not None
        if ejected and event in (
            HealthEvent.PROBE_UP,
            HealthEvent.ANSWERED,
            HealthEvent.AGED,
        ):
            # The probe may mislead; requests failed.
            return HealthState.DOWN
        if following is HealthState.DOWN and event in OBSERVED_BAD:
            confirmed = row.state in (HealthState.DOWN, HealthState.DRAINING)
            if not confirmed and not self.may_eject(row):
                return row.state
        return following

    def may_eject(self, row: HealthRow) -> bool:
        """Tell whether one more server may go down on observation alone."""
        group = [
            other
            for other in self.rows.values()
            if other.server.service == row.server.service
            and other.server.region == row.server.region
        ]
        ejected = sum(other.ejected_until is not None for other in group)
        return 2 * (ejected + 1) <= len(group)

    def enter(
        self,
        row: HealthRow,
        state: HealthState,
        event: HealthEvent,
        now: float,
    ) -> None:
        """Change the state of a server."""
        logs.state_change(
            LOGGER,
            'backend_server_health',
            server=row.server.name,
            former=row.state.value,
            state=state.value,
            cause=event.value,
        )
        if row.state not in USABLE and state in USABLE:
            row.ramp_since = now
        if row.ejected_until is not None and state is not HealthState.DOWN:
            row.ejected_until = None
            row.ejection_ended_at = now
        if state is HealthState.DOWN and row.state in USABLE:
            if event in OBSERVED_BAD:
                self.eject(row, now)
        row.state = state
        self.version += 1

    def eject(self, row: HealthRow, now: float) -> None:
        """Take a server out of use on observation alone, for a time."""
        if now - row.ejection_ended_at > EJECTION_MEMORY_S:
            row.ejections = 0
        span = min(EJECTION_MAX_S, EJECTION_S * 2**row.ejections)
        row.ejections = min(row.ejections + 1, 10)
        row.ejected_until = now + span

    def age(self, now: float) -> None:
        """End ejections that are due and let old evidence lapse."""
        for name, row in self.rows.items():
            if row.ejected_until is not None:
                if now >= row.ejected_until:
                    self.observe(name, HealthEvent.EJECTION_ENDED, now)
            elif row.state in AGEING and now - row.evidence_at > EVIDENCE_S:
                self.observe(name, HealthEvent.AGED, now)
