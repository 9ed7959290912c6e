"""Data requests of the upstream stand-in: checks, execution, answers and faults."""

import asyncio
import time
import urllib.parse

import attrs
import orjson
import tornado.iostream
import tornado.web

from fireflyferry.leases import CheckResult
from fireflyferry.standins.http_base import StandinHandler, wait_until_fault_ends
from fireflyferry.standins.upstream_instance import UpstreamInstance

__all__ = ["DataHandler", "answer_size_bytes", "first_line"]

CHUNK_BYTES = 65_536
MAX_ANSWER_BYTES = 1_000_000_000


@attrs.frozen
class DataRequest:
    """A parsed data request; `deadline_s` is monotonic, None without a deadline.

    `key` and `unit` are percent-encoded, as in the headers. `attempt_id` is the id that the router
    gave to this attempt; `request_id` is the id that the caller sent, or else `attempt_id`.
    Executions are counted by `request_id`.
    """

    request_id: str
    attempt_id: str
    key: str
    unit: str
    fence: int
    deadline_s: float | None
    service_ms: float | None
    size_bytes: int
    chunked: bool
    body_bytes: int

    @property
    def unit_and_key(self) -> tuple[str, str]:
        """Unit and key, decoded as in grants."""
        return tuple(
            urllib.parse.unquote(each, errors="surrogateescape") for each in (self.unit, self.key)
        )


def first_line(upstream_id: str, request: DataRequest) -> bytes:
    """Return the JSON line at the start of every answer."""
    fields = {
        "request_id": request.request_id,
        "key": request.key,
        "upstream_id": upstream_id,
        "unit": request.unit,
        "fence": request.fence,
        "body_bytes": request.body_bytes,
    }
    return orjson.dumps(fields) + b"\n"


def answer_size_bytes(line: bytes, size_bytes: int) -> int:
    """Return the length of an answer: its first line, padded with dots to `size_bytes`."""
    return max(len(line), size_bytes)


