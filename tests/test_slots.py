"""Tests of the ownership, the use and the loans of slots."""

import asyncio
import typing
import unittest

import result

from filbertstep import config
from filbertstep import errors
from filbertstep import systems
from filbertstep import transport
from tests import sharing_fakes as fakes

BORROW_PATH = '/peer/slots'
RETURN_PATH = '/peer/slots/return'

# A slot gained through a new epoch may be used after L + D + 3 s, where L is
# EVIDENCE_LIFETIME_S and D the deadline of the service.
DEADLINE_S = 2.0
TAKEOVER_S = fakes.EVIDENCE_LIFETIME_S + DEADLINE_S + 3.0

Owned = dict[tuple[str, int], list[str]]


def make_fleet(
    count: int = 3,
    servers: int = 4,
    slots: int = 3,
    regions: dict[str, str] | None = None,
) -> fakes.Fleet:
    """Return a fleet of VMs that are members of epoch 1 and know it."""
    documents = fakes.make_documents(servers=servers, slots=slots)
    fleet = fakes.Fleet(documents, regions=regions)
    fleet.start_members(count)
    return fleet


def owners(fleet: fakes.Fleet) -> Owned:
    """Return the owning VMs of each slot as of now, by server and slot."""
    found: Owned = {}
    for vm, node in fleet.nodes.items():
        node.slots.table.refresh(fleet.clock.now())
        for server, slots in node.slots.table.owned.items():
            for slot in slots:
                found.setdefault((server, slot), []).append(vm)
    return found


def owned(fleet: fakes.Fleet, vm: str) -> set[tuple[str, int]]:
    """Return the servers and slots that a VM owns now."""
    return {key for key, vms in owners(fleet).items() if vm in vms}


def change_documents(
    fleet: fakes.Fleet, changes: dict[config.EntityKind, dict[str, typing.Any]]
) -> None:
    """Change configuration documents; all VMs learn them at once."""
    documents = {
        kind: {**entities, **changes.get(kind, {})}
        for kind, entities in fleet.store.documents.items()
    }
    fleet.store.documents = documents
    newest = fleet.store.heads[-1]
    view = fleet.store.view(newest)
    for node in fleet.nodes.values():
        index = node.views.head_index() + 1
        node.views.add_view(view._replace(head_index=index), fleet.clock.now())


def acquire_all(
    node: fakes.Node, now: float, run_for_s: float = DEADLINE_S
) -> list[systems.SlotHold]:
    """Acquire all slots that a VM may use."""
    holds = []
    for server in node.slots.table.owned:
        hold = node.slots.acquire(server, run_for_s, now)
        while hold is not None:
            holds.append(hold)
            hold = node.slots.acquire(server, run_for_s, now)
    return holds


