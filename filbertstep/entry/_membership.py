"""Registers this VM in the store and tracks the other entry VMs.

A VM has two keys.  ``vms/NAME`` has a lease and makes look-ups name the VM.
``fleet/NAME`` outlives the lease: as long as it exists, the VM counts among
those that may use their share of rate limits and retry budgets.  It is deleted
only when the VM's replica has certainly become too old for accepting API keys.
"""

import asyncio
import typing

import msgspec
import result

from filbertstep import _addresses
from filbertstep import clock
from filbertstep import codec
from filbertstep import steering
from filbertstep.entry import _contracts
from filbertstep.entry import _knowledge
from filbertstep.entry import _log
from filbertstep.entry import _own_keys

VM_PREFIX: typing.Final = 'vms/'
FLEET_PREFIX: typing.Final = 'fleet/'

# A killed VM disappears from look-ups at the latest when its lease expires.
LEASE_TTL_S: typing.Final = 3.0
LEASE_RENEWAL_INTERVAL_S: typing.Final = 0.9

REGISTRATION_RETRY_S: typing.Final = 0.5

# A VM keeps its quota share for this long after it lost its lease, so that no
# share is used twice.  Longer than any bound on the age of a replica, after
# which a VM accepts no API key.
QUOTA_RETENTION_S: typing.Final = 12.0


class MemberDoc(typing.TypedDict):
    """Value of ``vms/NAME``; ``callers`` and ``peers`` are addresses.

    ``era`` is the era of the store in which the VM registered, ``lease`` the
    id of the lease that the key was written with.
    """

    availability_zone: str
    region: str
    callers: str
    peers: str
    era: typing.NotRequired[int]
    lease: typing.NotRequired[int]


class MemberTable:
    """Entry VMs by name, as listed in the store.

    ``live`` holds the VMs with a lease.
    """

    def __init__(self) -> None:
        self.live: dict[str, steering.Member] = {}
        # Position of the ``fleet/`` key by VM name, and when the VM was last
        # seen with a lease.
        self.fleet: dict[str, tuple[_contracts.Position, float]] = {}

    def apply_change(self, change: _contracts.Change, now: float) -> None:
        """Apply a change of one of the two keys of a VM."""
        if change.key.startswith(VM_PREFIX):
            name = change.key[len(VM_PREFIX) :]
            doc = decode_member(change.value)
            if doc is None or not name:
                self.live.pop(name, None)
            elif doc.get('era', change.era) >= change.era or (
                name in self.live
            ):
                # Otherwise a restored store shows a VM that is gone, or that
                # registers anew.
                self.live[name] = steering.Member(
                    vm=name,
                    availability_zone=doc['availability_zone'],
                    region=doc['region'],
                    callers=doc['callers'],
                    peers=doc['peers'],
                )
            if name in self.fleet:
                self.fleet[name] = (self.fleet[name][0], now)
        elif change.key.startswith(FLEET_PREFIX):
            name = change.key[len(FLEET_PREFIX) :]
            if change.value is None:
                self.fleet.pop(name, None)
            else:
                self.fleet[name] = (change.position, now)

    def vms_with_quota(self, own: str) -> frozenset[str]:
        """Return the VMs that may use quotas, this one (``own``) included."""
        return frozenset(self.fleet.keys() | self.live.keys() | {own})

    def departed_vms(
        self, now: float
    ) -> list[tuple[str, _contracts.Position]]:
        """Return VMs that no longer have quotas, and their keys' positions."""
        return [
            (name, position)
            for name, (position, seen) in self.fleet.items()
            if name not in self.live and now - seen > QUOTA_RETENTION_S
        ]


def decode_member(value: bytes | None) -> MemberDoc | None:
    """Decode the value of a VM's key; None if deleted or unreadable."""
    if value is None:
        return None
    decoded = codec.decode_open(value, MemberDoc)
    if isinstance(decoded, result.Err):
        return None
    doc = decoded.ok_value
    if not all(
        _addresses.is_address(doc[field]) for field in ('callers', 'peers')
    ):
        return None
    return doc


