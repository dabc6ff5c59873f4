"""Prints the decisions on one request from the logs of several VMs.

Each line of a log is a JSON object, possibly behind a prefix that the platform
adds.  A caller's complaint names a request id; what the VMs believed at the
time stands in the lines about the store, the configuration and the servers.
"""

import collections.abc
import pathlib
import typing

import msgspec

from filbertstep import _command_line

NAME: typing.Final = 'filbertstep-trace'

# Kinds of lines about what a VM believes, shown beside a request's own.
BELIEFS: typing.Final = frozenset(
    {
        'configuration',
        'evacuation',
        'relay_ended',
        'relay_started',
        'reload',
        'server',
        'start',
        'stop',
        'store_lost',
        'store_regained',
        'vms_changed',
    }
)

# Time in seconds before a request's first line from which beliefs are shown.
BEFORE_S: typing.Final = 5.0

# What a reader should look at first, by the outcome of a request.
HINTS: typing.Final[dict[str, str]] = {
    'over_rate': 'tokens lines of the account; vms_changed: VMs that spend',
    'no_room': 'try lines: outcome and load of the servers; split lines',
    'no_fresh_config': 'age_s of this line; store_lost and relay lines',
    'unauthorized': 'version of this line; configuration lines',
    'not_found': 'version of this line; configuration lines',
    'backend_failed': 'the last try line: outcome and message',
    'deadline_exceeded': 'the last try line: server, estimate_s and took_s',
    'server_failed': 'the last try line: the server answered this itself',
}


class Line(typing.NamedTuple):
    """One line of a log; ``at`` is seconds of its VM's clock."""

    vm: str
    at: float
    kind: str
    fields: dict[str, typing.Any]


def parse(text: str) -> Line | None:
    """Return the line of a text, None if it is not one of ours."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        # Any: the fields differ by kind of line.
        row = msgspec.json.decode(
            text[start:].encode(), type=dict[str, typing.Any]
        )
        return Line(row.pop('vm'), row.pop('at'), row.pop('kind'), row)
    except (msgspec.DecodeError, KeyError):
        return None


def related(
    lines: collections.abc.Iterable[Line], request_id: str
) -> list[Line]:
    """Return the lines of a request, and beliefs of its VMs around it."""
    rows = list(lines)
    spans: dict[str, tuple[float, float]] = {}
    for row in rows:
        if row.fields.get('id') == request_id:
            first, last = spans.get(row.vm, (row.at, row.at))
            spans[row.vm] = (min(first, row.at), max(last, row.at))
    found = []
    for row in rows:
        own = row.fields.get('id') == request_id
        first, last = spans.get(row.vm, (float('inf'), float('-inf')))
        around = first - BEFORE_S <= row.at <= last
        if own or (row.kind in BELIEFS and around):
            found.append(row)
    return sorted(found, key=lambda row: (row.vm, row.at))


def show(lines: collections.abc.Sequence[Line], request_id: str) -> str:
    """Return the text for a request's lines."""
    texts = []
    for row in lines:
        mark = '*' if row.fields.get('id') == request_id else ' '
        fields = ' '.join(
            f'{name}={value}'
            for name, value in row.fields.items()
            if name != 'id' and value is not None
        )
        texts.append(f'{mark} {row.vm} {row.at:.3f} {row.kind} {fields}')
        hint = HINTS.get(str(row.fields.get('outcome')))
        if row.kind == 'failure' and hint:
            texts.append(f'  look at: {hint}')
    return '\n'.join(texts)


@_command_line.deferred
def trace(request_id: str, *files: str) -> int:
    """Print the decisions on a request in order, VM by VM.

    Args:
        request_id: the id that the caller got or sent.
        files: logs of entry VMs.
    """
    lines = []
    for name in files:
        try:
            text = pathlib.Path(name).read_text(
                encoding='utf-8', errors='replace'
            )
        except OSError as error:
            return _command_line.fail(NAME, f'cannot read {name}: {error}')
        lines += [row for row in map(parse, text.splitlines()) if row]
    found = related(lines, str(request_id))
    if not found:
        return _command_line.fail(NAME, f'no line about {request_id}')
    print(show(found, str(request_id)))
    return _command_line.EXIT_OK


def main() -> None:
    """Read the command line."""
    _command_line.run(NAME, trace)