class TestOwnership(unittest.TestCase):
    """Epochs assign slots to owners by rendezvous hashing."""

    def test_each_slot_has_one_owner(self) -> None:
        """No slot may have two owners or none."""
        east = {'vm-1': 'east', 'vm-2': 'east'}
        for count, regions, expected in (
            (1, {}, {'vm-1'}),
            (3, {}, {'vm-1', 'vm-2', 'vm-3'}),
            (4, east, {'vm-3', 'vm-4'}),
            (2, east, {'vm-1', 'vm-2'}),
        ):
            with self.subTest(count=count, regions=regions):
                fleet = make_fleet(count, servers=10, regions=regions)
                found = owners(fleet)
                self.assertEqual(30, len(found))
                self.assertEqual({1}, {len(vms) for vms in found.values()})
                self.assertEqual(expected, {vms[0] for vms in found.values()})

    def test_lost_vm_moves_only_its_slots(self) -> None:
        """The loss of a VM must not interrupt the use of other VMs' slots."""
        fleet = make_fleet(4, servers=10)
        before = owners(fleet)
        fleet.kill('vm-2')
        fleet.commit_to_all()
        kept = {key: vms for key, vms in before.items() if vms != ['vm-2']}
        self.assertEqual(kept, owners(fleet))
        fleet.clock.advance(TAKEOVER_S - 0.1)
        self.assertEqual(kept, owners(fleet))
        fleet.clock.advance(0.2)
        after = owners(fleet)
        self.assertEqual(30, len(after))
        self.assertEqual({1}, {len(vms) for vms in after.values()})

    def test_new_member_waits_for_longest_deadline(self) -> None:
        """A new member must not use slots that may still be in use."""
        fleet = make_fleet(2, servers=10)
        fleet.start('vm-3')
        fleet.commit_to_all()
        # It must assume the highest deadline, because it does not know which
        # deadlines were in force before it started.
        longest_s = fakes.EVIDENCE_LIFETIME_S + config.MAX_DEADLINE_S + 3.0
        fleet.clock.advance(longest_s - 0.1)
        self.assertEqual(set(), owned(fleet, 'vm-3'))
        fleet.clock.advance(0.2)
        self.assertEqual(30, len(owners(fleet)))
        self.assertNotEqual(set(), owned(fleet, 'vm-3'))

    def test_restarted_process_owns_nothing(self) -> None:
        """A restarted process must not use the former process's slots."""
        fleet = make_fleet(2)
        fleet.kill('vm-2')
        node = fleet.start('vm-2')
        node.learn(fleet.store, fleet.clock.now())
        fleet.clock.advance(60.0)
        self.assertEqual(set(), owned(fleet, 'vm-2'))

    def test_takeover_waits_for_former_longer_deadline(self) -> None:
        """A takeover waits for requests with a former, longer deadline."""
        fleet = make_fleet(3, servers=10)
        service = fleet.store.documents[config.EntityKind.SERVICE]['shop']
        short = {**service, 'deadline_ms': 500}
        change_documents(fleet, {config.EntityKind.SERVICE: {'shop': short}})
        fleet.kill('vm-3')
        fleet.commit_to_all()
        for node in fleet.nodes.values():
            node.views.add_view(
                fleet.store.view(fleet.store.heads[-1])._replace(
                    head_index=100
                ),
                fleet.clock.now(),
            )
        for _ in range(round((TAKEOVER_S - 0.1) / 0.1)):
            fleet.clock.advance(0.1)
            self.assertLess(len(owners(fleet)), 30)
        # The longer deadline counts until its view is no longer in force.
        fleet.clock.advance(20.0)
        self.assertEqual(30, len(owners(fleet)))

    def test_server_that_changed_region_has_no_owner_at_first(self) -> None:
        """A server that changed its region must not have two owners.

        The members of its former region may still use its slots.
        """
        regions = {'vm-1': 'east', 'vm-2': 'west'}
        fleet = make_fleet(2, servers=1, regions=regions)
        self.assertEqual(3, len(owned(fleet, 'vm-2')))
        server = fleet.store.documents[config.EntityKind.BACKEND_SERVER]['b0']
        moved = {**server, 'region': 'east'}
        change_documents(
            fleet, {config.EntityKind.BACKEND_SERVER: {'b0': moved}}
        )
        for _ in range(round((TAKEOVER_S - 0.1) / 0.1)):
            fleet.clock.advance(0.1)
            self.assertEqual({}, owners(fleet))
        fleet.clock.advance(15.0)
        self.assertEqual(3, len(owned(fleet, 'vm-1')))

    def test_takeover_waits_for_last_loan(self) -> None:
        """A takeover must wait for the last loan of the former owner.

        The owner granted it just before it stopped being fresh.
        """
        fleet = make_fleet(3, servers=10)
        lender, borrower = fleet.nodes['vm-2'], fleet.nodes['vm-3']
        committed = fleet.clock.now()
        fleet.heartbeat()
        # The lender does not learn that it is no longer a member.
        fleet.store.commit(
            [(vm, fleet.nodes[vm].incarnation) for vm in ('vm-1', 'vm-3')],
            committed,
        )
        for vm in ('vm-1', 'vm-3'):
            fleet.nodes[vm].learn(fleet.store, committed)

        def use_again() -> None:
            for hold in borrower.slots.holds():
                borrower.slots.release(hold, fleet.clock.now())
            acquire_all(borrower, fleet.clock.now())

        async def scenario() -> float:
            await fleet.run_for(fakes.EVIDENCE_LIFETIME_S - 0.3, use_again)
            borrower.slots.report_waiting(
                'shop', 'west', 20, fleet.clock.now()
            )
            await fleet.run_for(DEADLINE_S - 0.1, use_again)
            return max(
                hold.run_until
                for hold in borrower.slots.holds()
                if hold.lender == lender.vm
            )

        ended = fakes.run_simulated(fleet.clock, scenario())
        self.assertGreater(
            ended, committed + fakes.EVIDENCE_LIFETIME_S + DEADLINE_S
        )
        fleet.clock.time = ended + 0.5
        self.assertEqual(set(), owned(fleet, 'vm-1') & lent_slots(lender))


