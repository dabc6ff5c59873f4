"""Run times of a service: the median, and quantiles for the status page."""

import collections
import itertools
import statistics
import typing

import prometheus_client

from filbertstep import metrics

# Number of the newest runs in the moving median.
MEDIAN_SAMPLES: typing.Final = 101

# Number of runs between two updates of the median.
MEDIAN_REFRESH_RUNS: typing.Final = 10

# Lower bound in seconds of the run time that is expected of a request.
MIN_RUN_S: typing.Final = 0.001

# Seconds covered by one histogram.  Quantiles are computed from the current
# and the previous histogram.
HISTOGRAM_WINDOW_S: typing.Final = 60.0


class ServiceStatus(typing.TypedDict):
    """Status of a service; the quantiles are None if there were no runs."""

    queued: int
    running: int
    idle_slots: dict[str, int]
    p50_s: float | None
    p99_s: float | None


def new_histogram() -> prometheus_client.Histogram:
    """Return an empty histogram that is not in any registry."""
    return prometheus_client.Histogram(
        'run_seconds',
        'Run times.',
        buckets=metrics.LATENCY_BUCKETS_S,
        registry=None,
    )


class ServiceStatistics:
    """Run times of one service on this VM."""

    def __init__(self) -> None:
        self.samples: collections.deque[float] = collections.deque(
            maxlen=MEDIAN_SAMPLES
        )
        self.runs_since_median = 0
        self.median_run_s = MIN_RUN_S
        self.window_end: float | None = None
        self.current = new_histogram()
        self.previous = new_histogram()

    def record_run(self, run_s: float, now: float) -> None:
        """Record the run time in seconds of an answered request."""
        self.samples.append(run_s)
        self.runs_since_median += 1
        if self.runs_since_median >= MEDIAN_REFRESH_RUNS:
            self.runs_since_median = 0
            self.median_run_s = statistics.median(self.samples)
        if self.window_end is None:
            self.window_end = now + HISTOGRAM_WINDOW_S
        elif now >= self.window_end:
            self.window_end = now + HISTOGRAM_WINDOW_S
            self.previous, self.current = self.current, new_histogram()
        self.current.observe(run_s)

    def min_run_s(self) -> float:
        """Return the least time in seconds in which starting is worthwhile.

        This is the median run time, with a lower bound.
        """
        return max(MIN_RUN_S, self.median_run_s)

    def status(
        self, queued: int, running: int, idle_slots: dict[str, int]
    ) -> ServiceStatus:
        """Return the status with the given request and slot counts."""
        return {
            'queued': queued,
            'running': running,
            'idle_slots': idle_slots,
            'p50_s': self.quantile(0.5),
            'p99_s': self.quantile(0.99),
        }

    def quantile(self, quantile: float) -> float | None:
        """Return a quantile in seconds, None if there were no runs.

        Within a bucket, the value is interpolated linearly.
        """
        counts = [
            sum(pair)
            for pair in zip(
                cumulative_counts(self.previous),
                cumulative_counts(self.current),
                strict=True,
            )
        ]
        if not counts[-1]:
            return None
        rank = quantile * counts[-1]
        bounds = [0.0, *metrics.LATENCY_BUCKETS_S]
        for (lower, upper), (before, count) in zip(
            itertools.pairwise(bounds),
            itertools.pairwise([0.0, *counts]),
            strict=False,
        ):
            if count >= rank and count > before:
                fraction = (rank - before) / (count - before)
                return lower + (upper - lower) * fraction
        return bounds[-1]


def cumulative_counts(histogram: prometheus_client.Histogram) -> list[float]:
    """Return the cumulative bucket counts; the last one counts all runs."""
    (metric,) = histogram.collect()
    return [
        sample.value
        for sample in metric.samples
        if sample.name.endswith('_bucket')
    ]
