"""A token of a client account, from admission to the send.

Requests that wait in a queue for longer than ``MAX_AGE_S`` lose their token
and need a new one when they start.  Otherwise requests that were admitted
over some seconds and start together would reach the backend servers at more
than the account's rate and burst.
"""

import asyncio
import typing

from filbertstep import clock
from filbertstep import systems

# Age in seconds up to which a token is good for a send.  The checkers allow
# for 0.25 s between the token and the run.
MAX_AGE_S: typing.Final = 0.2


class AccountToken:
    """At most one token of an account; ``spend`` uses it up."""

    def __init__(
        self,
        shares: systems.SharedTokenBuckets,
        account: str,
        ticks: clock.Clock,
    ) -> None:
        self.shares = shares
        self.resource = f'client_account/{account}'
        self.ticks = ticks
        self.held = False
        self.timer: asyncio.TimerHandle | None = None

    async def take(self, wait_s: float) -> bool:
        """Hold a token, waiting up to some seconds for one."""
        if not self.held and await self.shares.consume(
            self.resource, 1.0, wait_s
        ):
            self.hold()
        return self.held

    def hold(self) -> None:
        """Note that a token was taken now."""
        self.held = True
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(MAX_AGE_S, self.give_back)

    def spend(self) -> bool:
        """Use the token, or one that can be had at once, for a send."""
        if not self.held:
            return self.shares.try_consume(
                self.resource, 1.0, self.ticks.now()
            )
        self.drop()
        return True

    def unspend(self) -> None:
        """Take back what ``spend`` did: the request did not run."""
        if not self.held:
            self.hold()

    def give_back(self) -> None:
        """Return the token if it is held."""
        if self.held:
            self.drop()
            self.shares.refund(self.resource, 1.0, self.ticks.now())

    def drop(self) -> None:
        """Hold the token no longer."""
        self.held = False
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def retry_after(self) -> float:
        """Return the seconds until a token can be expected."""
        return self.shares.retry_after_s(self.resource, self.ticks.now())
