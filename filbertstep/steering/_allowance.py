"""Per-service retry budget of this VM.

In any window, the retries of all VMs together must not exceed a ratio of the
requests plus a fixed slack.  Each VM applies the ratio to its own requests
and uses an equal part of the slack, so that the VMs need not coordinate.
"""

import collections
import typing

from filbertstep.steering import _model

# Share of the budget that is spent.  The rest covers requests at the edges of
# a window.
USED_BUDGET_SHARE: typing.Final = 0.7


class RetryWindow:
    """Times of recent requests and retries of one service."""

    def __init__(self) -> None:
        self.request_times: collections.deque[float] = collections.deque()
        self.retry_times: collections.deque[float] = collections.deque()

    def discard_before(self, oldest: float) -> None:
        """Drop the times before ``oldest``."""
        for times in (self.request_times, self.retry_times):
            while times and times[0] < oldest:
                times.popleft()


class RetryBudget:
    """Sliding-window retry budgets by service.

    ``vm_count`` is the number of VMs that share the slack.  There is no slack
    before the time ``slack_from``: a process that follows another one cannot
    know what that one spent of it.
    """

    def __init__(
        self, bounds: _model.Bounds, slack_from: float = float('-inf')
    ) -> None:
        self.bounds = bounds
        self.slack_from = slack_from
        self.vm_count = 1
        self.windows: dict[str, RetryWindow] = {}

    def current_window(self, service: str, now: float) -> RetryWindow:
        """Return a service's window after dropping outdated times."""
        window = self.windows.setdefault(service, RetryWindow())
        window.discard_before(now - self.bounds.retry_window_s)
        return window

    def record_request(self, service: str, now: float) -> None:
        """Count a request, which adds to the budget."""
        self.current_window(service, now).request_times.append(now)

    def try_take(self, service: str, now: float) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        window = self.current_window(service, now)
        slack = self.bounds.retry_slack if now >= self.slack_from else 0.0
        max_retries = USED_BUDGET_SHARE * (
            self.bounds.retry_ratio * len(window.request_times)
            + slack / self.vm_count
        )
        if len(window.retry_times) + 1 > max_retries:
            return False
        window.retry_times.append(now)
        return True
