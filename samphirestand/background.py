"""Background tasks whose failures are logged."""

import asyncio
import collections.abc

from samphirestand import log

__all__ = ['Background']

_log = log.get_logger(__name__)


class Background:
    """A set of background tasks that no caller awaits.

    It holds a reference to each task until the task ends, so that the task
    isn't garbage-collected while it runs.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[object]] = set()

    def spawn(
        self, coroutine: collections.abc.Coroutine[object, object, object]
    ) -> None:
        """Run a coroutine as a task; log the exception if it fails."""
        task: asyncio.Task[object] = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        coroutine = task.get_coro()
        _log.error(
            'task_failed',
            task=getattr(coroutine, '__qualname__', str(coroutine)),
            reason=repr(task.exception()),
        )

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
