"""Starts a request: chooses its region and takes link bytes and a slot.

There is no ``await`` here, so that no other request is placed between the
placement of a request and the acquisition of its slot.
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
    """The systems that the dispatcher uses."""

    views: config.ViewTable
    slots: systems.Slots
    token_buckets: systems.SharedTokenBuckets
    health: _health.HealthTable
    shift: _shift.ShiftSystem


class RequestStarter:
    """Starts requests; ``running`` has the assignments by number."""

    def __init__(
        self,
        dependencies: DispatcherSystems,
        capacity_reader: _situation.CapacityReader,
        reserver: _grants.CapacityReserver,
    ) -> None:
        self.health = dependencies.health
        self.shift = dependencies.shift
        self.capacity_reader = capacity_reader
        self.reserver = reserver
        self.running: dict[int, _assignments.Assignment] = {}
        self.assignment_numbers = itertools.count(1)

    def try_start(
        self,
        request: _assignments.DispatchRequest,
        waited_s: float,
        snapshot: _situation.CapacitySnapshot,
        now: float,
    ) -> result.Result[_assignments.Assignment, errors.Failure] | None:
        """Start or refuse a request, or return None if it has to wait.

        ``waited_s`` is the time in seconds that it has waited so far.
        """
        service = request.service
        full: set[str] = set()
        while True:
            room = _situation.room_by_region(request, waited_s, snapshot, full)
            placed = self.shift.place(service, request.hash_point, room, now)
            if isinstance(placed, result.Err):
                if self.can_start_later(request, placed, snapshot, now):
                    return None
                return placed
            placement = placed.ok_value
            started = self.assign(request, placement, snapshot, now)
            if started is not None:
                return result.Ok(started)
            self.shift.cancel_placement(placement)
            if not _situation.eligible_servers(
                request, snapshot, placement.region
            ):
                # Only other VMs have idle slots; wait until one is borrowed.
                return None
            full.add(placement.region)

    def can_start_later(
        self,
        request: _assignments.DispatchRequest,
        refused: result.Err[errors.Failure],
        snapshot: _situation.CapacitySnapshot,
        now: float,
    ) -> bool:
        """Return whether a refused request can start when slots become free.

        This is not the case if no server that it may use is left.
        """
        target_region, reference_region = self.shift.preferred_regions(
            request.service, request.hash_point, now
        )
        regions = {reference_region}
        if refused.err_value.kind is errors.ErrorKind.NO_ROOM:
            regions |= {
                target_region,
                *self.shift.open_regions(request.service, now),
            }
        return any(
            snapshot.usable_servers.get(region, frozenset())
            - request.excluded_servers
            for region in regions
        )

    def assign(
        self,
        request: _assignments.DispatchRequest,
        placement: _splits.Placement,
        snapshot: _situation.CapacitySnapshot,
        now: float,
    ) -> _assignments.Assignment | None:
        """Take link bytes and a slot in the region of a placement.

        Returns None if either is not available.
        """
        idle = _situation.eligible_servers(request, snapshot, placement.region)
        candidates = self.capacity_reader.candidates(idle, now)
        reservation = self.reserver.reserve(
            request, placement.region, candidates, now
        )
        if reservation is None:
            return None
        assignment = _assignments.Assignment(
            next(self.assignment_numbers),
            reservation.server,
            reservation.slot_hold,
            placement,
            reservation.link_reservation,
        )
        self.running[assignment.number] = assignment
        self.health.record_use(reservation.server.name, now)
        return assignment
