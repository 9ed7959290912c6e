"""Stand-ins of the platform, the instances and the clients for the scripts of the review.

They use loopback addresses only. The store is the project's own stand-in of the soak test.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Callable

import attrs
import tornado.httpserver
import tornado.netutil

from fireflyferry.platform.soak.store import StoreStandin
from fireflyferry.standins.ports import reserve_port

__all__ = [
    "BROKEN",
    "HELD",
    "NOT_RUN",
    "Client",
    "Deployment",
    "Instance",
    "Record",
    "Vm",
    "has_trouble",
    "resource",
    "route",
    "run_case",
]

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a script

HOST = "hulo84.example"
REQUEST_ID = "Fireflyferry-Request-Id"
NOT_EXECUTED = "Fireflyferry-Not-Executed"
HEARTBEAT_S = 1.5
START_TIMEOUT_S = 30.0

SETTINGS = """[vm]
vm_id = {vm_id}
data_centre = {zone}
address = 127.0.0.1
callers = 127.0.0.1:{front}
readiness = 127.0.0.1:{ready}
peer_port = {peers}
metrics_port = {metrics}
processor_share = 0.86
processor_speed = 1
memory_mb = 300

[regions]
data_centres = ost-a:ostland,ost-b:ostland

[store]
address = 127.0.0.1:{store}

[bounds]
drain_timeout_s = 2
grace_period_s = 6
max_hold_s = 10
retry_share = 0.2
retry_window_s = 10
retry_least = 56

[log]
format = keyvalue
level = info
"""


def has_trouble() -> bool:
    """Return whether the script makes its disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def resource(kind: str, name: str, spec: dict) -> dict:
    """Return one resource of the configuration."""
    return {"resourceKind": kind, "metadata": {"name": name}, "spec": spec}


def route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route; `safe` ones have the figures of board-read, others of round-publish."""
    safe = kind == "safe"
    spec = {
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutS": 3.0 if safe else 1.5,
        "targetLatencyS": 1.5 if safe else 0.8,
        "priority": 2 if safe else 1,
        "service": service,
        "maxAttempts": 2,
    }
    return resource("routes", name, spec | changes)


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._start_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s:8.3f} {text}\n")
        self._file.flush()


@attrs.define(eq=False)
class Run:
    """One request that reached an instance."""

    request_id: str
    instance_id: str
    path: str
    arrived_s: float
    began_s: float | None = None
    ended_s: float | None = None
    outcome: str = ""


class Instance:
    """An instance of a service without keys: slots, a short queue, signed answers.

    It drops a request when its connection closes.
    """

    QUEUE = 16

    def __init__(
        self,
        instance_id: str,
        service: str,
        zone: str,
        record: Record,
        work_s: Callable[[], float],
        slots: int = 4,
        answer_bytes: int = 1500,
    ):
        self.instance_id = instance_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.runs: list[Run] = []
        self.port = 0
        self._record = record
        self._answer_bytes = answer_bytes
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._connections:
            task.cancel()

    def entry(self) -> dict:
        """Return the next entry for the store."""
        self._sequence += 1
        return {
            "address": f"127.0.0.1:{self.port}",
            "born": self._born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": "ready", "sequence": self._sequence, "warmupLeftS": 0},
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._connections.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._serve_one(reader, writer):
                    pass
        finally:
            self._connections.discard(task)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        method, path, headers = await read_head(reader)
        await read_body(reader, headers)
        request_id = headers.get(REQUEST_ID.lower(), "")
        expected = headers.get("fireflyferry-expected-instance", self.instance_id)
        run = Run(request_id, self.instance_id, path, self._record.now_s)
        self.runs.append(run)
        self._record.write(f"arrived {request_id} {method} {path} at {self.instance_id}")
        if expected != self.instance_id:
            run.outcome = "misdirected"
            writer.write(answer(421, request_id, b"", not_executed=True))
            return True
        if self._free.locked() and self._waiting >= self.QUEUE:
            run.outcome = "shed"
            writer.write(answer(503, request_id, b"", not_executed=True))
            return True
        closed = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self._work(run))
        done, _ = await asyncio.wait({closed, work}, return_when=asyncio.FIRST_COMPLETED)
        if work not in done:
            work.cancel()
            await asyncio.wait({work})
            run.outcome, run.ended_s = "dropped", self._record.now_s
            self._record.write(f"dropped {request_id} at {self.instance_id}")
            return False
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        run.outcome, run.ended_s = "ran", self._record.now_s
        self._record.write(f"ran {request_id} at {self.instance_id}")
        text = f"{request_id} {self.instance_id} ".encode()
        writer.write(answer(200, request_id, text.ljust(self._answer_bytes, b".")))
        await writer.drain()
        return True

    async def _work(self, run: Run) -> None:
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            run.began_s = self._record.now_s
            self._record.write(f"began {run.request_id} at {self.instance_id}")
            await asyncio.sleep(self.work_s())
        finally:
            self._free.release()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str]]:
    """Read the head of a request; return method, path and headers by lower-case name."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    return method, path, _headers(lines[1:])


