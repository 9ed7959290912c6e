"""Cuts of VMs from all upstreams, and the check that their callers are served nevertheless."""

import asyncio
import time
from collections.abc import Callable, Iterable, Iterator

import attrs

from fireflyferry.platform.soak.audit import Audit
from fireflyferry.platform.soak.paths import Cut, UpstreamPaths
from fireflyferry.platform.soak.promises import Promise, VmRun, run_of
from fireflyferry.platform.soak.vms import VmProcess

__all__ = ["CutInjector", "CutPromise", "vms_to_cut"]

SETTLE_S = 3.0
MIN_SHARE = 2 / 3
ALLOWED_FAILURES, REQUESTS_PER_FAILURE = 10, 50


class CutInjector:
    """Cuts VMs off from all upstreams, one set of VMs at a time."""

    def __init__(self, paths: UpstreamPaths, promises: Iterable[Promise]):
        self._paths = paths
        self._promises = tuple(promises)
        self._vm_ids: frozenset[str] = frozenset()

    async def cut(self, vms: Iterable[VmProcess], cut: Cut, for_s: float) -> None:
        """Cut VMs off for some seconds, unless others are cut off already."""
        if self._vm_ids:
            return
        self._vm_ids = frozenset(vm.vm_id for vm in vms)
        self._paths.cut(self._vm_ids, cut)
        for each in self._promises:
            each.on_cut(time.monotonic(), self._vm_ids)
        await asyncio.sleep(for_s)
        self.end()

    def end(self) -> None:
        """Let all VMs reach the upstreams again."""
        if self._vm_ids:
            for each in self._promises:
                each.on_healed(time.monotonic())
            self._paths.heal()
            self._vm_ids = frozenset()


def vms_to_cut(vms: list[VmProcess], target: int) -> list[VmProcess]:
    """Return one VM, half of the VMs of its data centre, or all of them."""
    vm = vms[target % len(vms)]
    neighbours = [each for each in vms if each.data_centre == vm.data_centre]
    sets = ([vm], neighbours[: -(-len(neighbours) // 2)], neighbours)
    return sets[target // len(vms) % len(sets)]


@attrs.define
class _Window:
    """Time in which VMs are cut off, without the time to settle."""

    vm_ids: frozenset[str]
    start_s: float
    end_s: float = float("inf")


@attrs.frozen
class _Try:
    sent_s: float
    vm_id: str


@attrs.define
class _Count:
    """Requests to some VMs."""

    served: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """Number of all requests."""
        return self.served + self.failed

    @property
    def rate(self) -> float:
        """Share of the requests that were served."""
        return self.served / self.total if self.total else 0.0


class CutPromise(Promise):
    """VMs without a path to upstreams serve MIN_SHARE times as often as the others.

    The others serve MIN_SHARE of all requests, which is checked if the run has `only_cuts`. Some
    failures are allowed. Requests count that were sent to VMs, cut off or not, which nothing else
    has disturbed for SETTLE_S. The callers of the soak send each request once.
    """

    def __init__(self, audit: Audit, is_calm: Callable[[], bool], only_cuts: bool):
        super().__init__(audit)
        self._only_cuts = only_cuts
        self._is_calm = is_calm
        self._windows: list[_Window] = []
        self._disturbed_s: dict[VmRun, float] = {}
        self._open: dict[str, _Try] = {}
        self._ended: list[tuple[_Try, bool]] = []

    def on_cut(self, now_s: float, vm_ids: frozenset[str]) -> None:
        """Begin a window."""
        self._windows.append(_Window(vm_ids, now_s + SETTLE_S))

    def on_healed(self, now_s: float) -> None:
        """End the last window."""
        self._windows[-1].end_s = now_s

    def on_sent(self, now_s: float, request_id: str, vm: VmProcess) -> None:
        """Record a request to a VM that is not disturbed otherwise."""
        run = run_of(vm)
        known_s = self._disturbed_s.setdefault(run, now_s if run.starts > 1 else float("-inf"))
        if vm.disturbed or vm.stopping or not self._is_calm():
            self._disturbed_s[run] = now_s
        elif now_s - known_s >= SETTLE_S:
            self._open[request_id] = _Try(now_s, vm.vm_id)

    def on_ended(self, now_s: float, request_id: str, status: int) -> None:
        """Record whether a request was served."""
        sent = self._open.pop(request_id, None)
        if sent is not None:
            self._ended.append((sent, status == 200))

    def finish(self) -> None:
        """Report the windows in which VMs served too little."""
        for window in self._windows:
            cut, others = self._count(window)
            limit = ALLOWED_FAILURES + (cut.total + others.total) / REQUESTS_PER_FAILURE
            detail = (
                f"{' '.join(sorted(window.vm_ids))} served {cut.served} of {cut.total}, "
                f"the others {others.served} of {others.total}"
            )
            if cut.rate < MIN_SHARE * others.rate and cut.failed > limit:
                self._audit.report("VMs without a path to upstreams serve their callers", detail)
            if self._only_cuts and others.rate < MIN_SHARE and others.failed > limit:
                self._audit.report("VMs with a path serve while others have none", detail)

    def _count(self, window: _Window) -> tuple[_Count, _Count]:
        cut, others = _Count(), _Count()
        for sent, served in self._tries(window):
            count = cut if sent.vm_id in window.vm_ids else others
            count.served += served
            count.failed += not served
        return cut, others

    def _tries(self, window: _Window) -> Iterator[tuple[_Try, bool]]:
        for sent, served in self._ended:
            if window.start_s <= sent.sent_s < window.end_s:
                yield sent, served
