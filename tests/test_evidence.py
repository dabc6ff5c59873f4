"""Tests of the evidence and the promises of one VM."""

import typing
import unittest

from filbertstep import agreement
from filbertstep import config

LIFETIME_S: typing.Final = config.EVIDENCE_LIFETIME_S


def identity(vm: str, incarnation: str = 'x') -> agreement.Identity:
    """Return the identity of a process."""
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
    """Return a head without sections for an epoch."""
    head = config.empty_head()
    head['epoch'] = doc
    head['ticket'] = ticket
    return head


class EvidenceCase(unittest.TestCase):
    """VM v0 of an epoch of three VMs, which knows head index 10."""

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
        self.views.add_view(config.make_view(index, doc, {}), now)

    def record_statement(
        self,
        vm: str,
        time: float,
        index: int = 10,
        pending: dict[str, int] | None = None,
        incarnation: str = 'x',
    ) -> None:
        """Record a statement of a process in an answer."""
        self.evidence.record_statement(
            vm, incarnation, agreement.Statement(index, pending or {}, time)
        )


class TestEvidence(EvidenceCase):
    """Which evidence is usable, and for how long."""

    def test_nothing_known_is_not_fresh(self) -> None:
        """A VM must not act on its first view without any evidence."""
        self.assertFalse(self.evidence.is_fresh(0.0))

    def test_store_evidence_lapses(self) -> None:
        """Evidence must not be used at exactly its lifetime or later."""
        self.evidence.record_store_read(10, 1.0)
        self.assertTrue(self.evidence.is_fresh(1.0 + LIFETIME_S - 0.01))
        self.assertFalse(self.evidence.is_fresh(1.0 + LIFETIME_S))

    def test_store_evidence_of_unknown_head_does_not_count(self) -> None:
        """Evidence of an unknown newer head must not renew the known view."""
        self.evidence.record_store_read(10, 1.0)
        self.evidence.record_store_read(11, 4.0)
        self.assertEqual(2.0, self.evidence.age_s(3.0))
        self.assertFalse(self.evidence.is_fresh(5.0))
        self.learn(11, head_doc(epoch_doc(1, 'v0', 'v1', 'v2'), 1), 5.0)
        self.assertEqual(1.0, self.evidence.age_s(5.0))

    def test_relayed_age_counts_from_the_request(self) -> None:
        """A slow answer must not make relayed evidence look younger."""
        self.evidence.record_relayed_store_read(10, 1.5, 5.0)
        self.assertEqual(6.5, self.evidence.age_s(10.0))

    def test_own_vm_counts_as_witness(self) -> None:
        """This VM must count exactly once as a witness."""
        self.record_statement('v1', 2.0)
        self.assertEqual(1.0, self.evidence.age_s(3.0))

    def test_statement_of_a_restarted_vm_does_not_count(self) -> None:
        """A restarted witness has lost its promises and must not count."""
        self.record_statement('v1', 2.0, incarnation='y')
        self.assertFalse(self.evidence.is_fresh(2.0))

    def test_statement_of_a_newer_head_does_not_count(self) -> None:
        """A witness that knows a newer head must not count."""
        self.record_statement('v1', 2.0, index=11)
        self.assertFalse(self.evidence.is_fresh(2.0))

    def test_older_statement_still_counts(self) -> None:
        """A statement with an unknown proposal must not undo earlier ones."""
        self.record_statement('v1', 1.0)
        self.record_statement('v1', 2.0, pending={'p': 10})
        self.assertEqual(2.0, self.evidence.age_s(3.0))

    def test_late_statement_does_not_replace_a_newer_one(self) -> None:
        """An older answer that arrives later must not replace a newer one."""
        self.record_statement('v1', 2.0)
        self.record_statement('v1', 1.0)
        self.assertEqual(1.0, self.evidence.age_s(3.0))

    def test_unknown_pending_proposal_blocks_until_known(self) -> None:
        """A proposal known only to witnesses must make evidence unusable.

        The proposal may already have replaced the head.
        """
        proposal = config.Proposal(
            10, head_doc(epoch_doc(2, 'v0', 'v1', 'v2')), {}
        )
        pending = {config.proposal_id(proposal): 10}
        self.record_statement('v1', 2.0, pending=pending)
        self.assertFalse(self.evidence.is_fresh(2.0))
        self.proposals.add(proposal, 2.0)
        self.assertTrue(self.evidence.is_fresh(2.0))

    def test_pending_epoch_needs_its_own_majority(self) -> None:
        """Evidence must also come from a pending epoch's witnesses.

        The pending epoch, of v0, v3 and v4, may already be in force.  So a
        statement of v3 or v4 is needed, not only those of v1 and v2.
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
        """A non-member must not use store evidence.

        Only witness evidence makes tickets wait for its acknowledgement.
        """
        non_member = agreement.Evidence(identity('v9'), self.views)
        non_member.record_store_read(10, 1.0)
        self.assertFalse(non_member.is_fresh(1.0))
        for vm in ('v0', 'v1'):
            non_member.record_statement(
                vm, 'x', agreement.Statement(10, {}, 1.0)
            )
        self.assertTrue(non_member.is_fresh(1.0))


class TestPromises(EvidenceCase):
    """What a witness promises and what a proposer counts."""

    def proposal(self, base: int, ticket: int = 1) -> config.Proposal:
        """Return a proposal of a ticket on a base index."""
        doc = head_doc(epoch_doc(1, 'v0', 'v1', 'v2'), ticket)
        return config.Proposal(base, doc, {})

    def test_promise_makes_pending_until_a_newer_head(self) -> None:
        """Statements must mention a promised proposal until it is decided."""
        answer = self.proposals.promise(self.proposal(10), 0.0)
        self.assertTrue(answer['promised'])
        self.assertEqual(
            [10], list(self.proposals.pending_base_indexes().values())
        )
        self.learn(11, self.proposal(10).head, 1.0)
        self.assertEqual({}, self.proposals.pending_base_indexes())

    def test_outdated_base_is_refused_with_known_index(self) -> None:
        """A proposal on an outdated base must not be promised.

        Its swap would fail.
        """
        answer = self.proposals.promise(self.proposal(9), 0.0)
        self.assertFalse(answer['promised'])
        self.assertEqual(10, answer['head_index'])

    def test_missing_section_is_asked_for(self) -> None:
        """A proposal must not be promised while its sections are missing."""
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

    def test_non_members_are_reported_while_evidence_lasts(self) -> None:
        """A ticket must not be accepted before a non-member knows it.

        Witnesses report non-members while these may have evidence.
        """
        self.proposals.record_statement_sent('v1', 'x', 1.0)
        self.proposals.record_statement_sent('v9', 'x', 1.0)
        answer = self.proposals.promise(self.proposal(10), 2.0)
        self.assertEqual([('v9', 'x')], answer['guests'])
        answer = self.proposals.promise(self.proposal(10), 1.0 + LIFETIME_S)
        self.assertEqual([], answer['guests'])

    def test_overdue_after_the_timeout(self) -> None:
        """A proposal must not stay pending for ever."""
        self.proposals.promise(self.proposal(10), 0.0)
        self.assertEqual([], self.proposals.overdue(2.9))
        self.assertEqual([self.proposal(10)], self.proposals.overdue(3.0))

    def test_only_missing_proposals_are_sent(self) -> None:
        """Heartbeats must not repeat proposals that the peer knows."""
        self.proposals.promise(self.proposal(10), 0.0)
        known = self.proposals.pending_base_indexes()
        self.assertEqual(1, len(self.proposals.proposals_for_peer({}, 10)))
        self.assertEqual([], self.proposals.proposals_for_peer(known, 10))
        self.assertEqual([], self.proposals.proposals_for_peer({}, 11))

    def test_tally_needs_a_majority_of_witnesses(self) -> None:
        """The head must not be swapped with too few promises.

        Only promises of witnesses count, each once.  A promise of a restarted
        witness counts, but its list of non-members is incomplete.
        """
        assert self.views.newest is not None
        tally = agreement.PromiseTally(self.views.newest.epoch)
        answer = self.proposals.promise(self.proposal(10), 0.0)
        tally.record_answer('v9', answer)
        tally.record_answer('v0', answer)
        tally.record_answer('v0', answer)
        self.assertFalse(tally.has_majority())
        tally.record_answer('v1', {**answer, 'promised': False})
        self.assertFalse(tally.has_majority())
        tally.record_answer('v1', {**answer, 'incarnation': 'y'})
        self.assertTrue(tally.has_majority())
        self.assertFalse(tally.non_members_complete)

    def test_absent_vm_counts_as_promised(self) -> None:
        """VMs that no longer exist must not block commits."""
        assert self.views.newest is not None
        tally = agreement.PromiseTally(self.views.newest.epoch)
        tally.record_answer(
            'v0', self.proposals.promise(self.proposal(10), 0.0)
        )
        tally.record_absent('v2')
        self.assertTrue(tally.has_majority())
        self.assertFalse(tally.non_members_complete)
