"""This VM's replica of the store, and the age of that replica.

The replica is as recent as the send time of the last read that confirmed it: a
read by this VM, or one that a peer relays together with its age.  This age
bounds the use of an API key after its withdrawal, so nothing else, such as an
open connection to the store, counts as a confirmation.

When the store is restored from an older copy, a new era of its history starts.
What this VM knows of the era before and the copy lacks stays in use until the
writers had time to write it again, and values that are older than what this VM
knows are ignored.

Within an era, too, the order of the store is not the order of its writers: a
write that the store did not answer may take effect after later ones.  Where
values tell in which order their writer wrote them, that order decides, and a
value that the store may have written late is held until it cannot be.
"""

import abc
import collections
import collections.abc
import enum
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

# A write without an answer takes effect within this time or not at all.
MAX_WRITE_DELAY_S: typing.Final = 7.0

# The store removes the entry of a server that is silent for three heartbeat
# intervals.
SILENT_ENTRY_S: typing.Final = 5.0

START: typing.Final = _contracts.Position(0, 0)


class WriterOrder(enum.Enum):
    """Whether the writer of a key wrote a value after the known one.

    UNCLEAR: it is of an earlier start, or of a later one whose clock went
    back or that is not told.  UNTOLD: the values do not tell.
    """

    UNTOLD = enum.auto()
    AFTER = enum.auto()
    LATER_START = enum.auto()
    SAME = enum.auto()
    BEFORE = enum.auto()
    UNCLEAR = enum.auto()


class Precedence(enum.Enum):
    """Whether a value replaces what is known of its key.

    UNCONFIRMED: not while the store may have written it late.
    """

    NEWER = enum.auto()
    OLDER = enum.auto()
    UNCONFIRMED = enum.auto()


# Precedence of a value with a newer position over a known value.
PRECEDENCE_OVER_VALUE: typing.Final = {
    WriterOrder.UNTOLD: Precedence.NEWER,
    WriterOrder.AFTER: Precedence.NEWER,
    WriterOrder.LATER_START: Precedence.NEWER,
    WriterOrder.SAME: Precedence.NEWER,
    WriterOrder.BEFORE: Precedence.OLDER,
    WriterOrder.UNCLEAR: Precedence.UNCONFIRMED,
}

# The same over the deletion of a leased key.  A value of the start that ended
# may have been sent before the deletion.
PRECEDENCE_OVER_DELETION: typing.Final = {
    WriterOrder.UNTOLD: Precedence.UNCONFIRMED,
    WriterOrder.AFTER: Precedence.UNCONFIRMED,
    WriterOrder.LATER_START: Precedence.NEWER,
    WriterOrder.SAME: Precedence.OLDER,
    WriterOrder.BEFORE: Precedence.OLDER,
    WriterOrder.UNCLEAR: Precedence.UNCONFIRMED,
}


class StoredValue(typing.NamedTuple):
    """Value of a key and the position of its last change.

    ``recency`` is that of the latest value that told one, ``seen_at`` when the
    value came.  ``compared`` is set if an earlier state of the key was known.
    """

    value: bytes
    position: _contracts.Position
    recency: _contracts.Recency | None = None
    seen_at: float = float('-inf')
    compared: bool = False


class Tombstone(typing.NamedTuple):
    """Position of a key's deletion, and recency of its last known value."""

    position: _contracts.Position
    recency: _contracts.Recency | None
    seen_at: float = float('-inf')


class RefusedValue(typing.NamedTuple):
    """A value in the store that is not in use, applied at ``applies_at``."""

    change: _contracts.Change
    applies_at: float


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

OnRefusal = collections.abc.Callable[[_contracts.Change, Precedence], None]


