"""Evacuations of data centres.

Guards against a request that reaches an evacuated data centre after the bound, and against requests
that are rejected although their owner may still serve them.
"""

import asyncio
import itertools

import attrs
import pytest

from fireflyferry.balancing import Evacuations, Standing, UpstreamDirectory, VmDirectory
from fireflyferry.balancing.evacuations import SEND_MARGIN_S
from fireflyferry.edges.system_clock import BootClock
from fireflyferry.gateway import documents
from fireflyferry.gateway.calls import Attempt
from fireflyferry.gateway.edges import Document, StoreCallError
from fireflyferry.gateway.feed import Feed, FeedAnswer
from fireflyferry.gateway.knowledge import DocumentSync
from fireflyferry.gateway.locating import Search
from fireflyferry.gateway.mirror import DocumentMirror, FeedChanges, KindChanges
from fireflyferry.gateway.peer_client import read_evacuations_age
from fireflyferry.gateway.planning import RangePlanner
from fireflyferry.gateway.state import GatewayState
from fireflyferry.gateway.tests.places import REGIONS, ManualClock, Place, make_upstream, make_vm
from fireflyferry.gateway.tests.support import (
    FakeCodec,
    FakeStore,
    make_config,
    make_route,
)
from fireflyferry.gateway.tests.virtual_time import LoopClock, run_in_virtual_time
from fireflyferry.gateway.watching import StoreHealth
from fireflyferry.messages.codec import unstructure
from fireflyferry.telemetry import Reason
from fireflyferry.telemetry.reasons import REASONS

BOUND_S = 5.0
SEND_S = 0.5  # part of the margin in which a request that was just sent arrives


def evacuate(place, *names):
    place.state.apply_evacuations({name: Document(name, 1, {}) for name in names})


def test_keys_are_served_until_the_margin_before_the_bound():
    evacuations = Evacuations(BOUND_S)
    assert evacuations.apply(10.0, ["dc-1"], 9.0) == (["dc-1"], [])
    assert evacuations.keys_until_s("dc-1") == 9.0 + BOUND_S - SEND_MARGIN_S
    assert evacuations.keys_until_s("dc-2") is None
    assert evacuations.apply(30.0, [], 29.0) == ([], ["dc-1"])
    assert not evacuations.is_evacuated("dc-1") and evacuations.ended_s("dc-1") == 30.0


def test_first_list_is_of_unknown_age():
    """Guards against keys that a restarted VM serves after the bound of an old order."""
    evacuations = Evacuations(BOUND_S)
    evacuations.apply(10.0, ["dc-1"], float("-inf"))
    assert evacuations.keys_until_s("dc-1") == float("-inf")


def test_requests_without_a_key_go_elsewhere_at_once_and_return():
    upstreams = [make_upstream("near"), make_upstream("far", "dc-2")]
    place = Place(upstreams)
    evacuate(place, "dc-1")
    assert place.locate().upstream.run.upstream_id == "far"
    refused = place.locate(tried=["far"])
    assert isinstance(refused, Attempt) and refused.reason is Reason.DATA_CENTRE_EVACUATED
    assert REASONS[refused.reason].status == 503 and refused.retry_after_s > 0
    evacuate(place)
    assert place.locate().upstream.run.upstream_id == "near"


def test_evacuation_of_an_unknown_data_centre_changes_nothing(caplog):
    place = Place([make_upstream("near")])
    evacuate(place, "dc-9")
    assert place.locate().upstream.run.upstream_id == "near"
    assert "evacuation_of_unknown_data_centre" in caplog.text


def test_key_is_served_by_its_evacuated_owner_until_the_bound_and_then_rejected():
    upstreams = [make_upstream("a", pool="keyed"), make_upstream("b", "dc-2", "keyed")]
    place = Place(upstreams, bound_s=BOUND_S)
    place.own(upstreams[0])

    def locate():
        return asyncio.run(place.locator.locate(place.call("keyed", 7), Search()))

    place.order_not_before_s = place.clock.now_s
    evacuate(place, "dc-1")
    place.clock.now_s += BOUND_S - SEND_MARGIN_S - 0.01
    assert locate().upstream == upstreams[0]
    assert [each.run for each, _ in place.state.upstreams.listed(place.clock.now_s, "keyed")]
    place.clock.now_s += 0.02
    assert locate().reason is Reason.DATA_CENTRE_EVACUATED
    listed = dict(place.state.upstreams.listed(place.clock.now_s, "keyed"))
    assert listed == {upstreams[1]: True}  # so the first one gets no grant either


def test_keys_move_away_from_an_evacuated_data_centre():
    place = Place([make_upstream("a", pool="keyed"), make_upstream("b", "dc-2", "keyed")])
    evacuate(place, "dc-1")
    planner = RangePlanner(BootClock(), place.state.upstreams)
    runs = planner._run_capacities(place.clock.now_s, "keyed")
    assert [each.run.upstream_id for each in runs] == ["b"]


