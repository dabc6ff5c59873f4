"""Transfers of units between VMs: the messages, the giver and the asker.

A transfer conserves units and tokens.  The giver debits before it answers and
keeps its last answer to each asker and resource, so that the retry of a lost
answer gets the same one; the asker credits an id once.  Ids increase, so that
a delayed copy of an older request takes nothing.  What cannot be completed
stays debited: units then are missing until the next epoch, and never double.

- A giver that restarts is a new incarnation.  It is no member of the epochs
  that the ask names, so it refuses, and the former process's debit is void
  together with all of its units.
- An asker that has learned a newer epoch credits only the balances of epochs
  that it still has in force.
- An asker with a pending epoch names that one too, and a giver without it
  refuses, because it could not debit that balance.
"""

import typing

import msgspec
import result

from filbertstep import _buckets
from filbertstep import _ownership
from filbertstep import codec
from filbertstep import errors
from filbertstep import systems
from filbertstep import transport

ASK_PATH: typing.Final = '/peer/shares'
PUSH_PATH: typing.Final = '/peer/shares/push'

# A part of the rate that every VM counts as demand.  Keeps the proportion
# defined when nobody has demand, and leaves an idle VM next to nothing.
IDLE_DEMAND: typing.Final = 0.002

# Smaller transfers than this many units are not worth a call, unless they
# complete a token that a request waits for.
LEAST_TRANSFER: typing.Final = 2_000

NonNegative = typing.Annotated[float, msgspec.Meta(ge=0, le=1e15)]
Units = typing.Annotated[
    int, msgspec.Meta(ge=0, le=_ownership.UNITS_PER_RESOURCE)
]


class AskDoc(typing.TypedDict):
    """Request for units of a resource.

    ``epoch`` lists the ids of the epochs that the asker has in force,
    ``demand`` is its demand a second, ``want`` the tokens that its waiting
    requests lack, ``units`` what it holds, ``short`` the units it lacks to
    hold the tokens of its first waiting request, ``waited_s`` the time in
    seconds for which that one has waited.
    """

    vm: str
    incarnation: str
    resource: str
    transfer_id: typing.Annotated[int, msgspec.Meta(gt=0)]
    epoch: list[str]
    demand: NonNegative
    want: NonNegative
    units: Units
    short: Units
    waited_s: NonNegative


class GrantDoc(typing.TypedDict):
    """Answer to a request: what was debited for the asker."""

    units: Units
    tokens: NonNegative


class PushDoc(typing.TypedDict):
    """Units of several resources that a stopping VM hands over."""

    vm: str
    incarnation: str
    transfer_id: typing.Annotated[int, msgspec.Meta(gt=0)]
    epoch: list[str]
    grants: dict[str, GrantDoc]


class PushAnswerDoc(typing.TypedDict):
    """Whether the units of a push were credited."""

    accepted: bool


NOTHING: typing.Final[GrantDoc] = {'units': 0, 'tokens': 0.0}


class Taken(typing.NamedTuple):
    """The last push of a VM and whether it was credited."""

    transfer_id: int
    epochs: tuple[str, ...]
    accepted: bool


class Given(typing.NamedTuple):
    """The last answer to an asker; ``epochs`` are those of the request."""

    transfer_id: int
    epochs: tuple[str, ...]
    answer: GrantDoc


def bad_message(problem: str) -> result.Err[errors.Failure]:
    """Return the failure for a message that lacks its shape."""
    return result.Err(errors.Failure(errors.ErrorKind.BAD_REQUEST, problem))


def as_message(doc: object) -> transport.Message:
    """Return a document as a message."""
    return dict(typing.cast(transport.Message, doc))


def units_short(bucket: _buckets.Bucket) -> int:
    """Return units lacking to hold the first waiting request's tokens."""
    if not bucket.waiters or bucket.limits.burst <= 0:
        return 0
    part = bucket.waiters[0].amount / bucket.limits.burst
    needed = min(
        _ownership.UNITS_PER_RESOURCE,
        int(part * _ownership.UNITS_PER_RESOURCE) + 1,
    )
    return max(0, needed - bucket.units)


def fair_units(bucket: _buckets.Bucket, ask: AskDoc, now: float) -> int:
    """Return units that make both sides' units proportional to demand."""
    idle = IDLE_DEMAND * bucket.limits.rate
    mine = bucket.demand.rate(now) + idle
    theirs = ask['demand'] + idle
    if mine + theirs <= 0:
        return 0
    pool = bucket.units + ask['units']
    return int(pool * theirs / (mine + theirs)) - ask['units']


def waiting_units(bucket: _buckets.Bucket, ask: AskDoc) -> int:
    """Return units whose tokens let the asker's waiting requests start.

    At most half, so that a burst at one VM leaves the other able to serve.
    """
    if ask['want'] <= 0 or bucket.tokens <= 0:
        return 0
    part = min(0.5, ask['want'] / bucket.tokens)
    return int(part * bucket.units) + 1


