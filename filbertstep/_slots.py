"""Slots of backend servers: each is used by one VM at a time.

The invariant: at every moment, for every backend server, the requests that
may be running on it, over all VMs including dead and frozen ones, are at most
its slots.  It holds because each slot has at most one request:

- Two owners.  An owner acts only while fresh, so it starts requests and
  grants loans at most L after the next epoch was committed.  Its own requests
  end D later, those of its borrowers D + 2 s later, because a loan counts
  from when the borrower asked.  Another process owns the slot only L + D +
  3 s after it learned the next epoch, which is after the commit, and only if
  every epoch in between gives it the slot.
- Owner and borrower.  The owner does not use a slot on loan until the
  borrower returned it, which it does only when no request may run on it, or
  until one second after the loan ended.  Every request ends inside the loan,
  and the borrower's loan ends before the lender's, because the lender counts
  from a later moment.
- Two borrowers.  A slot is lent only when it is not on loan.  The retry of a
  request for loans gets the first answer, and loans have ids, so that a
  return that arrives late does not end another loan.
- One VM.  A slot is in use until its request ended or ``run_until`` passed,
  at which backend servers stop it.
- Other configurations.  A slot needs the server in all views in force; a
  server that changed its region keeps its former owners in the rule for as
  long as a former epoch; D is the longest deadline seen meanwhile, and a
  request may run only for the least deadline of the views in force.

L is ``EVIDENCE_LIFETIME_S`` and D the service's longest deadline.
"""

import collections
import random
import typing

import result

from filbertstep import _borrower
from filbertstep import _loans
from filbertstep import _own_slots
from filbertstep import _slot_table
from filbertstep import clock
from filbertstep import codec
from filbertstep import config
from filbertstep import errors
from filbertstep import systems
from filbertstep import transport

# Time in seconds after ``run_until`` for which a slot stays busy when its
# request was not seen to end.  The server counts the deadline from the
# arrival of the request, which is later by the transit.
DEADLINE_TRANSIT_S: typing.Final = 0.25

Place = _slot_table.Place
Message = transport.Message
Answer = result.Result[transport.Message, errors.Failure]


