"""Tests of the agreement systems of several VMs in a simulated cluster."""

import typing
import unittest

from filbertstep import agreement
from filbertstep import errors
from tests import agreement_cluster
from tests import ticket_samples


class ClusterCase(unittest.TestCase):
    """A cluster of three VMs with a committed first ticket."""

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
        """Submit a ticket, which must be committed."""
        answer = self.cluster.run_until_done(
            self.node(vm).submit_ticket(ticket)
        )
        return answer.unwrap()

    def fresh_vms(self) -> list[str]:
        """Return the VMs with fresh evidence."""
        now = self.cluster.clock.now()
        return [
            vm
            for vm, process in sorted(self.cluster.processes.items())
            if process.agreement.is_fresh(now)
        ]

    def accepts_key(self, vm: str, key: int) -> bool:
        """Return whether a VM would accept a request with a key."""
        process = self.cluster.processes[vm]
        now = self.cluster.clock.now()
        digest = ticket_samples.key_digest(key)
        return process.agreement.is_fresh(now) and (
            process.views.key_account(digest, now) is not None
        )

    def members(self, vm: str) -> list[str]:
        """Return the members of the newest epoch that a VM knows."""
        return list(self.node(vm).status()['members'])


class TestMembership(ClusterCase):
    """Epochs as VMs start, fail, restart and leave."""

    def test_first_epoch_has_all_listed_vms(self) -> None:
        """The first epoch must not have only some of the listed VMs."""
        self.assertEqual(['v0', 'v1', 'v2'], self.members('v1'))
        self.assertEqual(1, self.node('v2').status()['epoch'])
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh_vms())

    def test_killed_vm_is_not_live_then_removed(self) -> None:
        """A dead VM must not stay in look-up answers or keep its shares.

        It is not live after 2.5 s without heartbeats, and is no longer a
        member after about 4 s.
        """
        self.cluster.kill('v0')
        self.cluster.run(2.7)
        now = self.cluster.clock.now()
        live = [row.vm for row in self.node('v1').live_vms(now)]
        self.assertEqual(['v2'], live)
        self.assertEqual(['v0', 'v1', 'v2'], self.members('v1'))
        self.cluster.run(3.0)
        self.assertEqual(['v1', 'v2'], self.members('v1'))
        self.assertEqual(['v1', 'v2'], self.fresh_vms())

    def test_restarted_vm_joins_as_a_new_incarnation(self) -> None:
        """A restarted VM must not be taken for its former process."""
        self.cluster.kill('v2')
        process = self.cluster.start('v2')
        self.cluster.run(3.0)
        self.assertTrue(process.agreement.evidence.is_member())
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh_vms())

    def test_joining_vms_share_one_epoch(self) -> None:
        """VMs that join together must not cause one epoch change each.

        Each change of the epoch reduces the usable shares for some time.
        """
        for vm in ('v3', 'v4'):
            self.cluster.add_listed_vm(vm)
            self.cluster.start(vm)
        self.cluster.run(4.0)
        self.assertEqual(2, self.node('v0').status()['epoch'])
        self.assertEqual(5, len(self.members('v4')))

    def test_leaving_vm_is_removed_at_once(self) -> None:
        """Removal after a planned stop must not wait for missed heartbeats."""
        self.cluster.run_until_done(self.node('v0').leave())
        self.cluster.run(0.5)
        self.assertEqual(['v1', 'v2'], self.members('v1'))

    def test_whole_fleet_replaced_at_once(self) -> None:
        """New processes must not wait for witnesses that no longer exist."""
        for vm in ('v0', 'v1', 'v2'):
            self.cluster.kill(vm)
        for vm in ('v0', 'v1', 'v2'):
            self.cluster.start(vm)
        self.cluster.run(10.0)
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh_vms())
        self.assertTrue(self.accepts_key('v1', 0))

    def test_heartbeats_carry_parts_both_ways(self) -> None:
        """Data of other systems must be in both requests and answers."""
        part = self.cluster.processes['v1'].part
        self.assertEqual({'from': 'v2'}, part.received['v2'])

    def test_thawed_vm_does_not_remove_the_others(self) -> None:
        """A VM must not mistake its own freeze for failures of the others."""
        self.cluster.freeze('v0')
        self.cluster.run(3.0)
        self.cluster.thaw('v0')
        self.cluster.run(2.0)
        self.assertEqual(1, self.node('v1').status()['epoch'])

    def test_peer_url_comes_from_list_and_is_kept(self) -> None:
        """A live VM that the list lacks must stay reachable and a member."""
        self.cluster.vm_list.vms = [
            row for row in self.cluster.vm_list.vms if row.vm != 'v2'
        ]
        self.cluster.run(5.0)
        self.assertEqual('p:v2', self.node('v0').peer_url('v2'))
        self.assertEqual(['v0', 'v1', 'v2'], self.members('v0'))


