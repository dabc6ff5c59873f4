"""What callers get under load patterns, by emulation of a whole fleet.

Each class names the pattern that it answers and plays the scenario file of it
in ``examples/emulator``.
"""

import functools
import pathlib
import typing
import unittest

from filbertstep import emulator

SCENARIOS: typing.Final = (
    pathlib.Path(__file__).parent.parent / 'examples' / 'emulator'
)

SEEDS: typing.Final = (1, 2)

# Constants that switch a mechanism off.
NO_SHARED_COPIES: typing.Final = 'steering._copies.MAX_CROSSING_FRACTION=0'
NO_RETRIES: typing.Final = 'steering._allowance.USED_BUDGET_SHARE=0'


@functools.cache
def reports(name: str, overrides: str = '') -> list[emulator.Report]:
    """Return a report of a scenario for each seed."""
    scenario = emulator.load_scenario(str(SCENARIOS / f'{name}.json5'))
    with emulator.overridden(emulator.parse_overrides(overrides).unwrap()):
        return [
            emulator.summarize(emulator.play(scenario.unwrap(), seed))
            for seed in SEEDS
        ]


class PatternCase(unittest.TestCase):
    """Base class."""

    def mean_worth(self, name: str, overrides: str = '') -> float:
        """Return the mean worth of a scenario over the seeds."""
        rows = [report['all'] for report in reports(name, overrides)]
        return sum(row['worth'] for row in rows) / len(rows)


class TestManyColdObjects(PatternCase):
    """Pattern: traffic starts, and all objects are cold."""

    def test_zones_share_first_runs(self) -> None:
        """Guards against each zone running each object for the first time."""
        name = 'many-cold-objects'
        for shared, separate in zip(
            reports(name), reports(name, NO_SHARED_COPIES), strict=True
        ):
            self.assertGreater(
                shared['all']['worth'], separate['all']['worth']
            )
            self.assertLess(shared['first_runs'], separate['first_runs'])


class TestCallersShift(PatternCase):
    """Pattern: most callers of a zone call from another region."""

    def test_shared_copies_help_the_callers_who_moved(self) -> None:
        """Guards against new copies in each zone to which callers move."""
        self.assertGreater(
            self.mean_worth('callers-shift'),
            self.mean_worth('callers-shift', NO_SHARED_COPIES),
        )


class TestBurstAndSlowServers(PatternCase):
    """Pattern: a burst of requests while some servers turn slow."""

    def test_the_load_returns_to_normal(self) -> None:
        """Guards against servers that are avoided long after the trouble."""
        for report in reports('burst-and-slow-servers'):
            before, after = (report['windows'][name] for name in ('6', '18'))
            self.assertGreater(after['worth'], before['worth'] - 0.1)
            self.assertEqual(after['refused'], 0)


class TestHealthyServersShed(PatternCase):
    """Pattern: servers turn requests away while their health is good."""

    def test_most_requests_are_served_elsewhere(self) -> None:
        """Guards against refusing what another server can run."""
        for report, without in zip(
            reports('healthy-servers-shed'),
            reports('healthy-servers-shed', NO_RETRIES),
            strict=True,
        ):
            lost, lost_without = (
                row['refused'] + row['failed']
                for row in (report['kinds']['read'], without['kinds']['read'])
            )
            self.assertLess(lost, 0.5 * lost_without)


class TestRegionEmptiedWhileServersAreReplaced(PatternCase):
    """Pattern: the zones of a region are emptied while servers are lost."""

    def test_the_other_region_takes_over(self) -> None:
        """Guards against refusals while other servers have room."""
        name = 'zone-emptied-while-replaced'
        for report in reports(name):
            row = report['all']
            self.assertLess(row['refused'] + row['failed'], 0.1 * row['asked'])
            self.assertGreater(report['windows']['22']['worth'], 0.8)


class TestOverload(PatternCase):
    """Pattern: more work than the servers can do, of two urgencies."""

    def test_the_more_urgent_kind_is_served_more_often(self) -> None:
        """Guards against refusing what is urgent before what is not."""
        for report in reports('overload'):
            served = {
                name: (row['in_time'] + row['late']) / row['asked']
                for name, row in report['kinds'].items()
            }
            self.assertGreaterEqual(served['pay'], served['read'] - 0.05)


if __name__ == '__main__':
    unittest.main()
