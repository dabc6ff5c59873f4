"""Restarts background tasks of the process that fail."""

import asyncio
import collections.abc
import traceback
import typing

from filbertstep.entry import _log

RESTART_DELAY_S: typing.Final = 0.5

MAX_LOGGED_FRAMES: typing.Final = 3

Work = collections.abc.Callable[[], collections.abc.Awaitable[None]]


def innermost_frames(error: BaseException) -> list[str]:
    """Return the innermost stack frames of an exception for a log line.

    The text of the exception may contain parts of a request and must not be
    logged.
    """
    return traceback.format_tb(error.__traceback__)[-MAX_LOGGED_FRAMES:]


async def supervise(name: str, work: Work, log: _log.DecisionLog) -> None:
    """Run an endless task, and restart it after an exception."""
    while True:
        try:
            await work()
        except Exception as error:
            log.write(
                'internal_error',
                task=name,
                type=type(error).__name__,
                trace=innermost_frames(error),
            )
        await asyncio.sleep(RESTART_DELAY_S)
