"""Guards against logs that grow without bound or block the process behind a slow reader."""

import io
import logging
import threading

from fireflyferry.telemetry.bounded import BoundedOutput, LineBudget, OutputRules
from fireflyferry.telemetry.logs import make_formatter


class BlockedStream(io.StringIO):
    """A stream whose writes block until `unblocked` is set."""

    def __init__(self):
        super().__init__()
        self.unblocked = threading.Event()

    def write(self, text):
        self.unblocked.wait()
        return super().write(text)


class BrokenStream(io.StringIO):
    def write(self, text):
        raise BrokenPipeError


class FakeClock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


def make_logger(stream, rules=None, clock=None):
    output = BoundedOutput(stream, make_formatter("keyvalue"), rules, clock or FakeClock())
    logger = logging.Logger("t")
    logger.addHandler(output)
    return logger, output


def written_lines(output, stream):
    output.queue.join()
    return stream.getvalue().splitlines()


def test_lines_are_dropped_while_the_reader_is_blocked():
    stream = BlockedStream()
    logger, output = make_logger(stream, OutputRules(max_queued_lines=10))
    for number in range(100):
        logger.info("event", extra={"number": number})
    assert output.dropped >= 100 - 10 - 1
    stream.unblocked.set()
    assert len(written_lines(output, stream)) <= 11


def test_rate_is_limited_and_dropped_lines_are_counted():
    """Guards against a flood of log lines, and against lines that are dropped without a count.

    Load pattern: many requests are refused at once, each with log lines of its own.
    """
    clock, stream = FakeClock(), io.StringIO()
    logger, output = make_logger(stream, OutputRules(lines_per_s=10, burst_lines=20), clock)
    for _ in range(500):
        logger.info("refused")
    clock.now_s += 1.5
    logger.info("later")
    written = written_lines(output, stream)
    assert sum("event=refused" in line for line in written) == 20
    assert [line for line in written if "log_lines_dropped" in line and "lines=480" in line]
    assert "event=later" in written[-1]


def test_warnings_are_written_when_the_rate_is_exceeded():
    stream = io.StringIO()
    logger, output = make_logger(stream, OutputRules(lines_per_s=1, burst_lines=1))
    for _ in range(10):
        logger.info("refused")
    logger.warning("store_lost")
    assert any("event=store_lost" in line for line in written_lines(output, stream))


def test_closed_reader_does_not_end_the_process():
    stream = BrokenStream()
    logger, output = make_logger(stream)
    logging.raiseExceptions, raise_exceptions_before = False, logging.raiseExceptions
    try:
        logger.info("one")
        logger.info("two")
        output.queue.join()
    finally:
        logging.raiseExceptions = raise_exceptions_before


def test_budget_refills_over_time():
    clock = FakeClock()
    budget = LineBudget(2.0, 2.0, clock)
    assert [budget.take() for _ in range(3)] == [True, True, False]
    clock.now_s = 0.5
    assert budget.take() and not budget.take()
