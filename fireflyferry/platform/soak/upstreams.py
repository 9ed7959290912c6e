"""Stand-in for the platform's instances: slots, key grants with fences, entries in the store."""

import asyncio
import itertools
import random
import secrets
import time
from collections.abc import Callable

import attrs
import orjson
import tornado.httpserver
import tornado.web

from fireflyferry.platform import names
from fireflyferry.platform.soak.audit import Audit
from fireflyferry.platform.soak.store import StoreStandin
from fireflyferry.standins.http_base import Broadcast

__all__ = ["UpstreamStandin"]

SLOTS = 4
SERVICE_TIME_S = 0.02
ANSWER_LOSS_PROBABILITY = 0.3
SLOWEST_CLOCK_FACTOR = 1.02  # seconds that pass during one second of the slowest allowed clock
MAX_OVERLAP_S = 0.5  # time for which two instances may both hold a key


@attrs.frozen
class HeldRange:
    """Range of keys that an instance holds until `until_s` on the clock of this process."""

    first: int
    last: int
    fence: int
    until_s: float

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether a range shares a key with this one."""
        return self.first <= last and first <= self.last


class UpstreamStandin:
    """Stand-in for one instance.

    A restart keeps the id and the address and loses the grants. While `silent`, the instance
    answers nothing; with `loses_answers`, it closes the connection of some requests that it ran.
    """

    def __init__(
        self,
        number: int,
        pool: str,
        data_centre: str,
        keyed: bool,
        store: StoreStandin,
        audit: Audit,
        rng: random.Random,
        all_upstreams: Callable[[], list["UpstreamStandin"]],
    ):
        self.upstream_id = f"i-{number:04d}"
        self.pool = pool
        self.keyed = keyed
        self.audit = audit
        self._data_centre = data_centre
        self._store = store
        self._rng = rng
        self._all_upstreams = all_upstreams
        self._resumed = Broadcast()
        self._sequence = itertools.count(1)
        self.address = ""
        self.silent = False
        self.loses_answers = False
        self.up = True
        self.draining = False
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        self.born = time.time_ns() // 1_000_000
        self.running = 0
        self.held_ranges: list[HeldRange] = []
        self._seen_fences: list[tuple[int, int, int]] = []  # keys and fences of grants and releases
        self.granted_fences: list[tuple[int, int, int]] = []

    def start(self, sockets: list) -> None:
        """Serve on listening sockets."""
        application = tornado.web.Application(
            [
                (names.GRANT_PATH, _Grant, {"upstream": self}),
                (names.RELEASE_PATH, _Release, {"upstream": self}),
                (r".*", _Request, {"upstream": self}),
            ],
            log_function=lambda handler: None,
        )
        self._server = tornado.httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)
        self.register()

    def register(self) -> None:
        """Write the instance's entry to the store."""
        state = "draining" if self.draining else "ready"
        entry = {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.pool,
                "version": "v1",
                "zone": self._data_centre,
                "slots": SLOTS,
            },
            "status": {"state": state, "sequence": next(self._sequence), "warmupLeftS": 0},
        }
        self._store.write(names.UPSTREAM_KIND, self.upstream_id, entry)

    def restart(self) -> None:
        """Start a new incarnation under the same id."""
        self._start_incarnation()
        self.register()

    def resume(self) -> None:
        """Answer again, also the calls that arrived while the instance was silent."""
        self.silent = False
        self._resumed.notify()

    async def wait_until_responsive(self) -> None:
        """Wait while the instance is silent."""
        while self.silent:
            await self._resumed.wait()

    def shut_down(self) -> None:
        """Stop serving and remove the entry from the store."""
        self.up = False
        self.held_ranges.clear()
        self._store.remove(names.UPSTREAM_KIND, self.upstream_id)
        self._server.stop()

    def holds_key(self, key: int) -> bool:
        """Return whether the instance holds a key now."""
        now_s = time.monotonic()
        return any(each.overlaps(key, key) and now_s < each.until_s for each in self.held_ranges)

    def apply_grant(self, message: dict, arrived_s: float) -> bool:
        """Apply a grant; return False if a higher fence arrived earlier for one of its keys."""
        first, last, fence = message["from"], message["target"], message["fence"]
        if any(
            seen_first <= last and first <= seen_last and fence < seen_fence
            for seen_first, seen_last, seen_fence in self._seen_fences
        ):
            return False
        for other in self._all_upstreams():
            highest_fence = max(
                (
                    granted_fence
                    for granted_first, granted_last, granted_fence in other.granted_fences
                    if granted_first <= last and first <= granted_last
                ),
                default=0,
            )
            if other is not self and other.pool == self.pool and fence <= highest_fence:
                detail = f"{self.upstream_id} {first}-{last} fence {fence}, other {highest_fence}"
                self.audit.report("a fence is above all earlier ones", detail)
        self._seen_fences.append((first, last, fence))
        self.granted_fences.append((first, last, fence))
        self._remove_range(first, last)
        until_s = arrived_s + message["holdS"] * SLOWEST_CLOCK_FACTOR
        self.held_ranges.append(HeldRange(first, last, fence, until_s))
        asyncio.get_running_loop().call_later(MAX_OVERLAP_S, self._check_overlap, first, last)
        return True

    def apply_release(self, message: dict) -> None:
        """Apply a release."""
        self._seen_fences.append((message["from"], message["target"], message["fence"]))
        self._remove_range(message["from"], message["target"])

    def _remove_range(self, first: int, last: int) -> None:
        """Remove a range from the held ranges."""
        kept = []
        for each in self.held_ranges:
            if not each.overlaps(first, last):
                kept.append(each)
                continue
            if each.first < first:
                kept.append(attrs.evolve(each, last=first - 1))
            if each.last > last:
                kept.append(attrs.evolve(each, first=last + 1))
        now_s = time.monotonic()
        self.held_ranges = [each for each in kept if now_s < each.until_s]

    def _check_overlap(self, first: int, last: int) -> None:
        for key in (first, last):
            if self.holds_key(key):
                self.check_single_holder(key, "for half a second")

    def check_single_holder(self, key: int, when: str) -> None:
        """Report every other instance that holds a key as well."""
        for other in self._all_upstreams():
            if other is not self and other.up and other.pool == self.pool and other.holds_key(key):
                detail = f"key {key}: {self.upstream_id} and {other.upstream_id} {when}"
                self.audit.report("a key has one owner", detail)


