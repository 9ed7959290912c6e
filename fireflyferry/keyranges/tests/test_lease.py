"""Guards against two VMs that hold the right to grant keys at the same time."""

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
from fireflyferry.keyranges.tests.lease_world import LeaseSimulation

TIMING = GrantingLeaseTiming()
OTHER = LeaseRecord("other", "other-1", 5)


def make_lease():
    return StoreLease("me", "me-1", TIMING)


def lease_after_read(now_s=0.0, record=OTHER, revision=7):
    lease = make_lease()
    assert lease.tick(now_s) == ReadLease(stale=False)
    lease.on_read(now_s, record, revision)
    return lease


def test_creates_a_missing_record():
    lease = lease_after_read(record=None, revision=0)
    assert lease.tick(0.0) == WriteLease(LeaseRecord("me", "me-1", 1), 0)
    lease.on_written(0.05, 1)
    assert lease.holds(TIMING.lease_s - 0.01) and not lease.holds(TIMING.lease_s)


def test_authority_counts_from_before_the_write_was_sent():
    """Guards against authority that a slow answer to the write extends beyond the lease."""
    lease = lease_after_read(record=None, revision=0)
    lease.tick(0.0)
    lease.on_written(1.5, 1)
    assert lease.authority_until_s == TIMING.lease_s


def test_unchanged_record_is_taken_over_after_the_wait_only():
    lease = lease_after_read()
    now_s = 0.0
    while now_s < TIMING.takeover_s - 0.01:
        now_s += 0.1
        action = lease.tick(min(now_s, TIMING.takeover_s - 0.01))
        if action is not None:
            assert action == ReadLease(stale=True)
            lease.on_read(now_s, OTHER, 7)
    action = lease.tick(TIMING.takeover_s + 0.01)
    assert action == WriteLease(LeaseRecord("me", "me-1", 6), 7)


@pytest.mark.parametrize(
    ("record", "revision"), [(None, 0), (OTHER, 7), (attrs.evolve(OTHER, resigned=True), 7)]
)
def test_vm_that_may_not_hold_the_lease_only_reads(record, revision):
    """Guards against a lease at a VM that cannot deliver grants, and against reads in a loop."""
    lease = lease_after_read(record=record, revision=revision)
    calls = 0
    for step in range(200):
        now_s = step * 0.05
        action = lease.tick(now_s, may_hold=False)
        if action is not None:
            assert isinstance(action, ReadLease)
            lease.on_read(now_s, record, revision)
            calls += 1
    assert not lease.holds(10.0) and calls <= 10.0 / TIMING.poll_s + 2
    assert isinstance(lease.tick(20.0), WriteLease)


def test_holder_that_may_not_hold_the_lease_gives_it_up_at_once():
    """Guards against keys that no VM grants until the lease of a VM without a path has expired."""
    lease = lease_after_read(record=None, revision=0)
    lease.tick(0.0)
    lease.on_written(0.1, 1)
    write = lease.tick(0.2, may_hold=False)
    assert write == WriteLease(LeaseRecord("me", "me-1", 2, resigned=True), 1)
    assert not lease.holds(0.2), "another VM may take over before the answer arrives"
    lease.on_written(0.3, 2)
    for step in range(1, 100):
        now_s = 0.3 + step * 0.05
        action = lease.tick(now_s, may_hold=False)
        assert not lease.holds(now_s) and action in (None, ReadLease(stale=True))
        if action is not None:
            lease.on_read(now_s, write.record, 2)
    assert lease.tick(10.0) == WriteLease(LeaseRecord("me", "me-1", 3), 2)


def test_lease_is_given_up_again_if_that_was_not_confirmed():
    lease = lease_after_read(record=None, revision=0)
    first = lease.tick(0.0)
    lease.on_written(0.1, 1)
    lease.tick(0.2, may_hold=False)
    lease.on_failed(1.0)
    assert not lease.holds(1.0) and lease.tick(1.1, may_hold=False) is None
    assert lease.tick(1.5, may_hold=False) == ReadLease(stale=False)
    lease.on_read(1.6, first.record, 1)
    action = lease.tick(2.5, may_hold=False)
    assert isinstance(action, WriteLease) and action.record.resigned and not lease.holds(2.5)


