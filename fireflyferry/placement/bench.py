"""Benchmark of placement and grants that prints Markdown tables of three runs.

Run it with `python -m fireflyferry.placement.bench`.
"""

import itertools
import random
import statistics
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence

import attrs

from fireflyferry.ownership import bench as grants_bench
from fireflyferry.placement.assignment import PlacementWeights, UpstreamCapacity, assign
from fireflyferry.placement.baselines import place_by_rendezvous, place_by_ring
from fireflyferry.placement.hot_keys import HotKeySketch
from fireflyferry.placement.units import bucket_of, bucket_unit, key_unit

__all__ = ["main"]

RUNS = 3
KEYS = 1_000_000
BUCKETS = 16_384
HOT_KEYS = 10
WEIGHTS = PlacementWeights()
SPLIT_NONE: frozenset[int] = frozenset()


@attrs.frozen
class Workload:
    """Keys and their loads, the hottest key first."""

    name: str
    keys: list[str]
    loads: list[float]

    def units(self, buckets: int, hot_keys: int) -> tuple[dict[str, float], dict[str, int]]:
        """Return load and number of keys of each unit; the first `hot_keys` keys are split."""
        loads = {bucket_unit(bucket): 0.0 for bucket in range(buckets)}
        counts = dict.fromkeys(loads, 0)
        for index, (key, load) in enumerate(zip(self.keys, self.loads, strict=True)):
            bucket = bucket_of(key, buckets)
            unit = key_unit(bucket, key) if index < hot_keys else bucket_unit(bucket)
            loads[unit] = loads.get(unit, 0.0) + load
            counts[unit] = counts.get(unit, 0) + 1
        return loads, counts


def make_workload(name: str, run: int) -> Workload:
    """Return uniform keys, or keys with Zipf loads of exponent 1."""
    keys = [f"key-{run}-{index}" for index in range(KEYS)]
    if name == "uniform":
        return Workload(name, keys, [1.0] * KEYS)
    return Workload(name, keys, [1.0 / rank for rank in range(1, KEYS + 1)])


PlacementMethod = Callable[[Mapping[str, float], Sequence[str], Mapping[str, str]], dict[str, str]]


def place_by_assign(
    loads: Mapping[str, float], names: Sequence[str], current: Mapping[str, str]
) -> dict[str, str]:
    """Place units by assign(), called until it moves nothing more."""
    while True:
        placed = assign(loads, [UpstreamCapacity(name) for name in names], current, WEIGHTS)
        if placed == current:
            return placed
        current = placed


METHODS: dict[str, PlacementMethod] = {
    "hash ring": lambda loads, names, current: place_by_ring(loads, names),
    "rendezvous": lambda loads, names, current: place_by_rendezvous(loads, names),
    "assign": place_by_assign,
}


def make_upstream_ids(count: int) -> list[str]:
    """Return upstream ids."""
    return [f"i{index:03}" for index in range(count)]


def imbalance(loads: Mapping[str, float], owners: Mapping[str, str], upstreams: int) -> float:
    """Return the largest load of an upstream divided by the mean load."""
    totals: Counter[str] = Counter()
    for unit, load in loads.items():
        totals[owners[unit]] += load
    return max(totals.values()) * upstreams / sum(loads.values())


