"""One experiment: a customer's deployment, open-loop traffic and timed faults."""

import asyncio
import pathlib
import subprocess
import sys
import time
from collections.abc import Callable

import attrs

from fireflyferry.experiments.audit import Audit, audit, longest_gap_s
from fireflyferry.experiments.customers import Customer, make_tables
from fireflyferry.experiments.deployment import SECRET, Deployment
from fireflyferry.experiments.load_result import LoadResult
from fireflyferry.experiments.load_runner import LoadRunner
from fireflyferry.experiments.load_scenario import RequestKind, Scenario
from fireflyferry.experiments.load_tally import Sample
from fireflyferry.tables.files import format_tables

__all__ = ["FaultReport", "FaultRun", "TimedFault", "apply_tables"]

LARGE_ANSWER_BYTES = 200_000
WARM_UP_S = 6.0


@attrs.frozen
class TimedFault:
    """A fault that is injected at `at_s`, with the `window_s` in which its effect is measured.

    `at_s` is in seconds from the start of traffic.
    """

    name: str
    at_s: float
    window_s: float
    inject: Callable[[Deployment], None]


@attrs.frozen
class FaultReport:
    """Result of a run; `gaps_s` is the longest unavailable time of any key after each fault."""

    customer: str
    audit: Audit
    gaps_s: dict[str, float]
    load: LoadResult


@attrs.define
class FaultRun:
    """Runs one customer's deployment with traffic and faults.

    Requests are sent only to entry VMs outside `avoid_data_centre`, for faults that cut that data
    centre off.
    """

    customer: Customer
    folder: pathlib.Path
    faults: list[TimedFault]
    rate_per_s: float = 120.0
    keys_per_service: int = 12
    seed: int = 1
    separate_upstreams: tuple[str, ...] = ()
    avoid_data_centre: str = ""
    _samples: list[Sample] = attrs.Factory(list)

    async def run(self) -> FaultReport:
        """Run the experiment and return its report."""
        loop = asyncio.get_running_loop()
        deployment = Deployment(
            self.customer, self.folder, separate_upstreams=self.separate_upstreams
        )
        try:
            await loop.run_in_executor(None, deployment.start)
            await loop.run_in_executor(None, apply_tables, deployment)
            await asyncio.sleep(WARM_UP_S)
            load = await self._run_traffic(deployment)
            deployment.clear_faults()
            return self._report(deployment, load)
        finally:
            deployment.stop()

    async def _run_traffic(self, deployment: Deployment) -> LoadResult:
        duration_s = max(fault.at_s + fault.window_s for fault in self.faults)
        runner = LoadRunner(
            self._scenario(duration_s),
            tuple(deployment.entry_urls(self.avoid_data_centre)),
            on_sample=self._samples.append,
        )
        traffic = asyncio.ensure_future(runner.run())
        started_s = time.monotonic()
        loop = asyncio.get_running_loop()
        for fault in sorted(self.faults, key=lambda fault: fault.at_s):
            await asyncio.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
            await loop.run_in_executor(None, fault.inject, deployment)
        return await traffic

    def _scenario(self, duration_s: float) -> Scenario:
        kinds = tuple(
            RequestKind(
                service.name,
                f"/{service.name}/{{key}}",
                method="GET" if service.idempotent else "POST",
                idempotent=service.idempotent,
                keys=self.keys_per_service,
                size_bytes=LARGE_ANSWER_BYTES if service.name == "acervo" else 0,
                body_bytes=0 if service.idempotent else 100,
            )
            for service in self.customer.services
        )
        return Scenario(
            self.rate_per_s,
            duration_s,
            seed=self.seed,
            tenants=dict.fromkeys(self.customer.tenants, 1.0),
            kinds=kinds,
        )

    def _report(self, deployment: Deployment, load: LoadResult) -> FaultReport:
        found = audit(self._samples, deployment.executions(), deployment.holdings())
        gaps_s = {
            fault.name: longest_gap_s(self._samples, fault.at_s, fault.at_s + fault.window_s)
            for fault in self.faults
        }
        return FaultReport(self.customer.name, found, gaps_s, load)


def apply_tables(deployment: Deployment) -> None:
    """Apply a customer's tables through the operators' program.

    Raises subprocess.CalledProcessError or subprocess.TimeoutExpired.
    """
    tables = deployment.folder / "tables.ini"
    tables.write_text(format_tables(make_tables(deployment.customer, revision=0)))
    settings = deployment.folder / "ctl.ini"
    settings.write_text(
        f"[store]\naddress = {deployment.store_address}\n"
        f"[secrets]\ncurrent = {SECRET}\n[operator]\nauthor = demo\n"
    )
    command = [sys.executable, "-m", "fireflyferry.operators.main"]
    command += ["--settings", str(settings), "apply", str(tables)]
    subprocess.run(command, check=True, stdout=subprocess.DEVNULL, timeout=20)
