"""Eras of the store: what a VM knows and does when the store comes back from a copy."""

import asyncio
from collections.abc import Callable

import attrs
import orjson
import pytest

from fireflyferry.balancing import EntryVm, Standing, VmDirectory
from fireflyferry.edges.system_clock import BootClock
from fireflyferry.gateway import documents, peer_messages
from fireflyferry.gateway.edges import Document, DocumentBatch, StoreCallError
from fireflyferry.gateway.eras import StoreEras
from fireflyferry.gateway.feed import Feed, FeedAnswer, FeedRequest, FeedRules
from fireflyferry.gateway.mirror import DocumentMirror, FeedChanges, KindChanges
from fireflyferry.gateway.state import OwnerTables
from fireflyferry.gateway.tests.support import (
    FakeStore,
    gateway,
    make_config,
    make_settings,
    upstream_content,
)
from fireflyferry.gateway.watching import KindPoller, KindWatcher, StoreHealth, WatchRules
from fireflyferry.keyranges import LAST_KEY, LeaseRecord, OwnedRange, OwnerTable, UpstreamRun
from fireflyferry.messages.codec import unstructure

RUN = UpstreamRun("u1", 1)


def table(era, fence=1):
    return OwnerTable("keyed", 1, fence, (OwnedRange(0, LAST_KEY, RUN, fence),), era)


def table_document(era, revision, fence=1):
    return Document("keyed", revision, documents.table_content(table(era, fence)))


def owner_mirror():
    return DocumentMirror({}, {documents.OWNER_KIND: documents.written_era})


# Documents


@pytest.mark.parametrize("era", [None, 0, 5])
def test_era_of_a_record_and_a_table_is_read_back(era):
    record = LeaseRecord("a", "a1", 3, era=era)
    assert documents.read_lease(Document("granting", 1, documents.lease_content(record))) == record
    assert documents.read_table(table_document(era, 4)) == table(era)


def test_store_without_eras_gets_the_same_content_as_before():
    """Guards against fields that a deployment without the header has never had."""
    assert "era" not in documents.lease_content(LeaseRecord("a", "a1", 3))
    assert "era" not in documents.table_content(table(None))
    answer = FeedAnswer("i1", 0.25, 3.5, FeedChanges(9, True, {}))
    assert peer_messages.write_feed_header(answer) == "i1 250 3500"


@pytest.mark.parametrize("era", ["5", -1, 1.5, True, [], 2**40])
def test_odd_era_in_a_document_counts_as_the_earliest(era):
    content = {**documents.table_content(table(4)), "era": era}
    document = Document("keyed", 1, orjson.loads(orjson.dumps(content)))
    assert documents.written_era(document) is None


# Order of documents


def test_list_of_a_new_era_replaces_documents_with_higher_revisions():
    """Guards against changes that are ignored until the store has reissued all revisions."""
    seen = []
    mirror = DocumentMirror({"k": lambda known: seen.append(dict(known))})
    mirror.begin_era(4)
    mirror.replace("k", DocumentBatch(100, (Document("a", 100, "new"), Document("b", 90, "b"))))
    mirror.begin_era(5)
    assert mirror.position("k") is None and not mirror.has_listed(["k"])
    assert set(mirror.documents("k")) == {"a", "b"}, "in use until the list has arrived"
    mirror.replace("k", DocumentBatch(80, (Document("a", 70, "copy"),)))
    assert seen[-1] == {"a": Document("a", 70, "copy")} and mirror.position("k") == 80
    mirror.change("k", KindChanges(81, (Document("b", 81, "written again"),)))
    assert set(seen[-1]) == {"a", "b"}


