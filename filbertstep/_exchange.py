"""One admitted request, from its account's rate to its answer.

The order is: rate, slot, intent (requests that run at most once), send.  The
slot comes before the intent because a request that waits in a queue when its
VM dies has then not been recorded as intended and resolves to 'not run'.

A caller that sends a request again under its id may be answered 'not run'
only by the id's owner or its backup.  All other refusals of such a copy leave
open whether the first copy ran.
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

# Kinds of refusals that hold for an id whatever its other copies do: the id
# is fenced, or the refused body is not that of the other copies.
FINAL_KINDS: typing.Final = frozenset(
    {errors.ErrorKind.NOT_RUN, errors.ErrorKind.ID_REUSED}
)


class Reply(typing.NamedTuple):
    """What the caller gets.

    Without a failure, either ``body`` is whole or ``stream`` yields it; after
    a stream ``ended`` must be called with its length and whether it was
    complete.
    """

    request_id: str
    ran: errors.Ran
    failure: errors.Failure | None = None
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    stream: collections.abc.AsyncIterable[bytes] | None = None
    ended: collections.abc.Callable[[int, bool], None] | None = None
    wants_grant: bool = False


def refused(
    request_id: str, failure: errors.Failure, ran: errors.Ran | None = None
) -> Reply:
    """Return the reply for a failure; ``ran`` overrides that of its kind."""
    said = errors.ANSWERS[failure.kind].ran if ran is None else ran
    return Reply(
        request_id,
        said,
        failure,
        wants_grant=failure.kind is errors.ErrorKind.NOT_RUN,
    )


class Exchange:
    """Runs admitted requests."""

    def __init__(
        self,
        tries: _tries.Tries,
        shares: systems.SharedTokenBuckets,
        intents: delivery.IntentSystem,
        membership: systems.Membership,
        quarantine: routing.QuarantineSystem,
        ticks: clock.Clock,
    ) -> None:
        self.tries = tries
        self.shares = shares
        self.intents = intents
        self.membership = membership
        self.quarantine = quarantine
        self.ticks = ticks
        self.background: set[asyncio.Task[Reply]] = set()
        # Copies of tracked requests in progress, by account and request id.
        self.copies: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def new_id(self, tracked: bool) -> str:
        """Return an id for a request whose caller gave none."""
        return self.own_id() if tracked else f'r-{uuid.uuid4().hex}'

    async def run(
        self, admitted: _admission.Admitted, body: bytes, request_id: str
    ) -> Reply:
        """Run a request and return its reply."""
        if not admitted.tracked:
            return await self.run_idempotent(admitted, body, request_id)
        parsed = delivery.parse_request_id(request_id)
        if isinstance(parsed, result.Err):
            return refused('', parsed.err_value)
        job = _try_state.Job(
            admitted,
            body,
            request_id,
            _admission.request_digest(admitted.raw, body),
            self.token(admitted),
        )
        # A request that runs at most once is finished although its caller
        # left, so that the caller can ask for the outcome.
        task = asyncio.get_running_loop().create_task(
            self.run_copy(job, parsed.ok_value.grant)
        )
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(discard_reply)
            raise

    async def run_copy(
        self, job: _try_state.Job, grant: delivery.Grant
    ) -> Reply:
        """Run one copy of a tracked request.

        A refusal of one copy says 'not run' only when no other copy can run
        or ran: the others may still wait for a slot, before an intent is
        recorded.
        """
        key = (job.admitted.account, job.request_id)
        self.copies[key] += 1
        try:
            reply = await self.run_tracked(job, grant)
            failure = reply.failure
            if (
                failure is not None
                and reply.ran is errors.Ran.NO
                and failure.kind not in FINAL_KINDS
                and self.others_may_run(key)
            ):
                reply = reply._replace(ran=errors.Ran.UNKNOWN)
            return reply
        finally:
            self.copies[key] -= 1
            if not self.copies[key]:
                del self.copies[key]

    def others_may_run(self, key: tuple[str, str]) -> bool:
        """Tell whether another copy than the one that ends may run or ran."""
        if self.copies[key] > 1:
            return True
        own = self.intents.owned_requests.rows.get(key)
        if own is None:
            return False
        if not own.outcome.done():
            return True
        outcome = own.outcome.result()
        return (
            not isinstance(outcome, result.Err)
            or outcome.err_value.kind is not errors.ErrorKind.NOT_RUN
        )

    def has_copy(self, request_id: str) -> bool:
        """Tell whether this VM has had or has an id, of any account."""
        return request_id in self.intents.owned_requests.id_counts or any(
            name == request_id for _, name in self.copies
        )

    def own_id(self) -> str:
        """Return a request id of this process as owner.

        It is its own backup: a caller without an id cannot resend it anyway.
        """
        minute = delivery.minute_of(self.ticks.now())
        intents = self.intents
        grant = delivery.Grant(
            intents.vm, intents.incarnation, intents.vm, intents.incarnation,
            minute,
        )  # fmt: skip
        return delivery.format_request_id(
            delivery.RequestId(grant, uuid.uuid4().hex)
        )

    async def run_idempotent(
        self, admitted: _admission.Admitted, body: bytes, request_id: str
    ) -> Reply:
        """Run a request that may run more than once."""
        token = self.token(admitted)
        failure = await self.check(admitted, body, token)
        if failure is not None:
            return refused(request_id, failure)
        job = _try_state.Job(admitted, body, request_id, '', token)
        return to_reply(request_id, await self.tries.run(job))

    async def run_tracked(
        self, job: _try_state.Job, grant: delivery.Grant
    ) -> Reply:
        """Run a request at most once, or tell what became of it."""
        admitted = job.admitted
        first = self.first_copy(admitted.account, job.request_id, grant)
        failure = await self.check(admitted, job.body, job.token)
        # Another copy may have arrived while this one waited.
        first = first and self.first_copy(
            admitted.account, job.request_id, grant
        )
        if failure is not None:
            return refused(
                job.request_id, failure, None if first else errors.Ran.UNKNOWN
            )
        if first:
            return to_reply(job.request_id, await self.tries.run(job))
        return await self.resolve(
            admitted.account,
            job.request_id,
            job.digest,
            admitted.deadline - self.ticks.now(),
        )

    def token(
        self, admitted: _admission.Admitted
    ) -> _tokens.AccountToken | None:
        """Return a place for the account's token; None where none is due."""
        if admitted.account == _admission.OPEN_ACCOUNT:
            return None
        return _tokens.AccountToken(self.shares, admitted.account, self.ticks)

    async def resolve(
        self, account: str, request_id: str, digest: str, wait_s: float
    ) -> Reply:
        """Return what became of a request id."""
        outcome = await self.intents.resolve(
            account, request_id, digest, max(0.0, wait_s)
        )
        return stored_reply(request_id, outcome)

    async def check(
        self,
        admitted: _admission.Admitted,
        body: bytes,
        token: _tokens.AccountToken | None,
    ) -> errors.Failure | None:
        """Check quarantine and rate; take one token of the account."""
        now = self.ticks.now()
        raw = admitted.raw
        mark = routing.request_fingerprint(
            admitted.account, raw.method, target(raw), body
        )
        until = self.quarantine.quarantine_left_s(admitted.account, mark, now)
        if until is not None:
            return errors.Failure(
                errors.ErrorKind.QUARANTINED,
                'this request broke the connections of several servers',
                until,
            )
        wait_s = min(_try_state.TOKEN_WAIT_S, admitted.deadline - now)
        if token is None or await token.take(wait_s):
            return None
        return _try_state.over_rate(token)

    def first_copy(
        self, account: str, request_id: str, grant: delivery.Grant
    ) -> bool:
        """Tell whether no other copy of a request can have run."""
        if not self.intents.owns(grant):
            return False
        if (account, request_id) in self.intents.owned_requests.rows:
            return False
        # An owner forgets ids in time; an old one may have run here.
        minute = self.backup_minute(grant)
        if minute is None:
            return False
        return minute - grant.minute < delivery.MAX_ID_AGE_MINUTES - 1

    def backup_minute(self, grant: delivery.Grant) -> int | None:
        """Return the newest known minute of a grant's backup process."""
        now = self.ticks.now()
        if self.intents.vm == grant.backup:
            return delivery.minute_of(now)
        for peer in self.membership.live_vms(now):
            process = (peer.vm, peer.incarnation)
            if process == (grant.backup, grant.backup_incarnation):
                return peer.minute
        return None


