"""Proofs of planned stops and drains, and of a region that is gone."""

from tests import proof_runs
from tests import proof_scenarios


class TestStops(proof_runs.ProofCase):
    """A VM stops and servers drain while the store is slow."""

    def test_promises_hold(self) -> None:
        """Guards against a planned stop that cuts a request."""
        self.prove('stops', proof_scenarios.SCENARIOS['stops'])


class TestRegionGone(proof_runs.ProofCase):
    """All VMs and backend servers of a region killed."""

    def test_promises_hold(self) -> None:
        """Guards against a spill-over above cap, slots and links."""
        self.prove('region_gone', proof_scenarios.SCENARIOS['region_gone'])
