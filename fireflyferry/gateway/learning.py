"""Updates the load statistics of upstreams from the results of attempts."""

from fireflyferry.balancing import LoadTracker
from fireflyferry.gateway.calls import Attempt, Call
from fireflyferry.keyranges import UpstreamRun
from fireflyferry.telemetry import Outcome, Reason

__all__ = ["record_attempt"]


def record_attempt(
    load_tracker: LoadTracker, now_s: float, call: Call, run: UpstreamRun, attempt: Attempt
) -> float:
    """Record whether an upstream answered; return for how many seconds it is avoided."""
    # Without a key, only another upstream at the address refuses a request as not its own.
    misdirected = attempt.reason is Reason.NOT_OWNER and call.key is None
    if attempt.outcome is Outcome.ANSWERED and attempt.answer is not None:
        load_tracker.on_answer(run, attempt.answer.status >= 500)
    elif (
        misdirected
        or attempt.outcome is Outcome.UNKNOWN
        or attempt.reason in (Reason.CONNECT_FAILED, Reason.UPSTREAM_SHED)
    ):
        return load_tracker.on_no_answer(now_s, run)
    return 0.0
