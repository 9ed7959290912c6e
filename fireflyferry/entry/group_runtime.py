"""What a VM keeps for a group that it leads or stands by for."""

import attrs

from fireflyferry.leases import GroupAuthority, LeaseTiming
from fireflyferry.messages import GroupId, VmIncarnation
from fireflyferry.ownership import GrantManager, SaveOwners
from fireflyferry.placement import HotKeyPlanner, HotKeySketch, UpstreamCapacity

__all__ = ["GroupRuntime", "make_group_runtime"]

HOT_KEY_CAPACITY = 256


@attrs.define
class GroupRuntime:
    """One row of the group table.

    `book_term` is the term that the book serves, `loading_term` the one whose owners are being
    read. `assignments_version` is the version of the group's object of saved owners, known after
    it was read in this term; `unsaved` is the newest save that the store has not confirmed, and
    `durability` says where the newest confirmed one is kept. `assigned` holds the desired owners,
    `pins` the operators' part of them, `used` the upstreams that answered in this term.
    `heard_at_s` is the time of the standby's last pledge.
    """

    group: GroupId
    authority: GroupAuthority
    book: GrantManager
    sketch: HotKeySketch
    planner: HotKeyPlanner
    book_term: int = 0
    loading_term: int = 0
    led_since_s: float = 0.0
    assignments_version: int = 0
    saving: bool = False
    unsaved: SaveOwners | None = None
    save_started_s: float = 0.0
    store_away: bool = False
    durability: str = "store"
    pins: dict[str, str] = attrs.Factory(dict)
    next_placement_s: float = 0.0
    placed_upstreams: tuple[UpstreamCapacity, ...] = ()
    next_hot_keys_s: float = 0.0
    heard_at_s: float = float("-inf")
    confirmed_save: int = 0
    next_store_try_s: float = 0.0
    used: set[str] = attrs.Factory(set)
    assigned: dict[str, str] = attrs.Factory(dict)
    earlier_leaders: set[VmIncarnation] = attrs.Factory(set)

    @property
    def term(self) -> int:
        """Term of the newest known record, 0 without one."""
        record = self.authority.record
        return record.term if record else 0

    def leads(self, now_s: float) -> bool:
        """Tell whether this VM leads the group and its book serves the current term."""
        return self.authority.is_leader(now_s) and self.book_term == self.term


def make_group_runtime(
    group: GroupId, me: VmIncarnation, timing: LeaseTiming, hold: bool
) -> GroupRuntime:
    """Build the row of a group."""
    return GroupRuntime(
        group,
        GroupAuthority(group, me, timing, hold=hold),
        GrantManager(group, timing),
        HotKeySketch(HOT_KEY_CAPACITY),
        HotKeyPlanner(),
    )
