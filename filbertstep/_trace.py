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
CONTEXT_KINDS: typing.Final = frozenset(
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
CONTEXT_S: typing.Final = 5.0

# What a reader should look at first, by the outcome of a request.
HINT_BY_OUTCOME: typing.Final[dict[str, str]] = {
    'over_rate': 'tokens lines of the account; vms_changed: VMs that spend',
    'no_room': 'try lines: outcome and load of the servers; split lines',
    'no_fresh_config': 'age_s of this line; store_lost and relay lines',
    'unauthorized': 'version of this line; configuration lines',
    'not_found': 'version of this line; configuration lines',
    'backend_failed': 'the last try line: outcome and message',
    'deadline_exceeded': 'the last try line: server, estimate_s and took_s',
    'server_failed': 'the last try line: the server answered this itself',
}


class LogLine(typing.NamedTuple):
    """One line of a log; ``at`` is seconds of its VM's clock."""

    vm: str
    time_s: float
    kind: str
    fields: dict[str, typing.Any]


def parse_line(text: str) -> LogLine | None:
    """Return the line of a text, None if it is not one of ours."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        # Any: the fields differ by kind of line.
        row = msgspec.json.decode(
            text[start:].encode(), type=dict[str, typing.Any]
        )
        return LogLine(row.pop('vm'), row.pop('at'), row.pop('kind'), row)
    except (msgspec.DecodeError, KeyError):
        return None


def related_lines(
    lines: collections.abc.Iterable[LogLine], request_id: str
) -> list[LogLine]:
    """Return the lines of a request, and beliefs of its VMs around it."""
    rows = list(lines)
    spans: dict[str, tuple[float, float]] = {}
    for row in rows:
        if row.fields.get('id') == request_id:
            first, last = spans.get(row.vm, (row.time_s, row.time_s))
            spans[row.vm] = (min(first, row.time_s), max(last, row.time_s))
    found = []
    for row in rows:
        own = row.fields.get('id') == request_id
        first, last = spans.get(row.vm, (float('inf'), float('-inf')))
        around = first - CONTEXT_S <= row.time_s <= last
        if own or (row.kind in CONTEXT_KINDS and around):
            found.append(row)
    return sorted(found, key=lambda row: (row.vm, row.time_s))


def render_lines(
    lines: collections.abc.Sequence[LogLine], request_id: str
) -> str:
    """Return the text for a request's lines."""
    texts = []
    for row in lines:
        mark = '*' if row.fields.get('id') == request_id else ' '
        fields = ' '.join(
            f'{name}={value}'
            for name, value in row.fields.items()
            if name != 'id' and value is not None
        )
        texts.append(f'{mark} {row.vm} {row.time_s:.3f} {row.kind} {fields}')
        hint = HINT_BY_OUTCOME.get(str(row.fields.get('outcome')))
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
        lines += [row for row in map(parse_line, text.splitlines()) if row]
    found = related_lines(lines, str(request_id))
    if not found:
        return _command_line.fail(NAME, f'no line about {request_id}')
    print(render_lines(found, str(request_id)))
    return _command_line.EXIT_OK


def main() -> None:
    """Read the command line."""
    _command_line.run(NAME, trace)
