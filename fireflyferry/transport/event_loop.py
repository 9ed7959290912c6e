"""Event loop that asks the kernel for I/O less often than asyncio's default."""

import asyncio
import selectors

__all__ = ["ReadyFirstSelector", "new_event_loop"]

# Rounds of ready callbacks after which I/O is polled at the latest, so that callbacks which keep
# scheduling others cannot hold back sockets.
MAX_ROUNDS_WITHOUT_POLL = 16


class ReadyFirstSelector(selectors.DefaultSelector):
    """Selector that skips polls which would not wait.

    asyncio polls before each round of callbacks, with a timeout of 0 if callbacks are ready. The
    tasks and futures of one request take about ten rounds, so two thirds of all polls found
    nothing.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready sockets, or none if the caller would not wait for them."""
        if timeout is not None and timeout <= 0 and self._skipped < MAX_ROUNDS_WITHOUT_POLL:
            self._skipped += 1
            return []
        self._skipped = 0
        return super().select(timeout)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop with the selector above."""
    return asyncio.SelectorEventLoop(ReadyFirstSelector())
