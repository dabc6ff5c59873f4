"""Tests of the agreement systems of several VMs together."""

import typing
import unittest

from filbertstep import agreement
from filbertstep import errors
from tests import agreement_cluster
from tests import ticket_samples


class ClusterCase(unittest.TestCase):
    """A cluster of three VMs with a first ticket."""

    count: typing.ClassVar[int] = 3

    def setUp(self) -> None:
        """Start the VMs and commit the first ticket."""
        self.cluster = agreement_cluster.Cluster(self.count)
        self.addCleanup(self.cluster.close)
        self.cluster.run(3.0)
        self.submit('v0', ticket_samples.first_ticket(5))
        self.cluster.run(5.0)

    def node(self, vm: str) -> agreement.Agreement:
        """Return a VM's agreement system."""
        return self.cluster.processes[vm].agreement

    def submit(
        self, vm: str, ticket: dict[str, typing.Any]
    ) -> agreement.TicketStatus:
        """Commit a ticket that must succeed."""
        answer = self.cluster.wait(self.node(vm).submit_ticket(ticket))
        return answer.unwrap()

    def fresh(self) -> list[str]:
        """Return the VMs whose evidence is young enough."""
        now = self.cluster.clock.now()
        return [
            vm
            for vm, process in sorted(self.cluster.processes.items())
            if process.agreement.is_fresh(now)
        ]

    def accepts(self, vm: str, key: int) -> bool:
        """Tell whether a VM would run a request with a key."""
        process = self.cluster.processes[vm]
        now = self.cluster.clock.now()
        digest = ticket_samples.key_digest(key)
        return process.agreement.is_fresh(now) and (
            process.views.key_account(digest, now) is not None
        )

    def members(self, vm: str) -> list[str]:
        """Return the members of the epoch that a VM knows."""
        return list(self.node(vm).status()['members'])


class TestMembership(ClusterCase):
    """Epochs follow the VMs that are there."""

    def test_first_epoch_has_all_listed_vms(self) -> None:
        """Guards against a first epoch with a part of the fleet."""
        self.assertEqual(['v0', 'v1', 'v2'], self.members('v1'))
        self.assertEqual(1, self.node('v2').status()['epoch'])
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh())

    def test_killed_vm_is_suspected_then_removed(self) -> None:
        """Guards against look-up answers and shares for a dead VM."""
        self.cluster.kill('v0')
        self.cluster.run(2.7)
        now = self.cluster.clock.now()
        live = [row.vm for row in self.node('v1').live_vms(now)]
        self.assertEqual(['v2'], live)
        self.assertEqual(['v0', 'v1', 'v2'], self.members('v1'))
        self.cluster.run(3.0)
        self.assertEqual(['v1', 'v2'], self.members('v1'))
        self.assertEqual(['v1', 'v2'], self.fresh())

    def test_restarted_vm_joins_as_a_new_incarnation(self) -> None:
        """Guards against a successor that counts as its predecessor."""
        self.cluster.kill('v2')
        process = self.cluster.start('v2')
        self.cluster.run(3.0)
        self.assertTrue(process.agreement.evidence.is_member())
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh())

    def test_joining_vms_share_one_epoch(self) -> None:
        """Guards against one epoch, and one lapse of shares, for each VM."""
        for vm in ('v3', 'v4'):
            self.cluster.list_vm(vm)
            self.cluster.start(vm)
        self.cluster.run(4.0)
        self.assertEqual(2, self.node('v0').status()['epoch'])
        self.assertEqual(5, len(self.members('v4')))

    def test_leaving_vm_is_removed_at_once(self) -> None:
        """Guards against a planned stop that costs the suspicion time."""
        self.cluster.wait(self.node('v0').leave())
        self.cluster.run(0.5)
        self.assertEqual(['v1', 'v2'], self.members('v1'))

    def test_whole_fleet_replaced_at_once(self) -> None:
        """Guards against a fleet that waits for witnesses that are gone."""
        for vm in ('v0', 'v1', 'v2'):
            self.cluster.kill(vm)
        for vm in ('v0', 'v1', 'v2'):
            self.cluster.start(vm)
        self.cluster.run(10.0)
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh())
        self.assertTrue(self.accepts('v1', 0))

    def test_heartbeats_carry_parts_both_ways(self) -> None:
        """Guards against a part that only requests or answers bring."""
        part = self.cluster.processes['v1'].part
        self.assertEqual({'from': 'v2'}, part.received['v2'])

    def test_thawed_vm_does_not_remove_the_others(self) -> None:
        """Guards against taking its own freeze for the others' silence."""
        self.cluster.freeze('v0')
        self.cluster.run(3.0)
        self.cluster.thaw('v0')
        self.cluster.run(2.0)
        self.assertEqual(1, self.node('v1').status()['epoch'])

    def test_address_comes_from_list_and_survives_its_lag(self) -> None:
        """Guards against losing a peer that the list does not show."""
        self.cluster.vm_list.vms = [
            row for row in self.cluster.vm_list.vms if row.vm != 'v2'
        ]
        self.cluster.run(5.0)
        self.assertEqual('p:v2', self.node('v0').peer_url('v2'))
        self.assertEqual(['v0', 'v1', 'v2'], self.members('v0'))


