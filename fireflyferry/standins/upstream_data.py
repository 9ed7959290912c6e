"""Data paths of the upstream stand-in."""

import asyncio
import time
import urllib.parse

import attrs
import orjson
import tornado.iostream
import tornado.web

from fireflyferry.leases import CheckResult
from fireflyferry.standins.http_base import StandinHandler
from fireflyferry.standins.upstream_instance import UpstreamInstance

__all__ = ["DataHandler", "answer_size_bytes", "first_line"]

CHUNK_BYTES = 65_536
MAX_ANSWER_BYTES = 1_000_000_000


@attrs.frozen
class DataRequest:
    """A parsed data request; `deadline_s` is monotonic, None without a deadline.

    `key` and `unit` are percent-encoded, as in the headers.

    `request_id` is the id of the attempt, `caller_id` the one that the caller sent, if any. Runs
    are counted by the caller's id, so that retries of one request count together.
    """

    request_id: str
    caller_id: str
    key: str
    unit: str
    fence: int
    deadline_s: float | None
    service_ms: float | None
    size_bytes: int
    chunked: bool
    body_bytes: int

    @property
    def decoded(self) -> tuple[str, str]:
        """Unit and key as grants name them."""
        return tuple(
            urllib.parse.unquote(it, errors="surrogateescape") for it in (self.unit, self.key)
        )


def first_line(upstream_id: str, request: DataRequest) -> bytes:
    """Return the JSON line with which every answer begins."""
    fields = {
        "request_id": request.caller_id,
        "key": request.key,
        "upstream_id": upstream_id,
        "unit": request.unit,
        "fence": request.fence,
        "body_bytes": request.body_bytes,
    }
    return orjson.dumps(fields) + b"\n"


def answer_size_bytes(line: bytes, size_bytes: int) -> int:
    """Return the length of an answer: the first line, padded with dots up to a size."""
    return max(len(line), size_bytes)


