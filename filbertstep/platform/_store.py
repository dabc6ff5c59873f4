"""Client of the platform's store."""

import base64
import binascii
import collections.abc
import typing

import aiohttp
import msgspec
import result

from filbertstep import _decimals
from filbertstep import codec
from filbertstep import entry

RANGE_PATH: typing.Final = '/filbertstep/kv-range'
WATCH_PATH: typing.Final = '/filbertstep/kv-watch'
TRANSACTION_PATH: typing.Final = '/filbertstep/kv-txn'
LEASE_PATH: typing.Final = '/filbertstep/kv-lease'
LEASE_RENEWAL_PATH: typing.Final = '/filbertstep/kv-keep'
LEASE_END_PATH: typing.Final = '/filbertstep/kv-lease-end'

# Identifies the store's history; it rises when the store was restored from an
# older copy.
ERA_HEADER: typing.Final = 'Store-Era'

# Maximum time without received data, in addition to the wait that a call
# requests.  The store answers within milliseconds, in slow periods within some
# hundred milliseconds.
IDLE_TIMEOUT_S: typing.Final = 1.2

# Maximum time of a call while data arrives.  A page has up to 1 MB, which
# takes 1.7 s on an otherwise idle link of 5 Mbit/s.
TOTAL_TIMEOUT_S: typing.Final = 6.0

# Faults of specific HTTP statuses; all others mean UNAVAILABLE.
FAULT_BY_STATUS: typing.Final = {
    404: entry.StoreFault.LEASE_GONE,
    410: entry.StoreFault.HISTORY_GONE,
    412: entry.StoreFault.CONFLICT,
    429: entry.StoreFault.REFUSED,
    503: entry.StoreFault.REFUSED,
}

# Revisions are 64-bit integers.
MAX_REVISION: typing.Final = 2**63 - 1


class ItemDoc(typing.TypedDict):
    """An item, or its deletion: ``deleted`` and no ``value``.

    ``value`` is in Base64.
    """

    key: str
    revision: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
    value: typing.NotRequired[str]
    deleted: typing.NotRequired[bool]


class RangeDoc(typing.TypedDict):
    """A page of items and the current revision of the whole store.

    The items are decoded one by one, so that each is independent of the rest.
    """

    items: list[msgspec.Raw]
    store_revision: int
    has_more: typing.NotRequired[bool]


class WatchDoc(typing.TypedDict):
    """Changes after a revision.

    The next watch continues after ``store_revision``.
    """

    events: list[msgspec.Raw]
    store_revision: int


class WrittenDoc(typing.TypedDict):
    """Answer to a transaction."""

    revision: int


class LeaseDoc(typing.TypedDict):
    """Answer to the grant or renewal of a lease."""

    ttl_ms: float
    lease: typing.NotRequired[int]


Document = typing.TypeVar('Document')


def decode_change(raw: msgspec.Raw, era: int) -> entry.Change | None:
    """Decode a change, None if it names no key and revision.

    A value that is not valid Base64 becomes empty bytes, which are no document
    of any kind.
    """
    decoded = codec.decode_open(raw, ItemDoc)
    if isinstance(decoded, result.Err):
        return None
    item = decoded.ok_value
    value = None
    if not item.get('deleted'):
        try:
            value = base64.b64decode(item.get('value', ''), validate=True)
        except (binascii.Error, ValueError):
            value = b''
    return entry.Change(item['key'], item['revision'], value, era)


def decode_changes(
    rows: collections.abc.Iterable[msgspec.Raw], era: int
) -> list[entry.Change]:
    """Decode all changes that can be decoded."""
    changes = [decode_change(row, era) for row in rows]
    return [change for change in changes if change is not None]


