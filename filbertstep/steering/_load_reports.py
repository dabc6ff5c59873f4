"""Load that a backend server reports with its answers.

A report has the numbers of running and waiting requests and, from servers that
share their machines with others, how much longer work takes on the machine at
this moment.  That figure changes many times per second, so it explains the run
that has just ended and is soon out of date for the next one.
"""

import typing

from filbertstep import _decimals

# More digits than any number of requests that a server can run or queue.
MAX_COUNT_DIGITS: typing.Final = 6

# The figure of a machine at its usual speed.
USUAL_MACHINE_FIGURE: typing.Final = 100

# Position of the figure in a report, after running, waiting and slots.
MACHINE_FIGURE_INDEX: typing.Final = 3

# Limits of the slowdown of a machine.  A figure beyond them is a fault of the
# server.
MIN_MACHINE_SLOWDOWN: typing.Final = 0.25
MAX_MACHINE_SLOWDOWN: typing.Final = 20.0


class LoadReport(typing.NamedTuple):
    """Load of a server at the time of an answer, the answered one included.

    ``machine_slowdown`` is how much longer than usual work takes on the
    server's machine, None if the server does not report it.
    """

    running: int
    waiting: int
    machine_slowdown: float | None = None


def parse_load(text: str) -> LoadReport | None:
    """Parse a server's load header.

    Returns None if the header is absent or malformed.  A figure of the machine
    that is out of range counts as not reported.
    """
    parts = text.split(',')
    counts = [
        _decimals.parse_decimal(part.strip(), MAX_COUNT_DIGITS)
        for part in parts
    ]
    if len(counts) < 2 or counts[0] is None or counts[1] is None:
        return None
    if None in counts[:MACHINE_FIGURE_INDEX]:
        return None
    return LoadReport(counts[0], counts[1], machine_slowdown(counts))


def machine_slowdown(counts: list[int | None]) -> float | None:
    """Return the slowdown of the machine, None if it is not reported."""
    if len(counts) <= MACHINE_FIGURE_INDEX:
        return None
    figure = counts[MACHINE_FIGURE_INDEX]
    if figure is None:
        return None
    slowdown = figure / USUAL_MACHINE_FIGURE
    if not MIN_MACHINE_SLOWDOWN <= slowdown <= MAX_MACHINE_SLOWDOWN:
        return None
    return slowdown
