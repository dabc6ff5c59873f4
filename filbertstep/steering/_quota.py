"""Rate and burst of a client account over all VMs together.

A few VMs hold an account's tokens, more for a higher rate; rendezvous rank
among all VMs that may be spending names them, so that no messages are needed.
Each refills a bucket with its part of the rate, and all parts sum to one: a VM
that has left counts until its knowledge has certainly lapsed, after which it
accepts no key.  The other VMs ask holders for tokens.  Tokens leave the giver
before they are sent: a lost answer loses tokens and never doubles them.
"""

import collections.abc
import math
import typing

from filbertstep.steering import _model
from filbertstep.steering import _routes

# Refill in seconds with which a restarted VM begins.  Its predecessor may
# have spent the burst, but spent nothing while the process started.
RESTART_REFILL_S: typing.Final = 0.25

# Tokens a second that a holder refills at least, and holders of an account at
# least.  With smaller parts most holders would not have a whole token; with
# fewer holders an account would lose too much with one of them.
MIN_HOLDER_REFILL_PER_S: typing.Final = 4.0
MIN_HOLDERS: typing.Final = 3

# Time in seconds for which a VM that is no holder keeps tokens that it does
# not use.  They count against the account wherever they lie.
UNUSED_TRANSFER_TTL_S: typing.Final = 2.0

# Tokens that a VM keeps for its own callers when a peer asks.
RESERVED_TOKENS: typing.Final = 0.5

# Least amount that is worth a message.
MIN_TRANSFER_TOKENS: typing.Final = 0.25

# Part of the tolerance on rates and on windows that is used, to make up for
# the division of buckets among VMs.  The rest covers restarts.
USED_SLACK_SHARE: typing.Final = 0.5
USED_TOLERANCE_SHARE: typing.Final = 0.5


class Bucket:
    """Tokens of one account on this VM."""

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.updated_at = now
        # Time of the last request of this VM's own callers, or of a gift.
        self.last_used_at = float('-inf')


class QuotaTable:
    """Token buckets by account; ``vms`` are the VMs that may be spending.

    ``full_start`` is set for the first start of a whole deployment, when no
    predecessor can have spent the burst.
    """

    def __init__(
        self, own: str, full_start: bool, bounds: _model.Bounds
    ) -> None:
        self.own_vm = own
        self.bounds = bounds
        self.first_start = full_start
        self.vms: frozenset[str] = frozenset({own})
        self.buckets: dict[str, Bucket] = {}
        self.holders_cache: dict[tuple[str, int], frozenset[str]] = {}

    def set_vms(self, vms: collections.abc.Iterable[str]) -> None:
        """Take the VMs that may be spending; this one always may."""
        found = frozenset(vms) | {self.own_vm}
        if found != self.vms:
            self.vms = found
            self.holders_cache.clear()

    def holders(self, account: _model.ClientAccount) -> frozenset[str]:
        """Return the VMs that refill an account's tokens."""
        count = max(
            MIN_HOLDERS,
            math.ceil(account.rate_per_s / MIN_HOLDER_REFILL_PER_S),
        )
        known = self.holders_cache.get((account.name, count))
        if known is None:
            ranked = sorted(
                self.vms,
                key=lambda vm: _routes.rendezvous_rank(vm, account.name),
                reverse=True,
            )
            known = frozenset(ranked[:count])
            self.holders_cache[(account.name, count)] = known
        return known

    def try_take(self, account: _model.ClientAccount, now: float) -> bool:
        """Take a token for one request; accounts without a rate need none."""
        if account.rate_per_s <= 0:
            return True
        bucket = self.refilled_bucket(account, now)
        bucket.last_used_at = now
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def refund(self, account: _model.ClientAccount, now: float) -> None:
        """Return the token of a request that no server ran."""
        if account.rate_per_s > 0:
            bucket = self.refilled_bucket(account, now)
            bucket.tokens = min(
                self.bucket_capacity(account), bucket.tokens + 1.0
            )

    def donate(
        self, account: _model.ClientAccount, wanted: float, now: float
    ) -> float:
        """Return tokens for a peer, taken out of this VM's bucket."""
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
        """Add tokens that a peer gave."""
        bucket = self.refilled_bucket(account, now)
        bucket.tokens += tokens
        bucket.last_used_at = now

    def token_wait_s(self, account: _model.ClientAccount, now: float) -> float:
        """Return seconds until a VM's part of the rate yields a token."""
        if account.rate_per_s <= 0:
            return 0.0
        missing = 1.0 - self.refilled_bucket(account, now).tokens
        part = self.refill_per_s(account) or self.total_refill_per_s(
            account
        ) / len(self.vms)
        return max(0.0, missing) / part

    def tokens_to_request(self, account: _model.ClientAccount) -> float:
        """Return how many tokens to ask peers for, about a second's part."""
        return max(2.0, self.refill_per_s(account))

    def refill_per_s(self, account: _model.ClientAccount) -> float:
        """Return this VM's refill in tokens a second, 0 if it holds none."""
        holders = self.holders(account)
        if self.own_vm not in holders:
            return 0.0
        return self.total_refill_per_s(account) / len(holders)

    def total_refill_per_s(self, account: _model.ClientAccount) -> float:
        """Return the refill of all VMs together in tokens a second."""
        return account.rate_per_s * (
            1.0 + USED_TOLERANCE_SHARE * self.bounds.rate_tolerance
        )

    def bucket_capacity(self, account: _model.ClientAccount) -> float:
        """Return the tokens that this VM's refill may fill up to."""
        holders = self.holders(account)
        if self.own_vm not in holders:
            return 0.0
        return max(1.0, self.total_capacity(account) / len(holders))

    def total_capacity(self, account: _model.ClientAccount) -> float:
        """Return the tokens that the buckets of all VMs hold together."""
        return (
            account.burst_tokens
            + USED_SLACK_SHARE * self.bounds.rate_slack_tokens
        )

    def refilled_bucket(
        self, account: _model.ClientAccount, now: float
    ) -> Bucket:
        """Return the account's bucket as of now."""
        bucket = self.buckets.get(account.name)
        share, most = self.refill_per_s(account), self.bucket_capacity(account)
        if bucket is None:
            first = most
            if not self.first_start:
                first = min(most, max(1.0, share * RESTART_REFILL_S))
            bucket = self.buckets[account.name] = Bucket(first, now)
        elapsed = max(0.0, now - bucket.updated_at)
        refilled = min(most, bucket.tokens + share * elapsed)
        # Tokens from peers may exceed this VM's part for a while.
        bucket.tokens = max(
            refilled, min(bucket.tokens, self.total_capacity(account))
        )
        if not share and now - bucket.last_used_at > UNUSED_TRANSFER_TTL_S:
            bucket.tokens = 0.0
        bucket.updated_at = now
        return bucket
