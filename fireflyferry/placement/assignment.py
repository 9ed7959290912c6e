"""Bounded-load assignment of units to upstreams with least movement and hysteresis."""

import heapq
from collections.abc import Mapping, Sequence

import attrs

__all__ = ["PlacementWeights", "UpstreamLoad", "assign"]

_MIN_BAND = 0.02
_MAX_BAND = 0.5


@attrs.frozen
class PlacementWeights:
    """A pool's weights for the quality metrics.

    `band` is the tolerated relative deviation from an upstream's fair share before units move.
    """

    imbalance: float = 1.0
    churn: float = 1.0
    unavailable: float = 1.0

    @property
    def band(self) -> float:
        """Return the tolerated deviation: 0.1 at equal weights, wider when moves cost more."""
        cost = (self.churn + self.unavailable) / 2
        ratio = cost / self.imbalance if self.imbalance > 0 else _MAX_BAND / _MIN_BAND
        return min(_MAX_BAND, max(_MIN_BAND, 0.1 * ratio))

    @property
    def move_fraction(self) -> float:
        """Return the largest fraction of the load that one call moves only for balance.

        Each move makes its unit unavailable for about two round trips, so a pool that gives
        more weight to unavailable time spreads its moves over more calls.
        """
        total = self.imbalance + self.churn + self.unavailable
        return 1.0 if total <= 0 else max(0.02, 1.0 - self.unavailable / total)


@attrs.frozen
class UpstreamLoad:
    """An upstream as assignment sees it; `share` is below 1 during a cold start."""

    upstream_id: str
    slots: int = 1
    share: float = 1.0
    draining: bool = False

    @property
    def capacity(self) -> float:
        """Return the relative capacity; 0 for a draining upstream."""
        return 0.0 if self.draining else self.slots * self.share


class _Balancer:
    """Loads, fair shares and units of each upstream during one assignment."""

    def __init__(self, loads: Mapping[str, float], upstreams: Sequence[UpstreamLoad]):
        self.loads = loads
        live = sorted((u for u in upstreams if u.capacity > 0), key=lambda u: u.upstream_id)
        capacity = sum(u.capacity for u in live)
        total = sum(loads.values())
        self.fair = {u.upstream_id: total * u.capacity / capacity for u in live}
        self.load = dict.fromkeys(self.fair, 0.0)
        self.units: dict[str, dict[str, None]] = {name: {} for name in self.fair}

    def put(self, unit: str, name: str) -> None:
        self.units[name][unit] = None
        self.load[name] += self.loads[unit]

    def take(self, unit: str, name: str) -> None:
        del self.units[name][unit]
        self.load[name] -= self.loads[unit]

    def ratio(self, name: str) -> float:
        return self.load[name] / self.fair[name] if self.fair[name] > 0 else 1.0

    def place_free(self, free: list[str]) -> None:
        """Place units that have no upstream, largest first, on the least loaded upstream."""
        heap = [(self.ratio(name), name) for name in self.fair]
        heapq.heapify(heap)
        for unit in sorted(free, key=lambda unit: (-self.loads[unit], unit)):
            _, name = heap[0]
            self.put(unit, name)
            heapq.heapreplace(heap, (self.ratio(name), name))

    def _move_for_balance(self, source: str, target: str, room: float) -> float:
        """Move one unit if it fits into `room` and lowers the larger of the two ratios."""
        for unit in self.units[source]:
            load = self.loads[unit]
            after = (self.load[target] + load) / self.fair[target]
            if 0 < load <= room and after < self.ratio(source):
                self.take(unit, source)
                self.put(unit, target)
                return load
        return 0.0

    def balance(self, band: float, budget: float) -> None:
        """Move load from upstreams above the band, and to upstreams below it.

        A move starts only outside the band and continues to half the band, so that small
        changes of load move nothing.
        """
        names = list(self.fair)
        outside = {n for n in names if abs(self.ratio(n) - 1.0) > band}
        while outside and budget > 0:
            source = max(names, key=lambda n: (self.ratio(n), n))
            target = min(names, key=lambda n: (self.ratio(n), n))
            if not (source in outside or target in outside):
                break
            outside = {n for n in outside if abs(self.ratio(n) - 1.0) > band / 2}
            if not (source in outside or target in outside):
                break
            moved = self._move_for_balance(source, target, budget)
            if moved == 0.0:
                break
            budget -= moved


def assign(
    buckets: Mapping[str, float],
    upstreams: Sequence[UpstreamLoad],
    current: Mapping[str, str],
    weights: PlacementWeights,
) -> dict[str, str]:
    """Assign each unit to an upstream and return unit -> upstream id.

    `buckets` gives the load of each unit in any one unit of measure. Units without a live
    upstream are placed first; then units move only while an upstream's load is outside the
    weights' band. Returns an empty mapping when no upstream can take units.
    """
    if not any(upstream.capacity > 0 for upstream in upstreams):
        return {}
    balancer = _Balancer(buckets, upstreams)
    free = []
    for unit in buckets:
        name = current.get(unit)
        if name in balancer.fair:
            balancer.put(unit, name)
        else:
            free.append(unit)
    balancer.place_free(free)
    total = sum(buckets.values())
    balancer.balance(weights.band, weights.move_fraction * total)
    return {unit: name for name, units in balancer.units.items() for unit in units}
