"""Executes admitted requests, from the rate limit to the reply.

A request first takes a token of its account's rate limit, then a slot of a
backend server.  If it must run at most once, its intent is then recorded at
the backup process.  Finally it is sent.  The slot comes before the intent so
that a request that is still queued when its VM dies has no recorded intent,
and resolves to 'not run'.

A caller may send a request several times under one id; each of these is
called a copy.  Only the owner process of the id and its backup may answer
that a copy was not run.  Any other refusal of a copy has to leave open whether
an earlier copy ran.
"""

import asyncio
import collections
import collections.abc
import typing
import uuid

import result

from filbertstep import _admission
from filbertstep import _tokens
from filbertstep import _tries
from filbertstep import _try_state
from filbertstep import clock
from filbertstep import delivery
from filbertstep import errors
from filbertstep import routing
from filbertstep import systems

# After these refusals, other copies of the request do not matter: the id is
# fenced, so none of them can run, or they have another body.
FINAL_REFUSAL_KINDS: typing.Final = frozenset(
    {errors.ErrorKind.NOT_RUN, errors.ErrorKind.ID_REUSED}
)


class Reply(typing.NamedTuple):
    """The reply to a caller: a failure or a response.

    The body of a response is in ``body``, or is yielded by ``stream``.  After
    a stream, ``on_stream_end`` must be called with the number of bytes read
    and whether the stream was complete.  ``include_grant`` asks for a new
    grant in the reply, so that the caller can send the request again.
    """

    request_id: str
    ran: errors.Ran
    failure: errors.Failure | None = None
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    stream: collections.abc.AsyncIterable[bytes] | None = None
    on_stream_end: collections.abc.Callable[[int, bool], None] | None = None
    include_grant: bool = False


def refusal_reply(
    request_id: str, failure: errors.Failure, ran: errors.Ran | None = None
) -> Reply:
    """Return the reply for a failure.

    ``ran`` replaces what the error kind says about whether the request ran.
    """
    reported_ran = errors.ANSWERS[failure.kind].ran if ran is None else ran
    return Reply(
        request_id,
        reported_ran,
        failure,
        include_grant=failure.kind is errors.ErrorKind.NOT_RUN,
    )


