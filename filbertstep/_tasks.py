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
    """Keeps references to running tasks, which asyncio itself does not."""

    def __init__(self) -> None:
        self.running: dict[str, asyncio.Task[object]] = {}

    def start(self, name: str, job: CoroutineFactory) -> bool:
        """Start a job unless one of its name is running."""
        if name in self.running:
            return False
        task = asyncio.get_running_loop().create_task(job(), name=name)
        self.running[name] = task
        task.add_done_callback(self.on_finished)
        return True

    def on_finished(self, task: asyncio.Task[object]) -> None:
        """Forget a task and log the exception that ended it."""
        self.running.pop(task.get_name(), None)
        if not task.cancelled() and task.exception() is not None:
            LOGGER.error(
                'task {} failed: {!r}', task.get_name(), task.exception()
            )

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self.running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
