"""Requests of routes with allowed regions.

Guards against a request or its body in a region where it may not be processed.
"""

import asyncio
import logging

import orjson
import pytest

from fireflyferry.balancing import common_regions, effective_regions
from fireflyferry.edges.system_clock import BootClock
from fireflyferry.gateway.calls import Attempt
from fireflyferry.gateway.locating import Search
from fireflyferry.gateway.planning import RangePlanner
from fireflyferry.gateway.tests.places import Place, make_upstream, make_vm
from fireflyferry.gateway.tests.support import make_config, make_route
from fireflyferry.messages.codec import structure, unstructure
from fireflyferry.routing.hosts import PoolShare, PoolSpec
from fireflyferry.telemetry import Reason
from fireflyferry.telemetry.reasons import REASONS

POOLS = {"plain": PoolSpec("plain", False), "keyed": PoolSpec("keyed", True)}


def limited(*regions, version=1, **changes):
    allowed = frozenset(regions)
    routes = (
        make_route("read", "plain", allowed_regions=allowed, **changes),
        make_route("keyed", "keyed", allowed_regions=allowed),
    )
    return make_config(version, routes=routes, pools=POOLS)


@pytest.mark.parametrize(
    ("listed", "effective"),
    [((), None), (("r-1",), {"r-1"}), (("r-1", "x"), {"r-1"}), (("x",), set()), (("dc-9",), set())],
)
def test_unknown_region_matches_nothing_and_lifts_no_limit(listed, effective):
    """Guards against a list of unknown regions that counts as no limit."""
    got = effective_regions(frozenset(listed), frozenset({"r-1", "r-2"}))
    assert got == (None if effective is None else frozenset(effective))


@pytest.mark.parametrize(
    ("limits", "common"),
    [
        ([], None),
        ([{"a"}, None], None),
        ([{"a", "b"}, {"b", "c"}], {"b"}),
        ([{"a"}, {"b"}], None),
        ([{"a"}, set()], {"a"}),
    ],
)
def test_keys_may_be_where_all_routes_allow_them(limits, common):
    got = common_regions(None if each is None else frozenset(each) for each in limits)
    assert got == (None if common is None else frozenset(common))


def test_request_reaches_only_upstreams_in_allowed_regions():
    """Guards against a nearer or idle upstream of another region, also in a retry."""
    upstreams = [make_upstream("near"), make_upstream("far", "dc-3"), make_upstream("odd", "r-2")]
    place = Place(upstreams, [make_vm(3, "dc-3")], limited("r-2"))
    for _ in range(20):
        target = place.locate()
        assert (target.upstream.run.upstream_id, target.vm.vm_id) == ("far", "vm-3")
    refused = place.locate(tried=["far"])
    assert isinstance(refused, Attempt) and refused.reason is Reason.NO_UPSTREAM


def test_request_without_an_allowed_upstream_is_rejected_with_its_own_reason():
    for regions in (("r-3",), ("x",)):
        refused = Place([make_upstream("near")], (), limited(*regions)).locate()
        assert refused.reason is Reason.REGION_NOT_ALLOWED and refused.retry_after_s > 0
    assert REASONS[Reason.REGION_NOT_ALLOWED].status == 503


def test_body_goes_directly_when_the_last_hop_is_elsewhere():
    """Guards against a body that is sent to a VM of a third region, which is neither allowed nor
    the caller's, because the VMs of the allowed region are cut off from upstreams."""
    cut_off, elsewhere = make_vm(3, "dc-3"), make_vm(4, "dc-4")
    place = Place([make_upstream("far", "dc-3")], [cut_off, elsewhere], limited("r-2"))
    assert place.state.vms.mark_cut_off(cut_off) and place.state.vms.mark_cut_off(make_vm(1))
    assert place.state.last_hop(make_upstream("far", "dc-3")).vm_id == "vm-4"
    assert place.locate().vm.vm_id == "vm-1"
    place.configure(limited(version=2))
    assert place.locate().vm.vm_id == "vm-4"