def test_renewed_record_starts_the_wait_again():
    lease = lease_after_read()
    lease.tick(1.0)
    lease.on_read(1.0, attrs.evolve(OTHER, counter=6), 8)
    assert lease.tick(TIMING.takeover_s + 0.1) == ReadLease(stale=True)


def test_stale_read_does_not_start_or_shorten_the_wait():
    lease = lease_after_read()
    lease.tick(1.0)
    lease.on_read(1.0, attrs.evolve(OTHER, counter=4), 6)
    assert lease.record == OTHER
    assert isinstance(lease.tick(TIMING.takeover_s + 0.01), WriteLease)


def test_resigned_record_is_taken_over_at_once():
    lease = lease_after_read(record=attrs.evolve(OTHER, resigned=True))
    assert isinstance(lease.tick(0.0), WriteLease)


def test_write_without_answer_is_read_back():
    """Guards against losing or wrongly assuming authority when the answer to a write is lost."""
    lease = lease_after_read(record=None, revision=0)
    write = lease.tick(0.0)
    lease.on_failed(1.0)
    assert not lease.holds(1.0)
    assert lease.tick(1.5) == ReadLease(stale=False)
    lease.on_read(1.6, write.record, 1)
    assert lease.authority_until_s == TIMING.lease_s


def test_resigned_holder_has_no_authority():
    lease = lease_after_read(record=None, revision=0)
    lease.tick(0.0)
    lease.on_written(0.0, 1)
    write = lease.resign()
    assert write.record.resigned and not lease.holds(0.0)
    assert lease.tick(10.0) is None


def test_late_write_does_not_confirm_a_later_one():
    """Guards against two holders of the lease after a write that took effect late."""
    lease, other = make_lease(), StoreLease("other", "other-1", TIMING)
    lease.tick(0.0)
    lease.on_read(0.0, None, 0)
    first = lease.tick(0.01)
    lease.on_written(0.02, 1)
    late = lease.tick(0.75)
    lease.on_failed(1.25)
    assert lease.tick(1.66) == ReadLease(stale=False)
    lease.on_read(1.67, first.record, 1)  # the write has not taken effect yet
    other.tick(1.69)
    other.on_read(1.69, late.record, 2)
    again = lease.tick(2.38)
    assert isinstance(again, WriteLease) and again.revision == 1
    lease.on_read(2.39, late.record, 2)  # conflict
    now_s = 1.69 + TIMING.takeover_s
    assert isinstance(other.tick(now_s), WriteLease)
    other.on_written(now_s, 3)
    assert other.holds(now_s) and not lease.holds(now_s)


@pytest.mark.parametrize("seed", [13, 22])
def test_never_two_holders_after_late_writes(seed):
    """Guards against two holders of the lease, as above, with few VMs and many late writes."""
    simulation = LeaseSimulation(random.Random(seed))
    simulation.add_vms(3)
    simulation.run(200.0)
    assert simulation.overlaps == 0


@pytest.mark.parametrize("barring", [False, True])
@pytest.mark.parametrize("seed", range(40))
def test_never_two_holders(seed, barring):
    """Guards against two holders of the lease at the same time.

    Faults: freezes, cut links, lost, late and stale answers of the store, skewed clocks, and VMs
    that may not hold the lease.
    """
    simulation = LeaseSimulation(random.Random(seed))
    simulation.barring = random.Random(seed) if barring else None
    simulation.add_vms(4)
    simulation.run(40.0)
    assert simulation.overlaps == 0
    assert simulation.held_steps > 0.5 * 40.0 / 0.02


class _CountsAuthorityFromAnswer(StoreLease):
    def on_written(self, now_s, revision):
        self._sent_write = (self._sent_write[0], now_s)
        super().on_written(now_s, revision)


class _TakesOverEarly(StoreLease):
    def _may_take_over(self, now_s):
        return now_s - self._unchanged_since_s >= 1.0


class _TrustsUnconfirmedWrites(StoreLease):
    def on_failed(self, now_s):
        if self._sent_write is not None:
            self._authority_until_s = now_s + self._timing.lease_s
        super().on_failed(now_s)


