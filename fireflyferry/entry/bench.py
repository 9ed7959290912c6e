"""Benchmark of the request path: cost per hop, added latency, goodput and fairness.

Starts upstreams, entry VMs and the naive router as processes on loopback, and prints a report.
"""

import argparse
import asyncio
import contextlib
import os
import random
import re
import subprocess
import sys
from collections.abc import Iterator

import attrs

from fireflyferry.entry.bench_load import BenchRequest, LoadResult, closed_loop, open_loop
from fireflyferry.entry.bench_roles import ROLES, TENANTS, run_role

__all__ = ["main"]

# Long enough that the router's process can handle four times the upstream's capacity.
SERVICE_MS = 40.0
SLOTS = 4
CAPACITY_PER_S = SLOTS / (SERVICE_MS / 1000)
DEADLINE_MS = 400
SLICES = 8


@attrs.frozen
class _Process:
    process: subprocess.Popen
    port: int

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def cpu_s(self) -> float:
        """Return the processor time used so far in seconds."""
        with open(f"/proc/{self.process.pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@contextlib.contextmanager
def _start_process(module: str, *arguments: str) -> Iterator[_Process]:
    command = [sys.executable, "-m", module, *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        line = process.stdout.readline()
        # Some programs print `port=8080`, others `address=127.0.0.1:8080`.
        port = int(re.search(r"(?:port=|127\.0\.0\.1:)(\d+)", line).group(1))
        yield _Process(process, port)
    finally:
        process.terminate()
        process.wait(10)


def _start_role(role: str, upstreams: list[str], *arguments: str):
    options = [part for address in upstreams for part in ("--upstream", address)]
    return _start_process("fireflyferry.entry.bench", "--role", role, *options, *arguments)


def _start_standin():
    instance = ["--instance", "up-0:bench:0", "--slots", str(SLOTS), "--checks", "none"]
    options = ["--service-ms", str(SERVICE_MS), "--jitter", "0.2", "--waiting", "1000"]
    return _start_process("fireflyferry.standins.upstream_main", *instance, *options)


def _measure(name: str, port: int, hops: list[_Process], route: str, seconds: float) -> None:
    """Print the rate and processor time of closed loops, and answer times at a low fixed rate.

    Other processes on the machine can only raise the cost, so the best of several slices is shown.
    """
    rates, costs = [], []
    for _ in range(SLICES):
        before = [hop.cpu_s() for hop in hops]
        load = asyncio.run(closed_loop(port, route, 16, seconds / SLICES))
        used_s = [hop.cpu_s() - start for hop, start in zip(hops, before, strict=True)]
        rates.append(load.rate)
        costs.append([value / sum(load.answered.values()) * 1e6 for value in used_s])
    requests = [BenchRequest(f"/{route}/{number}") for number in range(int(200 * seconds))]
    low_load = asyncio.run(open_loop(port, requests, 200.0))
    cost = " + ".join(f"{value:.0f}" for value in min(costs, key=sum)) or "-"
    print(
        f"{name:24} {max(rates):8.0f} {cost:>12} {low_load.quantile_ms(0.5):8.2f}"
        f" {low_load.quantile_ms(0.99):8.2f} {sum(low_load.other.values()):6d}",
        flush=True,
    )


def _cost(seconds: float, profile: str) -> None:
    print(f"{'path':24} {'req/s':>8} {'us/req, hop':>12} {'p50 ms':>8} {'p99 ms':>8} {'failed':>6}")
    with contextlib.ExitStack() as stack:
        upstream = stack.enter_context(_start_role("upstream", []))
        upstreams = [upstream.address]
        options = ["--slots", "64"]
        entry = stack.enter_context(_start_role("entry", upstreams, *options))
        peer = stack.enter_context(_start_role("peer", upstreams, *options))
        first_hop = stack.enter_context(_start_role("entry", upstreams, "--leader", peer.address))
        naive = stack.enter_context(_start_role("naive", upstreams))
        _measure("direct", upstream.port, [], "read", seconds)
        _measure("naive", naive.port, [naive], "read", seconds)
        _measure("one hop, read", entry.port, [entry], "read", seconds)
        _measure("two hops, read", first_hop.port, [first_hop, peer], "read", seconds)
        _measure("one hop, write", entry.port, [entry], "write", seconds)
        _measure("two hops, write", first_hop.port, [first_hop, peer], "write", seconds)
        if profile:
            arguments = ("--profile", profile, *options)
            profiled = stack.enter_context(_start_role("entry", upstreams, *arguments))
            asyncio.run(closed_loop(profiled.port, "read", 16, seconds))


def _goodput(seconds: float) -> None:
    print(f"\ncapacity {CAPACITY_PER_S:.0f}/s, deadline {DEADLINE_MS} ms, open loop")
    print(f"{'router':8} {'offered':>8} {'goodput/s':>10} {'p99 ms':>8}  other outcomes")
    for name, role in (("ours", "entry"), ("naive", "naive")):
        for factor in (0.5, 1.0, 2.0, 4.0):
            with (
                _start_standin() as upstream,
                _start_role(role, [upstream.address], "--slots", "4") as router,
            ):
                rate = factor * CAPACITY_PER_S
                requests = [
                    BenchRequest(f"/read/{number}") for number in range(int(rate * seconds))
                ]
                load = asyncio.run(open_loop(router.port, requests, rate, DEADLINE_MS))
            print(
                f"{name:8} {factor:7.1f}x {load.rate:10.0f} {_p99_ms(load):8.1f}"
                f"  {_other_outcomes(load)}",
                flush=True,
            )


def _other_outcomes(load: LoadResult) -> str:
    return ", ".join(f"{reason} {count}" for reason, count in load.other.most_common(4))


def _p99_ms(load: LoadResult) -> float:
    return load.quantile_ms(0.99) if load.times_s else float("nan")


def _fairness(seconds: float) -> None:
    """Let one tenant send ten times its fair share, while the others send less than theirs."""
    fair_share = CAPACITY_PER_S / len(TENANTS)
    offered_rates = {"one": 10 * fair_share, "two": 0.9 * fair_share, "three": 0.9 * fair_share}
    rng = random.Random(1)
    rate = sum(offered_rates.values())
    requests = [
        BenchRequest(f"/read/{number}", tenant)
        for number, tenant in enumerate(
            rng.choices(list(offered_rates), list(offered_rates.values()), k=int(rate * seconds))
        )
    ]
    print(
        f"\nanswers/s per tenant; fair share {fair_share:.0f}/s,"
        f" tenant one offers {offered_rates['one']:.0f}/s"
    )
    for name, role in (("ours", "entry"), ("naive", "naive")):
        with (
            _start_standin() as upstream,
            _start_role(role, [upstream.address], "--slots", "4") as router,
        ):
            load = asyncio.run(open_loop(router.port, requests, rate, DEADLINE_MS))
        per_tenant = "  ".join(
            f"{tenant} {load.answered[tenant] / seconds:.0f} of {offered:.0f}"
            for tenant, offered in offered_rates.items()
        )
        print(f"{name:8} {per_tenant}  ({_other_outcomes(load)})", flush=True)


def main(argv: list[str] | None = None) -> None:
    """Run the benchmark, or one of its processes."""
    parser = argparse.ArgumentParser(prog="python -m fireflyferry.entry.bench", description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0, help="length of each load")
    parser.add_argument("--profile", default="", help="file for the profile of one hop")
    parser.add_argument("--part", choices=("cost", "goodput", "fairness"), action="append")
    parser.add_argument("--role", choices=sorted(ROLES), help=argparse.SUPPRESS)
    parser.add_argument("--upstream", action="append", default=[], help=argparse.SUPPRESS)
    parser.add_argument("--leader", default="", help=argparse.SUPPRESS)
    parser.add_argument("--slots", type=int, default=64, help=argparse.SUPPRESS)
    arguments = parser.parse_args(argv)
    if arguments.role:
        run_role(arguments)
        return
    parts = arguments.part or ["cost", "goodput", "fairness"]
    if "cost" in parts:
        _cost(arguments.seconds, arguments.profile)
    if "goodput" in parts:
        _goodput(arguments.seconds)
    if "fairness" in parts:
        _fairness(arguments.seconds)


if __name__ == "__main__":
    main()
