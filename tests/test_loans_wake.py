"""Tests that loans wake up waiting requests at once."""

import random
import unittest

import result

from filbertstep import _borrower
from filbertstep import _loans
from filbertstep import clock
from filbertstep import errors
from filbertstep import transport
from tests import exchange_bench


class TestLoansCallback(unittest.IsolatedAsyncioTestCase):
    """The callback for new loans."""

    async def services_called_back(self, count: int) -> list[str]:
        """Borrow from a peer that lends ``count`` slots.

        Returns the services for which the callback was called.
        """
        fake_clock = clock.FakeClock()
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
            exchange_bench.FakeMembership(fake_clock),
            peers,
            random.Random(1),
            fake_clock.now,
        )
        services: list[str] = []
        borrower.loans_callback = services.append
        borrower.start_request(
            'backup', ('bookings', 'hobart'), 2, fake_clock.now()
        )
        while borrower.tasks:
            await next(iter(borrower.tasks))
        self.assertEqual(count, len(borrower.borrowed.loans))
        return services

    async def test_callback_is_called_for_new_loans(self) -> None:
        """The queues must learn of new loans at once.

        Without the callback, requests waited up to 0.1 s for the next tick.
        """
        self.assertEqual(['bookings'], await self.services_called_back(2))
        self.assertEqual([], await self.services_called_back(0))
