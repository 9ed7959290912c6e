"""Bounded-load assignment of units to upstreams with least movement and hysteresis."""

import bisect
import heapq
from collections.abc import Mapping, Sequence, Set

import attrs

__all__ = ["PlacementWeights", "UpstreamCapacity", "assign"]

_MIN_BAND = 0.02
_MAX_BAND = 0.5
# Sort keys around the loads that may move: units without load stay where they are.
_SMALLEST_LOAD = 5e-324
_AFTER_ANY_UNIT = chr(0x10FFFF)


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
class UpstreamCapacity:
    """An upstream as assignment sees it; `share` is below 1 during a cold start."""

    upstream_id: str
    slots: int = 1
    share: float = 1.0
    draining: bool = False

    @property
    def capacity(self) -> float:
        """Return the relative capacity; 0 for a draining upstream."""
        return 0.0 if self.draining else self.slots * self.share


class _Ranking:
    """Upstreams by load relative to the fair share, as a heap with outdated entries."""

    def __init__(self, ratios: Mapping[str, float], highest_first: bool):
        self._sign = -1.0 if highest_first else 1.0
        self._heap = [(self._sign * ratio, name) for name, ratio in ratios.items()]
        heapq.heapify(self._heap)

    def update(self, name: str, ratio: float) -> None:
        heapq.heappush(self._heap, (self._sign * ratio, name))

    def first(self, ratios: Mapping[str, float], skipped: Set[str]) -> str | None:
        while self._heap:
            value, name = self._heap[0]
            if name not in skipped and self._sign * value == ratios[name]:
                return name
            heapq.heappop(self._heap)
        return None


class _Balancer:
    """Loads, fair shares and units of each upstream during one assignment."""

    def __init__(self, loads: Mapping[str, float], upstreams: Sequence[UpstreamCapacity]):
        self.loads = loads
        live = sorted((u for u in upstreams if u.capacity > 0), key=lambda u: u.upstream_id)
        self.total = sum(loads.values())
        self._capacity = {u.upstream_id: u.capacity for u in live}
        self.fair = self._shares({})
        self.load = dict.fromkeys(self.fair, 0.0)
        self.owners: dict[str, str] = {}
        self._sorted: dict[str, list[tuple[float, str]]] = {}

    def _shares(self, full: Mapping[str, float]) -> dict[str, float]:
        """Return fair shares when the upstreams in `full` can take only the given loads."""
        rest = self.total - sum(full.values())
        capacity = sum(c for name, c in self._capacity.items() if name not in full)
        return {
            name: full[name] if name in full else rest * own / capacity
            for name, own in self._capacity.items()
        }

    def _set_aside_large_units(self) -> None:
        """Lower the shares of the others when one unit is more than its upstream's share.

        No move can reach equal shares then, so moves towards them would be in vain.
        """
        largest = {name: units[-1][0] for name, units in self._sorted.items() if units}
        full: dict[str, float] = {}
        while True:
            found = {n: v for n, v in largest.items() if n not in full and v > self.fair[n]}
            full |= found
            if not found or len(full) == len(self.fair):
                return
            self.fair = self._shares(full)

    def put(self, unit: str, name: str) -> None:
        self.owners[unit] = name
        self.load[name] += self.loads[unit]

    def ratio(self, name: str) -> float:
        return self.load[name] / self.fair[name] if self.fair[name] > 0 else 1.0

    def place_free(self, free: list[str]) -> None:
        """Place units that have no upstream, largest first, where the load is lowest after it."""
        heap = [(self.ratio(name), name) for name in self.fair]
        heapq.heapify(heap)
        for unit in sorted(free, key=lambda unit: (-self.loads[unit], unit)):
            _, name = heap[0]
            self.put(unit, name)
            heapq.heapreplace(heap, (self.ratio(name), name))

    def balance(self, band: float, budget: float) -> None:
        """Move load from upstreams above the band, and to upstreams below it.

        A move starts only outside the band and continues to half the band, so that small
        changes of load move nothing.
        """
        if all(abs(self.ratio(name) - 1.0) <= band for name in self.fair):
            return
        self._sort_units()
        self._set_aside_large_units()
        ratios = {name: self.ratio(name) for name in self.fair}
        outside = {name for name, ratio in ratios.items() if abs(ratio - 1.0) > band}
        highest, lowest = _Ranking(ratios, True), _Ranking(ratios, False)
        stuck: set[str] = set()
        while budget > 0:
            source = highest.first(ratios, stuck)
            target = lowest.first(ratios, frozenset())
            if source is None or target is None or source == target:
                return
            above = source in outside and ratios[source] > 1.0 + band / 2
            below = target in outside and ratios[target] < 1.0 - band / 2
            if not (above or below):
                return
            moved = self._move(source, target, budget)
            if moved == 0.0:
                stuck.add(source)
                continue
            budget -= moved
            for name in (source, target):
                ratios[name] = self.ratio(name)
                highest.update(name, ratios[name])
                lowest.update(name, ratios[name])

    def _sort_units(self) -> None:
        self._sorted = {name: [] for name in self.fair}
        for unit, name in self.owners.items():
            self._sorted[name].append((self.loads[unit], unit))
        for units in self._sorted.values():
            units.sort()

    def _move(self, source: str, target: str, budget: float) -> float:
        """Move the unit that fits best, and return its load; 0 if none improves the balance.

        The largest unit that fits is taken, because fewer units then move.
        """
        units = self._sorted[source]
        gap = (self.ratio(source) - self.ratio(target)) * self.fair[target]
        fit = min(self.load[source] - self.fair[source], self.fair[target] - self.load[target])
        at = bisect.bisect_right(units, (min(fit, budget), _AFTER_ANY_UNIT)) - 1
        if at < 0 or units[at][0] <= 0:
            at = bisect.bisect_left(units, (_SMALLEST_LOAD, ""))
        if at >= len(units) or units[at][0] >= gap or units[at][0] > budget:
            return 0.0
        load, unit = units.pop(at)
        self.load[source] -= load
        self.put(unit, target)
        bisect.insort(self._sorted[target], (load, unit))
        return load


def assign(
    buckets: Mapping[str, float],
    upstreams: Sequence[UpstreamCapacity],
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
    balancer.balance(weights.band, weights.move_fraction * balancer.total)
    return balancer.owners
