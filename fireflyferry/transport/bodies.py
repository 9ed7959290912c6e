"""Request body on its way from the connection that receives it to the one that sends it."""

import asyncio
from collections.abc import Callable

__all__ = ["RequestBody"]


class RequestBody:
    """Request body in chunks, with backpressure.

    `length` is None for a chunked body. A body of at most `replay_bytes` is kept, so that it can
    be sent again. `window_bytes` is the number of unread bytes above which feeding has to wait.
    """

    def __init__(self, length: int | None, replay_bytes: int, window_bytes: int):
        self.length = length
        self._replay_bytes = replay_bytes
        self._window_bytes = window_bytes
        self._chunks: list[bytes] = []
        self._index = 0
        self._offset = 0
        self._received = 0
        self._unread = 0
        self._ended = False
        self._discarding = False
        self._dropped = False
        self._space_available: asyncio.Future[None] | None = None
        self.on_data: Callable[[], None] | None = None

    @property
    def received_bytes(self) -> int:
        """Bytes received so far."""
        return self._received

    @property
    def ended(self) -> bool:
        """Whether the whole body was received."""
        return self._ended

    @property
    def fits_replay(self) -> bool:
        """Whether the body, as far as its size is known, is short enough to be kept."""
        return max(self.length or 0, self._received) <= self._replay_bytes

    @property
    def unread_bytes(self) -> int:
        """Bytes received and not yet read."""
        return self._unread

    def feed(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Add a chunk; if a future is returned, wait for it before adding the next."""
        self._received += len(chunk)
        if self._discarding:
            return None
        self._chunks.append(chunk)
        self._unread += len(chunk)
        if self.on_data is not None:
            self.on_data()
        if self._unread <= self._window_bytes:
            return None
        self._space_available = asyncio.get_running_loop().create_future()
        return self._space_available

    def end(self) -> None:
        """Mark the body as complete."""
        self._ended = True
        if self.on_data is not None:
            self.on_data()

    def read(self, size: int) -> bytes | None:
        """Return up to `size` bytes; None while there are none, empty bytes at the end."""
        if self._index >= len(self._chunks):
            return b"" if self._ended else None
        chunk = self._chunks[self._index]
        data = chunk[self._offset : self._offset + size] if self._offset else chunk[:size]
        self._offset += len(data)
        self._unread -= len(data)
        if self._offset >= len(chunk):
            self._offset = 0
            self._advance()
        if self._space_available is not None and self._unread <= self._window_bytes // 2:
            self._signal_space()
        return data

    def rewind(self) -> bool:
        """Return to the first byte; False if a part of the body is no longer kept."""
        if self._dropped:
            return False
        self._index = self._offset = 0
        self._unread = self._received
        return True

    def discard(self) -> None:
        """Drop everything that was received, and what is received from now on."""
        self._discarding = self._dropped = True
        self._chunks.clear()
        self._index = self._offset = self._unread = 0
        self.on_data = None
        self._signal_space()

    def _advance(self) -> None:
        if not self._dropped and self._received <= self._replay_bytes:
            self._index += 1
            return
        self._dropped = True
        del self._chunks[: self._index + 1]
        self._index = 0

    def _signal_space(self) -> None:
        space, self._space_available = self._space_available, None
        if space is not None and not space.done():
            space.set_result(None)
