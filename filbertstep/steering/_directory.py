"""Which entry VMs a look-up names.

Callers get the VMs of their own availability zone, those of their region when
the zone has none, and all others only when the region has none: an answer
that crosses zones is paid for, and a request with homes must not leave its
region.
"""

import collections.abc
import typing

from filbertstep.steering import _model

# Addresses of one answer.
MAX_ADDRESSES: typing.Final = 64


def nearest_members(
    members: collections.abc.Iterable[_model.Member],
    region: str,
    availability_zone: str,
) -> list[_model.Member]:
    """Return the nearest group of VMs that has any, in order of name."""
    rows = sorted(members, key=lambda member: member.vm)
    groups = (
        [row for row in rows if row.availability_zone == availability_zone],
        [row for row in rows if row.region == region],
        rows,
    )
    return next((group for group in groups if group), [])[:MAX_ADDRESSES]
