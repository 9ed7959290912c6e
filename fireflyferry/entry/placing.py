"""Choice of the desired owners of a led group among its reachable upstreams."""

import logging
from collections.abc import Iterator

from fireflyferry.entry.group_runtime import GroupRuntime
from fireflyferry.entry.state import VmState
from fireflyferry.entry.upstream_table import UpstreamTable
from fireflyferry.membership import group_upstreams
from fireflyferry.messages import GroupId, VmEntry
from fireflyferry.placement import (
    PlacementWeights,
    UpstreamCapacity,
    assign,
    bucket_of,
    bucket_unit,
    key_unit,
)
from fireflyferry.tables import Pool

__all__ = ["PlacementPlanner"]

_LOG = logging.getLogger(__name__)

PLACEMENT_INTERVAL_S = 2.0
HOT_KEYS_INTERVAL_S = 5.0
# Applied every HOT_KEYS_INTERVAL_S. Halves the weight of an observation in about 20 s, so that
# the traffic of the last minute decides which keys are hot.
HOT_KEYS_DECAY = 0.84
# At the start of a term, placement waits this long for all upstreams to answer. Buckets placed on
# the first upstream that answers would move again at once.
TERM_SETTLE_S = 0.6
# Minimum loads, so that units without measured traffic are balanced too. A load of 1 is the
# average load of a bucket.
MIN_BUCKET_LOAD = 0.05
MIN_KEY_LOAD = 0.1


