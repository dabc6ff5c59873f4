"""Commits changes of the head.

A commit collects promises from the witnesses, writes the section documents
and then replaces the head in the store by compare-and-swap ("swap").  Only
the swap decides whether a change takes effect.  After an attempt with unknown
outcome the head is read again, and the function that plans the change finds
out from the head whether the change was already applied.
"""

import asyncio
import collections.abc
import typing

import result

from filbertstep import _catchup
from filbertstep import _evidence
from filbertstep import _promises
from filbertstep import codec
from filbertstep import config
from filbertstep import errors
from filbertstep import store
from filbertstep import transport

PROMISE_PATH: typing.Final = '/peer/promise'

PROMISE_TIMEOUT_S: typing.Final = 1.0

# Promises are requested only when the head was read within this time, so that
# no proposal stays pending during an outage of the store.
MAX_HEAD_READ_AGE_S: typing.Final = 1.0

MAX_ATTEMPTS: typing.Final = 6

# Delay before the head is read again after an attempt with unknown outcome.
REREAD_PAUSE_S: typing.Final = 0.3


class HeadUpdate(typing.NamedTuple):
    """A new head, and those of its sections that the former one lacks."""

    head: config.HeadDoc
    sections: config.Sections


UpdatePlanner = collections.abc.Callable[
    [config.View | None], result.Result[HeadUpdate | None, errors.Failure]
]
"""Plans a change, given the newest view (None when there is no head yet).

Returns None when the change is already applied.
"""


class CommitOutcome(typing.NamedTuple):
    """The outcome of a change that is in the store.

    ``head_index`` is the head index since the change.  It is 0 when an earlier
    call made the change, or when the index could not be read.
    ``must_acknowledge`` has (VM, incarnation) of all processes that may still
    act on the former head, None when they are not known.
    """

    head_index: int
    must_acknowledge: frozenset[tuple[str, str]] | None


COMMITTED_AT_UNKNOWN_INDEX: typing.Final = CommitOutcome(0, None)

AttemptResult = result.Result[CommitOutcome, errors.Failure] | None
"""Outcome of one attempt; None means to read the head and try again."""


class Reachability(typing.NamedTuple):
    """Whether a VM is live, and whether it no longer exists ("absent")."""

    live: bool
    absent: bool


