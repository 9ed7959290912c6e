"""Earlier leaders of a group whose delayed forwards may still arrive at an upstream."""

import logging

from fireflyferry.entry.group_runtime import GroupRuntime
from fireflyferry.messages import OwnerSet, VmIncarnation

__all__ = ["UNKNOWN_LEADER", "earlier_leaders", "leaders_to_save", "mark_leader_stopped"]

_LOG = logging.getLogger(__name__)

# Placeholder for owners that were saved without a list of leaders. No VM has this id, so nothing
# confirms that this leader has stopped.
UNKNOWN_LEADER = VmIncarnation("", "")


def earlier_leaders(newest_owners: OwnerSet | None, this_vm: VmIncarnation) -> set[VmIncarnation]:
    """Return the incarnations, except this VM's, that may have forwarded under these owners.

    The list is complete, since each leader saves itself with the owners before it forwards.
    """
    if newest_owners is None:
        return set()
    return set(newest_owners.leaders or (UNKNOWN_LEADER,)) - {this_vm}


def leaders_to_save(runtime: GroupRuntime, this_vm: VmIncarnation) -> tuple[VmIncarnation, ...]:
    """Return this VM and the earlier leaders that may still forward, sorted."""
    return tuple(sorted({this_vm, *runtime.earlier_leaders}))


def mark_leader_stopped(now_s: float, runtime: GroupRuntime, stopped: VmIncarnation) -> None:
    """Remove an earlier leader that has stopped forwarding.

    When none is left, units on upstreams without checks may move again.
    """
    if runtime.grants_term != runtime.term or stopped not in runtime.earlier_leaders:
        return
    runtime.earlier_leaders.discard(stopped)
    _LOG.info("earlier_leader_stopped", extra={"group": str(runtime.group), "vm": stopped.vm_id})
    if not runtime.earlier_leaders:
        runtime.grants.on_earlier_leader_stopped(now_s)
