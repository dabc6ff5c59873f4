"""Decides when an availability zone gets its own copy of a cached object.

A server runs the first request for an object several times longer than later
ones, because it does not have the object cached yet.  If each zone keeps its
own copy, each pays for that run, and the copies fill the caches of the region.
If the zones of a region share one copy, bytes cross zones with each request.

Nobody knows how often an object will be requested.  So a zone first uses the
shared copy, and gets its own once its requests for the object have spent as
much on crossing zones as the longer run costs.  That is never more than twice
the cost of the better choice (the ski rental problem).
"""

import collections
import typing

# A single crossing that costs at least this part of the longer run is not
# worth sharing a copy: few requests would do so.
MAX_CROSSING_FRACTION: typing.Final = 0.25

# Objects whose spending is kept, least recently used first to go, and the time
# after which it is forgotten: the shared copy is hardly cached any more.
MAX_OBJECTS: typing.Final = 4096
SPENDING_TTL_S: typing.Final = 60.0


class ObjectKey(typing.NamedTuple):
    """An object of a service."""

    service: str
    affinity_key: str


class CrossingCosts(typing.NamedTuple):
    """What one crossing costs, and what the first run of a copy costs.

    Both are in seconds, the unit of all estimates.
    """

    crossing_s: float
    first_run_s: float


class CopyPolicy:
    """Spending on crossing zones by object, as seen by this VM.

    ``vms_in_zone`` is the number of entry VMs of this zone, which spend alike.
    """

    def __init__(self) -> None:
        self.vms_in_zone = 1
        # Seconds spent by object, and when it was last added to.
        self.spending: collections.OrderedDict[
            ObjectKey, tuple[float, float]
        ] = collections.OrderedDict()

    def record_crossing(
        self, key: ObjectKey, crossing_s: float, now: float
    ) -> None:
        """Record a request that was sent to another zone of the region."""
        spent_s = self.spent_s(key, now) + crossing_s * self.vms_in_zone
        self.spending[key] = (spent_s, now)
        self.spending.move_to_end(key)
        if len(self.spending) > MAX_OBJECTS:
            self.spending.popitem(last=False)

    def record_own_copy(self, key: ObjectKey) -> None:
        """Forget the spending on an object that this zone now caches."""
        self.spending.pop(key, None)

    def spent_s(self, key: ObjectKey, now: float) -> float:
        """Return the spending of this zone on an object, in seconds."""
        spent_s, spent_at = self.spending.get(key, (0.0, now))
        return spent_s if now - spent_at < SPENDING_TTL_S else 0.0

    def shares_copy(
        self, key: ObjectKey, costs: CrossingCosts, now: float
    ) -> bool:
        """Return whether this zone uses the copy of its region."""
        return (
            costs.crossing_s < MAX_CROSSING_FRACTION * costs.first_run_s
            and self.spent_s(key, now) < costs.first_run_s
        )
