"""Memory of this process as the kernel sees it, and memory that the allocator can return."""

import abc
import contextlib
import ctypes
import gc
import os

__all__ = ["LinuxProcessMemory", "ProcessMemory", "UnknownProcessMemory", "make_process_memory"]

STATM_PATH = "/proc/self/statm"


class ProcessMemory(abc.ABC):
    """Resident memory of a process."""

    @abc.abstractmethod
    def resident_bytes(self) -> int:
        """Return the resident memory in bytes; 0 if it is not known."""

    @abc.abstractmethod
    def trim(self) -> None:
        """Return free memory of the allocator to the kernel."""

    def collect(self) -> None:
        """Free objects that refer to each other and that nothing else refers to."""
        gc.collect()


class UnknownProcessMemory(ProcessMemory):
    """Process memory on a system that does not tell it."""

    def resident_bytes(self) -> int:
        """Return 0."""
        return 0

    def trim(self) -> None:
        """Do nothing."""


class LinuxProcessMemory(ProcessMemory):
    """Process memory from the proc file system, with the allocator of glibc if it is used."""

    def __init__(self) -> None:
        self._statm = os.open(STATM_PATH, os.O_RDONLY)
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        self._malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)

    def __del__(self) -> None:
        with contextlib.suppress(AttributeError, OSError):
            os.close(self._statm)

    def resident_bytes(self) -> int:
        """Return the resident memory in bytes."""
        return int(os.pread(self._statm, 128, 0).split()[1]) * self._page_bytes

    def trim(self) -> None:
        """Return free memory of the allocator to the kernel."""
        if self._malloc_trim is not None:
            self._malloc_trim(0)


def make_process_memory() -> ProcessMemory:
    """Return the memory of this process as far as the system tells it."""
    try:
        return LinuxProcessMemory()
    except OSError:
        return UnknownProcessMemory()
