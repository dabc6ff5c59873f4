"""Heartbeats: exchange of statements, evidence and data of other systems.

Request and answer have the same shape.  Only the answer is used as evidence:
the VM that sent the request knows that the answer was made after the request
was sent, while the receiver of a request cannot tell how old it is.
"""

import collections.abc
import typing

import result

from filbertstep import _evidence
from filbertstep import _membership
from filbertstep import _promises
from filbertstep import clock
from filbertstep import codec
from filbertstep import config
from filbertstep import errors
from filbertstep import systems
from filbertstep import transport

HEARTBEAT_PATH: typing.Final = '/peer/heartbeat'

HEARTBEAT_INTERVAL_S: typing.Final = 0.5

# Time limit of one call.  The next heartbeat to the VM is sent after its end.
HEARTBEAT_TIMEOUT_S: typing.Final = 1.0


class IdentityDoc(typing.TypedDict):
    """The sender's identity."""

    vm: config.Name
    incarnation: str
    region: str
    availability_zone: str
    callers_url: str
    peers_url: str


class StoreEvidenceDoc(typing.TypedDict):
    """The sender's store evidence and its age when the message was sent."""

    head_index: int
    age_s: float


class HeartbeatDoc(typing.TypedDict):
    """A heartbeat, request or answer.

    ``minute`` is the sender's minute counter, ``burden`` the fraction of its
    slots that is in use.  ``pending`` maps the ids of its pending proposals
    to their base indexes; ``proposals`` has in full those of them that the
    receiver did not list in its last heartbeat.  ``parts`` has the data of
    other systems by ``HeartbeatPart.part_name``.
    """

    identity: IdentityDoc
    state: typing.Literal['joining', 'serving', 'draining', 'leaving']
    minute: int
    burden: float
    head_index: int
    evidence: StoreEvidenceDoc | None
    pending: dict[str, int]
    proposals: list[config.ProposalDoc]
    parts: dict[str, dict[str, typing.Any]]


# Returns the fraction of this VM's slots that is in use.
LoadFunction = collections.abc.Callable[[], float]

HeadIndexListener = collections.abc.Callable[[str, str, int], None]
"""Called with (VM, incarnation, head index) of the sender of a heartbeat."""


