"""Queue of one upstream: exact slots, bounded waiting, refusal of work that cannot finish."""

from collections.abc import Mapping

import attrs

from fireflyferry.admission.fair_queue import FairQueue
from fireflyferry.admission.service_times import ServiceTimes
from fireflyferry.telemetry import Reason

__all__ = ["Admit", "QueueLimits", "Refuse", "SlotRequest", "UpstreamQueue", "Wait"]

# Work admitted to finish exactly at its deadline is late half of the time, and a late answer
# costs a slot: at four times the capacity, goodput was 43% of it with a factor of 1.0.
WAIT_MARGIN = 1.25


@attrs.define(eq=False)
class SlotRequest:
    """A request that needs a slot; `deadline_s` is monotonic time in seconds."""

    tenant: str
    deadline_s: float
    queued_s: float = 0.0


@attrs.frozen
class QueueLimits:
    """Bounds of a queue and weights of the tenants that share it.

    `tenant_share` is the part of the queue that one of several tenants may fill.
    """

    max_length: int = 64
    max_wait_s: float = 0.5
    weights: Mapping[str, int] = attrs.field(factory=dict)
    tenant_share: float = 0.5


@attrs.frozen
class Admit:
    """The work holds a slot."""


@attrs.frozen
class Wait:
    """The work waits for a slot."""


@attrs.frozen
class Refuse:
    """The work is refused and was not run."""

    reason: Reason


class UpstreamQueue:
    """Counts slots exactly and lets work wait fairly between tenants."""

    def __init__(self, slots: int, limits: QueueLimits):
        self._slots = slots
        self._limits = limits
        self._waiting: FairQueue[SlotRequest] = FairQueue(limits.weights)
        self._late: list[SlotRequest] = []
        self._busy = 0
        self._times = ServiceTimes()

    @property
    def busy(self) -> int:
        """Slots in use."""
        return self._busy

    @property
    def slots(self) -> int:
        """Slots of the upstream."""
        return self._slots

    @property
    def waiting(self) -> int:
        """Work that waits."""
        return len(self._waiting)

    @property
    def has_expired(self) -> bool:
        """Whether `pop` passed over work that cannot finish."""
        return bool(self._late)

    @property
    def limits(self) -> QueueLimits:
        """Bounds in force."""
        return self._limits

    def configure(self, slots: int, limits: QueueLimits) -> None:
        """Apply changed settings; work that runs or waits keeps its place."""
        self._slots = slots
        self._limits = limits
        self._waiting.set_weights(limits.weights)

    def offer(self, now_s: float, work: SlotRequest) -> Admit | Wait | Refuse:
        """Give work a slot or a place in the queue, or refuse it."""
        if work.deadline_s <= now_s:
            return Refuse(Reason.DEADLINE_TOO_SHORT)
        if self._busy < self._slots and not self._waiting:
            if not self._can_finish(now_s, work, 0):
                return Refuse(Reason.DEADLINE_TOO_SHORT)
            self._busy += 1
            return Admit()
        if len(self._waiting) >= self._limits.max_length:
            return Refuse(Reason.QUEUE_FULL)
        if self._waiting.length_of(work.tenant) >= self._tenant_limit():
            return Refuse(Reason.TENANT_LIMIT)
        if not self._can_finish(now_s, work, self._waiting.ahead_of(work.tenant) + 1):
            return Refuse(Reason.DEADLINE_TOO_SHORT)
        work.queued_s = now_s
        self._waiting.push(work.tenant, work)
        return Wait()

    def release(self, now_s: float, service_s: float | None = None) -> None:
        """Free a slot; `service_s` is the time in seconds for which an answered request held it."""
        self._busy -= 1
        if service_s is not None:
            self._times.observe(service_s)

    def pop(self, now_s: float) -> SlotRequest | None:
        """Give a free slot to the next work that can still finish.

        Work that cannot finish is kept for `expire` to report.
        """
        while self._busy < self._slots:
            work = self._waiting.pop()
            if work is None:
                return None
            if not self._is_late(now_s, work):
                self._busy += 1
                return work
            self._late.append(work)
        return None

    def expire(self, now_s: float) -> list[tuple[SlotRequest, Refuse]]:
        """Remove the work that waited too long or cannot finish any more."""
        late, self._late = self._late, []
        for work in [item for item in self._waiting if self._is_late(now_s, item)]:
            self._waiting.remove(work.tenant, work)
            late.append(work)
        return [(work, Refuse(Reason.DEADLINE_PASSED_IN_QUEUE)) for work in late]

    def cancel(self, work: SlotRequest) -> bool:
        """Remove work that nobody waits for; False when it is not queued."""
        return self._waiting.remove(work.tenant, work)

    def remove_all(self) -> list[SlotRequest]:
        """Remove all work that waits."""
        late, self._late = self._late, []
        while (work := self._waiting.pop()) is not None:
            late.append(work)
        return late

    def _tenant_limit(self) -> int:
        if len(self._limits.weights) < 2:
            return self._limits.max_length
        return max(1, int(self._limits.max_length * self._limits.tenant_share))

    def _is_late(self, now_s: float, work: SlotRequest) -> bool:
        return now_s >= work.queued_s + self._limits.max_wait_s or not self._can_finish(
            now_s, work, 0
        )

    def _can_finish(self, now_s: float, work: SlotRequest, turns: int) -> bool:
        remaining_s = work.deadline_s - now_s
        if self._busy == 0:
            # An idle upstream always gets work: the estimate is only corrected by new answers.
            return remaining_s > 0
        times = self._times
        if turns:
            wait_s = WAIT_MARGIN * turns * times.mean_s / max(1, self._slots)
            return remaining_s > wait_s + times.mean_s
        # While other work waits, a slot is worth more than one attempt that will probably be late.
        return remaining_s > (times.mean_s if self._waiting else times.low_s)