class TestOutages(ClusterCase):
    """Which VMs may act during outages and partitions."""

    def test_fleet_stays_fresh_while_store_is_down(self) -> None:
        """An outage of the store must not stop the fleet."""
        self.cluster.store.down = True
        self.cluster.run(12.0)
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh_vms())

    def test_fleet_stays_fresh_without_store_and_one_vm(self) -> None:
        """Witness evidence must not need every witness."""
        self.cluster.store.down = True
        self.cluster.kill('v0')
        self.cluster.run(12.0)
        self.assertEqual(['v1', 'v2'], self.fresh_vms())

    def test_minority_without_store_is_not_fresh(self) -> None:
        """An isolated VM must not act on an outdated configuration."""
        self.cluster.partition_of_vm = {'v2': 1}
        self.cluster.vms_without_store = frozenset({'v2'})
        self.cluster.run(4.5)
        self.assertEqual(['v0', 'v1'], self.fresh_vms())
        self.cluster.partition_of_vm = {}
        self.cluster.vms_without_store = frozenset()
        self.cluster.run(5.0)
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh_vms())
        self.assertEqual(['v0', 'v1', 'v2'], self.members('v2'))

    def test_majority_without_store_stays_fresh(self) -> None:
        """A majority without the store stays fresh by witness evidence.

        The VM with the store can commit nothing without a majority.
        """
        self.cluster.partition_of_vm = {'v2': 1}
        self.cluster.vms_without_store = frozenset({'v0', 'v1'})
        self.cluster.run(6.0)
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh_vms())
        answer = self.cluster.run_until_done(
            self.node('v2').submit_ticket(ticket_samples.withdrawal(2, 0))
        )
        self.assertEqual(errors.ErrorKind.NO_QUORUM, answer.unwrap_err().kind)

    def test_relayed_store_evidence_keeps_vm_fresh(self) -> None:
        """Store evidence relayed by a peer must suffice without a majority.

        v2 cannot reach the store, and its witness statements are cleared.
        """
        evidence = self.node('v2').evidence
        evidence.statements.clear()
        self.cluster.vms_without_store = frozenset({'v2'})
        self.cluster.run(6.0)
        evidence.statements.clear()
        self.assertTrue(self.node('v2').is_fresh(self.cluster.clock.now()))

    def test_vm_started_while_store_is_down_learns_from_peers(self) -> None:
        """A VM must be able to start while the store is down.

        It learns the configuration from peers, but has no share, because no
        epoch has it as a member.
        """
        self.cluster.store.down = True
        self.cluster.kill('v2')
        process = self.cluster.start('v2')
        self.cluster.run(6.0)
        self.assertTrue(self.accepts_key('v2', 0))
        self.assertEqual(0.0, process.usable_share(self.cluster.clock.now()))

    def test_unfinished_proposal_is_fenced(self) -> None:
        """A proposal must not restrict the other VMs for ever.

        The proposer is frozen after a witness promised and before the swap,
        which a slow store delays.
        """
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
        self.assertFalse(self.accepts_key('v1', 0))
        self.cluster.run(10.0)
        # v0 has not replaced the head, so only fencing ended the proposal.
        self.assertTrue(self.accepts_key('v1', 0))
        self.cluster.thaw('v0')
        self.cluster.run(8.0)
        self.assertTrue(task.done())


