"""Rate limits that all VMs enforce together, with a token bucket on each VM.

The limit of each resource is divided into units.  A VM holds some of the
units, which give its bucket a proportional part of the rate and the burst,
and requests more from peers that do not need theirs.

If one VM held the whole bucket of an account, its death would refuse all
requests of the account.  A fixed split would refuse requests wrongly when
traffic is uneven.  ``_buckets`` proves that the VMs together never exceed
the limit.
"""

import asyncio
import random
import typing

import result

from filbertstep import _asker
from filbertstep import _buckets
from filbertstep import _transfers
from filbertstep import clock
from filbertstep import codec
from filbertstep import config
from filbertstep import errors
from filbertstep import systems
from filbertstep import transport

# Ratio of demand to the refill rate above which a VM requests units before
# any request has to wait, because the answer takes a round trip between
# regions.
EARLY_REQUEST_DEMAND_RATIO: typing.Final = 0.9

# Bounds of the time after which a caller is advised to retry.
MIN_RETRY_AFTER_S: typing.Final = 0.05
MAX_RETRY_AFTER_S: typing.Final = 60.0

# Without a lower bound, a rounding error could cause a busy loop.
MIN_TIMER_DELAY_S: typing.Final = 0.001

# Ratio of demand to the resource's rate below which heartbeats omit it.
MIN_ADVERTISED_DEMAND_RATIO: typing.Final = 0.001

# Limits for a planned stop: attempts for each push, and rounds in which the
# units that some peers refused are pushed to others.
PUSH_ATTEMPTS: typing.Final = 3
PUSH_ROUNDS: typing.Final = 2

Grants = dict[str, _transfers.GrantDoc]


