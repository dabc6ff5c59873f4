"""History files: what each process saw, one JSON object a line.

Checkers and figures are computed from these files only.  Times ``t`` are
``CLOCK_BOOTTIME`` of one machine, so that events of all processes on it can be
merged.  A killed process may leave a cut last line, which readers skip.
"""

import collections.abc
import pathlib
import time
import typing

import msgspec

from filbertstep import codec


class Event(typing.TypedDict):
    """Fields of every event; ``t`` and ``wall`` in seconds."""

    process: str
    incarnation: str
    t: float
    wall: float
    event: str


class SentEvent(Event):
    """``sent`` by a caller: one try of a request at a VM.

    ``family`` joins all tries of one order, whatever their request ids.
    ``key_name`` is the configured name of the key, empty without one.
    """

    request_id: str
    family: str
    account: str
    key_name: str
    vm: str
    service: str
    method: str
    idempotent: bool
    body_digest: str


class AnsweredEvent(SentEvent):
    """``answered`` at a caller: the end of one try.

    ``status`` is 0 when no answer came; ``kind`` is then ``connect_failed``
    (nothing was sent), ``connection_lost`` or ``timeout``.  ``complete``
    tells whether the body ended as its framing said.  ``answer_request_id``
    and ``answer_digest`` are what the answer says about the request that ran;
    ``answer_bytes`` is the length of the body received.
    """

    status: int
    kind: str
    ran: str
    complete: bool
    answer_request_id: str
    answer_digest: str
    answer_bytes: int
    latency_s: float


class GaveUpEvent(Event):
    """``gave_up`` by a caller that closed its connection on purpose."""

    request_id: str


class AdmittedEvent(Event):
    """``admitted`` by a node: key and rate allow the request."""

    request_id: str
    service: str
    account: str


class PlacedEvent(Event):
    """``placed`` by a node: a region was chosen.

    ``moved`` tells whether it differs from what the reference split gave.
    """

    request_id: str
    service: str
    account: str
    region: str
    reference_region: str
    moved: bool


class RefusedEvent(Event):
    """``refused`` by a node with an error kind."""

    request_id: str
    service: str
    account: str
    kind: str


class ConfigAppliedEvent(Event):
    """``config_applied`` by a node: the head index in force."""

    head_index: int
    ticket: int


class LookupEvent(Event):
    """``lookup`` answered by a node with the names of entry VMs."""

    service: str
    vms: list[str]


class StateEvent(Event):
    """``state`` of a node: joining, serving, draining, leaving."""

    state: str


class ServerEvent(Event):
    """Event of a request at a backend server.

    ``event`` is one of begin, end, cancel, deadline, shed, crash, cut,
    crossed and queued; ``run`` is absent for shed and queued, and
    ``answer_bytes`` present only when a run ends.
    ``running`` and ``waiting`` count after the event.  ``secret_seen`` tells
    whether a secret's prefix occurs anywhere in the request.
    """

    server: str
    service: str
    region: str
    request_id: str
    account: str
    method: str
    path: str
    body_digest: str
    body_bytes: int
    header_names: list[str]
    secret_seen: bool
    running: int
    waiting: int
    run: int
    answer_bytes: int


class ServerStateEvent(Event):
    """``server_state`` of a backend server: serving, draining, stopped."""

    server: str
    state: str


class TicketEvent(Event):
    """Event of whoever plays the operator.

    ``event`` is one of ticket_submitted, ticket_committed, ticket_accepted
    and ticket_refused; ``kind`` is the error kind of the last.  The other
    fields belong to ticket_submitted: issued keys as (name, client account),
    names of withdrawn keys, drains that begin as (name, target kind, target)
    and names of drains that end.
    """

    number: int
    kind: str
    issued_keys: typing.NotRequired[list[tuple[str, str]]]
    withdrawn_keys: typing.NotRequired[list[str]]
    drains: typing.NotRequired[list[tuple[str, str, str]]]
    ended_drains: typing.NotRequired[list[str]]


class OperatorEvent(Event):
    """What the operator or a test did to a process.

    ``event`` is one of stop_began, stop_ended (planned stops), killed,
    frozen and thawed.
    """

    name: str


class StoreEvent(Event):
    """``write`` or ``faults`` of the store."""

    key: str
    index: int
    succeeded: bool


AnyEvent = dict[str, typing.Any]
"""An event as read; its shape follows from ``event``."""


class HistoryWriter:
    """Appends events to a file, each line flushed at once."""

    def __init__(
        self, path: str | None, process: str, incarnation: str
    ) -> None:
        self.process = process
        self.incarnation = incarnation
        self.file: typing.BinaryIO | None = None
        if path is not None:
            # Unbuffered: a killed process must not lose what it did.
            self.file = open(path, 'ab', buffering=0)  # noqa: SIM115

    def write(self, event: str, **fields: object) -> None:
        """Append one event; a writer without a path drops it."""
        if self.file is None:
            return
        line = {
            'process': self.process,
            'incarnation': self.incarnation,
            't': time.clock_gettime(time.CLOCK_BOOTTIME),
            'wall': time.time(),
            'event': event,
            **fields,
        }
        self.file.write(codec.encode(line) + b'\n')

    def close(self) -> None:
        """Close the file; later events are dropped."""
        if self.file is not None:
            self.file.close()
            self.file = None


def decode_events(data: bytes) -> collections.abc.Iterator[AnyEvent]:
    """Decode events; a last line without its end is skipped.

    A line that is whole but no JSON object raises ``ValueError``, because a
    history with holes proves nothing.
    """
    lines = data.split(b'\n')
    for number, line in enumerate(lines, start=1):
        if not line:
            continue
        try:
            event = msgspec.json.decode(line)
        except msgspec.DecodeError as error:
            if number == len(lines):
                return
            raise ValueError(f'line {number}: {error}') from error
        if not isinstance(event, dict) or 't' not in event:
            raise ValueError(f'line {number}: not an event')
        yield event


def read_history(directory: str | pathlib.Path) -> list[AnyEvent]:
    """Return the events of all history files of a directory, by time."""
    events: list[AnyEvent] = []
    for path in sorted(pathlib.Path(directory).glob('*.jsonl')):
        try:
            events.extend(decode_events(path.read_bytes()))
        except ValueError as error:
            raise ValueError(f'{path.name}: {error}') from error
    events.sort(key=lambda event: typing.cast(float, event['t']))
    return events
