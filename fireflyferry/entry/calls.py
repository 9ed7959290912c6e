"""The request as it is passed from hop to hop."""

import attrs

from fireflyferry.admission import StopPlan
from fireflyferry.retries import Verdict
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.transport.bodies import RequestBody

__all__ = ["Call", "broken_off"]


def broken_off(call: "Call | None") -> Verdict:
    """Return the result of a request that ends now, with the exit of this VM."""
    if call is not None and call.passed_on:
        return Verdict(Outcome.UNKNOWN, Reason.BROKEN_OFF)
    return Verdict(Outcome.NOT_RUN, Reason.SHUTTING_DOWN)


@attrs.define(eq=False)
class Call:
    """A request with its route resolved; `deadline_s` is monotonic time in seconds.

    `target` is the path with its query as the caller sent it. `id_from_caller` is set if the
    caller chose the request id, in which case the request may be a retry. `attempt_id` is the id
    that other hops and the upstream receive and return. An upstream refuses an id that was
    cancelled, so each attempt of an idempotent request has a different id. `passed_on` is set once
    another VM or an upstream may have received the request.
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
    passed_on: bool = False

    def limit_deadline(self, now_s: float, plan: StopPlan) -> bool:
        """Cut the deadline to a time before this VM stops; return whether to pass it on."""
        deadline_s = plan.deadline_s(now_s, self.deadline_s)
        if deadline_s is None:
            return False
        self.deadline_s = deadline_s
        return True
