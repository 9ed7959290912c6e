"""Queue of one upstream at its last hop: slot count, order, wait forecasts and refusals."""

import heapq
import itertools
from collections.abc import Callable

import attrs

from fireflyferry.admission import ServiceTimes
from fireflyferry.balancing.load_report import LoadReport, ReportedLoad
from fireflyferry.telemetry import Reason

__all__ = ["Admitted", "QueueRules", "Refused", "SlotQueue", "Ticket", "Waiting"]


@attrs.frozen
class QueueRules:
    """Limits of a queue.

    `prefetch` requests may wait inside the upstream, so that a slot is not idle while an answer is
    in transit. Until a service time was observed, `initial_service_share` of the shortest target
    latency is assumed, at most `initial_service_s`. An upstream counts as stalled if its slots are
    taken and no request has ended for `stall_service_times` mean service times and at least
    `stall_s` seconds.
    """

    prefetch: int = 1
    wait_margin: float = 1.25  # factor on forecasts; without it 30% of admitted requests were late
    initial_service_s: float = 0.2
    initial_service_share: float = 1 / 3
    late_wait_share: float = 0.35  # of the time left; longest wait of a request that will be late
    stall_s: float = 1.0
    stall_service_times: float = 6.0
    min_retry_after_s: float = 0.05


@attrs.define(eq=False)
class Ticket:
    """A request that needs a slot; times in seconds on the VM's clock.

    `started_s` is when the caller first sent the request. The queue sets `wait_until_s`, after
    which the ticket is refused, early enough for the caller to come back.
    """

    priority: int
    started_s: float
    target_time_s: float
    deadline_s: float
    wait_until_s: float = attrs.field(default=float("inf"), init=False)
    cancelled: bool = attrs.field(default=False, init=False)


@attrs.frozen
class Admitted:
    """The ticket holds a slot."""


@attrs.frozen
class Waiting:
    """The ticket waits for a slot."""


@attrs.frozen
class Refused:
    """The ticket is refused; a retry may succeed after `retry_after_s` seconds."""

    reason: Reason
    retry_after_s: float


