"""Rows that the entry program decides on.

They hold what an operator asked for and what backend servers say of
themselves, in the project's own terms.  The adapter of a platform makes them
from that platform's documents; nothing here knows how those are written.
"""

import typing


class Limits(typing.NamedTuple):
    """Bounds on what a caller may send, in bytes."""

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024


class Destination(typing.NamedTuple):
    """A service and its share of a route's requests; weights are relative."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Requests of one host under one path prefix.

    ``timeout_s`` is the longest time that a request may take,
    ``target_s`` the time within which its answer is of full use.
    ``priority`` 0 is the highest.  An empty ``home_regions`` allows all.
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
    """A service; a cold server takes ``cold_per_s`` requests a second."""

    name: str
    cold_start_s: float
    cold_per_s: float


class ClientAccount(typing.NamedTuple):
    """A client account.  ``rate`` is in requests a second, 0 for no limit.

    ``priority`` None leaves the route's in force.
    """

    name: str
    api_keys: frozenset[str]
    priority: int | None
    rate_per_s: float
    burst_tokens: float
    home_regions: frozenset[str]


class Configuration(typing.NamedTuple):
    """One version of the operator's whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: dict[str, ClientAccount]
    limits: Limits


class ServerEntry(typing.NamedTuple):
    """What a backend server says of itself.

    ``incarnation`` changes with each of its starts.  ``cold_left_s`` is the
    time for which it stays slow, counted from when it wrote the entry.
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
    """An entry VM that serves callers.

    ``callers`` and ``peers`` are ``host:port`` addresses.
    """

    vm: str
    availability_zone: str
    region: str
    callers: str
    peers: str


class Bounds(typing.NamedTuple):
    """Promises of the deployment that the decisions must keep.

    Times are in seconds.  ``key_withdrawal_s`` bounds the age of knowledge on
    which a key may be accepted.  A service may get ``retry_ratio`` repeats
    per request and ``retry_slack`` besides within ``retry_window_s``.
    A cold server may get ``cold_factor`` times its rate in requests a second.
    ``rate_over`` and ``rate_slack`` are by how much an
    account may exceed its rate and burst in a window.
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
