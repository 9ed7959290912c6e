"""Guards against a soak test that misses violations, and against violations in a short run."""

import asyncio
import random

import pytest

from fireflyferry.platform.soak.audit import Audit
from fireflyferry.platform.soak.run import Soak
from fireflyferry.platform.soak.schedule import (
    BASE_KINDS,
    Fault,
    FaultGroup,
    FaultKind,
    SoakPlan,
    make_plan,
    make_schedule,
)
from fireflyferry.platform.soak.store import StoreStandin
from fireflyferry.platform.soak.upstreams import UpstreamStandin, UpstreamWorld

# Seeds that once violated an invariant, each with a line on the cause.
REGRESSION_SEEDS: tuple[int, ...] = ()

# Groups of faults, beside the base, that the short runs play, with the length in seconds; a cut
# takes 9 s.
GROUPS = {
    FaultGroup.ODD_ENTRIES: 4.0,
    FaultGroup.LEAVING: 6.0,
    FaultGroup.QUIET: 6.0,
    FaultGroup.CUTS: 9.0,
}


def test_one_seed_gives_one_schedule():
    assert make_schedule(7, 30.0) == make_schedule(7, 30.0) != make_schedule(8, 30.0)


def test_all_kinds_of_faults_are_drawn():
    drawn = {fault.kind for seed in range(20) for fault in make_schedule(seed, 12.0, FaultGroup)}
    assert drawn == set(FaultKind)


def test_groups_leave_the_faults_of_each_other_as_they_are():
    base = make_schedule(7, 30.0)
    assert set(base) < set(make_schedule(7, 30.0, FaultGroup))
    assert {fault.kind for fault in base} <= set(BASE_KINDS)


def test_some_seeds_have_many_vms():
    sizes = {make_plan(seed, 12.0).vms for seed in range(1, 51)}
    assert sizes == {8, 60} and make_plan(20, 1.0) == make_plan(20, 1.0)


def violated_invariants(audit):
    audit.finish()
    return {each.invariant for each in audit.findings}


@pytest.mark.parametrize("idempotent", [True, False])
def test_second_execution_is_reported_for_non_idempotent_requests(idempotent):
    audit = Audit()
    audit.record_sent("a", idempotent)
    audit.record_execution("a", "i-1")
    audit.record_execution("a", "i-2")
    assert bool(violated_invariants(audit)) is not idempotent


def test_refusal_of_a_request_that_ran_is_reported():
    audit = Audit()
    audit.record_sent("a", False)
    audit.record_execution("a", "i-1")
    audit.record_answer("a", 503, b"", False)
    assert violated_invariants(audit) == {"a refusal says that nothing ran"}


def test_swapped_or_invented_answers_are_reported():
    audit = Audit()
    audit.record_sent("a", True)
    audit.record_answer("a", 200, b"b i-1", True)
    audit.record_execution("smuggled", "i-1")
    assert violated_invariants(audit) == {
        "whole answer to its own request",
        "an answered request has run",
        "only requests of callers run",
    }


@pytest.mark.parametrize(
    ("ran", "may_be_unread", "is_reported"),
    [(True, True, True), (False, False, True), (False, True, False)],
)
def test_cut_of_a_request_that_was_read_is_reported(ran, may_be_unread, is_reported):
    audit = Audit()
    audit.record_sent("a", False)
    if ran:
        audit.record_execution("a", "i-1")
    audit.record_cut("a", "at vm-1", may_be_unread)
    assert violated_invariants(audit) == (
        {"a graceful shutdown cuts no request"} if is_reported else set()
    )


def grant(fence, first=0, last=9):
    return {"from": first, "target": last, "fence": fence, "holdS": 5.0}


def run_upstreams(scenario):
    async def main():
        store, audit = StoreStandin(random.Random(1)), Audit()
        world = UpstreamWorld(store, audit, random.Random(1))
        await scenario(*(UpstreamStandin(name, "p", "dc", True, world) for name in ("a", "b")))
        return {each.invariant for each in audit.findings}

    return asyncio.run(main())


def test_two_holders_of_a_key_are_reported():
    async def scenario(first, second):
        assert first.apply_grant(grant(1), 1e9)
        assert second.apply_grant(grant(2), 1e9)
        second.check_single_holder(5, "at a request")

    assert run_upstreams(scenario) == {"a key has one owner"}


def test_fence_that_is_not_higher_is_reported_or_refused():
    async def scenario(first, second):
        assert first.apply_grant(grant(2), 1e9)
        first.apply_release(grant(3))
        assert not first.apply_grant(grant(2), 1e9)
        assert second.apply_grant(grant(2), 1e9)

    assert run_upstreams(scenario) == {"a fence is above all earlier ones"}


def test_released_part_is_not_held():
    async def scenario(first, _):
        assert first.apply_grant(grant(1), 1e9)
        first.apply_release(grant(2, 3, 5))
        assert [first.holds_key(key) for key in (2, 3, 5, 6)] == [True, False, False, True]

    assert run_upstreams(scenario) == set()


@pytest.mark.parametrize("seed", [1, 4, 9, *REGRESSION_SEEDS])
def test_short_run_violates_no_invariant(seed, tmp_path):
    result = asyncio.run(Soak(SoakPlan(seed, length_s=4.0), tmp_path).run())
    assert result.findings == []
    assert result.statuses[200] > 0


@pytest.mark.parametrize("group", GROUPS)
def test_short_run_of_a_group_violates_no_invariant(group, tmp_path):
    result = asyncio.run(Soak(make_plan(1, GROUPS[group], (group,)), tmp_path).run())
    assert result.findings == []
    assert result.statuses[200] > 0


RESTARTS = (
    Fault(0.0, FaultKind.UPSTREAM_RESTART_UNLISTED, 0, 4.0),
    Fault(1.5, FaultKind.UPSTREAM_OTHER_ID, 2, 4.0),
    Fault(3.0, FaultKind.UPSTREAM_RESTART_UNLISTED, 4, 4.0),
    Fault(4.5, FaultKind.UPSTREAM_OTHER_ID, 6, 4.0),
)


def test_process_at_an_address_takes_no_grant_of_the_one_before_it(tmp_path):
    """Guards against a fence, or keys, at two processes when one starts at the other's address."""
    plan = SoakPlan(1, length_s=9.0, vms=4, faults=RESTARTS)
    result = asyncio.run(Soak(plan, tmp_path).run())
    assert result.findings == []
    assert result.statuses[200] > 0


# Cut off from the store from 0.5 s on, so that the store drops its entry; the port refuses and the
# open connections close from 1.2 s on, while the process holds its keys. Then the same elsewhere.
REFUSED = (
    Fault(0.5, FaultKind.UPSTREAM_PARTITION, 0, 4.0),
    Fault(1.2, FaultKind.UPSTREAM_REFUSES, 8, 5.0),
    Fault(7.0, FaultKind.UPSTREAM_PARTITION, 4, 4.0),
    Fault(7.7, FaultKind.UPSTREAM_REFUSES, 12, 5.0),
)


def test_upstream_whose_port_refuses_keeps_its_keys_until_its_grants_expire(tmp_path):
    """Guards against two holders of a key when an unlisted upstream refuses connections."""
    plan = SoakPlan(1, length_s=13.0, vms=4, faults=REFUSED)
    result = asyncio.run(Soak(plan, tmp_path).run())
    assert result.findings == []
    assert result.statuses[200] > 0
