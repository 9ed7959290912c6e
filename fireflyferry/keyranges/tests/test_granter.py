"""Guards against a key with two holders and against fences that do not rise."""

import random

import pytest

from fireflyferry.keyranges import (
    GrantAnswer,
    GrantCall,
    GrantTiming,
    ListedRun,
    Move,
    RangeGranter,
    ReleaseCall,
    RunCapacity,
    SaveTable,
    UpstreamRun,
    plan_initial_ranges,
)
from fireflyferry.keyranges.tests.range_world import RangeWorld

TIMING = GrantTiming()
A, B, C = UpstreamRun("a", 1), UpstreamRun("b", 1), UpstreamRun("c", 1)


def listed(*runs, draining=()):
    return [
        ListedRun(run, f"10.0.0.{ord(run.upstream_id)}:80", run not in draining) for run in runs
    ]


def split_actions(actions):
    return (
        [each for each in actions if isinstance(each, SaveTable)],
        [each for each in actions if isinstance(each, GrantCall)],
        [each for each in actions if isinstance(each, ReleaseCall)],
    )


def serving(*runs):
    """Return a granter whose ranges are all served, and the revision of its table."""
    granter = RangeGranter("pool", TIMING, 0.0)
    granter.on_table_read(None, 0)
    granter.set_listed(listed(*runs))
    granter.request_moves(plan_initial_ranges([RunCapacity(run, 10.0) for run in runs]))
    granter.tick(0.0)
    granter.on_table_saved(1)
    _, grants, _ = split_actions(granter.tick(0.0))
    for call in grants:
        granter.on_grant(0.0, call, GrantAnswer.ACCEPTED)
    granter.tick(0.0)
    granter.on_table_saved(2)
    assert all(each.serving for each in granter.table.ranges)
    return granter


def test_nothing_is_granted_before_the_table_is_stored():
    granter = RangeGranter("pool", TIMING, 0.0)
    granter.on_table_read(None, 0)
    granter.set_listed(listed(A, B))
    granter.request_moves(plan_initial_ranges([RunCapacity(A, 10.0), RunCapacity(B, 10.0)]))
    saves, grants, _ = split_actions(granter.tick(0.0))
    assert len(saves) == 1 and not grants
    granter.on_table_saved(1)
    _, grants, _ = split_actions(granter.tick(0.1))
    assert {call.run for call in grants} == {A, B}


def test_move_is_granted_after_the_release_with_its_handover():
    granter = serving(A, B)
    granter.request_moves([Move(100, 200, B)])
    saves, _, _ = split_actions(granter.tick(1.0))
    granter.on_table_saved(3)
    _, grants, releases = split_actions(granter.tick(1.1))
    assert [(call.run, call.first, call.last) for call in releases] == [(A, 100, 200)]
    assert not [call for call in grants if (call.first, call.last) == (100, 200)]
    granter.on_release(1.3, releases[0], GrantAnswer.ACCEPTED, "token")
    _, grants, _ = split_actions(granter.tick(1.35))
    moved = [call for call in grants if (call.first, call.last) == (100, 200)]
    assert [(call.run, call.handover) for call in moved] == [(B, "token")]
    assert moved[0].fence == releases[0].fence > saves[0].table.ranges[0].fence


def test_release_waits_for_grants_in_flight():
    """Guards against a renewal that arrives after the release and holds the keys again."""
    granter = serving(A, B)
    _, renewals, _ = split_actions(granter.tick(2.0))
    assert {call.run for call in renewals} == {A, B}
    granter.request_moves([Move(100, 200, B)])
    granter.tick(2.05)
    granter.on_table_saved(3)
    _, _, releases = split_actions(granter.tick(2.1))
    assert not releases
    for call in renewals:
        granter.on_grant(2.2, call, GrantAnswer.ACCEPTED)
    _, _, releases = split_actions(granter.tick(2.3))
    assert [call.run for call in releases] == [A]


def test_keys_of_a_silent_owner_move_when_its_grants_have_run_out():
    granter = serving(A, B)
    granter.set_listed(listed(B))
    part = granter.table.ranges[0]
    granter.request_moves([Move(part.first, part.last, B)])
    granter.tick(1.0)
    granter.on_table_saved(3)
    run_out_s = TIMING.call_timeout_s + TIMING.runs_out_s
    now_s = 1.0
    while now_s < run_out_s - 0.1:
        now_s += 0.1
        _, grants, releases = split_actions(granter.tick(now_s))
        assert not [call for call in grants if call.first == part.first]
        for call in releases:
            granter.on_release(now_s, call, GrantAnswer.UNKNOWN)
    _, grants, _ = split_actions(granter.tick(run_out_s + 0.1))
    assert [call.run for call in grants if call.first == part.first] == [B]


