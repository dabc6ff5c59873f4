"""Borrows slots from peers: choice of lenders, retries and returns."""

import asyncio
import collections.abc
import random
import typing

import result

from filbertstep import _loans
from filbertstep import codec
from filbertstep import errors
from filbertstep import systems
from filbertstep import transport

MAX_PARALLEL_REQUESTS_PER_GROUP: typing.Final = 3

# Leaves time for several round trips between regions.
CALL_TIMEOUT_S: typing.Final = 0.2

# An unanswered request is repeated for this long.  Loans count from the first
# attempt, so that loans obtained later would be too short for a full deadline.
RETRY_WINDOW_S: typing.Final = 1.0

RETURN_IDLE_LOAN_AFTER_S: typing.Final = 0.5

GroupKey = tuple[str, str]
"""Service and region of a group of backend servers."""


class HeartbeatDoc(typing.TypedDict):
    """Content of a heartbeat about slots, by service and region.

    The numbers are the lendable, the idle and all own slots of the VM.
    """

    slots: dict[str, dict[str, tuple[int, int, int]]]


class ReportedSlots(typing.NamedTuple):
    """The incarnation and the slots in a peer's last heartbeat."""

    incarnation: str
    slots: dict[GroupKey, tuple[int, int, int]]


class PendingRequest(typing.NamedTuple):
    """An unanswered request for loans and the time of its first attempt."""

    requested_at: float
    message: _loans.BorrowDoc


class RequestState:
    """Requests to one peer for the slots of one group of servers.

    ``call_active`` is True while a call is in progress; ``pending`` stays set
    between the attempts of a request.
    """

    def __init__(self) -> None:
        self.pending: PendingRequest | None = None
        self.call_active = False


