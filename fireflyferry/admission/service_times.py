"""Running estimates of the service time of an upstream."""

__all__ = ["ServiceTimes"]


class ServiceTimes:
    """Exponentially weighted mean, and a low estimate that falls at once and rises slowly.

    The low estimate decides whether a request can finish at all. An estimate from mean and
    deviation refused most requests while the process itself was short of processor time.
    """

    def __init__(self, mean_weight: float = 0.1, rise_weight: float = 0.01):
        self._mean_weight = mean_weight
        self._rise_weight = rise_weight
        self._mean_s: float | None = None
        self._low_s = 0.0

    @property
    def mean_s(self) -> float:
        """Mean time in seconds; 0 before the first observation."""
        return self._mean_s or 0.0

    @property
    def low_s(self) -> float:
        """Time in seconds that nearly every request takes at least."""
        return self._low_s

    def observe(self, service_s: float) -> None:
        """Add one observation in seconds."""
        if self._mean_s is None:
            self._mean_s = self._low_s = service_s
            return
        self._mean_s += self._mean_weight * (service_s - self._mean_s)
        self._low_s = min(service_s, self._low_s + self._rise_weight * (service_s - self._low_s))