def test_shared_last_hop_counts_as_its_region():
    vms = [make_vm(number, "dc-3") for number in range(3, 8)]
    upstreams = [make_upstream(f"far{n}", "dc-3") for n in range(3)] + [make_upstream("near")]
    place = Place(upstreams, vms, limited("r-2"))
    target = place.locate()
    assert target.upstream.slots == 6 and target.vm.data_centre == "dc-3"


@pytest.mark.parametrize("serving", [True, False])
def test_request_for_a_key_whose_owner_is_outside_is_rejected_at_once(serving):
    """Guards against a request that waits for a move to an owner which may not process it."""
    upstream = make_upstream("far", "dc-3", "keyed")
    place = Place([upstream], (), limited("r-1"))
    place.own(upstream, serving)
    got = asyncio.run(place.locator.locate(place.call("keyed", 5), Search()))
    assert got.reason is Reason.REGION_NOT_ALLOWED and got.retry_after_s > 0


def test_request_for_a_key_goes_to_its_owner_in_an_allowed_region():
    upstream = make_upstream("far", "dc-3", "keyed")
    place = Place([upstream], [make_vm(3, "dc-3")], limited("r-2"))
    place.own(upstream)
    got = asyncio.run(place.locator.locate(place.call("keyed", 5), Search()))
    assert got.upstream == upstream


def test_planner_keeps_keys_where_all_routes_allow_them():
    """Guards against keys at upstreams whose requests would all be rejected."""
    upstreams = [make_upstream("a", "dc-1", "keyed"), make_upstream("b", "dc-3", "keyed")]
    place = Place(upstreams, (), limited("r-2"))
    planner = RangePlanner(BootClock(), place.state.upstreams, may_own=place.state.may_own_keys)
    runs = planner._run_capacities(place.clock.now_s, "keyed")
    assert [each.run.upstream_id for each in runs] == ["b"]


def test_one_route_without_limit_lets_keys_be_anywhere():
    upstreams = [make_upstream("a", "dc-1", "keyed"), make_upstream("b", "dc-3", "keyed")]
    routes = (
        make_route("one", "keyed", allowed_regions=frozenset({"r-2"})),
        make_route("two", "plain", shares=(PoolShare("plain", 1.0), PoolShare("keyed", 1.0))),
    )
    place = Place(upstreams, (), make_config(routes=routes, pools=POOLS))
    assert all(map(place.state.may_own_keys, upstreams))


def test_unknown_region_is_logged_once(caplog):
    with caplog.at_level(logging.WARNING):
        place = Place([], (), limited("r-2", "atlantis"))
        place.configure(limited("r-2", "atlantis", version=2))
    found = [each for each in caplog.records if each.getMessage() == "unknown_region"]
    assert {(each.route, each.region) for each in found} == {
        ("read", "atlantis"),
        ("keyed", "atlantis"),
    }
    assert len(found) == 2


def test_without_the_field_the_same_target_is_chosen():
    """Guards against a change for deployments without allowed regions."""
    upstreams = [make_upstream("near"), make_upstream("far", "dc-3")]
    place = Place(upstreams, [make_vm(3, "dc-3")])
    call = place.call()
    assert call.allowed_regions is None
    target = place.locate()
    assert target.upstream == upstreams[0]
    assert target.vm == place.state.last_hop(upstreams[0])
    refused = Place([]).locate()
    assert (refused.reason, refused.retry_after_s) == (Reason.NO_UPSTREAM, 0.3)


def test_stored_configuration_of_the_tests_is_json():
    """Guards against relays of these tests that cannot encode a configuration with regions."""
    config = limited("r-2", "r-1")
    content = orjson.loads(orjson.dumps(unstructure(config)))
    assert content["routes"][0]["allowed_regions"] == ["r-1", "r-2"]
    assert structure(content, type(config)) == config
