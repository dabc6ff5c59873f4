"""How many repeats of requests this VM may send to a service.

All VMs together must stay within a ratio of the requests plus a fixed slack
in any window.  Each VM keeps to the ratio on its own requests and to its part
of the slack, which needs no messages.
"""

import collections
import typing

from filbertstep.steering import _model

# Part of the bound that is used; the rest covers restarts, whose counts begin
# anew, and requests at the edges of a window.
USED_SHARE: typing.Final = 0.7


class Window:
    """Times of requests and of repeats of one service."""

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def prune(self, oldest: float) -> None:
        """Forget what is before a time."""
        for times in (self.requests, self.repeats):
            while times and times[0] < oldest:
                times.popleft()


class RetryAllowance:
    """Sliding windows by service; ``parts`` is the number of VMs."""

    def __init__(self, bounds: _model.Bounds) -> None:
        self.bounds = bounds
        self.parts = 1
        self.windows: dict[str, Window] = {}

    def window(self, service: str, now: float) -> Window:
        """Return a service's window as of now."""
        window = self.windows.setdefault(service, Window())
        window.prune(now - self.bounds.retry_window_s)
        return window

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self.window(service, now).requests.append(now)

    def take(self, service: str, now: float) -> bool:
        """Take one repeat if the allowance has one."""
        window = self.window(service, now)
        most = USED_SHARE * (
            self.bounds.retry_ratio * len(window.requests)
            + self.bounds.retry_slack / self.parts
        )
        if len(window.repeats) + 1 > most:
            return False
        window.repeats.append(now)
        return True
