"""System that decides which groups this VM takes part in, and names their standbys."""

import logging

from fireflyferry.edges import Clock, ObjectStore, PeerLink
from fireflyferry.edges.base import EdgeError
from fireflyferry.entry.earlier_leaders import mark_leader_stopped
from fireflyferry.entry.group_runtime import GroupRuntime, make_group_runtime
from fireflyferry.entry.state import PLACEMENTS_PREFIX, RecordView, VmState
from fireflyferry.leases import LeaseTiming
from fireflyferry.membership import (
    bootstrap_placement,
    group_upstreams,
    groups_of,
    preferred_leader,
    preferred_standby,
)
from fireflyferry.messages import GroupId, VmEntry, VmIncarnation, encode
from fireflyferry.tables import Pool, Tables
from fireflyferry.tasks import BackgroundTasks

__all__ = ["RoleSystem"]

_LOG = logging.getLogger(__name__)

ROLES_INTERVAL_S = 0.5
IDENTITY_MAX_AGE_S = 2.0
# A newly listed VM may still be starting. If it got a group at once and then failed, the group
# would move twice.
MIN_LISTED_S = 5.0
# The leader names another standby after this time without a pledge. It is longer than a session,
# so that a short pause of the standby has no effect.
STANDBY_TIMEOUT_S = 2.0


