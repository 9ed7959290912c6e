"""Requests that are routed to upstreams, and the results of attempts to send them."""

from collections.abc import Callable

import attrs

from fireflyferry.admission import StopPlan, is_probably_answered
from fireflyferry.keyranges import UpstreamRun
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.transport.headers import HeaderList

__all__ = ["Answer", "Attempt", "Call", "not_run", "outcome_unknown"]


def _never_left() -> bool:
    return False


@attrs.define(eq=False)
class Call:
    """A caller's request with the parameters of its route; times in seconds on this VM's clock.

    `started_s` is when the caller first sent the request, `target_time_s` when an answer becomes
    late, `deadline_s` when it becomes useless. `returned` is set if the caller has sent the request
    before, `repeated` if an upstream may have received it from an earlier attempt. `tried` holds
    ids of upstreams not to try again. `key` is None in pools without keys. `body` may be
    in parts, since joining a long one would take its memory twice. `received_s` is when
    this VM received it. `passed_on` is set while an upstream may have received it, `is_at_upstream`
    while this VM waits for an upstream to which it has sent the request. `deadline_cut` is set if
    `deadline_s` is earlier than the caller's deadline, since this VM stops. Only upstreams in
    `allowed_regions` may get it, None means all; last hops do not need the regions.

    `is_forwarded` is set at the last hop of another VM's request. That VM sets the deadline, since
    it waits for the result.

    `has_sender_left` returns whether the caller, or the VM that forwarded the request, has closed
    its connection. Then no upstream gets the request any more.
    """

    request_id: str
    method: str
    target: str
    headers: HeaderList
    body: bytes | tuple[bytes, ...]
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
    received_s: float = 0.0
    passed_on: bool = False
    is_at_upstream: bool = False
    deadline_cut: bool = False
    allowed_regions: frozenset[str] | None = None
    is_forwarded: bool = False
    has_sender_left: Callable[[], bool] = _never_left

    @property
    def may_be_cancelled(self) -> bool:
        """Whether the request may end here and now, although its outcome is not known yet.

        A non-idempotent one that this VM has sent to an upstream goes on to its end there.
        """
        return self.idempotent or not self.is_at_upstream

    @property
    def body_bytes(self) -> int:
        """Size of the body in bytes."""
        parts = self.body if isinstance(self.body, tuple) else (self.body,)
        return sum(map(len, parts))

    def ends_before_exit(
        self, now_s: float, plan: StopPlan, forecast: Callable[[], tuple[float, float]]
    ) -> bool:
        """Return whether an attempt ends before a stopping VM exits; cut the deadline to that.

        `forecast` returns the expected wait and service time in seconds. The deadline of a
        forwarded request is not cut: a third VM can send it with all of its time.
        """
        if self.is_forwarded:
            return self.deadline_s <= plan.answer_by_s
        deadline_s = plan.deadline_s(self.received_s, self.deadline_s)
        if deadline_s is None:
            return False
        self.deadline_cut = self.deadline_cut or deadline_s < self.deadline_s
        self.deadline_s = deadline_s
        return not self.deadline_cut or is_probably_answered(deadline_s - now_s, *forecast())

    def release(self) -> None:
        """Drop what takes memory or refers to the sender's connection, after the request ended."""
        self.body, self.headers = b"", []
        self.has_sender_left = _never_left

    def result_if_broken_off(self) -> "Attempt":
        """Return the result for a caller whose request ends now, with the exit of this VM."""
        return (
            outcome_unknown(Reason.BROKEN_OFF) if self.passed_on else not_run(Reason.SHUTTING_DOWN)
        )


@attrs.frozen
class Answer:
    """Complete answer of an upstream."""

    status: int
    headers: HeaderList
    body: bytes


@attrs.frozen
class Attempt:
    """Result of one attempt to send a request to an upstream and get its answer.

    `reached` is set if an upstream may have received the request. `wait_s` is the wait for a slot
    and `service_s` the service time, in seconds, that the last hop expects for the next request;
    `wait_s` is None without such a forecast. `upstream_id` is the upstream that the last hop chose,
    `leaving` its incarnation if the answer says that it is leaving.
    """

    outcome: Outcome
    reason: Reason | None = None
    answer: Answer | None = None
    reached: bool = False
    retry_after_s: float = 0.0
    wait_s: float | None = None
    service_s: float = 0.0
    upstream_id: str = ""
    leaving: UpstreamRun | None = None


def not_run(reason: Reason, retry_after_s: float = 0.0, reached: bool = False) -> Attempt:
    """Return the result of an attempt whose request no upstream has executed or will execute."""
    return Attempt(Outcome.NOT_RUN, reason, None, reached, retry_after_s)


def outcome_unknown(reason: Reason, reached: bool = True) -> Attempt:
    """Return the result of an attempt whose request an upstream may have executed."""
    return Attempt(Outcome.UNKNOWN, reason, None, reached)
