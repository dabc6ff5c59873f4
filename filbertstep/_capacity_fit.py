"""Run an experiment at several sizes, fit lines to its figures, print them.

An experiment measures one or more figures at each of at least four sizes.
Runs are interleaved: each run measures all sizes before the next run starts,
so that a change in the machine's load affects all sizes alike.
"""

import collections.abc
import gc
import statistics
import time
import typing

# With fewer sizes the residuals do not show whether the cost is linear.
MIN_SIZES: typing.Final = 4
MIN_RUNS: typing.Final = 3

# For experiments whose runs take less than a second each: on a busy machine,
# single runs of these differ by half.
SHORT_EXPERIMENT_RUNS: typing.Final = 5

MICROSECONDS_PER_SECOND: typing.Final = 1_000_000.0

FigureValues = dict[str, float]
"""Values of one measurement by figure name."""


class Experiment(typing.NamedTuple):
    """A function to measure, and the sizes to measure it at.

    ``size_is`` names what a size counts.  ``units`` maps each figure's name
    to its unit.  ``target`` is the size to extrapolate to, from the target
    of docs/design.md, section 1.6.  ``quick_sizes`` are small sizes for
    tests.  ``min_runs`` is the minimum number of runs.
    """

    name: str
    size_is: str
    sizes: tuple[int, ...]
    quick_sizes: tuple[int, ...]
    target: int
    units: dict[str, str]
    measure: collections.abc.Callable[[int], FigureValues]
    min_runs: int = MIN_RUNS


class Fit(typing.NamedTuple):
    """Least-squares line through the medians.

    A residual is the median at a size minus the value of the line there.
    """

    slope: float
    intercept: float
    residuals: tuple[float, ...]
    at_target: float


class Figure(typing.NamedTuple):
    """Statistics of one figure at each size, and the fitted line.

    ``least`` and ``most`` are the minimum and maximum over the runs.
    """

    experiment: str
    name: str
    unit: str
    size_is: str
    sizes: tuple[int, ...]
    medians: tuple[float, ...]
    least: tuple[float, ...]
    most: tuple[float, ...]
    target: int
    fit: Fit


def fit_line(
    sizes: collections.abc.Sequence[float],
    values: collections.abc.Sequence[float],
    target: float,
) -> Fit:
    """Fit a least-squares line and evaluate it at ``target``."""
    line = statistics.linear_regression(sizes, values)
    residuals = tuple(
        value - (line.intercept + line.slope * size)
        for size, value in zip(sizes, values, strict=True)
    )
    return Fit(
        line.slope,
        line.intercept,
        residuals,
        line.intercept + line.slope * target,
    )


def measure(
    experiment: Experiment, runs: int = MIN_RUNS, quick: bool = False
) -> list[Figure]:
    """Run an experiment and return its figures.

    Raises ValueError if there are too few sizes or runs.
    """
    sizes = experiment.quick_sizes if quick else experiment.sizes
    if len(sizes) < MIN_SIZES or runs < MIN_RUNS:
        raise ValueError(
            'an experiment needs at least four sizes and three runs'
        )
    samples: dict[str, dict[int, list[float]]] = {
        name: {size: [] for size in sizes} for name in experiment.units
    }
    for _ in range(max(runs, experiment.min_runs)):
        for size in sizes:
            gc.collect()
            for name, value in experiment.measure(size).items():
                samples[name][size].append(value)
    return [
        build_figure(experiment, name, by_size)
        for name, by_size in samples.items()
    ]


def build_figure(
    experiment: Experiment, name: str, samples: dict[int, list[float]]
) -> Figure:
    """Build the figure ``name`` from its samples by size."""
    sizes = tuple(samples)
    medians = tuple(statistics.median(samples[size]) for size in sizes)
    return Figure(
        experiment.name,
        name,
        experiment.units[name],
        experiment.size_is,
        sizes,
        medians,
        tuple(min(samples[size]) for size in sizes),
        tuple(max(samples[size]) for size in sizes),
        experiment.target,
        fit_line(sizes, medians, experiment.target),
    )


def format_number(value: float) -> str:
    """Format a number with four significant digits.

    From 1,000 on, it is rounded to an integer with thousands separators.
    """
    if value == 0:
        return '0'
    if abs(value) >= 1000:
        return f'{value:,.0f}'
    return f'{value:.4g}'


def format_table(figure: Figure) -> list[str]:
    """Format a figure as lines: title, header, one row per size, fit."""
    lines = [f'{figure.experiment}.{figure.name} [{figure.unit}]']
    header = (figure.size_is, 'median', 'least', 'most', 'residual')
    rows = [header] + [
        tuple(map(format_number, row))
        for row in zip(
            figure.sizes,
            figure.medians,
            figure.least,
            figure.most,
            figure.fit.residuals,
            strict=True,
        )
    ]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines.extend(
        '  '
        + '  '.join(
            cell.rjust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in rows
    )
    lines.append(
        f'  fit {format_number(figure.fit.intercept)} + '
        f'{format_number(figure.fit.slope)} x; '
        f'at {figure.target:,}: {format_number(figure.fit.at_target)}'
    )
    return lines


def figure_to_json(figure: Figure) -> dict[str, typing.Any]:
    """Return a figure as an object that can be encoded as JSON."""
    return {**figure._asdict(), 'fit': figure.fit._asdict()}


class CpuTimer:
    """Measures the processor time of this process.

    Unlike wall-clock time, it does not include the time of other processes.
    """

    def __init__(self) -> None:
        self.started_ns = time.process_time_ns()

    def lap_us(self) -> float:
        """Return the microseconds since the creation or the last call."""
        now_ns = time.process_time_ns()
        spent_ns, self.started_ns = now_ns - self.started_ns, now_ns
        return spent_ns / 1000


def cpu_us_per_call(
    function: collections.abc.Callable[[], object], calls: int
) -> float:
    """Return the mean processor time of one call in microseconds."""
    timer = CpuTimer()
    for _ in range(calls):
        function()
    return timer.lap_us() / calls
