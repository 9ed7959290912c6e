"""Choice of upstreams and last hops, slot queues, retry budgets, traffic splits."""

from fireflyferry.balancing.directory import Standing, Upstream, UpstreamDirectory
from fireflyferry.balancing.evacuations import Evacuations
from fireflyferry.balancing.quiet import QuietPeriods
from fireflyferry.balancing.reachability import Contact, InFlight, PathRules, UpstreamPath
from fireflyferry.balancing.region_limits import common_regions, effective_regions
from fireflyferry.balancing.retry_window import SlidingRetryBudget
from fireflyferry.balancing.selection import Choice, LoadTracker, SelectionRules
from fireflyferry.balancing.shares import TrafficSplitter
from fireflyferry.balancing.slot_queue import (
    Admitted,
    QueueRules,
    Refused,
    SlotQueue,
    Ticket,
    Waiting,
)
from fireflyferry.balancing.spillover import Demand, LeaveReason, SpilloverRules
from fireflyferry.balancing.vms import LARGE_DATA_CENTRE_VMS, EntryVm, VmDirectory

__all__ = [
    "LARGE_DATA_CENTRE_VMS",
    "Admitted",
    "Choice",
    "Contact",
    "Demand",
    "EntryVm",
    "Evacuations",
    "InFlight",
    "LeaveReason",
    "LoadTracker",
    "PathRules",
    "QueueRules",
    "QuietPeriods",
    "Refused",
    "SelectionRules",
    "SlidingRetryBudget",
    "SlotQueue",
    "SpilloverRules",
    "Standing",
    "Ticket",
    "TrafficSplitter",
    "Upstream",
    "UpstreamDirectory",
    "UpstreamPath",
    "VmDirectory",
    "Waiting",
    "common_regions",
    "effective_regions",
]
