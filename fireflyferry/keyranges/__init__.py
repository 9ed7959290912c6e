"""Key ranges of a pool: owner table, lease of the granting VM, grants, load balancing."""

from fireflyferry.keyranges.demand import SAMPLE_PERIOD_S, KeyDemand, KeySample
from fireflyferry.keyranges.division import (
    Move,
    RebalancingRules,
    RunCapacity,
    plan_failover,
    plan_initial_ranges,
    plan_rebalancing,
)
from fireflyferry.keyranges.granter import RangeGranter
from fireflyferry.keyranges.lease import (
    GrantingLeaseTiming,
    LeaseRecord,
    ReadLease,
    StoreLease,
    WriteLease,
)
from fireflyferry.keyranges.orders import (
    Clearance,
    GrantAnswer,
    GrantCall,
    GrantResult,
    GrantTiming,
    ListedRun,
    ReleaseCall,
    SaveTable,
)
from fireflyferry.keyranges.table import (
    KEY_COUNT,
    LAST_KEY,
    MAX_ERA,
    OwnedRange,
    OwnerTable,
    UpstreamRun,
    first_fence_of_era,
)

__all__ = [
    "KEY_COUNT",
    "LAST_KEY",
    "MAX_ERA",
    "SAMPLE_PERIOD_S",
    "Clearance",
    "GrantAnswer",
    "GrantCall",
    "GrantResult",
    "GrantTiming",
    "GrantingLeaseTiming",
    "KeyDemand",
    "KeySample",
    "LeaseRecord",
    "ListedRun",
    "Move",
    "OwnedRange",
    "OwnerTable",
    "RangeGranter",
    "ReadLease",
    "RebalancingRules",
    "ReleaseCall",
    "RunCapacity",
    "SaveTable",
    "StoreLease",
    "UpstreamRun",
    "WriteLease",
    "first_fence_of_era",
    "plan_failover",
    "plan_initial_ranges",
    "plan_rebalancing",
]
