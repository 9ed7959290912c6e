"""Requests, repeats, retries, lost answers and changes of leader in any order."""

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

SKEW_S = 2.0
KEEP_S = 120.0


@attrs.define(eq=False)
class Sent:
    """An attempt that a last hop let through; it may still run after the router gave up on it."""

    call: "CallState"
    table: RequestIdTable
    alive: bool = True
    waiting: bool = True
    runs: int = 0


@attrs.define(eq=False)
class CallState:
    """One request as a caller sent it; a repeat has the same id."""

    request_id: str
    caller_id: bool
    idempotent: bool
    attempts: Attempts
    pending: bool = True
    final: Verdict | None = None
    runs: int = 0


class RetryMachine(RuleBasedStateMachine):
    """The rules of both hops over an upstream that runs an attempt at any later moment."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        self.rng = random.Random(1)
        self.budget = RetryBudget(0.5)
        self.calls = []
        self.sent = []
        self.runs_by_id = {}
        self.table = RequestIdTable(0.0, KEEP_S, max_entries=3, skew_s=SKEW_S)

    def call(self, request_id, caller_id, idempotent):
        attempts = Attempts(idempotent, self.budget, max_attempts=3)
        self.calls.append(CallState(request_id, caller_id, idempotent, attempts))

    # Few distinct requests, so that repeats and changes of leader meet the same one.
    @precondition(lambda self: len(self.calls) < 4)
    @rule(
        caller_id=st.booleans(),
        idempotent=st.booleans(),
        skew_s=st.sampled_from([-SKEW_S, 0.0, SKEW_S, 3 * SKEW_S]),
    )
    def ask(self, caller_id, idempotent, skew_s):
        issued_s = self.now_s + (skew_s if caller_id else 0.0)
        self.call(new_request_id(issued_s, self.rng), caller_id, idempotent)

    @precondition(lambda self: any(call.caller_id for call in self.calls))
    @rule(data=st.data())
    def repeat(self, data):
        before = data.draw(st.sampled_from([call for call in self.calls if call.caller_id]))
        self.call(before.request_id, True, before.idempotent)

    @precondition(lambda self: any(call.pending for call in self.calls))
    @rule(data=st.data(), at_once=st.booleans())
    def arrive(self, data, at_once):
        call = data.draw(st.sampled_from([call for call in self.calls if call.pending]))
        call.pending = False
        before = len(self.sent)
        self.reach_last_hop(call)
        if at_once and len(self.sent) > before:
            self.execute(self.sent[-1])

    def reach_last_hop(self, call):
        if call.idempotent:
            self.sent.append(Sent(call, self.table))
            return
        try:
            seen = self.table.begin(
                self.now_s, self.now_s, call.request_id, first_attempt=not call.caller_id
            )
        except BadRequestIdError:
            self.conclude(call, Verdict(Outcome.NOT_RUN, Reason.BAD_REQUEST_ID))
            return
        if seen == NewId():
            self.sent.append(Sent(call, self.table))
        elif isinstance(seen, Answered):
            assert self.runs_by_id[call.request_id] == 1
            call.final = Verdict(Outcome.ANSWERED)
        elif seen == InFlight():
            self.conclude(call, Verdict(Outcome.UNKNOWN, Reason.DUPLICATE_IN_FLIGHT))
        else:
            self.conclude(call, Verdict(Outcome.UNKNOWN, Reason.OUTCOME_NOT_RECORDED))

    @precondition(lambda self: any(sent.alive and not sent.runs for sent in self.sent))
    @rule(data=st.data())
    def run(self, data):
        self.execute(
            data.draw(st.sampled_from([it for it in self.sent if it.alive and not it.runs]))
        )

    def execute(self, sent):
        sent.runs += 1
        sent.call.runs += 1
        request_id = sent.call.request_id
        self.runs_by_id[request_id] = self.runs_by_id.get(request_id, 0) + 1

    @precondition(lambda self: any(sent.waiting for sent in self.sent))
    @rule(data=st.data())
    def end(self, data):
        sent = data.draw(st.sampled_from([it for it in self.sent if it.waiting]))
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
            sent.alive = False
        if not sent.call.idempotent:
            answer = StoredAnswer(200, (), b"")
            sent.table.finish(self.now_s, sent.call.request_id, verdict.outcome, answer)
        self.conclude(sent.call, verdict)

    def conclude(self, call, verdict):
        if call.attempts.next_step(verdict) is Step.STOP:
            call.final = call.attempts.final_verdict(verdict)
        else:
            call.pending = True

    @rule()
    def change_leader(self):
        self.table = RequestIdTable(self.now_s, KEEP_S, max_entries=3, skew_s=SKEW_S)

    @rule(time_s=st.sampled_from([0.5, SKEW_S, 2 * SKEW_S, KEEP_S + 1]))
    def advance(self, time_s):
        self.now_s += time_s

    @invariant()
    def non_idempotent_requests_run_once(self):
        for call in self.calls:
            assert call.idempotent or self.runs_by_id.get(call.request_id, 0) <= 1

    @invariant()
    def a_refusal_is_true(self):
        for call in self.calls:
            if call.final is not None and call.final.outcome is Outcome.NOT_RUN:
                assert call.runs == 0


TestRetryMachine = RetryMachine.TestCase
