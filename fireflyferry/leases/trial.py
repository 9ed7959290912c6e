"""Seeded model of VMs, a store and upstreams around the real lease modules.

The benchmark and the tests of this package run it. Time is simulated, and each process has a
clock of its own whose rate differs from the others' by at most the drift bound.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import attrs

from fireflyferry.leases.actions import ReadRecord, SendHeartbeat, WriteOutcome, WriteRecord
from fireflyferry.leases.authority import GroupAuthority
from fireflyferry.leases.holder import GrantHolder
from fireflyferry.leases.timing import LeaseTiming
from fireflyferry.leases.trial_book import TrialBook
from fireflyferry.messages import GroupId, GroupRecord, OwnerSet, VmIncarnation

__all__ = ["GROUP", "TrialOptions", "TrialWorld"]

GROUP = GroupId("trial", "dc-1", 0)
TICK_S = 0.05
CALL_TIMEOUT_S = 1.0
# The entry program replaces a standby that has not answered for this long.
STANDBY_PATIENCE_S = 2.0
# The platform reports a lost VM after this long.
LIST_LAG_S = 2.0


@attrs.define
class TrialOptions:
    """What a world consists of; classes can be replaced to remove a guard."""

    timing: LeaseTiming = attrs.Factory(LeaseTiming)
    vms: int = 3
    upstreams: int = 2
    units: int = 3
    authority: type[GroupAuthority] = GroupAuthority
    holder: type[GrantHolder] = GrantHolder
    book: type[TrialBook] = TrialBook


class _Process:
    """A process that can pause and restart, with a clock of its own."""

    def __init__(self, world: "TrialWorld", name: str) -> None:
        self.world = world
        self.name = name
        spread = (1 + world.options.timing.drift) ** 0.5
        self._rate = world.random.uniform(1 / spread, spread)
        self._offset_s = world.random.uniform(0, 1000)
        self.paused_until_s = 0.0
        self.alive = True
        self.run = 0
        self.start()

    @property
    def incarnation(self) -> VmIncarnation:
        return VmIncarnation(self.name, str(self.run))

    @property
    def now_s(self) -> float:
        return self._offset_s + self._rate * self.world.now_s

    def start(self) -> None:
        raise NotImplementedError


class TrialUpstream(_Process):
    """An upstream with its grants."""

    def start(self) -> None:
        self.holder = self.world.options.holder(self.name, str(self.run))


class TrialVm(_Process):
    """An entry VM with its role in the group; the leader also grants units."""

    def start(self) -> None:
        options = self.world.options
        self.authority = options.authority(GROUP, self.incarnation, options.timing)
        self.book: TrialBook | None = None
        self._answered_s = self.now_s
        self._next_standby = 0
        self.world.after(0.0, self, self.tick)

    def tick(self) -> None:
        """Run one tick of the control loop and schedule the next."""
        self._control()
        for action in self.authority.tick(self.now_s):
            self._perform(action)
        self._grant()
        self.world.after(TICK_S, self, self.tick)

    def _control(self) -> None:
        """Create the record, replace a silent standby, pass on the platform's word."""
        authority, world = self.authority, self.world
        if authority.version == 0 and self is world.vms[0]:
            authority.create(self.now_s, world.vms[1].incarnation)
        record = authority.record
        if record is None:
            return
        for lost in (record.leader, record.standby):
            if lost and world.reported_lost(self, lost):
                authority.declare_lost(self.now_s, lost)
        if not authority.is_leader(self.now_s):
            self._answered_s = self.now_s
        elif self.now_s - self._answered_s > STANDBY_PATIENCE_S:
            others = [vm for vm in world.vms if vm is not self]
            standby = others[self._next_standby % len(others)]
            authority.replace_standby(self.now_s, standby.incarnation)
            self._answered_s, self._next_standby = self.now_s, self._next_standby + 1

    def _perform(self, action: Any) -> None:
        asked_s, world = self.now_s, self.world
        match action:
            case SendHeartbeat(heartbeat):
                standby = world.vm(heartbeat.standby.vm_id)
                world.call(
                    self,
                    standby,
                    lambda: standby.authority.on_heartbeat(standby.now_s, heartbeat),
                    lambda reply: self._on_reply(asked_s, reply),
                )
            case ReadRecord():
                world.call_store(
                    self,
                    lambda: (world.record, world.version),
                    lambda stored: self.authority.observe_record(self.now_s, asked_s, *stored),
                )
            case WriteRecord(record, expected_version):
                world.call_store(
                    self,
                    lambda: world.put(record, expected_version),
                    lambda result: self.authority.on_write_result(
                        self.now_s, asked_s, record.write_id, *result
                    ),
                    timed_out=(WriteOutcome.UNKNOWN, 0),
                )

    def _on_reply(self, asked_s: float, reply: Any) -> None:
        if reply.pledge_s > 0:
            self._answered_s = self.now_s
        self.authority.on_heartbeat_reply(self.now_s, asked_s, reply)
        if acknowledged := self.authority.owners_acknowledged:
            kept = self.world.acknowledged.get(reply.standby, (0, 0))
            self.world.acknowledged[reply.standby] = max(kept, acknowledged)

    def _grant(self) -> None:
        """Grant units under the authority that is left."""
        authority, world = self.authority, self.world
        if not authority.is_leader(self.now_s):
            return
        term = authority.record.term
        if self.book is None or self.book.term != term:
            earlier_s = self.book.grants_until_s() if self.book else self.now_s
            start_s = max(authority.previous_grants_until_s, earlier_s)
            names = [upstream.name for upstream in world.upstreams]
            self.book = world.options.book(term, world.options.timing, start_s, names)
            world.check_replica(self)
        changes = self.book.place(self.now_s, world.desired)
        if changes:
            authority.replicate(
                self.now_s, OwnerSet(GROUP, term, self.book.sequence, dict(world.desired))
            )
        for name, message in self.book.messages(self.now_s, authority.authority_until_s()):
            upstream, book = world.upstream(name), self.book
            world.call(
                self,
                upstream,
                lambda upstream=upstream, message=message: world.accept(upstream, message),
                lambda reply, book=book, name=name: book.on_reply(name, reply),
            )


