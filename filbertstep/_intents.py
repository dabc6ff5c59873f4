"""At-most-once execution of requests, coordinated by an owner and a backup.

A request id names two processes.  Only the owner may run the request, and only
after the backup has recorded the owner's intent to run it.  Any other VM that
receives the id asks the backup for the outcome.  A fenced id is one that the
backup never allows to run again.

Faults that the protocol covers:

- The owner freezes between the backup's reply and sending the request.
  Meanwhile the id resolves to 'outcome unknown', never to 'not run'.  When the
  owner resumes, its last check before the send either finds its configuration
  stale and withdraws the id, or the request is sent and the id finished.
- The backup's reply to the intent is lost.  The owner refuses the id for
  good, so 'not run' is true whatever the backup recorded, and withdraws it.
  A withdraw that arrives before a delayed intent fences the id.
- The finish message is lost.  It is retried; until it arrives, other VMs
  resolve the id to 'outcome unknown'.  The owner itself still has the
  response.
- The backup restarts.  Its records are gone, so nobody can tell whether the
  owner was allowed to run a request: ids of the former process resolve to
  'outcome unknown' and are never run.
- Copies of a request reach the owner and another VM at the same time.  The
  backup decides the order of the owner's intent and the other VM's query.  If
  the query is first, the id is fenced and the owner refuses it; otherwise the
  other VM waits for the outcome.
- A caller makes up the minute of a grant.  Minutes ahead of the backup's
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

# Schedule for retrying a finish or withdraw message.  The delay doubles from
# the initial to the maximum value until the period ends.
RETRY_PERIOD_S: typing.Final = 60.0
INITIAL_RETRY_DELAY_S: typing.Final = 0.1
MAX_RETRY_DELAY_S: typing.Final = 2.0

# Interval between queries to the backup about an id that may be running.
RESOLVE_POLL_INTERVAL_S: typing.Final = 0.2

Sleep = collections.abc.Callable[[float], collections.abc.Awaitable[None]]


class BeginResult(typing.NamedTuple):
    """Whether the caller must run the request; if not, its response."""

    should_run: bool
    response: _intent_table.StoredResponse | None = None


class IntentSystem(systems.System):
    """At-most-once protocol of one process, as owner, backup or other VM.

    ``sleep`` waits for a number of seconds; ``max_records`` limits the records
    held as owner and, separately, as backup.
    """

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
        self.owned_requests = _intent_owner.OwnedRequestTable(max_records)
        self.notification_tasks: set[asyncio.Task[None]] = set()

    def tick(self, now: float) -> None:
        """Remove records past their lifetime."""
        self.backup.table.prune(now)
        self.owned_requests.prune(now)

    def handlers(self) -> dict[str, systems.Handler]:
        """Return the handler for messages to this process as backup."""
        return {_intent_messages.INTENT_PATH: self.backup.handle}

    def owns(self, grant: _request_ids.Grant) -> bool:
        """Tell whether this process is the owner named in a grant."""
        this_process = (self.vm, self.incarnation)
        return (grant.owner, grant.owner_incarnation) == this_process

    async def begin(
        self,
        account: str,
        request_id: str,
        digest: str,
        wait_s: float = config.MAX_DEADLINE_S,
    ) -> result.Result[BeginResult, errors.Failure]:
        """Decide whether to run a request; call this before sending it.

        If ``should_run`` is true, the caller must call exactly one of
        ``finish``, ``withdraw`` and ``abandon`` afterwards.  Otherwise the
        request is a copy of an earlier one, or another process owns it; waits
        up to ``wait_s`` seconds for the outcome.  ``digest`` is that of the
        request.  Failures: ``not_run``, ``outcome_unknown``, ``id_reused``,
        ``overloaded``, ``bad_request``.
        """
        parsed = _request_ids.parse_request_id(request_id)
        if isinstance(parsed, result.Err):
            return parsed
        grant = parsed.ok_value.grant
        key = (account, request_id)
        if not self.owns(grant) or key in self.owned_requests.rows:
            outcome = await self.resolve(account, request_id, digest, wait_s)
            return outcome.map(lambda response: BeginResult(False, response))
        added = self.owned_requests.add(key, grant, digest, self.clock.now())
        if isinstance(added, result.Err):
            return added
        return await self.record_intent(key, added.ok_value)

    async def record_intent(
        self, key: _intent_table.RecordKey, owned: _intent_owner.OwnedRequest
    ) -> result.Result[BeginResult, errors.Failure]:
        """Have the backup record the intent to run a new id.

        The request may run only if the backup replies GO.
        """
        try:
            backup_reply = await self.backup.send_event(
                _intent_table.Event.INTEND,
                key,
                owned.grant,
                owned.digest,
            )
        except BaseException:
            self.settle_not_run(key, owned)
            raise
        if isinstance(backup_reply, result.Err):
            return self.settle_failed_intent(
                key, owned, backup_reply.err_value
            )
        if backup_reply.ok_value.reply is _intent_table.Reply.GO:
            owned.phase = _intent_owner.Phase.RUN_ALLOWED
            owned.run_allowed = True
            return result.Ok(BeginResult(True))
        return self.settle_refused_intent(key, owned, backup_reply.ok_value)

    def settle_refused_intent(
        self,
        key: _intent_table.RecordKey,
        owned: _intent_owner.OwnedRequest,
        backup_reply: _intent_table.BackupReply,
    ) -> result.Result[BeginResult, errors.Failure]:
        """Settle an id whose intent the backup refused."""
        if backup_reply.reply is _intent_table.Reply.REFUSED:
            owned.settle(
                _intent_messages.not_run(
                    'another VM has fenced the request id'
                )
            )
        elif backup_reply.response is not None:
            self.owned_requests.settle_with_response(
                owned, backup_reply.response
            )
        else:
            owned.settle(
                _intent_messages.outcome_unknown(
                    'the request id is too old or already used'
                )
            )
        outcome = owned.outcome.result()
        if backup_reply.reply is _intent_table.Reply.EXPIRED:
            # Ids that callers make up must not fill the table.
            self.owned_requests.remove(key)
        return outcome.map(lambda response: BeginResult(False, response))

    def settle_failed_intent(
        self,
        key: _intent_table.RecordKey,
        owned: _intent_owner.OwnedRequest,
        failure: errors.Failure,
    ) -> result.Result[BeginResult, errors.Failure]:
        """Settle an id whose intent the backup failed to record."""
        if failure.kind in (
            errors.ErrorKind.OVERLOADED,
            errors.ErrorKind.ID_REUSED,
        ):
            owned.settle(result.Err(failure))
            # The backup made no record for this request.
            self.owned_requests.remove(key)
            return result.Err(failure)
        self.settle_not_run(key, owned)
        return _intent_messages.not_run(
            'the backup of the request id does not answer'
        )

    def settle_not_run(
        self, key: _intent_table.RecordKey, owned: _intent_owner.OwnedRequest
    ) -> None:
        """Settle an id as not run, and withdraw it at the backup."""
        owned.settle(_intent_messages.not_run('the request was not sent'))
        self.counts['intent_refused'] += 1
        self.notify_backup(_intent_table.Event.WITHDRAW, key, owned, None)

    async def finish(
        self,
        account: str,
        request_id: str,
        response: _intent_table.StoredResponse,
    ) -> None:
        """Record the response to a request that ran.

        Does not wait for a backup on another VM; the message to it is sent and
        retried in the background.
        """
        key = (account, request_id)
        owned = self.owned_requests.rows[key]
        self.owned_requests.settle_with_response(owned, response)
        if len(response.body) > _intent_table.MAX_STORED_BODY:
            response = response._replace(body=b'', too_large=True)
        self.notify_backup(_intent_table.Event.FINISH, key, owned, response)

    async def withdraw(self, account: str, request_id: str) -> None:
        """Record that a request was not sent and never will be."""
        key = (account, request_id)
        self.settle_not_run(key, self.owned_requests.rows[key])

    async def abandon(self, account: str, request_id: str) -> None:
        """Record that a request was sent and that its outcome is unknown."""
        self.owned_requests.rows[account, request_id].settle(
            _intent_messages.outcome_unknown(
                'the request was sent and its answer did not arrive'
            )
        )

    def notify_backup(
        self,
        event: _intent_table.Event,
        key: _intent_table.RecordKey,
        owned: _intent_owner.OwnedRequest,
        response: _intent_table.StoredResponse | None,
    ) -> None:
        """Apply an event at the backup of an id.

        A message to another VM is sent and retried by a background task.
        """
        if owned.grant.backup == self.vm:
            self.backup.apply_locally(
                event, key, owned.grant, owned.digest, response
            )
            return
        task = asyncio.get_running_loop().create_task(
            self.notify_until_acknowledged(event, key, owned, response)
        )
        self.notification_tasks.add(task)
        task.add_done_callback(self.notification_tasks.discard)

    async def notify_until_acknowledged(
        self,
        event: _intent_table.Event,
        key: _intent_table.RecordKey,
        owned: _intent_owner.OwnedRequest,
        response: _intent_table.StoredResponse | None,
    ) -> None:
        """Send a message until the backup replies or the period ends."""
        retry_end = self.clock.now() + RETRY_PERIOD_S
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            backup_reply = await self.backup.send_event(
                event, key, owned.grant, owned.digest, response
            )
            if isinstance(backup_reply, result.Ok):
                self.counts[f'intent_{backup_reply.ok_value.reply.value}'] += 1
                return
            if self.clock.now() + delay_s > retry_end:
                self.counts['intent_message_given_up'] += 1
                return
            await self.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def flush(self, timeout_s: float) -> bool:
        """Wait for pending messages to backups.

        Returns whether none is left after ``timeout_s`` seconds.
        """
        if self.notification_tasks:
            await asyncio.wait(set(self.notification_tasks), timeout=timeout_s)
        return not self.notification_tasks

    async def resolve(
        self, account: str, request_id: str, digest: str, wait_s: float
    ) -> _intent_messages.RequestOutcome:
        """Return the outcome of a request, waiting up to ``wait_s`` seconds.

        An empty ``digest``, for a query without the request, matches any.
        Failures: ``not_run``, with which the id is fenced;
        ``outcome_unknown``; ``id_reused``; ``bad_request``.
        """
        parsed = _request_ids.parse_request_id(request_id)
        if isinstance(parsed, result.Err):
            return parsed
        key = (account, request_id)
        owned = self.owned_requests.rows.get(key)
        if owned is not None:
            return await self.wait_for_owned(owned, digest, wait_s)
        waited_s = 0.0
        while True:
            outcome, final = self.interpret_resolve_reply(
                await self.backup.send_event(
                    _intent_table.Event.RESOLVE,
                    key,
                    parsed.ok_value.grant,
                    digest,
                )
            )
            if final or waited_s >= wait_s:
                return outcome
            delay_s = min(RESOLVE_POLL_INTERVAL_S, wait_s - waited_s)
            await self.sleep(delay_s)
            waited_s += delay_s

    def interpret_resolve_reply(
        self,
        backup_reply: result.Result[_intent_table.BackupReply, errors.Failure],
    ) -> tuple[_intent_messages.RequestOutcome, bool]:
        """Return the outcome for a reply, and whether it is final."""
        if isinstance(backup_reply, result.Err):
            if backup_reply.err_value.kind is errors.ErrorKind.ID_REUSED:
                return backup_reply, True
            return _intent_messages.outcome_unknown(
                'the backup does not answer'
            ), False
        reply, response = backup_reply.ok_value
        if response is not None:
            return result.Ok(response), True
        if reply is _intent_table.Reply.NOT_RUN:
            return _intent_messages.not_run(
                'the request was not run and never will be'
            ), True
        expired = reply is _intent_table.Reply.EXPIRED
        return _intent_messages.outcome_unknown(
            'the outcome of the request is not known'
        ), expired

    async def wait_for_owned(
        self, owned: _intent_owner.OwnedRequest, digest: str, wait_s: float
    ) -> _intent_messages.RequestOutcome:
        """Wait up to ``wait_s`` seconds for the outcome of an owned id."""
        if digest and owned.digest and digest != owned.digest:
            return _intent_table.id_reused()
        if not owned.outcome.done() and wait_s > 0:
            await asyncio.wait({owned.outcome}, timeout=wait_s)
        if owned.outcome.done():
            return owned.outcome.result()
        return _intent_messages.outcome_unknown('the request is still running')
