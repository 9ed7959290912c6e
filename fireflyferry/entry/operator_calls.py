"""Calls that operators make to one VM: status, assign a unit, drain an upstream."""

import asyncio
import collections

from fireflyferry.edges import Clock
from fireflyferry.entry.group_runtime import GroupRuntime
from fireflyferry.entry.placing import PlacementPlanner
from fireflyferry.entry.state import VmState
from fireflyferry.entry.upstream_table import UpstreamTable
from fireflyferry.membership.vm_table import UPSTREAM
from fireflyferry.messages import GroupId
from fireflyferry.messages.control import (
    AssignReply,
    AssignRequest,
    DrainReply,
    DrainRequest,
    GroupStatus,
    Move,
)
from fireflyferry.ownership import Owner
from fireflyferry.placement import parse_unit
from fireflyferry.telemetry import Reason

__all__ = ["OperatorCalls"]

ASSIGN_TIMEOUT_S = 2.5
POLL_INTERVAL_S = 0.02


class OperatorCalls:
    """Reports on the groups that this VM leads, and changes them for operators."""

    def __init__(
        self,
        state: VmState,
        clock: Clock,
        upstreams: UpstreamTable,
        runtimes: dict[GroupId, GroupRuntime],
    ) -> None:
        self._state = state
        self._clock = clock
        self._upstreams = upstreams
        self._runtimes = runtimes
        self._placement_planner = PlacementPlanner(state, upstreams)

    def group_statuses(self) -> tuple[GroupStatus, ...]:
        """Return the status of each group that this VM leads."""
        now_s = self._clock.monotonic_s()
        led = [runtime for runtime in self._runtimes.values() if runtime.is_serving(now_s)]
        return tuple(self._group_status(now_s, runtime) for runtime in led)

    async def assign(self, request: AssignRequest) -> AssignReply:
        """Pin a unit to an upstream, and wait until the new owner is saved and granted.

        Waits for at most `ASSIGN_TIMEOUT_S` seconds; the pin stays after a timeout.
        """
        now_s = self._clock.monotonic_s()
        runtime, reply = self._find_led_group(request, now_s)
        if runtime is None:
            return reply
        entry = self._state.vm_table.get(request.upstream_id)
        if entry is None or entry.role != UPSTREAM or entry.pool != request.pool:
            return AssignReply(False, "unknown_upstream", group=str(runtime.group))
        if not self._placement_planner.may_own(now_s, runtime, request.upstream_id):
            return AssignReply(False, "upstream_not_in_group", group=str(runtime.group))
        runtime.pins[request.unit] = request.upstream_id
        unit = parse_unit(request.unit)
        if unit.key is not None:
            runtime.hot_key_planner.adopt({*runtime.hot_key_planner.keys, unit.key})
        runtime.next_placement_s = 0.0
        return await self._wait_until_owned(runtime, request)

    def drain(self, request: DrainRequest) -> DrainReply:
        """Stop placing units on an upstream, and move its units to others."""
        if request.target == self._state.vm_id:
            return DrainReply(True)
        row = self._upstreams.get(request.target)
        if row is None:
            return DrainReply(False, "unknown_upstream")
        row.drain_requested = True
        units = 0
        for runtime in self._runtimes.values():
            runtime.next_placement_s = 0.0
            units += sum(
                upstream_id == request.target for upstream_id in runtime.desired_owners.values()
            )
        return DrainReply(True, units=units)

    def _find_led_group(
        self, request: AssignRequest, now_s: float
    ) -> tuple[GroupRuntime | None, AssignReply]:
        """Return the state of the unit's group, or None and a refusal if it is not led here."""
        placement = self._state.placements.get(request.pool)
        if placement is None:
            return None, AssignReply(False, "unknown_pool")
        group = placement.group_of(parse_unit(request.unit).bucket)
        runtime = self._runtimes.get(group)
        if runtime is not None and runtime.is_serving(now_s):
            return runtime, AssignReply(True)
        view = self._state.records.get(group)
        entry = self._state.vm_table.get(view.record.leader.vm_id) if view else None
        address = entry.peer_address if entry else ""
        return None, AssignReply(False, Reason.NOT_LEADER, address, str(group))

    async def _wait_until_owned(self, runtime: GroupRuntime, request: AssignRequest) -> AssignReply:
        end_s = self._clock.monotonic_s() + ASSIGN_TIMEOUT_S
        group = str(runtime.group)
        while (now_s := self._clock.monotonic_s()) < end_s:
            owner = runtime.grants.owner(now_s, request.unit)
            if isinstance(owner, Owner) and owner.upstream_id == request.upstream_id:
                return AssignReply(
                    True, group=group, fence=owner.fence, durability=runtime.durability
                )
            await asyncio.sleep(POLL_INTERVAL_S)
        return AssignReply(False, "not_in_place_yet", group=group)

    def _group_status(self, now_s: float, runtime: GroupRuntime) -> GroupStatus:
        record = runtime.authority.record
        owners = {unit: runtime.grants.owner(now_s, unit) for unit in runtime.desired_owners}
        held = [unit for unit, owner in owners.items() if owner is Reason.OWNER_HELD]
        moves = [
            Move(unit, owner.upstream_id if isinstance(owner, Owner) else "", target)
            for unit, target in runtime.desired_owners.items()
            if not isinstance(owner := owners[unit], Owner) or owner.upstream_id != target
        ]
        units_by_upstream = collections.Counter(
            owner.upstream_id for owner in owners.values() if isinstance(owner, Owner)
        )
        key_owners = {
            unit: owner.upstream_id
            for unit, owner in owners.items()
            if unit.startswith("k:") and isinstance(owner, Owner)
        }
        return GroupStatus(
            runtime.group,
            record.term,
            record.leader,
            record.standby,
            runtime.authority.authority_until_s() - now_s,
            dict(units_by_upstream),
            key_owners,
            tuple(moves),
            tuple(held),
        )