def discard_reply(task: asyncio.Task[Reply]) -> None:
    """End the answer of a request whose caller has left.

    Its slot would otherwise stay in use for good when the answer streams.
    """
    if task.cancelled() or task.exception() is not None:
        return
    reply = task.result()
    if reply.ended is not None:
        reply.ended(0, False)


def target(raw: _admission.RawRequest) -> str:
    """Return the path with its query."""
    return f'{raw.path}?{raw.query}' if raw.query else raw.path


def to_reply(request_id: str, ended: _try_state.Ended) -> Reply:
    """Return the reply for how the tries ended."""
    if ended.failure is not None:
        return refused(request_id, ended.failure, ended.ran)
    if ended.stored is not None:
        return stored_reply(request_id, result.Ok(ended.stored))
    return Reply(
        request_id,
        errors.Ran.YES,
        status=ended.status,
        headers=ended.headers,
        body=ended.body,
        stream=ended.stream,
        ended=ended.stream_ended,
    )


def stored_reply(
    request_id: str,
    outcome: result.Result[delivery.StoredResponse, errors.Failure],
) -> Reply:
    """Return the reply for a recorded outcome."""
    if isinstance(outcome, result.Err):
        return refused(request_id, outcome.err_value)
    answer = outcome.ok_value
    if answer.too_large:
        return refused(
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
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )
