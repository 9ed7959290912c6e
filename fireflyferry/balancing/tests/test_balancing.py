"""Standing of upstreams, last hops, retry budgets, shares of traffic and choice of upstream."""

import random

import attrs
import pytest

from fireflyferry.balancing import (
    EntryVm,
    LoadTracker,
    SelectionRules,
    SlidingRetryBudget,
    Standing,
    TrafficSplitter,
    Upstream,
    UpstreamDirectory,
    VmDirectory,
)
from fireflyferry.gateway.first_hop import FirstHopRules
from fireflyferry.keyranges import UpstreamRun
from fireflyferry.routing.hosts import HostRoute, HostRoutes, PoolShare

UP = Upstream(UpstreamRun("u1", 1), "p", "10.0.0.1:80", "dc-1", 2)
REGIONS = {"dc-1": "r-1", "dc-2": "r-1", "dc-3": "r-2"}


def directory():
    return UpstreamDirectory(leaving_grace_s=1.6, lapse_grace_s=1.4)


def other(upstream_id, **changes):
    run = UpstreamRun(upstream_id, changes.pop("born", 1))
    address = changes.pop("address", f"10.0.0.{upstream_id[1:]}:80")
    return attrs.evolve(UP, run=run, address=address, **changes)


# Directory


def test_draining_upstream_is_leaving_and_then_gone():
    """Guards against requests that reach an upstream after its time to drain."""
    known = directory()
    known.apply(0.0, [UP], False)
    known.apply(1.0, [attrs.evolve(UP, draining=True)], False)
    assert known.ready(1.0, "p") == []
    assert known.standing(2.5, "u1") is Standing.LEAVING
    assert known.standing(2.7, "u1") is Standing.GONE


def test_missing_upstream_of_a_steady_store_is_leaving():
    known = directory()
    known.apply(0.0, [UP], False)
    known.apply(1.0, [], False)
    assert known.standing(1.0, "u1") is Standing.LEAVING
    assert list(known.listed(1.0, "p")) == []


def test_entry_that_lapsed_in_an_outage_stays_ready_for_a_moment():
    """Guards against moving all keys when the store comes back without its entries."""
    known = directory()
    known.apply(0.0, [UP], False)
    known.apply(9.0, [], True)
    assert known.standing(10.0, "u1") is Standing.READY
    assert list(known.listed(10.0, "p")) == [(UP, True)]
    assert known.standing(10.5, "u1") is Standing.LEAVING
    assert known.standing(11.0, "u1") is Standing.GONE
    known.apply(11.0, [UP], True)
    assert known.standing(11.0, "u1") is Standing.READY


def test_newer_run_under_an_id_replaces_the_older():
    known = directory()
    known.apply(0.0, [UP], False)
    again = other("u1", born=2)
    known.apply(1.0, [again], False)
    assert known.get("u1") == again and UP.run in known.superseded
    assert known.standing(1.0, "u1", 1) is Standing.GONE


def test_reused_address_ends_the_older_upstream():
    """Guards against requests and grants for an upstream whose address another one has."""
    known = directory()
    known.apply(0.0, [UP], False)
    known.apply(1.0, [UP, other("u2", born=5, address=UP.address, pool="q")], False)
    assert known.standing(1.0, "u1") is Standing.GONE and UP.run in known.superseded


# Entry VMs


def vms(*names):
    me = EntryVm("vm-1", "i", "10.1.0.1:1", "dc-1")
    known = VmDirectory(me, REGIONS)
    known.apply([me, *names])
    return known


def vm(number, data_centre, **changes):
    return EntryVm(f"vm-{number}", "i", f"10.1.0.{number}:1", data_centre, **changes)


def test_last_hop_is_in_the_data_centre_of_the_upstream():
    known = vms(vm(2, "dc-2"), vm(3, "dc-2"), vm(4, "dc-3"))
    chosen = {known.last_hop(f"u{n}", "dc-2").vm_id for n in range(40)}
    assert chosen == {"vm-2", "vm-3"}


