"""Lookup of leaders and owners for the request path."""

from fireflyferry.entry.group_runtime import GroupRuntime
from fireflyferry.entry.interfaces import (
    LocalOwners,
    Location,
    Locator,
    TrafficObserver,
    UpstreamTarget,
)
from fireflyferry.entry.state import VmState
from fireflyferry.entry.upstream_table import UpstreamTable
from fireflyferry.messages import GroupId
from fireflyferry.ownership import Owner
from fireflyferry.placement import bucket_of, bucket_unit, parse_unit
from fireflyferry.telemetry import Outcome, Reason

__all__ = ["OwnerView"]


class OwnerView(Locator, LocalOwners, TrafficObserver):
    """Reads the state of the control loop's last tick, so that no request waits for a tick."""

    def __init__(
        self,
        state: VmState,
        upstreams: UpstreamTable,
        runtimes: dict[GroupId, GroupRuntime],
    ) -> None:
        self._state = state
        self._upstreams = upstreams
        self._runtimes = runtimes

    def locate(self, pool: str, key: str) -> Location | Reason:
        """Return the location of a key, or the reason why it has no leader."""
        placement = self._state.placements.get(pool)
        if placement is None:
            return Reason.NO_LEADER
        bucket = bucket_of(key, placement.buckets)
        group = placement.group_of(bucket)
        view = self._state.records.get(group)
        if view is None:
            return Reason.NO_LEADER
        record = view.record
        local = record.leader == self._state.this_vm
        entry = self._state.vm_table.get(record.leader.vm_id)
        if entry is None and not local:
            return Reason.NO_LEADER
        runtime = self._runtimes.get(group) if local else None
        unit = runtime.grants.unit_of(bucket, key) if runtime else bucket_unit(bucket)
        address = entry.peer_address if entry else ""
        return Location(group, unit, record.leader, address, record.term, local)

    def owner(self, now_s: float, group: GroupId, unit: str) -> UpstreamTarget | Reason:
        """Return the owner of a unit, or the reason why this VM may not forward to it."""
        runtime = self._led_runtime(now_s, group)
        if isinstance(runtime, Reason):
            return runtime
        return self._target(runtime, runtime.grants.owner(now_s, unit))

    def begin_forward(
        self, now_s: float, group: GroupId, unit: str, key: str
    ) -> UpstreamTarget | Reason:
        """Return the owner of a unit, and count a request in flight to it."""
        runtime = self._led_runtime(now_s, group)
        if isinstance(runtime, Reason):
            return runtime
        if runtime.grants.unit_of(parse_unit(unit).bucket, key) != unit:
            # The key was split from its bucket, or merged into it, while the request waited.
            return Reason.NOT_OWNER
        owner = runtime.grants.begin_forward(now_s, unit, key)
        target = self._target(runtime, owner)
        if isinstance(target, Reason) and isinstance(owner, Owner):
            runtime.grants.end_forward(owner.upstream_id, unit, key)
        return target

    def end_forward(self, group: GroupId, upstream_id: str, unit: str, key: str) -> None:
        """Stop counting a request, also if this VM has lost the group in the meantime."""
        runtime = self._runtimes.get(group)
        if runtime is not None:
            runtime.grants.end_forward(upstream_id, unit, key)

    def may_forward(self, now_s: float, group: GroupId) -> bool:
        """Return whether this VM leads the group and has loaded its owners."""
        runtime = self._runtimes.get(group)
        return runtime is not None and runtime.is_serving(now_s)

    def on_request(self, pool: str, key: str, tenant: str) -> None:
        """Count the key in the hot-key sketch of its group."""
        placement = self._state.placements.get(pool)
        if placement is None:
            return
        group = placement.group_of(bucket_of(key, placement.buckets))
        runtime = self._runtimes.get(group)
        if runtime is not None:
            runtime.hot_key_sketch.observe(key)

    def on_result(self, upstream_id: str, outcome: Outcome, service_s: float) -> None:
        """Record the service time of an answered attempt for the cold-start ramp."""
        if outcome is Outcome.ANSWERED:
            self._upstreams.on_service_time(upstream_id, service_s)

    def _led_runtime(self, now_s: float, group: GroupId) -> GroupRuntime | Reason:
        runtime = self._runtimes.get(group)
        if runtime is None or not runtime.authority.is_leader(now_s):
            return Reason.NOT_LEADER
        return runtime if runtime.is_serving(now_s) else Reason.OWNER_UNAVAILABLE

    def _target(self, runtime: GroupRuntime, owner: Owner | Reason) -> UpstreamTarget | Reason:
        if isinstance(owner, Reason):
            return owner
        row = self._upstreams.get(owner.upstream_id)
        if row is None or row.hello is None:
            return Reason.OWNER_UNAVAILABLE
        return UpstreamTarget(
            owner.upstream_id,
            row.entry.address,
            owner.fence,
            runtime.grants_term,
            row.hello.slots,
            row.hello.checks,
        )
