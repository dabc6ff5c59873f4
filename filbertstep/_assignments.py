"""Data types of the interface of the dispatcher."""

import enum
import typing

from filbertstep import _health
from filbertstep import _splits
from filbertstep import config
from filbertstep import systems


class DispatchRequest(typing.NamedTuple):
    """A request that needs a slot.

    ``hash_point`` is in [0, 1), derived from a hash of the request id, and
    selects the region.  ``deadline`` is a time of the VM's clock, in seconds.
    ``excluded_servers`` names the servers that earlier attempts used.
    ``api_key_digest`` lets waiting requests be refused when their API key is
    withdrawn.
    """

    service: config.Service
    client_account: str | None
    weight: float
    hash_point: float
    deadline: float
    request_bytes: int
    excluded_servers: frozenset[str] = frozenset()
    api_key_digest: str | None = None


class LinkReservation(typing.NamedTuple):
    """Bytes reserved on the links between two regions.

    ``outbound_resource`` names the token bucket for the request,
    ``inbound_resource`` the one for the response; None if the link has no
    limit or none is used.
    """

    outbound_resource: str | None
    inbound_resource: str | None
    request_bytes: float
    answer_bytes: float


class Assignment(typing.NamedTuple):
    """A slot assigned to a request, and what ``finish`` has to release."""

    number: int
    server: config.BackendServer
    slot_hold: systems.SlotHold
    placement: _splits.Placement
    link_reservation: LinkReservation


class AttemptOutcome(enum.StrEnum):
    """How an attempt at a backend server ended.

    NOT_SENT: no byte was sent.  SHED: the server refused the request with an
    ``X-Not-Run`` header.  BROKEN: the connection was lost, or the response
    belonged to another request or had no valid status.
    """

    NOT_SENT = 'not_sent'
    ANSWERED = 'answered'
    SHED = 'shed'
    CONNECT_FAILED = 'connect_failed'
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'
    CANCELLED = 'cancelled'


HEALTH_EVENTS: typing.Final[dict[AttemptOutcome, _health.HealthEvent]] = {
    AttemptOutcome.ANSWERED: _health.HealthEvent.ANSWERED,
    AttemptOutcome.SHED: _health.HealthEvent.SHED,
    AttemptOutcome.CONNECT_FAILED: _health.HealthEvent.CONNECT_FAILED,
    AttemptOutcome.BROKEN: _health.HealthEvent.BROKEN,
    AttemptOutcome.TIMED_OUT: _health.HealthEvent.TIMED_OUT,
}


class AttemptResult(typing.NamedTuple):
    """Result of an attempt at a backend server.

    ``run_may_continue`` is set if the server may still be working on the
    request; its slot then stays in use until the deadline.  ``draining`` is
    set if the response had an ``X-Draining`` header.
    """

    outcome: AttemptOutcome
    latency_s: float
    answer_bytes: int
    run_may_continue: bool
    draining: bool = False
