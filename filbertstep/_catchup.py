"""Catching up: learning a newer head from the store or from a peer."""

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

# Time limit in seconds; an answer may carry several megabytes.
CONFIG_TIMEOUT_S: typing.Final = 2.0


class ConfigRequestDoc(typing.TypedDict):
    """Asks for the newest head; ``held`` are keys of sections held."""

    held: list[str]


class ConfigAnswerDoc(typing.TypedDict):
    """Newest head, the sections not held, and the pending proposals."""

    head_index: int
    head: config.HeadDoc | None
    sections: config.Sections
    proposals: list[config.ProposalDoc]


ViewListener = collections.abc.Callable[[config.View, float], None]
"""Told of each newly learned view and the time."""


class Learner:
    """The only writer of the newest view."""

    def __init__(
        self,
        time_source: clock.Clock,
        store_client: store.Store,
        peers: transport.Peers,
        views: config.ViewTable,
        book: _promises.ProposalTable,
        evidence: _evidence.Evidence,
    ) -> None:
        self.clock = time_source
        self.store = store_client
        self.peers = peers
        self.views = views
        self.proposals = book
        self.section_cache = book.section_cache
        self.evidence = evidence
        self.view_listeners: list[ViewListener] = []
        # When the store last answered a call of this process.
        self.store_answered_at = _evidence.NEVER

    def learn_head(self, head_index: int, head: config.HeadDoc) -> list[str]:
        """Learn a head; return the section keys that it lacks."""
        if head_index <= self.views.index():
            return []
        missing = self.section_cache.missing_keys(head)
        if missing:
            return missing
        now = self.clock.now()
        view = config.make_view(head_index, head, self.section_cache.sections)
        self.views.learn(view, now)
        self.drop_unused_sections()
        for listener in self.view_listeners:
            listener(view, now)
        return []

    def drop_unused_sections(self) -> None:
        """Drop sections that no view here names."""
        heads = [view.head for view, _ in self.views.former]
        heads.extend(
            proposal.head for proposal, _ in self.views.pending.values()
        )
        if self.views.newest is not None:
            heads.append(self.views.newest.head)
        self.section_cache.keep_referenced(heads)

    def record_store_answer(self, entry: store.Entry, sent_at: float) -> None:
        """Note an answer of the store about the head."""
        self.store_answered_at = self.clock.now()
        self.evidence.record_store_read(entry.modify_index, sent_at)

    async def read_head(self) -> result.Result[store.Entry, str]:
        """Read the head consistently and learn it."""
        sent_at = self.clock.now()
        answer = await self.store.get(config.HEAD_KEY)
        if isinstance(answer, result.Err):
            return result.Err(f'no answer from the store: {answer.err_value}')
        entry = answer.ok_value
        self.record_store_answer(entry, sent_at)
        learned = await self.learn_from_entry(entry)
        if isinstance(learned, result.Err):
            return learned
        return result.Ok(entry)

    async def learn_from_entry(
        self, entry: store.Entry
    ) -> result.Result[int, str]:
        """Learn a head that the store returned; return the known index."""
        if entry.modify_index <= self.views.index():
            return result.Ok(self.views.index())
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
        return result.Ok(self.views.index())

    async def learn_from_peer(self, vm: str) -> result.Result[int, str]:
        """Learn head, sections and proposals that a peer has."""
        question: ConfigRequestDoc = {
            'held': sorted(self.section_cache.sections)
        }
        answer = await self.peers.call(
            vm, CONFIG_PATH, dict(question), CONFIG_TIMEOUT_S
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
        return result.Ok(self.views.index())

    async def handle_config_request(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Answer a peer that is behind."""
        decoded = codec.convert(message, ConfigRequestDoc)
        if isinstance(decoded, result.Err):
            return result.Err(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, decoded.err_value)
            )
        newest = self.views.newest
        named = (
            set() if newest is None else set(newest.head['sections'].values())
        )
        named -= set(decoded.ok_value['held'])
        answer: ConfigAnswerDoc = {
            'head_index': self.views.index(),
            'head': None if newest is None else newest.head,
            'sections': {
                key: self.section_cache.sections[key] for key in sorted(named)
            },
            'proposals': self.proposals.proposals_for_peer({}, 0),
        }
        return result.Ok(dict(answer))
