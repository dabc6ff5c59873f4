"""At-most-once requests: the owner's side, and messages to the backup.

Only the owner process of a request id may run the request, and only after the
backup process recorded the intent.  What can happen in between:

- The owner freezes between the backup's answer and the send.  Meanwhile the
  id resolves to 'outcome unknown', never to 'not run'.  After it resumes, the
  owner's last check before the send finds stale evidence and withdraws the
  id, or it sends and finishes the id.
- The backup's answer to the intent is lost.  The owner refuses the id for
  good, so 'not run' is true whatever the backup recorded, and withdraws it.
  A withdraw that overtakes a delayed intent fences the id.
- The finish is lost.  It is repeated; until it arrives, the id resolves to
  'outcome unknown'.  The owner itself still has the answer.
- The backup is restarted.  Its records are gone, so nobody can tell whether
  the owner was told to go: ids of the former process resolve to 'outcome
  unknown' and are never run.
- Copies of a request reach the owner and another VM at once.  The backup
  orders the owner's intent and the other VM's question.  If the question is
  first, the id is fenced and the owner refuses it; otherwise the other VM
  waits for the outcome.
- A caller invents the minute of a grant.  Minutes ahead of the backup's
  counter are refused, because such an id could outlive its record.
"""

import asyncio
import collections
import collections.abc
import typing

import result

from filbertstep import _intent_backup
from filbertstep import _intent_messages
from filbertstep import _intent_owner
from filbertstep import _intent_table
from filbertstep import _request_ids
from filbertstep import clock as clocks
from filbertstep import config
from filbertstep import errors
from filbertstep import systems
from filbertstep import transport

# Time in seconds for which a finish or a withdraw is repeated, and the
# pauses between its tries.
REPEAT_FOR_S: typing.Final = 60.0
FIRST_PAUSE_S: typing.Final = 0.1
LONGEST_PAUSE_S: typing.Final = 2.0

# Pause in seconds between two questions to the backup about a running id.
POLL_S: typing.Final = 0.2

Sleep = collections.abc.Callable[[float], collections.abc.Awaitable[None]]


class Begun(typing.NamedTuple):
    """What to do with a request: run it, or give its stored answer."""

    run: bool
    answer: _intent_table.StoredAnswer | None = None


