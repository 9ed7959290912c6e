"""Chooses the desired owners of a led group from its reachable upstreams."""

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
# Halves the weight of an observation about every 20 s, so that the hottest keys of the last
# minute decide.
HOT_KEYS_DECAY = 0.84
# Upstreams answer one after the other when a term begins; placing buckets on the first one that
# answers would move them again at once.
TERM_SETTLE_S = 0.6
# Loads in buckets; units without measured traffic still have a place in the balance.
MIN_BUCKET_LOAD = 0.05
MIN_KEY_LOAD = 0.1


class PlacementPlanner:
    """Runs placement for groups that this VM leads."""

    def __init__(self, state: VmState, upstreams: UpstreamTable) -> None:
        self._state = state
        self._upstreams = upstreams

    def candidates(self, now_s: float, runtime: GroupRuntime) -> list[VmEntry]:
        """Return the listed upstreams that a group needs to know.

        Those of the sibling data centre only while none at home answers, or while the group is
        led from there; renewing grants without units to them was a third of a VM's control.
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
        """Tell whether a group may use an upstream: one at home, or a usable one of the sibling."""
        home = self._listed_upstreams(runtime.group, runtime.group.data_centre)
        if any(entry.vm_id == upstream_id for entry in home):
            return True
        return any(
            upstream.upstream_id == upstream_id
            for upstream in self._usable_upstreams(now_s, runtime)
        )

    def run(self, now_s: float, runtime: GroupRuntime) -> None:
        """Update the desired owners of a group when its upstreams changed, or if it is time to."""
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
        """Yield the home data centre's answering upstreams, or the sibling's if none answers."""
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
        """Keep operators' assignments while their upstream can take units."""
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

        What the single-key units take is taken from the buckets. Counted on top, it made buckets
        move for balance whenever a key was split.
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
        """Return the share of the group's traffic of each key that is owned apart."""
        total = runtime.hot_key_sketch.total_weight
        keys = sorted(runtime.hot_key_planner.keys)
        if total <= 0:
            return dict.fromkeys(keys, 0.0)
        return {key: runtime.hot_key_sketch.estimate(key).lower_bound / total for key in keys}
