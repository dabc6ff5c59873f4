"""Transfers of units between VMs: messages, and the VM that grants units.

A transfer creates no units or tokens.  The donor debits units before it
answers and keeps its last answer for each requester and resource, so that the
retry of a request whose answer was lost gets the same answer.  The requester
credits each transfer id once.  Ids increase, so that a delayed copy of an
earlier request debits nothing.  The units of a transfer that cannot be
completed stay debited: until the next epoch they are missing, but no unit is
ever held twice.

- A donor that restarts has a new incarnation.  The new process is not a member
  of the epochs that the request names, so it refuses.  What the former process
  debited no longer matters, because all of its units are void.
- A requester that has learned a newer epoch credits only the balances of
  epochs that are still in force there.
- A requester with a pending epoch names that epoch too.  A donor that does not
  know it refuses, because it could not debit that balance.
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

UNIT_REQUEST_PATH: typing.Final = '/peer/shares'
PUSH_PATH: typing.Final = '/peer/shares/push'

# This fraction of the resource's rate is added to every VM's demand.  It keeps
# the proportion of two demands defined when neither VM has any, and is so
# small that an idle VM keeps almost no units.
IDLE_DEMAND_RATIO: typing.Final = 0.002

# A smaller transfer is not worth a call, unless requests wait for its tokens.
MIN_TRANSFER_UNITS: typing.Final = 2_000

NonNegative = typing.Annotated[float, msgspec.Meta(ge=0, le=1e15)]
Units = typing.Annotated[
    int, msgspec.Meta(ge=0, le=_ownership.UNITS_PER_RESOURCE)
]


class UnitRequestDoc(typing.TypedDict):
    """Request for units of a resource; all fields describe the requester.

    ``epoch``: ids of its epochs in force, pending ones included.
    ``demand``: its demand in tokens per second.
    ``want``: the tokens that its waiting requests lack.
    ``units``: the units that it holds.
    ``short``: the units that its bucket lacks to be able to hold the tokens
    of its first waiting request.
    ``waited_s``: how long that request has waited, in seconds.
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
    """Units and tokens that were debited for a peer."""

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
    """Answer to a push: whether the units were credited."""

    accepted: bool


EMPTY_GRANT: typing.Final[GrantDoc] = {'units': 0, 'tokens': 0.0}


class PushRecord(typing.NamedTuple):
    """The last push of a VM and whether it was credited."""

    transfer_id: int
    epochs: tuple[str, ...]
    accepted: bool


class GrantRecord(typing.NamedTuple):
    """The last answer to a requester, with the epochs of its request."""

    transfer_id: int
    epochs: tuple[str, ...]
    answer: GrantDoc


def bad_request(problem: str) -> result.Err[errors.Failure]:
    """Return the failure for a message of the wrong shape."""
    return result.Err(errors.Failure(errors.ErrorKind.BAD_REQUEST, problem))


def to_message(doc: object) -> transport.Message:
    """Return a document as a message."""
    return dict(typing.cast(transport.Message, doc))


def first_waiter_shortfall(bucket: _buckets.Bucket) -> int:
    """Return the units that a bucket lacks for its first waiting request.

    That is, to have a capacity of the request's tokens.
    """
    if not bucket.waiters or bucket.limits.burst <= 0:
        return 0
    fraction = bucket.waiters[0].amount / bucket.limits.burst
    needed = min(
        _ownership.UNITS_PER_RESOURCE,
        int(fraction * _ownership.UNITS_PER_RESOURCE) + 1,
    )
    return max(0, needed - bucket.units)


def proportional_units(
    bucket: _buckets.Bucket, request: UnitRequestDoc, now: float
) -> int:
    """Return the units that make both VMs' units proportional to demand.

    Negative when the requester has more than its part.
    """
    idle_demand = IDLE_DEMAND_RATIO * bucket.limits.rate
    own_demand = bucket.demand.rate_per_s(now) + idle_demand
    their_demand = request['demand'] + idle_demand
    if own_demand + their_demand <= 0:
        return 0
    total_units = bucket.units + request['units']
    return (
        int(total_units * their_demand / (own_demand + their_demand))
        - request['units']
    )


def units_for_waiting_requests(
    bucket: _buckets.Bucket, request: UnitRequestDoc
) -> int:
    """Return the units whose tokens suffice for the waiting requests.

    At most about half, so that after a burst of requests at one VM the other
    can still serve its own.
    """
    if request['want'] <= 0 or bucket.tokens <= 0:
        return 0
    fraction = min(0.5, request['want'] / bucket.tokens)
    return int(fraction * bucket.units) + 1


def contended_units(
    bucket: _buckets.Bucket, request: UnitRequestDoc, now: float
) -> int:
    """Return the units to grant while requests wait at this VM too.

    When neither VM's bucket can hold its first request's tokens, dividing the
    units would serve neither: the request that has waited longer gets them
    all.
    """
    if not request['short'] or not first_waiter_shortfall(bucket):
        return proportional_units(bucket, request, now)
    waited_longer = request['waited_s'] > bucket.longest_wait_s(now)
    return bucket.units if waited_longer else 0