class StoreReplica:
    """Copy of the store's keys and values.

    ``fresh_at`` is the latest time at which the copy is known to have been
    current, ``position`` the point in the store's history that it reflects.
    ``on_change`` is called for each change that is applied, ``on_refusal`` for
    each value of the store that is not, as its writer has written a newer one.
    """

    def __init__(
        self,
        on_change: OnChange,
        rules: KeyRules,
        on_refusal: OnRefusal | None = None,
    ) -> None:
        self.on_change = on_change
        self.rules = rules
        self.on_refusal = on_refusal
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
        # When the era began, if there was one before.
        self.era_seen_at = float('-inf')
        # Where the store has another value than the one in use.
        self.refused: dict[str, RefusedValue] = {}
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
        for key in self.refused.keys() - present:
            del self.refused[key]
        for key in [key for key in self.items if key not in present]:
            self.apply_missing(key, batch.position, now)
        self.apply_settled_era(batch, fresh_at)
        self.position = batch.position

    def start_era(
        self, batch: _contracts.ChangeBatch, fresh_at: float, now: float
    ) -> None:
        """Prepare for the first listing of a new era."""
        self.refused.clear()
        self.documents_confirmed_at = self.documents_fresh_at()
        self.settles_at = now + RESTORE_SETTLE_S
        self.tombstones_complete_after = batch.position
        if self.fresh_at != float('-inf'):
            self.hold_deletions_until = now + DELETION_HOLD_S
            self.era_seen_at = now
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
        if change.value is not None:
            self.apply_value(change, change.value, now)
            return
        refused = self.refused.get(change.key)
        if refused is not None and refused.change.position < change.position:
            del self.refused[change.key]
        current = self.items.get(change.key)
        if current is None:
            # A peer may still have the key and learn of its deletion from
            # here.
            self.add_tombstone(change.key, change.position, None, now)
        elif current.position < change.position or (
            # A peer refuses this value for a reason that was not known here.
            current.position == change.position and not current.compared
        ):
            if now < self.hold_deletions_until and self.rules.is_leased(
                change.key
            ):
                self.held_deletions[change.key] = HeldDeletion(
                    change.position, self.hold_deletions_until
                )
            else:
                self.delete(change.key, change.position, now)

    def apply_value(
        self, change: _contracts.Change, value: bytes, now: float
    ) -> None:
        """Use a value, or keep it as refused."""
        refused = self.refused.get(change.key)
        if refused and refused.change.position == change.position:
            # Read again, which does not show that it was written lately.
            return
        precedence = self.precedence(change, value, now)
        if precedence is Precedence.NEWER:
            self.use_value(change, value, now)
            return
        current = self.items.get(change.key)
        known = current or self.tombstones[change.key]
        if (
            change.position < known.position
            or (current and change.position == known.position)
            or (refused and change.position < refused.change.position)
        ):
            # What the store has now is not this value.
            return
        self.refused[change.key] = RefusedValue(
            change,
            self.delays_end_at(known) + SILENT_ENTRY_S
            if precedence is Precedence.UNCONFIRMED
            else float('inf'),
        )
        if self.on_refusal is not None:
            self.on_refusal(change, precedence)

    def use_value(
        self, change: _contracts.Change, value: bytes, now: float
    ) -> None:
        """Make a value the known one of its key."""
        known: StoredValue | Tombstone | None = self.items.get(
            change.key
        ) or self.tombstones.pop(change.key, None)
        recency = self.rules.recency(change.key, value)
        known_recency = known.recency if known is not None else None
        if self.writer_order(change.key, recency, known_recency) is (
            WriterOrder.UNTOLD
        ):
            # Another writer does not change what the key's own has written.
            recency = known_recency or recency
        self.held_deletions.pop(change.key, None)
        self.refused.pop(change.key, None)
        self.items[change.key] = StoredValue(
            value, change.position, recency, now, known is not None
        )
        self.on_change(change)

    def apply_refused(self, now: float) -> None:
        """Use the refused values that a server must have written lately."""
        due = [
            refused.change
            for refused in self.refused.values()
            if now >= refused.applies_at
        ]
        for change in due:
            if change.value is not None:
                self.use_value(change, change.value, now)

    def precedence(
        self, change: _contracts.Change, value: bytes, now: float
    ) -> Precedence:
        """Return whether a value replaces what is known of its key."""
        current = self.items.get(change.key)
        known: StoredValue | Tombstone | None = current or self.tombstones.get(
            change.key
        )
        if known is None:
            return Precedence.NEWER
        recency = self.rules.recency(change.key, value)
        order = self.writer_order(change.key, recency, known.recency)
        if current is not None:
            if self.outranks_position(change, order, current):
                return Precedence.NEWER
            if change.position <= known.position:
                return Precedence.OLDER
        elif change.position < known.position:
            return Precedence.OLDER
        may_be_late = (
            current is None
            and recency is not None
            and self.rules.is_leased(change.key)
        )
        precedence = (
            PRECEDENCE_OVER_DELETION if may_be_late else PRECEDENCE_OVER_VALUE
        )[order]
        if precedence is Precedence.UNCONFIRMED and (
            now >= self.delays_end_at(known)
        ):
            return Precedence.NEWER
        return precedence

    def outranks_position(
        self,
        change: _contracts.Change,
        order: WriterOrder,
        known: StoredValue,
    ) -> bool:
        """Return whether a value is newer wherever it is in the history.

        A peer may relay what a late write or a restored store has replaced.
        """
        if order is WriterOrder.AFTER:
            return self.counts_from_known_start(change.key, known.recency)
        return (
            order is WriterOrder.LATER_START
            and change.era != known.position.era
        )

    def delays_end_at(self, known: StoredValue | Tombstone) -> float:
        """Return from when on no older value than the known one appears."""
        return max(known.seen_at, self.era_seen_at) + MAX_WRITE_DELAY_S

    def writer_order(
        self,
        key: str,
        new: _contracts.Recency | None,
        known: _contracts.Recency | None,
    ) -> WriterOrder:
        """Return the order in which the writer of a key wrote two values.

        A value without the start of a server that tells it is not its own.
        """
        if new is None or known is None:
            return WriterOrder.UNTOLD
        if new.incarnation != known.incarnation:
            if not new.incarnation:
                return WriterOrder.UNTOLD
            later = new.incarnation > known.incarnation
            return WriterOrder.LATER_START if later else WriterOrder.UNCLEAR
        if new.number > known.number:
            return WriterOrder.AFTER
        if not self.counts_from_known_start(key, known):
            return WriterOrder.UNCLEAR
        same = new.number == known.number
        return WriterOrder.SAME if same else WriterOrder.BEFORE

    def counts_from_known_start(
        self, key: str, recency: _contracts.Recency | None
    ) -> bool:
        """Return whether the numbers of a value's writer never begin anew."""
        return recency is not None and (
            recency.incarnation != 0 or self.rules.is_configuration(key)
        )

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

    def delete(
        self, key: str, position: _contracts.Position, now: float
    ) -> None:
        """Delete a key and keep a tombstone for it."""
        recency = self.items.pop(key).recency
        self.held_deletions.pop(key, None)
        self.add_tombstone(key, position, recency, now)
        self.on_change(
            _contracts.Change(key, position.revision, None, position.era)
        )

    def add_tombstone(
        self,
        key: str,
        position: _contracts.Position,
        recency: _contracts.Recency | None,
        now: float,
    ) -> None:
        """Remember at which position and recency a key was deleted."""
        known = self.tombstones.get(key)
        seen_at = now
        if known is not None:
            if position <= known.position:
                position, seen_at = known.position, known.seen_at
            recency = recency or known.recency
        self.tombstones[key] = Tombstone(position, recency, seen_at)
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
                self.delete(key, position, now)

    def changes_since(
        self, after: _contracts.Position
    ) -> tuple[list[_contracts.Change], bool]:
        """Return the changes after a position, and whether they are partial.

        Values that a restored store lacks are always among them.  If
        deletions since that position may have been forgotten, the full
        content is returned instead, and False.  Held deletions count as done:
        a peer that already knows a later position would otherwise never learn
        of them, and it holds them itself if it has to.  Refused values follow
        what they must not replace, so that a peer that has them learns why.
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
                or key in self.refused
            )
        ]
        refused: list[_contracts.Change] = []
        for key, value in self.refused.items():
            if key not in self.items:
                refused.append(value.change._replace(value=None))
            refused.append(value.change)
        if not partial:
            return changes + refused, False
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
        return changes + refused, True
