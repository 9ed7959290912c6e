"""Set of running background tasks that logs their failures."""

import asyncio
import logging
from collections.abc import Callable, Coroutine

__all__ = ["BackgroundTasks"]

_LOG = logging.getLogger(__name__)

RESTART_DELAY_S = 0.5


class BackgroundTasks:
    """Running asyncio tasks.

    The event loop keeps only weak references to tasks, so a task without another reference could
    be garbage-collected before it ends.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine) -> asyncio.Task:
        """Start a task that runs the coroutine."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def supervise(self, run: Callable[[], Coroutine]) -> asyncio.Task:
        """Start a task that runs `run()`, and runs it again after an unexpected error.

        Without that, one error would end the work for the life of the process.
        """
        return self.start(self._run_again_after_errors(run))

    async def _run_again_after_errors(self, run: Callable[[], Coroutine]) -> None:
        while True:
            try:
                await run()
            except Exception:
                name = getattr(run, "__qualname__", repr(run))
                _LOG.exception("task_restarted", extra={"task": name, "after_s": RESTART_DELAY_S})
                await asyncio.sleep(RESTART_DELAY_S)
            else:
                return

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in self._tasks:
            task.cancel()

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("task_failed", exc_info=task.exception())
