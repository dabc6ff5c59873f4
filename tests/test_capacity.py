"""Tests of the program that measures the figures of docs/CAPACITY.md."""

import contextlib
import io
import ipaddress
import json
import typing
import unittest

from filbertstep import _capacity
from filbertstep import _capacity_agree
from filbertstep import _capacity_blocks
from filbertstep import _capacity_fit
from filbertstep import _capacity_node
from filbertstep import _capacity_process
from filbertstep import _capacity_sharing
from filbertstep import _capacity_wire
from filbertstep import _capacity_world
from filbertstep import capacity
from filbertstep import config

IN_PROCESS_EXPERIMENTS = (
    *_capacity_blocks.EXPERIMENTS,
    *_capacity_node.EXPERIMENTS,
    *_capacity_sharing.EXPERIMENTS,
    *_capacity_agree.EXPERIMENTS,
    *_capacity_wire.EXPERIMENTS,
)


class FitCase(typing.NamedTuple):
    """Points, a target size, and the expected least-squares line."""

    sizes: tuple[int, ...]
    values: tuple[float, ...]
    target: int
    slope: float
    intercept: float
    residuals: tuple[float, ...]
    at_target: float


FIT_CASES = [
    FitCase((1, 2, 3, 4), (5, 7, 9, 11), 10, 2, 3, (0, 0, 0, 0), 23),
    FitCase((1, 2, 3, 4), (4, 4, 4, 4), 100, 0, 4, (0, 0, 0, 0), 4),
    # Calculated by hand: slope 8/5, intercept 3/5.
    FitCase(
        (0, 1, 2, 3),
        (1, 1, 5, 5),
        4,
        1.6,
        0.6,
        (0.4, -1.2, 1.2, -0.4),
        7.0,
    ),
]


def recording_experiment(
    sizes: tuple[int, ...], measured: list[int]
) -> capacity.Experiment:
    """Return an experiment that appends each measured size to ``measured``.

    Its first value is three times too high, as on a busy machine.
    """

    def measure(size: int) -> dict[str, float]:
        measured.append(size)
        factor = 3.0 if len(measured) == 1 else 1.0
        return {'bytes': factor * (10.0 + 2.0 * size)}

    return capacity.Experiment(
        'try', 'rows', sizes, sizes, 1000, {'bytes': 'bytes'}, measure
    )


class TestFit(unittest.TestCase):
    """Least-squares fits and the order of the runs."""

    def test_fitted_lines(self) -> None:
        """Guards against wrong coefficients, residuals or extrapolations."""
        for case in FIT_CASES:
            with self.subTest(values=case.values):
                line = capacity.fit_line(case.sizes, case.values, case.target)
                self.assertAlmostEqual(case.slope, line.slope)
                self.assertAlmostEqual(case.intercept, line.intercept)
                self.assertAlmostEqual(case.at_target, line.at_target)
                for expected, actual in zip(
                    case.residuals, line.residuals, strict=True
                ):
                    self.assertAlmostEqual(expected, actual)

    def test_runs_are_interleaved(self) -> None:
        """Guards against machine load that affects only one size."""
        measured: list[int] = []
        capacity.measure(recording_experiment((1, 2, 3, 4), measured), 3)
        self.assertEqual([1, 2, 3, 4] * 3, measured)

    def test_median_and_spread(self) -> None:
        """Guards against a single outlier run that changes the fit."""
        (figure,) = capacity.measure(recording_experiment((1, 2, 3, 4), []), 3)
        self.assertEqual((12.0, 14.0, 16.0, 18.0), figure.medians)
        self.assertEqual((12.0, 14.0, 16.0, 18.0), figure.least)
        self.assertEqual((36.0, 14.0, 16.0, 18.0), figure.most)
        self.assertAlmostEqual(2010.0, figure.fit.at_target)

    def test_too_few_sizes_or_runs(self) -> None:
        """Guards against a fit from too few sizes or runs."""
        with self.assertRaises(ValueError):
            capacity.measure(recording_experiment((1, 2, 3), []), 3)
        with self.assertRaises(ValueError):
            capacity.measure(recording_experiment((1, 2, 3, 4), []), 2)


class TestTable(unittest.TestCase):
    """The printed table of a figure."""

    def test_table_has_all_columns(self) -> None:
        """Guards against a table without minimum, maximum or residuals."""
        (figure,) = capacity.measure(
            recording_experiment((1, 2, 3, 4000), []), 3
        )
        lines = capacity.format_table(figure)
        self.assertEqual('try.bytes [bytes]', lines[0])
        self.assertEqual(
            ['rows', 'median', 'least', 'most', 'residual'], lines[1].split()
        )
        self.assertEqual(['1', '12', '12', '36'], lines[2].split()[:4])
        self.assertEqual(['4,000', '8,010'], lines[5].split()[:2])
        self.assertIn('10 + 2 x; at 1,000: 2,010', lines[6])
        self.assertEqual(1, len({len(line) for line in lines[1:6]}))