class SlotQueue:
    """Queue of tickets by priority, lowest value first, then by `started_s`.

    Among tickets of one priority, those that can still be answered by their target time go first.
    Under overload the others would make them late as well; they wait for a limited time. `limit`
    returns how many requests may be in flight, None if only the slots limit them.
    """

    def __init__(
        self,
        slots: int,
        rules: QueueRules | None = None,
        limit: Callable[[], int | None] = lambda: None,
    ):
        self._slots = max(1, slots)
        self._rules = rules or QueueRules()
        self._limit = limit
        self._busy = 0
        self._service_times = ServiceTimes()
        self._reported = ReportedLoad()
        self._waiting: list[tuple[int, bool, float, int, Ticket]] = []
        self._sequence = itertools.count()
        self._waiting_count = 0
        self._last_progress_s = 0.0
        self._last_retry_s = 0.0
        self._assumed_service_s = self._rules.initial_service_s

    def __len__(self) -> int:
        return self._waiting_count

    @property
    def busy(self) -> int:
        """Number of requests that were sent and have not ended."""
        return self._busy

    @property
    def slots(self) -> int:
        """Number of requests that the upstream handles at the same time."""
        return self._slots

    @property
    def service_s(self) -> float:
        """Mean service time in seconds, or the assumed one."""
        return self._service_times.mean_s or self._assumed_service_s

    def wait_s(self, now_s: float, ahead: int | None = None) -> float:
        """Forecast how many seconds a ticket waits behind `ahead` waiting ones, by default all."""
        if self.is_stalled(now_s):
            return self._rules.stall_s + self.service_s
        requests_before = self._busy + (self._waiting_count if ahead is None else ahead)
        usable = self._usable_slots()
        return max(0, requests_before + 1 - usable) * self.service_s / usable

    def on_report(self, now_s: float, report: LoadReport) -> None:
        """Store the load that an answer of the upstream reported."""
        self._reported.on_report(now_s, report, self._busy)

    def forecast(self, now_s: float) -> tuple[float, float]:
        """Return the wait and service time in seconds that a new ticket can expect.

        Unlike the limits of this queue, it follows the reported load and pace, which may change
        before a ticket that waits gets its slot.
        """
        wait_s, service_s, usable = self.wait_s(now_s), self.service_s, self._usable_slots()
        others = self._reported.others(now_s, service_s)
        # Slots that are free by this VM's count may be taken by the requests of other senders.
        free = max(0, usable - self._busy - self._waiting_count - 1)
        wait_s += max(0.0, others - free) * service_s / usable
        factor = self._reported.pace_factor(now_s, wait_s + service_s)
        return wait_s * factor, service_s * factor

    def is_stalled(self, now_s: float) -> bool:
        """Return whether all slots are taken and no request has ended for too long."""
        limit_s = max(self._rules.stall_s, self._rules.stall_service_times * self.service_s)
        return self._busy >= self._usable_slots() and now_s - self._last_progress_s > limit_s

    def offer(self, now_s: float, ticket: Ticket) -> Admitted | Waiting | Refused:
        """Admit a ticket, let it wait, or refuse it."""
        target_latency_s = ticket.target_time_s - ticket.started_s
        self._assumed_service_s = min(
            self._assumed_service_s, self._rules.initial_service_share * target_latency_s
        )
        if self._busy == 0 and self._waiting_count == 0:
            return self._admit(now_s)
        position = self._position(now_s, ticket)
        wait_s = self.wait_s(now_s, self._count_ahead_of(position))
        refusal = self._refusal(now_s, ticket, wait_s)
        if refusal is not None:
            return refusal
        if self._waiting_count == 0 and self._busy < self._max_in_flight():
            return self._admit(now_s)
        ticket.wait_until_s = self._patience_end_s(now_s, ticket)
        heapq.heappush(self._waiting, (*position, next(self._sequence), ticket))
        self._waiting_count += 1
        return Waiting()

    def finish(self, now_s: float, service_s: float | None) -> None:
        """Free a slot; `service_s` is the service time in seconds, None if it is not known."""
        self._busy -= 1
        self._last_progress_s = now_s
        if service_s is not None:
            self._service_times.observe(service_s)

    def pop(self, now_s: float) -> Ticket | None:
        """Give a free slot to the next ticket; None if there is no slot or no ticket."""
        while self._waiting and self._busy < self._max_in_flight():
            _, was_late, _, _, ticket = heapq.heappop(self._waiting)
            if ticket.cancelled:
                continue
            position = self._position(now_s, ticket)
            if self._waiting_count > 1 and position[1] and not was_late:
                # It has become late while it waited, so others go first.
                heapq.heappush(self._waiting, (*position, next(self._sequence), ticket))
                continue
            self._waiting_count -= 1
            self._admit(now_s)
            return ticket
        return None

    def cancel(self, ticket: Ticket) -> None:
        """Remove a waiting ticket."""
        if not ticket.cancelled:
            ticket.cancelled = True
            self._waiting_count -= 1

    def drain(self) -> list[Ticket]:
        """Remove all waiting tickets and return them."""
        tickets = [entry[-1] for entry in self._waiting if not entry[-1].cancelled]
        self._waiting.clear()
        self._waiting_count = 0
        return tickets

    def can_finish(self, now_s: float, ticket: Ticket) -> bool:
        """Return whether a ticket that gets a slot now can be answered before its deadline."""
        return now_s + self._service_times.low_s < ticket.deadline_s

    def _max_in_flight(self) -> int:
        limit = self._limit()
        return self._slots + self._rules.prefetch if limit is None else min(limit, self._slots)

    def _usable_slots(self) -> int:
        return min(self._slots, self._max_in_flight())

    def _admit(self, now_s: float) -> Admitted:
        if self._busy == 0:
            self._last_progress_s = now_s
        self._busy += 1
        return Admitted()

    def _position(self, now_s: float, ticket: Ticket) -> tuple[int, bool, float]:
        return ticket.priority, self._is_late(now_s, ticket), ticket.started_s

    def _count_ahead_of(self, position: tuple[int, bool, float]) -> int:
        return sum(
            1 for entry in self._waiting if entry[:3] <= position and not entry[-1].cancelled
        )

    def _is_late(self, now_s: float, ticket: Ticket) -> bool:
        """Return whether a ticket would miss its target time even if it got a slot now."""
        return now_s + self._service_times.low_s > ticket.target_time_s

    def _patience_end_s(self, now_s: float, ticket: Ticket) -> float:
        """Return until when a ticket waits: a share of the time left once it is late."""
        late_from_s = max(now_s, ticket.target_time_s - self.service_s)
        return late_from_s + self._rules.late_wait_share * (ticket.deadline_s - late_from_s)

    def _refusal(self, now_s: float, ticket: Ticket, wait_s: float) -> Refused | None:
        service_s = self.service_s
        remaining_s = ticket.deadline_s - now_s
        if self._rules.wait_margin * wait_s + service_s > remaining_s:
            return self._refuse(now_s, Reason.DEADLINE_TOO_SHORT, wait_s)
        if self._busy < self._usable_slots() and self._waiting_count == 0:
            return None  # a refusal would leave the slot idle
        if now_s + service_s > ticket.target_time_s:
            # A late answer is worth less, so it waits only while the queue is short.
            if wait_s > max(
                self._rules.late_wait_share * remaining_s, service_s / self._usable_slots()
            ):
                return self._refuse(now_s, Reason.QUEUE_FULL, wait_s)
        elif now_s + self._rules.wait_margin * (wait_s + service_s) > ticket.target_time_s:
            return self._refuse(now_s, Reason.QUEUE_FULL, wait_s)
        return None

    def _refuse(self, now_s: float, reason: Reason, wait_s: float) -> Refused:
        """Refuse with an estimate of when a retry may succeed, a later one for each refusal."""
        slot_interval_s = self.service_s / self._usable_slots()
        self._last_retry_s = max(self._last_retry_s + slot_interval_s, now_s + wait_s)
        return Refused(reason, max(self._rules.min_retry_after_s, self._last_retry_s - now_s))
