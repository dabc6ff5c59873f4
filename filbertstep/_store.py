"""The platform's key-value service, as the agreement system sees it.

Only three calls are needed: a consistent read, a blocking read that returns
when the value changes or a wait time ends, and compare-and-swap.  A failed
swap and a swap whose answer was lost differ: after the second the value may
have changed, and only a read can tell.
"""

import abc
import enum
import typing

import result


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
