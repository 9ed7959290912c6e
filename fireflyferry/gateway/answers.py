"""Classification of upstreams' answers."""

import logging
from collections.abc import Callable

import attrs

from fireflyferry.balancing.quiet import read_retry_after
from fireflyferry.gateway.calls import Answer, Attempt, Call, not_run, outcome_unknown
from fireflyferry.gateway.edges import HeaderNames
from fireflyferry.keyranges import UpstreamRun
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.transport import FetchResult

__all__ = ["classify"]

_LOG = logging.getLogger(__name__)

NOT_RUN_STATUSES = (408, 429, 503)  # promise callers that a request has not run and never will


def classify(
    names: HeaderNames,
    call: Call,
    run: UpstreamRun,
    result: FetchResult,
    unsent: Callable[[], Attempt],
) -> Attempt:
    """Return the result of an attempt, derived from its exchange with an upstream.

    `unsent` returns the result if no byte of the request was sent.
    """
    fault = _fault(names, result)
    if fault is None:
        return _read_answer(names, call, run, result)
    reason, detail = fault
    if reason is Reason.CONNECT_FAILED:
        return unsent()
    _LOG.info(
        "upstream_answer_unusable",
        extra={
            "request_id": call.request_id,
            "upstream": run.upstream_id,
            "born": run.born,
            "reason": str(reason),
            "detail": detail,
        },
    )
    return outcome_unknown(reason)


def _fault(names: HeaderNames, result: FetchResult) -> tuple[Reason, str] | None:
    """Return why there is no answer that can be passed on, or None if there is one."""
    if result.head_rejected:
        other_id = result.header(names.request_id)
        return Reason.WRONG_ANSWER, f"answer carries request id {other_id}"
    if result.too_large:
        return Reason.WRONG_ANSWER, "answer exceeds the memory for answers"
    if not result.complete:
        detail = f"curl {result.error} {result.message}"
        if not result.sent:
            return Reason.CONNECT_FAILED, detail
        if result.invalid_head:
            return Reason.INVALID_ANSWER, detail
        return Reason.TIMED_OUT if result.timed_out else Reason.CONNECTION_LOST, detail
    if result.header("Content-Encoding") is not None:
        return Reason.WRONG_ANSWER, "answer has a content encoding that was not requested"
    if result.status in NOT_RUN_STATUSES and result.header(names.not_run) is None:
        detail = f"status {result.status} of an upstream that may have run the request"
        return Reason.WRONG_ANSWER, detail
    if 200 <= result.status < 300 and result.header(names.signature) is None:
        return Reason.WRONG_ANSWER, "successful answer has no signature"
    return None


def _read_answer(names: HeaderNames, call: Call, run: UpstreamRun, result: FetchResult) -> Attempt:
    """Return the result of an attempt with a usable answer."""
    if result.status == 421:
        attempt = not_run(Reason.NOT_OWNER, reached=True)
    elif result.header(names.not_run) is not None:
        retry_after = (value for name, value in result.headers if name.lower() == "retry-after")
        quiet_s = read_retry_after(retry_after) if result.status == 503 else 0.0
        attempt = not_run(Reason.UPSTREAM_SHED, quiet_s, reached=True)
    else:
        answer = Answer(result.status, result.headers, result.body)
        attempt = Attempt(Outcome.ANSWERED, None, answer, reached=True)
    # Without a key, only another process at the address answers 421.
    is_of_run = result.status != 421 or call.key is not None
    leaves = is_of_run and (result.header(names.leaving) or "").strip() == "1"
    return attrs.evolve(attempt, leaving=run if leaves else None)
