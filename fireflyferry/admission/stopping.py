"""Requests that a program may still take while it stops, without an open outcome at its exit."""

import attrs

__all__ = ["StopPlan", "is_probably_answered"]

# 99% of answers take less than this many mean service times.
SERVICE_TIMES = 4.0


@attrs.define(eq=False)
class StopPlan:
    """Limits of the deadlines of new requests; times in seconds on the program's clock.

    No request may end after `answer_by_s`. A request with a later deadline that was received before
    `cut_until_s` is taken with one that is cut. Both are infinite while the program does not stop.
    """

    cut_until_s: float = float("inf")
    answer_by_s: float = float("inf")

    @property
    def is_stopping(self) -> bool:
        """Return whether the program has begun to stop."""
        return self.answer_by_s < float("inf")

    def deadline_s(self, received_s: float, deadline_s: float) -> float | None:
        """Return the deadline to use for a request, or None if it must be refused."""
        if deadline_s <= self.answer_by_s:
            return deadline_s
        return self.answer_by_s if received_s < min(self.cut_until_s, self.answer_by_s) else None


def is_probably_answered(left_s: float, wait_s: float, service_s: float) -> bool:
    """Return whether an answer is expected in the time left, given the mean service time.

    All times are in seconds.
    """
    return wait_s + SERVICE_TIMES * service_s <= left_s
