"""Guards against keys with two holders after late, lost and refused answers of upstreams."""

from fireflyferry.keyranges import GrantAnswer, GrantResult, Move, UpstreamRun
from fireflyferry.keyranges.tests.test_granter import (
    ADDRESSES,
    TIMING,
    A,
    B,
    C,
    grant_result,
    listed_runs,
    serving_granter,
    split_actions,
)


def move(granter, now_s, revision, first, last, owner):
    """Request a move and confirm the write of the table."""
    granter.request_moves([Move(first, last, owner)])
    granter.tick(now_s)
    granter.on_table_saved(revision)


def accept_all(granter, now_s, grants):
    for call in grants:
        granter.on_grant(now_s, call, grant_result())


def grants_of(calls, first):
    return [call for call in calls if call.first == first]


def test_answer_to_an_earlier_release_does_not_clear_a_later_grant():
    """Guards against keys that move on because of the answer to a release before the last grant.

    The answer to a release comes only when the upstream has ended its requests, up to 4 s later.
    """
    granter = serving_granter(A, B, C)
    move(granter, 0.1, 3, 100, 200, B)
    _, grants, (earlier_release,) = split_actions(granter.tick(0.2))
    accept_all(granter, 0.21, grants)
    # B drains before it gets the keys, which go back to A.
    granter.set_listed(listed_runs(A, B, C, draining=(B,)), ADDRESSES)
    move(granter, 0.3, 4, 100, 200, A)
    _, grants, _ = split_actions(granter.tick(0.35))
    accept_all(granter, 0.4, grants)
    _, grants, _ = split_actions(granter.tick(0.45))
    accept_all(granter, 0.46, grants)
    granter.on_table_saved(5)
    assert granter.table.find(100).owner == A and granter.table.find(100).serving
    # A renewal of another range of A is in flight when the keys move on.
    _, renewals, _ = split_actions(granter.tick(1.58))
    assert [call for call in renewals if call.run == A]
    move(granter, 1.6, 6, 100, 200, C)
    granter.on_release(1.7, earlier_release, GrantAnswer.ACCEPTED, "token")
    _, grants, _ = split_actions(granter.tick(1.75))
    assert not grants_of(grants, 100)


def test_release_that_is_no_longer_needed_does_not_hold_up_renewals():
    """Guards against an upstream that loses all its keys after a release that it did not answer.

    Load pattern: the next owner does not answer either, so the range stays without an owner.
    """
    granter = serving_granter(A, B)
    move(granter, 1.0, 3, 100, 200, B)
    now_s = renewed_s = 1.0
    while now_s < 16.0:
        now_s += 0.1
        granter.request_moves([])
        _, grants, releases = split_actions(granter.tick(now_s))
        for call in releases:
            granter.on_release(now_s, call, GrantAnswer.UNKNOWN)
        for call in grants:
            answer = GrantAnswer.ACCEPTED if call.run == A else GrantAnswer.UNKNOWN
            granter.on_grant(now_s, call, grant_result(answer))
            renewed_s = now_s if call.run == A else renewed_s
    assert now_s - renewed_s < TIMING.hold_s


def test_restarted_upstream_releases_keys_that_it_was_not_granted_yet():
    """Guards against keys that move on while a restarted upstream has them by an earlier grant."""
    granter = serving_granter(A, B)
    owned = granter.table.ranges[0]
    restarted = UpstreamRun("a", 2)
    granter.set_listed(listed_runs(restarted, B), ADDRESSES)
    granter.request_moves([Move(owned.first, owned.last, restarted)])
    granter.tick(1.0)
    granter.set_listed(listed_runs(restarted, B, draining=(restarted,)), ADDRESSES)
    granter.on_table_saved(3)
    granter.request_moves([Move(owned.first, owned.last, B)])
    saves, _, _ = split_actions(granter.tick(1.01))
    moved = saves[0].table.find(owned.first)
    assert moved.owner == B and moved.earlier_holders == (restarted,)


def test_unanswered_renewal_allows_no_newer_connection():
    """Guards against a renewal that reaches a restarted upstream after an answer was lost."""
    granter = serving_granter(A, B)
    _, renewals, _ = split_actions(granter.tick(2.0))
    granter.on_grant(2.6, renewals[0], GrantResult(GrantAnswer.UNKNOWN, 7))
    _, again, _ = split_actions(granter.tick(3.0))
    assert [call.max_connection for call in grants_of(again, renewals[0].first)] == [1]


def test_wait_for_an_earlier_holder_counts_a_renewal_that_was_in_flight():
    """Guards against keys that move before the last renewal of a silent holder has expired."""
    granter = serving_granter(A, B)
    _, renewals, _ = split_actions(granter.tick(2.0))
    owned = granter.table.ranges[0]
    granter.set_listed(listed_runs(B), ADDRESSES)
    move(granter, 2.05, 3, owned.first, owned.last, B)
    for call in renewals:
        granter.on_grant(2.6, call, GrantResult(GrantAnswer.UNKNOWN, 1))
    _, grants, _ = split_actions(granter.tick(2.6 + TIMING.hold_s))
    assert not grants_of(grants, owned.first)
