"""Loans of slots: messages, the lender's book and the borrower's book.

A loan lasts for the service's deadline plus ``LOAN_MARGIN_S``, counted by the
borrower from when it asked and by the lender from when it granted, which is
later.  The lender uses the slot again when the borrower returned it, or
``RECLAIM_MARGIN_S`` after the loan ended.
"""

import collections
import typing

import msgspec

from filbertstep import _slot_table
from filbertstep import systems

BORROW_PATH: typing.Final = '/peer/slots'
RETURN_PATH: typing.Final = '/peer/slots/return'

# Time in seconds after the end of a loan at which the lender takes the slot
# back.  Covers the transit of the borrower's last request to the backend
# server, whose deadline counts from its arrival there.
RECLAIM_MARGIN_S: typing.Final = 1.0

# Loans in one answer; bounds the message.
MOST_LOANS: typing.Final = 64

Count = typing.Annotated[int, msgspec.Meta(gt=0)]


class BorrowDoc(typing.TypedDict):
    """Request for loans; the id identifies retries of one request."""

    vm: str
    incarnation: str
    service: str
    region: str
    count: Count
    loan_request_id: Count


class LoanDoc(typing.TypedDict):
    """A slot on loan for a time in seconds, counted from the request."""

    loan_id: str
    server: str
    slot: typing.Annotated[int, msgspec.Meta(ge=0)]
    duration_s: typing.Annotated[float, msgspec.Meta(gt=0, le=60)]


class LoansDoc(typing.TypedDict):
    """Answer to a request for loans."""

    loans: list[LoanDoc]


class ReturnDoc(typing.TypedDict):
    """Loans that the borrower uses no more."""

    vm: str
    incarnation: str
    loans: list[str]


class Lent(typing.NamedTuple):
    """An own slot on loan; the owner may use it again from ``free_at``."""

    server: str
    slot: int
    borrower: tuple[str, str]
    free_at: float


class Granted(typing.NamedTuple):
    """The last answer to a borrower."""

    loan_request_id: int
    answer: LoansDoc
    forget_at: float


class LentBook:
    """Own slots that are on loan."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.count = 0
        self.loans: dict[str, Lent] = {}
        self.slots: dict[tuple[str, int], str] = {}
        self.granted: dict[tuple[str, str, str, str], Granted] = {}

    def lend(
        self,
        server: str,
        slot: int,
        borrower: tuple[str, str],
        duration_s: float,
        now: float,
    ) -> LoanDoc:
        """Note a loan that begins now."""
        self.count += 1
        loan_id = f'{self.incarnation}-{self.count}'
        free_at = now + duration_s + RECLAIM_MARGIN_S
        self.loans[loan_id] = Lent(server, slot, borrower, free_at)
        self.slots[(server, slot)] = loan_id
        return {
            'loan_id': loan_id,
            'server': server,
            'slot': slot,
            'duration_s': duration_s,
        }

    def end(self, loan_id: str) -> None:
        """Take a slot back."""
        lent = self.loans.pop(loan_id, None)
        if lent is not None:
            self.slots.pop((lent.server, lent.slot), None)

    def returned(self, doc: ReturnDoc) -> int:
        """End loans that their borrower returns; return their number."""
        borrower = (doc['vm'], doc['incarnation'])
        known = [
            loan_id
            for loan_id in doc['loans']
            if loan_id in self.loans
            and self.loans[loan_id].borrower == borrower
        ]
        for loan_id in known:
            self.end(loan_id)
        return len(known)

    def reclaim(self, now: float) -> None:
        """End loans whose time is over."""
        for loan_id, lent in list(self.loans.items()):
            if now >= lent.free_at:
                self.end(loan_id)
        self.granted = {
            key: granted
            for key, granted in self.granted.items()
            if now < granted.forget_at
        }


class Borrowed:
    """A slot on loan from a peer; ``hold`` is the request that uses it.

    Until ``full_until`` a request with the whole deadline fits in the loan.
    """

    def __init__(
        self, lender: str, loan: LoanDoc, asked_at: float, now: float
    ) -> None:
        self.lender = lender
        self.loan_id = loan['loan_id']
        self.server = loan['server']
        self.slot = loan['slot']
        self.until = asked_at + loan['duration_s']
        self.full_until = asked_at + _slot_table.LOAN_MARGIN_S
        self.hold: systems.SlotHold | None = None
        self.idle_since = now


class BorrowedBook:
    """Loans from peers, by loan id."""

    def __init__(self) -> None:
        self.loans: dict[str, Borrowed] = {}

    def idle(
        self, server: str, run_for_s: float, now: float
    ) -> list[Borrowed]:
        """Return idle loans of a server that last for a run time.

        The one that ends first comes first, so that later requests find
        loans that still last.
        """
        found = [
            loan
            for loan in self.loans.values()
            if loan.server == server
            and loan.hold is None
            and now + run_for_s <= loan.until
        ]
        return sorted(found, key=lambda loan: loan.until)

    def idle_counts(
        self, run_for_s: float, now: float
    ) -> collections.Counter[str]:
        """Return the number of idle loans that last, by server."""
        return collections.Counter(
            loan.server
            for loan in self.loans.values()
            if loan.hold is None and now + run_for_s <= loan.until
        )

    def of_hold(self, hold: systems.SlotHold) -> Borrowed | None:
        """Return the loan that a request uses."""
        for loan in self.loans.values():
            if loan.hold is hold:
                return loan
        return None

    def take_idle(self, idle_s: float, now: float) -> dict[str, list[str]]:
        """Remove loans that are idle for a time or too short for use.

        Returns their ids by lender.
        """
        by_lender: dict[str, list[str]] = {}
        for loan in list(self.loans.values()):
            spent = now > loan.full_until or now - loan.idle_since >= idle_s
            if loan.hold is None and spent:
                del self.loans[loan.loan_id]
                by_lender.setdefault(loan.lender, []).append(loan.loan_id)
        return by_lender

    def expire(self, now: float) -> list[str]:
        """Drop loans that ended and run no request; return their ids."""
        ended = [
            loan.loan_id
            for loan in self.loans.values()
            if loan.hold is None and now >= loan.until
        ]
        for loan_id in ended:
            del self.loans[loan_id]
        return ended
