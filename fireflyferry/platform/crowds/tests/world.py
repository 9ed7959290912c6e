"""Processes of entry VMs with a store, upstreams and callers, for the crowd tests."""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import resource
import socket
import struct
import subprocess
import sys
import time

import attrs
import tornado.httpserver
import tornado.netutil

from fireflyferry.platform.names import HEADERS
from fireflyferry.platform.soak.store import StoreStandin
from fireflyferry.standins.ports import reserve_port

__all__ = ["DATA_CENTRES", "PIECE_BYTES", "Caller", "CrowdVm", "CrowdWorld"]

HOST = "crowd.example"
DATA_CENTRES = ("dc-1", "dc-2")
PIECE_BYTES = 1 << 16
SAMPLE_S = 0.005
_PEAK = re.compile(r"VmHWM:\s+(\d+) kB")
START_TIMEOUT_S = 60.0  # long, since the result must not depend on how busy the machine is
SETTINGS = """[vm]
vm_id = {vm_id}
data_centre = {data_centre}
address = 127.0.0.1
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{readiness}
peer_port = {peers}
metrics_port = {metrics}
memory_mb = {memory_mb}

[regions]
data_centres = dc-1:r-1,dc-2:r-2

[store]
address = 127.0.0.1:{store}

[bounds]
drain_timeout_s = 2
grace_period_s = 6
max_hold_s = 10
retry_share = 0.2
retry_window_s = 10
retry_least = 64

[log]
format = keyvalue
level = info
"""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, with names in lower case, of a message."""
    start, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(": ") for line in lines if line)
    return start, {name.lower(): value for name, _, value in pairs}


async def skip_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> int:
    """Read a body with a length or in chunks and drop it; return its size."""
    if headers.get("transfer-encoding") != "chunked":
        size = int(headers.get("content-length", "0"))
        await _skip(reader, size)
        return size
    total = 0
    while size := int((await reader.readline()).strip(), 16):
        await _skip(reader, size + 2)
        total += size
    await reader.readline()
    return total


async def _skip(reader: asyncio.StreamReader, size: int) -> None:
    while size > 0:
        data = await reader.read(min(size, PIECE_BYTES))
        if not data:
            raise asyncio.IncompleteReadError(b"", size)
        size -= len(data)


class CrowdUpstream:
    """Upstream without keys that reads each body and answers with `X-Answer-Bytes` bytes."""

    def __init__(self, upstream_id: str, pool: str, data_centre: str):
        self.upstream_id, self.pool, self.data_centre = upstream_id, pool, data_centre
        self.received: dict[str, int] = {}  # size of the body of each request
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        self._port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Close everything."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def entry(self) -> dict:
        """Return the next entry for the store."""
        self._sequence += 1
        info = {"service": self.pool, "version": "v1", "zone": self.data_centre, "slots": 64}
        status = {"state": "ready", "sequence": self._sequence, "warmupLeftS": 0}
        address = f"127.0.0.1:{self._port}"
        return {"address": address, "born": self._born, "info": info, "status": status}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.add(task := asyncio.current_task())
        try:
            # A cancelled task would be logged as a fault of the server's callback.
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while True:
                    await self._answer(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await read_head(reader)
        size = await skip_body(reader, headers)
        request_id = headers.get(HEADERS.request_id.lower(), "")
        self.received[request_id] = size
        await asyncio.sleep(float(headers.get("x-work-s", "0")))
        body = b"y" * int(headers.get("x-answer-bytes", "2"))
        lines = [
            "HTTP/1.1 200 OK",
            f"{HEADERS.request_id}: {request_id}",
            f"{HEADERS.signature}: s",
            f"Content-Length: {len(body)}",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()


@attrs.define(eq=False, slots=False)
class CrowdVm:
    """Process of one entry VM and the highest figures that were seen of it."""

    vm_id: str
    data_centre: str
    folder: pathlib.Path
    memory_mb: int
    descriptors: int | None = None  # soft limit of the process
    peak_bytes: int = 0
    peak_descriptors: int = 0
    reserved: tuple[socket.socket, ...] = attrs.field(
        factory=lambda: tuple(reserve_port() for _ in range(4))
    )

    @property
    def ports(self) -> tuple[int, ...]:
        """Ports for callers, readiness, other VMs and metrics."""
        return tuple(each.getsockname()[1] for each in self.reserved)

    def start(self, store_port: int) -> None:
        """Write the settings and start the process."""
        callers, readiness, peers, metrics = self.ports
        settings = self.folder / f"{self.vm_id}.ini"
        settings.write_text(
            SETTINGS.format(
                vm_id=self.vm_id,
                data_centre=self.data_centre,
                callers=callers,
                readiness=readiness,
                peers=peers,
                metrics=metrics,
                memory_mb=self.memory_mb,
                store=store_port,
            )
        )
        command = [sys.executable, "-m", "fireflyferry.platform", "--settings", str(settings)]
        with (self.folder / f"{self.vm_id}.log").open("wb") as log:
            self.process = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        if self.descriptors is not None:
            limits = (self.descriptors, self.descriptors)
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limits)

    @property
    def running(self) -> bool:
        """Whether the process that was started still runs."""
        return self.process.poll() is None

    def sample(self) -> None:
        """Update the highest figures."""
        folder = pathlib.Path(f"/proc/{self.process.pid}")
        with contextlib.suppress(OSError):
            # The kernel keeps the peak, so nothing is missed between two samples.
            peak = _PEAK.search((folder / "status").read_text())
            self.peak_bytes = int(peak[1]) * 1024 if peak else self.peak_bytes
            self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(folder / "fd")))

    def close(self) -> None:
        """End the process."""
        if self.running:
            self.process.kill()
        self.process.wait()
        for each in self.reserved:
            each.close()


class Caller:
    """One connection of a caller; its kernel buffer for answers is small."""

    def __init__(self, vm: CrowdVm):
        self._vm = vm
        self.broken = False

    async def open(self) -> "Caller":
        """Open the connection; `broken` is set if the VM does not take it."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(
                connection, ("127.0.0.1", self._vm.ports[0])
            )
            # The limit bounds what is read ahead of the caller.
            self.reader, self.writer = await asyncio.open_connection(sock=connection, limit=1 << 15)
        except OSError:
            connection.close()
            self.broken = True
        return self

    async def send(self, data: bytes, repeat: int = 1) -> bool:
        """Send bytes some times; return False if the VM has closed the connection."""
        try:
            for _ in range(repeat):
                if self.broken:
                    return False
                self.writer.write(data)
                await self.writer.drain()
        except OSError:
            self.broken = True
        return not self.broken

    async def read_status(self, drop_body: bool = True) -> int:
        """Return the status of the next answer; 0 if the connection ends before."""
        if self.broken:
            return 0
        try:
            start, headers = await read_head(self.reader)
            if drop_body:
                await skip_body(self.reader, headers)
            return int(start.split(" ")[1])
        except (OSError, asyncio.IncompleteReadError):
            return 0

    async def read(self, size: int) -> bytes:
        """Return up to so many bytes of what the VM sends; none if the connection has ended."""
        try:
            return await self.reader.read(size)
        except OSError:
            self.broken = True
            return b""

    def half_close(self) -> None:
        """End what is sent, and go on reading."""
        if not self.broken:
            with contextlib.suppress(OSError):
                self.writer.write_eof()

    def close(self) -> None:
        """Close the connection at once."""
        if hasattr(self, "writer"):
            self.writer.transport.abort()

    def reset(self) -> None:
        """Close the connection with a reset, also if nothing is unread."""
        if hasattr(self, "writer"):
            connection = self.writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()


