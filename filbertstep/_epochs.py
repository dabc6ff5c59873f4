"""Changes of the epoch: the members and which of them are witnesses.

An epoch is a numbered set of node processes, the members.  The witnesses are
the members that a proposer asks for promises (see ``_promises``).
"""

import collections.abc
import typing

import result

from filbertstep import _commit
from filbertstep import _evidence
from filbertstep import config
from filbertstep import errors

# In an epoch of at most this many members, all are witnesses.
ALL_WITNESSES_MAX_MEMBERS: typing.Final = 9

# In a larger epoch there is one witness in each availability zone, up to this
# many.
MAX_WITNESSES: typing.Final = 37

Process = tuple[str, str]
"""VM and incarnation."""


class EpochEdit(typing.NamedTuple):
    """Processes to remove from the epoch and members to add to it."""

    removals: frozenset[Process]
    joins: frozenset[config.Member]


def own_member(identity: _evidence.Identity) -> config.Member:
    """Return the member entry of this process."""
    return config.Member(
        identity.vm,
        identity.incarnation,
        identity.region,
        identity.availability_zone,
    )


def choose_witnesses(
    members: dict[str, config.Member], former: collections.abc.Iterable[str]
) -> tuple[str, ...]:
    """Return the witnesses of an epoch, sorted by name.

    Former witnesses are preferred, so that most statements stay valid when
    the epoch changes.
    """
    if len(members) <= ALL_WITNESSES_MAX_MEMBERS:
        return tuple(sorted(members))
    former_witnesses = set(former)
    by_zone: dict[str, str] = {}
    for vm in sorted(
        members, key=lambda name: (name not in former_witnesses, name)
    ):
        by_zone.setdefault(members[vm].availability_zone, vm)
    zones = sorted(by_zone)[:MAX_WITNESSES]
    return tuple(sorted(by_zone[zone] for zone in zones))


def apply_edit(epoch: config.Epoch, edit: EpochEdit) -> config.Epoch | None:
    """Return the next epoch, None when the edit changes nothing."""
    members = {
        vm: member
        for vm, member in epoch.members.items()
        if (vm, member.incarnation) not in edit.removals
    }
    members.update({member.vm: member for member in sorted(edit.joins)})
    if members == epoch.members:
        return None
    witnesses = choose_witnesses(members, epoch.witnesses)
    return config.Epoch(epoch.number + 1, members, witnesses)


def epoch_change(edit: EpochEdit) -> _commit.UpdatePlanner:
    """Return a function that plans the change of the head for an edit."""

    def plan_update(
        base: config.View | None,
    ) -> result.Result[_commit.HeadUpdate | None, errors.Failure]:
        head = config.empty_head() if base is None else base.head
        epoch = config.epoch_from_doc(head['epoch'])
        next_epoch = apply_edit(epoch, edit)
        if next_epoch is None:
            return result.Ok(None)
        new_head = head.copy()
        if epoch.number > 0:
            new_head['former_epochs'] = [
                *head['former_epochs'],
                head['epoch'],
            ][-config.MAX_FORMER_EPOCHS :]
        new_head['epoch'] = config.epoch_to_doc(next_epoch)
        return result.Ok(_commit.HeadUpdate(new_head, {}))

    return plan_update
