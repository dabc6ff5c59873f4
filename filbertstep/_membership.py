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
EPOCH_BATCH_DELAY_S: typing.Final = 0.5

# Back-off in seconds by rank, so that the others propose only when the first
# does not reach the store.
PROPOSER_STAGGER_S: typing.Final = 0.5

# Time in seconds after which the first epoch is created although a listed VM
# is silent.
FIRST_EPOCH_WAIT_S: typing.Final = 5.0

# A gap in seconds between two ticks after which this process was frozen, so
# that the silence of the others says nothing about them.
FREEZE_DETECTION_GAP_S: typing.Final = 1.0

# Age in seconds up to which a fetched list counts.
VM_LIST_MAX_AGE_S: typing.Final = 5.0

# Silence in seconds after which an unlisted VM's address is forgotten.
PEER_URL_RETENTION_S: typing.Final = 60.0

MEMBER_STATES: typing.Final = frozenset({'joining', 'serving'})


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
    load: float
    head_index: int
    pending: dict[str, int]
    heard_at: float


class PeerTable:
    """Other VMs by name."""

    def __init__(self) -> None:
        self.rows: dict[str, Peer] = {}
        self.peer_urls: dict[str, str] = {}
        self.listed_vms: frozenset[str] = frozenset()
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
        self.started_at = started
        self.state = 'joining'
        self.last_tick_at = started
        # Silence counts from here at the earliest.
        self.listening_since = started
        self.edit_pending_since: float | None = None

    def record_heartbeat(self, peer: Peer, peers_url: str) -> None:
        """Take over a heartbeat."""
        self.table.rows[peer.vm] = peer
        # The list may not have the VM yet.
        self.table.peer_urls.setdefault(peer.vm, peers_url)

    def update_from_list(
        self, vms: list[_vm_list.ListedVm], now: float
    ) -> None:
        """Take over the platform's list.

        A list without this VM is wrong or too old to tell who is gone.
        """
        table = self.table
        names = frozenset(row.vm for row in vms)
        for row in vms:
            if row.vm != self.identity.vm:
                table.peer_urls[row.vm] = row.peers_url
        if self.identity.vm not in names:
            return
        table.listed_vms = names
        table.listed_at = now
        for vm in sorted(set(table.peer_urls) - names):
            if self.silence_s(vm, now) > PEER_URL_RETENTION_S:
                del table.peer_urls[vm]
                table.rows.pop(vm, None)

    def tick(self, now: float) -> None:
        """Notice when this process was frozen."""
        if now - self.last_tick_at > FREEZE_DETECTION_GAP_S:
            self.listening_since = now
            self.edit_pending_since = None
        self.last_tick_at = now

    def silence_s(self, vm: str, now: float) -> float:
        """Return for how long in seconds a VM was not heard."""
        peer = self.table.rows.get(vm)
        heard_at = self.listening_since
        if peer is not None:
            heard_at = max(heard_at, peer.heard_at)
        return now - heard_at

    def is_live(self, vm: str, now: float) -> bool:
        """Tell whether a VM was heard within ``SUSPECT_AFTER_S``."""
        peer = self.table.rows.get(vm)
        return peer is not None and now - peer.heard_at < SUSPECT_AFTER_S

    def is_absent(self, vm: str, now: float) -> bool:
        """Tell whether the platform no longer has a VM."""
        table = self.table
        return (
            now - table.listed_at < VM_LIST_MAX_AGE_S
            and vm not in table.listed_vms
            and self.silence_s(vm, now) >= config.EVIDENCE_LIFETIME_S
        )

    def reachability(self, vm: str, now: float) -> _commit.Reachability:
        """Return what a proposer needs to know about a VM."""
        return _commit.Reachability(
            self.is_live(vm, now), self.is_absent(vm, now)
        )

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
                load=row.load,
            )
            for vm, row in sorted(self.table.rows.items())
            if self.is_live(vm, now)
        ]

    def epoch(self) -> config.Epoch:
        """Return the newest epoch."""
        newest = self.views.newest
        return config.NO_EPOCH if newest is None else newest.epoch

    def joining_members(self, now: float) -> frozenset[config.Member]:
        """Return the live processes that should become members."""
        epoch = self.epoch()
        found = {
            config.Member(
                row.vm, row.incarnation, row.region, row.availability_zone
            )
            for row in self.table.rows.values()
            if row.state in MEMBER_STATES and self.is_live(row.vm, now)
        }
        if self.state in MEMBER_STATES:
            found.add(_epochs.own_member(self.identity))
        return frozenset(
            member
            for member in found
            if not epoch.holds(member.vm, member.incarnation)
        )

    def should_remove(self, member: config.Member, now: float) -> bool:
        """Tell whether a member should be taken out of the epoch."""
        if member.vm == self.identity.vm:
            return member.incarnation != self.identity.incarnation
        row = self.table.rows.get(member.vm)
        if row is not None and self.is_live(member.vm, now):
            return (
                row.state == 'leaving' or row.incarnation != member.incarnation
            )
        return self.silence_s(member.vm, now) >= REMOVE_AFTER_S

    def wanted_edit(self, now: float) -> _epochs.EpochEdit:
        """Return the change of the epoch that this VM sees fit."""
        removals = frozenset(
            (member.vm, member.incarnation)
            for member in self.epoch().members.values()
            if self.should_remove(member, now)
        )
        return _epochs.EpochEdit(removals, self.joining_members(now))

    def proposer_rank(self, now: float) -> int:
        """Return how many live VMs should propose before this one."""
        epoch = self.epoch()
        names = {
            vm: epoch.holds(vm, row.incarnation)
            for vm, row in self.table.rows.items()
            if self.is_live(vm, now) and row.state != 'leaving'
        }
        names[self.identity.vm] = epoch.holds(
            self.identity.vm, self.identity.incarnation
        )
        order = sorted(names, key=lambda vm: (not names[vm], vm))
        return order.index(self.identity.vm)

    def may_create_first_epoch(self, now: float) -> bool:
        """Tell whether the first epoch may be created."""
        listed = self.table.listed_vms - {self.identity.vm}
        complete = self.table.listed_at > _evidence.NEVER and all(
            self.is_live(vm, now) for vm in listed
        )
        return complete or now - self.started_at >= FIRST_EPOCH_WAIT_S

    def due_edit(
        self, now: float, head_absent: bool
    ) -> _epochs.EpochEdit | None:
        """Return the edit to propose now, if any.

        ``head_absent`` tells that the store has no head yet.
        """
        edit = self.wanted_edit(now)
        first = self.views.newest is None
        if not any(edit) or (first and not head_absent):
            self.edit_pending_since = None
            return None
        if first and not self.may_create_first_epoch(now):
            return None
        if self.edit_pending_since is None:
            self.edit_pending_since = now
        wait_s = (
            EPOCH_BATCH_DELAY_S + self.proposer_rank(now) * PROPOSER_STAGGER_S
        )
        if now - self.edit_pending_since < wait_s:
            return None
        return edit
