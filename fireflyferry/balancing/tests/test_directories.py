"""Incarnations of VMs and upstreams: what is known of one says nothing about the next."""

import random

import attrs
import pytest

from fireflyferry.balancing import (
    Demand,
    EntryVm,
    LoadTracker,
    SelectionRules,
    Standing,
    Upstream,
    UpstreamDirectory,
    VmDirectory,
)
from fireflyferry.keyranges import UpstreamRun

THIS_VM = EntryVm("vm-1", "i1", "10.1.0.1:1", "dc-1")
EARLIER = EntryVm("vm-2", "i2", "10.1.0.2:1", "dc-2")
LATER = attrs.evolve(EARLIER, incarnation="j2", address="10.1.0.9:1")


def make_vms(*listed):
    vms = VmDirectory(THIS_VM, {"dc-1": "r-1", "dc-2": "r-1"})
    vms.apply([THIS_VM, *listed])
    return vms


def test_late_failure_of_an_earlier_incarnation_does_not_suspect_the_listed_one():
    """Guards against a restarted VM that others never use as last hop.

    Load pattern: a forwarded request to the earlier incarnation fails after the next one is listed.
    """
    vms = make_vms(LATER)
    assert not vms.suspect(EARLIER)
    assert vms.suspected == [] and vms.last_hop("u1", "dc-2") == LATER


def test_failure_of_a_vm_that_is_not_listed_is_not_kept():
    """Guards against a VM that is suspected from the moment at which it is listed."""
    vms = make_vms()
    assert not vms.suspect(LATER)
    vms.apply([THIS_VM, LATER])
    assert vms.last_hop("u1", "dc-2") == LATER


def test_answer_of_an_earlier_incarnation_does_not_end_the_suspicion_of_the_listed_one():
    """Guards against requests to a dead VM because the address of an earlier one responds."""
    vms = make_vms(LATER)
    assert vms.suspect(LATER) and not vms.trust(EARLIER)
    assert vms.suspected == [LATER] and vms.last_hop("u1", "dc-2") == THIS_VM
    assert vms.trust(LATER) and vms.last_hop("u1", "dc-2") == LATER


def test_vm_at_the_address_of_an_earlier_one_replaces_it():
    """Guards against VMs that count twice, under their id and that of a crashed VM.

    The entry of a VM that crashed stays in the store.
    """
    next_vm = EntryVm("vm-3", "i3", EARLIER.address, "dc-2")
    vms = make_vms(EARLIER, next_vm)
    assert {vm.vm_id for vm in vms} == {"vm-1", "vm-3"} and vms.get("vm-2") is None
    assert {vms.last_hop(f"u{n}", "dc-2").vm_id for n in range(20)} == {"vm-3"}


def test_late_mark_of_an_earlier_vm_does_not_hide_the_next_at_its_address():
    """Guards against a VM that is not used since an earlier one was marked as leaving late."""
    next_vm = EntryVm("vm-3", "i3", EARLIER.address, "dc-2")
    vms = make_vms(next_vm, attrs.evolve(EARLIER, leaving=True))
    assert vms.get("vm-3") == next_vm and vms.get("vm-2") is None


def test_this_vm_is_the_only_one_at_its_address():
    """Guards against a VM that forwards requests to itself under the id of a crashed one."""
    vms = make_vms(EntryVm("vm-0", "i0", THIS_VM.address, "dc-1"))
    assert list(vms) == [THIS_VM]


# Upstreams


def test_late_failure_of_an_earlier_incarnation_does_not_avoid_the_next():
    """Guards against a restarted upstream that is avoided for requests to the earlier process.

    Load pattern: requests in flight at a crash fail one by one while its next process is idle.
    """
    earlier, later, other = (UpstreamRun(*run) for run in (("u1", 1), ("u1", 2), ("u2", 1)))
    tracker = LoadTracker(SelectionRules(), random.Random(1))
    upstreams = [Upstream(run, "p", "10.0.0.1:80", "dc-1", 2) for run in (later, other)]
    tracker.on_forecast(10.0, later, 0.0, 0.1)
    tracker.on_forecast(10.0, other, 0.5, 0.1)
    for _ in range(4):
        tracker.on_no_answer(10.0, earlier)
    choice = tracker.choose(10.0, upstreams, lambda _: 0, Demand(0.6), lambda _: None)
    assert choice.upstream.run == later


def test_listed_upstream_is_used_although_an_earlier_one_at_its_address_started_later():
    """Guards against a new upstream that gets nothing because the clock of another host is ahead.

    `born` is written by each upstream's own host.
    """
    upstreams = UpstreamDirectory(leaving_grace_s=1.6)
    gone = Upstream(UpstreamRun("u1", 9_000), "p", "10.0.0.1:80", "dc-1", 2)
    listed = attrs.evolve(gone, run=UpstreamRun("u2", 4_000), pool="q")
    upstreams.apply(0.0, [gone], False)
    upstreams.apply(1.0, [], False)
    upstreams.apply(4.0, [listed], False)
    assert upstreams.ready(4.0, "q") == [listed]
    assert upstreams.standing(4.0, "u1") is Standing.GONE


