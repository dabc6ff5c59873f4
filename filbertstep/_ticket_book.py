"""State of tickets as the operator sees it."""

import enum
import typing

import result

from filbertstep import _commit
from filbertstep import clock
from filbertstep import config
from filbertstep import errors

# Refused and undecided tickets of this process that are kept for status.
MAX_KEPT_ATTEMPTS: typing.Final = 200


class TicketState(enum.StrEnum):
    """How far a ticket is.

    ACCEPTED: known to every process that may act on the configuration.
    """

    REFUSED = 'refused'
    UNDECIDED = 'undecided'
    COMMITTED = 'committed'
    ACCEPTED = 'accepted'


class TicketStatus(typing.NamedTuple):
    """State of one ticket; ``message`` explains a refusal."""

    number: int
    digest: str
    author: str
    state: TicketState
    message: str


class TicketAttempt(typing.NamedTuple):
    """A ticket sent to this process that the known head does not name.

    ``base_index`` is the modify index on which it was to be swapped in.
    """

    status: TicketStatus
    base_index: int


class PendingAcknowledgement(typing.NamedTuple):
    """Processes whose acknowledgement of a head index is outstanding."""

    ticket_number: int
    head_index: int
    missing: set[tuple[str, str]]


class TicketTable:
    """Tickets sent to this process and those that the head names."""

    def __init__(
        self,
        time_source: clock.Clock,
        committer: _commit.Committer,
    ) -> None:
        self.clock = time_source
        self.committer = committer
        self.views = committer.views
        self.attempts: dict[int, TicketAttempt] = {}
        # When this process knew that a ticket is in the store.
        self.committed_at: dict[int, float] = {}
        self.acknowledged: set[int] = set()
        self.pending_acknowledgements: list[PendingAcknowledgement] = []

    def on_view_learned(self, view: config.View, now: float) -> None:
        """Note the tickets of a newly learned view."""
        recent = {record['number'] for record in view.head['recent']}
        self.committed_at = {
            number: self.committed_at.get(number, now) for number in recent
        }
        self.acknowledged &= recent
        self.pending_acknowledgements = [
            wait
            for wait in self.pending_acknowledgements
            if wait.ticket_number in recent
        ]

    async def submit(
        self, raw: object
    ) -> result.Result[TicketStatus, errors.Failure]:
        """Commit a ticket and return its state.

        Errors say that the ticket is refused; it did and will not take
        effect under this attempt.
        """
        checked = config.check(raw)
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
            self.views.index(),
        )
        return outcome

    def keep_attempt(self, status: TicketStatus, base_index: int) -> None:
        """Keep the status of a ticket that the known head does not name."""
        self.attempts.pop(status.number, None)
        self.attempts[status.number] = TicketAttempt(status, base_index)
        while len(self.attempts) > MAX_KEPT_ATTEMPTS:
            self.attempts.pop(next(iter(self.attempts)))

    def record_commit(
        self, ticket: config.TicketDoc, outcome: _commit.CommitOutcome
    ) -> TicketStatus:
        """Note a commit and whose acknowledgement it waits for."""
        number = ticket['number']
        self.committed_at.setdefault(number, self.clock.now())
        self.attempts.pop(number, None)
        if outcome.must_acknowledge is not None:
            me = self.committer.identity
            missing = set(outcome.must_acknowledge) - {(me.vm, me.incarnation)}
            self.pending_acknowledgements.append(
                PendingAcknowledgement(number, outcome.head_index, missing)
            )
            self.mark_acknowledged()
        found = self.status(number, self.clock.now())
        if found is None:
            # Committed, but the head could not be read since.
            found = attempt_status(ticket, TicketState.COMMITTED, '')
            self.keep_attempt(found, self.views.index())
        return found

    def record_head_index(
        self, vm: str, incarnation: str, head_index: int
    ) -> None:
        """Note the head index that a process said it knows."""
        for wait in self.pending_acknowledgements:
            if head_index >= wait.head_index:
                wait.missing.discard((vm, incarnation))
        self.mark_acknowledged()

    def mark_acknowledged(self) -> None:
        """Mark tickets that everyone acknowledged."""
        self.acknowledged |= {
            wait.ticket_number
            for wait in self.pending_acknowledgements
            if not wait.missing
        }
        self.pending_acknowledgements = [
            wait for wait in self.pending_acknowledgements if wait.missing
        ]

    def is_accepted(self, number: int, now: float) -> bool:
        """Tell whether nobody acts without knowing a committed ticket.

        Either all acknowledged it, or the evidence of those who did not has
        lapsed since the commit.
        """
        since = self.committed_at.get(number)
        return number in self.acknowledged or (
            since is not None and now - since >= config.EVIDENCE_LIFETIME_S
        )

    def status(self, number: int, now: float) -> TicketStatus | None:
        """Return the state of a ticket, None when it is unknown here."""
        newest = self.views.newest
        for record in () if newest is None else newest.head['recent']:
            if record['number'] == number:
                return self.record_status(record, now)
        attempt = self.attempts.get(number)
        if attempt is None:
            return None
        status = attempt.status
        # A swap on a base below the newest head took effect only if the
        # ticket is among the recent ones of the head.
        if (
            status.state is TicketState.UNDECIDED
            and self.views.index() > attempt.base_index
        ):
            return status._replace(
                state=TicketState.REFUSED, message='the swap did not happen'
            )
        return status

    def record_status(
        self, record: config.TicketRecordDoc, now: float
    ) -> TicketStatus:
        """Return the state of a ticket in the head."""
        state = TicketState.COMMITTED
        if self.is_accepted(record['number'], now):
            state = TicketState.ACCEPTED
        return TicketStatus(
            record['number'], record['digest'], record['author'], state, ''
        )

    def recent(self, now: float) -> list[TicketStatus]:
        """Return the known tickets, the newest first."""
        newest = self.views.newest
        numbers = set(self.attempts)
        if newest is not None:
            numbers |= {record['number'] for record in newest.head['recent']}
        found = (
            self.status(number, now)
            for number in sorted(numbers, reverse=True)
        )
        return [status for status in found if status is not None]


def attempt_status(
    ticket: config.TicketDoc, state: TicketState, message: str
) -> TicketStatus:
    """Return a status of a ticket that the head does not name."""
    return TicketStatus(
        ticket['number'],
        config.digest(ticket),
        ticket['author'],
        state,
        message,
    )


def ticket_change(ticket: config.TicketDoc) -> _commit.PlanUpdate:
    """Return the change of the head that a checked ticket makes."""

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
    """Tell whether a head has a ticket, or why it cannot take it."""
    number = ticket['number']
    for record in head['recent']:
        if record['number'] == number:
            if record['digest'] == config.digest(ticket):
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
    """Return the failure of a ticket whose number is taken or skipped."""
    return errors.Failure(errors.ErrorKind.TICKET_CONFLICT, message)


def plan_ticket(
    head: config.HeadDoc,
    ticket: config.TicketDoc,
    documents: config.Documents,
) -> _commit.HeadUpdate:
    """Return the head after a ticket and the sections it needs."""
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
        'digest': config.digest(ticket),
        'author': ticket['author'],
    }
    planned = head.copy()
    planned['ticket'] = ticket['number']
    planned['sections'] = keys
    planned['recent'] = [*head['recent'], record][-config.RECENT_TICKETS :]
    return _commit.HeadUpdate(planned, sections)
