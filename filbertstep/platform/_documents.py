"""Decodes what the operator and the servers write into the store."""

import collections.abc
import typing

import msgspec
import result

from filbertstep import entry
from filbertstep import steering

CONFIGURATION_KEY: typing.Final = 'op/config'
EVACUATION_PREFIX: typing.Final = 'op/evacuate/'
SERVER_PREFIX: typing.Final = 'servers/'

# States of a server's entry; any other names no server to use.
DRAINING_BY_STATE: typing.Final = {'ready': False, 'draining': True}

# Value of a route's ``kind`` that allows repeats.
IDEMPOTENT_KIND: typing.Final = 'idempotent'


class SplitDoc(typing.TypedDict):
    """One destination of a split route."""

    service: str
    weight: float


class ActionDoc(typing.TypedDict, total=False):
    """Where a rule sends requests: ``service``, or ``split`` by weight."""

    service: str
    split: list[SplitDoc]
    timeout_ms: float
    attempts: int
    home_regions: list[str]


class MatchDoc(typing.TypedDict):
    """What a rule applies to."""

    prefix: str


class RuleDoc(typing.TypedDict):
    """A route; ``public`` needs no key, ``sticky`` has warm objects."""

    name: str
    kind: str
    match: MatchDoc
    action: ActionDoc
    target_latency_ms: typing.NotRequired[float]
    priority: typing.NotRequired[int]
    public: typing.NotRequired[bool]
    sticky: typing.NotRequired[bool]


class ListenerDoc(typing.TypedDict):
    """Routes of one host."""

    host: str
    rules: list[RuleDoc]


class ClusterDoc(typing.TypedDict):
    """A service."""

    name: str
    cold_start_s: typing.NotRequired[float]
    cold_per_s: typing.NotRequired[float]


class TenantDoc(typing.TypedDict):
    """A client account; a rate of 0 or none means no limit."""

    name: str
    api_keys: typing.NotRequired[list[str]]
    priority: typing.NotRequired[int | None]
    rate_per_s: typing.NotRequired[float]
    burst: typing.NotRequired[float]
    home_regions: typing.NotRequired[list[str]]


class LimitsDoc(typing.TypedDict, total=False):
    """Bounds on what a client may send."""

    header_bytes: int
    body_bytes: int


class ConfigurationDoc(typing.TypedDict):
    """The operator's configuration; ``version`` is ``r`` and a number."""

    version: str
    listeners: list[ListenerDoc]
    clusters: list[ClusterDoc]
    limits: typing.NotRequired[LimitsDoc]
    tenants: typing.NotRequired[list[TenantDoc]]


class InfoDoc(typing.TypedDict):
    """What does not change while a server runs."""

    service: str
    zone: str
    slots: int


class StatusDoc(typing.TypedDict):
    """A server's state."""

    state: str
    cold_left_ms: typing.NotRequired[float]


class ServerDoc(typing.TypedDict):
    """A server's entry; ``born`` is the Unix millisecond of its start."""

    address: str
    info: InfoDoc
    status: StatusDoc
    born: typing.NotRequired[int]


Document = typing.TypeVar('Document')


def decode_document(
    value: bytes, shape: type[Document]
) -> result.Result[Document, str]:
    """Decode a document; unknown fields are ignored."""
    try:
        return result.Ok(msgspec.json.decode(value, type=shape))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(str(error))


class PlatformDecoder(entry.Decoder):
    """Makes the project's rows of the platform's documents."""

    def parse_key(self, key: str) -> entry.ParsedKey:
        """Return what a key is about."""
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
        """Return the row of a value, or why it cannot be read."""
        subject = self.parse_key(key)
        if subject.kind is entry.KeyKind.CONFIGURATION:
            return decode_document(value, ConfigurationDoc).and_then(
                parse_configuration
            )
        if subject.kind is entry.KeyKind.EVACUATION:
            return result.Ok(entry.Evacuation(subject.name))
        return decode_document(value, ServerDoc).and_then(
            lambda doc: server_entry(subject.name, doc)
        )


def server_entry(
    server_id: str, doc: ServerDoc
) -> result.Result[entry.DecodedValue, str]:
    """Return the row of a server's entry."""
    draining = DRAINING_BY_STATE.get(doc['status']['state'])
    if draining is None:
        return result.Err('unknown state')
    host, _, port = doc['address'].rpartition(':')
    if not host or not port.isdigit():
        return result.Err('address is not host:port')
    return result.Ok(
        steering.ServerEntry(
            server_id=server_id,
            service=doc['info']['service'],
            address=doc['address'],
            availability_zone=doc['info']['zone'],
            slots=doc['info']['slots'],
            draining=draining,
            cold_left_s=doc['status'].get('cold_left_ms', 0) / 1000,
            incarnation=doc.get('born', 0),
        )
    )


def parse_configuration(
    doc: ConfigurationDoc,
) -> result.Result[entry.DecodedValue, str]:
    """Return the configuration of the operator's document."""
    digits = doc['version'].removeprefix('r')
    if not digits.isdigit():
        return result.Err('version is not r and a number')
    services = {
        row['name']: steering.Service(
            name=row['name'],
            cold_start_s=row.get('cold_start_s', 0.0),
            cold_per_s=row.get('cold_per_s', 0.0),
        )
        for row in doc['clusters']
    }
    return result.Ok(
        steering.Configuration(
            version=int(digits),
            routes=tuple(
                parse_route(listener['host'], rule)
                for listener in doc['listeners']
                for rule in listener['rules']
            ),
            services=services,
            accounts={
                row['name']: parse_account(row)
                for row in doc.get('tenants', [])
            },
            limits=parse_limits(doc.get('limits', {})),
        )
    )


def parse_route(host: str, rule: RuleDoc) -> steering.Route:
    """Return the row of a rule."""
    action = rule['action']
    split = action.get('split') or [
        {'service': action.get('service', ''), 'weight': 1.0}
    ]
    timeout_s = action.get('timeout_ms', 0) / 1000 or float('inf')
    return steering.Route(
        name=rule['name'],
        host=host.lower(),
        path_prefix=rule['match']['prefix'],
        idempotent=rule['kind'] == IDEMPOTENT_KIND,
        destinations=tuple(
            steering.Destination(row['service'], row['weight'])
            for row in split
        ),
        timeout_s=timeout_s,
        target_s=rule.get('target_latency_ms', 1000) / 1000,
        max_attempts=action.get('attempts', 1),
        priority=rule.get('priority', 0),
        home_regions=parse_home_regions(action),
        public=rule.get('public', False),
        sticky=rule.get('sticky', False),
    )


def parse_account(row: TenantDoc) -> steering.ClientAccount:
    """Return the row of a client account."""
    return steering.ClientAccount(
        name=row['name'],
        api_keys=frozenset(row.get('api_keys', [])),
        priority=row.get('priority'),
        rate_per_s=row.get('rate_per_s', 0.0),
        burst_tokens=row.get('burst', 0.0),
        home_regions=parse_home_regions(row),
    )


def parse_home_regions(
    doc: collections.abc.Mapping[str, typing.Any],
) -> frozenset[str]:
    """Return home regions; Any: the two documents share the field."""
    return frozenset(doc.get('home_regions') or ())


def parse_limits(doc: LimitsDoc) -> steering.Limits:
    """Return the bounds on what a caller may send."""
    usual = steering.Limits()
    return steering.Limits(
        max_head_bytes=doc.get('header_bytes', usual.max_head_bytes),
        max_body_bytes=doc.get('body_bytes', usual.max_body_bytes),
    )