class PlacementPlanner:
    """Plans the desired owners of the groups that this VM leads."""

    def __init__(self, state: VmState, upstreams: UpstreamTable) -> None:
        self._state = state
        self._upstreams = upstreams

    def candidates(self, now_s: float, runtime: GroupRuntime) -> list[VmEntry]:
        """Return the upstreams that a group sends grants to.

        Includes upstreams of the sibling data centre only while none in the home data centre
        answers, or while the group is led from the sibling. Sending grants to sibling upstreams
        that own no units was a third of a VM's control load.
        """
        group = runtime.group
        home = self._listed_upstreams(group, group.data_centre)
        led_from_sibling = self._state.data_centre != group.data_centre
        starting = not runtime.is_serving(now_s) or now_s - runtime.led_since_s < TERM_SETTLE_S
        home_answers = any(runtime.grants.is_responsive(now_s, entry.vm_id) for entry in home)
        if not led_from_sibling and (starting or home_answers):
            return home
        sibling = self._state.vm_table.sibling_of(group.data_centre)
        return home + (self._listed_upstreams(group, sibling) if sibling else [])

    def _listed_upstreams(self, group: GroupId, data_centre: str) -> list[VmEntry]:
        tables = self._state.current()
        pool = tables.pool(group.pool) if tables else None
        groups = pool.groups_per_data_centre if pool else 1
        return group_upstreams(self._state.vm_table, group, groups, data_centre)

    def may_own(self, now_s: float, runtime: GroupRuntime, upstream_id: str) -> bool:
        """Return whether a group may place units on an upstream.

        It may use every upstream of its home data centre, and one of the sibling data centre only
        while placement uses the sibling.
        """
        home = self._listed_upstreams(runtime.group, runtime.group.data_centre)
        if any(entry.vm_id == upstream_id for entry in home):
            return True
        return any(
            upstream.upstream_id == upstream_id
            for upstream in self._usable_upstreams(now_s, runtime)
        )

    def run(self, now_s: float, runtime: GroupRuntime) -> None:
        """Update the desired owners of a group if its upstreams changed or the interval is over."""
        upstreams = tuple(self._usable_upstreams(now_s, runtime))
        if upstreams == runtime.placed_upstreams and now_s < runtime.next_placement_s:
            return
        runtime.placed_upstreams = upstreams
        runtime.next_placement_s = now_s + PLACEMENT_INTERVAL_S
        tables = self._state.current()
        pool = tables.pool(runtime.group.pool) if tables else None
        placement = self._state.placements.get(runtime.group.pool)
        if pool is None or placement is None:
            return
        self._plan_hot_keys(now_s, runtime)
        self._upstreams.advance_ramps(now_s)
        loads = self._unit_loads(runtime, pool, placement.buckets_of(runtime.group))
        if now_s - runtime.led_since_s < TERM_SETTLE_S and not self._all_answered(now_s, runtime):
            runtime.next_placement_s = now_s
            return
        weights = PlacementWeights(
            pool.imbalance_weight, pool.churn_weight, pool.unavailable_weight
        )
        desired = assign(loads, upstreams, runtime.desired_owners, weights)
        if desired:
            self._apply_desired(now_s, runtime, self._with_pins(runtime, desired, upstreams))

    def _apply_desired(self, now_s: float, runtime: GroupRuntime, desired: dict[str, str]) -> None:
        if desired == runtime.desired_owners and now_s - runtime.led_since_s > TERM_SETTLE_S:
            return
        moved = sum(
            1
            for unit, upstream_id in desired.items()
            if runtime.desired_owners.get(unit, upstream_id) != upstream_id
        )
        if moved:
            _LOG.info("units_moved", extra={"group": str(runtime.group), "units": moved})
        runtime.desired_owners = desired
        runtime.grants.set_desired(now_s, desired)

    def _usable_upstreams(self, now_s: float, runtime: GroupRuntime) -> Iterator[UpstreamCapacity]:
        """Yield the home data centre's answering upstreams, or else the sibling's.

        The sibling's are used while no upstream at home answers and takes units.
        """
        home = list(self._answering_upstreams(now_s, runtime, runtime.group.data_centre))
        if any(upstream.capacity > 0 for upstream in home):
            yield from home
            return
        sibling = self._state.vm_table.sibling_of(runtime.group.data_centre)
        if sibling is not None:
            yield from self._answering_upstreams(now_s, runtime, sibling)

    def _answering_upstreams(
        self, now_s: float, runtime: GroupRuntime, data_centre: str
    ) -> Iterator[UpstreamCapacity]:
        for entry in self._listed_upstreams(runtime.group, data_centre):
            row = self._upstreams.track(entry)
            upstream_id = row.upstream_id
            if row.hello is None or runtime.grants.is_lost(now_s, upstream_id):
                continue
            if (
                not runtime.grants.is_responsive(now_s, upstream_id)
                and upstream_id not in runtime.answered_upstreams
            ):
                continue
            draining = row.is_leaving() or runtime.grants.is_draining(upstream_id)
            runtime.answered_upstreams.add(upstream_id)
            yield UpstreamCapacity(
                upstream_id, row.hello.slots, self._upstreams.share(upstream_id), draining
            )

    def _all_answered(self, now_s: float, runtime: GroupRuntime) -> bool:
        home = self._listed_upstreams(runtime.group, runtime.group.data_centre)
        upstream_ids = [entry.vm_id for entry in home]
        return bool(upstream_ids) and all(
            runtime.grants.is_responsive(now_s, upstream_id) for upstream_id in upstream_ids
        )

    @staticmethod
    def _with_pins(
        runtime: GroupRuntime, desired: dict[str, str], upstreams: tuple[UpstreamCapacity, ...]
    ) -> dict[str, str]:
        """Apply the operators' pins whose upstream can take units."""
        usable = {upstream.upstream_id for upstream in upstreams if upstream.capacity > 0}
        pins = {
            unit: upstream_id for unit, upstream_id in runtime.pins.items() if upstream_id in usable
        }
        return {**desired, **pins}

    # Hot keys

    def _plan_hot_keys(self, now_s: float, runtime: GroupRuntime) -> None:
        if now_s < runtime.next_hot_keys_s:
            return
        runtime.next_hot_keys_s = now_s + HOT_KEYS_INTERVAL_S
        home = self._listed_upstreams(runtime.group, runtime.group.data_centre)
        runtime.hot_key_planner.plan(now_s, runtime.hot_key_sketch, len(home))
        runtime.hot_key_sketch.decay(HOT_KEYS_DECAY)

    def _unit_loads(
        self, runtime: GroupRuntime, pool: Pool, buckets: list[int]
    ) -> dict[str, float]:
        """Return the load of each unit; the loads of a group add up to its number of buckets.

        The load of single-key units is subtracted from that of the buckets. When it was added on
        top, buckets moved for balance whenever a key was split.
        """
        shares = self._single_key_shares(runtime)
        bucket_load = max(MIN_BUCKET_LOAD, 1.0 - sum(shares.values()))
        loads = {bucket_unit(bucket): bucket_load for bucket in buckets}
        for key, share in shares.items():
            unit = key_unit(bucket_of(key, pool.buckets), key)
            loads[unit] = max(MIN_KEY_LOAD, len(buckets) * share)
        return loads

    @staticmethod
    def _single_key_shares(runtime: GroupRuntime) -> dict[str, float]:
        """Return the share of the group's traffic of each key that is a separate unit."""
        total = runtime.hot_key_sketch.total_weight
        keys = sorted(runtime.hot_key_planner.keys)
        if total <= 0:
            return dict.fromkeys(keys, 0.0)
        return {key: runtime.hot_key_sketch.estimate(key).lower_bound / total for key in keys}
