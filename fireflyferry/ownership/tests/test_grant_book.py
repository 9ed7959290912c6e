"""Guards against two upstreams holding a key, lost owners, and units that nobody serves."""

import math

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from fireflyferry.leases import GrantHolder, LeaseTiming
from fireflyferry.messages import GrantReply, Hello, OwnerSet
from fireflyferry.ownership import GrantManager, Owner, SaveOwners, SendGrant
from fireflyferry.ownership.tests.faults import FAULTS, apply_fault, run_random_faults
from fireflyferry.ownership.tests.mutants import MUTANTS, StaleBusyReportUsed
from fireflyferry.ownership.tests.world import (
    BUCKETS,
    GROUP,
    UPSTREAMS,
    ViolationError,
    World,
)
from fireflyferry.telemetry.reasons import Reason


class GrantManagerMachine(RuleBasedStateMachine):
    """Checks all invariants of `World` under combinations of faults."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.world = World(seed)
        self.world.run(1.0)

    @rule(
        fault=st.sampled_from(FAULTS),
        name=st.sampled_from(sorted(UPSTREAMS)),
        bucket=st.integers(0, BUCKETS - 1),
        amount=st.floats(0, 1),
    )
    def fault(self, fault, name, bucket, amount):
        apply_fault(self.world, fault, name, bucket, amount)

    def teardown(self):
        if hasattr(self, "world"):
            self.world.settle()


TestGrantManagerMachine = GrantManagerMachine.TestCase


@pytest.mark.parametrize(("mutant", "seed", "faults", "failure"), MUTANTS)
def test_removed_safety_check_is_detected(mutant, seed, faults, failure):
    """Guards against a safety check whose removal the invariants of `World` do not detect."""
    run_random_faults(seed, faults=faults)
    with pytest.raises(ViolationError, match=failure):
        run_random_faults(seed, faults=faults, manager_class=mutant)


def _settled_world(**owners):
    world = World(0)
    world.desired_owners.update({f"b:{b}": owners.get(f"b{b}", "u0") for b in range(BUCKETS)})
    world._set_desired_owners()
    world.settle(3.0)
    return world


def _time_until_owned(world, unit, name):
    start_s = world.now_s
    while getattr(world.grants.owner(world.leader_now_s, unit), "upstream_id", "") != name:
        world.run(0.05)
        assert world.now_s - start_s < 10
    return world.now_s - start_s


def test_units_of_a_lost_upstream_are_served_within_1_7_s():
    """Guards against failure detection or a save that takes longer than the design allows."""
    world = _settled_world(b0="u0")
    world.nodes["u0"].disconnected = True
    start_s = world.now_s
    while not world.grants.is_lost(world.leader_now_s, "u0"):
        world.run(0.05)
    world.move("b:0", "u1")
    _time_until_owned(world, "b:0", "u1")
    assert world.now_s - start_s <= 1.7


def test_pause_of_the_leader_counts_no_upstream_as_lost():
    """Guards against a leader that moves all units because it was paused and read no replies."""
    world = _settled_world(b0="u0")
    world.loss_probability = 1.0
    world.run(0.45)
    world.loss_probability = 0.0
    world.now_s += 10.0
    for node in world.nodes.values():
        node.delay_s = 0.3
    for _ in range(40):
        world.run(0.05)
        assert not any(world.grants.is_lost(world.leader_now_s, name) for name in world.nodes)


def test_new_leader_counts_no_upstream_as_lost_before_it_could_answer():
    """Guards against a takeover that moves all units before the first replies arrive."""
    world = _settled_world(b0="u0")
    world._send_hello = lambda node: None
    world.takeover(resign=False)
    for _ in range(40):
        assert not world.grants.is_lost(world.leader_now_s, "u0")
        world.run(0.05)
    assert world.grants.owner(world.leader_now_s, "b:0").upstream_id == "u0"


def test_draining_upstream_has_no_units_within_3_s():
    """Guards against units that stay on a draining upstream."""
    world = _settled_world(b0="u0", b1="u0", b2="u0")
    world.drain("u0")
    world.run(3.0)
    assert world.grants.is_draining("u0")
    owners = [world.grants.owner(world.leader_now_s, f"b:{bucket}") for bucket in range(BUCKETS)]
    assert all(isinstance(owner, Owner) and owner.upstream_id != "u0" for owner in owners)


def test_upstream_without_checks_keeps_its_units_until_it_is_gone():
    """Guards against treating an upstream without checks as stopped after some time."""
    world = _settled_world(b0="n0")
    world.nodes["n0"].frozen = True
    world.move("b:0", "u1")
    world.run(20.0)
    assert world.grants.owner(world.leader_now_s, "b:0") is Reason.OWNER_HELD
    assert not world.grants.is_lost(world.leader_now_s, "n0")
    world.replace("n0")
    assert _time_until_owned(world, "b:0", "u1") < 1.0


def test_unit_stays_while_its_next_owner_does_not_answer():
    """Guards against releasing a unit that no other upstream can take."""
    world = _settled_world(b0="u0")
    world.nodes["u1"].frozen = True
    world.run(2.0)
    world.move("b:0", "u1")
    world.run(5.0)
    assert world.grants.owner(world.leader_now_s, "b:0").upstream_id == "u0"


def test_leader_change_keeps_units_without_checks_served_and_in_place():
    """Guards against an earlier leader's delayed forward that runs while the next owner serves."""
    world = _settled_world(b0="n0")
    world.takeover(resign=False)
    world.run(1.0)
    assert world.grants.owner(world.leader_now_s, "b:0").upstream_id == "n0"
    world.move("b:0", "u1")
    world.run(10.0)
    assert world.grants.owner(world.leader_now_s, "b:0").upstream_id == "n0"
    world.stop_earlier_leaders()
    assert _time_until_owned(world, "b:0", "u1") < 1.5


