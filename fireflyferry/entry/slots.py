"""Waiting for slots of upstreams, with timers and futures around the admission queues."""

import asyncio

import attrs

from fireflyferry.admission import Admit, QueueLimits, Refuse, SlotRequest, UpstreamQueue
from fireflyferry.edges import Clock
from fireflyferry.telemetry import Reason

__all__ = ["QueueState", "SlotGate"]


@attrs.define(eq=False)
class _WaitingRequest(SlotRequest):
    outcome: "asyncio.Future[Reason | None] | None" = None


@attrs.frozen
class QueueState:
    """Slots and waiting requests of one upstream's queue."""

    upstream_id: str
    slots: int
    busy: int
    waiting: int


class SlotGate:
    """Admits requests to the slots of the upstreams that this VM forwards to.

    `max_waiting` is the maximum number of requests that wait in all queues together.
    """

    def __init__(self, clock: Clock, max_waiting: int):
        self._clock = clock
        self._max_waiting = max_waiting
        self._waiting = 0
        self._queues: dict[str, UpstreamQueue] = {}

    def states(self) -> tuple[QueueState, ...]:
        """Return the state of every queue."""
        rows = self._queues.items()
        return tuple(
            QueueState(name, queue.slots, queue.busy, queue.waiting) for name, queue in rows
        )

    async def acquire(
        self,
        upstream_id: str,
        slots: int,
        limits: QueueLimits,
        tenant: str,
        deadline_s: float,
    ) -> Reason | None:
        """Wait for a slot; return None once it is acquired, or the reason of the refusal.

        `deadline_s` is monotonic time in seconds.
        """
        queue = self._queue(upstream_id, slots, limits)
        slot_request = _WaitingRequest(tenant, deadline_s)
        decision = queue.offer(self._clock.monotonic_s(), slot_request)
        if isinstance(decision, Admit):
            return None
        if isinstance(decision, Refuse):
            return decision.reason
        if self._waiting >= self._max_waiting:
            queue.cancel(slot_request)
            return Reason.QUEUE_FULL
        loop = asyncio.get_running_loop()
        slot_request.outcome = loop.create_future()
        wait_s = min(limits.max_wait_s, deadline_s - slot_request.queued_s)
        timer = loop.call_later(wait_s + 0.001, self._on_timeout, upstream_id, slot_request)
        self._waiting += 1
        try:
            return await slot_request.outcome
        except asyncio.CancelledError:
            self._on_cancelled(upstream_id, queue, slot_request)
            raise
        finally:
            self._waiting -= 1
            timer.cancel()

    def release(self, upstream_id: str, service_s: float | None = None) -> None:
        """Free a slot and assign it to the next request.

        `service_s` is how long the request took in seconds, None if it was not answered.
        """
        queue = self._queues[upstream_id]
        now_s = self._clock.monotonic_s()
        queue.release(now_s, service_s)
        self._assign_slots(queue, now_s)

    def drop_queue(self, upstream_id: str) -> None:
        """Refuse all requests that wait for an upstream."""
        queue = self._queues.get(upstream_id)
        for slot_request in queue.remove_all() if queue is not None else ():
            _end_wait(slot_request, Reason.OWNER_UNAVAILABLE)
        if queue is not None and queue.busy == 0:
            del self._queues[upstream_id]

    def _queue(self, upstream_id: str, slots: int, limits: QueueLimits) -> UpstreamQueue:
        queue = self._queues.get(upstream_id)
        if queue is None:
            queue = self._queues[upstream_id] = UpstreamQueue(slots, limits)
        elif queue.slots != slots or queue.limits is not limits:
            queue.configure(slots, limits)
            self._assign_slots(queue, self._clock.monotonic_s())
        return queue

    def _assign_slots(self, queue: UpstreamQueue, now_s: float) -> None:
        while (slot_request := queue.pop(now_s)) is not None:
            if not _end_wait(slot_request, None):
                # The request was cancelled, but its task has not yet removed it from the queue.
                queue.release(now_s)
        if queue.has_expired:
            self._refuse_expired(queue, now_s)

    def _refuse_expired(self, queue: UpstreamQueue, now_s: float) -> None:
        for slot_request, refusal in queue.expire(now_s):
            _end_wait(slot_request, refusal.reason)

    def _on_timeout(self, upstream_id: str, slot_request: _WaitingRequest) -> None:
        queue = self._queues.get(upstream_id)
        if queue is not None:
            self._refuse_expired(queue, self._clock.monotonic_s())
        if queue is None or queue.cancel(slot_request):
            _end_wait(slot_request, Reason.DEADLINE_PASSED_IN_QUEUE)

    def _on_cancelled(
        self, upstream_id: str, queue: UpstreamQueue, slot_request: _WaitingRequest
    ) -> None:
        # A cancellation can arrive after the slot was assigned and before the waiting task ran.
        decided = (
            slot_request.outcome is not None
            and slot_request.outcome.done()
            and not slot_request.outcome.cancelled()
        )
        if decided and slot_request.outcome.result() is None:
            self.release(upstream_id)
        else:
            queue.cancel(slot_request)


def _end_wait(slot_request: SlotRequest, reason: Reason | None) -> bool:
    """End the wait of a request; return False if it was cancelled."""
    assert isinstance(slot_request, _WaitingRequest) and slot_request.outcome is not None
    if slot_request.outcome.done():
        return False
    slot_request.outcome.set_result(reason)
    return True
