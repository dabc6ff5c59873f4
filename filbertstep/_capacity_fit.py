"""Experiments over several sizes, their least-squares fits and tables.

One experiment measures several figures at each of at least four sizes.  The
runs are interleaved: each run goes through all sizes before the next begins,
so that a change of the machine's load falls on all sizes alike.
"""

import collections.abc
import gc
import statistics
import time
import typing

# A line through fewer points shows nothing about whether it is one.
LEAST_SIZES: typing.Final = 4
LEAST_RUNS: typing.Final = 3

# Runs of experiments that take below a second each: on a busy machine single
# runs of them differ by half.
SHORT_RUNS: typing.Final = 5

MICROSECONDS: typing.Final = 1_000_000.0

Values = dict[str, float]
"""Figures of one measurement by name."""


class Experiment(typing.NamedTuple):
    """What is measured; ``size_is`` says what a size counts.

    ``units`` maps each figure's name to its unit.  ``target`` is the size at
    the target of docs/design.md, section 1.6.  ``quick`` are small sizes for
    tests.  ``runs`` is the least number of runs.
    """

    name: str
    size_is: str
    sizes: tuple[int, ...]
    quick: tuple[int, ...]
    target: int
    units: dict[str, str]
    measure: collections.abc.Callable[[int], Values]
    runs: int = LEAST_RUNS


class Fit(typing.NamedTuple):
    """Line through the medians; residuals are median minus line."""

    slope: float
    intercept: float
    residuals: tuple[float, ...]
    at_target: float


class Figure(typing.NamedTuple):
    """All that was measured of one figure, by size."""

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


def fit(
    sizes: collections.abc.Sequence[float],
    values: collections.abc.Sequence[float],
    target: float,
) -> Fit:
    """Return the least-squares line, its residuals, its value at a target."""
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
    experiment: Experiment, runs: int = LEAST_RUNS, quick: bool = False
) -> list[Figure]:
    """Run an experiment and return its figures."""
    sizes = experiment.quick if quick else experiment.sizes
    if len(sizes) < LEAST_SIZES or runs < LEAST_RUNS:
        raise ValueError('a fit needs at least four sizes and three runs')
    samples: dict[str, dict[int, list[float]]] = {
        name: {size: [] for size in sizes} for name in experiment.units
    }
    for _ in range(max(runs, experiment.runs)):
        for size in sizes:
            gc.collect()
            for name, value in experiment.measure(size).items():
                samples[name][size].append(value)
    return [figure(experiment, name, found) for name, found in samples.items()]


def figure(
    experiment: Experiment, name: str, found: dict[int, list[float]]
) -> Figure:
    """Return the figure of a name from its samples by size."""
    sizes = tuple(found)
    medians = tuple(statistics.median(found[size]) for size in sizes)
    return Figure(
        experiment.name,
        name,
        experiment.units[name],
        experiment.size_is,
        sizes,
        medians,
        tuple(min(found[size]) for size in sizes),
        tuple(max(found[size]) for size in sizes),
        experiment.target,
        fit(sizes, medians, experiment.target),
    )


def number(value: float) -> str:
    """Return a number with four significant digits."""
    if value == 0:
        return '0'
    if abs(value) >= 1000:
        return f'{value:,.0f}'
    return f'{value:.4g}'


def table(found: Figure) -> list[str]:
    """Return the lines of a figure: one row for each size, then the fit."""
    lines = [f'{found.experiment}.{found.name} [{found.unit}]']
    head = (found.size_is, 'median', 'least', 'most', 'residual')
    rows = [head] + [
        tuple(map(number, row))
        for row in zip(
            found.sizes,
            found.medians,
            found.least,
            found.most,
            found.fit.residuals,
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
        f'  fit {number(found.fit.intercept)} + '
        f'{number(found.fit.slope)} x; '
        f'at {found.target:,}: {number(found.fit.at_target)}'
    )
    return lines


def document(found: Figure) -> dict[str, typing.Any]:
    """Return a figure as a JSON object."""
    return {**found._asdict(), 'fit': found.fit._asdict()}


class Stopwatch:
    """Processor time of this process in microseconds.

    Other processes of the machine do not add to it, unlike to wall time.
    """

    def __init__(self) -> None:
        self.started = time.process_time_ns()

    def us(self) -> float:
        """Return the processor time since the start or the last call."""
        ended = time.process_time_ns()
        spent, self.started = ended - self.started, ended
        return spent / 1000


def cost_us(work: collections.abc.Callable[[], object], repeats: int) -> float:
    """Return the processor time of one call of ``work``, in microseconds."""
    watch = Stopwatch()
    for _ in range(repeats):
        work()
    return watch.us() / repeats