class _GrantsUntilItHasResigned(StoreLease):
    def tick(self, now_s, may_hold=True):
        before_s = self._authority_until_s
        action = super().tick(now_s, may_hold)
        self._authority_until_s = max(before_s, self._authority_until_s)
        return action


@pytest.mark.parametrize(
    "broken_lease",
    [
        _CountsAuthorityFromAnswer,
        _TakesOverEarly,
        _TrustsUnconfirmedWrites,
        _GrantsUntilItHasResigned,
    ],
)
def test_simulation_detects_a_removed_check(broken_lease):
    """Guards against a simulation that misses the overlaps that a removed check causes."""
    overlaps = 0
    for seed in range(60):
        simulation = LeaseSimulation(
            random.Random(seed), lambda name, timing: broken_lease(name, name, timing)
        )
        simulation.barring = random.Random(seed)
        simulation.add_vms(4)
        simulation.run(40.0)
        overlaps += simulation.overlaps
    assert overlaps > 0


# Eras of the store


def lease_in_era(era=5, now_s=0.0, record=OTHER, revision=7):
    lease = make_lease()
    lease.begin_era(now_s, era)
    lease.tick(now_s)
    lease.on_read(now_s, record, revision)
    return lease


def first_write_s(lease, record, revision, since_s=0.0, until_s=6.0):
    """Return when a VM first writes, if the record stays as it is."""
    now_s = since_s
    while now_s < until_s:
        action = lease.tick(now_s)
        if isinstance(action, WriteLease):
            return now_s
        if action is not None:
            lease.on_read(now_s, record, revision)
        now_s += 0.01
    return None


@pytest.mark.parametrize(
    ("record", "revision"),
    [
        (None, 0),
        (attrs.evolve(OTHER, era=4), 7),
        (attrs.evolve(OTHER, resigned=True, era=4), 7),
        (attrs.evolve(OTHER, resigned=True), 7),
        (LeaseRecord("me", "me-1", 3, era=4), 7),
        (LeaseRecord("me", "me-1", 3, resigned=True, era=4), 7),
    ],
    ids=["missing", "earlier", "resigned", "resigned without era", "own", "own resigned"],
)
def test_record_of_an_earlier_era_is_not_taken_over_before_the_full_wait(record, revision):
    """Guards against two holders: the copy does not show who held the lease when the store broke.

    The last holder keeps its authority for up to 2 s, and learns of the restore only by an answer.
    """
    lease = lease_in_era(record=record, revision=revision)
    assert not lease.holds(0.0)
    written_s = first_write_s(lease, record, revision)
    assert written_s is not None and written_s >= TIMING.takeover_s - 1e-6
    assert written_s < TIMING.takeover_s + 0.1


def test_process_that_starts_long_after_the_restore_waits_from_the_answer_that_names_the_era():
    """Guards against a new process that takes the start of an era to be long ago."""
    lease = make_lease()
    lease.tick(100.0)
    lease.begin_era(100.0, 5)
    lease.on_read(100.0, None, 0)
    written_s = first_write_s(lease, None, 0, 100.0, 110.0)
    assert written_s >= 100.0 + TIMING.takeover_s - 1e-6


def test_record_of_the_current_era_follows_the_usual_rules():
    record = attrs.evolve(OTHER, resigned=True, era=5)
    lease = lease_in_era(record=record)
    assert lease.tick(0.0) == WriteLease(LeaseRecord("me", "me-1", 6, era=5), 7)


def test_missing_record_in_era_0_is_created_at_once():
    """Guards against a fresh deployment that waits for holders that no earlier era can have had."""
    lease = lease_in_era(era=0, record=None, revision=0)
    assert lease.tick(0.0) == WriteLease(LeaseRecord("me", "me-1", 1, era=0), 0)


def holder_in_era_4():
    lease = lease_in_era(era=4, record=attrs.evolve(OTHER, resigned=True, era=4))
    lease.tick(0.0)
    lease.on_written(0.05, 8)
    assert lease.holds(1.0)
    return lease


