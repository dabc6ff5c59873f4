"""Proofs under crashes, false load reports and faulty answers."""

from tests import proof_runs
from tests import proof_scenarios


class TestCrashAndKill(proof_runs.ProofCase):
    """A crashing request, killed processes and a withdrawn key."""

    def test_promises_hold(self) -> None:
        """Guards against orders run twice and streams that are not ended."""
        self.check_scenario(
            'crash_and_kill', proof_scenarios.SCENARIOS['crash_and_kill']
        )


class TestStopsAndAnswers(proof_runs.ProofCase):
    """Graceful stops and drains while answers are mixed up or truncated."""

    def test_promises_hold(self) -> None:
        """Guards against stops that abort requests, and mixed-up answers."""
        self.check_scenario(
            'stops_and_answers',
            proof_scenarios.SCENARIOS['stops_and_answers'],
        )
