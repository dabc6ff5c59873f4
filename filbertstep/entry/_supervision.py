"""Keeps the background work of a process running."""

import asyncio
import collections.abc
import traceback
import typing

from filbertstep.entry import _log

# Time in seconds before work that failed starts again.
RESTART_DELAY_S: typing.Final = 0.5

# Innermost frames of a fault that its log line holds.
MAX_LOGGED_FRAMES: typing.Final = 3

Work = collections.abc.Callable[[], collections.abc.Awaitable[None]]


def innermost_frames(error: BaseException) -> list[str]:
    """Return where an exception was raised.

    Its text may hold parts of a request, so it is never logged.
    """
    return traceback.format_tb(error.__traceback__)[-MAX_LOGGED_FRAMES:]


async def supervise(name: str, work: Work, log: _log.DecisionLog) -> None:
    """Run endless work again after a fault of the program."""
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
