"""The owner's records of the requests that it may run."""

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
    """Progress of a request at its owner."""

    AWAITING_BACKUP = enum.auto()
    RUN_ALLOWED = enum.auto()
    SETTLED = enum.auto()


@dataclasses.dataclass
class OwnedRequest:
    """Record of a request that this process owns.

    ``created`` is the clock time in seconds.  ``run_allowed`` means that the
    backup allowed the run, so that the request may have run.
    """

    grant: _request_ids.Grant
    digest: str
    created: float
    outcome: asyncio.Future[_intent_messages.RequestOutcome]
    phase: Phase = Phase.AWAITING_BACKUP
    run_allowed: bool = False

    def settle(self, outcome: _intent_messages.RequestOutcome) -> None:
        """Set the final outcome, unless one is set already."""
        self.phase = Phase.SETTLED
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class OwnedRequestTable:
    """Owned requests by client account and request id, oldest first."""

    def __init__(self, max_records: int) -> None:
        self.rows: dict[_intent_table.RecordKey, OwnedRequest] = {}
        # Rows by request id alone, for refusals before the account is known.
        self.id_counts: collections.Counter[str] = collections.Counter()
        self.max_records = max_records
        self.budget = _intent_table.StoredBodyBudget()
        # Latest grant minute of removed ids that may have run, by the VM and
        # incarnation of their backup.  When the backup no longer replies,
        # nothing else tells that such ids are old.  Only backups that once
        # replied are listed, so callers cannot make this grow.
        self.newest_removed_minute: dict[tuple[str, str], int] = {}

    def add(
        self,
        key: _intent_table.RecordKey,
        grant: _request_ids.Grant,
        digest: str,
        now: float,
    ) -> result.Result[OwnedRequest, errors.Failure]:
        """Add a new request.

        Failures: ``outcome_unknown`` for an id that may have run and was
        removed; ``overloaded`` when the table is full.
        """
        backup = (grant.backup, grant.backup_incarnation)
        if grant.minute <= self.newest_removed_minute.get(backup, -1):
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

    def settle_with_response(
        self, owned: OwnedRequest, response: _intent_table.StoredResponse
    ) -> None:
        """Settle a request with a response, without a body that is too big."""
        if owned.outcome.done():
            return
        owned.settle(result.Ok(self.budget.reserve(response)))

    def prune(self, now: float) -> None:
        """Remove settled requests past their lifetime.

        A request that is not settled stays, however old: this process may
        have been frozen before sending it or while it ran.
        """
        expiry_cutoff = now - _intent_table.RECORD_LIFETIME_S
        expired_keys = []
        for key, owned in self.rows.items():
            if owned.created > expiry_cutoff:
                break
            if owned.outcome.done():
                expired_keys.append(key)
        for key in expired_keys:
            self.remove_settled(key)

    def remove(self, key: _intent_table.RecordKey) -> OwnedRequest:
        """Remove and return a request, whether or not it is settled."""
        self.id_counts[key[1]] -= 1
        if not self.id_counts[key[1]]:
            del self.id_counts[key[1]]
        return self.rows.pop(key)

    def remove_settled(self, key: _intent_table.RecordKey) -> None:
        """Remove a settled request, and refuse its id from now on.

        Ids of the same backup with the same or an earlier minute are refused
        too.  Nothing is refused if the request cannot have run.
        """
        owned = self.remove(key)
        self.budget.release(owned.outcome.result().ok())
        if owned.run_allowed:
            backup = (owned.grant.backup, owned.grant.backup_incarnation)
            self.newest_removed_minute[backup] = max(
                owned.grant.minute, self.newest_removed_minute.get(backup, 0)
            )
