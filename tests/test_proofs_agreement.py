"""Proofs while VMs cannot reach the store or each other."""

from tests import proof_runs
from tests import proof_scenarios


class TestFreeze(proof_runs.ProofCase):
    """A VM that sleeps through a withdrawal and a shift."""

    def test_promises_hold(self) -> None:
        """Guards against a woken VM that acts on what it knew before."""
        self.prove('freeze', proof_scenarios.SCENARIOS['freeze'])


class TestCut(proof_runs.ProofCase):
    """A VM without the store, then a region cut off."""

    def test_promises_hold(self) -> None:
        """Guards against the minority that honours a withdrawn key."""
        self.prove(
            'cut_vm_and_region',
            proof_scenarios.SCENARIOS['cut_vm_and_region'],
        )


class TestStoreAndTickets(proof_runs.ProofCase):
    """Racing operators, a store outage with a death, lost answers."""

    def test_promises_hold(self) -> None:
        """Guards against tickets taken twice and shares taken too early."""
        self.prove(
            'store_and_tickets',
            proof_scenarios.SCENARIOS['store_and_tickets'],
        )
