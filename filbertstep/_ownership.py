"""Initial units and slot owners under an epoch, by rendezvous hashing.

All VMs compute the same result from the same epoch without exchanging
messages.  Each slot or resource is hashed on its own, so that the loss of a
member moves only what that member had.
"""

import collections.abc
import typing

import xxhash

from filbertstep import codec
from filbertstep import config

# The limit of each resource is divided into this many units.  They are whole
# numbers, so that no transfer creates or loses a part by rounding.
UNITS_PER_RESOURCE: typing.Final = 1_000_000

# With at most MAX_MEMBERS_ALL_HOLD members in an epoch, each of them holds
# units of every resource.  With more, each resource has only
# HOLDERS_PER_RESOURCE holders, so that a VM short of tokens finds one of them
# within few calls.
MAX_MEMBERS_ALL_HOLD: typing.Final = 16
HOLDERS_PER_RESOURCE: typing.Final = 8


# The cache is cleared when it exceeds this size.
MAX_CACHED_EPOCH_IDS: typing.Final = 64


def epoch_id(epoch: config.Epoch) -> str:
    """Return an epoch's id: its number and a hash of its content.

    The number alone does not identify an epoch, because competing proposals
    can have the same number and different members.
    """
    digest = xxhash.xxh64_hexdigest(codec.encode(config.epoch_to_doc(epoch)))
    return f'{epoch.number}-{digest}'


def epoch_number(identifier: str) -> int:
    """Return the epoch's number from its id."""
    return int(identifier.partition('-')[0])


class EpochIdCache:
    """Caches the ids of epochs.

    Ids are needed in every tick, and an epoch can have thousands of members.
    """

    def __init__(self) -> None:
        # Keyed by ``id(epoch)``.  The stored reference keeps the epoch alive,
        # so that no other object gets the same identity.
        self.cached: dict[int, tuple[config.Epoch, str]] = {}

    def by_id(
        self, epochs: collections.abc.Iterable[config.Epoch]
    ) -> dict[str, config.Epoch]:
        """Return epochs by id, leaving out those without members.

        No VM acts under an epoch without members, so it restricts no VM.
        """
        return {self.id_of(epoch): epoch for epoch in epochs if epoch.members}

    def id_of(self, epoch: config.Epoch) -> str:
        """Return an epoch's id."""
        if len(self.cached) > MAX_CACHED_EPOCH_IDS:
            self.cached.clear()
        row = self.cached.get(id(epoch))
        if row is None:
            row = self.cached[id(epoch)] = (epoch, epoch_id(epoch))
        return row[1]


def rank_vms(key: str, vms: collections.abc.Iterable[str]) -> list[str]:
    """Return VMs by descending rendezvous weight for a key."""
    return sorted(
        vms,
        key=lambda vm: (xxhash.xxh64_intdigest(f'{key}|{vm}'.encode()), vm),
        reverse=True,
    )


def equal_split(epoch: config.Epoch, resource: str) -> dict[str, int]:
    """Return the units of an equal split of a resource, by holding VM."""
    vms = sorted(epoch.members)
    if len(vms) > MAX_MEMBERS_ALL_HOLD:
        vms = sorted(rank_vms(resource, vms)[:HOLDERS_PER_RESOURCE])
    if not vms:
        return {}
    base_units, remainder = divmod(UNITS_PER_RESOURCE, len(vms))
    return {
        vm: base_units + (1 if position < remainder else 0)
        for position, vm in enumerate(vms)
    }


def slot_owner(
    epoch: config.Epoch, server: str, slot: int, region: str
) -> config.Member:
    """Return the member that owns a slot of a backend server.

    Candidates are the members in the server's region, or all members when
    the region has none.
    """
    local = [vm for vm, row in epoch.members.items() if row.region == region]
    return epoch.members[
        rank_vms(f'{server}/{slot}', local or epoch.members)[0]
    ]
