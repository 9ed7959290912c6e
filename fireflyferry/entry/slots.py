"""Waiting for slots of upstreams: timers and futures around the pure queues."""

import asyncio

import attrs

from fireflyferry.admission import Admit, QueueLimits, Refuse, SlotRequest, UpstreamQueue
from fireflyferry.edges import Clock
from fireflyferry.telemetry import Reason

__all__ = ["QueueState", "SlotGate"]


@attrs.define(eq=False)
class _WaitingWork(SlotRequest):
    outcome: "asyncio.Future[Reason | None] | None" = None


@attrs.frozen
class QueueState:
    """A queue as shown on the status page."""

    upstream_id: str
    slots: int
    busy: int
    waiting: int


class SlotGate:
    """The queues of all upstreams that this VM forwards to.

    `max_waiting` bounds what waits in all of them together.
    """

    def __init__(self, clock: Clock, max_waiting: int):
        self._clock = clock
        self._max_waiting = max_waiting
        self._waiting = 0
        self._queues: dict[str, UpstreamQueue] = {}

    def states(self) -> tuple[QueueState, ...]:
        """Return the state of every queue."""
        rows = self._queues.items()
        return tuple(QueueState(name, q.slots, q.busy, q.waiting) for name, q in rows)

    async def acquire(
        self,
        upstream_id: str,
        slots: int,
        limits: QueueLimits,
        tenant: str,
        deadline_s: float,
    ) -> Reason | None:
        """Wait for a slot; returns None when it is held, else the reason of the refusal."""
        queue = self._queue(upstream_id, slots, limits)
        work = _WaitingWork(tenant, deadline_s)
        answer = queue.offer(self._clock.monotonic_s(), work)
        if isinstance(answer, Admit):
            return None
        if isinstance(answer, Refuse):
            return answer.reason
        if self._waiting >= self._max_waiting:
            queue.cancel(work)
            return Reason.QUEUE_FULL
        loop = asyncio.get_running_loop()
        work.outcome = loop.create_future()
        wait_s = min(limits.max_wait_s, deadline_s - work.queued_s)
        timer = loop.call_later(wait_s + 0.001, self._expire, upstream_id, work)
        self._waiting += 1
        try:
            return await work.outcome
        except asyncio.CancelledError:
            self._forget(upstream_id, queue, work)
            raise
        finally:
            self._waiting -= 1
            timer.cancel()

    def release(self, upstream_id: str, service_s: float | None = None) -> None:
        """Free a slot and hand it to the next work; `service_s` is in seconds."""
        queue = self._queues[upstream_id]
        now_s = self._clock.monotonic_s()
        queue.release(now_s, service_s)
        self._hand_out(queue, now_s)

    def drop(self, upstream_id: str) -> None:
        """Refuse all that waits for an upstream."""
        queue = self._queues.get(upstream_id)
        for work in queue.remove_all() if queue is not None else ():
            _settle(work, Reason.OWNER_UNAVAILABLE)
        if queue is not None and queue.busy == 0:
            del self._queues[upstream_id]

    def _queue(self, upstream_id: str, slots: int, limits: QueueLimits) -> UpstreamQueue:
        queue = self._queues.get(upstream_id)
        if queue is None:
            queue = self._queues[upstream_id] = UpstreamQueue(slots, limits)
        elif queue.slots != slots or queue.limits is not limits:
            queue.configure(slots, limits)
            self._hand_out(queue, self._clock.monotonic_s())
        return queue

    def _hand_out(self, queue: UpstreamQueue, now_s: float) -> None:
        while (work := queue.pop(now_s)) is not None:
            if not _settle(work, None):
                # Cancelled, and its waiter has not run yet to leave the queue.
                queue.release(now_s)
        if queue.has_expired:
            self._refuse_late(queue, now_s)

    def _refuse_late(self, queue: UpstreamQueue, now_s: float) -> None:
        for work, refusal in queue.expire(now_s):
            _settle(work, refusal.reason)

    def _expire(self, upstream_id: str, work: _WaitingWork) -> None:
        queue = self._queues.get(upstream_id)
        if queue is not None:
            self._refuse_late(queue, self._clock.monotonic_s())
        if queue is None or queue.cancel(work):
            _settle(work, Reason.DEADLINE_PASSED_IN_QUEUE)

    def _forget(self, upstream_id: str, queue: UpstreamQueue, work: _WaitingWork) -> None:
        # Cancellation can arrive after the slot was handed out and before the waiter ran.
        handed = work.outcome is not None and work.outcome.done() and not work.outcome.cancelled()
        if handed and work.outcome.result() is None:
            self.release(upstream_id)
        else:
            queue.cancel(work)


def _settle(work: SlotRequest, reason: Reason | None) -> bool:
    """Wake the waiter of some work; False when it was cancelled."""
    assert isinstance(work, _WaitingWork) and work.outcome is not None
    if work.outcome.done():
        return False
    work.outcome.set_result(reason)
    return True
