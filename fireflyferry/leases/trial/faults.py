"""Faults and operations for the lease trial, and a seeded random sequence of them."""

from collections.abc import Callable

from fireflyferry.leases.trial.processes import TrialUpstream, TrialVm
from fireflyferry.leases.trial.world import TrialWorld

__all__ = ["TrialFaults", "run_random_faults"]


class TrialFaults:
    """Injects faults that end by themselves, and operations of the entry program."""

    def __init__(self, world: TrialWorld) -> None:
        self.world = world

    def cut(self, one: str, other: str, duration_s: float) -> None:
        """Cut two processes, or a process and the store, from each other."""
        link = frozenset((one, other))
        self.world.cuts.add(link)
        self._later(duration_s, lambda: self.world.cuts.discard(link))

    def isolate(self, vm: TrialVm, duration_s: float) -> None:
        """Cut a VM from the store and from all VMs, but not from upstreams."""
        for other in ("store", *(other.name for other in self.world.vms if other is not vm)):
            self.cut(vm.name, other, duration_s)

    def store_outage(self, duration_s: float) -> None:
        """Make the store unavailable."""
        self.world.store_up = False
        self._later(duration_s, lambda: setattr(self.world, "store_up", True))

    def slow_store(self, delay_s: float, duration_s: float) -> None:
        """Delay requests to the store, so that writes take effect after their time-out."""
        self.world.store_delay_s = delay_s
        self._later(duration_s, lambda: setattr(self.world, "store_delay_s", 0.0))

    def cut_leader(self, from_store: bool, duration_s: float) -> None:
        """Cut the leader from the store or from its standby."""
        if leader := self.world.leader():
            standby = leader.authority.record.standby
            other = "store" if from_store or standby is None else standby.vm_id
            self.cut(leader.name, other, duration_s)

    def replace_and_cut(self, vm: TrialVm, delay_s: float, duration_s: float) -> None:
        """Replace the standby, then cut the leader and the old standby from the store."""
        leader = self.world.leader()
        if leader is None or leader.authority.record.standby is None:
            return
        standby = leader.authority.record.standby
        self.replace_standby(vm)
        for name in (leader.name, standby.vm_id):
            self._later(delay_s, lambda name=name: self.cut(name, "store", duration_s))

    def disturb(self, loss: float, delay_s: float, duration_s: float) -> None:
        """Lose and delay messages, so that they overtake each other."""
        self.world.loss, self.world.delay_s = loss, delay_s
        self._later(duration_s, self.world.calm)

    def restart(self, process: TrialVm | TrialUpstream, down_s: float) -> None:
        """End a process and start a new run of it."""
        if process.alive:
            self.world.stop(process)
            self._later(down_s, lambda: process.alive or self.world.restart(process))

    def leave(self, vm: TrialVm, down_s: float) -> None:
        """Drain a VM: it hands over, pledges for whole terms and is replaced."""
        if vm.alive:
            vm.authority.leave(vm.now_s)
            vm.authority.resign(vm.now_s)
            run = vm.run
            self._later(down_s, lambda: self.restart(vm, 0.5) if vm.run == run else None)

    def resign(self) -> None:
        """Ask the leader to hand over."""
        if leader := self.world.leader():
            leader.authority.resign(leader.now_s)

    def replace_standby(self, vm: TrialVm) -> None:
        """Ask the leader to name another standby."""
        leader = self.world.leader()
        if leader and leader is not vm:
            leader.authority.replace_standby(leader.now_s, vm.incarnation)

    def raise_term(self, by: int) -> None:
        """Ask the leader to raise its term."""
        if leader := self.world.leader():
            leader.authority.raise_term(leader.now_s, leader.authority.record.term + by)

    def move(self, unit: str, upstream: str) -> None:
        """Change the desired owner of a unit."""
        self.world.desired[unit] = upstream

    def move_often(self, unit: str, moves: int, interval_s: float) -> None:
        """Move a unit to and fro, so that an earlier grant can arrive after a later one."""
        names = [upstream.name for upstream in self.world.upstreams]
        for index in range(moves):
            owner = names[index % len(names)]
            self._later(index * interval_s, lambda owner=owner: self.move(unit, owner))

    def _later(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run an event unless all faults have been ended until then."""
        heals = self.world.heals
        self.world.at(delay_s, lambda: event() if self.world.heals == heals else None)


def run_random_faults(world: TrialWorld, duration_s: float, operations: bool = True) -> None:
    """Run a world under faults drawn from its own random source.

    Without `operations` there are only cuts, pauses, loss and delay, as in the first trial.
    """
    faults, draw = TrialFaults(world), world.random
    processes = [*world.vms, *world.upstreams]
    names = [process.name for process in processes] + ["store"]
    choices: list[Callable[[], None]] = [
        lambda: faults.cut(*draw.sample(names, 2), draw.uniform(0.5, 5)),
        lambda: faults.isolate(draw.choice(world.vms), draw.uniform(0.5, 5)),
        lambda: world.pause(draw.choice(processes), draw.uniform(0.2, 4)),
        lambda: faults.cut_leader(draw.random() < 0.5, draw.uniform(0.5, 5)),
        lambda: world.pause(world.leader() or world.vms[0], draw.uniform(0.2, 4)),
    ]
    if operations:
        choices += [
            lambda: faults.store_outage(draw.uniform(0.5, 4)),
            lambda: faults.slow_store(draw.choice((1.0, 3.0)), draw.uniform(0.5, 5)),
            lambda: faults.disturb(draw.uniform(0, 0.2), 1.0, draw.uniform(0.5, 4)),
            lambda: faults.replace_and_cut(
                draw.choice(world.vms), draw.uniform(0, 0.5), draw.uniform(1, 5)
            ),
            lambda: faults.restart(draw.choice(processes), draw.uniform(0, 3)),
            lambda: faults.leave(draw.choice(world.vms), draw.uniform(0.5, 4)),
            faults.resign,
            lambda: faults.replace_standby(draw.choice(world.vms)),
            lambda: faults.raise_term(draw.randint(0, 3)),
            *[
                lambda: faults.move_often(
                    draw.choice(list(world.desired)), draw.randint(1, 4), draw.uniform(0.1, 0.6)
                )
            ]
            * 6,
        ]
    end_s = world.now_s + duration_s
    while world.now_s < end_s:
        world.run(draw.uniform(0.1, 1.5))
        draw.choice(choices)()
