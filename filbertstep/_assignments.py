"""What goes into the dispatcher and comes out of it."""

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
    """Bytes taken from link shares; a resource is None where none is needed.

    ``out`` carries the request, ``back`` the answer.
    """

    out: str | None
    back: str | None
    request_bytes: float
    answer_bytes: float


class Assignment(typing.NamedTuple):
    """A slot for one request, with everything that ``finish`` gives back."""

    number: int
    server: config.BackendServer
    slot_hold: systems.SlotHold
    placement: _splits.Placement
    link_reservation: LinkReservation


class AttemptOutcome(enum.StrEnum):
    """How the one try at a backend server ended.

    NOT_SENT: no byte was sent.  SHED: the server said ``X-Not-Run``.  BROKEN:
    the connection ended, or the answer belonged to another request.
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
    """What the try showed.

    ``run_may_continue`` when the server may still work on the request, so
    that its slot stays busy until the deadline.  ``draining`` when the answer
    had an ``X-Draining`` header.
    """

    outcome: AttemptOutcome
    latency_s: float
    answer_bytes: int
    run_may_continue: bool
    draining: bool = False
