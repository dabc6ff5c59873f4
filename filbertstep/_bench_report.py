"""Benchmark reports: Markdown tables and plots."""

import collections.abc
import pathlib
import typing

from filbertstep import _bench_cpu
from filbertstep import _bench_figures

# Policy of this system; the ratios compare the baselines with it.
OWN_POLICY: typing.Final = 'slot_aware'

MACHINE_NOTE: typing.Final = (
    'The machine is shared and busy: others load it at the same time, and '
    'latencies include waiting for a core.  Rows marked * were limited by '
    'the machine.'
)


class Column(typing.NamedTuple):
    """A column of the table of figures.

    ``figure`` is a key of ``Figures``; its value is multiplied by ``factor``.
    """

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


class ScenarioRow(typing.TypedDict):
    """Figures of one scenario with one policy, in the order of the seeds."""

    scenario: str
    policy: str
    runs: list[_bench_figures.Figures]


class Report(typing.TypedDict):
    """All measurements of one deployment."""

    deployment: str
    seeds: list[int]
    rows: list[ScenarioRow]
    costs: list[_bench_cpu.CostRound]


def figure_values(row: ScenarioRow, figure: str) -> list[float | None]:
    """Return one figure of all runs in a row."""
    return [
        typing.cast(dict[str, typing.Any], run)[figure] for run in row['runs']
    ]


def format_spread(
    spread: _bench_figures.Spread | None, factor: float, decimals: int
) -> str:
    """Return the median and the range as text, ``-`` if there is none.

    The range is left out where it is a single value.
    """
    if spread is None:
        return '-'
    median, minimum, maximum = (
        f'{factor * value:.{decimals}f}' for value in spread
    )
    return median if minimum == maximum else f'{median} ({minimum}-{maximum})'


def markdown_table(
    headings: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[str]],
) -> list[str]:
    """Return the lines of a Markdown table."""
    return [
        '| ' + ' | '.join(headings) + ' |',
        '|' + ' --- |' * len(headings),
        *('| ' + ' | '.join(row) + ' |' for row in rows),
    ]


def figures_table(report: Report) -> list[str]:
    """Return the lines of the table of all figures."""
    table_rows = []
    for row in report['rows']:
        mark = '*' if any(run['limited'] for run in row['runs']) else ''
        cells = [
            format_spread(
                _bench_figures.spread(figure_values(row, column.figure)),
                column.factor,
                column.decimals,
            )
            for column in COLUMNS
        ]
        table_rows.append([row['scenario'] + mark, row['policy'], *cells])
    headings = [column.heading for column in COLUMNS]
    return markdown_table(['scenario', 'policy', *headings], table_rows)


def ratio_table(report: Report) -> list[str]:
    """Return the lines of the table of ratios to each baseline policy."""
    own_rows = {
        row['scenario']: row
        for row in report['rows']
        if row['policy'] == OWN_POLICY
    }
    table_rows = []
    for row in report['rows']:
        own_row = own_rows.get(row['scenario'])
        if row['policy'] == OWN_POLICY or own_row is None:
            continue
        cells = [
            format_spread(
                _bench_figures.paired_ratios(
                    figure_values(own_row, figure), figure_values(row, figure)
                ),
                1,
                2,
            )
            for figure in RATIO_FIGURES
        ]
        table_rows.append(
            [row['scenario'], f'{OWN_POLICY} / {row["policy"]}', *cells]
        )
    return (
        markdown_table(['scenario', 'ratio', *RATIO_FIGURES], table_rows)
        if table_rows
        else []
    )


def cost_table(costs: list[_bench_cpu.CostRound]) -> list[str]:
    """Return the lines of the table of processor times per request."""
    if not costs:
        return []

    def cost_values(name: str) -> list[float]:
        return [typing.cast(dict[str, float], cost)[name] for cost in costs]

    rows = [
        [name, format_spread(_bench_figures.spread(cost_values(name)), 1, 3)]
        for name in _bench_cpu.CostRound.__annotations__
    ]
    for numerator, divisor in (
        ('vm_ms', 'forwarder_ms'),
        ('vm_net_ms', 'forwarder_ms'),
        ('lookup_ms', 'answer_ms'),
        ('lookup_net_ms', 'answer_ms'),
    ):
        ratio = _bench_figures.paired_ratios(
            cost_values(numerator), cost_values(divisor)
        )
        rows.append([f'{numerator} / {divisor}', format_spread(ratio, 1, 2)])
    return markdown_table(['processor time', 'median (range)'], rows)


def format_report(report: Report) -> str:
    """Return the report of one deployment as Markdown."""
    sections = [
        [
            f'## {report["deployment"]}, seeds {report["seeds"]}',
            '',
            MACHINE_NOTE,
        ],
        figures_table(report) if report['rows'] else [],
        ratio_table(report),
        cost_table(report['costs']),
    ]
    return '\n\n'.join('\n'.join(section) for section in sections if section)


def write_plots(report: Report, directory: str) -> list[str]:
    """Write a bar chart of each figure to a file and return the paths."""
    # Imported here because it takes half a second and only plots need it.
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    pathlib.Path(directory).mkdir(parents=True, exist_ok=True)
    paths = []
    scenarios = list(dict.fromkeys(row['scenario'] for row in report['rows']))
    policies = list(dict.fromkeys(row['policy'] for row in report['rows']))
    for column in COLUMNS:
        plot_figure, axes = pyplot.subplots(
            figsize=(2 + 2 * len(scenarios), 4)
        )
        for policy_index, policy in enumerate(policies):
            heights = []
            for scenario in scenarios:
                spreads = [
                    _bench_figures.spread(figure_values(row, column.figure))
                    for row in report['rows']
                    if (row['scenario'], row['policy']) == (scenario, policy)
                ]
                spread = spreads[0] if spreads else None
                heights.append(
                    column.factor * spread.median if spread else 0.0
                )
            width = 0.8 / len(policies)
            positions = [
                scenario_index + policy_index * width
                for scenario_index in range(len(scenarios))
            ]
            axes.bar(positions, heights, width, label=policy)
        axes.set_xticks(range(len(scenarios)), scenarios)
        axes.set_ylabel(column.heading)
        axes.set_title(f'{report["deployment"]} (shared, busy machine)')
        axes.legend()
        path = f'{directory}/{report["deployment"]}-{column.figure}.png'
        plot_figure.savefig(path)
        pyplot.close(plot_figure)
        paths.append(path)
    return paths