class DataHandler(StandinHandler):
    """Any path that is neither control nor for tests."""

    def initialize(self, instance: UpstreamInstance) -> None:
        """Keep the instance."""
        self._instance = instance

    async def serve(self) -> None:
        """Serve a request of any method."""
        try:
            await self._serve()
        except tornado.iostream.StreamClosedError:
            self.drop_connection()

    get = head = post = put = patch = delete = options = serve

    async def _serve(self) -> None:
        instance = self._instance
        outage = instance.faults.take("outage", self.caller, "data")
        if outage is not None:
            while outage.mode == "hang" and instance.faults.find("outage", self.caller, "data"):
                await instance.changed.wait()
            self.drop_connection()
            return
        await instance.thawed(self.caller, "data")
        request = self._parse()
        reason = self._refusal(request)
        if reason:
            self._refuse(request, reason)
            return
        if self._answer_without_running(request):
            return
        if not await instance.slots.acquire():
            self._refuse(request, "upstream_shed")
            return
        try:
            await self._run(request)
        finally:
            instance.slots.release()

    def _parse(self) -> DataRequest:
        headers = self.request.headers
        try:
            deadline_ms = headers.get("Firefly-Deadline-Ms")
            service_ms = self.get_query_argument("service_ms", None)
            request_id = headers.get("Firefly-Request-Id", "")
            return DataRequest(
                request_id,
                headers.get("Request-Id", request_id),
                headers.get("Firefly-Key", ""),
                headers.get("Firefly-Unit", ""),
                int(headers.get("Firefly-Fence", "0")),
                None if deadline_ms is None else time.monotonic() + float(deadline_ms) / 1000,
                None if service_ms is None else float(service_ms),
                min(int(self.get_query_argument("size_bytes", "0")), MAX_ANSWER_BYTES),
                self.get_query_argument("chunked", "0") == "1",
                len(self.request.body),
            )
        except ValueError as error:
            raise tornado.web.HTTPError(400, reason="header or parameter: no number") from error

    def _refusal(self, request: DataRequest) -> str:
        """Return the reason to refuse a request, or an empty string."""
        instance = self._instance
        if self.application.settings["server"]().is_over_limit(self.request):
            self.set_header("Connection", "close")
            return "connection_limit"
        if instance.faults.take("shed", self.caller, "data", request.key):
            return "upstream_shed"
        if instance.is_cancelled(request.request_id):
            return "cancelled"
        if request.deadline_s is not None and time.monotonic() >= request.deadline_s:
            return "deadline_passed_in_queue"
        if instance.checks(self.caller):
            result = instance.holder.check(time.monotonic(), *request.decoded, request.fence)
            return "" if result is CheckResult.HELD else result.value
        return ""

    def _refuse(self, request: DataRequest, reason: str) -> None:
        self._instance.refused[reason] += 1
        self.set_header("Firefly-Request-Id", request.request_id)
        self.set_header("Firefly-Outcome", "not-run")
        self.set_header("Firefly-Reason", reason)
        self.send_error_text(503, reason)

    def _answer_without_running(self, request: DataRequest) -> bool:
        faults = self._instance.faults
        self.set_header("Firefly-Request-Id", request.request_id)
        if faults.take("redirect", self.caller, "data", request.key):
            self.set_header("Location", "/elsewhere")
            self.send_error_text(302, "redirect")
            return True
        if faults.take("expectation_failed", self.caller, "data", request.key):
            self.send_error_text(417, "expectation_failed")
            return True
        return False

    async def _run(self, request: DataRequest) -> None:
        instance = self._instance
        await instance.thawed(self.caller, "data")
        reason = self._refusal(request)
        if reason:
            self._refuse(request, reason)
            return
        checks = instance.checks(self.caller)
        ticket = instance.holder.begin(time.monotonic(), *request.decoded, request.fence)
        run = instance.start_run(request.caller_id, request.key, request.unit, request.fence)
        stopped = await self._take_service_time(request)
        held = True
        if ticket.result is CheckResult.HELD:
            held = instance.holder.finish(time.monotonic(), ticket)
        run.end_s = time.monotonic()
        run.ownership = "held" if held or not checks else "lapsed"
        if stopped:
            self.set_header("Firefly-Outcome", "unknown")
            self.set_header("Firefly-Reason", "timed_out")
            self.send_error_text(503, "cancelled")
            return
        await self._answer(request, run.ownership)

    async def _take_service_time(self, request: DataRequest) -> bool:
        """Take the service time; True if the request was cancelled meanwhile."""
        instance = self._instance
        cancelled = asyncio.Event()
        instance.running.setdefault(request.request_id, []).append(cancelled)
        service_s = instance.service_s(request.service_ms, self.caller, request.key)
        try:
            await asyncio.wait_for(cancelled.wait(), service_s)
        except TimeoutError:
            pass
        finally:
            await instance.thawed(self.caller, "data")
            events = instance.running[request.request_id]
            events.remove(cancelled)
            if not events:
                del instance.running[request.request_id]
            instance.changed.notify()
        return cancelled.is_set()

    async def _answer(self, request: DataRequest, ownership: str) -> None:
        instance = self._instance
        late = instance.faults.take("late_answer", self.caller, "data", request.key)
        if late is not None:
            await asyncio.sleep(late.delay_s)
        if instance.faults.take("close_before_first_byte", self.caller, "data", request.key):
            self.drop_connection()
            return
        if instance.faults.take("wrong_request_id", self.caller, "data", request.key):
            other = instance.last_request_id or "other"
            request = attrs.evolve(request, request_id=other, caller_id=other)
        else:
            instance.last_request_id = request.request_id
        line = first_line(instance.settings.upstream_id, request)
        size_bytes = answer_size_bytes(line, request.size_bytes)
        self.set_header("Firefly-Request-Id", request.request_id)
        self.set_header("Firefly-Ownership", ownership)
        self.set_header("Content-Type", "text/plain")
        if not request.chunked:
            self.set_header("Content-Length", str(size_bytes))
        truncated = instance.faults.take("truncated_body", self.caller, "data", request.key)
        sent_bytes = size_bytes // 2 if truncated else size_bytes
        await self._stream(line, sent_bytes)
        if truncated:
            self.drop_connection()

    async def _stream(self, line: bytes, size_bytes: int) -> None:
        self.write(line[:size_bytes])
        remaining = size_bytes - len(line)
        while remaining > 0:
            self.write(b"." * min(remaining, CHUNK_BYTES))
            remaining -= CHUNK_BYTES
            await self.flush()
            await self._instance.thawed(self.caller, "data")
        await self.flush()
