"""Control loop of an entry VM: runs the systems over the group table on each tick."""

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

__all__ = ["Control"]

_LOG = logging.getLogger(__name__)

# Ticks of 50 ms took about a third of the processor time of a VM at rest.
TICK_S = 0.1
HANDOVER_LIMIT_S = 10.0


class Control:
    """Owns the group table; all decisions are made by the pure modules."""

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
        self._announced: dict[GroupId, int] = {}
        self._leases = LeaseSystem(state, clock, store, peers, self._tasks)
        self._owners = OwnerSystem(
            state, clock, store, upstream_control, upstreams, self._tasks, self._term_begun
        )
        self._roles = RoleSystem(state, clock, store, peers, timing, self._tasks)
        self.operator_calls = OperatorCalls(state, clock, upstreams, runtimes)
        state.on_gone.append(self._vm_gone)
        state.on_record.append(self._record_seen)
        state.on_lost.append(self._declared_lost)

    @property
    def me(self) -> VmIncarnation:
        """This run of this VM."""
        return self._state.me

    @property
    def runtimes(self) -> dict[GroupId, GroupRuntime]:
        """The group table."""
        return self._runtimes

    @property
    def leaving(self) -> bool:
        """Whether this VM is shutting down."""
        return self._leaving

    def attach(self, events: GroupEvents) -> None:
        """Tell the request path about groups that are gained and lost."""
        self._events = events

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Run every system once."""
        now_s = self._clock.monotonic_s()
        self._roles.run(now_s, self._runtimes, self._leaving)
        self._leases.run(now_s, self._runtimes)
        self._owners.run(now_s, list(self._runtimes.values()))
        self._announce_losses(now_s)

    def on_heartbeats(self, heartbeats: tuple[Heartbeat, ...]) -> tuple[HeartbeatReply, ...]:
        """Answer a leader's heartbeats with pledges."""
        return tuple(self._on_heartbeat(heartbeat) for heartbeat in heartbeats)

    def start_drain(self) -> None:
        """Stop taking groups over, and hand over those that this VM leads."""
        if self._leaving:
            return
        self._leaving = True
        now_s = self._clock.monotonic_s()
        for runtime in self._runtimes.values():
            runtime.authority.leave(now_s)
        _LOG.info("drain_started", extra={"groups": self._led(now_s)})

    async def handed_over(self) -> bool:
        """Wait until this VM leads no group, for a limited time; tell whether that came."""
        end_s = self._clock.monotonic_s() + HANDOVER_LIMIT_S
        while self._led(self._clock.monotonic_s()):
            if self._clock.monotonic_s() > end_s:
                return False
            await asyncio.sleep(TICK_S)
        return True

    def stop(self) -> None:
        """Cancel background work."""
        self._tasks.cancel()

    def _led(self, now_s: float) -> int:
        return sum(1 for runtime in self._runtimes.values() if runtime.authority.is_leader(now_s))

    def _on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        runtime = self._roles.join(heartbeat.group, self._runtimes)
        now_s = self._clock.monotonic_s()
        if self._leaving:
            runtime.authority.leave(now_s)
        reply = runtime.authority.on_heartbeat(now_s, heartbeat)
        # An older record would not show that this run's own term is over.
        known = runtime.term >= heartbeat.term and not runtime.authority.is_leader(now_s)
        return attrs.evolve(reply, stopped=known and not runtime.book.has_forwards())

    def _term_begun(self, runtime: GroupRuntime) -> None:
        if self._events is not None:
            self._events.group_gained(runtime.group, runtime.book_term)
        self._announced[runtime.group] = runtime.book_term

    def _announce_losses(self, now_s: float) -> None:
        for group in list(self._announced):
            record = self._runtimes[group].authority.record
            if record is not None and record.term > self._announced[group]:
                del self._announced[group]
                if self._events is not None:
                    self._events.group_lost(group)
                _LOG.info("group_lost", extra={"group": str(group), "term": record.term})

    def _record_seen(self, view: RecordView) -> None:
        self._roles.on_record(view, self._runtimes)

    def _vm_gone(self, entry: VmEntry) -> None:
        _LOG.info("vm_gone", extra={"vm": entry.vm_id, "role": entry.role})
        if entry.role == "upstream":
            self._upstream_gone(entry.vm_id)

    def _upstream_gone(self, upstream_id: str) -> None:
        self._owners.on_upstream_gone(upstream_id, list(self._runtimes.values()))
        if self._events is not None:
            self._events.upstream_gone(upstream_id)

    def _declared_lost(self, stored: StoredObject) -> None:
        """Carry out an operator's word that a VM is lost."""
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
            self._upstream_gone(lost.vm_id)
        _LOG.info("declared_lost", extra={"vm": lost.vm_id, "prefix": LOST_PREFIX})