def test_owner_table_of_the_copy_does_not_replace_a_later_one():
    """Guards against requests that go to owners of before the copy was made."""
    mirror = owner_mirror()
    mirror.begin_era(4)
    known = table_document(4, 100)
    mirror.put(documents.OWNER_KIND, known)
    mirror.begin_era(5)
    mirror.replace(documents.OWNER_KIND, DocumentBatch(80, (table_document(4, 70),)))
    assert mirror.documents(documents.OWNER_KIND) == {"keyed": known}
    written = table_document(5, 82)
    mirror.put(documents.OWNER_KIND, written)
    assert mirror.documents(documents.OWNER_KIND) == {"keyed": written}


def test_tables_are_ordered_by_era_and_then_by_revision():
    tables = OwnerTables()
    assert tables.put(0.0, "keyed", 100, table(4))
    assert not tables.put(0.0, "keyed", 70, table(4))
    assert tables.put(0.0, "keyed", 82, table(5))
    assert not tables.put(0.0, "keyed", 900, table(4)) and not tables.put(
        0.0, "keyed", 999, table(None)
    )
    assert tables.is_known(table_document(5, 82)) and not tables.is_known(table_document(4, 82))


def test_follower_gets_only_kinds_that_were_listed_in_the_new_era():
    mirror = DocumentMirror({})
    mirror.replace("k", DocumentBatch(9, (Document("a", 9, "a"),)))
    mirror.replace("l", DocumentBatch(9, (Document("b", 9, "b"),)))
    since = mirror.sequence - 1
    mirror.begin_era(1)
    mirror.replace("k", DocumentBatch(5, (Document("a", 5, "a"),)))
    changes = mirror.changes_since(since)
    assert changes.is_snapshot and changes.era == 1 and set(changes.kinds) == {"k"}


def kept_names(make_source, seconds):
    """Return the names that a source keeps after a restore: at once, and after some time."""

    async def scenario():
        store, clock = FakeStore(), BootClock()
        mirror = DocumentMirror({})
        mirror.begin_era(4)
        mirror.replace("k", DocumentBatch(9, (Document("a", 8, "a"), Document("b", 9, "b"))))
        mirror.begin_era(5)
        await store.put("k", "a", "a")
        health = StoreHealth(clock, 5.0)
        task = asyncio.ensure_future(make_source(store, health, clock, mirror).run())
        async with asyncio.timeout(20):
            while mirror.position("k") is None:
                await asyncio.sleep(0.001)
        early = set(mirror.documents("k"))
        await asyncio.sleep(seconds)
        task.cancel()
        return early, set(mirror.documents("k"))

    return asyncio.run(scenario())


def test_polled_entry_that_the_copy_lacks_is_kept_until_the_next_list():
    """Guards against VMs that all others forget at once, until each has written its entry again."""
    early, late = kept_names(lambda *common: KindPoller(*common, "k", 0.05, 0.02), 1.0)
    assert early == {"a", "b"} and late == {"a"}


@pytest.mark.parametrize(("keep_s", "kept"), [(0.0, {"a"}), (0.3, {"a", "b"})])
def test_watched_document_that_the_copy_lacks_is_kept_for_a_while(keep_s, kept):
    """Guards against evacuations that end because the store has lost them."""
    rules = WatchRules(wait_s=0.05, gap_s=0.0, keep_s=keep_s)
    early, late = kept_names(lambda *common: KindWatcher(*common, "k", rules), 2.0)
    assert early == kept and late == {"a"}


# Relays


def feed_of(eras, mirror, poll=None):
    directory = VmDirectory(EntryVm("vm-1", "i1", "a-1", "dc-1"), {})
    health = StoreHealth(BootClock(), 5.0)
    health.on_success()
    rules = FeedRules(hold_s=0.05)
    return Feed(BootClock(), mirror, health, directory, (), "vms", ("k",), poll, None, rules, eras)


