"""Guards against an audit that overlooks a broken promise."""

import pytest

from fireflyferry.experiments.audit import audit, longest_gap_s
from fireflyferry.experiments.load_check import Judgement, Verdict
from fireflyferry.experiments.load_plan import Arrival
from fireflyferry.experiments.load_scenario import RequestKind
from fireflyferry.experiments.load_tally import Sample
from fireflyferry.standins.upstream_ownership import Holding

WRITE = RequestKind("reserva", "/reserva/{key}", method="POST", idempotent=False)
READ = RequestKind("janela", "/janela/{key}")


def sample(request_id, verdict, kind=WRITE, at_s=0.0, done_s=0.1):
    arrival = Arrival(at_s, kind, "key", "tenant")
    return Sample(arrival, request_id, at_s, done_s, Judgement(verdict, "reason"))


def holding(upstream_id, from_s, until_s):
    return Holding(upstream_id, "reserva/natal-1/0", 1, "b:1", 1, (), from_s, until_s)


@pytest.mark.parametrize(
    ("verdict", "runs", "field"),
    [
        (Verdict.ANSWERED, {"a": 2}, "ran_twice"),
        (Verdict.UNKNOWN, {"a": 2}, "ran_twice"),
        (Verdict.ANSWERED, {}, "lost_answers"),
        (Verdict.REFUSED, {"a": 1}, "false_refusals"),
        (Verdict.CROSSED, {"a": 1}, "wrong_answers"),
        (Verdict.TRUNCATED, {"a": 1}, "wrong_answers"),
    ],
)
def test_each_broken_promise_is_counted(verdict, runs, field):
    found = audit([sample("a", verdict)], runs, [])
    assert getattr(found, field) == 1
    assert found.broken == 1


def test_repeats_of_idempotent_requests_and_true_refusals_break_nothing():
    samples = [sample("a", Verdict.ANSWERED, READ), sample("b", Verdict.REFUSED)]
    assert audit(samples, {"a": 2}, []).broken == 0


@pytest.mark.parametrize(("second_from_s", "overlaps"), [(0.9, 1), (1.0, 0)])
def test_two_owners_of_a_unit_are_counted(second_from_s, overlaps):
    holdings = [holding("one", 0.0, 1.0), holding("two", second_from_s, None)]
    assert audit([], {}, holdings).two_owners == overlaps


def test_gap_lasts_from_one_good_answer_to_the_next():
    samples = [
        sample("a", Verdict.ANSWERED, at_s=0.9, done_s=1.0),
        sample("b", Verdict.UNKNOWN, at_s=2.0, done_s=4.0),
        sample("c", Verdict.ANSWERED, at_s=4.4, done_s=4.5),
    ]
    assert longest_gap_s(samples, 0.0, 10.0) == pytest.approx(3.5)
    assert longest_gap_s(samples[:2], 0.0, 10.0) == pytest.approx(9.0)