def lent_slots(node: fakes.Node) -> set[tuple[str, int]]:
    """Return the servers and slots that a VM has lent."""
    return set(node.slots.own.lent.loan_ids)


class TestUse(unittest.TestCase):
    """Acquiring and releasing slots."""

    def test_each_slot_is_used_once(self) -> None:
        """A server must not get more requests than it has slots."""
        fleet = make_fleet(1, servers=2, slots=3)
        slots = fleet.nodes['vm-1'].slots
        now = fleet.clock.now()
        self.assertEqual(
            {'b0': 3, 'b1': 3}, slots.idle_counts('shop', 'west', now)
        )
        holds = [slots.acquire('b0', 1.0, now) for _ in range(4)]
        self.assertIsNone(holds.pop())
        self.assertEqual(3, slots.in_use_count('b0'))
        self.assertEqual({'b1': 3}, slots.idle_counts('shop', 'west', now))
        self.assertEqual(
            {'west': 0.5}, slots.idle_fraction_by_region('shop', now)
        )
        for hold in holds:
            assert hold is not None
            slots.release(hold, now)
        self.assertEqual(0, slots.in_use_count('b0'))

    def test_second_release_frees_nothing(self) -> None:
        """A second release must not free a slot that another request uses."""
        fleet = make_fleet(1, servers=1, slots=1)
        slots = fleet.nodes['vm-1'].slots
        now = fleet.clock.now()
        first = slots.acquire('b0', 1.0, now)
        assert first is not None
        slots.release(first, now)
        self.assertIsNotNone(slots.acquire('b0', 1.0, now))
        slots.release(first, now)
        self.assertIsNone(slots.acquire('b0', 1.0, now))
        self.assertEqual(1, slots.in_use_count('b0'))

    def test_unsafe_request_gets_no_slot(self) -> None:
        """Requests on which other VMs do not count must not get a slot.

        These are requests to an unknown server, with too long a run time, or
        at a VM that is not fresh.
        """
        fleet = make_fleet(1)
        node = fleet.nodes['vm-1']
        now = fleet.clock.now()
        self.assertIsNone(node.slots.acquire('none', 1.0, now))
        self.assertIsNone(node.slots.acquire('b0', DEADLINE_S + 0.1, now))
        node.freshness.forced_stale = True
        self.assertIsNone(node.slots.acquire('b0', 1.0, now))
        self.assertEqual({}, node.slots.idle_counts('shop', 'west', now))

    def test_drained_server_is_not_idle(self) -> None:
        """A server that is being drained must not get new requests."""
        fleet = make_fleet(1, servers=2)
        drain = {'target_kind': 'backend_server', 'target': 'b0'}
        change_documents(fleet, {config.EntityKind.DRAIN: {'d1': drain}})
        slots = fleet.nodes['vm-1'].slots
        now = fleet.clock.now()
        self.assertIsNone(slots.acquire('b0', 1.0, now))
        self.assertEqual({'b1': 3}, slots.idle_counts('shop', 'west', now))

    def test_release_at_deadline(self) -> None:
        """A slot must not be used again while its request may still run."""
        fleet = make_fleet(1, servers=1, slots=1)
        slots = fleet.nodes['vm-1'].slots
        hold = slots.acquire('b0', 1.0, fleet.clock.now())
        assert hold is not None
        slots.release_at_deadline(hold)

        async def tick_after(seconds: float) -> bool:
            fleet.clock.advance(seconds)
            slots.tick(fleet.clock.now())
            return slots.in_use_count('b0') == 1

        self.assertTrue(fakes.run_simulated(fleet.clock, tick_after(0.99)))
        self.assertFalse(fakes.run_simulated(fleet.clock, tick_after(0.3)))
        self.assertIsNotNone(slots.acquire('b0', 1.0, fleet.clock.now()))


