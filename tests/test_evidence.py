"""Tests of evidence and promises of one VM."""

import typing
import unittest

from filbertstep import agreement
from filbertstep import config

LIFETIME_S: typing.Final = config.EVIDENCE_LIFETIME_S


def identity(vm: str, incarnation: str = 'x') -> agreement.Identity:
    """Return a process's identity."""
    return agreement.Identity(vm, incarnation, 'a', 'a1', '', '')


def epoch_doc(number: int, *vms: str) -> config.EpochDoc:
    """Return an epoch whose members are all witnesses."""
    members: list[config.MemberDoc] = [
        {
            'vm': vm,
            'incarnation': 'x',
            'region': 'a',
            'availability_zone': 'a1',
        }
        for vm in vms
    ]
    return {'number': number, 'members': members, 'witnesses': list(vms)}


def head_doc(doc: config.EpochDoc, ticket: int = 0) -> config.HeadDoc:
    """Return a head without sections."""
    made = config.empty_head()
    made['epoch'] = doc
    made['ticket'] = ticket
    return made


class EvidenceCase(unittest.TestCase):
    """VM v0 of an epoch of three at head index 10."""

    def setUp(self) -> None:
        """Learn the head."""
        self.views = config.ViewTable()
        self.proposals = agreement.ProposalTable(
            identity('v0'), self.views, agreement.SectionCache()
        )
        self.evidence = agreement.Evidence(identity('v0'), self.views)
        self.learn(10, head_doc(epoch_doc(1, 'v0', 'v1', 'v2')), 0.0)

    def learn(self, index: int, doc: config.HeadDoc, now: float) -> None:
        """Learn a head."""
        self.views.learn(config.make_view(index, doc, {}), now)

    def record_statement(
        self,
        vm: str,
        time: float,
        index: int = 10,
        pending: dict[str, int] | None = None,
        incarnation: str = 'x',
    ) -> None:
        """Take a statement."""
        self.evidence.record_statement(
            vm, incarnation, agreement.Statement(index, pending or {}, time)
        )


class TestEvidence(EvidenceCase):
    """Which evidence counts, and for how long."""

    def test_nothing_known_is_not_fresh(self) -> None:
        """Guards against acting on a first view without evidence."""
        self.assertFalse(self.evidence.is_fresh(0.0))

    def test_store_evidence_lapses(self) -> None:
        """Guards against evidence that is used at its exact lifetime."""
        self.evidence.record_store_read(10, 1.0)
        self.assertTrue(self.evidence.is_fresh(1.0 + LIFETIME_S - 0.01))
        self.assertFalse(self.evidence.is_fresh(1.0 + LIFETIME_S))

    def test_store_evidence_of_unknown_head_does_not_count(self) -> None:
        """Guards against acting on a view that is known to be replaced."""
        self.evidence.record_store_read(10, 1.0)
        self.evidence.record_store_read(11, 4.0)
        self.assertEqual(2.0, self.evidence.age_s(3.0))
        self.assertFalse(self.evidence.is_fresh(5.0))
        self.learn(11, head_doc(epoch_doc(1, 'v0', 'v1', 'v2'), 1), 5.0)
        self.assertEqual(1.0, self.evidence.age_s(5.0))

    def test_relayed_age_counts_from_the_question(self) -> None:
        """Guards against a slow answer that makes evidence younger."""
        self.evidence.record_relayed_store_read(10, 1.5, 5.0)
        self.assertEqual(6.5, self.evidence.age_s(10.0))

    def test_majority_with_itself(self) -> None:
        """Guards against a missing or a double count of the own VM."""
        self.record_statement('v1', 2.0)
        self.assertEqual(1.0, self.evidence.age_s(3.0))

    def test_statement_of_a_successor_does_not_count(self) -> None:
        """Guards against a witness that forgot its promises."""
        self.record_statement('v1', 2.0, incarnation='y')
        self.assertFalse(self.evidence.is_fresh(2.0))

    def test_statement_of_a_newer_head_does_not_count(self) -> None:
        """Guards against counting a witness that knows better."""
        self.record_statement('v1', 2.0, index=11)
        self.assertFalse(self.evidence.is_fresh(2.0))

    def test_older_statement_still_counts(self) -> None:
        """Guards against losing evidence to a statement not understood."""
        self.record_statement('v1', 1.0)
        self.record_statement('v1', 2.0, pending={'p': 10})
        self.assertEqual(2.0, self.evidence.age_s(3.0))

    def test_late_statement_does_not_replace_a_newer_one(self) -> None:
        """Guards against answers that arrive in another order."""
        self.record_statement('v1', 2.0)
        self.record_statement('v1', 1.0)
        self.assertEqual(1.0, self.evidence.age_s(3.0))

    def test_unknown_pending_proposal_blocks_until_known(self) -> None:
        """Guards against a swap that the witnesses knew of beforehand."""
        proposal = config.Proposal(
            10, head_doc(epoch_doc(2, 'v0', 'v1', 'v2')), {}
        )
        pending = {config.proposal_id(proposal): 10}
        self.record_statement('v1', 2.0, pending=pending)
        self.assertFalse(self.evidence.is_fresh(2.0))
        self.proposals.add(proposal, 2.0)
        self.assertTrue(self.evidence.is_fresh(2.0))

    def test_pending_epoch_needs_its_own_majority(self) -> None:
        """Guards against evidence from an epoch that may be replaced.

        Of v0, v3 and v4 another one must speak, not only v1 and v2.
        """
        self.proposals.add(
            config.Proposal(10, head_doc(epoch_doc(2, 'v0', 'v3', 'v4')), {}),
            2.0,
        )
        self.record_statement('v1', 2.0)
        self.record_statement('v2', 2.0)
        self.assertFalse(self.evidence.is_fresh(2.0))
        self.record_statement('v3', 2.0)
        self.assertTrue(self.evidence.is_fresh(2.0))

    def test_process_outside_the_epoch_needs_witnesses(self) -> None:
        """Guards against a process that no acknowledgement waits for."""
        guest = agreement.Evidence(identity('v9'), self.views)
        guest.record_store_read(10, 1.0)
        self.assertFalse(guest.is_fresh(1.0))
        for vm in ('v0', 'v1'):
            guest.record_statement(vm, 'x', agreement.Statement(10, {}, 1.0))
        self.assertTrue(guest.is_fresh(1.0))


