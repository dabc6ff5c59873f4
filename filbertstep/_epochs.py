"""Epochs: which processes are members and which of them are witnesses."""

import collections.abc
import typing

import result

from filbertstep import _commit
from filbertstep import _evidence
from filbertstep import config
from filbertstep import errors

# Up to this many members, every member is a witness.
MAX_ALL_WITNESS_MEMBERS: typing.Final = 9

# Above, there is one witness in each availability zone, up to this many.
MAX_WITNESSES: typing.Final = 37

Process = tuple[str, str]
"""VM and incarnation."""


class EpochEdit(typing.NamedTuple):
    """Processes to take out of the epoch and members to add."""

    removals: frozenset[Process]
    joins: frozenset[config.Member]


def own_member(me: _evidence.Identity) -> config.Member:
    """Return this process as a member."""
    return config.Member(
        me.vm, me.incarnation, me.region, me.availability_zone
    )


def choose_witnesses(
    members: dict[str, config.Member], former: collections.abc.Iterable[str]
) -> tuple[str, ...]:
    """Return the witnesses of an epoch.

    A former witness stays one while it is a member, so that a change of the
    epoch keeps most statements valid.
    """
    if len(members) <= MAX_ALL_WITNESS_MEMBERS:
        return tuple(sorted(members))
    kept = set(former)
    by_zone: dict[str, str] = {}
    for vm in sorted(members, key=lambda name: (name not in kept, name)):
        by_zone.setdefault(members[vm].availability_zone, vm)
    zones = sorted(by_zone)[:MAX_WITNESSES]
    return tuple(sorted(by_zone[zone] for zone in zones))


def apply_edit(epoch: config.Epoch, edit: EpochEdit) -> config.Epoch | None:
    """Return the next epoch, None when the edit changes no member."""
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


def epoch_change(edit: EpochEdit) -> _commit.PlanUpdate:
    """Return the change of the head that an edit makes."""

    def change(
        base: config.View | None,
    ) -> result.Result[_commit.HeadUpdate | None, errors.Failure]:
        head = config.empty_head() if base is None else base.head
        epoch = config.epoch_row(head['epoch'])
        following = apply_edit(epoch, edit)
        if following is None:
            return result.Ok(None)
        planned = head.copy()
        if epoch.number > 0:
            planned['former_epochs'] = [
                *head['former_epochs'],
                head['epoch'],
            ][-config.FORMER_EPOCHS :]
        planned['epoch'] = config.epoch_doc(following)
        return result.Ok(_commit.HeadUpdate(planned, {}))

    return change