def test_all_vms_choose_the_same_last_hop():
    listed = [vm(2, "dc-2"), vm(3, "dc-2"), EntryVm("vm-1", "i", "10.1.0.1:1", "dc-1")]
    first, second = (VmDirectory(listed[n], REGIONS) for n in (0, 1))
    first.apply(listed)
    second.apply(reversed(listed))
    for number in range(40):
        assert first.last_hop(f"u{number}", "dc-2") == second.last_hop(f"u{number}", "dc-2")


def test_last_hop_that_does_not_answer_is_passed_over_until_it_does():
    known = vms(vm(2, "dc-2"))
    lost = known.last_hop("u1", "dc-2")
    assert lost.vm_id == "vm-2" and known.suspect(lost)
    assert known.last_hop("u1", "dc-2").vm_id == "vm-1"
    known.apply([vm(2, "dc-2")])
    assert known.last_hop("u1", "dc-2").vm_id == "vm-1"
    known.apply([attrs.evolve(vm(2, "dc-2"), incarnation="j")])
    assert known.last_hop("u1", "dc-2").vm_id == "vm-2", "a restarted VM is trusted"


def test_leaving_vm_is_no_last_hop():
    known = vms(vm(2, "dc-2", leaving=True), vm(3, "dc-2"))
    assert {known.last_hop(f"u{n}", "dc-2").vm_id for n in range(20)} == {"vm-3"}


def test_without_another_vm_in_the_region_this_one_sends():
    assert vms(vm(2, "dc-1")).last_hop("u1", "dc-3").vm_id == "vm-1"


def test_time_of_leaving_counts_from_when_it_may_have_been_listed():
    """Guards against late requests to a leaving upstream that this VM learned of late."""
    leaving = attrs.evolve(other("i-1"), draining=True)
    directory = UpstreamDirectory(leaving_grace_s=1.6, lapse_grace_s=1.4)
    directory.apply(9.0, [other("i-1"), other("i-2")], False)
    directory.apply(10.0, [leaving, other("i-2")], False, unobserved_s=0.7)
    assert directory.standing(10.8, "i-1") is Standing.LEAVING
    assert directory.standing(10.95, "i-1") is Standing.GONE
    # An entry that lapsed in an outage is still ready for the whole time.
    directory.apply(11.0, [leaving], True, unobserved_s=1.5)
    assert directory.standing(12.3, "i-2") is Standing.READY


# Retry budget


@pytest.mark.parametrize("vm_count", [1, 12, 91, 300])
def test_budgets_of_all_vms_add_up_to_the_bound(vm_count):
    """Load pattern: every request fails once, on any number of VMs, which all restart midway.

    One request in ten comes from the platform itself and counts for no share.
    """
    rng = random.Random(vm_count)
    rules = FirstHopRules()
    share = rules.retry_share * rules.retry_share_factor
    reserve = rules.retry_least * rules.retry_least_factor / vm_count

    def start():
        return [SlidingRetryBudget(share, lambda: reserve, 10.0) for _ in range(vm_count)]

    windows = start()
    requests, retries = 0, 0
    for step in range(20_000):
        if step == 10_000:
            windows = start()
        window = windows[int(vm_count * rng.random() ** 2)]
        window.on_request(step * 0.0005)
        requests += step % 10 > 0
        retries += window.try_spend(step * 0.0005)
    assert retries <= rules.retry_share * requests + rules.retry_least
    assert retries >= 0.15 * requests or vm_count > 91


def test_budget_forgets_what_left_the_window():
    window = SlidingRetryBudget(0.5, lambda: 0.0, 10.0)
    for _ in range(4):
        window.on_request(0.0)
    assert window.try_spend(1.0) and window.try_spend(1.0) and not window.try_spend(1.0)
    assert window.left(10.5) == 0.0 - 2
    window.on_request(11.5)
    window.on_request(11.5)
    assert window.try_spend(11.5)


def test_held_second_send_is_there_when_it_is_needed():
    """Guards against attempts that are given up early although no other can follow."""
    window = SlidingRetryBudget(0.0, lambda: 2.0, 10.0)
    assert window.reserve(0.0)
    assert window.try_spend(0.0) and not window.try_spend(0.0) and not window.reserve(0.0)
    window.spend_reserved(1.0)
    assert window.left(1.0) == 0.0 and window.left(10.5) == 1.0
    assert window.reserve(11.0)
    window.return_reserved()
    assert window.left(11.0) == 2.0


