"""Proofs under backend servers that mislead, cross, cut and crash."""

from tests import proof_runs
from tests import proof_scenarios


class TestAnswers(proof_runs.ProofCase):
    """Crossed and cut answers, false reports, a withdrawn key."""

    def test_promises_hold(self) -> None:
        """Guards against foreign answers and keys that work on."""
        self.prove('answers', proof_scenarios.SCENARIOS['answers'])


class TestCrashAndKill(proof_runs.ProofCase):
    """A request that crashes servers, a killed VM and a killed server."""

    def test_promises_hold(self) -> None:
        """Guards against orders that run twice and a request of death."""
        self.prove(
            'crash_and_kill', proof_scenarios.SCENARIOS['crash_and_kill']
        )
