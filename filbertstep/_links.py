"""Bytes of requests and answers on the links between regions.

The size of an answer is not known before it comes, so a moving average is
reserved and the difference settled afterwards.
"""

import asyncio
import typing

from filbertstep import _assignments
from filbertstep import clock
from filbertstep import config
from filbertstep import systems

# Reserved bytes of an answer before any answer of the service was seen.
FIRST_ANSWER_BYTES: typing.Final = 16_384.0

# Weight of one answer in the moving average of sizes.
SIZE_WEIGHT: typing.Final = 0.1

# Part of a VM's equal share of a link's burst that deferrable services leave
# to interactive ones.
DEFERRABLE_RESERVE: typing.Final = 0.25

# Time in seconds for which peers are asked for link bytes.
ASK_S: typing.Final = 0.25


class Links:
    """Reserves and settles link bytes of this VM's requests."""

    def __init__(
        self,
        views: config.ViewTable,
        shares: systems.SharedTokenBuckets,
        clock: clock.Clock,
        region: str,
    ) -> None:
        self.views = views
        self.shares = shares
        self.clock = clock
        self.region = region
        self.sizes: dict[str, float] = {}
        self.asking: dict[str, asyncio.Task[None]] = {}
        self.indexed: config.View | None = None
        self.index: dict[tuple[str, str], config.Link] = {}

    def link(self, start: str, end: str) -> config.Link | None:
        """Return the link from a region to another; None: no limit."""
        view = self.views.newest
        if view is not self.indexed:
            self.indexed = view
            links = {} if view is None else view.config.links
            self.index = {
                (link.from_region, link.to_region): link
                for link in links.values()
            }
        return self.index.get((start, end))

    def reserve(
        self,
        service: config.Service,
        region: str,
        request_bytes: int,
        now: float,
    ) -> _assignments.LinkReservation | None:
        """Take the bytes of a request and its answer, or return None."""
        if region == self.region:
            return _assignments.LinkReservation(None, None, 0.0, 0.0)
        answer_bytes = self.sizes.get(service.name, FIRST_ANSWER_BYTES)
        deferrable = service.work is config.Work.DEFERRABLE
        out = self.link(self.region, region)
        back = self.link(region, self.region)
        if not self.take(out, request_bytes, deferrable, now):
            return None
        if not self.take(back, answer_bytes, deferrable, now):
            if out is not None:
                self.shares.refund(resource(out), request_bytes, now)
            return None
        return _assignments.LinkReservation(
            None if out is None else resource(out),
            None if back is None else resource(back),
            float(request_bytes),
            answer_bytes,
        )

    def take(
        self,
        link: config.Link | None,
        amount: float,
        deferrable: bool,
        now: float,
    ) -> bool:
        """Take bytes of a link; deferrable work leaves a reserve."""
        if link is None:
            return True
        reserve = self.reserve_bytes(link) if deferrable else 0.0
        if not self.shares.try_consume(resource(link), amount + reserve, now):
            self.ask(resource(link), amount + reserve)
            return False
        if reserve:
            self.shares.refund(resource(link), reserve, now)
        return True

    def reserve_bytes(self, link: config.Link) -> float:
        """Return the bytes that deferrable work must leave."""
        view = self.views.newest
        members = 1 if view is None else max(1, len(view.epoch.members))
        return DEFERRABLE_RESERVE * link.burst_bytes / members

    def ask(self, name: str, amount: float) -> None:
        """Ask peers for bytes in the background, once at a time."""
        if name in self.asking:
            return
        task = asyncio.get_running_loop().create_task(
            self.ask_peers(name, amount)
        )
        self.asking[name] = task
        task.add_done_callback(lambda _: self.asking.pop(name, None))

    async def ask_peers(self, name: str, amount: float) -> None:
        """Have the share system fetch bytes, which stay in the bucket."""
        if await self.shares.consume(name, amount, ASK_S):
            self.shares.refund(name, amount, self.clock.now())

    def settle(
        self,
        link: _assignments.LinkReservation,
        observation: _assignments.AttemptResult,
        now: float,
    ) -> None:
        """Charge or return the difference to what was reserved."""
        if observation.outcome in UNSENT and link.out is not None:
            self.shares.refund(link.out, link.request_bytes, now)
        difference = observation.answer_bytes - link.answer_bytes
        if link.back is None:
            return
        if difference > 0:
            self.shares.charge(link.back, difference, now)
        elif difference < 0:
            self.shares.refund(link.back, -difference, now)

    def return_all(
        self, link: _assignments.LinkReservation, now: float
    ) -> None:
        """Give back a reservation that was not used."""
        if link.out is not None:
            self.shares.refund(link.out, link.request_bytes, now)
        if link.back is not None:
            self.shares.refund(link.back, link.answer_bytes, now)

    def note_answer(self, service: str, answer_bytes: int) -> None:
        """Count the size of an answer."""
        known = self.sizes.get(service)
        self.sizes[service] = (
            float(answer_bytes)
            if known is None
            else known + SIZE_WEIGHT * (answer_bytes - known)
        )


UNSENT: typing.Final = frozenset(
    {
        _assignments.AttemptOutcome.NOT_SENT,
        _assignments.AttemptOutcome.CONNECT_FAILED,
    }
)


def resource(link: config.Link) -> str:
    """Return the name of a link's share."""
    return f'link/{link.name}'
