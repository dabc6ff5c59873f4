"""Tests of the computations for each heartbeat."""

import unittest
from unittest import mock

from filbertstep import _capacity_world


class TestHeartbeatCost(unittest.IsolatedAsyncioTestCase):
    """Costly work is done in each tick, not for each heartbeat."""

    async def test_load_is_that_of_the_last_tick(self) -> None:
        """Building a heartbeat must not compute a sum over all slots."""
        async with _capacity_world.node_with_config(
            _capacity_world.ConfigSize()
        ) as one:
            one.lookups.load = 0.25
            with mock.patch.object(
                one.slots, 'idle_counts', side_effect=AssertionError
            ):
                message = one.agreement.heartbeats.build_request('vm-1')
            self.assertEqual(0.25, message['burden'])
