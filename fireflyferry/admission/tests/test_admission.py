"""Slots, fairness, bounds and deadlines of an upstream's queue."""

import collections

import hypothesis.strategies as st
import pytest
from hypothesis import given
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from fireflyferry.admission import (
    Admit,
    FairQueue,
    QueueLimits,
    Refuse,
    ServiceTimes,
    SlotRequest,
    UpstreamQueue,
    Wait,
)
from fireflyferry.telemetry import Reason

TENANTS = {"a": 1, "b": 1, "c": 2}
LIMITS = QueueLimits(max_length=8, max_wait_s=10.0, weights=TENANTS)


def busy_queue(limits=LIMITS, service_s=None):
    """Return a queue whose two slots are taken, with a mean service time."""
    queue = UpstreamQueue(2, limits)
    for _ in range(2):
        assert queue.offer(0.0, SlotRequest("a", 1e9)) == Admit()
    if service_s is not None:
        for _ in range(200):
            queue.release(0.0, service_s)
            assert queue.offer(0.0, SlotRequest("a", 1e9)) == Admit()
    return queue


def test_slots_are_exact():
    """Guards against more requests at an upstream than it has slots."""
    queue = busy_queue()
    assert queue.offer(0.0, SlotRequest("a", 1e9)) == Wait()
    assert queue.pop(0.0) is None
    queue.release(0.0)
    assert (
        queue.offer(0.0, SlotRequest("b", 1e9)) == Wait()
    ), "a free slot goes to a request that waits"
    assert queue.pop(0.0).tenant == "a"
    assert queue.pop(0.0) is None


def test_length_and_tenant_bounds():
    """Guards against a tenant that fills the queue, and against an unbounded queue."""
    queue = busy_queue()
    answers = [queue.offer(0.0, SlotRequest("a", 1e9)) for _ in range(5)]
    assert answers == [Wait()] * 4 + [Refuse(Reason.TENANT_LIMIT)]
    assert [queue.offer(0.0, SlotRequest("b", 1e9)) for _ in range(4)] == [Wait()] * 4
    assert queue.offer(0.0, SlotRequest("c", 1e9)) == Refuse(Reason.QUEUE_FULL)


def test_a_single_tenant_may_fill_the_queue():
    """Guards against a tenant limit where no other tenant shares the queue."""
    queue = busy_queue(QueueLimits(max_length=8))
    assert [queue.offer(0.0, SlotRequest("x", 1e9)) for _ in range(8)] == [Wait()] * 8


def test_deadlines():
    """Guards against requests that are sent although they cannot finish in time."""
    queue = busy_queue(service_s=1.0)
    assert queue.offer(0.0, SlotRequest("a", 0.0)) == Refuse(Reason.DEADLINE_TOO_SHORT)
    assert queue.offer(0.0, SlotRequest("a", 1.4)) == Refuse(Reason.DEADLINE_TOO_SHORT)
    expired = SlotRequest("a", 1.7)
    assert queue.offer(0.0, expired) == Wait()
    queue.release(0.8, 1.0)
    assert queue.pop(0.8) is None
    assert queue.expire(0.8) == [(expired, Refuse(Reason.DEADLINE_PASSED_IN_QUEUE))]


def test_idle_upstream_gets_requests_despite_slow_observations():
    """Guards against an estimate that refuses all requests and so is never corrected."""
    queue = busy_queue(service_s=100.0)
    queue.release(0.0)
    queue.release(0.0)
    assert queue.offer(0.0, SlotRequest("a", 1.0)) == Admit()
    assert queue.offer(0.0, SlotRequest("a", 1.0)) == Refuse(Reason.DEADLINE_TOO_SHORT)


def test_waiting_time_is_bounded():
    """Guards against requests that wait longer than the limit of the pool."""
    queue = busy_queue(QueueLimits(max_wait_s=0.5))
    request = SlotRequest("a", 1e9)
    assert queue.offer(1.0, request) == Wait()
    assert queue.expire(1.4) == []
    assert queue.expire(1.5) == [(request, Refuse(Reason.DEADLINE_PASSED_IN_QUEUE))]
    assert queue.waiting == 0


