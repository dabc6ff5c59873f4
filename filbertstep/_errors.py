"""All kinds of errors and the HTTP answer for each of them.

Every error that a node reports to a caller, a peer or an operator has one of
these kinds.  The code that detects the error selects the kind.  The status
code, the statement whether the request ran, and the retry advice are always
taken from ``ANSWERS``.
"""

import enum
import typing


class ErrorKind(enum.StrEnum):
    """Kinds of errors; the values are sent in answers."""

    BAD_REQUEST = 'bad_request'
    KEY_IN_REQUEST = 'key_in_request'
    UNAUTHORIZED = 'unauthorized'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    ID_REUSED = 'id_reused'
    TICKET_CONFLICT = 'ticket_conflict'
    BODY_TOO_LARGE = 'body_too_large'
    INVALID_TICKET = 'invalid_ticket'
    HEAD_TOO_LARGE = 'head_too_large'
    OVER_RATE = 'over_rate'
    QUARANTINED = 'quarantined'
    OVERLOADED = 'overloaded'
    NO_ROOM = 'no_room'
    SHIFT_CAP = 'shift_cap'
    NO_FRESH_CONFIG = 'no_fresh_config'
    MOVED = 'moved'
    STOPPING = 'stopping'
    NO_QUORUM = 'no_quorum'
    STORE_UNAVAILABLE = 'store_unavailable'
    NOT_RUN = 'not_run'
    BACKEND_FAILED = 'backend_failed'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    INTERRUPTED = 'interrupted'
    INTERNAL = 'internal'


class Ran(enum.StrEnum):
    """Whether the request ran on a backend server before the error."""

    NO = 'no'
    UNKNOWN = 'unknown'
    YES = 'yes'


class Retry(enum.StrEnum):
    """Advice to the caller on whether and how to retry the request.

    NEVER: the same request fails again.  LATER: retry after a delay.
    OTHER_VM: retry at another VM.  FRESH_GRANT: retry with a new grant.
    IDEMPOTENT_ONLY: retry only an idempotent request, which may have run.
    ASK_OUTCOME: the request may have run; ask for its outcome first.
    """

    NEVER = 'never'
    LATER = 'later'
    OTHER_VM = 'other_vm'
    FRESH_GRANT = 'fresh_grant'
    IDEMPOTENT_ONLY = 'idempotent_only'
    ASK_OUTCOME = 'ask_outcome'


class Answer(typing.NamedTuple):
    """HTTP status and further properties of the answer for an error kind."""

    status: int
    ran: Ran
    retry: Retry


class Failure(typing.NamedTuple):
    """An error that is reported to a caller, a peer or an operator.

    ``retry_after_s`` is the minimum time in seconds after which a retry can
    succeed, or None if waiting does not help.
    """

    kind: ErrorKind
    message: str
    retry_after_s: float | None = None


class ErrorBody(typing.TypedDict):
    """JSON body of the answer for a failure."""

    kind: str
    message: str
    ran: str


ANSWERS: typing.Final[dict[ErrorKind, Answer]] = {
    ErrorKind.BAD_REQUEST: Answer(400, Ran.NO, Retry.NEVER),
    ErrorKind.KEY_IN_REQUEST: Answer(400, Ran.NO, Retry.NEVER),
    ErrorKind.UNAUTHORIZED: Answer(401, Ran.NO, Retry.NEVER),
    ErrorKind.FORBIDDEN: Answer(403, Ran.NO, Retry.NEVER),
    ErrorKind.NOT_FOUND: Answer(404, Ran.NO, Retry.NEVER),
    ErrorKind.ID_REUSED: Answer(409, Ran.NO, Retry.NEVER),
    ErrorKind.TICKET_CONFLICT: Answer(409, Ran.NO, Retry.NEVER),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Ran.NO, Retry.NEVER),
    ErrorKind.INVALID_TICKET: Answer(422, Ran.NO, Retry.NEVER),
    ErrorKind.HEAD_TOO_LARGE: Answer(431, Ran.NO, Retry.NEVER),
    ErrorKind.OVER_RATE: Answer(429, Ran.NO, Retry.LATER),
    ErrorKind.QUARANTINED: Answer(429, Ran.NO, Retry.LATER),
    ErrorKind.OVERLOADED: Answer(503, Ran.NO, Retry.LATER),
    ErrorKind.NO_ROOM: Answer(503, Ran.NO, Retry.LATER),
    ErrorKind.SHIFT_CAP: Answer(503, Ran.NO, Retry.LATER),
    ErrorKind.NO_FRESH_CONFIG: Answer(503, Ran.NO, Retry.OTHER_VM),
    ErrorKind.MOVED: Answer(503, Ran.NO, Retry.OTHER_VM),
    ErrorKind.STOPPING: Answer(503, Ran.NO, Retry.OTHER_VM),
    ErrorKind.NO_QUORUM: Answer(503, Ran.NO, Retry.LATER),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, Ran.NO, Retry.LATER),
    ErrorKind.NOT_RUN: Answer(503, Ran.NO, Retry.FRESH_GRANT),
    ErrorKind.BACKEND_FAILED: Answer(502, Ran.UNKNOWN, Retry.IDEMPOTENT_ONLY),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, Ran.UNKNOWN, Retry.ASK_OUTCOME),
    ErrorKind.DEADLINE_EXCEEDED: Answer(
        504, Ran.UNKNOWN, Retry.IDEMPOTENT_ONLY
    ),
    ErrorKind.INTERRUPTED: Answer(504, Ran.UNKNOWN, Retry.IDEMPOTENT_ONLY),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN, Retry.IDEMPOTENT_ONLY),
}


def error_body(failure: Failure) -> ErrorBody:
    """Return the JSON body of the answer for a failure."""
    return {
        'kind': failure.kind.value,
        'message': failure.message,
        'ran': ANSWERS[failure.kind].ran.value,
    }
