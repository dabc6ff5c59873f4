"""What a service's backend servers offer this VM at one moment."""

import collections.abc
import typing

from filbertstep import _assignments
from filbertstep import _choice
from filbertstep import _fleet
from filbertstep import config
from filbertstep import systems

# Time in seconds for which a request waits for a slot on loan before a region
# whose idle slots all belong to other VMs counts as full.
BORROW_WAIT_S: typing.Final = 0.05

Idle = tuple[config.BackendServer, int]
"""A backend server and the number of this VM's idle slots on it."""


class Situation(typing.NamedTuple):
    """What one service's servers offer at one moment, by region.

    ``idle`` has the servers on which this VM has an idle slot, ``alive`` the
    names of all that may get requests, ``elsewhere`` the idle part of the
    slots of all VMs.
    """

    idle: dict[str, list[Idle]]
    alive: dict[str, frozenset[str]]
    elsewhere: dict[str, float]


class Survey:
    """Looks at slots and health; keeps nothing."""

    def __init__(
        self,
        fleet: _fleet.ServerDirectory,
        slots: systems.Slots,
        availability_zone: str,
    ) -> None:
        self.fleet = fleet
        self.slots = slots
        self.availability_zone = availability_zone

    def look(self, service: str, now: float) -> Situation:
        """Return what the servers of a service offer now."""
        usable = self.fleet.usable(service, now)
        return Situation(
            idle={
                region: self.idle(service, region, group.servers, now)
                for region, group in usable.items()
            },
            alive={region: group.names for region, group in usable.items()},
            elsewhere=self.slots.idle_fraction_by_region(service, now),
        )

    def idle(
        self,
        service: str,
        region: str,
        servers: collections.abc.Iterable[config.BackendServer],
        now: float,
    ) -> list[Idle]:
        """Return the servers of a region with an idle slot of this VM."""
        slots = self.slots.idle_counts(service, region, now)
        return [
            (server, count)
            for server in servers
            if (count := slots.get(server.name, 0)) > 0
        ]

    def candidates(
        self, idle: collections.abc.Iterable[Idle], now: float
    ) -> list[_choice.Candidate]:
        """Return servers as the policy sees them."""
        health = self.fleet.health
        return [
            _choice.Candidate(
                server=server,
                idle=count,
                in_use=self.slots.in_use_count(server.name),
                reported_load=health.load(server.name, now),
                latency_s=health.latency(server.name, now),
                trouble=health.trouble(server.name, now),
                suspect=health.suspect(server.name),
                same_zone=server.availability_zone == self.availability_zone,
            )
            for server, count in idle
        ]


def eligible(
    request: _assignments.DispatchRequest, situation: Situation, region: str
) -> list[Idle]:
    """Return the servers of a region that a request may try."""
    found = situation.idle.get(region, [])
    if not request.excluded_servers:
        return found
    return [
        item for item in found if item[0].name not in request.excluded_servers
    ]


def room_by_region(
    request: _assignments.DispatchRequest,
    waited_s: float,
    situation: Situation,
    full: set[str],
) -> dict[str, float]:
    """Return the room for one request by region.

    A region where only other VMs have idle slots has room as long as a loan
    may still come.
    """
    room = {}
    for region, alive in situation.alive.items():
        own = len(eligible(request, situation, region))
        others = situation.elsewhere.get(region, 0.0)
        loan = waited_s < BORROW_WAIT_S and alive - request.excluded_servers
        if region in full:
            room[region] = 0.0
        else:
            room[region] = float(own) or (others if loan else 0.0)
    return room
