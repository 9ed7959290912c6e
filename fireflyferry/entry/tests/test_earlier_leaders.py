"""Moves of units on upstreams without checks after a change of leader.

Such a unit moves again once the earlier leaders have stopped.
"""

import asyncio
from types import SimpleNamespace

import pytest

from fireflyferry.entry.control import ControlLoop
from fireflyferry.entry.earlier_leaders import UNKNOWN_LEADER, earlier_leaders
from fireflyferry.entry.lease_system import LeaseSystem
from fireflyferry.entry.owner_system import OwnerSystem
from fireflyferry.entry.role_system import RoleSystem
from fireflyferry.entry.tests.support import GROUP, SystemClock
from fireflyferry.entry.tests.test_forwards import KEY, UNIT, Leader
from fireflyferry.leases import LeaseTiming
from fireflyferry.membership import VmTable
from fireflyferry.messages import (
    Heartbeat,
    HeartbeatReply,
    OwnerSet,
    VmEntry,
    VmIncarnation,
    decode,
    encode,
)

THIS_VM = VmIncarnation("vm-me", "1")
PREVIOUS_LEADER = VmIncarnation("vm-old", "1")
EARLIER_LEADER = VmIncarnation("vm-older", "1")
ENTRY = VmEntry(PREVIOUS_LEADER.vm_id, "entry", "r", "dc", "127.0.0.1:1", "127.0.0.1:2")


def _new_leader(*earlier):
    leader = Leader()
    leader.place("n0")
    saved = OwnerSet(GROUP, 1, 9, {UNIT: "n0"}, unchecked=("n0", "n1"))
    leader.grants.begin_term(leader.now_s, 2, saved)
    leader.runtime.authority.record = SimpleNamespace(term=2, standby=None)
    leader.runtime.authority.on_heartbeat_reply = lambda *args: None
    leader.runtime.authority.replace_standby = lambda *args: None
    leader.runtime.grants_term = leader.term = 2
    leader.runtime.earlier_leaders = set(earlier)
    leader.place("n1")
    assert leader.owner().upstream_id == "n0", "the earlier leaders have not stopped"
    return leader


def _deliver_reply(leader, reply):
    async def run():
        async def heartbeat(address, messages):
            return (reply,)

        state = SimpleNamespace(vm_table=SimpleNamespace(get=lambda vm_id: ENTRY))
        peers = SimpleNamespace(heartbeat=heartbeat)
        clock = SimpleNamespace(monotonic_s=lambda: leader.now_s)
        leases = LeaseSystem(state, clock, None, peers, None)
        await leases._send_heartbeats(reply.standby.vm_id, (), {GROUP: leader.runtime})

    asyncio.run(run())
    leader.run_ticks()


def test_unit_moves_once_all_earlier_leaders_confirmed_that_they_stopped():
    """Guards against units that never move, and a move after only one of two leaders stopped."""
    leader = _new_leader(PREVIOUS_LEADER, EARLIER_LEADER)
    _deliver_reply(leader, HeartbeatReply(GROUP, 2, PREVIOUS_LEADER, 1.0, stopped=False))
    _deliver_reply(leader, HeartbeatReply(GROUP, 1, PREVIOUS_LEADER, 1.0, stopped=True))
    assert leader.runtime.earlier_leaders == {PREVIOUS_LEADER, EARLIER_LEADER}
    _deliver_reply(leader, HeartbeatReply(GROUP, 2, PREVIOUS_LEADER, 1.0, stopped=True))
    assert leader.owner().upstream_id == "n0"
    _deliver_reply(leader, HeartbeatReply(GROUP, 2, EARLIER_LEADER, 1.0, stopped=True))
    assert leader.owner().upstream_id == "n1"


