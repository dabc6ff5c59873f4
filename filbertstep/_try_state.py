"""What the outcome of a try means, and a request's state over its tries."""

import collections.abc
import enum
import typing

from filbertstep import _admission
from filbertstep import _tokens
from filbertstep import delivery
from filbertstep import errors
from filbertstep import routing

# Longest time in seconds that a request waits for a token of its account.
TOKEN_WAIT_S: typing.Final = 0.25


class Next(enum.Enum):
    """What may follow a try."""

    DONE = enum.auto()
    OTHER_SERVER = enum.auto()
    REPEAT_IDEMPOTENT = enum.auto()
    STOP = enum.auto()


class Rule(typing.NamedTuple):
    """What a try's outcome means; ``kind`` when nothing follows."""

    observed: routing.AttemptOutcome
    run_may_continue: bool
    following: Next
    kind: errors.ErrorKind


RULES: typing.Final[dict[delivery.ForwardOutcomeKind, Rule]] = {
    delivery.ForwardOutcomeKind.ANSWERED: Rule(
        routing.AttemptOutcome.ANSWERED,
        False,
        Next.DONE,
        errors.ErrorKind.INTERNAL,
    ),
    delivery.ForwardOutcomeKind.NOT_SENT: Rule(
        routing.AttemptOutcome.CONNECT_FAILED,
        False,
        Next.OTHER_SERVER,
        errors.ErrorKind.NO_ROOM,
    ),
    delivery.ForwardOutcomeKind.SHED: Rule(
        routing.AttemptOutcome.SHED,
        False,
        Next.OTHER_SERVER,
        errors.ErrorKind.OVERLOADED,
    ),
    delivery.ForwardOutcomeKind.BROKEN: Rule(
        routing.AttemptOutcome.BROKEN,
        True,
        Next.REPEAT_IDEMPOTENT,
        errors.ErrorKind.BACKEND_FAILED,
    ),
    delivery.ForwardOutcomeKind.MISMATCHED: Rule(
        routing.AttemptOutcome.BROKEN,
        True,
        Next.REPEAT_IDEMPOTENT,
        errors.ErrorKind.BACKEND_FAILED,
    ),
    delivery.ForwardOutcomeKind.TIMED_OUT: Rule(
        routing.AttemptOutcome.TIMED_OUT,
        True,
        Next.STOP,
        errors.ErrorKind.DEADLINE_EXCEEDED,
    ),
    delivery.ForwardOutcomeKind.CANCELLED: Rule(
        routing.AttemptOutcome.CANCELLED,
        True,
        Next.STOP,
        errors.ErrorKind.OUTCOME_UNKNOWN,
    ),
}


class Job(typing.NamedTuple):
    """A request to try; ``digest`` identifies it under its request id."""

    admitted: _admission.Admitted
    body: bytes
    request_id: str
    digest: str
    token: _tokens.AccountToken | None


class Ended(typing.NamedTuple):
    """How the tries of a request ended: a failure, or an answer."""

    failure: errors.Failure | None = None
    ran: errors.Ran | None = None
    stored: delivery.StoredResponse | None = None
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    stream: collections.abc.AsyncIterable[bytes] | None = None
    stream_ended: collections.abc.Callable[[int, bool], None] | None = None


class Progress:
    """What is known about one request while it is tried."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.begun = False
        self.settled = False
        self.tried: set[str] = set()
        self.repeated = False
        self.sending = False
        # An earlier try was sent and had no answer of its own.
        self.may_have_run = False


def over_rate(token: _tokens.AccountToken) -> errors.Failure:
    """Return the failure of an account without a token."""
    return errors.Failure(
        errors.ErrorKind.OVER_RATE,
        'the client account is over its rate',
        token.retry_after(),
    )


def header(headers: tuple[tuple[str, str], ...], name: str) -> str:
    """Return the lower-case value of a header, '' without it."""
    for found, value in headers:
        if found.lower() == name:
            return value.lower()
    return ''