class SlotSystem(systems.System, systems.HeartbeatPart, systems.Slots):
    """Slots that this VM owns or has on loan."""

    part_name = 'slots'

    def __init__(
        self,
        vm: str,
        incarnation: str,
        clock: clock.Clock,
        views: config.ViewTable,
        freshness: systems.Freshness,
        membership: systems.Membership,
        peers: transport.Peers,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.freshness = freshness
        self.membership = membership
        self.own = _own_slots.OwnSlots(vm, incarnation, views)
        self.table = self.own.table
        self.borrower = _borrower.Borrower(
            vm, incarnation, membership, peers, rng, clock.now
        )
        self.used: collections.Counter[str] = collections.Counter()
        self.used_at: collections.Counter[Place] = collections.Counter()

    def set_loans_callback(
        self, callback: collections.abc.Callable[[str], None]
    ) -> None:
        """Have a callback called with the service when loans arrive."""
        self.borrower.loans_callback = callback

    def handlers(self) -> dict[str, systems.Handler]:
        """Return the peers' paths that this system answers."""
        return {
            _loans.BORROW_PATH: self.answer_borrow,
            _loans.RETURN_PATH: self.answer_return,
        }

    def tick(self, now: float) -> None:
        """End what is over: holds, loans to peers and loans from peers."""
        self.table.refresh(now)
        for hold in self.holds():
            if now >= hold.run_until + DEADLINE_TRANSIT_S:
                self.release(hold, now)
        self.own.lent.reclaim(now)
        self.borrower.tick(now)

    def holds(self) -> list[systems.SlotHold]:
        """Return all slots in use."""
        borrowed = [loan.hold for loan in self.borrower.book.loans.values()]
        return [
            *self.own.running.values(),
            *(hold for hold in borrowed if hold is not None),
        ]

    def borrowed_idle(
        self, server: str, run_for_s: float, now: float
    ) -> list[_loans.Borrowed]:
        """Return idle loans of a server that last for a run time."""
        if server in self.table.drained:
            return []
        return self.borrower.book.idle(server, run_for_s, now)

    def idle_counts(
        self, service: str, region: str, now: float
    ) -> dict[str, int]:
        """Return the number of usable idle slots by backend server."""
        self.table.refresh(now)
        limit_s = self.table.limits.get(service)
        if limit_s is None or not self.freshness.is_fresh(now):
            return {}
        borrowed = self.borrower.book.idle_counts(limit_s, now)
        counts = {
            server: self.own.idle_count(server) + borrowed[server]
            for server in self.table.servers.get(Place(region, service), ())
            if server not in self.table.drained
        }
        return {server: count for server, count in counts.items() if count}

    def in_use_count(self, server: str) -> int:
        """Return how many slots of a backend server this VM is using."""
        return self.used[server]

    def acquire(
        self, server: str, run_for_s: float, now: float
    ) -> systems.SlotHold | None:
        """Use an idle slot for at most a time, or return None.

        None too when the run time is above the least deadline in force:
        other VMs count on requests to end by then.
        """
        self.table.refresh(now)
        place = self.table.group_of(server)
        if place is None or not self.freshness.is_fresh(now):
            return None
        if run_for_s > self.table.limits.get(place.service, 0.0):
            return None
        hold = self.hold_slot(server, place, run_for_s, now)
        if hold is not None:
            self.used[server] += 1
            self.used_at[place] += 1
            self.own.uses[place].note(self.used_at[place], now)
        return hold

    def hold_slot(
        self, server: str, place: Place, run_for_s: float, now: float
    ) -> systems.SlotHold | None:
        """Use an own slot, or one on loan when no own one is idle."""
        until = now + run_for_s
        own = self.own.idle(server)
        if own:
            hold = systems.SlotHold(
                server, own[0], place.service, place.region, None, until
            )
            self.own.running[(server, own[0])] = hold
            return hold
        for loan in self.borrowed_idle(server, run_for_s, now):
            loan.hold = systems.SlotHold(
                server,
                loan.slot,
                place.service,
                place.region,
                loan.lender,
                until,
            )
            return loan.hold
        return None

    def release(self, hold: systems.SlotHold, now: float) -> None:
        """Return a slot after its request ended; once for each hold."""
        key = (hold.server, hold.slot)
        loan = self.borrower.book.of_hold(hold)
        if self.own.running.get(key) is hold:
            del self.own.running[key]
        elif loan is not None:
            loan.hold = None
            loan.idle_since = now
        else:
            return
        self.used_at[Place(hold.region, hold.service)] -= 1
        self.used[hold.server] -= 1
        if not self.used[hold.server]:
            del self.used[hold.server]

    def release_at_deadline(self, hold: systems.SlotHold) -> None:
        """Keep a slot busy until ``run_until``, then release it.

        Ticks release every hold at that time, so there is nothing to note.
        """

    def report_waiting(
        self, service: str, region: str, count: int, now: float
    ) -> None:
        """Note that requests wait here, so that slots are borrowed."""
        self.table.refresh(now)
        place = Place(region, service)
        use = self.used_at[place] + count
        self.own.uses[place].note(use, now)
        count -= sum(self.idle_counts(service, region, now).values())
        if count > 0 and self.freshness.is_fresh(now):
            self.borrower.borrow((service, region), count, now)

    async def answer_borrow(self, message: Message) -> Answer:
        """Lend slots to a peer; a repeated id gets its first answer."""
        checked = codec.convert(message, _loans.BorrowDoc)
        if isinstance(checked, result.Err):
            return result.Err(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, checked.err_value)
            )
        doc = checked.ok_value
        now = self.clock.now()
        key = (doc['vm'], doc['incarnation'], doc['service'], doc['region'])
        last = self.own.lent.granted.get(key)
        if last is not None and doc['loan_request_id'] < last.loan_request_id:
            return result.Ok({'loans': []})
        if last is None or doc['loan_request_id'] > last.loan_request_id:
            answer: _loans.LoansDoc = {'loans': self.lend(doc, now)}
            last = self.own.lent.granted[key] = _loans.Granted(
                doc['loan_request_id'], answer, now + _slot_table.HISTORY_S
            )
        return result.Ok(typing.cast(Message, dict(last.answer)))

    def lend(self, doc: _loans.BorrowDoc, now: float) -> list[_loans.LoanDoc]:
        """Lend slots while fresh."""
        self.table.refresh(now)
        if not self.freshness.is_fresh(now):
            return []
        place = Place(doc['region'], doc['service'])
        return self.own.lend(doc, self.used_at[place], now)

    def lendable(self, place: Place, now: float) -> int:
        """Return the number of slots that peers may borrow."""
        if not self.freshness.is_fresh(now):
            return 0
        return self.own.lendable(place, self.used_at[place], now)

    async def answer_return(self, message: Message) -> Answer:
        """Take back slots that a borrower returns."""
        checked = codec.convert(message, _loans.ReturnDoc)
        if isinstance(checked, result.Err):
            return result.Err(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, checked.err_value)
            )
        return result.Ok(
            {'returned': self.own.lent.returned(checked.ok_value)}
        )

    def payload(self, now: float) -> dict[str, typing.Any]:
        """Return the numbers of own slots by service and region."""
        self.table.refresh(now)
        slots: dict[str, dict[str, tuple[int, int, int]]] = {}
        for place in self.table.servers:
            total = self.own.total_at(place)
            if total:
                row = (
                    self.lendable(place, now),
                    self.own.idle_at(place),
                    total,
                )
                slots.setdefault(place.service, {})[place.region] = row
        return {'slots': slots}

    def receive(
        self,
        vm: str,
        incarnation: str,
        payload: dict[str, typing.Any],
        now: float,
    ) -> None:
        """Take a peer's numbers of idle slots."""
        self.borrower.receive(vm, incarnation, payload)

    def idle_fraction_by_region(
        self, service: str, now: float
    ) -> dict[str, float]:
        """Return the idle part of all VMs' slots of a service by region."""
        self.table.refresh(now)
        idle: collections.Counter[str] = collections.Counter()
        total: collections.Counter[str] = collections.Counter()
        for place in self.table.servers:
            if place.service == service:
                idle[place.region] += self.own.idle_at(place)
                total[place.region] += self.own.total_at(place)
        for peer in self.membership.live_vms(now):
            heard = self.borrower.heard.get(peer.vm)
            if heard is None or heard.incarnation != peer.incarnation:
                continue
            for (name, region), row in heard.slots.items():
                if name == service:
                    idle[region] += row[1]
                    total[region] += row[2]
        return {
            region: idle[region] / count
            for region, count in total.items()
            if count
        }

    async def hand_over(self) -> None:
        """Return loans from peers; own slots wait for the next epoch."""
        await self.borrower.hand_over(self.clock.now())
