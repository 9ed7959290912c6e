"""Connections of a relay and its followers to the store that fall silent together."""

import asyncio
import random
import types

import attrs
import pytest

from fireflyferry.balancing import EntryVm, VmDirectory
from fireflyferry.gateway.edges import Document, DocumentBatch, MetadataStore, StoreCallError
from fireflyferry.gateway.knowledge import DocumentSync
from fireflyferry.gateway.tests.virtual_time import LoopClock, run_in_virtual_time
from fireflyferry.gateway.watching import WATCH_MARGIN_S, StoreHealth
from fireflyferry.platform.store import CALL_TIMEOUT_S

VMS = 8
SETTLE_WINDOW_S = 3.0
LEASE_READ_S = 0.8
HOP_S = 0.002  # between two VMs


def now_s():
    return asyncio.get_running_loop().time()


@attrs.define(eq=False)
class SharedStore:
    """The store's one document of interest, and when all connections that were open fell silent."""

    answer_s: float
    value: int = 1
    silent_s: float = float("inf")

    def documents(self, kind):
        return (Document("main", self.value, self.value),) if kind == "config" else ()


class Connection(MetadataStore):
    """Calls of one VM; they share a kept connection, which is replaced once a call over it hung."""

    def __init__(self, shared):
        self._shared = shared
        self._opened_s = 0.0

    async def _call(self, opened_s, timeout_s, wait=None):
        started_s = now_s()
        if wait is not None:
            await wait()
        await asyncio.sleep(self._shared.answer_s)
        if opened_s < self._shared.silent_s <= now_s():
            await asyncio.sleep(started_s + timeout_s - now_s())
            self._opened_s = now_s()
            raise StoreCallError("no answer")

    async def read(self, kind, name, stale=False, fresh=False):
        await self._call(now_s() if fresh else self._opened_s, CALL_TIMEOUT_S)
        return None

    async def list(self, kind, stale=False):
        await self._call(self._opened_s, CALL_TIMEOUT_S)
        return DocumentBatch(self._shared.value, self._shared.documents(kind))

    async def write(self, kind, name, content, revision):
        raise NotImplementedError

    async def watch(self, kind, position, wait_s):
        until_s = now_s() + wait_s

        def changed():
            return kind == "config" and self._shared.value > position

        async def wait():
            while now_s() < until_s and not changed():
                await asyncio.sleep(0.01)

        await self._call(now_s(), wait_s + WATCH_MARGIN_S, wait)
        found = self._shared.documents(kind) if changed() else ()
        return DocumentBatch(max(position, self._shared.value), found)


class Node:
    """One VM: its mirror of the store's documents, with the real sources and the real feed."""

    def __init__(self, fleet, this_vm, members):
        clock = LoopClock()
        directory = VmDirectory(this_vm, {})
        directory.apply(members)
        state = types.SimpleNamespace(vms=directory, on_outdated_owners=None)
        for name in (
            "apply_config",
            "apply_upstreams",
            "apply_owners",
            "apply_vms",
            "apply_evacuations",
        ):
            setattr(state, name, lambda documents: None)
        self.this_vm = this_vm
        self._connection = Connection(fleet.store)
        self._health = StoreHealth(clock, 5.0)
        self.sync = DocumentSync(
            clock,
            self._connection,
            self._health,
            types.SimpleNamespace(
                config_kind="config", upstream_kind="upstreams", evacuation_kind="evacuations"
            ),
            state,
            lambda documents: None,
            fleet.poll_relay,
            SETTLE_WINDOW_S,
        )

    async def read_lease(self):
        """Read the lease as the control loop does while the VM follows no relay."""
        while True:
            if self.sync.feed.direct:
                try:
                    await self._connection.read("lease", "granting", stale=True)
                    self._health.on_success()
                except StoreCallError as error:
                    self._health.on_failure(error)
            await asyncio.sleep(LEASE_READ_S)

    @property
    def value(self):
        found = self.sync.mirror.documents("config").get("main")
        return found.content if found is not None else None


class Fleet:
    def __init__(self, answer_s):
        self.store = SharedStore(answer_s)
        members = [EntryVm(f"vm-{n}", f"i{n}", f"a-{n}", "dc-1") for n in range(VMS)]
        self.nodes = [Node(self, each, members) for each in members]

    async def poll_relay(self, relay, request, hold_s):
        await asyncio.sleep(HOP_S)
        node = next(each for each in self.nodes if each.this_vm == relay)
        answer = await node.sync.feed.answer(request)
        await asyncio.sleep(HOP_S)
        return answer

    async def wait_for(self, value):
        while any(node.value != value for node in self.nodes):
            await asyncio.sleep(0.01)


async def hidden_s(answer_s, first_s, next_s):
    """Return for how long the last of the VMs does not know a change after the silence."""
    fleet = Fleet(answer_s)
    works = [work() for node in fleet.nodes for work in node.sync.background_work()]
    works += [node.read_lease() for node in fleet.nodes]
    tasks = [asyncio.ensure_future(work) for work in works]
    await fleet.wait_for(1)
    await asyncio.sleep(3.0 + first_s)
    assert sum(node.sync.feed.relay is not None for node in fleet.nodes) == VMS - 1
    fleet.store.value = 2
    await asyncio.sleep(0.3)
    fleet.store.silent_s = now_s()
    await asyncio.sleep(next_s)
    fleet.store.value, changed_s = 3, now_s()
    await fleet.wait_for(3)
    for task in tasks:
        task.cancel()
    return now_s() - changed_s


@pytest.mark.parametrize("answer_s", [0.004, 0.1, 0.25])
def test_followers_of_a_silenced_relay_apply_a_change_within_the_settle_window(answer_s):
    """Guards against the limits of a relay and of its followers, which added up to 3.2 s.

    A follower left the relay after 1.3 s without an answer of the store, and then waited for its
    own first call, 1.5 s long, on a connection that had fallen silent as well.
    """
    random.seed(1)
    hidden = {
        (first_s, next_s): run_in_virtual_time(hidden_s(answer_s, first_s / 4, next_s / 4))
        for first_s in range(8)
        for next_s in range(8)
    }
    assert max(hidden.values()) <= SETTLE_WINDOW_S, hidden