class Borrower:
    """Borrows slots from peers that report lendable ones.

    ``loan_groups`` are kept by loan id, ``reported`` by VM, and
    ``request_states`` by VM and group.
    """

    def __init__(
        self,
        vm: str,
        incarnation: str,
        membership: systems.Membership,
        peers: transport.Peers,
        rng: random.Random,
        clock_now: collections.abc.Callable[[], float],
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.membership = membership
        self.peers = peers
        self.rng = rng
        self.clock_now = clock_now
        self.borrowed = _loans.BorrowedSlots()
        self.loan_groups: dict[str, GroupKey] = {}
        self.stopped = False
        self.last_request_id = 0
        self.reported: dict[str, ReportedSlots] = {}
        self.request_states: dict[tuple[str, GroupKey], RequestState] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        # Called with the service's name when loans arrive, because requests
        # wait for them.
        self.loans_callback: collections.abc.Callable[[str], None] | None = (
            None
        )

    def receive(
        self, vm: str, incarnation: str, payload: dict[str, typing.Any]
    ) -> None:
        """Record the slots in a peer's heartbeat."""
        checked = codec.convert(payload, HeartbeatDoc)
        if isinstance(checked, result.Err):
            return
        slots = {
            (service, region): row
            for service, regions in checked.ok_value['slots'].items()
            for region, row in regions.items()
        }
        self.reported[vm] = ReportedSlots(incarnation, slots)

    def lendable_count(self, peer: systems.LiveVm, group: GroupKey) -> int:
        """Return the number of lendable slots that a peer last reported."""
        reported = self.reported.get(peer.vm)
        if reported is None or reported.incarnation != peer.incarnation:
            return 0
        return reported.slots.get(group, (0, 0, 0))[0]

    def request_loans(self, group: GroupKey, count: int, now: float) -> None:
        """Request slots from peers, less those already requested."""
        states = {
            vm: state
            for (vm, other), state in self.request_states.items()
            if other == group
        }
        pending_counts = [
            state.pending.message['count']
            for state in states.values()
            if state.pending is not None
        ]
        count -= sum(pending_counts)
        free = MAX_PARALLEL_REQUESTS_PER_GROUP - len(pending_counts)
        if self.stopped or count <= 0 or free <= 0:
            return
        for peer in self.lender_candidates(group, now)[:free]:
            requested = min(
                count,
                self.lendable_count(peer, group),
                _loans.MAX_LOANS_PER_ANSWER,
            )
            if requested > 0:
                self.start_request(peer.vm, group, requested, now)
                count -= requested

    def lender_candidates(
        self, group: GroupKey, now: float
    ) -> list[systems.LiveVm]:
        """Return the peers to ask, by descending number of lendable slots."""
        found = []
        for peer in self.membership.live_vms(now):
            state = self.request_states.get((peer.vm, group))
            idle = self.lendable_count(peer, group)
            if idle and (state is None or state.pending is None):
                found.append((-idle, self.rng.random(), peer))
        return [peer for _, _, peer in sorted(found)]

    def start_request(
        self, vm: str, group: GroupKey, count: int, now: float
    ) -> None:
        """Start a request for loans to one peer."""
        self.last_request_id += 1
        message: _loans.BorrowDoc = {
            'vm': self.vm,
            'incarnation': self.incarnation,
            'service': group[0],
            'region': group[1],
            'count': count,
            'loan_request_id': self.last_request_id,
        }
        state = self.request_states.setdefault((vm, group), RequestState())
        state.pending = PendingRequest(now, message)
        self.start_call(vm, state, state.pending)

    def start_call(
        self, vm: str, state: RequestState, request: PendingRequest
    ) -> None:
        """Start a task that sends a request."""
        state.call_active = True
        self.start_task(self.call_peer(vm, state, request))

    def start_task(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a coroutine as a task; reference the task until it is done."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call_peer(
        self, vm: str, state: RequestState, request: PendingRequest
    ) -> None:
        """Send a request and apply its answer."""
        message = typing.cast(transport.Message, dict(request.message))
        try:
            answer = await self.peers.call(
                vm, _loans.BORROW_PATH, message, CALL_TIMEOUT_S
            )
        finally:
            state.call_active = False
        if state.pending is request:
            self.apply_answer(vm, state, request, answer)

    def apply_answer(
        self,
        vm: str,
        state: RequestState,
        request: PendingRequest,
        answer: result.Result[transport.Message, errors.Failure],
    ) -> None:
        """Record the loans of an answer."""
        if isinstance(answer, result.Err):
            if answer.err_value.kind is errors.ErrorKind.BAD_REQUEST:
                state.pending = None
            return
        state.pending = None
        checked = codec.convert(answer.ok_value, _loans.LoansDoc)
        group = (request.message['service'], request.message['region'])
        lent: list[_loans.LoanDoc] = []
        if isinstance(checked, result.Ok):
            lent = checked.ok_value['loans']
        for loan in lent:
            self.loan_groups[loan['loan_id']] = group
            self.borrowed.loans[loan['loan_id']] = _loans.BorrowedSlot(
                vm, loan, request.requested_at, self.clock_now()
            )
        self.subtract_lent(vm, group, len(lent), request.message['count'])
        if lent and self.loans_callback is not None:
            self.loans_callback(group[0])

    def subtract_lent(
        self, vm: str, group: GroupKey, lent: int, requested: int
    ) -> None:
        """Subtract lent slots from a peer's reported lendable slots.

        A peer that lent fewer than requested has none left.
        """
        reported = self.reported.get(vm)
        row = reported.slots.get(group) if reported is not None else None
        if reported is None or row is None:
            return
        remaining = max(0, row[0] - lent) if lent >= requested else 0
        reported.slots[group] = (remaining, row[1], row[2])

    def tick(self, now: float) -> None:
        """Repeat unanswered requests, remove ended loans, return idle ones."""
        live = {peer.vm for peer in self.membership.live_vms(now)}
        for (vm, _), state in list(self.request_states.items()):
            request = state.pending
            if request is None or state.call_active:
                continue
            if now - request.requested_at >= RETRY_WINDOW_S:
                state.pending = None
            elif vm in live:
                self.start_call(vm, state, request)
        for loan_id in self.borrowed.remove_expired(now):
            self.loan_groups.pop(loan_id, None)
        idle_s = 0.0 if self.stopped else RETURN_IDLE_LOAN_AFTER_S
        for vm, loans in self.borrowed.remove_idle(idle_s, now).items():
            self.start_task(self.return_loans(vm, loans))
        self.drop_unneeded_state(live)

    def drop_unneeded_state(self, live: set[str]) -> None:
        """Drop reports of peers that are not live, and answered requests."""
        self.reported = {
            vm: row for vm, row in self.reported.items() if vm in live
        }
        self.request_states = {
            key: state
            for key, state in self.request_states.items()
            if state.pending is not None
        }

    async def return_loans(self, vm: str, loans: list[str]) -> None:
        """Return loans to a lender.

        If the message is lost, the lender gets the slots back at the end of
        the loans.
        """
        groups = [self.loan_groups.pop(loan_id, None) for loan_id in loans]
        doc: _loans.ReturnDoc = {
            'vm': self.vm,
            'incarnation': self.incarnation,
            'loans': loans,
        }
        message = typing.cast(transport.Message, dict(doc))
        answer = await self.peers.call(
            vm, _loans.RETURN_PATH, message, CALL_TIMEOUT_S
        )
        if isinstance(answer, result.Ok):
            self.add_returned(vm, groups)

    def add_returned(self, vm: str, groups: list[GroupKey | None]) -> None:
        """Add returned slots to a peer's reported lendable slots.

        Otherwise they would stay unused until the peer's next heartbeat.
        """
        reported = self.reported.get(vm)
        for group in groups:
            if reported is not None and group in reported.slots:
                row = reported.slots[group]
                reported.slots[group] = (row[0] + 1, row[1], row[2])

    async def hand_over(self, now: float) -> None:
        """Return all idle loans before a planned stop; borrow no more."""
        self.stopped = True
        idle = self.borrowed.remove_idle(0.0, now)
        await asyncio.gather(
            *(self.return_loans(vm, loans) for vm, loans in idle.items())
        )
