"""Decides what follows each attempt of one request."""

import enum

from fireflyferry.retries.budget import RetryBudget
from fireflyferry.retries.outcomes import Verdict, may_retry
from fireflyferry.telemetry import Outcome

__all__ = ["Attempts", "Step"]


class Step(enum.Enum):
    """What the first hop does after an attempt."""

    REDIRECT = "redirect"
    BACK_OFF = "back_off"
    STOP = "stop"


class Attempts:
    """Attempts of one request at its first hop."""

    def __init__(self, idempotent: bool, budget: RetryBudget, max_attempts: int):
        self._idempotent = idempotent
        self._budget = budget
        self._max_attempts = max_attempts
        self._made = 0
        self._redirected = False
        self._unknown: Verdict | None = None

    def next_step(self, verdict: Verdict, known_term: int = 0, repeatable: bool = True) -> Step:
        """Judge an attempt; `repeatable` tells whether its body can be sent again.

        A last hop that names a leader of a newer term than `known_term` is followed once, without
        spending the budget.
        """
        self._made += 1
        if verdict.outcome is Outcome.ANSWERED:
            self._budget.on_success()
            return Step.STOP
        if verdict.outcome is Outcome.UNKNOWN:
            self._unknown = verdict
        if self._made >= self._max_attempts or not repeatable:
            return Step.STOP
        if not may_retry(verdict, self._idempotent):
            return Step.STOP
        if verdict.leader_term > known_term and not self._redirected:
            self._redirected = True
            return Step.REDIRECT
        return Step.BACK_OFF if self._budget.try_spend() else Step.STOP

    def final_verdict(self, verdict: Verdict) -> Verdict:
        """Return what the caller is told; a refusal says nothing about an earlier attempt."""
        if verdict.outcome is Outcome.NOT_RUN and self._unknown is not None:
            return self._unknown
        return verdict
