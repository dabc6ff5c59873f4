"""Interfaces between the systems (components) of a node.

Each system is the only writer of its own data.  Other systems use it through
the abstract base classes in this module, so that each system can be tested
with fakes of the systems it depends on.  All points in time are in seconds of
``clock.Clock``.
"""

import abc
import collections.abc
import typing

import result

from filbertstep import errors
from filbertstep import transport

Handler = collections.abc.Callable[
    [transport.Message],
    collections.abc.Awaitable[
        result.Result[transport.Message, errors.Failure]
    ],
]
"""Handles one call of a peer: request message to response message."""

TICK_INTERVAL_S: typing.Final = 0.1


class System(abc.ABC):
    """A component of a node that does periodic work in each tick."""

    @abc.abstractmethod
    def tick(self, now: float) -> None:
        """Do the work that is due; must return quickly and not block."""

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers of calls from peers, by path."""
        return {}


class HeartbeatPart(abc.ABC):
    """Data of one system that is sent with each heartbeat between VMs.

    ``part_name`` is the key of the data in the heartbeat message.
    """

    part_name: typing.ClassVar[str]

    @abc.abstractmethod
    def payload(self, now: float) -> dict[str, typing.Any]:
        """Return this VM's data to send, as a JSON object."""

    @abc.abstractmethod
    def receive(
        self,
        vm: str,
        incarnation: str,
        payload: dict[str, typing.Any],
        now: float,
    ) -> None:
        """Process data received from a peer; must ignore invalid data."""


class Freshness(abc.ABC):
    """Tells whether this VM may act on the configuration that it knows."""

    @abc.abstractmethod
    def is_fresh(self, now: float) -> bool:
        """Return whether the known head was recently confirmed as newest."""


class LiveVm(typing.NamedTuple):
    """A VM that sent a heartbeat within ``agreement.SUSPECT_AFTER_S``.

    The fields have the values of its last heartbeat.  ``state`` is one of
    joining, serving, draining and leaving.  ``url`` is the URL of its listener
    for callers, ``minute`` the VM's own minute counter, and ``load`` the
    fraction of its slots that is in use.
    """

    vm: str
    incarnation: str
    region: str
    availability_zone: str
    state: str
    url: str
    minute: int
    load: float


class Membership(abc.ABC):
    """The VMs from which this VM receives heartbeats."""

    @abc.abstractmethod
    def live_vms(self, now: float) -> list[LiveVm]:
        """Return the other live VMs, sorted by name."""


class SharedTokenBuckets(abc.ABC):
    """Rate limits that all VMs enforce together, as token buckets.

    Each resource has one limit of rate and burst for the whole fleet; every
    VM holds a part of it in a bucket of its own.  A resource is named
    ``client_account/<name>``, where a token is a request, or ``link/<name>``,
    where a token is a byte.
    """

    @abc.abstractmethod
    def try_consume(self, resource: str, amount: float, now: float) -> bool:
        """Consume tokens if this VM's bucket has enough; never wait."""

    @abc.abstractmethod
    async def consume(
        self, resource: str, amount: float, timeout_s: float
    ) -> bool:
        """Consume tokens, waiting for the refill or for peers' units.

        Returns False when the tokens did not arrive within ``timeout_s``.
        """

    @abc.abstractmethod
    def refund(self, resource: str, amount: float, now: float) -> None:
        """Return tokens that were consumed but not used."""

    @abc.abstractmethod
    def charge(self, resource: str, amount: float, now: float) -> None:
        """Consume tokens for past use; the bucket may become negative."""

    @abc.abstractmethod
    def retry_after_s(self, resource: str, now: float) -> float:
        """Return the time until one token is expected, at least 0.05 s."""


class SlotHold(typing.NamedTuple):
    """A slot of a backend server that one request occupies.

    ``slot`` is the slot's number, ``region`` and ``service`` are those of the
    server.  ``lender`` is the VM that lent the slot, None for a slot that
    this VM owns.  ``run_until`` is the latest time at which the request may
    still run.
    """

    server: str
    slot: int
    service: str
    region: str
    lender: str | None
    run_until: float


class Slots(abc.ABC):
    """Slots of backend servers that this VM may use.

    A slot is the right to run one request at a time on a backend server.
    """

    @abc.abstractmethod
    def idle_counts(
        self, service: str, region: str, now: float
    ) -> dict[str, int]:
        """Return the number of usable idle slots, by backend server."""

    @abc.abstractmethod
    def in_use_count(self, server: str) -> int:
        """Return how many slots of a backend server this VM is using."""

    @abc.abstractmethod
    def acquire(
        self, server: str, run_for_s: float, now: float
    ) -> SlotHold | None:
        """Occupy an idle slot for up to ``run_for_s``.

        Returns None if no slot is usable for that time.
        """

    @abc.abstractmethod
    def release(self, hold: SlotHold, now: float) -> None:
        """Release a slot whose request has ended.

        If the request may still run on the backend server (its connection
        broke, or it was cancelled), the slot must stay occupied until
        ``run_until``: use ``release_at_deadline`` instead.
        """

    @abc.abstractmethod
    def release_at_deadline(self, hold: SlotHold) -> None:
        """Keep a slot occupied until ``run_until``, then release it."""

    @abc.abstractmethod
    def report_waiting(
        self, service: str, region: str, count: int, now: float
    ) -> None:
        """Report ``count`` waiting requests, so that slots are borrowed."""

    @abc.abstractmethod
    def idle_fraction_by_region(
        self, service: str, now: float
    ) -> dict[str, float]:
        """Return the idle fraction of a service's slots, by region.

        Counts the slots of all VMs.
        """
