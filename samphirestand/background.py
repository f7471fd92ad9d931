"""Background tasks whose failures are logged."""

import asyncio
import collections.abc

from samphirestand import clock as clock_module
from samphirestand import log

__all__ = ['Background']

# Delay before a job that failed is started again, so that a job that fails at
# once uses little of the processor and of the log.
RESTART_DELAY_MS = 500

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

    def keep_running(
        self,
        job: collections.abc.Callable[
            [], collections.abc.Coroutine[object, object, None]
        ],
        clock: clock_module.Clock,
    ) -> None:
        """Run a job that never ends by itself; start it again if it fails.

        Such a job serves the whole process, so an unexpected error must not
        stop it for good.
        """
        self.spawn(self._run_repeatedly(job, clock))

    async def _run_repeatedly(
        self,
        job: collections.abc.Callable[
            [], collections.abc.Coroutine[object, object, None]
        ],
        clock: clock_module.Clock,
    ) -> None:
        while True:
            try:
                await job()
                return
            except Exception:
                _log.exception(
                    'job_failed', job=getattr(job, '__qualname__', str(job))
                )
                await clock.sleep(RESTART_DELAY_MS)

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
