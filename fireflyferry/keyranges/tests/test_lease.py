"""Guards against two VMs that both believe they may grant keys."""

import random

import attrs
import pytest

from fireflyferry.keyranges import (
    GrantingLeaseTiming,
    LeaseRecord,
    ReadLease,
    StoreLease,
    WriteLease,
)
from fireflyferry.keyranges.tests.lease_world import LeaseWorld

RULES = GrantingLeaseTiming()
OTHER = LeaseRecord("other", "other-1", 5)


def lease():
    return StoreLease("me", "me-1", RULES)


def seen(now_s=0.0, record=OTHER, revision=7):
    each = lease()
    assert each.tick(now_s) == ReadLease(stale=False)
    each.on_read(now_s, record, revision)
    return each


def test_creates_a_missing_record():
    each = seen(record=None, revision=0)
    assert each.tick(0.0) == WriteLease(LeaseRecord("me", "me-1", 1), 0)
    each.on_written(0.05, 1)
    assert each.holds(RULES.lease_s - 0.01) and not each.holds(RULES.lease_s)


def test_authority_counts_from_before_the_write_was_sent():
    """Guards against a write whose slow answer would lengthen the authority."""
    each = seen(record=None, revision=0)
    each.tick(0.0)
    each.on_written(1.5, 1)
    assert each.authority_until_s == RULES.lease_s


def test_unchanged_record_is_taken_over_after_the_wait_only():
    each = seen()
    now_s = 0.0
    while now_s < RULES.takeover_s - 0.01:
        now_s += 0.1
        action = each.tick(min(now_s, RULES.takeover_s - 0.01))
        if action is not None:
            assert action == ReadLease(stale=True)
            each.on_read(now_s, OTHER, 7)
    action = each.tick(RULES.takeover_s + 0.01)
    assert action == WriteLease(LeaseRecord("me", "me-1", 6), 7)


def test_renewed_record_starts_the_wait_again():
    each = seen()
    each.tick(1.0)
    each.on_read(1.0, attrs.evolve(OTHER, counter=6), 8)
    assert each.tick(RULES.takeover_s + 0.1) == ReadLease(stale=True)


def test_stale_read_does_not_start_or_shorten_the_wait():
    each = seen()
    each.tick(1.0)
    each.on_read(1.0, attrs.evolve(OTHER, counter=4), 6)
    assert each.record == OTHER
    assert isinstance(each.tick(RULES.takeover_s + 0.01), WriteLease)


def test_resigned_record_is_taken_over_at_once():
    each = seen(record=attrs.evolve(OTHER, resigned=True))
    assert isinstance(each.tick(0.0), WriteLease)


def test_unknown_write_is_read_back():
    """Guards against authority that a lost answer leaves unconfirmed or wrongly confirmed."""
    each = seen(record=None, revision=0)
    write = each.tick(0.0)
    each.on_failed(1.0)
    assert not each.holds(1.0)
    assert each.tick(1.5) == ReadLease(stale=False)
    each.on_read(1.6, write.record, 1)
    assert each.authority_until_s == RULES.lease_s


def test_resigned_holder_has_no_authority():
    each = seen(record=None, revision=0)
    each.tick(0.0)
    each.on_written(0.0, 1)
    write = each.resign()
    assert write.record.resigned and not each.holds(0.0)
    assert each.tick(10.0) is None


@pytest.mark.parametrize("seed", range(40))
def test_never_two_holders(seed):
    """Guards against overlap through freezes, cuts, lost, late and stale answers, skewed clocks."""
    world = LeaseWorld(random.Random(seed))
    world.add_vms(4)
    world.run(40.0)
    assert world.overlaps == 0
    assert world.held_steps > 0.5 * 40.0 / 0.02


class _CountsFromAnswer(StoreLease):
    def on_written(self, now_s, revision):
        self._sent = (self._sent[0], now_s)
        super().on_written(now_s, revision)


class _TakesOverEarly(StoreLease):
    def _may_take_over(self, now_s):
        return now_s - self._seen_since_s >= 1.0


class _BelievesUnknownWrites(StoreLease):
    def on_failed(self, now_s):
        if self._sent is not None:
            self._until_s = now_s + self._rules.lease_s
        super().on_failed(now_s)


@pytest.mark.parametrize("broken", [_CountsFromAnswer, _TakesOverEarly, _BelievesUnknownWrites])
def test_world_reports_a_removed_guard(broken):
    """Shows that the random runs can fail."""
    overlaps = 0
    for seed in range(60):
        world = LeaseWorld(random.Random(seed), lambda name, rules: broken(name, name, rules))
        world.add_vms(4)
        world.run(40.0)
        overlaps += world.overlaps
    assert overlaps > 0