def test_late_write_of_an_earlier_incarnation_does_not_end_the_next():
    """Guards against keys without an owner since the entry shows an earlier process once more."""
    upstreams = UpstreamDirectory(leaving_grace_s=1.6)
    earlier = Upstream(UpstreamRun("u1", 1), "p", "10.0.0.1:80", "dc-1", 2)
    later = attrs.evolve(earlier, run=UpstreamRun("u1", 2))
    upstreams.apply(0.0, [later], False)
    upstreams.apply(1.0, [earlier], False)
    assert upstreams.get("u1") == later and upstreams.standing(1.0, "u1", 2) is Standing.LEAVING
    upstreams.apply(1.5, [later], False)
    assert upstreams.standing(1.5, "u1", 2) is Standing.READY


def test_vm_that_refuses_because_it_stops_is_no_last_hop_any_more():
    """Guards against refusals of a stopping VM one after the other, while the store is away."""
    this_vm, other = (EntryVm(f"vm-{n}", "i1", f"10.0.0.{n}:80", "dc-1") for n in (1, 2))
    names = [f"u{number}" for number in range(20)]
    vms = VmDirectory(this_vm, {})
    vms.apply([this_vm, other])
    assert any(vms.last_hop(name, "dc-1") == other for name in names)
    assert not vms.mark_leaving(attrs.evolve(other, incarnation="i0"))
    assert vms.mark_leaving(other) and not vms.mark_leaving(other)
    vms.apply([this_vm, other])
    assert all(vms.last_hop(name, "dc-1") == this_vm for name in names)
    restarted = attrs.evolve(other, incarnation="i2")
    vms.apply([this_vm, restarted])
    assert any(vms.last_hop(name, "dc-1") == restarted for name in names)


# Upstreams that say in an answer that they leave

GRACE_S = 1.6
LISTED = Upstream(UpstreamRun("u1", 1), "p", "10.0.0.1:80", "dc-1", 2)


@pytest.mark.parametrize(
    "later_lists",
    [
        [],
        [(0.5, [LISTED], False)],
        [(0.5, [attrs.evolve(LISTED, draining=True)], False), (0.8, [LISTED], False)],
        [(0.5, [], True)],
        [(0.5, [], True), (0.9, [LISTED], False)],
    ],
    ids=["unchanged", "ready", "draining-ready", "lapsed", "lapsed-back"],
)
def test_marked_upstream_leaves_whatever_the_store_lists(later_lists):
    """Guards against requests later than the grace after an answer that named the leaving."""
    upstreams = UpstreamDirectory(leaving_grace_s=GRACE_S)
    upstreams.apply(0.0, [LISTED], False)
    assert upstreams.mark_leaving(0.4, LISTED.run)
    for listed in later_lists:
        upstreams.apply(*listed)
    assert upstreams.standing(1.0, "u1") is Standing.LEAVING and not upstreams.ready(1.0, "p")
    assert not upstreams.mark_leaving(1.9, LISTED.run)
    assert upstreams.standing(0.4 + GRACE_S, "u1") is Standing.GONE


def test_mark_ends_no_grace_later_than_the_store_does():
    """Guards against an answer that prolongs the time since the store reported the leaving."""
    upstreams = UpstreamDirectory(leaving_grace_s=GRACE_S)
    upstreams.apply(0.0, [attrs.evolve(LISTED, draining=True)], False)
    upstreams.mark_leaving(1.0, LISTED.run)
    assert upstreams.standing(GRACE_S, "u1") is Standing.GONE


def test_marked_upstream_that_is_listed_again_after_a_long_outage_is_gone():
    """Guards against a mark that is forgotten together with the entry."""
    upstreams = UpstreamDirectory(leaving_grace_s=GRACE_S)
    upstreams.apply(0.0, [LISTED], False)
    upstreams.mark_leaving(0.4, LISTED.run)
    for now_s in (1.0, 40.0, 60.0):
        upstreams.apply(now_s, [], True)
    upstreams.apply(61.0, [LISTED], False)
    assert upstreams.standing(61.0, "u1") is Standing.GONE


@pytest.mark.parametrize(
    "later", [UpstreamRun("u1", 2), UpstreamRun("u2", 2)], ids=["same-id", "same-address"]
)
def test_mark_says_nothing_about_the_next_incarnation(later):
    """Guards against a new process that gets nothing since an earlier one left."""
    upstreams = UpstreamDirectory(leaving_grace_s=GRACE_S)
    upstreams.apply(0.0, [LISTED], False)
    upstreams.mark_leaving(0.4, LISTED.run)
    started = attrs.evolve(LISTED, run=later)
    upstreams.apply(0.5, [started], False)
    assert upstreams.ready(0.5, "p") == [started]
