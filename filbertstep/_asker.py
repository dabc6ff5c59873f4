"""Requests units of resources from peers and credits what they grant.

Peers with the largest expected surplus are asked first, at most three at once
for one resource, with one call at a time for each peer and resource.  The
delay before a peer that granted nothing is asked again doubles each time,
because the calls would only add load while all VMs are short of units.
"""

import asyncio
import collections.abc
import random
import typing

import result

from filbertstep import _buckets
from filbertstep import _ownership
from filbertstep import _transfers
from filbertstep import codec
from filbertstep import errors
from filbertstep import systems
from filbertstep import transport

MAX_PARALLEL_REQUESTS_PER_RESOURCE: typing.Final = 3

# Leaves time for several round trips between regions.
CALL_TIMEOUT_S: typing.Final = 0.2

# Delays before a peer that granted nothing is asked again.
INITIAL_RETRY_DELAY_S: typing.Final = 0.1
MAX_RETRY_DELAY_S: typing.Final = 1.6

# A heartbeat must stay small, and only the resources with the most demand
# matter for the choice of the peers to ask.
MAX_HEARTBEAT_RESOURCES: typing.Final = 128


class PeerResource(typing.NamedTuple):
    """A peer's units and demand for a resource, from its heartbeat."""

    units: int
    demand: float


class ResourceDoc(typing.TypedDict):
    """A resource in a heartbeat: units, and demand in tokens per second."""

    units: _transfers.Units
    demand: _transfers.NonNegative


class HeartbeatDoc(typing.TypedDict):
    """Content of a heartbeat about resources.

    For a resource that is not listed, the VM has the equal split's units and
    no demand.
    """

    resources: dict[str, ResourceDoc]


class PendingRequest(typing.NamedTuple):
    """An unanswered request and the incarnation of the peer asked."""

    incarnation: str
    message: _transfers.UnitRequestDoc


class RequestState:
    """Requests to one peer for one resource.

    ``call_active`` is True while a call is in progress; ``pending`` stays set
    between the attempts of a request.
    """

    def __init__(self) -> None:
        self.pending: PendingRequest | None = None
        self.call_active = False
        self.next_request_at = float('-inf')
        self.retry_delay_s = INITIAL_RETRY_DELAY_S


