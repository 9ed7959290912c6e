"""Guards against keys that end in an outage of the store, and against extended grants that two
upstreams hold.
"""

import random
from functools import partial

from fireflyferry.keyranges import GrantCall, GrantingLeaseTiming, GrantTiming, RangeGranter
from fireflyferry.keyranges.sent_grants import SentGrants
from fireflyferry.keyranges.tests.range_world import RangeSimulation
from fireflyferry.keyranges.tests.test_granter import (
    A,
    B,
    grant_result,
    serving_granter,
    split_actions,
)
from fireflyferry.keyranges.tests.test_lease import lease_after_read

TIMING = GrantTiming(extended_hold_s=10.0)
SEEDS = range(30)


def test_overdue_renewal_of_the_lease_is_noticed_before_the_lease_expires():
    timing = GrantingLeaseTiming()
    lease = lease_after_read(record=None, revision=0)
    assert not lease.is_renewal_overdue(0.0)
    lease.tick(0.0)
    lease.on_written(0.01, 1)
    assert not lease.is_renewal_overdue(timing.renew_s + 0.25)  # the answer of a slow store
    assert lease.is_renewal_overdue(timing.renew_s + timing.overdue_s + 0.01)
    assert lease.is_renewal_overdue(timing.lease_s - 0.01)
    assert not lease.is_renewal_overdue(timing.lease_s)


def test_all_grants_are_extended_once_when_the_lease_may_expire():
    """Guards against keys that end while nobody may renew them: an outage of 8 s, grants of 5 s."""
    granter = serving_granter(A, B, timing=TIMING)
    _, grants, _ = split_actions(granter.tick(0.1))
    assert not grants  # renewals are not due yet
    _, grants, _ = split_actions(granter.tick(0.1, extends_grants=True))
    assert {call.run for call in grants} == {A, B}
    assert {call.hold_s for call in grants} == {TIMING.extended_hold_s}
    for call in grants:
        granter.on_grant(0.1, call, grant_result())
    assert split_actions(granter.tick(0.2, extends_grants=True))[1] == []
    _, grants, _ = split_actions(granter.tick(0.1 + TIMING.renew_s))
    assert {call.hold_s for call in grants} == {TIMING.hold_s}


def test_deployment_without_longer_holds_extends_nothing():
    granter = serving_granter(A, B, timing=GrantTiming(hold_s=5.0, extended_hold_s=5.0))
    assert split_actions(granter.tick(0.1, extends_grants=True))[1] == []


def run_simulations(make_granter):
    for seed in SEEDS:
        simulation = RangeSimulation(random.Random(seed), make_granter, extends_grants=True)
        simulation.start(4)
        simulation.run(60.0)
        yield simulation


def test_extended_grants_have_one_holder():
    simulations = list(run_simulations(lambda began_s: RangeGranter("pool", TIMING, began_s)))
    assert [error for each in simulations for error in each.fence_errors] == []
    assert [conflict for each in simulations for conflict in each.conflicts] == []
    assert sum(each.served for each in simulations) > 0.3 * len(SEEDS) * 6 * 60.0 / 0.05


class _ExpectsShortGrantsOfEarlierTerms(RangeGranter):
    def __init__(self, pool, timing, began_s):
        super().__init__(pool, timing, began_s)
        self._sent_grants._began_s -= timing.extended_hold_s - timing.hold_s


def test_simulation_detects_extended_grants_that_are_taken_for_short_ones():
    """Guards against a simulation that misses that a check was removed."""
    make_granter = partial(_ExpectsShortGrantsOfEarlierTerms, "pool", TIMING)
    assert any(each.conflicts for each in run_simulations(make_granter))


def test_extended_grant_of_this_term_expires_after_its_own_time():
    """Guards against keys that move while an upstream still holds them by an extended grant."""
    sent_grants = SentGrants(TIMING, -60.0)
    call = GrantCall(A, "10.0.0.97:80", 0, 9, 7, TIMING.extended_hold_s)
    sent_grants.on_sent(call)
    sent_grants.on_result(1.0, call, grant_result())
    assert sent_grants.expiry_s(A) >= 1.0 + TIMING.extended_hold_s * 1.02