class TestOutages(ClusterCase):
    """The fleet goes on where it may, and stops where it must."""

    def test_store_down_fleet_goes_on(self) -> None:
        """Guards against a store outage that stops the fleet."""
        self.cluster.store.down = True
        self.cluster.run(12.0)
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh())

    def test_store_down_and_vm_killed(self) -> None:
        """Guards against a fleet that needs every witness."""
        self.cluster.store.down = True
        self.cluster.kill('v0')
        self.cluster.run(12.0)
        self.assertEqual(['v1', 'v2'], self.fresh())

    def test_minority_without_store_lapses(self) -> None:
        """Guards against an isolated VM that acts on old views."""
        self.cluster.groups = {'v2': 1}
        self.cluster.store_cut = frozenset({'v2'})
        self.cluster.run(4.5)
        self.assertEqual(['v0', 'v1'], self.fresh())
        self.cluster.groups = {}
        self.cluster.store_cut = frozenset()
        self.cluster.run(5.0)
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh())
        self.assertEqual(['v0', 'v1', 'v2'], self.members('v2'))

    def test_majority_cut_from_store_goes_on(self) -> None:
        """Guards against a fleet that depends on the store's side."""
        self.cluster.groups = {'v2': 1}
        self.cluster.store_cut = frozenset({'v0', 'v1'})
        self.cluster.run(6.0)
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh())
        answer = self.cluster.wait(
            self.node('v2').submit_ticket(ticket_samples.withdrawal(2, 0))
        )
        self.assertEqual(errors.ErrorKind.NO_QUORUM, answer.unwrap_err().kind)

    def test_relayed_store_evidence_carries_a_cut_vm(self) -> None:
        """Guards against evidence that needs a majority when one peer has it.

        v2 reaches one peer only, which is no majority of five witnesses.
        """
        evidence = self.node('v2').evidence
        evidence.statements.clear()
        self.cluster.store_cut = frozenset({'v2'})
        self.cluster.run(6.0)
        evidence.statements.clear()
        self.assertTrue(self.node('v2').is_fresh(self.cluster.clock.now()))

    def test_vm_started_while_store_is_down_learns_from_peers(self) -> None:
        """Guards against a start that needs the store; it has no share."""
        self.cluster.store.down = True
        self.cluster.kill('v2')
        process = self.cluster.start('v2')
        self.cluster.run(6.0)
        self.assertTrue(self.accepts('v2', 0))
        self.assertEqual(0.0, process.share(self.cluster.clock.now()))

    def test_unfinished_proposal_is_fenced(self) -> None:
        """Guards against a proposer's death that restricts for ever."""
        self.cluster.store.delay_s = 0.8
        task = self.cluster.spawn(
            self.node('v0').submit_ticket(ticket_samples.withdrawal(2, 0))
        )
        pending = self.cluster.processes['v1'].views.pending
        for _ in range(100):
            pending = self.cluster.processes['v1'].views.pending
            if pending:
                break
            self.cluster.run(0.05)
        self.assertEqual(1, len(pending))
        self.cluster.freeze('v0')
        self.cluster.store.delay_s = 0.0
        self.assertFalse(self.accepts('v1', 0))
        self.cluster.run(10.0)
        # Only the rewrite can have ended the proposal: v0 never swapped.
        self.assertTrue(self.accepts('v1', 0))
        self.cluster.thaw('v0')
        self.cluster.run(8.0)
        self.assertTrue(task.done())


