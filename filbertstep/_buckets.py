"""Token buckets over units, and the table that keeps them.

A VM keeps, for each epoch in force and each resource, a balance of units: the
equal split of that epoch plus what transfers moved under it.  It may use the
least of these balances.

The sum rule, why the usable units of all fresh VMs never exceed
``UNITS_PER_RESOURCE``: under one epoch the equal splits sum up to
``UNITS_PER_RESOURCE`` and a transfer takes at least as much from one balance
as it adds to another.  At every moment there is an epoch that all fresh VMs
have in force: the newest one that the VM furthest behind knows, because that
VM is fresh only if the next epoch was committed less than
``EVIDENCE_LIFETIME_S`` ago, so nobody has dropped the former one yet.  Every
VM uses at most its balance under that epoch.

The bound on use, at most burst + rate * t in any window t: tokens are clamped
to burst * units, units are gained without tokens except from a transfer, and
a transfer's tokens are credited only while all epochs in force are among
those it was made under, so that they are covered by units in flight.
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

# Time constant in seconds of the moving average of demand.  Long against the
# gaps between requests, short against the time in which traffic moves.
DEMAND_TIME_S: typing.Final = 2.0

# Rounding errors of refills must not keep a bucket just below a whole token.
TOKEN_ERROR: typing.Final = 1e-9


class Limits(typing.NamedTuple):
    """Rate (a second) and burst of a resource over all VMs together."""

    rate: float
    burst: float


NO_LIMITS: typing.Final = Limits(0.0, 0.0)


class Waiter(typing.NamedTuple):
    """A request that waits for tokens since a time."""

    amount: float
    since: float
    taken: asyncio.Future[bool]


class Demand:
    """Exponentially weighted rate of what was asked for, refused included."""

    def __init__(self) -> None:
        self.level = 0.0
        self.noted_at = 0.0

    def rate(self, now: float) -> float:
        """Return the average amount a second."""
        age = max(0.0, now - self.noted_at)
        return self.level * math.exp(-age / DEMAND_TIME_S)

    def note(self, amount: float, now: float) -> None:
        """Count an amount that was asked for."""
        self.level = self.rate(now) + amount / DEMAND_TIME_S
        self.noted_at = now


class Bucket:
    """One resource at this VM; ``balances`` are units by epoch in force.

    ``moved`` keeps the net units gained by transfers by epoch id.  It is kept
    apart from the splits because a pending epoch can leave the epochs in
    force and return, and what was given away under it must stay given.
    """

    def __init__(self, resource: str, now: float) -> None:
        self.resource = resource
        self.limits = NO_LIMITS
        self.splits: dict[str, int] = {}
        self.moved: dict[str, int] = {}
        self.units = 0
        self.tokens = 0.0
        self.filled_at = now
        self.demand = Demand()
        self.waiters: collections.deque[Waiter] = collections.deque()

    def capacity(self) -> float:
        """Return the most tokens that the units may hold."""
        return self.limits.burst * self.units / _ownership.UNITS_PER_RESOURCE

    def refill_rate(self) -> float:
        """Return tokens a second that the units give."""
        return self.limits.rate * self.units / _ownership.UNITS_PER_RESOURCE

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last refill."""
        elapsed = max(0.0, now - self.filled_at)
        self.filled_at = now
        self.tokens += elapsed * self.refill_rate()
        self.clamp()

    def clamp(self) -> None:
        """Drop tokens that the units cannot hold."""
        self.tokens = min(self.tokens, self.capacity())

    def balance(self, epoch: str) -> int:
        """Return the units held under one epoch in force."""
        return self.splits[epoch] + self.moved.get(epoch, 0)

    def settle(self) -> None:
        """Set the usable units to the least balance."""
        self.units = max(0, min(map(self.balance, self.splits), default=0))
        self.clamp()

    def set_rules(self, limits: Limits, splits: dict[str, int]) -> None:
        """Take over limits and equal splits; gained units have no tokens."""
        self.limits = limits
        self.splits = splits
        self.settle()

    def forget_moves(self, newest_number: int) -> None:
        """Drop moves under epochs that can never be in force again."""
        self.moved = {
            epoch: units
            for epoch, units in self.moved.items()
            if epoch in self.splits
            or _ownership.epoch_number(epoch) >= newest_number
        }

    def debit(self, units: int, epochs: list[str]) -> float:
        """Give units away under epochs; return the tokens that go along."""
        share = units / self.units if self.units else 0.0
        tokens = max(0.0, self.tokens) * share
        for epoch in epochs:
            self.moved[epoch] = self.moved.get(epoch, 0) - units
        self.tokens -= tokens
        self.settle()
        return tokens

    def credit(self, units: int, tokens: float, epochs: list[str]) -> None:
        """Add units that another VM debited under the same epochs."""
        for epoch in set(epochs) & self.splits.keys():
            self.moved[epoch] = self.moved.get(epoch, 0) + units
        self.settle()
        if self.splits.keys() <= set(epochs):
            self.tokens += tokens
        self.clamp()

    def take(self, amount: float) -> bool:
        """Take tokens if they are there."""
        if self.tokens + TOKEN_ERROR < amount:
            return False
        self.tokens -= amount
        return True

    def missing(self) -> float:
        """Return tokens that the waiting requests lack."""
        wanted = sum(waiter.amount for waiter in self.waiters)
        return max(0.0, wanted - self.tokens)

    def waited_s(self, now: float) -> float:
        """Return how long the first waiting request has waited."""
        return now - self.waiters[0].since if self.waiters else 0.0


