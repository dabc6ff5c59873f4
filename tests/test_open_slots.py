"""Tests of the unlimited slots that benchmarks use as a baseline."""

import unittest

from filbertstep import config
from filbertstep import sharing
from tests import routing_fakes


class TestUnlimitedSlots(unittest.TestCase):
    """The baseline never makes a request wait for a slot."""

    def setUp(self) -> None:
        """Learn a configuration with two servers in each region."""
        views = config.ViewTable()
        routing_fakes.learn(views, routing_fakes.documents(), 1, 0.0)
        self.slots = sharing.UnlimitedSlots(views)

    def test_more_requests_than_slots(self) -> None:
        """The baseline must not limit requests by slots."""
        for _ in range(20):
            hold = self.slots.acquire('hobart-1', 1.0, 5.0)
            self.assertIsNotNone(hold)
        self.assertEqual(20, self.slots.in_use_count('hobart-1'))
        idle = self.slots.idle_counts('bookings', 'hobart', 5.0)
        self.assertEqual({'hobart-1': 1, 'hobart-2': 1}, idle)

    def test_released_requests_are_not_counted(self) -> None:
        """A released request must not be counted any more."""
        hold = self.slots.acquire('hobart-1', 1.0, 5.0)
        assert hold is not None
        self.assertEqual(6.0, hold.run_until)
        self.slots.release(hold, 5.5)
        self.assertEqual(0, self.slots.in_use_count('hobart-1'))

    def test_unknown_server(self) -> None:
        """A server that is no longer configured must not get requests."""
        self.assertIsNone(self.slots.acquire('hobart-9', 1.0, 5.0))
