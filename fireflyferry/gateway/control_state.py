"""Timing of the control loop, and its state of each pool."""

import attrs

from fireflyferry.gateway.planning import PlanProgress
from fireflyferry.keyranges import RangeGranter

__all__ = ["ControlRules", "PoolControl"]


@attrs.frozen
class ControlRules:
    """Timing of the control loop, in seconds.

    The VM that holds the lease works each `tick_interval_s`, the others each `idle_interval_s`.
    Each VM adds a random delay of up to `takeover_jitter_s` before it takes over an expired
    lease, so that the VMs do not all try to acquire it at the same moment.
    """

    tick_interval_s: float = 0.05
    idle_interval_s: float = 0.2
    takeover_jitter_s: float = 0.4


@attrs.define
class PoolControl:
    """State of one pool's grants in the current term, the time for which this VM holds the lease.

    `table_read` is False until the stored owner table was read, and again after a failed save.
    `reading` is whether a read is in flight.
    """

    granter: RangeGranter
    progress: PlanProgress
    table_read: bool = False
    reading: bool = False
