"""Checks of promises with a time bound, from what callers and upstreams see."""

from typing import TYPE_CHECKING

import attrs

from fireflyferry.platform.soak.audit import Audit
from fireflyferry.platform.soak.vms import VmProcess

if TYPE_CHECKING:
    from fireflyferry.platform.soak.upstreams import UpstreamStandin

__all__ = ["LeavingPromise", "Promise", "QuietPromise", "VmRun", "run_of"]


@attrs.frozen
class VmRun:
    """A VM from one start of its process to its end."""

    vm_id: str
    starts: int


def run_of(vm: VmProcess) -> VmRun:
    """Return the present run of a VM."""
    return VmRun(vm.vm_id, vm.starts)


class Promise:
    """Sees the requests of callers and what upstreams do with them; times in seconds."""

    def __init__(self, audit: Audit):
        self._audit = audit

    def on_sent(self, now_s: float, request_id: str, vm: VmProcess) -> None:
        """Record a request that a caller is about to send to a VM."""

    def on_ended(self, now_s: float, request_id: str, status: int) -> None:
        """Record the answer that a caller got; status 0 if it got none."""

    def on_arrival(
        self,
        earliest_s: float,
        now_s: float,
        request_id: str,
        upstream: "UpstreamStandin",
        vm: VmProcess,
    ) -> None:
        """Record a request that reached an upstream from a VM between two times."""

    def on_answer(
        self,
        now_s: float,
        request_id: str,
        upstream: "UpstreamStandin",
        vm: VmProcess,
        retry_after_s: float | None,
    ) -> None:
        """Record the answer of an upstream to a VM; `retry_after_s` if it asks for quiet."""

    def on_cut(self, now_s: float, vm_ids: frozenset[str]) -> None:
        """Record that VMs are cut off from all upstreams."""

    def on_healed(self, now_s: float) -> None:
        """Record that all VMs reach the upstreams again."""

    def finish(self) -> None:
        """Check what needs the complete record."""


class LeavingPromise(Promise):
    """A VM sends nothing to an upstream that has said in an answer that it leaves.

    That holds for requests sent later than the drain timeout after the VM passed the answer on,
    unless the VM was started or paused since.
    """

    def __init__(self, audit: Audit, drain_timeout_s: float):
        super().__init__(audit)
        self._drain_timeout_s = drain_timeout_s
        self._sent: dict[str, tuple[float, VmRun]] = {}
        self._announced: dict[str, list[tuple[UpstreamStandin, VmRun]]] = {}
        self._passed_s: dict[tuple[VmRun, UpstreamStandin], float] = {}

    def on_sent(self, now_s: float, request_id: str, vm: VmProcess) -> None:
        """Record the time of a request and the VM that takes it."""
        self._sent[request_id] = (now_s, run_of(vm))

    def on_answer(
        self,
        now_s: float,
        request_id: str,
        upstream: "UpstreamStandin",
        vm: VmProcess,
        retry_after_s: float | None,
    ) -> None:
        """Record an answer that says that its upstream leaves."""
        if upstream.leaving:
            self._announced.setdefault(request_id, []).append((upstream, run_of(vm)))

    def on_ended(self, now_s: float, request_id: str, status: int) -> None:
        """Record that the VMs on the way of an answer have passed it on."""
        announced = self._announced.pop(request_id, [])
        if status != 200:
            return
        for upstream, last_hop in announced:
            for run in (last_hop, self._sent[request_id][1]):
                self._passed_s.setdefault((run, upstream), now_s)

    def on_arrival(
        self,
        earliest_s: float,
        now_s: float,
        request_id: str,
        upstream: "UpstreamStandin",
        vm: VmProcess,
    ) -> None:
        """Report a request that was sent too late after the VM passed such an answer on."""
        passed_s = self._passed_s.get((run_of(vm), upstream))
        if passed_s is None or vm.disturbed or request_id not in self._sent:
            return
        late_s = self._sent[request_id][0] - passed_s - self._drain_timeout_s
        if late_s > 0.0:
            detail = f"{request_id} from {vm.vm_id} at {upstream.label}, {late_s:.2f} s late"
            self._audit.report("an upstream that says it leaves is left", detail)


@attrs.define
class _QuietTime:
    """Time in which an upstream wants nothing from a VM, and the requests that reached it then."""

    start_s: float
    end_s: float
    requests: int = 0


class QuietPromise(Promise):
    """A VM sends hardly anything to an upstream that refused a request for some time.

    At most MAX_REQUESTS reach it between REACTION_S after that answer and the end of the time,
    unless the VM was started, paused or cut off since.
    """

    REACTION_S = 0.5
    MAX_REQUESTS = 2

    def __init__(self, audit: Audit):
        super().__init__(audit)
        self._times: dict[tuple[VmRun, UpstreamStandin], list[_QuietTime]] = {}
        self._cut_off: frozenset[str] = frozenset()

    def on_cut(self, now_s: float, vm_ids: frozenset[str]) -> None:
        """Forget the times of VMs that are cut off."""
        self._cut_off = vm_ids
        self._forget()

    def on_healed(self, now_s: float) -> None:
        """Forget the times that began during the cut, whose answers may have been held back."""
        self._forget()
        self._cut_off = frozenset()

    def _forget(self) -> None:
        kept = {k: times for k, times in self._times.items() if k[0].vm_id not in self._cut_off}
        self._times = kept

    def on_answer(
        self,
        now_s: float,
        request_id: str,
        upstream: "UpstreamStandin",
        vm: VmProcess,
        retry_after_s: float | None,
    ) -> None:
        """Record the time for which an upstream refuses."""
        if retry_after_s is not None and retry_after_s > self.REACTION_S:
            time = _QuietTime(now_s + self.REACTION_S, now_s + retry_after_s)
            self._times.setdefault((run_of(vm), upstream), []).append(time)

    def on_arrival(
        self,
        earliest_s: float,
        now_s: float,
        request_id: str,
        upstream: "UpstreamStandin",
        vm: VmProcess,
    ) -> None:
        """Report the first request that is too many."""
        if vm.disturbed or vm.vm_id in self._cut_off:
            return
        for time in self._times.get((run_of(vm), upstream), ()):
            if not time.start_s < earliest_s <= now_s < time.end_s:
                continue
            time.requests += 1
            if time.requests == self.MAX_REQUESTS + 1:
                left_s = time.end_s - now_s
                detail = f"{request_id} from {vm.vm_id} at {upstream.label}, {left_s:.2f} s early"
                self._audit.report("an upstream that asks for quiet is left alone", detail)
