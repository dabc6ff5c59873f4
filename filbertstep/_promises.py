"""Promises: witnesses learn of a proposal before it can take effect.

A promise records a proposal as pending at a witness.  From then on the
witness mentions it in every statement, until it knows a head index above the
proposal's base.  A proposer swaps the head only after a majority of the
witnesses promised, so that witness evidence younger than the swap always
brings the proposal along.
"""

import typing

import result

from filbertstep import _evidence
from filbertstep import codec
from filbertstep import config

# Time in seconds after which a pending proposal whose base is still the
# newest head is fenced.  A commit takes well below a second; a proposer that
# takes longer is dead, frozen or cut from the store.
PROPOSAL_TIMEOUT_S: typing.Final = 3.0


class PromiseDoc(typing.TypedDict):
    """Body of a call for a promise."""

    proposal: config.ProposalDoc


class PromiseAnswerDoc(typing.TypedDict):
    """Answer to a call for a promise.

    ``missing`` are keys of sections that the witness needs first; ``guests``
    are (VM, incarnation) of processes outside the proposal's epoch that got
    a statement from it within ``EVIDENCE_LIFETIME_S``.
    """

    incarnation: str
    promised: bool
    head_index: int
    missing: list[str]
    guests: list[tuple[str, str]]


class SectionCache:
    """Contents of immutable section documents by key."""

    def __init__(self) -> None:
        self.sections: config.Sections = {}

    def missing(self, head: config.HeadDoc) -> list[str]:
        """Return the keys that a head names and that are not held."""
        return sorted(
            key
            for key in head['sections'].values()
            if key not in self.sections
        )

    def add(self, sections: config.Sections) -> None:
        """Keep sections whose content fits their key."""
        for key, content in sections.items():
            name = key.removeprefix(config.SECTION_PREFIX).rpartition('/')[0]
            if config.section_key(name, content) == key:
                self.sections[key] = content

    def keep_only(self, heads: list[config.HeadDoc]) -> None:
        """Forget sections that none of the heads names."""
        named = {key for head in heads for key in head['sections'].values()}
        self.sections = {
            key: content
            for key, content in self.sections.items()
            if key in named
        }