class ShareTable:
    """Buckets by resource, kept in line with the views in force."""

    def __init__(
        self, vm: str, incarnation: str, views: config.ViewTable
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.views = views
        self.buckets: dict[str, Bucket] = {}
        self.epochs: dict[str, config.Epoch] = {}
        self.epoch_ids = _ownership.EpochIds()
        self.holders: dict[tuple[str, str], dict[str, int]] = {}
        self.seen: tuple[object, ...] = ()
        self.refreshed_at = float('-inf')

    def refresh(self, now: float) -> None:
        """Apply a changed view at once and a lapsed one within a tick.

        A former view that lapses only permits more, so it may be late.
        """
        seen = (
            self.views.index(),
            self.views.epochs_known_since,
            tuple(self.views.pending),
        )
        due = now - self.refreshed_at >= systems.TICK_INTERVAL_S
        if seen == self.seen and not due:
            return
        self.seen = seen
        self.refreshed_at = now
        self.set_epochs(self.epoch_ids.by_id(self.views.epochs(now)))
        for resource in [*self.buckets, *self.new_resources()]:
            self.apply(resource, now)

    def set_epochs(self, epochs: dict[str, config.Epoch]) -> None:
        """Take over the epochs in force; drop what others left behind."""
        if epochs.keys() != self.epochs.keys():
            self.holders = {
                key: row
                for key, row in self.holders.items()
                if key[0] in epochs
            }
        self.epochs = epochs

    def new_resources(self) -> list[str]:
        """Return configured resources that have no bucket yet."""
        if self.views.newest is None:
            return []
        current = self.views.newest.config
        names = [ACCOUNT_PREFIX + name for name in current.client_accounts]
        names += [LINK_PREFIX + name for name in current.links]
        return [name for name in names if name not in self.buckets]

    def apply(self, resource: str, now: float) -> None:
        """Apply the views in force to one bucket."""
        limits = self.limits(resource, now)
        bucket = self.buckets.get(resource)
        if bucket is None:
            if limits is None or not self.epochs:
                return
            bucket = self.buckets[resource] = Bucket(resource, now)
            bucket.set_rules(limits, self.splits(resource))
            bucket.tokens = bucket.capacity() if self.nobody_acted() else 0.0
            return
        bucket.refill(now)
        bucket.set_rules(limits or NO_LIMITS, self.splits(resource))
        bucket.forget_moves(self.newest_number())

    def splits(self, resource: str) -> dict[str, int]:
        """Return this VM's equal split under each epoch in force."""
        return {
            identifier: self.split(
                identifier, resource, self.vm, self.incarnation
            )
            for identifier in self.epochs
        }

    def split(
        self, identifier: str, resource: str, vm: str, incarnation: str
    ) -> int:
        """Return the units that an epoch in force gives a process."""
        epoch = self.epochs[identifier]
        if not epoch.holds(vm, incarnation):
            return 0
        key = (identifier, resource)
        if key not in self.holders:
            self.holders[key] = _ownership.holders(epoch, resource)
        return self.holders[key].get(vm, 0)

    def newest_number(self) -> int:
        """Return the number of the newest epoch known."""
        newest = self.views.newest
        return 0 if newest is None else newest.epoch.number

    def nobody_acted(self) -> bool:
        """Tell whether a full bucket cannot repeat anyone's burst.

        Only under the first epoch, whose members start with nothing used.
        A process of its members is never restarted under the same
        incarnation, so each of them begins with its part once.
        """
        return self.views.epochs_known_since == float('-inf') and all(
            epoch.number <= 1 for epoch in self.epochs.values()
        )

    def limits(self, resource: str, now: float) -> Limits | None:
        """Return the least limits of a resource over the views in force."""
        if resource.startswith(ACCOUNT_PREFIX):
            name = resource.removeprefix(ACCOUNT_PREFIX)
            found = self.views.account_limits(name, now)
            return None if found is None else Limits(*found)
        return self.link_limits(resource.removeprefix(LINK_PREFIX), now)

    def link_limits(self, name: str, now: float) -> Limits | None:
        """Return the least rate and burst of a link, in bytes."""
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
        """Return a bucket, refilled; None for an unknown resource."""
        self.refresh(now)
        bucket = self.buckets.get(resource)
        if bucket is not None:
            bucket.refill(now)
        return bucket
