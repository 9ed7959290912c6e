"""Log output with a limited rate that never blocks the process."""

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
    """Limits of the log output.

    A VM that refuses many requests logs two lines for each; 100 lines a second are about 40 KB/s.
    """

    lines_per_s: float = 100.0
    burst_lines: float = 1000.0
    max_queued_lines: int = 2000
    report_interval_s: float = 1.0
    flush_timeout_s: float = 0.5


class LineBudget:
    """Token bucket that limits the rate of log lines."""

    def __init__(
        self, lines_per_s: float, burst_lines: float, clock: Callable[[], float] = time.monotonic
    ):
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._clock = clock
        self._tokens = burst_lines
        self._refilled_at_s = clock()

    def take(self) -> bool:
        """Take the token for one line, and return whether there was one."""
        now_s = self._clock()
        self._tokens = min(
            self._burst_lines, self._tokens + (now_s - self._refilled_at_s) * self._lines_per_s
        )
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BoundedOutput(logging.handlers.QueueHandler):
    """Log handler that writes in a separate thread and drops lines over the rate or queue limit.

    Dropped lines are counted and reported. Warnings and errors are limited by the queue only.
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
        self._stream_handler = logging.StreamHandler(stream)
        self._stream_handler.setFormatter(formatter)
        self._dropped = 0
        self._last_report_s = clock()
        # A daemon thread, so that a blocked reader does not keep the process from exiting.
        self._thread = threading.Thread(target=self._write_lines, name="log-output", daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Number of lines that were dropped and not yet reported."""
        return self._dropped

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is, because the writing thread formats it."""
        return record

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or drop it if the rate limit is exceeded."""
        if record.levelno < logging.WARNING and not self._budget.take():
            self._dropped += 1
            return
        self._report_dropped()
        self.enqueue(record)

    def enqueue(self, record: logging.LogRecord) -> None:
        """Add a line to the queue, or drop it if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1

    def close(self) -> None:
        """Wait for at most `flush_timeout_s` seconds until the queued lines are written."""
        deadline_s = time.monotonic() + self._rules.flush_timeout_s
        while self.queue.unfinished_tasks and time.monotonic() < deadline_s:
            time.sleep(0.01)
        super().close()

    def _report_dropped(self) -> None:
        """Log the number of dropped lines, if the last report is old enough."""
        now_s = self._clock()
        if not self._dropped or now_s - self._last_report_s < self._rules.report_interval_s:
            return
        dropped, self._dropped, self._last_report_s = self._dropped, 0, now_s
        record = _LOG.makeRecord(_LOG.name, logging.WARNING, "", 0, "log_lines_dropped", (), None)
        record.lines = dropped
        self.enqueue(record)

    def _write_lines(self) -> None:
        while True:
            record = self.queue.get()
            try:
                self._stream_handler.handle(record)
            except (OSError, ValueError):
                # The stream handler reports write errors itself. Lines for which it raises an error
                # are counted as dropped.
                self._dropped += 1
            finally:
                self.queue.task_done()