class TestPromises(EvidenceCase):
    """What a witness promises and a proposer counts."""

    def proposal(self, base: int, ticket: int = 1) -> config.Proposal:
        """Return a proposal of a ticket."""
        doc = head_doc(epoch_doc(1, 'v0', 'v1', 'v2'), ticket)
        return config.Proposal(base, doc, {})

    def test_promise_makes_pending_until_a_newer_head(self) -> None:
        """Guards against statements without a promised proposal."""
        answer = self.proposals.promise(self.proposal(10), 0.0)
        self.assertTrue(answer['promised'])
        self.assertEqual(
            [10], list(self.proposals.pending_base_indexes().values())
        )
        self.learn(11, self.proposal(10).head, 1.0)
        self.assertEqual({}, self.proposals.pending_base_indexes())

    def test_old_base_is_refused_with_the_known_index(self) -> None:
        """Guards against promises for a swap that must fail."""
        answer = self.proposals.promise(self.proposal(9), 0.0)
        self.assertFalse(answer['promised'])
        self.assertEqual(10, answer['head_index'])

    def test_missing_section_is_asked_for(self) -> None:
        """Guards against a promise for a view that cannot be evaluated."""
        content = {'a': {'availability_zones': ['a1']}}
        key = config.section_key('region/0', content)
        proposal = self.proposal(10)
        proposal.head['sections'] = {'region/0': key}
        answer = self.proposals.promise(proposal, 0.0)
        self.assertEqual(
            (False, [key]), (answer['promised'], answer['missing'])
        )
        wrong = proposal._replace(sections={key: {}})
        self.assertFalse(self.proposals.promise(wrong, 0.0)['promised'])
        full = proposal._replace(sections={key: content})
        self.assertTrue(self.proposals.promise(full, 0.0)['promised'])

    def test_guests_are_reported_while_their_evidence_lives(self) -> None:
        """Guards against acceptance before a guest knows a ticket."""
        self.proposals.record_statement_sent('v1', 'x', 1.0)
        self.proposals.record_statement_sent('v9', 'x', 1.0)
        answer = self.proposals.promise(self.proposal(10), 2.0)
        self.assertEqual([('v9', 'x')], answer['guests'])
        answer = self.proposals.promise(self.proposal(10), 1.0 + LIFETIME_S)
        self.assertEqual([], answer['guests'])

    def test_overdue_after_the_timeout(self) -> None:
        """Guards against a proposal that is pending for ever."""
        self.proposals.promise(self.proposal(10), 0.0)
        self.assertEqual([], self.proposals.overdue(2.9))
        self.assertEqual([self.proposal(10)], self.proposals.overdue(3.0))

    def test_only_lacking_proposals_are_sent(self) -> None:
        """Guards against proposals repeated in each heartbeat."""
        self.proposals.promise(self.proposal(10), 0.0)
        known = self.proposals.pending_base_indexes()
        self.assertEqual(1, len(self.proposals.proposals_for_peer({}, 10)))
        self.assertEqual([], self.proposals.proposals_for_peer(known, 10))
        self.assertEqual([], self.proposals.proposals_for_peer({}, 11))

    def test_round_needs_a_majority_of_witnesses(self) -> None:
        """Guards against a swap with too few promises."""
        assert self.views.newest is not None
        votes = agreement.PromiseTally(self.views.newest.epoch)
        answer = self.proposals.promise(self.proposal(10), 0.0)
        votes.record_answer('v9', answer)
        votes.record_answer('v0', answer)
        votes.record_answer('v0', answer)
        self.assertFalse(votes.has_majority())
        votes.record_answer('v1', {**answer, 'promised': False})
        self.assertFalse(votes.has_majority())
        votes.record_answer('v1', {**answer, 'incarnation': 'y'})
        self.assertTrue(votes.has_majority())
        self.assertFalse(votes.non_members_complete)

    def test_absent_vm_counts_as_promised(self) -> None:
        """Guards against a fleet blocked by VMs that no longer exist."""
        assert self.views.newest is not None
        votes = agreement.PromiseTally(self.views.newest.epoch)
        votes.record_answer(
            'v0', self.proposals.promise(self.proposal(10), 0.0)
        )
        votes.record_absent('v2')
        self.assertTrue(votes.has_majority())
        self.assertFalse(votes.non_members_complete)
