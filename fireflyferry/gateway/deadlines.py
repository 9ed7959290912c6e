"""Estimates how long ago callers first sent their requests, from the deadlines that they name."""

import bisect
import collections

import attrs

__all__ = ["DeadlineRules", "RouteDeadlines"]


@attrs.frozen
class DeadlineRules:
    """Parameters of the estimate.

    Callers of one route name deadlines that differ by up to `spread`, as a share of the longest
    one. The longest is taken from the last `window` requests of a route, without the share
    `outliers` of them, so that a single caller with a longer deadline does not count.
    """

    spread: float = 0.18
    window: int = 64
    outliers: float = 0.1


@attrs.define
class _RecentDeadlines:
    """Deadlines in milliseconds of the last requests of one route, by arrival and by length."""

    arrived: collections.deque[int] = attrs.field(factory=collections.deque)
    ordered: list[int] = attrs.field(factory=list)


class RouteDeadlines:
    """Recent deadlines of each route's requests.

    A caller that was refused and comes back names what is left of its first deadline. Since callers
    also choose different deadlines, only one that is shorter than all first ones shows a retry.
    """

    def __init__(self, rules: DeadlineRules | None = None):
        self._rules = rules or DeadlineRules()
        self._routes: dict[str, _RecentDeadlines] = {}

    def request_age_s(self, route: str, deadline_ms: int) -> float:
        """Record a deadline; return the seconds since the caller first sent the request.

        Returns 0 for a request that may be the caller's first.
        """
        longest_ms = self._record(route, deadline_ms)
        if deadline_ms >= (1 - self._rules.spread) * longest_ms:
            return 0.0
        mean_first_ms = (1 - self._rules.spread / 2) * longest_ms
        return (mean_first_ms - deadline_ms) / 1000

    def _record(self, route: str, deadline_ms: int) -> int:
        """Record a deadline; return the longest recent one of the route without the outliers."""
        recent = self._routes.setdefault(route, _RecentDeadlines())
        recent.arrived.append(deadline_ms)
        bisect.insort(recent.ordered, deadline_ms)
        if len(recent.arrived) > self._rules.window:
            oldest = recent.arrived.popleft()
            del recent.ordered[bisect.bisect_left(recent.ordered, oldest)]
        return recent.ordered[int((len(recent.ordered) - 1) * (1 - self._rules.outliers))]
