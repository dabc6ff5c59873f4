"""Clocks.  Times are seconds of one machine and are never sent to another.

``CLOCK_BOOTTIME`` goes on while the machine is suspended, which the usual
monotonic clock of Linux does not; evidence must age during a suspension.
"""

import abc
import time
import typing

# Length in seconds of one step of the counter that ages request ids.
MINUTE_S: typing.Final = 60.0


def minute_of(now: float) -> int:
    """Return the minute counter of a process at a time of its clock."""
    return int(now // MINUTE_S)


class Clock(abc.ABC):
    """Source of the time that leases, evidence and deadlines use."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""


class SystemClock(Clock):
    """The clock of this machine, suspended time included."""

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class FakeClock(Clock):
    """A clock that moves only when a test moves it."""

    def __init__(self, start: float = 1000.0) -> None:
        self.time = start

    def now(self) -> float:
        """Return the time set last."""
        return self.time

    def advance(self, seconds: float) -> None:
        """Move the clock forward by a number of seconds."""
        self.time += seconds
