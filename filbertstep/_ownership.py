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
UNITS_PER_RESOURCE: typing.Final = 1_000_000

# Up to this many members all of them hold units of every resource.  Above it,
# a resource has only HOLDERS holders, so that a VM short of tokens finds one
# within few calls.
ALL_HOLD_UP_TO: typing.Final = 16
HOLDERS: typing.Final = 8


# Epochs whose ids are kept; above it they are computed anew.
MOST_KNOWN_IDS: typing.Final = 64


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


class EpochIds:
    """Ids of epochs, computed once for each epoch.

    The systems ask for them each tick, and an epoch can have thousands of
    members.
    """

    def __init__(self) -> None:
        # By identity; the epoch is kept so that its identity stays its own.
        self.known: dict[int, tuple[config.Epoch, str]] = {}

    def by_id(
        self, epochs: collections.abc.Iterable[config.Epoch]
    ) -> dict[str, config.Epoch]:
        """Return epochs by id, without those that have no member.

        Nobody acts under an epoch without members, so it restricts nobody.
        """
        return {self.get(epoch): epoch for epoch in epochs if epoch.members}

    def get(self, epoch: config.Epoch) -> str:
        """Return an epoch's id."""
        if len(self.known) > MOST_KNOWN_IDS:
            self.known.clear()
        row = self.known.get(id(epoch))
        if row is None:
            row = self.known[id(epoch)] = (epoch, epoch_id(epoch))
        return row[1]


def ranked(key: str, vms: collections.abc.Iterable[str]) -> list[str]:
    """Return VMs by descending rendezvous weight for a key."""
    return sorted(
        vms,
        key=lambda vm: (xxhash.xxh64_intdigest(f'{key}|{vm}'.encode()), vm),
        reverse=True,
    )


def holders(epoch: config.Epoch, resource: str) -> dict[str, int]:
    """Return the units that an epoch gives its holders of a resource."""
    vms = sorted(epoch.members)
    if len(vms) > ALL_HOLD_UP_TO:
        vms = sorted(ranked(resource, vms)[:HOLDERS])
    if not vms:
        return {}
    whole, rest = divmod(UNITS_PER_RESOURCE, len(vms))
    return {
        vm: whole + (1 if position < rest else 0)
        for position, vm in enumerate(vms)
    }


def slot_owner(
    epoch: config.Epoch, server: str, slot: int, region: str
) -> config.Member:
    """Return the member that owns a slot of a backend server.

    Candidates are the members of the server's region, or all when it has
    none.
    """
    local = [vm for vm, row in epoch.members.items() if row.region == region]
    return epoch.members[ranked(f'{server}/{slot}', local or epoch.members)[0]]
