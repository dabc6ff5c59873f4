"""The backup's records of requests that another VM runs at most once.

The backup decides which comes first for an id: the owner's intent to run it,
or another VM's question what became of it.  A question that comes first
fences the id, so that 'not run' stays true.  A record is kept for longer than
an id is accepted, hence no id can be recorded twice.
"""

import collections
import enum
import typing

import result

from filbertstep import _request_ids
from filbertstep import errors

# Ids older than this, by the backup's own minute counter, are not run.
MAX_ID_AGE_MINUTES: typing.Final = 10

# Time in seconds for which a record is kept.  It must exceed the age limit by
# more than one minute, because the counter rounds down.
RECORD_LIFETIME_S: typing.Final = 20 * 60.0

# Records held.  At 60 orders a second to one backup, 20 minutes give 72,000;
# a record without an answer takes about 0.6 KB.
MAX_RECORDS: typing.Final = 100_000

# Records of one client account, so that one that asks for made-up ids leaves
# room for the others.
MAX_RECORDS_PER_ACCOUNT: typing.Final = MAX_RECORDS // 2

# The longest body of an answer that is kept, in bytes.
MAX_STORED_BODY: typing.Final = 64 * 1024

# Bytes of all bodies kept.  A node may use 256 MB for control.
MAX_TOTAL_STORED_BYTES: typing.Final = 48 * 1024 * 1024


class State(enum.StrEnum):
    """States of an id at its backup; NONE has no record."""

    NONE = 'none'
    INTENDED = 'intended'
    FENCED = 'fenced'
    DONE = 'done'


class Event(enum.StrEnum):
    """What the owner or another VM tells or asks the backup."""

    INTEND = 'intend'
    RESOLVE = 'resolve'
    FINISH = 'finish'
    WITHDRAW = 'withdraw'


class Reply(enum.StrEnum):
    """Answers of the backup.

    ``EXPIRED`` says that the backup knows nothing about an id and never will:
    too old, or of another process.  ``CONFLICT`` answers a message that a
    correct owner never sends in that state.
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
# repeated messages: a finish or withdraw whose answer was lost comes again,
# and a withdraw can overtake the intend that its owner gave up waiting for.
INTENT_TRANSITIONS: typing.Final[
    dict[tuple[State, Event], tuple[State, Reply]]
] = {
    (State.NONE, Event.INTEND): (
        State.INTENDED,
        Reply.GO,
    ),
    (State.NONE, Event.RESOLVE): (
        State.FENCED,
        Reply.NOT_RUN,
    ),
    (State.INTENDED, Event.INTEND): (
        State.INTENDED,
        Reply.DUPLICATE,
    ),
    (State.INTENDED, Event.RESOLVE): (
        State.INTENDED,
        Reply.OUTCOME_UNKNOWN,
    ),
    (State.INTENDED, Event.FINISH): (
        State.DONE,
        Reply.OK,
    ),
    (State.INTENDED, Event.WITHDRAW): (
        State.FENCED,
        Reply.OK,
    ),
    (State.FENCED, Event.INTEND): (
        State.FENCED,
        Reply.REFUSED,
    ),
    (State.FENCED, Event.RESOLVE): (
        State.FENCED,
        Reply.NOT_RUN,
    ),
    (State.DONE, Event.INTEND): (
        State.DONE,
        Reply.STORED,
    ),
    (State.DONE, Event.RESOLVE): (
        State.DONE,
        Reply.STORED,
    ),
    (State.NONE, Event.WITHDRAW): (
        State.FENCED,
        Reply.OK,
    ),
    (State.NONE, Event.FINISH): (
        State.NONE,
        Reply.CONFLICT,
    ),
    (State.FENCED, Event.WITHDRAW): (
        State.FENCED,
        Reply.OK,
    ),
    (State.FENCED, Event.FINISH): (
        State.FENCED,
        Reply.CONFLICT,
    ),
    (State.DONE, Event.FINISH): (State.DONE, Reply.OK),
    (State.DONE, Event.WITHDRAW): (
        State.DONE,
        Reply.CONFLICT,
    ),
}


class StoredResponse(typing.NamedTuple):
    """An answer that a request got, for those who ask for it again.

    ``headers`` are those that were passed on to the caller.  With
    ``too_large`` the request ran, but the body was not kept and is empty.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    too_large: bool = False


