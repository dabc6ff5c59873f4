"""The rate limit token of one request.

A request that waits in the queue for longer than ``MAX_TOKEN_AGE_S`` returns
its token and needs a new one before it is sent.  Otherwise requests that were
admitted over several seconds and start together would reach the backend
servers at more than the account's rate and burst.
"""

import asyncio
import typing

from filbertstep import clock
from filbertstep import systems

# The checkers of recorded histories allow 0.25 s between taking a token and
# the start of the run; this must be shorter.
MAX_TOKEN_AGE_S: typing.Final = 0.2


class AccountToken:
    """Holds at most one token of a client account for one request.

    A token that is not spent within ``MAX_TOKEN_AGE_S`` is refunded.
    """

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
        """Take a token unless one is held; return whether one is held.

        Waits up to ``wait_s`` for a token.
        """
        if not self.held and await self.token_buckets.consume(
            self.resource, 1.0, wait_s
        ):
            self.mark_held()
        return self.held

    def mark_held(self) -> None:
        """Mark the token as held and start its expiry timer."""
        self.held = True
        loop = asyncio.get_running_loop()
        self.expiry_timer = loop.call_later(MAX_TOKEN_AGE_S, self.refund)

    def spend(self) -> bool:
        """Use the held token, or take one without waiting, for a send.

        Returns False if there is no token.
        """
        if not self.held:
            return self.token_buckets.try_consume(
                self.resource, 1.0, self.clock.now()
            )
        self.mark_not_held()
        return True

    def undo_spend(self) -> None:
        """Hold the spent token again, because the request did not run."""
        if not self.held:
            self.mark_held()

    def refund(self) -> None:
        """Return the token to the bucket if one is held."""
        if self.held:
            self.mark_not_held()
            self.token_buckets.refund(self.resource, 1.0, self.clock.now())

    def mark_not_held(self) -> None:
        """Mark the token as not held and stop its expiry timer."""
        self.held = False
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
            self.expiry_timer = None

    def retry_after_s(self) -> float:
        """Return the time until a token is expected."""
        return self.token_buckets.retry_after_s(
            self.resource, self.clock.now()
        )
