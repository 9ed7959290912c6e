"""Space-Saving sketch of the hottest keys, and the choice of keys that get their own unit."""

import heapq
from collections.abc import Iterable

import attrs

from fireflyferry.placement.units import bucket_of, key_unit

__all__ = ["HotKeyPlanner", "HotKeyRules", "HotKeySketch", "KeyCount"]


@attrs.frozen
class KeyCount:
    """Estimated count of a key; the true count is between `count - error` and `count`."""

    key: str
    count: float
    error: float

    @property
    def lower_bound(self) -> float:
        """Lower bound of the true count."""
        return self.count - self.error


class HotKeySketch:
    """Counts of the hottest keys by the Space-Saving algorithm, with a fixed number of counters.

    A key whose true count exceeds `total_weight / capacity` is always present. Raises ValueError
    for a capacity below 1.
    """

    def __init__(self, capacity: int = 512):
        if capacity < 1:
            raise ValueError(f"capacity {capacity} is below 1")
        self._capacity = capacity
        self._counts: dict[str, float] = {}
        self._errors: dict[str, float] = {}
        # One entry for each counted key; its count may be stale, which means too low.
        self._heap: list[tuple[float, str]] = []
        self._total_weight = 0.0

    def __len__(self) -> int:
        return len(self._counts)

    @property
    def total_weight(self) -> float:
        """Sum of the weights of all observations, with decay."""
        return self._total_weight

    def observe(self, key: str, weight: float = 1.0) -> None:
        """Count a key; the weight must be positive."""
        self._total_weight += weight
        counts = self._counts
        if key in counts:
            counts[key] += weight
        elif len(counts) < self._capacity:
            counts[key] = weight
            self._errors[key] = 0.0
            heapq.heappush(self._heap, (weight, key))
        else:
            self._replace_smallest(key, weight)

    def _replace_smallest(self, key: str, weight: float) -> None:
        heap, counts = self._heap, self._counts
        while True:
            stale_count, smallest = heap[0]
            count = counts[smallest]
            if count == stale_count:
                break
            heapq.heapreplace(heap, (count, smallest))
        del counts[smallest], self._errors[smallest]
        counts[key] = count + weight
        self._errors[key] = count
        heapq.heapreplace(heap, (count + weight, key))

    def top(self, limit: int) -> list[KeyCount]:
        """Return up to `limit` keys with the highest lower bounds of counts, highest first."""
        estimates = (KeyCount(key, count, self._errors[key]) for key, count in self._counts.items())
        return heapq.nsmallest(limit, estimates, key=lambda entry: (-entry.lower_bound, entry.key))

    def estimate(self, key: str) -> KeyCount:
        """Return the estimate for one key."""
        return KeyCount(key, self._counts.get(key, 0.0), self._errors.get(key, 0.0))

    def decay(self, factor: float) -> None:
        """Multiply all counts by a factor in 0..1, so that old observations count less."""
        self._counts = {key: count * factor for key, count in self._counts.items()}
        self._errors = {key: error * factor for key, error in self._errors.items()}
        self._total_weight *= factor
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapq.heapify(self._heap)


@attrs.frozen
class HotKeyRules:
    """Thresholds of HotKeyPlanner; loads are fractions of one upstream's fair share.

    A key is split from its bucket at `split_load`, and merged back after it was below `merge_load`
    for `merge_after_s`. At most `max_keys` are split.
    """

    max_keys: int = 10
    split_load: float = 0.05
    merge_load: float = 0.02
    merge_after_s: float = 60.0
    # A key replaces another only if its load is this many times higher, so that two keys of
    # similar load do not alternate.
    replace_ratio: float = 1.5


@attrs.define
class HotKeyPlanner:
    """Chooses the hot keys that are split from their buckets, as units with their own owner.

    `_cool_since_s` holds, for each split key, the time since which its load has been below
    `merge_load`, or None if it is not below.
    """

    rules: HotKeyRules = attrs.field(factory=HotKeyRules)
    _cool_since_s: dict[str, float | None] = attrs.field(factory=dict, init=False)

    @property
    def keys(self) -> frozenset[str]:
        """Keys that are split now."""
        return frozenset(self._cool_since_s)

    def units(self, buckets: int) -> frozenset[str]:
        """Return the unit ids of the split keys for a pool with this number of buckets."""
        return frozenset(key_unit(bucket_of(key, buckets), key) for key in self._cool_since_s)

    def adopt(self, keys: Iterable[str]) -> None:
        """Take over the split keys of an earlier leader."""
        self._cool_since_s = dict.fromkeys(keys)

    def plan(self, now_s: float, sketch: HotKeySketch, upstreams: int) -> frozenset[str]:
        """Update and return the split keys; `upstreams` is the number of live upstreams."""
        fair_share = sketch.total_weight / max(1, upstreams)
        if fair_share <= 0:
            return self.keys
        self._merge_cool_keys(now_s, sketch, fair_share)
        for entry in sketch.top(self.rules.max_keys):
            load = entry.lower_bound / fair_share
            if entry.key in self._cool_since_s or load < self.rules.split_load:
                continue
            if len(self._cool_since_s) >= self.rules.max_keys:
                coolest = min(
                    self._cool_since_s,
                    key=lambda split_key: (sketch.estimate(split_key).lower_bound, split_key),
                )
                if (
                    entry.lower_bound
                    < self.rules.replace_ratio * sketch.estimate(coolest).lower_bound
                ):
                    continue
                del self._cool_since_s[coolest]
            self._cool_since_s[entry.key] = None
        return self.keys

    def _merge_cool_keys(self, now_s: float, sketch: HotKeySketch, fair_share: float) -> None:
        for key, since_s in list(self._cool_since_s.items()):
            if sketch.estimate(key).count / fair_share >= self.rules.merge_load:
                self._cool_since_s[key] = None
            elif since_s is None:
                self._cool_since_s[key] = now_s
            elif now_s - since_s >= self.rules.merge_after_s:
                del self._cool_since_s[key]