class TestLoans(unittest.TestCase):
    """Idle slots are lent, used by one VM at a time, and returned."""

    def setUp(self) -> None:
        """Start two VMs that have received each other's heartbeat."""
        self.fleet = make_fleet(2, servers=4, slots=3)
        self.lender = self.fleet.nodes['vm-1']
        self.borrower = self.fleet.nodes['vm-2']
        self.fleet.heartbeat()

    def now(self) -> float:
        """Return the simulated time."""
        return self.fleet.clock.now()

    async def borrow(self, count: int = 12) -> list[systems.SlotHold]:
        """Acquire all own slots of the borrower and borrow more."""
        held = acquire_all(self.borrower, self.now())
        self.borrower.slots.report_waiting('shop', 'west', count, self.now())
        await asyncio.sleep(0.05)
        return held

    def borrowed(self) -> int:
        """Return the number of loans that the borrower has."""
        return len(self.borrower.slots.borrower.borrowed.loans)

    def lent(self) -> int:
        """Return the number of slots that the lender has lent."""
        return len(self.lender.slots.own.lent.loan_ids)

    def test_only_the_borrower_uses_a_loan(self) -> None:
        """Lender and borrower must not use the same slot."""

        async def scenario() -> None:
            held = await self.borrow()
            held += acquire_all(self.borrower, self.now(), 1.5)
            self.assertEqual(12, len(held))
            self.assertEqual([], acquire_all(self.lender, self.now()))
            lenders = {hold.lender for hold in held}
            self.assertEqual({None, 'vm-1'}, lenders)

        fakes.run_simulated(self.fleet.clock, scenario())

    def test_idle_loans_are_returned(self) -> None:
        """A borrower must not keep slots that it does not use."""

        async def scenario() -> None:
            await self.borrow()
            self.assertGreater(self.lent(), 0)
            await self.fleet.run_for(0.4)
            self.assertGreater(self.lent(), 0)
            await self.fleet.run_for(0.3)
            self.assertEqual((0, 0), (self.borrowed(), self.lent()))

        fakes.run_simulated(self.fleet.clock, scenario())

    def test_loan_too_short_for_a_deadline_is_returned(self) -> None:
        """A loan that is too short for a deadline is returned.

        Otherwise the slot would stay on loan without any use.
        """

        async def scenario() -> None:
            await self.borrow()
            for _ in range(19):
                await self.fleet.run_for(0.1)
                for hold in self.borrower.slots.holds():
                    self.borrower.slots.release(hold, self.now())
                acquire_all(self.borrower, self.now())
            self.assertGreater(self.lent(), 0)
            for hold in self.borrower.slots.holds():
                self.borrower.slots.release(hold, self.now())
            await self.fleet.run_for(0.3)
            self.assertEqual((0, 0), (self.borrowed(), self.lent()))

        fakes.run_simulated(self.fleet.clock, scenario())

    def test_lender_waits_for_loan_end_after_lost_return(self) -> None:
        """After a lost return the lender waits for the end of the loan."""

        async def scenario() -> None:
            started = self.now()
            self.fleet.peers.lost_calls.add(('vm-1', RETURN_PATH))
            await self.borrow()
            lent = self.lent()
            # The loan lasts for D + 2 s; the lender waits one second more.
            ended = started + DEADLINE_S + 2.0 + 1.0
            await self.fleet.run_for(ended - self.now() - 0.1)
            self.assertEqual(lent, self.lent())
            await self.fleet.run_for(0.4)
            self.assertEqual(0, self.lent())

        fakes.run_simulated(self.fleet.clock, scenario())

    def test_request_ends_inside_the_loan(self) -> None:
        """A request must end before its loan does."""

        async def scenario() -> None:
            requested_at = self.now()
            await self.borrow()
            self.fleet.clock.advance(requested_at + 3.0 - self.now())
            now = self.now()
            for run_for_s, expected in ((1.1, False), (1.0, True)):
                holds = [
                    self.borrower.slots.acquire(server, run_for_s, now)
                    for server in ('b0', 'b1', 'b2', 'b3')
                ]
                found = [hold for hold in holds if hold is not None]
                self.assertEqual(expected, bool(found))
                for hold in found:
                    self.assertLessEqual(hold.run_until, requested_at + 4.0)

        fakes.run_simulated(self.fleet.clock, scenario())

    def test_request_is_repeated_after_lost_answer(self) -> None:
        """A borrower repeats a request whose answer was lost.

        Otherwise neither VM could use the slots that were lent.
        """

        async def scenario() -> None:
            self.fleet.peers.lost_answers.add(('vm-1', BORROW_PATH))
            await self.borrow()
            lent = self.lent()
            self.assertGreater(lent, 0)
            self.assertEqual(0, self.borrowed())
            self.fleet.peers.lost_answers.clear()
            await self.fleet.run_for(0.3)
            self.assertEqual((lent, lent), (self.borrowed(), self.lent()))

        fakes.run_simulated(self.fleet.clock, scenario())

    def test_lender_keeps_what_it_used_recently(self) -> None:
        """A lender keeps slots that it used recently.

        It would have to borrow them back at once otherwise.
        """
        held = acquire_all(self.lender, self.now())
        for hold in held[:4]:
            self.lender.slots.release(hold, self.now())
        group = server_group()
        self.assertEqual(
            0, self.lender.slots.lendable_count(group, self.now())
        )
        self.fleet.clock.advance(5.0)
        later = self.lender.slots.lendable_count(group, self.now())
        self.assertEqual(4, later)

    def test_lender_that_is_not_fresh_refuses(self) -> None:
        """A lender that is not fresh must not lend.

        Its slots may have a new owner.
        """
        self.lender.freshness.forced_stale = True

        async def scenario() -> None:
            await self.borrow()
            self.assertEqual((0, 0), (self.borrowed(), self.lent()))

        fakes.run_simulated(self.fleet.clock, scenario())

    def test_hand_over_returns_loans(self) -> None:
        """A planned stop must return borrowed slots.

        They would stay unused until the end of the loans otherwise.
        """

        async def scenario() -> None:
            await self.borrow()
            lent = self.lent()
            server = next(
                iter(self.lender.slots.own.lent.loans.values())
            ).server
            hold = self.borrower.slots.acquire(server, 1.0, self.now())
            assert hold is not None
            await self.borrower.slots.hand_over()
            self.assertEqual((1, 1), (self.borrowed(), self.lent()))
            self.assertGreater(lent, 1)
            self.borrower.slots.release(hold, self.now())
            await self.fleet.run_for(0.2)
            self.assertEqual((0, 0), (self.borrowed(), self.lent()))
            self.borrower.slots.report_waiting('shop', 'west', 9, self.now())
            await self.fleet.run_for(0.2)
            self.assertEqual(0, self.borrowed())

        fakes.run_simulated(self.fleet.clock, scenario())

    def test_malformed_message_is_refused(self) -> None:
        """A malformed message is refused and must not raise."""
        slots = self.lender.slots

        async def scenario() -> None:
            for handler in (slots.handle_borrow, slots.handle_return):
                for message in ({}, {'vm': 1}, {'loans': [], 'x': 1}):
                    answer = await handler(
                        typing.cast(transport.Message, message)
                    )
                    self.assertIsInstance(answer, result.Err)
                    kind = answer.unwrap_err().kind
                    self.assertEqual(errors.ErrorKind.BAD_REQUEST, kind)

        fakes.run_simulated(self.fleet.clock, scenario())
        parts: list[dict[str, typing.Any]] = [{}, {'slots': {'shop': 1}}]
        for part in parts:
            slots.receive('vm-9', 'i9', part, self.now())
        self.assertNotIn('vm-9', slots.borrower.reported)

    def test_idle_fraction_counts_all_vms(self) -> None:
        """The idle fraction counts the slots of all VMs."""
        acquire_all(self.lender, self.now())
        self.fleet.heartbeat()
        part = len(owned(self.fleet, 'vm-2')) / 12
        self.assertEqual(
            {'west': part},
            self.borrower.slots.idle_fraction_by_region('shop', self.now()),
        )


def server_group() -> typing.Any:
    """Return the server group of the service in a fleet."""
    fleet = make_fleet(1)
    fleet.nodes['vm-1'].slots.table.refresh(fleet.clock.now())
    return next(iter(fleet.nodes['vm-1'].slots.table.servers_by_group))
