"""Updates what this VM knows of upstreams from the results of attempts."""

import logging

from fireflyferry.balancing import LoadTracker, SlotQueue, UpstreamDirectory
from fireflyferry.balancing.load_report import LoadReportError, read_load_report
from fireflyferry.gateway.calls import Attempt, Call
from fireflyferry.keyranges import UpstreamRun
from fireflyferry.telemetry import Outcome, Reason

__all__ = ["NO_ROOM_REASONS", "record_attempt", "record_leaving", "record_load", "record_room"]

_LOG = logging.getLogger(__name__)

NO_ROOM_REASONS = frozenset(
    {Reason.QUEUE_FULL, Reason.DEADLINE_TOO_SHORT, Reason.UPSTREAM_QUIET, Reason.UPSTREAM_COLD}
)


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


def record_room(
    load_tracker: LoadTracker, now_s: float, run: UpstreamRun, attempt: Attempt
) -> None:
    """Record whether an upstream, or the last hop that it shares, had room for a request."""
    if attempt.reason in NO_ROOM_REASONS:
        load_tracker.on_no_room(now_s, run)
    elif attempt.outcome is Outcome.ANSWERED:
        load_tracker.on_room(run)


def record_leaving(upstreams: UpstreamDirectory, now_s: float, run: UpstreamRun | None) -> None:
    """Mark the incarnation that an answer named as leaving, if it named one."""
    if run is not None and upstreams.mark_leaving(now_s, run):
        _LOG.info(
            "upstream_leaving_by_answer", extra={"upstream": run.upstream_id, "born": run.born}
        )


def record_load(queue: SlotQueue, now_s: float, run: UpstreamRun, value: str | None) -> None:
    """Record the load that an answer reported; one that cannot be read changes nothing."""
    if value is None:
        return
    try:
        queue.on_report(now_s, read_load_report(value))
    except LoadReportError as error:
        extra = {
            "upstream": run.upstream_id,
            "born": run.born,
            "value": value[:64],
            "error": str(error),
        }
        _LOG.warning("load_report_unreadable", extra=extra)
