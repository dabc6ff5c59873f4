"""Rules for the outcomes of attempts, and the state of a request.

An attempt sends a request to one backend server; a request may need several.
"""

import collections.abc
import enum
import typing

from filbertstep import _admission
from filbertstep import _tokens
from filbertstep import delivery
from filbertstep import errors
from filbertstep import routing

# Longest wait for a token of the client account's rate limit.
MAX_TOKEN_WAIT_S: typing.Final = 0.25


class NextStep(enum.Enum):
    """What may follow an attempt."""

    DONE = enum.auto()
    RETRY_OTHER_SERVER = enum.auto()
    RETRY_IF_IDEMPOTENT = enum.auto()
    GIVE_UP = enum.auto()


class OutcomeRule(typing.NamedTuple):
    """What the outcome of an attempt means.

    ``attempt_outcome`` and ``run_may_continue`` are reported to the
    dispatcher.  ``error_kind`` is the kind of the failure if no other attempt
    follows.
    """

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
    """An admitted request to run.

    ``request_digest`` detects another request under the same id; it is empty
    for an idempotent request.  ``account_token`` is None for a request
    without a rate limit.
    """

    admitted: _admission.AdmittedRequest
    body: bytes
    request_id: str
    request_digest: str
    account_token: _tokens.AccountToken | None


class RequestResult(typing.NamedTuple):
    """Result of a request's attempts: a failure or a response.

    ``stored_response`` is set if another copy of the request got the
    response.  Otherwise the body is in ``body``, or ``stream`` yields it;
    after a stream, ``on_stream_end`` must be called with the number of bytes
    read and whether the stream was complete.  ``ran``, if set, replaces what
    the failure's kind says about whether the request ran.
    """

    failure: errors.Failure | None = None
    ran: errors.Ran | None = None
    stored_response: delivery.StoredResponse | None = None
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    stream: collections.abc.AsyncIterable[bytes] | None = None
    on_stream_end: collections.abc.Callable[[int, bool], None] | None = None


class RequestProgress:
    """State of one request during its attempts."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.intent_recorded = False
        self.intent_settled = False
        self.tried_servers: set[str] = set()
        self.retry_spent = False
        self.sending = False
        # Set if an earlier attempt was sent and got no response.
        self.may_have_run = False


def over_rate_failure(token: _tokens.AccountToken) -> errors.Failure:
    """Return the failure for an account whose rate limit is exhausted."""
    return errors.Failure(
        errors.ErrorKind.OVER_RATE,
        'the client account is over its rate',
        token.retry_after_s(),
    )


def lowercase_header(headers: tuple[tuple[str, str], ...], name: str) -> str:
    """Return a header's value in lower case, '' if it is missing.

    ``name`` must be in lower case.
    """
    for header_name, value in headers:
        if header_name.lower() == name:
            return value.lower()
    return ''
