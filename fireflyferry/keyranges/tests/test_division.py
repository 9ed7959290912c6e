"""Division of keys under hot keys, hot ranges, joining and lost upstreams, and noise."""

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


def capacities(runs=RUNS, capacity=CAPACITY):
    return [RunCapacity(run, capacity) for run in runs]


def make_table(moves):
    ranges = tuple(OwnedRange(m.first, m.last, m.new_owner, 1, (), True) for m in moves)
    return OwnerTable("pool", 1, 1, ranges)


def apply_moves(table, moves):
    """Return a table after moves, with all ranges serving."""
    ranges = []
    for each in table.ranges:
        first = each.first
        for move in sorted(moves, key=lambda m: m.first):
            if each.first <= move.first and move.last <= each.last:
                if move.first > first:
                    ranges.append(OwnedRange(first, move.first - 1, each.owner, 1, (), True))
                ranges.append(OwnedRange(move.first, move.last, move.new_owner, 1, (), True))
                first = move.last + 1
        if first <= each.last:
            ranges.append(OwnedRange(first, each.last, each.owner, 1, (), True))
    return OwnerTable("pool", 1, 1, tuple(ranges))


def owned_by(table, run):
    return [each for each in table.ranges if each.owner == run]


def make_demand(keys, seconds=2.0):
    """Return the demand of keys that arrived evenly over some seconds."""
    demand = KeyDemand(seconds)
    steps = 4
    for step in range(steps):
        demand.add(KeySample(seconds * (step + 1) / steps, tuple(keys[step::steps])))
    return demand


def utilisation(table, demand, runs=None):
    by_run = {each.run: each.capacity for each in runs or capacities()}
    load = dict.fromkeys(by_run, 0.0)
    for each in table.ranges:
        load[each.owner] += demand.rate_between(each.first, each.last)
    return {run: load[run] / by_run[run] for run in by_run}


def test_initial_ranges_follow_capacity():
    moves = plan_initial_ranges([RunCapacity(RUNS[0], 30.0), RunCapacity(RUNS[1], 10.0)])
    assert make_table(moves).is_complete()
    assert moves[0].last == pytest.approx(KEY_COUNT * 0.75, abs=1)


def test_noise_moves_nothing():
    """Guards against moves that the noise of a small sample causes."""
    table = make_table(plan_initial_ranges(capacities()))
    for seed in range(30):
        rng = random.Random(seed)
        demand = make_demand([rng.randrange(KEY_COUNT) for _ in range(80)])
        assert plan_rebalancing(table, capacities(), demand) == []


def test_hot_neighbours_are_spread():
    """Guards against an overloaded owner of a hot range of keys.

    Load pattern: 200 neighbouring keys get 40% of the requests.
    """
    rng = random.Random(1)
    keys = [rng.randrange(KEY_COUNT) for _ in range(120)]
    keys += [rng.randrange(24_000, 24_200) for _ in range(80)]
    rng.shuffle(keys)
    demand, table = make_demand(keys), make_table(plan_initial_ranges(capacities()))
    assert max(utilisation(table, demand).values()) > 3.0
    for _ in range(3):
        table = apply_moves(table, plan_rebalancing(table, capacities(), demand))
    assert table.is_complete()
    assert max(utilisation(table, demand).values()) < 1.4


def test_hot_key_goes_to_the_fastest_upstream_and_other_keys_leave_it():
    """Guards against an overloaded owner of a hot key.

    Load pattern: one key gets 40% of the requests, and upstreams differ in speed.
    """
    runs = [*capacities(RUNS[:11]), RunCapacity(RUNS[11], 24.0)]
    rng = random.Random(2)
    keys = [rng.randrange(KEY_COUNT) for _ in range(60)] + [20_000] * 40
    rng.shuffle(keys)
    demand, table = make_demand(keys), make_table(plan_initial_ranges(runs))
    for _ in range(4):
        table = apply_moves(table, plan_rebalancing(table, runs, demand))
    assert table.find(20_000).owner == RUNS[11]
    assert utilisation(table, demand, runs)[RUNS[11]] < 1.0


def test_hot_key_on_equal_upstreams_loses_its_neighbours():
    rng = random.Random(3)
    keys = [rng.randrange(KEY_COUNT) for _ in range(120)] + [20_000] * 30
    rng.shuffle(keys)
    demand, table = make_demand(keys), make_table(plan_initial_ranges(capacities()))
    owner = table.find(20_000).owner
    for _ in range(4):
        table = apply_moves(table, plan_rebalancing(table, capacities(), demand))
    assert table.find(20_000).owner == owner
    assert sum(each.key_count for each in owned_by(table, owner)) < KEY_COUNT / 24


def test_rebalancing_ends():
    """Guards against keys that keep moving while the load stays the same."""
    rng = random.Random(4)
    keys = [rng.randrange(KEY_COUNT) for _ in range(150)]
    keys += [rng.randrange(40_000, 40_060) for _ in range(90)]
    rng.shuffle(keys)
    demand, table = make_demand(keys), make_table(plan_initial_ranges(capacities()))
    for _ in range(8):
        table = apply_moves(table, plan_rebalancing(table, capacities(), demand))
    assert plan_rebalancing(table, capacities(), demand) == []


@pytest.mark.parametrize("requests", [0, 100])
def test_new_upstream_gets_keys_at_once(requests):
    """Guards against an upstream that joins and stays without keys.

    Load pattern: an empty upstream joins, with or without traffic.
    """
    rng = random.Random(5)
    table = make_table(plan_initial_ranges(capacities(RUNS[:6])))
    demand = make_demand([rng.randrange(KEY_COUNT) for _ in range(requests)])
    moves = plan_rebalancing(table, capacities(RUNS[:8]), demand)
    assert {RUNS[6], RUNS[7]} <= {move.new_owner for move in moves}
    moved_table = apply_moves(table, moves)
    assert all(owned_by(moved_table, run) for run in RUNS[:8])


def test_keys_of_a_lost_upstream_go_to_several():
    table = make_table(plan_initial_ranges(capacities()))
    moves = plan_failover(table, capacities(RUNS[1:]), KeyDemand())
    assert len({move.new_owner for move in moves}) == 3
    assert apply_moves(table, moves).is_complete()


def test_restarted_upstream_gets_its_keys_back():
    table = make_table(plan_initial_ranges(capacities()))
    restarted = UpstreamRun("u00", 2)
    moves = plan_failover(table, capacities([restarted, *RUNS[1:]]), KeyDemand())
    assert [move.new_owner for move in moves] == [restarted]


def test_load_is_not_underestimated_when_requests_begin():
    """Guards against dividing the first samples by a whole window that has not passed yet."""
    demand = KeyDemand(2.0)
    demand.add(KeySample(10.0, tuple(range(0, 5000, 100))))
    assert demand.total_rate == pytest.approx(100.0)
    demand.add(KeySample(10.5, tuple(range(0, 5000, 100))))
    assert demand.total_rate == pytest.approx(100.0)
