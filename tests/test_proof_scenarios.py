"""Tests of the failure scenarios, with a fake instead of a deployment."""

import asyncio
import random
import typing
import unittest

from tests import proof_scenarios


class FakeRun:
    """Records the VMs to which a scenario submits tickets."""

    def __init__(self, ended_vms: set[str], seed: int = 1) -> None:
        self.vms = [f'vm-{number}' for number in range(1, 8)]
        self.ended_vms = ended_vms
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
        """Ignore the faults of the store."""

    async def withdraw_key(self, key: str, vm: str) -> None:
        """Record the VM that an operator uses."""
        self.ticket_vms.append(vm)

    async def drain(self, kind: str, target: str, vm: str) -> None:
        """Record the VM that an operator uses."""
        self.ticket_vms.append(vm)


class TestStoreLosesAnswers(unittest.TestCase):
    """Tickets while responses of the store are lost."""

    def test_operators_use_vms_that_run(self) -> None:
        """Guards against submitting a ticket to a VM that was killed.

        An earlier scenario of the same run kills a random VM.  When the next
        ticket went to that VM, the run failed with "not within 40.0 s:
        ticket 4".
        """
        for vm in FakeRun(set()).vms:
            with self.subTest(killed=vm):
                run = FakeRun({vm})
                scenario = proof_scenarios.lose_store_responses(
                    typing.cast(typing.Any, run)
                )
                asyncio.run(scenario)
                self.assertEqual(len(run.ticket_vms), 2)
                self.assertNotIn(vm, run.ticket_vms)
