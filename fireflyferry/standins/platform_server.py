"""HTTP interface of the platform stand-in: object store, VM list, counters and faults."""

import asyncio
import collections
import time

import tornado.web

from fireflyferry.edges.base import VersionConflictError
from fireflyferry.edges.wire import VmListBody, WriteResult, encode_batch, encode_object
from fireflyferry.messages import VmEntry, decode, encode
from fireflyferry.messages.codec import MessageError
from fireflyferry.standins.faults import FaultTable
from fireflyferry.standins.http_base import (
    Broadcast,
    FaultsHandler,
    StandinHandler,
    wait_until_fault_ends,
)
from fireflyferry.standins.platform_table import ObjectTable, ValueTooLargeError
from fireflyferry.standins.platform_vms import DelayedVmList

__all__ = ["FAULT_MODES", "Platform", "make_application"]

FAULT_MODES = {
    "outage": ("refuse", "hang", "hold"),
    "slow": ("before", "after"),
    "lost_answer": ("",),
    "stale_vms": ("",),
}
MAX_WATCH_S = 60.0


class Platform:
    """State of one platform stand-in."""

    def __init__(self, vms: tuple[VmEntry, ...] = (), vms_lag_s: float = 0.0) -> None:
        self.objects = ObjectTable()
        self.vms = DelayedVmList(vms, vms_lag_s)
        self.faults = FaultTable(FAULT_MODES)
        self.changed = Broadcast()
        self.calls: collections.Counter[str] = collections.Counter()
        self.calls_by_vm: collections.Counter[str] = collections.Counter()
        self.faulted: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.waiting_watches = 0

    def faults_changed(self) -> None:
        """Save the VM list for `stale_vms` faults and wake waiting requests."""
        self.vms.save_stale_list(time.monotonic())
        self.changed.notify()


class _PlatformHandler(StandinHandler):
    """Base handler that counts calls and applies faults to them."""

    def initialize(self, platform: Platform) -> None:
        self._platform = platform

    async def call(self, operation: str, perform, wait=None) -> None:
        """Perform an operation with the active faults applied, after an optional wait."""
        platform = self._platform
        platform.calls[operation] += 1
        platform.calls_by_vm[self.caller] += 1
        if not await self._apply_outage(operation):
            return
        slow = platform.faults.consume("slow", self.caller, operation)
        if slow is not None and slow.mode == "before":
            await asyncio.sleep(slow.delay_s)
        if wait is not None:
            await wait()
            if not await self._apply_outage(operation):
                return
        status, body = perform()
        if slow is not None and slow.mode == "after":
            await asyncio.sleep(slow.delay_s)
        if platform.faults.consume("lost_answer", self.caller, operation):
            platform.faulted[operation] += 1
            self.drop_connection()
            return
        platform.sent_bytes[operation] += len(body)
        self.send_json(body, status)

    async def _apply_outage(self, operation: str) -> bool:
        """Apply an outage to a request and return whether the request is to be performed.

        Mode `refuse` answers 503 at once. `hang` and `hold` delay the request until the outage
        ends; then `hang` drops the connection and `hold` lets the request be performed.
        """
        fault = self._platform.faults.consume("outage", self.caller, operation)
        if fault is None:
            return True
        self._platform.faulted[operation] += 1
        if fault.mode == "refuse":
            self.send_error_text(503, "outage")
            return False
        platform = self._platform
        await wait_until_fault_ends(
            platform.faults, platform.changed, "outage", self.caller, operation
        )
        if fault.mode == "hold":
            return True
        self.drop_connection()
        return False

    def if_match(self) -> int | None:
        """Return the version in `If-Match`, or None without the header."""
        text = self.request.headers.get("If-Match")
        if text is None:
            return None
        if not text.strip('"').isdecimal():
            raise tornado.web.HTTPError(400, reason="If-Match is not a version number")
        return int(text.strip('"'))


class _ObjectHandler(_PlatformHandler):
    """`GET`, `PUT` and `DELETE /v1/objects/NAME`."""

    async def get(self, name: str) -> None:
        """Read an object."""
        await self.call("get", lambda: self._read(name))

    async def put(self, name: str) -> None:
        """Write an object if its version matches `If-Match`, which is required."""
        expected = self.if_match()
        if expected is None:
            raise tornado.web.HTTPError(428, reason="If-Match is required")
        await self.call("put", lambda: self._write(name, expected, self.request.body))

    async def delete(self, name: str) -> None:
        """Delete an object, if its version matches `If-Match` when that is given."""
        expected = self.if_match()
        await self.call("delete", lambda: self._write(name, expected, None))

    def _read(self, name: str) -> tuple[int, bytes]:
        item = self._platform.objects.get(name)
        if item is None:
            return 404, encode(WriteResult(name, 0, "not_found"))
        return 200, encode_object(item)

    def _write(self, name: str, expected: int | None, data: bytes | None) -> tuple[int, bytes]:
        objects = self._platform.objects
        try:
            if data is None:
                version = objects.delete(name, expected)
            else:
                version = objects.put(name, data, expected)
        except VersionConflictError:
            current = objects.get(name)
            found = current.version if current else 0
            return 412, encode(WriteResult(name, found, "version_conflict"))
        except ValueTooLargeError as error:
            return 413, encode(WriteResult(name, 0, error.code))
        if version is None:
            return 404, encode(WriteResult(name, 0, "not_found"))
        self._platform.changed.notify()
        return 200, encode(WriteResult(name, version))


