"""Command that measures the costs by size shown in docs/CAPACITY.md."""

import collections.abc
import contextlib
import os
import platform
import sys
import time

import fire

from filbertstep import _capacity_agree
from filbertstep import _capacity_blocks
from filbertstep import _capacity_fit
from filbertstep import _capacity_node
from filbertstep import _capacity_process
from filbertstep import _capacity_sharing
from filbertstep import _capacity_wire
from filbertstep import codec


@contextlib.contextmanager
def experiments() -> collections.abc.Iterator[list[_capacity_fit.Experiment]]:
    """Yield all experiments; stop the processes they started at exit."""
    with _capacity_process.experiments() as with_processes:
        yield [
            *_capacity_blocks.EXPERIMENTS,
            *_capacity_node.EXPERIMENTS,
            *_capacity_sharing.EXPERIMENTS,
            *_capacity_agree.EXPERIMENTS,
            *_capacity_wire.EXPERIMENTS,
            *with_processes,
        ]


def command(
    only: str | tuple[str, ...] = '',
    output: str = 'text',
    runs: int = 3,
    quick: bool = False,
) -> None:
    """Measure how costs grow with size.

    Running all experiments takes a few minutes of one core.

    Args:
        only: names of the experiments to run, separated by commas.
        output: text, or json.
        runs: measurements at each size, at least three.
        quick: measure small sizes, to check only that the program works.
    """
    # fire parses a comma-separated value into a tuple.
    names = only.split(',') if isinstance(only, str) else only
    wanted = {name for name in names if name}
    figures_found: list[_capacity_fit.Figure] = []
    with experiments() as available:
        unknown = wanted - {experiment.name for experiment in available}
        if unknown:
            print(f'unknown experiments: {sorted(unknown)}', file=sys.stderr)
            sys.exit(2)
        for experiment in available:
            if wanted and experiment.name not in wanted:
                continue
            started = time.monotonic()
            figures = _capacity_fit.measure(experiment, runs, quick)
            figures_found.extend(figures)
            if output == 'text':
                print(
                    f'== {experiment.name}: {time.monotonic() - started:.0f} s'
                )
                for figure in figures:
                    print(
                        '\n'.join(_capacity_fit.format_table(figure)),
                        flush=True,
                    )
    if output == 'json':
        machine = {
            'cores': os.cpu_count(),
            'python': platform.python_version(),
        }
        rows = [
            _capacity_fit.figure_to_json(figure) for figure in figures_found
        ]
        print(codec.encode({'machine': machine, 'figures': rows}).decode())


def main() -> None:
    """Run the command."""
    fire.Fire(command, name='filbertstep.capacity')