def test_allowed_regions_and_evacuations_hold_together():
    """Guards against an evacuation that lets requests leave the allowed regions."""
    upstreams = [make_upstream(f"u{n}", f"dc-{n}") for n in (1, 2, 3)]
    route = make_route("read", "plain", allowed_regions=frozenset({"r-1"}))
    place = Place(upstreams, (), make_config(routes=(route,)))
    evacuate(place, "dc-1")
    assert place.locate().upstream.run.upstream_id == "u2"
    evacuate(place, "dc-1", "dc-2")
    assert place.locate().reason is Reason.REGION_NOT_ALLOWED
    evacuate(place, "dc-2")
    assert place.locate().upstream.run.upstream_id == "u1"


def test_age_of_evacuations_travels_beside_the_feed():
    assert read_evacuations_age("1250") == 1.25
    for odd in (None, "", "-1", "1.5", "\u0661", "soon"):
        assert read_evacuations_age(odd) == float("inf")


# Sites of several VMs, in virtual time


class SlowStore(FakeStore):
    """Store whose answers take `delay_s`; watches that wait at `silent_at_s` get no answer."""

    def __init__(self, delay_s, silent_at_s):
        super().__init__()
        self._delay_s, self._silent_at_s = delay_s, silent_at_s

    async def read(self, kind, name, stale=False, fresh=False):
        await asyncio.sleep(self._delay_s)
        return await super().read(kind, name, stale)

    async def list(self, kind, stale=False):
        found = await super().list(kind, stale)
        await asyncio.sleep(self._delay_s)
        return found

    async def watch(self, kind, position, wait_s):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        found = await super().watch(kind, position, wait_s)
        if started_s < self._silent_at_s <= loop.time():
            await asyncio.sleep(max(0.0, started_s + wait_s + 0.6 - loop.time()))
            raise StoreCallError("no answer")
        await asyncio.sleep(self._delay_s)
        return found


@attrs.define(eq=False)
class Vm:
    """State and synchronisation of one VM of a site."""

    site: "Site"
    entry: object
    state: GatewayState = None
    sync: DocumentSync = None
    tasks: list = attrs.field(factory=list)
    lost: bool = False

    def start(self):
        clock = LoopClock()
        health = StoreHealth(clock, 5.0)
        self.state = GatewayState(
            clock,
            FakeCodec(),
            UpstreamDirectory(2.0, evacuations=Evacuations(BOUND_S)),
            VmDirectory(self.entry, REGIONS),
            health.failed_recently,
            lambda: 0.0,
            lambda: self.sync.mirror.changed_after_s("evacuations"),
        )
        self.sync = DocumentSync(
            clock, self.site.store, health, FakeCodec(), self.state, lambda _: None,
            self.site.poll, 3.0, evacuate_s=BOUND_S,
        )  # fmt: skip
        self.tasks = [asyncio.ensure_future(work()) for work in self.sync.background_work()]
        self.tasks.append(asyncio.ensure_future(self.check_store()))

    async def check_store(self):
        """Call the store as the lease does, which renews the age of what a relay passes on."""
        while True:
            await self.sync._probe()
            await asyncio.sleep(0.8)

    def stop(self):
        for task in self.tasks:
            task.cancel()

    def standing(self, name="u1"):
        return self.state.upstreams.standing(asyncio.get_running_loop().time(), name)


class Site:
    """VMs of one data centre; the first ones are relays."""

    def __init__(self, store, count=4):
        self.store = store
        self.vms = {f"vm-{n}": Vm(self, make_vm(n, capacity=9.0 - n)) for n in range(1, count + 1)}

    async def start(self):
        await self.store.put("configs", "main", unstructure(make_config()))
        upstream = make_upstream("u1", "dc-2")
        await self.store.put("upstreams", "u1", unstructure(upstream))
        for vm in self.vms.values():
            content = documents.vm_content(vm.entry)
            await self.store.put(documents.VM_KIND, vm.entry.vm_id, content)
        for vm in self.vms.values():
            vm.start()
        await self.until(lambda vm: vm.state.complete)

    async def poll(self, vm, request, hold_s):
        peer = self.vms[vm.vm_id]
        if peer.lost:
            await asyncio.sleep(hold_s + 0.4)
            return None
        answer = await peer.sync.feed.answer(request)
        await asyncio.sleep(0.01)
        return None if peer.lost else answer

    async def until(self, condition, but=()):
        others = [vm for vm in self.vms.values() if vm not in but]
        while not all(map(condition, others)):
            await asyncio.sleep(0.02)

    def stop(self):
        for vm in self.vms.values():
            vm.stop()


