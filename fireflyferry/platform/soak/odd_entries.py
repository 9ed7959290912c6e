"""Entries of another writer among those of the upstreams, and upstreams that join beside them."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import attrs
import orjson

from fireflyferry.platform import names
from fireflyferry.platform.soak.fleet import UpstreamFleet
from fireflyferry.platform.soak.upstreams import UpstreamStandin, UpstreamWorld
from fireflyferry.tasks import BackgroundTasks

__all__ = ["ODD_FORMS", "OddEntries"]

OVERWRITE_S = 1.0
CHECK_INTERVAL_S = 0.1
# Time after which an upstream that joins must be used; more than a VM needs to start.
FIRST_REQUEST_S = 6.0
RETIRE_S = 2.0

Entry = dict[str, Any]
JoiningCall = Callable[[], Awaitable[int]]  # sends a request to the pool; returns the status
JoiningCalls = Mapping[str, JoiningCall]  # of each VM


@attrs.frozen
class OddForm:
    """What is odd about an entry: its id, or its content, which is made from a good one."""

    label: str
    change: Callable[[Entry], Any] = lambda entry: entry
    upstream_id: str = "i-odd"


def _raw(value: bytes) -> Callable[[Entry], Any]:
    return lambda entry: orjson.Fragment(value)


def _with_raw(field: str, value: bytes) -> Callable[[Entry], Entry]:
    return _with(field, orjson.Fragment(value))


def _with(field: str, value: Any) -> Callable[[Entry], Entry]:
    return lambda entry: {**entry, field: value}


def _with_info(field: str, value: Any) -> Callable[[Entry], Entry]:
    return lambda entry: {**entry, "info": {**entry["info"], field: value}}


def _without(field: str) -> Callable[[Entry], Entry]:
    return lambda entry: {name: value for name, value in entry.items() if name != field}


# Some JSON decoders give up at 256 or 1,024 levels, or at numbers beyond a double.
ODD_FORMS = (
    OddForm("nested 5,000 levels", _raw(b"[" * 5_000 + b"]" * 5_000)),
    OddForm("nested 900 levels", _with_raw("more", b"[" * 900 + b"]" * 900)),
    OddForm("nested 300 levels", _with_raw("more", b'{"a":' * 300 + b"0" + b"}" * 300)),
    OddForm("infinite number", _with_raw("born", b"1e999")),
    OddForm("30 digits", _with_raw("born", b"9" * 30)),
    OddForm("not UTF-8", _with_info("service", orjson.Fragment(b'"\xff,]}"'))),
    OddForm("port 65536", _with("address", "127.0.0.1:65536")),
    OddForm("spaces in the id", upstream_id="i odd"),
    OddForm("line breaks in the id", upstream_id="i-odd\r\nX-Odd: 1"),
    OddForm("10**18 slots", _with_info("slots", 10**18)),
    OddForm("no address", _without("address")),
    OddForm("no info", _without("info")),
    OddForm("no start", _without("born")),
    OddForm("nothing", _raw(b"null")),
)


class OddEntries:
    """Writes odd entries and checks that all VMs follow the list beside them.

    `pool` has only upstreams that join; `is_calm` returns whether no VM, no path to the store and
    not the store is disturbed.
    """

    def __init__(
        self, world: UpstreamWorld, fleet: UpstreamFleet, pool: str, is_calm: Callable[[], bool]
    ):
        self._world = world
        self._fleet = fleet
        self._pool = pool
        self._is_calm = is_calm
        self._numbers = itertools.count(1)
        self._tasks = BackgroundTasks()
        self._unfinished: set[asyncio.Task] = set()
        self._joining = asyncio.Lock()

    def start(self, form: OddForm, model: UpstreamStandin, calls: JoiningCalls) -> None:
        """List an odd entry; remove it when an upstream that joins beside it is in use."""
        task = self._tasks.start(self._add(form, model, calls))
        self._unfinished.add(task)
        task.add_done_callback(self._unfinished.discard)

    def overwrite(self, form: OddForm, upstream: UpstreamStandin) -> None:
        """Overwrite the entry of a live upstream, which writes its own again a second later."""
        until_s = time.monotonic() + OVERWRITE_S
        upstream.unlisted_until_s = max(upstream.unlisted_until_s, until_s)
        content = form.change(upstream.entry())
        self._world.store.write(names.UPSTREAM_KIND, upstream.upstream_id, content)

    async def finish(self) -> None:
        """Wait until all odd entries have been removed."""
        if self._unfinished:
            await asyncio.wait(self._unfinished)

    def close(self) -> None:
        """Cancel the checks that still run."""
        self._tasks.cancel()

    async def _add(self, form: OddForm, model: UpstreamStandin, calls: JoiningCalls) -> None:
        odd_id = f"{form.upstream_id}-{next(self._numbers)}"
        self._world.odd_ids.add(odd_id)
        self._world.store.write(names.UPSTREAM_KIND, odd_id, form.change(model.entry()))
        async with self._joining:
            joining = self._fleet.add(self._pool, model.data_centre)
            checks = [self._check_vm(joining, form, vm_id, call) for vm_id, call in calls.items()]
            await asyncio.gather(*checks)
            if joining in self._fleet.running:
                self._tasks.start(self._fleet.retire(joining, RETIRE_S))
        self._world.store.remove(names.UPSTREAM_KIND, odd_id)

    async def _check_vm(
        self, joining: UpstreamStandin, form: OddForm, vm_id: str, call: JoiningCall
    ) -> None:
        """Report a VM that does not use an upstream although nothing else is disturbed."""
        calm_since_s = time.monotonic()
        while joining in self._fleet.running and await call() != 200:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = time.monotonic()
            if not (self._is_calm() and joining.calm):
                calm_since_s = now_s
            elif now_s - calm_since_s > FIRST_REQUEST_S:
                detail = f"{vm_id} does not use {joining.label} beside an entry with {form.label}"
                self._world.audit.report("VMs follow the list beside an odd entry", detail)
                return
