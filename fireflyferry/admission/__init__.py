"""Admission control: slots and fair queues of upstreams, with deadline checks."""

from fireflyferry.admission.fair_queue import FairQueue
from fireflyferry.admission.service_times import ServiceTimes
from fireflyferry.admission.upstream_queue import (
    Admit,
    QueueLimits,
    Refuse,
    SlotRequest,
    UpstreamQueue,
    Wait,
)

__all__ = [
    "Admit",
    "FairQueue",
    "QueueLimits",
    "Refuse",
    "ServiceTimes",
    "SlotRequest",
    "UpstreamQueue",
    "Wait",
]
