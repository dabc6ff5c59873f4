"""The views in force, and the rules that result from all of them together.

A view is one version of the head with its configuration.  A change of the
configuration reaches the VMs one after the other.  While some VMs may still
act on the former version, a VM must not use what only the new version permits.

So several views are in force at a time: the newest one, every view replaced
less than ``EVIDENCE_LIFETIME_S`` ago and every pending proposal.  An action is
permitted only if all of them permit it.  A new restriction thus applies at
once, and a new permission only when every other VM knows of the change or no
longer acts because its evidence has expired.
"""

import typing

from filbertstep import _config
from filbertstep import _head

# A VM may act for this time after evidence that its head is the newest.  The
# withdrawal of an API key must apply everywhere within 9 s, and a VM that does
# not learn of it acts on its former view for this long.
EVIDENCE_LIFETIME_S: typing.Final = 4.0


class FormerView(typing.NamedTuple):
    """A view and the time of this VM's clock at which it was replaced."""

    view: _head.View
    replaced_at: float


class FormerEpoch(typing.NamedTuple):
    """An epoch and the time of this VM's clock at which it was replaced."""

    epoch: _head.Epoch
    replaced_at: float


class ViewTable:
    """The views that this VM knows: newest, former and proposed ones.

    ``pending`` maps the id of a pending proposal to the proposal and its
    view.  Times are in seconds of this VM's clock.
    """

    def __init__(self) -> None:
        self.newest: _head.View | None = None
        self.former: list[FormerView] = []
        self.former_epochs: list[FormerEpoch] = []
        self.pending: dict[str, tuple[_head.Proposal, _head.View]] = {}
        # This VM may have missed epochs that were replaced before this time.
        self.epochs_known_since: float | None = None

    def head_index(self) -> int:
        """Return the newest known head index, or 0 if no head is known."""
        return 0 if self.newest is None else self.newest.head_index

    def add_view(self, view: _head.View, now: float) -> bool:
        """Make a view the newest one if its head index is higher.

        Returns False if the index is not higher; nothing changes then.
        Proposals whose base index is now outdated are dropped.
        """
        if view.head_index <= self.head_index():
            return False
        self.record_former_epochs(view, now)
        if self.newest is not None:
            self.former.append(FormerView(self.newest, now))
        self.newest = view
        self.pending = {
            key: entry
            for key, entry in self.pending.items()
            if entry[0].base_index >= view.head_index
        }
        self.prune(now)
        return True

    def record_former_epochs(self, view: _head.View, now: float) -> None:
        """Record the epochs between the known epoch and the new one."""
        current = self.newest.epoch if self.newest is not None else None
        if current is not None and current.number == view.epoch.number:
            return
        former = [
            epoch
            for epoch in view.former_epochs
            if current is not None and epoch.number > current.number
        ]
        if current is not None:
            former.insert(0, current)
        numbers = [epoch.number for epoch in former] + [view.epoch.number]
        is_gapless = numbers == list(range(numbers[0], numbers[-1] + 1))
        is_first_epoch = current is None and view.epoch.number <= 1
        if is_first_epoch and self.epochs_known_since is None:
            # There is no epoch before the first one that could be missed.
            self.epochs_known_since = float('-inf')
        elif current is None or not is_gapless:
            self.epochs_known_since = now
        self.former_epochs.extend(FormerEpoch(epoch, now) for epoch in former)

    def add_proposal(self, proposal: _head.Proposal, view: _head.View) -> None:
        """Add a pending proposal unless its base head was replaced."""
        if proposal.base_index >= self.head_index():
            self.pending[proposal_id(proposal)] = (proposal, view)

    def prune(self, now: float) -> None:
        """Delete former views and epochs on which no VM can act anymore."""
        oldest = now - EVIDENCE_LIFETIME_S
        self.former = [row for row in self.former if row.replaced_at > oldest]
        # Slots depend on older epochs than other rules do; see _slots.
        oldest = now - 3 * (EVIDENCE_LIFETIME_S + _config.MAX_DEADLINE_S)
        self.former_epochs = [
            row for row in self.former_epochs if row.replaced_at > oldest
        ]

    def in_force(self, now: float) -> list[_head.View]:
        """Return the views in force, the newest one first."""
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
        """Return the epochs of the last ``lookback_s``, the newest first.

        These are the newest epoch, those of pending proposals and those
        replaced within that time.  The list is empty if this VM may have
        missed an epoch in that time; it must not use any share then.
        """
        known_since = self.epochs_known_since
        if (
            self.newest is None
            or known_since is None
            or now - known_since < lookback_s
        ):
            return []
        epochs_in_force = [self.newest.epoch]
        epochs_in_force.extend(view.epoch for _, view in self.pending.values())
        epochs_in_force.extend(
            row.epoch
            for row in self.former_epochs
            if row.replaced_at > now - lookback_s
        )
        return epochs_in_force

    def key_account(self, digest: str, now: float) -> str | None:
        """Return the account of the key with a digest in all views.

        None if the views differ or if the key does not exist.
        """
        rows = [view.config.keys.get(digest) for view in self.in_force(now)]
        names = {None if row is None else row.client_account for row in rows}
        return names.pop() if len(names) == 1 else None

    def account_limits(
        self, name: str, now: float
    ) -> tuple[float, float] | None:
        """Return the lowest rate and burst of an account in any view.

        The rate is in requests per second.  None if a view lacks the account.
        """
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
        """Return whether all views in force let an account use a service."""
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
        """Return whether any view drains a backend server, VM or region."""
        return any(
            drain.target_kind is kind and drain.target == target
            for view in self.in_force(now)
            for drain in view.config.drains.values()
        )

    def shift_cap(self, service: str, now: float) -> _config.ShiftCap | None:
        """Return the strictest shift cap of a service, None without a cap."""
        caps = [
            cap
            for view in self.in_force(now)
            if (cap := view.config.shift_caps.get(service)) is not None
        ]
        return min(caps, key=lambda cap: cap.max_share, default=None)


def proposal_id(proposal: _head.Proposal) -> str:
    """Return an id that is equal for equal proposals."""
    return _head.section_key(str(proposal.base_index), proposal.head)
