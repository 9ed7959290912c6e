"""Outcome of an attempt and the rule for retrying a request."""

import attrs

from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.telemetry.reasons import REASONS

__all__ = ["Failure", "Verdict", "classify", "may_retry"]


@attrs.frozen
class Failure:
    """What was observed of an attempt that gave no usable answer.

    `sent` means that the request was handed to a connection at least once during the attempt.
    `ownership_lapsed` means that the upstream lost the key while it handled the request.
    `declared_reason` is the reason that the other side put in its answer.
    """

    sent: bool = False
    timed_out: bool = False
    wrong_answer: bool = False
    ownership_lapsed: bool = False
    declared_reason: Reason | None = None


@attrs.frozen
class Verdict:
    """Outcome of an attempt with its reason; `reason` is None only for an answer.

    `leader_address` and `leader_term` accompany NOT_LEADER if the other VM could name the leader.
    """

    outcome: Outcome
    reason: Reason | None = None
    leader_address: str = ""
    leader_term: int = 0


def classify(failure: Failure) -> Verdict:
    """Return the outcome of a failed attempt.

    A failure counts as *not run* only if the other side declared it so, or if no byte of the
    request left this process.
    """
    if failure.wrong_answer:
        return Verdict(Outcome.UNKNOWN, Reason.WRONG_ANSWER)
    if failure.ownership_lapsed:
        return Verdict(Outcome.UNKNOWN, Reason.OWNERSHIP_LAPSED)
    if failure.declared_reason is not None:
        return Verdict(REASONS[failure.declared_reason].outcome, failure.declared_reason)
    if not failure.sent:
        return Verdict(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
    reason = Reason.TIMED_OUT if failure.timed_out else Reason.CONNECTION_LOST
    return Verdict(Outcome.UNKNOWN, reason)


def may_retry(verdict: Verdict, idempotent: bool) -> bool:
    """Return whether a request may be retried after an attempt with this verdict.

    A refusal may be retried if its reason is temporary; an unknown outcome only for an idempotent
    request, and never after a timeout, since the deadline has then passed.
    """
    if verdict.outcome is Outcome.ANSWERED or verdict.reason is None:
        return False
    if verdict.outcome is Outcome.NOT_RUN:
        return REASONS[verdict.reason].retryable
    return idempotent and verdict.reason is not Reason.TIMED_OUT
