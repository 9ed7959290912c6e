"""Running estimate of how long an upstream works on a request."""

__all__ = ["ServiceTimes"]


class ServiceTimes:
    """Exponentially weighted mean and mean deviation, in seconds."""

    def __init__(self, weight: float = 0.1):
        self._weight = weight
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    @property
    def mean_s(self) -> float:
        """Mean time in seconds; 0 before the first observation."""
        return self._mean_s or 0.0

    @property
    def low_s(self) -> float:
        """Time in seconds that most requests need at least."""
        return max(0.0, self.mean_s - 2.0 * self._deviation_s)

    def observe(self, service_s: float) -> None:
        """Add one observation in seconds."""
        if self._mean_s is None:
            self._mean_s = service_s
            return
        error_s = service_s - self._mean_s
        self._mean_s += self._weight * error_s
        self._deviation_s += self._weight * (abs(error_s) - self._deviation_s)