class TokenBucketSystem(
    systems.System, systems.HeartbeatPart, systems.SharedTokenBuckets
):
    """Implements the shared token buckets by transfers of units."""

    part_name = 'shares'

    def __init__(
        self,
        vm: str,
        incarnation: str,
        clock: clock.Clock,
        views: config.ViewTable,
        freshness: systems.Freshness,
        membership: systems.Membership,
        peers: transport.Peers,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.freshness = freshness
        self.membership = membership
        self.peers = peers
        self.table = _buckets.BucketTable(vm, incarnation, views)
        self.donor = _transfers.UnitDonor(self.table, freshness)
        self.requester = _asker.UnitRequester(
            self.table,
            membership,
            peers,
            rng,
            clock.now,
            self.on_answer_applied,
        )
        self.resources_with_timer: set[str] = set()

    def handlers(self) -> dict[str, systems.Handler]:
        """Return the handlers of peers' calls by path."""
        return {
            _transfers.UNIT_REQUEST_PATH: self.handle_unit_request,
            _transfers.PUSH_PATH: self.handle_push,
        }

    async def handle_unit_request(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Answer a peer's request for units."""
        return self.donor.answer_request(message, self.clock.now())

    async def handle_push(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Accept or refuse the units of a peer that stops."""
        if self.requester.stopped:
            return result.Ok({'accepted': False})
        now = self.clock.now()
        answer = self.donor.accept_push(message, now)
        for bucket in self.table.buckets.values():
            self.serve_waiters(bucket, now)
        return answer

    def tick(self, now: float) -> None:
        """Refill buckets, serve waiting requests and request missing units."""
        self.table.refresh(now)
        self.donor.drop_old_records()
        self.requester.retry_pending(now)
        for bucket in self.table.buckets.values():
            bucket.refill(now)
            self.serve_waiters(bucket, now)
            if self.needs_more_units(bucket, now):
                self.requester.request_units(bucket, now)

    def needs_more_units(self, bucket: _buckets.Bucket, now: float) -> bool:
        """Return whether this VM should request units of a resource."""
        if not self.freshness.is_fresh(now):
            return False
        demand = bucket.demand.rate_per_s(now)
        idle_demand = _transfers.IDLE_DEMAND_RATIO * bucket.limits.rate
        above_threshold = demand > max(
            idle_demand, EARLY_REQUEST_DEMAND_RATIO * bucket.refill_rate()
        )
        return bool(bucket.waiters) or above_threshold

    def serve_waiters(self, bucket: _buckets.Bucket, now: float) -> None:
        """Give tokens to waiting requests in order of arrival."""
        while bucket.waiters:
            waiter = bucket.waiters[0]
            if not waiter.granted.done():
                fresh = self.freshness.is_fresh(now)
                if not fresh or not bucket.try_consume(waiter.amount):
                    break
                waiter.granted.set_result(True)
            bucket.waiters.popleft()
        self.schedule_serving(bucket)

    def on_answer_applied(self, bucket: _buckets.Bucket, now: float) -> None:
        """Serve waiting requests; request more units if some still wait."""
        self.serve_waiters(bucket, now)
        if bucket.waiters and self.freshness.is_fresh(now):
            self.requester.request_units(bucket, now)

    def schedule_serving(self, bucket: _buckets.Bucket) -> None:
        """Schedule a timer for when the refill covers the first waiter.

        With ticks alone, a request could wait up to one tick too long.
        """
        if not bucket.waiters or bucket.resource in self.resources_with_timer:
            return
        shortfall = bucket.waiters[0].amount - bucket.tokens
        delay_s = systems.TICK_INTERVAL_S
        if bucket.refill_rate() > 0:
            delay_s = min(delay_s, shortfall / bucket.refill_rate())
        self.resources_with_timer.add(bucket.resource)
        asyncio.get_running_loop().call_later(
            max(MIN_TIMER_DELAY_S, delay_s), self.on_timer, bucket.resource
        )

    def on_timer(self, resource: str) -> None:
        """Serve the waiting requests of a resource when its timer fires."""
        self.resources_with_timer.discard(resource)
        now = self.clock.now()
        bucket = self.table.get(resource, now)
        if bucket is not None:
            self.serve_waiters(bucket, now)

    def try_consume(self, resource: str, amount: float, now: float) -> bool:
        """Consume tokens if the bucket has enough and no request waits."""
        bucket = self.table.get(resource, now)
        if bucket is None:
            return False
        bucket.demand.record(amount, now)
        return self.consume_now(bucket, amount, now)

    def consume_now(
        self, bucket: _buckets.Bucket, amount: float, now: float
    ) -> bool:
        """Consume tokens if this VM is fresh and no request waits."""
        if bucket.waiters or not self.freshness.is_fresh(now):
            return False
        return bucket.try_consume(amount)

    async def consume(
        self, resource: str, amount: float, timeout_s: float
    ) -> bool:
        """Consume tokens, waiting for the refill or for peers' units.

        Returns False when the tokens did not arrive within ``timeout_s``.
        """
        now = self.clock.now()
        bucket = self.table.get(resource, now)
        if bucket is None:
            return False
        bucket.demand.record(amount, now)
        if self.consume_now(bucket, amount, now):
            return True
        # An amount above the burst never fits.  Waiting for it would draw all
        # units to this VM.
        cannot_succeed = amount > bucket.limits.burst or timeout_s <= 0
        if cannot_succeed or not self.freshness.is_fresh(now):
            return False
        return await self.wait_for_tokens(bucket, amount, timeout_s)

    async def wait_for_tokens(
        self, bucket: _buckets.Bucket, amount: float, timeout_s: float
    ) -> bool:
        """Wait in the resource's queue for at most ``timeout_s``."""
        now = self.clock.now()
        granted: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = _buckets.Waiter(amount, now, granted)
        bucket.waiters.append(waiter)
        self.schedule_serving(bucket)
        self.requester.request_units(bucket, now)
        try:
            await asyncio.wait([granted], timeout=timeout_s)
        except asyncio.CancelledError:
            self.remove_waiter(bucket, waiter)
            raise
        if granted.done():
            return True
        self.remove_waiter(bucket, waiter)
        return False

    def remove_waiter(
        self, bucket: _buckets.Bucket, waiter: _buckets.Waiter
    ) -> None:
        """Remove a request from the queue; refund its tokens if granted."""
        now = self.clock.now()
        if waiter.granted.done():
            self.refund(bucket.resource, waiter.amount, now)
        waiter.granted.cancel()
        bucket.refill(now)
        self.serve_waiters(bucket, now)

    def refund(self, resource: str, amount: float, now: float) -> None:
        """Return tokens that were consumed but not used."""
        bucket = self.table.get(resource, now)
        if bucket is not None:
            bucket.tokens += amount
            bucket.clamp_tokens()
            self.serve_waiters(bucket, now)

    def charge(self, resource: str, amount: float, now: float) -> None:
        """Consume tokens for past use; the bucket may become negative."""
        bucket = self.table.get(resource, now)
        if bucket is not None:
            bucket.demand.record(amount, now)
            bucket.tokens -= amount

    def retry_after_s(self, resource: str, now: float) -> float:
        """Return the time until one token is expected, at least 0.05 s."""
        bucket = self.table.get(resource, now)
        if bucket is None or bucket.refill_rate() <= 0:
            return 1.0
        wait_s = (1.0 - bucket.tokens) / bucket.refill_rate()
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def payload(self, now: float) -> dict[str, typing.Any]:
        """Return units and demand for the heartbeat.

        Omits resources that have no demand and only the equal split's units.
        """
        self.table.refresh(now)
        rows = []
        for bucket in self.table.buckets.values():
            demand = bucket.demand.rate_per_s(now)
            split = min(bucket.splits.values(), default=0)
            has_demand = (
                demand > MIN_ADVERTISED_DEMAND_RATIO * bucket.limits.rate
            )
            if has_demand or bucket.units != split:
                weight = demand / (bucket.limits.rate or 1.0)
                rows.append((-weight, bucket.resource, bucket.units, demand))
        rows.sort()
        return {
            'resources': {
                resource: {'units': units, 'demand': round(demand, 3)}
                for _, resource, units, demand in rows[
                    : _asker.MAX_HEARTBEAT_RESOURCES
                ]
            }
        }

    def receive(
        self,
        vm: str,
        incarnation: str,
        payload: dict[str, typing.Any],
        now: float,
    ) -> None:
        """Record a peer's units and demand."""
        self.requester.receive(vm, incarnation, payload)

    async def hand_over(self) -> None:
        """Push all units to live peers before a planned stop.

        Units that a peer refused are pushed to another one.  After a push
        without an answer the units stay debited, because the peer may have
        credited them.
        """
        self.requester.stopped = True
        refused: set[str] = set()
        for _ in range(PUSH_ROUNDS):
            now = self.clock.now()
            self.table.refresh(now)
            targets = self.push_targets(refused, now)
            if not targets:
                return
            epochs = sorted(self.table.epochs)
            grants = self.debit_all(targets, epochs, now)
            answers = await asyncio.gather(
                *(self.push_units(vm, epochs, grants[vm]) for vm in targets)
            )
            refused |= {
                vm
                for vm, accepted in zip(targets, answers, strict=True)
                if not accepted
            }

    def push_targets(self, refused: set[str], now: float) -> list[str]:
        """Return the serving live peers that have not refused a push."""
        return [
            peer.vm
            for peer in self.membership.live_vms(now)
            if peer.state == 'serving' and peer.vm not in refused
        ]

    def debit_all(
        self, targets: list[str], epochs: list[str], now: float
    ) -> dict[str, Grants]:
        """Debit all units; divide them by the peers' last reported demand."""
        grants: dict[str, Grants] = {vm: {} for vm in targets}
        for resource, bucket in self.table.buckets.items():
            bucket.refill(now)
            weights = self.demand_weights(targets, bucket)
            for vm, units in divide_units(bucket.units, weights).items():
                if units:
                    tokens = bucket.debit(units, epochs)
                    grants[vm][resource] = {'units': units, 'tokens': tokens}
        return grants

    def demand_weights(
        self, targets: list[str], bucket: _buckets.Bucket
    ) -> dict[str, float]:
        """Return each peer's last reported demand, plus the idle demand."""
        idle_demand = max(
            1e-9, _transfers.IDLE_DEMAND_RATIO * bucket.limits.rate
        )
        found = {}
        for vm in targets:
            rows = self.requester.reported.get(vm, ('', {}))[1]
            row = rows.get(bucket.resource)
            found[vm] = idle_demand + (row.demand if row is not None else 0.0)
        return found

    async def push_units(
        self, vm: str, epochs: list[str], grants: Grants
    ) -> bool:
        """Push units to a peer; return False only if it refused them."""
        if not grants:
            return True
        self.requester.last_transfer_id += 1
        doc: _transfers.PushDoc = {
            'vm': self.table.vm,
            'incarnation': self.table.incarnation,
            'transfer_id': self.requester.last_transfer_id,
            'epoch': epochs,
            'grants': grants,
        }
        for _ in range(PUSH_ATTEMPTS):
            answer = await self.peers.call(
                vm,
                _transfers.PUSH_PATH,
                _transfers.to_message(doc),
                _asker.CALL_TIMEOUT_S,
            )
            if isinstance(answer, result.Ok):
                return self.apply_push_answer(answer.ok_value, epochs, grants)
        return True

    def apply_push_answer(
        self, answer: transport.Message, epochs: list[str], grants: Grants
    ) -> bool:
        """Credit the units again if the peer refused them."""
        checked = codec.convert(answer, _transfers.PushAnswerDoc)
        if isinstance(checked, result.Err) or checked.ok_value['accepted']:
            return True
        now = self.clock.now()
        for resource, grant in grants.items():
            bucket = self.table.get(resource, now)
            if bucket is not None:
                bucket.credit(grant['units'], grant['tokens'], epochs)
        return False


def divide_units(units: int, weights: dict[str, float]) -> dict[str, int]:
    """Divide units by weight; the largest weight gets the remainder."""
    total = sum(weights.values())
    parts = {vm: int(units * part / total) for vm, part in weights.items()}
    largest = max(weights, key=lambda vm: weights[vm])
    parts[largest] += units - sum(parts.values())
    return parts
