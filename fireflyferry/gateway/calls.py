"""A request on its way, and the result of one attempt to have it answered."""

import attrs

from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.transport.headers import HeaderList

__all__ = ["Answer", "Attempt", "Call", "not_run", "outcome_unknown"]


@attrs.define(eq=False)
class Call:
    """A caller's request; times in seconds on this VM's clock.

    `started_s` is when the caller first asked, `returned` that it was refused before, `repeated`
    that an upstream may have received the request already. `tried` are upstreams that are not
    asked again.
    """

    request_id: str
    method: str
    target: str
    headers: HeaderList
    body: bytes
    pool: str
    key: int | None
    idempotent: bool
    priority: int
    max_attempts: int
    started_s: float
    target_time_s: float
    deadline_s: float
    returned: bool = False
    repeated: bool = False
    tried: frozenset[str] = frozenset()


@attrs.frozen
class Answer:
    """The whole answer of an upstream."""

    status: int
    headers: HeaderList
    body: bytes


@attrs.frozen
class Attempt:
    """Result of one attempt; `reached` tells that an upstream may have received the request.

    `wait_s` and `service_s` are the forecast for the next request, if known; `upstream_id` names
    the upstream that the last hop chose.
    """

    outcome: Outcome
    reason: Reason | None = None
    answer: Answer | None = None
    reached: bool = False
    retry_after_s: float = 0.0
    wait_s: float | None = None
    service_s: float = 0.0
    upstream_id: str = ""


def not_run(reason: Reason, retry_after_s: float = 0.0, reached: bool = False) -> Attempt:
    """Return the result of an attempt that did not and will not run."""
    return Attempt(Outcome.NOT_RUN, reason, None, reached, retry_after_s)


def outcome_unknown(reason: Reason, reached: bool = True) -> Attempt:
    """Return the result of an attempt that may have run."""
    return Attempt(Outcome.UNKNOWN, reason, None, reached)
