"""Stable codes of outcomes and of the reasons for refusals and retries."""

import enum

import attrs

__all__ = ["REASONS", "Outcome", "Reason", "ReasonInfo"]


class Outcome(enum.StrEnum):
    """What is known about the execution of a request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was refused or retried, or why its outcome is unknown."""

    UNKNOWN_ROUTE = "unknown_route"
    MISSING_KEY = "missing_key"
    BODY_TOO_LARGE = "body_too_large"
    HEADER_TOO_LARGE = "header_too_large"
    BAD_REQUEST_ID = "bad_request_id"
    BAD_TIMEOUT = "bad_timeout"
    NOT_AUTHENTICATED = "not_authenticated"
    NO_TABLES = "no_tables"
    NO_UPSTREAM = "no_upstream"
    REGION_NOT_ALLOWED = "region_not_allowed"
    DATA_CENTRE_EVACUATED = "data_centre_evacuated"
    NO_LEADER = "no_leader"
    NOT_LEADER = "not_leader"
    OWNER_UNAVAILABLE = "owner_unavailable"
    OWNER_UNREACHABLE = "owner_unreachable"
    OWNER_HELD = "owner_held"
    NOT_OWNER = "not_owner"
    STALE_FENCE = "stale_fence"
    QUEUE_FULL = "queue_full"
    MEMORY_SHORT = "memory_short"
    BODY_STALLED = "body_stalled"
    TENANT_LIMIT = "tenant_limit"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_PASSED_IN_QUEUE = "deadline_passed_in_queue"
    UPSTREAM_SHED = "upstream_shed"
    UPSTREAM_QUIET = "upstream_quiet"
    UPSTREAM_COLD = "upstream_cold"
    UPSTREAM_DRAINING = "upstream_draining"
    CONNECT_FAILED = "connect_failed"
    UPSTREAMS_UNREACHABLE = "upstreams_unreachable"
    SHUTTING_DOWN = "shutting_down"
    CALLER_LEFT = "caller_left"
    DUPLICATE_IN_FLIGHT = "duplicate_in_flight"
    OUTCOME_NOT_RECORDED = "outcome_not_recorded"
    TIMED_OUT = "timed_out"
    CONNECTION_LOST = "connection_lost"
    BROKEN_OFF = "broken_off"
    WRONG_ANSWER = "wrong_answer"
    INVALID_ANSWER = "invalid_answer"
    OWNERSHIP_LAPSED = "ownership_lapsed"


@attrs.frozen
class ReasonInfo:
    """Outcome and HTTP status for a reason.

    `retryable` is true for a refusal with a temporary cause, after which a request may be retried.
    """

    outcome: Outcome
    status: int
    retryable: bool


def _refusal(status: int, retryable: bool = False) -> ReasonInfo:
    return ReasonInfo(Outcome.NOT_RUN, status, retryable)


def _unknown_outcome() -> ReasonInfo:
    return ReasonInfo(Outcome.UNKNOWN, 504, False)


REASONS: dict[Reason, ReasonInfo] = {
    Reason.UNKNOWN_ROUTE: _refusal(404),
    Reason.MISSING_KEY: _refusal(400),
    Reason.BODY_TOO_LARGE: _refusal(413),
    Reason.HEADER_TOO_LARGE: _refusal(431),
    Reason.BAD_REQUEST_ID: _refusal(400),
    Reason.BAD_TIMEOUT: _refusal(400),
    Reason.NOT_AUTHENTICATED: _refusal(401),
    Reason.NO_TABLES: _refusal(503, retryable=True),
    Reason.NO_UPSTREAM: _refusal(503, retryable=True),
    Reason.REGION_NOT_ALLOWED: _refusal(503, retryable=True),
    Reason.DATA_CENTRE_EVACUATED: _refusal(503, retryable=True),
    Reason.NO_LEADER: _refusal(503, retryable=True),
    Reason.NOT_LEADER: _refusal(503, retryable=True),
    Reason.OWNER_UNAVAILABLE: _refusal(503, retryable=True),
    Reason.OWNER_UNREACHABLE: _refusal(503, retryable=True),
    Reason.OWNER_HELD: _refusal(503),
    Reason.NOT_OWNER: _refusal(503, retryable=True),
    Reason.STALE_FENCE: _refusal(503, retryable=True),
    Reason.QUEUE_FULL: _refusal(503),
    Reason.MEMORY_SHORT: _refusal(503),
    Reason.BODY_STALLED: _refusal(503),
    Reason.TENANT_LIMIT: _refusal(429),
    Reason.DEADLINE_TOO_SHORT: _refusal(503),
    Reason.DEADLINE_PASSED_IN_QUEUE: _refusal(503),
    Reason.UPSTREAM_SHED: _refusal(503, retryable=True),
    Reason.UPSTREAM_QUIET: _refusal(503, retryable=True),
    Reason.UPSTREAM_COLD: _refusal(503),
    Reason.UPSTREAM_DRAINING: _refusal(503, retryable=True),
    Reason.CONNECT_FAILED: _refusal(503, retryable=True),
    Reason.UPSTREAMS_UNREACHABLE: _refusal(503, retryable=True),
    Reason.SHUTTING_DOWN: _refusal(503, retryable=True),
    Reason.CALLER_LEFT: _refusal(503),
    Reason.DUPLICATE_IN_FLIGHT: ReasonInfo(Outcome.UNKNOWN, 409, False),
    Reason.OUTCOME_NOT_RECORDED: ReasonInfo(Outcome.UNKNOWN, 409, False),
    Reason.TIMED_OUT: _unknown_outcome(),
    Reason.CONNECTION_LOST: _unknown_outcome(),
    Reason.BROKEN_OFF: _unknown_outcome(),
    Reason.WRONG_ANSWER: _unknown_outcome(),
    Reason.INVALID_ANSWER: ReasonInfo(Outcome.UNKNOWN, 502, False),
    Reason.OWNERSHIP_LAPSED: _unknown_outcome(),
}
