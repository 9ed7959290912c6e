"""Connections to the store that fall silent, which only a timeout shows."""

import asyncio

import pytest

from fireflyferry.gateway.edges import Document, DocumentBatch, MetadataStore, StoreCallError
from fireflyferry.gateway.mirror import DocumentMirror
from fireflyferry.gateway.tests.virtual_time import LoopClock, run_in_virtual_time
from fireflyferry.gateway.watching import (
    WATCH_MARGIN_S,
    KindWatcher,
    StoreHealth,
    make_watch_rules,
)

SLOW_ANSWER_S = 0.25
GAPS_S = (0.05, 0.5)
MOMENTS_S = [step / 8 for step in range(1, 41)]


class SilencedStore(MetadataStore):
    """Store with one document that changes; calls that wait at `silent_from_s` get no answer.

    If `silent_until_s` is given, all calls until then get none either, as in an outage.
    """

    def __init__(self, silent_from_s, silent_until_s=0.0):
        self._silent_from_s = silent_from_s
        self._silent_until_s = max(silent_from_s, silent_until_s)
        self.document = Document("main", 1, 1)

    async def read(self, kind, name, stale=False, fresh=False):
        raise NotImplementedError

    async def write(self, kind, name, content, revision):
        raise NotImplementedError

    async def list(self, kind, stale=False):
        return DocumentBatch(self.document.revision, (self.document,))

    async def watch(self, kind, position, wait_s):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while loop.time() < started_s + wait_s and self.document.revision <= position:
            await asyncio.sleep(0.01)
        if started_s < self._silent_until_s and loop.time() >= self._silent_from_s:
            await asyncio.sleep(started_s + wait_s + WATCH_MARGIN_S - loop.time())
            raise StoreCallError("no answer")
        await asyncio.sleep(SLOW_ANSWER_S)
        changed = (self.document,) if self.document.revision > position else ()
        return DocumentBatch(self.document.revision, changed)


async def hidden_s(store, rules, changed_s):
    """Return for how long a change is hidden from a watcher."""
    clock = LoopClock()
    mirror = DocumentMirror({})
    watcher = KindWatcher(store, StoreHealth(clock, 5.0), clock, mirror, "config", rules)
    task = asyncio.ensure_future(watcher.run())
    await asyncio.sleep(changed_s)
    store.document = Document("main", 2, 2)
    while mirror.documents("config").get("main") != store.document:
        await asyncio.sleep(0.01)
    task.cancel()
    return clock.monotonic_s() - changed_s


@pytest.mark.parametrize("settle_window_s", [2.0, 3.0, 4.0])
@pytest.mark.parametrize("gap_s", GAPS_S)
def test_silent_connection_hides_no_change_for_longer_than_the_settle_window(
    settle_window_s, gap_s
):
    """Guards against a configuration that is applied seconds late after connections fell silent.

    Review case 3: a watch waited for 5 s for an answer that could not come any more.
    """
    rules = make_watch_rules(settle_window_s, gap_s)
    for silent_s in MOMENTS_S:
        hidden = run_in_virtual_time(hidden_s(SilencedStore(silent_s), rules, silent_s))
        assert hidden <= settle_window_s, f"silent from {silent_s} s"


@pytest.mark.parametrize("settle_window_s", [2.0, 3.0, 4.0])
@pytest.mark.parametrize("gap_s", GAPS_S)
def test_change_after_a_silent_outage_is_applied_within_the_settle_window(settle_window_s, gap_s):
    """Guards against a watch that was sent during an outage and hides changes after its end."""
    rules = make_watch_rules(settle_window_s, gap_s)
    for end_s in MOMENTS_S:
        store = SilencedStore(1.0, 1.0 + end_s)
        hidden = run_in_virtual_time(hidden_s(store, rules, 1.0 + end_s))
        assert hidden <= settle_window_s, f"outage of {end_s} s"