class IntentSystem(systems.System):
    """Runs the protocol as owner, as backup, and for callers who ask."""

    def __init__(
        self,
        vm: str,
        incarnation: str,
        clock: clocks.Clock,
        peers: transport.Peers,
        sleep: Sleep = asyncio.sleep,
        max_records: int = _intent_table.MAX_RECORDS,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.clock = clock
        self.sleep = sleep
        self.counts: collections.Counter[str] = collections.Counter()
        self.backup = _intent_backup.Backup(
            vm, incarnation, clock, peers, max_records, self.counts
        )
        self.owned = _intent_owner.OwnedTable(max_records)
        self.background: set[asyncio.Task[None]] = set()

    def tick(self, now: float) -> None:
        """Forget records past their lifetime."""
        self.backup.table.prune(now)
        self.owned.prune(now)

    def handlers(self) -> dict[str, systems.Handler]:
        """Return the handler of the backup's side."""
        return {_intent_messages.INTENT_PATH: self.backup.handle}

    def owns(self, grant: _request_ids.Grant) -> bool:
        """Tell whether this process may run ids of a grant."""
        me = (self.vm, self.incarnation)
        return (grant.owner, grant.owner_incarnation) == me

    async def begin(
        self,
        account: str,
        request_id: str,
        digest: str,
        wait_s: float = config.MAX_DEADLINE_S,
    ) -> result.Result[Begun, errors.Failure]:
        """Return whether to run a request, before anything is sent.

        After ``run`` exactly one of ``finish``, ``withdraw`` and ``abandon``
        must follow.  A copy of a request waits up to ``wait_s`` seconds for
        the first one's outcome.  Failures: ``not_run``, ``outcome_unknown``,
        ``id_reused``, ``overloaded``, ``bad_request``.
        """
        parsed = _request_ids.parse_request_id(request_id)
        if isinstance(parsed, result.Err):
            return parsed
        grant = parsed.ok_value.grant
        key = (account, request_id)
        if not self.owns(grant) or key in self.owned.rows:
            outcome = await self.resolve(account, request_id, digest, wait_s)
            return outcome.map(lambda answer: Begun(False, answer))
        added = self.owned.add(key, grant, digest, self.clock.now())
        if isinstance(added, result.Err):
            return added
        return await self.intend(key, added.ok_value)

    async def intend(
        self, key: _intent_table.Key, own: _intent_owner.Owned
    ) -> result.Result[Begun, errors.Failure]:
        """Have the backup record a new id; without its word nothing runs."""
        try:
            applied = await self.backup.ask(
                _intent_table.Event.INTEND, key, own.grant, own.digest
            )
        except BaseException:
            self.refuse(key, own)
            raise
        if isinstance(applied, result.Err):
            return self.intend_failed(key, own, applied.err_value)
        if applied.ok_value.reply is _intent_table.Reply.GO:
            own.phase = _intent_owner.Phase.GO
            own.had_go = True
            return result.Ok(Begun(True))
        return self.intend_refused(key, own, applied.ok_value)

    def intend_refused(
        self,
        key: _intent_table.Key,
        own: _intent_owner.Owned,
        applied: _intent_table.Applied,
    ) -> result.Result[Begun, errors.Failure]:
        """Settle an id that the backup did not let run."""
        if applied.reply is _intent_table.Reply.REFUSED:
            own.settle(
                _intent_messages.not_run(
                    'another VM has fenced the request id'
                )
            )
        elif applied.answer is not None:
            self.owned.keep(own, applied.answer)
        else:
            own.settle(
                _intent_messages.unknown(
                    'the request id is too old or already used'
                )
            )
        outcome = own.outcome.result()
        if applied.reply is _intent_table.Reply.EXPIRED:
            # Made-up ids must not fill the table.
            self.owned.drop(key)
        return outcome.map(lambda answer: Begun(False, answer))

    def intend_failed(
        self,
        key: _intent_table.Key,
        own: _intent_owner.Owned,
        failure: errors.Failure,
    ) -> result.Result[Begun, errors.Failure]:
        """Settle an id whose intent got no reply."""
        if failure.kind in (
            errors.ErrorKind.OVERLOADED,
            errors.ErrorKind.ID_REUSED,
        ):
            own.settle(result.Err(failure))
            # The backup said that it made no record for this request.
            self.owned.drop(key)
            return result.Err(failure)
        self.refuse(key, own)
        return _intent_messages.not_run(
            'the backup of the request id does not answer'
        )

    def refuse(self, key: _intent_table.Key, own: _intent_owner.Owned) -> None:
        """Never run an id, and tell the backup."""
        own.settle(_intent_messages.not_run('the request was not sent'))
        self.counts['intent_refused'] += 1
        self.tell(_intent_table.Event.WITHDRAW, key, own, None)

    async def finish(
        self,
        account: str,
        request_id: str,
        answer: _intent_table.StoredAnswer,
    ) -> None:
        """Record the answer of a request that ran.

        Returns at once when the backup is another VM; the message to it is
        repeated in the background.
        """
        key = (account, request_id)
        own = self.owned.rows[key]
        self.owned.keep(own, answer)
        if len(answer.body) > _intent_table.MAX_STORED_BODY:
            answer = answer._replace(body=b'', too_large=True)
        self.tell(_intent_table.Event.FINISH, key, own, answer)

    async def withdraw(self, account: str, request_id: str) -> None:
        """Record that a request was not sent and never will be."""
        key = (account, request_id)
        self.refuse(key, self.owned.rows[key])

    async def abandon(self, account: str, request_id: str) -> None:
        """Record that a request was sent and that its outcome is unknown."""
        self.owned.rows[account, request_id].settle(
            _intent_messages.unknown(
                'the request was sent and its answer did not arrive'
            )
        )

    def tell(
        self,
        event: _intent_table.Event,
        key: _intent_table.Key,
        own: _intent_owner.Owned,
        answer: _intent_table.StoredAnswer | None,
    ) -> None:
        """Tell the backup, repeatedly in the background if need be."""
        if own.grant.backup == self.vm:
            self.backup.apply(event, key, own.grant, own.digest, answer)
            return
        task = asyncio.get_running_loop().create_task(
            self.repeat(event, key, own, answer)
        )
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def repeat(
        self,
        event: _intent_table.Event,
        key: _intent_table.Key,
        own: _intent_owner.Owned,
        answer: _intent_table.StoredAnswer | None,
    ) -> None:
        """Repeat a message until the backup acknowledges it."""
        until = self.clock.now() + REPEAT_FOR_S
        pause = FIRST_PAUSE_S
        while True:
            applied = await self.backup.ask(
                event, key, own.grant, own.digest, answer
            )
            if isinstance(applied, result.Ok):
                self.counts[f'intent_{applied.ok_value.reply.value}'] += 1
                return
            if self.clock.now() + pause > until:
                self.counts['intent_message_given_up'] += 1
                return
            await self.sleep(pause)
            pause = min(2 * pause, LONGEST_PAUSE_S)

    async def flush(self, timeout_s: float) -> bool:
        """Wait for messages to backups; return whether none is left."""
        if self.background:
            await asyncio.wait(set(self.background), timeout=timeout_s)
        return not self.background

    async def resolve(
        self, account: str, request_id: str, digest: str, wait_s: float
    ) -> _intent_messages.Outcome:
        """Return what became of a request, waiting up to ``wait_s`` seconds.

        ``digest`` may be '' when the request itself is not at hand.  Failures:
        ``not_run``, which fences the id; ``outcome_unknown``; ``id_reused``;
        ``bad_request``.
        """
        parsed = _request_ids.parse_request_id(request_id)
        if isinstance(parsed, result.Err):
            return parsed
        key = (account, request_id)
        own = self.owned.rows.get(key)
        if own is not None:
            return await self.join(own, digest, wait_s)
        waited = 0.0
        while True:
            outcome, final = self.resolved(
                await self.backup.ask(
                    _intent_table.Event.RESOLVE,
                    key,
                    parsed.ok_value.grant,
                    digest,
                )
            )
            if final or waited >= wait_s:
                return outcome
            pause = min(POLL_S, wait_s - waited)
            await self.sleep(pause)
            waited += pause

    def resolved(
        self,
        applied: result.Result[_intent_table.Applied, errors.Failure],
    ) -> tuple[_intent_messages.Outcome, bool]:
        """Return the outcome that a reply means, and whether it is final."""
        if isinstance(applied, result.Err):
            if applied.err_value.kind is errors.ErrorKind.ID_REUSED:
                return applied, True
            return _intent_messages.unknown(
                'the backup does not answer'
            ), False
        reply, answer = applied.ok_value
        if answer is not None:
            return result.Ok(answer), True
        if reply is _intent_table.Reply.NOT_RUN:
            return _intent_messages.not_run(
                'the request was not run and never will be'
            ), True
        expired = reply is _intent_table.Reply.EXPIRED
        return _intent_messages.unknown(
            'the outcome of the request is not known'
        ), expired

    async def join(
        self, own: _intent_owner.Owned, digest: str, wait_s: float
    ) -> _intent_messages.Outcome:
        """Wait for the outcome of an id that this process owns."""
        if digest and own.digest and digest != own.digest:
            return _intent_table.reused()
        if not own.outcome.done() and wait_s > 0:
            await asyncio.wait({own.outcome}, timeout=wait_s)
        if own.outcome.done():
            return own.outcome.result()
        return _intent_messages.unknown('the request is still running')
