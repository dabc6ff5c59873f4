"""Membership: which VMs are live, and which change of the epoch is due.

A VM is live while its heartbeats arrive.  The platform's VM list is only used
to find the URLs of VMs and to detect that a VM no longer exists, because it
lags behind.
"""

import typing

from filbertstep import _commit
from filbertstep import _epochs
from filbertstep import _evidence
from filbertstep import _vm_list
from filbertstep import config
from filbertstep import systems

# A VM that sent no heartbeat for this time is not live, and is left out of
# look-up answers.
SUSPECT_AFTER_S: typing.Final = 2.5

# A member that sent no heartbeat for this time is removed from the epoch.
REMOVE_AFTER_S: typing.Final = 4.0

# Changes within this time are combined into one epoch.  The delay also allows
# the next heartbeat to correct a late one of a VM's former incarnation.
EPOCH_BATCH_DELAY_S: typing.Final = 0.5

# Extra delay before a proposal for each VM of lower rank, so that the others
# propose only when the first VM does not reach the store.
PROPOSER_STAGGER_S: typing.Final = 0.5

# After this time the first epoch is created even when a listed VM has sent no
# heartbeat.
FIRST_EPOCH_WAIT_S: typing.Final = 5.0

# A longer time between two ticks means that this process was frozen, so that
# missing heartbeats say nothing about the other VMs.
FREEZE_DETECTION_GAP_S: typing.Final = 1.0

VM_LIST_MAX_AGE_S: typing.Final = 5.0

# A VM that is not listed is dropped from the table when it has sent no
# heartbeat for this time.
UNLISTED_VM_RETENTION_S: typing.Final = 60.0

# States in which a live process is added to the epoch.
ELIGIBLE_STATES: typing.Final = frozenset({'joining', 'serving'})


