"""System that decides which groups this VM takes part in, and names leaders and standbys."""

import logging

from fireflyferry.edges import Clock, ObjectStore, PeerLink
from fireflyferry.edges.base import EdgeError
from fireflyferry.entry.earlier_leaders import note_stopped
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
IDENTITY_FRESH_S = 2.0
# A VM that was just listed may still be starting; handing it a group at once would move the
# group twice if it fails.
STABLE_LISTED_S = 5.0
# Lost heartbeats for this long make the leader name another standby. It is longer than a
# session, so that a short pause of the standby costs nothing.
STANDBY_SILENT_S = 2.0


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
        self._next_s = 0.0
        self._applied_revision = 0
        self._identities: dict[str, tuple[float, VmIncarnation]] = {}
        self._asking: set[str] = set()
        self._placing: set[str] = set()
        self.declared_lost: set[VmIncarnation] = set()

    def run(self, now_s: float, runtimes: dict[GroupId, GroupRuntime], leaving: bool) -> None:
        """Update the roles of this VM if it is time to."""
        tables = self._state.current()
        if self._state.revision != self._applied_revision:
            self._apply_takeover(runtimes)
        if now_s < self._next_s or tables is None or not self._state.vm_table.entries:
            return
        self._next_s = now_s + ROLES_INTERVAL_S
        if not leaving:
            self._bootstrap_placements(tables)
        for group in groups_of(tables):
            self._update(now_s, group, runtimes, leaving)

    def on_record(self, view: RecordView, runtimes: dict[GroupId, GroupRuntime]) -> None:
        """Pass a record from the feed to the group's authority, and join a group that names us."""
        group = view.record.group
        if self._state.me in (view.record.leader, view.record.standby):
            self.join(group, runtimes)
        runtime = runtimes.get(group)
        if runtime is not None:
            now_s = self._clock.monotonic_s()
            # A change that came through the feed was asked for at an unknown earlier time; the
            # earliest safe value keeps it from counting as a fresh read.
            runtime.authority.observe_record(now_s, float("-inf"), view.record, view.version)

    def join(self, group: GroupId, runtimes: dict[GroupId, GroupRuntime]) -> GroupRuntime:
        """Return the row of a group, with a new one if this VM did not take part in it."""
        runtime = runtimes.get(group)
        if runtime is None:
            runtime = make_group_runtime(group, self._state.me, self._timing, self._holds(group))
            runtimes[group] = runtime
        return runtime

    def _apply_takeover(self, runtimes: dict[GroupId, GroupRuntime]) -> None:
        """Apply the `takeover` of new tables to the groups of this VM."""
        self._applied_revision = self._state.revision
        for group, runtime in runtimes.items():
            runtime.authority.set_hold(self._holds(group))

    def _holds(self, group: GroupId) -> bool:
        """Tell whether takeovers are held; they are until the pool's setting is known."""
        tables = self._state.current()
        pool = tables.pool(group.pool) if tables else None
        return pool is None or pool.takeover == "hold"

    # One group

    def _update(
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
            self._lead(now_s, runtime, preferred, leaving)
        elif authority.version == 0 and is_preferred and not leaving:
            authority.create(now_s, None)
        elif authority.record is not None and not leaving:
            self._watch_for_loss(now_s, runtime)

    def _lead(
        self, now_s: float, runtime: GroupRuntime, preferred: VmEntry | None, leaving: bool
    ) -> None:
        """Keep a standby that answers, and hand the group to its preferred leader."""
        for named in list(runtime.earlier_leaders):
            if self._has_ended(now_s, named, runtime.led_since_s):
                note_stopped(now_s, runtime, named)
        wanted = self._wanted_standby(now_s, runtime, preferred)
        current = runtime.authority.record.standby
        if wanted is not None and (current is None or wanted.vm_id != current.vm_id):
            found = self._identity(now_s, wanted)
            if found is not None:
                self._name_standby(now_s, runtime, found)
                return
        if now_s - runtime.heard_at_s > STANDBY_SILENT_S:
            self._replace_silent(now_s, runtime, wanted)
            return
        home = preferred is not None and current is not None and preferred.vm_id == current.vm_id
        pledged = now_s - runtime.heard_at_s < self._timing.pledge_s
        if pledged and (leaving or home):
            runtime.authority.resign(now_s)

    def _wanted_standby(
        self, now_s: float, runtime: GroupRuntime, preferred: VmEntry | None
    ) -> VmEntry | None:
        table = self._state.vm_table
        current = runtime.authority.record.standby
        away = preferred is not None and preferred.vm_id != self._state.vm_id
        if away and table.listed_for_s(now_s, preferred.vm_id) >= STABLE_LISTED_S:
            return preferred
        wanted = preferred_standby(table, runtime.group, self._state.vm_id)
        if current is None or wanted is None:
            return wanted
        kept = table.get(current.vm_id)
        stable = table.listed_for_s(now_s, wanted.vm_id) >= STABLE_LISTED_S
        return wanted if stable or kept is None else kept

    def _replace_silent(self, now_s: float, runtime: GroupRuntime, wanted: VmEntry | None) -> None:
        """Name another standby of the region, or the new incarnation of the same VM."""
        current = runtime.authority.record.standby
        in_region = [
            vm
            for vm in self._state.vm_table.entry_vms()
            if vm.region == self._state.region and vm.vm_id != self._state.vm_id
        ]
        for entry in [*([wanted] if wanted else []), *in_region]:
            found = self._identity(now_s, entry)
            if found is not None and found != current:
                self._name_standby(now_s, runtime, found)
                return

    @staticmethod
    def _name_standby(now_s: float, runtime: GroupRuntime, found: VmIncarnation) -> None:
        if found != runtime.authority.record.standby:
            runtime.authority.replace_standby(now_s, found)
            runtime.heard_at_s = now_s

    def _watch_for_loss(self, now_s: float, runtime: GroupRuntime) -> None:
        """Tell the authority which of the record's VMs are gone by the platform's word."""
        record = runtime.authority.record
        for named in (record.leader, record.standby):
            if named is None or named == self._state.me:
                continue
            if named.vm_id == self._state.vm_id or self._state.vm_table.is_gone(named.vm_id):
                runtime.authority.declare_lost(now_s, named)
                continue
            entry = self._state.vm_table.get(named.vm_id)
            found = self._identity(now_s, entry) if entry else None
            if found is not None and found != named:
                runtime.authority.declare_lost(now_s, named)

    def _has_ended(self, now_s: float, named: VmIncarnation, since_s: float) -> bool:
        """Tell whether a run has ended, by a word about it or by a later run of its VM.

        An identity that was asked for before `since_s` may be that of an earlier run.
        """
        if named in self.declared_lost or self._state.vm_table.is_gone(named.vm_id):
            return True
        if named.vm_id == self._state.vm_id:
            return named != self._state.me
        entry = self._state.vm_table.get(named.vm_id)
        found = self._identity(now_s, entry) if entry else None
        if found is None or found == named:
            return False
        return self._identities[named.vm_id][0] >= since_s

    # Identities of other VMs

    def _identity(self, now_s: float, entry: VmEntry) -> VmIncarnation | None:
        """Return a VM's incarnation if it answered lately, and ask again otherwise."""
        asked_at_s, found = self._identities.get(entry.vm_id, (float("-inf"), None))
        if found is not None and now_s - asked_at_s < IDENTITY_FRESH_S:
            return found
        if entry.vm_id not in self._asking:
            self._asking.add(entry.vm_id)
            self._tasks.start(self._ask_identity(entry))
        return None

    async def _ask_identity(self, entry: VmEntry) -> None:
        asked_at_s = self._clock.monotonic_s()
        try:
            found = await self._peers.identity(entry.peer_address)
        except EdgeError:
            self._identities.pop(entry.vm_id, None)
            return
        finally:
            self._asking.discard(entry.vm_id)
        if found.vm_id == entry.vm_id:
            self._identities[entry.vm_id] = (asked_at_s, found)

    # Placement of buckets on groups

    def _bootstrap_placements(self, tables: Tables) -> None:
        for pool in tables.pools:
            if pool.name in self._state.placements or pool.name in self._placing:
                continue
            first = next(group for group in groups_of(tables) if group.pool == pool.name)
            leader = preferred_leader(self._state.vm_table, first)
            if leader is not None and leader.vm_id == self._state.vm_id:
                self._placing.add(pool.name)
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
            self._placing.discard(pool.name)