@pytest.mark.parametrize("listed_again", [False, True])
def test_refused_connection_proves_the_end_of_an_unlisted_run_only(listed_again):
    """Guards against taking a listed upstream, whose port may refuse for a moment, for gone."""
    granter = serving(A, B)
    runs = listed(A, B, draining=(A,)) if listed_again else listed(B)
    granter.set_listed(runs)
    part = granter.table.ranges[0]
    granter.request_moves([Move(part.first, part.last, B)])
    granter.tick(1.0)
    granter.on_table_saved(3)
    for now_s in (1.1, 1.5):
        _, _, releases = split_actions(granter.tick(now_s))
        granter.on_release(now_s, releases[0], GrantAnswer.NO_LISTENER)
    _, grants, _ = split_actions(granter.tick(1.6))
    granted = bool([call for call in grants if call.first == part.first])
    assert granted is not listed_again


def test_restarted_upstream_gets_its_keys_under_a_higher_fence():
    granter = serving(A, B)
    part = granter.table.ranges[0]
    again = UpstreamRun("a", 2)
    granter.set_listed(listed(again, B))
    granter.request_moves([Move(part.first, part.last, again)])
    granter.tick(1.0)
    granter.on_table_saved(3)
    _, grants, releases = split_actions(granter.tick(1.1))
    call = next(call for call in grants if call.first == part.first)
    assert call.run == again and call.fence > part.fence and not releases


def test_new_term_rewrites_the_table_before_it_grants():
    """Guards against a late write of the earlier granting VM."""
    table = serving(A, B).table
    granter = RangeGranter("pool", TIMING, 50.0)
    granter.on_table_read(table, 9)
    granter.set_listed(listed(A, B))
    saves, grants, _ = split_actions(granter.tick(50.0))
    assert saves[0].revision == 9 and saves[0].table.term == table.term + 1 and not grants
    granter.on_table_saved(10)
    _, grants, _ = split_actions(granter.tick(50.1))
    assert {call.run for call in grants} == {A, B}


def test_new_term_counts_grants_of_the_earlier_one():
    """Guards against a takeover that ignores grants sent just before it."""
    table = serving(A, B).table
    granter = RangeGranter("pool", TIMING, 50.0)
    granter.on_table_read(table, 9)
    granter.set_listed(listed(B))
    granter.tick(50.0)
    granter.on_table_saved(10)
    part = table.ranges[0]
    granter.request_moves([Move(part.first, part.last, B)])
    granter.tick(50.1)
    granter.on_table_saved(11)
    _, grants, _ = split_actions(granter.tick(50.0 + TIMING.hold_s))
    assert not [call for call in grants if call.first == part.first]


def test_higher_fence_at_the_owner_leads_to_a_new_fence():
    granter = serving(A, B)
    _, renewals, _ = split_actions(granter.tick(2.0))
    granter.on_grant(2.1, renewals[0], GrantAnswer.HIGHER_FENCE)
    saves, _, _ = split_actions(granter.tick(2.2))
    changed = saves[0].table.find(renewals[0].first)
    assert changed.fence > renewals[0].fence and changed.owner == renewals[0].run


@pytest.mark.parametrize("seed", range(40))
def test_never_two_holders(seed):
    """Guards against overlap through late grants, restarts, lapses, drains and takeovers."""
    world = RangeWorld(random.Random(seed))
    world.start(4)
    world.run(60.0)
    assert world.conflicts == []
    assert world.fence_faults == []
    assert world.served > 0.4 * 6 * 60.0 / 0.05


class _GrantsAtOnce(RangeGranter):
    def _is_cleared(self, now_s, each, run):
        super()._is_cleared(now_s, each, run)
        return True


class _ForgetsEarlierTerms(RangeGranter):
    def __init__(self, pool, timing, began_s):
        super().__init__(pool, timing, began_s - 60.0)


class _TakesUnlistedForGone(RangeGranter):
    def _is_gone(self, run):
        return run not in self._listed or super()._is_gone(run)


class _BelievesShortGrants(RangeGranter):
    def on_grant(self, now_s, call, answer):
        super().on_grant(now_s, call, answer)
        self._runs_out_s[call.run] = now_s + 1.0


class _ReusesFences(RangeGranter):
    def _moved(self, each, move, fence):
        return super()._moved(each, move, each.fence)


@pytest.mark.parametrize(
    "broken",
    [
        _GrantsAtOnce,
        _ForgetsEarlierTerms,
        _TakesUnlistedForGone,
        _BelievesShortGrants,
        _ReusesFences,
    ],
)
def test_world_reports_a_removed_guard(broken):
    """Shows that the random runs can fail."""
    found = 0
    for seed in range(60):
        world = RangeWorld(random.Random(seed), lambda began_s: broken("pool", TIMING, began_s))
        world.start(4)
        world.run(60.0)
        found += len(world.conflicts) + len(world.fence_faults)
        if found:
            break
    assert found > 0
