"""Planning of key moves, from the load and the service times that all VMs report."""

import statistics
from collections.abc import Callable, Sequence

import attrs

from fireflyferry.balancing import Upstream, UpstreamDirectory
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
    """Parameters of planning; times in seconds.

    Keys are first divided once the set of upstreams has not changed for `settle_s`, but at the
    latest after `max_settle_s`, since upstreams register one after the other. Moves by load are
    planned every `plan_interval_s`, from the requests of the last `sample_window_s`. An upstream
    that warms up counts with the fraction `warmup_capacity` of its capacity. A service time is used
    for `service_time_ttl_s` after its report, and `default_service_s` while none is known.
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
    """Planning state of one pool in the current term; times in seconds on the monotonic clock.

    `seen_runs` are the upstream incarnations last seen ready, unchanged since `unchanged_since_s`.
    """

    unchanged_since_s: float = 0.0
    first_seen_s: float | None = None
    seen_runs: frozenset[UpstreamRun] = frozenset()
    next_plan_s: float = 0.0


class RangePlanner:
    """Collects load reports, and plans moves of keys between upstreams for each pool.

    `may_own` returns whether an upstream that is ready may own keys of its pool, `cold_rate` how
    many requests a second it tolerates while it is cold; None if no limit applies.
    """

    def __init__(
        self,
        clock: Clock,
        upstreams: UpstreamDirectory,
        rules: PlanRules | None = None,
        rebalancing: RebalancingRules | None = None,
        may_own: Callable[[Upstream], bool] = lambda _: True,
        cold_rate: Callable[[Upstream], float | None] = lambda _: None,
    ):
        self._clock = clock
        self._upstreams = upstreams
        self._rules = rules or PlanRules()
        self._rebalancing = rebalancing or RebalancingRules()
        self._may_own = may_own
        self._cold_rate = cold_rate
        self._demand: dict[str, KeyDemand] = {}
        self._service_s: dict[str, tuple[float, float]] = {}

    def add_report(self, report: LoadReport) -> None:
        """Add the sampled keys and the service times of a report."""
        now_s = self._clock.monotonic_s()
        for each in report.samples:
            self._pool_demand(each.pool).add(KeySample(now_s, each.keys, each.weight))
        for upstream_id, value in report.service_s.items():
            self._service_s[upstream_id] = (now_s, value)

    def plan(self, now_s: float, pool: str, granter: RangeGranter, progress: PlanProgress) -> None:
        """Plan the moves of a pool and pass them to its granter.

        Keys of lost upstreams are moved at once, others every `plan_interval_s` by load.
        """
        runs = [r for r in self._run_capacities(now_s, pool) if not granter.has_ended(r.run)]
        table = granter.table
        if table is None:
            if self._is_settled(now_s, progress, runs):
                granter.request_moves(plan_initial_ranges(runs))
            return
        demand = self._pool_demand(pool)
        demand.expire(now_s)
        moves = plan_failover(table, runs, demand)
        if not moves and now_s >= progress.next_plan_s and granter.is_table_saved:
            progress.next_plan_s = now_s + self._rules.plan_interval_s
            moves = plan_rebalancing(table, runs, demand, self._rebalancing)
        granter.request_moves(moves)

    def _is_settled(
        self, now_s: float, progress: PlanProgress, runs: Sequence[RunCapacity]
    ) -> bool:
        seen = frozenset(each.run for each in runs)
        if not seen:
            return False
        if progress.first_seen_s is None:
            progress.first_seen_s = now_s
        if seen != progress.seen_runs:
            progress.seen_runs, progress.unchanged_since_s = seen, now_s
        rules = self._rules
        return (
            now_s - progress.unchanged_since_s >= rules.settle_s
            or now_s - progress.first_seen_s >= rules.max_settle_s
        )

    def _run_capacities(self, now_s: float, pool: str) -> list[RunCapacity]:
        """Return the capacity, in requests a second, of each upstream that may be given keys."""
        rules = self._rules
        known = {
            upstream_id: service_s
            for upstream_id, (at_s, service_s) in self._service_s.items()
            if now_s - at_s < rules.service_time_ttl_s
        }
        ready = [each for each in self._upstreams.ready(now_s, pool) if self._may_own(each)]
        measured = [known[u.run.upstream_id] for u in ready if u.run.upstream_id in known]
        fallback_s = statistics.median(measured) if measured else rules.default_service_s
        capacities = []
        for upstream in ready:
            service_s = known.get(upstream.run.upstream_id, fallback_s)
            capacity = upstream.slots / max(service_s, 0.001)
            if upstream.warmup_left_s > 0:
                capacity *= rules.warmup_capacity
            if (rate := self._cold_rate(upstream)) is not None:
                capacity = min(capacity, rate)
            capacities.append(RunCapacity(upstream.run, capacity))
        return capacities

    def _pool_demand(self, pool: str) -> KeyDemand:
        demand = self._demand.get(pool)
        if demand is None:
            demand = self._demand[pool] = KeyDemand(self._rules.sample_window_s)
        return demand
