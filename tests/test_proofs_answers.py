"""Checks the promises while backend servers crash or respond wrongly."""

from tests import proof_runs
from tests import proof_scenarios


class TestCrashAndKill(proof_runs.ProofCase):
    """A request that crashes servers, killed processes, a withdrawn key."""

    def test_promises_hold(self) -> None:
        """Guards against duplicate orders and streams outliving their key."""
        self.check_scenario(
            'crash_and_kill', proof_scenarios.SCENARIOS['crash_and_kill']
        )


class TestStopsAndAnswers(proof_runs.ProofCase):
    """Stops and drains while responses are mismatched or truncated."""

    def test_promises_hold(self) -> None:
        """Guards against aborted requests and mismatched responses."""
        self.check_scenario(
            'stops_and_answers',
            proof_scenarios.SCENARIOS['stops_and_answers'],
        )
