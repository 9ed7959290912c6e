"""Guards against a VM that leads without authority, and avoidable gaps without a leader."""

import attrs
import pytest

from fireflyferry.leases import (
    GroupAuthority,
    LeaseTiming,
    TakeoverCause,
    WriteOutcome,
    WriteRecord,
)
from fireflyferry.leases.trial import FaultInjector, SimulatedWorld, SimulationOptions
from fireflyferry.leases.trial.processes import GROUP
from fireflyferry.messages import GroupRecord, Heartbeat, HeartbeatReply, OwnerSet, VmIncarnation

A, B, C = (VmIncarnation(name, "1") for name in ("a", "b", "c"))
RECORD = GroupRecord(GROUP, 3, A, B, session_s=1.2)


class HoldAuthority(GroupAuthority):
    def __init__(self, *args):
        super().__init__(*args, hold=True)


def world_after(duration_s, **options):
    world = SimulatedWorld(1, SimulationOptions(**options))
    world.run(duration_s)
    return world, FaultInjector(world), *world.vms


def make_authority(this_vm=A, record=RECORD, **timing):
    """Return an authority that has read the record at time 0 and has no pledge or session yet."""
    authority = GroupAuthority(GROUP, this_vm, LeaseTiming(**timing))
    authority.observe_record(0.0, 0.0, record, 7)
    return authority


def receive_pledge(authority, now_s, unlimited=False, **acknowledged):
    reply = HeartbeatReply(GROUP, 3, B, 1.2, unlimited, **acknowledged)
    authority.on_heartbeat_reply(now_s, now_s, reply)


def write_of(actions):
    return next((action for action in actions if isinstance(action, WriteRecord)), None)


def test_store_outage_causes_no_gap_and_no_write_while_leader_and_standby_run():
    world, faults, *_ = world_after(2.0)
    faults.store_outage(30.0)
    version = world.version
    world.run(40.0)
    assert (world.version, world.longest_gap_s) == (version, pytest.approx(0.0, abs=0.06))


def test_hold_delays_takeover_until_the_operator_declares_the_leader_lost():
    world, _, leader, standby, _ = world_after(2.0, authority=HoldAuthority)
    world.stop(leader)
    world.run(20.0)
    assert world.leader() is None
    standby.authority.declare_lost(standby.now_s, leader.incarnation, by_operator=True)
    world.run(1.0)
    assert world.leader() is standby


def test_standby_shutdown_does_not_end_authority_during_a_store_outage():
    world, faults, leader, standby, _ = world_after(2.0)
    faults.store_outage(60.0)
    standby.authority.leave(standby.now_s)
    world.run(0.5)
    world.stop(standby)
    world.run(30.0)
    assert world.leader() is leader
    assert world.longest_gap_s < 0.06


def test_unlimited_pledge_limits_grants_and_requires_a_running_leader():
    authority = make_authority()
    receive_pledge(authority, 1.0, unlimited=True)
    assert authority.authority_until_s() <= 1.0 + 1.2
    assert not authority.is_leader(9.0)
    authority.tick(9.0)
    assert authority.is_leader(9.0)


def test_third_vm_waits_for_lost_reports_and_for_a_pledge_and_a_session():
    world, _, leader, standby, third = world_after(2.0)
    world.stop(leader)
    world.stop(standby)
    world.run(4.3)
    assert world.leader() is None
    world.run(0.7)
    assert world.leader() is third
    assert third.authority.cause is TakeoverCause.DECLARED_LOST


def test_resignation_hands_over_and_reports_until_when_earlier_grants_are_valid():
    world, faults, _, standby, _ = world_after(2.0)
    faults.resign()
    world.run(1.0)
    assert world.leader() is standby
    assert standby.authority.cause is TakeoverCause.RESIGNED
    assert standby.authority.previous_grants_until_s > standby.now_s
    assert world.longest_gap_s < 0.3


def test_resignation_waits_for_the_store_and_for_an_answering_standby():
    world, faults, leader, *_ = world_after(2.0)
    faults.store_outage(5.0)
    faults.resign()
    world.run(4.0)
    assert world.leader() is leader
    authority = make_authority()
    authority.resign(1.0)
    assert not write_of(authority.tick(1.0)).record.resigned


