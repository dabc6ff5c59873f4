"""What the entry program asks of a platform's adapter."""

import abc
import collections.abc
import enum
import typing

import result

from filbertstep import steering


class Change(typing.NamedTuple):
    """A key as it was written; ``value`` None for a deletion."""

    key: str
    revision: int
    value: bytes | None


class ChangeBatch(typing.NamedTuple):
    """Changes, and the revision of the store from which to go on."""

    changes: tuple[Change, ...]
    revision: int


class StoreFault(enum.StrEnum):
    """Why a call to the store has no result.

    UNAVAILABLE covers calls that may have taken effect.  REFUSED: the store
    did nothing and said so.  HISTORY_GONE: read everything again.
    LEASE_GONE: the lease has ended.  CONFLICT: a condition did not hold.
    """

    UNAVAILABLE = 'unavailable'
    REFUSED = 'refused'
    HISTORY_GONE = 'history_gone'
    LEASE_GONE = 'lease_gone'
    CONFLICT = 'conflict'


T = typing.TypeVar('T')
StoreResult = result.Result[T, StoreFault]


class StoreClient(abc.ABC):
    """Client of the platform's store; calls have time limits of their own."""

    @abc.abstractmethod
    async def list(self, prefix: str) -> StoreResult[ChangeBatch]:
        """Read all keys under a prefix, consistently page by page."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> StoreResult[ChangeBatch]:
        """Return the changes after a revision as soon as there are any."""

    @abc.abstractmethod
    async def write(
        self,
        writes: collections.abc.Mapping[str, bytes],
        lease: int = 0,
    ) -> StoreResult[int]:
        """Write keys at once; return the revision."""

    @abc.abstractmethod
    async def delete_if_unchanged(
        self, key: str, revision: int
    ) -> StoreResult[int]:
        """Delete a key if its last change is still that of a revision."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> StoreResult[int]:
        """Return the id of a new lease."""

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> StoreResult[float]:
        """Renew a lease; return its lifetime in seconds."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: int) -> StoreResult[None]:
        """End a lease, which deletes its keys."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class KeyKind(enum.Enum):
    """What a key of the store is about."""

    CONFIGURATION = enum.auto()
    SERVER = enum.auto()
    EVACUATION = enum.auto()
    OTHER = enum.auto()


class ParsedKey(typing.NamedTuple):
    """What a key is about, and its server id or availability zone."""

    kind: KeyKind
    name: str


class Evacuation(typing.NamedTuple):
    """An availability zone whose servers must get nothing."""

    availability_zone: str


DecodedValue = steering.Configuration | steering.ServerEntry | Evacuation


class Decoder(abc.ABC):
    """Makes rows of what the operator and the servers wrote."""

    @abc.abstractmethod
    def parse_key(self, key: str) -> ParsedKey:
        """Return what a key is about."""

    @abc.abstractmethod
    def decode(
        self, key: str, value: bytes
    ) -> result.Result[DecodedValue, str]:
        """Return the row of a value, or why it cannot be read."""


class LookupQuery(typing.NamedTuple):
    """A caller's question where to connect."""

    region: str
    availability_zone: str


class WireFormat(abc.ABC):
    """Names on the wire towards callers and backend servers."""

    lookup_path: str
    ready_path: str
    request_id_header: str
    deadline_header: str
    key_header: str
    key_scheme: str
    account_header: str
    expected_server_header: str
    not_run_header: str
    load_header: str
    retry_after_header: str
    affinity_cookie: str

    @abc.abstractmethod
    def parse_lookup(
        self, query: collections.abc.Mapping[str, str]
    ) -> LookupQuery | None:
        """Return a look-up's question, None when it lacks something."""

    @abc.abstractmethod
    def format_lookup_answer(
        self, addresses: collections.abc.Sequence[str], ttl_s: float
    ) -> dict[str, object]:
        """Return the JSON body of a look-up's answer."""


class EntrySettings(typing.NamedTuple):
    """Checked settings of the entry program.

    Addresses are ``host:port``.  ``seed_addresses`` are peer addresses of
    other entry VMs, asked after the VMs that the store lists; they may be
    stale.  ``region_by_zone`` maps each availability zone to its region.
    ``first_start`` is set when the whole deployment starts for the first
    time.
    """

    vm: str
    host: str
    availability_zone: str
    region: str
    caller_address: str
    ready_address: str
    peer_address: str
    lookup_address: str
    metrics_port: int
    seed_addresses: tuple[str, ...]
    region_by_zone: dict[str, str]
    store_address: str
    min_lease_s: float
    first_start: bool
    log_lines_per_s: float
    bounds: steering.Bounds


class Platform(abc.ABC):
    """A platform: its settings, store, documents and wire names."""

    @abc.abstractmethod
    def load_settings(self) -> result.Result[EntrySettings, str]:
        """Read and check the settings file as it is now."""

    @abc.abstractmethod
    def open_store(self, settings: EntrySettings) -> StoreClient:
        """Return a client of the store; needs a running event loop."""

    @abc.abstractmethod
    def decoder(self) -> Decoder:
        """Return the decoder of the store's documents."""

    @abc.abstractmethod
    def wire_format(self) -> WireFormat:
        """Return the names on the wire."""