def measure_movement(workload: Workload, count: int) -> Iterator[tuple[str, float]]:
    """Yield the ratio of moved load to the least possible, the moved keys, and the imbalance after.

    Moved keys are left out for uniform keys, where they equal moved load. The upstream that
    leaves is the one with the median load.
    """
    loads, counts = workload.units(BUCKETS, HOT_KEYS if workload.name == "zipf" else 0)
    names = make_upstream_ids(count)
    for method, place in METHODS.items():
        before = place(loads, names, {})
        owned = Counter(dict.fromkeys(names, 0.0))
        for unit, owner in before.items():
            owned[owner] += loads[unit]
        leaving = sorted(names, key=owned.__getitem__)[count // 2]
        without_leaving = [name for name in names if name != leaving]
        cases = {
            "join": ([*names, "new"], sum(workload.loads) / (count + 1)),
            "leave": (without_leaving, owned[leaving]),
        }
        for case, (remaining, min_load) in cases.items():
            after = place(loads, remaining, before)
            label = f"{case}, {workload.name}, {count} upstreams, {method}"
            moved = [unit for unit in loads if after[unit] != before[unit]]
            yield f"{label}: load moved / least", sum(loads[unit] for unit in moved) / min_load
            if workload.name == "zipf":
                yield f"{label}: keys moved, %", sum(counts[u] for u in moved) * 100 / KEYS
            yield f"{label}: imbalance after", imbalance(loads, after, len(remaining))
    drained = [UpstreamCapacity(name, draining=name == leaving) for name in names]
    after = assign(loads, drained, before, WEIGHTS)
    moved = [unit for unit in loads if after[unit] != before[unit]]
    label = f"drain, {workload.name}, {count} upstreams, assign"
    yield f"{label}: load moved / least", sum(loads[unit] for unit in moved) / owned[leaving]


def measure_imbalance(workload: Workload, count: int, buckets: int) -> Iterator[tuple[str, float]]:
    """Yield the imbalance of an initial placement with and without hot-key units."""
    for hot_keys, (method, place) in itertools.product((0, HOT_KEYS), METHODS.items()):
        loads, _ = workload.units(buckets, hot_keys)
        owners = place(loads, make_upstream_ids(count), {})
        label = (
            f"{workload.name}, {buckets} buckets, {count} upstreams, {hot_keys} key units, {method}"
        )
        yield label, imbalance(loads, owners, count)


def measure_sketch(run: int) -> Iterator[tuple[str, float]]:
    """Yield the sketch's time per observation, its recall of the hottest keys, and its memory."""
    rng = random.Random(run)
    weights = list(itertools.accumulate(1.0 / rank for rank in range(1, KEYS + 1)))
    streams = {
        "zipf": rng.choices(range(KEYS), cum_weights=weights, k=200_000),
        "uniform": [rng.randrange(KEYS) for _ in range(200_000)],
    }
    for name, stream in streams.items():
        keys = [f"key-{run}-{index}" for index in stream]
        sketch = HotKeySketch(512)
        start_s = time.perf_counter()
        for key in keys:
            sketch.observe(key)
        elapsed_s = time.perf_counter() - start_s
        yield f"sketch, {name}: us per observation", elapsed_s * 1e6 / len(keys)
        if name == "zipf":
            hottest = {f"key-{run}-{index}" for index in range(HOT_KEYS)}
            found = {entry.key for entry in sketch.top(HOT_KEYS)}
            yield "sketch, zipf: of the 10 hottest keys found", len(hottest & found)
    tracemalloc.start()
    sketch = HotKeySketch(512)
    for index in range(50_000):
        sketch.observe(f"key-{run}-{index}")
    yield "sketch, 512 counters: memory in KB", tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()


def measure_assign(run: int, count: int) -> Iterator[tuple[str, float]]:
    """Yield the duration of one call of assign(), in ms."""
    rng = random.Random(run)
    loads = {bucket_unit(bucket): rng.uniform(0.5, 1.5) for bucket in range(BUCKETS)}
    names = make_upstream_ids(count)
    owners: dict[str, str] = {}
    cases = {
        "first": names,
        "no change": names,
        "join": [*names, "new"],
        "leave": names[1:],
    }
    for case, live in cases.items():
        upstreams = [UpstreamCapacity(name) for name in live]
        start_s = time.perf_counter()
        placed = assign(loads, upstreams, owners, WEIGHTS)
        elapsed_s = time.perf_counter() - start_s
        yield f"assign(), {BUCKETS} buckets, {count} upstreams, {case}: ms", elapsed_s * 1e3
        owners = placed if case == "first" else owners


def measure_all(run: int) -> Iterator[tuple[str, str, float]]:
    """Yield section, label and value of each measurement of one run."""
    for name in ("uniform", "zipf"):
        workload = make_workload(name, run)
        for count in (15, 60):
            yield from (("Movement", *row) for row in measure_movement(workload, count))
        for buckets in (256, BUCKETS):
            yield from (("Imbalance", *row) for row in measure_imbalance(workload, 15, buckets))
    yield from (("Sketch", *row) for row in measure_sketch(run))
    for count in (15, 60, 240):
        yield from (("assign()", *row) for row in measure_assign(run, count))
    for count in (4, 12, 48):
        yield from (("Grants", *row) for row in grants_bench.measure(count))


def main() -> None:
    """Run all measurements three times and print tables."""
    tables: dict[str, dict[str, list[float]]] = {}
    for run in range(1, RUNS + 1):
        for section, label, value in measure_all(run):
            tables.setdefault(section, {}).setdefault(label, []).append(value)
    for section, rows in tables.items():
        print(f"\n### {section}\n\n| measurement | run 1 | run 2 | run 3 | median |")
        print("| --- | ---: | ---: | ---: | ---: |")
        for label, values in rows.items():
            cells = [*values, statistics.median(values)]
            print(f"| {label} | " + " | ".join(f"{value:.4g}" for value in cells) + " |")


if __name__ == "__main__":
    main()
