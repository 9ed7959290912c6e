"""Owner table of one pool: which upstream owns which range of keys.

A key is an integer from 0 to `LAST_KEY`.
"""

import bisect
from collections.abc import Iterable, Iterator

import attrs

__all__ = [
    "KEY_COUNT",
    "LAST_KEY",
    "MAX_ERA",
    "OwnedRange",
    "OwnerTable",
    "UpstreamRun",
    "first_fence_of_era",
]

KEY_COUNT = 65_536
LAST_KEY = KEY_COUNT - 1
FENCE_BITS_PER_ERA = 32
# With the bits below it a fence stays under 2**53, which all JSON implementations keep exactly.
MAX_ERA = (1 << 21) - 1


def first_fence_of_era(era: int | None) -> int:
    """Return the lowest fence of an era, which is above all fences of earlier eras."""
    return ((era or 0) << FENCE_BITS_PER_ERA) + 1


@attrs.frozen(order=True)
class UpstreamRun:
    """One incarnation of an upstream process: its run from start to end.

    `born` is the start time that the upstream reports; a restart under the same id has a higher
    one.
    """

    upstream_id: str
    born: int


@attrs.frozen
class OwnedRange:
    """Keys `first` to `last`, granted or to be granted to `owner` under `fence`.

    A fence is a fencing token; a new owner of the same keys gets a higher one. `earlier_holders`
    are incarnations that may still hold these keys under a lower fence. `serving` means that the
    owner has acknowledged its grant and that no other incarnation can hold the keys.
    """

    first: int
    last: int
    owner: UpstreamRun
    fence: int
    earlier_holders: tuple[UpstreamRun, ...] = ()
    serving: bool = False

    @property
    def key_count(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1


@attrs.frozen
class OwnerTable:
    """All ranges of a pool in order of their keys, without gaps.

    `term` increases by one each time a VM starts to grant; `last_fence` is the highest fence used
    so far. `era` is the store's era in which the table was written; None if the store reports none.
    """

    pool: str
    term: int
    last_fence: int
    ranges: tuple[OwnedRange, ...]
    era: int | None = None
    _first_keys: list[int] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        object.__setattr__(self, "_first_keys", [each.first for each in self.ranges])

    def find(self, key: int) -> OwnedRange | None:
        """Return the range that contains a key; None for a number that is not a key."""
        if not 0 <= key <= LAST_KEY or not self.ranges:
            return None
        return self.ranges[bisect.bisect_right(self._first_keys, key) - 1]

    def ranges_in_era(self, era: int | None) -> tuple[OwnedRange, ...]:
        """Return the ranges; in another era than that of the table, no upstream holds them."""
        if self.era == era:
            return self.ranges
        return tuple(attrs.evolve(r, earlier_holders=(), serving=False) for r in self.ranges)

    def is_complete(self) -> bool:
        """Return whether every key is in exactly one range and no fence exceeds `last_fence`."""
        next_first = 0
        for each in self.ranges:
            if each.first != next_first or each.last < each.first or each.fence > self.last_fence:
                return False
            next_first = each.last + 1
        return next_first == KEY_COUNT

    def with_ranges(self, ranges: Iterable[OwnedRange], last_fence: int) -> "OwnerTable":
        """Return a table with other ranges; adjacent serving ranges with one fence are merged."""
        ordered = sorted(ranges, key=lambda each: each.first)
        merged = tuple(_merge_adjacent(ordered))
        return OwnerTable(self.pool, self.term, last_fence, merged, self.era)


def _merge_adjacent(ranges: Iterable[OwnedRange]) -> Iterator[OwnedRange]:
    """Merge adjacent serving ranges that differ only in their keys."""
    pending: OwnedRange | None = None
    for each in ranges:
        if pending is not None and each.serving and _can_merge(pending, each):
            pending = attrs.evolve(pending, last=each.last)
            continue
        if pending is not None:
            yield pending
        pending = each
    if pending is not None:
        yield pending


def _can_merge(left: OwnedRange, right: OwnedRange) -> bool:
    return attrs.evolve(left, first=0, last=0) == attrs.evolve(right, first=0, last=0)
