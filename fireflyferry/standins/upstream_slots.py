"""Execution slots of an upstream stand-in, with a bounded queue."""

import asyncio
import collections

__all__ = ["Slots"]


class Slots:
    """Limits the requests that run at once; requests beyond `max_waiting` waiting ones are shed."""

    def __init__(self, count: int, max_waiting: int) -> None:
        self._count = count
        self._max_waiting = max_waiting
        self._running = 0
        self._peak_offered = 0
        self._waiting: collections.deque[asyncio.Future] = collections.deque()

    @property
    def count(self) -> int:
        """Number of slots."""
        return self._count

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(not future.done() for future in self._waiting)

    @property
    def peak_offered(self) -> int:
        """Highest number of running and waiting requests; above `count`, callers sent too many."""
        return self._peak_offered

    async def acquire(self) -> bool:
        """Wait for a slot and return whether one was obtained; False if the queue is full."""
        self._peak_offered = max(self._peak_offered, self._running + self.waiting + 1)
        if self._running < self._count:
            self._running += 1
            return True
        if self.waiting >= self._max_waiting:
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