def contended_units(bucket: _buckets.Bucket, ask: AskDoc, now: float) -> int:
    """Return units for an asker while requests wait at this VM too.

    When neither side's units can hold one token, splitting them serves
    nobody: the request that has waited longer gets all of them.
    """
    if not ask['short'] or not units_short(bucket):
        return fair_units(bucket, ask, now)
    older = ask['waited_s'] > bucket.waited_s(now)
    return bucket.units if older else 0


def units_to_give(bucket: _buckets.Bucket, ask: AskDoc, now: float) -> int:
    """Return how many units to give to an asker.

    None from a bucket below zero: its refill pays for what was used already.
    """
    if bucket.tokens < 0:
        return 0
    if bucket.waiters:
        units = contended_units(bucket, ask, now)
    else:
        units = max(
            fair_units(bucket, ask, now),
            waiting_units(bucket, ask),
            ask['short'],
        )
    if units < LEAST_TRANSFER and ask['want'] <= 0:
        return 0
    return max(0, min(units, bucket.units))


class Giver:
    """Answers requests for units and takes over pushed ones."""

    def __init__(
        self,
        table: _buckets.ShareTable,
        freshness: systems.Freshness,
    ) -> None:
        self.table = table
        self.freshness = freshness
        self.given: dict[tuple[str, str, str], Given] = {}
        self.pushed: dict[tuple[str, str], Taken] = {}

    def answer(
        self, message: transport.Message, now: float
    ) -> result.Result[transport.Message, errors.Failure]:
        """Answer one request; a repeated id gets its first answer."""
        checked = codec.convert(message, AskDoc)
        if isinstance(checked, result.Err):
            return bad_message(checked.err_value)
        ask = checked.ok_value
        key = (ask['vm'], ask['incarnation'], ask['resource'])
        last = self.given.get(key)
        if last is not None and ask['transfer_id'] == last.transfer_id:
            return result.Ok(as_message(last.answer))
        if last is not None and ask['transfer_id'] < last.transfer_id:
            return result.Ok(as_message(NOTHING))
        grant = self.give(ask, now)
        self.given[key] = Given(ask['transfer_id'], tuple(ask['epoch']), grant)
        return result.Ok(as_message(grant))

    def give(self, ask: AskDoc, now: float) -> GrantDoc:
        """Debit units for an asker."""
        bucket = self.table.get(ask['resource'], now)
        if bucket is None or not self.freshness.is_fresh(now):
            return NOTHING
        if not self.known(ask['epoch'], bucket):
            return NOTHING
        units = units_to_give(bucket, ask, now)
        if units <= 0:
            return NOTHING
        return {'units': units, 'tokens': bucket.debit(units, ask['epoch'])}

    def known(self, epochs: list[str], bucket: _buckets.Bucket) -> bool:
        """Tell whether a transfer's epochs are all in force here."""
        return bool(epochs) and set(epochs) <= bucket.splits.keys()

    def accept(
        self, message: transport.Message, now: float
    ) -> result.Result[transport.Message, errors.Failure]:
        """Credit pushed units once."""
        checked = codec.convert(message, PushDoc)
        if isinstance(checked, result.Err):
            return bad_message(checked.err_value)
        push = checked.ok_value
        key = (push['vm'], push['incarnation'])
        last = self.pushed.get(key)
        if last is None or push['transfer_id'] > last.transfer_id:
            last = self.pushed[key] = self.take_over(push, now)
        same = push['transfer_id'] == last.transfer_id
        return result.Ok({'accepted': same and last.accepted})

    def take_over(self, push: PushDoc, now: float) -> Taken:
        """Credit a push if it may be.

        A refusal is kept too: the giver then takes its units back, and a
        delayed copy of the push must not be credited.
        """
        self.table.refresh(now)
        epochs = push['epoch']
        accepted = self.freshness.is_fresh(now) and bool(epochs)
        accepted = accepted and set(epochs) <= self.table.epochs.keys()
        if accepted:
            self.credit(push, now)
        return Taken(push['transfer_id'], tuple(epochs), accepted)

    def credit(self, push: PushDoc, now: float) -> None:
        """Credit the units of a push."""
        for resource, grant in push['grants'].items():
            bucket = self.table.get(resource, now)
            if bucket is not None:
                bucket.credit(grant['units'], grant['tokens'], push['epoch'])

    def forget(self) -> None:
        """Drop answers whose epochs are no longer in force.

        A late retry of such a request is refused because of its epochs.
        """
        known = self.table.epochs.keys()
        self.given = {
            key: given
            for key, given in self.given.items()
            if known & set(given.epochs)
        }
        self.pushed = {
            key: taken
            for key, taken in self.pushed.items()
            if known & set(taken.epochs)
        }
