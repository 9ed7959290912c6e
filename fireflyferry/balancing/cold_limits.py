"""Cold upstreams: which VM may send to them, and how many requests in a second."""

from collections import deque
from collections.abc import Callable, Container, Iterable, Mapping

import attrs

from fireflyferry.balancing.directory import Upstream
from fireflyferry.balancing.vms import EntryVm, VmDirectory
from fireflyferry.keyranges import UpstreamRun

__all__ = ["ColdRules", "ColdSenders", "ColdUpstreams"]


@attrs.frozen
class ColdRules:
    """Limits on requests to cold upstreams; times in seconds.

    All VMs together may send `overshoot` times the rate that a pool tolerates and `tolerance` more
    in any one second. `senders` VMs may believe at once that they may send, so each gets that part.
    Its requests are counted in `window_s`: requests that leave further apart than a second may
    arrive within one, since opening a connection takes up to 0.4 s.

    A VM sends only if it was the first choice under each list of VMs of the last `handover_s`: a
    list is polled each 2.2 s, a relay adds 1.4 s, and a stale list may be older still. It stops
    when its list is older than `max_list_age_s`, since a VM that it does not know may send.
    Upstreams of a data centre count as cold for `distrust_s` after its evacuation, since an entry
    that says that they are cold may still be on its way.
    """

    overshoot: float = 1.5
    tolerance: float = 8.0
    senders: int = 2
    window_s: float = 1.5
    handover_s: float = 4.5
    max_list_age_s: float = 5.0
    distrust_s: float = 4.0

    def allowance(self, per_s: float) -> int:
        """Return how many requests one VM may send in `window_s`."""
        return int((per_s * self.overshoot + self.tolerance) / self.senders)


class ColdSenders:
    """Finds whether this VM is the one that may send to a cold upstream.

    Suspicions are left out, since VMs that cannot reach each other would all see themselves as last
    hops. If the first choice is lost, cold upstreams get nothing until they are warm or the list of
    VMs has changed.
    """

    def __init__(
        self,
        this_vm: EntryVm,
        regions: Mapping[str, str],
        rules: ColdRules,
        list_age_s: Callable[[], float] = lambda: 0.0,
    ):
        self._this_vm = this_vm
        self._regions = dict(regions)
        self._rules = rules
        self._list_age_s = list_age_s
        # Lists of VMs with the time from which on each was replaced; the last one is in force.
        self._lists: list[tuple[float, VmDirectory]] = []
        self._known_since_s = float("inf")

    def on_vms(self, now_s: float, listed: Iterable[EntryVm]) -> None:
        """Apply a list of VMs."""
        directory = VmDirectory(self._this_vm, self._regions)
        directory.apply(listed)
        self._known_since_s = min(self._known_since_s, now_s)
        if self._lists:
            self._lists[-1] = (now_s, self._lists[-1][1])
        self._lists.append((float("inf"), directory))
        self._forget(now_s)

    def may_send(self, now_s: float, upstream: Upstream, keyed: bool) -> bool:
        """Return whether this VM may send to a cold upstream."""
        self._forget(now_s)
        if now_s < self._known_since_s + self._rules.handover_s:
            return False
        if self._list_age_s() > self._rules.max_list_age_s:
            return False
        return all(
            self._is_first_choice(directory, upstream, keyed) for _, directory in self._lists
        )

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._rules.handover_s
        self._lists = [each for each in self._lists if each[0] > oldest_s]

    def _is_first_choice(self, vms: VmDirectory, upstream: Upstream, keyed: bool) -> bool:
        data_centre = upstream.data_centre
        region = vms.region(data_centre)
        if all(vms.region(vm.data_centre) != region for vm in vms if not vm.leaving):
            return False
        if not keyed and vms.is_large(data_centre):
            vm = vms.last_hop(upstream.pool, data_centre, by_capacity=True)
        else:
            vm = vms.last_hop(upstream.run.upstream_id, data_centre)
        return vm.vm_id == self._this_vm.vm_id


@attrs.define
class ColdUpstreams:
    """Until when upstreams are cold, and what this VM has sent to them; times in seconds."""

    rules: ColdRules = attrs.field(factory=ColdRules)
    _cold_until_s: dict[UpstreamRun, float] = attrs.field(factory=dict, init=False)
    _revisions: dict[UpstreamRun, int] = attrs.field(factory=dict, init=False)
    _sent_s: dict[UpstreamRun, deque[float]] = attrs.field(factory=dict, init=False)
    _retry_s: dict[UpstreamRun, float] = attrs.field(factory=dict, init=False)

    def on_entry(self, now_s: float, upstream: Upstream, revision: int) -> bool:
        """Apply an entry, whose time counts from its arrival; return whether it begins to be cold.

        An entry of a known revision changes nothing.
        """
        run = upstream.run
        if self._revisions.get(run) == revision:
            return False
        self._revisions[run] = revision
        self._cold_until_s[run] = now_s + upstream.warmup_left_s
        return upstream.warmup_left_s > 0.0

    def left_s(self, now_s: float, run: UpstreamRun, evacuation_ended_s: float) -> float:
        """Return how long an upstream stays cold; 0 if it is not."""
        cold_until_s = self._cold_until_s.get(run, float("-inf"))
        until_s = max(cold_until_s, evacuation_ended_s + self.rules.distrust_s)
        return max(0.0, until_s - now_s)

    def wait_s(self, now_s: float, run: UpstreamRun, per_s: float) -> float:
        """Return how long it takes until this VM may send a request to a cold upstream."""
        allowance = self.rules.allowance(per_s)
        if allowance < 1:
            return self.rules.window_s
        sent_s = self._sent_s.get(run, ())
        if len(sent_s) < allowance:
            return 0.0
        return max(0.0, sent_s[len(sent_s) - allowance] + self.rules.window_s - now_s)

    def on_sent(self, now_s: float, run: UpstreamRun) -> None:
        """Count a request; also while an upstream is warm, since it may turn cold right after."""
        sent_s = self._sent_s.setdefault(run, deque())
        sent_s.append(now_s)
        while sent_s[0] <= now_s - self.rules.window_s:
            sent_s.popleft()

    def retry_after_s(self, now_s: float, run: UpstreamRun, wait_s: float, per_s: float) -> float:
        """Return when a rejected request may come back, a later time for each rejection."""
        interval_s = self.rules.window_s / max(1, self.rules.allowance(per_s))
        retry_s = max(self._retry_s.get(run, 0.0) + interval_s, now_s + wait_s)
        self._retry_s[run] = retry_s
        return retry_s - now_s

    def retain(self, known: Container[UpstreamRun]) -> None:
        """Keep only what is known of known upstreams."""
        for each in (self._cold_until_s, self._revisions, self._sent_s, self._retry_s):
            for run in [run for run in each if run not in known]:
                del each[run]