class RoleSystem:
    """Creates groups, names standbys and hands groups over to their preferred leader."""

    def __init__(
        self,
        state: VmState,
        clock: Clock,
        store: ObjectStore,
        peers: PeerLink,
        timing: LeaseTiming,
        tasks: BackgroundTasks,
    ) -> None:
        self._state = state
        self._clock = clock
        self._store = store
        self._peers = peers
        self._timing = timing
        self._tasks = tasks
        self._next_run_s = 0.0
        self._applied_revision = 0
        self._identities: dict[str, tuple[float, VmIncarnation]] = {}
        self._identity_requests: set[str] = set()
        self._creating_placements: set[str] = set()
        self.declared_lost: set[VmIncarnation] = set()

    def run(self, now_s: float, runtimes: dict[GroupId, GroupRuntime], leaving: bool) -> None:
        """Update the roles of this VM, at most once every `ROLES_INTERVAL_S` seconds."""
        tables = self._state.current()
        if self._state.revision != self._applied_revision:
            self._apply_takeover(runtimes)
        if now_s < self._next_run_s or tables is None or not self._state.vm_table.entries:
            return
        self._next_run_s = now_s + ROLES_INTERVAL_S
        if not leaving:
            self._bootstrap_placements(tables)
        for group in groups_of(tables):
            self._update_group(now_s, group, runtimes, leaving)

    def on_record(self, view: RecordView, runtimes: dict[GroupId, GroupRuntime]) -> None:
        """Pass a record from the feed to its group's authority.

        Joins the group first if the record names this VM.
        """
        group = view.record.group
        if self._state.this_vm in (view.record.leader, view.record.standby):
            self.join(group, runtimes)
        runtime = runtimes.get(group)
        if runtime is not None:
            now_s = self._clock.monotonic_s()
            # It is unknown when the feed requested this record. The earliest possible time keeps
            # it from counting as a fresh read.
            runtime.authority.observe_record(now_s, float("-inf"), view.record, view.version)

    def join(self, group: GroupId, runtimes: dict[GroupId, GroupRuntime]) -> GroupRuntime:
        """Return the state of a group, and create it if this VM does not take part yet."""
        runtime = runtimes.get(group)
        if runtime is None:
            runtime = make_group_runtime(
                group, self._state.this_vm, self._timing, self._takeover_is_held(group)
            )
            runtimes[group] = runtime
        return runtime

    def _apply_takeover(self, runtimes: dict[GroupId, GroupRuntime]) -> None:
        """Apply the `takeover` setting of new tables to the groups of this VM."""
        self._applied_revision = self._state.revision
        for group, runtime in runtimes.items():
            runtime.authority.set_hold(self._takeover_is_held(group))

    def _takeover_is_held(self, group: GroupId) -> bool:
        """Return whether `takeover` is `hold`; True until the pool's setting is known."""
        tables = self._state.current()
        pool = tables.pool(group.pool) if tables else None
        return pool is None or pool.takeover == "hold"

    # One group

    def _update_group(
        self,
        now_s: float,
        group: GroupId,
        runtimes: dict[GroupId, GroupRuntime],
        leaving: bool,
    ) -> None:
        preferred = preferred_leader(self._state.vm_table, group)
        is_preferred = preferred is not None and preferred.vm_id == self._state.vm_id
        if group not in runtimes and is_preferred and not leaving:
            self.join(group, runtimes)
        runtime = runtimes.get(group)
        if runtime is None:
            return
        authority = runtime.authority
        if authority.is_leader(now_s):
            self._manage_standby(now_s, runtime, preferred, leaving)
        elif authority.version == 0 and is_preferred and not leaving:
            authority.create(now_s, None)
        elif authority.record is not None and not leaving:
            self._declare_lost_vms(now_s, runtime)

    def _manage_standby(
        self, now_s: float, runtime: GroupRuntime, preferred: VmEntry | None, leaving: bool
    ) -> None:
        """Keep a standby that answers, and hand the group over to its preferred leader."""
        for incarnation in list(runtime.earlier_leaders):
            if self._has_ended(now_s, incarnation, runtime.led_since_s):
                mark_leader_stopped(now_s, runtime, incarnation)
        desired = self._desired_standby(now_s, runtime, preferred)
        current = runtime.authority.record.standby
        if desired is not None and (current is None or desired.vm_id != current.vm_id):
            identity = self._recent_identity(now_s, desired)
            if identity is not None:
                self._set_standby(now_s, runtime, identity)
                return
        if now_s - runtime.last_pledge_at_s > STANDBY_TIMEOUT_S:
            self._replace_silent_standby(now_s, runtime, desired)
            return
        standby_is_preferred = (
            preferred is not None and current is not None and preferred.vm_id == current.vm_id
        )
        pledged = now_s - runtime.last_pledge_at_s < self._timing.pledge_s
        if pledged and (leaving or standby_is_preferred):
            runtime.authority.resign(now_s)

    def _desired_standby(
        self, now_s: float, runtime: GroupRuntime, preferred: VmEntry | None
    ) -> VmEntry | None:
        table = self._state.vm_table
        current = runtime.authority.record.standby
        preferred_elsewhere = preferred is not None and preferred.vm_id != self._state.vm_id
        if preferred_elsewhere and table.listed_for_s(now_s, preferred.vm_id) >= MIN_LISTED_S:
            return preferred
        desired = preferred_standby(table, runtime.group, self._state.vm_id)
        if current is None or desired is None:
            return desired
        current_entry = table.get(current.vm_id)
        stable = table.listed_for_s(now_s, desired.vm_id) >= MIN_LISTED_S
        return desired if stable or current_entry is None else current_entry

    def _replace_silent_standby(
        self, now_s: float, runtime: GroupRuntime, desired: VmEntry | None
    ) -> None:
        """Name another VM of the region as standby, or a new incarnation of the same VM."""
        current = runtime.authority.record.standby
        in_region = [
            vm
            for vm in self._state.vm_table.entry_vms()
            if vm.region == self._state.region and vm.vm_id != self._state.vm_id
        ]
        for entry in [*([desired] if desired else []), *in_region]:
            identity = self._recent_identity(now_s, entry)
            if identity is not None and identity != current:
                self._set_standby(now_s, runtime, identity)
                return

    @staticmethod
    def _set_standby(now_s: float, runtime: GroupRuntime, identity: VmIncarnation) -> None:
        if identity != runtime.authority.record.standby:
            runtime.authority.replace_standby(now_s, identity)
            runtime.last_pledge_at_s = now_s

    def _declare_lost_vms(self, now_s: float, runtime: GroupRuntime) -> None:
        """Declare the record's leader or standby lost if that incarnation has ended.

        It has ended if the platform no longer lists its VM, or if the VM has another incarnation.
        """
        record = runtime.authority.record
        for incarnation in (record.leader, record.standby):
            if incarnation is None or incarnation == self._state.this_vm:
                continue
            if incarnation.vm_id == self._state.vm_id or self._state.vm_table.is_gone(
                incarnation.vm_id
            ):
                runtime.authority.declare_lost(now_s, incarnation)
                continue
            entry = self._state.vm_table.get(incarnation.vm_id)
            identity = self._recent_identity(now_s, entry) if entry else None
            if identity is not None and identity != incarnation:
                runtime.authority.declare_lost(now_s, incarnation)

    def _has_ended(self, now_s: float, incarnation: VmIncarnation, since_s: float) -> bool:
        """Return whether an incarnation has ended.

        It has ended if an operator declared it lost, if the platform no longer lists its VM, or if
        the VM has another incarnation. An identity that was requested before `since_s` may be that
        of an earlier incarnation, so it does not count.
        """
        if incarnation in self.declared_lost or self._state.vm_table.is_gone(incarnation.vm_id):
            return True
        if incarnation.vm_id == self._state.vm_id:
            return incarnation != self._state.this_vm
        entry = self._state.vm_table.get(incarnation.vm_id)
        identity = self._recent_identity(now_s, entry) if entry else None
        if identity is None or identity == incarnation:
            return False
        return self._identities[incarnation.vm_id][0] >= since_s

    # Identities of other VMs

    def _recent_identity(self, now_s: float, entry: VmEntry) -> VmIncarnation | None:
        """Return a VM's incarnation if it answered recently; request it otherwise."""
        sent_at_s, identity = self._identities.get(entry.vm_id, (float("-inf"), None))
        if identity is not None and now_s - sent_at_s < IDENTITY_MAX_AGE_S:
            return identity
        if entry.vm_id not in self._identity_requests:
            self._identity_requests.add(entry.vm_id)
            self._tasks.start(self._fetch_identity(entry))
        return None

    async def _fetch_identity(self, entry: VmEntry) -> None:
        sent_at_s = self._clock.monotonic_s()
        try:
            identity = await self._peers.identity(entry.peer_address)
        except EdgeError:
            self._identities.pop(entry.vm_id, None)
            return
        finally:
            self._identity_requests.discard(entry.vm_id)
        if identity.vm_id == entry.vm_id:
            self._identities[entry.vm_id] = (sent_at_s, identity)

    # Placement of buckets on groups

    def _bootstrap_placements(self, tables: Tables) -> None:
        for pool in tables.pools:
            if pool.name in self._state.placements or pool.name in self._creating_placements:
                continue
            first_group = next(group for group in groups_of(tables) if group.pool == pool.name)
            leader = preferred_leader(self._state.vm_table, first_group)
            if leader is not None and leader.vm_id == self._state.vm_id:
                self._creating_placements.add(pool.name)
                self._tasks.start(self._create_placement(pool, tables))

    async def _create_placement(self, pool: Pool, tables: Tables) -> None:
        table = self._state.vm_table
        groups = [group for group in groups_of(tables) if group.pool == pool.name]
        capacity = {
            group: len(group_upstreams(table, group, pool.groups_per_data_centre))
            for group in groups
        }
        placement = bootstrap_placement(pool.name, pool.buckets, capacity)
        try:
            await self._store.put(f"{PLACEMENTS_PREFIX}{pool.name}", encode(placement), 0)
        except EdgeError as error:
            _LOG.info("placement_not_created", extra={"pool": pool.name, "error": error.code})
        finally:
            self._creating_placements.discard(pool.name)
