"""Traffic splits over regions, and the shift counters of one service.

A split gives each region a share of the traffic and maps a point in [0, 1)
to a region.  The target split keeps as many points as possible in the region
that the reference split gives them, so that a change of weights shifts as
little traffic as possible.
"""

import collections.abc
import math
import typing

# Resolution of the sliding window over which the shift cap holds.
BUCKETS_PER_INTERVAL: typing.Final = 20

# Seconds between updates of the reference split of a service without a cap.
UNCAPPED_INTERVAL_S: typing.Final = 60.0

# Shares of a split below this are rounding errors.
SHARE_EPSILON: typing.Final = 1e-9

Split = dict[str, float]
"""Share of the traffic by region; the shares sum to 1 or there are none."""


class Placement(typing.NamedTuple):
    """The region of a request, and how the placement was counted.

    ``moved`` tells whether ``region`` differs from ``reference_region``.
    ``bucket`` and ``sequence`` identify the placement in the counters, for
    ``ShiftSystem.cancel_placement``.
    """

    region: str
    reference_region: str
    moved: bool
    service: str
    bucket: int
    sequence: int


class WindowBucket:
    """Numbers of placed and moved requests in one bucket of the window."""

    def __init__(self) -> None:
        self.placed = 0
        self.moved = 0


class ServiceShiftState:
    """Reference split of one service and its counters on this VM.

    ``net_moves`` counts by region, over the present interval, the requests
    moved into the region minus those moved out of it.  ``move_credit`` is the
    fraction of a move, at most 1, that placed requests have earned.
    """

    def __init__(self, reference: Split, now: float) -> None:
        self.reference_split = reference
        self.interval_started_at = now
        self.interval_s = UNCAPPED_INTERVAL_S
        self.buckets: dict[int, WindowBucket] = {}
        self.placed = 0
        self.net_moves: dict[str, float] = {}
        self.sequence = 0
        self.never_placed = True
        self.move_credit = 0.0
        # Value before the newest placement, in case that one is cancelled.
        self.move_credit_before = 0.0

    def bucket_at(self, now: float) -> int:
        """Return the number of the bucket that contains a time."""
        return math.floor(now * BUCKETS_PER_INTERVAL / self.interval_s)

    def window_counts(self, bucket: int) -> tuple[int, int]:
        """Return the placed and the moved requests of the sliding window.

        The window begins somewhere inside its oldest bucket.  That bucket
        counts for the moved requests but not for the placed ones, so that
        the first count is a lower bound and the second an upper bound.
        """
        placed = moved = 0
        for number, counts in self.buckets.items():
            if number >= bucket - BUCKETS_PER_INTERVAL:
                moved += counts.moved
            if number > bucket - BUCKETS_PER_INTERVAL:
                placed += counts.placed
        return placed, moved

    def set_interval(self, interval_s: float, now: float) -> None:
        """Change the interval, and with it the width of the buckets.

        The moved requests of the window count as moved now and the placed
        ones are dropped, so that the change itself permits no further moves.
        """
        if interval_s == self.interval_s:
            return
        _, moved = self.window_counts(self.bucket_at(now))
        self.interval_s = interval_s
        kept = WindowBucket()
        kept.moved = moved
        self.buckets = {self.bucket_at(now): kept}

    def advance_interval(self, now: float) -> None:
        """Start a new interval if the present one has ended.

        The split served in the old interval becomes the reference split.
        """
        if now < self.interval_started_at + self.interval_s:
            return
        if self.placed:
            self.reference_split = served_split(
                self.reference_split, self.net_moves, self.placed
            )
        elapsed_intervals = math.floor(
            (now - self.interval_started_at) / self.interval_s
        )
        self.interval_started_at += elapsed_intervals * self.interval_s
        self.placed = 0
        self.net_moves = {}

    def has_move_credit(self, share: float) -> bool:
        """Return whether there is credit for moving the next request.

        That request's own ``share`` counts.  The credit spreads moves evenly
        over the placed requests.  With the counters of the window alone, a VM
        could move many requests at once, and their share in a later window
        would be too high if the other traffic ended.
        """
        return self.move_credit + share >= 1.0 - SHARE_EPSILON

    def update_move_credit(self, share: float, moved: bool) -> None:
        """Add the credit of a placed request and deduct 1 if it was moved."""
        self.move_credit_before = self.move_credit
        self.move_credit += share
        # Unused credit is limited to one move.
        self.move_credit = (
            self.move_credit - 1.0 if moved else min(1.0, self.move_credit)
        )

    def prune_buckets(self, bucket: int) -> None:
        """Drop buckets that are older than the sliding window."""
        if len(self.buckets) > BUCKETS_PER_INTERVAL + 2:
            self.buckets = {
                number: counts
                for number, counts in self.buckets.items()
                if number >= bucket - BUCKETS_PER_INTERVAL
            }

    def adjust_counts(self, placement: Placement, amount: int) -> None:
        """Add a placement to the counters (amount 1) or remove it (-1)."""
        counts = self.buckets.setdefault(placement.bucket, WindowBucket())
        counts.placed += amount
        self.placed += amount
        if placement.moved:
            counts.moved += amount
            gained, lost = placement.region, placement.reference_region
            self.net_moves[gained] = self.net_moves.get(gained, 0) + amount
            self.net_moves[lost] = self.net_moves.get(lost, 0) - amount


def served_split(reference: Split, net_moves: Split, placed: int) -> Split:
    """Return the split that was served in an interval.

    It is the reference split adjusted by the moved requests.  Using the
    observed shares instead would add random noise to the reference when
    there are few requests, and the cap would then refuse requests that no
    operator meant to move.
    """
    regions = reference.keys() | net_moves.keys()
    return normalize(
        {
            region: reference.get(region, 0)
            + net_moves.get(region, 0) / placed
            for region in sorted(regions)
        }
    )


def normalize(weights: collections.abc.Mapping[str, float]) -> Split:
    """Scale weights to shares that sum to 1, dropping negligible ones.

    The result is empty if no weight is positive.
    """
    positive = {
        region: weight
        for region, weight in weights.items()
        if weight > SHARE_EPSILON
    }
    total = sum(positive.values())
    return {region: weight / total for region, weight in positive.items()}


def locate(split: Split, point: float) -> tuple[str, float]:
    """Return the region of a point and the point's offset in its share.

    The offset is from 0 to 1.  The split must not be empty.
    """
    region = ''
    share = lower_bound = 0.0
    for region, share in sorted(split.items()):
        if point < lower_bound + share:
            break
        lower_bound += share
    else:
        lower_bound -= share
    return region, min(1.0, max(0.0, (point - lower_bound) / share))


def target_region(reference: Split, target: Split, point: float) -> str:
    """Return the region that the target split gives a point.

    If the share of a point's reference region shrinks, the points at the end
    of that share go to the regions whose shares grow, in proportion to their
    growth.  All other points stay.
    """
    region, offset = locate(reference, point)
    kept_share = min(1.0, target.get(region, 0.0) / reference[region])
    growth = normalize(
        {
            other: share - reference.get(other, 0.0)
            for other, share in target.items()
        }
    )
    if offset < kept_share or not growth:
        return region if region in target else locate(target, point)[0]
    return locate(
        growth, (offset - kept_share) / max(SHARE_EPSILON, 1.0 - kept_share)
    )[0]
