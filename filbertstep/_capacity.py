"""The command that measures the slopes of docs/CAPACITY.md."""

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
    """Return all experiments; ends the processes that they started."""
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
    """Measure slopes; the whole run takes a few minutes of one core.

    Args:
        only: names of the experiments to run, separated by commas.
        output: text, or json.
        runs: measurements at each size, at least three.
        quick: measure small sizes, which show only that the program works.
    """
    # fire turns a list with commas into a tuple.
    names = only.split(',') if isinstance(only, str) else only
    wanted = {name for name in names if name}
    found: list[_capacity_fit.Figure] = []
    with experiments() as known:
        unknown = wanted - {one.name for one in known}
        if unknown:
            print(f'no experiment {sorted(unknown)}', file=sys.stderr)
            sys.exit(2)
        for one in known:
            if wanted and one.name not in wanted:
                continue
            started = time.monotonic()
            figures = _capacity_fit.measure(one, runs, quick)
            found.extend(figures)
            if output == 'text':
                print(f'== {one.name}: {time.monotonic() - started:.0f} s')
                for figure in figures:
                    print('\n'.join(_capacity_fit.table(figure)), flush=True)
    if output == 'json':
        machine = {
            'cores': os.cpu_count(),
            'python': platform.python_version(),
        }
        rows = [_capacity_fit.document(figure) for figure in found]
        print(codec.encode({'machine': machine, 'figures': rows}).decode())


def main() -> None:
    """Run the command."""
    fire.Fire(command, name='filbertstep.capacity')
