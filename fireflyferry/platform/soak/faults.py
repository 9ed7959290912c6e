"""Injection of the scheduled faults into VM processes, their links, the store and upstreams."""

import asyncio
import random
import signal
import time
from collections.abc import Callable, Iterable

from fireflyferry.platform.soak.cuts import CutInjector, vms_to_cut
from fireflyferry.platform.soak.fleet import Restart, UpstreamFleet
from fireflyferry.platform.soak.links import LinkMode
from fireflyferry.platform.soak.misbehaviour import Misbehaviour
from fireflyferry.platform.soak.paths import Cut
from fireflyferry.platform.soak.schedule import Fault, FaultKind
from fireflyferry.platform.soak.store import StoreStandin
from fireflyferry.platform.soak.upstreams import UpstreamStandin
from fireflyferry.platform.soak.vms import VmProcess
from fireflyferry.tasks import BackgroundTasks

__all__ = ["FaultInjector"]

MAX_DOWN_S = 0.5  # between the end of a process and the start of the next one at its address
DRAIN_S = 2.0
LEAVE_S = 6.0
QUIET_S = 1.0
ORDER_FAULT_S = 3.0  # added to faults of grants, which are several seconds apart
# Above the time after which the platform removes an entry without heartbeats.
PARTITION_S = 1.6

LINK_MODES = {
    FaultKind.LINK_DELAY: LinkMode.DELAY,
    FaultKind.LINK_SILENT: LinkMode.SILENT,
    FaultKind.LINK_NO_ANSWERS: LinkMode.NO_ANSWERS,
}
STORE_FLAGS = {
    FaultKind.STORE_AWAY: "unavailable",
    FaultKind.STORE_SILENT: "silent",
    FaultKind.STORE_LOSES_ANSWERS: "loses_answers",
}
MISBEHAVIOURS = {
    FaultKind.UPSTREAM_LOSES_ANSWERS: Misbehaviour.LOSES_ANSWERS,
    FaultKind.UPSTREAM_DELAYS_GRANTS: Misbehaviour.DELAYS_GRANTS,
    FaultKind.UPSTREAM_REPEATS_ORDER_ANSWERS: Misbehaviour.REPEATS_ORDER_ANSWERS,
    FaultKind.UPSTREAM_REPEATS_REFUSALS: Misbehaviour.REPEATS_REFUSALS,
    FaultKind.UPSTREAM_BREAKS_HEADS: Misbehaviour.BREAKS_HEADS,
}
CUTS = {
    FaultKind.CUT_HANG: Cut.HANG,
    FaultKind.CUT_RESET: Cut.RESET,
    FaultKind.CUT_REFUSE: Cut.REFUSE,
}
ORDER_FAULTS = (FaultKind.UPSTREAM_DELAYS_GRANTS, FaultKind.UPSTREAM_REPEATS_ORDER_ANSWERS)


