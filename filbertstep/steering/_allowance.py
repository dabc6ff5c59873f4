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
USED_BUDGET_SHARE: typing.Final = 0.7


class RetryWindow:
    """Times of requests and of repeats of one service."""

    def __init__(self) -> None:
        self.request_times: collections.deque[float] = collections.deque()
        self.retry_times: collections.deque[float] = collections.deque()

    def discard_before(self, oldest: float) -> None:
        """Forget what is before a time."""
        for times in (self.request_times, self.retry_times):
            while times and times[0] < oldest:
                times.popleft()


class RetryBudget:
    """Sliding windows by service; ``parts`` is the number of VMs."""

    def __init__(self, bounds: _model.Bounds) -> None:
        self.bounds = bounds
        self.vm_count = 1
        self.windows: dict[str, RetryWindow] = {}

    def current_window(self, service: str, now: float) -> RetryWindow:
        """Return a service's window as of now."""
        window = self.windows.setdefault(service, RetryWindow())
        window.discard_before(now - self.bounds.retry_window_s)
        return window

    def record_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self.current_window(service, now).request_times.append(now)

    def try_take(self, service: str, now: float) -> bool:
        """Take one repeat if the allowance has one."""
        window = self.current_window(service, now)
        most = USED_BUDGET_SHARE * (
            self.bounds.retry_ratio * len(window.request_times)
            + self.bounds.retry_slack / self.vm_count
        )
        if len(window.retry_times) + 1 > most:
            return False
        window.retry_times.append(now)
        return True