def head(request_id: str, pool: str, *lines: str, deadline_ms: int = 20_000) -> bytes:
    """Return the head of a non-idempotent request."""
    fields = [
        f"POST /{pool}/x HTTP/1.1",
        f"Host: {HOST}",
        f"{HEADERS.request_id}: {request_id}",
        f"{HEADERS.deadline_ms}: {deadline_ms}",
        *lines,
    ]
    return "\r\n".join([*fields, "", ""]).encode()


@attrs.define(eq=False, slots=False)
class CrowdWorld:
    """Store, one upstream in each data centre with a pool of its own, and VMs."""

    folder: pathlib.Path
    max_body_bytes: int
    vms: list[CrowdVm] = attrs.field(factory=list)
    upstreams: list[CrowdUpstream] = attrs.field(factory=list)
    _tasks: list[asyncio.Task] = attrs.field(factory=list)

    async def start(self, vms: int, memory_mb: int, descriptors: int | None = None) -> None:
        """Start everything and wait until the VMs serve all pools."""
        store = StoreStandin(random.Random(1))
        self._store_server = tornado.httpserver.HTTPServer(store.application())
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        self._store_server.add_sockets(sockets)
        for number, data_centre in enumerate(DATA_CENTRES):
            upstream = CrowdUpstream(f"u-{number}", f"pool-{number}", data_centre)
            await upstream.start()
            self.upstreams.append(upstream)
        store.write("config", "main", self._config())
        self._tasks.append(asyncio.ensure_future(self._beat(store)))
        for number in range(vms):
            vm = CrowdVm(f"vm-{number}", DATA_CENTRES[number], self.folder, memory_mb, descriptors)
            self.vms.append(vm)
            vm.start(sockets[0].getsockname()[1])
        async with asyncio.timeout(START_TIMEOUT_S):
            for vm in self.vms:
                for upstream in self.upstreams:
                    while await self.ordinary(vm, upstream.pool) != 200:
                        assert vm.running, f"{vm.vm_id} has ended"
                        await asyncio.sleep(0.1)
            if vms > 1:
                await self._wait_until_forwarded(0, 1)
                await self._wait_until_forwarded(1, 0)
        self._tasks.append(asyncio.ensure_future(self._sample()))

    async def ordinary(self, vm: CrowdVm, pool: str) -> int:
        """Return the status of one ordinary request on a connection of its own."""
        caller = await Caller(vm).open()
        try:
            await caller.send(head("ordinary", pool, "Content-Length: 100") + b"x" * 100)
            return await caller.read_status()
        finally:
            caller.close()

    async def _wait_until_forwarded(self, first_hop: int, last_hop: int) -> None:
        """Wait until a VM forwards to the other one, which it does not know at once."""
        before = await self._attempts(self.vms[last_hop])
        while await self._attempts(self.vms[last_hop]) == before:
            await self.ordinary(self.vms[first_hop], self.upstreams[last_hop].pool)
            await asyncio.sleep(0.1)

    async def _attempts(self, vm: CrowdVm) -> float:
        """Return how many requests a VM has sent to upstreams, from its metrics."""
        reader, writer = await asyncio.open_connection("127.0.0.1", vm.ports[3])
        try:
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n")
            lines = (await reader.read()).decode().splitlines()
        finally:
            writer.close()
        name = "fireflyferry_attempts_total"
        return sum(float(line.split(" ")[-1]) for line in lines if line.startswith(name))

    def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            vm.close()
        for upstream in self.upstreams:
            upstream.close()
        self._store_server.stop()

    def _config(self) -> dict:
        resources = []
        for number in range(len(DATA_CENTRES)):
            pool = f"pool-{number}"
            route = {
                "host": HOST,
                "pathPrefix": f"/{pool}/",
                "kind": "unsafe",
                "timeoutS": 20.0,
                "targetLatencyS": 10.0,
                "priority": 1,
                "service": pool,
                "maxAttempts": 2,
            }
            service = {
                "healthPath": "/health",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            }
            resources.append(_resource("routes", pool, route))
            resources.append(_resource("services", pool, service))
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": self.max_body_bytes,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        }
        resources.append(_resource("limits", "limits", limits))
        return {"version": f"{1:08x}", "resources": resources}

    async def _beat(self, store: StoreStandin) -> None:
        while True:
            for upstream in self.upstreams:
                store.write("servers", upstream.upstream_id, upstream.entry())
            await asyncio.sleep(1.0)

    async def _sample(self) -> None:
        while True:
            for vm in self.vms:
                vm.sample()
            await asyncio.sleep(SAMPLE_S)


def _resource(kind: str, name: str, spec: dict) -> dict:
    return {"resourceKind": kind, "metadata": {"name": name}, "spec": spec}
