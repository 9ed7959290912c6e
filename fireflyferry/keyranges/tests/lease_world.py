"""VMs with leases over one store, with lost, late and stale answers, freezes and skewed clocks."""

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

__all__ = ["LeaseWorld"]

STEP_S = 0.02


@attrs.define
class _Vm:
    lease: StoreLease
    rate: float
    offset_s: float
    frozen_until_s: float = 0.0
    cut_until_s: float = 0.0

    def clock(self, now_s: float) -> float:
        return now_s * self.rate + self.offset_s


@attrs.define
class LeaseWorld:
    """Advances true time in steps; `overlaps` counts moments with two holders."""

    rng: random.Random
    make: Callable[[str, GrantingLeaseTiming], StoreLease] = lambda name, rules: StoreLease(
        name, f"{name}-1", rules
    )
    vms: list[_Vm] = attrs.field(factory=list)
    now_s: float = 0.0
    record: LeaseRecord | None = None
    revision: int = 0
    history: list[tuple[float, LeaseRecord | None, int]] = attrs.field(factory=list)
    events: list[tuple[float, Callable[[], None]]] = attrs.field(factory=list)
    overlaps: int = 0
    held_steps: int = 0
    store_away_until_s: float = 0.0

    def add_vms(self, count: int) -> None:
        """Add VMs whose clocks run up to 1% fast or slow."""
        for number in range(count):
            lease = self.make(f"vm-{number}", GrantingLeaseTiming())
            rate = self.rng.uniform(0.99, 1.01)
            self.vms.append(_Vm(lease, rate, self.rng.uniform(0, 1000)))

    def run(self, seconds: float) -> None:
        """Let time pass with random faults."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._fault()
            due = [each for each in self.events if each[0] <= self.now_s]
            self.events = [each for each in self.events if each[0] > self.now_s]
            for _, happen in sorted(due, key=lambda each: each[0]):
                happen()
            for vm in self.vms:
                if vm.frozen_until_s <= self.now_s:
                    action = vm.lease.tick(vm.clock(self.now_s))
                    if action is not None:
                        self._call(vm, action)
            holders = [vm for vm in self.vms if vm.lease.holds(vm.clock(self.now_s))]
            self.overlaps += len(holders) > 1
            self.held_steps += len(holders) == 1

    def _fault(self) -> None:
        roll = self.rng.random()
        vm = self.rng.choice(self.vms)
        if roll < 0.002:
            vm.frozen_until_s = self.now_s + self.rng.uniform(0.5, 5.0)
        elif roll < 0.004:
            vm.cut_until_s = self.now_s + self.rng.uniform(0.5, 6.0)
        elif roll < 0.0045:
            self.store_away_until_s = self.now_s + self.rng.uniform(1.0, 6.0)

    def _call(self, vm: _Vm, action: ReadLease | WriteLease) -> None:
        arrives_s = self.now_s + self.rng.uniform(0.0, 0.05)
        lost = self.rng.random() < 0.05
        late_s = self.rng.uniform(0.5, 6.0) if self.rng.random() < 0.05 else 0.0
        cut = vm.cut_until_s > self.now_s or self.store_away_until_s > self.now_s
        if cut:
            self._later(1.0, lambda: vm.lease.on_failed(vm.clock(self.now_s)), vm)
        elif isinstance(action, ReadLease):
            self._at(arrives_s, lambda: self._read(vm, action.stale, lost))
        else:
            if late_s:
                self._later(1.0, lambda: vm.lease.on_failed(vm.clock(self.now_s)), vm)
            self._at(arrives_s + late_s, lambda: self._write(vm, action, lost, bool(late_s)))

    def _read(self, vm: _Vm, stale: bool, lost: bool) -> None:
        record, revision = self.record, self.revision
        if stale and self.rng.random() < 0.3:
            old_s = self.now_s - self.rng.uniform(0.0, 5.0)
            known = [each for each in self.history if each[0] <= old_s]
            _, record, revision = known[-1] if known else (0.0, None, 0)
        self._answer(vm, lost, lambda now_s: vm.lease.on_read(now_s, record, revision))

    def _write(self, vm: _Vm, action: WriteLease, lost: bool, late: bool) -> None:
        if action.revision != self.revision:
            record, revision = self.record, self.revision
            if not late:
                self._answer(vm, lost, lambda now_s: vm.lease.on_read(now_s, record, revision))
            return
        self.record, self.revision = action.record, self.revision + 1
        self.history.append((self.now_s, self.record, self.revision))
        revision = self.revision
        if not late:
            self._answer(vm, lost, lambda now_s: vm.lease.on_written(now_s, revision))

    def _answer(self, vm: _Vm, lost: bool, take: Callable[[float], None]) -> None:
        if lost:
            self._later(1.0, lambda: vm.lease.on_failed(vm.clock(self.now_s)), vm)
        else:
            self._later(self.rng.uniform(0.0, 0.05), lambda: take(vm.clock(self.now_s)), vm)

    def _later(self, delay_s: float, happen: Callable[[], None], vm: _Vm) -> None:
        def when_awake() -> None:
            if vm.frozen_until_s > self.now_s:
                self._at(vm.frozen_until_s, when_awake)
            else:
                happen()

        self._at(self.now_s + delay_s, when_awake)

    def _at(self, at_s: float, happen: Callable[[], None]) -> None:
        self.events.append((at_s, happen))
