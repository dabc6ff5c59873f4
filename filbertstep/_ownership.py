"""Who an epoch gives units and slots to: rendezvous hashing over members.

Every VM computes the same answer from the same epoch without a message.  Each
key is hashed on its own, so that a lost member moves only what it had.
"""

import collections.abc
import typing

import xxhash

from filbertstep import codec
from filbertstep import config

# Units that each shared resource is divided into.  Integers, so that a
# transfer neither creates nor loses a part by rounding.
UNITS: typing.Final = 1_000_000

# Up to this many members all of them hold units of every resource.  Above it,
# a resource has only HOLDERS holders, so that a VM short of tokens finds one
# within few calls.
ALL_HOLD_UP_TO: typing.Final = 16
HOLDERS: typing.Final = 8


def epoch_id(epoch: config.Epoch) -> str:
    """Return an id that equal epochs share.

    Two proposals that race have one number and different members, so that
    the number alone does not identify an epoch.
    """
    digest = xxhash.xxh64_hexdigest(codec.encode(config.epoch_doc(epoch)))
    return f'{epoch.number}-{digest}'


def epoch_number(identifier: str) -> int:
    """Return the number in an epoch's id."""
    return int(identifier.partition('-')[0])


def by_id(
    epochs: collections.abc.Iterable[config.Epoch],
) -> dict[str, config.Epoch]:
    """Return epochs by id, without those that have no member.

    Nobody acts under an epoch without members, so it restricts nobody.
    """
    return {epoch_id(epoch): epoch for epoch in epochs if epoch.members}


def ranked(key: str, vms: collections.abc.Iterable[str]) -> list[str]:
    """Return VMs by descending rendezvous weight for a key."""
    return sorted(
        vms,
        key=lambda vm: (xxhash.xxh64_intdigest(f'{key}|{vm}'.encode()), vm),
        reverse=True,
    )


def holders(epoch: config.Epoch, resource: str) -> list[str]:
    """Return the members that hold units of a resource, sorted by name."""
    if len(epoch.members) <= ALL_HOLD_UP_TO:
        return sorted(epoch.members)
    return sorted(ranked(resource, epoch.members)[:HOLDERS])


def allotment(
    epoch: config.Epoch, resource: str, vm: str, incarnation: str
) -> int:
    """Return the units that an epoch gives a process at its start."""
    vms = holders(epoch, resource)
    if not epoch.holds(vm, incarnation) or vm not in vms:
        return 0
    whole, rest = divmod(UNITS, len(vms))
    return whole + (1 if vms.index(vm) < rest else 0)


def slot_owner(
    epoch: config.Epoch, server: str, slot: int, region: str
) -> config.Member:
    """Return the member that owns a slot of a backend server.

    Candidates are the members of the server's region, or all when it has
    none.
    """
    local = [vm for vm, row in epoch.members.items() if row.region == region]
    return epoch.members[ranked(f'{server}/{slot}', local or epoch.members)[0]]
