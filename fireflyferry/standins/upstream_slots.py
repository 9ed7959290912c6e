"""Slots of an upstream stand-in with a short waiting line."""

import asyncio
import collections

__all__ = ["Slots"]


class Slots:
    """Counts running requests exactly; more than `waiting_limit` waiting requests are shed."""

    def __init__(self, count: int, waiting_limit: int) -> None:
        self._count = count
        self._waiting_limit = waiting_limit
        self._running = 0
        self._peak_offered = 0
        self._waiting: collections.deque[asyncio.Future] = collections.deque()

    @property
    def count(self) -> int:
        """Number of slots."""
        return self._count

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return sum(not future.done() for future in self._waiting)

    @property
    def peak_offered(self) -> int:
        """Most requests present at once; above `count`, the caller exceeded the slots."""
        return self._peak_offered

    async def acquire(self) -> bool:
        """Wait for a slot; False if the waiting line is full."""
        self._peak_offered = max(self._peak_offered, self._running + self.waiting + 1)
        if self._running < self._count:
            self._running += 1
            return True
        if self.waiting >= self._waiting_limit:
            return False
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        await future
        return True

    def release(self) -> None:
        """Pass the slot to the oldest waiting request, or free it."""
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                future.set_result(None)
                return
        self._running -= 1
