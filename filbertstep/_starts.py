"""Starting one request: its region, its link bytes and its slot.

Nothing here waits, so that no other request is placed between the placement
of a request and the taking of its slot.
"""

import itertools
import typing

import result

from filbertstep import _assignments
from filbertstep import _grants
from filbertstep import _health
from filbertstep import _shift
from filbertstep import _situation
from filbertstep import _splits
from filbertstep import config
from filbertstep import errors
from filbertstep import systems


class DispatcherSystems(typing.NamedTuple):
    """The systems that the dispatcher composes."""

    views: config.ViewTable
    slots: systems.Slots
    shares: systems.SharedTokenBuckets
    health: _health.HealthTable
    shift: _shift.ShiftSystem


class Starter:
    """Starts requests; keeps those that run, by assignment number."""

    def __init__(
        self,
        dependencies: DispatcherSystems,
        survey: _situation.Survey,
        granter: _grants.Granter,
    ) -> None:
        self.health = dependencies.health
        self.shift = dependencies.shift
        self.survey = survey
        self.granter = granter
        self.running: dict[int, _assignments.Assignment] = {}
        self.numbers = itertools.count(1)

    def attempt(
        self,
        request: _assignments.DispatchRequest,
        waited_s: float,
        situation: _situation.Situation,
        now: float,
    ) -> result.Result[_assignments.Assignment, errors.Failure] | None:
        """Start a request, refuse it, or return None when it has to wait."""
        service = request.service
        full: set[str] = set()
        while True:
            room = _situation.room_by_region(
                request, waited_s, situation, full
            )
            placed = self.shift.place(service, request.hash_point, room, now)
            if isinstance(placed, result.Err):
                if self.worth_waiting(request, placed, situation, now):
                    return None
                return placed
            placement = placed.ok_value
            started = self.start(request, placement, situation, now)
            if started is not None:
                return result.Ok(started)
            self.shift.cancel(placement)
            if not _situation.eligible(request, situation, placement.region):
                # Another VM has the idle slots; wait for a loan.
                return None
            full.add(placement.region)

    def worth_waiting(
        self,
        request: _assignments.DispatchRequest,
        refused: result.Err[errors.Failure],
        situation: _situation.Situation,
        now: float,
    ) -> bool:
        """Tell whether a refused request can start when slots come free.

        It cannot where all servers that it may use are gone.
        """
        wanted, reference = self.shift.preferred(
            request.service, request.hash_point, now
        )
        regions = {reference}
        if refused.err_value.kind is errors.ErrorKind.NO_ROOM:
            regions |= {wanted, *self.shift.open_now(request.service, now)}
        return any(
            situation.alive.get(region, frozenset()) - request.excluded_servers
            for region in regions
        )

    def start(
        self,
        request: _assignments.DispatchRequest,
        placement: _splits.Placement,
        situation: _situation.Situation,
        now: float,
    ) -> _assignments.Assignment | None:
        """Take link bytes and a slot in the region of a placement."""
        idle = _situation.eligible(request, situation, placement.region)
        choices = self.survey.candidates(idle, now)
        grant = self.granter.grant(request, placement.region, choices, now)
        if grant is None:
            return None
        assignment = _assignments.Assignment(
            next(self.numbers),
            grant.server,
            grant.hold,
            placement,
            grant.link,
        )
        self.running[assignment.number] = assignment
        self.health.note_use(grant.server.name, now)
        return assignment
