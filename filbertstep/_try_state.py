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
MAX_TOKEN_WAIT_S: typing.Final = 0.25


class NextStep(enum.Enum):
    """What may follow a try."""

    DONE = enum.auto()
    RETRY_OTHER_SERVER = enum.auto()
    RETRY_IF_IDEMPOTENT = enum.auto()
    GIVE_UP = enum.auto()


class OutcomeRule(typing.NamedTuple):
    """What a try's outcome means; ``error_kind`` when nothing follows."""

    attempt_outcome: routing.AttemptOutcome
    run_may_continue: bool
    next_step: NextStep
    error_kind: errors.ErrorKind


OUTCOME_RULES: typing.Final[dict[delivery.ForwardOutcomeKind, OutcomeRule]] = {
    delivery.ForwardOutcomeKind.ANSWERED: OutcomeRule(
        routing.AttemptOutcome.ANSWERED,
        False,
        NextStep.DONE,
        errors.ErrorKind.INTERNAL,
    ),
    delivery.ForwardOutcomeKind.NOT_SENT: OutcomeRule(
        routing.AttemptOutcome.CONNECT_FAILED,
        False,
        NextStep.RETRY_OTHER_SERVER,
        errors.ErrorKind.NO_ROOM,
    ),
    delivery.ForwardOutcomeKind.SHED: OutcomeRule(
        routing.AttemptOutcome.SHED,
        False,
        NextStep.RETRY_OTHER_SERVER,
        errors.ErrorKind.OVERLOADED,
    ),
    delivery.ForwardOutcomeKind.BROKEN: OutcomeRule(
        routing.AttemptOutcome.BROKEN,
        True,
        NextStep.RETRY_IF_IDEMPOTENT,
        errors.ErrorKind.BACKEND_FAILED,
    ),
    delivery.ForwardOutcomeKind.MISMATCHED: OutcomeRule(
        routing.AttemptOutcome.BROKEN,
        True,
        NextStep.RETRY_IF_IDEMPOTENT,
        errors.ErrorKind.BACKEND_FAILED,
    ),
    delivery.ForwardOutcomeKind.TIMED_OUT: OutcomeRule(
        routing.AttemptOutcome.TIMED_OUT,
        True,
        NextStep.GIVE_UP,
        errors.ErrorKind.DEADLINE_EXCEEDED,
    ),
    delivery.ForwardOutcomeKind.CANCELLED: OutcomeRule(
        routing.AttemptOutcome.CANCELLED,
        True,
        NextStep.GIVE_UP,
        errors.ErrorKind.OUTCOME_UNKNOWN,
    ),
}


class Job(typing.NamedTuple):
    """A request to try; ``digest`` identifies it under its request id."""

    admitted: _admission.AdmittedRequest
    body: bytes
    request_id: str
    request_digest: str
    account_token: _tokens.AccountToken | None


class RequestResult(typing.NamedTuple):
    """How the tries of a request ended: a failure, or an answer."""

    failure: errors.Failure | None = None
    ran: errors.Ran | None = None
    stored_answer: delivery.StoredResponse | None = None
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    stream: collections.abc.AsyncIterable[bytes] | None = None
    on_stream_end: collections.abc.Callable[[int, bool], None] | None = None


class RequestProgress:
    """What is known about one request while it is tried."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.intent_recorded = False
        self.intent_settled = False
        self.tried_servers: set[str] = set()
        self.retry_spent = False
        self.sending = False
        # An earlier try was sent and had no answer of its own.
        self.may_have_run = False


def over_rate_failure(token: _tokens.AccountToken) -> errors.Failure:
    """Return the failure of an account without a token."""
    return errors.Failure(
        errors.ErrorKind.OVER_RATE,
        'the client account is over its rate',
        token.retry_after_s(),
    )


def lowercase_header(headers: tuple[tuple[str, str], ...], name: str) -> str:
    """Return the lower-case value of a header, '' without it."""
    for header_name, value in headers:
        if header_name.lower() == name:
            return value.lower()
    return ''
