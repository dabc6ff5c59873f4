"""Snapshots of the free capacity of a service's backend servers."""

import collections.abc
import typing

from filbertstep import _assignments
from filbertstep import _choice
from filbertstep import _fleet
from filbertstep import config
from filbertstep import systems

# Seconds that a request waits for a borrowed slot.  After that, a region whose
# idle slots all belong to other VMs is treated as full.
BORROW_WAIT_S: typing.Final = 0.05

IdleServer = tuple[config.BackendServer, int]
"""A backend server and the number of this VM's idle slots on it."""


class CapacitySnapshot(typing.NamedTuple):
    """Free capacity of one service by region, as seen by this VM.

    ``idle_servers`` lists the servers on which this VM has an idle slot,
    ``usable_servers`` the names of all servers that may get requests.
    ``idle_fraction`` is the idle share (0 to 1) of the slots of all VMs.
    """

    idle_servers: dict[str, list[IdleServer]]
    usable_servers: dict[str, frozenset[str]]
    idle_fraction: dict[str, float]


class CapacityReader:
    """Combines slots and health to snapshots; has no state of its own."""

    def __init__(
        self,
        directory: _fleet.ServerDirectory,
        slots: systems.Slots,
        availability_zone: str,
    ) -> None:
        self.directory = directory
        self.slots = slots
        self.availability_zone = availability_zone

    def read_snapshot(self, service: str, now: float) -> CapacitySnapshot:
        """Return the present free capacity of a service."""
        usable = self.directory.usable_servers(service, now)
        return CapacitySnapshot(
            idle_servers={
                region: self.idle_servers(service, region, group.servers, now)
                for region, group in usable.items()
            },
            usable_servers={
                region: group.names for region, group in usable.items()
            },
            idle_fraction=self.slots.idle_fraction_by_region(service, now),
        )

    def idle_servers(
        self,
        service: str,
        region: str,
        servers: collections.abc.Iterable[config.BackendServer],
        now: float,
    ) -> list[IdleServer]:
        """Return the given servers on which this VM has an idle slot."""
        slots = self.slots.idle_counts(service, region, now)
        return [
            (server, count)
            for server in servers
            if (count := slots.get(server.name, 0)) > 0
        ]

    def candidates(
        self, idle: collections.abc.Iterable[IdleServer], now: float
    ) -> list[_choice.Candidate]:
        """Return the candidates for the choice policy."""
        health = self.directory.health
        return [
            _choice.Candidate(
                server=server,
                idle_slots=count,
                slots_in_use=self.slots.in_use_count(server.name),
                reported_load=health.reported_load(server.name, now),
                latency_s=health.recent_latency_s(server.name, now),
                failure_rate=health.failure_rate(server.name, now),
                suspect=health.is_suspect(server.name),
                same_zone=server.availability_zone == self.availability_zone,
            )
            for server, count in idle
        ]


def eligible_servers(
    request: _assignments.DispatchRequest,
    snapshot: CapacitySnapshot,
    region: str,
) -> list[IdleServer]:
    """Return the idle servers of a region that a request may use."""
    idle_servers = snapshot.idle_servers.get(region, [])
    if not request.excluded_servers:
        return idle_servers
    return [
        item
        for item in idle_servers
        if item[0].name not in request.excluded_servers
    ]


def room_by_region(
    request: _assignments.DispatchRequest,
    waited_s: float,
    snapshot: CapacitySnapshot,
    full: set[str],
) -> dict[str, float]:
    """Return a value above 0 for each region with room for a request.

    A region in which only other VMs have idle slots has room while a slot may
    still be borrowed.  Regions in ``full`` have none.
    """
    room = {}
    for region, usable in snapshot.usable_servers.items():
        own_idle = len(eligible_servers(request, snapshot, region))
        idle_fraction = snapshot.idle_fraction.get(region, 0.0)
        may_borrow = (
            waited_s < BORROW_WAIT_S and usable - request.excluded_servers
        )
        if region in full:
            room[region] = 0.0
        else:
            room[region] = float(own_idle) or (
                idle_fraction if may_borrow else 0.0
            )
    return room
