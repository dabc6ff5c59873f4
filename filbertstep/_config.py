"""The operators' configuration: JSON documents and their parsed form.

A document (``...Doc``) is the complete state of one entity, such as a service,
as JSON.  Tickets and the sections stored in the key-value store contain
documents.  A row is the parsed form of a document, which the systems of a node
read.  ``_tickets`` applies a ticket to a configuration; ``_views`` combines
several configurations that are in force at the same time.
"""

import enum
import ipaddress
import typing

import msgspec
import result

from filbertstep import codec

# Upper limit of a request's run time on a backend server.  A slot that changed
# its owner stays unused for a time derived from this limit, so a higher limit
# delays every takeover.
MAX_DEADLINE_S: typing.Final = 10.0

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0)]
Fraction = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
PositiveInt = typing.Annotated[int, msgspec.Meta(gt=0)]
Sha256Hex = typing.Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}$')]


class WorkType(enum.StrEnum):
    """Whether a person waits for the answers of a service."""

    INTERACTIVE = 'interactive'
    DEFERRABLE = 'deferrable'


class DrainTarget(enum.StrEnum):
    """Kinds of entities that a drain can take out of use."""

    BACKEND_SERVER = 'backend_server'
    VM = 'vm'
    REGION = 'region'


class EntityKind(enum.StrEnum):
    """Kinds of entities in a configuration."""

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
    """A region; ``near`` lists other regions, nearest first."""

    availability_zones: list[Name]
    near: typing.NotRequired[list[Name]]


class ObjectiveDoc(typing.TypedDict):
    """Service-level objective (SLO) of a service.

    At least the fraction ``in_time_share`` of answers must take at most
    ``in_time_ms``.  Of the requests within their account's rate limit, at
    least the fraction ``served_share`` must not be refused.
    """

    in_time_ms: PositiveInt
    in_time_share: Fraction
    served_share: Fraction


class ServiceDoc(typing.TypedDict):
    """A service that callers reach under ``path_prefix``.

    An ``open`` service needs no API key.  A request whose method is not in
    ``idempotent_methods`` runs at most once.  ``deadline_ms`` is both the
    default and the maximum run time of a request.  ``regions`` maps a region
    to its weight when traffic is split between regions.
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
    """A backend server of one service.

    ``address`` is ``host:port``, ``slots`` the number of requests that the
    server runs at a time, and ``warmup_s`` the warm-up time in seconds.
    """

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
    """A client account and its rate limit.

    ``rate`` is in requests per second and ``burst`` in requests.
    """

    rate: PositiveFloat
    burst: typing.Annotated[float, msgspec.Meta(ge=1)]
    services: list[Name]


class KeyDoc(typing.TypedDict):
    """An API key; ``digest`` is its SHA-256 digest in lower-case hex."""

    client_account: Name
    digest: Sha256Hex


class ShiftCapDoc(typing.TypedDict):
    """Limit on moving a service's traffic between regions.

    At most the fraction ``max_share`` of the service's requests may move in
    ``interval_s`` seconds.
    """

    max_share: Fraction
    interval_s: typing.Annotated[float, msgspec.Meta(ge=1, le=3600)]


class DrainDoc(typing.TypedDict):
    """A planned drain of one backend server, VM or region."""

    target_kind: DrainTarget
    target: Name


class LinkDoc(typing.TypedDict):
    """One direction of the link between two regions.

    ``bytes_per_s`` is the part of the link's rate that filbertstep may use
    and ``burst_bytes`` the number of bytes that it may send at once.
    """

    from_region: Name
    to_region: Name
    bytes_per_s: PositiveFloat
    burst_bytes: PositiveFloat


class SiteDoc(typing.TypedDict):
    """A client site: its region and its IP address blocks in CIDR form."""

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
    """Row of a service; see ``ServiceDoc`` for the fields."""

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
    """Row of an API key."""

    name: str
    client_account: str
    digest: str


class ShiftCap(typing.NamedTuple):
    """Row of the limit on moving one service's traffic between regions."""

    service: str
    max_share: float
    interval_s: float


class Drain(typing.NamedTuple):
    """Row of a planned drain."""

    name: str
    target_kind: DrainTarget
    target: str


class Link(typing.NamedTuple):
    """Row of one direction of the link between two regions."""

    name: str
    from_region: str
    to_region: str
    bytes_per_s: float
    burst_bytes: float


class Site(typing.NamedTuple):
    """Row of a client site."""

    name: str
    region: str
    blocks: tuple[str, ...]


class Config(typing.NamedTuple):
    """A complete configuration: rows by the name of the entity.

    Only ``keys`` has the key's digest as the dict key, because an API key in
    a request is looked up by its digest.
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
"""Documents by entity kind and name, already validated."""

DOCUMENT_TYPES: typing.Final[dict[EntityKind, type]] = {
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
    """Validate the document of one entity, without the other entities.

    The error text names the invalid field.
    """
    checked: result.Result[object, str] = codec.convert(
        raw, DOCUMENT_TYPES[kind]
    )
    if isinstance(checked, result.Ok) and kind is EntityKind.SITE:
        return check_address_blocks(typing.cast(SiteDoc, raw))
    return checked


def check_address_blocks(doc: SiteDoc) -> result.Result[object, str]:
    """Validate the address blocks of a site; the error names the block."""
    for position, block in enumerate(doc['blocks']):
        try:
            ipaddress.ip_network(block)
        except ValueError as error:
            return result.Err(f'{error} - at `$.blocks[{position}]`')
    return result.Ok(doc)


def empty_documents() -> Documents:
    """Return the documents of a configuration without entities."""
    return {kind: {} for kind in EntityKind}


def service_from_doc(name: str, doc: ServiceDoc) -> Service:
    """Parse the document of a service."""
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


def account_from_doc(name: str, doc: ClientAccountDoc) -> ClientAccount:
    """Parse the document of a client account."""
    return ClientAccount(
        name, doc['rate'], doc['burst'], frozenset(doc['services'])
    )


def build_config(documents: Documents) -> Config:
    """Return the configuration that validated documents describe."""
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
            name: service_from_doc(name, typing.cast(ServiceDoc, doc))
            for name, doc in documents[EntityKind.SERVICE].items()
        },
        backend_servers={
            name: BackendServer(name=name, **doc)
            for name, doc in servers.items()
        },
        client_accounts={
            name: account_from_doc(name, typing.cast(ClientAccountDoc, doc))
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
