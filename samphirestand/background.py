"""Tasks that run beside their starter and report their failure."""

import asyncio
import collections.abc

from samphirestand import log

__all__ = ['Background']

_log = log.get_logger(__name__)


class Background:
    """Keeps tasks alive until they end; nobody awaits them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(
        self, job: collections.abc.Coroutine[object, object, None]
    ) -> None:
        """Start a job; an exception that ends it is logged."""
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
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
