"""The backup's records of requests that other processes run at most once.

For each request id the backup orders two kinds of events: the owner's intent
to run the request, and a query from another VM about its outcome.  If a query
comes first, the id is fenced: the owner is not allowed to run it any more, so
that the reply 'not run' stays true.  A record is kept for longer than its id
is accepted, hence no id can be recorded twice.
"""

import collections
import enum
import typing

import result

from filbertstep import _request_ids
from filbertstep import errors

# Ids older than this, by the backup's own minute counter, are never run.
MAX_ID_AGE_MINUTES: typing.Final = 10

# Must exceed MAX_ID_AGE_MINUTES by more than one minute, because the minute
# counter rounds down.
RECORD_LIFETIME_S: typing.Final = 20 * 60.0

# 60 requests a second to one backup give 72,000 records in 20 minutes.  A
# record without a response takes about 0.6 KB.
MAX_RECORDS: typing.Final = 100_000

# Leaves room for other client accounts when one of them queries ids that it
# made up.
MAX_RECORDS_PER_ACCOUNT: typing.Final = MAX_RECORDS // 2

# In bytes.  Longer response bodies are not stored.
MAX_STORED_BODY: typing.Final = 64 * 1024

# Bytes of all bodies of one table.  A node may use 256 MB for control data.
MAX_TOTAL_STORED_BYTES: typing.Final = 48 * 1024 * 1024


class State(enum.StrEnum):
    """States of a request id at its backup; NONE has no record."""

    NONE = 'none'
    INTENDED = 'intended'
    FENCED = 'fenced'
    DONE = 'done'


class Event(enum.StrEnum):
    """Events that a process applies to a request id at the backup.

    The owner sends ``INTEND`` before it runs a request, and ``FINISH`` or
    ``WITHDRAW`` afterwards.  ``RESOLVE`` queries the outcome.
    """

    INTEND = 'intend'
    RESOLVE = 'resolve'
    FINISH = 'finish'
    WITHDRAW = 'withdraw'


class Reply(enum.StrEnum):
    """Replies of the backup to an event.

    ``EXPIRED`` means that the backup has no record of the id and makes none:
    the id is too old, its minute is ahead of the counter, or it names another
    process as the backup.  ``CONFLICT`` replies to an event that a correct
    owner never sends in that state.
    """

    GO = 'go'
    NOT_RUN = 'not_run'
    DUPLICATE = 'duplicate'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    OK = 'ok'
    REFUSED = 'refused'
    STORED = 'stored'
    EXPIRED = 'expired'
    CONFLICT = 'conflict'


# The first ten rows are those of the design page.  The others follow from
# retries and reordering: a finish or withdraw whose reply was lost is sent
# again, and a withdraw can arrive before the intend whose owner timed out.
INTENT_TRANSITIONS: typing.Final[
    dict[tuple[State, Event], tuple[State, Reply]]
] = {
    (State.NONE, Event.INTEND): (State.INTENDED, Reply.GO),
    (State.NONE, Event.RESOLVE): (State.FENCED, Reply.NOT_RUN),
    (State.INTENDED, Event.INTEND): (State.INTENDED, Reply.DUPLICATE),
    (State.INTENDED, Event.RESOLVE): (State.INTENDED, Reply.OUTCOME_UNKNOWN),
    (State.INTENDED, Event.FINISH): (State.DONE, Reply.OK),
    (State.INTENDED, Event.WITHDRAW): (State.FENCED, Reply.OK),
    (State.FENCED, Event.INTEND): (State.FENCED, Reply.REFUSED),
    (State.FENCED, Event.RESOLVE): (State.FENCED, Reply.NOT_RUN),
    (State.DONE, Event.INTEND): (State.DONE, Reply.STORED),
    (State.DONE, Event.RESOLVE): (State.DONE, Reply.STORED),
    (State.NONE, Event.WITHDRAW): (State.FENCED, Reply.OK),
    (State.NONE, Event.FINISH): (State.NONE, Reply.CONFLICT),
    (State.FENCED, Event.WITHDRAW): (State.FENCED, Reply.OK),
    (State.FENCED, Event.FINISH): (State.FENCED, Reply.CONFLICT),
    (State.DONE, Event.FINISH): (State.DONE, Reply.OK),
    (State.DONE, Event.WITHDRAW): (State.DONE, Reply.CONFLICT),
}


class StoredResponse(typing.NamedTuple):
    """HTTP response to a request that ran, stored for copies and queries.

    ``headers`` are those that were passed on to the caller.  If ``too_large``
    is set, the body was not stored and ``body`` is empty.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    too_large: bool = False


class IntentRecord(typing.NamedTuple):
    """Record of a request id.

    ``digest`` is that of the request, '' when unknown; ``created`` is the
    clock time in seconds.
    """

    state: State
    digest: str
    created: float
    response: StoredResponse | None


class BackupReply(typing.NamedTuple):
    """The backup's reply, with the stored response for ``STORED``."""

    reply: Reply
    response: StoredResponse | None = None


