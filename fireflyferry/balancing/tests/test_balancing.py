"""Standing of upstreams, last hops, retry budgets, traffic splits and choice of upstream."""

import random

import attrs
import pytest

from fireflyferry.balancing import (
    Demand,
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

UPSTREAM = Upstream(UpstreamRun("u1", 1), "p", "10.0.0.1:80", "dc-1", 2)
U1, U2 = UpstreamRun("u1", 1), UpstreamRun("u2", 1)
REGIONS = {"dc-1": "r-1", "dc-2": "r-1", "dc-3": "r-2"}


def make_directory():
    return UpstreamDirectory(leaving_grace_s=1.6, lapse_grace_s=1.4)


def upstream(upstream_id, **changes):
    run = UpstreamRun(upstream_id, changes.pop("born", 1))
    address = changes.pop("address", f"10.0.0.{upstream_id[1:]}:80")
    return attrs.evolve(UPSTREAM, run=run, address=address, **changes)


# Directory


def test_draining_upstream_is_leaving_and_then_gone():
    """Guards against requests that reach an upstream after its drain has ended."""
    upstreams = make_directory()
    upstreams.apply(0.0, [UPSTREAM], False)
    upstreams.apply(1.0, [attrs.evolve(UPSTREAM, draining=True)], False)
    assert upstreams.ready(1.0, "p") == []
    assert upstreams.standing(2.5, "u1") is Standing.LEAVING
    assert upstreams.standing(2.7, "u1") is Standing.GONE


def test_upstream_missing_from_a_healthy_store_is_leaving():
    upstreams = make_directory()
    upstreams.apply(0.0, [UPSTREAM], False)
    upstreams.apply(1.0, [], False)
    assert upstreams.standing(1.0, "u1") is Standing.LEAVING
    assert list(upstreams.listed(1.0, "p")) == []


def test_entry_that_lapsed_in_an_outage_stays_ready_for_a_moment():
    """Guards against moving all keys when the store comes back without its entries."""
    upstreams = make_directory()
    upstreams.apply(0.0, [UPSTREAM], False)
    upstreams.apply(9.0, [], True)
    assert upstreams.standing(10.0, "u1") is Standing.READY
    assert list(upstreams.listed(10.0, "p")) == [(UPSTREAM, True)]
    assert upstreams.standing(10.5, "u1") is Standing.LEAVING
    assert upstreams.standing(11.0, "u1") is Standing.GONE
    upstreams.apply(11.0, [UPSTREAM], True)
    assert upstreams.standing(11.0, "u1") is Standing.READY


def test_newer_run_under_an_id_replaces_the_older():
    upstreams = make_directory()
    upstreams.apply(0.0, [UPSTREAM], False)
    restarted = upstream("u1", born=2)
    upstreams.apply(1.0, [restarted], False)
    assert upstreams.get("u1") == restarted
    assert list(upstreams.listed(1.0, "p")) == [(restarted, True)]
    assert upstreams.standing(1.0, "u1", 1) is Standing.GONE


def test_reused_address_ends_the_older_upstream():
    """Guards against requests and grants to an upstream whose address belongs to another now."""
    upstreams = make_directory()
    upstreams.apply(0.0, [UPSTREAM], False)
    upstreams.apply(
        1.0, [UPSTREAM, upstream("u2", born=5, address=UPSTREAM.address, pool="q")], False
    )
    assert upstreams.standing(1.0, "u1") is Standing.GONE
    assert list(upstreams.listed(1.0, "p")) == []


# Entry VMs


def make_vms(*others):
    this_vm = EntryVm("vm-1", "i", "10.1.0.1:1", "dc-1")
    vms = VmDirectory(this_vm, REGIONS)
    vms.apply([this_vm, *others])
    return vms


def entry_vm(number, data_centre, **changes):
    return EntryVm(f"vm-{number}", "i", f"10.1.0.{number}:1", data_centre, **changes)


def test_last_hop_is_in_the_data_centre_of_the_upstream():
    vms = make_vms(entry_vm(2, "dc-2"), entry_vm(3, "dc-2"), entry_vm(4, "dc-3"))
    chosen = {vms.last_hop(f"u{n}", "dc-2").vm_id for n in range(40)}
    assert chosen == {"vm-2", "vm-3"}


def test_all_vms_choose_the_same_last_hop():
    listed = [entry_vm(2, "dc-2"), entry_vm(3, "dc-2"), EntryVm("vm-1", "i", "10.1.0.1:1", "dc-1")]
    first, second = (VmDirectory(listed[n], REGIONS) for n in (0, 1))
    first.apply(listed)
    second.apply(reversed(listed))
    for number in range(40):
        assert first.last_hop(f"u{number}", "dc-2") == second.last_hop(f"u{number}", "dc-2")


def test_last_hop_that_does_not_answer_is_skipped_until_it_does():
    vms = make_vms(entry_vm(2, "dc-2"))
    silent = vms.last_hop("u1", "dc-2")
    assert silent.vm_id == "vm-2" and vms.suspect(silent)
    assert vms.last_hop("u1", "dc-2").vm_id == "vm-1"
    vms.apply([entry_vm(2, "dc-2")])
    assert vms.last_hop("u1", "dc-2").vm_id == "vm-1"
    vms.apply([attrs.evolve(entry_vm(2, "dc-2"), incarnation="j")])
    assert vms.last_hop("u1", "dc-2").vm_id == "vm-2", "a restarted VM is not suspected"


def test_leaving_vm_is_not_a_last_hop():
    vms = make_vms(entry_vm(2, "dc-2", leaving=True), entry_vm(3, "dc-2"))
    assert {vms.last_hop(f"u{n}", "dc-2").vm_id for n in range(20)} == {"vm-3"}


def test_without_another_vm_in_the_region_this_one_is_last_hop():
    assert make_vms(entry_vm(2, "dc-1")).last_hop("u1", "dc-3").vm_id == "vm-1"


def test_leaving_counts_from_the_earliest_possible_change():
    """Guards against late requests to a leaving upstream when this VM observes the change late."""
    leaving = attrs.evolve(upstream("i-1"), draining=True)
    upstreams = UpstreamDirectory(leaving_grace_s=1.6, lapse_grace_s=1.4)
    upstreams.apply(9.0, [upstream("i-1"), upstream("i-2")], False)
    upstreams.apply(10.0, [leaving, upstream("i-2")], False, unobserved_s=0.7)
    assert upstreams.standing(10.8, "i-1") is Standing.LEAVING
    assert upstreams.standing(10.95, "i-1") is Standing.GONE
    # An entry that lapsed in an outage is still ready for the whole time.
    upstreams.apply(11.0, [leaving], True, unobserved_s=1.5)
    assert upstreams.standing(12.3, "i-2") is Standing.READY


# Retry budget


@pytest.mark.parametrize("vm_count", [1, 12, 91, 300])
def test_budgets_of_all_vms_add_up_to_the_bound(vm_count):
    """Guards against more retries by all VMs together than the bound.

    Load pattern: every request fails once, on any number of VMs, which all restart midway.
    One request in ten comes from the platform itself and does not count towards the share.
    """
    rng = random.Random(vm_count)
    rules = FirstHopRules()
    share = rules.retry_share * rules.retry_share_factor
    reserve = rules.retry_least * rules.retry_least_factor / vm_count

    def start_vms():
        return [SlidingRetryBudget(share, lambda: reserve, 10.0) for _ in range(vm_count)]

    budgets = start_vms()
    requests, retries = 0, 0
    for step in range(20_000):
        if step == 10_000:
            budgets = start_vms()
        budget = budgets[int(vm_count * rng.random() ** 2)]
        budget.on_request(step * 0.0005)
        requests += step % 10 > 0
        retries += budget.try_spend(step * 0.0005)
    assert retries <= rules.retry_share * requests + rules.retry_least
    assert retries >= 0.15 * requests or vm_count > 91


def test_budget_ignores_requests_and_retries_before_the_window():
    budget = SlidingRetryBudget(0.5, lambda: 0.0, 10.0)
    for _ in range(4):
        budget.on_request(0.0)
    assert budget.try_spend(1.0) and budget.try_spend(1.0) and not budget.try_spend(1.0)
    assert budget.left(10.5) == 0.0 - 2
    budget.on_request(11.5)
    budget.on_request(11.5)
    assert budget.try_spend(11.5)


def test_reserved_retry_is_available_when_needed():
    """Guards against an attempt that is ended early although the budget then refuses the retry."""
    budget = SlidingRetryBudget(0.0, lambda: 2.0, 10.0)
    assert budget.reserve(0.0)
    assert budget.try_spend(0.0) and not budget.try_spend(0.0) and not budget.reserve(0.0)
    budget.spend_reserved(1.0)
    assert budget.left(1.0) == 0.0 and budget.left(10.5) == 1.0
    assert budget.reserve(11.0)
    budget.return_reserved()
    assert budget.left(11.0) == 2.0


# Traffic splits


def test_shares_are_exact_over_any_short_time():
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


# Choice of an upstream


def choose(tracker, upstreams, distances=None, exact=None, tried=()):
    distances = distances or {}
    return tracker.choose(
        10.0,
        upstreams,
        lambda each: distances.get(each.run.upstream_id, 0),
        Demand(0.6),
        lambda each: (exact or {}).get(each.run.upstream_id),
        tried,
    )


def make_tracker():
    return LoadTracker(SelectionRules(), random.Random(1))


def test_request_stays_in_its_region_while_there_is_room():
    """Guards against needless bytes between regions, which are the largest expense.

    Load pattern: regions are unevenly loaded. A request may leave its region only when the wait at
    the upstream there is too long.
    """
    near, far = upstream("u1"), upstream("u2", data_centre="dc-3")
    distances = {"u2": 2}
    tracker = make_tracker()
    assert choose(tracker, [near, far], distances).upstream == near
    tracker.on_forecast(10.0, U1, 0.2, 0.2)
    assert choose(tracker, [near, far], distances).upstream == near
    tracker.on_forecast(10.0, U1, 0.6, 0.2)
    assert choose(tracker, [near, far], distances).upstream == far


def test_faster_upstream_is_preferred():
    tracker = make_tracker()
    tracker.on_forecast(10.0, U1, 0.0, 0.4)
    tracker.on_forecast(10.0, U2, 0.0, 0.1)
    assert choose(tracker, [upstream("u1"), upstream("u2")]).upstream.run.upstream_id == "u2"


def test_partly_failing_upstream_gets_fewer_requests_and_is_tried_again():
    """Guards against a full share of requests to an upstream that fails some of them.

    Load pattern: the upstream fails part of its requests while its health check succeeds.
    """
    tracker = make_tracker()
    for _ in range(8):
        tracker.on_answer(U1, True)
        tracker.on_answer(U2, False)
    assert choose(tracker, [upstream("u1"), upstream("u2")]).upstream.run.upstream_id == "u2"
    for _ in range(40):
        tracker.on_answer(U1, False)
    tracker.on_sent(U2)
    tracker.on_forecast(10.0, U2, 0.1, 0.1)
    assert choose(tracker, [upstream("u1"), upstream("u2")]).upstream.run.upstream_id == "u1"


def test_avoidance_of_an_upstream_that_fails_without_end():
    """Guards against requests that end with status 500 after a thousand failures of an upstream."""
    tracker = LoadTracker(SelectionRules(), random.Random(1))
    rules = SelectionRules()
    times = [tracker.on_no_answer(10.0, U1) for _ in range(10_000)]
    assert times[:2] == [rules.first_avoid_s, 2 * rules.first_avoid_s]
    assert set(times[4:]) == {rules.max_avoid_s}
    tracker.on_answer(U1, failed=False)
    assert tracker.on_no_answer(10.0, U1) == rules.first_avoid_s


def test_failed_upstream_is_avoided_for_a_time_that_grows():
    tracker = make_tracker()
    times = [tracker.on_no_answer(10.0, U1) for _ in range(6)]
    assert times == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    assert choose(tracker, [upstream("u1"), upstream("u2")]).upstream.run.upstream_id == "u2"
    assert (
        choose(tracker, [upstream("u1")]).upstream.run.upstream_id == "u1"
    ), "an avoided one is better than none"


def test_tried_upstreams_are_not_chosen():
    assert choose(make_tracker(), [upstream("u1")], tried={"u1"}) is None


def test_old_forecast_is_ignored():
    tracker = make_tracker()
    tracker.on_forecast(8.5, U1, 5.0, 0.2)
    assert tracker.wait_s(10.0, upstream("u1")) == 0.0