class _ListHandler(_PlatformHandler):
    """`GET /v1/objects?prefix=P`."""

    async def get(self) -> None:
        """List objects under a prefix."""
        prefix = self.get_query_argument("prefix", "")
        await self.call("list", lambda: (200, encode_batch(self._platform.objects.list(prefix))))


class _WatchHandler(_PlatformHandler):
    """`GET /v1/watch?prefix=P&prefix=Q&since=N&timeout_s=T`."""

    _caller_disconnected = False

    async def get(self) -> None:
        """Wait for changes after a position of the change log (long poll)."""
        prefixes = tuple(self.get_query_arguments("prefix")) or ("",)
        try:
            since = int(self.get_query_argument("since", "0"))
            timeout_s = float(self.get_query_argument("timeout_s", "30"))
        except ValueError:
            raise tornado.web.HTTPError(400, reason="since or timeout_s is not a number") from None
        end_s = time.monotonic() + min(timeout_s, MAX_WATCH_S)
        objects = self._platform.objects
        await self.call(
            "watch",
            lambda: (200, encode_batch(objects.changes(prefixes, since))),
            lambda: self._wait(prefixes, since, end_s),
        )

    async def _wait(self, prefixes: tuple[str, ...], since: int, end_s: float) -> None:
        platform = self._platform
        platform.waiting_watches += 1
        try:
            while not platform.faults.find("outage", self.caller, "watch"):
                batch = platform.objects.changes(prefixes, since)
                remaining_s = end_s - time.monotonic()
                if batch.changes or batch.reset or remaining_s <= 0 or self._caller_disconnected:
                    return
                await platform.changed.wait(remaining_s)
        finally:
            platform.waiting_watches -= 1

    def on_connection_close(self) -> None:
        """End a watch whose caller has disconnected."""
        self._caller_disconnected = True
        self._platform.changed.notify()


class _VmsHandler(_PlatformHandler):
    """`GET` and `PUT /v1/vms`."""

    async def get(self) -> None:
        """Send the VM list; under `stale_vms`, as it was when the faults were last changed."""
        await self.call("vms", lambda: (200, encode(VmListBody(self._visible()))))

    def put(self) -> None:
        """Replace the VM list; the new list becomes visible after the lag."""
        try:
            vms = decode(self.request.body, VmListBody).vms
        except MessageError as error:
            self.send_error_text(400, str(error))
            return
        lag_text = self.get_query_argument("lag_s", None)
        try:
            lag_s = None if lag_text is None else float(lag_text)
        except ValueError:
            raise tornado.web.HTTPError(400, reason="lag_s is not a number") from None
        self._platform.vms.replace(time.monotonic(), vms, lag_s)
        self.send_json(encode(VmListBody(vms)))

    def _visible(self) -> tuple[VmEntry, ...]:
        stale = self._platform.faults.find("stale_vms", self.caller, "vms") is not None
        return self._platform.vms.visible(time.monotonic(), stale)


class _CountersHandler(_PlatformHandler):
    """`GET /v1/counters`."""

    def get(self) -> None:
        """Send the numbers of calls by operation and by VM; a watch is counted on arrival."""
        platform = self._platform
        counters = {
            "calls": dict(platform.calls),
            "calls_by_vm": dict(platform.calls_by_vm),
            "faulted": dict(platform.faulted),
            "sent_bytes": dict(platform.sent_bytes),
            "waiting_watches": platform.waiting_watches,
            "sequence": platform.objects.sequence,
        }
        self.send_json(encode(counters))


def make_application(platform: Platform) -> tornado.web.Application:
    """Build the application of a platform stand-in."""
    state = {"platform": platform}
    faults = {"table": platform.faults, "changed": platform.faults_changed}
    return tornado.web.Application(
        [
            (r"/v1/objects/(.+)", _ObjectHandler, state),
            (r"/v1/objects/?", _ListHandler, state),
            (r"/v1/watch", _WatchHandler, state),
            (r"/v1/vms", _VmsHandler, state),
            (r"/v1/counters", _CountersHandler, state),
            (r"/faults", FaultsHandler, faults),
        ],
        log_function=lambda handler: None,
    )
