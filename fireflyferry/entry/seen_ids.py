"""Request-id tables of the groups that this VM leads."""

import attrs

from fireflyferry.edges import Clock
from fireflyferry.entry.limits import RequestLimits
from fireflyferry.messages import GroupId
from fireflyferry.retries import RequestIdTable

__all__ = ["SeenIds"]


@attrs.define
class _GroupIds:
    term: int
    table: RequestIdTable


class SeenIds:
    """Request-id tables, one for each group; a table starts empty when its group is gained."""

    def __init__(self, clock: Clock, limits: RequestLimits):
        self._clock = clock
        self._limits = limits
        self._groups: dict[GroupId, _GroupIds] = {}

    def __len__(self) -> int:
        return sum(len(ids.table) for ids in self._groups.values())

    def group_gained(self, group: GroupId, term: int) -> RequestIdTable:
        """Start an empty table for a group."""
        limits = self._limits
        table = RequestIdTable(
            self._clock.wall_s(), limits.id_retention_s, limits.max_id_entries, limits.max_id_skew_s
        )
        self._groups[group] = _GroupIds(term, table)
        return table

    def bucket_gained(self, group: GroupId, term: int, bucket: int) -> None:
        """Record that a bucket moved here from another group.

        For that bucket, the table is complete only from now on.
        """
        ids = self._groups.get(group)
        if ids is None:
            self.group_gained(group, term)
            return
        ids.term = max(ids.term, term)
        ids.table.bucket_gained(self._clock.wall_s(), bucket)

    def group_lost(self, group: GroupId) -> None:
        """Drop the table of a group."""
        self._groups.pop(group, None)

    def table(self, group: GroupId, term: int) -> RequestIdTable:
        """Return the table of a group; a term without `group_gained` starts an empty one."""
        ids = self._groups.get(group)
        if ids is None or ids.term != term:
            return self.group_gained(group, term)
        return ids.table