class TestConfigDocuments(unittest.TestCase):
    """Configurations of a given size."""

    def test_blocks_are_disjoint(self) -> None:
        """Guards against blocks that overlap or occur twice.

        The block table would merge them into fewer segments.
        """
        networks = [
            ipaddress.ip_network(_capacity_world.block_cidr(number))
            for number in (0, 1, 2, 3, 7, 254, 255, 65_535, 469_998, 469_999)
        ]
        for position, network in enumerate(networks):
            for other in networks[position + 1 :]:
                same_version = network.version == other.version
                self.assertFalse(same_version and network.overlaps(other))
        numbers = range(_capacity_world.TARGET_BLOCKS)
        texts = {_capacity_world.block_cidr(number) for number in numbers}
        self.assertEqual(_capacity_world.TARGET_BLOCKS, len(texts))

    def test_documents_are_valid_tickets(self) -> None:
        """Guards against a configuration that no ticket can create."""
        size = _capacity_world.ConfigSize()
        documents = _capacity_world.config_documents(size)
        changes = [
            {'kind': kind.value, 'name': name, 'state': state}
            for kind, entities in documents.items()
            for name, state in entities.items()
        ]
        ticket = {'number': 1, 'author': 'test', 'changes': changes}
        checked = config.check_ticket(ticket).unwrap()
        applied = config.apply_ticket(config.empty_documents(), checked)
        built = config.build_config(applied.unwrap())
        self.assertEqual(size.servers, len(built.backend_servers))
        self.assertEqual(size.accounts, len(built.client_accounts))
        self.assertEqual(size.accounts, len(built.keys))


class TestExperiments(unittest.TestCase):
    """The experiments at their quick sizes."""

    def test_figures_match_declared_units(self) -> None:
        """Guards against experiments that fail or lack a declared figure."""
        for experiment in IN_PROCESS_EXPERIMENTS:
            with self.subTest(experiment=experiment.name):
                values = experiment.measure(experiment.quick_sizes[-1])
                self.assertEqual(set(experiment.units), set(values))
                self.assertGreaterEqual(min(values.values()), 0.0)
                self.assertGreater(max(values.values()), 0.0)

    def test_command_prints_json(self) -> None:
        """Guards against a JSON report that lacks figures or machine data."""
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            _capacity.command('ticket,head', 'json', quick=True)
        report = json.loads(printed.getvalue())
        figures = {row['name']: row for row in report['figures']}
        self.assertEqual([2, 3, 4, 5], figures['promise_calls']['sizes'])
        # Of 37 witnesses, the proposer calls each of the other 36 once.
        self.assertAlmostEqual(
            36, figures['promise_calls']['fit']['at_target']
        )
        self.assertGreater(report['machine']['cores'], 0)

    def test_unknown_experiment_is_an_error(self) -> None:
        """Guards against a misspelt name that is silently ignored."""
        with (
            contextlib.redirect_stderr(io.StringIO()),
            self.assertRaises(SystemExit) as stopped,
        ):
            _capacity.command('tickets')
        self.assertEqual(2, stopped.exception.code)

    def test_targets_match_the_design(self) -> None:
        """Guards against targets that differ from docs/design.md."""
        targets = {
            experiment.name: experiment.target
            for experiment in IN_PROCESS_EXPERIMENTS
        }
        self.assertEqual(470_000, targets['blocks'])
        self.assertEqual(2_400, targets['head'])
        self.assertEqual(37, targets['ticket'])

    def test_block_array_bytes(self) -> None:
        """Guards against a size in bytes that is not really measured."""
        experiment = next(
            row for row in IN_PROCESS_EXPERIMENTS if row.name == 'blocks'
        )
        figures = {
            row.name: row for row in capacity.measure(experiment, quick=True)
        }
        # Each block takes two segments, one for itself and one for the gap
        # after it.  A segment has 4 + 2 bytes for IPv4 and 8 + 2 for IPv6,
        # which every fourth block is.
        expected = 2 * (0.75 * 6 + 0.25 * 10)
        slope = figures['array_bytes'].fit.slope
        self.assertAlmostEqual(expected, slope, delta=0.2)

    def test_bare_server_answers_probes(self) -> None:
        """Guards against a bare server that does not start or stops early."""
        with contextlib.closing(_capacity_process.ProbeBench()) as bench:
            self.assertGreater(bench.run(5)['cpu_ms'], 0.0)
            self.assertGreater(bench.run(5)['cpu_ms'], 0.0)

    def test_experiment_names_are_unique(self) -> None:
        """Guards against two experiments that ``--only`` cannot tell apart."""
        with capacity.experiments() as available:
            names = [experiment.name for experiment in available]
        self.assertEqual(len(names), len(set(names)))
        self.assertTrue({'lookup_process', 'fleet', 'probe'} <= set(names))


class TestCpuTimer(unittest.TestCase):
    """Measurement of processor time."""

    def test_timer_advances(self) -> None:
        """Guards against a timer that does not advance."""
        timer = _capacity_fit.CpuTimer()
        total = 0
        while total < 200_000:
            total += 1
        self.assertGreater(timer.lap_us(), 0.0)
