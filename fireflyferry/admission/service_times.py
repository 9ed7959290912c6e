"""Running estimate of how long an upstream works on a request."""

__all__ = ["ServiceTimes"]


class ServiceTimes:
    """Weighted mean, and a low estimate that falls at once and rises slowly; in seconds.

    The low estimate decides whether work can finish at all. One from mean and deviation refused
    most work when the process itself was short of processor time.
    """

    def __init__(self, weight: float = 0.1, rise: float = 0.01):
        self._weight = weight
        self._rise = rise
        self._mean_s: float | None = None
        self._low_s = 0.0

    @property
    def mean_s(self) -> float:
        """Mean time in seconds; 0 before the first observation."""
        return self._mean_s or 0.0

    @property
    def low_s(self) -> float:
        """Time in seconds that nearly all requests need at least."""
        return self._low_s

    def observe(self, service_s: float) -> None:
        """Add one observation in seconds."""
        if self._mean_s is None:
            self._mean_s = self._low_s = service_s
            return
        self._mean_s += self._weight * (service_s - self._mean_s)
        self._low_s = min(service_s, self._low_s + self._rise * (service_s - self._low_s))