class RequestExecutor:
    """Checks rate limits and quarantine, and runs admitted requests."""

    def __init__(
        self,
        attempt_runner: _tries.AttemptRunner,
        token_buckets: systems.SharedTokenBuckets,
        intents: delivery.IntentSystem,
        membership: systems.Membership,
        quarantine: routing.QuarantineSystem,
        clock: clock.Clock,
    ) -> None:
        self.attempt_runner = attempt_runner
        self.token_buckets = token_buckets
        self.intents = intents
        self.membership = membership
        self.quarantine = quarantine
        self.clock = clock
        self.background_tasks: set[asyncio.Task[Reply]] = set()
        # Number of copies in progress, by account and request id.  Contains
        # only requests that run at most once.
        self.active_copies: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def new_request_id(self, at_most_once: bool) -> str:
        """Return a request id for a request that came without one."""
        return self.new_owned_id() if at_most_once else f'r-{uuid.uuid4().hex}'

    async def run(
        self,
        admitted: _admission.AdmittedRequest,
        body: bytes,
        request_id: str,
    ) -> Reply:
        """Run a request and return its reply.

        A request that runs at most once needs a request id with a grant.
        """
        if not admitted.at_most_once:
            return await self.run_idempotent(admitted, body, request_id)
        parsed = delivery.parse_request_id(request_id)
        if isinstance(parsed, result.Err):
            return refusal_reply('', parsed.err_value)
        job = _try_state.Job(
            admitted,
            body,
            request_id,
            _admission.request_digest(admitted.raw, body),
            self.make_account_token(admitted),
        )
        # A request that runs at most once is completed even if its caller
        # disconnects, so that the caller can ask for the outcome later.
        task = asyncio.get_running_loop().create_task(
            self.run_copy(job, parsed.ok_value.grant)
        )
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(close_unread_stream)
            raise

    async def run_copy(
        self, job: _try_state.Job, grant: delivery.Grant
    ) -> Reply:
        """Run one copy of a request that runs at most once.

        A copy is refused as 'not run' only if no other copy ran or can run.
        The table of owned requests alone does not tell: other copies may be
        waiting for a slot and have no recorded intent yet.
        """
        key = (job.admitted.account, job.request_id)
        self.active_copies[key] += 1
        try:
            reply = await self.run_at_most_once(job, grant)
            failure = reply.failure
            if (
                failure is not None
                and reply.ran is errors.Ran.NO
                and failure.kind not in FINAL_REFUSAL_KINDS
                and self.other_copy_may_run(key)
            ):
                reply = reply._replace(ran=errors.Ran.UNKNOWN)
            return reply
        finally:
            self.active_copies[key] -= 1
            if not self.active_copies[key]:
                del self.active_copies[key]

    def other_copy_may_run(self, key: tuple[str, str]) -> bool:
        """Return whether a copy other than the ending one ran or may run."""
        if self.active_copies[key] > 1:
            return True
        owned_request = self.intents.owned_requests.rows.get(key)
        if owned_request is None:
            return False
        if not owned_request.outcome.done():
            return True
        outcome = owned_request.outcome.result()
        return (
            not isinstance(outcome, result.Err)
            or outcome.err_value.kind is not errors.ErrorKind.NOT_RUN
        )

    def knows_request_id(self, request_id: str) -> bool:
        """Return whether this VM has seen the id, for any account."""
        return request_id in self.intents.owned_requests.id_counts or any(
            name == request_id for _, name in self.active_copies
        )

    def new_owned_id(self) -> str:
        """Return a new request id that this process owns.

        The process is also the backup: a caller that gave no id cannot send
        the request again, so another process need not know the outcome.
        """
        minute = delivery.minute_of(self.clock.now())
        intents = self.intents
        grant = delivery.Grant(
            intents.vm, intents.incarnation, intents.vm, intents.incarnation,
            minute,
        )  # fmt: skip
        return delivery.format_request_id(
            delivery.RequestId(grant, uuid.uuid4().hex)
        )

    async def run_idempotent(
        self,
        admitted: _admission.AdmittedRequest,
        body: bytes,
        request_id: str,
    ) -> Reply:
        """Run a request that may run more than once."""
        token = self.make_account_token(admitted)
        failure = await self.check_quarantine_and_rate(admitted, body, token)
        if failure is not None:
            return refusal_reply(request_id, failure)
        job = _try_state.Job(admitted, body, request_id, '', token)
        return reply_from_result(
            request_id, await self.attempt_runner.run(job)
        )

    async def run_at_most_once(
        self, job: _try_state.Job, grant: delivery.Grant
    ) -> Reply:
        """Run a first copy; for a later copy, return the first's outcome."""
        admitted = job.admitted
        is_first = self.is_first_copy(admitted.account, job.request_id, grant)
        failure = await self.check_quarantine_and_rate(
            admitted, job.body, job.account_token
        )
        # Another copy may have arrived while this one waited for a token.
        is_first = is_first and self.is_first_copy(
            admitted.account, job.request_id, grant
        )
        if failure is not None:
            return refusal_reply(
                job.request_id,
                failure,
                None if is_first else errors.Ran.UNKNOWN,
            )
        if is_first:
            return reply_from_result(
                job.request_id, await self.attempt_runner.run(job)
            )
        return await self.resolve(
            admitted.account,
            job.request_id,
            job.request_digest,
            admitted.deadline - self.clock.now(),
        )

    def make_account_token(
        self, admitted: _admission.AdmittedRequest
    ) -> _tokens.AccountToken | None:
        """Return a token, not yet acquired; None for the open account."""
        if admitted.account == _admission.OPEN_ACCOUNT:
            return None
        return _tokens.AccountToken(
            self.token_buckets, admitted.account, self.clock
        )

    async def resolve(
        self, account: str, request_id: str, digest: str, wait_s: float
    ) -> Reply:
        """Return the outcome of a request id, waiting up to ``wait_s``."""
        outcome = await self.intents.resolve(
            account, request_id, digest, max(0.0, wait_s)
        )
        return reply_from_stored(request_id, outcome)

    async def check_quarantine_and_rate(
        self,
        admitted: _admission.AdmittedRequest,
        body: bytes,
        token: _tokens.AccountToken | None,
    ) -> errors.Failure | None:
        """Acquire a token unless the request is quarantined.

        Returns a ``QUARANTINED`` or ``OVER_RATE`` failure, or None.
        """
        now = self.clock.now()
        raw = admitted.raw
        fingerprint = routing.request_fingerprint(
            admitted.account, raw.method, request_target(raw), body
        )
        quarantine_left_s = self.quarantine.quarantine_left_s(
            admitted.account, fingerprint, now
        )
        if quarantine_left_s is not None:
            return errors.Failure(
                errors.ErrorKind.QUARANTINED,
                'this request broke the connections of several servers',
                quarantine_left_s,
            )
        wait_s = min(_try_state.MAX_TOKEN_WAIT_S, admitted.deadline - now)
        if token is None or await token.acquire(wait_s):
            return None
        return _try_state.over_rate_failure(token)

    def is_first_copy(
        self, account: str, request_id: str, grant: delivery.Grant
    ) -> bool:
        """Return whether certainly no other copy of the request has run."""
        if not self.intents.owns(grant):
            return False
        if (account, request_id) in self.intents.owned_requests.rows:
            return False
        # The owner forgets ids after some time, so an old id that is not in
        # the table may have run here.
        backup_minute = self.newest_backup_minute(grant)
        if backup_minute is None:
            return False
        return backup_minute - grant.minute < delivery.MAX_ID_AGE_MINUTES - 1

    def newest_backup_minute(self, grant: delivery.Grant) -> int | None:
        """Return the last known minute counter of the grant's backup process.

        Returns None if that process is not known to be live.
        """
        now = self.clock.now()
        if self.intents.vm == grant.backup:
            return delivery.minute_of(now)
        for peer in self.membership.live_vms(now):
            process = (peer.vm, peer.incarnation)
            if process == (grant.backup, grant.backup_incarnation):
                return peer.minute
        return None