def test_resigned_leader_leads_again_if_the_standby_is_gone():
    world, faults, leader, standby, _ = world_after(2.0, vms=3)
    faults.resign()
    while not world.record.resigned:
        world.run(0.005)
    world.stop(standby)
    world.run(4.0)
    assert world.leader() is leader
    assert world.record.term == 2


def test_raised_term_keeps_the_leader():
    world, faults, leader, *_ = world_after(2.0)
    faults.raise_term(4)
    world.run(1.0)
    assert (world.leader(), world.record.term) == (leader, 6)
    assert leader.authority.cause is TakeoverCause.TERM_RAISED


def test_standby_waits_for_the_session_length_in_the_record():
    record = attrs.evolve(RECORD, session_s=5.0)
    standby = make_authority(B, record)
    assert write_of(standby.tick(4.9)) is None
    assert write_of(standby.tick(5.1)).record.leader == B


def test_pledge_of_another_term_or_incarnation_does_not_count():
    authority = make_authority()
    for reply in (
        HeartbeatReply(GROUP, 2, B, 1.2),
        HeartbeatReply(GROUP, 3, attrs.evolve(B, incarnation="2"), 1.2),
        HeartbeatReply(GROUP, 3, B, 0.0),
        HeartbeatReply(GROUP, 3, B, float("inf")),
    ):
        authority.on_heartbeat_reply(1.0, 1.0, reply)
    assert not authority.is_leader(1.0)


def test_standby_refuses_a_heartbeat_for_another_incarnation_term_or_leader():
    standby = make_authority(B)
    valid = Heartbeat(GROUP, 3, A, B)
    assert standby.on_heartbeat(1.0, valid).pledge_s == 1.2
    for change in ({"term": 2}, {"leader": C}, {"standby": C}):
        assert standby.on_heartbeat(1.0, attrs.evolve(valid, **change)).pledge_s == 0.0


def test_concurrent_creation_has_one_leader():
    first, second = (GroupAuthority(GROUP, this_vm, LeaseTiming()) for this_vm in (A, B))
    for authority in (first, second):
        authority.observe_record(0.0, 0.0, None, 0)
        authority.create(0.0, None)
        assert write_of(authority.tick(0.0)).expected_version == 0
    stored_record = first._pending_write.record
    first.on_write_result(0.1, 0.0, stored_record.write_id, WriteOutcome.STORED, 1)
    second.on_write_result(0.1, 0.0, second._pending_write.record.write_id, WriteOutcome.CONFLICT)
    second.observe_record(0.2, 0.1, stored_record, 1)
    assert first.is_leader(0.2)
    assert not second.is_leader(0.2)


def test_unknown_write_is_confirmed_by_reading_it_back():
    authority = make_authority()
    write = write_of(authority.tick(1.0))
    authority.on_write_result(1.5, 1.0, write.record.write_id, WriteOutcome.UNKNOWN)
    authority.observe_record(1.6, 1.5, RECORD, 7)
    assert authority._pending_write is not None
    authority.observe_record(1.7, 1.6, write.record, 8)
    assert authority.authority_until_s() == pytest.approx(1.0 + 1.2 / 1.01)


def test_owners_are_replicated_until_acknowledged_and_only_for_this_term():
    authority = make_authority()
    owners = OwnerSet(GROUP, 3, 1, {"b:0": "u-0"})
    authority.replicate(1.0, owners)
    assert authority.tick(1.0)[-1].heartbeat.owners == owners
    receive_pledge(authority, 1.1, owners_term=3, owners_sequence=1)
    assert authority.owners_acknowledged == (3, 1)
    assert authority.tick(1.3)[-1].heartbeat.owners is None
    with pytest.raises(ValueError, match="term 2"):
        authority.replicate(1.4, attrs.evolve(owners, term=2))


def test_vm_cannot_be_its_own_standby():
    with pytest.raises(ValueError, match="standby of itself"):
        make_authority().replace_standby(1.0, VmIncarnation("a", "2"))