@pytest.mark.parametrize(
    ("known", "relay", "usable"),
    [
        (None, None, True),
        (None, 3, True),
        (4, 4, True),
        (4, 5, True),
        (5, 4, False),
        (4, None, False),
    ],
)
def test_answer_of_a_relay_in_an_earlier_era_is_not_used(known, relay, usable):
    """Guards against documents of a relay that has not heard yet what the store has lost."""
    eras, mirror = StoreEras(), DocumentMirror({})
    eras.on_rise.append(mirror.begin_era)
    if known is not None:
        eras.observe(known, "store")
    changes = FeedChanges(7, True, {"k": KindChanges(9, (Document("a", 9, "a"),))}, relay)

    async def poll(*_):
        return FeedAnswer("i0", 0.0, 1e6, changes)

    feed = feed_of(eras, mirror, poll)
    followed = asyncio.run(feed._follow_once(EntryVm("vm-0", "i0", "a-0", "dc-1")))
    assert followed is usable and bool(mirror.documents("k")) is usable
    assert eras.current == max((e for e in (known, relay) if e is not None), default=None)


def test_relay_does_not_answer_before_it_has_listed_the_new_era():
    async def scenario():
        mirror = DocumentMirror({})
        mirror.replace("k", DocumentBatch(9, (Document("a", 9, "a"),)))
        feed = feed_of(StoreEras(), mirror)
        assert await feed.answer(FeedRequest("", 0)) is not None
        pending = asyncio.ensure_future(feed.answer(FeedRequest("i1", mirror.sequence)))
        await asyncio.sleep(0)
        mirror.begin_era(5)
        assert await pending is None
        mirror.replace("k", DocumentBatch(4, (Document("a", 4, "a"),)))
        assert (await feed.answer(FeedRequest("i1", 1))).changes.era == 5

    asyncio.run(scenario())


def test_era_of_a_feed_survives_a_round_trip():
    answer = FeedAnswer("i1", 0.25, 3.5, FeedChanges(9, True, {}, 6))
    header, body = (
        peer_messages.write_feed_header(answer),
        peer_messages.write_feed_body(answer.changes),
    )
    assert peer_messages.read_feed(header, body) == answer


@pytest.mark.parametrize("era", ["x", "-1", "", "5 6"])
def test_feed_with_an_unreadable_era_is_refused(era):
    body = peer_messages.write_feed_body(FeedChanges(1, False, {}))
    with pytest.raises(peer_messages.PeerMessageError):
        peer_messages.read_feed(f"i1 1 2 {era}", body)


# A whole VM


class RestorableStore(FakeStore):
    """Store whose answers carry an era, and which comes back from a copy."""

    def __init__(self) -> None:
        super().__init__()
        self.eras = StoreEras()
        self.era = 1
        self._copy = (0, {})

    def copy(self) -> None:
        kinds = {kind: dict(each) for kind, each in self.objects.items()}
        self._copy = (self.revision, kinds)

    async def restore(self) -> None:
        self.revision, self.objects = self._copy
        self.copy()
        self.history.clear()
        self.first_kept_revision = self.revision
        self.era += 1

    async def put(self, kind, name, content):
        """Write an object as an operator or an upstream, without an answer to this VM."""
        known = self.objects.get(kind, {}).get(name)
        await super().write(kind, name, content, known.revision if known is not None else 0)

    async def _in_era(self, call: Callable, names_revision: bool = False):
        before = self.eras.current
        result = await call
        self.eras.observe(self.era, "store")
        if names_revision and before != self.era:
            raise StoreCallError("another era")
        return result

    async def read(self, kind, name, stale=False, fresh=False):
        return await self._in_era(super().read(kind, name, stale))

    async def list(self, kind, stale=False):
        return await self._in_era(super().list(kind, stale))

    async def watch(self, kind, position, wait_s):
        return await self._in_era(super().watch(kind, position, wait_s), True)

    async def write(self, kind, name, content, revision):
        known = self.eras.current is not None
        return await self._in_era(super().write(kind, name, content, revision), known)


def gateway_in_eras(store, **bounds):
    settings = make_settings("vm-1")
    settings = attrs.evolve(settings, bounds=attrs.evolve(settings.bounds, **bounds))
    return gateway(store, settings, eras=store.eras)


