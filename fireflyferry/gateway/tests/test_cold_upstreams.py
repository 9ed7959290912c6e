"""Cold upstreams and bytes of bodies at the last hop, in virtual time.

Guards against requests that end the process of an upstream which has just started.
"""

import asyncio
import random

import attrs
import pytest

from fireflyferry.balancing import LoadTracker, SelectionRules
from fireflyferry.balancing.body_bytes import BodyBytes
from fireflyferry.balancing.cold_limits import ColdSenders
from fireflyferry.gateway.calls import Answer, Attempt
from fireflyferry.gateway.last_hop import LastHop
from fireflyferry.gateway.metrics import GatewayMetrics
from fireflyferry.gateway.peer_messages import read_result, write_result
from fireflyferry.gateway.planning import RangePlanner
from fireflyferry.gateway.send_limits import SendLimits
from fireflyferry.gateway.tests.places import REGIONS, Place, make_upstream, make_vm
from fireflyferry.gateway.tests.support import HEADER_NAMES, make_config
from fireflyferry.gateway.tests.virtual_time import LoopClock, run_in_virtual_time
from fireflyferry.routing.hosts import PoolSpec
from fireflyferry.telemetry import Outcome, Reason

PER_S, LIMIT = 3.4, 3.4 * 1.5 + 8.0
WARM_UP = {"warmup_s": 3.0, "warmup_per_s": PER_S}
POOLS = {"plain": PoolSpec("plain", False, **WARM_UP), "keyed": PoolSpec("keyed", True, **WARM_UP)}


class SoundPath:
    """Path to upstreams that is never lost."""

    on_hand_over = None

    def refusal(self):
        return None

    def explain(self, attempt):
        return attempt


class RecordingLastHop(LastHop):
    """Last hop that records what it sends; each request takes `service_s`."""

    service_s = 0.02

    def __init__(self, place, limits, sent, **options):
        super().__init__(
            place.clock,
            None,
            place.state.upstreams,
            place.state.candidates,
            LoadTracker(SelectionRules(), random.Random(1)),
            HEADER_NAMES,
            GatewayMetrics(),
            SoundPath(),
            limits=limits,
            **options,
        )
        self._sent = sent

    async def _exchange(self, call, upstream):
        self._sent.append((self._clock.monotonic_s(), upstream.run.upstream_id))
        await asyncio.sleep(self.service_s)
        return Attempt(Outcome.ANSWERED, answer=Answer(200, [], b""), reached=True)


def make_last_hop(upstreams, sent, config=None, known_s=-100.0, **options):
    """Return the place and the last hop of one VM, which knows itself only since `known_s`."""
    place = Place(upstreams, (), config or make_config(pools=POOLS), clock=LoopClock())
    senders = ColdSenders(make_vm(1), REGIONS, place.state.cold.rules)
    senders.on_vms(known_s, [])
    limits = SendLimits(place.clock, place.state, senders)
    return place, RecordingLastHop(place, limits, sent, **options)


async def send(place, last_hop, upstream, rate, duration_s):
    """Send requests at a rate; return the results."""
    tasks = []
    for _ in range(round(rate * duration_s)):
        tasks.append(asyncio.ensure_future(last_hop.run(place.call("write"), upstream)))
        await asyncio.sleep(1 / rate)
    return await asyncio.gather(*tasks)


def most_in_one_second(times_s):
    return max(
        (sum(1 for t in times_s if start <= t < start + 1.0) for start in times_s), default=0
    )


@pytest.mark.parametrize("rate", [20, 200])
def test_two_last_hops_keep_the_limit_together(rate):
    """Load: two VMs believe that they are the last hop of a cold upstream, and each gets `rate`
    requests a second."""

    async def run():
        cold, sent = make_upstream("cold", warmup_left_s=3.0, slots=50), []
        pairs = [make_last_hop([cold], sent) for _ in range(2)]
        results = await asyncio.gather(*(send(*pair, cold, rate, 2.9) for pair in pairs))
        assert most_in_one_second([at_s for at_s, _ in sent]) <= LIMIT
        refused = [each for part in results for each in part if each.reason is Reason.UPSTREAM_COLD]
        assert sent and refused and all(each.retry_after_s > 0.0 for each in refused)
        assert all(each.outcome is Outcome.NOT_RUN and not each.reached for each in refused)

    run_in_virtual_time(run())


def test_limit_ends_with_the_cold_time_and_returns_when_it_turns_cold_again():
    async def run():
        cold, sent = make_upstream("cold", warmup_left_s=1.0, slots=50), []
        place, last_hop = make_last_hop([cold], sent)
        await asyncio.sleep(1.1)
        results = await send(place, last_hop, cold, 40, 2.0)
        assert all(each.outcome is Outcome.ANSWERED for each in results)
        place.list_upstreams([cold], revision=2)
        results = await send(place, last_hop, cold, 40, 0.9)
        assert all(each.reason is Reason.UPSTREAM_COLD for each in results)

    run_in_virtual_time(run())


