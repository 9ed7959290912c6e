"""Set of running background tasks that logs their failures."""

import asyncio
import logging
from collections.abc import Coroutine

__all__ = ["BackgroundTasks"]

_LOG = logging.getLogger(__name__)


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

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in self._tasks:
            task.cancel()

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("task_failed", exc_info=task.exception())
