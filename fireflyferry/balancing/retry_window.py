"""Retry budget of one pool on one VM over a sliding window."""

import collections
from collections.abc import Callable

__all__ = ["SlidingRetryBudget"]


class SlidingRetryBudget:
    """Allows second sends up to a share of the requests that this VM received in the window.

    Shares of what each VM received itself add up to the share of all requests, however many VMs
    there are; `reserve` returns this VM's part of the allowance that does not depend on load.
    """

    def __init__(self, share: float, reserve: Callable[[], float], window_s: float):
        self._share = share
        self._base_allowance = reserve
        self._window_s = window_s
        self._held = 0
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def on_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)
        self._expire(now_s)

    def left(self, now_s: float) -> float:
        """Return how many second sends are allowed now, beside those that are held."""
        self._expire(now_s)
        used = len(self._retries) + self._held
        return self._base_allowance() + self._share * len(self._requests) - used

    def try_spend(self, now_s: float) -> bool:
        """Take one second send if the budget covers it."""
        held = self.reserve(now_s)
        if held:
            self.spend_reserved(now_s)
        return held

    def reserve(self, now_s: float) -> bool:
        """Keep one second send for a request that may need it, if the budget covers it."""
        if self.left(now_s) < 1.0:
            return False
        self._held += 1
        return True

    def return_reserved(self) -> None:
        """Give back a second send that was held."""
        self._held -= 1

    def spend_reserved(self, now_s: float) -> None:
        """Take the second send that was held."""
        self._held -= 1
        self._retries.append(now_s)

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