class _Handler(tornado.web.RequestHandler):
    def initialize(self, upstream: UpstreamStandin) -> None:
        """Set the instance that answers the call."""
        self._upstream = upstream

    def _close_connection(self) -> None:
        self.detach().close()


class _Grant(_Handler):
    async def post(self) -> None:
        """Apply a grant; its hold time counts from its arrival even if the instance was silent."""
        arrived_s, born = time.monotonic(), self._upstream.born
        await self._upstream.wait_until_responsive()
        if born != self._upstream.born or not self._upstream.up:
            self._close_connection()
            return
        accepted = self._upstream.apply_grant(orjson.loads(self.request.body), arrived_s)
        self.set_status(200 if accepted else 409)


class _Release(_Handler):
    async def post(self) -> None:
        """Apply a release."""
        await self._upstream.wait_until_responsive()
        self._upstream.apply_release(orjson.loads(self.request.body))
        self.set_header(names.HANDOVER_HEADER, secrets.token_hex(8))


class _Request(_Handler):
    async def _run(self) -> None:
        upstream, headers = self._upstream, self.request.headers
        await upstream.wait_until_responsive()
        request_id = headers.get(names.HEADERS.request_id, "")
        self.set_header(names.HEADERS.request_id, request_id)
        refusal = self._refusal_status()
        if refusal:
            self.set_status(refusal)
            self.set_header(names.HEADERS.not_run, "1")
            return
        if upstream.keyed:
            upstream.check_single_holder(int(headers[names.HEADERS.key]), "at a request")
        upstream.audit.record_execution(request_id, upstream.upstream_id)
        upstream.running += 1
        await asyncio.sleep(SERVICE_TIME_S)
        upstream.running -= 1
        if upstream.loses_answers and upstream._rng.random() < ANSWER_LOSS_PROBABILITY:
            self._close_connection()
            return
        self.set_header(names.HEADERS.signature, "s")
        self.write(f"{request_id} {upstream.upstream_id}")

    get = post = _run

    def _refusal_status(self) -> int:
        """Return the status with which a request is refused, 0 if it runs."""
        upstream, headers = self._upstream, self.request.headers
        expected = headers.get(names.HEADERS.expected_upstream, upstream.upstream_id)
        if expected != upstream.upstream_id or not upstream.up:
            return 421
        if upstream.keyed and not upstream.holds_key(int(headers[names.HEADERS.key])):
            return 421
        return 503 if upstream.running >= 2 * SLOTS else 0
