"""Granting VMs, a store and upstreams that take late grants, restart, lapse and drain."""

import random
from collections.abc import Callable

import attrs

from fireflyferry.keyranges import (
    KEY_COUNT,
    GrantAnswer,
    GrantCall,
    GrantTiming,
    KeyDemand,
    ListedRun,
    Move,
    OwnerTable,
    RangeGranter,
    ReleaseCall,
    RunCapacity,
    SaveTable,
    UpstreamRun,
    plan_failover,
    plan_initial_ranges,
)

__all__ = ["RangeWorld"]

STEP_S = 0.05
PROBES = (0, 9_000, 20_000, 33_000, 47_000, 65_535)  # keys whose holders are compared


@attrs.define(eq=False)
class _Process:
    """An upstream process: holds keys until its slow clock says that they ran out."""

    run: UpstreamRun
    rate: float
    alive: bool = True
    listed: bool = True
    draining: bool = False
    reachable: bool = True
    # first, last, fence, end on the true clock
    held: list[tuple[int, int, int, float]] = attrs.field(factory=list)
    seen: list[tuple[int, int, int]] = attrs.field(factory=list)

    def fence_seen(self, first: int, last: int) -> int:
        return max((f for a, b, f in self.seen if a <= last and first <= b), default=0)

    def holds(self, now_s: float, key: int) -> int | None:
        fences = [f for a, b, f, end_s in self.held if a <= key <= b and now_s < end_s]
        return max(fences) if fences and self.alive else None

    def grant(self, now_s: float, call: GrantCall, arrived_s: float) -> GrantAnswer:
        if self.fence_seen(call.first, call.last) > call.fence:
            return GrantAnswer.HIGHER_FENCE
        self.seen.append((call.first, call.last, call.fence))
        end_s = arrived_s + call.hold_s / self.rate
        if end_s > now_s:
            self.held.append((call.first, call.last, call.fence, end_s))
        return GrantAnswer.ACCEPTED

    def release(self, call: ReleaseCall) -> None:
        self.seen.append((call.first, call.last, call.fence))
        kept = []
        for first, last, fence, end_s in self.held:
            if first < call.first:
                kept.append((first, min(last, call.first - 1), fence, end_s))
            if last > call.last:
                kept.append((max(first, call.last + 1), last, fence, end_s))
        self.held = kept


