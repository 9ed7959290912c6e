"""Guards against hot keys that are missed, and against split keys that change all the time."""

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from fireflyferry.placement import HotKeyPlanner, HotKeyRules, HotKeySketch, parse_unit


@given(st.lists(st.sampled_from("abcdefghij")), st.integers(1, 6))
def test_sketch_bounds_hold(keys, capacity):
    """Guards against a true count outside the bounds, and against dropping a heavy key."""
    sketch = HotKeySketch(capacity)
    exact = Counter(keys)
    for key in keys:
        sketch.observe(key)
    assert len(sketch) <= capacity
    for key, true_count in exact.items():
        estimate = sketch.estimate(key)
        if estimate.count:
            assert estimate.lower_bound <= true_count <= estimate.count
        assert estimate.count or true_count <= len(keys) / capacity


def test_decay_scales_counts_and_keeps_the_bounds():
    """Guards against old hot keys that displace new ones, and against a heap that loses keys."""
    sketch = HotKeySketch(2)
    for key in "aaaabb":
        sketch.observe(key)
    sketch.decay(0.25)
    assert (sketch.estimate("a").count, sketch.estimate("b").count, sketch.total_weight) == (
        1.0,
        0.5,
        1.5,
    )
    sketch.observe("c", 3.0)
    assert [entry.key for entry in sketch.top(2)] == ["c", "a"]
    assert sketch.estimate("c").lower_bound == 3.0


def _run_planner(seconds, hot_loads_at, noise=0.2, seed=1):
    """Run the planner each second; return the split keys of each and the number of changes."""
    rng = random.Random(seed)
    sketch, planner, history, changes = HotKeySketch(256), HotKeyPlanner(), [], 0
    for now_s in range(seconds):
        for _ in range(400):
            sketch.observe(f"cold{rng.randrange(100_000)}", 2.0)
        for key, load in hot_loads_at(now_s).items():
            sketch.observe(key, load * rng.uniform(1 - noise, 1 + noise))
        before = planner.keys
        history.append(planner.plan(float(now_s), sketch, upstreams=12))
        changes += len(before ^ planner.keys)
        # Half-life of 10 s.
        sketch.decay(0.933)
    return history, changes


def test_hottest_keys_are_found_when_they_change_within_minutes():
    """Guards against split keys that lag behind the 10 hottest keys by more than 30 s."""

    def hot_loads_at(now_s):
        return {f"hot{now_s // 120}-{index}": 25.0 for index in range(10)}

    history, changes = _run_planner(600, hot_loads_at)
    for phase in range(5):
        assert history[phase * 120 + 30] == set(hot_loads_at(phase * 120))
    assert changes <= 10 + 4 * 20


def test_steady_hot_keys_do_not_change():
    """Guards against keys of similar load that alternate, which costs two moves each time."""

    def hot_loads_at(now_s):
        return {f"hot{index}": 20.0 + 0.5 * index for index in range(14)}

    history, _ = _run_planner(300, hot_loads_at, noise=0.5)
    # In the first seconds, noise dominates the counts.
    assert len(set(history[30:])) == 1
    assert len(history[-1]) == 10


def test_cool_key_is_merged_after_a_while_and_not_before():
    """Guards against a key that stays split forever, or is merged during a short pause."""

    def hot_loads_at(now_s):
        return {} if 60 <= now_s < 80 or now_s >= 200 else {"hot": 100.0}

    history, changes = _run_planner(400, hot_loads_at)
    assert all(history[now_s] == {"hot"} for now_s in range(10, 200))
    assert history[-1] == set()
    assert changes == 2


def test_new_leader_keeps_split_keys():
    """Guards against a leader change after which all hot keys are merged and split again."""
    planner = HotKeyPlanner(HotKeyRules())
    planner.adopt(["a", "b"])
    assert {parse_unit(unit).key for unit in planner.units(64)} == {"a", "b"}
    sketch = HotKeySketch(4)
    sketch.observe("c")
    assert planner.plan(0.0, sketch, 12) >= {"a", "b"}
    assert planner.plan(61.0, sketch, 12) == {"c"}
