"""Heartbeats: statements, evidence and the other systems' parts.

Request and answer have one shape.  Only the answer is evidence, because only
the asking VM knows a time before which nothing in it can have been said.
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

# Time limit in seconds of one call; the next one waits for it.
HEARTBEAT_TIMEOUT_S: typing.Final = 1.0


class IdentityDoc(typing.TypedDict):
    """The sender."""

    vm: config.Name
    incarnation: str
    region: str
    availability_zone: str
    callers_url: str
    peers_url: str


class StoreEvidenceDoc(typing.TypedDict):
    """The sender's store evidence and its age when this was sent."""

    head_index: int
    age_s: float


class HeartbeatDoc(typing.TypedDict):
    """A heartbeat.

    ``pending`` maps ids of the sender's pending proposals to base indexes;
    ``proposals`` has those in full that the receiver did not list.
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


LoadFunction = collections.abc.Callable[[], float]

HeadIndexListener = collections.abc.Callable[[str, str, int], None]
"""Told of (VM, incarnation, head index) at each heartbeat."""


class Heartbeats:
    """Builds and takes heartbeats."""

    def __init__(
        self,
        time_source: clock.Clock,
        evidence: _evidence.Evidence,
        book: _promises.ProposalTable,
        membership: _membership.Membership,
        parts: collections.abc.Sequence[systems.HeartbeatPart],
        burden: LoadFunction,
    ) -> None:
        self.clock = time_source
        self.evidence = evidence
        self.identity = evidence.identity
        self.views = evidence.views
        self.proposals = book
        self.membership = membership
        self.parts = {part.part_name: part for part in parts}
        self.load = burden
        self.head_index_listeners: list[HeadIndexListener] = []
        # VMs that know a newer head or a proposal this VM cannot read yet.
        self.vms_ahead: set[str] = set()

    def minute(self, now: float) -> int:
        """Return this process's minute counter."""
        return clock.minute_of(now)

    def build(self, known: dict[str, int], head_index: int) -> HeartbeatDoc:
        """Return a heartbeat to a VM that knows proposals and a head."""
        now = self.clock.now()
        store = self.evidence.latest_store_read
        age: StoreEvidenceDoc | None = None
        if store is not None:
            age = {
                'head_index': store.head_index,
                'age_s': now - store.time,
            }
        return {
            'identity': identity_doc(self.identity),
            'state': typing.cast(typing.Any, self.membership.state),
            'minute': self.minute(now),
            'burden': self.load(),
            'head_index': self.views.index(),
            'evidence': age,
            'pending': self.proposals.pending_base_indexes(),
            'proposals': self.proposals.proposals_for_peer(known, head_index),
            'parts': {
                name: part.payload(now) for name, part in self.parts.items()
            },
        }

    def build_request(self, vm: str) -> HeartbeatDoc:
        """Return a heartbeat to send to a VM."""
        peer = self.membership.table.rows.get(vm)
        if peer is None:
            return self.build({}, 0)
        return self.build(peer.pending, peer.head_index)

    async def handle_heartbeat(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Answer a heartbeat with one's own."""
        decoded = codec.convert(message, HeartbeatDoc)
        if isinstance(decoded, result.Err):
            return result.Err(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, decoded.err_value)
            )
        return result.Ok(dict(self.respond(decoded.ok_value)))

    def respond(self, doc: HeartbeatDoc) -> HeartbeatDoc:
        """Take a heartbeat and return the answer."""
        identity = doc['identity']
        self.process(doc, None)
        self.proposals.record_statement_sent(
            identity['vm'], identity['incarnation'], self.clock.now()
        )
        return self.build(doc['pending'], doc['head_index'])

    def process(self, doc: HeartbeatDoc, sent_at: float | None) -> None:
        """Take a request (sent_at None) or the answer to a question."""
        identity = doc['identity']
        vm, incarnation = identity['vm'], identity['incarnation']
        now = self.clock.now()
        if vm == self.identity.vm:
            return
        self.membership.record_heartbeat(
            peer_row(doc, now), identity['peers_url']
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
        """Take statement and store evidence of an answer."""
        identity = doc['identity']
        self.evidence.record_statement(
            identity['vm'],
            identity['incarnation'],
            _evidence.Statement(doc['head_index'], doc['pending'], sent_at),
        )
        relayed = doc['evidence']
        if relayed is not None:
            self.evidence.record_relayed_store_read(
                relayed['head_index'], relayed['age_s'], sent_at
            )

    def is_behind(self, doc: HeartbeatDoc) -> bool:
        """Tell whether the sender knows something that this VM does not."""
        index = self.views.index()
        return doc['head_index'] > index or any(
            base >= index and proposal not in self.views.pending
            for proposal, base in doc['pending'].items()
        )


def identity_doc(me: _evidence.Identity) -> IdentityDoc:
    """Return the document of an identity."""
    return {
        'vm': me.vm,
        'incarnation': me.incarnation,
        'region': me.region,
        'availability_zone': me.availability_zone,
        'callers_url': me.callers_url,
        'peers_url': me.peers_url,
    }


def peer_row(doc: HeartbeatDoc, now: float) -> _membership.Peer:
    """Return the row of a heartbeat's sender."""
    identity = doc['identity']
    return _membership.Peer(
        vm=identity['vm'],
        incarnation=identity['incarnation'],
        region=identity['region'],
        availability_zone=identity['availability_zone'],
        callers_url=identity['callers_url'],
        state=doc['state'],
        minute=doc['minute'],
        load=doc['burden'],
        head_index=doc['head_index'],
        pending=doc['pending'],
        heard_at=now,
    )
