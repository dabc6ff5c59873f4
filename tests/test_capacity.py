"""Tests of the program that measures the slopes of docs/CAPACITY.md."""

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

IN_PROCESS = (
    *_capacity_blocks.EXPERIMENTS,
    *_capacity_node.EXPERIMENTS,
    *_capacity_sharing.EXPERIMENTS,
    *_capacity_agree.EXPERIMENTS,
    *_capacity_wire.EXPERIMENTS,
)


class FitCase(typing.NamedTuple):
    """Points, a target, and the line that least squares gives."""

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
    # Sums by hand: slope 8/5, intercept 3/5.
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


def experiment(
    sizes: tuple[int, ...], measured: list[int]
) -> capacity.Experiment:
    """Return an experiment that notes the sizes that it measures.

    The first measurement is three times too high.
    """

    def measure(size: int) -> dict[str, float]:
        measured.append(size)
        factor = 3.0 if len(measured) == 1 else 1.0
        return {'bytes': factor * (10.0 + 2.0 * size)}

    return capacity.Experiment(
        'try', 'rows', sizes, sizes, 1000, {'bytes': 'bytes'}, measure
    )


class TestFit(unittest.TestCase):
    """Least squares and the order of the runs."""

    def test_lines(self) -> None:
        """Guards against a wrong line, residual or extrapolation."""
        for case in FIT_CASES:
            with self.subTest(values=case.values):
                found = capacity.fit(case.sizes, case.values, case.target)
                self.assertAlmostEqual(case.slope, found.slope)
                self.assertAlmostEqual(case.intercept, found.intercept)
                self.assertAlmostEqual(case.at_target, found.at_target)
                for one, other in zip(
                    case.residuals, found.residuals, strict=True
                ):
                    self.assertAlmostEqual(one, other)

    def test_runs_are_interleaved(self) -> None:
        """Guards against a load of the machine that falls on one size."""
        measured: list[int] = []
        capacity.measure(experiment((1, 2, 3, 4), measured), 3)
        self.assertEqual([1, 2, 3, 4] * 3, measured)

    def test_median_and_spread(self) -> None:
        """Guards against one disturbed run that moves the line."""
        (found,) = capacity.measure(experiment((1, 2, 3, 4), []), 3)
        self.assertEqual((12.0, 14.0, 16.0, 18.0), found.medians)
        self.assertEqual((12.0, 14.0, 16.0, 18.0), found.least)
        self.assertEqual((36.0, 14.0, 16.0, 18.0), found.most)
        self.assertAlmostEqual(2010.0, found.fit.at_target)

    def test_too_few_sizes_or_runs(self) -> None:
        """Guards against a line through too few points."""
        with self.assertRaises(ValueError):
            capacity.measure(experiment((1, 2, 3), []), 3)
        with self.assertRaises(ValueError):
            capacity.measure(experiment((1, 2, 3, 4), []), 2)


class TestTable(unittest.TestCase):
    """The printed table of a figure."""

    def test_all_columns(self) -> None:
        """Guards against a figure without its spread or residuals."""
        (found,) = capacity.measure(experiment((1, 2, 3, 4000), []), 3)
        lines = capacity.table(found)
        self.assertEqual('try.bytes [bytes]', lines[0])
        self.assertEqual(
            ['rows', 'median', 'least', 'most', 'residual'], lines[1].split()
        )
        self.assertEqual(['1', '12', '12', '36'], lines[2].split()[:4])
        self.assertEqual(['4,000', '8,010'], lines[5].split()[:2])
        self.assertIn('10 + 2 x; at 1,000: 2,010', lines[6])
        self.assertEqual(1, len({len(line) for line in lines[1:6]}))


class TestWorld(unittest.TestCase):
    """Configurations of a chosen size."""

    def test_blocks_are_disjoint(self) -> None:
        """Guards against blocks that join into fewer segments."""
        found = [
            ipaddress.ip_network(_capacity_world.block(number))
            for number in (0, 1, 2, 3, 7, 254, 255, 65_535, 469_998, 469_999)
        ]
        for position, one in enumerate(found):
            for other in found[position + 1 :]:
                same = one.version == other.version
                self.assertFalse(same and one.overlaps(other))
        numbers = range(_capacity_world.BLOCKS)
        texts = {_capacity_world.block(number) for number in numbers}
        self.assertEqual(_capacity_world.BLOCKS, len(texts))

    def test_documents_are_valid_tickets(self) -> None:
        """Guards against measuring what no ticket could bring about."""
        size = _capacity_world.Size()
        documents = _capacity_world.documents(size)
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
    """The measurements themselves, at the smallest sizes."""

    def test_in_process(self) -> None:
        """Guards against an experiment that no longer fits the code."""
        for one in IN_PROCESS:
            with self.subTest(experiment=one.name):
                found = one.measure(one.quick[-1])
                self.assertEqual(set(one.units), set(found))
                self.assertGreaterEqual(min(found.values()), 0.0)
                self.assertGreater(max(found.values()), 0.0)

    def test_command(self) -> None:
        """Guards against a command that prints no whole report."""
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            _capacity.command('ticket,head', 'json', quick=True)
        report = json.loads(printed.getvalue())
        figures = {row['name']: row for row in report['figures']}
        self.assertEqual([2, 3, 4, 5], figures['promise_calls']['sizes'])
        # The proposer asks every other witness once.
        self.assertAlmostEqual(
            36, figures['promise_calls']['fit']['at_target']
        )
        self.assertGreater(report['machine']['cores'], 0)

    def test_unknown_experiment(self) -> None:
        """Guards against a misspelt name that measures nothing."""
        with (
            contextlib.redirect_stderr(io.StringIO()),
            self.assertRaises(SystemExit) as stopped,
        ):
            _capacity.command('tickets')
        self.assertEqual(2, stopped.exception.code)

    def test_targets(self) -> None:
        """Guards against sizes that differ from the design's target."""
        sizes = {one.name: one.target for one in IN_PROCESS}
        self.assertEqual(470_000, sizes['blocks'])
        self.assertEqual(2_400, sizes['head'])
        self.assertEqual(37, sizes['ticket'])

    def test_bytes_follow_the_code(self) -> None:
        """Guards against a figure that is not measured at all."""
        one = next(row for row in IN_PROCESS if row.name == 'blocks')
        figures = {row.name: row for row in capacity.measure(one, quick=True)}
        # A segment for each block and for the gap after it: 4 + 2 bytes each
        # for IPv4, 8 + 2 for every fourth block.
        expected = 2 * (0.75 * 6 + 0.25 * 10)
        slope = figures['array_bytes'].fit.slope
        self.assertAlmostEqual(expected, slope, delta=0.2)

    def test_probe_of_a_process(self) -> None:
        """Guards against a bare process that does not start."""
        with contextlib.closing(_capacity_process.ProbeBench()) as bench:
            self.assertGreater(bench.run(5)['cpu_ms'], 0.0)
            self.assertGreater(bench.run(5)['cpu_ms'], 0.0)

    def test_all_names_differ(self) -> None:
        """Guards against a name that ``--only`` cannot tell apart."""
        with capacity.experiments() as known:
            names = [one.name for one in known]
        self.assertEqual(len(names), len(set(names)))
        self.assertTrue({'lookup_process', 'fleet', 'probe'} <= set(names))


class TestStopwatch(unittest.TestCase):
    """Processor time."""

    def test_counts_work(self) -> None:
        """Guards against a clock that does not run."""
        watch = _capacity_fit.Stopwatch()
        total = 0
        while total < 200_000:
            total += 1
        self.assertGreater(watch.us(), 0.0)
