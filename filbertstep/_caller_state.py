"""Progress of a call over its attempts, and the meaning of responses."""

import dataclasses
import typing

from filbertstep import errors


class CallResult(typing.NamedTuple):
    """Result of a call with all its attempts.

    ``status``, ``headers`` and ``body`` are those of the last completed
    attempt; ``status`` is 0 if there was none or if it got no response.
    ``kind`` is None if the response is that of a backend server.  ``ran`` is
    NO only if it is certain that none of the attempts ran.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    attempts: int
    request_ids: tuple[str, ...]
    kind: errors.ErrorKind | None
    ran: errors.Ran


class Request(typing.NamedTuple):
    """Request of a call; ``attempt_timeout_s`` limits one attempt."""

    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    attempt_timeout_s: float


class AttemptResponse(typing.NamedTuple):
    """Response to one attempt; ``status`` is 0 if there was none.

    ``sent`` is False if no connection was established, so that the request
    cannot have been sent.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    sent: bool = True

    def header(self, name: str) -> str | None:
        """Return the value of a header, or None; ``name`` is in lower case."""
        for header_name, value in self.headers:
            if header_name.lower() == name:
                return value
        return None

    def kind(self) -> errors.ErrorKind | None:
        """Return the error kind, or None for a backend server's response."""
        try:
            return errors.ErrorKind(self.header('x-error-kind') or '')
        except ValueError:
            return None

    def ran(self) -> errors.Ran:
        """Return whether the request ran, as far as the response tells."""
        if self.status == 0:
            return errors.Ran.UNKNOWN if self.sent else errors.Ran.NO
        kind = self.kind()
        try:
            return errors.Ran(self.header('x-ran') or '')
        except ValueError:
            if kind is None:
                return errors.Ran.YES
            return errors.ANSWERS[kind].ran

    def retry(self) -> errors.Retry | None:
        """Return the retry advice, or None for a final response."""
        if self.status == 0:
            return errors.Retry.OTHER_VM
        kind = self.kind()
        return None if kind is None else errors.ANSWERS[kind].retry

    def retry_after_s(self) -> float:
        """Return the minimum delay in seconds before a retry."""
        try:
            return max(0.0, float(self.header('retry-after') or 0))
        except ValueError:
            return 0.0


@dataclasses.dataclass
class CallProgress:
    """Progress of a call over its attempts.

    ``deadline`` is a time of the event loop's clock.  ``request_ids`` are all
    request ids of the call, ``request_id`` is the current one or None if the
    next attempt needs a new one.  ``id_may_run`` is set while an attempt under
    the current id may still run; with a new id, the request could then run
    twice.  ``ask_outcome`` is set if the next attempt asks for the outcome
    instead of sending the request.  ``grant`` came with a ``not_run``
    response and is used for the next request id.
    """

    request: Request
    deadline: float
    attempts: int = 0
    request_ids: list[str] = dataclasses.field(default_factory=list)
    request_id: str | None = None
    id_may_run: bool = False
    ask_outcome: bool = False
    grant: str | None = None
    last_response: AttemptResponse | None = None


def build_result(progress: CallProgress) -> CallResult:
    """Return the result of a call that has ended."""
    last_response = progress.last_response or AttemptResponse(0, sent=False)
    kind, ran = last_response.kind(), last_response.ran()
    if last_response.status == 0:
        kind = errors.ErrorKind.DEADLINE_EXCEEDED
    if progress.id_may_run and ran is errors.Ran.NO:
        # An earlier attempt under this id may have run.
        ran = errors.Ran.UNKNOWN
        kind = kind or errors.ErrorKind.OUTCOME_UNKNOWN
    return CallResult(
        status=last_response.status,
        headers=last_response.headers,
        body=last_response.body,
        attempts=progress.attempts,
        request_ids=tuple(progress.request_ids),
        kind=kind,
        ran=ran,
    )