class PlatformStoreClient(entry.StoreClient):
    """Client of the store at a URL; closes the session at the end."""

    def __init__(
        self, url: str, session: aiohttp.ClientSession, min_lease_s: float
    ) -> None:
        self.url = url
        self.session = session
        self.min_lease_s = min_lease_s
        self.era = 0

    async def call(
        self,
        method: str,
        path: str,
        document_type: type[Document],
        params: collections.abc.Mapping[str, str] | None = None,
        body: object = None,
        wait_s: float = 0.0,
    ) -> entry.StoreFault | Document:
        """Make one call; return the decoded answer or the fault.

        An answer that is returned is of the era ``self.era``.  Faults are not
        logged here, as the caller knows their context.  ``wait_s`` extends the
        timeouts for calls that wait in the store.
        """
        try:
            async with self.session.request(
                method,
                self.url + path,
                params=params,
                data=None if body is None else msgspec.json.encode(body),
                headers={'Content-Type': 'application/json'},
                timeout=aiohttp.ClientTimeout(
                    total=wait_s + TOTAL_TIMEOUT_S,
                    connect=IDLE_TIMEOUT_S,
                    sock_read=wait_s + IDLE_TIMEOUT_S,
                ),
            ) as response:
                era = _decimals.parse_decimal(
                    response.headers.get(ERA_HEADER, '')
                )
                self.era = max(self.era, era or 0)
                content = await response.read()
                if era is not None and era < self.era:
                    return entry.StoreFault.UNAVAILABLE
                if response.status != 200:
                    return FAULT_BY_STATUS.get(
                        response.status, entry.StoreFault.UNAVAILABLE
                    )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return entry.StoreFault.UNAVAILABLE
        return codec.decode_open(content or b'{}', document_type).unwrap_or(
            entry.StoreFault.UNAVAILABLE
        )

    async def list(self, prefix: str) -> entry.StoreResult[entry.ChangeBatch]:
        """Read all keys under a prefix, page by page.

        The pages are not a consistent snapshot.  The returned revision is
        that of the first page, so that a watch from there yields all changes
        that were made between the pages.  Pages of two eras do not fit
        together, which is the fault HISTORY_GONE.
        """
        changes: list[entry.Change] = []
        start: entry.Position | None = None
        after = ''
        while True:
            params = {'prefix': prefix}
            if after:
                params['after'] = after
            page = await self.call('GET', RANGE_PATH, RangeDoc, params)
            if isinstance(page, entry.StoreFault):
                return result.Err(page)
            if start is None:
                start = entry.Position(self.era, page['store_revision'])
            if start.era != self.era:
                return result.Err(entry.StoreFault.HISTORY_GONE)
            page_changes = decode_changes(page['items'], start.era)
            changes += page_changes
            if not page.get('has_more') or not page['items']:
                return result.Ok(
                    entry.ChangeBatch(
                        tuple(changes), start.revision, start.era
                    )
                )
            if not page_changes:
                # The key after which the next page begins is unknown.
                return result.Err(entry.StoreFault.UNAVAILABLE)
            after = page_changes[-1].key

    async def watch(
        self, prefix: str, after: entry.Position, wait_s: float
    ) -> entry.StoreResult[entry.ChangeBatch]:
        """Return the changes after a position as soon as there are any.

        Returns none if nothing changes within ``wait_s``.
        """
        params = {
            'prefix': prefix,
            'after': str(after.revision),
            'wait_ms': str(int(wait_s * 1000)),
        }
        doc = await self.call(
            'GET', WATCH_PATH, WatchDoc, params, wait_s=wait_s
        )
        if isinstance(doc, entry.StoreFault):
            return result.Err(doc)
        if self.era != after.era:
            # The revision may exist again, after other changes.
            return result.Err(entry.StoreFault.HISTORY_GONE)
        changes = tuple(decode_changes(doc['events'], after.era))
        return result.Ok(
            entry.ChangeBatch(changes, doc['store_revision'], after.era)
        )

    async def write(
        self,
        writes: collections.abc.Mapping[str, bytes],
        lease: entry.Lease | None = None,
    ) -> entry.StoreResult[entry.Position]:
        """Write several keys in one transaction; return its position."""
        if lease is not None and lease.era != self.era:
            return result.Err(entry.StoreFault.LEASE_GONE)
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'lease': lease.lease_id if lease else 0,
            }
            for key, value in writes.items()
        ]
        written = await self.transact(writes=items)
        era = self.era
        if lease is not None and lease.era != era:
            return result.Err(entry.StoreFault.LEASE_GONE)
        return written.map(lambda revision: entry.Position(era, revision))

    async def delete_if_unchanged(
        self, key: str, position: entry.Position
    ) -> entry.StoreResult[int]:
        """Delete a key if it has not changed since ``position``."""
        if position.era != self.era:
            return result.Err(entry.StoreFault.CONFLICT)
        return await self.transact(
            expect_rev=[{'key': key, 'revision': position.revision}],
            deletes=[key],
        )

    async def transact(
        self, **parts: collections.abc.Sequence[object]
    ) -> entry.StoreResult[int]:
        """Commit a transaction; parts that are not given are empty."""
        body = {'expect_rev': [], 'writes': [], 'deletes': [], **parts}
        doc = await self.call('POST', TRANSACTION_PATH, WrittenDoc, body=body)
        if isinstance(doc, entry.StoreFault):
            return result.Err(doc)
        return result.Ok(doc['revision'])

    async def grant_lease(
        self, ttl_s: float
    ) -> entry.StoreResult[entry.Lease]:
        """Grant a lease."""
        ttl_ms = int(max(ttl_s, self.min_lease_s) * 1000)
        doc = await self.call(
            'POST', LEASE_PATH, LeaseDoc, body={'ttl_ms': ttl_ms}
        )
        if isinstance(doc, entry.StoreFault):
            return result.Err(doc)
        return result.Ok(entry.Lease(self.era, doc.get('lease', 0)))

    async def renew_lease(
        self, lease: entry.Lease
    ) -> entry.StoreResult[float]:
        """Renew a lease and return its lifetime in seconds."""
        if lease.era != self.era:
            return result.Err(entry.StoreFault.LEASE_GONE)
        doc = await self.call(
            'POST', f'{LEASE_RENEWAL_PATH}/{lease.lease_id}', LeaseDoc
        )
        if lease.era != self.era:
            # The call renewed the lease that has this id now, if any.
            return result.Err(entry.StoreFault.LEASE_GONE)
        if isinstance(doc, entry.StoreFault):
            return result.Err(doc)
        return result.Ok(doc['ttl_ms'] / 1000)

    async def revoke_lease(
        self, lease: entry.Lease
    ) -> entry.StoreResult[None]:
        """Revoke a lease, which deletes its keys."""
        if lease.era != self.era:
            return result.Err(entry.StoreFault.LEASE_GONE)
        doc = await self.call(
            'DELETE',
            f'{LEASE_END_PATH}/{lease.lease_id}',
            dict[str, object],
        )
        if isinstance(doc, entry.StoreFault):
            return result.Err(doc)
        return result.Ok(None)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
