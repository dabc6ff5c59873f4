"""The operators' configuration: documents on the wire and rows in memory.

A document is the whole state of one entity as a ticket carries it and as a
section of the configuration keeps it.  Rows are what the systems read.  How a
ticket changes a configuration is in ``_tickets``; how several configurations
hold at once is in ``_views``.
"""

import enum
import ipaddress
import typing

import msgspec
import result

from filbertstep import codec

# The longest time in seconds that a request may run on a backend server.  The
# time for which a slot stays unused after it changed its owner follows from
# it, so that a longer limit delays every takeover.
MAX_DEADLINE_S: typing.Final = 10.0

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
PositiveInt = typing.Annotated[int, msgspec.Meta(gt=0)]
Digest = typing.Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}$')]


class WorkType(enum.StrEnum):
    """Whether a service's requests have a person waiting for them."""

    INTERACTIVE = 'interactive'
    DEFERRABLE = 'deferrable'


class DrainTarget(enum.StrEnum):
    """What a drain takes out of use."""

    BACKEND_SERVER = 'backend_server'
    VM = 'vm'
    REGION = 'region'


class EntityKind(enum.StrEnum):
    """Kinds of entities that a ticket can change."""

    REGION = 'region'
    SERVICE = 'service'
    BACKEND_SERVER = 'backend_server'
    CLIENT_ACCOUNT = 'client_account'
    KEY = 'key'
    SHIFT_CAP = 'shift_cap'
    DRAIN = 'drain'
    LINK = 'link'
    SITE = 'site'


class RegionDoc(typing.TypedDict):
    """A region; ``near`` orders the other regions, nearest first."""

    availability_zones: list[Name]
    near: typing.NotRequired[list[Name]]


class ObjectiveDoc(typing.TypedDict):
    """Service-level objective.

    ``in_time_share`` of answers take at most ``in_time_ms``, and
    ``served_share`` of requests inside their account's rate are not refused.
    """

    in_time_ms: PositiveInt
    in_time_share: Share
    served_share: Share


class ServiceDoc(typing.TypedDict):
    """A service that callers reach under ``path_prefix``.

    ``open`` services need no key.  Methods outside ``idempotent_methods`` run
    at most once.  ``deadline_ms`` is the default and the longest run time.
    ``regions`` maps a region to its weight in the configured split.
    """

    path_prefix: typing.Annotated[
        str, msgspec.Meta(pattern=r'^(/[A-Za-z0-9._~-]+)+$')
    ]
    work: WorkType
    open: bool
    idempotent_methods: list[
        typing.Literal['GET', 'HEAD', 'OPTIONS', 'PUT', 'POST', 'DELETE']
    ]
    deadline_ms: typing.Annotated[int, msgspec.Meta(gt=0, le=10_000)]
    max_body_bytes: typing.Annotated[int, msgspec.Meta(ge=0, le=16_777_216)]
    queue_limit: typing.Annotated[int, msgspec.Meta(ge=0, le=100_000)]
    regions: dict[Name, typing.Annotated[float, msgspec.Meta(ge=0)]]
    objective: ObjectiveDoc


class BackendServerDoc(typing.TypedDict):
    """A backend server of one service; ``address`` is ``host:port``."""

    service: Name
    address: typing.Annotated[
        str, msgspec.Meta(pattern=r'^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$')
    ]
    region: Name
    availability_zone: Name
    slots: typing.Annotated[int, msgspec.Meta(gt=0, le=1000)]
    connections: PositiveInt
    warmup_s: typing.Annotated[float, msgspec.Meta(ge=0, le=600)]


class ClientAccountDoc(typing.TypedDict):
    """A client account; ``rate`` in requests a second, ``burst`` requests."""

    rate: Positive
    burst: typing.Annotated[float, msgspec.Meta(ge=1)]
    services: list[Name]


class KeyDoc(typing.TypedDict):
    """A key of an account, as the SHA-256 digest in lower-case hex."""

    client_account: Name
    digest: Digest


class ShiftCapDoc(typing.TypedDict):
    """The share of a service's requests that may move in an interval."""

    max_share: Share
    interval_s: typing.Annotated[float, msgspec.Meta(ge=1, le=3600)]


class DrainDoc(typing.TypedDict):
    """A planned drain of one backend server, VM or region."""

    target_kind: DrainTarget
    target: Name


class LinkDoc(typing.TypedDict):
    """One direction between two regions.

    ``bytes_per_s`` is the part of the link's rate that filbertstep may use,
    ``burst_bytes`` what it may send at once.
    """

    from_region: Name
    to_region: Name
    bytes_per_s: Positive
    burst_bytes: Positive


class SiteDoc(typing.TypedDict):
    """A site of clients: its region and its address blocks in CIDR form."""

    region: Name
    blocks: list[str]


class Region(typing.NamedTuple):
    """Row of a region."""

    name: str
    availability_zones: tuple[str, ...]
    near: tuple[str, ...]


class Objective(typing.NamedTuple):
    """Row of a service-level objective."""

    in_time_ms: int
    in_time_share: float
    served_share: float


class Service(typing.NamedTuple):
    """Row of a service; ``deadline_s`` in seconds."""

    name: str
    path_prefix: str
    work: WorkType
    open: bool
    idempotent_methods: frozenset[str]
    deadline_s: float
    max_body_bytes: int
    queue_limit: int
    regions: dict[str, float]
    objective: Objective


