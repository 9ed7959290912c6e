"""Guards against repeated executions of non-idempotent requests and false *not run* outcomes.

Requests, retries by callers and by the router, lost answers and changes of leader come in any
order.
"""

import random

import attrs
import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fireflyferry.retries import (
    Answered,
    Attempts,
    BadRequestIdError,
    Failure,
    InFlight,
    NewId,
    RequestIdTable,
    RetryBudget,
    Step,
    StoredAnswer,
    Verdict,
    classify,
    new_request_id,
)
from fireflyferry.telemetry import Outcome, Reason

MAX_SKEW_S = 2.0
RETENTION_S = 120.0


@attrs.define(eq=False)
class SentAttempt:
    """An attempt that a last hop let through; it may still run after the router gave up on it."""

    call: "CallState"
    table: RequestIdTable
    may_run: bool = True
    waiting: bool = True
    runs: int = 0


@attrs.define(eq=False)
class CallState:
    """One request as a caller sent it; a retry by the caller has the same id."""

    request_id: str
    id_from_caller: bool
    idempotent: bool
    attempts: Attempts
    pending: bool = True
    final: Verdict | None = None
    runs: int = 0


class RetryMachine(RuleBasedStateMachine):
    """State machine of both hops, with an upstream that may run an attempt at any later time."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        self.rng = random.Random(1)
        self.budget = RetryBudget(0.5)
        self.calls = []
        self.sent = []
        self.runs_by_id = {}
        self.table = RequestIdTable(0.0, RETENTION_S, max_entries=3, max_skew_s=MAX_SKEW_S)

    def add_call(self, request_id, id_from_caller, idempotent):
        attempts = Attempts(idempotent, self.budget, max_attempts=3)
        self.calls.append(CallState(request_id, id_from_caller, idempotent, attempts))

    # Few distinct requests, so that retries and changes of leader affect the same one.
    @precondition(lambda self: len(self.calls) < 4)
    @rule(
        id_from_caller=st.booleans(),
        idempotent=st.booleans(),
        skew_s=st.sampled_from([-MAX_SKEW_S, 0.0, MAX_SKEW_S, 3 * MAX_SKEW_S]),
    )
    def send_request(self, id_from_caller, idempotent, skew_s):
        issued_s = self.now_s + (skew_s if id_from_caller else 0.0)
        self.add_call(new_request_id(issued_s, self.rng), id_from_caller, idempotent)

    @precondition(lambda self: any(call.id_from_caller for call in self.calls))
    @rule(data=st.data())
    def retry_by_caller(self, data):
        earlier = data.draw(st.sampled_from([call for call in self.calls if call.id_from_caller]))
        self.add_call(earlier.request_id, True, earlier.idempotent)

    @precondition(lambda self: any(call.pending for call in self.calls))
    @rule(data=st.data(), at_once=st.booleans())
    def arrive(self, data, at_once):
        call = data.draw(st.sampled_from([call for call in self.calls if call.pending]))
        call.pending = False
        sent_before = len(self.sent)
        self.reach_last_hop(call)
        if at_once and len(self.sent) > sent_before:
            self.execute(self.sent[-1])

    def reach_last_hop(self, call):
        if call.idempotent:
            self.sent.append(SentAttempt(call, self.table))
            return
        try:
            result = self.table.begin(
                self.now_s, self.now_s, call.request_id, first_attempt=not call.id_from_caller
            )
        except BadRequestIdError:
            self.apply_verdict(call, Verdict(Outcome.NOT_RUN, Reason.BAD_REQUEST_ID))
            return
        if result == NewId():
            self.sent.append(SentAttempt(call, self.table))
        elif isinstance(result, Answered):
            assert self.runs_by_id[call.request_id] == 1
            call.final = Verdict(Outcome.ANSWERED)
        elif result == InFlight():
            self.apply_verdict(call, Verdict(Outcome.UNKNOWN, Reason.DUPLICATE_IN_FLIGHT))
        else:
            self.apply_verdict(call, Verdict(Outcome.UNKNOWN, Reason.OUTCOME_NOT_RECORDED))

    @precondition(lambda self: any(sent.may_run and not sent.runs for sent in self.sent))
    @rule(data=st.data())
    def run_attempt(self, data):
        self.execute(
            data.draw(
                st.sampled_from([each for each in self.sent if each.may_run and not each.runs])
            )
        )

    def execute(self, sent):
        sent.runs += 1
        sent.call.runs += 1
        request_id = sent.call.request_id
        self.runs_by_id[request_id] = self.runs_by_id.get(request_id, 0) + 1

    @precondition(lambda self: any(sent.waiting for sent in self.sent))
    @rule(data=st.data())
    def end_attempt(self, data):
        sent = data.draw(st.sampled_from([each for each in self.sent if each.waiting]))
        if sent.runs:
            failures = [Failure(sent=True), Failure(sent=True, wrong_answer=True)]
            failures += [
                Failure(sent=True, timed_out=True),
                Failure(sent=True, ownership_lapsed=True),
                None,
            ]
        else:
            failures = [Failure(), Failure(sent=True, declared_reason=Reason.UPSTREAM_SHED)]
            failures += [Failure(sent=True), Failure(sent=True, timed_out=True)]
        failure = data.draw(st.sampled_from(failures))
        verdict = Verdict(Outcome.ANSWERED) if failure is None else classify(failure)
        sent.waiting = False
        if verdict.outcome is not Outcome.UNKNOWN:
            sent.may_run = False
        if not sent.call.idempotent:
            answer = StoredAnswer(200, (), b"")
            sent.table.finish(self.now_s, sent.call.request_id, verdict.outcome, answer)
        self.apply_verdict(sent.call, verdict)

    def apply_verdict(self, call, verdict):
        if call.attempts.next_step(verdict) is Step.STOP:
            call.final = call.attempts.final_verdict(verdict)
        else:
            call.pending = True

    @rule()
    def change_leader(self):
        self.table = RequestIdTable(self.now_s, RETENTION_S, max_entries=3, max_skew_s=MAX_SKEW_S)

    @rule(time_s=st.sampled_from([0.5, MAX_SKEW_S, 2 * MAX_SKEW_S, RETENTION_S + 1]))
    def advance(self, time_s):
        self.now_s += time_s

    @invariant()
    def non_idempotent_requests_run_once(self):
        for call in self.calls:
            assert call.idempotent or self.runs_by_id.get(call.request_id, 0) <= 1

    @invariant()
    def refused_requests_did_not_run(self):
        for call in self.calls:
            if call.final is not None and call.final.outcome is Outcome.NOT_RUN:
                assert call.runs == 0


TestRetryMachine = RetryMachine.TestCase
