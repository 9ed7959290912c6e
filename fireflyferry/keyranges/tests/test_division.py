"""Division of keys under loads that upset it: hot keys, hot neighbours, joins, losses, noise."""

import random

import pytest

from fireflyferry.keyranges import (
    KEY_COUNT,
    KeyDemand,
    KeySample,
    OwnedRange,
    OwnerTable,
    RunCapacity,
    UpstreamRun,
    plan_failover,
    plan_initial_ranges,
    plan_rebalancing,
)

RUNS = [UpstreamRun(f"u{number:02}", 1) for number in range(12)]
CAPACITY = 10.0


def loads(runs=RUNS, capacity=CAPACITY):
    return [RunCapacity(run, capacity) for run in runs]


def table_of(moves):
    ranges = tuple(OwnedRange(m.first, m.last, m.to, 1, (), True) for m in moves)
    return OwnerTable("pool", 1, 1, ranges)


def after(table, moves):
    """Apply moves to a table, as served ranges."""
    ranges = []
    for each in table.ranges:
        first = each.first
        for move in sorted(moves, key=lambda m: m.first):
            if each.first <= move.first and move.last <= each.last:
                if move.first > first:
                    ranges.append(OwnedRange(first, move.first - 1, each.owner, 1, (), True))
                ranges.append(OwnedRange(move.first, move.last, move.to, 1, (), True))
                first = move.last + 1
        if first <= each.last:
            ranges.append(OwnedRange(first, each.last, each.owner, 1, (), True))
    return OwnerTable("pool", 1, 1, tuple(ranges))


def owned_by(table, run):
    return [each for each in table.ranges if each.owner == run]


def demand_of(keys, seconds=2.0):
    """Return the demand of keys that arrived evenly over some seconds."""
    demand = KeyDemand(seconds)
    steps = 4
    for step in range(steps):
        demand.add(KeySample(seconds * (step + 1) / steps, tuple(keys[step::steps])))
    return demand


def utilisation(table, demand, runs=None):
    by_run = {each.run: each.capacity for each in runs or loads()}
    used = dict.fromkeys(by_run, 0.0)
    for each in table.ranges:
        used[each.owner] += demand.between(each.first, each.last)
    return {run: used[run] / by_run[run] for run in by_run}


def test_first_division_follows_capacity():
    moves = plan_initial_ranges([RunCapacity(RUNS[0], 30.0), RunCapacity(RUNS[1], 10.0)])
    assert table_of(moves).is_complete()
    assert moves[0].last == pytest.approx(KEY_COUNT * 0.75, abs=1)


def test_quiet_load_moves_nothing():
    """Guards against moves that noise of a small sample causes."""
    table = table_of(plan_initial_ranges(loads()))
    for seed in range(30):
        rng = random.Random(seed)
        demand = demand_of([rng.randrange(KEY_COUNT) for _ in range(80)])
        assert plan_rebalancing(table, loads(), demand) == []


def test_hot_neighbours_are_spread():
    """Load pattern: 200 neighbouring keys get 40% of the requests."""
    rng = random.Random(1)
    keys = [rng.randrange(KEY_COUNT) for _ in range(120)]
    keys += [rng.randrange(24_000, 24_200) for _ in range(80)]
    rng.shuffle(keys)
    demand, table = demand_of(keys), table_of(plan_initial_ranges(loads()))
    assert max(utilisation(table, demand).values()) > 3.0
    for _ in range(3):
        table = after(table, plan_rebalancing(table, loads(), demand))
    assert table.is_complete()
    assert max(utilisation(table, demand).values()) < 1.4


def test_hot_key_goes_to_the_fastest_upstream_and_its_neighbours_leave():
    """Load pattern: one key gets 40% of the requests, and upstreams differ in speed."""
    runs = [*loads(RUNS[:11]), RunCapacity(RUNS[11], 24.0)]
    rng = random.Random(2)
    keys = [rng.randrange(KEY_COUNT) for _ in range(60)] + [20_000] * 40
    rng.shuffle(keys)
    demand, table = demand_of(keys), table_of(plan_initial_ranges(runs))
    for _ in range(4):
        table = after(table, plan_rebalancing(table, runs, demand))
    assert table.find(20_000).owner == RUNS[11]
    assert utilisation(table, demand, runs)[RUNS[11]] < 1.0


def test_hot_key_on_equal_upstreams_loses_its_neighbours():
    rng = random.Random(3)
    keys = [rng.randrange(KEY_COUNT) for _ in range(120)] + [20_000] * 30
    rng.shuffle(keys)
    demand, table = demand_of(keys), table_of(plan_initial_ranges(loads()))
    owner = table.find(20_000).owner
    for _ in range(4):
        table = after(table, plan_rebalancing(table, loads(), demand))
    assert table.find(20_000).owner == owner
    assert sum(each.keys for each in owned_by(table, owner)) < KEY_COUNT / 24


def test_planning_ends():
    """Guards against keys that wander while the load stays the same."""
    rng = random.Random(4)
    keys = [rng.randrange(KEY_COUNT) for _ in range(150)]
    keys += [rng.randrange(40_000, 40_060) for _ in range(90)]
    rng.shuffle(keys)
    demand, table = demand_of(keys), table_of(plan_initial_ranges(loads()))
    for _ in range(8):
        table = after(table, plan_rebalancing(table, loads(), demand))
    assert plan_rebalancing(table, loads(), demand) == []


@pytest.mark.parametrize("requests", [0, 100])
def test_newcomer_gets_keys_at_once(requests):
    """Load pattern: an empty upstream joins, with or without traffic."""
    rng = random.Random(5)
    table = table_of(plan_initial_ranges(loads(RUNS[:6])))
    demand = demand_of([rng.randrange(KEY_COUNT) for _ in range(requests)])
    moves = plan_rebalancing(table, loads(RUNS[:8]), demand)
    assert {RUNS[6], RUNS[7]} <= {move.to for move in moves}
    settled = after(table, moves)
    assert all(owned_by(settled, run) for run in RUNS[:8])


def test_keys_of_a_lost_upstream_go_to_several():
    table = table_of(plan_initial_ranges(loads()))
    moves = plan_failover(table, loads(RUNS[1:]), KeyDemand())
    assert len({move.to for move in moves}) == 3
    assert after(table, moves).is_complete()


def test_restarted_upstream_gets_its_keys_back():
    table = table_of(plan_initial_ranges(loads()))
    again = UpstreamRun("u00", 2)
    moves = plan_failover(table, loads([again, *RUNS[1:]]), KeyDemand())
    assert [move.to for move in moves] == [again]


def test_load_is_not_underestimated_when_requests_begin():
    """Guards against a first second whose load is spread over a window that has not passed."""
    demand = KeyDemand(2.0)
    demand.add(KeySample(10.0, tuple(range(0, 5000, 100))))
    assert demand.total == pytest.approx(100.0)
    demand.add(KeySample(10.5, tuple(range(0, 5000, 100))))
    assert demand.total == pytest.approx(100.0)
