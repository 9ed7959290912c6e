"""Model of first hops and shared last hops in several data centres, without a network."""

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable

import attrs

from fireflyferry.balancing import (
    Choice,
    Demand,
    LoadTracker,
    QueueRules,
    SelectionRules,
    SlotQueue,
    Ticket,
    Upstream,
    Waiting,
)
from fireflyferry.balancing.slot_queue import Admitted
from fireflyferry.keyranges import UpstreamRun

REGIONS = (0, 0, 1, 1)  # region of each data centre
VMS, UPSTREAMS, SLOTS = 8, 6, 3
SERVICE_S = 0.32
CAPACITY_PER_S = UPSTREAMS * SLOTS / SERVICE_S  # of one data centre
ONE_WAY_S = (0.0005, 0.0014, 0.008)
ANSWER_BYTES = 2_000
MAX_HOPS = 4


class FixedCostTracker(LoadTracker):
    """Choice of the earlier revision: 10 ms for a data centre, half of the target for a region."""

    target_s = 1.29

    def choose(self, now_s, upstreams, distance, demand, exact_wait, tried=()):
        upstreams = list(upstreams)
        mean_service_s = self._mean_service_s(upstreams)
        best = None
        for upstream in upstreams:
            if upstream.run.upstream_id in tried:
                continue
            level = distance(upstream)
            option = self._option(now_s, upstream, level, exact_wait(upstream), mean_service_s)
            cost_s = option.cost_s + (0.01 if level else 0.0)
            cost_s += 0.5 * self.target_s if level > 1 else 0.0
            rank = (option.avoided, cost_s)
            if best is None or rank < best[0]:
                best = (rank, Choice(upstream, option.wait_s, 0.0, level))
        return best[1] if best is not None else None


@attrs.frozen
class Load:
    """A load: requests by data centre and time, as a share of a data centre's capacity.

    `slowness` returns the factor on the service time of an upstream, `closed` whether a data
    centre's upstreams take no requests.
    """

    share: Callable[[int, float], float]
    slowness: Callable[[int, int, float], float] = lambda centre, number, at_s: 1.0
    closed: Callable[[int, float], bool] = lambda centre, at_s: False
    body_bytes: int = 1_000
    lasts_s: float = 20.0
    target_s: float = 1.29
    deadline_s: float = 3.2


