"""Distributed token buckets that enforce the rate limits of client accounts.

A few VMs hold the tokens of an account, more for a higher rate.  Rendezvous
hashing over all VMs that may spend tokens selects the holders without any
messages.  Each holder refills its bucket with an equal part of the rate.  A VM
that has left still counts until its data is certainly too old to accept API
keys, so that the parts never add up to more than the rate.

The other VMs request tokens from the holders.  A holder takes tokens out of
its bucket before it sends them: a lost answer loses tokens but never
duplicates them.
"""

import collections.abc
import math
import typing

from filbertstep.steering import _model
from filbertstep.steering import _routes

# After a restart, a bucket starts with the refill of this time.  The previous
# process may have spent the burst, but nothing was spent during the restart.
RESTART_REFILL_S: typing.Final = 0.25

# An account gets one holder for each such part of its rate.  With smaller
# parts, most holders would not have a whole token.
MIN_HOLDER_REFILL_PER_S: typing.Final = 4.0

# With fewer holders, an account would lose too many tokens with one of them.
MIN_HOLDERS: typing.Final = 3

# A VM that is not a holder discards transferred tokens after this time without
# use.  Tokens count against the account on whichever VM they are.
UNUSED_TRANSFER_TTL_S: typing.Final = 2.0

# A VM that expects fewer requests of an account than this, in the time for
# which transferred tokens last, asks only for what the present request lacks.
MIN_EXPECTED_REQUESTS: typing.Final = 2.0

# Half-life of the demand for an account's tokens on this VM.
DEMAND_HALF_LIFE_S: typing.Final = 2.0

# Tokens that a VM keeps for its own callers when a peer requests tokens.
RESERVED_TOKENS: typing.Final = 0.5

# Smaller amounts are not worth a message.
MIN_TRANSFER_TOKENS: typing.Final = 0.25

# Shares of the tolerances in ``Bounds`` that are added to the tokens of an
# account, to compensate for their division among VMs.  The rest covers
# restarts.
USED_SLACK_SHARE: typing.Final = 0.5
USED_TOLERANCE_SHARE: typing.Final = 0.5


class Bucket:
    """Tokens of one account on this VM.

    ``total_capacity`` is the capacity of all VMs together at the last refill.
    """

    def __init__(
        self, tokens: float, total_capacity: float, now: float
    ) -> None:
        self.tokens = tokens
        self.total_capacity = total_capacity
        self.updated_at = now
        # Time of the last request on this VM or transfer to it.
        self.last_used_at = float('-inf')
        # Number of requests, each halved after the half-life, and the time of
        # the last one.
        self.demand = 0.0
        self.demanded_at = now

    def record_demand(self, now: float) -> None:
        """Count a request for a token on this VM."""
        self.demand = self.decayed_demand(now) + 1.0
        self.demanded_at = now

    def decayed_demand(self, now: float) -> float:
        """Return the decayed number of requests."""
        age_s = max(0.0, now - self.demanded_at)
        return self.demand * float(0.5 ** (age_s / DEMAND_HALF_LIFE_S))

    def demand_per_s(self, now: float) -> float:
        """Return the rate of requests for tokens on this VM."""
        return self.decayed_demand(now) * math.log(2.0) / DEMAND_HALF_LIFE_S


