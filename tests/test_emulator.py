"""Scenario files, policies and the command of the emulator."""

import contextlib
import io
import json
import pathlib
import tempfile
import typing
import unittest

from filbertstep import _command_line
from filbertstep import emulator
from filbertstep.emulator import _command
from filbertstep.steering import _copies
from tests import test_load_patterns

SCENARIO: typing.Final[dict[str, typing.Any]] = {
    'seconds': 3,
    'zones': {'a-1': 'a', 'b-1': 'b'},
    'vms': {'a-1': 1, 'b-1': 1},
    'links': {'in_zone_ms': 1, 'cross_zone_ms': 2, 'cross_region_ms': 12},
    'services': {
        's': {
            'servers': {'a-1': 1, 'b-1': 1},
            'slots': 2,
            'queue': 2,
            'cached_objects': 3,
        }
    },
    'requests': {
        'r': {
            'service': 's',
            'idempotent': True,
            'share': 1,
            'priority': 1,
            'run_ms': 100,
            'cached_run_ms': 30,
            'target_ms': 80,
            'timeout_ms': 500,
            'deadline_ms': 1000,
            'objects': 3,
            'request_bytes': 0,
            'answer_bytes': 100,
            'worth': 1,
            'late_worth': 0.2,
        }
    },
    'rates_per_s': {'a-1': 10, 'b-1': 10},
}


class TestScenarios(unittest.TestCase):
    """What a scenario file may contain."""

    def test_examples_are_valid(self) -> None:
        """Guards against example files that the program refuses."""
        paths = sorted(test_load_patterns.SCENARIOS.glob('*.json5'))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path=path.name):
                emulator.load_scenario(str(path)).unwrap()

    def test_errors_name_the_field(self) -> None:
        """Guards against scenarios that fail only while they are played."""
        for changes, expected in (
            ({'seconds': 0}, 'seconds'),
            ({'vms': {'a-1': 1}}, 'no VM for the callers of b-1'),
            ({'vms': {'a-1': 1, 'b-1': 1, 'x': 1}}, 'unknown zone x'),
            ({'events': [{'kind': 'burst', 'at': 1}]}, 'for_s'),
            (
                {'events': [{'kind': 'cool', 'at': 1, 'zone': 'x'}]},
                'unknown zone',
            ),
            ({'events': [{'kind': 'quake', 'at': 1}]}, 'events'),
            ({'services': {}}, 'unknown service'),
        ):
            with self.subTest(changes=changes):
                text = json.dumps({**SCENARIO, **changes})
                error = emulator.parse_scenario(text).unwrap_err()
                self.assertIn(expected, error)
        self.assertIn(
            'cannot read', emulator.load_scenario('/none').unwrap_err()
        )


class TestEmulation(unittest.TestCase):
    """The model of servers, links and callers."""

    def play(self, seed: int, **changes: typing.Any) -> emulator.Report:
        """Return the report of a scenario; Any: fields of several types."""
        text = json.dumps({**SCENARIO, **changes})
        scenario = emulator.parse_scenario(text).unwrap()
        return emulator.summarize(emulator.play(scenario, seed))

    def test_same_seed_means_same_report(self) -> None:
        """Guards against comparisons of different loads."""
        self.assertEqual(self.play(1), self.play(1))
        self.assertNotEqual(self.play(1), self.play(2))

    def test_each_object_runs_long_once_for_each_region(self) -> None:
        """Guards against a cache model that keeps nothing, or all."""
        report = self.play(1, seconds=10)
        self.assertEqual(report['first_runs'], 6)
        self.assertGreater(report['windows']['8']['worth'], 0.9)

    def test_events_have_their_effect(self) -> None:
        """Guards against events that do nothing."""
        calm = self.play(1, seconds=8)
        for event in (
            {'kind': 'burst', 'at': 2, 'for_s': 4, 'x': 8},
            {'kind': 'slow', 'at': 2, 'for_s': 4, 'x': 20, 'share': 1},
            {'kind': 'shed', 'at': 2, 'for_s': 4, 'x': 0.9, 'share': 1},
            {'kind': 'lost', 'at': 2, 'for_s': 4, 'share': 1},
            {'kind': 'cool', 'at': 3.5, 'zone': 'a-1'},
            {'kind': 'evacuate', 'at': 2, 'for_s': 4, 'zone': 'a-1'},
            {
                'kind': 'shift',
                'at': 2,
                'for_s': 4,
                'zone': 'a-1',
                'to_zone': 'b-1',
                'share': 1,
            },
        ):
            with self.subTest(kind=event['kind']):
                report = self.play(1, seconds=8, events=[event])
                self.assertLess(report['all']['worth'], calm['all']['worth'])

    def test_wave_moves_load_between_zones(self) -> None:
        """Guards against a wave that all zones have at the same time."""
        report = self.play(1, seconds=20, wave={'swing': 1.0, 'period_s': 40})
        asked = {name: row['asked'] for name, row in report['zones'].items()}
        self.assertGreater(asked['a-1'], 2 * asked['b-1'])


