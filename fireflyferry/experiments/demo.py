"""Demo: both customers on loopback, with an owner killed, an owner frozen and a leader killed."""

import asyncio
import pathlib
import shutil
import sys
import tempfile
import time

from fireflyferry.experiments.customers import CAATINGA, PARBRETT
from fireflyferry.experiments.fault_run import FaultReport, FaultRun
from fireflyferry.experiments.faults import demo_faults
from fireflyferry.experiments.faults_main import count_violations, format_report

__all__ = ["main"]


async def _run(folder: pathlib.Path) -> list[FaultReport]:
    runs = [
        FaultRun(
            customer,
            folder / customer.name,
            demo_faults(customer),
            separate_upstreams=(customer.services[0].name,),
        )
        for customer in (CAATINGA, PARBRETT)
    ]
    return await asyncio.gather(*(run.run() for run in runs))


def main() -> int:
    """Run the demo and return 0 without a violation, 1 otherwise."""
    started_s = time.monotonic()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="fireflyferry-demo-"))
    reports = asyncio.run(_run(folder))
    for report in reports:
        print("\n".join(format_report(report)))
    violations = sum(count_violations(report.audit, report.gaps_s) for report in reports)
    elapsed_s = time.monotonic() - started_s
    print(f"violations: {violations}; took {elapsed_s:.0f} s")
    if violations:
        print(f"logs are kept in {folder}")
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
