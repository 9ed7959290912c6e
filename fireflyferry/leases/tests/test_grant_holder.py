"""Guards against an upstream that serves a unit it does not hold or reports it wrongly."""

import pytest

from fireflyferry.leases import CheckResult, GrantHolder
from fireflyferry.messages import GrantMessage, UnitGrant

HELD, NOT_OWNER, STALE_FENCE = CheckResult.HELD, CheckResult.NOT_OWNER, CheckResult.STALE_FENCE


def grant(holder, now_s, units, term=1, version=1, token_s=None, length_s=1.0, group="janela/a/0"):
    token = holder.token(now_s if token_s is None else token_s)
    if units is not None:
        units = tuple(unit if isinstance(unit, UnitGrant) else UnitGrant(*unit) for unit in units)
    message = GrantMessage(group, term, version, token, length_s, units)
    return holder.accept(now_s, message)


@pytest.fixture
def holder():
    return GrantHolder("u-1", "run-1")


def test_grant_ends_at_token_plus_length_even_if_delivered_late(holder):
    assert grant(holder, 10.8, [("b:1", 5)], token_s=10.0).accepted
    assert holder.check(10.99, "b:1", "x", 5) is HELD
    assert holder.check(11.0, "b:1", "x", 5) is NOT_OWNER


def test_reordered_renewal_does_not_shorten_a_grant(holder):
    grant(holder, 10.0, [("b:1", 5)])
    assert grant(holder, 10.5, None).accepted
    assert grant(holder, 10.6, None, token_s=10.1).accepted
    assert holder.check(11.4, "b:1", "x", 5) is HELD


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"token": "run-0@10.0"}, "unknown_token"),
        ({"token": "run-1@99.0"}, "unknown_token"),
        ({"token": "run-1@nan"}, "unknown_token"),
        ({"token": ""}, "unknown_token"),
        ({"token": "run-1@8.0"}, "expired_token"),
        ({"length_s": float("inf")}, "bad_length"),
        ({"term": 1}, "stale_set"),
        ({"set_version": 1}, "stale_set"),
        ({"set_version": 2}, "changed_set"),
        ({"units": None}, "unknown_set"),
        ({"units": (UnitGrant("b:1", 4),)}, "stale_fence"),
    ],
)
def test_refused_message_has_no_effect(holder, change, reason):
    grant(holder, 9.5, [("b:1", 5)], term=2, version=2)
    fields = {"term": 2, "set_version": 3, "token": holder.token(10.0), "length_s": 1.0}
    fields["units"] = (UnitGrant("b:1", 5), UnitGrant("b:2", 6))
    reply = holder.accept(10.1, GrantMessage("janela/a/0", **(fields | change)))
    assert (reply.accepted, reply.reason) == (False, reason)
    assert (reply.term, reply.set_version) == (2, 2)
    assert set(holder.held_units(10.2)) == {"b:1"}
    assert not holder.held_units(10.5)


def test_release_takes_effect_under_an_expired_token(holder):
    grant(holder, 10.0, [("b:1", 5), ("b:2", 6)])
    assert grant(holder, 10.5, [("b:2", 6)], version=2, token_s=8.0).accepted
    assert set(holder.held_units(10.6)) == {"b:2"}


def test_lower_fence_is_refused_after_a_request_with_a_higher_one(holder):
    grant(holder, 10.0, [("b:1", 5)])
    ticket = holder.begin(10.1, "b:1", "x", 7)
    assert holder.finish(10.2, ticket)
    assert holder.check(10.3, "b:1", "x", 5) is STALE_FENCE


def test_excluded_and_foreign_keys_are_refused(holder):
    grant(holder, 10.0, [("b:1", 5, ("hot",)), ("k:1:a:b", 6)])
    assert holder.check(10.1, "b:1", "hot", 5) is NOT_OWNER
    assert holder.check(10.1, "b:1", "cold", 5) is HELD
    assert holder.check(10.1, "k:1:a:b", "a:b", 6) is HELD
    assert holder.check(10.1, "k:1:a:b", "a", 6) is NOT_OWNER


def test_released_unit_is_busy_until_its_requests_end(holder):
    grant(holder, 10.0, [("b:1", 5)])
    ticket = holder.begin(10.1, "b:1", "x", 5)
    assert grant(holder, 10.2, [], version=2).busy == ("b:1",)
    assert grant(holder, 10.3, None, version=2).busy == ("b:1",)
    assert not holder.finish(10.4, ticket)
    assert grant(holder, 10.5, None, version=2).busy == ()


def test_excluded_key_is_busy_under_its_own_unit(holder):
    grant(holder, 10.0, [("b:1", 5)])
    ticket = holder.begin(10.1, "b:1", "hot", 5)
    assert grant(holder, 10.2, [("b:1", 6, ("hot",))], version=2).busy == ("k:1:hot",)
    assert not holder.finish(10.3, ticket)


def test_finish_reports_a_unit_that_was_lost_and_regained(holder):
    grant(holder, 10.0, [("b:1", 5)])
    kept = holder.begin(10.1, "b:1", "x", 5)
    lost = holder.begin(10.1, "b:1", "x", 5)
    grant(holder, 10.5, None)
    assert holder.finish(11.2, kept)
    grant(holder, 12.0, None)
    assert not holder.finish(12.1, lost)


def test_groups_grant_independently(holder):
    grant(holder, 10.0, [("b:1", 5)], term=4)
    assert grant(holder, 10.0, [("b:2", 6)], term=1, group="janela/b/0").accepted
    assert set(holder.held_units(10.1)) == {"b:1", "b:2"}
    grant(holder, 10.2, [], term=4, version=2)
    assert set(holder.held_units(10.3)) == {"b:2"}


def test_upstream_without_checks_serves_everything_and_reports_releases():
    holder = GrantHolder("u-1", "run-1", checks=False)
    grant(holder, 10.0, [("b:1", 5)], version=2)
    ticket = holder.begin(99.0, "b:1", "x", 0)
    assert ticket.result is HELD
    assert grant(holder, 99.1, [], version=3).busy == ("b:1",)
    late = grant(holder, 99.2, [("b:1", 5)], version=2)
    assert (late.accepted, late.set_version, late.busy) == (True, 2, ("b:1",))
    assert holder.finish(99.3, ticket)
    assert holder.check(99.4, "b:9", "y", 0) is HELD


def test_drain_is_reported_and_service_continues(holder):
    grant(holder, 10.0, [("b:1", 5)])
    holder.drain()
    assert grant(holder, 10.1, None).draining
    assert holder.check(10.2, "b:1", "x", 5) is HELD
