"""Load that a backend server reports, late or false, and its slow start."""

import bisect
import typing

from filbertstep import codec

# Time in seconds for which samples are kept; longer lags are not needed.
KEPT_S: typing.Final = 120.0


class Sample(typing.NamedTuple):
    """Load at a time: part of the slots in use and runs so far."""

    at: float
    utilization: float
    runs: int


class LoadReport:
    """Samples of one server's load; ``cold_at`` is its last cold start."""

    def __init__(self, now: float) -> None:
        self.cold_at = now
        self.samples = [Sample(now, 0.0, 0)]

    def sample(self, now: float, utilization: float, runs: int) -> None:
        """Keep a sample and drop old ones, but the newest of these."""
        self.samples.append(Sample(now, utilization, runs))
        if self.samples[0].at < now - 2 * KEPT_S:
            del self.samples[: self.position(now - KEPT_S)]

    def position(self, at: float) -> int:
        """Return the position of the sample in force at a time."""
        found = bisect.bisect_right(
            self.samples, at, key=lambda sample: sample.at
        )
        return max(0, found - 1)

    def header(self, now: float, lag_s: float, false: float | None) -> str:
        """Return the ORCA header in its JSON form."""
        then = now - lag_s
        sample = self.samples[self.position(then)]
        before = self.samples[self.position(then - 1.0)]
        load = sample.utilization if false is None else false
        metrics = {
            'application_utilization': load,
            'cpu_utilization': load,
            'rps_fractional': float(sample.runs - before.runs),
        }
        return 'JSON ' + codec.encode(metrics).decode()

    def slowness(self, now: float, factor: float, warmup_s: float) -> float:
        """Return the factor on service times, falling to 1 when warm."""
        if warmup_s <= 0:
            return 1.0
        cold = max(0.0, 1.0 - (now - self.cold_at) / warmup_s)
        return 1.0 + (factor - 1.0) * cold