class TestPolicies(unittest.TestCase):
    """Constants that are changed for one emulation."""

    def test_constants_are_restored(self) -> None:
        """Guards against a policy that outlives its emulation."""
        before = _copies.MAX_CROSSING_FRACTION
        overrides = emulator.parse_overrides(
            'steering._copies.MAX_CROSSING_FRACTION=0.5'
        ).unwrap()
        with self.assertRaises(RuntimeError):
            with emulator.overridden(overrides):
                self.assertEqual(_copies.MAX_CROSSING_FRACTION, 0.5)
                raise RuntimeError
        self.assertEqual(before, _copies.MAX_CROSSING_FRACTION)

    def test_unknown_constants_are_refused(self) -> None:
        """Guards against comparing a policy with itself."""
        for text in ('steering._copies.NONE=1', 'none.X=1', 'x', 'a.b=c'):
            with self.subTest(text=text):
                self.assertIn(
                    'no constant', emulator.parse_overrides(text).unwrap_err()
                )
        self.assertIn(
            'not a number',
            emulator.parse_overrides('steering._copies.typing=1').unwrap_err(),
        )


class TestCommand(unittest.TestCase):
    """``filbertstep-emulate``."""

    def run_command(self, **options: typing.Any) -> tuple[int, str]:
        """Return exit code and output; Any: options of several types."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'scenario.json5'
            path.write_text(json.dumps(SCENARIO), encoding='utf-8')
            options.setdefault('scenario', str(path))
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                with contextlib.redirect_stderr(output):
                    code = _command_line.run_deferred(
                        _command.emulate(**options)
                    )
        return code, output.getvalue()

    def test_tables_and_json(self) -> None:
        """Guards against output that lacks a seed or a policy."""
        code, text = self.run_command(seeds=(1, 2))
        self.assertEqual(code, 0)
        self.assertIn('seed 2', text)
        code, text = self.run_command(
            seeds='1', against='steering._copies.MAX_CROSSING_FRACTION=0'
        )
        self.assertIn('other - worth', text)
        code, text = self.run_command(output='json', against='')
        self.assertEqual(set(json.loads(text)), {'worth', 'other'})

    def test_plot_is_written(self) -> None:
        """Guards against a plot that nobody can open."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'worth.png'
            self.run_command(plot=str(path))
            self.assertTrue(path.read_bytes().startswith(b'\x89PNG'))

    def test_usage_errors(self) -> None:
        """Guards against a traceback for a wrong option."""
        for options in (
            {'scenario': '/none'},
            {'seeds': 'x'},
            {'set': 'x=1'},
            {'against': 'x=1'},
        ):
            with self.subTest(options=options):
                code, text = self.run_command(**options)
                self.assertEqual(code, 2)
                self.assertTrue(text.startswith('filbertstep-emulate: '))


if __name__ == '__main__':
    unittest.main()
