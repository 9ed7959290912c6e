"""Queue of an upstream under overload and hot keys, with retries and upstreams that hang."""

import random

import pytest

from fireflyferry.balancing import Admitted, QueueRules, Refused, SlotQueue, Ticket, Waiting
from fireflyferry.telemetry import Reason

SERVICE_S = 0.2


def ticket(now_s=0.0, target_latency_s=0.5, left_s=2.0, priority=1, age_s=0.0, returned=False):
    start_s = now_s - age_s
    return Ticket(priority, start_s, start_s + target_latency_s, now_s + left_s, returned)


def busy_queue(slots=2, busy=None):
    """Return a queue with a known service time and `busy` sent requests, by default the maximum."""
    queue = SlotQueue(slots)
    for _ in range(20):
        queue.offer(0.0, ticket())
        queue.finish(0.0, SERVICE_S)
    for _ in range(slots + 1 if busy is None else busy):
        assert isinstance(queue.offer(0.0, ticket()), Admitted)
    return queue


def test_at_most_one_request_more_than_slots_is_sent():
    """Guards against an upstream that answers nothing because it has too many requests."""
    queue = busy_queue(slots=2)
    assert isinstance(queue.offer(0.0, ticket()), Waiting)
    assert queue.busy == 3 and queue.pop(0.0) is None
    queue.finish(0.1, SERVICE_S)
    assert queue.pop(0.1) is not None and queue.busy == 3


def test_more_urgent_tickets_go_first_then_older_callers():
    """Guards against a less urgent request that passes a more urgent one."""
    queue = busy_queue(slots=4)
    late, urgent, older = (
        ticket(priority=2),
        ticket(priority=0, now_s=0.01),
        ticket(priority=2, age_s=0.05),
    )
    for each in (late, urgent, older):
        assert isinstance(queue.offer(0.01, each), Waiting)
    for _ in range(5):
        queue.finish(0.1, SERVICE_S)
    assert [queue.pop(0.1) for _ in range(3)] == [urgent, older, late]


def test_request_that_cannot_finish_in_time_is_refused_at_once():
    queue = busy_queue()
    refused = queue.offer(0.0, ticket(left_s=0.25))
    assert isinstance(refused, Refused) and refused.reason is Reason.DEADLINE_TOO_SHORT


def test_new_request_is_refused_when_it_would_miss_its_target_time():
    """Guards against an overloaded queue in which all requests, retries included, become late.

    Load pattern: many callers send at once. Those that are refused and retry must find room in the
    queue and not a line of requests whose answers will be late.
    """
    queue = busy_queue()
    outcomes = [queue.offer(0.0, ticket()) for _ in range(30)]
    waiting = sum(isinstance(each, Waiting) for each in outcomes)
    assert 0 < waiting <= 4
    assert all(each.reason is Reason.QUEUE_FULL for each in outcomes[waiting:])


def test_each_refusal_names_a_later_time():
    """Guards against callers that all retry at the same time.

    Load pattern: many requests are refused at once.
    """
    queue = busy_queue()
    outcomes = [queue.offer(0.0, ticket()) for _ in range(30)]
    times = [each.retry_after_s for each in outcomes if isinstance(each, Refused)]
    assert times == sorted(times) and len(set(times)) == len(times)
    assert times[-1] - times[0] == pytest.approx((len(times) - 1) * SERVICE_S / 2)


def test_retried_request_past_its_target_time_waits_while_the_queue_is_short():
    queue = busy_queue()
    retried = ticket(age_s=0.6, left_s=1.4, returned=True)
    assert isinstance(queue.offer(0.0, retried), Waiting)


def test_idle_upstream_takes_any_request():
    """Guards against an estimate that is never corrected because nothing is sent."""
    queue = SlotQueue(1)
    queue.offer(0.0, ticket())
    queue.finish(0.0, 30.0)
    assert isinstance(queue.offer(0.0, ticket(left_s=0.1)), Admitted)


def test_stalled_upstream_refuses_instead_of_queueing():
    """Guards against requests that queue at an upstream that hangs.

    Load pattern: an upstream accepts requests and never answers.
    """
    queue = busy_queue(slots=1, busy=2)
    assert not queue.is_stalled(1.0)
    assert queue.is_stalled(2.0)
    assert isinstance(queue.offer(2.0, ticket(now_s=2.0)), Refused)
    queue.finish(2.1, None)
    assert not queue.is_stalled(2.1)


def test_cancelled_ticket_leaves_the_queue():
    queue = busy_queue()
    first, second = ticket(target_latency_s=1.0), ticket(target_latency_s=1.0)
    queue.offer(0.0, first)
    queue.offer(0.0, second)
    queue.cancel(first)
    assert len(queue) == 1
    queue.finish(0.1, SERVICE_S)
    assert queue.pop(0.1) is second


def test_drained_queue_gives_all_tickets_back():
    queue = busy_queue()
    waiting = [ticket(target_latency_s=1.0), ticket(target_latency_s=1.0)]
    for each in waiting:
        queue.offer(0.0, each)
    assert queue.drain() == waiting and len(queue) == 0


def simulate(queue, is_fifo, load, seconds=60.0, seed=1):
    """Return the number of answers in time of one upstream under Poisson arrivals."""
    rng = random.Random(seed)
    now_s, in_time, serving, fifo = 0.0, 0, [], []
    arrivals = []
    while now_s < seconds:
        now_s += rng.expovariate(load * 2 / SERVICE_S)
        arrivals.append(now_s)

    def start(at_s, each):
        serving.append((at_s + SERVICE_S * rng.uniform(0.7, 1.3), each))

    def complete(until_s):
        nonlocal in_time
        while serving and min(serving, key=lambda each: each[0])[0] <= until_s:
            done = min(serving, key=lambda each: each[0])
            serving.remove(done)
            in_time += done[0] <= done[1].target_time_s
            if is_fifo:
                if fifo:
                    start(done[0], fifo.pop(0))
                continue
            queue.finish(done[0], SERVICE_S)
            while (next_ticket := queue.pop(done[0])) is not None:
                start(done[0], next_ticket)

    for at_s in arrivals:
        complete(at_s)
        each = ticket(at_s)
        if is_fifo:
            fifo.append(each) if len(serving) >= 2 else start(at_s, each)
        elif isinstance(queue.offer(at_s, each), Admitted):
            start(at_s, each)
    complete(seconds)
    return in_time


@pytest.mark.parametrize("load", [0.5, 1.0, 1.5, 3.0])
def test_goodput_under_overload_against_a_fifo_queue(load):
    """Guards against goodput that collapses under overload, as in a FIFO without refusals."""
    with_refusals = simulate(SlotQueue(2, QueueRules(prefetch=0)), False, load)
    without_refusals = simulate(None, True, load)
    capacity = 60.0 * 2 / SERVICE_S
    assert with_refusals >= 0.95 * without_refusals
    if load > 1.0:
        assert with_refusals > 0.9 * capacity > 5 * without_refusals
