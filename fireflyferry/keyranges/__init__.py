"""Key ranges: owners, the lease of the granting VM, grants, and division by load."""

from fireflyferry.keyranges.demand import KeyDemand, KeySample
from fireflyferry.keyranges.division import (
    DivisionRules,
    Move,
    RunLoad,
    first_division,
    plan_moves,
    plan_replacements,
)
from fireflyferry.keyranges.granter import RangeGranter
from fireflyferry.keyranges.lease import LeaseRecord, LeaseRules, ReadLease, StoreLease, WriteLease
from fireflyferry.keyranges.orders import (
    GrantAnswer,
    GrantCall,
    GrantTiming,
    ListedRun,
    ReleaseCall,
    SaveTable,
)
from fireflyferry.keyranges.table import (
    KEY_COUNT,
    LAST_KEY,
    OwnedRange,
    OwnerTable,
    UpstreamRun,
)

__all__ = [
    "KEY_COUNT",
    "LAST_KEY",
    "DivisionRules",
    "GrantAnswer",
    "GrantCall",
    "GrantTiming",
    "KeyDemand",
    "KeySample",
    "LeaseRecord",
    "LeaseRules",
    "ListedRun",
    "Move",
    "OwnedRange",
    "OwnerTable",
    "RangeGranter",
    "ReadLease",
    "ReleaseCall",
    "RunLoad",
    "SaveTable",
    "StoreLease",
    "UpstreamRun",
    "WriteLease",
    "first_division",
    "plan_moves",
    "plan_replacements",
]