class QuotaTable:
    """Token buckets of this VM by account.

    ``vms`` are the VMs that may spend tokens.  ``first_start`` is set for the
    first start of the whole deployment, when no previous process can have
    spent the burst.
    """

    def __init__(
        self, own_vm: str, first_start: bool, bounds: _model.Bounds
    ) -> None:
        self.own_vm = own_vm
        self.bounds = bounds
        self.first_start = first_start
        self.vms: frozenset[str] = frozenset({own_vm})
        self.buckets: dict[str, Bucket] = {}
        self.holders_cache: dict[tuple[str, int], frozenset[str]] = {}

    def set_vms(self, vms: collections.abc.Iterable[str]) -> None:
        """Set the VMs that may spend tokens; this VM is always added."""
        spending_vms = frozenset(vms) | {self.own_vm}
        if spending_vms != self.vms:
            self.vms = spending_vms
            self.holders_cache.clear()

    def holders(self, account: _model.ClientAccount) -> frozenset[str]:
        """Return the VMs that hold and refill an account's tokens."""
        count = max(
            MIN_HOLDERS,
            math.ceil(account.rate_per_s / MIN_HOLDER_REFILL_PER_S),
        )
        holders = self.holders_cache.get((account.name, count))
        if holders is None:
            ranked = sorted(
                self.vms,
                key=lambda vm: _routes.rendezvous_rank(vm, account.name),
                reverse=True,
            )
            holders = frozenset(ranked[:count])
            self.holders_cache[(account.name, count)] = holders
        return holders

    def try_take(
        self,
        account: _model.ClientAccount,
        now: float,
        is_first_try: bool = True,
    ) -> bool:
        """Take a token for one request; return False if there is none.

        Accounts without a rate limit need no token.  ``is_first_try`` tells
        whether the request has not been counted yet.
        """
        if account.rate_per_s <= 0:
            return True
        bucket = self.refilled_bucket(account, now)
        bucket.last_used_at = now
        if is_first_try:
            bucket.record_demand(now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def refund(self, account: _model.ClientAccount, now: float) -> None:
        """Put back the token of a request that no server ran."""
        if account.rate_per_s > 0:
            bucket = self.refilled_bucket(account, now)
            bucket.tokens = min(
                self.bucket_capacity(account), bucket.tokens + 1.0
            )

    def donate(
        self, account: _model.ClientAccount, wanted: float, now: float
    ) -> float:
        """Remove up to ``wanted`` tokens for a peer; return their number."""
        if account.rate_per_s <= 0:
            return 0.0
        bucket = self.refilled_bucket(account, now)
        given = min(wanted, bucket.tokens - RESERVED_TOKENS)
        if given < MIN_TRANSFER_TOKENS:
            return 0.0
        bucket.tokens -= given
        return given

    def receive(
        self, account: _model.ClientAccount, tokens: float, now: float
    ) -> None:
        """Add tokens that were transferred from a peer."""
        bucket = self.refilled_bucket(account, now)
        bucket.tokens += tokens
        bucket.last_used_at = now

    def token_wait_s(self, account: _model.ClientAccount, now: float) -> float:
        """Return the seconds until the refill yields a whole token."""
        if account.rate_per_s <= 0:
            return 0.0
        missing = 1.0 - self.refilled_bucket(account, now).tokens
        refill_per_s = self.refill_per_s(account) or self.total_refill_per_s(
            account
        ) / len(self.vms)
        return max(0.0, missing) / refill_per_s

    def tokens_to_request(
        self, account: _model.ClientAccount, now: float
    ) -> float:
        """Return how many tokens to request from peers.

        Tokens that expire unused are lost to the account, so a VM with few
        requests asks for no more than the present one lacks.
        """
        if not self.has_frequent_requests(account, now):
            return self.missing_tokens(account, now)
        return max(2.0, self.refill_per_s(account))

    def has_frequent_requests(
        self, account: _model.ClientAccount, now: float
    ) -> bool:
        """Return whether tokens for further requests would be used in time."""
        demand_per_s = self.refilled_bucket(account, now).demand_per_s(now)
        return demand_per_s * UNUSED_TRANSFER_TTL_S >= MIN_EXPECTED_REQUESTS

    def missing_tokens(
        self, account: _model.ClientAccount, now: float
    ) -> float:
        """Return how many tokens the next request lacks."""
        bucket = self.refilled_bucket(account, now)
        return max(MIN_TRANSFER_TOKENS, 1.0 - bucket.tokens)

    def refill_per_s(self, account: _model.ClientAccount) -> float:
        """Return this VM's refill rate in tokens per second.

        It is 0 if this VM is not a holder.
        """
        holders = self.holders(account)
        if self.own_vm not in holders:
            return 0.0
        return self.total_refill_per_s(account) / len(holders)

    def total_refill_per_s(self, account: _model.ClientAccount) -> float:
        """Return the refill rate of all VMs together, in tokens per second."""
        return account.rate_per_s * (
            1.0 + USED_TOLERANCE_SHARE * self.bounds.rate_tolerance
        )

    def bucket_capacity(self, account: _model.ClientAccount) -> float:
        """Return the number of tokens up to which this VM refills."""
        holders = self.holders(account)
        if self.own_vm not in holders:
            return 0.0
        return max(1.0, self.total_capacity(account) / len(holders))

    def total_capacity(self, account: _model.ClientAccount) -> float:
        """Return the bucket capacity of all VMs together, in tokens."""
        return (
            account.burst_tokens
            + USED_SLACK_SHARE * self.bounds.rate_slack_tokens
        )

    def refilled_bucket(
        self, account: _model.ClientAccount, now: float
    ) -> Bucket:
        """Return the account's bucket, refilled up to now."""
        bucket = self.buckets.get(account.name)
        refill_per_s, capacity = (
            self.refill_per_s(account),
            self.bucket_capacity(account),
        )
        if bucket is None:
            initial_tokens = capacity
            if not self.first_start:
                initial_tokens = min(
                    capacity, max(1.0, refill_per_s * RESTART_REFILL_S)
                )
            bucket = self.buckets[account.name] = Bucket(
                initial_tokens, self.total_capacity(account), now
            )
        if self.total_capacity(account) < bucket.total_capacity:
            # The limit was lowered, and the other holders keep their parts.
            bucket.tokens = min(bucket.tokens, capacity)
        bucket.total_capacity = self.total_capacity(account)
        elapsed = max(0.0, now - bucket.updated_at)
        refilled = min(capacity, bucket.tokens + refill_per_s * elapsed)
        # Transferred tokens may exceed this VM's own capacity for a while.
        bucket.tokens = max(
            refilled, min(bucket.tokens, self.total_capacity(account))
        )
        if (
            not refill_per_s
            and now - bucket.last_used_at > UNUSED_TRANSFER_TTL_S
        ):
            bucket.tokens = 0.0
        bucket.updated_at = now
        return bucket