def close_unread_stream(task: asyncio.Task[Reply]) -> None:
    """Close the response stream of a request whose caller disconnected.

    Otherwise nobody would read the stream, and its slot would never be
    released.
    """
    if task.cancelled() or task.exception() is not None:
        return
    reply = task.result()
    if reply.on_stream_end is not None:
        reply.on_stream_end(0, False)


def request_target(raw: _admission.RawRequest) -> str:
    """Return the path and query as in the request line."""
    return f'{raw.path}?{raw.query}' if raw.query else raw.path


def reply_from_result(
    request_id: str, request_result: _try_state.RequestResult
) -> Reply:
    """Return the reply for the result of a request's attempts."""
    if request_result.failure is not None:
        return refusal_reply(
            request_id, request_result.failure, request_result.ran
        )
    if request_result.stored_response is not None:
        return reply_from_stored(
            request_id, result.Ok(request_result.stored_response)
        )
    return Reply(
        request_id,
        errors.Ran.YES,
        status=request_result.status,
        headers=request_result.headers,
        body=request_result.body,
        stream=request_result.stream,
        on_stream_end=request_result.on_stream_end,
    )


def reply_from_stored(
    request_id: str,
    outcome: result.Result[delivery.StoredResponse, errors.Failure],
) -> Reply:
    """Return the reply for the recorded outcome of a request id."""
    if isinstance(outcome, result.Err):
        return refusal_reply(request_id, outcome.err_value)
    response = outcome.ok_value
    if response.too_large:
        return refusal_reply(
            request_id,
            errors.Failure(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                'the request ran; its answer was too large to keep',
            ),
            errors.Ran.YES,
        )
    return Reply(
        request_id,
        errors.Ran.YES,
        status=response.status,
        headers=response.headers,
        body=response.body,
    )