class ProposalTable:
    """Pending proposals of this VM and when it first saw them."""

    def __init__(
        self,
        me: _evidence.Identity,
        views: config.ViewTable,
        cache: SectionCache,
    ) -> None:
        self.identity = me
        self.views = views
        self.cache = cache
        self.first_seen: dict[str, float] = {}
        # When each process last got a statement from here.
        self.answered: dict[tuple[str, str], float] = {}

    def add(self, proposal: config.Proposal, now: float) -> list[str]:
        """Make a proposal pending; return the section keys it lacks."""
        if proposal.base_index < self.views.index():
            return []
        proposal_id = config.proposal_id(proposal)
        if proposal_id in self.views.pending:
            return []
        self.cache.add(proposal.sections)
        missing = self.cache.missing(proposal.head)
        if missing:
            return missing
        view = config.make_view(
            proposal.base_index, proposal.head, self.cache.sections
        )
        self.views.propose(proposal, view)
        self.first_seen.setdefault(proposal_id, now)
        return []

    def promise(
        self, proposal: config.Proposal, now: float
    ) -> PromiseAnswerDoc:
        """Answer a proposer; promise unless a newer head is known."""
        missing = self.add(proposal, now)
        index = self.views.index()
        return {
            'incarnation': self.identity.incarnation,
            'promised': not missing and proposal.base_index >= index,
            'head_index': index,
            'missing': missing,
            'guests': self.guests(proposal.head['epoch'], now),
        }

    def note_statement(self, vm: str, incarnation: str, now: float) -> None:
        """Note that a process gets a statement of this VM."""
        self.answered[(vm, incarnation)] = now

    def guests(
        self, epoch: config.EpochDoc, now: float
    ) -> list[tuple[str, str]]:
        """Return processes outside an epoch that may hold evidence.

        A ticket is in force everywhere only when these know it too.
        """
        oldest = now - config.EVIDENCE_LIFETIME_S
        self.answered = {
            process: time
            for process, time in self.answered.items()
            if time > oldest
        }
        members = {
            (member['vm'], member['incarnation'])
            for member in epoch['members']
        }
        return sorted(set(self.answered) - members)

    def pending_bases(self) -> dict[str, int]:
        """Return base indexes of pending proposals by id."""
        return {
            proposal_id: proposal.base_index
            for proposal_id, (proposal, _) in self.views.pending.items()
        }

    def documents_for(
        self, known: dict[str, int], head_index: int
    ) -> list[config.ProposalDoc]:
        """Return the proposals that a peer lacks and that concern it.

        The peer gets sections that the newest head here does not name; the
        others it gets when it catches up.
        """
        return [
            proposal_doc(self.complete(proposal))
            for proposal_id, (proposal, _) in self.views.pending.items()
            if proposal_id not in known and proposal.base_index >= head_index
        ]

    def complete(self, proposal: config.Proposal) -> config.Proposal:
        """Return a proposal with all sections outside the newest head."""
        newest = self.views.newest
        held = set(newest.head['sections'].values()) if newest else set()
        sections = {
            key: self.cache.sections[key]
            for key in proposal.head['sections'].values()
            if key not in held and key in self.cache.sections
        }
        return proposal._replace(sections=sections)

    def overdue(self, now: float) -> list[config.Proposal]:
        """Return pending proposals to fence, and forget decided ones."""
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
    """A proposer's count of promises for one proposal.

    ``exact`` stays true while every promise came from the very process that
    the epoch names; only then do the guests that were reported include every
    process that may hold witness evidence.
    """

    def __init__(self, epoch: config.Epoch) -> None:
        self.epoch = epoch
        self.promised: set[str] = set()
        self.guests: set[tuple[str, str]] = set()
        self.exact = True
        self.newer_index = 0

    def answer(self, vm: str, answer: PromiseAnswerDoc) -> None:
        """Count a witness's or its successor's answer."""
        self.newer_index = max(self.newer_index, answer['head_index'])
        if not answer['promised'] or vm not in self.epoch.witnesses:
            return
        self.promised.add(vm)
        self.guests.update((name, inc) for name, inc in answer['guests'])
        if not self.epoch.holds(vm, answer['incarnation']):
            self.exact = False

    def absent(self, vm: str) -> None:
        """Count a witness whose VM the platform no longer has."""
        if vm in self.epoch.witnesses and vm not in self.promised:
            self.promised.add(vm)
            self.exact = False

    def audience(self) -> set[tuple[str, str]]:
        """Return the members and guests that may act on the base head."""
        members = {
            (member.vm, member.incarnation)
            for member in self.epoch.members.values()
        }
        return members | self.guests

    def complete(self) -> bool:
        """Tell whether a majority promised; no witness is needed for none."""
        if not self.epoch.witnesses:
            return True
        needed = _evidence.majority(len(self.epoch.witnesses))
        return len(self.promised) >= needed


def proposal_doc(proposal: config.Proposal) -> config.ProposalDoc:
    """Return the document of a proposal."""
    return {
        'base_index': proposal.base_index,
        'head': proposal.head,
        'sections': proposal.sections,
    }


def proposal_row(doc: config.ProposalDoc) -> config.Proposal:
    """Return the row of a proposal's document."""
    return config.Proposal(doc['base_index'], doc['head'], doc['sections'])


def decode_head(value: bytes) -> result.Result[config.HeadDoc, str]:
    """Decode the value of the head."""
    return codec.decode(value, config.HeadDoc)


def fenced(head: config.HeadDoc) -> config.HeadDoc:
    """Return a head of the same content that differs in its bytes."""
    rewritten = head.copy()
    rewritten['rewrites'] = head.get('rewrites', 0) + 1
    return rewritten
