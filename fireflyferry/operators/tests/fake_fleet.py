"""In-memory store with write faults, VM list and peers for tests of the operators' program."""

import attrs

from fireflyferry.edges import ObjectStore, StoreUnavailableError, VmList
from fireflyferry.edges.base import PeerUnavailableError
from fireflyferry.messages import VmEntry
from fireflyferry.operators.context import Context
from fireflyferry.operators.peers import PeerControl
from fireflyferry.standins.platform_table import ObjectTable


@attrs.define
class FakeStore(ObjectStore):
    """In-memory store; each write uses up the first of `faults`.

    `lost`: the write takes effect, but its answer is lost. `refused`: the write has no effect and
    no answer. `late`: the write gets no answer and takes effect when `deliver` is called.
    `deliver`: late writes take effect just before this one. A coroutine function as fault: the
    write takes effect, then the function runs, and the answer is lost.

    `before_tables_write` is a coroutine function that runs once before the next write of the
    tables.
    """

    table: ObjectTable = attrs.Factory(ObjectTable)
    faults: list = attrs.Factory(list)
    late_writes: list = attrs.Factory(list)
    down: bool = False
    before_tables_write: object = None

    def _check(self):
        if self.down:
            raise StoreUnavailableError("down")

    def deliver(self):
        while self.late_writes:
            name, data, version = self.late_writes.pop(0)
            try:
                self.table.put(name, data, version)
            except Exception as error:
                assert "version" in str(error)

    async def get(self, name):
        self._check()
        return self.table.get(name)

    async def put(self, name, data, expected_version):
        self._check()
        if self.before_tables_write is not None and name == "config/tables":
            action, self.before_tables_write = self.before_tables_write, None
            await action()
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "refused":
            raise StoreUnavailableError("refused")
        if fault == "deliver":
            self.deliver()
        if fault == "late":
            self.late_writes.append((name, data, expected_version))
            raise StoreUnavailableError("late")
        version = self.table.put(name, data, expected_version)
        if callable(fault):
            await fault()
        if fault == "lost" or callable(fault):
            raise StoreUnavailableError("lost answer")
        return version

    async def list(self, prefix):
        self._check()
        return self.table.list(prefix)

    async def watch(self, prefixes, since, timeout_s):
        raise NotImplementedError


@attrs.define
class FakeVms(VmList):
    vms: tuple = ()

    async def fetch(self):
        return self.vms


@attrs.define
class FakePeers(PeerControl):
    """Answers by address; a call to any other address gets no answer."""

    statuses: dict = attrs.Factory(dict)
    assigns: dict = attrs.Factory(dict)
    drains: dict = attrs.Factory(dict)
    calls: list = attrs.Factory(list)

    def _answer(self, answers, address, request):
        self.calls.append((address, request))
        if address not in answers:
            raise PeerUnavailableError(f"{address}: no answer")
        return answers[address]

    async def status(self, address):
        return self._answer(self.statuses, address, None)

    async def assign(self, address, request):
        return self._answer(self.assigns, address, request)

    async def drain(self, address, request):
        return self._answer(self.drains, address, request)

    async def drain_upstream(self, address):
        self._answer(self.drains, address, "drain")


def upstream(name):
    return VmEntry(name, "upstream", "natal", "natal-1", f"{name}:2", pool="janela")


def entry(name, data_centre="natal-1"):
    return VmEntry(name, "entry", "natal", data_centre, "127.0.0.1:1", f"{name}:1")


async def no_pause(seconds):
    pass


def make_context(store=None, vms=(), peers=None, author="ana", lines=None):
    shown = [] if lines is None else lines
    return Context(
        store or FakeStore(), FakeVms(vms), peers or FakePeers(), author, shown.append, no_pause
    )