class Heartbeats:
    """Builds heartbeats and processes those of other VMs."""

    def __init__(
        self,
        time_source: clock.Clock,
        evidence: _evidence.Evidence,
        proposals: _promises.ProposalTable,
        membership: _membership.Membership,
        parts: collections.abc.Sequence[systems.HeartbeatPart],
        load: LoadFunction,
    ) -> None:
        self.clock = time_source
        self.evidence = evidence
        self.identity = evidence.identity
        self.views = evidence.views
        self.proposals = proposals
        self.membership = membership
        self.parts = {part.part_name: part for part in parts}
        self.load = load
        self.head_index_listeners: list[HeadIndexListener] = []
        # VMs that know a newer head, or a proposal that this VM lacks.
        self.vms_ahead: set[str] = set()

    def minute(self, now: float) -> int:
        """Return this process's minute counter."""
        return clock.minute_of(now)

    def build(
        self, known_proposals: dict[str, int], head_index: int
    ) -> HeartbeatDoc:
        """Return a heartbeat to a VM.

        ``known_proposals`` maps the ids of the proposals that the VM knows to
        their base indexes, ``head_index`` is the index of its newest head.
        """
        now = self.clock.now()
        store = self.evidence.latest_store_read
        evidence: StoreEvidenceDoc | None = None
        if store is not None:
            evidence = {
                'head_index': store.head_index,
                'age_s': now - store.time,
            }
        return {
            'identity': identity_doc(self.identity),
            'state': typing.cast(typing.Any, self.membership.state),
            'minute': self.minute(now),
            'burden': self.load(),
            'head_index': self.views.head_index(),
            'evidence': evidence,
            'pending': self.proposals.pending_base_indexes(),
            'proposals': self.proposals.proposals_for_peer(
                known_proposals, head_index
            ),
            'parts': {
                name: part.payload(now) for name, part in self.parts.items()
            },
        }

    def build_request(self, vm: str) -> HeartbeatDoc:
        """Return the heartbeat to send to a VM."""
        peer = self.membership.peer_table.peers.get(vm)
        if peer is None:
            return self.build({}, 0)
        return self.build(peer.pending, peer.head_index)

    async def handle_heartbeat(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Handle a heartbeat of a peer; the answer is a heartbeat too."""
        decoded = codec.convert(message, HeartbeatDoc)
        if isinstance(decoded, result.Err):
            return result.Err(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, decoded.err_value)
            )
        return result.Ok(dict(self.respond(decoded.ok_value)))

    def respond(self, doc: HeartbeatDoc) -> HeartbeatDoc:
        """Process a received heartbeat and return the answer."""
        sender = doc['identity']
        self.process(doc, None)
        self.proposals.record_statement_sent(
            sender['vm'], sender['incarnation'], self.clock.now()
        )
        return self.build(doc['pending'], doc['head_index'])

    def process(self, doc: HeartbeatDoc, sent_at: float | None) -> None:
        """Process a heartbeat of another VM.

        ``sent_at`` is None for a request.  For an answer it is the time at
        which this VM sent the request.
        """
        sender = doc['identity']
        vm, incarnation = sender['vm'], sender['incarnation']
        now = self.clock.now()
        if vm == self.identity.vm:
            return
        self.membership.record_heartbeat(
            peer_row(doc, now), sender['peers_url']
        )
        for proposal in doc['proposals']:
            self.proposals.add(_promises.proposal_row(proposal), now)
        if sent_at is not None:
            self.record_evidence(doc, sent_at)
        if self.is_behind(doc):
            self.vms_ahead.add(vm)
        for listener in self.head_index_listeners:
            listener(vm, incarnation, doc['head_index'])
        for name, payload in doc['parts'].items():
            part = self.parts.get(name)
            if part is not None:
                part.receive(vm, incarnation, payload, now)

    def record_evidence(self, doc: HeartbeatDoc, sent_at: float) -> None:
        """Record the statement and the store evidence in an answer."""
        sender = doc['identity']
        self.evidence.record_statement(
            sender['vm'],
            sender['incarnation'],
            _evidence.Statement(doc['head_index'], doc['pending'], sent_at),
        )
        relayed = doc['evidence']
        if relayed is not None:
            self.evidence.record_relayed_store_read(
                relayed['head_index'], relayed['age_s'], sent_at
            )

    def is_behind(self, doc: HeartbeatDoc) -> bool:
        """Return whether the sender knows a head or proposal unknown here."""
        index = self.views.head_index()
        return doc['head_index'] > index or any(
            base >= index and proposal not in self.views.pending
            for proposal, base in doc['pending'].items()
        )


def identity_doc(identity: _evidence.Identity) -> IdentityDoc:
    """Return the message form of an identity."""
    return {
        'vm': identity.vm,
        'incarnation': identity.incarnation,
        'region': identity.region,
        'availability_zone': identity.availability_zone,
        'callers_url': identity.callers_url,
        'peers_url': identity.peers_url,
    }


def peer_row(doc: HeartbeatDoc, now: float) -> _membership.Peer:
    """Return the table row for the sender of a heartbeat."""
    sender = doc['identity']
    return _membership.Peer(
        vm=sender['vm'],
        incarnation=sender['incarnation'],
        region=sender['region'],
        availability_zone=sender['availability_zone'],
        callers_url=sender['callers_url'],
        state=doc['state'],
        minute=doc['minute'],
        load=doc['burden'],
        head_index=doc['head_index'],
        pending=doc['pending'],
        heard_at=now,
    )