class IntentRecord(typing.NamedTuple):
    """Row of an id; ``digest`` is that of the request, '' when unknown."""

    state: State
    digest: str
    created: float
    response: StoredResponse | None


class BackupReply(typing.NamedTuple):
    """The backup's reply, with the stored answer where there is one."""

    reply: Reply
    response: StoredResponse | None = None


RecordKey = tuple[str, str]
"""Client account and text of the request id."""


class StoredBodyBudget:
    """Bounds the bytes of the bodies that a table keeps."""

    def __init__(self, limit: int = MAX_TOTAL_STORED_BYTES) -> None:
        self.limit = limit
        self.used = 0

    def keep(self, response: StoredResponse) -> StoredResponse:
        """Return what is kept of an answer, without a body that is too big."""
        size = len(response.body)
        if size > MAX_STORED_BODY or self.used + size > self.limit:
            return response._replace(body=b'', too_large=True)
        self.used += size
        return response

    def drop(self, response: StoredResponse | None) -> None:
        """Note that an answer is no longer kept."""
        if response is not None:
            self.used -= len(response.body)


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
        """Apply an event to an id whose grant has a minute.

        Failures: ``id_reused`` for another digest; ``overloaded`` when a new
        record finds no room.
        """
        record = self.records.get(key)
        if record is None:
            return self.apply_without_record(event, key, minute, digest, now)
        if digest and record.digest and digest != record.digest:
            return id_reused()
        state, reply = INTENT_TRANSITIONS[record.state, event]
        kept = record.response
        if state is not record.state and response is not None:
            kept = self.budget.keep(response)
        if state is not record.state:
            # Assigning to an existing key leaves the row's place by age.
            self.records[key] = record._replace(
                state=state, digest=record.digest or digest, response=kept
            )
        return result.Ok(
            BackupReply(reply, kept if reply is Reply.STORED else None)
        )

    def apply_without_record(
        self,
        event: Event,
        key: RecordKey,
        minute: int,
        digest: str,
        now: float,
    ) -> result.Result[BackupReply, errors.Failure]:
        """Apply an event to an id without a record."""
        # A minute ahead of the counter was not granted by this process.  Its
        # id would outlive the record and could be recorded again.
        age = _request_ids.minute_of(now) - minute
        if not 0 <= age <= MAX_ID_AGE_MINUTES:
            return result.Ok(BackupReply(Reply.EXPIRED))
        state, reply = INTENT_TRANSITIONS[State.NONE, event]
        if state is State.NONE:
            return result.Ok(BackupReply(reply))
        if self.is_full_for(key[0]):
            if event is Event.RESOLVE:
                # Without a record 'not run' could become false later.
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
        """Tell whether an account's new record finds no room."""
        return (
            len(self.records) >= self.max_records
            or self.record_counts[account] >= self.max_records_per_account
        )

    def prune(self, now: float) -> None:
        """Forget records that are past their lifetime."""
        oldest = now - RECORD_LIFETIME_S
        expired = []
        for key, record in self.records.items():
            if record.created > oldest:
                break
            expired.append(key)
        for key in expired:
            self.budget.drop(self.records.pop(key).response)
            self.record_counts[key[0]] -= 1
        # Drops accounts without records.
        self.record_counts = +self.record_counts


def id_reused() -> result.Err[errors.Failure]:
    """Return the failure for an id that came with two requests."""
    return result.Err(
        errors.Failure(
            errors.ErrorKind.ID_REUSED,
            'the request id was used for a different request',
        )
    )
