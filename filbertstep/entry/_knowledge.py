"""This VM's replica of the store, and the age of that replica.

The replica is as recent as the send time of the last read that confirmed it: a
read by this VM, or one that a peer relays together with its age.  This age
bounds the use of an API key after its withdrawal, so nothing else, such as an
open connection to the store, counts as a confirmation.

When the store is restored from an older copy, a new era of its history starts.
What this VM knows of the era before and the copy lacks stays in use until the
writers had time to write it again, and values that are older than what this VM
knows are ignored.
"""

import abc
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

# After this time in a new era, the operator has written its documents again.
RESTORE_SETTLE_S: typing.Final = 2.2

START: typing.Final = _contracts.Position(0, 0)


class StoredValue(typing.NamedTuple):
    """Value of a key and the position of its last change."""

    value: bytes
    position: _contracts.Position


class Tombstone(typing.NamedTuple):
    """Position of a key's deletion, and recency of its last known value."""

    position: _contracts.Position
    recency: _contracts.Recency | None


class HeldDeletion(typing.NamedTuple):
    """A deletion that is applied at the time ``until``."""

    position: _contracts.Position
    until: float


class KeyRules(abc.ABC):
    """What the replica has to know of the meaning of keys."""

    @abc.abstractmethod
    def is_leased(self, key: str) -> bool:
        """Return whether the store deletes a key when a lease ends."""

    @abc.abstractmethod
    def restore_hold_s(self, key: str) -> float:
        """Return for how long a key that a restored store lacks is kept."""

    @abc.abstractmethod
    def recency(self, key: str, value: bytes) -> _contracts.Recency | None:
        """Return the recency of a value, None if it does not tell."""

    @abc.abstractmethod
    def is_configuration(self, key: str) -> bool:
        """Return whether a key has the operator's configuration."""

    @abc.abstractmethod
    def settled_era(self, key: str, value: bytes) -> int | None:
        """Return the era that a value records as settled, if it does.

        In a settled era, the operator has written its documents again.
        """


OnChange = collections.abc.Callable[[_contracts.Change], None]


