"""Admission control: slots and fair queues of upstreams, with deadline checks."""

from fireflyferry.admission.fair_queue import FairQueue
from fireflyferry.admission.service_times import ServiceTimes
from fireflyferry.admission.stopping import StopPlan, is_probably_answered
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
    "StopPlan",
    "UpstreamQueue",
    "Wait",
    "is_probably_answered",
]
