"""Upstreams that want no requests for a time, and the steps in which load returns to them."""

import re
from collections.abc import Container, Iterable

import attrs

from fireflyferry.keyranges import UpstreamRun

__all__ = ["QuietPeriods", "read_retry_after"]

MAX_QUIET_S = 3600.0  # a mistaken value does not take an upstream out for good
_SECONDS = re.compile(r"[0-9]+(\.[0-9]*)?")


def read_retry_after(values: Iterable[str]) -> float:
    """Return the longest of the Retry-After values in seconds, at most `MAX_QUIET_S`.

    Dates and values that are not a number of seconds count as 0.
    """
    stripped = (value.strip() for value in values)
    seconds = (float(value) for value in stripped if _SECONDS.fullmatch(value))
    return min(MAX_QUIET_S, max(seconds, default=0.0))


@attrs.define
class _Period:
    until_s: float
    limit: int = 1


@attrs.define
class QuietPeriods:
    """Quiet period of each incarnation of an upstream; times in seconds.

    After a period one request may be in flight, then twice as many with each answer.
    """

    _periods: dict[UpstreamRun, _Period] = attrs.field(factory=dict, init=False)

    def begin(self, now_s: float, run: UpstreamRun, quiet_s: float) -> bool:
        """Begin or prolong a period, never shorten it; return whether it ends later than known."""
        known = self._periods.get(run)
        until_s = now_s + quiet_s
        if quiet_s <= 0.0 or (known is not None and until_s <= known.until_s):
            return False
        self._periods[run] = _Period(until_s)
        return True

    def left_s(self, now_s: float, run: UpstreamRun) -> float:
        """Return how many seconds are left of a period; 0 outside of one."""
        period = self._periods.get(run)
        return max(0.0, period.until_s - now_s) if period is not None else 0.0

    def limit(self, run: UpstreamRun) -> int | None:
        """Return how many requests may be in flight; None if only the slots limit them."""
        period = self._periods.get(run)
        return period.limit if period is not None else None

    def on_answer(self, run: UpstreamRun, sent_s: float, slots: int) -> None:
        """Raise the limit after an answer to a request that was sent after the period."""
        period = self._periods.get(run)
        if period is None or sent_s < period.until_s:
            return
        period.limit *= 2
        if period.limit > slots:
            del self._periods[run]

    def retain(self, known: Container[UpstreamRun]) -> None:
        """Forget the periods of all incarnations but the known ones."""
        self._periods = {run: each for run, each in self._periods.items() if run in known}
