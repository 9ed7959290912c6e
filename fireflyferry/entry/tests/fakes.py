"""In-memory store, peers, upstreams, VM list and clock, and entry VMs that a test ticks."""

import asyncio

import attrs

from fireflyferry.edges import Clock, ObjectStore, PeerLink, UpstreamControl, VmList
from fireflyferry.edges.base import (
    PeerUnavailableError,
    StoreUnavailableError,
    UpstreamUnavailableError,
)
from fireflyferry.entry.control import TICK_S, ControlLoop
from fireflyferry.entry.state import VmState
from fireflyferry.entry.upstream_table import UpstreamTable
from fireflyferry.leases import GrantHolder, LeaseTiming
from fireflyferry.messages import GroupId, Hello, VmEntry, VmIncarnation, encode
from fireflyferry.standins.platform_table import ObjectTable
from fireflyferry.tables import TABLES_NAME, Pool, Tables

EVENT_LOOP_TURNS = 8  # after these turns of the event loop, all fake calls of a tick have ended


def entry_vm(vm_id, data_centre):
    """Return the listing of an entry VM; fake addresses are VM ids."""
    return VmEntry(vm_id, "entry", "natal", data_centre, vm_id, peer_address=vm_id)


def upstream_vm(vm_id, data_centre, pool="janela"):
    """Return the listing of an upstream."""
    return VmEntry(vm_id, "upstream", "natal", data_centre, vm_id, pool=pool)


class ManualClock(Clock):
    """A clock that the test advances."""

    def __init__(self):
        self.now_s = 1000.0

    def monotonic_s(self):
        return self.now_s

    def wall_s(self):
        return self.now_s


class FakeStore(ObjectStore):
    """ObjectTable that can be unavailable, or lose the answer of a write under some prefixes.

    Only the answer of the first such write is lost.
    """

    def __init__(self):
        self.table = ObjectTable()
        self.unavailable = False
        self.lost_answers = ()
        self.on_list = None

    def _require_available(self):
        if self.unavailable:
            raise StoreUnavailableError("unavailable")

    async def get(self, name):
        self._require_available()
        return self.table.get(name)

    async def put(self, name, data, expected_version):
        self._require_available()
        version = self.table.put(name, data, expected_version)
        if self.lost_answers and name.startswith(self.lost_answers):
            self.lost_answers = ()
            raise StoreUnavailableError("answer lost")
        return version

    async def list(self, prefix):
        self._require_available()
        listed = self.table.list(prefix)
        if self.on_list is not None:
            self.on_list(prefix)
        return listed

    async def watch(self, prefixes, since, timeout_s):
        await asyncio.sleep(0.001)
        self._require_available()
        return self.table.changes(prefixes, since)


class FakeVmList(VmList):
    """A VM list that the test sets."""

    def __init__(self, entries=()):
        self.entries = tuple(entries)

    async def fetch(self):
        return self.entries


class FakeUpstreams(UpstreamControl):
    """Real grant holders by address; those in `unreachable` do not answer."""

    def __init__(self, clock, entries):
        self._clock = clock
        self.unreachable = set()
        self.pools = {entry.vm_id: entry.pool for entry in entries}
        self.holders = {entry.vm_id: GrantHolder(entry.vm_id, "i1") for entry in entries}

    def _holder(self, address):
        if address in self.unreachable:
            raise UpstreamUnavailableError(address)
        return self.holders[address]

    async def hello(self, address):
        token = self._holder(address).token(self._clock.now_s)
        return Hello(address, self.pools[address], 2, 130, "grants", token)

    async def grant(self, address, message):
        return self._holder(address).accept(self._clock.now_s, message)

    async def cancel(self, address, request_id):
        self._holder(address)


class FakePeers(PeerLink):
    """Calls the other VMs of the simulation directly."""

    def __init__(self, vms):
        self._vms = vms

    def _vm(self, address):
        if address not in self._vms:
            raise PeerUnavailableError(address)
        return self._vms[address]

    async def identity(self, address):
        return self._vm(address).control_loop.this_vm

    async def heartbeat(self, address, heartbeats):
        return self._vm(address).control_loop.on_heartbeats(heartbeats)

    async def feed(self, address, since, revision, vm_id, timeout_s):
        return self._vm(address).state.mirror.changes_since(since)


