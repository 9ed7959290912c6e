"""Bounded-load assignment of units to upstreams with few moves and hysteresis."""

import bisect
import heapq
from collections.abc import Mapping, Sequence, Set

import attrs

__all__ = ["PlacementWeights", "UpstreamCapacity", "assign"]

_MIN_BAND = 0.02
_MAX_BAND = 0.5
# Bounds for bisection in lists of (load, unit); units without load are never moved.
_SMALLEST_POSITIVE_LOAD = 5e-324
_AFTER_ANY_UNIT = chr(0x10FFFF)


@attrs.frozen
class PlacementWeights:
    """A pool's weights for imbalance, moved load (churn) and time without an owner.

    `band` is the relative deviation from its fair share that an upstream may have before units
    move.
    """

    imbalance: float = 1.0
    churn: float = 1.0
    unavailable: float = 1.0

    @property
    def band(self) -> float:
        """Tolerated deviation: 0.1 at equal weights, more if moves cost more."""
        cost = (self.churn + self.unavailable) / 2
        ratio = cost / self.imbalance if self.imbalance > 0 else _MAX_BAND / _MIN_BAND
        return min(_MAX_BAND, max(_MIN_BAND, 0.1 * ratio))

    @property
    def max_move_fraction(self) -> float:
        """Largest fraction of the load that one call moves only for balance.

        A moving unit is unavailable for about two round trips, so a pool that gives more weight
        to unavailable time spreads its moves over more calls.
        """
        total = self.imbalance + self.churn + self.unavailable
        return 1.0 if total <= 0 else max(0.02, 1.0 - self.unavailable / total)


@attrs.frozen
class UpstreamCapacity:
    """Capacity of an upstream for assignment; `share` is below 1 during a cold start."""

    upstream_id: str
    slots: int = 1
    share: float = 1.0
    draining: bool = False

    @property
    def capacity(self) -> float:
        """Relative capacity; 0 for a draining upstream."""
        return 0.0 if self.draining else self.slots * self.share


class _RatioHeap:
    """Heap of upstreams by load relative to their fair share; it skips stale entries."""

    def __init__(self, ratios: Mapping[str, float], highest_first: bool):
        self._sign = -1.0 if highest_first else 1.0
        self._heap = [(self._sign * ratio, name) for name, ratio in ratios.items()]
        heapq.heapify(self._heap)

    def update(self, name: str, ratio: float) -> None:
        heapq.heappush(self._heap, (self._sign * ratio, name))

    def peek(self, ratios: Mapping[str, float], excluded: Set[str]) -> str | None:
        while self._heap:
            value, name = self._heap[0]
            if name not in excluded and self._sign * value == ratios[name]:
                return name
            heapq.heappop(self._heap)
        return None