async def evacuated_after_s(store, ordered_s, lose_relay=False, vms=4):
    """Return how long after an order each VM sends nothing without and with a key."""
    site, loop = Site(store, vms), asyncio.get_running_loop()
    await site.start()
    await asyncio.sleep(ordered_s - loop.time())
    lost = [site.vms["vm-1"]] if lose_relay else []
    for vm in lost:
        vm.lost = True
    await store.put("evacuations", "dc-2", {})
    order_s = loop.time()
    await site.until(lambda vm: vm.standing() is not Standing.READY, lost)
    stopped_s = loop.time() - order_s
    await site.until(lambda vm: vm.standing() is Standing.GONE, lost)
    gone_s = loop.time() - order_s
    await store.remove("evacuations", "dc-2")
    await site.until(lambda vm: vm.standing() is Standing.READY, lost)
    site.stop()
    return stopped_s, gone_s


MOMENTS_S = [8.0 + step * 0.37 for step in range(8)]


@pytest.mark.parametrize("vms", [2, 4])
@pytest.mark.parametrize("delay_s", [0.004, 0.25])
def test_sound_or_slow_store_stops_requests_soon_and_keys_by_the_bound(vms, delay_s):
    for ordered_s in MOMENTS_S:
        store = SlowStore(delay_s, float("inf"))
        stopped_s, gone_s = run_in_virtual_time(evacuated_after_s(store, ordered_s, vms=vms))
        assert stopped_s < 0.5 + 4 * delay_s
        assert gone_s <= BOUND_S - SEND_S
        assert gone_s >= 1.0, "keys get no time to move"


@pytest.mark.parametrize(("lose_relay", "silent"), list(itertools.product([True, False], repeat=2)))
def test_bound_holds_behind_a_lost_relay_and_silent_connections(lose_relay, silent):
    """Guards against delays of a relay and of its follower that add up to more than the bound."""
    for ordered_s in MOMENTS_S:
        store = SlowStore(0.02, ordered_s + 0.01 if silent else float("inf"))
        _, gone_s = run_in_virtual_time(evacuated_after_s(store, ordered_s, lose_relay))
        assert gone_s <= BOUND_S - SEND_S


def test_restarted_vm_is_not_ready_before_it_knows_the_evacuations():
    """Guards against requests that a VM sends between its start and its first list."""

    async def run():
        store = SlowStore(0.25, float("inf"))
        site = Site(store)
        await site.start()
        await store.put("evacuations", "dc-2", {})
        await site.until(lambda vm: vm.standing() is Standing.GONE)
        for vm in site.vms.values():
            vm.stop()
            vm.start()
        await site.until(lambda vm: vm.state.complete)
        assert all(vm.standing() is Standing.GONE for vm in site.vms.values())
        site.stop()

    run_in_virtual_time(run())


def test_without_the_setting_no_call_is_made_for_evacuations():
    """Guards against a price for deployments that have no evacuations."""
    kinds = set()

    class CountingStore(FakeStore):
        async def list(self, kind, stale=False):
            kinds.add(kind)
            return await super().list(kind, stale)

        async def watch(self, kind, position, wait_s):
            kinds.add(kind)
            return await super().watch(kind, position, wait_s)

    async def run():
        store, clock = CountingStore(), LoopClock()
        place = Place([])
        sync = DocumentSync(
            clock, store, StoreHealth(clock, 5.0), FakeCodec(), place.state, lambda _: None, None,
            3.0,
        )  # fmt: skip
        tasks = [asyncio.ensure_future(work()) for work in sync.background_work()]
        await asyncio.sleep(10.0)
        for task in tasks:
            task.cancel()
        assert place.state.complete

    run_in_virtual_time(run())
    assert "evacuations" not in kinds and "configs" in kinds


def test_vm_without_a_list_of_evacuations_is_not_complete():
    place = Place([], bound_s=BOUND_S)
    assert not place.state.complete
    evacuate(place)
    assert place.state.complete


@pytest.mark.parametrize(("age_s", "known_s"), [(2.0, 98.0), (float("inf"), float("-inf"))])
def test_follower_trusts_evacuations_only_as_far_as_its_relay_knew_them(age_s, known_s):
    """Guards against a relay whose watch of evacuations is silent while its other calls are not."""
    clock = ManualClock(100.0)
    mirror = DocumentMirror({})
    health = StoreHealth(clock, 5.0)
    feed = Feed(
        clock, mirror, health, None, (), "vms", (), None, None, evacuation_kind="evacuations"
    )
    kinds = {kind: KindChanges(1) for kind in ("configs", "evacuations")}
    feed._apply_answer(FeedAnswer("i1", 0.1, 9.0, FeedChanges(1, True, kinds), age_s), 99.9)
    assert mirror.complete_until_s("evacuations") == known_s
    assert mirror.complete_until_s("configs") == pytest.approx(99.9)
