"""A VM's token buckets, whose size follows its units, and their table.

The rate and the burst of a resource are divided into ``UNITS_PER_RESOURCE``
units.  For each resource and each epoch in force, a VM keeps a balance of
units: the equal split of that epoch plus the net units that transfers moved
under it.  The VM may use the smallest of these balances.

An epoch is a numbered list of member VMs.  The epochs in force are the newest
one, those that it replaced less than ``EVIDENCE_LIFETIME_S`` ago, and those of
pending proposals.

Sum rule: the usable units of all fresh VMs (``systems.Freshness``) never
exceed ``UNITS_PER_RESOURCE``.  Under one epoch the equal splits add up to
``UNITS_PER_RESOURCE``, and a transfer takes at least as much from one balance
as it adds to another.  At every moment there is an epoch that all fresh VMs
have in force: the newest epoch known to the VM that is furthest behind.  That
VM is fresh only if the next epoch was committed less than
``EVIDENCE_LIFETIME_S`` ago, so no VM has dropped the older epoch yet.  Every
VM uses at most its balance under that epoch.

Usage bound: all VMs together use at most burst + rate * t in any window of
length t.  A bucket holds at most its units' part of the burst.  Units are
gained without tokens, except by a transfer.  The tokens of a transfer are
credited only if every epoch in force is among those under which the transfer
was made, so that units in transit cover them.
"""

import asyncio
import collections
import math
import typing

from filbertstep import _ownership
from filbertstep import config
from filbertstep import systems

ACCOUNT_PREFIX: typing.Final = 'client_account/'
LINK_PREFIX: typing.Final = 'link/'

# Long compared with the gaps between requests, short compared with the time
# in which traffic shifts between VMs.
DEMAND_TIME_CONSTANT_S: typing.Final = 2.0

# Without this tolerance, rounding errors of refills could keep a bucket just
# below a whole token.
TOKEN_ROUNDING_ERROR: typing.Final = 1e-9


class Limits(typing.NamedTuple):
    """Limits of a resource over all VMs: tokens per second and burst."""

    rate: float
    burst: float


NO_LIMITS: typing.Final = Limits(0.0, 0.0)


class Waiter(typing.NamedTuple):
    """A request that waits for an amount of tokens.

    ``granted`` becomes True when the tokens have been consumed for it.
    """

    amount: float
    waiting_since: float
    granted: asyncio.Future[bool]


class DemandAverage:
    """Exponentially weighted moving average of the demand for tokens.

    Includes requests that were refused.
    """

    def __init__(self) -> None:
        self.average = 0.0
        self.recorded_at = 0.0

    def rate_per_s(self, now: float) -> float:
        """Return the average demand in tokens per second."""
        age = max(0.0, now - self.recorded_at)
        return self.average * math.exp(-age / DEMAND_TIME_CONSTANT_S)

    def record(self, amount: float, now: float) -> None:
        """Record demand for an amount of tokens."""
        self.average = self.rate_per_s(now) + amount / DEMAND_TIME_CONSTANT_S
        self.recorded_at = now


