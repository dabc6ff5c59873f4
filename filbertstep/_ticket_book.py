"""Tickets: operators' changes of the configuration, and their status."""

import enum
import typing

import result

from filbertstep import _commit
from filbertstep import clock
from filbertstep import config
from filbertstep import errors

# Number of refused and undecided tickets whose status is kept.
MAX_KEPT_ATTEMPTS: typing.Final = 200


class TicketState(enum.StrEnum):
    """Progress of a ticket.

    REFUSED: it did not take effect and will not.  UNDECIDED: it is not known
    whether it took effect.  COMMITTED: it is in the store.  ACCEPTED: every
    process that may act on the configuration knows it.
    """

    REFUSED = 'refused'
    UNDECIDED = 'undecided'
    COMMITTED = 'committed'
    ACCEPTED = 'accepted'


class TicketStatus(typing.NamedTuple):
    """Status of a ticket, sent to operators.

    ``message`` says why a ticket is refused or undecided, empty otherwise.
    """

    number: int
    digest: str
    author: str
    state: TicketState
    message: str


class TicketAttempt(typing.NamedTuple):
    """A ticket sent to this process that is not in the known head.

    ``base_index`` is the head index at which the swap expected the head.
    """

    status: TicketStatus
    base_index: int


class PendingAcknowledgement(typing.NamedTuple):
    """A committed ticket that not all processes have acknowledged yet.

    ``missing`` has (VM, incarnation) of the processes that have not yet stated
    ``head_index`` or a higher one.
    """

    ticket_number: int
    head_index: int
    missing: set[tuple[str, str]]


class TicketTable:
    """The tickets sent to this process and the recent ones in the head."""

    def __init__(
        self,
        time_source: clock.Clock,
        committer: _commit.Committer,
    ) -> None:
        self.clock = time_source
        self.committer = committer
        self.views = committer.views
        self.attempts: dict[int, TicketAttempt] = {}
        # When this process learned that a ticket is in the store, by number.
        self.committed_at: dict[int, float] = {}
        self.acknowledged: set[int] = set()
        self.pending_acknowledgements: list[PendingAcknowledgement] = []

    def on_view_learned(self, view: config.View, now: float) -> None:
        """Record the tickets of a newly learned view."""
        recent = {record['number'] for record in view.head['recent']}
        self.committed_at = {
            number: self.committed_at.get(number, now) for number in recent
        }
        self.acknowledged &= recent
        self.pending_acknowledgements = [
            pending
            for pending in self.pending_acknowledgements
            if pending.ticket_number in recent
        ]

    async def submit(
        self, raw: object
    ) -> result.Result[TicketStatus, errors.Failure]:
        """Commit a ticket and return its status.

        An error means that the ticket is refused: this attempt did not take
        effect and will not.
        """
        checked = config.check_ticket(raw)
        if isinstance(checked, result.Err):
            return checked
        ticket = checked.ok_value
        outcome = await self.committer.commit(ticket_change(ticket))
        if isinstance(outcome, result.Ok):
            return result.Ok(self.record_commit(ticket, outcome.ok_value))
        failure = outcome.err_value
        base_index = self.committer.unresolved_swap_base
        if failure.kind is errors.ErrorKind.OUTCOME_UNKNOWN and (
            base_index is not None
        ):
            status = attempt_status(
                ticket, TicketState.UNDECIDED, failure.message
            )
            self.keep_attempt(status, base_index)
            return result.Ok(status)
        self.keep_attempt(
            attempt_status(ticket, TicketState.REFUSED, failure.message),
            self.views.head_index(),
        )
        return outcome

    def keep_attempt(self, status: TicketStatus, base_index: int) -> None:
        """Keep the status of a ticket that is not in the known head."""
        self.attempts.pop(status.number, None)
        self.attempts[status.number] = TicketAttempt(status, base_index)
        while len(self.attempts) > MAX_KEPT_ATTEMPTS:
            self.attempts.pop(next(iter(self.attempts)))

    def record_commit(
        self, ticket: config.TicketDoc, outcome: _commit.CommitOutcome
    ) -> TicketStatus:
        """Record a commit and the processes that must acknowledge it."""
        number = ticket['number']
        self.committed_at.setdefault(number, self.clock.now())
        self.attempts.pop(number, None)
        if outcome.must_acknowledge is not None:
            own = self.committer.identity
            missing = set(outcome.must_acknowledge) - {
                (own.vm, own.incarnation)
            }
            self.pending_acknowledgements.append(
                PendingAcknowledgement(number, outcome.head_index, missing)
            )
            self.mark_acknowledged()
        status = self.status(number, self.clock.now())
        if status is None:
            # The ticket is committed, but the head was not read since.
            status = attempt_status(ticket, TicketState.COMMITTED, '')
            self.keep_attempt(status, self.views.head_index())
        return status

    def record_head_index(
        self, vm: str, incarnation: str, head_index: int
    ) -> None:
        """Record the head index that a process stated in a heartbeat."""
        for pending in self.pending_acknowledgements:
            if head_index >= pending.head_index:
                pending.missing.discard((vm, incarnation))
        self.mark_acknowledged()

    def mark_acknowledged(self) -> None:
        """Mark the tickets that all processes have acknowledged."""
        self.acknowledged |= {
            pending.ticket_number
            for pending in self.pending_acknowledgements
            if not pending.missing
        }
        self.pending_acknowledgements = [
            pending
            for pending in self.pending_acknowledgements
            if pending.missing
        ]

    def is_accepted(self, number: int, now: float) -> bool:
        """Return whether every process that may act knows a ticket.

        Either all have acknowledged it, or the commit is so long ago that the
        evidence of processes that have not learned it has expired.
        """
        committed_at = self.committed_at.get(number)
        return number in self.acknowledged or (
            committed_at is not None
            and now - committed_at >= config.EVIDENCE_LIFETIME_S
        )

    def status(self, number: int, now: float) -> TicketStatus | None:
        """Return the status of a ticket, None when it is unknown here."""
        newest = self.views.newest
        for record in () if newest is None else newest.head['recent']:
            if record['number'] == number:
                return self.committed_status(record, now)
        attempt = self.attempts.get(number)
        if attempt is None:
            return None
        status = attempt.status
        # Once the head index is above the base, a swap took effect only if the
        # ticket is among the recent ones of the head, which it is not here.
        if (
            status.state is TicketState.UNDECIDED
            and self.views.head_index() > attempt.base_index
        ):
            return status._replace(
                state=TicketState.REFUSED, message='the swap did not happen'
            )
        return status

    def committed_status(
        self, record: config.TicketRecordDoc, now: float
    ) -> TicketStatus:
        """Return the status of a ticket in the head."""
        state = TicketState.COMMITTED
        if self.is_accepted(record['number'], now):
            state = TicketState.ACCEPTED
        return TicketStatus(
            record['number'], record['digest'], record['author'], state, ''
        )

    def recent(self, now: float) -> list[TicketStatus]:
        """Return the status of each known ticket, newest first."""
        newest = self.views.newest
        numbers = set(self.attempts)
        if newest is not None:
            numbers |= {record['number'] for record in newest.head['recent']}
        statuses = (
            self.status(number, now)
            for number in sorted(numbers, reverse=True)
        )
        return [status for status in statuses if status is not None]


