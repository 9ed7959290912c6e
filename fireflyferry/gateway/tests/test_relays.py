"""Relays and their followers in a large data centre.

Guards against followers that miss changes, that use stale data of a relay which lost the store, or
that call the store themselves.
"""

import asyncio
import contextlib

import attrs
import pytest

from fireflyferry.balancing import EntryVm, VmDirectory
from fireflyferry.edges.system_clock import BootClock
from fireflyferry.gateway import peer_messages
from fireflyferry.gateway.edges import Document, DocumentBatch
from fireflyferry.gateway.feed import (
    Feed,
    FeedAnswer,
    FeedRequest,
    FeedRules,
    relay_candidates,
)
from fireflyferry.gateway.mirror import (
    MAX_REMOVED,
    MAX_UNOBSERVED_S,
    DocumentMirror,
    FeedChanges,
    KindChanges,
)
from fireflyferry.gateway.tests.support import FakeStore
from fireflyferry.gateway.watching import KindPoller, KindWatcher, StoreHealth, WatchRules

RULES = FeedRules(hold_s=0.05, max_age_s=0.3, avoid_s=0.2, direct_check_s=0.02)


def documents(*rows):
    return tuple(Document(name, revision, f"{name}{revision}") for name, revision in rows)


def vm(number, **changes):
    return attrs.evolve(EntryVm(f"vm-{number}", f"i{number}", f"a-{number}", "dc-1"), **changes)


# Mirror


def test_older_list_neither_reverts_nor_removes_a_newer_document():
    seen = []
    mirror = DocumentMirror({"k": lambda known: seen.append(set(known))})
    mirror.replace("k", DocumentBatch(5, documents(("a", 5))))
    mirror.change("k", KindChanges(8, documents(("b", 8)), ("a",)))
    mirror.replace("k", DocumentBatch(6, documents(("a", 5))))
    assert set(mirror.documents("k")) == {"b"}
    assert mirror.position("k") == 8
    assert seen == [{"a"}, {"b"}]


def test_kind_without_documents_counts_as_listed_after_its_first_list():
    notified = []
    mirror = DocumentMirror({"k": notified.append})
    mirror.replace("k", DocumentBatch(1, ()))
    assert mirror.has_listed(["k"]) and notified == [{}]


def test_follower_that_missed_evicted_removals_gets_a_snapshot():
    mirror = DocumentMirror({})
    mirror.replace("k", DocumentBatch(1, documents(("kept", 1))))
    sequence_before = mirror.sequence
    for number in range(MAX_REMOVED + 1):
        mirror.change("k", KindChanges(number + 2, documents((f"d{number}", number + 2))))
        mirror.change("k", KindChanges(number + 3, (), (f"d{number}",)))
    changes = mirror.changes_since(sequence_before)
    assert changes.is_snapshot
    assert [each.name for each in changes.kinds["k"].documents] == ["kept"]
    later = mirror.changes_since(mirror.sequence)
    assert not later.is_snapshot and later.kinds["k"].documents == ()


def test_time_without_a_request_to_the_store_counts_as_unobserved():
    """Guards against requests to an upstream that began to leave earlier than this VM assumes.

    A change may have happened at any moment at which no request to the store was open.
    """
    mirror = DocumentMirror({})
    mirror.on_answer("k", 1.0, 1.1)
    assert mirror.unobserved_s("k") == 0.0
    mirror.on_answer("k", 1.6, 2.9)  # a watch that began at 1.6 s and ended at 2.9 s
    assert mirror.unobserved_s("k") == pytest.approx(0.5)
    mirror.on_answer("k", 3.0, 3.2)  # an answer of a relay whose data is complete up to 3.2 s
    mirror.on_answer("k", 4.0, 4.0)
    assert mirror.unobserved_s("k") == pytest.approx(0.8)
    mirror.on_answer("k", 60.0, 60.0)
    assert mirror.unobserved_s("k") == MAX_UNOBSERVED_S


# Order of relays


def test_only_large_data_centres_have_relays_and_those_are_chosen_by_capacity():
    directory = VmDirectory(vm(1), {})
    directory.apply([vm(1), vm(2), vm(3)])
    assert relay_candidates(directory, "dc-1", RULES) == []
    directory.apply([vm(1), vm(2), vm(3), vm(4, capacity=2.0), vm(5, capacity=3.0, leaving=True)])
    assert [each.vm_id for each in relay_candidates(directory, "dc-1", RULES)] == [
        "vm-4",
        "vm-1",
        "vm-2",
    ]


