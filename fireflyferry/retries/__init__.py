"""Outcome classification, retry budget, backoff and request ids."""

from fireflyferry.retries.attempts import Attempts, Step
from fireflyferry.retries.backoff import Backoff, doubled_s
from fireflyferry.retries.budget import RetryBudget
from fireflyferry.retries.outcomes import Failure, Verdict, classify, may_retry
from fireflyferry.retries.request_ids import (
    Answered,
    BadRequestIdError,
    InFlight,
    NewId,
    OutcomeUnknown,
    RequestIdTable,
    StoredAnswer,
    issued_wall_s,
    new_request_id,
)

__all__ = [
    "Answered",
    "Attempts",
    "Backoff",
    "BadRequestIdError",
    "Failure",
    "InFlight",
    "NewId",
    "OutcomeUnknown",
    "RequestIdTable",
    "RetryBudget",
    "Step",
    "StoredAnswer",
    "Verdict",
    "classify",
    "doubled_s",
    "issued_wall_s",
    "may_retry",
    "new_request_id",
]