def test_greedy_tenant_does_not_delay_the_others():
    """Guards against a tenant that sends ten times its share and delays the others."""
    queue = FairQueue(TENANTS)
    for number in range(100):
        for tenant in "aaaaaaaaaa":
            queue.push(tenant, (tenant, number))
        queue.push("b", ("b", number))
        for _ in range(2):
            queue.push("c", ("c", number))
    served = collections.Counter(queue.pop()[0] for _ in range(400))
    assert served == {"a": 100, "b": 100, "c": 200}


def test_unlisted_tenants_share_one_turn():
    """Guards against a share that grows with invented tenant names."""
    queue = FairQueue({"a": 1})
    for number in range(50):
        queue.push(f"invented-{number}", "other")
        queue.push("a", "a")
    served = collections.Counter(queue.pop() for _ in range(40))
    assert served == {"a": 20, "other": 20}


@given(st.lists(st.sampled_from("abcx"), max_size=60), st.sampled_from("abcx"))
def test_ahead_of_bounds_the_items_served_before(tenants, tenant_of_new):
    """Guards against a wait estimate that is too short."""
    queue = FairQueue(TENANTS)
    for tenant in tenants:
        queue.push(tenant, "old")
    max_ahead = queue.ahead_of(tenant_of_new)
    queue.push(tenant_of_new, "new")
    assert [queue.pop() for _ in range(len(queue))].index("new") <= max_ahead


@pytest.mark.parametrize("values", [[1.0] * 50, [0.5, 1.5] * 50])
def test_service_times(values):
    """Guards against an estimate far from the observations."""
    times = ServiceTimes()
    for value in values:
        times.observe(value)
    assert times.mean_s == pytest.approx(1.0, abs=0.1)
    assert times.low_s == pytest.approx(min(values), rel=0.05)


def test_low_estimate_follows_a_lasting_change():
    """Guards against one quick answer that keeps requests queued that cannot finish."""
    times = ServiceTimes()
    for _ in range(500):
        times.observe(1.0)
    times.observe(0.1)
    assert times.low_s == 0.1
    for _ in range(500):
        times.observe(1.0)
    assert times.low_s > 0.9


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a simple model.

    Requests are offered, released and cancelled, and time passes, in any order.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.running = []
        self.waiting = []

    @initialize(slots=st.integers(1, 4), length=st.integers(0, 6))
    def start(self, slots, length):
        self.limits = QueueLimits(max_length=length, max_wait_s=2.0, weights=TENANTS)
        self.queue = UpstreamQueue(slots, self.limits)

    @rule(tenant=st.sampled_from("abcx"), time_s=st.sampled_from([0.0, 0.5, 5.0]))
    def offer(self, tenant, time_s):
        request = SlotRequest(tenant, self.now_s + time_s)
        answer = self.queue.offer(self.now_s, request)
        if answer == Admit():
            self.running.append(request)
        elif answer == Wait():
            self.waiting.append(request)

    @precondition(lambda self: self.running)
    @rule(service_s=st.sampled_from([None, 0.1, 1.0]))
    def release(self, service_s):
        self.running.pop()
        self.queue.release(self.now_s, service_s)
        while (request := self.queue.pop(self.now_s)) is not None:
            assert request.deadline_s > self.now_s
            self.waiting.remove(request)
            self.running.append(request)
        self.drop_expired()

    @rule(time_s=st.sampled_from([0.1, 1.0]))
    def advance(self, time_s):
        self.now_s += time_s
        self.drop_expired()
        assert all(request.queued_s + 2.0 > self.now_s for request in self.waiting)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        request = data.draw(st.sampled_from(self.waiting))
        assert self.queue.cancel(request)
        assert not self.queue.cancel(request)
        self.waiting.remove(request)

    @rule(slots=st.integers(1, 4))
    def configure(self, slots):
        self.queue.configure(slots, self.limits)
        while (request := self.queue.pop(self.now_s)) is not None:
            self.waiting.remove(request)
            self.running.append(request)
        self.drop_expired()

    def drop_expired(self):
        for request, refusal in self.queue.expire(self.now_s):
            assert refusal.reason is Reason.DEADLINE_PASSED_IN_QUEUE
            self.waiting.remove(request)

    @invariant()
    def counts_agree(self):
        if hasattr(self, "queue"):
            assert self.queue.busy == len(self.running)
            assert self.queue.waiting == len(self.waiting) <= self.limits.max_length
            assert not self.waiting or self.queue.busy >= self.queue.slots


TestQueueMachine = QueueMachine.TestCase
