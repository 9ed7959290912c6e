"""Guards against a changed hash of keys, needless moves, and load on the wrong upstream."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fireflyferry.placement import (
    ColdStartRamp,
    PlacementWeights,
    Unit,
    UpstreamCapacity,
    assign,
    bucket_of,
    parse_unit,
    rendezvous_weight,
)

# Without weight on unavailable time, one call may make all moves.
WEIGHTS = PlacementWeights(unavailable=0.0, churn=2.0)
UNITS = {f"b:{bucket}": 1.0 for bucket in range(1024)}

upstream_lists = st.lists(
    st.builds(
        UpstreamCapacity,
        st.integers(0, 30).map("u{}".format),
        slots=st.integers(1, 4),
        share=st.sampled_from((0.1, 0.5, 1.0)),
        draining=st.booleans(),
    ),
    max_size=12,
    unique_by=lambda upstream: upstream.upstream_id,
)


def _upstreams(count):
    return [UpstreamCapacity(f"u{index:03}") for index in range(count)]


def _count_moved(before, after):
    return sum(before[unit] != after[unit] for unit in before)


def test_bucket_is_stable():
    """Guards against a hash that differs from the saved placements; XXH3 defines the value."""
    assert bucket_of("", 2**64) == 0x2D06800538D394C2


@given(st.integers(0, 2**14), st.none() | st.text())
def test_unit_ids_round_trip(bucket, key):
    """Guards against keys with colons, or empty keys, whose unit id is parsed as another unit."""
    assert parse_unit(str(Unit(bucket, key))) == Unit(bucket, key)


@pytest.mark.parametrize("text", ["", "b:", "b:x", "b:-1", "k:3", "k::a", "17", "c:1"])
def test_other_unit_ids_are_refused(text):
    """Guards against malformed unit ids that are parsed as some bucket."""
    with pytest.raises(ValueError, match="unit id"):
        parse_unit(text)


def test_rendezvous_moves_only_the_lost_nodes_items_and_follows_weights():
    """Guards against a choice of relay or leader that changes because another node was lost."""

    def winner(item, nodes):
        return max(nodes, key=lambda node: rendezvous_weight(item, node, nodes[node]))

    nodes = {"a": 1.0, "b": 1.0, "c": 2.0}
    items = [f"i{index}" for index in range(4000)]
    before = {item: winner(item, nodes) for item in items}
    assert Counter(before.values())["c"] == pytest.approx(2000, rel=0.06)
    after = {item: winner(item, {"a": 1.0, "c": 2.0}) for item in items}
    assert all(after[item] == before[item] for item in items if before[item] != "b")


@given(upstream_lists, upstream_lists, st.lists(st.floats(0, 10), max_size=60))
def test_assignment_is_complete_and_avoids_draining_upstreams(old, new, loads):
    """Guards against units without an owner, and against units placed on a draining upstream."""
    units = {f"b:{bucket}": load for bucket, load in enumerate(loads)}
    first = assign(units, old, {}, WEIGHTS)
    second = assign(units, new, first, WEIGHTS)
    usable = {upstream.upstream_id for upstream in new if not upstream.draining}
    assert set(second.values()) <= usable
    assert second.keys() == (units.keys() if usable else set())


@given(upstream_lists, upstream_lists)
def test_assignment_is_stable(old, new):
    """Guards against moves although neither upstreams nor loads changed."""
    first = assign(UNITS, new, assign(UNITS, old, {}, WEIGHTS), WEIGHTS)
    assert assign(UNITS, new, first, WEIGHTS) == first


@pytest.mark.parametrize("count", [3, 15, 60])
def test_join_leave_and_drain_move_least(count):
    """Guards against moves between the other upstreams when one joins, leaves or drains."""
    upstreams = _upstreams(count)
    before = assign(UNITS, upstreams, {}, WEIGHTS)
    after_join = assign(UNITS, [*upstreams, UpstreamCapacity("new")], before, WEIGHTS)
    changed = {unit for unit in UNITS if after_join[unit] != before[unit]}
    assert {after_join[unit] for unit in changed} == {"new"}
    assert len(changed) <= len(UNITS) / (count + 1) + 1
    after_leave = assign(UNITS, upstreams[1:], before, WEIGHTS)
    after_drain = assign(
        UNITS, [UpstreamCapacity("u000", draining=True), *upstreams[1:]], before, WEIGHTS
    )
    assert after_leave == after_drain
    assert _count_moved(before, after_leave) == Counter(before.values())["u000"]


def test_loads_stay_within_the_band():
    """Guards against load that is not in proportion to the slots of the upstreams."""
    upstreams = [
        UpstreamCapacity("a", slots=2),
        UpstreamCapacity("b", slots=4),
        UpstreamCapacity("c", slots=2),
    ]
    counts = Counter(assign(UNITS, upstreams, dict.fromkeys(UNITS, "a"), WEIGHTS).values())
    assert counts["b"] == pytest.approx(512, rel=WEIGHTS.band)
    assert counts["a"] == pytest.approx(256, rel=WEIGHTS.band)


def test_small_changes_of_load_move_nothing():
    """Guards against constant moves when loads fluctuate within the band."""
    upstreams = _upstreams(8)
    owners = assign(UNITS, upstreams, {}, WEIGHTS)
    for step in range(20):
        loads = {
            unit: 1.0 + 0.09 * ((bucket * 7 + step * 3) % 11 - 5) / 5
            for bucket, unit in enumerate(UNITS)
        }
        assert assign(loads, upstreams, owners, WEIGHTS) == owners


def test_weights_decide_between_balance_and_movement():
    """Guards against weights of a pool that have no effect."""
    upstreams = _upstreams(4)
    balanced = assign(UNITS, upstreams, {}, WEIGHTS)
    loads = {unit: 1.12 if balanced[unit] == "u000" else 1.0 for unit in UNITS}
    parbrett = PlacementWeights(imbalance=4.0, churn=1.0, unavailable=1.0)
    caatinga = PlacementWeights(imbalance=1.0, churn=1.0, unavailable=4.0)
    assert parbrett.band < caatinga.band
    assert parbrett.max_move_fraction > caatinga.max_move_fraction
    assert _count_moved(balanced, assign(loads, upstreams, balanced, parbrett)) > 0
    assert assign(loads, upstreams, balanced, caatinga) == balanced


def test_moves_for_balance_are_spread_over_calls():
    """Guards against moving most units of a pool at once after a join."""
    weights = PlacementWeights(imbalance=1.0, churn=1.0, unavailable=8.0)
    owners = dict.fromkeys(UNITS, "u000")
    after = assign(UNITS, _upstreams(2), owners, weights)
    assert 0 < _count_moved(owners, after) <= weights.max_move_fraction * len(UNITS)


def test_cold_upstream_gets_more_as_its_latency_allows():
    """Guards against a new upstream that gets its full share while it is still slow."""
    ramp = ColdStartRamp()
    ramp.start(0.0, "new")
    shares = [ramp.share("new")]
    for now_s, latency_ms in ((1.0, 5.0), (2.0, 5.0), (4.0, 90.0), (6.0, None), (8.0, 5.0)):
        ramp.observe(now_s, "new", latency_ms, pool_latency_ms=10.0)
        shares.append(ramp.share("new"))
    assert shares == [0.1, 0.1, 0.2, 0.1, 0.1, 0.2]
    for now_s in (10.0, 12.0, 14.0):
        ramp.observe(now_s, "new", 5.0, pool_latency_ms=10.0)
    assert ramp.share("new") == 1.0
    upstreams = [*_upstreams(9), UpstreamCapacity("new", share=0.1)]
    counts = Counter(assign(UNITS, upstreams, {}, WEIGHTS).values())
    assert counts["new"] == pytest.approx(len(UNITS) * 0.1 / 9.1, abs=1)
