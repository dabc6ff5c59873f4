"""Tables and plots of the bench."""

import collections.abc
import pathlib
import typing

from filbertstep import _bench_cpu
from filbertstep import _bench_figures

OURS: typing.Final = 'slot_aware'

NOTE: typing.Final = (
    'The machine is shared and busy: others load it at the same time, and '
    'latencies include waiting for a core.  Rows marked * were limited by '
    'the machine.'
)


class Column(typing.NamedTuple):
    """A column of the table: heading, figure, factor and decimals."""

    heading: str
    figure: str
    factor: float
    decimals: int


COLUMNS: typing.Final = (
    Column('offered/s', 'offered', 1, 0),
    Column('p50 ms', 'p50_ms', 1, 0),
    Column('p99 ms', 'p99_ms', 1, 0),
    Column('idle slots %', 'idle_slots', 100, 0),
    Column('top use %', 'top_use', 100, 0),
    Column('drain s', 'drain_s', 1, 1),
    Column('worst %', 'worst', 100, 1),
    Column('refused %', 'wrongful', 100, 2),
    Column('unserved %', 'unserved', 100, 2),
    Column('goodput %', 'goodput', 100, 0),
    Column('cut', 'cut', 1, 0),
    Column('CPU ms/req', 'cpu_ms', 1, 2),
    Column('generator CPU %', 'generator', 100, 0),
    Column('busiest node CPU %', 'busiest_node', 100, 0),
    Column('load average', 'load', 1, 0),
)

RATIO_FIGURES: typing.Final = ('p50_ms', 'p99_ms', 'top_use', 'cpu_ms')


class Row(typing.TypedDict):
    """All runs of one scenario with one policy, in the order of the seeds."""

    scenario: str
    policy: str
    runs: list[_bench_figures.Figures]


class Report(typing.TypedDict):
    """Everything measured for one deployment."""

    deployment: str
    seeds: list[int]
    rows: list[Row]
    costs: list[_bench_cpu.Cost]


def values(row: Row, figure: str) -> list[float | None]:
    """Return one figure of all runs."""
    return [
        typing.cast(dict[str, typing.Any], run)[figure] for run in row['runs']
    ]


def cell(
    found: _bench_figures.Spread | None, factor: float, decimals: int
) -> str:
    """Return median and range as text."""
    if found is None:
        return '-'
    median, least, most = (f'{factor * one:.{decimals}f}' for one in found)
    return median if least == most else f'{median} ({least}-{most})'


def table(
    headings: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[str]],
) -> list[str]:
    """Return the lines of a Markdown table."""
    return [
        '| ' + ' | '.join(headings) + ' |',
        '|' + ' --- |' * len(headings),
        *('| ' + ' | '.join(row) + ' |' for row in rows),
    ]


def main_table(report: Report) -> list[str]:
    """Return the table of all figures."""
    made = []
    for row in report['rows']:
        mark = '*' if any(run['limited'] for run in row['runs']) else ''
        cells = [
            cell(
                _bench_figures.spread(values(row, column.figure)),
                column.factor,
                column.decimals,
            )
            for column in COLUMNS
        ]
        made.append([row['scenario'] + mark, row['policy'], *cells])
    headings = [column.heading for column in COLUMNS]
    return table(['scenario', 'policy', *headings], made)


def ratio_table(report: Report) -> list[str]:
    """Return the ratios of ours to each baseline."""
    ours = {
        row['scenario']: row for row in report['rows'] if row['policy'] == OURS
    }
    made = []
    for row in report['rows']:
        own = ours.get(row['scenario'])
        if row['policy'] == OURS or own is None:
            continue
        cells = [
            cell(
                _bench_figures.ratios(values(own, name), values(row, name)),
                1,
                2,
            )
            for name in RATIO_FIGURES
        ]
        made.append([row['scenario'], f'{OURS} / {row["policy"]}', *cells])
    return table(['scenario', 'ratio', *RATIO_FIGURES], made) if made else []


def cost_table(costs: list[_bench_cpu.Cost]) -> list[str]:
    """Return processor times and ratios of the cost measurement."""
    if not costs:
        return []

    def column(name: str) -> list[float]:
        return [typing.cast(dict[str, float], one)[name] for one in costs]

    rows = [
        [name, cell(_bench_figures.spread(column(name)), 1, 3)]
        for name in _bench_cpu.Cost.__annotations__
    ]
    for over, under in (
        ('vm_ms', 'forwarder_ms'),
        ('vm_net_ms', 'forwarder_ms'),
        ('lookup_ms', 'answer_ms'),
        ('lookup_net_ms', 'answer_ms'),
    ):
        found = _bench_figures.ratios(column(over), column(under))
        rows.append([f'{over} / {under}', cell(found, 1, 2)])
    return table(['processor time', 'median (range)'], rows)


def text(report: Report) -> str:
    """Return the report of one deployment."""
    parts = [
        [f'## {report["deployment"]}, seeds {report["seeds"]}', '', NOTE],
        main_table(report) if report['rows'] else [],
        ratio_table(report),
        cost_table(report['costs']),
    ]
    return '\n\n'.join('\n'.join(part) for part in parts if part)


def plot(report: Report, directory: str) -> list[str]:
    """Write bars of the main figures to files and return their paths."""
    # matplotlib takes half a second to import and only plots need it.
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    pathlib.Path(directory).mkdir(parents=True, exist_ok=True)
    written = []
    scenarios = list(dict.fromkeys(row['scenario'] for row in report['rows']))
    policies = list(dict.fromkeys(row['policy'] for row in report['rows']))
    for column in COLUMNS:
        figure, axes = pyplot.subplots(figsize=(2 + 2 * len(scenarios), 4))
        for place, policy in enumerate(policies):
            heights = []
            for scenario in scenarios:
                found = [
                    _bench_figures.spread(values(row, column.figure))
                    for row in report['rows']
                    if (row['scenario'], row['policy']) == (scenario, policy)
                ]
                known = found[0] if found else None
                heights.append(column.factor * known.median if known else 0.0)
            width = 0.8 / len(policies)
            at = [one + place * width for one in range(len(scenarios))]
            axes.bar(at, heights, width, label=policy)
        axes.set_xticks(range(len(scenarios)), scenarios)
        axes.set_ylabel(column.heading)
        axes.set_title(f'{report["deployment"]} (shared, busy machine)')
        axes.legend()
        path = f'{directory}/{report["deployment"]}-{column.figure}.png'
        figure.savefig(path)
        pyplot.close(figure)
        written.append(path)
    return written