def test_vm_does_not_follow_itself_as_an_earlier_vm():
    """Guards against a VM that reads its own documents in place of the store's.

    Load pattern: a VM crashed, and the next one has its address and another id.
    """
    this_vm = vm(5, address="a-0")
    directory = VmDirectory(this_vm, {})
    directory.apply([vm(number) for number in range(5)] + [this_vm])
    assert this_vm.address not in {
        each.address for each in relay_candidates(directory, "dc-1", RULES)
    }


# Messages


def test_feed_messages_survive_a_round_trip():
    request = FeedRequest("i1", 7, ("owners",))
    assert peer_messages.read_feed_request(peer_messages.write_feed_request(request)) == request
    changes = FeedChanges(9, True, {"k": KindChanges(4, documents(("a", 3)), ("b",))})
    answer = FeedAnswer("i1", 0.25, 3.5, changes)
    header, body = peer_messages.write_feed_header(answer), peer_messages.write_feed_body(changes)
    assert peer_messages.read_feed(header, body) == answer


@pytest.mark.parametrize("header", [None, "", "i1 x 3", "i1 1"])
def test_feed_with_an_unreadable_header_is_refused(header):
    body = peer_messages.write_feed_body(FeedChanges(1, False, {}))
    with pytest.raises(peer_messages.PeerMessageError):
        peer_messages.read_feed(header, body)


# Following


class CountingStore(FakeStore):
    """Counts the calls to the store."""

    def __init__(self):
        super().__init__()
        self.calls = 0

    async def read(self, kind, name, stale=False, fresh=False):
        self.calls += 1
        return await super().read(kind, name, stale)

    async def list(self, kind, stale=False):
        self.calls += 1
        return await super().list(kind, stale)

    async def watch(self, kind, position, wait_s):
        self.calls += 1
        return await super().watch(kind, position, wait_s)


class Fleet:
    """VMs of one data centre whose feeds call each other directly, without a network."""

    def __init__(self, count=5):
        self.store = CountingStore()
        self.members = [vm(number) for number in range(count)]
        self.nodes = [Node(self, each) for each in self.members]
        self.dead = set()

    async def poll_relay(self, relay, request, hold_s):
        node = next(each for each in self.nodes if each.this_vm == relay)
        if relay.vm_id in self.dead:
            return None
        answer = await node.feed.answer(request)
        if answer is None or relay.vm_id in self.dead:
            return None
        body = peer_messages.write_feed_body(answer.changes)
        return peer_messages.read_feed(peer_messages.write_feed_header(answer), body)

    @contextlib.asynccontextmanager
    async def running(self):
        await self.store.put("config", "main", 1)
        await self.store.put("vms", "x", 1)
        tasks = [
            asyncio.ensure_future(work) for node in self.nodes for work in node.background_work()
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


class Node:
    """One VM: its mirror, its sources, its feed, and its connection to the store."""

    def __init__(self, fleet, this_vm):
        self.this_vm = this_vm
        clock = BootClock()
        self.health = StoreHealth(clock, 5.0)
        directory = VmDirectory(this_vm, {})
        directory.apply(fleet.members)
        self.mirror = DocumentMirror({})
        connection = self.connection = StoreConnection(fleet.store)
        rules = WatchRules(wait_s=0.1, gap_s=0.0, retry_s=0.02, max_retry_s=0.1)
        self.sources = (
            KindWatcher(connection, self.health, clock, self.mirror, "config", rules),
            KindPoller(connection, self.health, clock, self.mirror, "vms", 0.1, 0.05),
        )
        self.feed = Feed(
            clock,
            self.mirror,
            self.health,
            directory,
            self.sources,
            "vms",
            ("config",),
            fleet.poll_relay,
            self.probe,
            RULES,
        )

    def background_work(self):
        return [self.feed.run(), *(source.run() for source in self.sources)]

    async def probe(self):
        try:
            await self.connection.read("lease", "granting", stale=True)
        except Exception as error:
            self.health.on_failure(error)
            return False
        self.health.on_success()
        return True

    @property
    def value(self):
        found = self.mirror.documents("config").get("main")
        return found.content if found is not None else None


class StoreConnection(CountingStore):
    """Connection of one VM to the shared store; `cut` makes every call over it fail."""

    def __init__(self, store):
        super().__init__()
        self.shared = store
        self.cut = False

    async def _call_shared(self, call):
        self.down = self.cut
        self._raise_if_down()
        self.calls += 1
        result = await call()
        self.down = self.cut
        self._raise_if_down()
        return result

    async def read(self, kind, name, stale=False, fresh=False):
        return await self._call_shared(lambda: self.shared.read(kind, name, stale))

    async def list(self, kind, stale=False):
        return await self._call_shared(lambda: self.shared.list(kind, stale))

    async def watch(self, kind, position, wait_s):
        return await self._call_shared(lambda: self.shared.watch(kind, position, wait_s))


async def wait_until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.005)


