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

Candidates = dict[str, list[_choice.Candidate]]


class Situation(typing.NamedTuple):
    """What one service's servers offer at one moment, by region.

    ``idle`` has the servers on which this VM has an idle slot, ``alive`` the
    names of all that may get requests, ``elsewhere`` the idle part of the
    slots of all VMs.
    """

    idle: Candidates
    alive: dict[str, frozenset[str]]
    elsewhere: dict[str, float]


class Survey:
    """Looks at slots and health; keeps nothing."""

    def __init__(
        self,
        fleet: _fleet.Fleet,
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
                region: self.candidates(service, region, servers, now)
                for region, servers in usable.items()
            },
            alive={
                region: frozenset(server.name for server in servers)
                for region, servers in usable.items()
            },
            elsewhere=self.slots.room(service, now),
        )

    def candidates(
        self,
        service: str,
        region: str,
        servers: collections.abc.Iterable[config.BackendServer],
        now: float,
    ) -> list[_choice.Candidate]:
        """Return the servers of a region with an idle slot of this VM."""
        idle = self.slots.idle(service, region, now)
        return [
            self.candidate(server, idle[server.name], now)
            for server in servers
            if idle.get(server.name, 0) > 0
        ]

    def candidate(
        self, server: config.BackendServer, idle: int, now: float
    ) -> _choice.Candidate:
        """Return a server as the policy sees it."""
        name = server.name
        return _choice.Candidate(
            server=server,
            idle=idle,
            in_use=self.slots.in_use(name),
            reported_load=self.fleet.health.load(name, now),
            latency_s=self.fleet.health.latency(name, now),
            trouble=self.fleet.health.trouble(name, now),
            suspect=self.fleet.health.suspect(name),
            same_zone=server.availability_zone == self.availability_zone,
        )


def eligible(
    request: _assignments.DispatchRequest, situation: Situation, region: str
) -> list[_choice.Candidate]:
    """Return the servers of a region that a request may try."""
    return [
        item
        for item in situation.idle.get(region, ())
        if item.server.name not in request.exclude
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
        loan = waited_s < BORROW_WAIT_S and alive - request.exclude
        if region in full:
            room[region] = 0.0
        else:
            room[region] = float(own) or (others if loan else 0.0)
    return room
