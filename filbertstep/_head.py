"""The head: the root record of the shared state in the key-value store.

The head contains the epoch (the current set of members), the store keys of the
configuration's sections and the latest tickets.  It is replaced by
compare-and-swap on its modify index in the store, the *head index*.  A section
is a part of the configuration that is stored under a key of its own.  Sections
are immutable and are written before the head that refers to them, so that one
swap applies a change of several sections atomically.
"""

import hashlib
import typing

import xxhash

from filbertstep import _config
from filbertstep import codec

HEAD_KEY: typing.Final = 'filbertstep/head'
SECTION_PREFIX: typing.Final = 'filbertstep/section/'

# Number of sections for each kind.  470,000 client address blocks are about
# 9 MB of JSON, and the store accepts values of at most one megabyte.
SECTIONS_PER_KIND: typing.Final[dict[_config.EntityKind, int]] = {
    kind: 32 if kind is _config.EntityKind.SITE else 1
    for kind in _config.EntityKind
}

# The head contains the number, digest and author of this many tickets, so that
# a ticket that is submitted twice gets the outcome of the first submission.
MAX_RECENT_TICKETS: typing.Final = 200

# The head contains this many former epochs, so that a VM that missed some of
# them can use its smallest share under any of them.
MAX_FORMER_EPOCHS: typing.Final = 8


class MemberDoc(typing.TypedDict):
    """A process that is a member of an epoch.

    ``incarnation`` is unique to the process and changes with each restart of
    the VM's node.
    """

    vm: str
    incarnation: str
    region: str
    availability_zone: str


class EpochDoc(typing.TypedDict):
    """A numbered set of members.

    ``witnesses`` are the names of the member VMs that must promise a change
    of the head before it takes effect.
    """

    number: int
    members: list[MemberDoc]
    witnesses: list[str]


class TicketRecordDoc(typing.TypedDict):
    """Entry of an accepted ticket; ``digest`` is that of its changes."""

    number: int
    digest: str
    author: str


class HeadDoc(typing.TypedDict):
    """The head as JSON.

    ``ticket`` is the number of the last accepted ticket, ``sections`` maps
    the name of a section to its store key, and ``recent`` lists the latest
    tickets.

    ``rewrites`` counts rewrites of an unchanged head, which raise the modify
    index so that an unfinished proposal can no longer be swapped in.  Consul
    keeps the modify index when the new value equals the stored one; the
    counter makes the values differ.
    """

    rewrites: typing.NotRequired[int]
    ticket: int
    epoch: EpochDoc
    former_epochs: list[EpochDoc]
    sections: dict[str, str]
    recent: list[TicketRecordDoc]


Sections = dict[str, dict[str, dict[str, typing.Any]]]
"""Sections by store key; a section maps entity names to documents."""


class Member(typing.NamedTuple):
    """Row of a member of an epoch; see ``MemberDoc``."""

    vm: str
    incarnation: str
    region: str
    availability_zone: str


class Epoch(typing.NamedTuple):
    """Row of an epoch; ``members`` maps the name of a VM to its member."""

    number: int
    members: dict[str, Member]
    witnesses: tuple[str, ...]

    def has_member(self, vm: str, incarnation: str) -> bool:
        """Return whether the process with this incarnation is a member."""
        member = self.members.get(vm)
        return member is not None and member.incarnation == incarnation


NO_EPOCH: typing.Final = Epoch(0, {}, ())


class Proposal(typing.NamedTuple):
    """A new head that a VM proposes to replace the one at ``base_index``.

    ``sections`` contains the sections that the replaced head does not have.
    """

    base_index: int
    head: HeadDoc
    sections: Sections


class ProposalDoc(typing.TypedDict):
    """A proposal as JSON, sent between VMs."""

    base_index: int
    head: HeadDoc
    sections: Sections


class View(typing.NamedTuple):
    """A head with its parsed epochs and configuration.

    For the head of a pending proposal, which has no index yet, ``head_index``
    is the base index of the proposal.
    """

    head_index: int
    head: HeadDoc
    epoch: Epoch
    former_epochs: tuple[Epoch, ...]
    documents: _config.Documents
    config: _config.Config


def empty_head() -> HeadDoc:
    """Return the head of a new deployment, without epoch and tickets."""
    return {
        'ticket': 0,
        'epoch': {'number': 0, 'members': [], 'witnesses': []},
        'former_epochs': [],
        'sections': {},
        'recent': [],
    }


def section_name(kind: _config.EntityKind, name: str) -> str:
    """Return the name of the section that contains an entity."""
    shard = xxhash.xxh32_intdigest(name.encode()) % SECTIONS_PER_KIND[kind]
    return f'{kind.value}/{shard}'


def section_key(section: str, content: object) -> str:
    """Return the store key of a section, which depends on its content."""
    digest = hashlib.sha256(codec.encode(content)).hexdigest()[:24]
    return f'{SECTION_PREFIX}{section}/{digest}'


def split_into_sections(
    documents: _config.Documents,
) -> dict[str, dict[str, typing.Any]]:
    """Return the contents of the non-empty sections by section name."""
    contents: dict[str, dict[str, typing.Any]] = {}
    for kind, entities in documents.items():
        for name, doc in entities.items():
            contents.setdefault(section_name(kind, name), {})[name] = doc
    return contents


def join_sections(head: HeadDoc, sections: Sections) -> _config.Documents:
    """Return the documents of a head's configuration.

    Raises KeyError when ``sections`` lacks a section of the head.
    """
    documents = _config.empty_documents()
    for section, key in head['sections'].items():
        kind = _config.EntityKind(section.partition('/')[0])
        documents[kind].update(sections[key])
    return documents


def epoch_from_doc(doc: EpochDoc) -> Epoch:
    """Parse the document of an epoch."""
    members = {member['vm']: Member(**member) for member in doc['members']}
    return Epoch(doc['number'], members, tuple(doc['witnesses']))


def epoch_to_doc(epoch: Epoch) -> EpochDoc:
    """Return the document of an epoch, with members sorted by VM name."""
    return {
        'number': epoch.number,
        'members': [
            {
                'vm': member.vm,
                'incarnation': member.incarnation,
                'region': member.region,
                'availability_zone': member.availability_zone,
            }
            for _, member in sorted(epoch.members.items())
        ],
        'witnesses': list(epoch.witnesses),
    }


def make_view(head_index: int, head: HeadDoc, sections: Sections) -> View:
    """Return the view of a head and its sections.

    Raises KeyError when ``sections`` lacks a section of the head.
    """
    documents = join_sections(head, sections)
    return View(
        head_index=head_index,
        head=head,
        epoch=epoch_from_doc(head['epoch']),
        former_epochs=tuple(map(epoch_from_doc, head['former_epochs'])),
        documents=documents,
        config=_config.build_config(documents),
    )
