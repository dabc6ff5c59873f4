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
TOMBSTONES: typing.Final = 4096

# A gap in seconds without fresh knowledge after which deletions are held
# back: leases may have lapsed while the store was away.
OUTAGE_S: typing.Final = 3.0

# Time in seconds for which they are held back; the platform's servers write
# their entries again within about 2 s of the store's return.
HOLD_S: typing.Final = 2.2


class Stored(typing.NamedTuple):
    """Value of a key and the revision of its last change."""

    value: bytes
    revision: int


OnChange = collections.abc.Callable[[_contracts.Change], None]


class KnowledgeTable:
    """Keys and values under the store's prefixes.

    ``fresh_at`` is the time at which the content is known to have been the
    store's newest, ``revision`` the store's revision that it reflects.
    ``may_lapse`` tells keys that disappear when a lease ends.
    """

    def __init__(
        self,
        on_change: OnChange,
        may_lapse: collections.abc.Callable[[str], bool],
    ) -> None:
        self.on_change = on_change
        self.may_lapse = may_lapse
        self.items: dict[str, Stored] = {}
        self.deleted: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # Revision below which deletions may be missing from ``deleted``.
        self.complete_after = 0
        self.revision = 0
        self.fresh_at = float('-inf')
        self.held: dict[str, int] = {}
        self.hold_until = float('-inf')

    def age(self, now: float) -> float:
        """Return the seconds since the content was known to be newest."""
        return now - self.fresh_at

    def confirm(self, fresh_at: float, now: float) -> None:
        """Note that the content was the newest at a time."""
        if self.fresh_at != float('-inf') and (now - self.fresh_at > OUTAGE_S):
            self.hold_until = now + HOLD_S
        self.fresh_at = max(self.fresh_at, fresh_at)

    def apply(
        self, listing: _contracts.ChangeBatch, fresh_at: float, now: float
    ) -> None:
        """Take changes after the known revision."""
        if listing.revision < self.revision:
            return
        self.confirm(fresh_at, now)
        for change in listing.changes:
            self.take(change, now)
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
            self.complete_after = listing.revision
        self.confirm(fresh_at, now)
        present = {change.key for change in listing.changes}
        for change in listing.changes:
            self.take(change, now)
        for key in [key for key in self.items if key not in present]:
            self.take(_contracts.Change(key, listing.revision, None), now)
        self.revision = listing.revision

    def take(self, change: _contracts.Change, now: float) -> None:
        """Take one change unless a newer one of its key is known."""
        known = self.items.get(change.key)
        if change.value is None:
            if known is None:
                # A peer may still know the key and hear of it from here.
                self.remember(change.key, change.revision)
                return
            if known.revision > change.revision:
                return
            if now < self.hold_until and self.may_lapse(change.key):
                self.held[change.key] = change.revision
                return
            self.drop(change.key, change.revision)
            return
        if known is not None and known.revision >= change.revision:
            return
        if self.deleted.get(change.key, 0) > change.revision:
            return
        self.deleted.pop(change.key, None)
        self.held.pop(change.key, None)
        self.items[change.key] = Stored(change.value, change.revision)
        self.on_change(change)

    def drop(self, key: str, revision: int) -> None:
        """Delete a key and remember that."""
        del self.items[key]
        self.remember(key, revision)
        self.on_change(_contracts.Change(key, revision, None))

    def remember(self, key: str, revision: int) -> None:
        """Keep the revision at which a key was deleted."""
        self.deleted[key] = max(revision, self.deleted.get(key, 0))
        self.deleted.move_to_end(key)
        while len(self.deleted) > TOMBSTONES:
            _, oldest = self.deleted.popitem(last=False)
            self.complete_after = max(self.complete_after, oldest)

    def release(self, now: float) -> None:
        """Apply deletions that were held back long enough."""
        if not self.held or now < self.hold_until:
            return
        held, self.held = self.held, {}
        for key, revision in held.items():
            known = self.items.get(key)
            if known is not None and known.revision <= revision:
                self.drop(key, revision)

    def since(self, after: int) -> tuple[list[_contracts.Change], bool]:
        """Return the changes after a revision, and whether they are all.

        When not, they are the whole content instead.  Deletions that are held
        back here count as done: a peer that knows a later revision would not
        hear of them any more, and holds them back itself if it has to.
        """
        if 0 < after and self.complete_after <= after:
            changes = [
                _contracts.Change(key, stored.revision, stored.value)
                for key, stored in self.items.items()
                if stored.revision > after and key not in self.held
            ]
            changes += [
                _contracts.Change(key, revision, None)
                for key, revision in [
                    *self.deleted.items(),
                    *self.held.items(),
                ]
                if revision > after
            ]
            return changes, True
        return [
            _contracts.Change(key, stored.revision, stored.value)
            for key, stored in self.items.items()
            if key not in self.held
        ], False
