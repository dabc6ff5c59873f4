"""Commit of a change: promises, section documents, swap of the head.

The store's compare-and-swap alone decides.  An attempt that ends without a
known outcome is followed by a read of the head, and the change itself tells
from the head whether it is in place.
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

# A promise round starts only when the store answered within this time in
# seconds, so that proposals do not stay pending through a store outage.
STORE_RECENT_S: typing.Final = 1.0

MAX_ATTEMPTS: typing.Final = 6

# Pause in seconds before the head is read again after an unknown outcome.
REREAD_PAUSE_S: typing.Final = 0.3


class Plan(typing.NamedTuple):
    """The head that a change wants, and sections the base does not name."""

    head: config.HeadDoc
    sections: config.Sections


Change = collections.abc.Callable[
    [config.View | None], result.Result[Plan | None, errors.Failure]
]
"""From the newest view (None: no head yet) to a plan, or None: in place."""


class Outcome(typing.NamedTuple):
    """A change that is in the store.

    ``head_index`` is 0 when this call did not write it or could not read the
    index.  ``audience`` are all processes that may act on the former head,
    or None when this is not known.
    """

    head_index: int
    audience: frozenset[tuple[str, str]] | None


IN_PLACE: typing.Final = Outcome(0, None)

Attempt = result.Result[Outcome, errors.Failure] | None
"""Outcome of one attempt, or None: read the head and try again."""


class Reach(typing.NamedTuple):
    """What membership tells a proposer about a VM."""

    live: bool
    absent: bool


class Committer:
    """Puts changes into the store, one at a time."""

    def __init__(
        self,
        me: _evidence.Identity,
        learner: _catchup.Learner,
        reach: collections.abc.Callable[[str], Reach],
    ) -> None:
        self.identity = me
        self.learner = learner
        self.clock = learner.clock
        self.store = learner.store
        self.views = learner.views
        self.book = learner.book
        self.reach = reach
        self.lock = asyncio.Lock()
        # Base index of a swap that may have taken effect, until a head above
        # it was read.
        self.maybe_swapped: int | None = None

    async def commit(
        self, change: Change
    ) -> result.Result[Outcome, errors.Failure]:
        """Put a change into the store.

        Errors: those of the change; ``store_unavailable`` and ``no_quorum``
        when nothing was written; ``outcome_unknown`` when a swap may have
        taken effect and the head could not be read since.
        """
        async with self.lock:
            self.forget_swap()
            failure = unavailable('the head changed too often')
            for _ in range(MAX_ATTEMPTS):
                attempt = await self.attempt(change)
                if attempt is None:
                    continue
                if isinstance(attempt, result.Ok):
                    return attempt
                failure = attempt.err_value
                if self.maybe_swapped is None:
                    return attempt
                await asyncio.sleep(REREAD_PAUSE_S)
            if self.maybe_swapped is not None:
                failure = undecided(failure.message)
            return result.Err(failure)

    def forget_swap(self) -> None:
        """Note that no swap is without a known outcome."""
        self.maybe_swapped = None

    async def attempt(self, change: Change) -> Attempt:
        """Make one attempt from a read of the head to the swap."""
        asked_at = self.clock.now()
        read = await self.learner.read_head()
        if isinstance(read, result.Err):
            return result.Err(unavailable(read.err_value))
        if read.ok_value.modify_index < self.views.index():
            return result.Err(unavailable('the store lost the newest head'))
        index, base = self.views.index(), self.views.newest
        if self.maybe_swapped is not None and index > self.maybe_swapped:
            self.forget_swap()
        planned = change(base)
        if isinstance(planned, result.Err):
            return planned
        plan = planned.ok_value
        if plan is None:
            return result.Ok(IN_PLACE)
        proposal = config.Proposal(index, plan.head, plan.sections)
        settled = base is None or self.settled()
        if self.clock.now() - asked_at > STORE_RECENT_S:
            return None
        collected = await self.collect(proposal, base)
        if not isinstance(collected, result.Ok):
            return collected
        written = await self.write_sections(plan.sections)
        if isinstance(written, result.Err):
            return written
        return await self.swap(proposal, collected.ok_value, settled)

    def settled(self) -> bool:
        """Tell whether only one epoch can have fresh members now."""
        epochs = self.views.epochs(self.clock.now())
        return len({epoch.number for epoch in epochs}) == 1

    async def collect(
        self, proposal: config.Proposal, base: config.View | None
    ) -> result.Result[_promises.PromiseTally, errors.Failure] | None:
        """Collect promises of a majority of the base epoch's witnesses."""
        epoch = config.NO_EPOCH if base is None else base.epoch
        votes = _promises.PromiseTally(epoch)
        if not self.reachable(epoch):
            return result.Err(no_quorum())
        for vm in epoch.witnesses:
            if vm != self.identity.vm and self.reach(vm).absent:
                votes.absent(vm)
        own = self.book.promise(proposal, self.clock.now())
        votes.answer(self.identity.vm, own)
        await self.ask(proposal, votes)
        if votes.complete():
            return result.Ok(votes)
        if votes.newer_index > proposal.base_index:
            return None
        return result.Err(no_quorum())

    def reachable(self, epoch: config.Epoch) -> bool:
        """Tell whether a majority of witnesses seems able to promise.

        A proposal that cannot succeed would only restrict those who know it.
        """
        count = sum(
            vm == self.identity.vm or any(self.reach(vm))
            for vm in epoch.witnesses
        )
        needed = _evidence.majority(len(epoch.witnesses))
        return not epoch.witnesses or count >= needed

    async def ask(
        self, proposal: config.Proposal, votes: _promises.PromiseTally
    ) -> None:
        """Ask the other witnesses until enough promised or all answered."""
        waiting = {
            asyncio.create_task(self.ask_one(vm, proposal, votes))
            for vm in votes.epoch.witnesses
            if vm != self.identity.vm and vm not in votes.promised
        }
        try:
            while waiting and not votes.complete():
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    task.result()
        finally:
            for task in waiting:
                task.cancel()

    async def ask_one(
        self,
        vm: str,
        proposal: config.Proposal,
        votes: _promises.PromiseTally,
    ) -> None:
        """Ask one witness, again with sections that it says it lacks."""
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
            votes.answer(vm, decoded.ok_value)
            missing = decoded.ok_value['missing']
            if not missing:
                return
            held = self.learner.cache.sections
            more = {key: held[key] for key in missing if key in held}
            proposal = proposal._replace(
                sections={**proposal.sections, **more}
            )

    async def answer_promise(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Answer a proposer."""
        decoded = codec.convert(message, _promises.PromiseDoc)
        if isinstance(decoded, result.Err):
            return result.Err(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, decoded.err_value)
            )
        proposal = _promises.proposal_row(decoded.ok_value['proposal'])
        answer = self.book.promise(proposal, self.clock.now())
        return result.Ok(dict(answer))

    async def write_sections(
        self, sections: config.Sections
    ) -> result.Result[None, errors.Failure]:
        """Write section documents; those already present are the same."""
        for key, content in sorted(sections.items()):
            for last in (False, True):
                answer = await self.store.put_cas(
                    key, codec.encode(content), 0
                )
                if isinstance(answer, result.Ok):
                    break
                if last:
                    return result.Err(
                        unavailable(f'no answer about section {key}')
                    )
        return result.Ok(None)

    async def swap(
        self,
        proposal: config.Proposal,
        votes: _promises.PromiseTally,
        settled: bool,
    ) -> Attempt:
        """Swap the head and read its new index."""
        value = codec.encode(proposal.head)
        answer = await self.store.put_cas(
            config.HEAD_KEY, value, proposal.base_index
        )
        if isinstance(answer, result.Err):
            if answer.err_value is store.StoreError.NOT_SENT:
                return result.Err(unavailable('the store refused'))
            self.maybe_swapped = proposal.base_index
            return result.Err(undecided('no answer to the swap'))
        if not answer.ok_value:
            # See ConsulStore: a repeated call may have been the second one.
            self.maybe_swapped = proposal.base_index
            return None
        read = await self.learner.read_head()
        if isinstance(read, result.Err):
            return result.Ok(IN_PLACE)
        audience = None
        if votes.exact and settled:
            audience = frozenset(votes.audience())
        return result.Ok(Outcome(read.ok_value.modify_index, audience))

    async def fence(self, proposal: config.Proposal) -> None:
        """Raise the head's index above an unfinished proposal's base."""
        read = await self.learner.read_head()
        newest = self.views.newest
        if isinstance(read, result.Err) or newest is None:
            return
        indexes = {read.ok_value.modify_index, self.views.index()}
        if indexes != {proposal.base_index}:
            return
        head = _promises.fenced(newest.head)
        await self.store.put_cas(
            config.HEAD_KEY, codec.encode(head), proposal.base_index
        )
        await self.learner.read_head()


def unavailable(message: str) -> errors.Failure:
    """Return the failure of a call that the store did not answer."""
    return errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE, message, 1.0)


def undecided(message: str) -> errors.Failure:
    """Return the failure of a swap that may have taken effect."""
    return errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, message, 1.0)


def no_quorum() -> errors.Failure:
    """Return the failure of a promise round."""
    return errors.Failure(
        errors.ErrorKind.NO_QUORUM,
        'fewer than half of the witnesses promised',
        1.0,
    )
