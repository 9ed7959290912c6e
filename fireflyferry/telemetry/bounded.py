"""Log output that is bounded in rate and never blocks the process."""

import logging
import logging.handlers
import queue
import threading
import time
from collections.abc import Callable
from typing import TextIO

import attrs

__all__ = ["BoundedOutput", "LineBudget", "OutputRules"]

_LOG = logging.getLogger(__name__)


@attrs.frozen
class OutputRules:
    """Bounds of the output.

    A VM in a storm of refusals writes two lines for each; 100 lines a second are about 40 KB.
    """

    lines_per_s: float = 100.0
    burst_lines: float = 1000.0
    max_queued_lines: int = 2000
    report_interval_s: float = 1.0
    flush_timeout_s: float = 0.5


class LineBudget:
    """Token bucket of lines."""

    def __init__(self, rate: float, burst: float, clock: Callable[[], float] = time.monotonic):
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._at_s = clock()

    def take(self) -> bool:
        """Take one line if there is one."""
        now_s = self._clock()
        self._tokens = min(self._burst, self._tokens + (now_s - self._at_s) * self._rate)
        self._at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BoundedOutput(logging.handlers.QueueHandler):
    """Hands lines to a writing thread; drops what exceeds the rate or the queue, and says so.

    Warnings and errors are not subject to the rate, only to the queue.
    """

    def __init__(
        self,
        stream: TextIO,
        formatter: logging.Formatter,
        rules: OutputRules | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._rules = rules or OutputRules()
        super().__init__(queue.Queue(self._rules.max_queued_lines))
        self._clock = clock
        self._budget = LineBudget(self._rules.lines_per_s, self._rules.burst_lines, clock)
        self._target = logging.StreamHandler(stream)
        self._target.setFormatter(formatter)
        self._dropped = 0
        self._reported_s = clock()
        # A daemon, since a reader that never reads must not keep the process from ending.
        self._thread = threading.Thread(target=self._write, name="log-output", daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Lines that were dropped and not yet reported."""
        return self._dropped

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave formatting to the writing thread."""
        return record

    def emit(self, record: logging.LogRecord) -> None:
        """Pass a line on unless there are too many."""
        if record.levelno < logging.WARNING and not self._budget.take():
            self._dropped += 1
            return
        self._report()
        self.enqueue(record)

    def enqueue(self, record: logging.LogRecord) -> None:
        """Add a line to the queue; never waits."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1

    def close(self) -> None:
        """Wait a moment for what is queued, then give up."""
        until_s = time.monotonic() + self._rules.flush_timeout_s
        while self.queue.unfinished_tasks and time.monotonic() < until_s:
            time.sleep(0.01)
        super().close()

    def _report(self) -> None:
        """Count what was dropped in a line of its own."""
        now_s = self._clock()
        if not self._dropped or now_s - self._reported_s < self._rules.report_interval_s:
            return
        dropped, self._dropped, self._reported_s = self._dropped, 0, now_s
        record = _LOG.makeRecord(_LOG.name, logging.WARNING, "", 0, "log_lines_dropped", (), None)
        record.lines = dropped
        self.enqueue(record)

    def _write(self) -> None:
        while True:
            record = self.queue.get()
            try:
                self._target.handle(record)
            except (OSError, ValueError):
                # The reader is gone; lines are counted and the process goes on.
                self._dropped += 1
            finally:
                self.queue.task_done()
