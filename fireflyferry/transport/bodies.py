"""Request body between the connection that receives it and the one that sends it."""

import asyncio
from collections.abc import Callable

__all__ = ["RequestBody"]


class RequestBody:
    """Chunks with backpressure; kept for a resend while they fit the replay limit.

    `length` is None for a chunked body. `read` returns None while nothing is available, and
    empty bytes at the end.
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
        self._space: asyncio.Future[None] | None = None
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
        """Whether the body, as far as it is known, is short enough to be kept."""
        return max(self.length or 0, self._received) <= self._replay_bytes

    @property
    def unread_bytes(self) -> int:
        """Bytes received and not yet read."""
        return self._unread

    def feed(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Add a chunk; the returned future is resolved when there is space for more."""
        self._received += len(chunk)
        if self._discarding:
            return None
        self._chunks.append(chunk)
        self._unread += len(chunk)
        if self.on_data is not None:
            self.on_data()
        if self._unread <= self._window_bytes:
            return None
        self._space = asyncio.get_running_loop().create_future()
        return self._space

    def end(self) -> None:
        """Mark the body as complete."""
        self._ended = True
        if self.on_data is not None:
            self.on_data()

    def read(self, size: int) -> bytes | None:
        """Take up to `size` bytes."""
        if self._index >= len(self._chunks):
            return b"" if self._ended else None
        chunk = self._chunks[self._index]
        data = chunk[self._offset : self._offset + size] if self._offset else chunk[:size]
        self._offset += len(data)
        self._unread -= len(data)
        if self._offset >= len(chunk):
            self._offset = 0
            self._advance()
        if self._space is not None and self._unread <= self._window_bytes // 2:
            self._release_space()
        return data

    def rewind(self) -> bool:
        """Start again at the first byte; False when parts are no longer kept."""
        if self._dropped:
            return False
        self._index = self._offset = 0
        self._unread = self._received
        return True

    def discard(self) -> None:
        """Drop what was and will be received."""
        self._discarding = self._dropped = True
        self._chunks.clear()
        self._index = self._offset = self._unread = 0
        self.on_data = None
        self._release_space()

    def _advance(self) -> None:
        if not self._dropped and self._received <= self._replay_bytes:
            self._index += 1
            return
        self._dropped = True
        del self._chunks[: self._index + 1]
        self._index = 0

    def _release_space(self) -> None:
        space, self._space = self._space, None
        if space is not None and not space.done():
            space.set_result(None)
