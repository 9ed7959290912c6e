"""Guards against an audit that misses a violation."""

import pytest

from fireflyferry.experiments.audit import audit, longest_gap_s
from fireflyferry.experiments.load_check import Classification, Verdict
from fireflyferry.experiments.load_plan import Arrival
from fireflyferry.experiments.load_scenario import RequestKind
from fireflyferry.experiments.load_tally import Sample
from fireflyferry.standins.upstream_ownership import Holding

WRITE = RequestKind("reserva", "/reserva/{key}", method="POST", idempotent=False)
READ = RequestKind("janela", "/janela/{key}")


def make_sample(request_id, verdict, kind=WRITE, at_s=0.0, done_s=0.1):
    arrival = Arrival(at_s, kind, "key", "tenant")
    return Sample(arrival, request_id, at_s, done_s, Classification(verdict, "reason"))


def make_holding(upstream_id, from_s, until_s):
    return Holding(upstream_id, "reserva/natal-1/0", 1, "b:1", 1, (), from_s, until_s)


@pytest.mark.parametrize(
    ("verdict", "executions", "field"),
    [
        (Verdict.ANSWERED, {"a": 2}, "ran_twice"),
        (Verdict.UNKNOWN, {"a": 2}, "ran_twice"),
        (Verdict.ANSWERED, {}, "lost_answers"),
        (Verdict.REFUSED, {"a": 1}, "false_refusals"),
        (Verdict.CROSSED, {"a": 1}, "wrong_answers"),
        (Verdict.TRUNCATED, {"a": 1}, "wrong_answers"),
    ],
)
def test_each_violation_is_counted(verdict, executions, field):
    found = audit([make_sample("a", verdict)], executions, [])
    assert getattr(found, field) == 1
    assert found.violation_count == 1


def test_repeated_idempotent_requests_and_true_refusals_are_no_violations():
    samples = [make_sample("a", Verdict.ANSWERED, READ), make_sample("b", Verdict.REFUSED)]
    assert audit(samples, {"a": 2}, []).violation_count == 0


@pytest.mark.parametrize(("second_from_s", "overlaps"), [(0.9, 1), (1.0, 0)])
def test_two_owners_of_a_unit_are_counted(second_from_s, overlaps):
    holdings = [make_holding("one", 0.0, 1.0), make_holding("two", second_from_s, None)]
    assert audit([], {}, holdings).two_owners == overlaps


def test_unavailable_time_lasts_from_one_good_answer_to_the_next():
    samples = [
        make_sample("a", Verdict.ANSWERED, at_s=0.9, done_s=1.0),
        make_sample("b", Verdict.UNKNOWN, at_s=2.0, done_s=4.0),
        make_sample("c", Verdict.ANSWERED, at_s=4.4, done_s=4.5),
    ]
    assert longest_gap_s(samples, 0.0, 10.0) == pytest.approx(3.5)
    assert longest_gap_s(samples[:2], 0.0, 10.0) == pytest.approx(9.0)
