"""Leases: which VM leads a group, and which units an upstream may serve."""

from fireflyferry.leases.holder import CheckResult, GrantHolder, RequestTicket
from fireflyferry.leases.timing import LeaseTiming, LeaseTimingError

__all__ = ["CheckResult", "GrantHolder", "LeaseTiming", "LeaseTimingError", "RequestTicket"]
