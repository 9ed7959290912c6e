"""Load reports to the granting VM; a relay combines those of its followers with its own."""

import asyncio
import logging
from collections.abc import Callable

from fireflyferry.balancing import EntryVm
from fireflyferry.gateway.last_hop import LastHop
from fireflyferry.gateway.peer_client import PeerClient
from fireflyferry.gateway.planning import RangePlanner
from fireflyferry.gateway.sampling import KeySampler, LoadReport, PoolSample
from fireflyferry.keyranges import SAMPLE_PERIOD_S

__all__ = ["LoadReporter"]

_LOG = logging.getLogger(__name__)

SERVICE_TIME_DECIMALS = 3  # rounds to milliseconds, to keep reports short
# Bounds the samples that wait while no granting VM is known; a VM adds one per pool and interval.
MAX_SAMPLES = 400


class LoadReporter:
    """Sends this VM's load, with the reports it received, to another VM at intervals.

    `destination` returns that VM: the relay of this VM, or the granting VM, which may be this VM
    itself. It returns None while neither is known.
    """

    def __init__(
        self,
        this_vm: EntryVm,
        sampler: KeySampler,
        last_hop: LastHop,
        planner: RangePlanner,
        peers: PeerClient,
        destination: Callable[[], EntryVm | None],
    ):
        self._this_vm = this_vm
        self._sampler = sampler
        self._last_hop = last_hop
        self._planner = planner
        self._peers = peers
        self._destination = destination
        self._samples: list[PoolSample] = []
        self._service_s: dict[str, float] = {}

    def add_report(self, report: LoadReport) -> None:
        """Add the report of another VM to the next one that is sent."""
        self._samples.extend(report.samples)
        self._service_s.update(report.service_s)
        if len(self._samples) > MAX_SAMPLES:
            _LOG.info("load_samples_dropped", extra={"samples": len(self._samples) - MAX_SAMPLES})
            del self._samples[:-MAX_SAMPLES]

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_PERIOD_S)
            await self._report()

    async def _report(self) -> None:
        vm = self._destination()
        own = self._sampler.take()
        if vm is None or not (own or self._samples):
            return
        measured = self._last_hop.service_times().items()
        service_s = {name: round(value, SERVICE_TIME_DECIMALS) for name, value in measured}
        report = LoadReport((*own, *self._samples), {**self._service_s, **service_s})
        self._samples, self._service_s = [], {}
        if vm.vm_id == self._this_vm.vm_id:
            self._planner.add_report(report)
        elif not await self._peers.report_loads(vm, report):
            _LOG.info(
                "load_report_not_taken",
                extra={
                    "vm": vm.vm_id,
                    "incarnation": vm.incarnation,
                    "samples": len(report.samples),
                },
            )
