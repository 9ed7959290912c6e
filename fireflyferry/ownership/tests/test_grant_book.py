"""Guards against two upstreams holding a key, lost owners, and units that stay unserved."""

import math

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from fireflyferry.leases import GrantHolder, LeaseTiming
from fireflyferry.messages import GrantReply, Hello, OwnerSet
from fireflyferry.ownership import GrantManager, Owner, SaveOwners, SendGrant
from fireflyferry.ownership.tests.faults import FAULTS, apply, run_random
from fireflyferry.ownership.tests.mutants import MUTANTS, OldBusyReport
from fireflyferry.ownership.tests.world import (
    BUCKETS,
    GROUP,
    UPSTREAMS,
    ViolationError,
    World,
)
from fireflyferry.telemetry.reasons import Reason


class GrantBookMachine(RuleBasedStateMachine):
    """Guards all invariants of `World` under faults in combination."""

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
        apply(self.world, fault, name, bucket, amount)

    def teardown(self):
        if hasattr(self, "world"):
            self.world.settle()


TestGrantBookMachine = GrantBookMachine.TestCase


@pytest.mark.parametrize(("mutant", "seed", "faults", "failure"), MUTANTS)
def test_removed_guard_is_noticed(mutant, seed, faults, failure):
    """Guards against a guard that no invariant of the world depends on."""
    run_random(seed, faults=faults)
    with pytest.raises(ViolationError, match=failure):
        run_random(seed, faults=faults, book_class=mutant)


def _quiet_world(**owners):
    world = World(0)
    world.naive.update({f"b:{b}": owners.get(f"b{b}", "u0") for b in range(BUCKETS)})
    world._desire()
    world.settle(3.0)
    return world


def _time_until_owned(world, unit, name):
    start_s = world.now_s
    while getattr(world.book.owner(world.leader_s, unit), "upstream_id", "") != name:
        world.run(0.05)
        assert world.now_s - start_s < 10
    return world.now_s - start_s


def test_units_of_a_lost_upstream_are_served_within_1_7_s():
    """Guards against a detection or save that takes longer than the design page says."""
    world = _quiet_world(b0="u0")
    world.nodes["u0"].cut = True
    start_s = world.now_s
    while not world.book.is_lost(world.leader_s, "u0"):
        world.run(0.05)
    world.move("b:0", "u1")
    _time_until_owned(world, "b:0", "u1")
    assert world.now_s - start_s <= 1.7


def test_pause_of_the_leader_loses_no_upstream():
    """Guards against a leader that moves all units because it did not read the answers."""
    world = _quiet_world(b0="u0")
    world.loss = 1.0
    world.run(0.45)
    world.loss = 0.0
    world.now_s += 10.0
    for node in world.nodes.values():
        node.delay_s = 0.3
    for _ in range(40):
        world.run(0.05)
        assert not any(world.book.is_lost(world.leader_s, name) for name in world.nodes)


def test_new_leader_loses_no_upstream_before_it_could_answer():
    """Guards against a takeover that moves all units before the first answers."""
    world = _quiet_world(b0="u0")
    world._hello = lambda node: None
    world.takeover(resign=False)
    for _ in range(40):
        assert not world.book.is_lost(world.leader_s, "u0")
        world.run(0.05)
    assert world.book.owner(world.leader_s, "b:0").upstream_id == "u0"


def test_draining_upstream_has_no_units_within_3_s():
    """Guards against new work for an upstream that leaves."""
    world = _quiet_world(b0="u0", b1="u0", b2="u0")
    world.drain("u0")
    world.run(3.0)
    assert world.book.is_draining("u0")
    owners = [world.book.owner(world.leader_s, f"b:{bucket}") for bucket in range(BUCKETS)]
    assert all(isinstance(owner, Owner) and owner.upstream_id != "u0" for owner in owners)


def test_upstream_without_checks_keeps_its_units_until_it_is_gone():
    """Guards against elapsed time as proof that an upstream without checks has stopped."""
    world = _quiet_world(b0="n0")
    world.nodes["n0"].frozen = True
    world.move("b:0", "u1")
    world.run(20.0)
    assert world.book.owner(world.leader_s, "b:0") is Reason.OWNER_HELD
    assert not world.book.is_lost(world.leader_s, "n0")
    world.replace("n0")
    assert _time_until_owned(world, "b:0", "u1") < 1.0


def test_unit_stays_while_its_next_owner_does_not_answer():
    """Guards against a release that leaves a unit with no upstream to go to."""
    world = _quiet_world(b0="u0")
    world.nodes["u1"].frozen = True
    world.run(2.0)
    world.move("b:0", "u1")
    world.run(5.0)
    assert world.book.owner(world.leader_s, "b:0").upstream_id == "u0"


