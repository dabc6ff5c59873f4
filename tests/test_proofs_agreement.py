"""Checks the promises while VMs cannot reach the store or each other."""

from tests import proof_runs
from tests import proof_scenarios


class TestFreeze(proof_runs.ProofCase):
    """A VM that is suspended during a key withdrawal and a traffic shift."""

    def test_promises_hold(self) -> None:
        """Guards against a resumed VM that acts on its outdated view."""
        self.check_scenario('freeze', proof_scenarios.SCENARIOS['freeze'])


class TestCut(proof_runs.ProofCase):
    """A VM that is partitioned from the store, then a partitioned region."""

    def test_promises_hold(self) -> None:
        """Guards against a minority partition that accepts a withdrawn key."""
        self.check_scenario(
            'cut_vm_and_region',
            proof_scenarios.SCENARIOS['cut_vm_and_region'],
        )


class TestStoreAndTickets(proof_runs.ProofCase):
    """Competing tickets, a VM killed in a store outage, lost responses."""

    def test_promises_hold(self) -> None:
        """Guards against accepting two tickets and taking shares too early."""
        self.check_scenario(
            'store_and_tickets',
            proof_scenarios.SCENARIOS['store_and_tickets'],
        )
