"""Tests of the load-balancing policies."""

import collections
import random
import unittest

from filbertstep import config
from filbertstep import routing


def candidate(
    name: str,
    *,
    idle_slots: int = 2,
    slots_in_use: int = 0,
    reported_load: float | None = None,
    latency_s: float | None = None,
    failure_rate: float = 0.0,
    suspect: bool = False,
    same_zone: bool = False,
) -> routing.Candidate:
    """Return a candidate that is healthy and idle by default."""
    server = config.BackendServer(
        name, 'bookings', '127.0.0.1:9', 'hobart', 'hobart-a', 4, 400, 1.0
    )
    return routing.Candidate(
        server,
        idle_slots,
        slots_in_use,
        reported_load,
        latency_s,
        failure_rate,
        suspect,
        same_zone,
    )


def counts(
    policy: routing.ChoicePolicy, candidates: list[routing.Candidate]
) -> dict[str, int]:
    """Return how often each server is chosen in 200 choices."""
    rng = random.Random(7)
    return collections.Counter(
        policy.choose(candidates, rng).server.name for _ in range(200)
    )


class TestSlotAwareChoice(unittest.TestCase):
    """The default policy ranks servers by what this VM observes."""

    CASES = (
        ('busy', candidate('good'),
         candidate('bad', idle_slots=1, slots_in_use=1)),
        ('no idle slot', candidate('good', suspect=True),
         candidate('bad', idle_slots=0)),
        ('suspect', candidate('good', slots_in_use=1, idle_slots=1),
         candidate('bad', suspect=True)),
        ('sheds though it reports idle', candidate('good', reported_load=0.8),
         candidate('bad', reported_load=0.0, failure_rate=0.5)),
        ('slow though it reports idle', candidate('good', latency_s=0.02),
         candidate('bad', reported_load=0.0, latency_s=0.2)),
        ('reports overload', candidate('good'),
         candidate('bad', reported_load=1.2)),
        ('other zone', candidate('good', same_zone=True), candidate('bad')),
    )  # fmt: skip

    def test_better_server_is_chosen(self) -> None:
        """Guards against load reports that outweigh this VM's observations."""
        for name, good, bad in self.CASES:
            with self.subTest(name):
                chosen = counts(routing.SlotAwareChoice(), [bad, good])
                self.assertEqual({'good': 200}, dict(chosen))

    def test_report_alone_attracts_nothing(self) -> None:
        """Guards against herding to the server with the lowest report."""
        chosen = counts(
            routing.SlotAwareChoice(),
            [
                candidate('a', reported_load=0.0),
                candidate('b', reported_load=0.8),
            ],
        )
        self.assertGreater(chosen['b'], 60)

    def test_zone_does_not_outweigh_slots(self) -> None:
        """Guards against preferring an almost full server for its zone."""
        chosen = counts(
            routing.SlotAwareChoice(),
            [
                candidate('a', idle_slots=1, slots_in_use=3, same_zone=True),
                candidate('b'),
            ],
        )
        self.assertEqual({'b': 200}, dict(chosen))

    def test_no_idle_slot_raises(self) -> None:
        """Guards against choosing a server without an idle slot."""
        with self.assertRaises(ValueError):
            routing.SlotAwareChoice().choose(
                [candidate('a', idle_slots=0)], random.Random(1)
            )


class TestBaselines(unittest.TestCase):
    """The baselines of the benchmarks behave as their names say."""

    def test_least_reported_load_follows_the_report(self) -> None:
        """Guards against a baseline that considers more than the reports."""
        chosen = counts(
            routing.LeastReportedLoad(),
            [
                candidate('a', reported_load=0.1, failure_rate=0.9),
                candidate('b', reported_load=0.2),
            ],
        )
        self.assertEqual({'a': 200}, dict(chosen))

    def test_two_choices_never_takes_the_worst(self) -> None:
        """Guards against comparing a server only with itself."""
        loads = {'a': 0.1, 'b': 0.5, 'c': 0.9}
        chosen = counts(
            routing.PowerOfTwoChoices(),
            [
                candidate(name, reported_load=reported_load)
                for name, reported_load in loads.items()
            ],
        )
        self.assertNotIn('c', chosen)
        self.assertGreater(chosen['a'], chosen['b'])

    def test_round_robin_is_even(self) -> None:
        """Guards against a round robin that skips servers."""
        chosen = counts(
            routing.RoundRobinChoice(), [candidate(name) for name in 'dbca']
        )
        self.assertEqual(dict.fromkeys('abcd', 50), dict(chosen))

    def test_random_reaches_all(self) -> None:
        """Guards against servers that are never or too often chosen."""
        chosen = counts(
            routing.RandomChoice(), [candidate(name) for name in 'abcd']
        )
        self.assertTrue(all(30 < count < 70 for count in chosen.values()))
        self.assertEqual(4, len(chosen))