class Bucket:
    """The token bucket of one resource on this VM.

    ``splits`` are the units of the equal split by id of each epoch in force,
    ``units`` those that this VM may use.  ``net_transfers`` are the units
    gained minus those given away in transfers, by epoch id.  They are kept
    apart from the splits because a pending epoch can stop being in force and
    become so again; units given away under it must stay given away.
    """

    def __init__(self, resource: str, now: float) -> None:
        self.resource = resource
        self.limits = NO_LIMITS
        self.splits: dict[str, int] = {}
        self.net_transfers: dict[str, int] = {}
        self.units = 0
        self.tokens = 0.0
        self.refilled_at = now
        self.demand = DemandAverage()
        self.waiters: collections.deque[Waiter] = collections.deque()

    def capacity(self) -> float:
        """Return the most tokens that the bucket may hold."""
        return self.limits.burst * self.units / _ownership.UNITS_PER_RESOURCE

    def refill_rate(self) -> float:
        """Return the refill rate in tokens per second."""
        return self.limits.rate * self.units / _ownership.UNITS_PER_RESOURCE

    def refill(self, now: float) -> None:
        """Add the tokens that accrued since the last refill."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        self.tokens += elapsed * self.refill_rate()
        self.clamp_tokens()

    def clamp_tokens(self) -> None:
        """Drop tokens above the capacity."""
        self.tokens = min(self.tokens, self.capacity())

    def balance(self, epoch: str) -> int:
        """Return the balance of units under one epoch in force."""
        return self.splits[epoch] + self.net_transfers.get(epoch, 0)

    def update_usable_units(self) -> None:
        """Set the usable units to the smallest balance."""
        self.units = max(0, min(map(self.balance, self.splits), default=0))
        self.clamp_tokens()

    def set_limits_and_splits(
        self, limits: Limits, splits: dict[str, int]
    ) -> None:
        """Set limits and equal splits; gained units bring no tokens."""
        self.limits = limits
        self.splits = splits
        self.update_usable_units()

    def drop_old_transfers(self, newest_number: int) -> None:
        """Drop transfers under epochs that can never be in force again."""
        self.net_transfers = {
            epoch: units
            for epoch, units in self.net_transfers.items()
            if epoch in self.splits
            or _ownership.epoch_number(epoch) >= newest_number
        }

    def debit(self, units: int, epochs: list[str]) -> float:
        """Give units away under some epochs.

        Returns the tokens that are transferred with them, which are the same
        fraction of the tokens as of the units.
        """
        share = units / self.units if self.units else 0.0
        tokens = max(0.0, self.tokens) * share
        for epoch in epochs:
            self.net_transfers[epoch] = (
                self.net_transfers.get(epoch, 0) - units
            )
        self.tokens -= tokens
        self.update_usable_units()
        return tokens

    def credit(self, units: int, tokens: float, epochs: list[str]) -> None:
        """Add units that another VM debited under the same epochs.

        Their tokens are dropped if an epoch in force is not among these.
        """
        for epoch in set(epochs) & self.splits.keys():
            self.net_transfers[epoch] = (
                self.net_transfers.get(epoch, 0) + units
            )
        self.update_usable_units()
        if self.splits.keys() <= set(epochs):
            self.tokens += tokens
        self.clamp_tokens()

    def try_consume(self, amount: float) -> bool:
        """Consume tokens if the bucket has enough."""
        if self.tokens + TOKEN_ROUNDING_ERROR < amount:
            return False
        self.tokens -= amount
        return True

    def token_shortfall(self) -> float:
        """Return how many tokens the waiting requests lack."""
        needed = sum(waiter.amount for waiter in self.waiters)
        return max(0.0, needed - self.tokens)

    def longest_wait_s(self, now: float) -> float:
        """Return how long the first waiting request has waited, else 0."""
        return now - self.waiters[0].waiting_since if self.waiters else 0.0


class BucketTable:
    """Buckets by resource, kept up to date with the views in force.

    ``equal_splits`` caches the units of each VM by epoch id and resource.
    """

    def __init__(
        self, vm: str, incarnation: str, views: config.ViewTable
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.views = views
        self.buckets: dict[str, Bucket] = {}
        self.epochs: dict[str, config.Epoch] = {}
        self.epoch_ids = _ownership.EpochIdCache()
        self.equal_splits: dict[tuple[str, str], dict[str, int]] = {}
        self.applied_views: tuple[object, ...] = ()
        self.refreshed_at = float('-inf')

    def refresh(self, now: float) -> None:
        """Apply changed views at once, and a view's expiry within a tick.

        The expiry of a former view only relaxes limits, so a delay is safe.
        """
        views_key = (
            self.views.head_index(),
            self.views.epochs_known_since,
            tuple(self.views.pending),
        )
        due = now - self.refreshed_at >= systems.TICK_INTERVAL_S
        if views_key == self.applied_views and not due:
            return
        self.applied_views = views_key
        self.refreshed_at = now
        self.set_epochs(self.epoch_ids.by_id(self.views.epochs(now)))
        for resource in [*self.buckets, *self.new_resources()]:
            self.apply_views(resource, now)

    def set_epochs(self, epochs: dict[str, config.Epoch]) -> None:
        """Set the epochs in force; drop cached splits of other epochs."""
        if epochs.keys() != self.epochs.keys():
            self.equal_splits = {
                key: row
                for key, row in self.equal_splits.items()
                if key[0] in epochs
            }
        self.epochs = epochs

    def new_resources(self) -> list[str]:
        """Return the configured resources that have no bucket yet."""
        if self.views.newest is None:
            return []
        current = self.views.newest.config
        names = [ACCOUNT_PREFIX + name for name in current.client_accounts]
        names += [LINK_PREFIX + name for name in current.links]
        return [name for name in names if name not in self.buckets]

    def apply_views(self, resource: str, now: float) -> None:
        """Apply the views in force to one bucket; create it if missing."""
        limits = self.strictest_limits(resource, now)
        bucket = self.buckets.get(resource)
        if bucket is None:
            if limits is None or not self.epochs:
                return
            bucket = self.buckets[resource] = Bucket(resource, now)
            bucket.set_limits_and_splits(limits, self.own_splits(resource))
            bucket.tokens = bucket.capacity() if self.may_start_full() else 0.0
            return
        bucket.refill(now)
        bucket.set_limits_and_splits(
            limits or NO_LIMITS, self.own_splits(resource)
        )
        bucket.drop_old_transfers(self.newest_epoch_number())

    def own_splits(self, resource: str) -> dict[str, int]:
        """Return this VM's units of the equal split by epoch in force."""
        return {
            epoch_id: self.equal_split_units(
                epoch_id, resource, self.vm, self.incarnation
            )
            for epoch_id in self.epochs
        }

    def equal_split_units(
        self, epoch_id: str, resource: str, vm: str, incarnation: str
    ) -> int:
        """Return a process's units of the equal split of an epoch in force.

        A process that is not a member of the epoch has none.
        """
        epoch = self.epochs[epoch_id]
        if not epoch.has_member(vm, incarnation):
            return 0
        key = (epoch_id, resource)
        if key not in self.equal_splits:
            self.equal_splits[key] = _ownership.equal_split(epoch, resource)
        return self.equal_splits[key].get(vm, 0)

    def newest_epoch_number(self) -> int:
        """Return the number of the newest known epoch, or 0."""
        newest = self.views.newest
        return 0 if newest is None else newest.epoch.number

    def may_start_full(self) -> bool:
        """Return whether a new bucket may start full.

        A full bucket must not repeat a burst that was used already.  That is
        certain only under the first epoch, whose members start with nothing
        used.  A process never restarts under the same incarnation, so each
        member gets its initial tokens only once.
        """
        return self.views.epochs_known_since == float('-inf') and all(
            epoch.number <= 1 for epoch in self.epochs.values()
        )

    def strictest_limits(self, resource: str, now: float) -> Limits | None:
        """Return a resource's lowest limits over the views in force.

        None for a resource that is not in all of them.
        """
        if resource.startswith(ACCOUNT_PREFIX):
            name = resource.removeprefix(ACCOUNT_PREFIX)
            found = self.views.account_limits(name, now)
            return None if found is None else Limits(*found)
        return self.strictest_link_limits(
            resource.removeprefix(LINK_PREFIX), now
        )

    def strictest_link_limits(self, name: str, now: float) -> Limits | None:
        """Return a link's lowest limits over the views in force, in bytes."""
        rows = [
            view.config.links.get(name) for view in self.views.in_force(now)
        ]
        present = [row for row in rows if row is not None]
        if not rows or len(present) < len(rows):
            return None
        return Limits(
            min(row.bytes_per_s for row in present),
            min(row.burst_bytes for row in present),
        )

    def get(self, resource: str, now: float) -> Bucket | None:
        """Return a bucket after a refill; None for an unknown resource."""
        self.refresh(now)
        bucket = self.buckets.get(resource)
        if bucket is not None:
            bucket.refill(now)
        return bucket
