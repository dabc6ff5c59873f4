"""Load reports and slow start of a stand-in backend server."""

import bisect
import typing

from filbertstep import codec

# Covers the report lags (``load_lag_s``) that tests need.
SAMPLE_RETENTION_S: typing.Final = 120.0


class LoadSample(typing.NamedTuple):
    """Load of a server at one time.

    ``utilization`` is the share of slots in use, ``run_count`` the number of
    requests run since the server's start.
    """

    taken_at: float
    utilization: float
    run_count: int


class LoadReport:
    """Samples of one server's load, and the time of its last cold start.

    All times are in seconds of the event loop's clock.
    """

    def __init__(self, now: float) -> None:
        self.cold_started_at = now
        self.samples = [LoadSample(now, 0.0, 0)]

    def add_sample(
        self, now: float, utilization: float, run_count: int
    ) -> None:
        """Add a sample and from time to time drop expired ones.

        The newest expired sample stays, since it still holds at the start of
        the retention time.
        """
        self.samples.append(LoadSample(now, utilization, run_count))
        if self.samples[0].taken_at < now - 2 * SAMPLE_RETENTION_S:
            del self.samples[: self.sample_index(now - SAMPLE_RETENTION_S)]

    def sample_index(self, time: float) -> int:
        """Return the index of the latest sample at or before a time."""
        insertion_index = bisect.bisect_right(
            self.samples, time, key=lambda sample: sample.taken_at
        )
        return max(0, insertion_index - 1)

    def orca_header(
        self, now: float, lag_s: float, reported_load: float | None
    ) -> str:
        """Return the ``endpoint-load-metrics`` header in ORCA's JSON format.

        Reports the load ``lag_s`` seconds ago.  ``reported_load`` replaces the
        measured utilization unless it is None.
        """
        report_time = now - lag_s
        sample = self.samples[self.sample_index(report_time)]
        earlier_sample = self.samples[self.sample_index(report_time - 1.0)]
        utilization = (
            sample.utilization if reported_load is None else reported_load
        )
        metrics = {
            'application_utilization': utilization,
            'cpu_utilization': utilization,
            'rps_fractional': float(
                sample.run_count - earlier_sample.run_count
            ),
        }
        return 'JSON ' + codec.encode(metrics).decode()

    def service_time_factor(
        self, now: float, cold_factor: float, warmup_s: float
    ) -> float:
        """Return the factor by which a cold server multiplies service times.

        Falls linearly from ``cold_factor`` to 1 within ``warmup_s`` after a
        cold start.
        """
        if warmup_s <= 0:
            return 1.0
        remaining_share = max(
            0.0, 1.0 - (now - self.cold_started_at) / warmup_s
        )
        return 1.0 + (cold_factor - 1.0) * remaining_share
