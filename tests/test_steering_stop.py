"""What a VM that stops expects of servers, and which servers it uses."""

import typing

from filbertstep import steering
from tests import steering_samples as samples
from tests import test_steering_placement as placement_tests

# Times of a load report, and of a decision on which no later one bears.
REPORTED_AT: typing.Final = 98.0
DECIDED_AT: typing.Final = 100.0

# Measured run times of a service, with and without the object cached.
CACHED_S: typing.Final = 0.2
UNCACHED_S: typing.Final = 0.6


class TestLongestTime(placement_tests.PlacementCase):
    """The longest time to an answer, by which a stopping VM decides."""

    def setUp(self) -> None:
        """Build a placement with one server of three slots."""
        self.placement = self.build_placement(samples.server('s0'))
        self.server = self.placement.table.by_id['s0']
        run_times = self.placement.route_run_times(samples.route())
        run_times.cached_s, run_times.uncached_s = CACHED_S, UNCACHED_S

    def longest_s(self) -> float:
        """Return the longest time to the answer of the server."""
        return self.placement.longest_s(
            self.server, placement_tests.build_query(), DECIDED_AT
        )

    def test_a_queue_lasts_although_its_report_is_seconds_old(self) -> None:
        """Guards against passing requests on to queues that outlast the exit.

        A VM that stops gets ever fewer answers with reports.
        """
        self.placement.record_run_s('orders', UNCACHED_S)
        reports: dict[str, typing.Callable[[], None]] = {
            'own answer': lambda: self.server.record_load(3, 10, REPORTED_AT),
            'answer of another VM': lambda: self.server.record_shared_load(
                3, 10, REPORTED_AT, REPORTED_AT
            ),
        }
        for name, report in reports.items():
            with self.subTest(name):
                report()
                # Of the 12 others, 10 end before a slot is free.
                self.assertGreaterEqual(
                    self.longest_s(), (10 / 3 + 1) * UNCACHED_S
                )

    def test_a_queue_moves_at_the_speed_of_all_its_requests(self) -> None:
        """Guards against a queue whose requests are believed to be cached."""
        self.server.record_load(3, 7, DECIDED_AT)
        for run_s, expected_s in ((CACHED_S, 7 / 3 * CACHED_S), (1.5, 3.5)):
            with self.subTest(run_s=run_s):
                self.placement.mean_run_s['orders'] = run_s
                self.assertGreaterEqual(
                    self.longest_s(), expected_s + UNCACHED_S
                )

    def test_a_queue_of_unknown_speed_moves_slowly(self) -> None:
        """Guards against the optimistic figures of a VM without answers."""
        self.server.record_load(3, 7, DECIDED_AT)
        self.assertGreaterEqual(self.longest_s(), (7 / 3 + 1) * UNCACHED_S)

    def test_a_server_of_unknown_load_is_as_busy_as_others(self) -> None:
        """Guards against preferring a queue because nothing is known of it.

        A VM under load comes to servers that it has not used before.
        """
        self.placement.table.put(samples.server('s1'), REPORTED_AT)
        busy = self.placement.table.by_id['s1']
        for load, least_s, most_s in (
            (steering.LoadReport(3, 9), (10 / 3 + 1) * UNCACHED_S, 3.5),
            (steering.LoadReport(2, 0), UNCACHED_S, 2 * UNCACHED_S),
        ):
            with self.subTest(load=load):
                self.placement.usual_loads.clear()
                self.placement.record_reported_load(busy, load, REPORTED_AT)
                self.placement.table.remove('s1')
                self.assertGreaterEqual(self.longest_s(), least_s)
                self.assertLess(self.longest_s(), most_s)

    def test_an_old_report_does_not_keep_a_server_full(self) -> None:
        """Guards against rejecting in a stop what a server has room for."""
        self.placement.record_reported_load(
            self.server, steering.LoadReport(3, 10), DECIDED_AT - 20.0
        )
        self.assertLess(self.longest_s(), 2 * UNCACHED_S)

    def test_the_newest_report_counts(self) -> None:
        """Guards against a queue that has ended, by what came late."""
        self.server.record_load(3, 10, REPORTED_AT)
        self.server.record_load(1, 0, DECIDED_AT - 0.5)
        self.server.record_shared_load(3, 10, REPORTED_AT, DECIDED_AT - 0.4)
        self.assertLess(self.longest_s(), 3 * UNCACHED_S)