class _Balancer:
    """Units, load and fair share of each upstream during one assignment."""

    def __init__(self, unit_loads: Mapping[str, float], upstreams: Sequence[UpstreamCapacity]):
        self.unit_loads = unit_loads
        live = sorted(
            (upstream for upstream in upstreams if upstream.capacity > 0),
            key=lambda upstream: upstream.upstream_id,
        )
        self.total_load = sum(unit_loads.values())
        self._capacity = {upstream.upstream_id: upstream.capacity for upstream in live}
        self.fair_shares = self._compute_fair_shares({})
        self.upstream_loads = dict.fromkeys(self.fair_shares, 0.0)
        self.owners: dict[str, str] = {}
        self._sorted_units: dict[str, list[tuple[float, str]]] = {}

    def _compute_fair_shares(self, fixed_loads: Mapping[str, float]) -> dict[str, float]:
        """Return the fair shares if the upstreams in `fixed_loads` get exactly these loads."""
        remaining_load = self.total_load - sum(fixed_loads.values())
        capacity = sum(each for name, each in self._capacity.items() if name not in fixed_loads)
        return {
            name: (
                fixed_loads[name]
                if name in fixed_loads
                else remaining_load * own_capacity / capacity
            )
            for name, own_capacity in self._capacity.items()
        }

    def _adjust_for_large_units(self) -> None:
        """Lower the fair shares of the others if one unit exceeds its upstream's fair share.

        No move can make the shares equal then, so moves towards equal shares would not help.
        """
        largest = {name: units[-1][0] for name, units in self._sorted_units.items() if units}
        fixed_loads: dict[str, float] = {}
        while True:
            oversized = {
                upstream_id: load
                for upstream_id, load in largest.items()
                if upstream_id not in fixed_loads and load > self.fair_shares[upstream_id]
            }
            fixed_loads |= oversized
            if not oversized or len(fixed_loads) == len(self.fair_shares):
                return
            self.fair_shares = self._compute_fair_shares(fixed_loads)

    def assign_unit(self, unit: str, name: str) -> None:
        self.owners[unit] = name
        self.upstream_loads[name] += self.unit_loads[unit]

    def ratio(self, name: str) -> float:
        return (
            self.upstream_loads[name] / self.fair_shares[name]
            if self.fair_shares[name] > 0
            else 1.0
        )

    def place_unassigned(self, unassigned: list[str]) -> None:
        """Place units without an upstream, largest first, on the one with the lowest load ratio."""
        heap = [(self.ratio(name), name) for name in self.fair_shares]
        heapq.heapify(heap)
        for unit in sorted(unassigned, key=lambda unit: (-self.unit_loads[unit], unit)):
            _, name = heap[0]
            self.assign_unit(unit, name)
            heapq.heapreplace(heap, (self.ratio(name), name))

    def balance(self, band: float, budget: float) -> None:
        """Move load from upstreams above the band and to upstreams below it.

        Moves start only outside the band and continue to half of it (hysteresis), so that small
        changes of load move nothing. `budget` limits the load that is moved.
        """
        if all(abs(self.ratio(name) - 1.0) <= band for name in self.fair_shares):
            return
        self._sort_units()
        self._adjust_for_large_units()
        ratios = {name: self.ratio(name) for name in self.fair_shares}
        outside = {name for name, ratio in ratios.items() if abs(ratio - 1.0) > band}
        highest, lowest = _RatioHeap(ratios, True), _RatioHeap(ratios, False)
        exhausted: set[str] = set()
        while budget > 0:
            source = highest.peek(ratios, exhausted)
            target = lowest.peek(ratios, frozenset())
            if source is None or target is None or source == target:
                return
            above = source in outside and ratios[source] > 1.0 + band / 2
            below = target in outside and ratios[target] < 1.0 - band / 2
            if not (above or below):
                return
            moved = self._move(source, target, budget)
            if moved == 0.0:
                exhausted.add(source)
                continue
            budget -= moved
            for name in (source, target):
                ratios[name] = self.ratio(name)
                highest.update(name, ratios[name])
                lowest.update(name, ratios[name])

    def _sort_units(self) -> None:
        self._sorted_units = {name: [] for name in self.fair_shares}
        for unit, name in self.owners.items():
            self._sorted_units[name].append((self.unit_loads[unit], unit))
        for units in self._sorted_units.values():
            units.sort()

    def _move(self, source: str, target: str, budget: float) -> float:
        """Move the unit that fits best and return its load; 0 if no unit improves the balance.

        The largest unit that fits is chosen, so that few units move, or else the smallest one.
        """
        units = self._sorted_units[source]
        max_load = (self.ratio(source) - self.ratio(target)) * self.fair_shares[target]
        fitting_load = min(
            self.upstream_loads[source] - self.fair_shares[source],
            self.fair_shares[target] - self.upstream_loads[target],
        )
        index = bisect.bisect_right(units, (min(fitting_load, budget), _AFTER_ANY_UNIT)) - 1
        if index < 0 or units[index][0] <= 0:
            index = bisect.bisect_left(units, (_SMALLEST_POSITIVE_LOAD, ""))
        if index >= len(units) or units[index][0] >= max_load or units[index][0] > budget:
            return 0.0
        load, unit = units.pop(index)
        self.upstream_loads[source] -= load
        self.assign_unit(unit, target)
        bisect.insort(self._sorted_units[target], (load, unit))
        return load


def assign(
    unit_loads: Mapping[str, float],
    upstreams: Sequence[UpstreamCapacity],
    current: Mapping[str, str],
    weights: PlacementWeights,
) -> dict[str, str]:
    """Assign each unit to an upstream and return unit -> upstream id.

    `unit_loads` gives the load of each unit, all in the same unit of measure. Units without a
    live upstream are placed first; then units move only while an upstream's load is outside the
    band of the weights. Returns an empty mapping if no upstream can take units.
    """
    if not any(upstream.capacity > 0 for upstream in upstreams):
        return {}
    balancer = _Balancer(unit_loads, upstreams)
    unassigned = []
    for unit in unit_loads:
        name = current.get(unit)
        if name in balancer.fair_shares:
            balancer.assign_unit(unit, name)
        else:
            unassigned.append(unit)
    balancer.place_unassigned(unassigned)
    balancer.balance(weights.band, weights.max_move_fraction * balancer.total_load)
    return balancer.owners
