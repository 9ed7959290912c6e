"""Decision on what to do after each attempt of one request."""

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
    """Attempts of one request at its first hop, and what follows each of them."""

    def __init__(self, idempotent: bool, budget: RetryBudget, max_attempts: int):
        self._idempotent = idempotent
        self._budget = budget
        self._max_attempts = max_attempts
        self._attempts_made = 0
        self._redirected = False
        self._unknown_verdict: Verdict | None = None

    def next_step(self, verdict: Verdict, known_term: int = 0, repeatable: bool = True) -> Step:
        """Return what to do after an attempt; `repeatable` if the request can be sent again.

        If the last hop named the leader of a newer term than `known_term`, the request is
        redirected to it once, without spending the retry budget.
        """
        self._attempts_made += 1
        if verdict.outcome is Outcome.ANSWERED:
            self._budget.on_success()
            return Step.STOP
        if verdict.outcome is Outcome.UNKNOWN:
            self._unknown_verdict = verdict
        if self._attempts_made >= self._max_attempts or not repeatable:
            return Step.STOP
        if not may_retry(verdict, self._idempotent):
            return Step.STOP
        if verdict.leader_term > known_term and not self._redirected:
            self._redirected = True
            return Step.REDIRECT
        return Step.BACK_OFF if self._budget.try_spend() else Step.STOP

    def final_verdict(self, verdict: Verdict) -> Verdict:
        """Return the result for the caller; an unknown outcome overrides a later refusal."""
        if verdict.outcome is Outcome.NOT_RUN and self._unknown_verdict is not None:
            return self._unknown_verdict
        return verdict
