"""Guards against one odd record that costs the others of its list, or ends what reads the list."""

import orjson
import pytest

from fireflyferry.edges.base import StoredObject
from fireflyferry.edges.system_clock import SystemClock
from fireflyferry.entry.state import VmState
from fireflyferry.entry.tests.fakes import entry_vm
from fireflyferry.membership import bootstrap_placement
from fireflyferry.messages import GroupId, GroupRecord, VmIncarnation, encode
from fireflyferry.messages.control import LostVm

THIS_VM = VmIncarnation("e-1", "a")
GROUP = GroupId("janela", "natal-1", 0)
RECORD = GroupRecord(GROUP, 3, THIS_VM)
PLACEMENT = bootstrap_placement("janela", 64, {GROUP: 1})
GOOD_OBJECTS = (
    StoredObject(f"groups/{GROUP}", 2, encode(RECORD)),
    StoredObject("placements/janela", 2, encode(PLACEMENT)),
)


def nested(levels):
    return b"[" * levels + b"]" * levels


def as_json(value):
    return orjson.loads(encode(value))


# Guards against objects that this VM never applies because an odd one came before them.
@pytest.mark.parametrize("name", ["config/tables", "groups/x", "placements/x", "vms"])
@pytest.mark.parametrize(
    "data",
    [b"", b"\xff", b"5", b"{}", nested(300), nested(900), nested(1000), nested(5000)],
    ids=lambda data: str(len(data)),
)
def test_state_applies_the_objects_after_an_odd_one(name, data):
    state = VmState(THIS_VM, "natal", "natal-1", SystemClock())
    state.apply((StoredObject(name, 1, data), *GOOD_OBJECTS))
    assert (state.placements, state.records[GROUP].record) == ({"janela": PLACEMENT}, RECORD)


# Guards against an error in what receives an object that costs the other objects.
def test_state_applies_the_objects_after_a_failed_callback():
    def fail(_):
        raise RuntimeError("unexpected")

    state = VmState(THIS_VM, "natal", "natal-1", SystemClock())
    state.on_declared_lost.append(fail)
    state.apply((StoredObject("config/lost/x", 1, encode(LostVm("x"))), *GOOD_OBJECTS))
    assert GROUP in state.records


# Guards against requests that fail in the lookup of a group, and records of other groups.
@pytest.mark.parametrize(
    ("name", "content"),
    [
        ("groups/janela/natal-1/7", RECORD),
        ("placements/other", PLACEMENT),
        ("placements/janela", {**as_json(PLACEMENT), "runs": []}),
        ("placements/janela", {**as_json(PLACEMENT), "buckets": 0}),
        ("placements/janela", {**as_json(PLACEMENT), "buckets": 2**40}),
        ("placements/janela", {**as_json(PLACEMENT), "buckets": "64"}),
        ("placements/janela", {**as_json(PLACEMENT), "runs": as_json(PLACEMENT)["runs"] * 2}),
    ],
)
def test_object_that_contradicts_itself_or_its_name_changes_nothing(name, content):
    state = VmState(THIS_VM, "natal", "natal-1", SystemClock())
    state.apply(GOOD_OBJECTS)
    state.apply((StoredObject(name, 9, encode(content)),))
    assert (state.placements, state.records[GROUP].version) == ({"janela": PLACEMENT}, 2)


# Guards against a VM that no longer learns of other VMs because of one entry in the feed's list.
@pytest.mark.parametrize("odd", [None, "e-9", [], {"vm_id": "e-9"}, {"vm_id": ["e-9"]}])
def test_state_keeps_the_vms_beside_an_odd_entry(odd):
    state = VmState(THIS_VM, "natal", "natal-1", SystemClock())
    good = [entry_vm("e-1", "natal-1"), entry_vm("e-2", "natal-1")]
    data = encode({"entries": [good[0], odd, good[1]]})
    state.apply((StoredObject("vms", 1, data),))
    assert state.vm_table.entries == tuple(good)
