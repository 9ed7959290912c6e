"""Shows that the safety checks can fail: each test removes one guard and expects a report."""

import lease_mutants as mutants
import lease_scenarios as scenarios
import pytest
from lease_book_vm import GrantBookVm

from fireflyferry.leases.bench import PledgeDuringTakeover, SkipSessionWait
from fireflyferry.leases.trial import TrialOptions

CASES = [
    (PledgeDuringTakeover, scenarios.takeover_in_flight, "two leaders"),
    (mutants.UnknownWriteDropped, scenarios.takeover_in_flight, "two leaders"),
    (mutants.OldStandbyCounts, scenarios.replacement_without_answer, "two leaders"),
    (mutants.SessionFromConfirmation, scenarios.late_session_answer, "two leaders"),
    (mutants.UnboundedGrant, scenarios.grant_at_the_end_of_a_session, "held twice"),
    (mutants.LowerSetAccepted, scenarios.late_set, "held twice"),
    (SkipSessionWait, scenarios.random_faults, "two leaders"),
    (mutants.TakeoverBeforePledgeEnd, scenarios.random_faults, "two leaders"),
    (mutants.ThirdWithoutWord, scenarios.random_faults, "two leaders"),
    (mutants.AuthorityOverrun, scenarios.random_faults, "two leaders"),
    (mutants.LeadsWhileResigning, scenarios.random_faults, "two leaders"),
    (mutants.ResignedGrantsIgnored, scenarios.random_faults, "held twice"),
    (mutants.OwnOwnersIgnored, scenarios.random_faults, "held twice"),
    (mutants.TokenNotChecked, scenarios.random_faults, "held twice"),
]


@pytest.mark.parametrize(
    ("mutant", "scenario", "report"), CASES, ids=[case[0].__name__ for case in CASES]
)
def test_missing_guard_is_reported(mutant, scenario, report):
    seed, violations = scenario(mutants.options(mutant))
    print(f"seed {seed}: {violations}")
    assert any(report in violation for violation in violations), violations


@pytest.mark.parametrize("scenario", sorted({case[1] for case in CASES}, key=lambda s: s.__name__))
def test_no_report_with_all_guards(scenario):
    """Guards against scenarios that break a promise of the real modules."""
    assert scenario(TrialOptions())[1] == []


def test_no_report_with_the_grant_book():
    """Guards against faults between GroupAuthority, GrantManager and GrantHolder."""
    assert scenarios.random_faults(TrialOptions(vm=GrantBookVm))[1] == []
