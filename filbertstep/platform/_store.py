"""Client of the platform's store."""

import base64
import collections.abc
import typing

import aiohttp
import msgspec
import result

from filbertstep import entry

RANGE_PATH: typing.Final = '/filbertstep/kv-range'
WATCH_PATH: typing.Final = '/filbertstep/kv-watch'
TRANSACTION_PATH: typing.Final = '/filbertstep/kv-txn'
LEASE_PATH: typing.Final = '/filbertstep/kv-lease'
LEASE_RENEWAL_PATH: typing.Final = '/filbertstep/kv-keep'
LEASE_END_PATH: typing.Final = '/filbertstep/kv-lease-end'

# Time in seconds without a byte, beyond the wait that a call asks for, after
# which the call has failed.  The store answers in milliseconds; slow periods
# take some hundred.
IDLE_TIMEOUT_S: typing.Final = 1.2

# Time limit in seconds of a call as long as bytes arrive.  A page has up to
# 1 MB, which takes 1.7 s on a link of 5 Mbit/s that is otherwise idle.
TOTAL_TIMEOUT_S: typing.Final = 6.0

# Statuses that have a meaning of their own.
FAULT_BY_STATUS: typing.Final = {
    404: entry.StoreFault.LEASE_GONE,
    410: entry.StoreFault.HISTORY_GONE,
    412: entry.StoreFault.CONFLICT,
    429: entry.StoreFault.REFUSED,
    503: entry.StoreFault.REFUSED,
}


class ItemDoc(typing.TypedDict):
    """An item, or the deletion of one (``deleted``, without a value)."""

    key: str
    revision: int
    value: typing.NotRequired[str]
    deleted: typing.NotRequired[bool]


class RangeDoc(typing.TypedDict):
    """A page of items; ``store_revision`` is that of the whole store."""

    items: list[ItemDoc]
    store_revision: int
    has_more: typing.NotRequired[bool]


class WatchDoc(typing.TypedDict):
    """Changes after a revision; the next watch begins at the new one."""

    events: list[ItemDoc]
    store_revision: int


class WrittenDoc(typing.TypedDict):
    """Answer to a write."""

    revision: int


class LeaseDoc(typing.TypedDict):
    """Answer to a new lease or a renewal."""

    ttl_ms: float
    lease: typing.NotRequired[int]


Document = typing.TypeVar('Document')


def decode_change(row: ItemDoc) -> entry.Change:
    """Return the change of an item; raise ValueError if it is unreadable."""
    value = None
    if not row.get('deleted'):
        value = base64.b64decode(row.get('value', ''), validate=True)
    return entry.Change(row['key'], row['revision'], value)


class PlatformStoreClient(entry.StoreClient):
    """The store at a URL; owns the session."""

    def __init__(
        self, url: str, session: aiohttp.ClientSession, least_lease_s: float
    ) -> None:
        self.url = url
        self.session = session
        self.least_lease_s = least_lease_s

    async def call(
        self,
        method: str,
        path: str,
        shape: type[Document],
        params: collections.abc.Mapping[str, str] | None = None,
        body: object = None,
        wait_s: float = 0.0,
    ) -> entry.StoreFault | Document:
        """Do one call; return its fault or the decoded answer.

        The caller logs the fault with what it was about to do.
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
                content = await response.read()
                if response.status != 200:
                    return FAULT_BY_STATUS.get(
                        response.status, entry.StoreFault.UNAVAILABLE
                    )
            return msgspec.json.decode(content or b'{}', type=shape)
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            msgspec.DecodeError,
        ):
            return entry.StoreFault.UNAVAILABLE

    async def list(self, prefix: str) -> entry.StoreResult[entry.ChangeBatch]:
        """Read all keys under a prefix.

        Pages are no snapshot: the revision is that of the first, so that a
        watch from there brings what changed between them.
        """
        changes: list[entry.Change] = []
        first: int | None = None
        after = ''
        while True:
            params = {'prefix': prefix}
            if after:
                params['after'] = after
            page = await self.call('GET', RANGE_PATH, RangeDoc, params)
            if isinstance(page, entry.StoreFault):
                return result.Err(page)
            if first is None:
                first = page['store_revision']
            try:
                changes += [decode_change(row) for row in page['items']]
            except ValueError:
                return result.Err(entry.StoreFault.UNAVAILABLE)
            if not page.get('has_more') or not page['items']:
                return result.Ok(entry.ChangeBatch(tuple(changes), first))
            after = page['items'][-1]['key']

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> entry.StoreResult[entry.ChangeBatch]:
        """Return the changes after a revision as soon as there are any."""
        params = {
            'prefix': prefix,
            'after': str(after),
            'wait_ms': str(int(wait_s * 1000)),
        }
        doc = await self.call(
            'GET', WATCH_PATH, WatchDoc, params, wait_s=wait_s
        )
        if isinstance(doc, entry.StoreFault):
            return result.Err(doc)
        try:
            changes = tuple(decode_change(row) for row in doc['events'])
        except ValueError:
            return result.Err(entry.StoreFault.HISTORY_GONE)
        return result.Ok(entry.ChangeBatch(changes, doc['store_revision']))

    async def write(
        self,
        writes: collections.abc.Mapping[str, bytes],
        lease: int = 0,
    ) -> entry.StoreResult[int]:
        """Write keys at once."""
        rows = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'lease': lease,
            }
            for key, value in writes.items()
        ]
        return await self.transact(writes=rows)

    async def delete_if_unchanged(
        self, key: str, revision: int
    ) -> entry.StoreResult[int]:
        """Delete a key if its last change is still that of a revision."""
        return await self.transact(
            expect_rev=[{'key': key, 'revision': revision}], deletes=[key]
        )

    async def transact(
        self, **parts: collections.abc.Sequence[object]
    ) -> entry.StoreResult[int]:
        """Do one transaction; parts that are not named are empty."""
        body = {'expect_rev': [], 'writes': [], 'deletes': [], **parts}
        doc = await self.call('POST', TRANSACTION_PATH, WrittenDoc, body=body)
        if isinstance(doc, entry.StoreFault):
            return result.Err(doc)
        return result.Ok(doc['revision'])

    async def grant_lease(self, ttl_s: float) -> entry.StoreResult[int]:
        """Return the id of a new lease."""
        ttl_ms = int(max(ttl_s, self.least_lease_s) * 1000)
        doc = await self.call(
            'POST', LEASE_PATH, LeaseDoc, body={'ttl_ms': ttl_ms}
        )
        if isinstance(doc, entry.StoreFault):
            return result.Err(doc)
        return result.Ok(doc.get('lease', 0))

    async def renew_lease(self, lease: int) -> entry.StoreResult[float]:
        """Renew a lease; return its lifetime in seconds."""
        doc = await self.call(
            'POST', f'{LEASE_RENEWAL_PATH}/{lease}', LeaseDoc
        )
        if isinstance(doc, entry.StoreFault):
            return result.Err(doc)
        return result.Ok(doc['ttl_ms'] / 1000)

    async def revoke_lease(self, lease: int) -> entry.StoreResult[None]:
        """End a lease, which deletes its keys."""
        doc = await self.call(
            'DELETE', f'{LEASE_END_PATH}/{lease}', dict[str, object]
        )
        if isinstance(doc, entry.StoreFault):
            return result.Err(doc)
        return result.Ok(None)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
