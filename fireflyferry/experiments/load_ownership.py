"""Check of upstreams' ownership logs: no key may have two owners at the same time."""

import collections
import math
from collections.abc import Iterable, Iterator

import attrs

from fireflyferry.experiments.load_result import OwnershipCheck
from fireflyferry.standins.upstream_ownership import Holding

__all__ = ["check_ownership"]

MAX_EXAMPLES = 10


@attrs.frozen
class _Coverage:
    """A holding with its bucket (pool and number), its key and its end.

    `key` is empty if the holding covers a whole bucket.
    """

    holding: Holding
    bucket: tuple[str, str]
    key: str
    end_s: float


def check_ownership(holdings: Iterable[Holding]) -> OwnershipCheck:
    """Find holdings of two upstreams that cover a key at the same time.

    The logs' clocks must be comparable, as monotonic clocks of one machine are.
    """
    buckets: dict[tuple[str, str], list[_Coverage]] = collections.defaultdict(list)
    count = 0
    for holding in holdings:
        count += 1
        coverage = _coverage(holding)
        buckets[coverage.bucket].append(coverage)
    overlaps = [pair for coverages in buckets.values() for pair in _overlaps(coverages)]
    return OwnershipCheck(
        holdings=count,
        overlaps=len(overlaps),
        examples=tuple(_describe(*pair) for pair in overlaps[:MAX_EXAMPLES]),
    )


def _coverage(holding: Holding) -> _Coverage:
    pool = holding.group.partition("/")[0]
    kind, number, *key = holding.unit.split(":", 2)
    end_s = math.inf if holding.until_s is None else holding.until_s
    return _Coverage(holding, (pool, number), key[0] if kind == "k" else "", end_s)


def _overlaps(coverages: list[_Coverage]) -> Iterator[tuple[_Coverage, _Coverage]]:
    active: list[_Coverage] = []
    for coverage in sorted(coverages, key=lambda each: each.holding.from_s):
        start_s = coverage.holding.from_s
        active = [each for each in active if each.end_s > start_s]
        if coverage.end_s <= start_s:
            continue
        for other in active:
            if other.holding.upstream_id != coverage.holding.upstream_id and _have_common_key(
                other, coverage
            ):
                yield other, coverage
        active.append(coverage)


def _have_common_key(first: _Coverage, second: _Coverage) -> bool:
    """Return whether two holdings of one bucket have a key in common."""
    if first.key and second.key:
        return first.key == second.key
    if first.key or second.key:
        whole = second if first.key else first
        return (first.key or second.key) not in whole.holding.excluded
    return True


def _describe(first: _Coverage, second: _Coverage) -> str:
    one, two = first.holding, second.holding
    length_s = min(first.end_s, second.end_s) - two.from_s
    return (
        f"{one.unit} fence {one.fence} at {one.upstream_id} and {two.unit} fence {two.fence} "
        f"at {two.upstream_id} for {length_s:.3f} s"
    )