@attrs.define
class RangeWorld:
    """One pool; `conflicts` are keys with two holders, `fence_faults` fences that did not rise."""

    rng: random.Random
    make: Callable[[float], RangeGranter] = lambda began_s: RangeGranter(
        "pool", GrantTiming(), began_s
    )
    now_s: float = 0.0
    processes: list[_Process] = attrs.field(factory=list)
    events: list[tuple[float, Callable[[], None]]] = attrs.field(factory=list)
    stored: tuple[OwnerTable | None, int] = (None, 0)
    granter: RangeGranter | None = None
    conflicts: list[str] = attrs.field(factory=list)
    fence_faults: list[str] = attrs.field(factory=list)
    served: int = 0
    highest: dict[int, tuple[int, UpstreamRun]] = attrs.field(factory=dict)
    _born: int = 100

    def start(self, upstreams: int) -> None:
        """Add upstreams and a granting VM."""
        for number in range(upstreams):
            self._add(f"u{number}")
        self._new_term()

    def run(self, seconds: float) -> None:
        """Let time pass with random faults and moves."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._fault()
            due = [each for each in self.events if each[0] <= self.now_s]
            self.events = [each for each in self.events if each[0] > self.now_s]
            for _, happen in sorted(due, key=lambda each: each[0]):
                happen()
            self._tick()
            self._check()

    def _add(self, upstream_id: str) -> _Process:
        self._born += 1
        process = _Process(UpstreamRun(upstream_id, self._born), self.rng.uniform(0.98, 1.0))
        self.processes.append(process)
        return process

    def _new_term(self) -> None:
        self.granter = self.make(self.now_s)
        self.granter.on_table_read(*self.stored)

    def _fault(self) -> None:
        roll = self.rng.random()
        living = [p for p in self.processes if p.alive]
        process = self.rng.choice(living)
        if roll < 0.004 and len(living) > 2:
            process.alive = False
            # The store notices after three heartbeats; a restart shows at once.
            self._at(self.now_s + 2.6, lambda: setattr(process, "listed", False))
            if self.rng.random() < 0.5:
                self._at(self.now_s + 1.0, lambda: self._add(process.run.upstream_id))
        elif roll < 0.008:
            process.listed = False
            self._at(self.now_s + 4.0, lambda: setattr(process, "listed", process.alive))
        elif roll < 0.012:
            process.reachable = False
            self._at(self.now_s + 3.0, lambda: setattr(process, "reachable", True))
        elif roll < 0.014:
            process.draining = True
            self._at(self.now_s + 5.0, lambda: setattr(process, "draining", False))
        elif roll < 0.018:
            self._new_term()
        elif roll < 0.02 and len(living) < 8:
            self._add(f"u{len(self.processes)}")

    def _tick(self) -> None:
        granter = self.granter
        listed = [p for p in self.processes if p.listed]
        granter.set_listed(ListedRun(p.run, f"addr-{p.run}", not p.draining) for p in listed)
        granter.request_moves(self._moves(listed))
        for action in granter.tick(self.now_s):
            if isinstance(action, SaveTable):
                self._save(granter, action)
            elif isinstance(action, GrantCall):
                self._grant(granter, action)
            else:
                self._release(granter, action)

    def _moves(self, listed: list[_Process]) -> list[Move]:
        loads = [RunCapacity(p.run, 10.0) for p in listed if not p.draining]
        table = self.granter.table
        if not loads:
            return []
        if table is None:
            return plan_initial_ranges(loads) if self.stored[0] is None else []
        moves = plan_failover(table, loads, KeyDemand())
        if not moves and self.rng.random() < 0.05:
            first = self.rng.randrange(KEY_COUNT)
            part = table.find(first)
            return [Move(first, part.last, self.rng.choice(loads).run)]
        return moves

    def _save(self, granter: RangeGranter, save: SaveTable) -> None:
        fate = self.rng.random()
        if fate < 0.05:
            # No answer; the write happens now, later, or not at all.
            self._at(self.now_s + self.rng.choice([0.0, 2.0]), lambda: self._write(save))
            self._at(self.now_s + 1.0, lambda: granter.on_table_read(*self.stored))
        else:
            self._at(self.now_s + 0.02, lambda: self._saved(granter, save))

    def _saved(self, granter: RangeGranter, save: SaveTable) -> None:
        if self._write(save):
            granter.on_table_saved(self.stored[1])
        else:
            granter.on_table_read(*self.stored)

    def _write(self, save: SaveTable) -> bool:
        if save.revision != self.stored[1]:
            return False
        assert save.table.is_complete()
        self.stored = (save.table, self.stored[1] + 1)
        return True

    def _grant(self, granter: RangeGranter, call: GrantCall) -> None:
        process = next(p for p in self.processes if p.run == call.run)
        arrives_s = self.now_s + self.rng.uniform(0.0, 0.1)
        if not process.alive:
            self._at(arrives_s, lambda: granter.on_grant(self.now_s, call, GrantAnswer.NO_LISTENER))
            return
        if not process.reachable and self.rng.random() < 0.5:
            self._at(
                self.now_s + 0.4, lambda: granter.on_grant(self.now_s, call, GrantAnswer.NOT_SENT)
            )
            return
        late = self.rng.random() < 0.08
        silent = not process.reachable or late
        if late and process.reachable:
            due_s = arrives_s + self.rng.uniform(2.0, 12.0)
            self._at(due_s, lambda: process.alive and process.grant(self.now_s, call, arrives_s))
        if silent:
            self._at(
                self.now_s + 1.0,
                lambda: granter.on_grant(self.now_s, call, GrantAnswer.UNKNOWN),
            )
        else:
            self._at(arrives_s, lambda: self._take(granter, process, call))

    def _take(self, granter: RangeGranter, process: _Process, call: GrantCall) -> None:
        answer = GrantAnswer.NO_LISTENER
        if process.alive:
            answer = process.grant(self.now_s, call, self.now_s)
        if answer is GrantAnswer.ACCEPTED:
            self._note_fence(call)
        granter.on_grant(self.now_s, call, answer)

    def _note_fence(self, call: GrantCall) -> None:
        for key in PROBES:
            if call.first <= key <= call.last:
                fence, run = self.highest.get(key, (0, call.run))
                if run != call.run and call.fence <= fence:
                    self.fence_faults.append(f"key {key}: {call.fence} after {fence}")
                self.highest[key] = max((fence, run), (call.fence, call.run), key=lambda e: e[0])

    def _release(self, granter: RangeGranter, call: ReleaseCall) -> None:
        process = next(p for p in self.processes if p.run == call.run)
        if not process.alive:
            answer, delay_s = GrantAnswer.NO_LISTENER, 0.02
        elif not process.reachable:
            answer, delay_s = GrantAnswer.UNKNOWN, 4.0
        else:
            answer, delay_s = GrantAnswer.ACCEPTED, self.rng.uniform(0.05, 0.6)
            process.release(call)
        self._at(
            self.now_s + delay_s, lambda: granter.on_release(self.now_s, call, answer, "token")
        )

    def _check(self) -> None:
        for key in PROBES:
            holders = [p for p in self.processes if p.holds(self.now_s, key) is not None]
            if len(holders) > 1:
                names = ", ".join(str(p.run) for p in holders)
                self.conflicts.append(f"{self.now_s:.2f} s key {key}: {names}")
            part = self.stored[0].find(key) if self.stored[0] is not None else None
            if part is not None and part.serving:
                self.served += any(p.run == part.owner for p in holders)

    def _at(self, at_s: float, happen: Callable[[], None]) -> None:
        self.events.append((at_s, happen))