class FaultInjector:
    """Injects faults, each in a task of its own, so that they overlap."""

    def __init__(
        self,
        vms: list[VmProcess],
        store: StoreStandin,
        fleet: UpstreamFleet,
        change_config: Callable[[], None],
        start_odd_entry: Callable[[Fault], None],
        cuts: CutInjector,
    ):
        self._vms = vms
        self._store = store
        self._fleet = fleet
        self._start_odd_entry = start_odd_entry
        self._cuts = cuts
        self._change_config = change_config
        self._tasks = BackgroundTasks()
        self._disturbances = 0
        self.counts: dict[str, int] = {}

    @property
    def disturbs_vms(self) -> bool:
        """Whether a fault of a VM, of its path to the store or of the store is active."""
        return self._disturbances > 0

    async def run(self, schedule: Iterable[Fault], length_s: float) -> None:
        """Inject the faults of a schedule, which takes `length_s` seconds."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        for fault in schedule:
            await asyncio.sleep(max(0.0, start_s + fault.at_s - loop.time()))
            self.counts[fault.kind] = self.counts.get(fault.kind, 0) + 1
            self._tasks.start(self._inject(fault))
        await asyncio.sleep(max(0.0, start_s + length_s - loop.time()))

    def end_faults(self) -> None:
        """End all faults now, so that their own ends have no effect later.

        An upstream that drains still ends at its own time, and one that crashed starts again.
        """
        for vm in self._vms:
            vm.link.mode = LinkMode.PASS
            vm.send(signal.SIGCONT)
        self._cuts.end()
        self._store.unavailable = self._store.silent = self._store.loses_answers = False
        for upstream in self._fleet.running:
            upstream.resume()
            upstream.listen()
            upstream.misbehaviour = Misbehaviour.NONE
            upstream.unlisted_until_s = 0.0

    def close(self) -> None:
        """Cancel the ends of faults."""
        self._tasks.cancel()

    async def _inject(self, fault: Fault) -> None:
        vm = self._vms[fault.target % len(self._vms)]
        if fault.kind.startswith(("vm_", "link_", "store_")):
            self._disturbances += 1
            await self._disturb_vms(fault, vm)
            self._disturbances -= 1
        elif fault.kind.startswith("upstream_"):
            upstream = self._upstream(fault)
            if upstream is not None:
                await self._inject_upstream_fault(fault, upstream)
        elif fault.kind.startswith("odd_"):
            self._start_odd_entry(fault)
        elif fault.kind in CUTS:
            cut_off = vms_to_cut(self._vms, fault.target)
            await self._cuts.cut(cut_off, CUTS[fault.kind], fault.for_s)
        else:
            self._change_config()

    async def _disturb_vms(self, fault: Fault, vm: VmProcess) -> None:
        if fault.kind.startswith("vm_"):
            await self._inject_vm_fault(fault, vm)
        elif fault.kind.startswith("link_"):
            await self._inject_link_fault(fault, vm)
        else:
            await self._inject_store_fault(fault)

    def _upstream(self, fault: Fault) -> UpstreamStandin | None:
        """Return the upstream of a fault; only those with keys get calls on keys."""
        running = self._fleet.running
        first = fault.target % max(1, len(running))
        for upstream in (*running[first:], *running[:first]):
            if upstream.keyed or fault.kind not in ORDER_FAULTS:
                return upstream
        return None

    async def _inject_vm_fault(self, fault: Fault, vm: VmProcess) -> None:
        if fault.kind is FaultKind.VM_STOP:
            vm.stopping = True
            vm.send(signal.SIGTERM)
        elif fault.kind is FaultKind.VM_RELOAD:
            vm.send(signal.SIGHUP)
        else:
            vm.disturbed = True
            if fault.kind is FaultKind.VM_KILL:
                vm.send(signal.SIGKILL)
                return
            vm.send(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            vm.send(signal.SIGCONT)

    async def _inject_link_fault(self, fault: Fault, vm: VmProcess) -> None:
        if fault.kind is FaultKind.LINK_RESET:
            vm.link.reset()
            return
        vm.link.mode = LINK_MODES[fault.kind]
        await asyncio.sleep(fault.for_s)
        vm.link.mode = LinkMode.PASS

    async def _inject_store_fault(self, fault: Fault) -> None:
        if fault.kind is FaultKind.STORE_FORGETS:
            self._store.forget_history()
            return
        name = STORE_FLAGS[fault.kind]
        setattr(self._store, name, True)
        await asyncio.sleep(fault.for_s)
        setattr(self._store, name, False)

    async def _inject_upstream_fault(self, fault: Fault, upstream: UpstreamStandin) -> None:
        if fault.kind in MISBEHAVIOURS:
            upstream.misbehaviour |= MISBEHAVIOURS[fault.kind]
            is_order_fault = fault.kind in ORDER_FAULTS
            await asyncio.sleep(fault.for_s + (ORDER_FAULT_S if is_order_fault else 0.0))
            upstream.misbehaviour &= ~MISBEHAVIOURS[fault.kind]
        elif fault.kind is FaultKind.UPSTREAM_SILENT:
            upstream.silent = True
            await asyncio.sleep(fault.for_s)
            upstream.resume()
        elif fault.kind is FaultKind.UPSTREAM_PARTITION:
            upstream.unlisted_until_s = time.monotonic() + PARTITION_S + fault.for_s
        elif fault.kind is FaultKind.UPSTREAM_REFUSES:
            upstream.refuse_connections()
            if fault.target // len(self._fleet.running) % 2:
                upstream.close_connections()
            await asyncio.sleep(fault.for_s)
            upstream.listen()
        elif fault.kind is FaultKind.UPSTREAM_DRAIN:
            await self._fleet.drain(upstream, DRAIN_S + fault.for_s)
        elif fault.kind is FaultKind.UPSTREAM_ASKS_FOR_QUIET:
            upstream.quiet_until_s = time.monotonic() + QUIET_S + fault.for_s
        elif fault.kind is FaultKind.UPSTREAM_SAYS_LEAVING:
            reports = fault.target // len(self._fleet.running) % 2 > 0
            await self._fleet.announce_leave(upstream, LEAVE_S + fault.for_s, reports)
        else:
            await self._fleet.restart(upstream, _restart(fault))


def _restart(fault: Fault) -> Restart:
    if fault.kind is FaultKind.UPSTREAM_RESTART:
        return Restart()
    return Restart(
        same_id=fault.kind is FaultKind.UPSTREAM_RESTART_UNLISTED,
        other_pool=fault.kind is FaultKind.UPSTREAM_OTHER_POOL,
        down_s=random.Random(fault.target).uniform(0.0, MAX_DOWN_S),
        unlisted_s=fault.for_s,
    )
