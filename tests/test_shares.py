"""Tests of the share system."""

import asyncio
import unittest

from tests import sharing_fakes as fakes


class TestSkewedDemand(unittest.TestCase):
    """Units move to the VM that has the demand."""

    def test_one_vm_with_all_traffic_refuses_nothing(self) -> None:
        """Guards against wrongful refusals when traffic is uneven."""
        fleet = fakes.Fleet(fakes.make_documents(rate=100, burst=50))
        fleet.start_epoch_1(7)
        refused = fakes.run(fleet.clock, send_skewed(fleet, 90, 60))
        late = [time for time in refused if time > 1002]
        self.assertEqual([], late, f'{len(refused)} refusals in all')


async def send_skewed(
    fleet: fakes.Fleet, rate: float, seconds: float
) -> list[float]:
    """Send all requests of the account to one VM; return refusal times."""
    refused: list[float] = []
    shares = fleet.nodes['vm-1'].shares

    async def one() -> None:
        started = fleet.clock.now()
        if not await shares.take(fakes.ACCOUNT, 1.0, 0.25):
            refused.append(started)

    async def send() -> None:
        tasks = []
        for _ in range(int(rate * seconds)):
            tasks.append(asyncio.create_task(one()))
            await asyncio.sleep(fleet.rng.expovariate(rate))
        await asyncio.gather(*tasks)

    sending = asyncio.create_task(send())
    await fleet.go_on(seconds + 2)
    await sending
    return refused
