"""Queue of one upstream: slot count, bounded waiting, refusal of requests that would be late."""

from collections.abc import Mapping

import attrs

from fireflyferry.admission.fair_queue import FairQueue
from fireflyferry.admission.service_times import ServiceTimes
from fireflyferry.telemetry import Reason

__all__ = ["Admit", "QueueLimits", "Refuse", "SlotRequest", "UpstreamQueue", "Wait"]

# Factor on the expected wait. A request that is expected to finish exactly at its deadline is late
# half of the time, and a late answer wastes a slot: at a load of four times the capacity, goodput
# was 43% of the capacity with a factor of 1.0.
WAIT_MARGIN = 1.25


@attrs.define(eq=False)
class SlotRequest:
    """A request that needs a slot: the permission to run one request at the upstream.

    `deadline_s` and `queued_s` are monotonic times in seconds.
    """

    tenant: str
    deadline_s: float
    queued_s: float = 0.0


@attrs.frozen
class QueueLimits:
    """Bounds of a queue and weights of the tenants that share it.

    `max_wait_s` is in seconds. `max_tenant_share` is the share of the queue that one of several
    tenants may fill.
    """

    max_length: int = 64
    max_wait_s: float = 0.5
    weights: Mapping[str, int] = attrs.field(factory=dict)
    max_tenant_share: float = 0.5


@attrs.frozen
class Admit:
    """The request holds a slot."""


@attrs.frozen
class Wait:
    """The request waits for a slot."""


@attrs.frozen
class Refuse:
    """The request is refused and was not run."""

    reason: Reason


class UpstreamQueue:
    """Counts the slots of an upstream and queues requests fairly between tenants."""

    def __init__(self, slots: int, limits: QueueLimits):
        self._slots = slots
        self._limits = limits
        self._waiting: FairQueue[SlotRequest] = FairQueue(limits.weights)
        self._expired: list[SlotRequest] = []
        self._busy = 0
        self._service_times = ServiceTimes()

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return self._busy

    @property
    def slots(self) -> int:
        """Number of slots of the upstream."""
        return self._slots

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def has_expired(self) -> bool:
        """Whether `pop` skipped requests that cannot finish in time."""
        return bool(self._expired)

    @property
    def limits(self) -> QueueLimits:
        """Limits in force."""
        return self._limits

    def configure(self, slots: int, limits: QueueLimits) -> None:
        """Apply changed settings; requests that run or wait are kept."""
        self._slots = slots
        self._limits = limits
        self._waiting.set_weights(limits.weights)

    def offer(self, now_s: float, request: SlotRequest) -> Admit | Wait | Refuse:
        """Admit a request, queue it, or refuse it."""
        if request.deadline_s <= now_s:
            return Refuse(Reason.DEADLINE_TOO_SHORT)
        if self._busy < self._slots and not self._waiting:
            if not self._can_finish(now_s, request, 0):
                return Refuse(Reason.DEADLINE_TOO_SHORT)
            self._busy += 1
            return Admit()
        if len(self._waiting) >= self._limits.max_length:
            return Refuse(Reason.QUEUE_FULL)
        if self._waiting.length_of(request.tenant) >= self._max_tenant_length():
            return Refuse(Reason.TENANT_LIMIT)
        if not self._can_finish(now_s, request, self._waiting.ahead_of(request.tenant) + 1):
            return Refuse(Reason.DEADLINE_TOO_SHORT)
        request.queued_s = now_s
        self._waiting.push(request.tenant, request)
        return Wait()

    def release(self, now_s: float, service_s: float | None = None) -> None:
        """Free a slot; `service_s` is the time in seconds for which an answered request held it."""
        self._busy -= 1
        if service_s is not None:
            self._service_times.observe(service_s)

    def pop(self, now_s: float) -> SlotRequest | None:
        """Give a free slot to the next request that can still finish in time.

        Requests that cannot are kept for `expire` to return.
        """
        while self._busy < self._slots:
            request = self._waiting.pop()
            if request is None:
                return None
            if not self._is_expired(now_s, request):
                self._busy += 1
                return request
            self._expired.append(request)
        return None

    def expire(self, now_s: float) -> list[tuple[SlotRequest, Refuse]]:
        """Remove requests that waited too long or can no longer finish in time; return them."""
        expired, self._expired = self._expired, []
        for request in [each for each in self._waiting if self._is_expired(now_s, each)]:
            self._waiting.remove(request.tenant, request)
            expired.append(request)
        return [(request, Refuse(Reason.DEADLINE_PASSED_IN_QUEUE)) for request in expired]

    def cancel(self, request: SlotRequest) -> bool:
        """Remove a request whose caller has gone; return False if it is not queued."""
        return self._waiting.remove(request.tenant, request)

    def remove_all(self) -> list[SlotRequest]:
        """Remove all waiting requests and return them."""
        removed, self._expired = self._expired, []
        while (request := self._waiting.pop()) is not None:
            removed.append(request)
        return removed

    def _max_tenant_length(self) -> int:
        if len(self._limits.weights) < 2:
            return self._limits.max_length
        return max(1, int(self._limits.max_length * self._limits.max_tenant_share))

    def _is_expired(self, now_s: float, request: SlotRequest) -> bool:
        return now_s >= request.queued_s + self._limits.max_wait_s or not self._can_finish(
            now_s, request, 0
        )

    def _can_finish(self, now_s: float, request: SlotRequest, queue_position: int) -> bool:
        remaining_s = request.deadline_s - now_s
        if self._busy == 0:
            # An idle upstream always gets a request, since only new answers correct the estimate.
            return remaining_s > 0
        service_times = self._service_times
        if queue_position:
            wait_s = WAIT_MARGIN * queue_position * service_times.mean_s / max(1, self._slots)
            return remaining_s > wait_s + service_times.mean_s
        # While other requests wait, a slot is not spent on one that will probably be late.
        return remaining_s > (service_times.mean_s if self._waiting else service_times.low_s)
