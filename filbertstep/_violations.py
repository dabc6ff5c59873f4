"""Violations that checkers report, and helpers that all checkers share."""

import collections
import collections.abc
import typing

from filbertstep import _facts
from filbertstep import _history

History = collections.abc.Sequence[_history.AnyEvent]
"""Events of all processes of a deployment, in order of time."""


class Violation(typing.NamedTuple):
    """A broken promise.

    ``promise`` is its name (P1 to P12) and ``time_s`` the timestamp ``t`` of
    the event that shows the violation.
    """

    promise: str
    time_s: float
    description: str


Checker = collections.abc.Callable[[History, _facts.Facts], list[Violation]]
"""Returns the violations of one promise in a history."""


def select_events(
    history: History, *event_names: str
) -> list[_history.AnyEvent]:
    """Return the events with one of the given names."""
    return [event for event in history if event['event'] in event_names]


def group_by_request(
    history: History, *event_names: str
) -> dict[str, list[_history.AnyEvent]]:
    """Return the events with one of the given names, by request id."""
    events: dict[str, list[_history.AnyEvent]] = collections.defaultdict(list)
    for event in select_events(history, *event_names):
        events[event['request_id']].append(event)
    return events


def attempt_sent_at(answered: _history.AnyEvent) -> float:
    """Return the time in seconds at which an ``answered`` attempt was sent."""
    return float(answered['t'] - answered['latency_s'])


def was_killed_between(
    facts: _facts.Facts, process: str, start: float, end: float
) -> bool:
    """Tell whether a process was killed between two times in seconds."""
    return any(
        kill.process == process and start <= kill.killed_at <= end
        for kill in facts.process_kills
    )


class TokenBucket:
    """Token bucket that checks recorded consumption against a rate limit.

    The unit of a token is the caller's choice: a request or a byte.  ``rate``
    is in tokens per second; ``burst`` is the capacity and ``allowance`` the
    debt that is tolerated, both in tokens.  Consumption above the limit takes
    no tokens, so that one excess is reported once and not again at every
    later request.
    """

    def __init__(self, rate: float, burst: float, allowance: float) -> None:
        self.rate = rate
        self.burst = burst
        self.allowance = allowance
        self.tokens = burst
        self.updated_at: float | None = None

    def try_consume(self, at: float, amount: float) -> bool:
        """Take tokens and return True, or return False above the limit.

        ``at`` is in seconds and must not decrease from call to call.
        """
        if self.updated_at is not None:
            refill = (at - self.updated_at) * self.rate
            self.tokens = min(self.burst, self.tokens + refill)
        self.updated_at = at
        # The last term absorbs rounding errors of floating-point sums.
        if self.tokens - amount < -self.allowance - 1e-6:
            return False
        self.tokens -= amount
        return True
