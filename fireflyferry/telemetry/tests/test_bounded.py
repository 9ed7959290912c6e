"""Guards against logs that grow without bound or block the process behind a slow reader."""

import io
import logging
import threading

from fireflyferry.telemetry.bounded import BoundedOutput, LineBudget, OutputRules
from fireflyferry.telemetry.logs import make_formatter


class HeldStream(io.StringIO):
    """A stream whose reader does not read until it is let go."""

    def __init__(self):
        super().__init__()
        self.free = threading.Event()

    def write(self, text):
        self.free.wait()
        return super().write(text)


class BrokenStream(io.StringIO):
    def write(self, text):
        raise BrokenPipeError


class Clock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


def logger_with(stream, rules=None, clock=None):
    output = BoundedOutput(stream, make_formatter("keyvalue"), rules, clock or Clock())
    logger = logging.Logger("t")
    logger.addHandler(output)
    return logger, output


def lines(output, stream):
    output.queue.join()
    return stream.getvalue().splitlines()


def test_held_reader_drops_lines_and_blocks_nobody():
    stream = HeldStream()
    logger, output = logger_with(stream, OutputRules(max_queued_lines=10))
    for number in range(100):
        logger.info("event", extra={"number": number})
    assert output.dropped >= 100 - 10 - 1
    stream.free.set()
    assert len(lines(output, stream)) <= 11


def test_rate_is_bounded_and_what_was_dropped_is_counted():
    """Load pattern: a storm of refusals, each with lines of its own."""
    clock, stream = Clock(), io.StringIO()
    logger, output = logger_with(stream, OutputRules(lines_per_s=10, burst_lines=20), clock)
    for _ in range(500):
        logger.info("refused")
    clock.now_s += 1.5
    logger.info("later")
    found = lines(output, stream)
    assert sum("event=refused" in line for line in found) == 20
    assert [line for line in found if "log_lines_dropped" in line and "lines=480" in line]
    assert "event=later" in found[-1]


def test_warnings_are_written_also_in_a_storm():
    stream = io.StringIO()
    logger, output = logger_with(stream, OutputRules(lines_per_s=1, burst_lines=1))
    for _ in range(10):
        logger.info("refused")
    logger.warning("store_lost")
    assert any("event=store_lost" in line for line in lines(output, stream))


def test_closed_reader_does_not_end_the_process():
    stream = BrokenStream()
    logger, output = logger_with(stream)
    logging.raiseExceptions, before = False, logging.raiseExceptions
    try:
        logger.info("one")
        logger.info("two")
        output.queue.join()
    finally:
        logging.raiseExceptions = before


def test_budget_refills_with_time():
    clock = Clock()
    budget = LineBudget(2.0, 2.0, clock)
    assert [budget.take() for _ in range(3)] == [True, True, False]
    clock.now_s = 0.5
    assert budget.take() and not budget.take()