def all_have(fleet, value):
    return lambda: all(node.value == value for node in fleet.nodes)


def run_fleet(scenario):
    async def main():
        fleet = Fleet()
        async with fleet.running():
            await wait_until(all_have(fleet, 1))
            await wait_until(lambda: all(node.feed.relay for node in fleet.nodes[1:]))
            await scenario(fleet)

    asyncio.run(main())


def test_change_reaches_followers_without_store_calls_of_their_own():
    async def scenario(fleet):
        calls = [node.connection.calls for node in fleet.nodes]
        await fleet.store.put("config", "main", 2)
        await wait_until(all_have(fleet, 2))
        assert [node.connection.calls for node in fleet.nodes][1:] == calls[1:]

    run_fleet(scenario)


@pytest.mark.parametrize("fault", ["dead", "cut"])
def test_lost_relay_is_replaced_and_no_change_is_missed(fault):
    async def scenario(fleet):
        first = fleet.nodes[0]
        if fault == "dead":
            fleet.dead.add(first.this_vm.vm_id)
        else:
            first.connection.cut = True
        await fleet.store.put("config", "main", 2)
        others = fleet.nodes[1:]
        await wait_until(lambda: all(node.value == 2 for node in others))
        # The next VM in order reads the store, and the others follow it.
        await wait_until(lambda: fleet.nodes[1].feed.direct)
        await wait_until(
            lambda: all(node.feed.relay == fleet.members[1] for node in fleet.nodes[2:])
        )

    run_fleet(scenario)


def test_followers_only_probe_an_unavailable_store():
    async def scenario(fleet):
        fleet.store.down = True
        await wait_until(lambda: all(node.feed.relay is None for node in fleet.nodes))
        await asyncio.sleep(0.2)
        # The former followers only send cheap probes.
        assert not any(node.feed.direct for node in fleet.nodes[1:])
        fleet.store.down = False
        await fleet.store.put("config", "main", 3)
        await wait_until(all_have(fleet, 3))

    run_fleet(scenario)


def test_relay_reports_its_failed_store_calls_to_followers():
    """Guards against treating entries that lapsed in an outage as upstreams that left.

    A follower makes no calls to the store, so it learns of failed calls only from its relay.
    """

    async def scenario(fleet):
        assert not fleet.nodes[4].health.failed_recently()
        fleet.nodes[0].health.on_failure(RuntimeError("refused once"))
        await wait_until(lambda: fleet.nodes[4].health.failed_recently())

    run_fleet(scenario)


def notified(this_number, suspected=()):
    """Return the ids of the VMs that one VM notifies, by list."""
    members = [vm(number) for number in range(5)]
    members += [vm(number, data_centre="dc-2") for number in range(5, 7)]
    directory = VmDirectory(members[this_number], {"dc-1": "r-1", "dc-2": "r-2"})
    directory.apply(members)
    for number in suspected:
        directory.suspect(members[number])
    feed = Feed(BootClock(), None, None, directory, (), "vms", (), None, None, RULES)
    return [[each.vm_id for each in group] for group in feed.vms_to_notify()]


def test_change_is_sent_to_one_vm_of_a_large_data_centre():
    """Guards against owner tables that cross regions once for each possible relay.

    Load pattern: many keys move, in a fleet with several VMs in each data centre.
    """
    assert notified(5) == [["vm-0", "vm-1", "vm-2"], ["vm-6"]]


def test_suspected_relay_is_notified_last():
    assert notified(5, suspected=[0])[0] == ["vm-1", "vm-2", "vm-0"]


def test_relay_does_not_notify_its_own_data_centre():
    assert notified(0) == [["vm-5"], ["vm-6"]]
    assert notified(1)[0] == ["vm-0", "vm-1", "vm-2"]