class BackendServer(typing.NamedTuple):
    """Row of a backend server."""

    name: str
    service: str
    address: str
    region: str
    availability_zone: str
    slots: int
    connections: int
    warmup_s: float


class ClientAccount(typing.NamedTuple):
    """Row of a client account."""

    name: str
    rate: float
    burst: float
    services: frozenset[str]


class Key(typing.NamedTuple):
    """Row of a key."""

    name: str
    client_account: str
    digest: str


class ShiftCap(typing.NamedTuple):
    """Row of a cap on shifts of one service's traffic."""

    service: str
    max_share: float
    interval_s: float


class Drain(typing.NamedTuple):
    """Row of a planned drain."""

    name: str
    target_kind: DrainTarget
    target: str


class Link(typing.NamedTuple):
    """Row of one direction of a link between regions."""

    name: str
    from_region: str
    to_region: str
    bytes_per_s: float
    burst_bytes: float


class Site(typing.NamedTuple):
    """Row of a site of clients."""

    name: str
    region: str
    blocks: tuple[str, ...]


class Config(typing.NamedTuple):
    """One whole configuration.  Dicts map an entity's name to its row.

    ``keys`` maps a digest to its row, because requests bring digests.
    """

    regions: dict[str, Region]
    services: dict[str, Service]
    backend_servers: dict[str, BackendServer]
    client_accounts: dict[str, ClientAccount]
    keys: dict[str, Key]
    shift_caps: dict[str, ShiftCap]
    drains: dict[str, Drain]
    links: dict[str, Link]
    sites: dict[str, Site]


Documents = dict[EntityKind, dict[str, dict[str, typing.Any]]]
"""Entity documents by kind and name; they were checked when accepted."""

SHAPES: typing.Final[dict[EntityKind, type]] = {
    EntityKind.REGION: RegionDoc,
    EntityKind.SERVICE: ServiceDoc,
    EntityKind.BACKEND_SERVER: BackendServerDoc,
    EntityKind.CLIENT_ACCOUNT: ClientAccountDoc,
    EntityKind.KEY: KeyDoc,
    EntityKind.SHIFT_CAP: ShiftCapDoc,
    EntityKind.DRAIN: DrainDoc,
    EntityKind.LINK: LinkDoc,
    EntityKind.SITE: SiteDoc,
}


def check_document(
    kind: EntityKind, raw: object
) -> result.Result[object, str]:
    """Check one entity's document by itself; the error names the field."""
    checked: result.Result[object, str] = codec.convert(raw, SHAPES[kind])
    if isinstance(checked, result.Ok) and kind is EntityKind.SITE:
        return check_blocks(typing.cast(SiteDoc, raw))
    return checked


def check_blocks(doc: SiteDoc) -> result.Result[object, str]:
    """Check that every block of a site is an address block."""
    for position, block in enumerate(doc['blocks']):
        try:
            ipaddress.ip_network(block)
        except ValueError as error:
            return result.Err(f'{error} - at `$.blocks[{position}]`')
    return result.Ok(doc)


def empty_documents() -> Documents:
    """Return documents without any entity."""
    return {kind: {} for kind in EntityKind}


def service_row(name: str, doc: ServiceDoc) -> Service:
    """Return the row of a service's document."""
    return Service(
        name=name,
        path_prefix=doc['path_prefix'],
        work=WorkType(doc['work']),
        open=doc['open'],
        idempotent_methods=frozenset(doc['idempotent_methods']),
        deadline_s=doc['deadline_ms'] / 1000,
        max_body_bytes=doc['max_body_bytes'],
        queue_limit=doc['queue_limit'],
        regions=dict(doc['regions']),
        objective=Objective(**doc['objective']),
    )


def account_row(name: str, doc: ClientAccountDoc) -> ClientAccount:
    """Return the row of a client account's document."""
    return ClientAccount(
        name, doc['rate'], doc['burst'], frozenset(doc['services'])
    )


def build_config(documents: Documents) -> Config:
    """Return the rows of documents that were checked before."""
    servers = documents[EntityKind.BACKEND_SERVER]
    keys = [
        Key(name, doc['client_account'], doc['digest'])
        for name, doc in documents[EntityKind.KEY].items()
    ]
    return Config(
        regions={
            name: Region(
                name,
                tuple(doc['availability_zones']),
                tuple(doc.get('near', ())),
            )
            for name, doc in documents[EntityKind.REGION].items()
        },
        services={
            name: service_row(name, typing.cast(ServiceDoc, doc))
            for name, doc in documents[EntityKind.SERVICE].items()
        },
        backend_servers={
            name: BackendServer(name=name, **doc)
            for name, doc in servers.items()
        },
        client_accounts={
            name: account_row(name, typing.cast(ClientAccountDoc, doc))
            for name, doc in documents[EntityKind.CLIENT_ACCOUNT].items()
        },
        keys={key.digest: key for key in keys},
        shift_caps={
            name: ShiftCap(name, doc['max_share'], doc['interval_s'])
            for name, doc in documents[EntityKind.SHIFT_CAP].items()
        },
        drains={
            name: Drain(name, DrainTarget(doc['target_kind']), doc['target'])
            for name, doc in documents[EntityKind.DRAIN].items()
        },
        links={
            name: Link(name=name, **doc)
            for name, doc in documents[EntityKind.LINK].items()
        },
        sites={
            name: Site(name, doc['region'], tuple(doc['blocks']))
            for name, doc in documents[EntityKind.SITE].items()
        },
    )


EMPTY_CONFIG: typing.Final = build_config(empty_documents())
