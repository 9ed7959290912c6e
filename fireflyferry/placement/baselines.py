"""Baselines for the benchmark of assignment: a hash ring and rendezvous hashing."""

import bisect
from collections.abc import Iterable, Sequence

import xxhash

from fireflyferry.placement.units import rendezvous_weight

__all__ = ["place_by_rendezvous", "place_by_ring"]

_POINTS_PER_UPSTREAM = 100


def place_by_ring(units: Iterable[str], upstreams: Sequence[str]) -> dict[str, str]:
    """Place units by consistent hashing with 100 points for each upstream."""
    ring = sorted(
        (xxhash.xxh3_64_intdigest(f"{name}#{point}".encode()), name)
        for name in upstreams
        for point in range(_POINTS_PER_UPSTREAM)
    )
    hashes = [position for position, _ in ring]
    return {
        unit: ring[bisect.bisect(hashes, xxhash.xxh3_64_intdigest(unit.encode())) % len(ring)][1]
        for unit in units
    }


def place_by_rendezvous(units: Iterable[str], upstreams: Sequence[str]) -> dict[str, str]:
    """Place each unit on the upstream with the highest rendezvous weight."""
    return {
        unit: max(upstreams, key=lambda name, unit=unit: rendezvous_weight(unit, name))
        for unit in units
    }