class Peer(typing.NamedTuple):
    """Another VM, as described by its last heartbeat.

    ``pending`` maps the ids of its pending proposals to their base indexes.
    ``heard_at`` is the time at which the heartbeat arrived.
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
    """The other VMs by name.

    ``peers`` has those that sent a heartbeat, ``peer_urls`` all whose URL for
    calls of peers is known, ``listed_vms`` all names on the platform's list
    as of ``listed_at``, including this VM's.
    """

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}
        self.peer_urls: dict[str, str] = {}
        self.listed_vms: frozenset[str] = frozenset()
        self.listed_at = _evidence.NEVER


class Membership(systems.Membership):
    """Decides which VMs are live and which change of the epoch is due."""

    def __init__(
        self,
        identity: _evidence.Identity,
        views: config.ViewTable,
        started_at: float,
    ) -> None:
        self.identity = identity
        self.views = views
        self.peer_table = PeerTable()
        self.started_at = started_at
        self.state = 'joining'
        self.last_tick_at = started_at
        # Missing heartbeats are counted from this time at the earliest.
        self.listening_since = started_at
        self.edit_pending_since: float | None = None

    def record_heartbeat(self, peer: Peer, peers_url: str) -> None:
        """Record the sender of a heartbeat."""
        self.peer_table.peers[peer.vm] = peer
        # The list may not have the VM yet.
        self.peer_table.peer_urls.setdefault(peer.vm, peers_url)

    def update_from_list(
        self, vms: list[_vm_list.ListedVm], now: float
    ) -> None:
        """Update the table from the platform's VM list.

        A list without this VM is wrong or outdated.  From such a list only
        the URLs are used.
        """
        table = self.peer_table
        names = frozenset(row.vm for row in vms)
        for row in vms:
            if row.vm != self.identity.vm:
                table.peer_urls[row.vm] = row.peers_url
        if self.identity.vm not in names:
            return
        table.listed_vms = names
        table.listed_at = now
        for vm in sorted(set(table.peer_urls) - names):
            if self.silence_s(vm, now) > UNLISTED_VM_RETENTION_S:
                del table.peer_urls[vm]
                table.peers.pop(vm, None)

    def tick(self, now: float) -> None:
        """Detect that this process was frozen, and restart time-outs then."""
        if now - self.last_tick_at > FREEZE_DETECTION_GAP_S:
            self.listening_since = now
            self.edit_pending_since = None
        self.last_tick_at = now

    def silence_s(self, vm: str, now: float) -> float:
        """Return the seconds since a VM's last heartbeat.

        Time before the start or the last freeze of this process is not
        counted.
        """
        peer = self.peer_table.peers.get(vm)
        heard_at = self.listening_since
        if peer is not None:
            heard_at = max(heard_at, peer.heard_at)
        return now - heard_at

    def is_live(self, vm: str, now: float) -> bool:
        """Return whether a VM sent a heartbeat within ``SUSPECT_AFTER_S``."""
        peer = self.peer_table.peers.get(vm)
        return peer is not None and now - peer.heard_at < SUSPECT_AFTER_S

    def is_absent(self, vm: str, now: float) -> bool:
        """Return whether a VM no longer exists.

        That is when a recent list lacks the VM and it sent no heartbeat for
        the lifetime of evidence.
        """
        table = self.peer_table
        return (
            now - table.listed_at < VM_LIST_MAX_AGE_S
            and vm not in table.listed_vms
            and self.silence_s(vm, now) >= config.EVIDENCE_LIFETIME_S
        )

    def reachability(self, vm: str, now: float) -> _commit.Reachability:
        """Return whether a VM is live and whether it no longer exists."""
        return _commit.Reachability(
            self.is_live(vm, now), self.is_absent(vm, now)
        )

    def live_vms(self, now: float) -> list[systems.LiveVm]:
        """Return the other live VMs, sorted by name."""
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
            for vm, row in sorted(self.peer_table.peers.items())
            if self.is_live(vm, now)
        ]

    def epoch(self) -> config.Epoch:
        """Return the newest known epoch, ``NO_EPOCH`` when there is none."""
        newest = self.views.newest
        return config.NO_EPOCH if newest is None else newest.epoch

    def joining_members(self, now: float) -> frozenset[config.Member]:
        """Return the live processes that should be added to the epoch."""
        epoch = self.epoch()
        members = {
            config.Member(
                row.vm, row.incarnation, row.region, row.availability_zone
            )
            for row in self.peer_table.peers.values()
            if row.state in ELIGIBLE_STATES and self.is_live(row.vm, now)
        }
        if self.state in ELIGIBLE_STATES:
            members.add(_epochs.own_member(self.identity))
        return frozenset(
            member
            for member in members
            if not epoch.has_member(member.vm, member.incarnation)
        )

    def should_remove(self, member: config.Member, now: float) -> bool:
        """Return whether a member should be removed from the epoch."""
        if member.vm == self.identity.vm:
            return member.incarnation != self.identity.incarnation
        row = self.peer_table.peers.get(member.vm)
        if row is not None and self.is_live(member.vm, now):
            return (
                row.state == 'leaving' or row.incarnation != member.incarnation
            )
        return self.silence_s(member.vm, now) >= REMOVE_AFTER_S

    def wanted_edit(self, now: float) -> _epochs.EpochEdit:
        """Return the change of the epoch that follows from the heartbeats."""
        removals = frozenset(
            (member.vm, member.incarnation)
            for member in self.epoch().members.values()
            if self.should_remove(member, now)
        )
        return _epochs.EpochEdit(removals, self.joining_members(now))

    def proposer_rank(self, now: float) -> int:
        """Return how many live VMs should propose before this one.

        Members come before other VMs, and each group is ordered by name.
        """
        epoch = self.epoch()
        is_member_by_vm = {
            vm: epoch.has_member(vm, row.incarnation)
            for vm, row in self.peer_table.peers.items()
            if self.is_live(vm, now) and row.state != 'leaving'
        }
        is_member_by_vm[self.identity.vm] = epoch.has_member(
            self.identity.vm, self.identity.incarnation
        )
        order = sorted(
            is_member_by_vm, key=lambda vm: (not is_member_by_vm[vm], vm)
        )
        return order.index(self.identity.vm)

    def may_create_first_epoch(self, now: float) -> bool:
        """Return whether the first epoch may be created now.

        It is when all listed VMs are live, or after ``FIRST_EPOCH_WAIT_S``.
        """
        listed = self.peer_table.listed_vms - {self.identity.vm}
        complete = self.peer_table.listed_at > _evidence.NEVER and all(
            self.is_live(vm, now) for vm in listed
        )
        return complete or now - self.started_at >= FIRST_EPOCH_WAIT_S

    def due_edit(
        self, now: float, head_absent: bool
    ) -> _epochs.EpochEdit | None:
        """Return the edit of the epoch to propose now, None for none.

        ``head_absent`` is true when the store has no head yet.
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
