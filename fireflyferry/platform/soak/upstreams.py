"""Stand-in for the platform's instances: slots, key grants with fences, entries in the store."""

import asyncio
import collections
import itertools
import random
import time
import weakref
from collections.abc import Callable
from typing import Any

import attrs
import tornado.httpserver
import tornado.iostream
import tornado.netutil
import tornado.web

from fireflyferry.platform import names
from fireflyferry.platform.soak.audit import Audit
from fireflyferry.platform.soak.grants import HeldKeys, fence_conflicts
from fireflyferry.platform.soak.misbehaviour import PROBABILITIES, Misbehaviour
from fireflyferry.platform.soak.promises import Promise
from fireflyferry.platform.soak.stalls import StallMonitor
from fireflyferry.platform.soak.store import StoreStandin
from fireflyferry.platform.soak.upstream_handlers import GrantHandler, ReleaseHandler, RunHandler
from fireflyferry.platform.soak.vms import VmProcess
from fireflyferry.standins.http_base import Broadcast

__all__ = ["UpstreamStandin", "UpstreamWorld"]

SLOTS = 4
REFUSAL_PROBABILITY = 0.2
MAX_OVERLAP_S = 0.5  # time for which two upstreams may both hold a key without a request


@attrs.define(eq=False)
class UpstreamWorld:
    """What the upstreams of a run share.

    `processes` has all that were ever started, `effects` how often each misbehaviour took effect,
    and `odd_ids` the ids of entries that name no upstream. `vm_at` returns the VM whose connection
    has a source port, if that is known.
    """

    store: StoreStandin
    audit: Audit
    rng: random.Random
    processes: list["UpstreamStandin"] = attrs.field(factory=list)
    stalls: StallMonitor = attrs.field(factory=StallMonitor)
    promises: tuple[Promise, ...] = ()
    vm_at: Callable[[int], VmProcess | None] = lambda source_port: None
    odd_ids: set[str] = attrs.field(factory=set)
    effects: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def next_start_ms(self) -> int:
        """Return the time in milliseconds for a process that starts, above those of all others.

        VMs and findings tell two processes of one id apart by this time.
        """
        latest_ms = max((each.born for each in self.processes), default=0)
        return max(time.time_ns() // 1_000_000, latest_ms + 1)


class _Server(tornado.httpserver.HTTPServer):
    """HTTP server that keeps its open connections in `streams`."""

    streams: weakref.WeakSet[tornado.iostream.IOStream]

    def handle_stream(self, stream: tornado.iostream.IOStream, address: tuple) -> None:
        """Serve a new connection."""
        self.streams.add(stream)
        super().handle_stream(stream, address)


class UpstreamStandin:
    """Stand-in for the process of one instance, from its start to its end.

    While `silent`, the process is frozen: it answers nothing and sends no heartbeat. Until
    `unlisted_until_s`, it serves without reaching the store. While `leaving`, all answers say so.
    Until `quiet_until_s`, it refuses all requests and says for how long.
    """

    def __init__(
        self, upstream_id: str, pool: str, data_centre: str, keyed: bool, world: UpstreamWorld
    ):
        self.upstream_id = upstream_id
        self.pool = pool
        self.keyed = keyed
        self.data_centre = data_centre
        self.world = world
        self.born = world.next_start_ms()
        self.keys = HeldKeys()
        self.port = 0
        self.up = True
        self.silent = False
        self.draining = False
        self.leaving = False
        self.unlisted_until_s = 0.0
        self.quiet_until_s = 0.0
        self.misbehaviour = Misbehaviour.NONE
        self.running = 0
        self._server: _Server | None = None
        self._streams: weakref.WeakSet[tornado.iostream.IOStream] = weakref.WeakSet()
        self._answers: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()
        self._resumed = Broadcast()
        self._sequence = itertools.count(1)
        world.processes.append(self)

    @property
    def label(self) -> str:
        """Name of the process in findings."""
        return f"{self.upstream_id}/{self.born}"

    @property
    def audit(self) -> Audit:
        """Record of the run."""
        return self.world.audit

    @property
    def quiet_left_s(self) -> float:
        """Time for which the process goes on to refuse all requests, in seconds."""
        return max(0.0, self.quiet_until_s - time.monotonic())

    def is_full(self) -> bool:
        """Return whether a request is refused; one that repeats refusals is full at times."""
        refuses = Misbehaviour.REPEATS_REFUSALS in self.misbehaviour
        if refuses and self.world.rng.random() < REFUSAL_PROBABILITY:
            return True
        return self.running >= 2 * SLOTS

    # Process

    def serve(self, port: int) -> None:
        """Serve on a port of the loopback address."""
        self.port = port
        handlers = [
            (names.GRANT_PATH, GrantHandler, {"upstream": self}),
            (names.RELEASE_PATH, ReleaseHandler, {"upstream": self}),
            (r".*", RunHandler, {"upstream": self}),
        ]
        self._application = tornado.web.Application(handlers, log_function=lambda handler: None)
        self.listen()

    def listen(self) -> None:
        """Accept connections, unless the process has ended or does already."""
        if self.up and self._server is None:
            self._server = _Server(self._application)
            self._server.streams = self._streams
            self._server.add_sockets(tornado.netutil.bind_sockets(self.port, "127.0.0.1"))

    def refuse_connections(self) -> None:
        """Refuse new connections; open ones are served on."""
        if self._server is not None:
            self._server.stop()
            self._server = None

    def close_connections(self) -> None:
        """Close all open connections, also those with a request."""
        for stream in list(self._streams):
            stream.close()

    def end(self) -> None:
        """End the process: its connections are closed, and nothing that it began goes on."""
        self.up = False
        self.refuse_connections()
        self.close_connections()
        self.resume()

    def resume(self) -> None:
        """Answer again, also the calls that arrived while the process was silent."""
        self.silent = False
        self._resumed.notify()

    async def wait_until_responsive(self) -> None:
        """Wait while the process is silent."""
        while self.silent:
            await self._resumed.wait()

    def misbehaves(self, kind: Misbehaviour) -> bool:
        """Return whether the process does something wrong this time."""
        if kind not in self.misbehaviour or self.world.rng.random() >= PROBABILITIES[kind]:
            return False
        self.world.effects[kind.name.lower()] += 1
        return True

    def earlier_answers(self, stream: tornado.iostream.IOStream, kind: Misbehaviour) -> list[bytes]:
        """Return the answers on a connection that a misbehaviour may write once more."""
        return self._answers.setdefault(stream, {}).setdefault(kind, [])

    # Entry in the store

    @property
    def reaches_store(self) -> bool:
        """Whether the process sends heartbeats."""
        return self.up and not self.silent and time.monotonic() >= self.unlisted_until_s

    @property
    def calm(self) -> bool:
        """Whether the process serves, answers properly and reaches the store."""
        return self.reaches_store and self._server is not None and not self.misbehaviour

    def register(self) -> None:
        """Write the entry of the process to the store."""
        self.world.store.write(names.UPSTREAM_KIND, self.upstream_id, self.entry())

    def entry(self) -> dict[str, Any]:
        """Return the next entry of the process."""
        state = "draining" if self.draining else "ready"
        return {
            "address": f"127.0.0.1:{self.port}",
            "born": self.born,
            "info": {
                "service": self.pool,
                "version": "v1",
                "zone": self.data_centre,
                "slots": SLOTS,
            },
            "status": {"state": state, "sequence": next(self._sequence), "warmupLeftS": 0},
        }

    # Keys

    def holds_key(self, key: int) -> bool:
        """Return whether the process holds a key now."""
        return self.keys.holds(key, time.monotonic())

    def apply_grant(self, message: dict, arrived_s: float) -> bool:
        """Apply a grant; return False if a higher fence arrived earlier for one of its keys."""
        now_s = time.monotonic()
        if not self.keyed:
            self.audit.report("grants go to pools with keys", f"{self.label} {message}")
        grant = self.keys.grant(message, arrived_s, now_s)
        if grant is None:
            return False
        for other in self._others():
            for earlier in fence_conflicts(grant, [other.keys], now_s):
                detail = f"{self.label} {grant}, {other.label} {earlier}"
                self.audit.report("a fence is above all earlier ones", detail)
        self._check_holders("after a grant")
        asyncio.get_running_loop().call_later(
            MAX_OVERLAP_S, self._check_holders, "for half a second"
        )
        return True

    def apply_release(self, message: dict) -> None:
        """Apply a release."""
        self.keys.release(message, time.monotonic())

    def check_single_holder(self, key: int, when: str) -> None:
        """Report every other live process that holds a key as well."""
        for other in self._others():
            if other.up and other.holds_key(key):
                self._report_holder(key, other, when)

    def _check_holders(self, when: str) -> None:
        """Report every other live process that holds a key of this one."""
        now_s = time.monotonic()
        for other in self._others():
            if self.up and other.up:
                key = self.keys.shared_key(other.keys, now_s)
                if key is not None:
                    self._report_holder(key, other, when)

    def _report_holder(self, key: int, other: "UpstreamStandin", when: str) -> None:
        detail = f"key {key}: {self.label} and {other.label} {when}"
        self.audit.report("a key has one owner", detail)

    def _others(self) -> list["UpstreamStandin"]:
        return [p for p in self.world.processes if p is not self and p.pool == self.pool]
