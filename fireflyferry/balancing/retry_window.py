"""Retry budget of one pool on one VM over a sliding window."""

import collections
from collections.abc import Callable

__all__ = ["SlidingRetryBudget"]


class SlidingRetryBudget:
    """Allows retries up to a share of the requests that this VM received in the window.

    Each VM counts only requests that it received itself, so all VMs together keep to the share of
    all requests. `base_allowance` returns the retries that this VM may make regardless of its load.
    """

    def __init__(self, share: float, base_allowance: Callable[[], float], window_s: float):
        self._share = share
        self._base_allowance = base_allowance
        self._window_s = window_s
        self._reserved = 0
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def on_request(self, now_s: float) -> None:
        """Count a request received from a caller."""
        self._requests.append(now_s)
        self._expire(now_s)

    def left(self, now_s: float) -> float:
        """Return how many more retries are allowed now, not counting those that are reserved."""
        self._expire(now_s)
        committed = len(self._retries) + self._reserved
        return self._base_allowance() + self._share * len(self._requests) - committed

    def try_spend(self, now_s: float) -> bool:
        """Spend one retry if the budget covers it; return whether it does."""
        is_reserved = self.reserve(now_s)
        if is_reserved:
            self.spend_reserved(now_s)
        return is_reserved

    def reserve(self, now_s: float) -> bool:
        """Reserve one retry for a request that may need it; return whether the budget covers it."""
        if self.left(now_s) < 1.0:
            return False
        self._reserved += 1
        return True

    def return_reserved(self) -> None:
        """Return a reserved retry to the budget."""
        self._reserved -= 1

    def spend_reserved(self, now_s: float) -> None:
        """Spend a reserved retry."""
        self._reserved -= 1
        self._retries.append(now_s)

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
