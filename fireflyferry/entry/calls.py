"""A request on its way through the hops."""

import attrs

from fireflyferry.transport.bodies import RequestBody

__all__ = ["Call"]


@attrs.define(eq=False)
class Call:
    """A request with its route resolved; `deadline_s` is monotonic time in seconds.

    `target` is the path with its query as the caller sent it. `caller_id` tells that the caller
    sent the request id itself, so that the request may be a repeat. `attempt_id` is what hops and
    the upstream see and echo; an upstream refuses an id that was cancelled, so each attempt of an
    idempotent request has its own.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: RequestBody | None
    pool: str
    key: str
    tenant: str
    idempotent: bool
    deadline_s: float
    request_id: str
    caller_id: bool
    attempt_id: str
    attempt: int = 1
