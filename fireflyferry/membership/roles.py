"""Choice of relays, leaders and standbys by rendezvous hashing."""

from collections.abc import Iterable, Iterator

from fireflyferry.membership.vm_table import VmTable
from fireflyferry.messages import GroupId, VmEntry
from fireflyferry.placement import rendezvous_weight
from fireflyferry.tables import Tables

__all__ = ["group_upstreams", "groups_of", "preferred_leader", "preferred_standby", "relay_order"]

RELAYS_PER_DATA_CENTRE = 2


def groups_of(tables: Tables) -> Iterator[GroupId]:
    """Yield all groups that the tables define."""
    for pool in tables.pools:
        for data_centre in pool.data_centres:
            for index in range(pool.groups_per_data_centre):
                yield GroupId(pool.name, data_centre, index)


def group_upstreams(
    table: VmTable, group: GroupId, groups_per_data_centre: int, data_centre: str | None = None
) -> list[VmEntry]:
    """Return the upstreams of a group in its home data centre, or in a given other one.

    Each upstream belongs to one group of its data centre, so that only one leader allocates its
    slots.
    """
    upstream_data_centre = data_centre or group.data_centre
    return table.cached(
        ("group", group, groups_per_data_centre, upstream_data_centre),
        lambda: [
            vm
            for vm in table.upstreams(group.pool, upstream_data_centre)
            if _group_index(vm, groups_per_data_centre) == group.index
        ],
    )


def _group_index(upstream: VmEntry, groups: int) -> int:
    return max(range(groups), key=lambda index: rendezvous_weight(upstream.vm_id, str(index)))


def relay_order(table: VmTable, data_centre: str) -> list[VmEntry]:
    """Return the entry VMs of a data centre, preferred relays first."""
    return table.cached(
        ("relays", data_centre),
        lambda: _ranked(f"relay/{data_centre}", table.entry_vms(data_centre)),
    )


def preferred_leader(table: VmTable, group: GroupId) -> VmEntry | None:
    """Return the entry VM in the group's home data centre that should lead it, if any."""
    return table.cached(
        ("leader", group),
        lambda: _highest_ranked(_rank_key(table, group), table.entry_vms(group.data_centre)),
    )


def preferred_standby(table: VmTable, group: GroupId, leader_vm_id: str) -> VmEntry | None:
    """Return the entry VM that should be standby of the given leader, if any.

    The standby is in the other data centre of the leader's region, or, if that has no entry VM,
    in the leader's own data centre.
    """
    return table.cached(
        ("standby", group, leader_vm_id), lambda: _standby(table, group, leader_vm_id)
    )


def _standby(table: VmTable, group: GroupId, leader_vm_id: str) -> VmEntry | None:
    leader = table.get(leader_vm_id)
    leader_data_centre = leader.data_centre if leader else group.data_centre
    sibling = table.sibling_of(leader_data_centre)
    rank_key = _rank_key(table, group)
    candidates = (vm for vm in table.entry_vms(sibling) if vm.vm_id != leader_vm_id)
    fallback = (vm for vm in table.entry_vms(leader_data_centre) if vm.vm_id != leader_vm_id)
    preferred = _highest_ranked(rank_key, candidates) if sibling else None
    return preferred or _highest_ranked(rank_key, fallback)


def _rank_key(table: VmTable, group: GroupId) -> str:
    # The key contains the region and not the data centre, so that the groups with the same index
    # in both data centres of a region have each other's leader as standby.
    return f"{group.pool}/{table.region_of(group.data_centre)}/{group.index}"


def _highest_ranked(rank_key: str, vms: Iterable[VmEntry]) -> VmEntry | None:
    return next(iter(_ranked(rank_key, vms)), None)


def _ranked(rank_key: str, vms: Iterable[VmEntry]) -> list[VmEntry]:
    return sorted(vms, key=lambda vm: (-rendezvous_weight(rank_key, vm.vm_id), vm.vm_id))
