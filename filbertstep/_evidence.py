"""Evidence that the newest known head is still the newest.

A VM may act on its configuration only while it has evidence younger than
``config.EVIDENCE_LIFETIME_S``.  There are two kinds:

* Store evidence: a consistent read of the store returned a head index that is
  not above the known one.
* Witness evidence: each of a majority of the epoch's witnesses stated that it
  knows no newer head and no pending proposal that this VM does not know.
  Witnesses are the members that must promise a change of the head before it
  takes effect (see ``_promises``).

The time of evidence is always the time at which the request was sent.  So
neither a slow answer nor a frozen VM makes it look younger than it is.
"""

import typing

from filbertstep import config
from filbertstep import systems


class Identity(typing.NamedTuple):
    """Identity of a node process.

    ``incarnation`` is unique to the process and changes with each restart of
    a VM's node.  The URLs are those of its listeners for callers and peers.
    """

    vm: str
    incarnation: str
    region: str
    availability_zone: str
    callers_url: str
    peers_url: str


class StoreEvidence(typing.NamedTuple):
    """The head index from a consistent read of the store sent at ``time``."""

    head_index: int
    time: float


class Statement(typing.NamedTuple):
    """What a process knew when it answered a heartbeat sent at ``time``.

    ``pending`` maps the ids of its pending proposals to their base indexes.
    """

    head_index: int
    pending: dict[str, int]
    time: float


class ProcessStatements(typing.NamedTuple):
    """The latest statement of a process, and the latest usable one before."""

    latest: Statement
    usable: Statement | None


NEVER: typing.Final = float('-inf')


class Evidence(systems.Freshness):
    """Evidence of this VM about the newest head."""

    def __init__(self, identity: Identity, views: config.ViewTable) -> None:
        self.identity = identity
        self.views = views
        self.latest_store_read: StoreEvidence | None = None
        self.usable_store_read: StoreEvidence | None = None
        self.statements: dict[tuple[str, str], ProcessStatements] = {}

    def record_store_read(self, index: int, sent_at: float) -> None:
        """Record the head index from a store read sent at a time."""
        if (
            self.latest_store_read is None
            or sent_at > self.latest_store_read.time
        ):
            self.newest_usable_store_read()
            self.latest_store_read = StoreEvidence(index, sent_at)

    def record_relayed_store_read(
        self, index: int, age_s: float, sent_at: float
    ) -> None:
        """Record store evidence from a peer's answer.

        ``age_s`` is the age of the evidence when the peer answered.  This was
        after ``sent_at``, so the peer's read was sent at ``sent_at - age_s``
        or later.
        """
        self.record_store_read(index, sent_at - max(0.0, age_s))

    def record_statement(
        self, vm: str, incarnation: str, statement: Statement
    ) -> None:
        """Record a process's statement unless a later one is known."""
        row = self.statements.get((vm, incarnation))
        if row is None:
            self.statements[(vm, incarnation)] = ProcessStatements(
                statement, None
            )
        elif statement.time > row.latest.time:
            usable = self.newest_usable(row)
            self.statements[(vm, incarnation)] = ProcessStatements(
                statement, usable
            )

    def newest_usable(self, row: ProcessStatements) -> Statement | None:
        """Return the latest usable statement of a process, if any."""
        if self.is_usable(row.latest):
            return row.latest
        return row.usable

    def is_usable(self, statement: Statement) -> bool:
        """Return whether a statement confirms that the known head is newest.

        It does not when it mentions a newer head or an unknown proposal.  A
        proposal with a base below the known head is ignored, because it is
        already decided.
        """
        index = self.views.head_index()
        return statement.head_index <= index and all(
            base < index or proposal in self.views.pending
            for proposal, base in statement.pending.items()
        )

    def newest_usable_store_read(self) -> StoreEvidence | None:
        """Return the latest store evidence for the known head, if any.

        Evidence of a higher head index is not usable until this VM has learned
        that head; until then the previous evidence is returned.
        """
        if (
            self.latest_store_read is not None
            and self.latest_store_read.head_index <= self.views.head_index()
        ):
            self.usable_store_read = self.latest_store_read
        return self.usable_store_read

    def epoch_witness_time(self, epoch: config.Epoch, now: float) -> float:
        """Return the time of the evidence from the witnesses of one epoch.

        It is the latest time since which a majority of the witnesses made
        usable statements, ``NEVER`` without such a majority.
        """
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
            usable = None if row is None else self.newest_usable(row)
            if usable is not None:
                times.append(usable.time)
        needed = majority(len(epoch.witnesses))
        if not epoch.witnesses or len(times) < needed:
            return NEVER
        return sorted(times, reverse=True)[needed - 1]

    def witness_time(self, now: float) -> float:
        """Return the time of the witness evidence, ``NEVER`` for none.

        A pending proposal may already have taken effect, and from then on the
        witnesses of its epoch promise the next one.  So evidence is needed
        from the newest epoch and from the epoch of each pending proposal.
        """
        newest = self.views.newest
        if newest is None:
            return NEVER
        epochs = [newest.epoch]
        epochs.extend(view.epoch for _, view in self.views.pending.values())
        return min(self.epoch_witness_time(epoch, now) for epoch in epochs)

    def is_member(self) -> bool:
        """Return whether the newest epoch has this incarnation as member."""
        newest = self.views.newest
        return newest is not None and newest.epoch.has_member(
            self.identity.vm, self.identity.incarnation
        )

    def evidence_time(self, now: float) -> float:
        """Return the time of the latest evidence, ``NEVER`` for none.

        A process outside the epoch may use only witness evidence, because the
        witnesses then know about the process, so that the acceptance of a
        ticket waits for it (see ``ProposalTable.recent_non_members``).
        """
        return max(self.witness_time(now), self.store_evidence_time())

    def store_evidence_time(self) -> float:
        """Return the time of the store evidence that this process may use."""
        store = self.newest_usable_store_read()
        if store is None or not self.is_member():
            return NEVER
        return store.time

    def age_s(self, now: float) -> float:
        """Return the age of the evidence in seconds, infinite for none."""
        return now - self.evidence_time(now)

    def is_fresh(self, now: float) -> bool:
        """Return whether the evidence is young enough to act."""
        if self.views.newest is None:
            return False
        # Checks the store evidence first: when it is recent, the costlier
        # check of all witnesses is skipped.  Each request calls this several
        # times.
        oldest = now - config.EVIDENCE_LIFETIME_S
        return (
            self.store_evidence_time() > oldest
            or self.evidence_time(now) > oldest
        )

    def prune(self, now: float) -> None:
        """Drop statements that are too old to be evidence."""
        oldest = now - 2 * config.EVIDENCE_LIFETIME_S
        self.statements = {
            key: row
            for key, row in self.statements.items()
            if row.latest.time > oldest
        }


def majority(count: int) -> int:
    """Return the smallest number that is more than half of a count."""
    return count // 2 + 1
