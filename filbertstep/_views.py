"""The views in force and the rules that hold under all of them at once.

A change reaches the VMs one after the other.  While some may still act on the
former state, a VM must not use what only the new state permits.  So every rule
is evaluated under the conjunction of the newest view, each view it replaced
less than ``EVIDENCE_LIFETIME_S`` ago and each pending proposal: a restriction
holds at once, and a permission when every other VM has learned of the change
or has stopped because its evidence lapsed.
"""

import typing

from filbertstep import _config
from filbertstep import _head

# Time in seconds for which evidence about the newest head lets a VM act.
# Withdrawal of a key must be in force everywhere within 9 s, and a VM that
# learns nothing acts for this long on what it knew before.
EVIDENCE_LIFETIME_S: typing.Final = 4.0


class FormerView(typing.NamedTuple):
    """A view that a newer one replaced at a time of this machine."""

    view: _head.View
    replaced_at: float


class FormerEpoch(typing.NamedTuple):
    """An epoch that a newer one replaced at a time of this machine."""

    epoch: _head.Epoch
    replaced_at: float


class ViewTable:
    """Views known to this VM, newest and former and proposed."""

    def __init__(self) -> None:
        self.newest: _head.View | None = None
        self.former: list[FormerView] = []
        self.former_epochs: list[FormerEpoch] = []
        self.pending: dict[str, tuple[_head.Proposal, _head.View]] = {}
        # Epochs older than this time may have been missed altogether.
        self.epochs_known_since: float | None = None

    def index(self) -> int:
        """Return the newest head index, 0 when none is known."""
        return 0 if self.newest is None else self.newest.head_index

    def add_view(self, view: _head.View, now: float) -> bool:
        """Take over a view; return False when it is not newer.

        A lower or equal head index never replaces a known one.
        """
        if view.head_index <= self.index():
            return False
        self.record_former_epochs(view, now)
        if self.newest is not None:
            self.former.append(FormerView(self.newest, now))
        self.newest = view
        self.pending = {
            digest: pair
            for digest, pair in self.pending.items()
            if pair[0].base_index >= view.head_index
        }
        self.prune(now)
        return True

    def record_former_epochs(self, view: _head.View, now: float) -> None:
        """Keep the epochs between the known one and the new one."""
        known = self.newest.epoch if self.newest is not None else None
        if known is not None and known.number == view.epoch.number:
            return
        former = [
            epoch
            for epoch in view.former_epochs
            if known is not None and epoch.number > known.number
        ]
        if known is not None:
            former.insert(0, known)
        numbers = [epoch.number for epoch in former] + [view.epoch.number]
        gapless = numbers == list(range(numbers[0], numbers[-1] + 1))
        first_ever = known is None and view.epoch.number <= 1
        if first_ever and self.epochs_known_since is None:
            # Nobody acted under an epoch before the first one.
            self.epochs_known_since = float('-inf')
        elif known is None or not gapless:
            self.epochs_known_since = now
        self.former_epochs.extend(FormerEpoch(epoch, now) for epoch in former)

    def add_proposal(self, proposal: _head.Proposal, view: _head.View) -> None:
        """Add a pending proposal unless its base is already replaced."""
        if proposal.base_index >= self.index():
            self.pending[proposal_id(proposal)] = (proposal, view)

    def prune(self, now: float) -> None:
        """Forget former views and epochs that no VM can still act on."""
        oldest = now - EVIDENCE_LIFETIME_S
        self.former = [row for row in self.former if row.replaced_at > oldest]
        # Slots look back further than evidence lives; see _slots.
        oldest = now - 3 * (EVIDENCE_LIFETIME_S + _config.MAX_DEADLINE_S)
        self.former_epochs = [
            row for row in self.former_epochs if row.replaced_at > oldest
        ]

    def in_force(self, now: float) -> list[_head.View]:
        """Return the views that hold now, the newest first."""
        if self.newest is None:
            return []
        oldest = now - EVIDENCE_LIFETIME_S
        views = [self.newest]
        views.extend(view for _, view in self.pending.values())
        views.extend(
            row.view for row in self.former if row.replaced_at > oldest
        )
        return views

    def epochs(
        self, now: float, lookback_s: float = EVIDENCE_LIFETIME_S
    ) -> list[_head.Epoch]:
        """Return the epochs under which shares hold, the newest first.

        Empty when an epoch within the look-back may have been missed; then
        nothing that an epoch gives may be used.
        """
        since = self.epochs_known_since
        if self.newest is None or since is None or now - since < lookback_s:
            return []
        found = [self.newest.epoch]
        found.extend(view.epoch for _, view in self.pending.values())
        found.extend(
            row.epoch
            for row in self.former_epochs
            if row.replaced_at > now - lookback_s
        )
        return found

    def key_account(self, digest: str, now: float) -> str | None:
        """Return the account that a key's digest belongs to in all views."""
        rows = [view.config.keys.get(digest) for view in self.in_force(now)]
        names = {None if row is None else row.client_account for row in rows}
        return names.pop() if len(names) == 1 else None

    def account_limits(
        self, name: str, now: float
    ) -> tuple[float, float] | None:
        """Return least rate (requests a second) and burst of an account."""
        rows = [
            view.config.client_accounts.get(name)
            for view in self.in_force(now)
        ]
        present = [row for row in rows if row is not None]
        if not rows or len(present) < len(rows):
            return None
        return (
            min(row.rate for row in present),
            min(row.burst for row in present),
        )

    def account_may_use(self, name: str, service: str, now: float) -> bool:
        """Tell whether all views let an account use a service."""
        rows = [
            view.config.client_accounts.get(name)
            for view in self.in_force(now)
        ]
        return bool(rows) and all(
            row is not None and service in row.services for row in rows
        )

    def is_drained(
        self, kind: _config.DrainTarget, target: str, now: float
    ) -> bool:
        """Tell whether any view drains a backend server, VM or region."""
        return any(
            drain.target_kind is kind and drain.target == target
            for view in self.in_force(now)
            for drain in view.config.drains.values()
        )

    def shift_cap(self, service: str, now: float) -> _config.ShiftCap | None:
        """Return the tightest cap of a service over all views, if any."""
        caps = [
            cap
            for view in self.in_force(now)
            if (cap := view.config.shift_caps.get(service)) is not None
        ]
        return min(caps, key=lambda cap: cap.max_share, default=None)


def proposal_id(proposal: _head.Proposal) -> str:
    """Return an id that two copies of one proposal share."""
    return _head.section_key(str(proposal.base_index), proposal.head)
