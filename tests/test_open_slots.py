"""Tests of the slots of the baselines of measurements."""

import unittest

from filbertstep import config
from filbertstep import sharing
from tests import routing_fakes


class TestUnlimitedSlots(unittest.TestCase):
    """The baseline never holds a request back."""

    def setUp(self) -> None:
        """Learn a configuration with two servers in each region."""
        views = config.ViewTable()
        routing_fakes.learn(views, routing_fakes.documents(), 1, 0.0)
        self.slots = sharing.UnlimitedSlots(views)

    def test_more_requests_than_slots(self) -> None:
        """Guards against a baseline that slots protect after all."""
        for _ in range(20):
            hold = self.slots.acquire('hobart-1', 1.0, 5.0)
            self.assertIsNotNone(hold)
        self.assertEqual(20, self.slots.in_use_count('hobart-1'))
        idle = self.slots.idle_counts('bookings', 'hobart', 5.0)
        self.assertEqual({'hobart-1': 1, 'hobart-2': 1}, idle)

    def test_released_requests_are_not_counted(self) -> None:
        """Guards against a count that only grows."""
        hold = self.slots.acquire('hobart-1', 1.0, 5.0)
        assert hold is not None
        self.assertEqual(6.0, hold.run_until)
        self.slots.release(hold, 5.5)
        self.assertEqual(0, self.slots.in_use_count('hobart-1'))

    def test_unknown_server(self) -> None:
        """Guards against a request to a server that left."""
        self.assertIsNone(self.slots.acquire('hobart-9', 1.0, 5.0))
