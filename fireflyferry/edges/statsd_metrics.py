"""Metrics that are sent to statsd, kept in memory, or both."""

import collections

import attrs
import statsd

from fireflyferry.edges.base import Metrics

__all__ = ["MemoryMetrics", "StatsdMetrics", "TeeMetrics", "Timing"]


class StatsdMetrics(Metrics):
    """Metrics sent as UDP datagrams; a lost datagram is not an error."""

    def __init__(self, host: str, port: int = 8125, prefix: str = "fireflyferry") -> None:
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, count)

    def timing_ms(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        self._client.timing(name, value_ms)

    def close(self) -> None:
        """Close the socket."""
        self._client.close()


@attrs.frozen
class Timing:
    """Summary of recorded durations."""

    count: int = 0
    total_ms: float = 0.0
    max_ms: float = 0.0


class MemoryMetrics(Metrics):
    """Metrics kept in memory and read through `counters` and `timings`."""

    def __init__(self) -> None:
        self._counters: collections.Counter[str] = collections.Counter()
        self._timings: dict[str, Timing] = {}

    @property
    def counters(self) -> dict[str, int]:
        """Counters by name."""
        return dict(self._counters)

    @property
    def timings(self) -> dict[str, Timing]:
        """Timings by name."""
        return dict(self._timings)

    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] += count

    def timing_ms(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        before = self._timings.get(name, Timing())
        self._timings[name] = Timing(
            before.count + 1, before.total_ms + value_ms, max(before.max_ms, value_ms)
        )


class TeeMetrics(Metrics):
    """Metrics that are passed on to several receivers."""

    def __init__(self, *receivers: Metrics) -> None:
        self._receivers = receivers

    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        for receiver in self._receivers:
            receiver.increment(name, count)

    def timing_ms(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        for receiver in self._receivers:
            receiver.timing_ms(name, value_ms)
