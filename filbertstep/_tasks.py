"""Background tasks by name, at most one of each name at a time."""

import asyncio
import collections.abc
import typing

import logbook

LOGGER = logbook.Logger('agreement')

CoroutineFactory = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, object]
]


class NamedTasks:
    """Runs background tasks with unique names.

    Keeps references to the running tasks, because asyncio keeps only weak
    ones.
    """

    def __init__(self) -> None:
        self.running: dict[str, asyncio.Task[object]] = {}

    def start(self, name: str, create: CoroutineFactory) -> bool:
        """Start a task; return False if one of that name is running."""
        if name in self.running:
            return False
        task = asyncio.get_running_loop().create_task(create(), name=name)
        self.running[name] = task
        task.add_done_callback(self.on_finished)
        return True

    def on_finished(self, task: asyncio.Task[object]) -> None:
        """Remove an ended task; log the exception that ended it, if any."""
        self.running.pop(task.get_name(), None)
        if not task.cancelled() and task.exception() is not None:
            LOGGER.error(
                'task {} failed: {!r}', task.get_name(), task.exception()
            )

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self.running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
