"""Phases of the planned stop of a VM.

The phase follows from the time since the signal, so that requests are decided
on correctly even while the event loop is late.
"""

import enum
import typing

# Callers use a look-up for up to this multiple of its lifetime.
LOOKUP_TTLS_IN_USE: typing.Final = 3

# Short, because a VM that stops must keep serving until callers have looked up
# again.
LOOKUP_TTL_S: typing.Final = 0.85

# Time until the look-ups of all VMs no longer name a VM that stops.
WITHDRAWAL_S: typing.Final = 0.2

# A request that is accepted in this time has the rest of the stop timeout to
# finish.
ACCEPTING_S: typing.Final = LOOKUP_TTLS_IN_USE * LOOKUP_TTL_S + WITHDRAWAL_S

# Upper limit for the accepting time as a fraction of the stop timeout.
MAX_ACCEPTING_FRACTION: typing.Final = 0.46

# Fractions of the stop timeout: when servers must have answered, when this VM
# answers in their place, and when the process exits whatever still runs.  The
# first difference lets a server report that it did not run a request, the
# second lets callers get the answers.
RUNS_FRACTION: typing.Final = 0.96
ANSWERS_FRACTION: typing.Final = 0.975
FORCED_EXIT_FRACTION: typing.Final = 0.99

# Time to deliver the last answers even if the event loop is late.
MIN_DELIVERY_S: typing.Final = 0.05


class Phase(enum.StrEnum):
    """Phases in their order; log lines contain the values."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    REFUSING = 'refusing'


class PhaseRules(typing.NamedTuple):
    """What a VM does in a phase.

    ``listed``: look-ups name it and readiness checks succeed.
    ``keeps_connections``: connections stay open after an answer.
    ``accepts``: new requests are served.
    """

    listed: bool
    keeps_connections: bool
    accepts: bool


RULES: typing.Final[dict[Phase, PhaseRules]] = {
    Phase.SERVING: PhaseRules(True, True, True),
    Phase.LEAVING: PhaseRules(False, False, True),
    Phase.REFUSING: PhaseRules(False, False, False),
}


class Stop:
    """The planned stop of this VM; times are those of its clock.

    Requests are accepted until ``accepts_until``.  Servers are told to end
    their runs by ``runs_until``.  What has no answer at ``answers_until`` is
    answered by this VM.  The process exits at ``exits_at`` at the latest.
    """

    def __init__(self) -> None:
        self.begun_at = float('inf')
        self.accepts_until = float('inf')
        self.runs_until = float('inf')
        self.answers_until = float('inf')
        self.exits_at = float('inf')

    def begin(self, now: float, stop_timeout_s: float) -> None:
        """Begin to stop; later calls have no effect."""
        if self.begun_at <= now:
            return
        self.begun_at = now
        self.accepts_until = now + min(
            ACCEPTING_S, MAX_ACCEPTING_FRACTION * stop_timeout_s
        )
        self.runs_until = now + RUNS_FRACTION * stop_timeout_s
        self.answers_until = now + ANSWERS_FRACTION * stop_timeout_s
        self.exits_at = now + FORCED_EXIT_FRACTION * stop_timeout_s

    def interrupts(self, deadline: float) -> bool:
        """Return whether the stop ends before a request's own deadline."""
        return self.runs_until < deadline

    def phase(self, now: float) -> Phase:
        """Return the phase at a time."""
        if now < self.begun_at:
            return Phase.SERVING
        if now < self.accepts_until:
            return Phase.LEAVING
        return Phase.REFUSING

    def rules(self, now: float) -> PhaseRules:
        """Return what this VM does at a time."""
        return RULES[self.phase(now)]
