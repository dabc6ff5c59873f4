"""Loans of slots: messages, and the records of lenders and borrowers.

A loan lasts for the service's deadline plus ``LOAN_MARGIN_S``.  The borrower
counts from its request, the lender from its answer, which is later.  The
lender uses the slot again when the borrower has returned it, or
``RECLAIM_MARGIN_S`` after the end of the loan.
"""

import collections
import typing

import msgspec

from filbertstep import _slot_table
from filbertstep import systems

BORROW_PATH: typing.Final = '/peer/slots'
RETURN_PATH: typing.Final = '/peer/slots/return'

# Covers the transit of the borrower's last request to the backend server,
# which counts the deadline from the arrival of the request.
RECLAIM_MARGIN_S: typing.Final = 1.0

# Bounds the size of the answer.
MAX_LOANS_PER_ANSWER: typing.Final = 64

PositiveInt = typing.Annotated[int, msgspec.Meta(gt=0)]


class BorrowDoc(typing.TypedDict):
    """Request for loans; a retry has the same ``loan_request_id``."""

    vm: str
    incarnation: str
    service: str
    region: str
    count: PositiveInt
    loan_request_id: PositiveInt


class LoanDoc(typing.TypedDict):
    """A loan of a slot; ``duration_s`` counts from the request for it."""

    loan_id: str
    server: str
    slot: typing.Annotated[int, msgspec.Meta(ge=0)]
    duration_s: typing.Annotated[float, msgspec.Meta(gt=0, le=60)]


class LoansDoc(typing.TypedDict):
    """Answer to a request for loans."""

    loans: list[LoanDoc]


class ReturnDoc(typing.TypedDict):
    """Ids of loans that the borrower returns."""

    vm: str
    incarnation: str
    loans: list[str]


class LentSlot(typing.NamedTuple):
    """An own slot on loan; the owner may use it again at ``free_at``.

    ``borrower`` is its VM and incarnation.
    """

    server: str
    slot: int
    borrower: tuple[str, str]
    free_at: float


class AnswerRecord(typing.NamedTuple):
    """The last answer to a borrower, kept for retries of its request."""

    loan_request_id: int
    answer: LoansDoc
    expires_at: float


class LentSlots:
    """Own slots that are on loan.

    ``loans`` are kept by loan id; ``loan_ids`` are found by server and slot.
    ``last_answers`` are kept by VM, incarnation, service and region of the
    request.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.loan_count = 0
        self.loans: dict[str, LentSlot] = {}
        self.loan_ids: dict[tuple[str, int], str] = {}
        self.last_answers: dict[tuple[str, str, str, str], AnswerRecord] = {}

    def lend(
        self,
        server: str,
        slot: int,
        borrower: tuple[str, str],
        duration_s: float,
        now: float,
    ) -> LoanDoc:
        """Record a loan that begins now; return it for the answer."""
        self.loan_count += 1
        loan_id = f'{self.incarnation}-{self.loan_count}'
        free_at = now + duration_s + RECLAIM_MARGIN_S
        self.loans[loan_id] = LentSlot(server, slot, borrower, free_at)
        self.loan_ids[(server, slot)] = loan_id
        return {
            'loan_id': loan_id,
            'server': server,
            'slot': slot,
            'duration_s': duration_s,
        }

    def end_loan(self, loan_id: str) -> None:
        """End a loan, if it is known."""
        lent = self.loans.pop(loan_id, None)
        if lent is not None:
            self.loan_ids.pop((lent.server, lent.slot), None)

    def end_returned(self, doc: ReturnDoc) -> int:
        """End the known loans that their borrower returns; count them."""
        borrower = (doc['vm'], doc['incarnation'])
        known = [
            loan_id
            for loan_id in doc['loans']
            if loan_id in self.loans
            and self.loans[loan_id].borrower == borrower
        ]
        for loan_id in known:
            self.end_loan(loan_id)
        return len(known)

    def end_expired(self, now: float) -> None:
        """End the expired loans; drop expired answers."""
        for loan_id, lent in list(self.loans.items()):
            if now >= lent.free_at:
                self.end_loan(loan_id)
        self.last_answers = {
            key: record
            for key, record in self.last_answers.items()
            if now < record.expires_at
        }


class BorrowedSlot:
    """A slot on loan from a peer, and the hold of the request that uses it.

    Until ``fits_deadline_until``, a request with the service's full deadline
    fits in the rest of the loan.
    """

    def __init__(
        self, lender: str, loan: LoanDoc, requested_at: float, now: float
    ) -> None:
        self.lender = lender
        self.loan_id = loan['loan_id']
        self.server = loan['server']
        self.slot = loan['slot']
        self.ends_at = requested_at + loan['duration_s']
        self.fits_deadline_until = requested_at + _slot_table.LOAN_MARGIN_S
        self.hold: systems.SlotHold | None = None
        self.idle_since = now


class BorrowedSlots:
    """Slots on loan from peers, by loan id."""

    def __init__(self) -> None:
        self.loans: dict[str, BorrowedSlot] = {}

    def idle_loans(
        self, server: str, run_for_s: float, now: float
    ) -> list[BorrowedSlot]:
        """Return a server's idle loans that last for ``run_for_s``.

        The loan that ends first comes first, so that the longer ones remain
        for later requests.
        """
        found = [
            loan
            for loan in self.loans.values()
            if loan.server == server
            and loan.hold is None
            and now + run_for_s <= loan.ends_at
        ]
        return sorted(found, key=lambda loan: loan.ends_at)

    def idle_counts(
        self, run_for_s: float, now: float
    ) -> collections.Counter[str]:
        """Count the idle loans that last for ``run_for_s``, by server."""
        return collections.Counter(
            loan.server
            for loan in self.loans.values()
            if loan.hold is None and now + run_for_s <= loan.ends_at
        )

    def find_by_hold(self, hold: systems.SlotHold) -> BorrowedSlot | None:
        """Return the loan that a hold occupies."""
        for loan in self.loans.values():
            if loan.hold is hold:
                return loan
        return None

    def remove_idle(self, idle_s: float, now: float) -> dict[str, list[str]]:
        """Remove the unused loans that are to be returned.

        These are idle for ``idle_s`` or too short for a full deadline.
        Returns their ids by lender.
        """
        by_lender: dict[str, list[str]] = {}
        for loan in list(self.loans.values()):
            unusable = (
                now > loan.fits_deadline_until
                or now - loan.idle_since >= idle_s
            )
            if loan.hold is None and unusable:
                del self.loans[loan.loan_id]
                by_lender.setdefault(loan.lender, []).append(loan.loan_id)
        return by_lender

    def remove_expired(self, now: float) -> list[str]:
        """Remove unused loans that have ended; return their ids."""
        ended = [
            loan.loan_id
            for loan in self.loans.values()
            if loan.hold is None and now >= loan.ends_at
        ]
        for loan_id in ended:
            del self.loans[loan_id]
        return ended
