"""Demo: both customers on loopback, with an owner killed, an owner frozen and a leader lost."""

import asyncio
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable

import attrs

from fireflyferry.experiments.audit import Audit, audit, longest_gap_s
from fireflyferry.experiments.customers import CAATINGA, PARBRETT, Customer, tables_of
from fireflyferry.experiments.deployment import SECRET, Deployment
from fireflyferry.experiments.load_runner import LoadRunner
from fireflyferry.experiments.load_scenario import RequestKind, Scenario
from fireflyferry.experiments.load_tally import Sample
from fireflyferry.tables.files import format_tables

__all__ = ["main"]

RATE_PER_S = 120.0
KEYS_PER_SERVICE = 12
LARGE_ANSWER_BYTES = 200_000
WARM_UP_S = 6.0
FAULT_WINDOW_S = 6.0
FREEZE_S = 3.0
UNAVAILABLE_TARGET_S = 5.0


@attrs.frozen
class Fault:
    """A fault with the time at which it is injected, in seconds from the start of traffic."""

    name: str
    at_s: float
    inject: Callable[[], None]


@attrs.frozen
class Report:
    """The result of one customer's run."""

    customer: str
    audit: Audit
    gaps: dict[str, float]


class CustomerDemo:
    """Runs one customer's deployment, traffic and faults."""

    def __init__(self, customer: Customer, folder: pathlib.Path) -> None:
        self._customer = customer
        first = customer.services[0].name
        self._deployment = Deployment(customer, folder, separate_upstreams=(first,))
        self._samples: list[Sample] = []
        self._victims = [f"{first}-0", f"{first}-1"]

    async def run(self) -> Report:
        """Run the demo of this customer."""
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(None, self._deployment.start)
            await loop.run_in_executor(None, self._apply_tables)
            return await self._run_traffic()
        finally:
            self._deployment.stop()

    def _apply_tables(self) -> None:
        """Apply the tables through the operators' program."""
        folder = self._deployment.folder
        tables = folder / "tables.ini"
        tables.write_text(format_tables(tables_of(self._customer, revision=0)))
        settings = folder / "ctl.ini"
        settings.write_text(
            f"[store]\naddress = {self._deployment.store_address}\n"
            f"[secrets]\ncurrent = {SECRET}\n[operator]\nauthor = demo\n"
        )
        command = [sys.executable, "-m", "fireflyferry.operators.main"]
        command += ["--settings", str(settings), "apply", str(tables)]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL, timeout=20)

    async def _run_traffic(self) -> Report:
        await asyncio.sleep(WARM_UP_S)
        faults = self._faults()
        scenario = self._scenario(faults[-1].at_s + FAULT_WINDOW_S)
        runner = LoadRunner(
            scenario,
            tuple(self._deployment.entry_urls),
            on_sample=self._samples.append,
        )
        traffic = asyncio.ensure_future(runner.run())
        started_s = time.monotonic()
        for fault in faults:
            await asyncio.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
            fault.inject()
        await traffic
        return self._report(faults)

    def _faults(self) -> list[Fault]:
        killed, frozen = self._victims
        leader = sorted(self._deployment.entries)[-1]
        window = FAULT_WINDOW_S
        return [
            Fault("owner killed", 2.0, lambda: self._deployment.upstreams[killed].kill()),
            Fault("owner frozen", 2.0 + window, lambda: self._freeze(frozen)),
            Fault("entry VM killed", 2.0 + 2 * window, lambda: self._lose_entry(leader)),
        ]

    def _freeze(self, name: str) -> None:
        program = self._deployment.upstreams[name]
        program.send(signal.SIGSTOP)
        loop = asyncio.get_running_loop()
        loop.call_later(FREEZE_S, program.send, signal.SIGCONT)

    def _lose_entry(self, vm_id: str) -> None:
        self._deployment.kill_entry(vm_id)

    def _scenario(self, duration_s: float) -> Scenario:
        kinds = tuple(
            RequestKind(
                service.name,
                f"/{service.name}/{{key}}",
                method="GET" if service.idempotent else "POST",
                idempotent=service.idempotent,
                keys=KEYS_PER_SERVICE,
                size_bytes=LARGE_ANSWER_BYTES if service.name == "acervo" else 0,
                body_bytes=0 if service.idempotent else 100,
            )
            for service in self._customer.services
        )
        return Scenario(
            RATE_PER_S,
            duration_s,
            tenants=dict.fromkeys(self._customer.tenants, 1.0),
            kinds=kinds,
        )

    def _report(self, faults: list[Fault]) -> Report:
        found = audit(self._samples, self._deployment.executions(), self._deployment.holdings())
        gaps = {
            fault.name: longest_gap_s(self._samples, fault.at_s, fault.at_s + FAULT_WINDOW_S)
            for fault in faults
        }
        return Report(self._customer.name, found, gaps)


def _lines(report: Report) -> list[str]:
    found = report.audit
    return [
        f"{report.customer}",
        f"  sent                      {found.sent}",
        f"  answered                  {found.answered}",
        f"  refused by reason         {_counts(found.refused)}",
        f"  outcome unknown by reason {_counts(found.unknown)}",
        f"  ran twice                 {found.ran_twice}",
        f"  moments with two owners   {found.two_owners}",
        f"  lost answers              {found.lost_answers}",
        f"  refused but ran           {found.false_refusals}",
        f"  crossed or cut answers    {found.wrong_answers}",
        *(
            f"  longest unavailable time  {gap_s:.2f} s ({name}, target "
            f"{UNAVAILABLE_TARGET_S:.0f} s)"
            for name, gap_s in report.gaps.items()
        ),
    ]


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "none"


async def _run(folder: pathlib.Path) -> list[Report]:
    demos = [CustomerDemo(each, folder / each.name) for each in (CAATINGA, PARBRETT)]
    return await asyncio.gather(*(demo.run() for demo in demos))


def main() -> int:
    """Run the demo and return 0 if every promise was kept, 1 otherwise."""
    started_s = time.monotonic()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="fireflyferry-demo-"))
    reports = asyncio.run(_run(folder))
    for report in reports:
        print("\n".join(_lines(report)))
    late = [gap for report in reports for gap in report.gaps.values() if gap > UNAVAILABLE_TARGET_S]
    broken = sum(report.audit.broken for report in reports) + len(late)
    elapsed_s = time.monotonic() - started_s
    print(f"promises broken: {broken}; took {elapsed_s:.0f} s")
    if broken:
        print(f"logs are kept in {folder}")
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
