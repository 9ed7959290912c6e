"""Guards against forecasts that ignore or overrate what upstreams report about their load."""

import pytest

from fireflyferry.balancing import SlotQueue, Ticket
from fireflyferry.balancing.load_report import (
    LoadReport,
    LoadReportError,
    ReportedLoad,
    read_load_report,
)


@pytest.mark.parametrize(
    ("value", "report"),
    [
        ("1,2,3", LoadReport(1, 2, 3)),
        ("1,2,3,250", LoadReport(1, 2, 3, 250)),
        (" 0, 0 ,1 , 100 ", LoadReport(0, 0, 1, 100)),
    ],
)
def test_report_is_read(value, report):
    assert read_load_report(value) == report


@pytest.mark.parametrize(
    "value",
    [
        *("", "1", "1,2", "1,2,3,", "1,2,3,4,5", "a,2,3", "1,2,3,x", "-1,2,3", "1,2,3,-4"),
        *("1,2,0", "1,2,3,0", "1.5,2,3", "1e9,2,3", "999999999999,2,3", "1,2,3,99999999"),
        *("\u0661,2,3", "1,2,3," + "9" * 5000, "+1,2,3", "nan,2,3", "1,,3"),
    ],
)
def test_odd_report_is_rejected(value):
    """Guards against forecasts from letters, negative or huge numbers."""
    with pytest.raises(LoadReportError):
        read_load_report(value)


def busy_queue(busy):
    """Return a queue of 3 slots with a mean service time of 0.3 s and some requests in flight."""
    queue = SlotQueue(3)
    for number in range(busy + 1):
        queue.offer(0.0, Ticket(1, 0.0, 10.0 + number, 20.0))
    queue.finish(0.0, 0.3)
    return queue


def test_queue_without_reports_forecasts_as_before():
    """Guards against other forecasts in deployments whose upstreams report no load."""
    queue = busy_queue(3)
    assert queue.forecast(0.1) == (queue.wait_s(0.1), queue.service_s)


def test_slow_phase_raises_the_forecast_until_the_report_is_old():
    """Guards against requests to an upstream in a slow phase, and against avoiding it for long.

    Load pattern: work takes three times as long on a host, for 400 ms.
    """
    queue = busy_queue(3)
    for _ in range(50):
        queue.on_report(0.0, LoadReport(3, 0, 3, 100))
    usual_s = queue.forecast(0.0)[1]
    queue.on_report(0.0, LoadReport(3, 0, 3, 300))
    slow_s = [queue.forecast(now_s)[1] for now_s in (0.0, 0.2, 0.4, 2.0)]
    assert slow_s[0] > 1.5 * usual_s
    assert slow_s == sorted(slow_s, reverse=True)
    assert slow_s[-1] == pytest.approx(usual_s, rel=0.02)


def test_constant_pace_changes_nothing():
    """Guards against counting the speed of a slow host twice: service times contain it."""
    load = ReportedLoad()
    for number in range(10):
        load.on_report(number, LoadReport(0, 0, 3, 230), 0)
    assert load.pace_factor(9.0, 0.3) == 1.0


def test_requests_of_other_senders_lengthen_the_expected_wait_for_a_limited_time():
    """Guards against a full upstream that looks idle while two VMs act as its last hop."""
    queue = busy_queue(1)
    assert queue.forecast(0.0)[0] == 0.0
    queue.on_report(0.0, LoadReport(3, 6, 3))
    waits_s = [queue.forecast(now_s)[0] for now_s in (0.0, 0.3, 3.0)]
    assert waits_s[0] > 0.5 > waits_s[1] > waits_s[2] == 0.0


def test_own_requests_are_not_counted_twice():
    queue = busy_queue(3)
    before_s = queue.forecast(0.0)
    queue.on_report(0.0, LoadReport(3, 0, 3, 100))
    assert queue.forecast(0.0) == before_s
