"""Clients of the platform's key-value store.

There are three calls: a consistent read, a blocking read that returns when the
value changes or after a maximum wait, and a compare-and-swap write.  A write
that did not match the index differs from a write whose answer was lost: after
the latter the value may have changed, which only a read can show.
"""

import abc
import asyncio
import base64
import collections.abc
import enum
import typing

import aiohttp
import msgspec
import result

from filbertstep import _decimals

# The store answers within milliseconds.  If it does not answer for this long,
# it is down or unreachable.
CALL_TIMEOUT_S: typing.Final = 2.0


class Entry(typing.NamedTuple):
    """A value and its modify index, which is 0 if the key does not exist."""

    value: bytes
    modify_index: int


ABSENT: typing.Final = Entry(b'', 0)


class StoreError(enum.StrEnum):
    """Reasons why a call to the store failed.

    After NOT_SENT the call had no effect; after UNKNOWN it may have had one.
    """

    NOT_SENT = 'not_sent'
    UNKNOWN = 'unknown'


class Store(abc.ABC):
    """Client of the key-value store; every call has a timeout."""

    @abc.abstractmethod
    async def get(self, key: str) -> result.Result[Entry, StoreError]:
        """Read a key consistently; ``ABSENT`` if it does not exist."""

    @abc.abstractmethod
    async def wait_for_change(
        self, key: str, index: int, wait_s: float
    ) -> result.Result[Entry, StoreError]:
        """Read a key once its modify index differs from ``index``.

        The call returns after ``wait_s`` seconds even without a change.  Its
        result is what ``get`` would return at some time after this call was
        sent.
        """

    @abc.abstractmethod
    async def put_cas(
        self, key: str, value: bytes, index: int
    ) -> result.Result[bool, StoreError]:
        """Write a key if its modify index equals ``index``.

        Index 0 means that the key must not exist.  Returns whether the value
        was written.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Release the client's resources."""


class KvDoc(msgspec.Struct):
    """The fields used of a Consul KV entry; others are ignored."""

    Value: str | None
    ModifyIndex: int


class ConsulStore(Store):
    """Client of the Consul KV HTTP API.

    aiohttp retries a PUT once when a reused connection breaks.  So
    ``put_cas`` can return False although it wrote the value.  Callers must
    read the key after False, as after a concurrent write.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self.url = url.rstrip('/')
        self.session = session
        # X-Consul-Index of the last read of keys that did not exist.  These
        # have no modify index for a blocking query.
        self.index_of_absent_keys: dict[str, int] = {}

    async def get(self, key: str) -> result.Result[Entry, StoreError]:
        """Read a key consistently."""
        return await self.read(key, {'consistent': ''}, CALL_TIMEOUT_S)

    async def wait_for_change(
        self, key: str, index: int, wait_s: float
    ) -> result.Result[Entry, StoreError]:
        """Send a blocking query for a key."""
        if index == 0:
            index = self.index_of_absent_keys.get(key, 0)
        if index == 0:
            # Consul answers a query with index 0 at once.  The read records
            # an index, so the next call can block.
            return await self.get(key)
        params = {
            'consistent': '',
            'index': str(index),
            'wait': f'{max(1, round(wait_s * 1000))}ms',
        }
        return await self.read(key, params, wait_s + CALL_TIMEOUT_S)

    async def put_cas(
        self, key: str, value: bytes, index: int
    ) -> result.Result[bool, StoreError]:
        """Write a key with the ``cas`` parameter."""

        async def call() -> result.Result[bool, StoreError]:
            async with self.session.put(
                f'{self.url}/v1/kv/{key}',
                params={'cas': str(index)},
                data=value,
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            ) as response:
                body = (await response.read()).strip()
                if response.status != 200 or body not in (b'true', b'false'):
                    return result.Err(StoreError.UNKNOWN)
                return result.Ok(body == b'true')

        return await call_with_store_errors(call)

    async def close(self) -> None:
        """Do nothing; the owner of the session closes it."""

    async def read(
        self, key: str, params: dict[str, str], timeout_s: float
    ) -> result.Result[Entry, StoreError]:
        """Send one GET request for a key."""

        async def call() -> result.Result[Entry, StoreError]:
            async with self.session.get(
                f'{self.url}/v1/kv/{key}',
                params=params,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                if response.status == 404:
                    self.index_of_absent_keys[key] = consul_index(response)
                    return result.Ok(ABSENT)
                if response.status != 200:
                    return result.Err(StoreError.UNKNOWN)
                self.index_of_absent_keys.pop(key, None)
                return decode_entry(await response.read())

        return await call_with_store_errors(call)


def consul_index(response: aiohttp.ClientResponse) -> int:
    """Return the X-Consul-Index of a response, or 0 if it is missing."""
    text = response.headers.get('X-Consul-Index', '')
    return _decimals.parse_decimal(text) or 0


def decode_entry(body: bytes) -> result.Result[Entry, StoreError]:
    """Decode the single entry in the body of a KV response."""
    try:
        docs = msgspec.json.decode(body, type=list[KvDoc])
        value = base64.b64decode(docs[0].Value or '', validate=True)
    except (ValueError, RecursionError, IndexError):
        return result.Err(StoreError.UNKNOWN)
    return result.Ok(Entry(value, docs[0].ModifyIndex))


T = typing.TypeVar('T')


async def call_with_store_errors(
    call: collections.abc.Callable[
        [], collections.abc.Awaitable[result.Result[T, StoreError]]
    ],
) -> result.Result[T, StoreError]:
    """Make an HTTP call and convert its exceptions to store errors."""
    try:
        return await call()
    except aiohttp.ClientConnectorError:
        return result.Err(StoreError.NOT_SENT)
    except (aiohttp.ClientError, OSError, TimeoutError):
        return result.Err(StoreError.UNKNOWN)


class FakeStore(Store):
    """An in-memory store for tests, with injected faults.

    If ``down`` is true, every call fails.  Calls are delayed by ``delay_s``
    seconds.  The next ``lose_answers`` writes take effect but return UNKNOWN.
    As in Consul, writing the current value of a key keeps its modify index.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.last_index = 0
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.changed = asyncio.Event()

    async def get(self, key: str) -> result.Result[Entry, StoreError]:
        """Read a key."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            return result.Err(StoreError.NOT_SENT)
        return result.Ok(self.entries.get(key, ABSENT))

    async def wait_for_change(
        self, key: str, index: int, wait_s: float
    ) -> result.Result[Entry, StoreError]:
        """Read a key when it changes or after ``wait_s`` seconds."""
        changed = self.changed
        entry = self.entries.get(key, ABSENT)
        if not self.down and entry.modify_index == index:
            try:
                await asyncio.wait_for(changed.wait(), wait_s)
            except TimeoutError:
                pass
        return await self.get(key)

    async def put_cas(
        self, key: str, value: bytes, index: int
    ) -> result.Result[bool, StoreError]:
        """Write a key if its modify index equals ``index``."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            return result.Err(StoreError.NOT_SENT)
        written = self.compare_and_swap(key, value, index)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return result.Err(StoreError.UNKNOWN)
        return result.Ok(written)

    def compare_and_swap(self, key: str, value: bytes, index: int) -> bool:
        """Write a key if its index matches; return whether it did."""
        entry = self.entries.get(key, ABSENT)
        if entry.modify_index != index:
            return False
        if index == 0 or entry.value != value:
            self.last_index += 1
            self.entries[key] = Entry(value, self.last_index)
            self.changed.set()
            self.changed = asyncio.Event()
        return True

    async def close(self) -> None:
        """Do nothing; there are no connections."""
