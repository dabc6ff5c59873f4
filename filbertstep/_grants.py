"""Taking what one try at a backend server needs: link bytes and a slot."""

import collections.abc
import random
import typing

from filbertstep import _assignments
from filbertstep import _choice
from filbertstep import _health
from filbertstep import _links
from filbertstep import config
from filbertstep import systems


class Grant(typing.NamedTuple):
    """A slot of a server, and the link bytes to reach it."""

    server: config.BackendServer
    hold: systems.SlotHold
    link: _assignments.LinkReservation


class Granter:
    """Takes all of a grant or nothing."""

    def __init__(
        self,
        links: _links.Links,
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

    def grant(
        self,
        request: _assignments.DispatchRequest,
        region: str,
        choices: collections.abc.Sequence[_choice.Candidate],
        now: float,
    ) -> Grant | None:
        """Return a slot of one of the choices, with its link bytes."""
        if not choices:
            return None
        link = self.links.reserve(
            request.service, region, request.request_bytes, now
        )
        if link is None:
            return None
        found = self.acquire(choices, request.deadline - now, now)
        if found is None:
            self.links.return_all(link, now)
            return None
        server, hold = found
        return Grant(server, hold, link)

    def acquire(
        self,
        choices: collections.abc.Sequence[_choice.Candidate],
        run_for_s: float,
        now: float,
    ) -> tuple[config.BackendServer, systems.SlotHold] | None:
        """Acquire a slot of the server that the policy prefers."""
        left = list(choices)
        while left:
            chosen = self.policy.choose(left, self.rng)
            slot = self.acquire_allowed(chosen, run_for_s, now)
            if slot is not None:
                return chosen.server, slot
            left.remove(chosen)
        return None

    def acquire_allowed(
        self, chosen: _choice.Candidate, run_for_s: float, now: float
    ) -> systems.SlotHold | None:
        """Acquire a slot whose number the slow start allows.

        Slots with higher numbers go back at once; nothing ran on them.
        """
        allowed = self.health.allowed(chosen.server, now)
        beyond = []
        found = None
        for _ in range(chosen.idle):
            hold = self.slots.acquire(chosen.server.name, run_for_s, now)
            if hold is None:
                break
            if hold.slot < allowed:
                found = hold
                break
            beyond.append(hold)
        for hold in beyond:
            self.slots.release(hold, now)
        return found
