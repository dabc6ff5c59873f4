"""Slots of backend servers, each of which one VM uses at a time.

The invariant: at every moment, the requests that may be running on a backend
server, started by any VM including dead and frozen ones, are at most as many
as its slots.  It holds because each slot has at most one request.  L is
``EVIDENCE_LIFETIME_S`` and D the service's longest deadline.

- Two owners.  An owner acts only while it is fresh, so it starts requests and
  grants loans for at most L after the commit of the next epoch.  Its own
  requests end D later.  Those of its borrowers end D + 2 s later, because a
  loan counts from the time of the borrower's request.  Another process owns
  the slot only L + D + 3 s after it learned the next epoch, which is later
  than the commit, and only if every epoch in between gives it the slot.
- Owner and borrower.  The owner does not use a slot on loan until the borrower
  has returned it, or until one second after the end of the loan.  The borrower
  returns a slot only when no request can be running on it.  Every request ends
  within the loan, and the borrower's loan ends before the lender's, because
  the lender counts from a later moment.
- Two borrowers.  A slot is lent only when it is not on loan.  The retry of a
  request for loans gets the first answer.  Loans have ids, so that a delayed
  return of one loan does not end another.
- One VM.  A slot is in use until its request has ended or until ``run_until``
  has passed, when backend servers abort the request.
- Configuration changes.  To be owned, a slot needs its server in all views in
  force.  The former owners of a server that moved to another region are taken
  into account as long as a former epoch is.  D is the longest deadline seen in
  that time, and a request may run only for the shortest deadline of the views
  in force.
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

# A slot whose request has not been seen to end stays in use for this long
# after ``run_until``: the backend server counts the deadline from the arrival
# of the request, which is later by the transit time.
DEADLINE_TRANSIT_MARGIN_S: typing.Final = 0.25

ServerGroup = _slot_table.ServerGroup
Message = transport.Message
Answer = result.Result[transport.Message, errors.Failure]


class SlotSystem(systems.System, systems.HeartbeatPart, systems.Slots):
    """Manages the slots that this VM owns and those that it has borrowed.

    ``used_by_server`` and ``used_by_group`` count the slots in use.
    """

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
        self.used_by_server: collections.Counter[str] = collections.Counter()
        self.used_by_group: collections.Counter[ServerGroup] = (
            collections.Counter()
        )

    def set_loans_callback(
        self, callback: collections.abc.Callable[[str], None]
    ) -> None:
        """Set a callback that gets the service's name when loans arrive."""
        self.borrower.loans_callback = callback

    def handlers(self) -> dict[str, systems.Handler]:
        """Return the handlers of peers' calls by path."""
        return {
            _loans.BORROW_PATH: self.handle_borrow,
            _loans.RETURN_PATH: self.handle_return,
        }

    def tick(self, now: float) -> None:
        """Release expired holds; end expired loans to and from peers."""
        self.table.refresh(now)
        for hold in self.holds():
            if now >= hold.run_until + DEADLINE_TRANSIT_MARGIN_S:
                self.release(hold, now)
        self.own.lent.end_expired(now)
        self.borrower.tick(now)

    def holds(self) -> list[systems.SlotHold]:
        """Return the holds of all slots in use, own and borrowed."""
        borrowed = [
            loan.hold for loan in self.borrower.borrowed.loans.values()
        ]
        return [
            *self.own.holds.values(),
            *(hold for hold in borrowed if hold is not None),
        ]

    def idle_loans(
        self, server: str, run_for_s: float, now: float
    ) -> list[_loans.BorrowedSlot]:
        """Return a server's idle loans that last for ``run_for_s``."""
        if server in self.table.drained_servers:
            return []
        return self.borrower.borrowed.idle_loans(server, run_for_s, now)

    def idle_counts(
        self, service: str, region: str, now: float
    ) -> dict[str, int]:
        """Return the number of usable idle slots, by backend server."""
        self.table.refresh(now)
        max_run_s = self.table.max_run_s.get(service)
        if max_run_s is None or not self.freshness.is_fresh(now):
            return {}
        borrowed = self.borrower.borrowed.idle_counts(max_run_s, now)
        counts = {
            server: self.own.idle_count(server) + borrowed[server]
            for server in self.table.servers_by_group.get(
                ServerGroup(region, service), ()
            )
            if server not in self.table.drained_servers
        }
        return {server: count for server, count in counts.items() if count}

    def in_use_count(self, server: str) -> int:
        """Return how many slots of a backend server this VM is using."""
        return self.used_by_server[server]

    def acquire(
        self, server: str, run_for_s: float, now: float
    ) -> systems.SlotHold | None:
        """Occupy an idle slot for up to ``run_for_s``.

        Returns None if no slot is usable, or if ``run_for_s`` exceeds the
        shortest deadline in force: other VMs rely on requests having ended by
        then.
        """
        self.table.refresh(now)
        group = self.table.group_of(server)
        if group is None or not self.freshness.is_fresh(now):
            return None
        if run_for_s > self.table.max_run_s.get(group.service, 0.0):
            return None
        hold = self.occupy_slot(server, group, run_for_s, now)
        if hold is not None:
            self.used_by_server[server] += 1
            self.used_by_group[group] += 1
            self.own.peak_use[group].record(self.used_by_group[group], now)
        return hold

    def occupy_slot(
        self, server: str, group: ServerGroup, run_for_s: float, now: float
    ) -> systems.SlotHold | None:
        """Occupy an own slot, or a borrowed one when no own slot is idle."""
        run_until = now + run_for_s
        own_slots = self.own.idle_slots(server)
        if own_slots:
            hold = systems.SlotHold(
                server,
                own_slots[0],
                group.service,
                group.region,
                None,
                run_until,
            )
            self.own.holds[(server, own_slots[0])] = hold
            return hold
        for loan in self.idle_loans(server, run_for_s, now):
            loan.hold = systems.SlotHold(
                server,
                loan.slot,
                group.service,
                group.region,
                loan.lender,
                run_until,
            )
            return loan.hold
        return None

    def release(self, hold: systems.SlotHold, now: float) -> None:
        """Release a slot whose request has ended.

        A second release of the same hold has no effect.
        """
        key = (hold.server, hold.slot)
        loan = self.borrower.borrowed.find_by_hold(hold)
        if self.own.holds.get(key) is hold:
            del self.own.holds[key]
        elif loan is not None:
            loan.hold = None
            loan.idle_since = now
        else:
            return
        self.used_by_group[ServerGroup(hold.region, hold.service)] -= 1
        self.used_by_server[hold.server] -= 1
        if not self.used_by_server[hold.server]:
            del self.used_by_server[hold.server]

    def release_at_deadline(self, hold: systems.SlotHold) -> None:
        """Keep a slot occupied until ``run_until``, then release it.

        Nothing to do here: ``tick`` releases every hold after that time.
        """

    def report_waiting(
        self, service: str, region: str, count: int, now: float
    ) -> None:
        """Record the demand for slots; borrow those that are not idle here."""
        self.table.refresh(now)
        group = ServerGroup(region, service)
        needed = self.used_by_group[group] + count
        self.own.peak_use[group].record(needed, now)
        count -= sum(self.idle_counts(service, region, now).values())
        if count > 0 and self.freshness.is_fresh(now):
            self.borrower.request_loans((service, region), count, now)

    async def handle_borrow(self, message: Message) -> Answer:
        """Lend slots to a peer; a repeated request id gets the same answer."""
        checked = codec.convert(message, _loans.BorrowDoc)
        if isinstance(checked, result.Err):
            return result.Err(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, checked.err_value)
            )
        doc = checked.ok_value
        now = self.clock.now()
        key = (doc['vm'], doc['incarnation'], doc['service'], doc['region'])
        last = self.own.lent.last_answers.get(key)
        if last is not None and doc['loan_request_id'] < last.loan_request_id:
            return result.Ok({'loans': []})
        if last is None or doc['loan_request_id'] > last.loan_request_id:
            answer: _loans.LoansDoc = {'loans': self.lend(doc, now)}
            last = self.own.lent.last_answers[key] = _loans.AnswerRecord(
                doc['loan_request_id'],
                answer,
                now + _slot_table.MAX_LOOKBACK_S,
            )
        return result.Ok(typing.cast(Message, dict(last.answer)))

    def lend(self, doc: _loans.BorrowDoc, now: float) -> list[_loans.LoanDoc]:
        """Lend slots if this VM is fresh."""
        self.table.refresh(now)
        if not self.freshness.is_fresh(now):
            return []
        group = ServerGroup(doc['region'], doc['service'])
        return self.own.lend(doc, self.used_by_group[group], now)

    def lendable_count(self, group: ServerGroup, now: float) -> int:
        """Return the number of slots that peers may borrow."""
        if not self.freshness.is_fresh(now):
            return 0
        return self.own.lendable_count(group, self.used_by_group[group], now)

    async def handle_return(self, message: Message) -> Answer:
        """End the loans that a borrower returns."""
        checked = codec.convert(message, _loans.ReturnDoc)
        if isinstance(checked, result.Err):
            return result.Err(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, checked.err_value)
            )
        return result.Ok(
            {'returned': self.own.lent.end_returned(checked.ok_value)}
        )

    def payload(self, now: float) -> dict[str, typing.Any]:
        """Return the counts of own slots by service and region.

        The counts are those of lendable, idle and all own slots.
        """
        self.table.refresh(now)
        slots: dict[str, dict[str, tuple[int, int, int]]] = {}
        for group in self.table.servers_by_group:
            total = self.own.total_in_group(group)
            if total:
                row = (
                    self.lendable_count(group, now),
                    self.own.idle_count_in_group(group),
                    total,
                )
                slots.setdefault(group.service, {})[group.region] = row
        return {'slots': slots}

    def receive(
        self,
        vm: str,
        incarnation: str,
        payload: dict[str, typing.Any],
        now: float,
    ) -> None:
        """Record a peer's counts of slots."""
        self.borrower.receive(vm, incarnation, payload)

    def idle_fraction_by_region(
        self, service: str, now: float
    ) -> dict[str, float]:
        """Return the idle fraction of a service's slots, by region.

        Counts the slots of all live VMs, as of their last heartbeats.
        """
        self.table.refresh(now)
        idle: collections.Counter[str] = collections.Counter()
        total: collections.Counter[str] = collections.Counter()
        for group in self.table.servers_by_group:
            if group.service == service:
                idle[group.region] += self.own.idle_count_in_group(group)
                total[group.region] += self.own.total_in_group(group)
        for peer in self.membership.live_vms(now):
            reported = self.borrower.reported.get(peer.vm)
            if reported is None or reported.incarnation != peer.incarnation:
                continue
            for (name, region), row in reported.slots.items():
                if name == service:
                    idle[region] += row[1]
                    total[region] += row[2]
        return {
            region: idle[region] / count
            for region, count in total.items()
            if count
        }

    async def hand_over(self) -> None:
        """Return borrowed slots before a planned stop.

        Own slots get a new owner only with the next epoch.
        """
        await self.borrower.hand_over(self.clock.now())