class Committer:
    """Commits changes of the head, one at a time."""

    def __init__(
        self,
        identity: _evidence.Identity,
        learner: _catchup.Learner,
        reachability: collections.abc.Callable[[str], Reachability],
    ) -> None:
        self.identity = identity
        self.learner = learner
        self.clock = learner.clock
        self.store = learner.store
        self.views = learner.views
        self.proposals = learner.proposals
        self.reachability = reachability
        self.lock = asyncio.Lock()
        # Base index of a swap with unknown outcome; None when there is none.
        # It is resolved once a head with a higher index was read.
        self.unresolved_swap_base: int | None = None

    async def commit(
        self, plan_update: UpdatePlanner
    ) -> result.Result[CommitOutcome, errors.Failure]:
        """Commit a change.

        Errors: those of ``plan_update``; ``store_unavailable`` and
        ``no_quorum`` when the change did not take effect; ``outcome_unknown``
        when a swap may have taken effect and no later head was read.
        """
        async with self.lock:
            self.clear_unresolved_swap()
            failure = store_unavailable('the head changed too often')
            for _ in range(MAX_ATTEMPTS):
                attempt = await self.attempt(plan_update)
                if attempt is None:
                    continue
                if isinstance(attempt, result.Ok):
                    return attempt
                failure = attempt.err_value
                if self.unresolved_swap_base is None:
                    return attempt
                await asyncio.sleep(REREAD_PAUSE_S)
            if self.unresolved_swap_base is not None:
                failure = outcome_unknown(failure.message)
            return result.Err(failure)

    def clear_unresolved_swap(self) -> None:
        """Record that there is no swap with unknown outcome."""
        self.unresolved_swap_base = None

    async def attempt(self, plan_update: UpdatePlanner) -> AttemptResult:
        """Make one attempt: read the head, get promises, write, swap."""
        read_sent_at = self.clock.now()
        read = await self.learner.read_head()
        if isinstance(read, result.Err):
            return result.Err(store_unavailable(read.err_value))
        if read.ok_value.modify_index < self.views.head_index():
            return result.Err(
                store_unavailable('the store lost the newest head')
            )
        index, base = self.views.head_index(), self.views.newest
        if (
            self.unresolved_swap_base is not None
            and index > self.unresolved_swap_base
        ):
            self.clear_unresolved_swap()
        planned = plan_update(base)
        if isinstance(planned, result.Err):
            return planned
        update = planned.ok_value
        if update is None:
            return result.Ok(COMMITTED_AT_UNKNOWN_INDEX)
        proposal = config.Proposal(index, update.head, update.sections)
        single_epoch = base is None or self.has_single_epoch()
        if self.clock.now() - read_sent_at > MAX_HEAD_READ_AGE_S:
            return None
        collected = await self.collect_promises(proposal, base)
        if not isinstance(collected, result.Ok):
            return collected
        written = await self.write_sections(update.sections)
        if isinstance(written, result.Err):
            return written
        return await self.swap_head(proposal, collected.ok_value, single_epoch)

    def has_single_epoch(self) -> bool:
        """Return whether the fresh members can only be of one epoch now."""
        epochs = self.views.epochs(self.clock.now())
        return len({epoch.number for epoch in epochs}) == 1

    async def collect_promises(
        self, proposal: config.Proposal, base: config.View | None
    ) -> result.Result[_promises.PromiseTally, errors.Failure] | None:
        """Collect promises of a majority of the base epoch's witnesses.

        Returns None when a witness knows a head newer than the base.
        """
        epoch = config.NO_EPOCH if base is None else base.epoch
        tally = _promises.PromiseTally(epoch)
        if not self.majority_reachable(epoch):
            return result.Err(no_quorum())
        for vm in epoch.witnesses:
            if vm != self.identity.vm and self.reachability(vm).absent:
                tally.record_absent(vm)
        own = self.proposals.promise(proposal, self.clock.now())
        tally.record_answer(self.identity.vm, own)
        await self.request_promises(proposal, tally)
        if tally.has_majority():
            return result.Ok(tally)
        if tally.highest_index > proposal.base_index:
            return None
        return result.Err(no_quorum())

    def majority_reachable(self, epoch: config.Epoch) -> bool:
        """Return whether a majority of witnesses is likely to promise.

        A proposal that cannot succeed must not be sent, because VMs that know
        it apply its restrictions until it is fenced.
        """
        count = sum(
            vm == self.identity.vm or any(self.reachability(vm))
            for vm in epoch.witnesses
        )
        needed = _evidence.majority(len(epoch.witnesses))
        return not epoch.witnesses or count >= needed

    async def request_promises(
        self, proposal: config.Proposal, tally: _promises.PromiseTally
    ) -> None:
        """Ask the other witnesses until a majority promised or all ended."""
        waiting = {
            asyncio.create_task(self.request_promise(vm, proposal, tally))
            for vm in tally.epoch.witnesses
            if vm != self.identity.vm and vm not in tally.promised
        }
        try:
            while waiting and not tally.has_majority():
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    task.result()
        finally:
            for task in waiting:
                task.cancel()

    async def request_promise(
        self,
        vm: str,
        proposal: config.Proposal,
        tally: _promises.PromiseTally,
    ) -> None:
        """Ask one witness; ask again with the sections that it lacks."""
        for _ in range(2):
            body = {'proposal': _promises.proposal_doc(proposal)}
            answer = await self.learner.peers.call(
                vm, PROMISE_PATH, body, PROMISE_TIMEOUT_S
            )
            if isinstance(answer, result.Err):
                return
            decoded = codec.convert(
                answer.ok_value, _promises.PromiseAnswerDoc
            )
            if isinstance(decoded, result.Err):
                return
            tally.record_answer(vm, decoded.ok_value)
            missing = decoded.ok_value['missing']
            if not missing:
                return
            held = self.learner.section_cache.sections
            requested = {key: held[key] for key in missing if key in held}
            proposal = proposal._replace(
                sections={**proposal.sections, **requested}
            )

    async def handle_promise_request(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Handle a proposer's request for a promise."""
        decoded = codec.convert(message, _promises.PromiseRequestDoc)
        if isinstance(decoded, result.Err):
            return result.Err(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, decoded.err_value)
            )
        proposal = _promises.proposal_row(decoded.ok_value['proposal'])
        answer = self.proposals.promise(proposal, self.clock.now())
        return result.Ok(dict(answer))

    async def write_sections(
        self, sections: config.Sections
    ) -> result.Result[None, errors.Failure]:
        """Write section documents, each in at most two tries.

        A section that already exists has the same content, because the content
        determines the key.
        """
        for key, content in sorted(sections.items()):
            for last in (False, True):
                answer = await self.store.put_cas(
                    key, codec.encode(content), 0
                )
                if isinstance(answer, result.Ok):
                    break
                if last:
                    return result.Err(
                        store_unavailable(f'no answer about section {key}')
                    )
        return result.Ok(None)

    async def swap_head(
        self,
        proposal: config.Proposal,
        tally: _promises.PromiseTally,
        single_epoch: bool,
    ) -> AttemptResult:
        """Replace the head by compare-and-swap and read its new index."""
        value = codec.encode(proposal.head)
        answer = await self.store.put_cas(
            config.HEAD_KEY, value, proposal.base_index
        )
        if isinstance(answer, result.Err):
            if answer.err_value is store.StoreError.NOT_SENT:
                return result.Err(store_unavailable('the store refused'))
            self.unresolved_swap_base = proposal.base_index
            return result.Err(outcome_unknown('no answer to the swap'))
        if not answer.ok_value:
            # The client may have sent the write twice, and the first one may
            # have taken effect; see ConsulStore.
            self.unresolved_swap_base = proposal.base_index
            return None
        read = await self.learner.read_head()
        if isinstance(read, result.Err):
            return result.Ok(COMMITTED_AT_UNKNOWN_INDEX)
        must_acknowledge = None
        if tally.non_members_complete and single_epoch:
            must_acknowledge = frozenset(tally.possibly_fresh_processes())
        return result.Ok(
            CommitOutcome(read.ok_value.modify_index, must_acknowledge)
        )

    async def fence(self, proposal: config.Proposal) -> None:
        """Fence an unfinished proposal: make its swap fail from now on.

        Rewriting the head raises the head index above the proposal's base.
        """
        read = await self.learner.read_head()
        newest = self.views.newest
        if isinstance(read, result.Err) or newest is None:
            return
        indexes = {read.ok_value.modify_index, self.views.head_index()}
        if indexes != {proposal.base_index}:
            return
        head = _promises.rewritten_head(newest.head)
        await self.store.put_cas(
            config.HEAD_KEY, codec.encode(head), proposal.base_index
        )
        await self.learner.read_head()


def store_unavailable(message: str) -> errors.Failure:
    """Return the failure of a commit because of the store."""
    return errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE, message, 1.0)


def outcome_unknown(message: str) -> errors.Failure:
    """Return the failure of a commit that may have taken effect."""
    return errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, message, 1.0)


def no_quorum() -> errors.Failure:
    """Return the failure of a commit without a majority of promises."""
    return errors.Failure(
        errors.ErrorKind.NO_QUORUM,
        'fewer than half of the witnesses promised',
        1.0,
    )
