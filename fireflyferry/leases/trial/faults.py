"""Faults and operations for the lease simulation, and a seeded random sequence of them."""

from collections.abc import Callable

from fireflyferry.leases.trial.processes import SimulatedUpstream, SimulatedVm
from fireflyferry.leases.trial.world import SimulatedWorld

__all__ = ["FaultInjector", "run_random_faults"]


class FaultInjector:
    """Injects faults that end after a set time, and operations of the entry program."""

    def __init__(self, world: SimulatedWorld) -> None:
        self.world = world

    def cut(self, one: str, other: str, duration_s: float) -> None:
        """Cut the link between two processes, or between a process and the store."""
        link = frozenset((one, other))
        self.world.cut_links.add(link)
        self._schedule(duration_s, lambda: self.world.cut_links.discard(link))

    def isolate(self, vm: SimulatedVm, duration_s: float) -> None:
        """Cut the links of a VM to the store and to all other VMs, but not to upstreams."""
        for other in ("store", *(other.name for other in self.world.vms if other is not vm)):
            self.cut(vm.name, other, duration_s)

    def store_outage(self, duration_s: float) -> None:
        """Make the store unavailable for a duration."""
        self.world.store_up = False
        self._schedule(duration_s, lambda: setattr(self.world, "store_up", True))

    def slow_store(self, delay_s: float, duration_s: float) -> None:
        """Delay requests to the store, so that writes can take effect after their timeout."""
        self.world.store_delay_s = delay_s
        self._schedule(duration_s, lambda: setattr(self.world, "store_delay_s", 0.0))

    def cut_leader(self, from_store: bool, duration_s: float) -> None:
        """Cut the link of the leader to the store or to its standby."""
        if leader := self.world.leader():
            standby = leader.authority.record.standby
            other = "store" if from_store or standby is None else standby.vm_id
            self.cut(leader.name, other, duration_s)

    def replace_and_cut(self, vm: SimulatedVm, delay_s: float, duration_s: float) -> None:
        """Replace the standby, then cut the store from the leader and from the old standby."""
        leader = self.world.leader()
        if leader is None or leader.authority.record.standby is None:
            return
        standby = leader.authority.record.standby
        self.replace_standby(vm)
        for name in (leader.name, standby.vm_id):
            self._schedule(delay_s, lambda name=name: self.cut(name, "store", duration_s))

    def degrade_network(self, loss: float, delay_s: float, duration_s: float) -> None:
        """Lose, delay and reorder messages."""
        self.world.loss, self.world.delay_s = loss, delay_s
        self._schedule(duration_s, self.world.restore_network)

    def restart(self, process: SimulatedVm | SimulatedUpstream, down_s: float) -> None:
        """Stop a process and start a new incarnation of it after `down_s`."""
        if process.alive:
            self.world.stop(process)
            self._schedule(down_s, lambda: process.alive or self.world.restart(process))

    def leave(self, vm: SimulatedVm, down_s: float) -> None:
        """Shut down a VM: it resigns, gives unlimited pledges, and restarts after `down_s`."""
        if vm.alive:
            vm.authority.leave(vm.now_s)
            vm.authority.resign(vm.now_s)
            incarnation_number = vm.incarnation_number
            self._schedule(
                down_s,
                lambda: (
                    self.restart(vm, 0.5) if vm.incarnation_number == incarnation_number else None
                ),
            )

    def resign(self) -> None:
        """Make the leader resign."""
        if leader := self.world.leader():
            leader.authority.resign(leader.now_s)

    def replace_standby(self, vm: SimulatedVm) -> None:
        """Make the leader name another standby."""
        leader = self.world.leader()
        if leader and leader is not vm:
            leader.authority.replace_standby(leader.now_s, vm.incarnation)

    def raise_term(self, by: int) -> None:
        """Make the leader raise its term."""
        if leader := self.world.leader():
            leader.authority.raise_term(leader.now_s, leader.authority.record.term + by)

    def move(self, unit: str, upstream: str) -> None:
        """Change the desired owner of a unit."""
        self.world.desired_owners[unit] = upstream

    def move_repeatedly(self, unit: str, moves: int, interval_s: float) -> None:
        """Move a unit back and forth, so that an earlier grant can arrive after a later one."""
        names = [upstream.name for upstream in self.world.upstreams]
        for index in range(moves):
            owner = names[index % len(names)]
            self._schedule(index * interval_s, lambda owner=owner: self.move(unit, owner))

    def _schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run an event after a delay, unless `end_all_faults` is called before."""
        faults_ended_count = self.world.faults_ended_count
        self.world.schedule(
            delay_s,
            lambda: event() if self.world.faults_ended_count == faults_ended_count else None,
        )


def run_random_faults(world: SimulatedWorld, duration_s: float, operations: bool = True) -> None:
    """Run a simulation with faults drawn from its own random number generator.

    Without `operations` the only faults are cut links and paused processes, as in the results
    without operations in docs/verification.md, so that new results can be compared with them. The
    caller can add loss and delay.
    """
    faults, rng = FaultInjector(world), world.random
    processes = [*world.vms, *world.upstreams]
    names = [process.name for process in processes] + ["store"]
    choices: list[Callable[[], None]] = [
        lambda: faults.cut(*rng.sample(names, 2), rng.uniform(0.5, 5)),
        lambda: faults.isolate(rng.choice(world.vms), rng.uniform(0.5, 5)),
        lambda: world.pause(rng.choice(processes), rng.uniform(0.2, 4)),
        lambda: faults.cut_leader(rng.random() < 0.5, rng.uniform(0.5, 5)),
        lambda: world.pause(world.leader() or world.vms[0], rng.uniform(0.2, 4)),
    ]
    if operations:
        choices += [
            lambda: faults.store_outage(rng.uniform(0.5, 4)),
            lambda: faults.slow_store(rng.choice((1.0, 3.0)), rng.uniform(0.5, 5)),
            lambda: faults.degrade_network(rng.uniform(0, 0.2), 1.0, rng.uniform(0.5, 4)),
            lambda: faults.replace_and_cut(
                rng.choice(world.vms), rng.uniform(0, 0.5), rng.uniform(1, 5)
            ),
            lambda: faults.restart(rng.choice(processes), rng.uniform(0, 3)),
            lambda: faults.leave(rng.choice(world.vms), rng.uniform(0.5, 4)),
            faults.resign,
            lambda: faults.replace_standby(rng.choice(world.vms)),
            lambda: faults.raise_term(rng.randint(0, 3)),
            *[
                lambda: faults.move_repeatedly(
                    rng.choice(list(world.desired_owners)), rng.randint(1, 4), rng.uniform(0.1, 0.6)
                )
            ]
            * 6,
        ]
    end_s = world.now_s + duration_s
    while world.now_s < end_s:
        world.run(rng.uniform(0.1, 1.5))
        rng.choice(choices)()
