"""Last hops while some VMs reach no upstream.

Guards against two VMs that both allot the slots of an upstream, and against upstreams that no
longer get requests because all VMs believe that another one sends them.
"""

import collections
import random

import attrs
import pytest

from fireflyferry.balancing import EntryVm, VmDirectory

REGIONS = {"dc-1": "r-1", "dc-2": "r-1", "dc-3": "r-2", "dc-4": "r-2"}
VMS = [
    EntryVm(f"{data_centre}/{number}", "i1", f"{data_centre}:{number}", data_centre)
    for data_centre in REGIONS
    for number in range(3)
]
UPSTREAMS = [f"u{number}" for number in range(40)]


def directories(cut_off, vms=VMS):
    """Return the directory of each VM; all know the same VMs as cut off."""
    result = []
    for vm in vms:
        directory = VmDirectory(vm, REGIONS)
        directory.apply(vms)
        for each in cut_off:
            assert directory.mark_cut_off(each)
        result.append(directory)
    return result


def of(*data_centres):
    return [vm for vm in VMS if vm.data_centre in data_centres]


@pytest.mark.parametrize("by_capacity", [False, True])
@pytest.mark.parametrize(
    ("cut_off", "expected"),
    [
        (of("dc-1")[:1], of("dc-1")[1:]),
        (of("dc-1"), of("dc-2")),
        (of("dc-1", "dc-2")[:-1], of("dc-2")[-1:]),
        (of("dc-1", "dc-2"), of("dc-3", "dc-4")),
        (VMS[:-1], VMS[-1:]),
        (VMS, of("dc-1")),
    ],
)
def test_all_vms_choose_the_same_last_hop_that_is_not_cut_off(cut_off, expected, by_capacity):
    fleet = directories(cut_off)
    chosen = collections.Counter()
    for name in UPSTREAMS:
        (vm_id,) = {each.last_hop(name, "dc-1", by_capacity).vm_id for each in fleet}
        chosen[vm_id] += 1
    assert set(chosen) <= {vm.vm_id for vm in expected}
    assert by_capacity or set(chosen) == {vm.vm_id for vm in expected}


def test_all_vms_agree_whichever_are_cut_off():
    rng = random.Random(1)
    for _ in range(50):
        cut_off = rng.sample(VMS, rng.randrange(len(VMS)))
        fleet = directories(cut_off)
        for name in UPSTREAMS[:8]:
            data_centre = rng.choice(list(REGIONS))
            (vm,) = {each.last_hop(name, data_centre) for each in fleet}
            assert vm not in cut_off


def test_last_hop_returns_to_the_preferred_vm_at_the_end_of_the_cut():
    before, directory = directories([])[-1], directories(of("dc-1"))[-1]
    for vm in of("dc-1"):
        assert directory.clear_cut_off(vm) and not directory.clear_cut_off(vm)
    for name in UPSTREAMS:
        assert directory.last_hop(name, "dc-1") == before.last_hop(name, "dc-1")


def test_mark_belongs_to_one_incarnation():
    directory = directories(VMS[:1])[-1]
    next_vm = attrs.evolve(VMS[0], incarnation="i2")
    assert not directory.clear_cut_off(next_vm) and directory.is_cut_off(VMS[0])
    directory.apply([next_vm, *VMS[1:]])
    assert not directory.is_cut_off(next_vm) and not directory.mark_cut_off(VMS[0])
    assert next_vm in {directory.last_hop(name, "dc-1") for name in UPSTREAMS}


@pytest.mark.parametrize(
    ("cut_off", "suspected", "hands_over"),
    [
        (VMS[:1], [], True),
        (VMS[1:], [], False),
        (VMS, [], False),
        (VMS[:-1], [], True),
        (VMS[:-1], VMS[-1:], False),
    ],
)
def test_vm_hands_over_only_while_another_one_is_left(cut_off, suspected, hands_over):
    directory = directories(cut_off)[0]
    for vm in suspected:
        assert directory.suspect(vm)
    assert directory.hands_over is hands_over


def test_suspected_vm_is_no_reason_to_leave_the_region():
    """Guards against traffic between regions beyond what is needed while VMs restart."""
    directory = directories([], VMS[:1] + of("dc-3"))[1]
    assert directory.suspect(VMS[0]) and directory.last_hop("u1", "dc-1") == directory.this_vm
