"""Evidence that the newest known head is still the newest.

A VM may act only while its evidence is young.  Store evidence says that a
consistent read, sent at a time, found a head index.  Witness evidence says
that a majority of the epoch's witnesses, asked at a time, knew no newer head
and no proposal that this VM does not know.  The time of evidence is always
the time at which the question was sent, so that neither a slow answer nor a
frozen VM makes it look younger than it is.
"""

import typing

from filbertstep import config
from filbertstep import systems


class Identity(typing.NamedTuple):
    """This process: its VM, incarnation, place and URLs of listeners."""

    vm: str
    incarnation: str
    region: str
    availability_zone: str
    callers_url: str
    peers_url: str


class StoreEvidence(typing.NamedTuple):
    """Head index that the store had at ``time`` or later."""

    head_index: int
    time: float


class Statement(typing.NamedTuple):
    """What a process answered to a question sent at ``time``.

    ``pending`` maps the ids of its pending proposals to base indexes.
    """

    head_index: int
    pending: dict[str, int]
    time: float


class StatementRow(typing.NamedTuple):
    """The newest statement of a process, and the newest that counts."""

    latest: Statement
    counted: Statement | None


NEVER: typing.Final = float('-inf')


class Evidence(systems.Freshness):
    """What this VM knows about the newest head."""

    def __init__(self, me: Identity, views: config.ViewTable) -> None:
        self.identity = me
        self.views = views
        self.store: StoreEvidence | None = None
        self.counted_store: StoreEvidence | None = None
        self.statements: dict[tuple[str, str], StatementRow] = {}

    def record_store_read(self, index: int, sent_at: float) -> None:
        """Note that the store had a head index; also used for relays."""
        if self.store is None or sent_at > self.store.time:
            self.usable_store()
            self.store = StoreEvidence(index, sent_at)

    def relayed(self, index: int, age_s: float, sent_at: float) -> None:
        """Note a peer's store evidence of an age when the peer answered.

        The peer answered after the question was sent, so that its evidence
        is at least as young as the send time minus the age.
        """
        self.record_store_read(index, sent_at - max(0.0, age_s))

    def state(self, vm: str, incarnation: str, statement: Statement) -> None:
        """Note a process's statement unless a later one is known."""
        row = self.statements.get((vm, incarnation))
        if row is None:
            self.statements[(vm, incarnation)] = StatementRow(statement, None)
        elif statement.time > row.latest.time:
            counted = self.count(row)
            self.statements[(vm, incarnation)] = StatementRow(
                statement, counted
            )

    def count(self, row: StatementRow) -> Statement | None:
        """Return the newest statement of a row that counts."""
        if self.counts(row.latest):
            return row.latest
        return row.counted

    def counts(self, statement: Statement) -> bool:
        """Tell whether this VM knows all that a statement mentions.

        A proposal on a base below the newest head is decided already.
        """
        index = self.views.index()
        return statement.head_index <= index and all(
            base < index or proposal in self.views.pending
            for proposal, base in statement.pending.items()
        )

    def usable_store(self) -> StoreEvidence | None:
        """Return the newest store evidence that says nothing unknown.

        A higher index than the known head's says that this VM is behind.
        """
        if (
            self.store is not None
            and self.store.head_index <= self.views.index()
        ):
            self.counted_store = self.store
        return self.counted_store

    def witness_time(self, epoch: config.Epoch, now: float) -> float:
        """Return the time of witness evidence from one epoch's witnesses."""
        times = []
        for vm in epoch.witnesses:
            incarnation = epoch.members[vm].incarnation
            if (vm, incarnation) == (
                self.identity.vm,
                self.identity.incarnation,
            ):
                times.append(now)
                continue
            row = self.statements.get((vm, incarnation))
            counted = None if row is None else self.count(row)
            if counted is not None:
                times.append(counted.time)
        needed = majority(len(epoch.witnesses))
        if not epoch.witnesses or len(times) < needed:
            return NEVER
        return sorted(times, reverse=True)[needed - 1]

    def witnesses_time(self, now: float) -> float:
        """Return the time of witness evidence over all epochs concerned.

        A pending proposal may have taken effect, and then its own epoch's
        witnesses promise the next one.
        """
        newest = self.views.newest
        if newest is None:
            return NEVER
        epochs = [newest.epoch]
        epochs.extend(view.epoch for _, view in self.views.pending.values())
        return min(self.witness_time(epoch, now) for epoch in epochs)

    def member(self) -> bool:
        """Tell whether the newest known epoch names this very process."""
        newest = self.views.newest
        return newest is not None and newest.epoch.holds(
            self.identity.vm, self.identity.incarnation
        )

    def time(self, now: float) -> float:
        """Return the time of the youngest evidence.

        A process outside the epoch may only use witness evidence: the
        witnesses then know of it, and a ticket waits for it (see
        ``_promises.ProposalTable.guests``).
        """
        return max(self.witnesses_time(now), self.store_time())

    def store_time(self) -> float:
        """Return the time of the store evidence that this VM may use."""
        store = self.usable_store()
        if store is None or not self.member():
            return NEVER
        return store.time

    def age(self, now: float) -> float:
        """Return the age of the evidence in seconds, infinite for none."""
        return now - self.time(now)

    def is_fresh(self, now: float) -> bool:
        """Tell whether the evidence is young enough to act."""
        if self.views.newest is None:
            return False
        # The youngest evidence counts, so that young store evidence spares
        # the look at all witnesses; each request asks several times.
        oldest = now - config.EVIDENCE_LIFETIME_S
        return self.store_time() > oldest or self.time(now) > oldest

    def prune(self, now: float) -> None:
        """Forget statements too old to be evidence."""
        oldest = now - 2 * config.EVIDENCE_LIFETIME_S
        self.statements = {
            key: row
            for key, row in self.statements.items()
            if row.latest.time > oldest
        }


def majority(count: int) -> int:
    """Return the least number that is more than half of a count."""
    return count // 2 + 1
