"""Queue of an upstream under overload and hot keys, with retries and upstreams that hang."""

import heapq
import itertools
import random

import pytest

from fireflyferry.balancing import Admitted, QueueRules, Refused, SlotQueue, Ticket, Waiting
from fireflyferry.telemetry import Reason

SERVICE_S = 0.2


def ticket(now_s=0.0, target_latency_s=0.5, left_s=2.0, priority=1, age_s=0.0):
    start_s = now_s - age_s
    return Ticket(priority, start_s, start_s + target_latency_s, now_s + left_s)


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
    retried = ticket(age_s=0.6, left_s=1.4)
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


def test_free_slot_is_given_to_a_request_that_will_be_late():
    """Guards against idle slots while callers are sent away.

    Load pattern: an upstream has turned so slow that no request can be answered by its target time.
    """
    queue = SlotQueue(4)
    queue.offer(0.0, ticket())
    queue.finish(0.0, 0.6)
    for _ in range(4):
        assert isinstance(queue.offer(0.0, ticket()), Admitted)


def test_slots_of_an_unknown_upstream_are_all_used():
    """Guards against an assumed service time that leaves the slots of a new upstream idle.

    Load pattern: all VMs have just started, and callers expect answers within 0.23 s.
    """
    queue = SlotQueue(4)
    for _ in range(5):
        assert isinstance(queue.offer(0.0, ticket(target_latency_s=0.23)), Admitted)
    assert isinstance(queue.offer(0.0, ticket(target_latency_s=0.23)), Waiting)


def simulate_hot_key(load, seconds=20.0, seed=1, service_s=lambda now_s: 0.04):
    """Return the shares of callers answered in time and answered at all, for one key's owner.

    The load is relative to 100 requests a second, which the owner runs with the usual service time.
    Callers that are refused come back up to twice, after the time that they were told, but at most
    a third of the time that they have left.
    """
    rng = random.Random(seed)
    aim_s, deadline_s = 0.23, 1.5
    queue = SlotQueue(4)
    events = []  # (time, sequence, kind, data)
    sequence = itertools.count()
    at_s, callers = 0.0, 0
    while at_s < seconds:
        at_s += rng.expovariate(load * 100)
        callers += 1
        heapq.heappush(events, (at_s, next(sequence), "arrival", (at_s, 2)))
    in_time = answered = 0
    retries_left = {}

    def start(now_s, each):
        took_s = service_s(now_s) * rng.uniform(0.5, 1.5)
        heapq.heappush(events, (now_s + took_s, next(sequence), "end", (each, took_s)))

    def refuse(now_s, each, retry_after_s):
        left_s = each.deadline_s - now_s
        retries = retries_left.pop(each)
        if retries and left_s > 0.04:
            back_s = now_s + min(retry_after_s, left_s / 3)
            data = (each.started_s, retries - 1)
            heapq.heappush(events, (back_s, next(sequence), "arrival", data))

    while events:
        now_s, _, kind, data = heapq.heappop(events)
        if kind == "arrival":
            first_s, retries = data
            each = Ticket(1, first_s, first_s + aim_s, first_s + deadline_s)
            retries_left[each] = retries
            decision = queue.offer(now_s, each)
            if isinstance(decision, Admitted):
                start(now_s, each)
            elif isinstance(decision, Refused):
                refuse(now_s, each, decision.retry_after_s)
            else:
                heapq.heappush(events, (each.wait_until_s, next(sequence), "timeout", each))
        elif kind == "timeout":
            if data in retries_left:
                queue.cancel(data)
                refuse(now_s, data, queue.wait_s(now_s))
        else:
            each, took_s = data
            answered += now_s <= each.deadline_s
            in_time += now_s <= each.target_time_s
            queue.finish(now_s, took_s)
            while (each := queue.pop(now_s)) is not None:
                del retries_left[each]
                start(now_s, each)
    return in_time / callers, answered / callers


@pytest.mark.parametrize("load", [1.1, 1.33, 2.0])
def test_callers_that_return_late_do_not_delay_those_that_can_be_in_time(load):
    """Guards against an overloaded owner that answers everybody late.

    Load pattern: one key gets more requests than its owner can run, and the callers that were
    refused return with their target time passed.
    """
    in_time, answered = simulate_hot_key(load)
    assert answered > 0.95 / load
    assert in_time > 0.9 / load


def test_short_overload_is_bridged():
    """Guards against callers that are turned away three times within a short overload.

    Load pattern: a key turns hot at a slow owner; 1.2 s later it moves to a fast one, which has
    room for the callers that come back.
    """
    in_time, answered = simulate_hot_key(
        1.4, seconds=5.0, service_s=lambda now_s: 0.12 if now_s < 1.2 else 0.02
    )
    assert answered > 0.93
    assert in_time > 0.7
