"""Platform-independent configuration and server data.

The data comes from the operator's configuration and from the entries that
backend servers publish about themselves.  The platform adapter decodes it
from the platform's documents, whose format is not known here.
"""

import typing


class Limits(typing.NamedTuple):
    """Limits of a caller's request and connection.

    ``header_timeout_s`` is the time that a head takes to arrive, and
    ``idle_timeout_s`` the time after which idle connections are closed.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 75.0
    idle_timeout_s: float = 75.0


class Destination(typing.NamedTuple):
    """A service and its relative weight among a route's destinations."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Rules for the requests to one host under one path prefix.

    ``timeout_s`` limits the total time of a request, ``target_s`` is its
    target latency.  ``priority`` 0 is the highest.  An empty ``home_regions``
    allows all regions.  A ``public`` route requires no API key.  ``sticky``
    prefers servers that have the requested object cached.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    destinations: tuple[Destination, ...]
    timeout_s: float
    target_s: float
    max_attempts: int
    priority: int
    home_regions: frozenset[str]
    public: bool
    sticky: bool


class Service(typing.NamedTuple):
    """A service and the slow start of its servers.

    For ``cold_start_s`` seconds after its start, a server is cold and takes
    only ``cold_per_s`` requests per second.  A rate of 0 means no limit.
    """

    name: str
    cold_start_s: float
    cold_per_s: float


class ClientAccount(typing.NamedTuple):
    """A client account and its rate limit.

    A ``rate_per_s`` of 0 means no limit.  ``priority`` overrides that of the
    route unless it is None.
    """

    name: str
    api_keys: frozenset[str]
    priority: int | None
    rate_per_s: float
    burst_tokens: float
    home_regions: frozenset[str]


class Configuration(typing.NamedTuple):
    """One version of the complete configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: dict[str, ClientAccount]
    limits: Limits


class ServerEntry(typing.NamedTuple):
    """A backend server as it describes itself in the store.

    ``slots`` is the number of requests that it runs at the same time.
    ``incarnation`` changes with each start of the server.  ``cold_left_s`` is
    the remaining time of its slow start when it wrote the entry.
    """

    server_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    draining: bool
    cold_left_s: float
    incarnation: int


class Member(typing.NamedTuple):
    """A registered entry VM.

    ``callers`` and ``peers`` are the ``host:port`` addresses on which it
    listens for callers and for other entry VMs.
    """

    vm: str
    availability_zone: str
    region: str
    callers: str
    peers: str


class Bounds(typing.NamedTuple):
    """Guarantees of the deployment that all decisions must keep.

    ``stop_grace_s`` limits the time of a shutdown and ``config_apply_s`` the
    time until a configuration change takes effect.  API keys may be accepted
    only on data from the store that is newer than ``key_withdrawal_s``.

    Within any ``retry_window_s``, a service may get ``retry_ratio`` retries
    per request plus ``retry_slack`` retries.  A cold server may get
    ``cold_rate_factor`` times its ``cold_per_s`` rate plus ``cold_slack``
    requests in any second.  Look-up answers may be used for up to
    ``max_lookup_ttl_s``.

    The share of a region's requests that each region serves may change by at
    most ``max_shift_share`` per window (see ``_regions.SHIFT_WINDOW_S``).  In
    any period, an account may exceed its rate and burst by the fraction
    ``rate_tolerance`` plus ``rate_slack_tokens`` requests.
    """

    stop_grace_s: float
    config_apply_s: float
    key_withdrawal_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    cold_rate_factor: float
    max_lookup_ttl_s: float
    max_shift_share: float
    rate_tolerance: float
    rate_slack_tokens: float
    cold_slack: float = 0.0
