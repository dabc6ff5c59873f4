"""The head: the one record in the store that everything else hangs on.

The head names the epoch, the sections of the configuration and the newest
tickets.  It is replaced by compare-and-swap on the store's modify index, the
*head index*.  Section documents are written before under keys of their own
and never change, so that one swap puts a change of several sections in force.
"""

import hashlib
import typing

import xxhash

from filbertstep import _config
from filbertstep import codec

HEAD_KEY: typing.Final = 'filbertstep/head'
SECTION_PREFIX: typing.Final = 'filbertstep/section/'

# Sections of a kind, by entity name.  470,000 blocks of clients are about
# 9 MB of JSON, and a value of the store holds one megabyte at most.
SHARDS: typing.Final[dict[_config.EntityKind, int]] = {
    kind: 32 if kind is _config.EntityKind.SITE else 1
    for kind in _config.EntityKind
}

# Tickets whose number, digest and author the head keeps, so that a ticket
# sent twice gets the first one's outcome.
MAX_RECENT_TICKETS: typing.Final = 200

# Former epochs that the head keeps, so that a VM that missed some can take
# the least share of them.
MAX_FORMER_EPOCHS: typing.Final = 8


class MemberDoc(typing.TypedDict):
    """One process of the epoch."""

    vm: str
    incarnation: str
    region: str
    availability_zone: str


class EpochDoc(typing.TypedDict):
    """Members and witnesses; ``witnesses`` are names of member VMs."""

    number: int
    members: list[MemberDoc]
    witnesses: list[str]


class TicketRecordDoc(typing.TypedDict):
    """What the head keeps of an accepted ticket; ``digest`` of its changes."""

    number: int
    digest: str
    author: str


class HeadDoc(typing.TypedDict):
    """Value of the head; ``sections`` maps a section name to its key.

    ``rewrites`` counts rewrites that fenced an unfinished proposal.  Consul
    keeps the modify index when the value written equals the stored one, so
    a rewrite must differ in some byte.
    """

    rewrites: typing.NotRequired[int]
    ticket: int
    epoch: EpochDoc
    former_epochs: list[EpochDoc]
    sections: dict[str, str]
    recent: list[TicketRecordDoc]


Sections = dict[str, dict[str, dict[str, typing.Any]]]
"""Section documents by section key: entity name to entity document."""


class Member(typing.NamedTuple):
    """Row of one process of an epoch."""

    vm: str
    incarnation: str
    region: str
    availability_zone: str


class Epoch(typing.NamedTuple):
    """Row of an epoch; ``members`` maps the VM's name to its member."""

    number: int
    members: dict[str, Member]
    witnesses: tuple[str, ...]

    def has_member(self, vm: str, incarnation: str) -> bool:
        """Tell whether this very process is a member."""
        member = self.members.get(vm)
        return member is not None and member.incarnation == incarnation


NO_EPOCH: typing.Final = Epoch(0, {}, ())


class Proposal(typing.NamedTuple):
    """A head that someone is about to swap in for the one at base index.

    ``sections`` holds those that the head at the base index does not have.
    """

    base_index: int
    head: HeadDoc
    sections: Sections


class ProposalDoc(typing.TypedDict):
    """A proposal on the wire."""

    base_index: int
    head: HeadDoc
    sections: Sections


class View(typing.NamedTuple):
    """A head with its configuration as rows.

    ``head_index`` is, for a pending proposal, its base index.
    """

    head_index: int
    head: HeadDoc
    epoch: Epoch
    former_epochs: tuple[Epoch, ...]
    documents: _config.Documents
    config: _config.Config


def empty_head() -> HeadDoc:
    """Return the head of a deployment that has no epoch and no ticket."""
    return {
        'ticket': 0,
        'epoch': {'number': 0, 'members': [], 'witnesses': []},
        'former_epochs': [],
        'sections': {},
        'recent': [],
    }


def section_name(kind: _config.EntityKind, name: str) -> str:
    """Return the section that an entity belongs to."""
    shard = xxhash.xxh32_intdigest(name.encode()) % SHARDS[kind]
    return f'{kind.value}/{shard}'


def section_key(section: str, content: object) -> str:
    """Return the store key of a section's content; content fixes the key."""
    digest = hashlib.sha256(codec.encode(content)).hexdigest()[:24]
    return f'{SECTION_PREFIX}{section}/{digest}'


def split_into_sections(
    documents: _config.Documents,
) -> dict[str, dict[str, typing.Any]]:
    """Return section contents by section name, empty sections left out."""
    contents: dict[str, dict[str, typing.Any]] = {}
    for kind, entities in documents.items():
        for name, doc in entities.items():
            contents.setdefault(section_name(kind, name), {})[name] = doc
    return contents


def join_sections(head: HeadDoc, sections: Sections) -> _config.Documents:
    """Return the documents of a head.

    Raises KeyError when ``sections`` lacks one that the head names.
    """
    documents = _config.empty_documents()
    for section, key in head['sections'].items():
        kind = _config.EntityKind(section.partition('/')[0])
        documents[kind].update(sections[key])
    return documents


def epoch_from_doc(doc: EpochDoc) -> Epoch:
    """Return the row of an epoch's document."""
    members = {member['vm']: Member(**member) for member in doc['members']}
    return Epoch(doc['number'], members, tuple(doc['witnesses']))


def epoch_to_doc(epoch: Epoch) -> EpochDoc:
    """Return the document of an epoch's row."""
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

    Raises KeyError when ``sections`` lacks one that the head names.
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
