"""Proofs under servers that mislead, cross, cut and crash."""

from tests import proof_runs
from tests import proof_scenarios


class TestCrashAndKill(proof_runs.ProofCase):
    """A request that crashes servers, killed processes, a withdrawn key."""

    def test_promises_hold(self) -> None:
        """Guards against orders that run twice and streams that go on."""
        self.prove(
            'crash_and_kill', proof_scenarios.SCENARIOS['crash_and_kill']
        )


class TestStopsAndAnswers(proof_runs.ProofCase):
    """Planned stops and drains while answers are crossed and cut."""

    def test_promises_hold(self) -> None:
        """Guards against a stop that cuts requests, and foreign answers."""
        self.prove(
            'stops_and_answers',
            proof_scenarios.SCENARIOS['stops_and_answers'],
        )
