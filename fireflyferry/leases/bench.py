"""Benchmark of the lease modules: time without a leader, and runs with two leaders.

Run it with `python -m fireflyferry.leases.bench`. It runs in simulated time and opens no sockets.
"""

import argparse
import statistics
from collections.abc import Callable, Sequence

from fireflyferry.leases.authority import GroupAuthority
from fireflyferry.leases.timing import LeaseTiming
from fireflyferry.leases.trial import (
    FaultInjector,
    SimulatedVm,
    SimulatedWorld,
    SimulationOptions,
    run_random_faults,
)

__all__ = ["PledgeDuringTakeover", "SkipSessionWait", "main"]

RANDOM_RUN_S = 60.0
LOSS_RATE = 0.02
MAX_DELAY_S = 0.3
# The results in docs/verification.md are for this duration; keep it, so that new results can be
# compared with them.
FAULT_DURATION_S = 20.0


class PledgeDuringTakeover(GroupAuthority):
    """A standby that gives pledges while its own takeover is in flight; unsafe, for comparison."""

    def _takeover_in_flight(self) -> bool:
        return False


class SkipSessionWait(GroupAuthority):
    """A standby that does not wait for the leader's session to end; unsafe, for comparison."""

    def _session_expired(self, now_s: float, record: object) -> bool:
        return True


Fault = Callable[[FaultInjector, SimulatedVm, SimulatedVm], None]

FAULTS: dict[str, Fault] = {
    "leader lost": lambda faults, leader, standby: faults.world.stop(leader),
    "standby lost": lambda faults, leader, standby: faults.world.stop(standby),
    "leader paused 20 s": lambda faults, leader, standby: faults.world.pause(
        leader, FAULT_DURATION_S
    ),
    "store unavailable 20 s": lambda faults, leader, standby: faults.store_outage(FAULT_DURATION_S),
    "leader cut from store and standby": lambda faults, leader, standby: faults.isolate(
        leader, FAULT_DURATION_S
    ),
    "leader and standby cut from each other": lambda faults, leader, standby: faults.cut(
        leader.name, standby.name, FAULT_DURATION_S
    ),
    "leader resigns": lambda faults, leader, standby: faults.resign(),
}


def time_without_leader_s(
    seed: int, options: SimulationOptions, fault: Fault, reliable: bool
) -> float:
    """Return the longest time, in seconds, without a leader in the 30 s after a fault.

    Raises RuntimeError if an invariant of the leases was violated.
    """
    world = SimulatedWorld(seed, options)
    world.run(3.0 + world.random.uniform(0.0, 1.0))
    leader = world.leader()
    standby = next(vm for vm in world.vms if vm is not leader)
    if not reliable:
        world.loss, world.delay_s = LOSS_RATE, MAX_DELAY_S
    world.longest_gap_s = 0.0
    fault(FaultInjector(world), leader, standby)
    world.run(30.0)
    if world.violations:
        raise RuntimeError(f"seed {seed}: {world.violations}")
    return world.longest_gap_s


def count_violating_runs(
    runs: int, options: SimulationOptions, operations: bool
) -> tuple[int, int]:
    """Return how many random runs had two leaders and how many violated any invariant."""
    two_leaders = violating = 0
    for seed in range(runs):
        world = SimulatedWorld(seed, options)
        world.loss, world.delay_s = LOSS_RATE, MAX_DELAY_S
        run_random_faults(world, RANDOM_RUN_S, operations)
        two_leaders += any("two leaders" in violation for violation in world.violations)
        violating += bool(world.violations)
    return two_leaders, violating


def report(timing: LeaseTiming, trials: int, runs: int) -> list[str]:
    """Return the lines of the report; its times are in seconds."""
    lines = [
        f"timing: {timing}",
        "",
        "| time without a leader, s | reliable network: median | worst | "
        f"loss {LOSS_RATE:.0%}, delay up to {MAX_DELAY_S} s: median | worst | runs |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name, fault in FAULTS.items():
        columns = []
        for reliable in (True, False):
            times_s = [
                time_without_leader_s(seed, SimulationOptions(timing, vms=2), fault, reliable)
                for seed in range(trials)
            ]
            columns += [f"{statistics.median(times_s):.2f}", f"{max(times_s):.2f}"]
        lines.append(f"| {name} | {' | '.join(columns)} | {trials} |")
    lines += ["", "| random runs | VMs | operations | two leaders | any violation | runs |"]
    lines.append("| --- | --- | --- | --- | --- | --- |")
    for vms, operations in ((2, False), (3, True)):
        for authority in (GroupAuthority, PledgeDuringTakeover, SkipSessionWait):
            options = SimulationOptions(timing, vms=vms, authority=authority)
            two_leaders, violating = count_violating_runs(runs, options, operations)
            with_operations = "yes" if operations else "no"
            lines.append(
                f"| {authority.__name__} | {vms} | {with_operations} | {two_leaders} | "
                f"{violating} | {runs} |"
            )
    return lines


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the benchmark and print its report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--heartbeat", type=float, default=0.2, help="heartbeat_s, in seconds")
    parser.add_argument("--trials", type=int, default=30, help="runs of each fault")
    parser.add_argument("--runs", type=int, default=400, help="random runs of each variant")
    options = parser.parse_args(arguments)
    timing = LeaseTiming(heartbeat_s=options.heartbeat)
    print("\n".join(report(timing, options.trials, options.runs)))


if __name__ == "__main__":
    main()
