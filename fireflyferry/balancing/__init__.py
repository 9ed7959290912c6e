"""Choice of upstream and last hop, queues of upstreams, retry budgets, split of traffic."""

from fireflyferry.balancing.directory import Standing, Upstream, UpstreamDirectory
from fireflyferry.balancing.retry_window import RetryWindow
from fireflyferry.balancing.selection import Choice, LoadBoard, SelectionRules
from fireflyferry.balancing.shares import ShareSplitter
from fireflyferry.balancing.slot_queue import (
    Admitted,
    QueueRules,
    Refused,
    SlotQueue,
    Ticket,
    Waiting,
)
from fireflyferry.balancing.vms import LARGE_DATA_CENTRE_VMS, EntryVm, VmDirectory

__all__ = [
    "LARGE_DATA_CENTRE_VMS",
    "Admitted",
    "Choice",
    "EntryVm",
    "LoadBoard",
    "QueueRules",
    "Refused",
    "RetryWindow",
    "SelectionRules",
    "ShareSplitter",
    "SlotQueue",
    "Standing",
    "Ticket",
    "Upstream",
    "UpstreamDirectory",
    "VmDirectory",
    "Waiting",
]
