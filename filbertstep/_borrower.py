"""The borrowing side of slot loans: whom to ask, retries and returns."""

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

# Peers asked at once for slots of one service in one region.
ASK_AT_ONCE: typing.Final = 3

# Time limit in seconds of one call; several round trips between regions.
CALL_TIMEOUT_S: typing.Final = 0.2

# Time in seconds in which an unanswered request is repeated.  Later loans
# would be too short for a whole deadline, because they count from the first
# time of asking.
RETRY_FOR_S: typing.Final = 1.0

# Time in seconds after which an idle loan goes back to its lender.
IDLE_LOAN_S: typing.Final = 0.5

Place = tuple[str, str]
"""Service and region."""


class HeartbeatDoc(typing.TypedDict):
    """Slot part of a heartbeat, by service and region.

    The numbers are slots for loans, idle slots and all own slots.
    """

    slots: dict[str, dict[str, tuple[int, int, int]]]


class Heard(typing.NamedTuple):
    """What a peer's heartbeat said; ``slots`` as in the heartbeat."""

    incarnation: str
    slots: dict[Place, tuple[int, int, int]]


class Request(typing.NamedTuple):
    """A request for loans that has not been answered yet."""

    asked_at: float
    message: _loans.BorrowDoc


class Line:
    """State of asking one peer for slots of one service and region."""

    def __init__(self) -> None:
        self.request: Request | None = None
        self.calling = False