@attrs.define
class Vm:
    """One incarnation of an entry VM; `position` is where its feed is in the store's changes."""

    state: VmState
    control_loop: ControlLoop
    upstreams: UpstreamTable
    position: int = 0


class SimulatedWorld:
    """Simulation of the entry VMs and upstreams of one region with one pool."""

    def __init__(self, entries, pool=None):
        self.clock = ManualClock()
        self.store = FakeStore()
        self.entries = tuple(entries)
        self.vms = {}
        upstreams = [listed for listed in entries if listed.role == "upstream"]
        self.upstreams = FakeUpstreams(self.clock, upstreams)
        self._list_version = 0
        self.pool = pool or Pool("janela", ("natal-1",), buckets=8)
        self.write_tables(1, self.pool)
        for entry in entries:
            if entry.role == "entry":
                self.start(entry.vm_id)
        self.list_vms(*entries)

    def write_tables(self, revision, *pools):
        """Write a revision of the tables."""
        stored = self.store.table.get(TABLES_NAME)
        data = encode(Tables(revision, (), pools))
        self.store.table.put(TABLES_NAME, data, stored.version if stored else 0)

    def list_vms(self, *entries):
        """Give every VM a new VM list."""
        self.entries = entries
        self._list_version += 1
        for vm in self.vms.values():
            vm.state.apply((vm.state.vm_list_object(self._list_version, entries),))

    def start(self, vm_id, incarnation="i1"):
        """Start an entry VM under an incarnation."""
        entry = next(listed for listed in self.entries if listed.vm_id == vm_id)
        this_vm = VmIncarnation(vm_id, incarnation)
        state = VmState(this_vm, entry.region, entry.data_centre, self.clock)
        table = UpstreamTable()
        control_loop = ControlLoop(
            state,
            self.clock,
            self.store,
            FakePeers(self.vms),
            self.upstreams,
            LeaseTiming(),
            table,
            {},
        )
        self.vms[vm_id] = Vm(state, control_loop, table)
        if self._list_version:
            state.apply((state.vm_list_object(self._list_version, self.entries),))

    def stop(self, vm_id):
        """Stop a VM without a handover."""
        self.vms.pop(vm_id).control_loop.stop()

    async def run_for(self, seconds):
        """Advance the clock by some seconds, and tick all VMs on the way."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.now_s += TICK_S
            for vm in list(self.vms.values()):
                if not self.store.unavailable:
                    batch = self.store.table.changes(("",), vm.position)
                    vm.position = batch.sequence
                    vm.state.apply(batch.changes)
                vm.control_loop.tick()
            for _ in range(EVENT_LOOP_TURNS):
                await asyncio.sleep(0)

    async def run_until(self, condition, limit_s):
        """Advance the clock until a condition holds; fail after `limit_s` seconds."""
        end_s = self.clock.now_s + limit_s
        while not condition():
            assert self.clock.now_s < end_s, f"condition not reached in {limit_s} s"
            await self.run_for(TICK_S)

    def leaders(self, group):
        """Return the ids of the VMs that lead a group."""
        return [
            vm_id
            for vm_id, vm in self.vms.items()
            if group in vm.control_loop.runtimes
            and vm.control_loop.runtimes[group].is_serving(self.clock.now_s)
        ]

    def runtime(self, group):
        """Return the leader's state of a group."""
        (leader,) = self.leaders(group)
        return self.vms[leader].control_loop.runtimes[group]

    def owners(self, group):
        """Return the owner of each unit that has one, by the leader's grants."""
        found = {}
        for leader in self.leaders(group):
            runtime = self.vms[leader].control_loop.runtimes[group]
            for unit in runtime.desired_owners:
                owner = runtime.grants.owner(self.clock.now_s, unit)
                if hasattr(owner, "upstream_id"):
                    found[unit] = owner.upstream_id
        return found


GROUP = GroupId("janela", "natal-1", 0)
