"""Times at which the event loop of the soak did not run."""

import asyncio
import collections
import itertools
import time

__all__ = ["StallMonitor"]

INTERVAL_S = 0.05
MIN_STALL_S = 0.2


class StallMonitor:
    """Watches the event loop, on a machine that may be busy."""

    def __init__(self) -> None:
        self._ticks_s: collections.deque[float] = collections.deque(maxlen=3)
        self.longest_s = 0.0

    async def run(self) -> None:
        """Watch without end."""
        while True:
            self.tick(time.monotonic())
            await asyncio.sleep(INTERVAL_S)

    def tick(self, now_s: float) -> None:
        """Record that the event loop runs."""
        if self._ticks_s:
            self.longest_s = max(self.longest_s, now_s - self._ticks_s[-1] - INTERVAL_S)
        self._ticks_s.append(now_s)

    def earliest_arrival_s(self, now_s: float) -> float:
        """Return the earliest time at which a call that is read now may have arrived.

        A call that arrived during a stall is read after it, and its sender counts from before.
        """
        times_s = [*self._ticks_s, now_s]
        for before_s, after_s in itertools.pairwise(times_s):
            if after_s - before_s > MIN_STALL_S:
                return before_s
        return now_s
