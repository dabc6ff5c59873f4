"""Queue of the requests that wait on a VM for a slot."""

import unittest

from filbertstep import steering
from tests import steering_samples as samples


class TestWaitQueue(unittest.IsolatedAsyncioTestCase):
    """One server without a free slot."""

    def setUp(self) -> None:
        """Build the queue of a server whose three slots are in use."""
        self.table = samples.server_table(samples.server('s0'))
        self.server = self.table.by_id['s0']
        self.server.in_progress = 3
        self.server.last_sent_at = 0.0
        placement = steering.Placement(self.table, 'a', 'a-1', samples.BOUNDS)
        self.queue = steering.WaitQueue(placement)

    def enqueue(
        self, priority: int, target_time: float
    ) -> steering.WaitingRequest:
        """Add a request to the queue and return it."""
        request = steering.WaitingRequest(
            steering.PlacementQuery(samples.route(), 'orders', 'x', None),
            priority,
            0.0,
            target_time,
            10.0,
        )
        self.queue.add(request)
        self.queue.dispatch('orders', 0.5)
        return request

    async def test_a_discarded_request_is_not_counted(self) -> None:
        """Guards against a server that counts as full for departed callers."""
        request = self.enqueue(1, 1.0)
        self.assertEqual(self.server.waiting_requests, 1)
        self.queue.discard(request)
        self.queue.dispatch('orders', 0.6)
        self.assertEqual(self.server.waiting_requests, 0)

    async def test_the_order_is_by_priority_then_target(self) -> None:
        """Guards against urgent requests that wait behind others."""
        requests = [
            self.enqueue(2, 1.0),
            self.enqueue(1, 2.0),
            self.enqueue(1, 1.0),
        ]
        for expected in (2, 1, 0):
            self.server.in_progress = 2
            self.queue.dispatch('orders', 0.6)
            started = [
                number
                for number, request in enumerate(requests)
                if request.future.done()
            ]
            self.assertIn(expected, started)
            self.assertEqual(len(started), 3 - expected)

    async def test_a_wait_ends_without_a_server_that_wants_requests(
        self,
    ) -> None:
        """Guards against a request that waits for nothing."""
        for name in ('paused', 'leaving', 'removed'):
            with self.subTest(name=name):
                self.setUp()
                request = self.enqueue(1, 1.0)
                self.assertFalse(request.future.done())
                announcements = self.server.announcements
                if name == 'paused':
                    announcements.request_pause(3.0, 0.5)
                elif name == 'leaving':
                    announcements.leaving = True
                else:
                    self.table.remove('s0')
                self.queue.dispatch('orders', 0.6)
                self.assertTrue(request.future.done())
                self.assertIsNone(request.future.result())

    async def test_the_end_of_a_pause_ends_a_wait(self) -> None:
        """Guards against a request that stays queued beside a free server."""
        self.table.put(samples.server('s1'), 0.0)
        other = self.table.by_id['s1']
        other.announcements.request_pause(1.0, 0.0)
        request = self.enqueue(1, 1.0)
        self.queue.dispatch('orders', 0.9)
        self.assertFalse(request.future.done())
        self.queue.dispatch('orders', 1.0)
        self.assertTrue(request.future.done())
        candidate = request.future.result()
        assert candidate is not None
        self.assertIs(candidate.server, other)

    async def test_a_wait_ends_at_its_deadline(self) -> None:
        """Guards against requests that wait forever."""
        request = self.enqueue(1, 1.0)
        self.queue.dispatch('orders', 10.0)
        self.assertIsNone(await request.future)
