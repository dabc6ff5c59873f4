"""This VM's replica of the store, and the age of that replica.

The replica is as recent as the send time of the last read that confirmed it: a
read by this VM, or one that a peer relays together with its age.  This age
bounds the use of an API key after its withdrawal, so nothing else, such as an
open connection to the store, counts as a confirmation.
"""

import collections
import collections.abc
import typing

from filbertstep.entry import _contracts

# Bounds the memory for deleted keys, which are kept so that peers can be told
# of the deletions.
MAX_TOMBSTONES: typing.Final = 4096

# After this many seconds without a confirmation, deletions of leased keys are
# held back: leases may have expired during an outage of the store.
OUTAGE_AFTER_S: typing.Final = 3.0

# The platform's servers write their entries again within about 2 s of the
# store's return.
DELETION_HOLD_S: typing.Final = 2.2

START: typing.Final = _contracts.Position(0, 0)


class StoredValue(typing.NamedTuple):
    """Value of a key and the position of its last change."""

    value: bytes
    position: _contracts.Position


OnChange = collections.abc.Callable[[_contracts.Change], None]


class StoreReplica:
    """Copy of the store's keys and values.

    ``fresh_at`` is the latest time at which the copy is known to have been
    current, ``position`` the point in the store's history that it reflects.
    ``is_leased`` tells whether the store deletes a key when a lease ends, and
    ``on_change`` is called for each change that is applied.
    """

    def __init__(
        self,
        on_change: OnChange,
        is_leased: collections.abc.Callable[[str], bool],
    ) -> None:
        self.on_change = on_change
        self.is_leased = is_leased
        self.items: dict[str, StoredValue] = {}
        self.tombstones: collections.OrderedDict[str, _contracts.Position] = (
            collections.OrderedDict()
        )
        # Deletions up to this position may be missing from ``tombstones``.
        self.tombstones_complete_after = START
        self.position = START
        self.fresh_at = float('-inf')
        self.held_deletions: dict[str, _contracts.Position] = {}
        self.hold_deletions_until = float('-inf')

    def age(self, now: float) -> float:
        """Return the seconds since the replica was known to be current."""
        return now - self.fresh_at

    def confirm_fresh(self, fresh_at: float, now: float) -> None:
        """Record that the replica was current at ``fresh_at``.

        After an outage, this starts the period in which deletions are held.
        """
        if self.fresh_at != float('-inf') and (
            now - self.fresh_at > OUTAGE_AFTER_S
        ):
            self.hold_deletions_until = now + DELETION_HOLD_S
        self.fresh_at = max(self.fresh_at, fresh_at)

    def apply(
        self, batch: _contracts.ChangeBatch, fresh_at: float, now: float
    ) -> None:
        """Apply changes after the known position; ignore older batches."""
        if batch.position < self.position or batch.era != self.position.era:
            return
        self.confirm_fresh(fresh_at, now)
        for change in batch.changes:
            self.apply_change(change, now)
        self.position = batch.position

    def replace(
        self,
        batch: _contracts.ChangeBatch,
        fresh_at: float,
        now: float,
    ) -> None:
        """Apply a full listing; known keys that it lacks were deleted."""
        if batch.position < self.position:
            return
        if self.fresh_at == float('-inf') or batch.era > self.position.era:
            # The first listing of an era does not tell which keys were deleted
            # before it.
            self.tombstones_complete_after = batch.position
        self.confirm_fresh(fresh_at, now)
        present = {change.key for change in batch.changes}
        for change in batch.changes:
            self.apply_change(change, now)
        for key in [key for key in self.items if key not in present]:
            self.apply_change(
                _contracts.Change(key, batch.revision, None, batch.era),
                now,
            )
        self.position = batch.position

    def apply_change(self, change: _contracts.Change, now: float) -> None:
        """Apply one change unless a newer one of the same key is known."""
        current = self.items.get(change.key)
        if change.value is None:
            if current is None:
                # A peer may still have the key and learn of its deletion from
                # here.
                self.add_tombstone(change.key, change.position)
                return
            if current.position > change.position:
                return
            if now < self.hold_deletions_until and self.is_leased(change.key):
                self.held_deletions[change.key] = change.position
                return
            self.delete(change.key, change.position)
            return
        if current is not None and current.position >= change.position:
            return
        if self.tombstones.get(change.key, START) > change.position:
            return
        self.tombstones.pop(change.key, None)
        self.held_deletions.pop(change.key, None)
        self.items[change.key] = StoredValue(change.value, change.position)
        self.on_change(change)

    def delete(self, key: str, position: _contracts.Position) -> None:
        """Delete a key and keep a tombstone for it."""
        del self.items[key]
        self.add_tombstone(key, position)
        self.on_change(
            _contracts.Change(key, position.revision, None, position.era)
        )

    def add_tombstone(self, key: str, position: _contracts.Position) -> None:
        """Remember the position at which a key was deleted."""
        self.tombstones[key] = max(position, self.tombstones.get(key, START))
        self.tombstones.move_to_end(key)
        while len(self.tombstones) > MAX_TOMBSTONES:
            _, oldest = self.tombstones.popitem(last=False)
            self.tombstones_complete_after = max(
                self.tombstones_complete_after, oldest
            )

    def apply_held_deletions(self, now: float) -> None:
        """Apply the held deletions once their hold time has passed."""
        if not self.held_deletions or now < self.hold_deletions_until:
            return
        held, self.held_deletions = self.held_deletions, {}
        for key, position in held.items():
            current = self.items.get(key)
            if current is not None and current.position <= position:
                self.delete(key, position)

    def changes_since(
        self, after: _contracts.Position
    ) -> tuple[list[_contracts.Change], bool]:
        """Return the changes after a position, and whether they are partial.

        If deletions since that position may have been forgotten, the full
        content is returned instead, and False.  Held deletions count as done:
        a peer that already knows a later position would otherwise never learn
        of them, and it holds them itself if it has to.
        """
        partial = START < after and self.tombstones_complete_after <= after
        changes = [
            _contracts.Change(
                key, item.position.revision, item.value, item.position.era
            )
            for key, item in self.items.items()
            if key not in self.held_deletions
            and (not partial or item.position > after)
        ]
        if not partial:
            return changes, False
        deleted = {**self.tombstones, **self.held_deletions}
        changes += [
            _contracts.Change(key, position.revision, None, position.era)
            for key, position in deleted.items()
            if position > after
        ]
        return changes, True