# Shares of traffic


def test_shares_are_right_over_any_short_time():
    splitter = TrafficSplitter()
    shares = (PoolShare("a", 90), PoolShare("b", 10))
    chosen = [splitter.choose(shares) for _ in range(200)]
    for start in range(0, 180, 7):
        assert abs(chosen[start : start + 20].count("b") - 2) <= 1


def test_new_weights_apply_at_once():
    splitter = TrafficSplitter()
    splitter.choose((PoolShare("a", 90), PoolShare("b", 10)))
    changed = (PoolShare("a", 10), PoolShare("b", 90))
    splitter.retain([changed])
    assert [splitter.choose(changed) for _ in range(10)].count("b") == 9


# Routes by host


def test_longest_prefix_of_the_host_wins():
    def route(name, host, prefix):
        return HostRoute(name, host, prefix, True, 1, 1, 1, 1, (PoolShare("p", 1),))

    routes = HostRoutes([route("a", "h", "/a/"), route("ab", "h", "/a/b/"), route("o", "o", "/")])
    assert routes.match("h", "/a/b/c").name == "ab"
    assert routes.match("H", "/a/bc").name == "a"
    assert routes.match("o", "/a/b/").name == "o"
    assert routes.match("h", "/a") is None and routes.match("x", "/a/") is None


# Choice


def choose(board, upstreams, distances=None, exact=None, tried=()):
    distances = distances or {}
    return board.choose(
        10.0,
        upstreams,
        lambda each: distances.get(each.run.upstream_id, 0),
        0.6,
        lambda each: (exact or {}).get(each.run.upstream_id),
        tried,
    )


def board():
    return LoadTracker(SelectionRules(), random.Random(1))


def test_request_stays_in_its_region_while_there_is_room():
    """Load pattern: uneven regions; bytes between them are the largest price."""
    near, far = other("u1"), other("u2", data_centre="dc-3")
    distances = {"u2": 2}
    busy = board()
    assert choose(busy, [near, far], distances).upstream == near
    busy.on_forecast(10.0, "u1", 0.2, 0.2)
    assert choose(busy, [near, far], distances).upstream == near
    busy.on_forecast(10.0, "u1", 0.6, 0.2)
    assert choose(busy, [near, far], distances).upstream == far


def test_faster_upstream_is_preferred():
    known = board()
    known.on_forecast(10.0, "u1", 0.0, 0.4)
    known.on_forecast(10.0, "u2", 0.0, 0.1)
    assert choose(known, [other("u1"), other("u2")]).upstream.run.upstream_id == "u2"


def test_grey_upstream_gets_less_and_is_tried_again():
    """Load pattern: an upstream fails part of its requests while its health check is good."""
    known = board()
    for _ in range(8):
        known.on_answer("u1", True)
        known.on_answer("u2", False)
    assert choose(known, [other("u1"), other("u2")]).upstream.run.upstream_id == "u2"
    for _ in range(40):
        known.on_answer("u1", False)
    known.on_sent("u2")
    known.on_forecast(10.0, "u2", 0.1, 0.1)
    assert choose(known, [other("u1"), other("u2")]).upstream.run.upstream_id == "u1"


def test_failed_upstream_is_avoided_for_a_time_that_grows():
    known = board()
    times = [known.on_no_answer(10.0, "u1") for _ in range(6)]
    assert times == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    assert choose(known, [other("u1"), other("u2")]).upstream.run.upstream_id == "u2"
    assert choose(known, [other("u1")]).upstream.run.upstream_id == "u1", "rather than none"


def test_tried_upstreams_are_left_out():
    assert choose(board(), [other("u1")], tried={"u1"}) is None


def test_old_forecast_is_not_believed():
    known = board()
    known.on_forecast(8.5, "u1", 5.0, 0.2)
    assert known.wait_s(10.0, other("u1")) == 0.0
