"""The platform's key-value service, as the agreement system sees it.

Only three calls are needed: a consistent read, a blocking read that returns
when the value changes or a wait time ends, and compare-and-swap.  A failed
swap and a swap whose answer was lost differ: after the second the value may
have changed, and only a read can tell.
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

# Time limit in seconds of one call.  The store answers in milliseconds, so
# that a longer silence means that it is down or unreachable.
CALL_TIMEOUT_S: typing.Final = 2.0


class Entry(typing.NamedTuple):
    """A value and its modify index; index 0 means that the key is absent."""

    value: bytes
    modify_index: int


ABSENT: typing.Final = Entry(b'', 0)


class StoreError(enum.StrEnum):
    """Why a call to the store gave no answer.

    NOT_SENT: the call had no effect.  UNKNOWN: it may have taken effect.
    """

    NOT_SENT = 'not_sent'
    UNKNOWN = 'unknown'


class Store(abc.ABC):
    """Client of the key-value service; calls have time limits of their own."""

    @abc.abstractmethod
    async def get(self, key: str) -> result.Result[Entry, StoreError]:
        """Read a key consistently; ``ABSENT`` when there is none."""

    @abc.abstractmethod
    async def wait(
        self, key: str, index: int, wait_s: float
    ) -> result.Result[Entry, StoreError]:
        """Read a key when its index is no longer ``index``, or after a wait.

        The answer is as consistent as that of ``get`` at some moment after
        the call was sent.
        """

    @abc.abstractmethod
    async def put_cas(
        self, key: str, value: bytes, index: int
    ) -> result.Result[bool, StoreError]:
        """Write a key if its modify index is still ``index`` (0: absent).

        Return whether the write took place.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Release connections."""


class KvDoc(msgspec.Struct):
    """The fields of a Consul KV entry that are read; others are ignored."""

    Value: str | None
    ModifyIndex: int


class ConsulStore(Store):
    """Client of the Consul KV HTTP API.

    aiohttp repeats a PUT once when a kept connection breaks, so that a
    ``put_cas`` that took effect can return False.  Callers must read the key
    after a False, as they do after a lost race.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self.url = url.rstrip('/')
        self.session = session
        # X-Consul-Index of keys that were absent at their last read.  An
        # absent key has no modify index that a blocking query could use.
        self.absent_index: dict[str, int] = {}

    async def get(self, key: str) -> result.Result[Entry, StoreError]:
        """Read a key consistently."""
        return await self.read(key, {'consistent': ''}, CALL_TIMEOUT_S)

    async def wait(
        self, key: str, index: int, wait_s: float
    ) -> result.Result[Entry, StoreError]:
        """Send a blocking query for a key."""
        if index == 0:
            index = self.absent_index.get(key, 0)
        if index == 0:
            # The API answers index 0 at once; the next call can block.
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

        return await guarded(call)

    async def close(self) -> None:
        """Leave the session open; its owner closes it."""

    async def read(
        self, key: str, params: dict[str, str], timeout_s: float
    ) -> result.Result[Entry, StoreError]:
        """Send one GET for a key."""

        async def call() -> result.Result[Entry, StoreError]:
            async with self.session.get(
                f'{self.url}/v1/kv/{key}',
                params=params,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                if response.status == 404:
                    self.absent_index[key] = header_index(response)
                    return result.Ok(ABSENT)
                if response.status != 200:
                    return result.Err(StoreError.UNKNOWN)
                self.absent_index.pop(key, None)
                return decode_entry(await response.read())

        return await guarded(call)


def header_index(response: aiohttp.ClientResponse) -> int:
    """Return the index of an answer, 0 when it has none."""
    text = response.headers.get('X-Consul-Index', '0')
    return int(text) if text.isdecimal() else 0


def decode_entry(body: bytes) -> result.Result[Entry, StoreError]:
    """Return the single entry of a KV answer."""
    try:
        docs = msgspec.json.decode(body, type=list[KvDoc])
        value = base64.b64decode(docs[0].Value or '', validate=True)
    except (msgspec.DecodeError, ValueError, IndexError):
        return result.Err(StoreError.UNKNOWN)
    return result.Ok(Entry(value, docs[0].ModifyIndex))


T = typing.TypeVar('T')


async def guarded(
    call: collections.abc.Callable[
        [], collections.abc.Awaitable[result.Result[T, StoreError]]
    ],
) -> result.Result[T, StoreError]:
    """Make an HTTP call and turn its exceptions into store errors."""
    try:
        return await call()
    except aiohttp.ClientConnectorError:
        return result.Err(StoreError.NOT_SENT)
    except (aiohttp.ClientError, OSError, TimeoutError):
        return result.Err(StoreError.UNKNOWN)


class FakeStore(Store):
    """A store in memory that fails as it is told.

    ``down`` refuses every call, ``delay_s`` delays calls by seconds, and the
    next ``lose_answers`` writes take effect although their answers are lost.
    As in Consul, writing the value that a key has keeps its modify index.
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

    async def wait(
        self, key: str, index: int, wait_s: float
    ) -> result.Result[Entry, StoreError]:
        """Read a key when it changes or after a wait."""
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
        """Write a key if its modify index is as given."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            return result.Err(StoreError.NOT_SENT)
        written = self.compare_and_swap(key, value, index)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return result.Err(StoreError.UNKNOWN)
        return result.Ok(written)

    def compare_and_swap(self, key: str, value: bytes, index: int) -> bool:
        """Apply a write; return whether the index matched."""
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