def test_holder_gives_up_its_authority_when_an_era_begins():
    lease = holder_in_era_4()
    lease.begin_era(0.5, 5)
    assert not lease.holds(0.5)
    assert lease.tick(0.5) == ReadLease(stale=False)


def test_second_era_starts_the_wait_again():
    """Guards against a wait that counts from the first of two restores in a row."""
    lease = lease_in_era(era=4, record=None, revision=0)
    lease.begin_era(2.0, 5)
    written_s = first_write_s(lease, None, 0, 2.0, 8.0)
    assert written_s >= 2.0 + TIMING.takeover_s - 1e-6


@pytest.mark.parametrize("answer", ["written", "read"])
def test_write_of_an_earlier_era_confirms_nothing(answer):
    """Guards against authority by a write whose revision stands for another record now."""
    lease = holder_in_era_4()
    write = lease.tick(0.8)
    lease.begin_era(0.9, 5)
    if answer == "written":
        lease.on_written(0.9, 9)
    else:
        lease.on_read(0.9, write.record, 9)
    assert not lease.holds(0.9)
    action = lease.tick(0.9) or lease.tick(1.8)
    assert isinstance(action, ReadLease) and not lease.holds(1.8)


def test_relayed_record_of_an_earlier_era_does_not_hide_the_records_of_this_one():
    """Guards against a VM that waits for a revision which the store has not reissued yet."""
    lease = make_lease()
    lease.begin_era(0.0, 5)
    lease.on_relayed(0.0, attrs.evolve(OTHER, era=4), 900)
    lease.tick(0.0)
    lease.on_read(0.1, attrs.evolve(OTHER, era=5), 80)
    assert lease.record.era == 5


def restoring_simulation(seed, make=None):
    simulation = LeaseSimulation(random.Random(seed), *([make] if make else []))
    simulation.restoring = random.Random(seed + 1_000)
    simulation.barring = random.Random(seed)  # VMs without a path resign
    simulation.add_vms(4)
    simulation.run(60.0)
    return simulation


@pytest.mark.parametrize("seed", range(60))
def test_never_two_holders_when_the_store_comes_back_from_copies(seed):
    """Guards against two holders after restores, two in a row among them, with all other faults."""
    simulation = restoring_simulation(seed)
    assert simulation.restores > 0
    assert simulation.overlaps == 0


class _ConfirmsWritesOfAnEarlierEra(StoreLease):
    def begin_era(self, now_s, era):
        sent = self._sent_write
        super().begin_era(now_s, era)
        self._sent_write = sent


class _TakesAMissingRecordAtOnce(StoreLease):
    def _takeover_time_s(self):
        return float("-inf") if self._record is None else super()._takeover_time_s()


class _TrustsResignationsOfAnEarlierEra(StoreLease):
    def _takeover_time_s(self):
        resigned = self._record is not None and self._record.resigned
        return float("-inf") if resigned else super()._takeover_time_s()


class _RenewsItsRecordOfAnEarlierEra(StoreLease):
    def _names_this_vm(self):
        record = self._record
        return record is not None and (record.vm_id, record.incarnation) == self._own_id


class _CountsTheWaitFromTheRecordOnly(StoreLease):
    def begin_era(self, now_s, era):
        known = self._record, self._unchanged_since_s
        super().begin_era(now_s, era)
        self._era_seen_s = float("-inf")
        self._record, self._unchanged_since_s = known
        self._has_read = known[0] is not None


@pytest.mark.parametrize(
    "broken_lease",
    [
        _ConfirmsWritesOfAnEarlierEra,
        _TakesAMissingRecordAtOnce,
        _TrustsResignationsOfAnEarlierEra,
        _RenewsItsRecordOfAnEarlierEra,
        _CountsTheWaitFromTheRecordOnly,
    ],
)
def test_simulation_of_restores_detects_a_removed_guard(broken_lease):
    """Guards against a simulation that misses the overlaps that a removed guard causes."""
    for seed in range(400):
        simulation = restoring_simulation(
            seed, lambda name, timing: broken_lease(name, f"{name}-1", timing)
        )
        if simulation.overlaps:
            return
    pytest.fail("no overlap in 400 runs")
