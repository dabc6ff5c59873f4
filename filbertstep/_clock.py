"""Clocks.  A time is valid only on its own machine and never sent to others.

The system clock is ``CLOCK_BOOTTIME``, which continues while the machine is
suspended, unlike the usual monotonic clock of Linux.  Evidence must also age
during a suspension.
"""

import abc
import time
import typing

# The minute counter, which determines the age of request ids, increases by one
# in this time.
MINUTE_S: typing.Final = 60.0


def minute_of(now: float) -> int:
    """Return the value of a process's minute counter at a clock time."""
    return int(now // MINUTE_S)


class Clock(abc.ABC):
    """Source of the time for leases, evidence and deadlines."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""


class SystemClock(Clock):
    """The clock of this machine, including time while suspended."""

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class FakeClock(Clock):
    """A clock for tests that advances only on request."""

    def __init__(self, start: float = 1000.0) -> None:
        self.time = start

    def now(self) -> float:
        """Return the current time of the test."""
        return self.time

    def advance(self, seconds: float) -> None:
        """Advance the clock by a number of seconds."""
        self.time += seconds
