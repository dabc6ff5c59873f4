"""Reads the bodies of requests within a limit on the memory of all of them.

A VM holds a body from its first byte until the request ends, because another
server may need it again.  Slow callers could fill the memory of a small VM
with bodies that are each allowed, so the bytes of all bodies are counted.
"""

import asyncio
import typing

import aiohttp
from aiohttp import web

from filbertstep import clock
from filbertstep import errors
from filbertstep.entry import _messages

# Time after which a refused caller may find memory free.
RETRY_AFTER_S: typing.Final = 0.5


class BodyMemory:
    """Bytes of all bodies that this VM holds, and their limit."""

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0

    def has_room(self, size_bytes: int) -> bool:
        """Return whether this many further bytes are within the limit."""
        return self.used_bytes + size_bytes <= self.capacity_bytes


class BodyReader:
    """Reads the body of one request; ``release`` frees its memory.

    ``deadline`` is the time on ``time_source`` until which the body must have
    arrived.
    """

    def __init__(
        self,
        memory: BodyMemory,
        request: web.BaseRequest,
        max_bytes: int,
        deadline: float,
        time_source: clock.Clock,
    ) -> None:
        self.memory = memory
        self.request = request
        self.max_bytes = max_bytes
        self.deadline = deadline
        self.clock = time_source
        self.held_bytes = 0
        self.ended_by_stop = False
        self.timeout_scope: asyncio.Timeout | None = None

    def end_by(self, stop_time: float) -> None:
        """Read until the stop of this VM at most."""
        if stop_time >= self.deadline:
            return
        self.deadline = stop_time
        self.ended_by_stop = True
        scope = self.timeout_scope
        if scope is not None and not scope.expired():
            left_s = stop_time - self.clock.now()
            scope.reschedule(asyncio.get_running_loop().time() + left_s)

    async def read(self) -> bytes | errors.Failure:
        """Return the body, or the failure if it cannot be held.

        Raises ``CancelledError`` if the caller disconnects.
        """
        if not self.memory.has_room(self.request.content_length or 0):
            return self.refuse()
        body = bytearray()
        left_s = max(0.0, self.deadline - self.clock.now())
        try:
            async with asyncio.timeout(left_s) as self.timeout_scope:
                async for chunk in self.request.content.iter_any():
                    if len(body) + len(chunk) > self.max_bytes:
                        return errors.Failure(
                            errors.ErrorKind.BODY_TOO_LARGE,
                            'the body is too large',
                        )
                    if not self.memory.has_room(len(chunk)):
                        return self.refuse()
                    self.memory.used_bytes += len(chunk)
                    self.held_bytes += len(chunk)
                    body += chunk
        except TimeoutError:
            if self.ended_by_stop:
                return errors.Failure(
                    errors.ErrorKind.STOPPING,
                    'this VM stops before the body has arrived',
                    _messages.MIN_RETRY_AFTER_S,
                )
            return errors.Failure(
                errors.ErrorKind.NO_ROOM,
                'the body did not arrive in time',
                RETRY_AFTER_S,
            )
        except (aiohttp.ClientError, ConnectionError) as error:
            raise asyncio.CancelledError from error
        finally:
            self.timeout_scope = None
        return bytes(body)

    def refuse(self) -> errors.Failure:
        """Return the failure for a body that does not fit into memory."""
        return errors.Failure(
            errors.ErrorKind.NO_ROOM,
            'the bodies of other requests fill the memory',
            RETRY_AFTER_S,
        )

    def release(self) -> None:
        """Free the memory; later calls have no effect."""
        self.memory.used_bytes -= self.held_bytes
        self.held_bytes = 0
