"""Proofs under faults of VMs, of the store and of the network."""

from tests import proof_runs
from tests import proof_scenarios


class TestFreeze(proof_runs.ProofCase):
    """A VM suspended during a key withdrawal and a region drain."""

    def test_promises_hold(self) -> None:
        """Guards against a resumed VM that acts on outdated state."""
        self.check_scenario('freeze', proof_scenarios.SCENARIOS['freeze'])


class TestCut(proof_runs.ProofCase):
    """A VM partitioned from the store, then a partitioned region."""

    def test_promises_hold(self) -> None:
        """Guards against a cut-off minority that accepts a withdrawn key."""
        self.check_scenario(
            'cut_vm_and_region',
            proof_scenarios.SCENARIOS['cut_vm_and_region'],
        )


class TestStoreAndTickets(proof_runs.ProofCase):
    """Competing tickets, a VM killed in a store outage, lost answers."""

    def test_promises_hold(self) -> None:
        """Guards against tickets applied twice and shares taken too early."""
        self.check_scenario(
            'store_and_tickets',
            proof_scenarios.SCENARIOS['store_and_tickets'],
        )
