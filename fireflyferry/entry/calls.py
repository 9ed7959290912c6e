"""The request as it is passed from hop to hop."""

import attrs

from fireflyferry.transport.bodies import RequestBody

__all__ = ["Call"]


@attrs.define(eq=False)
class Call:
    """A request with its route resolved; `deadline_s` is monotonic time in seconds.

    `target` is the path with its query as the caller sent it. `id_from_caller` is set if the
    caller chose the request id, in which case the request may be a retry. `attempt_id` is the id
    that other hops and the upstream receive and return. An upstream refuses an id that was
    cancelled, so each attempt of an idempotent request has a different id.
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
    id_from_caller: bool
    attempt_id: str
    attempt: int = 1
