"""Selects the entry VMs that a look-up returns to a caller.

A caller gets the VMs of its own availability zone, those of its region if the
zone has none, and all VMs only if the region has none.  Answers that cross
zones are billed, and a request with home regions must not leave them.
"""

import collections.abc
import typing

from filbertstep.steering import _model

# Maximum number of addresses in one look-up answer.
MAX_ADDRESSES: typing.Final = 64


def nearest_members(
    members: collections.abc.Iterable[_model.Member],
    region: str,
    availability_zone: str,
) -> list[_model.Member]:
    """Return the nearest non-empty group of VMs, sorted by name."""
    by_name = sorted(members, key=lambda member: member.vm)
    groups = (
        [
            member
            for member in by_name
            if member.availability_zone == availability_zone
        ],
        [member for member in by_name if member.region == region],
        by_name,
    )
    return next((group for group in groups if group), [])[:MAX_ADDRESSES]
