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
    """A VM that sent a heartbeat within ``SUSPECT_AFTER_S``.

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
    """Token buckets that all VMs share; a resource is named by a string.

    Resources are ``client_account/<name>`` (in requests) and ``link/<name>``
    (in bytes).
    """

    @abc.abstractmethod
    def try_consume(self, resource: str, amount: float, now: float) -> bool:
        """Take tokens if this VM's bucket has them."""

    @abc.abstractmethod
    async def consume(
        self, resource: str, amount: float, timeout_s: float
    ) -> bool:
        """Take tokens, asking peers for more until the time is up."""

    @abc.abstractmethod
    def refund(self, resource: str, amount: float, now: float) -> None:
        """Return tokens that were taken and not used."""

    @abc.abstractmethod
    def charge(self, resource: str, amount: float, now: float) -> None:
        """Take tokens for what was used already; the bucket may go below 0."""

    @abc.abstractmethod
    def retry_after_s(self, resource: str, now: float) -> float:
        """Return seconds until one token is expected, at least 0.05."""


class SlotHold(typing.NamedTuple):
    """A slot of a backend server in use by one request.

    ``run_until`` is the latest time at which the request may still run.
    """

    server: str
    slot: int
    service: str
    region: str
    lender: str | None
    run_until: float


class Slots(abc.ABC):
    """Slots of backend servers that this VM may use."""

    @abc.abstractmethod
    def idle_counts(
        self, service: str, region: str, now: float
    ) -> dict[str, int]:
        """Return the number of usable idle slots by backend server."""

    @abc.abstractmethod
    def in_use_count(self, server: str) -> int:
        """Return how many slots of a backend server this VM is using."""

    @abc.abstractmethod
    def acquire(
        self, server: str, run_for_s: float, now: float
    ) -> SlotHold | None:
        """Use an idle slot for at most a time, or return None."""

    @abc.abstractmethod
    def release(self, hold: SlotHold, now: float) -> None:
        """Return a slot after its request ended.

        A hold whose request may still run on the backend server (connection
        broken, cancelled) must be released only at ``run_until``; see
        ``release_at_deadline``.
        """

    @abc.abstractmethod
    def release_at_deadline(self, hold: SlotHold) -> None:
        """Keep a slot busy until ``run_until``, then release it."""

    @abc.abstractmethod
    def report_waiting(
        self, service: str, region: str, count: int, now: float
    ) -> None:
        """Note that requests wait here, so that slots are borrowed."""

    @abc.abstractmethod
    def idle_fraction_by_region(
        self, service: str, now: float
    ) -> dict[str, float]:
        """Return the idle part of all VMs' slots of a service by region."""
