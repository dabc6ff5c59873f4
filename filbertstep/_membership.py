"""Membership: which VMs are heard, and which epoch should follow.

Heartbeats decide who is live; the platform's list, which lags, only gives
addresses and tells when a VM is gone for good.
"""

import typing

from filbertstep import _commit
from filbertstep import _epochs
from filbertstep import _evidence
from filbertstep import _vm_list
from filbertstep import config
from filbertstep import systems

# Silence in seconds after which a VM is left out of look-up answers.
SUSPECT_AFTER_S: typing.Final = 2.5

# Silence in seconds after which a member is taken out of the epoch.
REMOVE_AFTER_S: typing.Final = 4.0

# Changes within this time in seconds share one epoch.  The delay also lets the
# next heartbeat correct a late one of a VM's former incarnation.
BATCH_S: typing.Final = 0.5

# Back-off in seconds by rank, so that the others propose only when the first
# does not reach the store.
RANK_DELAY_S: typing.Final = 0.5

# Time in seconds after which the first epoch is created although a listed VM
# is silent.
FIRST_EPOCH_WAIT_S: typing.Final = 5.0

# A gap in seconds between two ticks after which this process was frozen, so
# that the silence of the others says nothing about them.
FREEZE_GAP_S: typing.Final = 1.0

# Age in seconds up to which a fetched list counts.
LIST_VALID_S: typing.Final = 5.0

# Silence in seconds after which an unlisted VM's address is forgotten.
FORGET_AFTER_S: typing.Final = 60.0

JOINING_STATES: typing.Final = frozenset({'joining', 'serving'})


class Peer(typing.NamedTuple):
    """Row of another VM, from its last heartbeat.

    ``pending`` maps ids of its pending proposals to their base indexes.
    """

    vm: str
    incarnation: str
    region: str
    availability_zone: str
    callers_url: str
    state: str
    minute: int
    burden: float
    head_index: int
    pending: dict[str, int]
    heard_at: float


class PeerTable:
    """Other VMs by name."""

    def __init__(self) -> None:
        self.rows: dict[str, Peer] = {}
        self.addresses: dict[str, str] = {}
        self.listed: frozenset[str] = frozenset()
        self.listed_at = _evidence.NEVER


