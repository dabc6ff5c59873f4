"""The store's content as this VM knows it, and how old that is.

Knowledge is as fresh as the send time of the newest read that confirmed it:
this VM's own, or one that a peer relays with its age.  Freshness is what
bounds the use of a key after its withdrawal, so it is never extended by
anything else, such as an open connection.
"""

import collections
import collections.abc
import typing

from filbertstep.entry import _contracts

# Deleted keys that are remembered, so that a peer can be told of them.
MAX_TOMBSTONES: typing.Final = 4096

# A gap in seconds without fresh knowledge after which deletions are held
# back: leases may have lapsed while the store was away.
OUTAGE_AFTER_S: typing.Final = 3.0

# Time in seconds for which they are held back; the platform's servers write
# their entries again within about 2 s of the store's return.
DELETION_HOLD_S: typing.Final = 2.2


class StoredValue(typing.NamedTuple):
    """Value of a key and the revision of its last change."""

    value: bytes
    revision: int


OnChange = collections.abc.Callable[[_contracts.Change], None]


class StoreReplica:
    """Keys and values under the store's prefixes.

    ``fresh_at`` is the time at which the content is known to have been the
    store's newest, ``revision`` the store's revision that it reflects.
    ``may_lapse`` tells keys that disappear when a lease ends.
    """

    def __init__(
        self,
        on_change: OnChange,
        is_leased: collections.abc.Callable[[str], bool],
    ) -> None:
        self.on_change = on_change
        self.is_leased = is_leased
        self.items: dict[str, StoredValue] = {}
        self.tombstones: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # Revision below which deletions may be missing from ``deleted``.
        self.tombstones_complete_after = 0
        self.revision = 0
        self.fresh_at = float('-inf')
        self.held_deletions: dict[str, int] = {}
        self.hold_deletions_until = float('-inf')

    def age(self, now: float) -> float:
        """Return the seconds since the content was known to be newest."""
        return now - self.fresh_at

    def confirm_fresh(self, fresh_at: float, now: float) -> None:
        """Note that the content was the newest at a time."""
        if self.fresh_at != float('-inf') and (
            now - self.fresh_at > OUTAGE_AFTER_S
        ):
            self.hold_deletions_until = now + DELETION_HOLD_S
        self.fresh_at = max(self.fresh_at, fresh_at)

    def apply(
        self, listing: _contracts.ChangeBatch, fresh_at: float, now: float
    ) -> None:
        """Take changes after the known revision."""
        if listing.revision < self.revision:
            return
        self.confirm_fresh(fresh_at, now)
        for change in listing.changes:
            self.apply_change(change, now)
        self.revision = listing.revision

    def replace(
        self,
        listing: _contracts.ChangeBatch,
        fresh_at: float,
        now: float,
    ) -> None:
        """Take the whole content; keys that are not in it were deleted."""
        if listing.revision < self.revision:
            return
        if self.fresh_at == float('-inf'):
            # What was deleted before the first listing is not in it.
            self.tombstones_complete_after = listing.revision
        self.confirm_fresh(fresh_at, now)
        present = {change.key for change in listing.changes}
        for change in listing.changes:
            self.apply_change(change, now)
        for key in [key for key in self.items if key not in present]:
            self.apply_change(
                _contracts.Change(key, listing.revision, None), now
            )
        self.revision = listing.revision

    def apply_change(self, change: _contracts.Change, now: float) -> None:
        """Take one change unless a newer one of its key is known."""
        current = self.items.get(change.key)
        if change.value is None:
            if current is None:
                # A peer may still know the key and hear of it from here.
                self.add_tombstone(change.key, change.revision)
                return
            if current.revision > change.revision:
                return
            if now < self.hold_deletions_until and self.is_leased(change.key):
                self.held_deletions[change.key] = change.revision
                return
            self.delete(change.key, change.revision)
            return
        if current is not None and current.revision >= change.revision:
            return
        if self.tombstones.get(change.key, 0) > change.revision:
            return
        self.tombstones.pop(change.key, None)
        self.held_deletions.pop(change.key, None)
        self.items[change.key] = StoredValue(change.value, change.revision)
        self.on_change(change)

    def delete(self, key: str, revision: int) -> None:
        """Delete a key and remember that."""
        del self.items[key]
        self.add_tombstone(key, revision)
        self.on_change(_contracts.Change(key, revision, None))

    def add_tombstone(self, key: str, revision: int) -> None:
        """Keep the revision at which a key was deleted."""
        self.tombstones[key] = max(revision, self.tombstones.get(key, 0))
        self.tombstones.move_to_end(key)
        while len(self.tombstones) > MAX_TOMBSTONES:
            _, oldest = self.tombstones.popitem(last=False)
            self.tombstones_complete_after = max(
                self.tombstones_complete_after, oldest
            )

    def apply_held_deletions(self, now: float) -> None:
        """Apply deletions that were held back long enough."""
        if not self.held_deletions or now < self.hold_deletions_until:
            return
        held, self.held_deletions = self.held_deletions, {}
        for key, revision in held.items():
            current = self.items.get(key)
            if current is not None and current.revision <= revision:
                self.delete(key, revision)

    def changes_since(
        self, after: int
    ) -> tuple[list[_contracts.Change], bool]:
        """Return the changes after a revision, and whether they are all.

        When not, they are the whole content instead.  Deletions that are held
        back here count as done: a peer that knows a later revision would not
        hear of them any more, and holds them back itself if it has to.
        """
        if 0 < after and self.tombstones_complete_after <= after:
            changes = [
                _contracts.Change(key, stored.revision, stored.value)
                for key, stored in self.items.items()
                if stored.revision > after and key not in self.held_deletions
            ]
            changes += [
                _contracts.Change(key, revision, None)
                for key, revision in [
                    *self.tombstones.items(),
                    *self.held_deletions.items(),
                ]
                if revision > after
            ]
            return changes, True
        return [
            _contracts.Change(key, stored.revision, stored.value)
            for key, stored in self.items.items()
            if key not in self.held_deletions
        ], False