class StoreReplica:
    """Copy of the store's keys and values.

    ``fresh_at`` is the latest time at which the copy is known to have been
    current, ``position`` the point in the store's history that it reflects.
    ``on_change`` is called for each change that is applied.
    """

    def __init__(self, on_change: OnChange, rules: KeyRules) -> None:
        self.on_change = on_change
        self.rules = rules
        # Values that a restored store lacks keep their position of the era
        # before.
        self.items: dict[str, StoredValue] = {}
        self.tombstones: collections.OrderedDict[str, Tombstone] = (
            collections.OrderedDict()
        )
        # Deletions up to this position may be missing from ``tombstones``.
        self.tombstones_complete_after = START
        self.position = START
        self.fresh_at = float('-inf')
        self.held_deletions: dict[str, HeldDeletion] = {}
        self.hold_deletions_until = float('-inf')
        # Reads from this time on confirm the operator's documents.
        self.settles_at = float('-inf')
        # Until then, the latest time at which they were known to be current.
        self.documents_confirmed_at = float('-inf')

    def age(self, now: float) -> float:
        """Return the seconds since the replica was known to be current."""
        return now - self.fresh_at

    def documents_fresh_at(self) -> float:
        """Return when the operator's documents were known to be current.

        A restored store lacks documents that it had acknowledged, until the
        operator writes them again.
        """
        return (
            self.fresh_at if self.is_settled() else self.documents_confirmed_at
        )

    def documents_age(self, now: float) -> float:
        """Return the age of the operator's documents in seconds."""
        return now - self.documents_fresh_at()

    def is_settled(self) -> bool:
        """Return whether reads confirm the operator's documents."""
        return self.fresh_at >= self.settles_at

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
            current = self.items.get(change.key)
            if (
                current is not None
                and change.era == batch.era
                and current.position == change.position
                and self.rules.is_configuration(change.key)
            ):
                # Written in this era, so the operator has written again.
                self.settles_at = min(self.settles_at, fresh_at)
        self.apply_settled_era(batch, fresh_at)
        self.position = batch.position

    def replace(
        self,
        batch: _contracts.ChangeBatch,
        fresh_at: float,
        now: float,
    ) -> None:
        """Apply a full listing; known keys that it lacks were deleted.

        In a new era, they may also have been lost.
        """
        if batch.position < self.position:
            return
        if batch.era > self.position.era:
            self.start_era(batch, fresh_at, now)
        elif self.fresh_at == float('-inf'):
            # The first listing does not tell which keys were deleted before
            # it.
            self.tombstones_complete_after = batch.position
        self.confirm_fresh(fresh_at, now)
        present = {change.key for change in batch.changes}
        for change in batch.changes:
            self.apply_change(change, now)
        for key in [key for key in self.items if key not in present]:
            self.apply_missing(key, batch.position, now)
        self.apply_settled_era(batch, fresh_at)
        self.position = batch.position

    def start_era(
        self, batch: _contracts.ChangeBatch, fresh_at: float, now: float
    ) -> None:
        """Prepare for the first listing of a new era."""
        self.documents_confirmed_at = self.documents_fresh_at()
        self.settles_at = now + RESTORE_SETTLE_S
        self.tombstones_complete_after = batch.position
        if self.fresh_at != float('-inf'):
            self.hold_deletions_until = now + DELETION_HOLD_S
        for change in batch.changes:
            known = self.items.get(change.key)
            if (
                known is not None
                and known.position.era == self.position.era
                and known.position.revision != change.revision
                and known.value == change.value
                and self.rules.is_configuration(change.key)
            ):
                # The copy would have it at the known revision.
                self.settles_at = fresh_at

    def apply_settled_era(
        self, batch: _contracts.ChangeBatch, fresh_at: float
    ) -> None:
        """Stop waiting if a VM recorded that the batch's era is settled."""
        if any(
            change.value is not None
            and self.rules.settled_era(change.key, change.value) == batch.era
            for change in batch.changes
        ):
            self.settles_at = min(self.settles_at, fresh_at)

    def receive(
        self,
        batch: _contracts.ChangeBatch,
        partial: bool,
        fresh_at: float,
        documents_fresh_at: float,
        now: float,
    ) -> None:
        """Apply what a peer knows: changes, or its full content.

        ``documents_fresh_at`` is when the peer's documents of the operator
        were known to be current.
        """
        if batch.era < self.position.era:
            return
        if fresh_at > self.fresh_at or batch.era > self.position.era:
            if partial:
                self.apply(batch, fresh_at, now)
            else:
                self.replace(batch, fresh_at, now)
        if batch.era != self.position.era:
            return
        for change in batch.changes:
            if change.era < batch.era:
                # The restored store lacks it.
                self.apply_change(change, now)
        self.documents_confirmed_at = max(
            self.documents_confirmed_at, documents_fresh_at
        )

    def apply_change(self, change: _contracts.Change, now: float) -> None:
        """Apply one change unless a newer one of the same key is known."""
        current = self.items.get(change.key)
        if change.value is not None:
            if self.supersedes_known(change, change.value):
                self.tombstones.pop(change.key, None)
                self.held_deletions.pop(change.key, None)
                self.items[change.key] = StoredValue(
                    change.value, change.position
                )
                self.on_change(change)
            return
        if current is None:
            # A peer may still have the key and learn of its deletion from
            # here.
            self.add_tombstone(change.key, change.position, None)
        elif current.position <= change.position:
            if now < self.hold_deletions_until and self.rules.is_leased(
                change.key
            ):
                self.held_deletions[change.key] = HeldDeletion(
                    change.position, self.hold_deletions_until
                )
            else:
                self.delete(change.key, change.position)

    def supersedes_known(
        self, change: _contracts.Change, value: bytes
    ) -> bool:
        """Return whether a new value is newer than what is known of its key.

        Positions order the changes of one era.  Between eras, the recency of
        the values decides if they tell it: a copy may have an older value.
        """
        current = self.items.get(change.key)
        known: StoredValue | Tombstone | None = current or self.tombstones.get(
            change.key
        )
        if known is None:
            return True
        if known.position.era != change.era:
            new_recency = self.rules.recency(change.key, value)
            known_recency = (
                known.recency
                if isinstance(known, Tombstone)
                else self.rules.recency(change.key, known.value)
            )
            if new_recency is not None and known_recency is not None:
                if new_recency != known_recency:
                    return new_recency > known_recency
                if current is None:
                    return False
        if current is None:
            return change.position >= known.position
        return change.position > known.position

    def apply_missing(
        self, key: str, position: _contracts.Position, now: float
    ) -> None:
        """Apply that a listing lacks a known key.

        If the value is of an era before, it was possibly not deleted but lost.
        """
        if self.items[key].position.era == position.era:
            self.apply_change(
                _contracts.Change(key, position.revision, None, position.era),
                now,
            )
            return
        held = self.held_deletions.get(key)
        if held is None or held.position.era < position.era:
            self.held_deletions[key] = HeldDeletion(
                position, now + self.rules.restore_hold_s(key)
            )

    def delete(self, key: str, position: _contracts.Position) -> None:
        """Delete a key and keep a tombstone for it."""
        value = self.items.pop(key).value
        self.held_deletions.pop(key, None)
        self.add_tombstone(key, position, self.rules.recency(key, value))
        self.on_change(
            _contracts.Change(key, position.revision, None, position.era)
        )

    def add_tombstone(
        self,
        key: str,
        position: _contracts.Position,
        recency: _contracts.Recency | None,
    ) -> None:
        """Remember at which position and recency a key was deleted."""
        known = self.tombstones.get(key)
        if known is not None:
            position = max(position, known.position)
            recency = recency or known.recency
        self.tombstones[key] = Tombstone(position, recency)
        self.tombstones.move_to_end(key)
        while len(self.tombstones) > MAX_TOMBSTONES:
            _, oldest = self.tombstones.popitem(last=False)
            self.tombstones_complete_after = max(
                self.tombstones_complete_after, oldest.position
            )

    def apply_held_deletions(self, now: float) -> None:
        """Apply the held deletions whose hold time has passed."""
        due = [
            (key, held.position)
            for key, held in self.held_deletions.items()
            if now >= held.until
        ]
        for key, position in due:
            del self.held_deletions[key]
            current = self.items.get(key)
            if current is not None and current.position <= position:
                self.delete(key, position)

    def changes_since(
        self, after: _contracts.Position
    ) -> tuple[list[_contracts.Change], bool]:
        """Return the changes after a position, and whether they are partial.

        Values that a restored store lacks are always among them.  If
        deletions since that position may have been forgotten, the full
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
            and (
                not partial
                or item.position > after
                # A peer at the same position may have the copy's older value.
                or item.position.era < self.position.era
            )
        ]
        if not partial:
            return changes, False
        deleted = {
            **{key: dead.position for key, dead in self.tombstones.items()},
            **{
                key: held.position for key, held in self.held_deletions.items()
            },
        }
        changes += [
            _contracts.Change(key, position.revision, None, position.era)
            for key, position in deleted.items()
            if position > after
        ]
        return changes, True
