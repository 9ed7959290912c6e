"""Pure check of upstreams' ownership logs: no key may have two owners at once."""

import collections
import math
from collections.abc import Iterable, Iterator

import attrs

from fireflyferry.experiments.load_result import OwnershipCheck
from fireflyferry.standins.upstream_ownership import Holding

__all__ = ["check_ownership"]

EXAMPLES = 10


@attrs.frozen
class _Extent:
    """A holding with the keys that it covers; `key` is empty for a whole bucket."""

    holding: Holding
    bucket: tuple[str, str]
    key: str
    end_s: float


def check_ownership(holdings: Iterable[Holding]) -> OwnershipCheck:
    """Find holdings of two upstreams that cover a key at the same time.

    The logs' clocks must be comparable, as monotonic clocks of one machine are.
    """
    buckets: dict[tuple[str, str], list[_Extent]] = collections.defaultdict(list)
    count = 0
    for holding in holdings:
        count += 1
        extent = _extent(holding)
        buckets[extent.bucket].append(extent)
    overlaps = [pair for extents in buckets.values() for pair in _overlaps(extents)]
    return OwnershipCheck(
        holdings=count,
        overlaps=len(overlaps),
        examples=tuple(_describe(*pair) for pair in overlaps[:EXAMPLES]),
    )


def _extent(holding: Holding) -> _Extent:
    pool = holding.group.partition("/")[0]
    kind, number, *key = holding.unit.split(":", 2)
    end_s = math.inf if holding.until_s is None else holding.until_s
    return _Extent(holding, (pool, number), key[0] if kind == "k" else "", end_s)


def _overlaps(extents: list[_Extent]) -> Iterator[tuple[_Extent, _Extent]]:
    open_extents: list[_Extent] = []
    for extent in sorted(extents, key=lambda it: it.holding.from_s):
        start_s = extent.holding.from_s
        open_extents = [it for it in open_extents if it.end_s > start_s]
        if extent.end_s <= start_s:
            continue
        for other in open_extents:
            if other.holding.upstream_id != extent.holding.upstream_id and _share(other, extent):
                yield other, extent
        open_extents.append(extent)


def _share(first: _Extent, second: _Extent) -> bool:
    """Tell whether two extents of one bucket have a key in common."""
    if first.key and second.key:
        return first.key == second.key
    if first.key or second.key:
        whole = second if first.key else first
        return (first.key or second.key) not in whole.holding.excluded
    return True


def _describe(first: _Extent, second: _Extent) -> str:
    one, two = first.holding, second.holding
    length_s = min(first.end_s, second.end_s) - two.from_s
    return (
        f"{one.unit} fence {one.fence} at {one.upstream_id} and {two.unit} fence {two.fence} "
        f"at {two.upstream_id} for {length_s:.3f} s"
    )