RecordKey = tuple[str, str]
"""Client account, and the request id as text."""


class StoredBodyBudget:
    """Limits the total size in bytes of the bodies that a table stores."""

    def __init__(self, limit_bytes: int = MAX_TOTAL_STORED_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def reserve(self, response: StoredResponse) -> StoredResponse:
        """Reserve space for a response; return it as it is to be stored.

        If there is no room for the body, the result is ``too_large``.
        """
        size = len(response.body)
        if size > MAX_STORED_BODY or self.used_bytes + size > self.limit_bytes:
            return response._replace(body=b'', too_large=True)
        self.used_bytes += size
        return response

    def release(self, response: StoredResponse | None) -> None:
        """Release the bytes of a response that is no longer stored."""
        if response is not None:
            self.used_bytes -= len(response.body)


class IntentTable:
    """Records by client account and request id, oldest first."""

    def __init__(
        self,
        max_records: int = MAX_RECORDS,
        max_stored_bytes: int = MAX_TOTAL_STORED_BYTES,
        max_records_per_account: int = MAX_RECORDS_PER_ACCOUNT,
    ) -> None:
        self.records: dict[RecordKey, IntentRecord] = {}
        self.max_records = max_records
        self.max_records_per_account = max_records_per_account
        self.record_counts: collections.Counter[str] = collections.Counter()
        self.budget = StoredBodyBudget(max_stored_bytes)

    def apply(
        self,
        event: Event,
        key: RecordKey,
        minute: int,
        digest: str,
        now: float,
        response: StoredResponse | None = None,
    ) -> result.Result[BackupReply, errors.Failure]:
        """Apply an event to a request id and return the reply.

        ``minute`` is that of the id's grant; ``now`` is in seconds.  Failures:
        ``id_reused`` if the digest differs from the recorded one;
        ``overloaded`` if there is no room for a new record.
        """
        record = self.records.get(key)
        if record is None:
            return self.apply_without_record(event, key, minute, digest, now)
        if digest and record.digest and digest != record.digest:
            return id_reused()
        state, reply = INTENT_TRANSITIONS[record.state, event]
        stored = record.response
        if state is not record.state and response is not None:
            stored = self.budget.reserve(response)
        if state is not record.state:
            # Assigning to an existing key keeps the order by age.
            self.records[key] = record._replace(
                state=state, digest=record.digest or digest, response=stored
            )
        return result.Ok(
            BackupReply(reply, stored if reply is Reply.STORED else None)
        )

    def apply_without_record(
        self,
        event: Event,
        key: RecordKey,
        minute: int,
        digest: str,
        now: float,
    ) -> result.Result[BackupReply, errors.Failure]:
        """Apply an event to a request id that has no record."""
        # This process never granted a minute ahead of its counter.  Such an
        # id would outlive its record and could be recorded again.
        age = _request_ids.minute_of(now) - minute
        if not 0 <= age <= MAX_ID_AGE_MINUTES:
            return result.Ok(BackupReply(Reply.EXPIRED))
        state, reply = INTENT_TRANSITIONS[State.NONE, event]
        if state is State.NONE:
            return result.Ok(BackupReply(reply))
        if self.is_full_for(key[0]):
            if event is Event.RESOLVE:
                # Without a record to fence the id, it could still run later.
                return result.Ok(BackupReply(Reply.OUTCOME_UNKNOWN))
            return result.Err(
                errors.Failure(
                    errors.ErrorKind.OVERLOADED,
                    'the backup has no room for another request id',
                    1.0,
                )
            )
        self.records[key] = IntentRecord(state, digest, now, None)
        self.record_counts[key[0]] += 1
        return result.Ok(BackupReply(reply))

    def is_full_for(self, account: str) -> bool:
        """Tell whether there is no room for another record of an account."""
        return (
            len(self.records) >= self.max_records
            or self.record_counts[account] >= self.max_records_per_account
        )

    def prune(self, now: float) -> None:
        """Remove records that are past their lifetime."""
        expiry_cutoff = now - RECORD_LIFETIME_S
        expired_keys = []
        for key, record in self.records.items():
            if record.created > expiry_cutoff:
                break
            expired_keys.append(key)
        for key in expired_keys:
            self.budget.release(self.records.pop(key).response)
            self.record_counts[key[0]] -= 1
        # Unary plus drops accounts without records.
        self.record_counts = +self.record_counts


def id_reused() -> result.Err[errors.Failure]:
    """Return the failure for an id used for two different requests."""
    return result.Err(
        errors.Failure(
            errors.ErrorKind.ID_REUSED,
            'the request id was used for a different request',
        )
    )
