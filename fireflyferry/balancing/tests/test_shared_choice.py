"""Guards against idle upstreams beside full ones where many VMs each see few requests."""

import heapq
import itertools
import random

import attrs

from fireflyferry.balancing import LoadTracker, SelectionRules, SlotQueue, Ticket, Upstream, Waiting
from fireflyferry.balancing.slot_queue import Admitted
from fireflyferry.keyranges import UpstreamRun

SPEEDS = (0.5, 1.0, 1.0, 1.5)
WORK_S, OBJECTIVE_S, DEADLINE_S = 0.4, 1.2, 5.0
UPSTREAMS, ENTRY_VMS, SLOTS = 14, 15, 2
REQUESTS = 3_000


@attrs.define
class Site:
    """Upstreams of unequal speed with exact queues, and what each entry VM was told of them."""

    rng: random.Random
    upstreams: list[Upstream] = attrs.field(init=False)
    queues: dict[str, SlotQueue] = attrs.field(init=False)
    boards: list[LoadTracker] = attrs.field(init=False)

    def __attrs_post_init__(self):
        ids = [f"u{number}" for number in range(UPSTREAMS)]
        self.upstreams = [Upstream(UpstreamRun(n, 1), "p", n, "dc", SLOTS) for n in ids]
        self.queues = {name: SlotQueue(SLOTS) for name in ids}
        self.boards = [LoadTracker(SelectionRules(), self.rng) for _ in range(ENTRY_VMS)]

    def choose(self, now_s, board, exact):
        def exact_wait(upstream):
            queue = self.queues[upstream.run.upstream_id]
            return (queue.wait_s(now_s), queue.service_s) if exact else None

        choice = board.choose(now_s, self.upstreams, lambda _: 0, OBJECTIVE_S, exact_wait)
        return choice.upstream.run.upstream_id


def share_in_time(shared: bool, load: float) -> float:
    """Play open-loop requests of many VMs; return the share that is answered in time."""
    rng = random.Random(7)
    site = Site(rng)
    capacity = sum(SLOTS / (WORK_S * SPEEDS[n % 4]) for n in range(UPSTREAMS))
    events, order, tickets, in_time, now_s = [], itertools.count(), {}, 0, 0.0
    for _ in range(REQUESTS):
        now_s += rng.expovariate(load * capacity)
        heapq.heappush(events, (now_s, next(order), "arrives", "", None))

    def begin(at_s, name, ticket):
        work_s = WORK_S * SPEEDS[int(name[1:]) % 4] * rng.uniform(0.5, 1.5)
        heapq.heappush(events, (at_s + work_s, next(order), "ends", name, (ticket, work_s)))

    while events:
        now_s, _, what, name, detail = heapq.heappop(events)
        if what == "arrives":
            vm = rng.randrange(ENTRY_VMS)
            board = site.boards[0 if shared else vm]
            name = site.choose(now_s, board, shared)
            ticket = Ticket(1, now_s, now_s + OBJECTIVE_S, now_s + DEADLINE_S)
            tickets[ticket] = board
            board.on_sent(name)
            offered = site.queues[name].offer(now_s, ticket)
            if isinstance(offered, Admitted):
                begin(now_s, name, ticket)
            elif not isinstance(offered, Waiting):
                board.on_ended(name)
            continue
        ticket, work_s = detail
        queue, board = site.queues[name], tickets[ticket]
        queue.finish(now_s, work_s)
        board.on_ended(name)
        board.on_forecast(now_s, name, queue.wait_s(now_s), queue.service_s)
        in_time += now_s <= ticket.target_time_s
        while (following := queue.pop(now_s)) is not None:
            begin(now_s, name, following)
    return in_time / REQUESTS


def test_one_last_hop_for_a_pool_answers_more_in_time_than_many_views():
    """Load pattern: 15 VMs, each with one request in 15, before 14 upstreams of unequal speed."""
    for load in (0.6, 0.85):
        separate, shared = share_in_time(False, load), share_in_time(True, load)
        print(f"load {load}: own views {separate:.3f}, shared last hop {shared:.3f}")
        assert shared > separate
    assert share_in_time(True, 0.6) > 0.95