class UnitRequester:
    """Requests units from peers and credits what they grant.

    ``request_states`` are kept by VM and resource.  ``reported`` holds the
    incarnation and the resources of each VM's last heartbeat, less the units
    that the VM has granted since.
    """

    def __init__(
        self,
        table: _buckets.BucketTable,
        membership: systems.Membership,
        peers: transport.Peers,
        rng: random.Random,
        clock_now: collections.abc.Callable[[], float],
        on_answer_applied: collections.abc.Callable[
            [_buckets.Bucket, float], None
        ],
    ) -> None:
        self.table = table
        self.membership = membership
        self.peers = peers
        self.rng = rng
        self.clock_now = clock_now
        self.on_answer_applied = on_answer_applied
        self.stopped = False
        self.last_transfer_id = 0
        self.request_states: dict[tuple[str, str], RequestState] = {}
        self.reported: dict[str, tuple[str, dict[str, PeerResource]]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def receive(
        self, vm: str, incarnation: str, payload: dict[str, typing.Any]
    ) -> None:
        """Record the units and the demand in a peer's heartbeat."""
        checked = codec.convert(payload, HeartbeatDoc)
        if isinstance(checked, result.Err):
            return
        rows = checked.ok_value['resources']
        self.reported[vm] = (
            incarnation,
            {
                name: PeerResource(row['units'], row['demand'])
                for name, row in rows.items()
            },
        )

    def peer_resource(
        self, peer: systems.LiveVm, bucket: _buckets.Bucket
    ) -> PeerResource:
        """Return a peer's reported units and demand, or the equal split."""
        incarnation, rows = self.reported.get(peer.vm, ('', {}))
        if incarnation == peer.incarnation and bucket.resource in rows:
            return rows[bucket.resource]
        splits = [
            self.table.equal_split_units(
                epoch_id, bucket.resource, peer.vm, peer.incarnation
            )
            for epoch_id in self.table.epochs
        ]
        return PeerResource(min(splits, default=0), 0.0)

    def surplus(self, peer: systems.LiveVm, bucket: _buckets.Bucket) -> float:
        """Return the units that a peer's demand does not need."""
        row = self.peer_resource(peer, bucket)
        if not row.units or not bucket.limits.rate:
            return 0.0
        needed = (
            row.demand / bucket.limits.rate * _ownership.UNITS_PER_RESOURCE
        )
        if bucket.waiters:
            # Ask a peer that needs all of its units too: it may grant some of
            # its tokens.
            needed = min(needed, row.units - 1)
        return row.units - needed

    def candidates(
        self,
        live: list[systems.LiveVm],
        bucket: _buckets.Bucket,
        now: float,
    ) -> list[systems.LiveVm]:
        """Return the peers to ask now, by descending expected surplus."""
        found = []
        for peer in live:
            state = self.request_state(peer.vm, bucket.resource)
            surplus = self.surplus(peer, bucket)
            ready = state.pending is None and now >= state.next_request_at
            if ready and surplus > 0 and peer.state != 'leaving':
                found.append((-surplus, self.rng.random(), peer))
        return [peer for _, _, peer in sorted(found)]

    def request_state(self, vm: str, resource: str) -> RequestState:
        """Return the state of requests to a peer for a resource."""
        return self.request_states.setdefault((vm, resource), RequestState())

    def request_units(self, bucket: _buckets.Bucket, now: float) -> None:
        """Request units of a resource from peers."""
        if self.stopped or not self.table.epochs:
            return
        live = self.membership.live_vms(now)
        # Requests to dead peers stay unanswered and must not use up the limit.
        active = sum(
            self.request_state(peer.vm, bucket.resource).pending is not None
            for peer in live
        )
        free = max(0, MAX_PARALLEL_REQUESTS_PER_RESOURCE - active)
        for peer in self.candidates(live, bucket, now)[:free]:
            self.start_request(peer, bucket, now)

    def start_request(
        self, peer: systems.LiveVm, bucket: _buckets.Bucket, now: float
    ) -> None:
        """Start a request to one peer."""
        self.last_transfer_id += 1
        message: _transfers.UnitRequestDoc = {
            'vm': self.table.vm,
            'incarnation': self.table.incarnation,
            'resource': bucket.resource,
            'transfer_id': self.last_transfer_id,
            'epoch': sorted(bucket.splits),
            'demand': bucket.demand.rate_per_s(now),
            'want': bucket.token_shortfall() if bucket.waiters else 0.0,
            'units': bucket.units,
            'short': _transfers.first_waiter_shortfall(bucket),
            'waited_s': bucket.longest_wait_s(now),
        }
        state = self.request_state(peer.vm, bucket.resource)
        state.pending = PendingRequest(peer.incarnation, message)
        self.start_call(peer.vm, state, state.pending)

    def start_call(
        self, vm: str, state: RequestState, request: PendingRequest
    ) -> None:
        """Start a task that sends a request."""
        state.call_active = True
        task = asyncio.get_running_loop().create_task(
            self.call_peer(vm, state, request)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call_peer(
        self, vm: str, state: RequestState, request: PendingRequest
    ) -> None:
        """Send a request and apply its answer."""
        try:
            answer = await self.peers.call(
                vm,
                _transfers.UNIT_REQUEST_PATH,
                _transfers.to_message(request.message),
                CALL_TIMEOUT_S,
            )
        finally:
            state.call_active = False
        if state.pending is request:
            self.apply_answer(vm, state, request, answer)

    def apply_answer(
        self,
        vm: str,
        state: RequestState,
        request: PendingRequest,
        answer: result.Result[transport.Message, errors.Failure],
    ) -> None:
        """Credit a grant once, or keep the request for a retry."""
        now = self.clock_now()
        if isinstance(answer, result.Err):
            state.next_request_at = now + INITIAL_RETRY_DELAY_S
            if answer.err_value.kind is errors.ErrorKind.BAD_REQUEST:
                state.pending = None
            return
        state.pending = None
        checked = codec.convert(answer.ok_value, _transfers.GrantDoc)
        bucket = self.table.get(request.message['resource'], now)
        if isinstance(checked, result.Err) or bucket is None:
            return
        grant = checked.ok_value
        self.set_retry_delay(state, request, grant['units'], now)
        if grant['units']:
            bucket.credit(
                grant['units'], grant['tokens'], request.message['epoch']
            )
            self.reduce_reported_units(vm, bucket.resource, grant['units'])
        self.on_answer_applied(bucket, now)

    def set_retry_delay(
        self,
        state: RequestState,
        request: PendingRequest,
        units: int,
        now: float,
    ) -> None:
        """Set when a peer may be asked again.

        When all VMs are short of units, requests always wait, so that without
        a delay peers would be asked without pause.  While this VM lacks the
        units for one request's tokens, the delay does not grow: a peer that
        keeps the units of a small bucket for a request that has waited longer
        can soon grant them.
        """
        granted_enough = units >= _transfers.MIN_TRANSFER_UNITS
        if granted_enough:
            state.retry_delay_s = INITIAL_RETRY_DELAY_S
        if granted_enough and request.message['short']:
            return
        state.next_request_at = now + state.retry_delay_s
        if not granted_enough and not request.message['short']:
            state.retry_delay_s = min(
                MAX_RETRY_DELAY_S, 2 * state.retry_delay_s
            )

    def reduce_reported_units(
        self, vm: str, resource: str, units: int
    ) -> None:
        """Subtract granted units from those that the peer last reported."""
        rows = self.reported.get(vm, ('', {}))[1]
        row = rows.get(resource)
        if row is not None:
            rows[resource] = row._replace(units=max(0, row.units - units))

    def retry_pending(self, now: float) -> None:
        """Repeat unanswered requests.

        Drops requests to a former incarnation of a peer, and those whose
        epochs are all no longer in force.
        """
        live = {peer.vm: peer for peer in self.membership.live_vms(now)}
        for (vm, _), state in list(self.request_states.items()):
            request = state.pending
            if request is None or state.call_active:
                continue
            peer = live.get(vm)
            restarted = (
                peer is not None and peer.incarnation != request.incarnation
            )
            in_force = self.table.epochs.keys() & set(request.message['epoch'])
            if restarted or not in_force:
                state.pending = None
            elif peer is not None and now >= state.next_request_at:
                self.start_call(vm, state, request)
        self.drop_departed_peers(live)

    def drop_departed_peers(self, live: dict[str, systems.LiveVm]) -> None:
        """Drop the state of peers that are no longer live.

        Unanswered requests stay.
        """
        self.reported = {
            vm: row for vm, row in self.reported.items() if vm in live
        }
        self.request_states = {
            key: state
            for key, state in self.request_states.items()
            if key[0] in live or state.pending is not None
        }