def _headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


def answer(status: int, request_id: str, body: bytes, not_executed: bool = False) -> bytes:
    """Return an instance's answer as bytes."""
    lines = [f"HTTP/1.1 {status} Status", f"{REQUEST_ID}: {request_id}"]
    lines.append(f"Content-Length: {len(body)}")
    lines.append("Keep-Alive: timeout=10")
    if not_executed:
        lines.append(f"{NOT_EXECUTED}: 1")
    else:
        lines.append("Fireflyferry-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1")
    return "\r\n".join([*lines, "", ""]).encode() + body


class StoreLink:
    """Loopback proxy between a machine and the store.

    `silence` makes all connections that are open fall silent for good, without a reset; new ones
    work.
    """

    def __init__(self, store_port: int):
        self._store_port = store_port
        self._server: asyncio.Server | None = None
        self._silent: set[asyncio.StreamWriter] = set()
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> int:
        """Silence the connections that are open now; return their number."""
        self._silent |= self._open
        return len(self._open) // 2

    def close(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._open):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there = await asyncio.open_connection("127.0.0.1", self._store_port)
        except OSError:
            writer.transport.abort()
            return
        for source, target in ((reader, there[1]), (there[0], writer)):
            self._open.add(target)
            task = asyncio.ensure_future(self._pump(source, target))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(self, source: asyncio.StreamReader, target: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65_536):
                if target in self._silent:
                    continue
                target.write(data)
                await target.drain()
        if target not in self._silent:
            target.close()
        self._open.discard(target)


