"""Control loop of an entry VM: runs its systems for all groups on each tick.

A system is one part of the loop: leases, owners or roles.
"""

import asyncio
import logging

import attrs

from fireflyferry.edges import Clock, ObjectStore, PeerLink, StoredObject, UpstreamControl
from fireflyferry.entry.group_runtime import GroupRuntime
from fireflyferry.entry.interfaces import GroupEvents
from fireflyferry.entry.lease_system import LeaseSystem
from fireflyferry.entry.operator_calls import OperatorCalls
from fireflyferry.entry.owner_system import OwnerSystem
from fireflyferry.entry.role_system import RoleSystem
from fireflyferry.entry.state import RecordView, VmState
from fireflyferry.entry.upstream_table import UpstreamTable
from fireflyferry.leases import LeaseTiming
from fireflyferry.messages import (
    GroupId,
    Heartbeat,
    HeartbeatReply,
    VmEntry,
    VmIncarnation,
    decode,
)
from fireflyferry.messages.control import LOST_PREFIX, LostVm
from fireflyferry.tasks import BackgroundTasks

__all__ = ["ControlLoop"]

_LOG = logging.getLogger(__name__)

# A tick of 50 ms took about a third of an idle VM's processor time.
TICK_S = 0.1
HANDOVER_TIMEOUT_S = 10.0


class ControlLoop:
    """Runs the systems for the groups that this VM takes part in, as leader or standby.

    Decisions are made by modules without I/O: leases, ownership, placement and membership.
    """

    def __init__(
        self,
        state: VmState,
        clock: Clock,
        store: ObjectStore,
        peers: PeerLink,
        upstream_control: UpstreamControl,
        timing: LeaseTiming,
        upstreams: UpstreamTable,
        runtimes: dict[GroupId, GroupRuntime],
    ) -> None:
        self._state = state
        self._clock = clock
        self._timing = timing
        self._runtimes = runtimes
        self._tasks = BackgroundTasks()
        self._leaving = False
        self._events: GroupEvents | None = None
        self._reported_terms: dict[GroupId, int] = {}
        self._leases = LeaseSystem(state, clock, store, peers, self._tasks)
        self._owners = OwnerSystem(
            state, clock, store, upstream_control, upstreams, self._tasks, self._on_term_begun
        )
        self._roles = RoleSystem(state, clock, store, peers, timing, self._tasks)
        self.operator_calls = OperatorCalls(state, clock, upstreams, runtimes)
        state.on_vm_gone.append(self._on_vm_gone)
        state.on_record.append(self._on_record)
        state.on_declared_lost.append(self._on_declared_lost)

    @property
    def this_vm(self) -> VmIncarnation:
        """Incarnation of this VM."""
        return self._state.this_vm

    @property
    def runtimes(self) -> dict[GroupId, GroupRuntime]:
        """Groups that this VM takes part in."""
        return self._runtimes

    @property
    def leaving(self) -> bool:
        """Whether this VM is shutting down."""
        return self._leaving

    def attach(self, events: GroupEvents) -> None:
        """Set the receiver of events about groups and upstreams."""
        self._events = events

    async def run(self) -> None:
        """Run a tick every `TICK_S` seconds until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Run every system once, and report the groups that this VM has lost."""
        now_s = self._clock.monotonic_s()
        self._roles.run(now_s, self._runtimes, self._leaving)
        self._leases.run(now_s, self._runtimes)
        self._owners.run(now_s, list(self._runtimes.values()))
        self._report_losses(now_s)

    def on_heartbeats(self, heartbeats: tuple[Heartbeat, ...]) -> tuple[HeartbeatReply, ...]:
        """Answer a leader's heartbeats with pledges."""
        return tuple(self._on_heartbeat(heartbeat) for heartbeat in heartbeats)

    def start_drain(self) -> None:
        """Stop taking over groups, and start to hand over the groups that this VM leads."""
        if self._leaving:
            return
        self._leaving = True
        now_s = self._clock.monotonic_s()
        for runtime in self._runtimes.values():
            runtime.authority.leave(now_s)
        _LOG.info("drain_started", extra={"groups": self._count_led_groups(now_s)})

    async def wait_for_handover(self) -> bool:
        """Wait until this VM leads no group, and return whether that happened.

        Waits for at most `HANDOVER_TIMEOUT_S` seconds.
        """
        end_s = self._clock.monotonic_s() + HANDOVER_TIMEOUT_S
        while self._count_led_groups(self._clock.monotonic_s()):
            if self._clock.monotonic_s() > end_s:
                return False
            await asyncio.sleep(TICK_S)
        return True

    def stop(self) -> None:
        """Cancel background work."""
        self._tasks.cancel()

    def _count_led_groups(self, now_s: float) -> int:
        return sum(1 for runtime in self._runtimes.values() if runtime.authority.is_leader(now_s))

    def _on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        runtime = self._roles.join(heartbeat.group, self._runtimes)
        now_s = self._clock.monotonic_s()
        if self._leaving:
            runtime.authority.leave(now_s)
        reply = runtime.authority.on_heartbeat(now_s, heartbeat)
        # Only a record of at least the heartbeat's term shows that this VM's own term is over.
        knows_term = runtime.term >= heartbeat.term and not runtime.authority.is_leader(now_s)
        return attrs.evolve(reply, stopped=knows_term and not runtime.grants.has_forwards())

    def _on_term_begun(self, runtime: GroupRuntime) -> None:
        if self._events is not None:
            self._events.group_gained(runtime.group, runtime.grants_term)
        self._reported_terms[runtime.group] = runtime.grants_term

    def _report_losses(self, now_s: float) -> None:
        for group in list(self._reported_terms):
            record = self._runtimes[group].authority.record
            if record is not None and record.term > self._reported_terms[group]:
                del self._reported_terms[group]
                if self._events is not None:
                    self._events.group_lost(group)
                _LOG.info("group_lost", extra={"group": str(group), "term": record.term})

    def _on_record(self, view: RecordView) -> None:
        self._roles.on_record(view, self._runtimes)

    def _on_vm_gone(self, entry: VmEntry) -> None:
        _LOG.info("vm_gone", extra={"vm": entry.vm_id, "role": entry.role})
        if entry.role == "upstream":
            self._remove_upstream(entry.vm_id)

    def _remove_upstream(self, upstream_id: str) -> None:
        self._owners.on_upstream_gone(upstream_id, list(self._runtimes.values()))
        if self._events is not None:
            self._events.upstream_gone(upstream_id)

    def _on_declared_lost(self, stored: StoredObject) -> None:
        """Apply an operator's declaration that a VM is lost."""
        lost = decode(stored.data, LostVm)
        if lost.withdrawn:
            return
        now_s = self._clock.monotonic_s()
        for incarnation in lost.incarnations:
            self._roles.declared_lost.add(VmIncarnation(lost.vm_id, incarnation))
            for runtime in self._runtimes.values():
                runtime.authority.declare_lost(
                    now_s, VmIncarnation(lost.vm_id, incarnation), by_operator=True
                )
        if not lost.incarnations:
            self._remove_upstream(lost.vm_id)
        _LOG.info("declared_lost", extra={"vm": lost.vm_id, "prefix": LOST_PREFIX})
