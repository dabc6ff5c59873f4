"""Promises: a majority of witnesses knows a proposal before it takes effect.

A witness that promises a proposal records it as pending.  From then on it
mentions the proposal in every statement, until it knows a head index above
the proposal's base index.  A proposer replaces the head only after a majority
of the witnesses promised.  So every VM with witness evidence younger than the
replacement knows the proposal.
"""

import typing

import result

from filbertstep import _evidence
from filbertstep import codec
from filbertstep import config

# After this time a pending proposal is fenced if its base is still the newest
# head.  A commit takes well below a second, so a proposer that takes longer is
# dead, frozen or cut off from the store.
PROPOSAL_TIMEOUT_S: typing.Final = 3.0


class PromiseRequestDoc(typing.TypedDict):
    """Request for a promise."""

    proposal: config.ProposalDoc


class PromiseAnswerDoc(typing.TypedDict):
    """Answer to a request for a promise.

    ``missing`` has the keys of the sections that the witness needs before it
    can promise.  ``guests`` has (VM, incarnation) of each process outside the
    proposal's epoch to which the witness made a statement within
    ``EVIDENCE_LIFETIME_S``.
    """

    incarnation: str
    promised: bool
    head_index: int
    missing: list[str]
    guests: list[tuple[str, str]]


class SectionCache:
    """Cache of immutable section documents by their store key."""

    def __init__(self) -> None:
        self.sections: config.Sections = {}

    def missing_keys(self, head: config.HeadDoc) -> list[str]:
        """Return the keys of a head's sections that are not in the cache."""
        return sorted(
            key
            for key in head['sections'].values()
            if key not in self.sections
        )

    def add(self, sections: config.Sections) -> None:
        """Add sections; ignore those whose content does not match the key."""
        for key, content in sections.items():
            name = key.removeprefix(config.SECTION_PREFIX).rpartition('/')[0]
            if config.section_key(name, content) == key:
                self.sections[key] = content

    def keep_referenced(self, heads: list[config.HeadDoc]) -> None:
        """Drop sections that none of the heads refers to."""
        named = {key for head in heads for key in head['sections'].values()}
        self.sections = {
            key: content
            for key, content in self.sections.items()
            if key in named
        }


class ProposalTable:
    """Pending proposals that this VM knows, and its role as a witness."""

    def __init__(
        self,
        identity: _evidence.Identity,
        views: config.ViewTable,
        section_cache: SectionCache,
    ) -> None:
        self.identity = identity
        self.views = views
        self.section_cache = section_cache
        self.first_seen: dict[str, float] = {}
        # When this VM last sent a statement to each process.
        self.statement_sent_at: dict[tuple[str, str], float] = {}

    def add(self, proposal: config.Proposal, now: float) -> list[str]:
        """Add a pending proposal; return the keys of missing sections.

        The proposal is not added when it is already known or decided, or when
        sections are missing.
        """
        if proposal.base_index < self.views.head_index():
            return []
        proposal_id = config.proposal_id(proposal)
        if proposal_id in self.views.pending:
            return []
        self.section_cache.add(proposal.sections)
        missing = self.section_cache.missing_keys(proposal.head)
        if missing:
            return missing
        view = config.make_view(
            proposal.base_index, proposal.head, self.section_cache.sections
        )
        self.views.add_proposal(proposal, view)
        self.first_seen.setdefault(proposal_id, now)
        return []

    def promise(
        self, proposal: config.Proposal, now: float
    ) -> PromiseAnswerDoc:
        """Answer a proposer: promise unless this VM knows a newer head."""
        missing = self.add(proposal, now)
        index = self.views.head_index()
        return {
            'incarnation': self.identity.incarnation,
            'promised': not missing and proposal.base_index >= index,
            'head_index': index,
            'missing': missing,
            'guests': self.recent_non_members(proposal.head['epoch'], now),
        }

    def record_statement_sent(
        self, vm: str, incarnation: str, now: float
    ) -> None:
        """Record that this VM sends a statement to a process."""
        self.statement_sent_at[(vm, incarnation)] = now

    def recent_non_members(
        self, epoch: config.EpochDoc, now: float
    ) -> list[tuple[str, str]]:
        """Return the processes outside an epoch that may have evidence.

        A ticket is in force everywhere only when these know it too.  The
        result has (VM, incarnation) of each.
        """
        oldest = now - config.EVIDENCE_LIFETIME_S
        self.statement_sent_at = {
            process: time
            for process, time in self.statement_sent_at.items()
            if time > oldest
        }
        members = {
            (member['vm'], member['incarnation'])
            for member in epoch['members']
        }
        return sorted(set(self.statement_sent_at) - members)

    def pending_base_indexes(self) -> dict[str, int]:
        """Return the base index of each pending proposal by its id."""
        return {
            proposal_id: proposal.base_index
            for proposal_id, (proposal, _) in self.views.pending.items()
        }

    def proposals_for_peer(
        self, known: dict[str, int], head_index: int
    ) -> list[config.ProposalDoc]:
        """Return the pending proposals to send to a peer.

        ``known`` maps the ids of the proposals that the peer knows to their
        base indexes, ``head_index`` is the index of its newest head.  The
        result excludes proposals that are decided at that head, and sections
        of the newest head here, which the peer gets when it catches up.
        """
        return [
            proposal_doc(self.with_new_sections(proposal))
            for proposal_id, (proposal, _) in self.views.pending.items()
            if proposal_id not in known and proposal.base_index >= head_index
        ]

    def with_new_sections(self, proposal: config.Proposal) -> config.Proposal:
        """Return a proposal with its sections that the newest head lacks."""
        newest = self.views.newest
        held = set(newest.head['sections'].values()) if newest else set()
        sections = {
            key: self.section_cache.sections[key]
            for key in proposal.head['sections'].values()
            if key not in held and key in self.section_cache.sections
        }
        return proposal._replace(sections=sections)

    def overdue(self, now: float) -> list[config.Proposal]:
        """Return the proposals to fence; drop the times of decided ones."""
        pending = self.views.pending
        self.first_seen = {
            proposal_id: self.first_seen.get(proposal_id, now)
            for proposal_id in pending
        }
        return [
            pending[proposal_id][0]
            for proposal_id, seen in self.first_seen.items()
            if now - seen >= PROPOSAL_TIMEOUT_S
        ]