@attrs.define(eq=False)
class Vm:
    """One machine: its settings file and its process, started by the command of the deploy file."""

    vm_id: str
    zone: str
    link: StoreLink
    folder: pathlib.Path
    reserved: tuple[socket.socket, ...] = attrs.field(
        factory=lambda: tuple(reserve_port() for _ in range(4))
    )
    process: subprocess.Popen | None = None
    starts: int = 0

    @property
    def front(self) -> int:
        """Port for clients."""
        return self.reserved[0].getsockname()[1]

    @property
    def ready_port(self) -> int:
        """Port of the readiness page."""
        return self.reserved[1].getsockname()[1]

    def start(self) -> None:
        """Start the process."""
        front, ready, peers, metrics = (each.getsockname()[1] for each in self.reserved)
        settings = self.folder / f"{self.vm_id}.conf"
        settings.write_text(
            SETTINGS.format(
                vm_id=self.vm_id,
                zone=self.zone,
                front=front,
                ready=ready,
                peers=peers,
                metrics=metrics,
                store=self.link.port,
            )
        )
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        added = {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "FIREFLYFERRY_BOOT": str(settings),
        }
        with (self.folder / f"{self.vm_id}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "fireflyferry.platform"],
                cwd=ROOT,
                env=kept | added,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.starts += 1

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def memory_mb(self) -> float:
        """Return the resident memory of the process in megabytes; 0 once it has ended."""
        with contextlib.suppress(OSError):
            for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def close(self) -> None:
        """Kill the process if it runs."""
        if self.running:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        for each in self.reserved:
            each.close()


class Deployment:
    """A small deployment: the store, machines and instances; ends only what it started."""

    def __init__(self, record: Record):
        self.record = record
        self.store = StoreStandin(random.Random(1))
        self.vms: list[Vm] = []
        self.instances: list[Instance] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._version = 0
        self._store_port = 0
        self._tasks: list[asyncio.Task] = []
        self._store_server: tornado.httpserver.HTTPServer | None = None

    @property
    def folder(self) -> pathlib.Path:
        """The temporary folder."""
        return pathlib.Path(self._folder.name)

    def configure(self, routes: list[dict], services: dict[str, dict]) -> int:
        """Write the next version of the configuration; return its number."""
        self._version += 1
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        }
        base = {"healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}
        resources = [
            *routes,
            *(resource("services", name, base | spec) for name, spec in services.items()),
            resource("limits", "limits", limits),
        ]
        spec = {"version": f"{self._version:08x}", "resources": resources}
        self.store.write("config", "main", spec)
        self.record.write(f"store acknowledged configuration {self._version}")
        return self._version

    async def start(self, vms: int, instances: list[Instance]) -> None:
        """Start the store, the instances and the machines; wait until all are ready."""
        self._store_server = tornado.httpserver.HTTPServer(self.store.application())
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        self._store_server.add_sockets(sockets)
        self._store_port = sockets[0].getsockname()[1]
        for instance in instances:
            await instance.start()
            self.instances.append(instance)
            self.store.write("servers", instance.instance_id, instance.entry())
        self._tasks.append(asyncio.ensure_future(self._beat()))
        for _ in range(vms):
            (await self.add_vm()).start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for vm in self.vms:
                await wait_until_ready(vm)
        self.record.write(f"{vms} machines are ready")

    async def add_vm(self) -> Vm:
        """Add a machine whose process is not started yet."""
        link = StoreLink(self._store_port)
        await link.start()
        number = len(self.vms)
        vm = Vm(f"edge-{number}", ("ost-a", "ost-b")[number % 2], link, self.folder)
        self.vms.append(vm)
        return vm

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for instance in self.instances:
                self.store.write("servers", instance.instance_id, instance.entry())

    async def close(self) -> None:
        """End everything."""
        for vm in self.vms:
            vm.close()
            vm.link.close()
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            instance.close()
        if self._store_server is not None:
            self._store_server.stop()
        if keep := os.environ.get("KEEP_LOGS"):
            for log in self.folder.glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()


async def wait_until_ready(vm: Vm) -> None:
    """Wait until a machine says that it is ready."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", vm.ready_port)
            try:
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                if (await reader.readuntil(b"\r\n")).split(b" ")[1] == b"200":
                    return
            finally:
                writer.transport.abort()
        await asyncio.sleep(0.1)


@attrs.frozen
class Answer:
    """What a client got; status 0 if the connection ended before a complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """One connection of a client to a machine."""

    def __init__(self, vm: Vm, record: Record):
        self._vm = vm
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection(
            "127.0.0.1", self._vm.front, limit=1 << 20
        )

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    def send(
        self,
        request_id: str,
        method: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
        key: int | None = None,
    ) -> None:
        """Send a request, also behind another one."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"{REQUEST_ID}: {request_id}",
            f"Fireflyferry-Deadline-Ms: {deadline_ms}",
        ]
        if key is not None:
            lines.append(f"Fireflyferry-Shard-Key: {key}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._record.write(f"sent {request_id} {method} {path} {len(body)} B to {self._vm.vm_id}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def read(self, request_id: str) -> Answer:
        """Read the next answer, or status 0 if the connection ends before it is complete."""
        try:
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            headers = _headers(head[1:])
            body = await read_body(self._reader, headers)
        except (OSError, asyncio.IncompleteReadError):
            self._record.write(f"no answer to {request_id}: its connection ended")
            return Answer(0, {}, b"")
        result = Answer(int(head[0].split(" ")[1]), headers, body)
        detail = "" if result.status == 200 else f" {body[:40]!r}"
        self._record.write(f"answered {request_id} {result.status}{detail}")
        return result


def run_case(case: Callable[[Record], "asyncio.Future[int]"], folder: pathlib.Path) -> int:
    """Run a case within 115 s; return its exit code, NOT_RUN if it failed to run."""
    record = Record(folder / "record.txt")

    async def limited() -> int:
        async with asyncio.timeout(115.0):
            return await case(record)

    try:
        code = asyncio.run(limited())
    except Exception as error:
        record.write(f"the case did not run: {type(error).__name__}: {error}")
        code = NOT_RUN
    record.write(f"exit code {code}")
    return code