class TrialWorld:
    """Processes, network, store and the checks of the lease promises."""

    def __init__(self, seed: int, options: TrialOptions | None = None) -> None:
        self.options = options or TrialOptions()
        self.random = random.Random(seed)
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.loss, self.delay_s = 0.0, 0.02
        self.cuts: set[frozenset[str]] = set()
        self.store_up = True
        self.record: GroupRecord | None = None
        self.version = 0
        self.acknowledged: dict[VmIncarnation, tuple[int, int]] = {}
        self.violations: list[str] = []
        self.longest_gap_s = 0.0
        self.last_led_s: float | None = None
        self._leaders: dict[int, VmIncarnation] = {}
        self._lost_s: dict[VmIncarnation, float] = {}
        self.vms: list[TrialVm] = []
        for index in range(self.options.vms):
            self.vms.append(TrialVm(self, f"vm-{index}"))
        self.upstreams = [TrialUpstream(self, f"u-{i}") for i in range(self.options.upstreams)]
        self.desired = {f"b:{unit}": "u-0" for unit in range(self.options.units)}

    def vm(self, name: str) -> TrialVm:
        """Return the VM of a name."""
        return next(vm for vm in self.vms if vm.name == name)

    def upstream(self, name: str) -> TrialUpstream:
        """Return the upstream of a name."""
        return next(upstream for upstream in self.upstreams if upstream.name == name)

    def leader(self) -> TrialVm | None:
        """Return a VM that has authority."""
        return next(iter(self._with_authority()), None)

    # Time and network.

    def run(self, duration_s: float) -> None:
        """Advance simulated time."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        self.now_s = end_s

    def after(self, delay_s: float, process: _Process, event: Callable[[], None]) -> None:
        """Run an event in the present run of a process, later if it is paused then."""
        self._push(delay_s, process, process.run, event)

    def call(
        self,
        caller: _Process,
        server: _Process,
        serve: Callable[[], Any],
        on_reply: Callable[[Any], None],
    ) -> None:
        """Call another process; the request or the reply can be lost or late."""
        run = caller.run

        def served() -> None:
            reply = serve()
            if self._passes(caller.name, server.name):
                self._push(self._delay_s(), caller, run, lambda: on_reply(reply))

        if self._passes(caller.name, server.name):
            self._push(self._delay_s(), server, None, served)

    def call_store(
        self,
        caller: _Process,
        serve: Callable[[], Any],
        on_reply: Callable[[Any], None],
        timed_out: Any = None,
    ) -> None:
        """Call the store; a call without an answer can still have taken effect."""
        open_calls = [True]

        def finish(reply: Any) -> None:
            if open_calls:
                open_calls.clear()
                on_reply(reply)

        def served() -> None:
            if not self.store_up:
                return
            reply = serve()
            if self._passes(caller.name, "store"):
                self.after(self._delay_s(), caller, lambda: finish(reply))

        if self._passes(caller.name, "store"):
            run_at_s = self.now_s + self._delay_s()
            heapq.heappush(self._events, (run_at_s, next(self._order), served))
        if timed_out is not None:
            self.after(CALL_TIMEOUT_S, caller, lambda: finish(timed_out))

    def _push(
        self, delay_s: float, process: _Process, run: int | None, event: Callable[[], None]
    ) -> None:
        def fire() -> None:
            if not process.alive or run not in (None, process.run):
                return
            if self.now_s < process.paused_until_s:
                self._push(process.paused_until_s - self.now_s, process, run, event)
                return
            event()
            self._check_leaders()

        heapq.heappush(self._events, (self.now_s + delay_s, next(self._order), fire))

    def _passes(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cuts and self.random.random() >= self.loss

    def _delay_s(self) -> float:
        return self.random.uniform(0.0005, self.delay_s)

    # Faults.

    def pause(self, process: _Process, duration_s: float) -> None:
        """Stop a process for some time; its clock goes on."""
        process.paused_until_s = max(process.paused_until_s, self.now_s + duration_s)

    def stop(self, process: _Process) -> None:
        """End a process."""
        process.alive = False
        self._lost_s[process.incarnation] = self.now_s

    def restart(self, process: _Process) -> None:
        """End a process and start a new run of it."""
        if process.alive:
            self.stop(process)
        process.run += 1
        process.alive, process.paused_until_s = True, 0.0
        process.start()

    def heal(self) -> None:
        """End all faults and restart VMs that are down or leaving."""
        self.cuts.clear()
        self.store_up, self.loss, self.delay_s = True, 0.0, 0.02
        for process in (*self.vms, *self.upstreams):
            process.paused_until_s = min(process.paused_until_s, self.now_s)
        for vm in self.vms:
            if not vm.alive or vm.authority.leaving:
                self.restart(vm)

    def reported_lost(self, vm: TrialVm, run: VmIncarnation) -> bool:
        """Return whether the platform has told a VM that a run of another has ended."""
        reachable = self.store_up and frozenset((vm.name, "store")) not in self.cuts
        lost_s = self._lost_s.get(run)
        return reachable and lost_s is not None and self.now_s >= lost_s + LIST_LAG_S

    # The store, and checks of the promises.

    def put(self, record: GroupRecord, expected_version: int) -> tuple[WriteOutcome, int]:
        """Write the record if its version is the expected one."""
        if self.version != expected_version:
            return WriteOutcome.CONFLICT, 0
        if self._leaders.setdefault(record.term, record.leader) != record.leader:
            self._report(f"term {record.term} has two leaders")
        if self.record is not None and record.term < self.record.term:
            self._report(f"term goes back from {self.record.term} to {record.term}")
        self.record, self.version = record, self.version + 1
        return WriteOutcome.STORED, self.version

    def accept(self, upstream: TrialUpstream, message: Any) -> Any:
        """Let an upstream take a grant, and check that no other holds one of its units."""
        reply = upstream.holder.accept(upstream.now_s, message)
        held = [unit for u in self.upstreams for unit in u.holder.held_units(u.now_s)]
        for unit in {unit for unit in held if held.count(unit) > 1}:
            self._report(f"unit {unit} is held twice")
        return reply

    def check_replica(self, vm: TrialVm) -> None:
        """Check that a new leader keeps the owners that it acknowledged as the standby."""
        kept = vm.authority.replica
        if vm.incarnation in self.acknowledged:
            position = (kept.term, kept.sequence) if kept else (0, 0)
            if position < self.acknowledged[vm.incarnation]:
                self._report(f"{vm.name} lost acknowledged owners")

    def _with_authority(self) -> list[TrialVm]:
        return [vm for vm in self.vms if vm.alive and vm.authority.is_leader(vm.now_s)]

    def _check_leaders(self) -> None:
        leading = self._with_authority()
        if len(leading) > 1:
            self._report(f"two leaders: {', '.join(vm.name for vm in leading)}")
        for vm in leading:
            term = vm.authority.record.term
            if self._leaders.setdefault(term, vm.incarnation) != vm.incarnation:
                self._report(f"term {term} has two leaders")
        if leading and self.last_led_s is not None:
            self.longest_gap_s = max(self.longest_gap_s, self.now_s - self.last_led_s)
        if leading:
            self.last_led_s = self.now_s

    def _report(self, violation: str) -> None:
        if violation not in self.violations:
            self.violations.append(violation)