class PromiseTally:
    """A proposer's record of the promises for one proposal.

    ``non_members`` collects the processes outside the epoch that the witnesses
    reported.  It has every such process that may have witness evidence only
    while ``non_members_complete`` is true, that is, while all promises came
    from the incarnations that the epoch names.  A restarted witness does not
    know to whom it made statements before the restart.
    """

    def __init__(self, epoch: config.Epoch) -> None:
        self.epoch = epoch
        self.promised: set[str] = set()
        self.non_members: set[tuple[str, str]] = set()
        self.non_members_complete = True
        self.highest_index = 0

    def record_answer(self, vm: str, answer: PromiseAnswerDoc) -> None:
        """Count an answer of a witness, also of a restarted one."""
        self.highest_index = max(self.highest_index, answer['head_index'])
        if not answer['promised'] or vm not in self.epoch.witnesses:
            return
        self.promised.add(vm)
        self.non_members.update((name, inc) for name, inc in answer['guests'])
        if not self.epoch.has_member(vm, answer['incarnation']):
            self.non_members_complete = False

    def record_absent(self, vm: str) -> None:
        """Count a witness as promised whose VM no longer exists."""
        if vm in self.epoch.witnesses and vm not in self.promised:
            self.promised.add(vm)
            self.non_members_complete = False

    def possibly_fresh_processes(self) -> set[tuple[str, str]]:
        """Return the processes that may still act on the former head."""
        members = {
            (member.vm, member.incarnation)
            for member in self.epoch.members.values()
        }
        return members | self.non_members

    def has_majority(self) -> bool:
        """Return whether a majority promised; true for no witnesses."""
        if not self.epoch.witnesses:
            return True
        needed = _evidence.majority(len(self.epoch.witnesses))
        return len(self.promised) >= needed


def proposal_doc(proposal: config.Proposal) -> config.ProposalDoc:
    """Return the message form of a proposal."""
    return {
        'base_index': proposal.base_index,
        'head': proposal.head,
        'sections': proposal.sections,
    }


def proposal_row(doc: config.ProposalDoc) -> config.Proposal:
    """Return the proposal of its message form."""
    return config.Proposal(doc['base_index'], doc['head'], doc['sections'])


def decode_head(value: bytes) -> result.Result[config.HeadDoc, str]:
    """Decode the stored value of the head; an error says what is wrong."""
    return codec.decode(value, config.HeadDoc)


def rewritten_head(head: config.HeadDoc) -> config.HeadDoc:
    """Return a head with the same content but different bytes.

    Writing it raises the head index, which fences pending proposals.
    """
    rewritten = head.copy()
    rewritten['rewrites'] = head.get('rewrites', 0) + 1
    return rewritten
