"""Decodes the documents that operators and servers write to the store."""

import collections.abc
import re
import typing

import msgspec
import result

from filbertstep import _addresses
from filbertstep import codec
from filbertstep import entry
from filbertstep import steering

CONFIGURATION_KEY: typing.Final = 'op/config'
EVACUATION_PREFIX: typing.Final = 'op/evacuate/'
SERVER_PREFIX: typing.Final = 'servers/'

# Whether a server is draining, by the state in its entry.  Servers in other
# states are not used.
DRAINING_BY_STATE: typing.Final = {'ready': False, 'draining': True}

# Value of a rule's ``kind`` that allows retries.
IDEMPOTENT_KIND: typing.Final = 'idempotent'

# Versions fit into 64 bits, the largest integers that can be encoded.
VERSION_REGEX: typing.Final = re.compile(r'r([0-9]{1,18})')

# Server ids are sent in a header.
SERVER_ID_REGEX: typing.Final = re.compile(r'[!-.0-~]+')

# More requests than connections from one address to a server.
MAX_SLOTS: typing.Final = 65536

# A longer slow start would keep a server from use for good.
MAX_COLD_LEFT_MS: typing.Final = 24 * 3600 * 1000

# Largest integer of which all JSON implementations keep every digit.
MAX_EXACT_INTEGER: typing.Final = 2**53

NonEmptyText = typing.Annotated[str, msgspec.Meta(min_length=1)]

ExactInteger = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_INTEGER)]


class SplitDoc(typing.TypedDict):
    """One destination of a rule that splits requests by weight."""

    service: str
    weight: float


class ActionDoc(typing.TypedDict, total=False):
    """Where a rule sends requests: to ``service``, or by ``split``."""

    service: str
    split: list[SplitDoc]
    timeout_ms: float
    attempts: int
    home_regions: list[str]


class MatchDoc(typing.TypedDict):
    """The requests to which a rule applies."""

    prefix: str


class RuleDoc(typing.TypedDict):
    """A route.

    ``public`` requires no API key.  ``sticky`` prefers servers that have the
    requested object cached.
    """

    name: str
    kind: str
    match: MatchDoc
    action: ActionDoc
    target_latency_ms: typing.NotRequired[float]
    priority: typing.NotRequired[int]
    public: typing.NotRequired[bool]
    sticky: typing.NotRequired[bool]


class ListenerDoc(typing.TypedDict):
    """The routes of one host."""

    host: str
    rules: list[RuleDoc]


class ClusterDoc(typing.TypedDict):
    """A service."""

    name: str
    cold_start_s: typing.NotRequired[float]
    cold_per_s: typing.NotRequired[float]


class TenantDoc(typing.TypedDict):
    """A client account; a missing rate or a rate of 0 means no limit."""

    name: str
    api_keys: typing.NotRequired[list[str]]
    priority: typing.NotRequired[int | None]
    rate_per_s: typing.NotRequired[float]
    burst: typing.NotRequired[float]
    home_regions: typing.NotRequired[list[str]]


class LimitsDoc(typing.TypedDict, total=False):
    """Limits of a caller's request and connection."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float | None
    idle_timeout_ms: float | None


class ConfigurationDoc(typing.TypedDict):
    """The configuration; ``version`` is ``r`` followed by a number."""

    version: str
    listeners: list[ListenerDoc]
    clusters: list[ClusterDoc]
    limits: typing.NotRequired[LimitsDoc]
    tenants: typing.NotRequired[list[TenantDoc]]


class InfoDoc(typing.TypedDict):
    """Properties that do not change while a server runs."""

    service: NonEmptyText
    version: str
    zone: NonEmptyText
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


class StatusDoc(typing.TypedDict):
    """The state of a server and the remaining time of its slow start.

    ``seq_no`` counts what the server wrote since its start.
    """

    state: str
    seq_no: ExactInteger
    cold_left_ms: typing.Annotated[
        float, msgspec.Meta(ge=0, le=MAX_COLD_LEFT_MS)
    ]


class ServerDoc(typing.TypedDict):
    """A server's entry; ``born`` is its start in Unix milliseconds.

    An entry that lacks another field is not the server's own.  Not all
    deployments have ``born``.
    """

    address: str
    info: InfoDoc
    status: StatusDoc
    born: typing.NotRequired[ExactInteger]


class ServerCountDoc(typing.TypedDict):
    """The count of what a server wrote since its start."""

    seq_no: ExactInteger


class ServerRecencyDoc(typing.TypedDict):
    """The part of a server's entry that orders its values."""

    status: ServerCountDoc
    born: typing.NotRequired[ExactInteger]


class VersionDoc(typing.TypedDict):
    """The part of the configuration that orders its values."""

    version: str