def test_vm_starts_anew_when_the_store_comes_back_from_a_copy():
    """Guards against a holder that goes on, and against lost entries and a reverted configuration.

    The store comes back from a copy of before the VM was started, with an older configuration.
    """

    async def scenario():
        store = RestorableStore()
        old = attrs.evolve(make_config(), version=1)
        await store.put("configs", "main", unstructure(old))
        await store.put("upstreams", "u1", upstream_content("u1", 1, run=RUN))
        store.copy()
        await store.put("upstreams", "u2", upstream_content("u2", 2, run=UpstreamRun("u2", 1)))
        await store.put("configs", "main", unstructure(attrs.evolve(old, version=2)))
        async with gateway_in_eras(store) as running:
            program = running.program
            control = program._control_loop
            await running.wait_until(lambda: control.holds_lease)
            await running.wait_until(lambda: program._state.config.version == 2)
            await store.restore()
            # Its revision is below the position of the watch before the restore.
            await store.put("upstreams", "u3", upstream_content("u3", 3, run=UpstreamRun("u3", 1)))
            await running.wait_until(lambda: store.eras.current == 2)
            assert not control.holds_lease
            sent = len(running.orders.grants)
            mirror = program._document_sync.mirror
            await running.wait_until(lambda: mirror.has_listed(["configs", "upstreams"]))
            assert program._state.config.version == 2
            upstreams, now_s = program._state.upstreams, BootClock().monotonic_s()
            assert upstreams.get("u3") is not None
            assert upstreams.standing(now_s, "u2") is Standing.READY
            await running.wait_until(lambda: "vm-1" in store.objects[documents.VM_KIND])
            assert program.ready and len(running.orders.grants) == sent
            await running.wait_until(lambda: control.holds_lease)
            record = documents.read_lease(store.objects[documents.LEASE_KIND]["granting"])
            assert record.era == 2 and record.vm_id == "vm-1"
            await store.put("configs", "main", unstructure(attrs.evolve(old, version=3)))
            await running.wait_until(lambda: program._state.config.version == 3)

    asyncio.run(scenario())


def test_era_counts_as_a_disturbance_of_the_store():
    """Guards against upstreams that count as leaving since the copy lacks their entries.

    A relay may have reported the era, so that no call of this VM has failed.
    """

    async def scenario():
        store = RestorableStore()
        await store.put("configs", "main", unstructure(make_config()))
        await store.put("upstreams", "u1", upstream_content("u1", 1, run=RUN))
        async with gateway_in_eras(store) as running:
            health = running.program._health
            assert not health.failed_recently()
            store.eras.observe(2, "relay")
            assert health.failed_recently()
            store.era = 2

    asyncio.run(scenario())


def test_evacuation_that_the_copy_lacks_stays_in_force_until_it_may_have_been_written_again():
    """Guards against requests to an evacuated data centre after the store lost the order."""

    async def scenario():
        store = RestorableStore()
        await store.put("configs", "main", unstructure(make_config()))
        await store.put("upstreams", "u1", upstream_content("u1", 1, run=RUN))
        store.copy()
        async with gateway_in_eras(store, evacuate_s=5.0, settle_window_s=2.0) as running:
            state, mirror = running.program._state, running.program._document_sync.mirror
            for name in ("dc-8", "dc-9"):
                await store.put("evacuations", name, {})
            await running.wait_until(lambda: state.evacuated_data_centres() == ["dc-8", "dc-9"])
            await store.restore()
            await store.put("upstreams", "u2", upstream_content("u2", 2, run=UpstreamRun("u2", 1)))
            await running.wait_until(lambda: store.eras.current == 2)
            await running.wait_until(lambda: mirror.has_listed(["evacuations"]))
            assert state.evacuated_data_centres() == ["dc-8", "dc-9"]
            await store.put("evacuations", "dc-8", {})
            await running.wait_until(lambda: state.evacuated_data_centres() == ["dc-8"])

    asyncio.run(scenario())
