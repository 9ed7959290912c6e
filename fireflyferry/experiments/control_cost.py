"""Measures the control-plane cost of an idle entry VM: bytes, processor time and memory.

Command: `python -m fireflyferry.experiments.control_cost --vms 4 12 48`. Bytes are TCP payload of
the process's connections, read with `ss` of the package iproute2. No request is sent, so
all measured traffic and work is that of the control plane.
"""

import argparse
import os
import pathlib
import re
import shutil
import statistics
import subprocess
import sys
import tempfile
import time

import attrs

from fireflyferry.experiments.customers import CAATINGA, Customer, Service
from fireflyferry.experiments.deployment import Deployment
from fireflyferry.experiments.fault_run import apply_tables
from fireflyferry.experiments.http import fetch_json

__all__ = ["Cost", "main"]

SETTLE_S = 15.0
MEASURE_S = 20.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
UPSTREAMS_PER_VM = 3.5
_PROCESS_ID = re.compile(r"pid=(\d+)")
_BYTE_COUNT = re.compile(r"bytes_(sent|received):(\d+)")


@attrs.frozen
class Cost:
    """Cost of one entry VM: bytes/s sent and received, share of a core, resident memory."""

    bytes_per_s: float
    core_share: float
    resident_mb: float


def _scaled_customer(vms: int) -> tuple[Customer, int]:
    """Return Caatinga scaled to a number of entry VMs, and their number in each data centre."""
    regions = dict(list(CAATINGA.regions.items())[: 1 if vms < 6 else 3])
    data_centres = 2 * len(regions)
    instances = max(data_centres, round(vms * UPSTREAMS_PER_VM / 3))
    services = tuple(
        Service(each.name, instances, each.slots, each.connections, each.idempotent)
        for each in CAATINGA.services
    )
    customer = attrs.evolve(CAATINGA, regions=regions, services=services)
    groups = max(1, round(1.5 * vms / (3 * data_centres)))
    return attrs.evolve(customer, groups_per_data_centre=groups), vms // data_centres


def _socket_bytes() -> dict[tuple[int, str], int]:
    """Return the payload bytes, sent and received, of each connection by process and addresses."""
    text = subprocess.run(["ss", "-tinpHO"], capture_output=True, text=True, check=True).stdout
    found = {}
    for line in text.splitlines():
        process_id = _PROCESS_ID.search(line)
        if process_id:
            total = sum(int(count) for _, count in _BYTE_COUNT.findall(line))
            found[int(process_id[1]), " ".join(line.split()[3:5])] = total
    return found


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _resident_mb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def _measure(pids: list[int]) -> list[Cost]:
    cpu_before = {pid: _cpu_s(pid) for pid in pids}
    before = _socket_bytes()
    latest = dict(before)
    started_s = time.monotonic()
    while time.monotonic() - started_s < MEASURE_S:
        time.sleep(1.0)
        latest.update(_socket_bytes())
    elapsed_s = time.monotonic() - started_s
    costs = []
    for pid in pids:
        transferred_bytes = sum(
            count - before.get(connection, 0)
            for connection, count in latest.items()
            if connection[0] == pid
        )
        cpu_s = _cpu_s(pid) - cpu_before[pid]
        costs.append(Cost(transferred_bytes / elapsed_s, cpu_s / elapsed_s, _resident_mb(pid)))
    return costs


def _run(vms: int) -> tuple[list[Cost], dict[str, float], int]:
    customer, per_data_centre = _scaled_customer(vms)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="fireflyferry-cost-"))
    deployment = Deployment(customer, folder, entry_vms_per_data_centre=per_data_centre)
    try:
        deployment.start()
        apply_tables(deployment)
        time.sleep(SETTLE_S)
        url = f"http://{deployment.store_address}/v1/counters"
        calls_before = fetch_json(url)["calls"]
        costs = _measure([program.process.pid for program in deployment.entries.values()])
        calls = fetch_json(url)["calls"]
        rates = {
            name: (count - calls_before.get(name, 0)) / MEASURE_S for name, count in calls.items()
        }
        return costs, rates, len(deployment.upstream_addresses)
    finally:
        deployment.stop()
        shutil.rmtree(folder)


def main(argv: list[str] | None = None) -> int:
    """Measure each size and print a table; return 0."""
    parser = argparse.ArgumentParser(
        prog="python -m fireflyferry.experiments.control_cost",
        description="Measure the control-plane cost of an idle entry VM.",
    )
    parser.add_argument("--vms", type=int, nargs="+", default=[4, 12, 48])
    parser.add_argument("--runs", type=int, default=1)
    options = parser.parse_args(argv)
    print(f"memory of a Python process with the imports of an entry VM: {_baseline_mb()} MB")
    titles = "VMs", "upstreams", "run", "KB/s mean", "max", "core % mean", "max", "MB", "store/s"
    print(f"| {' | '.join(titles)} |")
    print("| --- " * len(titles) + "|")
    for vms in options.vms:
        for run in range(1, options.runs + 1):
            costs, rates, upstreams = _run(vms)
            print(_row(vms, upstreams, run, costs, rates), flush=True)
    return 0


def _baseline_mb() -> float:
    code = (
        "import fireflyferry.entry.main,pathlib;"
        "print(int(pathlib.Path('/proc/self/statm').read_text().split()[1]))"
    )
    pages = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout
    return round(int(pages) * PAGE_BYTES / 1e6, 1)


def _row(vms: int, upstreams: int, run: int, costs: list[Cost], rates: dict[str, float]) -> str:
    kb_per_s = [cost.bytes_per_s / 1000 for cost in costs]
    core_percents = [cost.core_share * 100 for cost in costs]
    memory_mb = statistics.mean(cost.resident_mb for cost in costs)
    calls = ", ".join(f"{name} {rate:.1f}" for name, rate in sorted(rates.items()) if rate)
    return (
        f"| {vms} | {upstreams} | {run} | {statistics.mean(kb_per_s):.1f} "
        f"| {max(kb_per_s):.1f} | {statistics.mean(core_percents):.1f} | {max(core_percents):.1f} "
        f"| {memory_mb:.1f} | {calls} |"
    )


if __name__ == "__main__":
    sys.exit(main())