def attempt_status(
    ticket: config.TicketDoc, state: TicketState, message: str
) -> TicketStatus:
    """Return the status of a ticket that is not in the head."""
    return TicketStatus(
        ticket['number'],
        config.ticket_digest(ticket),
        ticket['author'],
        state,
        message,
    )


def ticket_change(ticket: config.TicketDoc) -> _commit.UpdatePlanner:
    """Return a function that plans the change of the head for a ticket."""

    def change(
        base: config.View | None,
    ) -> result.Result[_commit.HeadUpdate | None, errors.Failure]:
        if base is None:
            return result.Err(
                _commit.store_unavailable('there is no epoch yet')
            )
        done = is_already_applied(base.head, ticket)
        if isinstance(done, result.Err):
            return done
        if done.ok_value:
            return result.Ok(None)
        applied = config.apply_ticket(base.documents, ticket)
        if isinstance(applied, result.Err):
            return applied
        return result.Ok(plan_ticket(base.head, ticket, applied.ok_value))

    return change


def is_already_applied(
    head: config.HeadDoc, ticket: config.TicketDoc
) -> result.Result[bool, errors.Failure]:
    """Return whether a head already has a ticket.

    Errors: ``ticket_conflict`` when its number is not the next one, or was
    used for another ticket.
    """
    number = ticket['number']
    for record in head['recent']:
        if record['number'] == number:
            if record['digest'] == config.ticket_digest(ticket):
                return result.Ok(True)
            return result.Err(
                ticket_conflict(
                    f'ticket {number} was committed with other changes'
                )
            )
    if number != head['ticket'] + 1:
        return result.Err(
            ticket_conflict(f'the next ticket is number {head["ticket"] + 1}')
        )
    return result.Ok(False)


def ticket_conflict(message: str) -> errors.Failure:
    """Return the failure of a ticket with a used or skipped number."""
    return errors.Failure(errors.ErrorKind.TICKET_CONFLICT, message)


def plan_ticket(
    head: config.HeadDoc,
    ticket: config.TicketDoc,
    documents: config.Documents,
) -> _commit.HeadUpdate:
    """Return the head that includes a ticket, and its new sections."""
    keys = dict(head['sections'])
    sections: config.Sections = {}
    changed = config.changed_sections(ticket, documents)
    for name, content in changed.items():
        if content is None:
            keys.pop(name, None)
            continue
        key = config.section_key(name, content)
        if keys.get(name) != key:
            sections[key] = content
        keys[name] = key
    record: config.TicketRecordDoc = {
        'number': ticket['number'],
        'digest': config.ticket_digest(ticket),
        'author': ticket['author'],
    }
    new_head = head.copy()
    new_head['ticket'] = ticket['number']
    new_head['sections'] = keys
    new_head['recent'] = [*head['recent'], record][
        -config.MAX_RECENT_TICKETS :
    ]
    return _commit.HeadUpdate(new_head, sections)
