"""Reserves link bytes and a slot for an attempt at a backend server."""

import collections.abc
import random
import typing

from filbertstep import _assignments
from filbertstep import _choice
from filbertstep import _health
from filbertstep import _links
from filbertstep import config
from filbertstep import systems


class CapacityReservation(typing.NamedTuple):
    """A slot of a server, and the link bytes that the attempt needs."""

    server: config.BackendServer
    slot_hold: systems.SlotHold
    link_reservation: _assignments.LinkReservation


class CapacityReserver:
    """Reserves both the link bytes and a slot, or neither."""

    def __init__(
        self,
        links: _links.LinkAccounting,
        slots: systems.Slots,
        health: _health.HealthTable,
        policy: _choice.ChoicePolicy,
        rng: random.Random,
    ) -> None:
        self.links = links
        self.slots = slots
        self.health = health
        self.policy = policy
        self.rng = rng

    def reserve(
        self,
        request: _assignments.DispatchRequest,
        region: str,
        candidates: collections.abc.Sequence[_choice.Candidate],
        now: float,
    ) -> CapacityReservation | None:
        """Reserve a slot of one of the candidates and the link bytes.

        Returns None if link bytes or slots are not available.
        """
        if not candidates:
            return None
        link_reservation = self.links.reserve(
            request.service, region, request.request_bytes, now
        )
        if link_reservation is None:
            return None
        acquired = self.acquire_slot(candidates, request.deadline - now, now)
        if acquired is None:
            self.links.release(link_reservation, now)
            return None
        server, hold = acquired
        return CapacityReservation(server, hold, link_reservation)

    def acquire_slot(
        self,
        candidates: collections.abc.Sequence[_choice.Candidate],
        run_for_s: float,
        now: float,
    ) -> tuple[config.BackendServer, systems.SlotHold] | None:
        """Acquire a slot, trying servers in the order of the choice policy."""
        remaining = list(candidates)
        while remaining:
            chosen = self.policy.choose(remaining, self.rng)
            hold = self.acquire_within_slow_start(chosen, run_for_s, now)
            if hold is not None:
                return chosen.server, hold
            remaining.remove(chosen)
        return None

    def acquire_within_slow_start(
        self, chosen: _choice.Candidate, run_for_s: float, now: float
    ) -> systems.SlotHold | None:
        """Acquire a slot whose number is within the slow-start limit.

        Slots with higher numbers are released at once; nothing ran on them.
        """
        allowed = self.health.allowed_slots(chosen.server, now)
        too_high = []
        allowed_hold = None
        for _ in range(chosen.idle_slots):
            hold = self.slots.acquire(chosen.server.name, run_for_s, now)
            if hold is None:
                break
            if hold.slot < allowed:
                allowed_hold = hold
                break
            too_high.append(hold)
        for hold in too_high:
            self.slots.release(hold, now)
        return allowed_hold
