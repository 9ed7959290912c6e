"""State of a group on a VM that is its leader or standby."""

import attrs

from fireflyferry.leases import GroupAuthority, LeaseTiming
from fireflyferry.messages import GroupId, VmIncarnation
from fireflyferry.ownership import GrantManager, SaveOwners
from fireflyferry.placement import HotKeyPlanner, HotKeySketch, UpstreamCapacity

__all__ = ["GroupRuntime", "make_group_runtime"]

HOT_KEY_CAPACITY = 256


@attrs.define
class GroupRuntime:
    """State that one VM keeps for one group; times are monotonic seconds.

    `grants_term` is the term whose owners `grants` has loaded, and `loading_term` the term whose
    owners are being read. `desired_owners` maps units to the upstreams that placement chose,
    `pins` are the assignments among them that operators made, and `answered_upstreams` are the
    upstreams that answered in this term.

    `assignments_version` is the version of the stored owners, known once they were read in this
    term. `unconfirmed_save` is the newest save that the store has not confirmed, and `durability`
    is where the newest confirmed save is stored: `store` or `standby`. `last_pledge_at_s` is when
    the standby last pledged, or when it was named if that is later.
    """

    group: GroupId
    authority: GroupAuthority
    grants: GrantManager
    hot_key_sketch: HotKeySketch
    hot_key_planner: HotKeyPlanner
    grants_term: int = 0
    loading_term: int = 0
    led_since_s: float = 0.0
    assignments_version: int = 0
    save_in_progress: bool = False
    unconfirmed_save: SaveOwners | None = None
    save_started_s: float = 0.0
    store_unavailable: bool = False
    durability: str = "store"
    pins: dict[str, str] = attrs.Factory(dict)
    next_placement_s: float = 0.0
    placed_upstreams: tuple[UpstreamCapacity, ...] = ()
    next_hot_keys_s: float = 0.0
    last_pledge_at_s: float = float("-inf")
    confirmed_save_id: int = 0
    next_save_retry_s: float = 0.0
    answered_upstreams: set[str] = attrs.Factory(set)
    desired_owners: dict[str, str] = attrs.Factory(dict)
    earlier_leaders: set[VmIncarnation] = attrs.Factory(set)

    @property
    def term(self) -> int:
        """Term of the newest known record, 0 without one."""
        record = self.authority.record
        return record.term if record else 0

    def is_serving(self, now_s: float) -> bool:
        """Return whether this VM leads the group and has loaded the owners of the current term."""
        return self.authority.is_leader(now_s) and self.grants_term == self.term


def make_group_runtime(
    group: GroupId, this_vm: VmIncarnation, timing: LeaseTiming, hold: bool
) -> GroupRuntime:
    """Build the initial state of a group.

    With `hold`, a lost leader is replaced only after an operator declared it lost.
    """
    return GroupRuntime(
        group,
        GroupAuthority(group, this_vm, timing, hold=hold),
        GrantManager(group, timing),
        HotKeySketch(HOT_KEY_CAPACITY),
        HotKeyPlanner(),
    )