def units_to_grant(
    bucket: _buckets.Bucket, request: UnitRequestDoc, now: float
) -> int:
    """Return how many units to grant.

    A bucket with negative tokens grants none: its refill pays for past use.
    """
    if bucket.tokens < 0:
        return 0
    if bucket.waiters:
        units = contended_units(bucket, request, now)
    else:
        units = max(
            proportional_units(bucket, request, now),
            units_for_waiting_requests(bucket, request),
            request['short'],
        )
    if units < MIN_TRANSFER_UNITS and request['want'] <= 0:
        return 0
    return max(0, min(units, bucket.units))


class UnitDonor:
    """Answers peers' requests for units, and credits units pushed by peers.

    ``last_grants`` are kept by VM, incarnation and resource of the requester,
    ``last_pushes`` by VM and incarnation.
    """

    def __init__(
        self,
        table: _buckets.BucketTable,
        freshness: systems.Freshness,
    ) -> None:
        self.table = table
        self.freshness = freshness
        self.last_grants: dict[tuple[str, str, str], GrantRecord] = {}
        self.last_pushes: dict[tuple[str, str], PushRecord] = {}

    def answer_request(
        self, message: transport.Message, now: float
    ) -> result.Result[transport.Message, errors.Failure]:
        """Answer a request; a repeated transfer id gets the same answer."""
        checked = codec.convert(message, UnitRequestDoc)
        if isinstance(checked, result.Err):
            return bad_request(checked.err_value)
        request = checked.ok_value
        key = (request['vm'], request['incarnation'], request['resource'])
        last = self.last_grants.get(key)
        if last is not None and request['transfer_id'] == last.transfer_id:
            return result.Ok(to_message(last.answer))
        if last is not None and request['transfer_id'] < last.transfer_id:
            return result.Ok(to_message(EMPTY_GRANT))
        grant = self.grant_units(request, now)
        self.last_grants[key] = GrantRecord(
            request['transfer_id'], tuple(request['epoch']), grant
        )
        return result.Ok(to_message(grant))

    def grant_units(self, request: UnitRequestDoc, now: float) -> GrantDoc:
        """Debit units for a requester, if any are due to it."""
        bucket = self.table.get(request['resource'], now)
        if bucket is None or not self.freshness.is_fresh(now):
            return EMPTY_GRANT
        if not self.all_in_force(request['epoch'], bucket):
            return EMPTY_GRANT
        units = units_to_grant(bucket, request, now)
        if units <= 0:
            return EMPTY_GRANT
        return {
            'units': units,
            'tokens': bucket.debit(units, request['epoch']),
        }

    def all_in_force(self, epochs: list[str], bucket: _buckets.Bucket) -> bool:
        """Return whether a request's epochs are all in force on this VM."""
        return bool(epochs) and set(epochs) <= bucket.splits.keys()

    def accept_push(
        self, message: transport.Message, now: float
    ) -> result.Result[transport.Message, errors.Failure]:
        """Answer a push; its units are credited at most once."""
        checked = codec.convert(message, PushDoc)
        if isinstance(checked, result.Err):
            return bad_request(checked.err_value)
        push = checked.ok_value
        key = (push['vm'], push['incarnation'])
        last = self.last_pushes.get(key)
        if last is None or push['transfer_id'] > last.transfer_id:
            last = self.last_pushes[key] = self.try_credit_push(push, now)
        same = push['transfer_id'] == last.transfer_id
        return result.Ok({'accepted': same and last.accepted})

    def try_credit_push(self, push: PushDoc, now: float) -> PushRecord:
        """Credit a push if this VM is fresh and has all its epochs in force.

        A refusal is recorded too: the sender then credits the units to itself
        again, so that a delayed copy of the push must not be credited.
        """
        self.table.refresh(now)
        epochs = push['epoch']
        accepted = self.freshness.is_fresh(now) and bool(epochs)
        accepted = accepted and set(epochs) <= self.table.epochs.keys()
        if accepted:
            self.credit_push(push, now)
        return PushRecord(push['transfer_id'], tuple(epochs), accepted)

    def credit_push(self, push: PushDoc, now: float) -> None:
        """Credit the units of a push."""
        for resource, grant in push['grants'].items():
            bucket = self.table.get(resource, now)
            if bucket is not None:
                bucket.credit(grant['units'], grant['tokens'], push['epoch'])

    def drop_old_records(self) -> None:
        """Drop records of which no epoch is in force any more.

        A late retry of such a request is refused because of its epochs.
        """
        in_force = self.table.epochs.keys()
        self.last_grants = {
            key: record
            for key, record in self.last_grants.items()
            if in_force & set(record.epochs)
        }
        self.last_pushes = {
            key: record
            for key, record in self.last_pushes.items()
            if in_force & set(record.epochs)
        }
