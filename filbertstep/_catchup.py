"""Learns newer heads and their sections, from the store or from a peer."""

import collections.abc
import typing

import result

from filbertstep import _evidence
from filbertstep import _promises
from filbertstep import clock
from filbertstep import codec
from filbertstep import config
from filbertstep import errors
from filbertstep import store
from filbertstep import transport

CONFIG_PATH: typing.Final = '/peer/config'

# Allows for an answer of several megabytes.
CONFIG_TIMEOUT_S: typing.Final = 2.0


class ConfigRequestDoc(typing.TypedDict):
    """Request for the newest head.

    ``held`` has the keys of the sections that the sender does not need.
    """

    held: list[str]


class ConfigAnswerDoc(typing.TypedDict):
    """The newest head, its sections that are not held, pending proposals.

    ``head`` is None and ``head_index`` 0 when the VM knows no head.
    """

    head_index: int
    head: config.HeadDoc | None
    sections: config.Sections
    proposals: list[config.ProposalDoc]


ViewListener = collections.abc.Callable[[config.View, float], None]
"""Called with each newly learned view and the time."""


class Learner:
    """Learns new heads; the only writer of the newest view."""

    def __init__(
        self,
        time_source: clock.Clock,
        store_client: store.Store,
        peers: transport.Peers,
        views: config.ViewTable,
        proposals: _promises.ProposalTable,
        evidence: _evidence.Evidence,
    ) -> None:
        self.clock = time_source
        self.store = store_client
        self.peers = peers
        self.views = views
        self.proposals = proposals
        self.section_cache = proposals.section_cache
        self.evidence = evidence
        self.view_listeners: list[ViewListener] = []
        # When the store last answered a read of the head.
        self.store_answered_at = _evidence.NEVER

    def learn_head(self, head_index: int, head: config.HeadDoc) -> list[str]:
        """Make a head the newest view, unless it or a newer one is known.

        Returns the keys of missing sections; when there are any, the head is
        not learned.
        """
        if head_index <= self.views.head_index():
            return []
        missing = self.section_cache.missing_keys(head)
        if missing:
            return missing
        now = self.clock.now()
        view = config.make_view(head_index, head, self.section_cache.sections)
        self.views.add_view(view, now)
        self.drop_unused_sections()
        for listener in self.view_listeners:
            listener(view, now)
        return []

    def drop_unused_sections(self) -> None:
        """Drop sections that no known view and no proposal refers to."""
        heads = [view.head for view, _ in self.views.former]
        heads.extend(
            proposal.head for proposal, _ in self.views.pending.values()
        )
        if self.views.newest is not None:
            heads.append(self.views.newest.head)
        self.section_cache.keep_referenced(heads)

    def record_store_answer(self, entry: store.Entry, sent_at: float) -> None:
        """Record that a read of the head, sent at a time, was answered."""
        self.store_answered_at = self.clock.now()
        self.evidence.record_store_read(entry.modify_index, sent_at)

    async def read_head(self) -> result.Result[store.Entry, str]:
        """Read the head from the store and learn it.

        The read is consistent.  An error tells which read failed or which
        data is invalid.
        """
        sent_at = self.clock.now()
        answer = await self.store.get(config.HEAD_KEY)
        if isinstance(answer, result.Err):
            return result.Err(f'no answer from the store: {answer.err_value}')
        entry = answer.ok_value
        self.record_store_answer(entry, sent_at)
        outcome = await self.learn_from_entry(entry)
        if isinstance(outcome, result.Err):
            return outcome
        return result.Ok(entry)

    async def learn_from_entry(
        self, entry: store.Entry
    ) -> result.Result[int, str]:
        """Learn a head that was read from the store; read missing sections.

        Returns the index of the newest known head.
        """
        if entry.modify_index <= self.views.head_index():
            return result.Ok(self.views.head_index())
        decoded = _promises.decode_head(entry.value)
        if isinstance(decoded, result.Err):
            return result.Err(f'head in the store: {decoded.err_value}')
        head = decoded.ok_value
        for key in self.section_cache.missing_keys(head):
            answer = await self.store.get(key)
            if isinstance(answer, result.Err):
                return result.Err(f'no answer from the store about {key}')
            content = codec.decode(
                answer.ok_value.value, dict[str, dict[str, typing.Any]]
            )
            if isinstance(content, result.Err):
                return result.Err(f'section {key}: {content.err_value}')
            self.section_cache.add({key: content.ok_value})
        missing = self.learn_head(entry.modify_index, head)
        if missing:
            return result.Err(f'section {missing[0]} does not fit its key')
        return result.Ok(self.views.head_index())

    async def learn_from_peer(self, vm: str) -> result.Result[int, str]:
        """Learn the head, the sections and the proposals that a peer knows.

        Returns the index of the newest known head.
        """
        request: ConfigRequestDoc = {
            'held': sorted(self.section_cache.sections)
        }
        answer = await self.peers.call(
            vm, CONFIG_PATH, dict(request), CONFIG_TIMEOUT_S
        )
        if isinstance(answer, result.Err):
            return result.Err(answer.err_value.message)
        decoded = codec.convert(answer.ok_value, ConfigAnswerDoc)
        if isinstance(decoded, result.Err):
            return decoded
        doc = decoded.ok_value
        self.section_cache.add(doc['sections'])
        if doc['head'] is not None:
            self.learn_head(doc['head_index'], doc['head'])
        for proposal in doc['proposals']:
            self.proposals.add(
                _promises.proposal_row(proposal), self.clock.now()
            )
        return result.Ok(self.views.head_index())

    async def handle_config_request(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Handle a peer's request for the newest head."""
        decoded = codec.convert(message, ConfigRequestDoc)
        if isinstance(decoded, result.Err):
            return result.Err(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, decoded.err_value)
            )
        newest = self.views.newest
        keys = (
            set() if newest is None else set(newest.head['sections'].values())
        )
        keys -= set(decoded.ok_value['held'])
        answer: ConfigAnswerDoc = {
            'head_index': self.views.head_index(),
            'head': None if newest is None else newest.head,
            'sections': {
                key: self.section_cache.sections[key] for key in sorted(keys)
            },
            'proposals': self.proposals.proposals_for_peer({}, 0),
        }
        return result.Ok(dict(answer))
