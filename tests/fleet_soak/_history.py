"""Records of what callers, backend servers and the store observed in a run.

All times are in seconds.  The records are made in one process, so that their
times are of the same clock.
"""

import enum
import typing


class Attempt(typing.NamedTuple):
    """A request sent by a caller; a retry is an attempt of its own.

    A request with ``poison`` crashes each backend server that executes it.
    """

    sent_at: float
    request_id: str
    vm_address: str
    account: str
    key: str
    path: str
    idempotent: bool
    deadline_s: float
    poison: bool = False


class AttemptResult(typing.NamedTuple):
    """The end of an attempt; ``status`` is 0 without a complete response.

    ``matches_request`` tells whether the body was produced by a server that
    executed this request.
    """

    ended_at: float
    request_id: str
    status: int
    matches_request: bool = False


class Execution(typing.NamedTuple):
    """A backend server started to execute a request.

    ``key_leaked`` tells whether the server received the API key of a caller.
    """

    started_at: float
    request_id: str
    server: str
    service: str
    availability_zone: str
    account: str
    key_leaked: bool = False


class Arrival(typing.NamedTuple):
    """A request reached a backend server that it was meant for."""

    at: float
    request_id: str
    server: str


class NoticeKind(enum.StrEnum):
    """What a server says about itself in an answer."""

    LEAVING = 'leaving'
    PAUSE = 'pause'


class Notice(typing.NamedTuple):
    """What a server said about itself when it answered a request.

    ``pause_s`` is the pause that it asked the VM for.
    """

    answered_at: float
    kind: NoticeKind
    server: str
    request_id: str
    pause_s: float = 0.0


class ChangeKind(enum.StrEnum):
    """Kinds of planned changes that were written to the store."""

    KEY_WITHDRAWN = 'key_withdrawn'
    SERVER_DRAINING = 'server_draining'
    ZONE_EVACUATED = 'zone_evacuated'
    ZONE_RESTORED = 'zone_restored'
    ROUTE_ADDED = 'route_added'


class Change(typing.NamedTuple):
    """A change that the store acknowledged.

    ``name`` is that of the key, server, availability zone or route.
    """

    acknowledged_at: float
    kind: ChangeKind
    name: str


class Fault(typing.NamedTuple):
    """An injected fault; ``planned`` for routine operator actions."""

    started_at: float
    ended_at: float
    kind: str
    planned: bool


class History:
    """All records of a run; lists are in order of time."""

    def __init__(self) -> None:
        # Attempts and their results by request ID.
        self.attempts: dict[str, Attempt] = {}
        self.results: dict[str, AttemptResult] = {}
        self.executions: list[Execution] = []
        self.arrivals: list[Arrival] = []
        self.notices: list[Notice] = []
        self.changes: list[Change] = []
        self.faults: list[Fault] = []
        # Requests sent after this time must succeed again.
        self.recovery_deadline = float('inf')

    def has_unplanned_fault(self, since: float, until: float) -> bool:
        """Return whether an unplanned fault overlaps a time span."""
        return any(
            not fault.planned
            and fault.started_at <= until
            and fault.ended_at >= since
            for fault in self.faults
        )

    def has_fault_of(
        self, kinds: frozenset[str], since: float, until: float
    ) -> bool:
        """Return whether a fault of these kinds overlaps a time span."""
        return any(
            fault.kind in kinds
            and fault.started_at <= until
            and fault.ended_at >= since
            for fault in self.faults
        )

    def vm_of(self, request_id: str) -> str:
        """Return the address of the VM that got a request, '' if unknown."""
        attempt = self.attempts.get(request_id)
        return attempt.vm_address if attempt is not None else ''

    def executions_of(self, request_id: str) -> list[Execution]:
        """Return the executions of a request."""
        return [
            execution
            for execution in self.executions
            if execution.request_id == request_id
        ]
