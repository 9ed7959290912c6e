"""Deadlines of requests that a stopping program takes."""

import math

from hypothesis import given
from hypothesis import strategies as st

from fireflyferry.admission import StopPlan, is_probably_answered

TIMES_S = st.floats(0.0, 20.0)
PLAN = StopPlan(cut_until_s=2.5, answer_by_s=5.2)


def test_program_that_does_not_stop_changes_no_deadline():
    assert StopPlan().deadline_s(1e9, 1e12) == 1e12


def test_deadline_beyond_the_exit_is_cut_at_first_and_refused_later():
    assert PLAN.deadline_s(0.0, 8.0) == PLAN.deadline_s(2.4, 7.0) == 5.2
    assert PLAN.deadline_s(2.5, 7.0) is None
    assert PLAN.deadline_s(2.5, 5.0) == 5.0


@given(TIMES_S, TIMES_S, TIMES_S, TIMES_S)
def test_no_request_is_taken_whose_outcome_is_open_at_the_exit(
    received_s, deadline_s, cut_s, answer_s
):
    """Guards against passing on a request that outlasts the program."""
    taken_until_s = StopPlan(cut_s, answer_s).deadline_s(received_s, deadline_s)
    assert taken_until_s is None or taken_until_s <= min(deadline_s, answer_s)
    if received_s >= cut_s:
        assert (taken_until_s is None) == (deadline_s > answer_s)


def test_known_service_time_must_fit_the_time_left():
    assert is_probably_answered(2.0, 0.0, 0.0)
    assert is_probably_answered(2.0, 0.4, 0.4)
    assert not is_probably_answered(2.0, 0.5, 0.4)
    assert not is_probably_answered(-math.inf, 0.0, 0.0)
