"""VM table, choice of VMs for roles, placement of buckets, and mirror of the store's objects."""

from fireflyferry.membership.mirror import Mirror, ObjectMirror, Versioned
from fireflyferry.membership.placements import PlacementMap, bootstrap_placement
from fireflyferry.membership.roles import (
    group_upstreams,
    groups_of,
    preferred_leader,
    preferred_standby,
    relay_order,
)
from fireflyferry.membership.vm_table import VmTable

__all__ = [
    "Mirror",
    "ObjectMirror",
    "PlacementMap",
    "Versioned",
    "VmTable",
    "bootstrap_placement",
    "group_upstreams",
    "groups_of",
    "preferred_leader",
    "preferred_standby",
    "relay_order",
]
