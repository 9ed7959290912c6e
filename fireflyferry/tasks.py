"""Background tasks that are kept until they end, with their failures logged."""

import asyncio
import logging
from collections.abc import Coroutine

__all__ = ["BackgroundTasks"]

_LOG = logging.getLogger(__name__)


class BackgroundTasks:
    """Running tasks; a task without a reference could be collected before it ends."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine) -> asyncio.Task:
        """Start a task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("task_failed", exc_info=task.exception())
