"""Outcomes, retry budget, backoff and request ids."""

import random
import uuid

import hypothesis.strategies as st
import pytest
from hypothesis import given

from fireflyferry.retries import (
    Answered,
    Backoff,
    BadRequestIdError,
    Failure,
    InFlight,
    NewId,
    OutcomeUnknown,
    RequestIdTable,
    RetryBudget,
    StoredAnswer,
    Verdict,
    classify,
    issued_wall_s,
    may_retry,
    new_request_id,
)
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.telemetry.reasons import REASONS

ANSWER = StoredAnswer(200, (), b"x")


@given(
    st.builds(
        Failure,
        sent=st.booleans(),
        timed_out=st.booleans(),
        wrong_answer=st.booleans(),
        ownership_lapsed=st.booleans(),
        declared_reason=st.none() | st.sampled_from(Reason),
    )
)
def test_not_run_needs_a_declared_reason_or_an_unsent_request(failure):
    """Guards against a false *not run* after bytes were sent."""
    verdict = classify(failure)
    assert verdict.outcome is REASONS[verdict.reason].outcome
    if verdict.outcome is Outcome.NOT_RUN:
        declared = failure.declared_reason is not None
        assert (declared and REASONS[failure.declared_reason].outcome is Outcome.NOT_RUN) or (
            not failure.sent
        )


@pytest.mark.parametrize("reason", list(Reason))
@pytest.mark.parametrize("idempotent", [True, False])
def test_retry_rule(reason, idempotent):
    """Guards against a retry of a non-idempotent request that may have run."""
    info = REASONS[reason]
    allowed = may_retry(Verdict(info.outcome, reason), idempotent)
    if info.outcome is Outcome.UNKNOWN and not idempotent:
        assert not allowed
    if info.outcome is Outcome.NOT_RUN:
        assert allowed is info.retryable


def test_budget_is_a_share_of_successes():
    """Guards against retries above the share, and against losing fractions of a retry."""
    budget = RetryBudget(0.1, reserve=3.0)
    assert [budget.try_spend() for _ in range(4)] == [True, True, True, False]
    for _ in range(10):
        assert not budget.try_spend()
        budget.on_success()
    assert [budget.try_spend() for _ in range(2)] == [True, False]
    for _ in range(1000):
        budget.on_success()
    assert budget.balance == 3.0


def test_backoff_grows_and_is_bounded():
    """Guards against synchronised retries, and against delays above the limit."""
    backoff = Backoff(random.Random(1), base_s=0.1, limit_s=0.5)
    for retry, bound_s in [(1, 0.1), (2, 0.2), (3, 0.4), (4, 0.5), (60, 0.5)]:
        delays = [backoff.delay_s(retry) for _ in range(200)]
        assert 0 <= min(delays) < bound_s / 2 < max(delays) <= bound_s


def test_new_ids_are_uuid7():
    """Guards against ids that other tools or this router refuse."""
    rng = random.Random(1)
    for wall_s in (0.0, 1764838888.123):
        request_id = new_request_id(wall_s, rng)
        assert uuid.UUID(request_id).version == 7
        assert uuid.UUID(request_id).variant == uuid.RFC_4122
        assert issued_wall_s(request_id) == pytest.approx(wall_s, abs=0.001)


@pytest.mark.parametrize(
    "text", ["", "x", str(uuid.UUID(int=4, version=4)), "{" + str(uuid.UUID(int=7)) + "}"]
)
def test_other_ids_are_refused(text):
    """Guards against ids without an issue time."""
    with pytest.raises(BadRequestIdError):
        issued_wall_s(text)


def make_id(wall_s, seed=0):
    return new_request_id(wall_s, random.Random(seed))


def test_table_follows_a_request():
    """Guards against a second execution of a retried request."""
    table = RequestIdTable(wall_s=0.0)
    first = make_id(100.0)
    assert table.begin(0.0, 100.0, first) == NewId()
    assert table.begin(0.0, 100.0, first) == InFlight()
    table.finish(1.0, first, Outcome.ANSWERED, ANSWER)
    assert table.begin(2.0, 102.0, first) == Answered(ANSWER)
    second = make_id(100.0, seed=2)
    assert table.begin(2.0, 102.0, second) == NewId()
    table.finish(2.0, second, Outcome.UNKNOWN)
    assert table.begin(2.0, 102.0, second) == OutcomeUnknown()
    third = make_id(100.0, seed=3)
    assert table.begin(2.0, 102.0, third) == NewId()
    table.finish(2.0, third, Outcome.NOT_RUN)
    assert table.begin(2.0, 102.0, third) == NewId()


def test_an_id_belongs_to_one_request():
    """Guards against a caller that receives the answer to another caller's request."""
    table = RequestIdTable(wall_s=0.0)
    request_id = make_id(100.0)
    assert table.begin(0.0, 100.0, request_id, fingerprint=1) == NewId()
    table.finish(0.0, request_id, Outcome.ANSWERED, ANSWER)
    with pytest.raises(BadRequestIdError):
        table.begin(0.0, 100.0, request_id, fingerprint=2)


def test_horizon_of_a_new_leader_and_of_an_arriving_bucket():
    """Guards against ids that an earlier leader may have run."""
    table = RequestIdTable(wall_s=100.0, max_skew_s=2.0)
    assert table.begin(0.0, 103.0, make_id(101.9)) == OutcomeUnknown()
    assert table.begin(0.0, 103.0, make_id(102.1)) == NewId()
    table.bucket_gained(200.0, bucket=7)
    assert table.begin(0.0, 203.0, make_id(201.9, seed=1), bucket=7) == OutcomeUnknown()
    assert table.begin(0.0, 203.0, make_id(201.9, seed=1), bucket=8) == NewId()
    assert table.begin(0.0, 203.0, make_id(202.1, seed=2), bucket=7) == NewId()


def test_router_issued_ids_are_first_attempts():
    """Guards against a new leader that reports requests with ids of the router as unknown."""
    table = RequestIdTable(wall_s=100.0)
    request_id = make_id(100.0)
    assert table.begin(0.0, 100.0, request_id, first_attempt=True) == NewId()
    assert table.begin(0.0, 100.0, request_id, first_attempt=True) == InFlight()


def test_ids_from_the_future_are_refused():
    """Guards against an id that is still valid after its entry was dropped."""
    table = RequestIdTable(wall_s=0.0, max_skew_s=2.0)
    with pytest.raises(BadRequestIdError):
        table.begin(0.0, 100.0, make_id(102.1))


def test_requests_in_flight_are_never_evicted():
    """Guards against a second execution while the first is in progress."""
    table = RequestIdTable(wall_s=0.0, retention_s=10.0, max_entries=3)
    running = make_id(100.0)
    assert table.begin(0.0, 100.0, running) == NewId()
    for seed in range(1, 20):
        request_id = make_id(100.0, seed)
        if table.begin(0.0, 100.0, request_id) == NewId():
            table.finish(0.0, request_id, Outcome.ANSWERED, ANSWER)
    assert len(table) <= 4
    assert table.begin(1000.0, 100.0, running) == InFlight()
