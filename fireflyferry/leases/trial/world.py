"""Simulated time, network and store, and checks of the lease invariants."""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Any

from fireflyferry.leases.actions import WriteOutcome
from fireflyferry.leases.trial.processes import (
    SimulatedProcess,
    SimulatedUpstream,
    SimulatedVm,
    SimulationOptions,
)
from fireflyferry.messages import GroupRecord, VmIncarnation

__all__ = ["SimulatedWorld"]

CALL_TIMEOUT_S = 1.0
# Delay until the platform reports a lost VM.
LIST_LAG_S = 2.0


class SimulatedWorld:
    """Simulated processes, network and store, with checks of the lease invariants.

    The invariants are: at most one leader at a time and per term, a term that never decreases,
    at most one upstream that holds a unit, and no loss of owners that a standby acknowledged.
    Violations are collected in `violations`. `longest_gap_s` is the longest time without a leader.
    """

    def __init__(self, seed: int, options: SimulationOptions | None = None) -> None:
        self.options = options or SimulationOptions()
        self.random = random.Random(seed)
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self.store_delay_s = 0.0
        self.restore_network()
        self.faults_ended_count = 0
        self.cut_links: set[frozenset[str]] = set()
        self.store_up = True
        self.record: GroupRecord | None = None
        self.version = 0
        self.acknowledged_owners: dict[VmIncarnation, tuple[int, int]] = {}
        self.violations: list[str] = []
        self.longest_gap_s = 0.0
        self.leader_last_seen_s: float | None = None
        self._leader_by_term: dict[int, VmIncarnation] = {}
        self._stopped_s: dict[VmIncarnation, float] = {}
        self.vms: list[SimulatedVm] = []
        for index in range(self.options.vms):
            self.vms.append((self.options.vm or SimulatedVm)(self, f"vm-{index}"))
        self.upstreams = [SimulatedUpstream(self, f"u-{i}") for i in range(self.options.upstreams)]
        self.desired_owners = {f"b:{unit}": "u-0" for unit in range(self.options.units)}

    def vm(self, name: str) -> SimulatedVm:
        """Return the VM with the given name."""
        return next(vm for vm in self.vms if vm.name == name)

    def upstream(self, name: str) -> SimulatedUpstream:
        """Return the upstream with the given name."""
        return next(upstream for upstream in self.upstreams if upstream.name == name)

    def leader(self) -> SimulatedVm | None:
        """Return a VM that has authority, or None."""
        return next(iter(self._vms_with_authority()), None)

    # Time and network.

    def run(self, duration_s: float) -> None:
        """Advance simulated time."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        self.now_s = end_s

    def schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run an event after a delay, independently of the state of processes."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._event_numbers), event))

    def schedule_on_process(
        self, delay_s: float, process: SimulatedProcess, event: Callable[[], None]
    ) -> None:
        """Run an event in the current incarnation of a process.

        It runs after a delay, or later if the process is paused then, and not at all if the
        incarnation has ended.
        """
        self._schedule_in_incarnation(delay_s, process, process.incarnation_number, event)

    def call(
        self,
        caller: SimulatedProcess,
        server: SimulatedProcess,
        serve: Callable[[], Any],
        on_reply: Callable[[Any], None],
    ) -> None:
        """Call another process; the request or the reply can be lost or delayed."""
        incarnation_number = caller.incarnation_number

        def handle_request() -> None:
            reply = serve()
            if self._delivers(caller.name, server.name):
                self._schedule_in_incarnation(
                    self._random_delay_s(), caller, incarnation_number, lambda: on_reply(reply)
                )

        if self._delivers(caller.name, server.name):
            self._schedule_in_incarnation(self._random_delay_s(), server, None, handle_request)

    def call_store(
        self,
        caller: SimulatedProcess,
        serve: Callable[[], Any],
        on_reply: Callable[[Any], None],
        timed_out: Any = None,
    ) -> None:
        """Call the store; a call without a reply can still have taken effect.

        Without a reply within CALL_TIMEOUT_S, `on_reply` is called with `timed_out`, unless that
        is None.
        """
        unanswered = [True]

        def finish(reply: Any) -> None:
            if unanswered:
                unanswered.clear()
                on_reply(reply)

        def handle_request() -> None:
            if not self.store_up:
                return
            reply = serve()
            if self._delivers(caller.name, "store"):
                self.schedule_on_process(self._random_delay_s(), caller, lambda: finish(reply))

        if self._delivers(caller.name, "store"):
            slow_s = self.random.uniform(self.store_delay_s / 2, self.store_delay_s)
            self.schedule(self._random_delay_s() + slow_s, handle_request)
        if timed_out is not None:
            self.schedule_on_process(CALL_TIMEOUT_S, caller, lambda: finish(timed_out))

    def _schedule_in_incarnation(
        self,
        delay_s: float,
        process: SimulatedProcess,
        incarnation_number: int | None,
        event: Callable[[], None],
    ) -> None:
        def run_event() -> None:
            if not process.alive or incarnation_number not in (None, process.incarnation_number):
                return
            if self.now_s < process.paused_until_s:
                process.deferred_events.append(run_event)
                return
            event()
            self._check_leaders()

        self.schedule(delay_s, run_event)

    def _delivers(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cut_links and self.random.random() >= self.loss

    def _random_delay_s(self) -> float:
        """Draw a delay; half of the messages are ten times as fast, to reorder messages."""
        return self.random.uniform(0.0005, self.delay_s) * self.random.choice((0.1, 1.0))

    # Faults.

    def pause(self, process: SimulatedProcess, duration_s: float) -> None:
        """Pause a process for a duration; its clock continues."""
        process.paused_until_s = max(process.paused_until_s, self.now_s + duration_s)
        self.schedule(duration_s, lambda: self._resume(process))

    def _resume(self, process: SimulatedProcess) -> None:
        if self.now_s >= process.paused_until_s:
            deferred_events, process.deferred_events = process.deferred_events, []
            for event in deferred_events:
                event()

    def stop(self, process: SimulatedProcess) -> None:
        """Stop a process."""
        process.alive = False
        self._stopped_s[process.incarnation] = self.now_s

    def restart(self, process: SimulatedProcess) -> None:
        """Stop a process if it runs, and start a new incarnation of it."""
        if process.alive:
            self.stop(process)
        process.incarnation_number += 1
        process.alive, process.paused_until_s, process.deferred_events = True, 0.0, []
        process.start()

    def restore_network(self) -> None:
        """Make the network deliver all messages, each within 20 ms."""
        self.loss, self.delay_s = 0.0, 0.02

    def end_all_faults(self) -> None:
        """End all faults and restart processes that are stopped or shutting down."""
        self.faults_ended_count += 1
        self.cut_links.clear()
        self.restore_network()
        self.store_up, self.store_delay_s = True, 0.0
        for process in (*self.vms, *self.upstreams):
            process.paused_until_s = min(process.paused_until_s, self.now_s)
            self._resume(process)
            if not process.alive or (process in self.vms and process.authority.leaving):
                self.restart(process)

    def reported_lost(self, vm: SimulatedVm, incarnation: VmIncarnation) -> bool:
        """Return whether the platform has reported to a VM that an incarnation has ended."""
        reachable = self.store_up and frozenset((vm.name, "store")) not in self.cut_links
        stopped_s = self._stopped_s.get(incarnation)
        return reachable and stopped_s is not None and self.now_s >= stopped_s + LIST_LAG_S

    # The store, and checks of the invariants.

    def put(self, record: GroupRecord, expected_version: int) -> tuple[WriteOutcome, int]:
        """Write the record if its version is the expected one."""
        if self.version != expected_version:
            return WriteOutcome.CONFLICT, 0
        if self._leader_by_term.setdefault(record.term, record.leader) != record.leader:
            self._report_violation(f"term {record.term} has two leaders")
        if self.record is not None and record.term < self.record.term:
            self._report_violation(f"term decreases from {self.record.term} to {record.term}")
        self.record, self.version = record, self.version + 1
        for vm in self.vms:
            self._feed(vm, record, self.version)
        return WriteOutcome.STORED, self.version

    def _feed(self, vm: SimulatedVm, record: GroupRecord, version: int) -> None:
        """Send a change to a VM through the feed, without the time of a request for it."""
        if self._delivers(vm.name, "store"):
            self.schedule_on_process(
                self._random_delay_s(),
                vm,
                lambda: vm.authority.observe_record(vm.now_s, -math.inf, record, version),
            )

    def accept(self, upstream: SimulatedUpstream, message: Any) -> Any:
        """Pass a grant to an upstream, and check that no unit is held by two upstreams."""
        reply = upstream.holder.accept(upstream.now_s, message)
        held = [unit for u in self.upstreams for unit in u.holder.held_units(u.now_s)]
        for unit in {unit for unit in held if held.count(unit) > 1}:
            self._report_violation(f"unit {unit} is held twice")
        return reply

    def shuffle_owners(self) -> None:
        """Draw new desired owners for about half of the units.

        This simulates a new leader without knowledge of earlier grants.
        """
        for unit in self.desired_owners:
            if self.random.random() < 0.5:
                self.desired_owners[unit] = self.random.choice(self.upstreams).name

    def check_replica(self, vm: SimulatedVm) -> None:
        """Check that a new leader still has the owners that it acknowledged as the standby."""
        replica = vm.authority.replica
        if vm.incarnation in self.acknowledged_owners:
            position = (replica.term, replica.sequence) if replica else (0, 0)
            if position < self.acknowledged_owners[vm.incarnation]:
                self._report_violation(f"{vm.name} lost acknowledged owners")

    def _vms_with_authority(self) -> list[SimulatedVm]:
        return [vm for vm in self.vms if vm.alive and vm.authority.is_leader(vm.now_s)]

    def _check_leaders(self) -> None:
        leading = self._vms_with_authority()
        if len(leading) > 1:
            self._report_violation(f"two leaders: {', '.join(vm.name for vm in leading)}")
        for vm in leading:
            term = vm.authority.record.term
            if self._leader_by_term.setdefault(term, vm.incarnation) != vm.incarnation:
                self._report_violation(f"term {term} has two leaders")
        if leading and self.leader_last_seen_s is not None:
            self.longest_gap_s = max(self.longest_gap_s, self.now_s - self.leader_last_seen_s)
        if leading:
            self.leader_last_seen_s = self.now_s

    def _report_violation(self, violation: str) -> None:
        if violation not in self.violations:
            self.violations.append(violation)
