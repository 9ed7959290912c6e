"""Plans which keys should move, from what all VMs report of load and speed."""

import statistics
from collections.abc import Sequence

import attrs

from fireflyferry.balancing import UpstreamDirectory
from fireflyferry.edges import Clock
from fireflyferry.gateway.sampling import LoadReport
from fireflyferry.keyranges import (
    KeyDemand,
    KeySample,
    RangeGranter,
    RebalancingRules,
    RunCapacity,
    UpstreamRun,
    plan_failover,
    plan_initial_ranges,
    plan_rebalancing,
)

__all__ = ["PlanProgress", "PlanRules", "RangePlanner"]


@attrs.frozen
class PlanRules:
    """Times in seconds.

    The first division waits until no upstream has registered for `settle_s`, at most for
    `most_settle_s`, since upstreams register one after the other. `plan_s` is the time between
    two plans by load. A warming upstream counts with `warmup_capacity` of its capacity.
    `first_service_s` is taken while no service time is known.
    """

    settle_s: float = 0.8
    max_settle_s: float = 3.0
    plan_interval_s: float = 0.4
    sample_window_s: float = 2.0
    warmup_capacity: float = 0.5
    default_service_s: float = 0.2
    service_time_ttl_s: float = 20.0


@attrs.define
class PlanProgress:
    """Plans of one pool in the current term."""

    unchanged_since_s: float = 0.0
    first_seen_s: float | None = None
    seen: frozenset[UpstreamRun] = frozenset()
    next_plan_s: float = 0.0


class RangePlanner:
    """Keeps the reports of load and asks granters for moves."""

    def __init__(
        self,
        clock: Clock,
        upstreams: UpstreamDirectory,
        rules: PlanRules | None = None,
        division: RebalancingRules | None = None,
    ):
        self._clock = clock
        self._upstreams = upstreams
        self._rules = rules or PlanRules()
        self._division = division or RebalancingRules()
        self._demand: dict[str, KeyDemand] = {}
        self._service_s: dict[str, tuple[float, float]] = {}

    def add_report(self, report: LoadReport) -> None:
        """Take sampled keys, and the service times of upstreams that VMs measured."""
        now_s = self._clock.monotonic_s()
        for each in report.samples:
            self._demand_of(each.pool).add(KeySample(now_s, each.keys, each.weight))
        for upstream_id, value in report.service_s.items():
            self._service_s[upstream_id] = (now_s, value)

    def plan(self, now_s: float, pool: str, granter: RangeGranter, progress: PlanProgress) -> None:
        """Ask for new owners of lost keys at once, and for moves by load now and then."""
        runs = self._run_loads(now_s, pool)
        table = granter.table
        if table is None:
            if self._is_settled(now_s, progress, runs):
                granter.request_moves(plan_initial_ranges(runs))
            return
        demand = self._demand_of(pool)
        demand.expire(now_s)
        moves = plan_failover(table, runs, demand)
        if not moves and now_s >= progress.next_plan_s and granter.is_table_saved:
            progress.next_plan_s = now_s + self._rules.plan_interval_s
            moves = plan_rebalancing(table, runs, demand, self._division)
        granter.request_moves(moves)

    def _is_settled(
        self, now_s: float, progress: PlanProgress, runs: Sequence[RunCapacity]
    ) -> bool:
        seen = frozenset(each.run for each in runs)
        if not seen:
            return False
        if progress.first_seen_s is None:
            progress.first_seen_s = now_s
        if seen != progress.seen:
            progress.seen, progress.unchanged_since_s = seen, now_s
        rules = self._rules
        return (
            now_s - progress.unchanged_since_s >= rules.settle_s
            or now_s - progress.first_seen_s >= rules.max_settle_s
        )

    def _run_loads(self, now_s: float, pool: str) -> list[RunCapacity]:
        """Return the capacity of each upstream that may be given keys."""
        rules = self._rules
        known = {
            upstream_id: service_s
            for upstream_id, (at_s, service_s) in self._service_s.items()
            if now_s - at_s < rules.service_time_ttl_s
        }
        ready = self._upstreams.ready(now_s, pool)
        measured = [known[u.run.upstream_id] for u in ready if u.run.upstream_id in known]
        fallback_s = statistics.median(measured) if measured else rules.default_service_s
        loads = []
        for upstream in ready:
            service_s = known.get(upstream.run.upstream_id, fallback_s)
            capacity = upstream.slots / max(service_s, 0.001)
            if upstream.warmup_left_s > 0:
                capacity *= rules.warmup_capacity
            loads.append(RunCapacity(upstream.run, capacity))
        return loads

    def _demand_of(self, pool: str) -> KeyDemand:
        demand = self._demand.get(pool)
        if demand is None:
            demand = self._demand[pool] = KeyDemand(self._rules.sample_window_s)
        return demand
