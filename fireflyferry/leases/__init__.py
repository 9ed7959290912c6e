"""Leases that decide which VM leads a group and which units an upstream may serve."""

from fireflyferry.leases.actions import (
    Action,
    ReadRecord,
    SendHeartbeat,
    TakeoverCause,
    WriteOutcome,
    WriteRecord,
)
from fireflyferry.leases.authority import GroupAuthority
from fireflyferry.leases.holder import CheckResult, GrantHolder, RequestTicket
from fireflyferry.leases.timing import LeaseTiming, LeaseTimingError

__all__ = [
    "Action",
    "CheckResult",
    "GrantHolder",
    "GroupAuthority",
    "LeaseTiming",
    "LeaseTimingError",
    "ReadRecord",
    "RequestTicket",
    "SendHeartbeat",
    "TakeoverCause",
    "WriteOutcome",
    "WriteRecord",
]
