"""Outcome classification, retry budget, backoff and request ids."""

from fireflyferry.retries.attempts import Attempts, Step
from fireflyferry.retries.backoff import Backoff
from fireflyferry.retries.budget import RetryBudget
from fireflyferry.retries.outcomes import Failure, Verdict, classify, may_retry
from fireflyferry.retries.request_ids import (
    BadRequestIdError,
    Done,
    Fresh,
    InFlight,
    RequestIdTable,
    SmallAnswer,
    Unknown,
    issued_wall_s,
    new_request_id,
)

__all__ = [
    "Attempts",
    "Backoff",
    "BadRequestIdError",
    "Done",
    "Failure",
    "Fresh",
    "InFlight",
    "RequestIdTable",
    "RetryBudget",
    "SmallAnswer",
    "Step",
    "Unknown",
    "Verdict",
    "classify",
    "issued_wall_s",
    "may_retry",
    "new_request_id",
]
