"""Command line of the soak test: `python3 -m fireflyferry.platform.soak --seeds 1-50`."""

import argparse
import asyncio
import collections
import pathlib
import sys
import tempfile
import time

import attrs

from fireflyferry.platform.soak.run import Soak, SoakResult
from fireflyferry.platform.soak.schedule import DEFAULT_GROUPS, FaultGroup, make_plan

__all__ = ["main"]

EXIT_FINDINGS = 1


def main(argv: list[str] | None = None) -> int:
    """Run seeds one after the other; the exit code is 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(
        prog="fireflyferry-soak",
        description="Runs entry VM processes on loopback, injects faults and checks invariants.",
        epilog="Exit codes: 0 no invariant was violated, 1 an invariant was violated.",
    )
    parser.add_argument(
        "--seeds", default="fresh", help="N, N-M, or `fresh` (default): the current time in seconds"
    )
    parser.add_argument("--count", type=int, default=1, help="number of fresh seeds")
    parser.add_argument(
        "--seconds", type=float, default=12.0, help="time for which faults are injected"
    )
    parser.add_argument("--vms", type=int, help="number of entry VMs; drawn by default")
    parser.add_argument(
        "--groups",
        type=FaultGroup,
        nargs="+",
        default=DEFAULT_GROUPS,
        help=f"groups of faults, of {', '.join(FaultGroup)}; default: {', '.join(DEFAULT_GROUPS)}",
    )
    parser.add_argument("--logs", help="folder for settings and logs, kept after the run")
    options = parser.parse_args(argv)
    folder = pathlib.Path(options.logs or tempfile.mkdtemp(prefix="soak-"))
    failed_seeds = 0
    for seed in _seeds(options.seeds, options.count):
        seed_folder = folder / str(seed)
        seed_folder.mkdir(parents=True, exist_ok=True)
        plan = make_plan(seed, options.seconds, tuple(options.groups))
        if options.vms:
            plan = attrs.evolve(plan, vms=options.vms)
        result = asyncio.run(Soak(plan, seed_folder).run())
        _print_result(result, seed_folder)
        failed_seeds += bool(result.findings)
    return EXIT_FINDINGS if failed_seeds else 0


def _seeds(text: str, count: int) -> range:
    if text == "fresh":
        first = int(time.time())
        return range(first, first + count)
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def _print_result(result: SoakResult, seed_folder: pathlib.Path) -> None:
    statuses = " ".join(f"{status}:{count}" for status, count in sorted(result.statuses.items()))
    print(f"seed {result.seed}: {sum(result.faults.values())} faults, answers {statuses}")
    effects = " ".join(f"{name}:{count}" for name, count in sorted(result.effects.items()))
    print(f"  faults {' '.join(f'{n}:{c}' for n, c in sorted(result.faults.items()))}")
    print(f"  effects {effects or 'none'}")
    print(
        f"  {result.processes} VMs, {result.memory_mb:.0f} MB, stalls up to "
        f"{result.longest_stall_s:.2f} s"
    )
    violations = collections.Counter(each.invariant for each in result.findings)
    for invariant, count in violations.items():
        first = next(each for each in result.findings if each.invariant == invariant)
        print(f"  VIOLATED {invariant}: {count} times, first {first.detail}; logs {seed_folder}")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