@attrs.define
class Result:
    """What callers got, and what left the data centre of its first hop."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    bytes_in_region: int = 0
    bytes_between_regions: int = 0
    hops_away: int = 0
    sent_by_second: dict[tuple[int, int], int] = attrs.field(factory=dict)

    @property
    def share_in_time(self) -> float:
        return self.in_time / self.requests

    def __str__(self):
        counts = (self.in_time, self.late, self.refused, self.hops_away)
        shares = ", ".join(f"{each / self.requests:.4f}" for each in counts)
        mb = f"{self.bytes_in_region / 1e6:.2f}, {self.bytes_between_regions / 1e6:.2f}"
        return f"in time, late, refused, hops away: {shares}; MB in region, between: {mb}"


def sum_of(results: Iterable[Result]) -> Result:
    """Add up the results of several runs."""
    total = Result()
    for result in results:
        for name in ("requests", "in_time", "late", "refused", "hops_away"):
            setattr(total, name, getattr(total, name) + getattr(result, name))
        total.bytes_in_region += result.bytes_in_region
        total.bytes_between_regions += result.bytes_between_regions
        for key, sent in result.sent_by_second.items():
            total.sent_by_second[key] = total.sent_by_second.get(key, 0) + sent
    return total


@attrs.define(eq=False)
class _Request:
    centre: int
    vm: int
    ticket: Ticket
    full: set = attrs.field(factory=set)
    hops: int = 0
    target: Upstream | None = None
    sent_to: int = 0


class World:
    """Data centres with their upstreams, queues, last hops and first hops."""

    def __init__(self, tracker_class: type[LoadTracker], load: Load, seed: int = 7):
        self.rng = random.Random(seed)
        self.load, self.result = load, Result()
        centres = range(len(REGIONS))
        self.upstreams = [
            [Upstream(UpstreamRun(f"{c}-{n}", 1), "p", "", str(c), SLOTS) for n in range(UPSTREAMS)]
            for c in centres
        ]
        # The model's upstreams have no queue of their own, so nothing is sent ahead to them.
        rules = QueueRules(prefetch=0)
        self.queues = {each.run: SlotQueue(SLOTS, rules) for row in self.upstreams for each in row}
        # Last hops choose among the upstreams of one data centre, by the same rule before and now.
        self.last_hops = [LoadTracker(SelectionRules(), self.rng) for _ in centres]
        self.trackers = [
            [tracker_class(SelectionRules(), self.rng) for _ in range(VMS)] for _ in centres
        ]
        self.requests: dict[Ticket, _Request] = {}
        for each in itertools.chain(*self.trackers):
            each.target_s = load.target_s
        self.events: list = []
        self.sequence = itertools.count()

    def at(self, at_s, function, *arguments):
        heapq.heappush(self.events, (at_s, next(self.sequence), function, arguments))

    def run(self) -> Result:
        for centre in range(len(REGIONS)):
            at_s = 0.0
            while at_s < self.load.lasts_s:
                at_s += self.rng.expovariate(CAPACITY_PER_S * 3.0)
                if self.rng.random() < self.load.share(centre, at_s) / 3.0:
                    self.at(at_s, self.arrive, centre)
        while self.events:
            now_s, _, function, arguments = heapq.heappop(self.events)
            function(now_s, *arguments)
        return self.result

    def arrive(self, now_s, centre):
        self.result.requests += 1
        ticket = Ticket(1, now_s, now_s + self.load.target_s, now_s + self.load.deadline_s)
        self.send(now_s, _Request(centre, self.rng.randrange(VMS), ticket))

    def forecast(self, now_s, centre):
        queues = (self.queues[each.run] for each in self.upstreams[centre])
        return min(((each.wait_s(now_s), each.service_s) for each in queues), key=sum)

    def distance(self, from_centre, to_centre):
        if from_centre == to_centre:
            return 0
        return 1 if REGIONS[from_centre] == REGIONS[to_centre] else 2

    def send(self, now_s, request):
        tracker = self.trackers[request.centre][request.vm]
        merged = [
            attrs.evolve(row[0], slots=sum(each.slots for each in row))
            for centre, row in enumerate(self.upstreams)
            if str(centre) not in request.full and not self.load.closed(centre, now_s)
        ]
        ticket = request.ticket
        choice = tracker.choose(
            now_s,
            merged,
            lambda each: self.distance(request.centre, int(each.data_centre)),
            Demand(
                ticket.target_time_s - now_s,
                ticket.deadline_s - now_s,
                self.load.body_bytes,
                bool(request.full),
            ),
            # The first VM of each data centre is the last hop there.
            lambda each: (
                self.forecast(now_s, request.centre)
                if request.vm == 0 and each.data_centre == str(request.centre)
                else None
            ),
        )
        if choice is None or request.hops >= MAX_HOPS:
            self.result.refused += 1
            return
        request.hops += 1
        request.target, request.sent_to = choice.upstream, int(choice.upstream.data_centre)
        tracker.on_sent(request.target.run)
        self.count_bytes(request, self.load.body_bytes)
        if request.centre != request.sent_to:
            self.result.hops_away += 1
        key = (request.sent_to, int(now_s))
        self.result.sent_by_second[key] = self.result.sent_by_second.get(key, 0) + 1
        self.at(now_s + self.one_way_s(request), self.offer, request)

    def one_way_s(self, request):
        return ONE_WAY_S[self.distance(request.centre, request.sent_to)]

    def count_bytes(self, request, size_bytes):
        level = self.distance(request.centre, request.sent_to)
        if level == 1:
            self.result.bytes_in_region += size_bytes
        elif level == 2:
            self.result.bytes_between_regions += size_bytes

    def offer(self, now_s, request):
        queues = self.queues
        choice = self.last_hops[request.sent_to].choose(
            now_s,
            self.upstreams[request.sent_to],
            lambda _: 0,
            Demand(request.ticket.target_time_s - now_s),
            lambda each: (queues[each.run].wait_s(now_s), queues[each.run].service_s),
        )
        run = choice.upstream.run
        request.ticket = attrs.evolve(request.ticket)
        self.requests[request.ticket] = request
        offered = queues[run].offer(now_s, request.ticket)
        if isinstance(offered, Admitted):
            self.start(now_s, run, request)
        elif not isinstance(offered, Waiting):
            self.answer(now_s, request, False)

    def start(self, now_s, run, request):
        centre, number = (int(part) for part in run.upstream_id.split("-"))
        service_s = SERVICE_S * self.load.slowness(centre, number, now_s)
        service_s *= self.rng.uniform(0.5, 1.5)
        self.at(now_s + service_s, self.end, run, request, service_s)

    def end(self, now_s, run, request, service_s):
        queue = self.queues[run]
        queue.finish(now_s, service_s)
        self.answer(now_s, request, True)
        while (ticket := queue.pop(now_s)) is not None:
            if now_s > ticket.wait_until_s or not queue.can_finish(now_s, ticket):
                queue.finish(now_s, None)
                self.answer(now_s, self.requests[ticket], False)
            else:
                self.start(now_s, run, self.requests[ticket])

    def answer(self, now_s, request, answered):
        forecast = self.forecast(now_s, request.sent_to)
        self.at(now_s + self.one_way_s(request), self.receive, request, answered, forecast)

    def receive(self, now_s, request, answered, forecast):
        tracker, run = self.trackers[request.centre][request.vm], request.target.run
        tracker.on_ended(run)
        tracker.on_forecast(now_s, run, *forecast)
        self.count_bytes(request, ANSWER_BYTES if answered else 0)
        if answered:
            tracker.on_room(run)
            in_time = now_s <= request.ticket.target_time_s
            self.result.in_time += in_time
            self.result.late += not in_time
            return
        tracker.on_no_room(now_s, run)
        request.full.add(str(request.sent_to))
        self.send(now_s, request)


def wave(centre: int, at_s: float) -> float:
    """Demand that swings by 55% in 15 s, out of phase between data centres."""
    return 0.75 * (1.0 + 0.55 * math.sin(2 * math.pi * (at_s / 15.0 + centre / len(REGIONS))))
