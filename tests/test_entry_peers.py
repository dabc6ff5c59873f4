"""Whom a VM asks for tokens of an account."""

import typing
import unittest

from filbertstep import clock
from filbertstep import steering
from filbertstep.entry import _peers
from tests import steering_samples as samples
from tests import test_entry_knowledge


class RecordingTokenRequester(_peers.TokenRequester):
    """Records the questions, and gives what is asked for."""

    def __init__(self, state: typing.Any, time_source: clock.Clock) -> None:
        # Any: the test's state has only what questions for tokens need.
        super().__init__(
            state,
            typing.cast(typing.Any, None),
            time_source,
            test_entry_knowledge.make_log(time_source),
        )
        self.requests: list[tuple[str, float]] = []

    async def request_from_peer(
        self, peer: str, account: str, wanted: float
    ) -> float:
        """Give all that is asked for."""
        self.requests.append((peer, wanted))
        return wanted


class FakeState(typing.NamedTuple):
    """What questions for tokens need of a VM's state."""

    quotas: steering.QuotaTable
    members: typing.Any
    settings: typing.Any


class FakeMembers(typing.NamedTuple):
    """Live VMs by name."""

    live: dict[str, steering.Member]


class FakeSettings(typing.NamedTuple):
    """Name and region of the VM."""

    vm: str
    region: str


class TestTokenRequester(unittest.IsolatedAsyncioTestCase):
    """Twelve VMs, of which three hold the account's tokens."""

    def setUp(self) -> None:
        """Build a VM that holds none."""
        self.clock = clock.FakeClock()
        self.account = samples.account(rate_per_s=4.0, burst_tokens=4.0)
        names = [f'v{number}' for number in range(12)]
        first = steering.QuotaTable(names[0], True, samples.BOUNDS)
        first.set_vms(names)
        self.holders = first.holders(self.account)
        own = next(name for name in names if name not in self.holders)
        self.quotas = steering.QuotaTable(own, True, samples.BOUNDS)
        self.quotas.set_vms(names)
        self.live = {name: samples.member(name) for name in names}
        self.requester = RecordingTokenRequester(
            FakeState(
                self.quotas, FakeMembers(self.live), FakeSettings(own, 'a')
            ),
            self.clock,
        )

    async def test_holders_are_asked(self) -> None:
        """Guards against questions to VMs that have no tokens."""
        self.assertFalse(self.quotas.try_take(self.account, self.clock.now()))
        given = await self.requester.request_tokens(self.account)
        self.assertEqual(given, 2.0)
        self.assertEqual(len(self.requester.requests), 2)
        addresses = {self.live[name].peers for name in self.holders}
        self.assertLessEqual(
            {peer for peer, _ in self.requester.requests}, addresses
        )
        self.assertTrue(self.quotas.try_take(self.account, self.clock.now()))

    async def test_all_holders_get_their_turn(self) -> None:
        """Guards against a holder whose tokens nobody fetches."""
        for _ in range(6):
            await self.requester.request_tokens(self.account)
        addresses = {self.live[name].peers for name in self.holders}
        self.assertEqual(
            {peer for peer, _ in self.requester.requests}, addresses
        )

    async def test_without_live_holders_nobody_is_asked(self) -> None:
        """Guards against waiting for VMs that are gone."""
        for name in self.holders:
            del self.live[name]
        self.assertEqual(
            await self.requester.request_tokens(self.account), 0.0
        )
        self.assertEqual(self.requester.requests, [])
