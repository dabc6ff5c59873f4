"""What measured runs and load reports tell of routes and servers."""

import typing
import unittest

from filbertstep import steering
from tests import steering_samples as samples

ROUTE: typing.Final = samples.route()

# Expected run times of the samples' route before any answer.
CACHED_S: typing.Final = 0.2
UNCACHED_S: typing.Final = 0.6


class TestLoadReports(unittest.TestCase):
    """Load headers of servers."""

    def test_headers_are_parsed(self) -> None:
        """Guards against losing a report, or against an error, for one part.

        A server's answer must not depend on a header that is only a hint.
        """
        for text, expected in (
            ('1,0,3', (1, 0, None)),
            (' 1 , 2, 3, 250', (1, 2, 2.5)),
            ('1,2', (1, 2, None)),
            ('1,0,3,100', (1, 0, 1.0)),
            ('1,0,3,0', (1, 0, None)),
            ('1,0,3,-5', (1, 0, None)),
            ('1,0,3,99999999', (1, 0, None)),
            ('1,0,3,fast', (1, 0, None)),
            ('1,0,3,100,7', (1, 0, 1.0)),
        ):
            with self.subTest(text=text):
                self.assertEqual(
                    steering.parse_load(text),
                    steering.LoadReport(*expected),
                )
        for text in ('', '1', 'a,b', '1,0,x', '-1,0,3', '9' * 400):
            with self.subTest(text=text[:10]):
                self.assertIsNone(steering.parse_load(text))


class TestMeasuredRuns(unittest.TestCase):
    """Pattern: long requests and slow machines among many short runs."""

    def setUp(self) -> None:
        """Create a placement with one server."""
        table = samples.server_table(samples.server('s0'))
        self.placement = steering.Placement(table, 'a', 'a-1', samples.BOUNDS)
        self.server = table.by_id['s0']
        self.run_times = self.placement.route_run_times(ROUTE)

    def record(
        self, took_s: float, machine: float | None, now: float = 10.0
    ) -> None:
        """Record a run on the server, which had the object cached."""
        self.server.record_object('x', now)
        candidate = self.placement.best_candidate(
            steering.PlacementQuery(ROUTE, 'orders', 'x', None), now
        )
        assert candidate is not None
        steering.record_run(
            self.run_times,
            candidate,
            steering.MeasuredRun(took_s, 100, machine),
            now,
        )

    def test_a_slow_machine_is_not_a_slow_server(self) -> None:
        """Guards against avoiding a server, and its cache, for seconds.

        The machine is slow for a few hundred milliseconds only.
        """
        self.record(2.5 * CACHED_S, 2.5)
        self.assertAlmostEqual(self.server.slowdown, 1.0)
        self.assertAlmostEqual(self.run_times.cached_s, CACHED_S)

    def test_a_long_request_is_not_a_slow_server(self) -> None:
        """Guards against avoiding a server for the length of one request."""
        self.record(7 * UNCACHED_S, 1.0)
        self.assertLess(self.server.slowdown, 1.1)
        self.assertAlmostEqual(self.run_times.cached_s, CACHED_S)
        self.assertAlmostEqual(self.run_times.uncached_s, UNCACHED_S)

    def test_two_long_runs_in_a_row_are_a_slow_server(self) -> None:
        """Guards against never noticing a server that became slow."""
        self.record(7 * UNCACHED_S, 1.0)
        self.record(7 * UNCACHED_S, 1.0)
        self.assertGreater(self.server.slowdown, 2.0)

    def test_long_runs_far_apart_are_no_slow_server(self) -> None:
        """Guards against two long requests an hour apart."""
        self.record(7 * UNCACHED_S, 1.0)
        self.record(7 * UNCACHED_S, 1.0, now=3610.0)
        self.assertLess(self.server.slowdown, 1.1)

    def test_a_machine_that_has_just_turned_slow_leaves_averages(self) -> None:
        """Guards against averages that fall with each such report.

        Usual runs would count as long ones then.
        """
        for _ in range(50):
            self.record(CACHED_S, 2.5)
        self.assertAlmostEqual(self.run_times.cached_s, CACHED_S)

    def test_without_a_machine_figure_each_long_run_counts(self) -> None:
        """Guards against a change for servers that report three figures."""
        self.record(7 * UNCACHED_S, None)
        self.assertGreater(self.server.slowdown, 2.0)

    def test_the_figure_of_a_machine_is_soon_out_of_date(self) -> None:
        """Guards against relying on a figure that changes many times a second.

        At the moment of the report, another server is the better choice.
        """
        self.placement.table.put(samples.server('s1'), 0.0)
        self.placement.table.by_id['s1'].record_object('x', 10.0)
        self.placement.table.by_id['s1'].last_sent_at = 10.0
        self.server.record_object('x', 10.0)
        self.server.last_sent_at = 10.0
        query = steering.PlacementQuery(ROUTE, 'orders', 'x', None)
        self.server.record_machine(2.5, 10.0)
        best = self.placement.best_candidate(query, 10.0)
        assert best is not None
        self.assertEqual(best.server.entry.server_id, 's1')
        self.assertLess(self.server.current_machine_slowdown(11.5), 1.1)

    def test_the_longest_time_contains_the_slowdown_of_the_machine(
        self,
    ) -> None:
        """Guards against requests that the exit of a stopping VM cuts off.

        What such a run takes no longer raises the slowdown of the server.
        """
        query = steering.PlacementQuery(ROUTE, 'orders', 'x', None)
        for slowdown, factor in ((1.0, 1.0), (2.5, 2.5), (0.5, 1.0)):
            with self.subTest(slowdown=slowdown):
                self.server.record_machine(slowdown, 10.0)
                self.assertGreaterEqual(
                    self.placement.longest_s(self.server, query, 10.0),
                    1.3 * factor * UNCACHED_S,
                )