class DataHandler(StandinHandler):
    """Handler of every path that is not a control or test path."""

    def initialize(self, instance: UpstreamInstance) -> None:
        """Store the upstream instance."""
        self._instance = instance

    async def serve(self) -> None:
        """Serve a request with any method."""
        try:
            await self._serve()
        except tornado.iostream.StreamClosedError:
            self.drop_connection()

    get = head = post = put = patch = delete = options = serve

    async def _serve(self) -> None:
        instance = self._instance
        outage = instance.faults.consume("outage", self.caller, "data")
        if outage is not None:
            if outage.mode == "hang":
                await wait_until_fault_ends(
                    instance.faults, instance.changed, "outage", self.caller, "data"
                )
            self.drop_connection()
            return
        await instance.wait_while_frozen(self.caller, "data")
        request = self._parse()
        reason = self._refusal_reason(request)
        if reason:
            self._refuse(request, reason)
            return
        if self._answer_without_execution(request):
            return
        if not await instance.slots.acquire():
            self._refuse(request, "upstream_shed")
            return
        try:
            await self._run_request(request)
        finally:
            instance.slots.release()

    def _parse(self) -> DataRequest:
        headers = self.request.headers
        try:
            deadline_ms = headers.get("Firefly-Deadline-Ms")
            service_ms = self.get_query_argument("service_ms", None)
            attempt_id = headers.get("Firefly-Request-Id", "")
            return DataRequest(
                headers.get("Request-Id", attempt_id),
                attempt_id,
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
            raise tornado.web.HTTPError(
                400, reason="a header or parameter is not a number"
            ) from error

    def _refusal_reason(self, request: DataRequest) -> str:
        """Return the reason to refuse a request, or an empty string."""
        instance = self._instance
        if self.application.settings["server"]().is_over_limit(self.request):
            self.set_header("Connection", "close")
            return "connection_limit"
        if instance.faults.consume("shed", self.caller, "data", request.key):
            return "upstream_shed"
        if instance.is_cancelled(request.attempt_id):
            return "cancelled"
        if request.deadline_s is not None and time.monotonic() >= request.deadline_s:
            return "deadline_passed_in_queue"
        if instance.checks_grants(self.caller):
            result = instance.holder.check(time.monotonic(), *request.unit_and_key, request.fence)
            return "" if result is CheckResult.HELD else result.value
        return ""

    def _refuse(self, request: DataRequest, reason: str) -> None:
        self._instance.refused[reason] += 1
        self.set_header("Firefly-Request-Id", request.attempt_id)
        self.set_header("Firefly-Outcome", "not-run")
        self.set_header("Firefly-Reason", reason)
        self.send_error_text(503, reason)

    def _answer_without_execution(self, request: DataRequest) -> bool:
        faults = self._instance.faults
        self.set_header("Firefly-Request-Id", request.attempt_id)
        if faults.consume("redirect", self.caller, "data", request.key):
            self.set_header("Location", "/elsewhere")
            self.send_error_text(302, "redirect")
            return True
        if faults.consume("expectation_failed", self.caller, "data", request.key):
            self.send_error_text(417, "expectation_failed")
            return True
        return False

    async def _run_request(self, request: DataRequest) -> None:
        instance = self._instance
        await instance.wait_while_frozen(self.caller, "data")
        reason = self._refusal_reason(request)
        if reason:
            self._refuse(request, reason)
            return
        checks_grants = instance.checks_grants(self.caller)
        ticket = instance.holder.begin(time.monotonic(), *request.unit_and_key, request.fence)
        execution = instance.start_execution(
            request.request_id, request.key, request.unit, request.fence
        )
        stopped = await self._wait_service_time(request)
        held = True
        if ticket.result is CheckResult.HELD:
            held = instance.holder.finish(time.monotonic(), ticket)
        execution.end_s = time.monotonic()
        execution.ownership = "held" if held or not checks_grants else "lapsed"
        if stopped:
            self.set_header("Firefly-Outcome", "unknown")
            self.set_header("Firefly-Reason", "timed_out")
            self.send_error_text(503, "cancelled")
            return
        await self._answer(request, execution.ownership)

    async def _wait_service_time(self, request: DataRequest) -> bool:
        """Wait for the service time and return whether the request was cancelled meanwhile."""
        instance = self._instance
        cancelled = asyncio.Event()
        instance.running.setdefault(request.attempt_id, []).append(cancelled)
        service_s = instance.service_s(request.service_ms, self.caller, request.key)
        try:
            await asyncio.wait_for(cancelled.wait(), service_s)
        except TimeoutError:
            pass
        finally:
            await instance.wait_while_frozen(self.caller, "data")
            events = instance.running[request.attempt_id]
            events.remove(cancelled)
            if not events:
                del instance.running[request.attempt_id]
            instance.changed.notify()
        return cancelled.is_set()

    async def _answer(self, request: DataRequest, ownership: str) -> None:
        instance = self._instance
        late = instance.faults.consume("late_answer", self.caller, "data", request.key)
        if late is not None:
            await asyncio.sleep(late.delay_s)
        if instance.faults.consume("close_before_first_byte", self.caller, "data", request.key):
            self.drop_connection()
            return
        if instance.faults.consume("wrong_request_id", self.caller, "data", request.key):
            request_id, attempt_id = instance.last_ids
            request = attrs.evolve(request, request_id=request_id, attempt_id=attempt_id)
        else:
            instance.last_ids = request.request_id, request.attempt_id
        line = first_line(instance.settings.upstream_id, request)
        size_bytes = answer_size_bytes(line, request.size_bytes)
        self.set_header("Firefly-Request-Id", request.attempt_id)
        self.set_header("Firefly-Ownership", ownership)
        self.set_header("Content-Type", "text/plain")
        if not request.chunked:
            self.set_header("Content-Length", str(size_bytes))
        truncated = instance.faults.consume("truncated_body", self.caller, "data", request.key)
        sent_bytes = size_bytes // 2 if truncated else size_bytes
        await self._send_body(line, sent_bytes)
        if truncated:
            self.drop_connection()

    async def _send_body(self, line: bytes, size_bytes: int) -> None:
        self.write(line[:size_bytes])
        remaining_bytes = size_bytes - len(line)
        while remaining_bytes > 0:
            self.write(b"." * min(remaining_bytes, CHUNK_BYTES))
            remaining_bytes -= CHUNK_BYTES
            await self.flush()
            await self._instance.wait_while_frozen(self.caller, "data")
        await self.flush()
