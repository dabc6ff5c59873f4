"""What a checker reports, and how it looks up events by request."""

import collections
import collections.abc
import typing

from filbertstep import _facts
from filbertstep import _history

History = collections.abc.Sequence[_history.AnyEvent]
"""Events in the order of their times."""


class Violation(typing.NamedTuple):
    """A broken promise, the time of the event that shows it, and how."""

    promise: str
    time_s: float
    description: str


Checker = collections.abc.Callable[[History, _facts.Facts], list[Violation]]


def select_events(history: History, *names: str) -> list[_history.AnyEvent]:
    """Return the events with one of some names."""
    return [event for event in history if event['event'] in names]


def group_by_request(
    history: History, *names: str
) -> dict[str, list[_history.AnyEvent]]:
    """Return the events with one of some names by request id."""
    found: dict[str, list[_history.AnyEvent]] = collections.defaultdict(list)
    for event in select_events(history, *names):
        found[event['request_id']].append(event)
    return found


def attempt_sent_at(answered: _history.AnyEvent) -> float:
    """Return when the try that an ``answered`` event ends was sent."""
    return float(answered['t'] - answered['latency_s'])


def was_killed_between(
    facts: _facts.Facts, name: str, start: float, end: float
) -> bool:
    """Tell whether a process was killed between two times."""
    return any(
        kill.process == name and start <= kill.killed_at <= end
        for kill in facts.process_kills
    )


class TokenBucket:
    """Token bucket that judges use against a rate and a burst.

    A use that does not conform takes no tokens, so that one excess is
    reported once and not again for every later use.
    """

    def __init__(self, rate: float, burst: float, allowance: float) -> None:
        self.rate = rate
        self.burst = burst
        self.allowance = allowance
        self.tokens = burst
        self.at: float | None = None

    def try_consume(self, at: float, amount: float) -> bool:
        """Count a use; times must not go back."""
        if self.at is not None:
            gained = (at - self.at) * self.rate
            self.tokens = min(self.burst, self.tokens + gained)
        self.at = at
        # The last term absorbs the rounding of floating-point sums.
        if self.tokens - amount < -self.allowance - 1e-6:
            return False
        self.tokens -= amount
        return True
