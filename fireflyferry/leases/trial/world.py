"""Simulated time, network and store, and the checks of the lease promises."""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Any

from fireflyferry.leases.actions import WriteOutcome
from fireflyferry.leases.trial.processes import (
    TrialOptions,
    TrialProcess,
    TrialUpstream,
    TrialVm,
)
from fireflyferry.messages import GroupRecord, VmIncarnation

__all__ = ["TrialWorld"]

CALL_TIMEOUT_S = 1.0
# The platform reports a lost VM after this long.
LIST_LAG_S = 2.0


class TrialWorld:
    """Processes, network, store and the checks of the lease promises."""

    def __init__(self, seed: int, options: TrialOptions | None = None) -> None:
        self.options = options or TrialOptions()
        self.random = random.Random(seed)
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.store_delay_s = 0.0
        self.calm()
        self.heals = 0
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

    def at(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run an event after a delay, whatever the state of processes."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._order), event))

    def after(self, delay_s: float, process: TrialProcess, event: Callable[[], None]) -> None:
        """Run an event in the present run of a process, later if it is paused then."""
        self._push(delay_s, process, process.run, event)

    def call(
        self,
        caller: TrialProcess,
        server: TrialProcess,
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
        caller: TrialProcess,
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
            slow_s = self.random.uniform(self.store_delay_s / 2, self.store_delay_s)
            self.at(self._delay_s() + slow_s, served)
        if timed_out is not None:
            self.after(CALL_TIMEOUT_S, caller, lambda: finish(timed_out))

    def _push(
        self, delay_s: float, process: TrialProcess, run: int | None, event: Callable[[], None]
    ) -> None:
        def fire() -> None:
            if not process.alive or run not in (None, process.run):
                return
            if self.now_s < process.paused_until_s:
                process.backlog.append(fire)
                return
            event()
            self._check_leaders()

        self.at(delay_s, fire)

    def _passes(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cuts and self.random.random() >= self.loss

    def _delay_s(self) -> float:
        """Draw a delay; half of the messages are ten times as fast, so that some overtake."""
        return self.random.uniform(0.0005, self.delay_s) * self.random.choice((0.1, 1.0))

    # Faults.

    def pause(self, process: TrialProcess, duration_s: float) -> None:
        """Stop a process for some time; its clock goes on."""
        process.paused_until_s = max(process.paused_until_s, self.now_s + duration_s)
        self.at(duration_s, lambda: self._resume(process))

    def _resume(self, process: TrialProcess) -> None:
        if self.now_s >= process.paused_until_s:
            backlog, process.backlog = process.backlog, []
            for event in backlog:
                event()

    def stop(self, process: TrialProcess) -> None:
        """End a process."""
        process.alive = False
        self._lost_s[process.incarnation] = self.now_s

    def restart(self, process: TrialProcess) -> None:
        """End a process and start a new run of it."""
        if process.alive:
            self.stop(process)
        process.run += 1
        process.alive, process.paused_until_s, process.backlog = True, 0.0, []
        process.start()

    def calm(self) -> None:
        """Deliver all messages, within 20 ms."""
        self.loss, self.delay_s = 0.0, 0.02

    def heal(self) -> None:
        """End all faults and restart processes that are down or leaving."""
        self.heals += 1
        self.cuts.clear()
        self.calm()
        self.store_up, self.store_delay_s = True, 0.0
        for process in (*self.vms, *self.upstreams):
            process.paused_until_s = min(process.paused_until_s, self.now_s)
            self._resume(process)
            if not process.alive or (process in self.vms and process.authority.leaving):
                self.restart(process)

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
        for vm in self.vms:
            self._feed(vm, record, self.version)
        return WriteOutcome.STORED, self.version

    def _feed(self, vm: TrialVm, record: GroupRecord, version: int) -> None:
        """Show a change to a VM, without a time at which it was asked for."""
        if self._passes(vm.name, "store"):
            self.after(
                self._delay_s(),
                vm,
                lambda: vm.authority.observe_record(vm.now_s, -math.inf, record, version),
            )

    def accept(self, upstream: TrialUpstream, message: Any) -> Any:
        """Let an upstream take a grant, and check that no other holds one of its units."""
        reply = upstream.holder.accept(upstream.now_s, message)
        held = [unit for u in self.upstreams for unit in u.holder.held_units(u.now_s)]
        for unit in {unit for unit in held if held.count(unit) > 1}:
            self._report(f"unit {unit} is held twice")
        return reply

    def shuffle_owners(self) -> None:
        """Move half of the units, as if a new leader knew nothing about earlier grants."""
        for unit in self.desired:
            if self.random.random() < 0.5:
                self.desired[unit] = self.random.choice(self.upstreams).name

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
