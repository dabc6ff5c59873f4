"""The owner's records of the request ids that it runs."""

import asyncio
import collections
import dataclasses
import enum

import result

from filbertstep import _intent_messages
from filbertstep import _intent_table
from filbertstep import _request_ids
from filbertstep import errors


class Phase(enum.Enum):
    """How far the owner is with an id."""

    AWAITING_BACKUP = enum.auto()
    GO = enum.auto()
    SETTLED = enum.auto()


@dataclasses.dataclass
class OwnedRequest:
    """Row of an id that this process owns.

    ``had_go`` tells that the backup allowed the run, so that it may have run.
    """

    grant: _request_ids.Grant
    digest: str
    created: float
    outcome: asyncio.Future[_intent_messages.RequestOutcome]
    phase: Phase = Phase.AWAITING_BACKUP
    run_allowed: bool = False

    def settle(self, outcome: _intent_messages.RequestOutcome) -> None:
        """Fix the outcome, for those who wait and those who ask later."""
        self.phase = Phase.SETTLED
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class OwnedRequestTable:
    """Rows by client account and request id, oldest first."""

    def __init__(self, max_records: int) -> None:
        self.rows: dict[_intent_table.RecordKey, OwnedRequest] = {}
        # Number of rows by request id, for refusals that know no account.
        self.id_counts: collections.Counter[str] = collections.Counter()
        self.max_records = max_records
        self.budget = _intent_table.StoredBodyBudget()
        # Greatest minute of forgotten ids that may have run, by backup.  When
        # the backup no longer answers, nothing else tells that they are old.
        # Only backups that once answered are here, so callers cannot fill it.
        self.forgotten: dict[tuple[str, str], int] = {}

    def add(
        self,
        key: _intent_table.RecordKey,
        grant: _request_ids.Grant,
        digest: str,
        now: float,
    ) -> result.Result[OwnedRequest, errors.Failure]:
        """Add a new id, or say why it must not run."""
        backup = (grant.backup, grant.backup_incarnation)
        if grant.minute <= self.forgotten.get(backup, -1):
            return _intent_messages.outcome_unknown(
                'the request id is too old'
            )
        if len(self.rows) >= self.max_records:
            return _intent_messages.overloaded()
        future: asyncio.Future[_intent_messages.RequestOutcome]
        future = asyncio.get_running_loop().create_future()
        self.rows[key] = owned = OwnedRequest(grant, digest, now, future)
        self.id_counts[key[1]] += 1
        return result.Ok(owned)

    def keep(
        self, owned: OwnedRequest, response: _intent_table.StoredResponse
    ) -> None:
        """Settle a row with an answer, as far as there is room for it."""
        if owned.outcome.done():
            return
        owned.settle(result.Ok(self.budget.keep(response)))

    def prune(self, now: float) -> None:
        """Forget settled rows past their lifetime.

        A request that is still to be sent, or runs, keeps its row: its
        process may have been frozen for that long.
        """
        oldest = now - _intent_table.RECORD_LIFETIME_S
        expired = []
        for key, owned in self.rows.items():
            if owned.created > oldest:
                break
            if owned.outcome.done():
                expired.append(key)
        for key in expired:
            self.forget(key)

    def drop(self, key: _intent_table.RecordKey) -> OwnedRequest:
        """Remove and return a row."""
        self.id_counts[key[1]] -= 1
        if not self.id_counts[key[1]]:
            del self.id_counts[key[1]]
        return self.rows.pop(key)

    def forget(self, key: _intent_table.RecordKey) -> None:
        """Drop a settled row, but remember that its id may have run."""
        owned = self.drop(key)
        self.budget.drop(owned.outcome.result().ok())
        if owned.run_allowed:
            backup = (owned.grant.backup, owned.grant.backup_incarnation)
            self.forgotten[backup] = max(
                owned.grant.minute, self.forgotten.get(backup, 0)
            )