class TestTicketStates(ClusterCase):
    """What operators see of a ticket."""

    def test_accepted_after_acknowledgement(self) -> None:
        """Guards against acceptance that always waits for the lapse."""
        status = self.submit('v1', ticket_samples.withdrawal(2, 0))
        self.assertEqual(agreement.TicketState.COMMITTED, status.state)
        self.cluster.run(1.5)
        status = self.status('v1', 2)
        self.assertEqual(agreement.TicketState.ACCEPTED, status.state)
        self.assertFalse(self.accepts('v2', 0))

    def test_accepted_by_lapse_when_a_member_is_cut_off(self) -> None:
        """Guards against acceptance that a lost VM blocks."""
        self.cluster.groups = {'v2': 1}
        self.cluster.store_cut = frozenset({'v2'})
        self.submit('v1', ticket_samples.withdrawal(2, 0))
        self.cluster.run(2.0)
        state = self.status('v1', 2).state
        self.assertEqual(agreement.TicketState.COMMITTED, state)
        self.cluster.run(2.5)
        state = self.status('v1', 2).state
        self.assertEqual(agreement.TicketState.ACCEPTED, state)
        self.assertFalse(self.accepts('v2', 0))

    def test_accepted_only_when_a_guest_knows_it(self) -> None:
        """Guards against acceptance while a joining VM takes the key.

        v3 started while the store was down, so that no epoch names it.
        """
        self.cluster.store.down = True
        self.cluster.list_vm('v3')
        self.cluster.start('v3')
        self.cluster.run(4.0)
        self.assertTrue(self.accepts('v3', 0))
        self.cluster.store.down = False
        self.cluster.groups = {'v3': 1}
        self.cluster.store_cut = frozenset({'v3'})
        self.submit('v0', ticket_samples.withdrawal(2, 0))
        self.cluster.run(1.5)
        self.assertTrue(self.accepts('v3', 0))
        state = self.status('v0', 2).state
        self.assertEqual(agreement.TicketState.COMMITTED, state)
        self.cluster.run(3.0)
        self.assertFalse(self.accepts('v3', 0))
        state = self.status('v0', 2).state
        self.assertEqual(agreement.TicketState.ACCEPTED, state)

    def test_same_ticket_twice_gets_the_first_outcome(self) -> None:
        """Guards against a repeat that is refused or applied twice."""
        self.submit('v0', ticket_samples.withdrawal(2, 0))
        index = self.node('v0').views.index()
        self.cluster.run(1.0)
        self.submit('v1', ticket_samples.withdrawal(2, 0))
        self.assertEqual(index, self.node('v1').views.index())

    def test_operators_race(self) -> None:
        """Guards against two tickets under one number."""
        tasks = [
            self.cluster.spawn(
                self.node(f'v{key}').submit_ticket(
                    ticket_samples.withdrawal(2, key)
                )
            )
            for key in range(3)
        ]
        self.cluster.run(6.0)
        answers = [task.result() for task in tasks]
        kinds = [
            answer.unwrap_err().kind for answer in answers if answer.is_err()
        ]
        self.assertEqual([errors.ErrorKind.TICKET_CONFLICT] * 2, kinds)

    def test_lost_answer_is_resolved_by_reading(self) -> None:
        """Guards against a committed ticket that is reported refused."""
        shared = self.cluster.store
        shared.after_head = lambda: setattr(shared, 'lose_answers', 1)
        status = self.submit('v0', ticket_samples.withdrawal(2, 0))
        self.assertEqual(agreement.TicketState.COMMITTED, status.state)
        self.assertEqual(2, self.node('v0').status()['ticket'])

    def test_undecided_until_the_store_answers(self) -> None:
        """Guards against a guess about a swap whose answer was lost."""
        cut = frozenset({'v0', 'v1', 'v2'})
        self.cluster.store.after_head = lambda: setattr(
            self.cluster, 'store_cut', cut
        )
        task = self.cluster.spawn(
            self.node('v0').submit_ticket(ticket_samples.withdrawal(2, 0))
        )
        self.cluster.run(30.0)
        self.assertTrue(task.done())
        state = self.status('v0', 2).state
        self.assertEqual(agreement.TicketState.UNDECIDED, state)
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh())
        self.assertFalse(self.accepts('v1', 0))
        self.cluster.store_cut = frozenset()
        # The blocking read that was cut ends first, then the lapse follows.
        self.cluster.run(9.0)
        state = self.status('v0', 2).state
        self.assertEqual(agreement.TicketState.ACCEPTED, state)

    def status(self, vm: str, number: int) -> agreement.TicketStatus:
        """Return the state of a ticket that a VM must know."""
        found = self.node(vm).ticket_status(number)
        self.assertIsNotNone(found)
        return typing.cast(agreement.TicketStatus, found)
