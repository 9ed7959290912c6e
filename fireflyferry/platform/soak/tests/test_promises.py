"""Guards against checks of promises that miss what VMs do, or report what is excused."""

from types import SimpleNamespace

import pytest

from fireflyferry.platform.soak.audit import Audit
from fireflyferry.platform.soak.promises import LeavingPromise

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
    promise.on_arrival(9.5, "a", upstream, vms[LAST_HOP])
    promise.on_answer(9.9, "a", upstream, vms[LAST_HOP], None)
    promise.on_ended(10.0, "a", status)
    vars(vms[arrives_from]).update(change)
    promise.on_sent(sent_s, "b", vms[OTHER])
    promise.on_arrival(sent_s + 0.1, "b", upstream, vms[arrives_from])
    assert bool(audit.findings) is reported
