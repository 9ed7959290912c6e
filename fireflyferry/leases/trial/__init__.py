"""Seeded model of VMs, a store and upstreams around the real lease modules.

The benchmark and the tests of this package run it. Time is simulated, and each process has a
clock of its own whose rate differs from the others' by at most the drift bound.
"""

from fireflyferry.leases.trial.faults import TrialFaults, run_random_faults
from fireflyferry.leases.trial.processes import TrialOptions, TrialUpstream, TrialVm
from fireflyferry.leases.trial.world import TrialWorld

__all__ = [
    "TrialFaults",
    "TrialOptions",
    "TrialUpstream",
    "TrialVm",
    "TrialWorld",
    "run_random_faults",
]