class PlatformDecoder(entry.Decoder):
    """Converts the platform's documents to the types of this project."""

    def parse_key(self, key: str) -> entry.ParsedKey:
        """Return the kind of a key, and the name of what it describes."""
        if key == CONFIGURATION_KEY:
            return entry.ParsedKey(entry.KeyKind.CONFIGURATION, '')
        for prefix, kind in (
            (EVACUATION_PREFIX, entry.KeyKind.EVACUATION),
            (SERVER_PREFIX, entry.KeyKind.SERVER),
        ):
            if key.startswith(prefix):
                return entry.ParsedKey(kind, key[len(prefix) :])
        return entry.ParsedKey(entry.KeyKind.OTHER, key)

    def decode(
        self, key: str, value: bytes
    ) -> result.Result[entry.DecodedValue, str]:
        """Decode a value; the error says why that is impossible."""
        parsed = self.parse_key(key)
        if parsed.kind is entry.KeyKind.CONFIGURATION:
            return codec.decode_open(value, ConfigurationDoc).and_then(
                parse_configuration
            )
        if parsed.kind is entry.KeyKind.EVACUATION:
            return result.Ok(entry.Evacuation(parsed.name))
        return codec.decode_open(value, ServerDoc).and_then(
            lambda doc: parse_server(parsed.name, doc)
        )

    def recency(self, key: str, value: bytes) -> entry.Recency | None:
        """Return the recency of a configuration or of a server's entry."""
        kind = self.parse_key(key).kind
        if kind is entry.KeyKind.CONFIGURATION:
            return (
                codec.decode_open(value, VersionDoc)
                .and_then(lambda doc: parse_version(doc['version']))
                .map(lambda version: entry.Recency(0, version))
                .ok()
            )
        if kind is entry.KeyKind.SERVER:
            return (
                codec.decode_open(value, ServerRecencyDoc)
                .map(
                    lambda doc: entry.Recency(
                        doc.get('born', 0), doc['status']['seq_no']
                    )
                )
                .ok()
            )
        return None


def parse_server(
    server_id: str, doc: ServerDoc
) -> result.Result[entry.DecodedValue, str]:
    """Convert a server's entry; return an error if it is invalid."""
    draining = DRAINING_BY_STATE.get(doc['status']['state'])
    if draining is None:
        return result.Err('unknown server state')
    if not SERVER_ID_REGEX.fullmatch(server_id):
        return result.Err('server id cannot be sent in a header')
    if not _addresses.is_address(doc['address']):
        return result.Err('server address is not host:port')
    return result.Ok(
        steering.ServerEntry(
            server_id=server_id,
            service=doc['info']['service'],
            address=doc['address'],
            availability_zone=doc['info']['zone'],
            slots=doc['info']['slots'],
            draining=draining,
            cold_left_s=doc['status']['cold_left_ms'] / 1000,
            incarnation=doc.get('born', 0),
        )
    )


def parse_version(version: str) -> result.Result[int, str]:
    """Return the number of a configuration's version."""
    match = VERSION_REGEX.fullmatch(version)
    if match is None:
        return result.Err(
            'configuration version is not r followed by a number'
        )
    return result.Ok(int(match[1]))


def parse_configuration(
    doc: ConfigurationDoc,
) -> result.Result[entry.DecodedValue, str]:
    """Convert the configuration; return an error if it is invalid."""
    version = parse_version(doc['version'])
    if isinstance(version, result.Err):
        return version
    services = {
        cluster['name']: steering.Service(
            name=cluster['name'],
            cold_start_s=cluster.get('cold_start_s', 0.0),
            cold_per_s=cluster.get('cold_per_s', 0.0),
        )
        for cluster in doc['clusters']
    }
    return result.Ok(
        steering.Configuration(
            version=version.ok_value,
            routes=tuple(
                parse_route(listener['host'], rule)
                for listener in doc['listeners']
                for rule in listener['rules']
            ),
            services=services,
            accounts={
                tenant['name']: parse_account(tenant)
                for tenant in doc.get('tenants', [])
            },
            limits=parse_limits(doc.get('limits', {})),
        )
    )


def parse_route(host: str, rule: RuleDoc) -> steering.Route:
    """Convert a rule of a host; without ``timeout_ms``, it has no timeout."""
    action = rule['action']
    destinations = action.get('split') or [
        {'service': action.get('service', ''), 'weight': 1.0}
    ]
    timeout_s = action.get('timeout_ms', 0) / 1000 or float('inf')
    return steering.Route(
        name=rule['name'],
        host=host.lower(),
        path_prefix=rule['match']['prefix'],
        idempotent=rule['kind'] == IDEMPOTENT_KIND,
        destinations=tuple(
            steering.Destination(destination['service'], destination['weight'])
            for destination in destinations
        ),
        timeout_s=timeout_s,
        target_s=rule.get('target_latency_ms', 1000) / 1000,
        max_attempts=action.get('attempts', 1),
        priority=rule.get('priority', 0),
        home_regions=parse_home_regions(action),
        public=rule.get('public', False),
        sticky=rule.get('sticky', False),
    )


def parse_account(tenant: TenantDoc) -> steering.ClientAccount:
    """Convert a client account."""
    return steering.ClientAccount(
        name=tenant['name'],
        api_keys=frozenset(tenant.get('api_keys', [])),
        priority=tenant.get('priority'),
        rate_per_s=tenant.get('rate_per_s', 0.0),
        burst_tokens=tenant.get('burst', 0.0),
        home_regions=parse_home_regions(tenant),
    )


def parse_home_regions(
    doc: collections.abc.Mapping[str, typing.Any],
) -> frozenset[str]:
    """Return the home regions; Any: two types of documents have the field."""
    return frozenset(doc.get('home_regions') or ())


def parse_limits(doc: LimitsDoc) -> steering.Limits:
    """Convert the limits; missing ones and times of 0 get their defaults."""
    defaults = steering.Limits()
    return steering.Limits(
        max_head_bytes=doc.get('header_bytes', defaults.max_head_bytes),
        max_body_bytes=doc.get('body_bytes', defaults.max_body_bytes),
        header_timeout_s=parse_timeout(
            doc.get('header_timeout_ms'), defaults.header_timeout_s
        ),
        idle_timeout_s=parse_timeout(
            doc.get('idle_timeout_ms'), defaults.idle_timeout_s
        ),
    )


def parse_timeout(timeout_ms: float | None, default_s: float) -> float:
    """Return a timeout in seconds, the default unless it is positive."""
    if timeout_ms is None or timeout_ms <= 0:
        return default_s
    return timeout_ms / 1000
