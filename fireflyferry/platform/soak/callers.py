"""Callers of the entry VMs: over a shared transport, and over connections of their own."""

import asyncio
import contextlib
import random
import time
from collections.abc import Iterable

import attrs

from fireflyferry.platform import names
from fireflyferry.platform.soak.audit import Audit
from fireflyferry.platform.soak.promises import Promise
from fireflyferry.platform.soak.vms import VmProcess
from fireflyferry.transport import CurlTransport, Exchange, fetch
from fireflyferry.transport.fetch import complete_body

__all__ = ["DEADLINE_S", "HOST", "Callers"]

HOST = "soak.example"
DEADLINE_S = 2.0
KEY_COUNT = 65_536
# Longest pauses on a kept connection; one of them is drawn for each connection.
MAX_PAUSES_S = (0.05, 1.0, 5.0)


@attrs.frozen
class _Request:
    """A request of a caller; without a key if `key` is None."""

    request_id: str
    method: str
    path: str
    key: int | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.method == "GET"

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Headers of the request."""
        headers = [
            ("Host", HOST),
            (names.HEADERS.request_id, self.request_id),
            (names.HEADERS.deadline_ms, str(int(DEADLINE_S * 1000))),
        ]
        if self.key is not None:
            headers.append((names.HEADERS.key, str(self.key)))
        return headers

    def encode(self) -> bytes:
        """Return the request as it is sent."""
        headers = [*self.headers]
        body = "" if self.method == "GET" else "x"
        if body:
            headers.append(("Content-Length", str(len(body))))
        lines = [f"{self.method} {self.path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers)]
        return "\r\n".join([*lines, "", body]).encode()


class Callers:
    """Callers of all VMs; what they see goes into the audit."""

    def __init__(
        self,
        seed: int,
        vms: list[VmProcess],
        audit: Audit,
        transport: CurlTransport,
        promises: Iterable[Promise] = (),
    ):
        self._seed = seed
        self._vms = vms
        self._audit = audit
        self._transport = transport
        self._promises = tuple(promises)
        self._request_numbers = iter(range(1 << 30))
        self._served_version: dict[tuple[str, int], int] = {}
        self.version = 0

    async def send_requests(self, number: int) -> None:
        """Send requests to random VMs one after the other, without end."""
        rng = random.Random(f"{self._seed}/{number}")
        while True:
            vm, draw = rng.choice(self._vms), rng.random()
            if draw < 0.5:
                await self.call(vm, "GET", f"/keyed/{number}", key=rng.randrange(KEY_COUNT))
            elif draw < 0.85:
                await self.call(vm, "POST", f"/write/{number}")
            else:
                await self.request_version(vm, rng.randint(1, self.version))
            await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def request_version(self, vm: VmProcess, version: int) -> int:
        """Request the route of a version, which a VM must keep once it has served it."""
        incarnation = (vm.vm_id, vm.starts)
        latest_served = self._served_version.get(incarnation, 0)
        status = await self.call(vm, "GET", f"/v{version}/")
        if status == 404 and version <= latest_served and incarnation == (vm.vm_id, vm.starts):
            self._audit.report("a configuration never reverts", f"{vm.vm_id} lost v{version}")
        elif status == 200:
            self._served_version[incarnation] = max(
                self._served_version.get(incarnation, 0), version
            )
        return status

    async def call(self, vm: VmProcess, method: str, path: str, key: int | None = None) -> int:
        """Send a request over the transport; return the status, 0 without an answer."""
        request = self._new_request(vm, method, path, key)
        body = complete_body(b"x") if method == "POST" else None
        starts, undisturbed, was_stopping = vm.starts, not vm.disturbed, vm.stopping
        exchange = Exchange(
            f"127.0.0.1:{vm.callers_port}", method, path, request.headers, body, 2 * DEADLINE_S
        )
        result = await fetch(self._transport, exchange)
        if result.complete:
            signed = result.header(names.HEADERS.signature) is not None
            self._record_answer(request, result.status, result.body, signed)
            return result.status
        self._record_no_answer(request)
        was_cut = result.sent and not result.timed_out
        if was_cut and undisturbed and _only_stopping(vm, starts):
            may_be_unread = result.reused or was_stopping
            detail = f"at {vm.vm_id}: {result.message}"
            self._audit.record_cut(request.request_id, detail, may_be_unread)
        return 0

    async def keep_connections(self, number: int) -> None:
        """Send requests over one connection after the other, each kept until the VM closes it."""
        rng = random.Random(f"{self._seed}/kept/{number}")
        while True:
            vm = rng.choice(self._vms)
            starts = vm.starts
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", vm.callers_port)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            try:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                    await self._use_connection(rng, vm, starts, reader, writer)
            finally:
                writer.transport.abort()

    async def _use_connection(
        self,
        rng: random.Random,
        vm: VmProcess,
        starts: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send requests until the VM announces the close; then wait for it."""
        max_pause_s = rng.choice(MAX_PAUSES_S)
        closes = False
        while not closes and not reader.at_eof():
            if rng.random() < 0.5:
                request = self._new_request(vm, "GET", "/keyed/kept", rng.randrange(KEY_COUNT))
            else:
                request = self._new_request(vm, "POST", "/write/kept")
            writer.write(request.encode())
            try:
                async with asyncio.timeout(2 * DEADLINE_S):
                    status, headers, body = await _read_answer(reader)
            except (OSError, asyncio.IncompleteReadError):
                self._record_cut(request, vm, starts)
                raise
            except TimeoutError:
                self._record_no_answer(request)
                raise
            signed = names.HEADERS.signature.lower() in headers
            self._record_answer(request, status, body, signed)
            closes = headers.get("connection", "").lower() == "close"
            await asyncio.sleep(rng.uniform(0.0, max_pause_s))
        await reader.read()

    def _record_answer(self, request: _Request, status: int, body: bytes, signed: bool) -> None:
        self._audit.record_answer(request.request_id, status, body, signed)
        self._tell_ended(request, status)

    def _record_no_answer(self, request: _Request) -> None:
        self._audit.record_no_answer(request.request_id)
        self._tell_ended(request, 0)

    def _tell_ended(self, request: _Request, status: int) -> None:
        for each in self._promises:
            each.on_ended(time.monotonic(), request.request_id, status)

    def _record_cut(self, request: _Request, vm: VmProcess, starts: int) -> None:
        """Record a request whose connection ended before its answer."""
        self._record_no_answer(request)
        if _only_stopping(vm, starts):
            # The request may have crossed the close; then its caller sends it again.
            self._audit.record_cut(request.request_id, f"at {vm.vm_id}", may_be_unread=True)

    def _new_request(
        self, vm: VmProcess, method: str, path: str, key: int | None = None
    ) -> _Request:
        request_id = f"{self._seed:x}-{next(self._request_numbers):x}"
        request = _Request(request_id, method, path, key)
        self._audit.record_sent(request_id, request.is_idempotent)
        for each in self._promises:
            each.on_sent(time.monotonic(), request_id, vm)
        return request


def _only_stopping(vm: VmProcess, starts: int) -> bool:
    """Return whether a VM has been shutting down since, and nothing else happened to it."""
    return vm.stopping and not vm.disturbed and starts == vm.starts


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read an answer with its length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    status = int(head[0].split(" ")[1])
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return status, headers, await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return status, headers, body
