"""Benchmark of the lease modules: time without a leader, and runs that had two leaders.

Run with `python -m fireflyferry.leases.bench`. It simulates time and opens no socket.
"""

import argparse
import statistics
from collections.abc import Callable, Sequence

from fireflyferry.leases.authority import GroupAuthority
from fireflyferry.leases.timing import LeaseTiming
from fireflyferry.leases.trial import (
    TrialFaults,
    TrialOptions,
    TrialVm,
    TrialWorld,
    run_random_faults,
)

__all__ = ["PledgeDuringTakeover", "SkipSessionWait", "main"]

RANDOM_RUN_S = 60.0
LOSS = 0.02
DELAY_S = 0.3
# The first trial measured a fault of 20 s.
FAULT_S = 20.0


class PledgeDuringTakeover(GroupAuthority):
    """A standby that pledges while its own takeover is in flight; unsafe, for comparison."""

    def _takeover_in_flight(self) -> bool:
        return False


class SkipSessionWait(GroupAuthority):
    """A standby that does not wait for the leader's session; unsafe, for comparison."""

    def _session_over(self, now_s: float, record: object) -> bool:
        return True


Fault = Callable[[TrialFaults, TrialVm, TrialVm], None]

CASES: dict[str, Fault] = {
    "leader lost": lambda faults, leader, standby: faults.world.stop(leader),
    "standby lost": lambda faults, leader, standby: faults.world.stop(standby),
    "leader paused 20 s": lambda faults, leader, standby: faults.world.pause(leader, FAULT_S),
    "store away 20 s": lambda faults, leader, standby: faults.store_outage(FAULT_S),
    "leader cut from store and standby": lambda faults, leader, standby: faults.isolate(
        leader, FAULT_S
    ),
    "leader and standby cut from each other": lambda faults, leader, standby: faults.cut(
        leader.name, standby.name, FAULT_S
    ),
    "leader resigns": lambda faults, leader, standby: faults.resign(),
}


def time_without_leader_s(seed: int, options: TrialOptions, fault: Fault, calm: bool) -> float:
    """Return the longest time without a leader in the 30 s after a fault."""
    world = TrialWorld(seed, options)
    world.run(3.0 + world.random.uniform(0.0, 1.0))
    leader = world.leader()
    standby = next(vm for vm in world.vms if vm is not leader)
    if not calm:
        world.loss, world.delay_s = LOSS, DELAY_S
    world.longest_gap_s = 0.0
    fault(TrialFaults(world), leader, standby)
    world.run(30.0)
    if world.violations:
        raise RuntimeError(f"seed {seed}: {world.violations}")
    return world.longest_gap_s


def count_broken_runs(runs: int, options: TrialOptions, operations: bool) -> tuple[int, int]:
    """Return how many random runs had two leaders, and how many broke any promise."""
    two_leaders = broken = 0
    for seed in range(runs):
        world = TrialWorld(seed, options)
        world.loss, world.delay_s = LOSS, DELAY_S
        run_random_faults(world, RANDOM_RUN_S, operations)
        two_leaders += any("two leaders" in violation for violation in world.violations)
        broken += bool(world.violations)
    return two_leaders, broken


def report(timing: LeaseTiming, trials: int, runs: int) -> list[str]:
    """Return the lines of the report; times in seconds."""
    lines = [
        f"timing: {timing}",
        "",
        "| time without a leader, s | calm: median | worst | "
        f"loss {LOSS:.0%}, delay to {DELAY_S} s: median | worst | runs |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name, fault in CASES.items():
        columns = []
        for calm in (True, False):
            times_s = [
                time_without_leader_s(seed, TrialOptions(timing, vms=2), fault, calm)
                for seed in range(trials)
            ]
            columns += [f"{statistics.median(times_s):.2f}", f"{max(times_s):.2f}"]
        lines.append(f"| {name} | {' | '.join(columns)} | {trials} |")
    lines += ["", "| random runs | VMs | operations | two leaders | any violation | runs |"]
    lines.append("| --- | --- | --- | --- | --- | --- |")
    for vms, operations in ((2, False), (3, True)):
        for authority in (GroupAuthority, PledgeDuringTakeover, SkipSessionWait):
            options = TrialOptions(timing, vms=vms, authority=authority)
            two_leaders, broken = count_broken_runs(runs, options, operations)
            with_operations = "yes" if operations else "no"
            lines.append(
                f"| {authority.__name__} | {vms} | {with_operations} | {two_leaders} | "
                f"{broken} | {runs} |"
            )
    return lines


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the benchmark and print its tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--heartbeat", type=float, default=0.2, help="heartbeat_s, in seconds")
    parser.add_argument("--trials", type=int, default=30, help="trials of each case")
    parser.add_argument("--runs", type=int, default=400, help="random runs of each variant")
    options = parser.parse_args(arguments)
    timing = LeaseTiming(heartbeat_s=options.heartbeat)
    print("\n".join(report(timing, options.trials, options.runs)))


if __name__ == "__main__":
    main()
