"""Guards against invariant checks that cannot fail: each mutant must cause a violation."""

import lease_mutants as mutants
import lease_scenarios as scenarios
import pytest
from lease_book_vm import GrantManagerVm

from fireflyferry.leases.bench import PledgeDuringTakeover, SkipSessionWait
from fireflyferry.leases.trial import SimulationOptions

CASES = [
    (PledgeDuringTakeover, scenarios.takeover_in_flight, "two leaders"),
    (mutants.UnknownWriteDropped, scenarios.takeover_in_flight, "two leaders"),
    (mutants.OldStandbyPledgesAccepted, scenarios.replacement_without_answer, "two leaders"),
    (mutants.SessionFromConfirmation, scenarios.late_session_answer, "two leaders"),
    (mutants.UnboundedGrant, scenarios.grant_at_the_end_of_a_session, "held twice"),
    (mutants.LowerSetAccepted, scenarios.late_set, "held twice"),
    (SkipSessionWait, scenarios.random_faults, "two leaders"),
    (mutants.TakeoverBeforePledgeEnd, scenarios.random_faults, "two leaders"),
    (mutants.ThirdVmWithoutLostReports, scenarios.random_faults, "two leaders"),
    (mutants.AuthorityOverrun, scenarios.random_faults, "two leaders"),
    (mutants.LeadsWhileResigning, scenarios.random_faults, "two leaders"),
    (mutants.ResignedGrantsIgnored, scenarios.random_faults, "held twice"),
    (mutants.OwnOwnersNotKept, scenarios.random_faults, "held twice"),
    (mutants.TokenNotChecked, scenarios.random_faults, "held twice"),
]


@pytest.mark.parametrize(
    ("mutant", "scenario", "expected"), CASES, ids=[case[0].__name__ for case in CASES]
)
def test_missing_check_causes_a_violation(mutant, scenario, expected):
    seed, violations = scenario(mutants.options(mutant))
    print(f"seed {seed}: {violations}")
    assert any(expected in violation for violation in violations), violations


@pytest.mark.parametrize("scenario", sorted({case[1] for case in CASES}, key=lambda s: s.__name__))
def test_no_violation_with_the_real_classes(scenario):
    """Guards against real modules that violate an invariant in a scenario."""
    assert scenario(SimulationOptions())[1] == []


def test_no_violation_with_the_grant_manager():
    """Guards against errors in the interaction of GroupAuthority, GrantManager and GrantHolder."""
    assert scenarios.random_faults(SimulationOptions(vm=GrantManagerVm))[1] == []
