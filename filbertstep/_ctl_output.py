"""Output of the operators' client: JSON, indented text, tables and plots."""

import collections.abc
import json
import typing

from filbertstep import burn

Json = dict[str, typing.Any]


def print_value(value: object, output: str) -> None:
    """Print a value; ``output`` is 'json' or 'text' (indented lines)."""
    printers: dict[str, collections.abc.Callable[[object], str]] = {
        'json': lambda item: json.dumps(item, sort_keys=True),
        'text': lambda item: '\n'.join(text_lines(item)),
    }
    if output not in printers:
        raise ValueError(f'unknown output format {output!r}')
    print(printers[output](value))


def text_lines(value: object, indent: str = '') -> list[str]:
    """Return a JSON value as indented lines."""
    if isinstance(value, dict):
        lines = []
        for name, item in value.items():
            if isinstance(item, (dict, list)) and item:
                lines.append(f'{indent}{name}:')
                lines.extend(text_lines(item, indent + '  '))
            else:
                lines.append(f'{indent}{name}: {format_scalar(item)}')
        return lines
    if isinstance(value, list):
        lines = []
        for item in value:
            nested = text_lines(item, indent + '  ')
            lines.append(f'{indent}- {nested[0].strip()}' if nested else '-')
            lines.extend(nested[1:])
        return lines
    return [f'{indent}{format_scalar(value)}']


def format_scalar(value: object) -> str:
    """Return a JSON scalar as text."""
    return json.dumps(value) if not isinstance(value, str) else value


def format_table(
    column_names: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> list[str]:
    """Return the lines of a table with aligned columns.

    None is shown as '-'.
    """
    cells = [list(column_names)] + [
        ['-' if cell is None else str(cell) for cell in row] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*cells)]
    return [
        '  '.join(
            f'{cell:{width}}' for cell, width in zip(row, widths)
        ).rstrip()
        for row in cells
    ]


def status_lines(status: Json) -> list[str]:
    """Return the lines that the ``status`` command prints."""
    age = status['evidence_age_s']
    lines = [
        f'seen from {status["vm"]}: {status["state"]}, '
        f'{"ready" if status["ready"] else "not ready"}, '
        f'ticket {status["ticket"]}, head index {status["head_index"]}, '
        f'epoch {status["epoch"]}',
        f'evidence: {"none" if age is None else f"{age:.2f} s old"}, store '
        f'{"reached" if status["store_reached"] else "not reached"}, '
        f'witnesses: {", ".join(status["witnesses"])}',
        '',
        *format_table(
            ('vm', 'state', 'region', 'zone', 'member', 'head', 'heard s ago'),
            (
                (
                    name,
                    row['state'],
                    row['region'],
                    row['availability_zone'],
                    'yes' if name in status['members'] else 'no',
                    row['head_index'],
                    row['heard_s'],
                )
                for name, row in status['vms'].items()
            ),
        ),
        '',
    ]
    lines += format_table(
        ('region', 'drained', 'vms', 'backend servers'),
        (
            (
                name,
                'yes' if row['drained'] else 'no',
                format_counts(row['vms']),
                format_counts(row['backend_servers']),
            )
            for name, row in status['regions'].items()
        ),
    )
    return [*lines, '', *service_lines(status), '', *server_lines(status)]


def service_lines(status: Json) -> list[str]:
    """Return a table of the services, as known to the answering VM."""
    return format_table(
        ('service', 'queued', 'running', 'idle slots', 'p50 s', 'p99 s'),
        (
            (
                name,
                row['queued'],
                row['running'],
                format_counts(row['idle_slots']),
                *(
                    None
                    if row[percentile] is None
                    else f'{row[percentile]:.3f}'
                    for percentile in ('p50_s', 'p99_s')
                ),
            )
            for name, row in status['services'].items()
        ),
    )


def server_lines(status: Json) -> list[str]:
    """Return a table of the backend servers."""
    return format_table(
        ('backend server', 'state', 'service', 'region', 'zone', 'in use'),
        (
            (
                name,
                row['state'],
                row['service'],
                row['region'],
                row['availability_zone'],
                f'{row["in_use"]}/{row["slots"]}',
            )
            for name, row in status['backend_servers'].items()
        ),
    )


def format_counts(counts: dict[str, int]) -> str:
    """Return counts by name as one line, such as 'serving 3, drained 1'."""
    return ', '.join(f'{name} {count}' for name, count in counts.items())


def burn_lines(report: burn.BurnReport) -> list[str]:
    """Return the lines that the ``burn`` command prints.

    The counts of bad and of all requests are those of the longest window.
    """
    windows = [str(window) for window in report['windows_min']]
    column_names = [f'burn {window}m' for window in windows]
    lines = [
        f'{"scope":15}{"name":32}{"objective":10}{"target":>8}'
        + ''.join(f'{column_name:>12}' for column_name in column_names)
        + f'{"bad/all":>16}{"budget left":>13}'
    ]
    for row in report['rows']:
        longest = windows[-1]
        ratio = f'{row["bad"][longest]}/{row["total"][longest]}'
        lines.append(
            f'{row["scope"]:15}{row["name"]:32}{row["objective"]:10}'
            f'{row["target"]:>8}'
            + ''.join(f'{row["burn"][window]:>12.2f}' for window in windows)
            + f'{ratio:>16}{row["budget_left"]:>13.1%}'
        )
    lines.append(f'covered: {report["covered_min"]} min')
    lines.append(f'answered: {", ".join(report["answered"])}')
    if report['missing']:
        lines.append(f'did not answer: {", ".join(report["missing"])}')
    return lines


def plot_burn(report: burn.BurnReport, path: str) -> None:
    """Draw the burn rates of services to an image file.

    Raises ValueError if matplotlib is not installed.
    """
    try:
        import matplotlib
    except ImportError:
        raise ValueError('plots need matplotlib: install filbertstep[plot]')
    matplotlib.use('Agg')
    import matplotlib.pyplot

    rows = [row for row in report['rows'] if row['scope'] == 'service']
    figure, axes = matplotlib.pyplot.subplots(figsize=(8, 4.5))
    windows = [str(window) for window in report['windows_min']]
    bar_width = 0.8 / len(windows)
    for position, window in enumerate(windows):
        axes.bar(
            [
                group_index + position * bar_width
                for group_index in range(len(rows))
            ],
            [row['burn'][window] for row in rows],
            bar_width,
            label=f'{window} min',
        )
    axes.axhline(1.0, color='black', linewidth=0.8, linestyle='--')
    axes.set_xticks(
        [group_index + bar_width for group_index in range(len(rows))],
        [f'{row["name"]}\n{row["objective"]}' for row in rows],
    )
    axes.set_ylabel('burn rate (1 = budget used up exactly)')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    matplotlib.pyplot.close(figure)
