"""Run times of one service: median, and quantiles for the operators."""

import collections
import itertools
import statistics
import typing

import prometheus_client

from filbertstep import metrics

# Run times in the moving median, and the runs after which it is renewed.
MEDIAN_SAMPLES: typing.Final = 101
MEDIAN_EVERY: typing.Final = 10

# Least run time in seconds that is assumed of any request.
LEAST_RUN_S: typing.Final = 0.001

# Time in seconds that one histogram covers; quantiles are over the present
# one and the one before.
WINDOW_S: typing.Final = 60.0


class ServiceStatus(typing.TypedDict):
    """The operators' figures of a service; quantiles None without runs."""

    queued: int
    running: int
    idle_slots: dict[str, int]
    p50_s: float | None
    p99_s: float | None


def histogram() -> prometheus_client.Histogram:
    """Return an empty histogram that is in no registry."""
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
        self.since_median = 0
        self.median = LEAST_RUN_S
        self.window_end: float | None = None
        self.present = histogram()
        self.former = histogram()

    def note_run(self, run_s: float, now: float) -> None:
        """Count a request that was answered."""
        self.samples.append(run_s)
        self.since_median += 1
        if self.since_median >= MEDIAN_EVERY:
            self.since_median = 0
            self.median = statistics.median(self.samples)
        if self.window_end is None:
            self.window_end = now + WINDOW_S
        elif now >= self.window_end:
            self.window_end = now + WINDOW_S
            self.former, self.present = self.present, histogram()
        self.present.observe(run_s)

    def least_run_s(self) -> float:
        """Return the time in seconds that a run needs at least."""
        return max(LEAST_RUN_S, self.median)

    def status(
        self, queued: int, running: int, idle_slots: dict[str, int]
    ) -> ServiceStatus:
        """Return the operators' figures."""
        return {
            'queued': queued,
            'running': running,
            'idle_slots': idle_slots,
            'p50_s': self.quantile(0.5),
            'p99_s': self.quantile(0.99),
        }

    def quantile(self, quantile: float) -> float | None:
        """Return a quantile in seconds, interpolated within a bucket."""
        counts = [
            sum(pair)
            for pair in zip(
                cumulative(self.former), cumulative(self.present), strict=True
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
                part = (rank - before) / (count - before)
                return lower + (upper - lower) * part
        return bounds[-1]


def cumulative(histogram: prometheus_client.Histogram) -> list[float]:
    """Return the cumulative bucket counts, the last of all runs."""
    (metric,) = histogram.collect()
    return [
        sample.value
        for sample in metric.samples
        if sample.name.endswith('_bucket')
    ]
