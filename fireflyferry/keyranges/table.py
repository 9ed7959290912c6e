"""Owners of the key ranges of one pool."""

import bisect
from collections.abc import Iterable, Iterator

import attrs

__all__ = ["KEY_COUNT", "LAST_KEY", "OwnedRange", "OwnerTable", "UpstreamRun"]

KEY_COUNT = 65_536
LAST_KEY = KEY_COUNT - 1


@attrs.frozen(order=True)
class UpstreamRun:
    """One run of an upstream process; a restart under the same id is another run."""

    upstream_id: str
    born: int


@attrs.frozen
class OwnedRange:
    """Keys `first` to `last`, granted or to be granted to `owner` under `fence`.

    `earlier_holders` are runs that may still hold these keys under a lower fence. `serving` tells
    that the owner has acknowledged its grant and that nobody else can hold the keys.
    """

    first: int
    last: int
    owner: UpstreamRun
    fence: int
    earlier_holders: tuple[UpstreamRun, ...] = ()
    serving: bool = False

    @property
    def keys(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1


@attrs.frozen
class OwnerTable:
    """All ranges of a pool in order of their keys, without gaps.

    `term` counts the changes of the granting VM, `last_fence` is the highest fence ever used.
    """

    pool: str
    term: int
    last_fence: int
    ranges: tuple[OwnedRange, ...]
    _firsts: list[int] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        object.__setattr__(self, "_firsts", [each.first for each in self.ranges])

    def find(self, key: int) -> OwnedRange | None:
        """Return the range of a key; None for a number that is no key."""
        if not 0 <= key <= LAST_KEY or not self.ranges:
            return None
        return self.ranges[bisect.bisect_right(self._firsts, key) - 1]

    def is_complete(self) -> bool:
        """Tell whether every key has exactly one range, with no fence above the last."""
        following = 0
        for each in self.ranges:
            if each.first != following or each.last < each.first or each.fence > self.last_fence:
                return False
            following = each.last + 1
        return following == KEY_COUNT

    def with_ranges(self, ranges: Iterable[OwnedRange], last_fence: int) -> "OwnerTable":
        """Return a table with other ranges, adjacent equal ones joined."""
        ordered = sorted(ranges, key=lambda each: each.first)
        return OwnerTable(self.pool, self.term, last_fence, tuple(_joined(ordered)))


def _joined(ranges: Iterable[OwnedRange]) -> Iterator[OwnedRange]:
    """Join neighbours that differ only in their keys."""
    pending: OwnedRange | None = None
    for each in ranges:
        if pending is not None and each.serving and _joins(pending, each):
            pending = attrs.evolve(pending, last=each.last)
            continue
        if pending is not None:
            yield pending
        pending = each
    if pending is not None:
        yield pending


def _joins(left: OwnedRange, right: OwnedRange) -> bool:
    return attrs.evolve(left, first=0, last=0) == attrs.evolve(right, first=0, last=0)
