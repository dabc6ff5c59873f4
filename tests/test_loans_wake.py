"""Tests that requests that wait hear of loans at once."""

import random
import unittest

import result

from filbertstep import _borrower
from filbertstep import _loans
from filbertstep import clock
from filbertstep import errors
from filbertstep import transport
from tests import exchange_bench


class TestArrival(unittest.IsolatedAsyncioTestCase):
    """The callback for loans."""

    async def heard(self, count: int) -> list[str]:
        """Borrow from a peer that lends some slots; return the calls."""
        ticks = clock.FakeClock()
        peers = transport.FakePeers()

        async def lend(
            message: transport.Message,
        ) -> result.Result[transport.Message, errors.Failure]:
            loans = [
                {
                    'loan_id': f'loan-{number}',
                    'server': 'server-1',
                    'slot': number,
                    'duration_s': 7.0,
                }
                for number in range(count)
            ]
            return result.Ok({'loans': loans})

        peers.handlers['backup', _loans.BORROW_PATH] = lend
        borrower = _borrower.Borrower(
            'owner',
            'i1',
            exchange_bench.FakeMembership(ticks),
            peers,
            random.Random(1),
            ticks.now,
        )
        found: list[str] = []
        borrower.loans_callback = found.append
        borrower.start_request(
            'backup', ('bookings', 'hobart'), 2, ticks.now()
        )
        while borrower.tasks:
            await next(iter(borrower.tasks))
        self.assertEqual(count, len(borrower.borrowed.loans))
        return found

    async def test_loans(self) -> None:
        """Guards against a wait until the next tick for a loan that is here.

        Nothing told the queues of loans, so that each waited up to 0.1 s.
        """
        self.assertEqual(['bookings'], await self.heard(2))
        self.assertEqual([], await self.heard(0))
