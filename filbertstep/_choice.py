"""Load-balancing policies that choose a backend server for a request.

Slots limit the load on a server regardless of what it reports; the policy
only decides which usable slot is taken first.  Policies based on load reports
exist as baselines for benchmarks: reports lag, and all VMs that read the same
report choose the same server at once (herd behaviour).
"""

import abc
import collections.abc
import random
import statistics
import typing

from filbertstep import config

# Servers whose cost is within this factor of the lowest are tied, so that
# small differences in latency do not concentrate requests on one server.
COST_TIE_FACTOR: typing.Final = 1.1

# Lower bound in seconds of the latency that servers are compared with.  Below
# it, differences come from the network and from scheduling.
MIN_TYPICAL_LATENCY_S: typing.Final = 0.002


class Candidate(typing.NamedTuple):
    """A snapshot of a backend server as this VM sees it.

    ``idle_slots`` and ``slots_in_use`` count only this VM's slots.
    ``reported_load`` comes from the server's own load report (0 to 1), None
    without a recent one.  ``latency_s`` is the recent latency in seconds of
    its responses to this VM, None if unknown.  ``failure_rate`` is the recent
    share (0 to 1) of attempts that the server shed or failed.  ``suspect``
    servers are used only if there is no other.
    """

    server: config.BackendServer
    idle_slots: int
    slots_in_use: int
    reported_load: float | None
    latency_s: float | None
    failure_rate: float
    suspect: bool
    same_zone: bool


Candidates = collections.abc.Sequence[Candidate]


class ChoicePolicy(abc.ABC):
    """Chooses one of the backend servers of a service in a region."""

    @abc.abstractmethod
    def choose(self, candidates: Candidates, rng: random.Random) -> Candidate:
        """Return one of the candidates.

        Raises ValueError if no candidate can be chosen.
        """


def require_candidates(candidates: Candidates) -> Candidates:
    """Return the candidates; raises ValueError if there are none."""
    if not candidates:
        raise ValueError('no backend server to choose from')
    return candidates


def reported_load_or_default(candidate: Candidate) -> float:
    """Return the reported load, or 0.5 for a server without a report."""
    load = candidate.reported_load
    return 0.5 if load is None else load


class RandomChoice(ChoicePolicy):
    """Baseline: a server chosen uniformly at random."""

    def choose(self, candidates: Candidates, rng: random.Random) -> Candidate:
        """Return a random candidate."""
        return rng.choice(require_candidates(candidates))


class RoundRobinChoice(ChoicePolicy):
    """Baseline: round robin over the servers of each service, by name."""

    def __init__(self) -> None:
        self.last_chosen: dict[str, str] = {}

    def choose(self, candidates: Candidates, rng: random.Random) -> Candidate:
        """Return the candidate that follows the last chosen one by name."""
        ordered = sorted(
            require_candidates(candidates), key=lambda item: item.server.name
        )
        service = ordered[0].server.service
        last = self.last_chosen.get(service, '')
        chosen = next(
            (item for item in ordered if item.server.name > last), ordered[0]
        )
        self.last_chosen[service] = chosen.server.name
        return chosen


class LeastReportedLoad(ChoicePolicy):
    """Baseline: the server with the lowest reported load."""

    def choose(self, candidates: Candidates, rng: random.Random) -> Candidate:
        """Return the candidate with the lowest report; ties are random."""
        least = min(
            map(reported_load_or_default, require_candidates(candidates))
        )
        return rng.choice(
            [
                item
                for item in candidates
                if reported_load_or_default(item) == least
            ]
        )


class PowerOfTwoChoices(ChoicePolicy):
    """Baseline: of two random servers, the one that reports less load."""

    def choose(self, candidates: Candidates, rng: random.Random) -> Candidate:
        """Return the less loaded of two random candidates."""
        pair = rng.sample(
            require_candidates(candidates), min(2, len(candidates))
        )
        return min(pair, key=reported_load_or_default)


class SlotAwareChoice(ChoicePolicy):
    """The default policy: prefers free slots, low latency and few failures.

    It relies mainly on what this VM itself observes.
    """

    def choose(self, candidates: Candidates, rng: random.Random) -> Candidate:
        """Return one of the cheapest candidates with an idle slot.

        Suspect servers are chosen only if there is no other.  Among tied
        candidates, those in this VM's availability zone are preferred.
        """
        with_idle_slot = require_candidates(
            [item for item in candidates if item.idle_slots > 0]
        )
        usable = [
            item for item in with_idle_slot if not item.suspect
        ] or with_idle_slot
        typical_s = typical_latency_s(usable)
        costs = [relative_cost(item, typical_s) for item in usable]
        limit = min(costs) * COST_TIE_FACTOR
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
"""Policies by the value of ``choice_policy`` in the node settings."""


def typical_latency_s(candidates: Candidates) -> float:
    """Return the lower median of the known latencies, in seconds."""
    known = [
        item.latency_s for item in candidates if item.latency_s is not None
    ]
    if not known:
        return MIN_TYPICAL_LATENCY_S
    # With two servers, the mean of both would hide the slower one.
    return max(MIN_TYPICAL_LATENCY_S, statistics.median_low(known))


def relative_cost(candidate: Candidate, typical_s: float) -> float:
    """Return the relative cost of sending one more request to a server.

    The load report can only raise the cost, so that a server which reports
    too little load is not preferred to one without a report.
    """
    slots = candidate.idle_slots + candidate.slots_in_use
    slot_utilization = candidate.slots_in_use / slots
    latency_factor = max(1.0, (candidate.latency_s or typical_s) / typical_s)
    reported_overload = max(0.0, (candidate.reported_load or 0.0) - 0.9)
    success_rate = max(0.01, 1.0 - candidate.failure_rate)
    return (
        (1.0 + slot_utilization + reported_overload)
        * latency_factor
        / success_rate
    )
