"""Retry budget of one pool on one VM over a sliding window."""

import collections
from collections.abc import Callable

__all__ = ["RetryWindow"]


class RetryWindow:
    """Allows second sends up to a share of the requests that this VM received in the window.

    Shares of what each VM received itself add up to the share of all requests, however many VMs
    there are; `reserve` returns this VM's part of the allowance that does not depend on load.
    """

    def __init__(self, share: float, reserve: Callable[[], float], window_s: float):
        self._share = share
        self._reserve = reserve
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def on_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)
        self._expire(now_s)

    def left(self, now_s: float) -> float:
        """Return how many second sends are allowed now."""
        self._expire(now_s)
        return self._reserve() + self._share * len(self._requests) - len(self._retries)

    def try_spend(self, now_s: float) -> bool:
        """Take one second send if the budget covers it."""
        if self.left(now_s) < 1.0:
            return False
        self._retries.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
