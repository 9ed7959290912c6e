"""Units on upstreams that check nothing move again once the earlier leaders have stopped."""

import asyncio
from types import SimpleNamespace

import pytest

from fireflyferry.entry.control import Control
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

ME = VmIncarnation("vm-me", "1")
OLD = VmIncarnation("vm-old", "1")
OLDER = VmIncarnation("vm-older", "1")
ENTRY = VmEntry(OLD.vm_id, "entry", "r", "dc", "127.0.0.1:1", "127.0.0.1:2")


def _new_leader(*earlier):
    leader = Leader()
    leader.place("n0")
    saved = OwnerSet(GROUP, 1, 9, {UNIT: "n0"}, unchecked=("n0", "n1"))
    leader.grants.begin_term(leader.now_s, 2, saved)
    leader.runtime.authority.record = SimpleNamespace(term=2, standby=None)
    leader.runtime.authority.on_heartbeat_reply = lambda *args: None
    leader.runtime.authority.replace_standby = lambda *args: None
    leader.runtime.book_term = leader.term = 2
    leader.runtime.earlier_leaders = set(earlier)
    leader.place("n1")
    assert leader.owner().upstream_id == "n0", "the earlier leaders have not stopped"
    return leader


def _reply(leader, reply):
    async def run():
        async def heartbeat(address, messages):
            return (reply,)

        state = SimpleNamespace(vm_table=SimpleNamespace(get=lambda vm_id: ENTRY))
        peers = SimpleNamespace(heartbeat=heartbeat)
        clock = SimpleNamespace(monotonic_s=lambda: leader.now_s)
        leases = LeaseSystem(state, clock, None, peers, None)
        await leases._heartbeat(reply.standby.vm_id, (), {GROUP: leader.runtime})

    asyncio.run(run())
    leader.run_ticks()


def test_unit_moves_once_all_earlier_leaders_confirmed_that_they_stopped():
    """Guards against held units for ever, and against a move that one of two leaders allows."""
    leader = _new_leader(OLD, OLDER)
    _reply(leader, HeartbeatReply(GROUP, 2, OLD, 1.0, stopped=False))
    _reply(leader, HeartbeatReply(GROUP, 1, OLD, 1.0, stopped=True))
    assert leader.runtime.earlier_leaders == {OLD, OLDER}
    _reply(leader, HeartbeatReply(GROUP, 2, OLD, 1.0, stopped=True))
    assert leader.owner().upstream_id == "n0"
    _reply(leader, HeartbeatReply(GROUP, 2, OLDER, 1.0, stopped=True))
    assert leader.owner().upstream_id == "n1"


@pytest.mark.parametrize(
    ("word", "moves"),
    [
        ("none", False),
        ("same", False),
        ("stale", False),
        ("newer", True),
        ("gone", True),
        ("operator", True),
    ],
)
def test_unit_moves_once_the_earlier_leader_has_ended(word, moves):
    """Guards against a move on an identity that an earlier run may have given."""
    leader = _new_leader(OLD)
    table = VmTable()
    table.update(0.0, (ENTRY,))
    state = SimpleNamespace(vm_table=table, vm_id=ME.vm_id, me=ME, region="r")
    roles = RoleSystem(state, None, None, None, LeaseTiming(), SimpleNamespace(start=_close))
    now_s = leader.runtime.led_since_s = leader.now_s
    if word in ("same", "stale", "newer"):
        found = OLD if word == "same" else VmIncarnation(OLD.vm_id, "2")
        roles._identities[OLD.vm_id] = (now_s - (0.5 if word == "stale" else 0.0), found)
    if word == "gone":
        table.update(0.0, ())
    if word == "operator":
        roles.declared_lost.add(OLD)
    roles._wanted_standby = lambda *args: None
    leader.runtime.heard_at_s = float("-inf")
    roles._lead(now_s, leader.runtime, None, False)
    leader.run_ticks()
    assert leader.owner().upstream_id == ("n1" if moves else "n0")


def _close(task):
    task.close()


@pytest.mark.parametrize("case", ["stopped", "leads", "old record", "forward"])
def test_standby_confirms_only_that_it_has_stopped(case):
    """Guards against a confirmation by a run that may still send or has work under way."""
    leader = Leader()
    leader.place("n0")
    if case == "forward":
        assert leader.view.begin_forward(leader.now_s, GROUP, UNIT, KEY).upstream_id == "n0"
    leader.is_leader = case == "leads"
    authority = leader.runtime.authority
    authority.record = SimpleNamespace(term=1 if case == "old record" else 2)
    authority.on_heartbeat = lambda now_s, beat: HeartbeatReply(GROUP, beat.term, OLD, 1.0)
    roles = SimpleNamespace(join=lambda group, runtimes: leader.runtime)
    control = SimpleNamespace(_roles=roles, _runtimes={}, _clock=SystemClock(), _leaving=False)
    reply = Control._on_heartbeat(control, Heartbeat(GROUP, 2, ME, OLD))
    assert reply.stopped == (case == "stopped")


def test_leaders_of_saved_owners():
    """Guards against owners saved without leaders that pass for owners without any."""
    assert earlier_leaders(None, ME) == set()
    assert earlier_leaders(OwnerSet(GROUP, 1, 1, {}), ME) == {UNKNOWN_LEADER}
    assert earlier_leaders(OwnerSet(GROUP, 1, 1, {}, leaders=(ME, OLD)), ME) == {OLD}


@pytest.mark.parametrize("saved_by", [OLD, ME])
def test_new_leader_saves_itself_with_the_earlier_leaders(saved_by):
    """Guards against a third leader that waits for the second one only."""
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
        state = SimpleNamespace(me=ME)
        owners = OwnerSystem(state, clock, store, None, leader.upstreams, None, lambda _: None)
        authority = leader.runtime.authority
        authority.record, authority.replica = SimpleNamespace(term=2), None
        authority.previous_grants_until_s = None
        await owners._load(leader.runtime, 2)

    asyncio.run(run())
    leader.term = 2
    assert written[0].leaders == tuple(sorted({ME, saved_by}))
    assert (written[0].term, written[0].owners) == (2, saved.owners)
    leader.place("n1")
    assert leader.owner().upstream_id == ("n0" if saved_by == OLD else "n1")
