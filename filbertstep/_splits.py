"""Splits of traffic over regions, and the counts of one service's shifts.

A split maps a point in [0, 1) to a region.  The target split keeps as many
points as possible where the reference split has them, so that a change of
weights shifts no more than it must.
"""

import collections.abc
import math
import typing

BUCKETS: typing.Final = 20

# Interval in seconds of the reference split of a service without a cap.
UNCAPPED_INTERVAL_S: typing.Final = 60.0

# Shares below this are rounding errors of a split.
EPSILON: typing.Final = 1e-9

Split = dict[str, float]
"""Shares by region; they sum to 1, or the split is empty."""


class Placement(typing.NamedTuple):
    """Where a request goes, and how it is counted.

    ``bucket`` and ``sequence`` identify it in the counts, for ``cancel``.
    """

    region: str
    reference_region: str
    moved: bool
    service: str
    bucket: int
    sequence: int


class Bucket:
    """Counts of one twentieth of an interval."""

    def __init__(self) -> None:
        self.placed = 0
        self.moved = 0


class ShiftRow:
    """One service: its reference split and the counts of this VM.

    ``net`` sums, over the moved requests of the interval, +1 for the region
    that got it and -1 for the one that the reference gave.
    """

    def __init__(self, reference: Split, now: float) -> None:
        self.reference = reference
        self.started = now
        self.interval_s = UNCAPPED_INTERVAL_S
        self.buckets: dict[int, Bucket] = {}
        self.placed = 0
        self.net: dict[str, float] = {}
        self.sequence = 0
        self.untouched = True
        self.credit = 0.0
        # For the cancellation of the newest placement.
        self.credit_before = 0.0

    def bucket_at(self, now: float) -> int:
        """Return the number of the bucket of a time."""
        return math.floor(now * BUCKETS / self.interval_s)

    def window(self, bucket: int) -> tuple[int, int]:
        """Return lower bound of placed and upper bound of moved requests.

        The trailing window begins inside the oldest bucket.  That bucket
        counts for the moved requests and not for the placed ones.
        """
        placed = moved = 0
        for number, counts in self.buckets.items():
            if number >= bucket - BUCKETS:
                moved += counts.moved
            if number > bucket - BUCKETS:
                placed += counts.placed
        return placed, moved

    def set_interval(self, interval_s: float, now: float) -> None:
        """Change the interval, which changes the width of the buckets.

        The moved requests count as if they were moved now and the placed ones
        are forgotten, so that the change permits nothing.
        """
        if interval_s == self.interval_s:
            return
        _, moved = self.window(self.bucket_at(now))
        self.interval_s = interval_s
        kept = Bucket()
        kept.moved = moved
        self.buckets = {self.bucket_at(now): kept}

    def roll(self, now: float) -> None:
        """Begin a new interval when the present one is over."""
        if now < self.started + self.interval_s:
            return
        if self.placed:
            self.reference = served_split(
                self.reference, self.net, self.placed
            )
        over = math.floor((now - self.started) / self.interval_s)
        self.started += over * self.interval_s
        self.placed = 0
        self.net = {}

    def may_spend(self, share: float) -> bool:
        """Tell whether the next request may move and earn its own share.

        Moves are spread over the placed requests.  Counts of a window alone
        would let a VM move many at once, and the share of moved requests in
        a later window rises when its other traffic ends.
        """
        return self.credit + share >= 1.0 - EPSILON

    def earn(self, share: float, moved: bool) -> None:
        """Add a placed request's share of a move; a moved one takes one."""
        self.credit_before = self.credit
        self.credit += share
        # At most one move is saved up while none is needed.
        self.credit = self.credit - 1.0 if moved else min(1.0, self.credit)

    def prune(self, bucket: int) -> None:
        """Forget buckets that no trailing window reaches."""
        if len(self.buckets) > BUCKETS + 2:
            self.buckets = {
                number: counts
                for number, counts in self.buckets.items()
                if number >= bucket - BUCKETS
            }

    def count(self, placement: Placement, amount: int) -> None:
        """Add a placement to the counts, or take it out again."""
        counts = self.buckets.setdefault(placement.bucket, Bucket())
        counts.placed += amount
        self.placed += amount
        if placement.moved:
            counts.moved += amount
            here, there = placement.region, placement.reference_region
            self.net[here] = self.net.get(here, 0) + amount
            self.net[there] = self.net.get(there, 0) - amount


def served_split(reference: Split, net: Split, placed: int) -> Split:
    """Return the split served in an interval.

    It is the reference plus the part that was moved.  Counting where few
    requests happened to go instead would add chance to the reference, and
    the cap would then hold back requests that no operator moved.
    """
    regions = reference.keys() | net.keys()
    return normal(
        {
            region: reference.get(region, 0) + net.get(region, 0) / placed
            for region in sorted(regions)
        }
    )


def normal(weights: collections.abc.Mapping[str, float]) -> Split:
    """Return shares that sum to 1, or an empty split without weights."""
    positive = {
        region: weight
        for region, weight in weights.items()
        if weight > EPSILON
    }
    total = sum(positive.values())
    return {region: weight / total for region, weight in positive.items()}


def locate(split: Split, point: float) -> tuple[str, float]:
    """Return the region of a point and its place (0 to 1) in the share.

    The split must not be empty.
    """
    region = ''
    share = below = 0.0
    for region, share in sorted(split.items()):
        if point < below + share:
            break
        below += share
    else:
        below -= share
    return region, min(1.0, max(0.0, (point - below) / share))


def target_region(reference: Split, target: Split, point: float) -> str:
    """Return the region that the target split gives a point.

    Points stay in their reference region up to the target's share of it; the
    rest go to the regions whose share grows, in proportion to the growth.
    """
    region, place = locate(reference, point)
    keep = min(1.0, target.get(region, 0.0) / reference[region])
    growth = normal(
        {
            other: share - reference.get(other, 0.0)
            for other, share in target.items()
        }
    )
    if place < keep or not growth:
        return region if region in target else locate(target, point)[0]
    return locate(growth, (place - keep) / max(EPSILON, 1.0 - keep))[0]
