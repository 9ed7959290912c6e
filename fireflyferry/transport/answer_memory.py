"""Memory for answers that are collected before they are passed on."""

import attrs

__all__ = ["AnswerMemory"]


ANSWER_SHARE = 1 / 16  # of the VM's memory, for one answer
TOTAL_SHARE = 1 / 4


@attrs.define
class AnswerMemory:
    """Limits, in bytes, of one answer and of all answers that are being collected.

    An upstream may send without end. Without a limit for all answers, a few of them would take the
    memory of the VM, and the process would be killed with all its requests.
    """

    max_answer_bytes: int = 8 << 20
    max_total_bytes: int = 48 << 20
    _used_bytes: int = attrs.field(default=0, init=False)

    @classmethod
    def of_vm(cls, memory_mb: float) -> "AnswerMemory":
        """Return the limits for a VM with `memory_mb` megabytes."""
        memory_bytes = memory_mb * 1e6
        return cls(int(ANSWER_SHARE * memory_bytes), int(TOTAL_SHARE * memory_bytes))

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
        if self._used_bytes + size_bytes > self.max_total_bytes:
            return False
        self._used_bytes += size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """Give back the memory of an answer."""
        self._used_bytes -= size_bytes
