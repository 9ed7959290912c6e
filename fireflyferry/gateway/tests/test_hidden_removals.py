"""Guards against requests to upstreams whose removal was hidden by silent connections.

Review case 9: such an upstream counted as lapsed in an outage, and stayed in use.
"""

import asyncio

import attrs
import pytest

from fireflyferry.balancing import Standing, Upstream, UpstreamDirectory
from fireflyferry.gateway.edges import Document, DocumentBatch, MetadataStore, StoreCallError
from fireflyferry.gateway.mirror import DocumentMirror
from fireflyferry.gateway.tests.virtual_time import LoopClock, run_in_virtual_time
from fireflyferry.gateway.watching import (
    WATCH_MARGIN_S,
    KindWatcher,
    StoreHealth,
    make_watch_rules,
)
from fireflyferry.keyranges import UpstreamRun

KIND = "upstreams"
RULES = make_watch_rules(3.0, 0.05)
UPSTREAM = Upstream(UpstreamRun("u1", 1), "p", "10.0.0.1:80", "dc-1", 2)
DISTURBED_S = 5.0
MOMENTS_S = [step / 8 for step in range(8, 32)]


@attrs.define(eq=False)
class Store(MetadataStore):
    """Store with one entry that is removed at `removed_s`.

    Connections that are open at `silent_from_s` carry nothing any more; until `silent_until_s` no
    later one does either, as in an outage. With `resets`, calls end at once instead.
    """

    silent_from_s: float
    silent_until_s: float
    removed_s: float
    resets: bool = False

    async def read(self, kind, name, stale=False, fresh=False):
        raise NotImplementedError

    async def write(self, kind, name, content, revision):
        raise NotImplementedError

    async def list(self, kind, stale=False):
        return DocumentBatch(1, (Document("u1", 1, 1),))

    async def watch(self, kind, position, wait_s):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        until_s = started_s + wait_s
        while True:
            if self._is_silent(started_s, loop.time()):
                left_s = 0.0 if self.resets else until_s + WATCH_MARGIN_S - loop.time()
                await asyncio.sleep(left_s)
                raise StoreCallError("no answer", loop.time() - started_s)
            if position < 2 and loop.time() >= self.removed_s:
                return DocumentBatch(2, (), ("u1",))
            if loop.time() >= until_s:
                return DocumentBatch(position, ())
            await asyncio.sleep(0.01)

    def _is_silent(self, started_s, now_s):
        return now_s >= self.silent_from_s and started_s <= self.silent_until_s


async def standings(store, seconds):
    """Return the standing of the upstream each 10 ms."""
    clock = LoopClock()
    health, upstreams = StoreHealth(clock, DISTURBED_S), UpstreamDirectory(1.6)

    def apply(documents):
        listed = [UPSTREAM] if documents else []
        upstreams.apply(
            clock.monotonic_s(), listed, health.failed_recently(), mirror.unobserved_s(KIND)
        )

    mirror = DocumentMirror({KIND: apply})
    watcher = KindWatcher(store, health, clock, mirror, KIND, RULES)
    task = asyncio.ensure_future(watcher.run())
    seen = []
    start_s = clock.monotonic_s()
    while clock.monotonic_s() < start_s + seconds:
        await asyncio.sleep(0.01)
        seen.append((clock.monotonic_s(), upstreams.standing(clock.monotonic_s(), "u1")))
    task.cancel()
    return seen


@pytest.mark.parametrize("resets", [False, True], ids=["silent", "reset"])
@pytest.mark.parametrize("moment_s", MOMENTS_S)
def test_removal_hidden_by_lost_connections_is_no_lapse(moment_s, resets):
    async def scenario():
        start_s = asyncio.get_running_loop().time()
        silent_s = start_s + moment_s
        store = Store(silent_s, silent_s, silent_s + 0.2, resets)
        learned_by_s = silent_s + 3.0
        for now_s, standing in await standings(store, moment_s + 6.0):
            if now_s > learned_by_s:
                assert standing is not Standing.READY

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("resets", [False, True], ids=["silent", "reset"])
@pytest.mark.parametrize("outage_s", [4.5, 8.0])
def test_entry_that_expires_in_an_outage_is_a_lapse(outage_s, resets):
    """Guards against live upstreams that are not used after an outage of the store."""

    async def scenario():
        start_s = asyncio.get_running_loop().time()
        store = Store(start_s + 1.0, start_s + 1.0 + outage_s, start_s + 4.0, resets)
        seen = await standings(store, outage_s + 6.0)
        ready_s = max(now_s for now_s, standing in seen if standing is Standing.READY)
        assert ready_s > start_s + 1.0 + outage_s + 1.0

    run_in_virtual_time(scenario())


def test_unanswered_call_counts_as_a_failure_until_another_is_answered():
    """Guards against an outage that is not noticed before its second call without an answer."""
    clock = attrs.make_class("Clock", ["now_s"])(10.0)
    clock.__class__.monotonic_s = lambda self: self.now_s
    health = StoreHealth(clock, DISTURBED_S)
    health.on_failure(StoreCallError("no answer", 1.5))
    assert health.failed_recently()
    clock.now_s = 10.5  # of a call that began before the first one failed
    health.on_failure(StoreCallError("no answer", 1.5))
    health.on_success()
    assert not health.failed_recently() and health.last_failure_age_s > DISTURBED_S
    health.on_failure(StoreCallError("no answer", 1.5))
    clock.now_s = 12.0
    health.on_failure(StoreCallError("no answer", 1.5))
    health.on_success()
    assert health.failed_recently() and health.last_failure_age_s == 0.0