def test_leader_change_keeps_units_without_checks_served_and_in_place():
    """Guards against a delayed forward of the earlier leader that runs beside the next owner."""
    world = _quiet_world(b0="n0")
    world.takeover(resign=False)
    world.run(1.0)
    assert world.book.owner(world.leader_s, "b:0").upstream_id == "n0"
    world.move("b:0", "u1")
    world.run(10.0)
    assert world.book.owner(world.leader_s, "b:0").upstream_id == "n0"
    world.earlier_leaders_stopped()
    assert _time_until_owned(world, "b:0", "u1") < 1.5


def test_no_owner_and_no_message_without_authority():
    """Guards against forwards and grants by a leader whose authority has ended."""
    world = _quiet_world(b0="u0")
    assert isinstance(world.book.owner(world.leader_s, "b:0"), Owner)
    assert world.book.tick(world.leader_s, world.leader_s) == []
    assert world.book.owner(world.leader_s, "b:0") is Reason.OWNER_UNAVAILABLE


def test_reply_of_another_upstream_or_unknown_message_is_ignored():
    """Guards against a crossed answer that is taken for an acknowledgement."""
    book = GrantManager(GROUP, LeaseTiming())
    book.begin_term(0.0, 1, OwnerSet(GROUP, 0, 1, {"b:0": "u0"}))
    sent = book.tick(0.0, 1.2)
    reply = GrantReply("u1", "t", True, 1, 1)
    book.on_grant_reply(0.1, "u0", 0.0, reply)
    book.on_grant_reply(0.1, "u0", 0.05, GrantReply("u0", "t", True, 1, 1))
    assert len(sent) == 2
    assert book.owner(0.1, "b:0") is Reason.OWNER_UNAVAILABLE


def test_term_must_rise():
    """Guards against fences that are used again under the same term."""
    book = GrantManager(GROUP, LeaseTiming())
    book.begin_term(0.0, 2, None)
    with pytest.raises(ValueError, match="term 1 is not above 2"):
        book.begin_term(0.0, 1, None)
    # Owners that another leader's late write changed are read again before anything is granted.
    book.begin_term(0.0, 2, None)
    save = next(action for action in book.tick(0.0, 1.2) if isinstance(action, SaveOwners))
    book.on_owners_saved(0.0, save.save_id)
    with pytest.raises(ValueError, match="term 2 is not above 2"):
        book.begin_term(0.0, 2, None)


def _run_late_request(book_class):
    """Run an earlier leader's request that starts just before that leader is known to be gone."""
    world = World(0, book_class=book_class)
    world.naive["b:0"] = "n0"
    world._desire()
    world.run(2.0)
    world.request("y0")
    arrival = world.events[-1]
    arrival.at_s = math.inf
    world.move("b:0", "u1")
    world.run(1.0)
    world.takeover(resign=False)
    world.run(1.0)
    arrival.at_s = world.now_s
    world._deliver()
    world.events[-1].at_s = world.now_s + 3.0
    world.earlier_leaders_stopped()
    world.run(2.0)
    assert world.book.owner(world.leader_s, "b:0") is Reason.OWNER_HELD
    world.settle()


def test_busy_report_from_before_the_earlier_leaders_end_is_not_used():
    """Guards against a unit that moves while the earlier leader's last request runs."""
    _run_late_request(GrantManager)
    with pytest.raises(ViolationError, match="is held by"):
        _run_late_request(OldBusyReport)


@pytest.mark.parametrize(("saved_term", "granted"), [(2, True), (1, False)])
def test_sets_wait_for_a_save_under_the_term(saved_term, granted):
    """Guards against a needless wait, and against grants that a late write can contradict."""
    book, holder = GrantManager(GROUP, LeaseTiming()), GrantHolder("u0", "run")
    book.begin_term(0.0, 2, OwnerSet(GROUP, saved_term, 1, {"b:0": "u0"}))
    book.on_hello(0.0, 0.0, Hello("u0", "janela", 2, 100, "grants", holder.token(0.0)))
    sent = [action.message for action in book.tick(0.1, 1.2) if isinstance(action, SendGrant)]
    assert [message.units is not None for message in sent] == [granted]


def test_same_leader_keeps_claims_in_a_new_term():
    """Guards against a raised term that forgets what upstreams hold under the earlier one."""
    world = _quiet_world(b0="u0")
    world.nodes["u0"].cut = True
    saved = OwnerSet(GROUP, 1, 99, {"b:0": "u1", "b:1": "u0", "b:2": "u0"})
    world.book.begin_term(world.leader_s, 2, saved, None, True)
    world.store, world.term = saved, 2
    world.book.tick(world.leader_s, world.leader_s + 1.0)
    assert world.book._claims["b:0"].keys() >= {"u0"}
    assert world.book.owner(world.leader_s, "b:0") is Reason.OWNER_UNAVAILABLE
