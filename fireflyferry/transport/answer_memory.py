"""Memory for answers that are collected before they are passed on."""

from collections.abc import Callable

import attrs

__all__ = ["AnswerMemory"]


ANSWER_SHARE = 1 / 16  # of the VM's memory, for one answer
TOTAL_SHARE = 1 / 4
LONG_SHARE = 1 / 8  # for all long answers together, so that a few of them leave room for short ones
SMALL_BYTES = 1 << 16  # ordinary answers, which are collected whatever else the process holds
SHORT_BYTES = 1 << 20  # largest page of a list of the platform's store


@attrs.define
class AnswerMemory:
    """Limits, in bytes, of one answer, of all that are being collected, and of the long ones.

    An upstream may send without end. Without a limit for all answers, a few of them would take the
    memory of the VM, and the process would be killed with all its requests. An answer is long once
    it exceeds `SHORT_BYTES`.
    """

    max_answer_bytes: int = 8 << 20
    max_total_bytes: int = 48 << 20
    max_long_bytes: int = 24 << 20
    # Answers that their readers have not taken yet are part of the total.
    unread_bytes: int = attrs.field(default=0, init=False)
    make_room: Callable[[int], None] = attrs.field(default=lambda size: None, init=False)
    # Whether the process, with all its parts, leaves room for more of an answer.
    fits_process: Callable[[int], bool] = attrs.field(default=lambda size: True, init=False)
    _used_bytes: int = attrs.field(default=0, init=False)
    _long_bytes: int = attrs.field(default=0, init=False)

    @classmethod
    def of_vm(cls, memory_mb: float) -> "AnswerMemory":
        """Return the limits for a VM with `memory_mb` megabytes."""
        memory_bytes = memory_mb * 1e6
        shares = (ANSWER_SHARE, TOTAL_SHARE, LONG_SHARE)
        return cls(*(int(share * memory_bytes) for share in shares))

    @property
    def used_bytes(self) -> int:
        """Bytes of the answers that are being collected."""
        return self._used_bytes

    def take(self, collected_bytes: int, size_bytes: int) -> bool:
        """Take memory for the next part of an answer of which `collected_bytes` are held.

        Returns False if a limit would be exceeded.
        """
        if collected_bytes + size_bytes > self.max_answer_bytes:
            return False
        missing = self._used_bytes + self.unread_bytes + size_bytes - self.max_total_bytes
        if missing > 0 and self.unread_bytes:
            self.make_room(missing)
        if self._used_bytes + self.unread_bytes + size_bytes > self.max_total_bytes:
            return False
        is_large = collected_bytes + size_bytes > SMALL_BYTES
        if is_large and not self.fits_process(size_bytes):
            return False
        became_long = _long_part(collected_bytes + size_bytes) - _long_part(collected_bytes)
        if became_long and self._long_bytes + became_long > self.max_long_bytes:
            return False
        self._used_bytes += size_bytes
        self._long_bytes += became_long
        return True

    def give_back(self, size_bytes: int) -> None:
        """Give back the memory of an answer."""
        self._used_bytes -= size_bytes
        self._long_bytes -= _long_part(size_bytes)


def _long_part(size_bytes: int) -> int:
    """Return how many bytes of an answer of this size count as those of a long one."""
    return size_bytes if size_bytes > SHORT_BYTES else 0