class Borrower:
    """Borrows slots from peers that advertise idle ones."""

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
        self.book = _loans.BorrowedBook()
        self.places: dict[str, Place] = {}
        self.stopped = False
        self.last_id = 0
        self.heard: dict[str, Heard] = {}
        self.lines: dict[tuple[str, Place], Line] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        # Called with the service when loans arrive; requests wait for them.
        self.loans_callback: collections.abc.Callable[[str], None] | None = (
            None
        )

    def receive(
        self, vm: str, incarnation: str, payload: dict[str, typing.Any]
    ) -> None:
        """Take over what a peer's heartbeat says."""
        checked = codec.convert(payload, HeartbeatDoc)
        if isinstance(checked, result.Err):
            return
        slots = {
            (service, region): row
            for service, regions in checked.ok_value['slots'].items()
            for region, row in regions.items()
        }
        self.heard[vm] = Heard(incarnation, slots)

    def lendable(self, peer: systems.LiveVm, place: Place) -> int:
        """Return idle slots that a peer advertised for loans."""
        heard = self.heard.get(peer.vm)
        if heard is None or heard.incarnation != peer.incarnation:
            return 0
        return heard.slots.get(place, (0, 0, 0))[0]

    def borrow(self, place: Place, count: int, now: float) -> None:
        """Ask peers for slots, less those that were asked for already."""
        lines = {
            vm: line for (vm, at), line in self.lines.items() if at == place
        }
        open_requests = [
            line.request.message['count']
            for line in lines.values()
            if line.request is not None
        ]
        count -= sum(open_requests)
        free = ASK_AT_ONCE - len(open_requests)
        if self.stopped or count <= 0 or free <= 0:
            return
        for peer in self.lenders(place, now)[:free]:
            asked = min(count, self.lendable(peer, place), _loans.MOST_LOANS)
            if asked > 0:
                self.start(peer.vm, place, asked, now)
                count -= asked

    def lenders(self, place: Place, now: float) -> list[systems.LiveVm]:
        """Return peers to ask, the one with most idle slots first."""
        found = []
        for peer in self.membership.live_vms(now):
            line = self.lines.get((peer.vm, place))
            idle = self.lendable(peer, place)
            if idle and (line is None or line.request is None):
                found.append((-idle, self.rng.random(), peer))
        return [peer for _, _, peer in sorted(found)]

    def start(self, vm: str, place: Place, count: int, now: float) -> None:
        """Begin one request for loans."""
        self.last_id += 1
        message: _loans.BorrowDoc = {
            'vm': self.vm,
            'incarnation': self.incarnation,
            'service': place[0],
            'region': place[1],
            'count': count,
            'loan_request_id': self.last_id,
        }
        line = self.lines.setdefault((vm, place), Line())
        line.request = Request(now, message)
        self.call_soon(vm, line, line.request)

    def call_soon(self, vm: str, line: Line, request: Request) -> None:
        """Start one call."""
        line.calling = True
        self.spawn(self.call(vm, line, request))

    def spawn(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a coroutine; keeps it referenced until it is done."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call(self, vm: str, line: Line, request: Request) -> None:
        """Send a request and take over its loans."""
        message = typing.cast(transport.Message, dict(request.message))
        try:
            answer = await self.peers.call(
                vm, _loans.BORROW_PATH, message, CALL_TIMEOUT_S
            )
        finally:
            line.calling = False
        if line.request is request:
            self.apply(vm, line, request, answer)

    def apply(
        self,
        vm: str,
        line: Line,
        request: Request,
        answer: result.Result[transport.Message, errors.Failure],
    ) -> None:
        """Take over the loans of an answer."""
        if isinstance(answer, result.Err):
            if answer.err_value.kind is errors.ErrorKind.BAD_REQUEST:
                line.request = None
            return
        line.request = None
        checked = codec.convert(answer.ok_value, _loans.LoansDoc)
        place = (request.message['service'], request.message['region'])
        taken: list[_loans.LoanDoc] = []
        if isinstance(checked, result.Ok):
            taken = checked.ok_value['loans']
        for loan in taken:
            self.places[loan['loan_id']] = place
            self.book.loans[loan['loan_id']] = _loans.Borrowed(
                vm, loan, request.asked_at, self.clock_now()
            )
        self.note_taken(vm, place, len(taken), request.message['count'])
        if taken and self.loans_callback is not None:
            self.loans_callback(place[0])

    def note_taken(
        self, vm: str, place: Place, taken: int, asked: int
    ) -> None:
        """Lower a peer's idle slots as last heard by what it lent."""
        heard = self.heard.get(vm)
        row = heard.slots.get(place) if heard is not None else None
        if heard is None or row is None:
            return
        left = max(0, row[0] - taken) if taken >= asked else 0
        heard.slots[place] = (left, row[1], row[2])

    def tick(self, now: float) -> None:
        """Repeat unanswered requests and return idle loans."""
        live = {peer.vm for peer in self.membership.live_vms(now)}
        for (vm, _), line in list(self.lines.items()):
            request = line.request
            if request is None or line.calling:
                continue
            if now - request.asked_at >= RETRY_FOR_S:
                line.request = None
            elif vm in live:
                self.call_soon(vm, line, request)
        for loan_id in self.book.expire(now):
            self.places.pop(loan_id, None)
        idle_s = 0.0 if self.stopped else IDLE_LOAN_S
        for vm, loans in self.book.take_idle(idle_s, now).items():
            self.spawn(self.give_back(vm, loans))
        self.forget(live)

    def forget(self, live: set[str]) -> None:
        """Drop the state of peers that are gone."""
        self.heard = {vm: row for vm, row in self.heard.items() if vm in live}
        self.lines = {
            key: line
            for key, line in self.lines.items()
            if line.request is not None
        }

    async def give_back(self, vm: str, loans: list[str]) -> None:
        """Return loans; a lost return ends by itself at the loan's end."""
        places = [self.places.pop(loan_id, None) for loan_id in loans]
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
            self.note_returned(vm, places)

    def note_returned(self, vm: str, places: list[Place | None]) -> None:
        """Raise a peer's idle slots as last heard by what it got back.

        Else the slots stay unused until its next heartbeat.
        """
        heard = self.heard.get(vm)
        for place in places:
            if heard is not None and place in heard.slots:
                row = heard.slots[place]
                heard.slots[place] = (row[0] + 1, row[1], row[2])

    async def hand_over(self, now: float) -> None:
        """Return all idle loans and borrow no more."""
        self.stopped = True
        idle = self.book.take_idle(0.0, now)
        await asyncio.gather(
            *(self.give_back(vm, loans) for vm, loans in idle.items())
        )
