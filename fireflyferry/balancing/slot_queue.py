"""Queue of one upstream at its last hop: exact slots, order, forecast and refusal."""

import heapq
import itertools

import attrs

from fireflyferry.admission import ServiceTimes
from fireflyferry.telemetry import Reason

__all__ = ["Admitted", "QueueRules", "Refused", "SlotQueue", "Ticket", "Waiting"]


@attrs.frozen
class QueueRules:
    """Limits of a queue.

    `ahead` requests may wait inside the upstream, so that a slot does not stand idle while an
    answer travels. `first_service_s` is taken for the service time until one was observed.
    An upstream that has answered nothing for `stall_services` mean service times, and at least
    `stall_s`, although its slots are taken, counts as stalled.
    """

    ahead: int = 1
    margin: float = 1.25  # on forecasts; without it 30% of what was admitted came late
    first_service_s: float = 0.2
    late_wait: float = 0.35  # part of the time left that a request past its objective may wait
    stall_s: float = 1.0
    stall_services: float = 6.0
    least_retry_s: float = 0.05


@attrs.define(eq=False)
class Ticket:
    """A request that needs a slot; times in seconds on the VM's clock.

    `started_s` is when the caller first asked, which is earlier than now for one that came back.
    """

    priority: int
    started_s: float
    target_time_s: float
    deadline_s: float
    returned: bool = False
    cancelled: bool = attrs.field(default=False, init=False)


@attrs.frozen
class Admitted:
    """The ticket holds a slot."""


@attrs.frozen
class Waiting:
    """The ticket waits for a slot."""


@attrs.frozen
class Refused:
    """The ticket is refused; there will be room after `retry_after_s`."""

    reason: Reason
    retry_after_s: float


class SlotQueue:
    """Tickets in order of priority, then of the time at which their callers first asked."""

    def __init__(self, slots: int, rules: QueueRules | None = None):
        self._slots = max(1, slots)
        self._rules = rules or QueueRules()
        self._busy = 0
        self._times = ServiceTimes()
        self._waiting: list[tuple[int, float, int, Ticket]] = []
        self._order = itertools.count()
        self._live = 0
        self._progress_s = 0.0
        self._promised_s = 0.0

    def __len__(self) -> int:
        return self._live

    @property
    def busy(self) -> int:
        """Requests that were sent and are not answered."""
        return self._busy

    @property
    def slots(self) -> int:
        """Requests that the upstream works on at the same time."""
        return self._slots

    @property
    def service_s(self) -> float:
        """Mean time that the upstream works on a request."""
        return self._times.mean_s or self._rules.first_service_s

    def wait_s(self, now_s: float, ahead: int | None = None) -> float:
        """Forecast how long a new ticket waits behind `ahead` others, by default all."""
        if self.is_stalled(now_s):
            return self._rules.stall_s + self.service_s
        before = self._busy + (self._live if ahead is None else ahead)
        return max(0, before + 1 - self._slots) * self.service_s / self._slots

    def is_stalled(self, now_s: float) -> bool:
        """Tell whether the upstream's slots are taken and nothing has ended for long."""
        limit_s = max(self._rules.stall_s, self._rules.stall_services * self.service_s)
        return self._busy >= self._slots and now_s - self._progress_s > limit_s

    def offer(self, now_s: float, ticket: Ticket) -> Admitted | Waiting | Refused:
        """Admit a ticket, let it wait, or refuse it."""
        if self._busy == 0 and self._live == 0:
            return self._admit(now_s)
        wait_s = self.wait_s(now_s, self._ahead_of(ticket))
        refusal = self._refusal(now_s, ticket, wait_s)
        if refusal is not None:
            return refusal
        if self._live == 0 and self._busy < self._limit():
            return self._admit(now_s)
        heapq.heappush(
            self._waiting, (ticket.priority, ticket.started_s, next(self._order), ticket)
        )
        self._live += 1
        return Waiting()

    def finish(self, now_s: float, service_s: float | None) -> None:
        """Free a slot; `service_s` is how long it was held, None if that says nothing."""
        self._busy -= 1
        self._progress_s = now_s
        if service_s is not None:
            self._times.observe(service_s)

    def pop(self, now_s: float) -> Ticket | None:
        """Give a free slot to the next ticket; None if there is no slot or no ticket."""
        while self._waiting and self._busy < self._limit():
            ticket = heapq.heappop(self._waiting)[-1]
            if ticket.cancelled:
                continue
            self._live -= 1
            self._admit(now_s)
            return ticket
        return None

    def cancel(self, ticket: Ticket) -> None:
        """Remove a ticket that waits."""
        if not ticket.cancelled:
            ticket.cancelled = True
            self._live -= 1

    def drain(self) -> list[Ticket]:
        """Remove all tickets that wait."""
        tickets = [entry[-1] for entry in self._waiting if not entry[-1].cancelled]
        self._waiting.clear()
        self._live = 0
        return tickets

    def can_finish(self, now_s: float, ticket: Ticket) -> bool:
        """Tell whether a ticket that gets a slot now is probably answered in time."""
        return now_s + self._times.low_s < ticket.deadline_s

    def _limit(self) -> int:
        return self._slots + self._rules.ahead

    def _admit(self, now_s: float) -> Admitted:
        if self._busy == 0:
            self._progress_s = now_s
        self._busy += 1
        return Admitted()

    def _ahead_of(self, ticket: Ticket) -> int:
        place = (ticket.priority, ticket.started_s)
        return sum(1 for entry in self._waiting if entry[:2] <= place and not entry[-1].cancelled)

    def _refusal(self, now_s: float, ticket: Ticket, wait_s: float) -> Refused | None:
        service_s = self.service_s
        left_s = ticket.deadline_s - now_s
        if self._rules.margin * wait_s + service_s > left_s:
            return self._refused(now_s, Reason.DEADLINE_TOO_SHORT, wait_s)
        if ticket.returned or now_s + service_s > ticket.target_time_s:
            # Its full worth is lost already, so it only waits as long as that harms no other.
            if wait_s > max(self._rules.late_wait * left_s, service_s / self._slots):
                return self._refused(now_s, Reason.QUEUE_FULL, wait_s)
        elif now_s + self._rules.margin * (wait_s + service_s) > ticket.target_time_s:
            return self._refused(now_s, Reason.QUEUE_FULL, wait_s)
        return None

    def _refused(self, now_s: float, reason: Reason, wait_s: float) -> Refused:
        """Name a time at which there is room, a later one for each refusal."""
        turn_s = self.service_s / self._slots
        self._promised_s = max(self._promised_s + turn_s, now_s + wait_s)
        return Refused(reason, max(self._rules.least_retry_s, self._promised_s - now_s))
