"""Turns of connections whose bytes arrive in many small parts.

Each part, and each line of a head, costs processor time, whatever its size. A connection may read
some parts freely, and more for the bytes that it brings. Beyond that it draws on an allowance that
all connections share, and then waits for its turn, so that the others keep most of the event loop.
"""

import asyncio
import collections
import time
from collections.abc import Callable

import attrs

__all__ = ["ReadCost", "ReadTurns", "SharedAllowance"]

# Parts that one message may have. Ordinary requests arrive in fewer.
FREE_PARTS = 64
BYTES_PER_PART = 512  # pay for one part
# A line of a head costs about half as much as a chunk. Ordinary heads have fewer lines.
FREE_HEAD_LINES = 64
HEAD_LINES_PER_PART = 2
# Parts of all connections beyond these. A body of 360 KB in chunks of 100 bytes has 2,900 of them.
SHARED_PARTS = 4_096
SHARED_PARTS_PER_S = 2_000.0
TURN_PARTS = 64  # some milliseconds of processor time
# Between two turns, which leaves most of the loop to others on a fast machine and half of it on one
# that needs this long for a turn.
TURN_INTERVAL_S = 0.01


@attrs.define
class SharedAllowance:
    """Parts that all connections may read beyond what each has of its own; times in seconds."""

    _left: float = SHARED_PARTS
    _filled_s: float = 0.0

    def take(self, now_s: float, parts: float = 1.0) -> bool:
        """Take some parts; return False if fewer are left."""
        filled = self._left + (now_s - self._filled_s) * SHARED_PARTS_PER_S
        self._left, self._filled_s = min(float(SHARED_PARTS), filled), now_s
        if self._left < parts:
            return False
        self._left -= parts
        return True


@attrs.define
class ReadCost:
    """Parts and bytes of the message that a connection reads."""

    _parts: int = 0
    _bytes: int = 0
    _granted: float = FREE_PARTS

    @property
    def excess(self) -> float:
        """Parts of the message beyond those that its bytes and grants allow."""
        return max(0.0, self._parts - self._granted - self._bytes / BYTES_PER_PART)

    def begin(self) -> None:
        """Begin the next message."""
        self._parts = self._bytes = 0
        self._granted = FREE_PARTS

    def add(self, parts: int, size_bytes: int = 0) -> None:
        """Count parts and bytes."""
        self._parts += parts
        self._bytes += size_bytes

    def add_head(self, lines: int) -> None:
        """Count the lines of a head."""
        self._parts += max(0, lines - FREE_HEAD_LINES) // HEAD_LINES_PER_PART

    def grant(self, parts: float) -> None:
        """Allow more parts."""
        self._granted += parts


@attrs.frozen
class _Waiting:
    """A connection that waits for its turn."""

    turn: "asyncio.Future[None]"
    has_left: Callable[[], bool]


class ReadTurns:
    """Gives turns to connections that exceed their cost, one after the other."""

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        self._now_s = now_s
        self._allowance = SharedAllowance(filled_s=now_s())
        self._waiting: collections.deque[_Waiting] = collections.deque()
        self._task: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> int:
        """Connections that wait for a turn."""
        return len(self._waiting)

    def may_read(self, cost: ReadCost) -> bool:
        """Return whether a connection may read its next part now."""
        excess = cost.excess
        if not excess:
            return True
        if self._waiting or not self._allowance.take(self._now_s(), excess):
            return False
        cost.grant(excess)
        return True

    def wait(self, has_left: Callable[[], bool] = lambda: False) -> "asyncio.Future[None]":
        """Return a future that is done when it is the turn of a connection, or when it has left."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(turn, has_left))
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._give_turns())
        return turn

    async def _give_turns(self) -> None:
        while self._waiting:
            self._forget_left()
            if not self._waiting:
                return
            self._waiting.popleft().turn.set_result(None)
            # The connection reads in the next rounds of the loop; the interval begins after it.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            await asyncio.sleep(TURN_INTERVAL_S)

    def _forget_left(self) -> None:
        """Remove connections that were closed or reset, which is not noticed while none reads."""
        for each in self._waiting:
            if not each.turn.done() and each.has_left():
                each.turn.set_result(None)
        self._waiting = collections.deque(each for each in self._waiting if not each.turn.done())
