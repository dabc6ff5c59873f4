"""Policies that choose one backend server for a request.

Slots bound the load that a server can get, whatever it reports.  The choice
only decides which of the usable slots is taken first.  Policies that follow
load reports are kept as baselines for measurements: reports lag, and all VMs
that read the same report choose the same server at once.
"""

import abc
import collections.abc
import random
import statistics
import typing

from filbertstep import config

# Costs within this factor of the least count as equal, so that small
# differences of latency do not concentrate requests on one server.
TIE_FACTOR: typing.Final = 1.1

# Least latency in seconds that counts as slow next to the others; below it
# the differences are those of the network and of scheduling.
LATENCY_FLOOR_S: typing.Final = 0.002


class Candidate(typing.NamedTuple):
    """A backend server as this VM sees it at one moment.

    ``idle`` and ``in_use`` count this VM's slots.  ``reported_load`` is the
    server's own report (0 to 1) or None.  ``latency_s`` is the recent latency
    of its answers to this VM, None when unknown.  ``trouble`` is the recent
    share (0 to 1) of attempts that it shed or failed.
    """

    server: config.BackendServer
    idle: int
    in_use: int
    reported_load: float | None
    latency_s: float | None
    trouble: float
    suspect: bool
    same_zone: bool


Candidates = collections.abc.Sequence[Candidate]


class ChoicePolicy(abc.ABC):
    """Chooses among the backend servers of one service and region."""

    @abc.abstractmethod
    def choose(self, candidates: Candidates, rng: random.Random) -> Candidate:
        """Return one of the candidates.

        Raises ValueError when no candidate can be chosen.
        """


def require(candidates: Candidates) -> Candidates:
    """Return the candidates; raises ValueError when there is none."""
    if not candidates:
        raise ValueError('no backend server to choose from')
    return candidates


def reported(candidate: Candidate) -> float:
    """Return the reported load; a server without a report counts as half."""
    load = candidate.reported_load
    return 0.5 if load is None else load


class RandomChoice(ChoicePolicy):
    """Baseline: any server with equal probability."""

    def choose(self, candidates: Candidates, rng: random.Random) -> Candidate:
        """Return a random candidate."""
        return rng.choice(require(candidates))


class RoundRobinChoice(ChoicePolicy):
    """Baseline: the servers of each service in turn, by name."""

    def __init__(self) -> None:
        self.last: dict[str, str] = {}

    def choose(self, candidates: Candidates, rng: random.Random) -> Candidate:
        """Return the candidate after the one chosen last."""
        ordered = sorted(
            require(candidates), key=lambda item: item.server.name
        )
        service = ordered[0].server.service
        last = self.last.get(service, '')
        chosen = next(
            (item for item in ordered if item.server.name > last), ordered[0]
        )
        self.last[service] = chosen.server.name
        return chosen


class LeastReportedLoad(ChoicePolicy):
    """Baseline: the server with the least reported load."""

    def choose(self, candidates: Candidates, rng: random.Random) -> Candidate:
        """Return the candidate with the least report, ties at random."""
        least = min(map(reported, require(candidates)))
        return rng.choice(
            [item for item in candidates if reported(item) == least]
        )


class PowerOfTwoChoices(ChoicePolicy):
    """Baseline: the less loaded, by report, of two random servers."""

    def choose(self, candidates: Candidates, rng: random.Random) -> Candidate:
        """Return the better of two candidates."""
        pair = rng.sample(require(candidates), min(2, len(candidates)))
        return min(pair, key=reported)


class SlotAwareChoice(ChoicePolicy):
    """The default: idle slots first, weighed by what this VM observes."""

    def choose(self, candidates: Candidates, rng: random.Random) -> Candidate:
        """Return a cheapest candidate with an idle slot.

        Suspect servers are chosen only when there is no other.
        """
        idle = require([item for item in candidates if item.idle > 0])
        usable = [item for item in idle if not item.suspect] or idle
        typical = typical_latency(usable)
        costs = [cost(item, typical) for item in usable]
        limit = min(costs) * TIE_FACTOR
        best = [
            item
            for item, value in zip(usable, costs, strict=True)
            if value <= limit
        ]
        return rng.choice([item for item in best if item.same_zone] or best)


CHOICE_POLICIES: typing.Final[dict[str, type[ChoicePolicy]]] = {
    'slot_aware': SlotAwareChoice,
    'random': RandomChoice,
    'round_robin': RoundRobinChoice,
    'least_reported': LeastReportedLoad,
    'two_choices': PowerOfTwoChoices,
}
"""Policies by their names in the settings of a node."""


def typical_latency(candidates: Candidates) -> float:
    """Return the median of the known latencies in seconds."""
    known = [
        item.latency_s for item in candidates if item.latency_s is not None
    ]
    if not known:
        return LATENCY_FLOOR_S
    # The lower median, so that one slow server of two stands out.
    return max(LATENCY_FLOOR_S, statistics.median_low(known))


def cost(candidate: Candidate, typical_s: float) -> float:
    """Return the relative cost of one more request at a server.

    The report can only raise the cost: a server that reports too little load
    gains nothing over one that reports none.
    """
    slots = candidate.idle + candidate.in_use
    occupied = candidate.in_use / slots
    slow = max(1.0, (candidate.latency_s or typical_s) / typical_s)
    overload = max(0.0, (candidate.reported_load or 0.0) - 0.9)
    working = max(0.01, 1.0 - candidate.trouble)
    return (1.0 + occupied + overload) * slow / working
