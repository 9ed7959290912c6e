"""Guards against mirrors that revert to an older version, and wrong assignments to groups.

Each bucket and each upstream must belong to exactly one group.
"""

import collections

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from fireflyferry.edges import StoredObject
from fireflyferry.membership import (
    ObjectMirror,
    VmTable,
    bootstrap_placement,
    group_upstreams,
    preferred_leader,
    preferred_standby,
    relay_order,
)
from fireflyferry.messages import GroupId, VmEntry

ARRIVALS = st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 9)), max_size=20)


def stored(name, version):
    return StoredObject(name, version, f"{name}{version}".encode())


def table_of(*entries):
    table = VmTable()
    table.update(0.0, entries)
    return table


def entry_vms(data_centre, *vm_ids):
    return [VmEntry(vm_id, "entry", "natal", data_centre, vm_id) for vm_id in vm_ids]


def upstreams(data_centre, count):
    return [
        VmEntry(f"u-{data_centre}-{n}", "upstream", "natal", data_centre, "", pool="janela")
        for n in range(count)
    ]


# ObjectMirror


@given(ARRIVALS)
def test_mirror_keeps_the_newest_version_in_any_order_of_arrival(arrivals):
    mirror = ObjectMirror()
    newest = {}
    for name, version in arrivals:
        expected = [stored(name, version)] if version > newest.get(name, 0) else []
        assert mirror.apply((stored(name, version),)) == expected
        newest[name] = max(version, newest.get(name, 0))
    assert {name: mirror.get(name).version for name in newest} == newest


# An object that changes again moves to the end of the order of arrival.
@example([("a", 1), ("b", 1), ("a", 2)], 2)
@given(ARRIVALS, st.integers(0, 20))
def test_follower_gets_each_object_that_changed_after_its_position_once(arrivals, seen_count):
    mirror = ObjectMirror()
    for name, version in arrivals[:seen_count]:
        mirror.apply((stored(name, version),))
    position = mirror.sequence
    changed = {}
    for name, version in arrivals[seen_count:]:
        for item in mirror.apply((stored(name, version),)):
            changed[item.name] = item
    batch = mirror.changes_since(position)
    expected = changed if position else {n: mirror.get(n) for n in "abc" if mirror.get(n)}
    assert len(batch.changes) == len(expected)
    assert {item.name: item for item in batch.changes} == expected
    assert (batch.sequence, batch.reset) == (mirror.sequence, position == 0)


def test_follower_with_the_position_of_another_relay_gets_everything():
    mirror = ObjectMirror()
    mirror.apply((stored("a", 1), stored("b", 2)))
    batch = mirror.changes_since(99)
    assert batch.reset
    assert [item.name for item in batch.changes] == ["a", "b"]


# Placement of buckets


@given(
    st.integers(1, 600),
    st.dictionaries(st.integers(0, 40), st.integers(0, 30), min_size=1, max_size=12),
)
def test_bootstrap_placement_gives_each_bucket_to_one_group_in_proportion(buckets, capacity):
    groups = {GroupId("janela", "natal-1", index): size for index, size in capacity.items()}
    placement = bootstrap_placement("janela", buckets, groups)
    found = collections.Counter(placement.group_of(bucket) for bucket in range(buckets))
    listed = [bucket for group in groups for bucket in placement.buckets_of(group)]
    assert sorted(listed) == list(range(buckets))
    total = sum(groups.values())
    for group, size in groups.items():
        share = buckets * size / total if total else buckets / len(groups)
        assert abs(found[group] - share) < 1
        assert len(placement.buckets_of(group)) == found[group]


# Roles


@pytest.mark.parametrize("groups", [1, 2, 5])
def test_each_upstream_belongs_to_one_group_of_its_data_centre(groups):
    table = table_of(*upstreams("natal-1", 40), *upstreams("natal-2", 7))
    for data_centre, count in (("natal-1", 40), ("natal-2", 7)):
        owned = [
            vm.vm_id
            for index in range(groups)
            for vm in group_upstreams(table, GroupId("janela", data_centre, index), groups)
        ]
        assert len(owned) == len(set(owned)) == count
        assert all(vm_id.startswith(f"u-{data_centre}-") for vm_id in owned)


def test_relay_order_depends_neither_on_the_list_order_nor_on_vms_that_are_gone():
    vms = entry_vms("natal-1", *(f"e-{n}" for n in range(9)))
    others = entry_vms("natal-2", "e-90", "e-91")
    order = relay_order(table_of(*vms, *others), "natal-1")
    assert sorted(vm.vm_id for vm in order) == [vm.vm_id for vm in vms]
    assert relay_order(table_of(*others, *reversed(vms)), "natal-1") == order
    for gone in order:
        remaining = [vm for vm in order if vm != gone]
        assert relay_order(table_of(*remaining), "natal-1") == remaining


def test_paired_groups_have_each_others_leader_as_standby():
    table = table_of(*entry_vms("natal-1", "a", "b", "c"), *entry_vms("natal-2", "d", "e"))
    for index in range(8):
        one, two = (GroupId("janela", f"natal-{n}", index) for n in (1, 2))
        leaders = preferred_leader(table, one), preferred_leader(table, two)
        assert preferred_standby(table, one, leaders[0].vm_id) == leaders[1]
        assert preferred_standby(table, two, leaders[1].vm_id) == leaders[0]
