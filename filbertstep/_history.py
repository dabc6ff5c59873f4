"""Event histories: one file per process, one JSON object per line.

The checkers and the reported figures are computed from these files only.
The timestamp ``t`` is ``CLOCK_BOOTTIME``, which all processes of a machine
share, so that their events can be merged in order of time.  A killed process
may leave an incomplete last line, which readers skip.
"""

import collections.abc
import pathlib
import time
import typing

import msgspec

from filbertstep import codec


class Event(typing.TypedDict):
    """Fields of every event.

    ``t`` is the ``CLOCK_BOOTTIME`` and ``wall`` the Unix time, both in
    seconds.  ``incarnation`` tells restarts of the same process apart.
    """

    process: str
    incarnation: str
    t: float
    wall: float
    event: str


class SentEvent(Event):
    """``sent``: a caller starts one attempt of a request at a VM.

    ``family`` is shared by all attempts of one logical request, even if they
    use different request ids.  ``key_name`` is the configured name of the
    API key, empty if the caller sent none.
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
    """``answered``: an attempt ended at the caller.

    ``status`` is the HTTP status, or 0 without a response; ``kind`` is then
    ``connect_failed`` (nothing was sent), ``connection_lost`` or ``timeout``.
    ``complete`` tells whether the body ended as its HTTP framing announced.
    ``answer_request_id`` and ``answer_digest`` are the request id and the
    body digest that the response reports for the request that ran.
    ``answer_bytes`` is the length of the received body, and ``latency_s`` the
    time since the attempt was sent.
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
    """``gave_up``: a caller closed its connection on purpose."""

    request_id: str


class AdmittedEvent(Event):
    """``admitted``: a node accepted a request's API key and request rate."""

    request_id: str
    service: str
    account: str


class PlacedEvent(Event):
    """``placed``: a node chose a region for a request.

    ``moved`` tells whether this is another region than the reference split
    of the service gives.
    """

    request_id: str
    service: str
    account: str
    region: str
    reference_region: str
    moved: bool


class RefusedEvent(Event):
    """``refused``: a node rejected a request with an error kind."""

    request_id: str
    service: str
    account: str
    kind: str


class ConfigAppliedEvent(Event):
    """``config_applied``: a node put a configuration into force."""

    head_index: int
    ticket: int


class LookupEvent(Event):
    """``lookup``: a node answered a look-up with the names of entry VMs."""

    service: str
    vms: list[str]


class StateEvent(Event):
    """``state``: a node is now joining, serving, draining or leaving."""

    state: str


class ServerEvent(Event):
    """Event of a request at a backend server.

    ``event`` is one of begin, end, cancel, deadline, shed, crash, cut,
    crossed and queued.  ``run`` numbers the executions and is absent from
    shed and queued events; ``answer_bytes`` is present only when a run ends.
    ``running`` and ``waiting`` count the server's requests after the event.
    ``secret_seen`` tells whether the prefix that marks a secret API key
    occurs anywhere in the request.
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
    """``server_state``: a backend server is serving, draining or stopped."""

    server: str
    state: str


class TicketEvent(Event):
    """Event of a client that submits configuration tickets.

    ``event`` is one of ticket_submitted, ticket_committed, ticket_accepted
    and ticket_refused; ``kind`` is the error kind of a ticket_refused event.
    The optional fields belong to ticket_submitted: issued API keys as (name,
    client account), names of withdrawn keys, drains that begin as (name,
    target kind, target) and names of drains that end.
    """

    number: int
    kind: str
    issued_keys: typing.NotRequired[list[tuple[str, str]]]
    withdrawn_keys: typing.NotRequired[list[str]]
    drains: typing.NotRequired[list[tuple[str, str, str]]]
    ended_drains: typing.NotRequired[list[str]]


class OperatorEvent(Event):
    """Action of the operator or of a test on a process.

    ``event`` is one of stop_began and stop_ended (planned stops), killed,
    frozen (suspended) and thawed (resumed).
    """

    name: str


class StoreEvent(Event):
    """``write`` or ``faults`` of the store."""

    key: str
    index: int
    succeeded: bool


AnyEvent = dict[str, typing.Any]
"""A decoded event; the value of ``event`` determines its fields."""


class HistoryWriter:
    """Appends events to a history file; without a path, discards them."""

    def __init__(
        self, path: str | None, process: str, incarnation: str
    ) -> None:
        self.process = process
        self.incarnation = incarnation
        self.file: typing.BinaryIO | None = None
        if path is not None:
            # Unbuffered, so that a killed process loses no events.
            self.file = open(path, 'ab', buffering=0)  # noqa: SIM115

    def write(self, event: str, **fields: object) -> None:
        """Append one event, or discard it if no file is open."""
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
        """Close the file; later events are discarded."""
        if self.file is not None:
            self.file.close()
            self.file = None


def decode_events(data: bytes) -> collections.abc.Iterator[AnyEvent]:
    """Decode the events of a history file.

    An undecodable last line without a line end is skipped, since a killed
    process may leave one.  Any other line that is not a JSON object with a
    timestamp raises ``ValueError``, because no check of an incomplete history
    is conclusive.
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
            raise ValueError(
                f'line {number}: not a JSON object with a timestamp "t"'
            )
        yield event


def read_history(directory: str | pathlib.Path) -> list[AnyEvent]:
    """Return the events of all history files of a directory, oldest first.

    Raise ``ValueError``, with the file's name, for an undecodable line.
    """
    events: list[AnyEvent] = []
    for path in sorted(pathlib.Path(directory).glob('*.jsonl')):
        try:
            events.extend(decode_events(path.read_bytes()))
        except ValueError as error:
            raise ValueError(f'{path.name}: {error}') from error
    events.sort(key=lambda event: typing.cast(float, event['t']))
    return events
