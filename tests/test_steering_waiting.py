"""Requests that wait on a VM for a slot."""

import unittest

from filbertstep import steering
from tests import steering_samples as samples


class TestWaitingRoom(unittest.IsolatedAsyncioTestCase):
    """One server whose slots are taken."""

    def setUp(self) -> None:
        """Build the room."""
        self.table = samples.server_table(samples.server('s0'))
        self.row = self.table.by_id['s0']
        self.row.in_progress = 3
        self.row.last_sent_at = 0.0
        placement = steering.Placement(self.table, 'a', 'a-1', samples.BOUNDS)
        self.room = steering.WaitQueue(placement)

    def wait(self, priority: int, target: float) -> steering.WaitingRequest:
        """Let a request wait."""
        waiter = steering.WaitingRequest(
            steering.PlacementQuery(samples.route(), 'orders', 'x', None),
            priority,
            0.0,
            target,
            10.0,
        )
        self.room.add(waiter)
        self.room.dispatch('orders', 0.5)
        return waiter

    async def test_a_caller_who_leaves_is_awaited_no_more(self) -> None:
        """Guards against a server that stays full for requests that left."""
        waiter = self.wait(1, 1.0)
        self.assertEqual(self.row.waiting_requests, 1)
        self.room.discard(waiter)
        self.room.dispatch('orders', 0.6)
        self.assertEqual(self.row.waiting_requests, 0)

    async def test_the_order_is_by_priority_then_target(self) -> None:
        """Guards against urgent requests behind others."""
        waiters = [self.wait(2, 1.0), self.wait(1, 2.0), self.wait(1, 1.0)]
        for expected in (2, 1, 0):
            self.row.in_progress = 2
            self.room.dispatch('orders', 0.6)
            started = [
                number
                for number, waiter in enumerate(waiters)
                if waiter.future.done()
            ]
            self.assertIn(expected, started)
            self.assertEqual(len(started), 3 - expected)

    async def test_a_wait_ends_at_its_deadline(self) -> None:
        """Guards against requests that wait for ever."""
        waiter = self.wait(1, 1.0)
        self.room.dispatch('orders', 10.0)
        self.assertIsNone(await waiter.future)