class Registration:
    """Keeps this VM's keys in the store while it serves.

    ``lease`` is None while there is none.  It is kept while a write under it
    fails: the store may still execute the write, and the key must then hang on
    a lease that this VM renews.  A lease that a peer renews on behalf of this
    VM counts as renewed (see ``_sync``).
    """

    def __init__(
        self,
        store: _contracts.StoreClient,
        own: steering.Member,
        members: MemberTable,
        replica: _knowledge.StoreReplica,
        time_source: clock.Clock,
        log: _log.DecisionLog,
    ) -> None:
        self.store = store
        self.own = own
        self.members = members
        self.clock = time_source
        self.log = log
        self.lease: _contracts.Lease | None = None
        self.vm_key = _own_keys.OwnKey(VM_PREFIX + own.vm, store, replica)
        self.fleet_key = _own_keys.OwnKey(
            FLEET_PREFIX + own.vm, store, replica
        )
        self.stopping = False

    async def run(self) -> None:
        """Keep this VM registered until it stops."""
        while not self.stopping:
            registered = await self.register()
            if registered:
                await self.remove_departed_vms()
            await asyncio.sleep(
                LEASE_RENEWAL_INTERVAL_S
                if registered
                else REGISTRATION_RETRY_S
            )

    async def register(self) -> bool:
        """Hold a lease and keep this VM's keys; return if that succeeded."""
        held = await (
            self.renew(self.lease) if self.lease else self.request_lease()
        )
        # A stop may have begun meanwhile, which gives the lease up.
        lease = self.lease
        return (
            held
            and lease is not None
            and await self.write_key('count', self.fleet_key, b'')
            and await self.write_key(
                'write',
                self.vm_key,
                msgspec.json.encode(self.member_doc(lease)),
                lease,
            )
        )

    async def request_lease(self) -> bool:
        """Request a lease; return whether it was granted."""
        granted = await self.store.grant_lease(LEASE_TTL_S)
        if isinstance(granted, result.Err):
            return self.log_failure('grant', granted.err_value)
        if self.stopping:
            return False
        self.lease = granted.ok_value
        return True

    def member_doc(self, lease: _contracts.Lease) -> MemberDoc:
        """Return the value of ``vms/NAME`` under a lease."""
        return {
            'availability_zone': self.own.availability_zone,
            'region': self.own.region,
            'callers': self.own.callers,
            'peers': self.own.peers,
            'era': lease.era,
            'lease': lease.lease_id,
        }

    async def write_key(
        self,
        step: str,
        own_key: _own_keys.OwnKey,
        value: bytes,
        lease: _contracts.Lease | None = None,
    ) -> bool:
        """Write a key if the store lacks the value; return if it has it."""
        if not own_key.needs_write(value):
            return True
        lost = own_key.is_lost()
        written = await own_key.write(value, lease)
        if isinstance(written, result.Err):
            if written.err_value is _contracts.StoreFault.LEASE_GONE:
                self.lease = None
            return self.log_failure(step, written.err_value)
        self.log.write(
            'registered',
            key=own_key.key,
            lost=lost,
            era=self.store.era,
            lease=lease.lease_id if lease else None,
        )
        return True

    async def renew(self, lease: _contracts.Lease) -> bool:
        """Renew the lease; return whether it succeeded.

        After ``LEASE_GONE`` the next round registers again.
        """
        renewed = await self.store.renew_lease(lease)
        if isinstance(renewed, result.Ok):
            return True
        if renewed.err_value is _contracts.StoreFault.LEASE_GONE:
            self.log.write('lease_lost', era=lease.era, lease=lease.lease_id)
            self.lease = None
            return False
        return self.log_failure('renew', renewed.err_value)

    def log_failure(self, step: str, fault: _contracts.StoreFault) -> bool:
        """Log a failed store call, which is retried; always return False."""
        self.log.write('registration_failed', step=step, fault=fault.value)
        return False

    async def remove_departed_vms(self) -> None:
        """Delete the ``fleet/`` keys of VMs that departed.

        Only the first live VM by name does so.
        """
        if min(self.members.live, default='') != self.own.vm:
            return
        for name, position in self.members.departed_vms(self.clock.now()):
            removed = await self.store.delete_if_unchanged(
                FLEET_PREFIX + name, position
            )
            # A conflict means that the VM returned or that another VM deleted
            # the key.
            fault = (
                removed.err_value.value
                if isinstance(removed, result.Err)
                else None
            )
            self.log.write('departed_vm_removed', name=name, fault=fault)

    async def deregister(self) -> None:
        """End the lease, so that look-ups no longer name this VM.

        Repeated until the store answers; a peer must not renew the lease
        meanwhile.
        """
        self.stopping = True
        lease, self.lease = self.lease, None
        while lease:
            ended = await self.store.revoke_lease(lease)
            if not isinstance(ended, result.Err) or (
                ended.err_value is _contracts.StoreFault.LEASE_GONE
            ):
                return
            self.log_failure('leave', ended.err_value)
            await asyncio.sleep(REGISTRATION_RETRY_S)
