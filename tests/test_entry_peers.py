"""Requests of a VM to its peers for rate tokens."""

import asyncio
import typing
import unittest
from unittest import mock

from filbertstep import clock
from filbertstep import steering
from filbertstep.entry import _connections
from filbertstep.entry import _peers
from tests import steering_samples as samples
from tests import test_entry_knowledge

MAX_WAIT_S: typing.Final = 10.0


class RecordingTokenRequester(_peers.TokenRequester):
    """Records requests to peers.

    The peers give what ``answers`` lists, then all that is asked for.
    """

    def __init__(self, state: typing.Any, time_source: clock.Clock) -> None:
        # Any: the fake state has only what a token request needs.
        super().__init__(
            state,
            typing.cast(typing.Any, None),
            time_source,
            test_entry_knowledge.make_log(time_source),
        )
        self.requests: list[tuple[str, float]] = []
        self.answers: list[float] = []

    async def request_from_peer(
        self, peer: str, account: str, wanted: float
    ) -> float:
        """Record the request and return the tokens."""
        self.requests.append((peer, wanted))
        return min(wanted, self.answers.pop(0)) if self.answers else wanted


class FakeState(typing.NamedTuple):
    """The parts of a VM's state that a token request needs."""

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
        """Build a VM that is not one of the holders."""
        self.clock = clock.FakeClock()
        self.account = samples.account(rate_per_s=4.0, burst_tokens=4.0)
        names = [f'v{number}' for number in range(12)]
        any_vm_quotas = steering.QuotaTable(names[0], True, samples.BOUNDS)
        any_vm_quotas.set_vms(names)
        self.holders = any_vm_quotas.holders(self.account)
        own_vm = next(name for name in names if name not in self.holders)
        self.quotas = steering.QuotaTable(own_vm, True, samples.BOUNDS)
        self.quotas.set_vms(names)
        self.live_members = {name: samples.member(name) for name in names}
        self.requester = RecordingTokenRequester(
            FakeState(
                self.quotas,
                FakeMembers(self.live_members),
                FakeSettings(own_vm, 'a'),
            ),
            self.clock,
        )

    async def test_only_holders_are_asked(self) -> None:
        """VMs that hold no tokens must not be asked."""
        self.assertFalse(self.quotas.try_take(self.account, self.clock.now()))
        for _ in range(3):
            # Further requests are expected in the time tokens last.
            self.quotas.try_take(self.account, self.clock.now())
        given = await self.requester.request_tokens(self.account)
        self.assertEqual(given, 2.0)
        self.assertEqual(len(self.requester.requests), 2)
        addresses = {self.live_members[name].peers for name in self.holders}
        self.assertLessEqual(
            {peer for peer, _ in self.requester.requests}, addresses
        )
        self.assertTrue(self.quotas.try_take(self.account, self.clock.now()))

    async def test_a_vm_with_few_requests_asks_for_one_token(self) -> None:
        """Guards against tokens that expire unused and are lost.

        A hundred VMs with a request now and then would spend the rate of an
        account on tokens that nobody uses.
        """
        self.assertFalse(self.quotas.try_take(self.account, self.clock.now()))
        given = await self.requester.request_tokens(self.account)
        self.assertEqual(given, 1.0)
        self.assertEqual(
            [wanted for _, wanted in self.requester.requests], [1.0]
        )
        self.assertTrue(self.quotas.try_take(self.account, self.clock.now()))

    async def test_the_next_holder_is_asked_for_the_rest(self) -> None:
        """Guards against a refusal while other holders have tokens."""
        self.quotas.try_take(self.account, self.clock.now())
        self.requester.answers = [0.0, 0.25, 1.0]
        given = await self.requester.request_tokens(self.account)
        self.assertEqual(given, 1.0)
        self.assertEqual(
            [wanted for _, wanted in self.requester.requests],
            [1.0, 1.0, 0.75],
        )
        self.assertEqual(len({peer for peer, _ in self.requester.requests}), 3)
        self.assertTrue(self.quotas.try_take(self.account, self.clock.now()))

    async def test_repeated_requests_reach_all_holders(self) -> None:
        """The tokens of a holder that nobody asks would stay unused."""
        for _ in range(6):
            await self.requester.request_tokens(self.account)
        addresses = {self.live_members[name].peers for name in self.holders}
        self.assertEqual(
            {peer for peer, _ in self.requester.requests}, addresses
        )

    async def test_nobody_is_asked_without_live_holders(self) -> None:
        """A request must not wait for VMs that are gone."""
        for name in self.holders:
            del self.live_members[name]
        self.assertEqual(
            await self.requester.request_tokens(self.account), 0.0
        )
        self.assertEqual(self.requester.requests, [])


class TestPeerListener(unittest.IsolatedAsyncioTestCase):
    """Requests that peers do not send."""

    async def test_large_bodies_are_refused(self) -> None:
        """Guards against clients of the port that fill the memory."""
        # Any: none of them is used for such a request.
        unused: typing.Any = mock.Mock()
        listener = _peers.PeerListener(unused, unused, unused, unused, unused)
        http_server = _connections.make_http_server(listener.handle)
        self.addAsyncCleanup(http_server.shutdown, 0.1)
        server = await asyncio.get_running_loop().create_server(
            http_server, '127.0.0.1', 0
        )
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        self.addCleanup(writer.close)
        writer.write(
            b'POST /tokens HTTP/1.1\r\nHost: a\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        size = _peers.MAX_TOKENS_BODY_BYTES + 1
        writer.write(b'%x\r\n' % size + b'x' * size + b'\r\n')
        async with asyncio.timeout(MAX_WAIT_S):
            status_line = await reader.readline()
        self.assertIn(b' 413 ', status_line)
