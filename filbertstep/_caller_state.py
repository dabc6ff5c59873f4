"""State of a caller's request over its tries, and what an answer means."""

import dataclasses
import typing

from filbertstep import errors


class CallResult(typing.NamedTuple):
    """The end of a request.

    ``kind`` is None for an answer of the backend server.  ``ran`` covers all
    tries: NO is certain.  ``status`` is 0 when no answer came at all.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    attempts: int
    request_ids: tuple[str, ...]
    kind: errors.ErrorKind | None
    ran: errors.Ran


class Request(typing.NamedTuple):
    """What a caller wants; ``attempt_timeout_s`` in seconds bounds one try."""

    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    attempt_timeout_s: float


class AttemptResponse(typing.NamedTuple):
    """Answer to one try; ``status`` 0 when none came.

    ``sent`` is False when the connection could not be made.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    sent: bool = True

    def header(self, name: str) -> str | None:
        """Return the value of a header."""
        for found, value in self.headers:
            if found.lower() == name:
                return value
        return None

    def kind(self) -> errors.ErrorKind | None:
        """Return the error kind that the system set."""
        try:
            return errors.ErrorKind(self.header('x-error-kind') or '')
        except ValueError:
            return None

    def ran(self) -> errors.Ran:
        """Return what this answer says of the request having run."""
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
        """Return the advice for a repeat, or None for a final answer."""
        if self.status == 0:
            return errors.Retry.OTHER_VM
        kind = self.kind()
        return None if kind is None else errors.ANSWERS[kind].retry

    def retry_after_s(self) -> float:
        """Return the time in seconds to wait at least."""
        try:
            return max(0.0, float(self.header('retry-after') or 0))
        except ValueError:
            return 0.0


@dataclasses.dataclass
class CallProgress:
    """State of one request over its tries.

    ``id_may_run`` tells that a try under the current id may still run, so that
    another id could run the request twice.  ``grant`` came with ``not_run``.
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
    """Return the answer of a request that is over."""
    last = progress.last_response or AttemptResponse(0, sent=False)
    kind, ran = last.kind(), last.ran()
    if last.status == 0:
        kind = errors.ErrorKind.DEADLINE_EXCEEDED
    if progress.id_may_run and ran is errors.Ran.NO:
        # An earlier try under this id has not been answered.
        ran = errors.Ran.UNKNOWN
        kind = kind or errors.ErrorKind.OUTCOME_UNKNOWN
    return CallResult(
        status=last.status,
        headers=last.headers,
        body=last.body,
        attempts=progress.attempts,
        request_ids=tuple(progress.request_ids),
        kind=kind,
        ran=ran,
    )
