"""The closed list of error kinds and the answer that belongs to each.

Every refusal or failure that leaves the process is one of these kinds.  The
code that detects a problem picks the kind; status, the statement about whether
the request ran, and the retry advice come from ``ANSWERS`` and nowhere else.
"""

import enum
import typing


class ErrorKind(enum.StrEnum):
    """Kinds of errors, by the name that callers see."""

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
    NO_QUORUM = 'no_quorum'
    STORE_UNAVAILABLE = 'store_unavailable'
    NOT_RUN = 'not_run'
    BACKEND_FAILED = 'backend_failed'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    INTERNAL = 'internal'


class Ran(enum.StrEnum):
    """What an answer says about the request having run."""

    NO = 'no'
    UNKNOWN = 'unknown'
    YES = 'yes'


class Retry(enum.StrEnum):
    """What the caller may do after an error."""

    NEVER = 'never'
    LATER = 'later'
    OTHER_VM = 'other_vm'
    FRESH_GRANT = 'fresh_grant'
    IDEMPOTENT_ONLY = 'idempotent_only'
    ASK_OUTCOME = 'ask_outcome'


class Answer(typing.NamedTuple):
    """HTTP status and advice of one error kind."""

    status: int
    ran: Ran
    retry: Retry


class Failure(typing.NamedTuple):
    """An error on its way to a caller, a peer or an operator.

    ``retry_after_s`` is the least time in seconds after which a repeat can
    succeed, or None where waiting does not help.
    """

    kind: ErrorKind
    message: str
    retry_after_s: float | None = None


class ErrorBody(typing.TypedDict):
    """JSON body of an error answer."""

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
    ErrorKind.NO_QUORUM: Answer(503, Ran.NO, Retry.LATER),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, Ran.NO, Retry.LATER),
    ErrorKind.NOT_RUN: Answer(503, Ran.NO, Retry.FRESH_GRANT),
    ErrorKind.BACKEND_FAILED: Answer(502, Ran.UNKNOWN, Retry.IDEMPOTENT_ONLY),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, Ran.UNKNOWN, Retry.ASK_OUTCOME),
    ErrorKind.DEADLINE_EXCEEDED: Answer(
        504, Ran.UNKNOWN, Retry.IDEMPOTENT_ONLY
    ),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN, Retry.IDEMPOTENT_ONLY),
}


def error_body(failure: Failure) -> ErrorBody:
    """Return the JSON body for a failure."""
    return {
        'kind': failure.kind.value,
        'message': failure.message,
        'ran': ANSWERS[failure.kind].ran.value,
    }
