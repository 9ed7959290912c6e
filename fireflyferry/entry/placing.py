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

__all__ = ["Placing"]

_LOG = logging.getLogger(__name__)

PLACEMENT_INTERVAL_S = 2.0
HOT_KEYS_INTERVAL_S = 5.0
# Halves the weight of an observation about every 20 s, so that the hottest keys of the last
# minute decide.
HOT_KEYS_DECAY = 0.84
# Upstreams answer one after the other when a term begins; placing buckets on the first one that
# answers would move them again at once.
SETTLE_S = 0.6
# Loads in buckets; units without measured traffic still have a place in the balance.
MIN_BUCKET_LOAD = 0.05
MIN_KEY_LOAD = 0.1


class Placing:
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
        home = self._listed(group, group.data_centre)
        away = self._state.data_centre != group.data_centre
        starting = not runtime.leads(now_s) or now_s - runtime.led_since_s < SETTLE_S
        answers = any(runtime.book.is_responsive(now_s, entry.vm_id) for entry in home)
        if not away and (starting or answers):
            return home
        sibling = self._state.vm_table.sibling_of(group.data_centre)
        return home + (self._listed(group, sibling) if sibling else [])

    def _listed(self, group: GroupId, data_centre: str) -> list[VmEntry]:
        tables = self._state.current()
        pool = tables.pool(group.pool) if tables else None
        groups = pool.groups_per_data_centre if pool else 1
        return group_upstreams(self._state.vm_table, group, groups, data_centre)

    def may_own(self, now_s: float, runtime: GroupRuntime, upstream_id: str) -> bool:
        """Tell whether a group may use an upstream: one at home, or a usable one of the sibling."""
        home = self._listed(runtime.group, runtime.group.data_centre)
        if any(entry.vm_id == upstream_id for entry in home):
            return True
        return any(load.upstream_id == upstream_id for load in self._usable(now_s, runtime))

    def run(self, now_s: float, runtime: GroupRuntime) -> None:
        """Update the desired owners of a group when its upstreams changed, or if it is time to."""
        upstreams = tuple(self._usable(now_s, runtime))
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
        if now_s - runtime.led_since_s < SETTLE_S and not self._all_answered(now_s, runtime):
            runtime.next_placement_s = now_s
            return
        weights = PlacementWeights(
            pool.imbalance_weight, pool.churn_weight, pool.unavailable_weight
        )
        wanted = assign(loads, upstreams, runtime.assigned, weights)
        if wanted:
            self._apply(now_s, runtime, self._with_pins(runtime, wanted, upstreams))

    def _apply(self, now_s: float, runtime: GroupRuntime, wanted: dict[str, str]) -> None:
        if wanted == runtime.assigned and now_s - runtime.led_since_s > SETTLE_S:
            return
        moved = sum(1 for unit, name in wanted.items() if runtime.assigned.get(unit, name) != name)
        if moved:
            _LOG.info("units_moved", extra={"group": str(runtime.group), "units": moved})
        runtime.assigned = wanted
        runtime.book.set_desired(now_s, wanted)

    def _usable(self, now_s: float, runtime: GroupRuntime) -> Iterator[UpstreamCapacity]:
        """Yield the home data centre's answering upstreams, or the sibling's if none answers."""
        home = list(self._answering(now_s, runtime, runtime.group.data_centre))
        if any(load.capacity > 0 for load in home):
            yield from home
            return
        sibling = self._state.vm_table.sibling_of(runtime.group.data_centre)
        if sibling is not None:
            yield from self._answering(now_s, runtime, sibling)

    def _answering(
        self, now_s: float, runtime: GroupRuntime, data_centre: str
    ) -> Iterator[UpstreamCapacity]:
        for entry in self._listed(runtime.group, data_centre):
            row = self._upstreams.track(entry)
            name = row.upstream_id
            if row.hello is None or runtime.book.is_lost(now_s, name):
                continue
            if not runtime.book.is_responsive(now_s, name) and name not in runtime.used:
                continue
            draining = row.is_leaving() or runtime.book.is_draining(name)
            runtime.used.add(name)
            yield UpstreamCapacity(name, row.hello.slots, self._upstreams.share(name), draining)

    def _all_answered(self, now_s: float, runtime: GroupRuntime) -> bool:
        home = self._listed(runtime.group, runtime.group.data_centre)
        names = [entry.vm_id for entry in home]
        return bool(names) and all(runtime.book.is_responsive(now_s, name) for name in names)

    @staticmethod
    def _with_pins(
        runtime: GroupRuntime, wanted: dict[str, str], upstreams: tuple[UpstreamCapacity, ...]
    ) -> dict[str, str]:
        """Keep operators' assignments while their upstream can take units."""
        usable = {load.upstream_id for load in upstreams if load.capacity > 0}
        pins = {unit: name for unit, name in runtime.pins.items() if name in usable}
        return {**wanted, **pins}

    # Hot keys

    def _plan_hot_keys(self, now_s: float, runtime: GroupRuntime) -> None:
        if now_s < runtime.next_hot_keys_s:
            return
        runtime.next_hot_keys_s = now_s + HOT_KEYS_INTERVAL_S
        home = self._listed(runtime.group, runtime.group.data_centre)
        runtime.planner.plan(now_s, runtime.sketch, len(home))
        runtime.sketch.decay(HOT_KEYS_DECAY)

    def _unit_loads(
        self, runtime: GroupRuntime, pool: Pool, buckets: list[int]
    ) -> dict[str, float]:
        """Return the load of each unit; the loads of a group add up to its number of buckets.

        What the single-key units take is taken from the buckets. Counted on top, it made buckets
        move for balance whenever a key was split.
        """
        shares = self._hot_shares(runtime)
        rest = max(MIN_BUCKET_LOAD, 1.0 - sum(shares.values()))
        loads = {bucket_unit(bucket): rest for bucket in buckets}
        for key, share in shares.items():
            unit = key_unit(bucket_of(key, pool.buckets), key)
            loads[unit] = max(MIN_KEY_LOAD, len(buckets) * share)
        return loads

    @staticmethod
    def _hot_shares(runtime: GroupRuntime) -> dict[str, float]:
        """Return the share of the group's traffic of each key that is owned apart."""
        total = runtime.sketch.total_weight
        keys = sorted(runtime.planner.keys)
        if total <= 0:
            return dict.fromkeys(keys, 0.0)
        return {key: runtime.sketch.estimate(key).lower_bound / total for key in keys}
