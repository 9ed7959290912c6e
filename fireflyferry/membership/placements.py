"""Assignment of a pool's buckets to its groups."""

import bisect

import attrs

from fireflyferry.messages import GroupId
from fireflyferry.tables.model import MAX_BUCKETS

__all__ = ["BucketRun", "PlacementMap", "bootstrap_placement"]


@attrs.frozen
class BucketRun:
    """A range of consecutive buckets of one group, from `first` up to the next run."""

    first: int
    group: GroupId


@attrs.frozen
class PlacementMap:
    """The groups of all buckets of a pool, as runs in ascending order."""

    pool: str
    buckets: int
    runs: tuple[BucketRun, ...]

    def is_complete(self) -> bool:
        """Return whether every bucket is in exactly one run."""
        firsts = [run.first for run in self.runs]
        in_order = firsts == sorted(set(firsts)) and firsts[:1] == [0]
        return in_order and firsts[-1] < self.buckets <= MAX_BUCKETS

    def group_of(self, bucket: int) -> GroupId:
        """Return the group of a bucket."""
        index = bisect.bisect_right(self.runs, bucket, key=lambda run: run.first) - 1
        return self.runs[index].group

    def buckets_of(self, group: GroupId) -> list[int]:
        """Return the buckets of a group."""
        ends = [*(run.first for run in self.runs[1:]), self.buckets]
        return [
            bucket
            for run, end in zip(self.runs, ends, strict=True)
            if run.group == group
            for bucket in range(run.first, end)
        ]


def bootstrap_placement(pool: str, buckets: int, capacity: dict[GroupId, int]) -> PlacementMap:
    """Divide the buckets among the groups in proportion to their capacity; equally if all are 0."""
    shares = capacity if sum(capacity.values()) else dict.fromkeys(capacity, 1)
    total = sum(shares.values())
    runs = []
    cumulative_share = 0
    for group in sorted(shares):
        first = buckets * cumulative_share // total
        cumulative_share += shares[group]
        if buckets * cumulative_share // total > first:
            runs.append(BucketRun(first, group))
    return PlacementMap(pool, buckets, tuple(runs))
