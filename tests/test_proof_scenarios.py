"""Tests of the fault injection scenarios with a fake deployment."""

import asyncio
import random
import typing
import unittest

from tests import proof_scenarios


class FakeRun:
    """Fake ``ScenarioRun`` with seven VMs that records the VMs of tickets."""

    def __init__(self, ended: set[str], seed: int = 1) -> None:
        self.vms = [f'vm-{number}' for number in range(1, 8)]
        self.ended_vms = ended
        self.random = random.Random(f'scenario/{seed}')
        self.ticket_vms: list[str] = []

    def running_vms(self) -> list[str]:
        """Return the VMs that the scenario has not ended."""
        return [name for name in self.vms if name not in self.ended_vms]

    def key_to_withdraw(self) -> str:
        """Return the name of a key."""
        return 'key'

    async def sleep(self, seconds: float) -> None:
        """Return at once."""

    async def configure_store(self, **faults: object) -> None:
        """Ignore changes of the store's faults."""

    async def withdraw_key(self, key: str, vm: str) -> None:
        """Record the VM to which the ticket is submitted."""
        self.ticket_vms.append(vm)

    async def drain(self, kind: str, target: str, vm: str) -> None:
        """Record the VM to which the ticket is submitted."""
        self.ticket_vms.append(vm)


class TestStoreLosesAnswers(unittest.TestCase):
    """Scenario in which the store loses answers."""

    def test_operators_use_vms_that_run(self) -> None:
        """Guards against submitting a ticket to a VM that was killed.

        A preceding scenario kills a random VM.  If this scenario submitted
        its tickets there, the proof failed with a timeout after 40 s.
        """
        for vm in FakeRun(set()).vms:
            with self.subTest(killed=vm):
                run = FakeRun({vm})
                scenario = proof_scenarios.store_loses_answers(
                    typing.cast(typing.Any, run)
                )
                asyncio.run(scenario)
                self.assertEqual(len(run.ticket_vms), 2)
                self.assertNotIn(vm, run.ticket_vms)
