"""Rate and burst as units that move to where the demand is.

A single holder of an account's bucket would refuse the whole account when it
dies, and a static split refuses wrongly when traffic is uneven.  So each VM
holds a part of every resource and asks peers for units that they do not need.
Why the parts never exceed the whole is argued in ``_buckets``.
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

# Units are asked for ahead of need when demand exceeds this part of the
# refill, because an answer takes a round trip between regions.
ASK_AHEAD_AT: typing.Final = 0.9

# Bounds in seconds of the advice when to try again.
LEAST_RETRY_AFTER_S: typing.Final = 0.05
MOST_RETRY_AFTER_S: typing.Final = 60.0

# Shortest timer in seconds; a rounding error must not make a busy loop.
LEAST_TIMER_S: typing.Final = 0.001

# Demand below this part of the rate is not advertised.
LEAST_DEMAND: typing.Final = 0.001

# Tries in a planned stop: per push, and rounds over other peers.
PUSH_TRIES: typing.Final = 3
PUSH_ROUNDS: typing.Final = 2

Grants = dict[str, _transfers.GrantDoc]


class TokenBucketSystem(
    systems.System, systems.HeartbeatPart, systems.SharedTokenBuckets
):
    """Token buckets over conserved units."""

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
        self.table = _buckets.ShareTable(vm, incarnation, views)
        self.giver = _transfers.Giver(self.table, freshness)
        self.asker = _asker.Asker(
            self.table, membership, peers, rng, clock.now, self.credited
        )
        self.timers: set[str] = set()

    def handlers(self) -> dict[str, systems.Handler]:
        """Return the peers' paths that this system answers."""
        return {
            _transfers.ASK_PATH: self.answer_ask,
            _transfers.PUSH_PATH: self.answer_push,
        }

    async def answer_ask(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Answer a peer's request for units."""
        return self.giver.answer(message, self.clock.now())

    async def answer_push(
        self, message: transport.Message
    ) -> result.Result[transport.Message, errors.Failure]:
        """Take over units of a peer that stops."""
        if self.asker.stopped:
            return result.Ok({'accepted': False})
        now = self.clock.now()
        answer = self.giver.accept(message, now)
        for bucket in self.table.buckets.values():
            self.serve(bucket, now)
        return answer

    def tick(self, now: float) -> None:
        """Refill, serve waiting requests and ask for what is missing."""
        self.table.refresh(now)
        self.giver.forget()
        self.asker.retry(now)
        for bucket in self.table.buckets.values():
            bucket.refill(now)
            self.serve(bucket, now)
            if self.short(bucket, now):
                self.asker.ask(bucket, now)

    def short(self, bucket: _buckets.Bucket, now: float) -> bool:
        """Tell whether a resource needs more units than it has here."""
        if not self.freshness.is_fresh(now):
            return False
        demand = bucket.demand.rate(now)
        idle = _transfers.IDLE_DEMAND * bucket.limits.rate
        ahead = demand > max(idle, ASK_AHEAD_AT * bucket.refill_rate())
        return bool(bucket.waiters) or ahead

    def serve(self, bucket: _buckets.Bucket, now: float) -> None:
        """Give tokens to waiting requests, first come first served."""
        while bucket.waiters:
            waiter = bucket.waiters[0]
            if not waiter.taken.done():
                fresh = self.freshness.is_fresh(now)
                if not fresh or not bucket.take(waiter.amount):
                    break
                waiter.taken.set_result(True)
            bucket.waiters.popleft()
        self.set_timer(bucket)

    def credited(self, bucket: _buckets.Bucket, now: float) -> None:
        """Serve after an answer; ask on at once while requests wait."""
        self.serve(bucket, now)
        if bucket.waiters and self.freshness.is_fresh(now):
            self.asker.ask(bucket, now)

    def set_timer(self, bucket: _buckets.Bucket) -> None:
        """Wake up when the refill covers the first waiting request.

        Ticks alone would let a request wait up to a tick too long.
        """
        if not bucket.waiters or bucket.resource in self.timers:
            return
        lacking = bucket.waiters[0].amount - bucket.tokens
        delay_s = systems.TICK_INTERVAL_S
        if bucket.refill_rate() > 0:
            delay_s = min(delay_s, lacking / bucket.refill_rate())
        self.timers.add(bucket.resource)
        asyncio.get_running_loop().call_later(
            max(LEAST_TIMER_S, delay_s), self.wake, bucket.resource
        )

    def wake(self, resource: str) -> None:
        """Serve the waiting requests of a resource after a timer."""
        self.timers.discard(resource)
        now = self.clock.now()
        bucket = self.table.get(resource, now)
        if bucket is not None:
            self.serve(bucket, now)

    def try_consume(self, resource: str, amount: float, now: float) -> bool:
        """Take tokens if this VM's bucket has them and nobody waits."""
        bucket = self.table.get(resource, now)
        if bucket is None:
            return False
        bucket.demand.note(amount, now)
        return self.take_now(bucket, amount, now)

    def take_now(
        self, bucket: _buckets.Bucket, amount: float, now: float
    ) -> bool:
        """Take tokens while fresh, behind those that wait already."""
        if bucket.waiters or not self.freshness.is_fresh(now):
            return False
        return bucket.take(amount)

    async def consume(
        self, resource: str, amount: float, timeout_s: float
    ) -> bool:
        """Take tokens, waiting for the refill or for peers' units."""
        now = self.clock.now()
        bucket = self.table.get(resource, now)
        if bucket is None:
            return False
        bucket.demand.note(amount, now)
        if self.take_now(bucket, amount, now):
            return True
        # More than the burst never fits, and waiting for it would gather
        # all units here.
        hopeless = amount > bucket.limits.burst or timeout_s <= 0
        if hopeless or not self.freshness.is_fresh(now):
            return False
        return await self.wait(bucket, amount, timeout_s)

    async def wait(
        self, bucket: _buckets.Bucket, amount: float, timeout_s: float
    ) -> bool:
        """Wait in the resource's queue until the time is up."""
        now = self.clock.now()
        taken: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = _buckets.Waiter(amount, now, taken)
        bucket.waiters.append(waiter)
        self.set_timer(bucket)
        self.asker.ask(bucket, now)
        try:
            await asyncio.wait([taken], timeout=timeout_s)
        except asyncio.CancelledError:
            self.abandon(bucket, waiter)
            raise
        if taken.done():
            return True
        self.abandon(bucket, waiter)
        return False

    def abandon(
        self, bucket: _buckets.Bucket, waiter: _buckets.Waiter
    ) -> None:
        """Remove a request that no longer waits; return its tokens."""
        now = self.clock.now()
        if waiter.taken.done():
            self.refund(bucket.resource, waiter.amount, now)
        waiter.taken.cancel()
        bucket.refill(now)
        self.serve(bucket, now)

    def refund(self, resource: str, amount: float, now: float) -> None:
        """Return tokens that were taken and not used."""
        bucket = self.table.get(resource, now)
        if bucket is not None:
            bucket.tokens += amount
            bucket.clamp()
            self.serve(bucket, now)

    def charge(self, resource: str, amount: float, now: float) -> None:
        """Take tokens for what was used already; the bucket may go below 0."""
        bucket = self.table.get(resource, now)
        if bucket is not None:
            bucket.demand.note(amount, now)
            bucket.tokens -= amount

    def retry_after_s(self, resource: str, now: float) -> float:
        """Return seconds until one token is expected, at least 0.05."""
        bucket = self.table.get(resource, now)
        if bucket is None or bucket.refill_rate() <= 0:
            return 1.0
        wait_s = (1.0 - bucket.tokens) / bucket.refill_rate()
        return min(MOST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wait_s))

    def payload(self, now: float) -> dict[str, typing.Any]:
        """Return units and demand of resources that are not at rest."""
        self.table.refresh(now)
        rows = []
        for bucket in self.table.buckets.values():
            demand = bucket.demand.rate(now)
            split = min(bucket.splits.values(), default=0)
            asked = demand > LEAST_DEMAND * bucket.limits.rate
            if asked or bucket.units != split:
                weight = demand / (bucket.limits.rate or 1.0)
                rows.append((-weight, bucket.resource, bucket.units, demand))
        rows.sort()
        return {
            'resources': {
                resource: {'units': units, 'demand': round(demand, 3)}
                for _, resource, units, demand in rows[: _asker.HEARTBEAT_ROWS]
            }
        }

    def receive(
        self,
        vm: str,
        incarnation: str,
        payload: dict[str, typing.Any],
        now: float,
    ) -> None:
        """Take a peer's units and demand."""
        self.asker.receive(vm, incarnation, payload)

    async def hand_over(self) -> None:
        """Push all units to live peers before a planned stop.

        What a peer refuses goes to another one; what it leaves unanswered
        stays debited, because the peer may have credited it.
        """
        self.asker.stopped = True
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
                *(self.push(vm, epochs, grants[vm]) for vm in targets)
            )
            refused |= {
                vm
                for vm, accepted in zip(targets, answers, strict=True)
                if not accepted
            }

    def push_targets(self, refused: set[str], now: float) -> list[str]:
        """Return live peers that may take units over."""
        return [
            peer.vm
            for peer in self.membership.live_vms(now)
            if peer.state == 'serving' and peer.vm not in refused
        ]

    def debit_all(
        self, targets: list[str], epochs: list[str], now: float
    ) -> dict[str, Grants]:
        """Debit all units, split by the peers' demand as last heard."""
        grants: dict[str, Grants] = {vm: {} for vm in targets}
        for resource, bucket in self.table.buckets.items():
            bucket.refill(now)
            weights = self.weights(targets, bucket)
            for vm, units in split_units(bucket.units, weights).items():
                if units:
                    tokens = bucket.debit(units, epochs)
                    grants[vm][resource] = {'units': units, 'tokens': tokens}
        return grants

    def weights(
        self, targets: list[str], bucket: _buckets.Bucket
    ) -> dict[str, float]:
        """Return each peer's demand of a resource as last heard."""
        idle = max(1e-9, _transfers.IDLE_DEMAND * bucket.limits.rate)
        found = {}
        for vm in targets:
            rows = self.asker.heard.get(vm, ('', {}))[1]
            row = rows.get(bucket.resource)
            found[vm] = idle + (row.demand if row is not None else 0.0)
        return found

    async def push(self, vm: str, epochs: list[str], grants: Grants) -> bool:
        """Push units to a peer; False when it certainly took none."""
        if not grants:
            return True
        self.asker.last_id += 1
        doc: _transfers.PushDoc = {
            'vm': self.table.vm,
            'incarnation': self.table.incarnation,
            'transfer_id': self.asker.last_id,
            'epoch': epochs,
            'grants': grants,
        }
        for _ in range(PUSH_TRIES):
            answer = await self.peers.call(
                vm,
                _transfers.PUSH_PATH,
                _transfers.as_message(doc),
                _asker.ASK_TIMEOUT_S,
            )
            if isinstance(answer, result.Ok):
                return self.pushed(answer.ok_value, epochs, grants)
        return True

    def pushed(
        self, answer: transport.Message, epochs: list[str], grants: Grants
    ) -> bool:
        """Take back the units of a push that was refused."""
        checked = codec.convert(answer, _transfers.PushAnswerDoc)
        if isinstance(checked, result.Err) or checked.ok_value['accepted']:
            return True
        now = self.clock.now()
        for resource, grant in grants.items():
            bucket = self.table.get(resource, now)
            if bucket is not None:
                bucket.credit(grant['units'], grant['tokens'], epochs)
        return False


def split_units(units: int, weights: dict[str, float]) -> dict[str, int]:
    """Split units by weight; the remainder goes to the largest weight."""
    total = sum(weights.values())
    parts = {vm: int(units * part / total) for vm, part in weights.items()}
    largest = max(weights, key=lambda vm: weights[vm])
    parts[largest] += units - sum(parts.values())
    return parts
