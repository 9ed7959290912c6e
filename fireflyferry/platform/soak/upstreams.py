"""Stand-in of the platform's instances: slots, key grants with fences, a heartbeat in the store."""

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
WORK_S = 0.02
ANSWER_LOSS = 0.3
SLOW_CLOCK = 1.02  # the slowest clock that an instance may have
OVERLAP_S = 0.5  # for which two instances may both hold a key


@attrs.frozen
class Hold:
    """Keys that an instance holds; `until_s` on the clock of this process."""

    first: int
    last: int
    fence: int
    until_s: float

    def meets(self, first: int, last: int) -> bool:
        """Tell whether a range shares a key with this one."""
        return self.first <= last and first <= self.last


class UpstreamStandin:
    """One instance; a restart keeps its id and forgets all else."""

    def __init__(
        self,
        number: int,
        pool: str,
        data_centre: str,
        keyed: bool,
        store: StoreStandin,
        audit: Audit,
        rng: random.Random,
        others: Callable[[], list["UpstreamStandin"]],
    ):
        self.upstream_id = f"i-{number:04d}"
        self.pool = pool
        self.keyed = keyed
        self.audit = audit
        self._data_centre = data_centre
        self._store = store
        self._rng = rng
        self._others = others
        self._thawed = Broadcast()
        self._sequence = itertools.count(1)
        self.address = ""
        self.silent = False
        self.loses_answers = False
        self.up = True
        self.draining = False
        self._begin_life()

    def _begin_life(self) -> None:
        self.born = time.time_ns() // 1_000_000
        self.busy = 0
        self.holds: list[Hold] = []
        self._seen: list[tuple[int, int, int]] = []  # fences of grants and of releases
        self.granted: list[tuple[int, int, int]] = []

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
        """Write the instance's entry."""
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
        """Begin a new life under the same id."""
        self._begin_life()
        self.register()

    def thaw(self) -> None:
        """Answer again, also what arrived meanwhile."""
        self.silent = False
        self._thawed.notify()

    async def answering(self) -> None:
        """Wait while the instance is silent."""
        while self.silent:
            await self._thawed.wait()

    def leave(self) -> None:
        """Stop for good."""
        self.up = False
        self.holds.clear()
        self._store.remove(names.UPSTREAM_KIND, self.upstream_id)
        self._server.stop()

    def holding(self, key: int) -> bool:
        """Tell whether the instance holds a key now."""
        now_s = time.monotonic()
        return any(each.meets(key, key) and now_s < each.until_s for each in self.holds)

    def apply_grant(self, given: dict, arrived_s: float) -> bool:
        """Take keys; False if a higher fence was seen on one of them."""
        first, last, fence = given["from"], given["target"], given["fence"]
        if any(low <= last and first <= high and fence < f for low, high, f in self._seen):
            return False
        for other in self._others():
            highest = max((f for a, b, f in other.granted if a <= last and first <= b), default=0)
            if other is not self and other.pool == self.pool and fence <= highest:
                detail = f"{self.upstream_id} {first}-{last} fence {fence}, other {highest}"
                self.audit.report("a fence is above all earlier ones", detail)
        self._seen.append((first, last, fence))
        self.granted.append((first, last, fence))
        self._cut(first, last)
        until_s = arrived_s + given["holdS"] * SLOW_CLOCK
        self.holds.append(Hold(first, last, fence, until_s))
        asyncio.get_running_loop().call_later(OVERLAP_S, self._check_overlap, first, last)
        return True

    def apply_release(self, given: dict) -> None:
        """Give keys back."""
        self._seen.append((given["from"], given["target"], given["fence"]))
        self._cut(given["from"], given["target"])

    def _cut(self, first: int, last: int) -> None:
        """Take a range out of what is held."""
        kept = []
        for each in self.holds:
            if not each.meets(first, last):
                kept.append(each)
                continue
            if each.first < first:
                kept.append(attrs.evolve(each, last=first - 1))
            if each.last > last:
                kept.append(attrs.evolve(each, first=last + 1))
        now_s = time.monotonic()
        self.holds = [each for each in kept if now_s < each.until_s]

    def _check_overlap(self, first: int, last: int) -> None:
        for key in (first, last):
            if self.holding(key):
                self.check_sole(key, "for half a second")

    def check_sole(self, key: int, when: str) -> None:
        """Report another instance that holds a key as well."""
        for other in self._others():
            if other is not self and other.up and other.pool == self.pool and other.holding(key):
                detail = f"key {key}: {self.upstream_id} and {other.upstream_id} {when}"
                self.audit.report("a key has one owner", detail)


class _Handler(tornado.web.RequestHandler):
    def initialize(self, upstream: UpstreamStandin) -> None:
        """Keep the instance."""
        self._upstream = upstream

    def _drop(self) -> None:
        self.detach().close()


class _Grant(_Handler):
    async def post(self) -> None:
        """Take keys; a silent instance does so late, counted from the arrival."""
        arrived_s, born = time.monotonic(), self._upstream.born
        await self._upstream.answering()
        if born != self._upstream.born or not self._upstream.up:
            self._drop()
            return
        taken = self._upstream.apply_grant(orjson.loads(self.request.body), arrived_s)
        self.set_status(200 if taken else 409)


class _Release(_Handler):
    async def post(self) -> None:
        """Give keys back."""
        await self._upstream.answering()
        self._upstream.apply_release(orjson.loads(self.request.body))
        self.set_header(names.HANDOVER, secrets.token_hex(8))


class _Request(_Handler):
    async def _run(self) -> None:
        upstream, headers = self._upstream, self.request.headers
        await upstream.answering()
        request_id = headers.get(names.HEADERS.request_id, "")
        self.set_header(names.HEADERS.request_id, request_id)
        refusal = self._refusal()
        if refusal:
            self.set_status(refusal)
            self.set_header(names.HEADERS.not_run, "1")
            return
        if upstream.keyed:
            upstream.check_sole(int(headers[names.HEADERS.key]), "at a request")
        upstream.audit.ran(request_id, upstream.upstream_id)
        upstream.busy += 1
        await asyncio.sleep(WORK_S)
        upstream.busy -= 1
        if upstream.loses_answers and upstream._rng.random() < ANSWER_LOSS:
            self._drop()
            return
        self.set_header(names.HEADERS.signature, "s")
        self.write(f"{request_id} {upstream.upstream_id}")

    get = post = _run

    def _refusal(self) -> int:
        """Return the status with which a request is refused, 0 if it runs."""
        upstream, headers = self._upstream, self.request.headers
        expected = headers.get(names.HEADERS.expected_upstream, upstream.upstream_id)
        if expected != upstream.upstream_id or not upstream.up:
            return 421
        if upstream.keyed and not upstream.holding(int(headers[names.HEADERS.key])):
            return 421
        return 503 if upstream.busy >= 2 * SLOTS else 0
