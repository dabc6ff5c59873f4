"""Prints the decisions about one request from the logs of several VMs.

Each line of a log is a JSON object, possibly after a prefix that the platform
adds.  The request is given by its id.  Lines about the store, the
configuration and the servers are included, as they show what each VM knew when
it made its decisions.
"""

import collections.abc
import pathlib
import typing

import msgspec

from filbertstep import _command_line

NAME: typing.Final = 'filbertstep-trace'

# Kinds of lines about the state of a VM, shown with the lines of a request.
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

# How long before the first line of a request the lines about state begin.
CONTEXT_S: typing.Final = 5.0

# Lines to look at first, by the outcome of a request.
HINT_BY_OUTCOME: typing.Final[dict[str, str]] = {
    'over_rate': 'tokens lines of the account; vms_changed: VMs that spend',
    'no_room': 'try lines: outcome and load of the servers; split lines',
    'no_fresh_config': 'age_s of this line; store_lost and relay lines',
    'stopping': 'stop and stopped lines of the VM',
    'unauthorized': 'version of this line; configuration lines',
    'not_found': 'version of this line; configuration lines',
    'backend_failed': 'the last try line: outcome and message',
    'deadline_exceeded': 'the last try line: server, estimate_s and took_s',
    'interrupted': 'the interrupted and stop lines of the VM',
    'server_failed': 'the last try line: the server answered this itself',
}


class LogLine(typing.NamedTuple):
    """One line of a log; ``time_s`` is on the clock of its VM.

    ``fields`` has type Any, as its values differ by kind of line.
    """

    vm: str
    time_s: float
    kind: str
    fields: dict[str, typing.Any]


def parse_line(text: str) -> LogLine | None:
    """Parse a line of a log; return None for lines in another format."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        # Any: the fields differ by kind of line.
        fields = msgspec.json.decode(
            text[start:].encode(), type=dict[str, typing.Any]
        )
        return LogLine(
            fields.pop('vm'), fields.pop('at'), fields.pop('kind'), fields
        )
    except (msgspec.DecodeError, KeyError):
        return None


def related_lines(
    lines: collections.abc.Iterable[LogLine], request_id: str
) -> list[LogLine]:
    """Select the lines of a request and those about the state of its VMs.

    They are sorted by VM and time.
    """
    all_lines = list(lines)
    request_spans: dict[str, tuple[float, float]] = {}
    for line in all_lines:
        if line.fields.get('id') == request_id:
            first, last = request_spans.get(
                line.vm, (line.time_s, line.time_s)
            )
            request_spans[line.vm] = (
                min(first, line.time_s),
                max(last, line.time_s),
            )
    selected = []
    for line in all_lines:
        of_request = line.fields.get('id') == request_id
        first, last = request_spans.get(line.vm, (float('inf'), float('-inf')))
        near_request = first - CONTEXT_S <= line.time_s <= last
        if of_request or (line.kind in CONTEXT_KINDS and near_request):
            selected.append(line)
    return sorted(selected, key=lambda line: (line.vm, line.time_s))


def render_lines(
    lines: collections.abc.Sequence[LogLine], request_id: str
) -> str:
    """Format the selected lines, with an asterisk at those of the request."""
    texts = []
    for line in lines:
        mark = '*' if line.fields.get('id') == request_id else ' '
        fields = ' '.join(
            f'{name}={value}'
            for name, value in line.fields.items()
            if name != 'id' and value is not None
        )
        texts.append(
            f'{mark} {line.vm} {line.time_s:.3f} {line.kind} {fields}'
        )
        hint = HINT_BY_OUTCOME.get(str(line.fields.get('outcome')))
        if line.kind == 'failure' and hint:
            texts.append(f'  look at: {hint}')
    return '\n'.join(texts)


@_command_line.deferred
def trace(request_id: str, *files: str) -> int:
    """Print the log lines about a request, sorted by VM and time.

    Args:
        request_id: the id that the caller sent or received.
        files: logs of entry VMs.
    """
    lines = []
    for path in files:
        try:
            text = pathlib.Path(path).read_text(
                encoding='utf-8', errors='replace'
            )
        except OSError as error:
            return _command_line.report_usage_error(
                NAME, f'cannot read {path}: {error}'
            )
        lines += [line for line in map(parse_line, text.splitlines()) if line]
    selected = related_lines(lines, str(request_id))
    if not selected:
        return _command_line.report_usage_error(
            NAME, f'no log line of request {request_id}'
        )
    print(render_lines(selected, str(request_id)))
    return _command_line.EXIT_OK


def main() -> None:
    """Run the command line program."""
    _command_line.run(NAME, trace)