class TestTicketStates(ClusterCase):
    """The status of a ticket that operators see."""

    def test_accepted_after_acknowledgement(self) -> None:
        """A ticket that all VMs know is accepted before evidence expires."""
        status = self.submit('v1', ticket_samples.withdrawal(2, 0))
        self.assertEqual(agreement.TicketState.COMMITTED, status.state)
        self.cluster.run(1.5)
        status = self.ticket_status('v1', 2)
        self.assertEqual(agreement.TicketState.ACCEPTED, status.state)
        self.assertFalse(self.accepts_key('v2', 0))

    def test_accepted_when_evidence_of_cut_off_member_expired(self) -> None:
        """An unreachable member must not block the acceptance of a ticket.

        The ticket is accepted once the member's evidence must have expired.
        """
        self.cluster.partition_of_vm = {'v2': 1}
        self.cluster.vms_without_store = frozenset({'v2'})
        self.submit('v1', ticket_samples.withdrawal(2, 0))
        self.cluster.run(2.0)
        state = self.ticket_status('v1', 2).state
        self.assertEqual(agreement.TicketState.COMMITTED, state)
        self.cluster.run(2.5)
        state = self.ticket_status('v1', 2).state
        self.assertEqual(agreement.TicketState.ACCEPTED, state)
        self.assertFalse(self.accepts_key('v2', 0))

    def test_accepted_only_when_a_non_member_knows_it(self) -> None:
        """A ticket must not be accepted while a non-member accepts the key.

        v3 is not a member, because it started while the store was down.
        """
        self.cluster.store.down = True
        self.cluster.add_listed_vm('v3')
        self.cluster.start('v3')
        self.cluster.run(4.0)
        self.assertTrue(self.accepts_key('v3', 0))
        self.cluster.store.down = False
        self.cluster.partition_of_vm = {'v3': 1}
        self.cluster.vms_without_store = frozenset({'v3'})
        self.submit('v0', ticket_samples.withdrawal(2, 0))
        self.cluster.run(1.5)
        self.assertTrue(self.accepts_key('v3', 0))
        state = self.ticket_status('v0', 2).state
        self.assertEqual(agreement.TicketState.COMMITTED, state)
        self.cluster.run(3.0)
        self.assertFalse(self.accepts_key('v3', 0))
        state = self.ticket_status('v0', 2).state
        self.assertEqual(agreement.TicketState.ACCEPTED, state)

    def test_same_ticket_twice_is_committed_once(self) -> None:
        """A ticket submitted again must be neither refused nor reapplied."""
        self.submit('v0', ticket_samples.withdrawal(2, 0))
        index = self.node('v0').views.head_index()
        self.cluster.run(1.0)
        self.submit('v1', ticket_samples.withdrawal(2, 0))
        self.assertEqual(index, self.node('v1').views.head_index())

    def test_concurrent_tickets_with_same_number(self) -> None:
        """Of tickets with the same number, only one must be committed."""
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

    def test_lost_answer_to_swap_is_resolved_by_read(self) -> None:
        """A committed ticket must not be reported as refused.

        The store's answer to the swap is lost.
        """
        shared = self.cluster.store
        shared.on_next_head_write = lambda: setattr(shared, 'lose_answers', 1)
        status = self.submit('v0', ticket_samples.withdrawal(2, 0))
        self.assertEqual(agreement.TicketState.COMMITTED, status.state)
        self.assertEqual(2, self.node('v0').status()['ticket'])

    def test_undecided_until_the_store_answers(self) -> None:
        """A ticket with unknown outcome must be undecided, not guessed.

        The store becomes unreachable right after the swap.
        """
        cut = frozenset({'v0', 'v1', 'v2'})
        self.cluster.store.on_next_head_write = lambda: setattr(
            self.cluster, 'vms_without_store', cut
        )
        task = self.cluster.spawn(
            self.node('v0').submit_ticket(ticket_samples.withdrawal(2, 0))
        )
        self.cluster.run(30.0)
        self.assertTrue(task.done())
        state = self.ticket_status('v0', 2).state
        self.assertEqual(agreement.TicketState.UNDECIDED, state)
        self.assertEqual(['v0', 'v1', 'v2'], self.fresh_vms())
        self.assertFalse(self.accepts_key('v1', 0))
        self.cluster.vms_without_store = frozenset()
        # The interrupted blocking read must end first, and then the evidence
        # must expire.
        self.cluster.run(9.0)
        state = self.ticket_status('v0', 2).state
        self.assertEqual(agreement.TicketState.ACCEPTED, state)

    def ticket_status(self, vm: str, number: int) -> agreement.TicketStatus:
        """Return the status of a ticket that a VM must know."""
        found = self.node(vm).ticket_status(number)
        self.assertIsNotNone(found)
        return typing.cast(agreement.TicketStatus, found)
