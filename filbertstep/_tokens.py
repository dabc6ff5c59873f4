"""A token of a client account, from admission to the send.

A request that waits in the queue for longer than ``MAX_TOKEN_AGE_S`` returns
its token and needs a new one before it is sent.  Otherwise requests that were
admitted over several seconds and start together would reach the backend
servers at more than the account's rate and burst.
"""

import asyncio
import typing

from filbertstep import clock
from filbertstep import systems

# Age in seconds up to which a token is good for a send.  The checkers allow
# for 0.25 s between the token and the run.
MAX_TOKEN_AGE_S: typing.Final = 0.2


class AccountToken:
    """At most one token of an account; ``spend`` uses it up."""

    def __init__(
        self,
        token_buckets: systems.SharedTokenBuckets,
        account: str,
        clock: clock.Clock,
    ) -> None:
        self.token_buckets = token_buckets
        self.resource = f'client_account/{account}'
        self.clock = clock
        self.held = False
        self.expiry_timer: asyncio.TimerHandle | None = None

    async def acquire(self, wait_s: float) -> bool:
        """Hold a token, waiting up to some seconds for one."""
        if not self.held and await self.token_buckets.consume(
            self.resource, 1.0, wait_s
        ):
            self.mark_held()
        return self.held

    def mark_held(self) -> None:
        """Note that a token was taken now."""
        self.held = True
        loop = asyncio.get_running_loop()
        self.expiry_timer = loop.call_later(MAX_TOKEN_AGE_S, self.refund)

    def spend(self) -> bool:
        """Use the token, or one that can be had at once, for a send."""
        if not self.held:
            return self.token_buckets.try_consume(
                self.resource, 1.0, self.clock.now()
            )
        self.mark_not_held()
        return True

    def undo_spend(self) -> None:
        """Take back what ``spend`` did: the request did not run."""
        if not self.held:
            self.mark_held()

    def refund(self) -> None:
        """Return the token if it is held."""
        if self.held:
            self.mark_not_held()
            self.token_buckets.refund(self.resource, 1.0, self.clock.now())

    def mark_not_held(self) -> None:
        """Hold the token no longer."""
        self.held = False
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
            self.expiry_timer = None

    def retry_after_s(self) -> float:
        """Return the seconds until a token can be expected."""
        return self.token_buckets.retry_after_s(
            self.resource, self.clock.now()
        )
