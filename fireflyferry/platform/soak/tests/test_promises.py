"""Guards against checks of promises that miss what VMs do, or report what is excused."""

from types import SimpleNamespace

import pytest

from fireflyferry.platform.soak.audit import Audit
from fireflyferry.platform.soak.promises import LeavingPromise, QuietPromise

FIRST_HOP, LAST_HOP, OTHER = "vm-1", "vm-2", "vm-3"


class Upstream:
    label, leaving = "i-1/1", True


def make_vms():
    return {
        vm_id: SimpleNamespace(vm_id=vm_id, starts=1, disturbed=False)
        for vm_id in (FIRST_HOP, LAST_HOP, OTHER)
    }


@pytest.mark.parametrize(
    ("status", "sent_s", "arrives_from", "change", "reported"),
    [
        (200, 12.1, LAST_HOP, {}, True),
        (200, 12.1, FIRST_HOP, {}, True),
        (200, 12.1, OTHER, {}, False),
        (200, 11.9, LAST_HOP, {}, False),
        (0, 12.1, LAST_HOP, {}, False),
        (200, 12.1, LAST_HOP, {"starts": 2}, False),
        (200, 12.1, LAST_HOP, {"disturbed": True}, False),
    ],
)
def test_request_to_an_upstream_that_said_it_leaves(status, sent_s, arrives_from, change, reported):
    audit, vms = Audit(), make_vms()
    promise = LeavingPromise(audit, drain_timeout_s=2.0)
    upstream = Upstream()
    promise.on_sent(9.0, "a", vms[FIRST_HOP])
    promise.on_arrival(9.5, 9.5, "a", upstream, vms[LAST_HOP])
    promise.on_answer(9.9, "a", upstream, vms[LAST_HOP], None)
    promise.on_ended(10.0, "a", status)
    vars(vms[arrives_from]).update(change)
    promise.on_sent(sent_s, "b", vms[OTHER])
    promise.on_arrival(sent_s, sent_s + 0.1, "b", upstream, vms[arrives_from])
    assert bool(audit.findings) is reported


@pytest.mark.parametrize(
    ("retry_after_s", "arrivals_s", "change", "reported"),
    [
        (3.0, (10.6, 11.0, 12.9), {}, True),
        (3.0, (10.6, 12.9), {}, False),
        (3.0, (10.1, 10.2, 10.4, 13.1, 13.2, 13.3), {}, False),
        (3.0, (10.6, 11.0, 12.9), {"starts": 2}, False),
        (3.0, (10.6, 11.0, 12.9), {"disturbed": True}, False),
        (0.4, (10.6, 11.0, 12.9), {}, False),
        (None, (10.6, 11.0, 12.9), {}, False),
    ],
)
def test_requests_to_an_upstream_that_asked_for_quiet(retry_after_s, arrivals_s, change, reported):
    audit, vms, upstream = Audit(), make_vms(), Upstream()
    promise = QuietPromise(audit)
    promise.on_answer(10.0, "a", upstream, vms[LAST_HOP], retry_after_s)
    vars(vms[LAST_HOP]).update(change)
    for arrival_s in arrivals_s:
        promise.on_arrival(arrival_s, arrival_s, "b", upstream, vms[OTHER])
        promise.on_arrival(arrival_s, arrival_s, "b", upstream, vms[LAST_HOP])
    assert bool(audit.findings) is reported
