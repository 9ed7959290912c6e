"""Command line of the soak: `python3 -m fireflyferry.platform.soak --seeds 1-50`."""

import argparse
import asyncio
import collections
import pathlib
import sys
import tempfile
import time

from fireflyferry.platform.soak.run import Soak, SoakPlan, SoakResult

__all__ = ["main"]

EXIT_FINDINGS = 1


def main(argv: list[str] | None = None) -> int:
    """Play seeds one after the other; the exit code is 1 if a promise was broken."""
    parser = argparse.ArgumentParser(
        prog="fireflyferry-soak",
        description="Runs entry VM processes on loopback, injects faults and checks the promises.",
        epilog="Exit codes: 0 no promise was broken, 1 a promise was broken.",
    )
    parser.add_argument("--seeds", default="fresh", help="N, N-M, or `fresh` (default)")
    parser.add_argument("--count", type=int, default=1, help="number of fresh seeds")
    parser.add_argument("--seconds", type=float, default=12.0, help="length of the faults")
    parser.add_argument("--vms", type=int, default=8, help="entry VMs")
    parser.add_argument("--logs", help="folder for logs, kept after the run")
    options = parser.parse_args(argv)
    folder = pathlib.Path(options.logs or tempfile.mkdtemp(prefix="soak-"))
    broken = 0
    for seed in _seeds(options.seeds, options.count):
        place = folder / str(seed)
        place.mkdir(parents=True, exist_ok=True)
        plan = SoakPlan(seed, options.seconds, options.vms)
        result = asyncio.run(Soak(plan, place).run())
        _print(result, place)
        broken += bool(result.findings)
    return EXIT_FINDINGS if broken else 0


def _seeds(text: str, count: int) -> range:
    if text == "fresh":
        first = int(time.time())
        return range(first, first + count)
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def _print(result: SoakResult, place: pathlib.Path) -> None:
    statuses = " ".join(f"{status}:{count}" for status, count in sorted(result.statuses.items()))
    print(f"seed {result.seed}: {sum(result.faults.values())} faults, answers {statuses}")
    found = collections.Counter(each.promise for each in result.findings)
    for promise, count in found.items():
        first = next(each for each in result.findings if each.promise == promise)
        print(f"  BROKEN {promise}: {count} times, first {first.detail}; logs {place}")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
