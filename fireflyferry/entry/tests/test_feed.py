"""Guards against VMs that miss changes, also while a relay or the store is unavailable."""

import asyncio

import pytest

from fireflyferry import tasks as tasks_module
from fireflyferry.edges import PeerLink, StoredObject
from fireflyferry.edges.base import PeerUnavailableError
from fireflyferry.entry import feed as feed_module
from fireflyferry.entry.feed import WATCHED_PREFIXES, Feed
from fireflyferry.entry.state import VmState
from fireflyferry.entry.tests.fakes import FakeStore, FakeVmList, ManualClock, entry_vm
from fireflyferry.membership import ObjectMirror, VmTable, relay_order
from fireflyferry.messages import VmIncarnation, encode
from fireflyferry.tables import TABLES_NAME, Pool, Tables

LIMIT_S = 5.0
ENTRIES = tuple(entry_vm(f"e-{n}", "natal-1") for n in range(4))
TABLES = encode(Tables(3, (), (Pool("janela", ("natal-1",)),)))


def relays_in_order():
    table = VmTable()
    table.update(0.0, ENTRIES)
    return relay_order(table, "natal-1")


class MirrorPeers(PeerLink):
    """Peers that answer feed calls from one mirror each, and no other calls."""

    def __init__(self, mirrors):
        self.mirrors = mirrors
        self.requests = []

    async def identity(self, address):
        raise PeerUnavailableError(address)

    async def heartbeat(self, address, heartbeats):
        raise PeerUnavailableError(address)

    async def feed(self, address, since, revision, vm_id, timeout_s):
        await asyncio.sleep(0.001)
        self.requests.append((address, since))
        if address not in self.mirrors:
            raise PeerUnavailableError(address)
        return self.mirrors[address].changes_since(since)


@pytest.fixture(autouse=True)
def short_retries(monkeypatch):
    monkeypatch.setattr(feed_module, "RETRY_DELAY_S", 0.01)


def make_feed(vm_id, store, peers, entries=ENTRIES, seeds=()):
    clock = ManualClock()
    state = VmState(VmIncarnation(vm_id, "i1"), "natal", "natal-1", clock, seeds)
    if entries:
        state.apply((state.vm_list_object(1, entries),))
    return state, Feed(state, clock, store, FakeVmList(entries), peers)


async def run_until(feed, condition):
    task = asyncio.ensure_future(feed.run())
    try:
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(0.005)
    finally:
        task.cancel()


@pytest.mark.parametrize("changed", WATCHED_PREFIXES)
@pytest.mark.parametrize("during", WATCHED_PREFIXES)
def test_relay_misses_no_change_made_while_it_lists(changed, during):
    store = FakeStore()
    name = changed if changed == TABLES_NAME else f"{changed}x"

    def change(prefix):
        if prefix == during and store.table.get(name) is None:
            store.table.put(name, TABLES, 0)

    store.on_list = change
    state, feed = make_feed(relays_in_order()[0].vm_id, store, MirrorPeers({}))
    assert feed.role == "relay"
    asyncio.run(run_until(feed, lambda: state.mirror.get(name) is not None))


def test_follower_switches_to_the_next_relay_and_starts_at_position_0():
    first, second, *_, follower = (vm.vm_id for vm in relays_in_order())
    mirrors = {first: ObjectMirror(), second: ObjectMirror()}
    for number in range(1, 4):
        mirrors[first].apply((StoredObject(f"config/lost/{number}", number, None),))
    mirrors[second].apply((StoredObject(TABLES_NAME, 9, TABLES),))
    peers = MirrorPeers(mirrors)
    store = FakeStore()
    store.unavailable = True
    state, feed = make_feed(follower, store, peers)

    async def scenario():
        await run_until(feed, lambda: (first, 3) in peers.requests)
        del mirrors[first]
        await run_until(feed, lambda: state.revision == 3)

    asyncio.run(scenario())
    assert feed.role == "follower"
    assert feed.source == second
    assert next(since for address, since in peers.requests if address == second) == 0


def test_follower_of_a_restarted_relay_misses_no_change():
    """Guards against a change that a follower never gets, since its relay counts from 0 again.

    The relay has the id and the address that it had, and no poll failed in between.
    """
    first, *_, follower = (vm.vm_id for vm in relays_in_order())

    def start_relay(*objects):
        state, _ = make_feed(first, store, MirrorPeers({}), entries=())
        state.apply(objects)
        return state.mirror

    store = FakeStore()
    store.unavailable = True
    others = [StoredObject(f"other/{number}", 1, None) for number in range(3)]
    peers = MirrorPeers({first: start_relay(*others)})
    state, feed = make_feed(follower, store, peers)

    async def scenario():
        await run_until(feed, lambda: state.mirror.get("other/2") is not None)
        peers.mirrors[first] = start_relay(StoredObject(TABLES_NAME, 9, TABLES), *others)
        await run_until(feed, lambda: state.revision == 3)

    asyncio.run(scenario())
    assert {address for address, _ in peers.requests} == {first}


def test_follower_reads_the_store_when_both_relays_fail():
    store = FakeStore()
    store.table.put(TABLES_NAME, TABLES, 0)
    state, feed = make_feed(relays_in_order()[-1].vm_id, store, MirrorPeers({}))
    asyncio.run(run_until(feed, lambda: state.revision == 3))


def test_vm_that_starts_while_the_store_is_unavailable_reads_from_a_seed_peer():
    store = FakeStore()
    store.unavailable = True
    mirror = ObjectMirror()
    mirror.apply((StoredObject(TABLES_NAME, 9, TABLES),))
    peers = MirrorPeers({"seed-2": mirror})
    state, feed = make_feed("e-9", store, peers, entries=(), seeds=("seed-1", "seed-2"))
    asyncio.run(run_until(feed, lambda: state.revision == 3))
    assert [address for address, _ in peers.requests[:2]] == ["seed-1", "seed-2"]


# Guards against a process that ends with its feed, after an error that no edge expects.
@pytest.mark.parametrize("call", ["list", "watch", "fetch"])
@pytest.mark.parametrize("error", [RecursionError(), UnicodeEncodeError("ascii", "é", 0, 1, "")])
def test_feed_outlasts_an_unexpected_error(monkeypatch, call, error):
    monkeypatch.setattr(tasks_module, "RESTART_DELAY_S", 0.01)
    monkeypatch.setattr(feed_module, "VM_LIST_INTERVAL_S", 0.01)
    store = FakeStore()
    # A VM without a VM list is a relay.
    state, feed = make_feed("e-0", store, MirrorPeers({}), entries=())
    feed._vm_list.entries = (entry_vm("e-0", "natal-1"),)
    edge = feed._vm_list if call == "fetch" else store
    original = getattr(edge, call)
    failures = []

    async def fail_once(*arguments):
        if not failures:
            failures.append(error)
            raise error
        return await original(*arguments)

    monkeypatch.setattr(edge, call, fail_once)

    async def scenario():
        task = asyncio.ensure_future(feed.run())
        try:
            async with asyncio.timeout(LIMIT_S):
                while not failures:
                    await asyncio.sleep(0.005)
                store.table.put(TABLES_NAME, TABLES, 0)
                while not (state.revision == 3 and state.vm_table.entries):
                    assert not task.done(), "the feed has ended"
                    await asyncio.sleep(0.005)
        finally:
            task.cancel()

    asyncio.run(scenario())