def test_vm_that_is_not_the_sender_sends_nothing_to_a_cold_upstream():
    """Guards against first hops that send directly, and against a VM that has just started."""

    async def run():
        cold, sent = make_upstream("cold", warmup_left_s=3.0), []
        place, last_hop = make_last_hop([cold], sent, known_s=0.0)
        (got,) = await send(place, last_hop, cold, 1, 1)
        assert got.reason is Reason.UPSTREAM_COLD and not sent
        assert 1.9 < got.retry_after_s <= 3.0

    run_in_virtual_time(run())


def test_upstream_is_cold_for_a_time_after_its_evacuation():
    async def run():
        upstream, sent = make_upstream("u1", warmup_left_s=0.0, slots=50), []
        place, last_hop = make_last_hop([upstream], sent)
        place.state.apply_evacuations({"dc-1": None})
        await asyncio.sleep(1.0)
        place.state.apply_evacuations({})
        await send(place, last_hop, upstream, 100, 3.0)
        assert sent
        assert most_in_one_second([at_s for at_s, _ in sent]) <= LIMIT / 2

    run_in_virtual_time(run())


def test_requests_go_to_a_warm_upstream_beside_a_cold_one():
    """Load: 100 requests a second at a shared last hop, of which a cold upstream takes few."""

    async def run():
        upstreams, sent = [make_upstream("cold", warmup_left_s=3.0), make_upstream("warm")], []
        place, last_hop = make_last_hop(upstreams, sent)
        last_hop._candidates = lambda now_s, upstream: upstreams
        results = await send(place, last_hop, upstreams[0], 100, 2.0)
        assert most_in_one_second([at_s for at_s, name in sent if name == "cold"]) <= LIMIT / 2
        assert sum(each.outcome is Outcome.ANSWERED for each in results) > 0.9 * len(results)

    run_in_virtual_time(run())


def test_cold_owner_gets_fewer_keys():
    upstreams = [make_upstream(name, pool="keyed", slots=6) for name in ("cold", "warm")]
    upstreams[0] = attrs.evolve(upstreams[0], warmup_left_s=3.0)
    place = Place(upstreams, (), make_config(pools=POOLS))
    planner = RangePlanner(place.clock, place.state.upstreams, cold_rate=place.state.cold_rate)
    capacities = planner._run_capacities(place.clock.now_s, "keyed")
    by_name = {each.run.upstream_id: each.capacity for each in capacities}
    assert by_name["cold"] == PER_S < by_name["warm"] / 2


def test_vms_of_earlier_revisions_read_the_refusal_as_a_full_queue():
    refused = Attempt(Outcome.NOT_RUN, Reason.UPSTREAM_COLD, retry_after_s=1.5)
    read = read_result(write_result(refused), None, "u1")
    assert (read.reason, read.retry_after_s) == (Reason.QUEUE_FULL, 1.5)


def test_without_a_warm_up_rate_nothing_is_limited_or_counted():
    """Guards against a change for deployments without the fields."""

    async def run():
        cold, sent = make_upstream("cold", warmup_left_s=3.0, slots=50), []
        place, last_hop = make_last_hop([cold], sent, config=make_config(), known_s=0.0)
        results = await send(place, last_hop, cold, 100, 1.0)
        assert all(each.outcome is Outcome.ANSWERED for each in results)
        assert place.state.cold_rate(cold) is None and not place.state.cold._sent_s

    run_in_virtual_time(run())


@pytest.mark.parametrize("in_parts", [False, True])
def test_bodies_in_flight_at_one_upstream_are_bounded(in_parts):
    """Guards against large bodies that together exceed the memory of an upstream.

    Bodies of callers come in parts; their parts were counted as if each was a byte.
    """

    async def run():
        upstream, sent = make_upstream("u1", slots=50), []
        place, last_hop = make_last_hop([upstream], sent, body_bytes=BodyBytes(100))
        sizes = [150, 10, 0]
        bodies = [b"x" * size for size in sizes]
        if in_parts:
            bodies = [(body[:-1], body[-1:]) for body in bodies]
        calls = [attrs.evolve(place.call("write"), body=body) for body in bodies]
        results = await asyncio.gather(*(last_hop.run(each, upstream) for each in calls))
        assert [each.reason for each in results] == [None, Reason.QUEUE_FULL, None]
        assert results[1].retry_after_s > 0.0
        again = await last_hop.run(calls[1], upstream)
        assert again.outcome is Outcome.ANSWERED

    run_in_virtual_time(run())
