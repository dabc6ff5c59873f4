"""Limits the bytes of requests and responses on links between regions.

Bytes come from token buckets that all VMs share.  The size of a response is
not known in advance, so a moving average is reserved and the difference is
charged or refunded afterwards.
"""

import asyncio
import typing

from filbertstep import _assignments
from filbertstep import clock
from filbertstep import config
from filbertstep import systems

# Bytes reserved for a response before any response of the service was seen.
DEFAULT_ANSWER_BYTES: typing.Final = 16_384.0

# Weight of one response in the moving average of sizes.
ANSWER_SIZE_EWMA_WEIGHT: typing.Final = 0.1

# Part of the VM's equal share of a link's burst that deferrable services
# leave to interactive services.
INTERACTIVE_RESERVE_SHARE: typing.Final = 0.25

# Seconds after which a request to peers for link bytes is given up.
BORROW_TIMEOUT_S: typing.Final = 0.25


class LinkAccounting:
    """Reserves link bytes and settles them once the size is known."""

    def __init__(
        self,
        views: config.ViewTable,
        token_buckets: systems.SharedTokenBuckets,
        clock: clock.Clock,
        region: str,
    ) -> None:
        self.views = views
        self.token_buckets = token_buckets
        self.clock = clock
        self.region = region
        self.average_answer_bytes: dict[str, float] = {}
        self.borrow_tasks: dict[str, asyncio.Task[None]] = {}
        self.indexed_view: config.View | None = None
        self.links_by_regions: dict[tuple[str, str], config.Link] = {}

    def link(self, from_region: str, to_region: str) -> config.Link | None:
        """Return the link between two regions, None if it has no limit."""
        view = self.views.newest
        if view is not self.indexed_view:
            self.indexed_view = view
            links = {} if view is None else view.config.links
            self.links_by_regions = {
                (link.from_region, link.to_region): link
                for link in links.values()
            }
        return self.links_by_regions.get((from_region, to_region))

    def reserve(
        self,
        service: config.Service,
        region: str,
        request_bytes: int,
        now: float,
    ) -> _assignments.LinkReservation | None:
        """Reserve bytes for a request and its response.

        Returns None if a link has too few bytes left.
        """
        if region == self.region:
            return _assignments.LinkReservation(None, None, 0.0, 0.0)
        answer_bytes = self.average_answer_bytes.get(
            service.name, DEFAULT_ANSWER_BYTES
        )
        deferrable = service.work is config.WorkType.DEFERRABLE
        outbound_link = self.link(self.region, region)
        inbound_link = self.link(region, self.region)
        if not self.take_bytes(outbound_link, request_bytes, deferrable, now):
            return None
        if not self.take_bytes(inbound_link, answer_bytes, deferrable, now):
            if outbound_link is not None:
                self.token_buckets.refund(
                    resource_name(outbound_link), request_bytes, now
                )
            return None
        return _assignments.LinkReservation(
            None if outbound_link is None else resource_name(outbound_link),
            None if inbound_link is None else resource_name(inbound_link),
            float(request_bytes),
            answer_bytes,
        )

    def take_bytes(
        self,
        link: config.Link | None,
        amount: float,
        deferrable: bool,
        now: float,
    ) -> bool:
        """Take bytes from the bucket of a link; return whether it had enough.

        For deferrable work, the bucket must also hold the reserve.  If it has
        too few bytes, they are requested from peers.
        """
        if link is None:
            return True
        reserve = self.interactive_reserve_bytes(link) if deferrable else 0.0
        if not self.token_buckets.try_consume(
            resource_name(link), amount + reserve, now
        ):
            self.borrow_in_background(resource_name(link), amount + reserve)
            return False
        if reserve:
            self.token_buckets.refund(resource_name(link), reserve, now)
        return True

    def interactive_reserve_bytes(self, link: config.Link) -> float:
        """Return the bytes of a link that deferrable work must leave."""
        view = self.views.newest
        members = 1 if view is None else max(1, len(view.epoch.members))
        return INTERACTIVE_RESERVE_SHARE * link.burst_bytes / members

    def borrow_in_background(self, name: str, amount: float) -> None:
        """Request bytes from peers, in one background task per link."""
        if name in self.borrow_tasks:
            return
        task = asyncio.get_running_loop().create_task(
            self.borrow_from_peers(name, amount)
        )
        self.borrow_tasks[name] = task
        task.add_done_callback(lambda _: self.borrow_tasks.pop(name, None))

    async def borrow_from_peers(self, name: str, amount: float) -> None:
        """Request bytes from peers and put them into the local bucket."""
        if await self.token_buckets.consume(name, amount, BORROW_TIMEOUT_S):
            self.token_buckets.refund(name, amount, self.clock.now())

    def settle(
        self,
        reservation: _assignments.LinkReservation,
        attempt: _assignments.AttemptResult,
        now: float,
    ) -> None:
        """Charge or refund the difference between used and reserved bytes."""
        if (
            attempt.outcome in UNSENT_OUTCOMES
            and reservation.outbound_resource is not None
        ):
            self.token_buckets.refund(
                reservation.outbound_resource, reservation.request_bytes, now
            )
        difference = attempt.answer_bytes - reservation.answer_bytes
        if reservation.inbound_resource is None:
            return
        if difference > 0:
            self.token_buckets.charge(
                reservation.inbound_resource, difference, now
            )
        elif difference < 0:
            self.token_buckets.refund(
                reservation.inbound_resource, -difference, now
            )

    def release(
        self, reservation: _assignments.LinkReservation, now: float
    ) -> None:
        """Refund a reservation that was not used."""
        if reservation.outbound_resource is not None:
            self.token_buckets.refund(
                reservation.outbound_resource, reservation.request_bytes, now
            )
        if reservation.inbound_resource is not None:
            self.token_buckets.refund(
                reservation.inbound_resource, reservation.answer_bytes, now
            )

    def record_answer_size(self, service: str, answer_bytes: int) -> None:
        """Update the average response size of a service."""
        known = self.average_answer_bytes.get(service)
        self.average_answer_bytes[service] = (
            float(answer_bytes)
            if known is None
            else known + ANSWER_SIZE_EWMA_WEIGHT * (answer_bytes - known)
        )


UNSENT_OUTCOMES: typing.Final = frozenset(
    {
        _assignments.AttemptOutcome.NOT_SENT,
        _assignments.AttemptOutcome.CONNECT_FAILED,
    }
)


def resource_name(link: config.Link) -> str:
    """Return the name of the token bucket of a link."""
    return f'link/{link.name}'
