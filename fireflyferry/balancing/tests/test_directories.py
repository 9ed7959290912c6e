"""Incarnations of VMs and upstreams: what is known of one says nothing about the next."""

import attrs

from fireflyferry.balancing import EntryVm, VmDirectory

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
