"""Clock of the operating system."""

import time

from fireflyferry.edges.base import Clock

__all__ = ["BootClock", "SystemClock"]


class SystemClock(Clock):
    """Monotonic and wall time of this machine."""

    def monotonic_s(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


class BootClock(SystemClock):
    """System clock whose monotonic time keeps running while the VM is suspended."""

    def monotonic_s(self) -> float:
        """Return seconds since the VM started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
