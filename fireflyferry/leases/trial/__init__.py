"""Seeded simulation of VMs, a store and upstreams that run the real lease modules.

The benchmark and the tests of `fireflyferry.leases` use it. Time is simulated, and each process
has its own clock, whose rate differs from the others' by at most the drift bound.
"""

from fireflyferry.leases.trial.faults import FaultInjector, run_random_faults
from fireflyferry.leases.trial.processes import SimulatedUpstream, SimulatedVm, SimulationOptions
from fireflyferry.leases.trial.world import SimulatedWorld

__all__ = [
    "FaultInjector",
    "SimulatedUpstream",
    "SimulatedVm",
    "SimulatedWorld",
    "SimulationOptions",
    "run_random_faults",
]
