"""Quiet periods of upstreams that refused a request with Retry-After."""

import math

import pytest

from fireflyferry.balancing import Admitted, QuietPeriods, SlotQueue, Ticket, Waiting
from fireflyferry.balancing.quiet import read_retry_after
from fireflyferry.keyranges import UpstreamRun

RUN = UpstreamRun("u1", 1)


@pytest.mark.parametrize(
    ("values", "quiet_s"),
    [
        ([], 0.0),
        (["2"], 2.0),
        ([" 1.25 "], 1.25),
        (["0"], 0.0),
        (["0.4", "3", "x"], 3.0),
        (["75"], 75.0),  # was cut to 60 s, after which requests came for 15 s too early
        (["3600"], 3600.0),
        (["9" * 400], 3600.0),
        *(([value], 0.0) for value in ("-1", "nan", "inf", "", "1e3", "1_0", "0x10", "٣", "1, 2")),
        (["Wed, 21 Oct 2037 07:28:00 GMT"], 0.0),
    ],
)
def test_retry_after_values(values, quiet_s):
    assert read_retry_after(values) == quiet_s


@pytest.mark.parametrize(
    ("refusals", "until_s"),
    [
        ([(0.0, 2.0)], 2.0),
        ([(0.0, 2.0), (0.5, 0.1)], 2.0),
        ([(0.0, 2.0), (0.5, 3.0)], 3.5),
        ([(0.0, 0.2), (0.9, 0.3)], 1.2),
        ([(0.0, 0.0)], 0.0),
    ],
    ids=["one", "shorter", "longer", "after-the-end", "none"],
)
def test_period_is_prolonged_but_never_shortened(refusals, until_s):
    quiet = QuietPeriods()
    for now_s, quiet_s in refusals:
        quiet.begin(now_s, RUN, quiet_s)
    assert quiet.left_s(1.0, RUN) == pytest.approx(max(0.0, until_s - 1.0))
    assert quiet.left_s(until_s, RUN) == 0.0
    assert quiet.left_s(1.0, UpstreamRun("u1", 2)) == 0.0


@pytest.mark.parametrize("slots", [1, 2, 5, 8])
def test_load_returns_in_steps(slots):
    """Guards against all that arrived in the period reaching the upstream at its end."""
    quiet = QuietPeriods()
    quiet.begin(0.0, RUN, 2.0)
    quiet.on_answer(RUN, 1.9, slots)  # sent before the end
    steps = []
    while (limit := quiet.limit(RUN)) is not None:
        steps.append(limit)
        quiet.on_answer(RUN, 2.0, slots)
    assert steps == [2**step for step in range(math.floor(math.log2(slots)) + 1)]


def test_new_period_begins_the_steps_again():
    quiet = QuietPeriods()
    quiet.begin(0.0, RUN, 2.0)
    quiet.on_answer(RUN, 2.0, 8)
    quiet.begin(3.0, RUN, 1.0)
    assert quiet.limit(RUN) == 1
    quiet.retain([])
    assert quiet.limit(RUN) is None and quiet.left_s(3.5, RUN) == 0.0


@pytest.mark.parametrize(("limit", "admitted"), [(1, 1), (2, 2), (4, 4), (9, 4), (None, 5)])
def test_queue_sends_no_more_than_its_limit(limit, admitted):
    queue = SlotQueue(4, limit=lambda: limit)
    offers = [queue.offer(0.0, Ticket(1, 0.0, 5.0, 9.0)) for _ in range(6)]
    assert [type(each) for each in offers] == [Admitted] * admitted + [Waiting] * (6 - admitted)
    assert queue.pop(0.0) is None
