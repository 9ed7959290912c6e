"""Simulation of VMs that compete for one lease.

The store's answers are lost, late or stale; VMs freeze, and their clocks differ in rate and offset.
The store may come back from a copy, which begins an era and reissues revisions.
"""

import random
from collections.abc import Callable

import attrs

from fireflyferry.keyranges import (
    GrantingLeaseTiming,
    LeaseRecord,
    ReadLease,
    StoreLease,
    WriteLease,
)

__all__ = ["LeaseSimulation"]

STEP_S = 0.02


@attrs.define
class _SimulatedVm:
    lease: StoreLease
    clock_rate: float
    offset_s: float
    frozen_until_s: float = 0.0
    cut_until_s: float = 0.0
    barred_until_s: float = 0.0
    era: int | None = None

    def clock_s(self, now_s: float) -> float:
        return now_s * self.clock_rate + self.offset_s


@attrs.define
class LeaseSimulation:
    """Advances time in steps; counts the steps with several holders and those with one.

    With `barring`, VMs may not hold the lease for some of the time. With `restoring`, the store has
    eras and comes back from copies; answers in flight over a restore arrive late.
    """

    rng: random.Random
    make_lease: Callable[[str, GrantingLeaseTiming], StoreLease] = lambda name, timing: StoreLease(
        name, f"{name}-1", timing
    )
    barring: random.Random | None = None
    restoring: random.Random | None = None
    era: int | None = None
    restores: int = 0
    vms: list[_SimulatedVm] = attrs.field(factory=list)
    now_s: float = 0.0
    record: LeaseRecord | None = None
    revision: int = 0
    history: list[tuple[float, LeaseRecord | None, int]] = attrs.field(factory=list)
    scheduled: list[tuple[float, Callable[[], None]]] = attrs.field(factory=list)
    overlaps: int = 0
    held_steps: int = 0
    store_down_until_s: float = 0.0

    def add_vms(self, count: int) -> None:
        """Add VMs whose clocks run up to 1% fast or slow."""
        for number in range(count):
            lease = self.make_lease(f"vm-{number}", GrantingLeaseTiming())
            clock_rate = self.rng.uniform(0.99, 1.01)
            self.vms.append(_SimulatedVm(lease, clock_rate, self.rng.uniform(0, 1000)))

    def run(self, seconds: float) -> None:
        """Advance the time with random faults."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._inject_fault()
            due = [each for each in self.scheduled if each[0] <= self.now_s]
            self.scheduled = [each for each in self.scheduled if each[0] > self.now_s]
            for _, callback in sorted(due, key=lambda each: each[0]):
                callback()
            for vm in self.vms:
                if vm.frozen_until_s <= self.now_s:
                    may_hold = vm.barred_until_s <= self.now_s
                    action = vm.lease.tick(vm.clock_s(self.now_s), may_hold)
                    if action is not None:
                        self._send(vm, action)
            holders = [vm for vm in self.vms if vm.lease.holds(vm.clock_s(self.now_s))]
            self.overlaps += len(holders) > 1
            self.held_steps += len(holders) == 1

    def restore(self, copy_age_s: float) -> None:
        """Let the store come back from a copy; all later writes are lost, the era increases."""
        kept = [each for each in self.history if each[0] <= self.now_s - copy_age_s]
        _, self.record, self.revision = kept[-1] if kept else (0.0, None, 0)
        self.history = kept
        self.era = (self.era or 0) + 1
        self.restores += 1

    def _restore_at_random(self, rng: random.Random) -> None:
        if rng.random() < 0.004:
            self.restore(rng.choice([0.0, rng.uniform(0.0, 2.0), rng.uniform(0.0, 10.0)]))
            if rng.random() < 0.3:
                age_s = rng.uniform(0.0, 5.0)
                self._schedule(self.now_s + rng.uniform(0.0, 3.0), lambda: self.restore(age_s))

    def _inject_fault(self) -> None:
        if self.restoring is not None:
            self.era = self.era or 1
            self._restore_at_random(self.restoring)
        if self.barring is not None and self.barring.random() < 0.005:
            barred = self.barring.choice(self.vms)
            barred.barred_until_s = self.now_s + self.barring.uniform(0.2, 4.0)
        roll = self.rng.random()
        vm = self.rng.choice(self.vms)
        if roll < 0.002:
            vm.frozen_until_s = self.now_s + self.rng.uniform(0.5, 5.0)
        elif roll < 0.004:
            vm.cut_until_s = self.now_s + self.rng.uniform(0.5, 6.0)
        elif roll < 0.0045:
            self.store_down_until_s = self.now_s + self.rng.uniform(1.0, 6.0)

    def _send(self, vm: _SimulatedVm, action: ReadLease | WriteLease) -> None:
        arrives_s = self.now_s + self.rng.uniform(0.0, 0.05)
        lost = self.rng.random() < 0.05
        late_s = self.rng.uniform(0.5, 6.0) if self.rng.random() < 0.05 else 0.0
        era = vm.era
        cut = vm.cut_until_s > self.now_s or self.store_down_until_s > self.now_s
        if cut:
            self._schedule_for_vm(1.0, lambda: vm.lease.on_failed(vm.clock_s(self.now_s)), vm)
        elif isinstance(action, ReadLease):
            self._schedule(arrives_s, lambda: self._read(vm, action.stale, lost))
        else:
            if late_s:
                self._schedule_for_vm(1.0, lambda: vm.lease.on_failed(vm.clock_s(self.now_s)), vm)
            self._schedule(
                arrives_s + late_s, lambda: self._write(vm, action, lost, bool(late_s), era)
            )

    def _read(self, vm: _SimulatedVm, stale: bool, lost: bool) -> None:
        record, revision = self.record, self.revision
        if stale and self.rng.random() < 0.3:
            old_s = self.now_s - self.rng.uniform(0.0, 5.0)
            old_entries = [each for each in self.history if each[0] <= old_s]
            _, record, revision = old_entries[-1] if old_entries else (0.0, None, 0)
        self._answer(vm, lost, lambda now_s: vm.lease.on_read(now_s, record, revision))

    def _write(
        self, vm: _SimulatedVm, action: WriteLease, lost: bool, late: bool, era: int | None
    ) -> None:
        if action.revision != self.revision:
            record, revision = self.record, self.revision
            if not late:
                self._answer(
                    vm, lost, lambda now_s: vm.lease.on_read(now_s, record, revision), era, True
                )
            return
        self.record, self.revision = action.record, self.revision + 1
        self.history.append((self.now_s, self.record, self.revision))
        revision = self.revision
        if not late:
            self._answer(vm, lost, lambda now_s: vm.lease.on_written(now_s, revision), era, True)

    def _answer(
        self,
        vm: _SimulatedVm,
        lost: bool,
        apply: Callable[[float], None],
        sent_era: int | None = None,
        is_write: bool = False,
    ) -> None:
        era = self.era

        def arrive() -> None:
            now_s = vm.clock_s(self.now_s)
            if era is not None and vm.era is not None and era < vm.era:
                vm.lease.on_failed(now_s)
                return
            if era is not None and era != vm.era:
                vm.era = era
                vm.lease.begin_era(now_s, era)
            if is_write and era != sent_era:
                vm.lease.on_failed(now_s)
            else:
                apply(now_s)

        if lost:
            self._schedule_for_vm(1.0, lambda: vm.lease.on_failed(vm.clock_s(self.now_s)), vm)
            return
        delay_s = self.rng.uniform(0.0, 0.05)
        if self.restoring is not None and self.restoring.random() < 0.1:
            delay_s += self.restoring.uniform(0.0, 1.4)
        self._schedule_for_vm(delay_s, arrive, vm)

    def _schedule_for_vm(
        self, delay_s: float, callback: Callable[[], None], vm: _SimulatedVm
    ) -> None:
        def call_when_awake() -> None:
            if vm.frozen_until_s > self.now_s:
                self._schedule(vm.frozen_until_s, call_when_awake)
            else:
                callback()

        self._schedule(self.now_s + delay_s, call_when_awake)

    def _schedule(self, at_s: float, callback: Callable[[], None]) -> None:
        self.scheduled.append((at_s, callback))