class Membership(systems.Membership):
    """Decides who is live and which change of the epoch is due."""

    def __init__(
        self,
        me: _evidence.Identity,
        views: config.ViewTable,
        started: float,
    ) -> None:
        self.identity = me
        self.views = views
        self.table = PeerTable()
        self.started = started
        self.state = 'joining'
        self.ticked_at = started
        # Silence counts from here at the earliest.
        self.listening_since = started
        self.due_since: float | None = None

    def hear(self, peer: Peer, peers_url: str) -> None:
        """Take over a heartbeat."""
        self.table.rows[peer.vm] = peer
        # The list may not have the VM yet.
        self.table.addresses.setdefault(peer.vm, peers_url)

    def take_list(self, vms: list[_vm_list.ListedVm], now: float) -> None:
        """Take over the platform's list.

        A list without this VM is wrong or too old to tell who is gone.
        """
        table = self.table
        names = frozenset(row.vm for row in vms)
        for row in vms:
            if row.vm != self.identity.vm:
                table.addresses[row.vm] = row.peers_url
        if self.identity.vm not in names:
            return
        table.listed = names
        table.listed_at = now
        for vm in sorted(set(table.addresses) - names):
            if self.silence(vm, now) > FORGET_AFTER_S:
                del table.addresses[vm]
                table.rows.pop(vm, None)

    def tick(self, now: float) -> None:
        """Notice when this process was frozen."""
        if now - self.ticked_at > FREEZE_GAP_S:
            self.listening_since = now
            self.due_since = None
        self.ticked_at = now

    def silence(self, vm: str, now: float) -> float:
        """Return for how long in seconds a VM was not heard."""
        peer = self.table.rows.get(vm)
        heard_at = self.listening_since
        if peer is not None:
            heard_at = max(heard_at, peer.heard_at)
        return now - heard_at

    def heard(self, vm: str, now: float) -> bool:
        """Tell whether a VM was heard within ``SUSPECT_AFTER_S``."""
        peer = self.table.rows.get(vm)
        return peer is not None and now - peer.heard_at < SUSPECT_AFTER_S

    def absent(self, vm: str, now: float) -> bool:
        """Tell whether the platform no longer has a VM."""
        table = self.table
        return (
            now - table.listed_at < LIST_VALID_S
            and vm not in table.listed
            and self.silence(vm, now) >= config.EVIDENCE_LIFETIME_S
        )

    def reach(self, vm: str, now: float) -> _commit.Reach:
        """Return what a proposer needs to know about a VM."""
        return _commit.Reach(self.heard(vm, now), self.absent(vm, now))

    def live_vms(self, now: float) -> list[systems.LiveVm]:
        """Return the other VMs that are live, sorted by name."""
        return [
            systems.LiveVm(
                vm=row.vm,
                incarnation=row.incarnation,
                region=row.region,
                availability_zone=row.availability_zone,
                state=row.state,
                url=row.callers_url,
                minute=row.minute,
                load=row.burden,
            )
            for vm, row in sorted(self.table.rows.items())
            if self.heard(vm, now)
        ]

    def epoch(self) -> config.Epoch:
        """Return the newest epoch."""
        newest = self.views.newest
        return config.NO_EPOCH if newest is None else newest.epoch

    def joiners(self, now: float) -> frozenset[config.Member]:
        """Return the live processes that should become members."""
        epoch = self.epoch()
        found = {
            config.Member(
                row.vm, row.incarnation, row.region, row.availability_zone
            )
            for row in self.table.rows.values()
            if row.state in JOINING_STATES and self.heard(row.vm, now)
        }
        if self.state in JOINING_STATES:
            found.add(_epochs.member_row(self.identity))
        return frozenset(
            member
            for member in found
            if not epoch.holds(member.vm, member.incarnation)
        )

    def gone(self, member: config.Member, now: float) -> bool:
        """Tell whether a member should be taken out of the epoch."""
        if member.vm == self.identity.vm:
            return member.incarnation != self.identity.incarnation
        row = self.table.rows.get(member.vm)
        if row is not None and self.heard(member.vm, now):
            return (
                row.state == 'leaving' or row.incarnation != member.incarnation
            )
        return self.silence(member.vm, now) >= REMOVE_AFTER_S

    def edit(self, now: float) -> _epochs.EpochEdit:
        """Return the change of the epoch that this VM sees fit."""
        removals = frozenset(
            (member.vm, member.incarnation)
            for member in self.epoch().members.values()
            if self.gone(member, now)
        )
        return _epochs.EpochEdit(removals, self.joiners(now))

    def rank(self, now: float) -> int:
        """Return how many live VMs should propose before this one."""
        epoch = self.epoch()
        names = {
            vm: epoch.holds(vm, row.incarnation)
            for vm, row in self.table.rows.items()
            if self.heard(vm, now) and row.state != 'leaving'
        }
        names[self.identity.vm] = epoch.holds(
            self.identity.vm, self.identity.incarnation
        )
        order = sorted(names, key=lambda vm: (not names[vm], vm))
        return order.index(self.identity.vm)

    def may_create(self, now: float) -> bool:
        """Tell whether the first epoch may be created."""
        listed = self.table.listed - {self.identity.vm}
        complete = self.table.listed_at > _evidence.NEVER and all(
            self.heard(vm, now) for vm in listed
        )
        return complete or now - self.started >= FIRST_EPOCH_WAIT_S

    def due(self, now: float, head_absent: bool) -> _epochs.EpochEdit | None:
        """Return the edit to propose now, if any.

        ``head_absent`` tells that the store has no head yet.
        """
        edit = self.edit(now)
        first = self.views.newest is None
        if not any(edit) or (first and not head_absent):
            self.due_since = None
            return None
        if first and not self.may_create(now):
            return None
        if self.due_since is None:
            self.due_since = now
        wait_s = BATCH_S + self.rank(now) * RANK_DELAY_S
        if now - self.due_since < wait_s:
            return None
        return edit
