"""How the operators' client shows answers: JSON, text, tables, plots."""

import collections.abc
import json
import typing

from filbertstep import burn

Json = dict[str, typing.Any]


def show(value: object, output: str) -> None:
    """Print a value as JSON or as indented text."""
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
                lines.append(f'{indent}{name}: {scalar(item)}')
        return lines
    if isinstance(value, list):
        lines = []
        for item in value:
            nested = text_lines(item, indent + '  ')
            lines.append(f'{indent}- {nested[0].strip()}' if nested else '-')
            lines.extend(nested[1:])
        return lines
    return [f'{indent}{scalar(value)}']


def scalar(value: object) -> str:
    """Return a JSON scalar as text."""
    return json.dumps(value) if not isinstance(value, str) else value


def table(
    heads: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> list[str]:
    """Return rows as aligned columns."""
    cells = [list(heads)] + [
        ['-' if cell is None else str(cell) for cell in row] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*cells)]
    return [
        '  '.join(f'{cell:{w}}' for cell, w in zip(row, widths)).rstrip()
        for row in cells
    ]


def status_lines(found: Json) -> list[str]:
    """Return the state of VMs, regions, services and backend servers."""
    age = found['evidence_age_s']
    lines = [
        f'seen from {found["vm"]}: {found["state"]}, '
        f'{"ready" if found["ready"] else "not ready"}, '
        f'ticket {found["ticket"]}, head index {found["head_index"]}, '
        f'epoch {found["epoch"]}',
        f'evidence: {"none" if age is None else f"{age:.2f} s old"}, store '
        f'{"reached" if found["store_reached"] else "not reached"}, '
        f'witnesses: {", ".join(found["witnesses"])}',
        '',
        *table(
            ('vm', 'state', 'region', 'zone', 'member', 'head', 'heard s ago'),
            (
                (
                    name,
                    row['state'],
                    row['region'],
                    row['availability_zone'],
                    'yes' if name in found['members'] else 'no',
                    row['head_index'],
                    row['heard_s'],
                )
                for name, row in found['vms'].items()
            ),
        ),
        '',
    ]
    lines += table(
        ('region', 'drained', 'vms', 'backend servers'),
        (
            (
                name,
                'yes' if row['drained'] else 'no',
                counts(row['vms']),
                counts(row['backend_servers']),
            )
            for name, row in found['regions'].items()
        ),
    )
    return [*lines, '', *service_lines(found), '', *server_lines(found)]


def service_lines(found: Json) -> list[str]:
    """Return a table of the services, as the answering VM sees them."""
    return table(
        ('service', 'queued', 'running', 'idle slots', 'p50 s', 'p99 s'),
        (
            (
                name,
                row['queued'],
                row['running'],
                counts(row['idle_slots']),
                *(
                    None if row[part] is None else f'{row[part]:.3f}'
                    for part in ('p50_s', 'p99_s')
                ),
            )
            for name, row in found['services'].items()
        ),
    )


def server_lines(found: Json) -> list[str]:
    """Return a table of the backend servers."""
    return table(
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
            for name, row in found['backend_servers'].items()
        ),
    )


def counts(found: dict[str, int]) -> str:
    """Return counts by name as text."""
    return ', '.join(f'{name} {count}' for name, count in found.items())


def burn_lines(made: burn.BurnReport) -> list[str]:
    """Return the report as a table."""
    windows = [str(window) for window in made['windows_min']]
    heads = [f'burn {window}m' for window in windows]
    lines = [
        f'{"scope":15}{"name":32}{"objective":10}{"target":>8}'
        + ''.join(f'{head:>12}' for head in heads)
        + f'{"bad/all":>16}{"budget left":>13}'
    ]
    for row in made['rows']:
        longest = windows[-1]
        ratio = f'{row["bad"][longest]}/{row["total"][longest]}'
        lines.append(
            f'{row["scope"]:15}{row["name"]:32}{row["objective"]:10}'
            f'{row["target"]:>8}'
            + ''.join(f'{row["burn"][window]:>12.2f}' for window in windows)
            + f'{ratio:>16}{row["budget_left"]:>13.1%}'
        )
    lines.append(f'covered: {made["covered_min"]} min')
    lines.append(f'answered: {", ".join(made["answered"])}')
    if made['missing']:
        lines.append(f'did not answer: {", ".join(made["missing"])}')
    return lines


def plot_burn(made: burn.BurnReport, path: str) -> None:
    """Draw the burn rates of services to an image file."""
    try:
        import matplotlib
    except ImportError:
        raise ValueError('plots need matplotlib: install filbertstep[plot]')
    matplotlib.use('Agg')
    import matplotlib.pyplot

    rows = [row for row in made['rows'] if row['scope'] == 'service']
    figure, axes = matplotlib.pyplot.subplots(figsize=(8, 4.5))
    windows = [str(window) for window in made['windows_min']]
    width = 0.8 / len(windows)
    for position, window in enumerate(windows):
        axes.bar(
            [place + position * width for place in range(len(rows))],
            [row['burn'][window] for row in rows],
            width,
            label=f'{window} min',
        )
    axes.axhline(1.0, color='black', linewidth=0.8, linestyle='--')
    axes.set_xticks(
        [place + width for place in range(len(rows))],
        [f'{row["name"]}\n{row["objective"]}' for row in rows],
    )
    axes.set_ylabel('burn rate (1 = budget used up exactly)')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    matplotlib.pyplot.close(figure)
