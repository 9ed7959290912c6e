"""What the result of an attempt says about the upstream."""

from fireflyferry.balancing import LoadTracker
from fireflyferry.gateway.calls import Attempt
from fireflyferry.telemetry import Outcome, Reason

__all__ = ["learn_attempt"]


def learn_attempt(board: LoadTracker, now_s: float, upstream_id: str, attempt: Attempt) -> float:
    """Note whether an upstream answered; returns for how many seconds it is avoided."""
    if attempt.outcome is Outcome.ANSWERED and attempt.answer is not None:
        board.on_answer(upstream_id, attempt.answer.status >= 500)
    elif attempt.outcome is Outcome.UNKNOWN or attempt.reason in (
        Reason.CONNECT_FAILED,
        Reason.UPSTREAM_SHED,
    ):
        return board.on_no_answer(now_s, upstream_id)
    return 0.0
