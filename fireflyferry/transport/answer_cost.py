"""Limits on the work that receiving one answer may cost."""

import attrs

__all__ = ["AnswerCost"]

MAX_INTERIM_HEADS = 10  # as many as Tornado's client accepts
MAX_HEAD_BYTES = 65_536  # Tornado's limit of one head
MAX_HEAD_LINES = 256

# A body may arrive in this many pieces, in one more for each page of memory that it fills and for
# each so many seconds. A piece costs a call, and 10,000 chunks of one byte fit in one read.
FREE_PIECES = 2_048
BYTES_PER_PIECE = 4_096
S_PER_PIECE = 0.0002

# curl may handle a transfer this often, once more for each so many bytes of bodies and for each so
# many seconds. Steps in a row that transfer nothing have a limit of their own: curl reads
# extensions of chunks, which may be endless, without any other call.
FREE_STEPS = 256
BYTES_PER_STEP = 1_024
S_PER_STEP = 0.001
FREE_EMPTY_STEPS = 32
S_PER_EMPTY_STEP = 0.005

# Bytes of the answer that are not of its body: heads, trailers, and sizes and extensions of chunks,
# which curl drops. A chunk of one byte needs 5 bytes for its size and line breaks. They are
# compared at every so many steps, since the kernel is asked for them; one step reads 16 KB or less.
FREE_FRAMING_BYTES = 262_144
FRAMING_PER_BODY_BYTE = 8
STEPS_PER_COMPARISON = 8


@attrs.define
class AnswerCost:
    """Counts what one answer consists of: lines of heads and trailers, pieces of the body, steps.

    Methods return False if a limit is exceeded; then the answer has to be ended. Times are in
    seconds.
    """

    _started_s: float
    _interim_heads: int = 0
    _head_lines: int = 0
    _head_bytes: int = 0
    _pieces: int = 0
    _body_bytes: int = 0
    _steps: int = 0
    _empty_steps: int = 0
    _all_steps: int = 0
    _transferred_bytes: float = 0.0
    _transferred_at_s: float = attrs.field(
        default=attrs.Factory(lambda self: self._started_s, takes_self=True)
    )

    def add_line(self, size_bytes: int) -> bool:
        """Count a line of a head or trailer."""
        self._head_lines += 1
        self._head_bytes += size_bytes
        return self._head_lines <= MAX_HEAD_LINES and self._head_bytes <= MAX_HEAD_BYTES

    def add_interim_head(self) -> bool:
        """Count a complete interim head."""
        self._interim_heads += 1
        return self._interim_heads <= MAX_INTERIM_HEADS

    def add_piece(self, size_bytes: int, now_s: float) -> bool:
        """Count a piece of the body."""
        self._pieces += 1
        self._body_bytes += size_bytes
        allowed = FREE_PIECES + self._body_bytes / BYTES_PER_PIECE
        return self._pieces <= allowed + (now_s - self._started_s) / S_PER_PIECE

    def add_step(self, transferred_bytes: float, now_s: float) -> bool:
        """Count a step of the transfer, up to which this many bytes of bodies were transferred."""
        self._all_steps += 1
        if transferred_bytes == self._transferred_bytes:
            self._empty_steps += 1
            idle_s = now_s - self._transferred_at_s
            return self._empty_steps <= FREE_EMPTY_STEPS + idle_s / S_PER_EMPTY_STEP
        self._transferred_bytes, self._transferred_at_s = transferred_bytes, now_s
        self._empty_steps = 0
        self._steps += 1
        allowed = FREE_STEPS + transferred_bytes / BYTES_PER_STEP
        return self._steps <= allowed + (now_s - self._started_s) / S_PER_STEP

    def is_framing_due(self) -> bool:
        """Return whether `allows_read` should be called after this step."""
        return self._all_steps % STEPS_PER_COMPARISON == 0

    def allows_read(self, read_bytes: int, body_bytes: int) -> bool:
        """Compare the bytes that were read of the answer with those of its body."""
        allowed = FREE_FRAMING_BYTES + body_bytes * (1 + FRAMING_PER_BODY_BYTE)
        return read_bytes <= allowed