def test_no_owner_and_no_message_without_authority():
    """Guards against forwards and grants by a leader whose authority has ended."""
    world = _settled_world(b0="u0")
    assert isinstance(world.grants.owner(world.leader_now_s, "b:0"), Owner)
    assert world.grants.tick(world.leader_now_s, world.leader_now_s) == []
    assert world.grants.owner(world.leader_now_s, "b:0") is Reason.OWNER_UNAVAILABLE


def test_reply_of_another_upstream_or_unknown_message_is_ignored():
    """Guards against a mixed-up reply that counts as an acknowledgement."""
    grants = GrantManager(GROUP, LeaseTiming())
    grants.begin_term(0.0, 1, OwnerSet(GROUP, 0, 1, {"b:0": "u0"}))
    sent = grants.tick(0.0, 1.2)
    reply = GrantReply("u1", "t", True, 1, 1)
    grants.on_grant_reply(0.1, "u0", 0.0, reply)
    grants.on_grant_reply(0.1, "u0", 0.05, GrantReply("u0", "t", True, 1, 1))
    assert len(sent) == 2
    assert grants.owner(0.1, "b:0") is Reason.OWNER_UNAVAILABLE


@pytest.mark.parametrize("moves_unit", [False, True])
def test_restarted_upstream_gets_its_units_under_higher_fences(moves_unit):
    """Guards against a fence at two processes, the second of which has the id of the first.

    If a unit moves to the upstream at that time, its next message is a full set in any case.
    """
    world = _settled_world(b2="u1")
    node = world.nodes["u0"]
    before = node.holder.held_units(node.clock_s(world.now_s))
    world.restart("u0")
    if moves_unit:
        world.move("b:2", "u0")
    world.settle(3.0)
    after = node.holder.held_units(node.clock_s(world.now_s))
    assert before.keys() <= after.keys()
    assert all(after[unit].fence > grant.fence for unit, grant in before.items())


def test_term_must_rise():
    """Guards against fences that are reused under the same term."""
    grants = GrantManager(GROUP, LeaseTiming())
    grants.begin_term(0.0, 2, None)
    with pytest.raises(ValueError, match="term 1 is not above 2"):
        grants.begin_term(0.0, 1, None)
    # If another leader's late write changed the owners, they are read again before any grant.
    grants.begin_term(0.0, 2, None)
    save = next(action for action in grants.tick(0.0, 1.2) if isinstance(action, SaveOwners))
    grants.on_owners_saved(0.0, save.save_id)
    with pytest.raises(ValueError, match="term 2 is not above 2"):
        grants.begin_term(0.0, 2, None)


def _run_late_request(manager_class):
    """Start an earlier leader's request just before that leader is reported as stopped."""
    world = World(0, manager_class=manager_class)
    world.desired_owners["b:0"] = "n0"
    world._set_desired_owners()
    world.run(2.0)
    world.request("y0")
    arrival = world.events[-1]
    arrival.at_s = math.inf
    world.move("b:0", "u1")
    world.run(1.0)
    world.takeover(resign=False)
    world.run(1.0)
    arrival.at_s = world.now_s
    world._deliver_due_events()
    world.events[-1].at_s = world.now_s + 3.0
    world.stop_earlier_leaders()
    world.run(2.0)
    assert world.grants.owner(world.leader_now_s, "b:0") is Reason.OWNER_HELD
    world.settle()


def test_busy_report_from_before_the_earlier_leader_stopped_is_not_used():
    """Guards against moving a unit while the earlier leader's last request runs."""
    _run_late_request(GrantManager)
    with pytest.raises(ViolationError, match="is held by"):
        _run_late_request(StaleBusyReportUsed)


@pytest.mark.parametrize(("saved_term", "granted"), [(2, True), (1, False)])
def test_sets_wait_for_a_save_under_the_term(saved_term, granted):
    """Guards against a needless wait, and against grants that a late write makes wrong."""
    grants, holder = GrantManager(GROUP, LeaseTiming()), GrantHolder("u0", "run")
    grants.begin_term(0.0, 2, OwnerSet(GROUP, saved_term, 1, {"b:0": "u0"}))
    grants.on_hello(0.0, 0.0, Hello("u0", "janela", 2, 100, "grants", holder.token(0.0)))
    sent = [action.message for action in grants.tick(0.1, 1.2) if isinstance(action, SendGrant)]
    assert [message.units is not None for message in sent] == [granted]


def test_same_leader_keeps_pending_releases_in_a_new_term():
    """Guards against a raised term that loses track of units held under the earlier term."""
    world = _settled_world(b0="u0")
    world.nodes["u0"].disconnected = True
    saved = OwnerSet(GROUP, 1, 99, {"b:0": "u1", "b:1": "u0", "b:2": "u0"})
    world.grants.begin_term(world.leader_now_s, 2, saved, None, True)
    world.store, world.term = saved, 2
    world.grants.tick(world.leader_now_s, world.leader_now_s + 1.0)
    assert world.grants._pending_releases["b:0"].keys() >= {"u0"}
    assert world.grants.owner(world.leader_now_s, "b:0") is Reason.OWNER_UNAVAILABLE