@pytest.mark.parametrize(
    ("evidence", "moves"),
    [
        ("none", False),
        ("same", False),
        ("stale", False),
        ("newer", True),
        ("gone", True),
        ("operator", True),
    ],
)
def test_unit_moves_once_the_earlier_leader_has_ended(evidence, moves):
    """Guards against a move due to an identity that an earlier incarnation may have returned."""
    leader = _new_leader(PREVIOUS_LEADER)
    table = VmTable()
    table.update(0.0, (ENTRY,))
    state = SimpleNamespace(vm_table=table, vm_id=THIS_VM.vm_id, this_vm=THIS_VM, region="r")
    roles = RoleSystem(
        state, None, None, None, LeaseTiming(), SimpleNamespace(start=_close_coroutine)
    )
    now_s = leader.runtime.led_since_s = leader.now_s
    if evidence in ("same", "stale", "newer"):
        identity = (
            PREVIOUS_LEADER if evidence == "same" else VmIncarnation(PREVIOUS_LEADER.vm_id, "2")
        )
        roles._identities[PREVIOUS_LEADER.vm_id] = (
            now_s - (0.5 if evidence == "stale" else 0.0),
            identity,
        )
    if evidence == "gone":
        table.update(0.0, ())
    if evidence == "operator":
        roles.declared_lost.add(PREVIOUS_LEADER)
    roles._desired_standby = lambda *args: None
    leader.runtime.last_pledge_at_s = float("-inf")
    roles._manage_standby(now_s, leader.runtime, None, False)
    leader.run_ticks()
    assert leader.owner().upstream_id == ("n1" if moves else "n0")


def _close_coroutine(coroutine):
    coroutine.close()


@pytest.mark.parametrize("case", ["stopped", "leads", "old record", "forward"])
def test_standby_confirms_only_that_it_has_stopped(case):
    """Guards against a confirmation by a VM that may still forward or has forwards in flight."""
    leader = Leader()
    leader.place("n0")
    if case == "forward":
        assert leader.view.begin_forward(leader.now_s, GROUP, UNIT, KEY).upstream_id == "n0"
    leader.is_leader = case == "leads"
    authority = leader.runtime.authority
    authority.record = SimpleNamespace(term=1 if case == "old record" else 2)
    authority.on_heartbeat = lambda now_s, heartbeat: HeartbeatReply(
        GROUP, heartbeat.term, PREVIOUS_LEADER, 1.0
    )
    roles = SimpleNamespace(join=lambda group, runtimes: leader.runtime)
    control_loop = SimpleNamespace(_roles=roles, _runtimes={}, _clock=SystemClock(), _leaving=False)
    reply = ControlLoop._on_heartbeat(control_loop, Heartbeat(GROUP, 2, THIS_VM, PREVIOUS_LEADER))
    assert reply.stopped == (case == "stopped")


def test_leaders_of_saved_owners():
    """Guards against owners saved without leaders that count as owners without earlier leaders."""
    assert earlier_leaders(None, THIS_VM) == set()
    assert earlier_leaders(OwnerSet(GROUP, 1, 1, {}), THIS_VM) == {UNKNOWN_LEADER}
    assert earlier_leaders(
        OwnerSet(GROUP, 1, 1, {}, leaders=(THIS_VM, PREVIOUS_LEADER)), THIS_VM
    ) == {PREVIOUS_LEADER}


@pytest.mark.parametrize("saved_by", [PREVIOUS_LEADER, THIS_VM])
def test_new_leader_saves_itself_with_the_earlier_leaders(saved_by):
    """Guards against a third leader that waits only for the second one to stop."""
    leader = Leader()
    saved = OwnerSet(GROUP, 1, 9, {UNIT: "n0"}, unchecked=("n0", "n1"), leaders=(saved_by,))
    written = []

    async def get(name):
        return SimpleNamespace(data=encode(saved), version=3)

    async def put(name, data, version):
        written.append(decode(data, OwnerSet))
        return version + 1

    async def run():
        clock = SimpleNamespace(monotonic_s=lambda: leader.now_s)
        store = SimpleNamespace(get=get, put=put)
        state = SimpleNamespace(this_vm=THIS_VM)
        owners = OwnerSystem(state, clock, store, None, leader.upstreams, None, lambda _: None)
        authority = leader.runtime.authority
        authority.record, authority.replica = SimpleNamespace(term=2), None
        authority.previous_grants_until_s = None
        await owners._load(leader.runtime, 2)

    asyncio.run(run())
    leader.term = 2
    assert written[0].leaders == tuple(sorted({THIS_VM, saved_by}))
    assert (written[0].term, written[0].owners) == (2, saved.owners)
    leader.place("n1")
    assert leader.owner().upstream_id == ("n0" if saved_by == PREVIOUS_LEADER else "n1")
