"""Stand-ins of the second review: store, instances, links that can be cut, clients, entry VMs.

They follow the users' pages. Everything but the entry VMs runs in one process, on loopback
addresses and the real clock. Only Python's standard library is used.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
ID, DEADLINE = "Fireflyferry-Request-Id", "Fireflyferry-Deadline-Ms"
SIGNATURE, NOT_RUN = "Fireflyferry-Response-Signature", "Fireflyferry-Not-Executed"
EXPECTED, KEY = "Fireflyferry-Expected-Instance", "Fireflyferry-Shard-Key"
LEAVING, CLOSES = "Server-Leaving", ("Connection", "close")
HOST = "case.example"
HEARTBEAT_S, SETTLE_WINDOW_S, DRAIN_TIMEOUT_S, THAW_SLACK_S = 0.87, 3.0, 2.0, 0.3
BOUNDS = {
    "drainTimeoutS": DRAIN_TIMEOUT_S,
    "gracePeriodS": 6,
    "maxHoldS": 10,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryBudgetMin": 64,
    "settleWindowS": SETTLE_WINDOW_S,
}
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request"}
HELD, BROKEN, NOT_RUNNABLE = 0, 1, 2


class Record:
    """Lines on what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self):
        self._start_s = time.monotonic()
        self.lines = []

    def now(self):
        """Return the time since the start in seconds."""
        return time.monotonic() - self._start_s

    def add(self, text):
        """Add a line."""
        self.lines.append(f"{self.now():8.3f} {text}")


class Request:
    """One request of an HTTP connection; `left` is set once its sender has closed."""

    def __init__(self, method, target, headers, body, connection):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.connection = connection
        self.left = connection.left

    def header(self, name):
        """Return the value of a header; None without it."""
        return self.headers.get(name.lower())


class Connection(asyncio.Protocol):
    """Server side of one connection; handles one request at a time."""

    def __init__(self, server):
        self._server = server
        self._buffer = b""
        self._busy = False
        self.left = asyncio.Event()

    def connection_made(self, transport):
        """Note a new connection."""
        self.transport = transport
        self._server.connections.add(self)

    def data_received(self, data):
        """Handle what has arrived."""
        self._buffer += data
        self._next()

    def eof_received(self):
        """Note that the sender has closed its side."""
        self.left.set()
        self._next()
        return True  # requests that have arrived are read; the answer may still be written

    def connection_lost(self, exc):
        """Note the end of the connection."""
        self.left.set()
        self._server.connections.discard(self)

    def _next(self):
        if self._busy:
            return
        request = self._parse()
        if request is not None:
            self._busy = True
            asyncio.get_running_loop().create_task(self._answer(request))
        elif self.left.is_set():
            self.transport.close()

    def _parse(self):
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return None
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return None
        self._buffer = rest[length:]
        method, target, _ = first.split(" ")
        return Request(method, target, headers, rest[:length], self)

    async def _answer(self, request):
        result = await self._server.handle(request)
        if result is None:
            self.transport.abort()
            return
        status, headers, body = result
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        if not self.transport.is_closing():
            self.transport.write("\r\n".join([*lines, "", ""]).encode() + body)
        if CLOSES in headers:
            self.transport.close()
            return
        self._busy = False
        self._next()


class Server:
    """HTTP server; subclasses define `handle`, which returns status, headers and body."""

    def __init__(self):
        self.connections = set()
        self.port = 0

    async def listen(self):
        """Listen on a free loopback port."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: Connection(self), "127.0.0.1", 0)
        self.port = self._listener.sockets[0].getsockname()[1]
        return self

    def end(self):
        """End it, and all that it has opened."""
        self._listener.close()
        for connection in list(self.connections):
            connection.transport.abort()

    async def handle(self, request):
        """Return status, headers and body of the answer; None resets the connection."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: objects by kind and name, conditional writes, lists and watches."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self._objects = collections.defaultdict(dict)
        self._events = []
        self._revision = 1
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object without a condition; one that changes nothing is no event."""
        known = self._objects[kind].get(name)
        if known is None or known["spec"] != spec:
            self._revision += 1
            metadata = {"name": name, "revision": self._revision, "finalizers": []}
            self._objects[kind][name] = {"metadata": metadata, "spec": spec, "status": {}}
            self._add_event(kind, False, self._objects[kind][name])
        return self._objects[kind][name]

    def remove(self, kind, name):
        """Remove an object, if it exists."""
        known = self._objects[kind].pop(name, None)
        if known is not None:
            self._revision += 1
            self._add_event(kind, True, known)

    def _add_event(self, kind, removed, value):
        self._events.append((self._revision, kind, {"removed": removed, "object": value}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request):
        """Return status, headers and body of the answer; None resets the connection."""
        url = urlsplit(request.target)
        _, _, kind, *names = (unquote(part) for part in url.path.split("/"))
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        if request.method == "GET" and names:
            known = self._objects[kind].get(names[0])
            return self._reply(200, known) if known is not None else self._reply(404, {})
        if request.method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), float(query.get("waitMs", 0)))
        if request.method == "GET":
            after = query.get("after", "")
            rest = sorted(name for name in self._objects[kind] if name > after)
            items = [self._objects[kind][name] for name in rest[:50]]
            page = {"items": items, "hasMore": len(rest) > 50, "asOf": self._revision}
            return self._reply(200, page)
        document = json.loads(request.body)
        metadata = document["metadata"]
        name = names[0] if names else metadata["name"]
        known = self._objects[kind].get(name)
        if request.method == "POST" and known is not None:
            return self._reply(409, known)
        if request.method == "PUT" and known is None:
            return self._reply(404, {})
        condition = metadata.get("revision")
        if known is not None and condition not in (None, known["metadata"]["revision"]):
            return self._reply(409, known)
        return self._reply(200, self.put(kind, name, document["spec"]))

    async def _watch(self, kind, position, wait_ms):
        until_s = time.monotonic() + wait_ms / 1000
        while True:
            found = [e for revision, k, e in self._events if revision > position and k == kind]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return self._reply(200, {"events": found, "asOf": self._revision})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    @staticmethod
    def _reply(status, value):
        return status, [("Content-Type", "application/json")], json.dumps(value).encode()


class Instance(Server):
    """An instance of a service. Keys of a sharded service are held by grants.

    `work_s` is how long a request takes in one of the `slots`; up to `queue` more wait. A request
    whose sender closes its connection is dropped.
    """

    def __init__(self, record, store, name, service, slots, work_s=0.2, sharded=False, queue=16):
        super().__init__()
        self._record, self._store = record, store
        self.name, self.service, self.slots = name, service, slots
        self.work_s, self.sharded, self._queue = work_s, sharded, queue
        self.zone, self.state = "zone-a", "ready"
        self.address = ""  # in its entry; of the instance itself if empty
        self.reports = True
        self.leaves = False  # also if it does not report it
        self._born = time.time_ns() // 1_000_000
        self._sequence = itertools.count(1)
        self._free = asyncio.Semaphore(slots)
        self._present = 0
        self.arrivals = []  # time, request id
        self.runs = collections.Counter()
        self.begun = []  # time, request id, key
        self.held = []  # first, last, fence, until
        self.seen = []  # first, last, fence
        self.grants = []  # time, first, last, fence, until
        self._heartbeats = None

    async def start(self):
        """Start it."""
        await self.listen()
        self._heartbeats = asyncio.get_running_loop().create_task(self._report())
        return self

    def end(self):
        """End it, and all that it has opened."""
        self._heartbeats.cancel()
        super().end()

    async def _report(self):
        while True:
            if self.reports:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        """Write the instance's entry to the store, unless only its sequence has changed."""
        info = {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots}
        status = {"state": self.state, "sequence": next(self._sequence), "warmupLeftS": 0}
        address = self.address or f"127.0.0.1:{self.port}"
        entry = {"address": address, "born": self._born, "info": info, "status": status}
        known = self._store._objects["servers"].get(self.name)
        if known is not None and _without_sequence(known["spec"]) == _without_sequence(entry):
            return  # only the sequence has changed, which is no event
        self._store.put("servers", self.name, entry)

    async def handle(self, request):
        """Return the answer, which says so if the instance leaves; None resets the connection."""
        answer = await self._handle(request)
        if answer is None or not (self.leaves or self.state == "draining"):
            return answer
        status, headers, body = answer
        return status, [*headers, (LEAVING, "1"), CLOSES], body

    async def _handle(self, request):
        now_s = self._record.now()
        if request.header(EXPECTED) not in (None, self.name):
            return 421, [("Fireflyferry-Instance-Id", self.name), (NOT_RUN, "1")], b""
        if request.target in ("/grant", "/release"):
            return self._order(now_s, request.target[1:], json.loads(request.body))
        request_id = request.header(ID)
        echo = (ID, request_id)
        self.arrivals.append((now_s, request_id))
        self._record.add(f"{self.name} gets {request_id}")
        if self.sharded and not self.holds(int(request.header(KEY)), now_s):
            return 421, [echo, (NOT_RUN, "1")], b""
        if self._present >= self.slots + self._queue:
            return 503, [echo, (NOT_RUN, "1")], b""
        self._present += 1
        try:
            return await self._run(request, request_id, echo)
        finally:
            self._present -= 1

    async def _run(self, request, request_id, echo):
        until_s = time.monotonic() + int(request.header(DEADLINE) or 10_000) / 1000
        left = asyncio.ensure_future(request.left.wait())
        slot = asyncio.ensure_future(self._free.acquire())
        try:
            await asyncio.wait(
                [left, slot], timeout=until_s - time.monotonic(), return_when="FIRST_COMPLETED"
            )
            if not slot.done() or left.done():
                if slot.done():
                    self._free.release()
                slot.cancel()
                return None if left.done() else (503, [echo, (NOT_RUN, "1")], b"")
            self.runs[request_id] += 1
            self.begun.append((self._record.now(), request_id, int(request.header(KEY) or -1)))
            self._record.add(f"{self.name} runs {request_id}")
            work_s = min(self.work_s, until_s - time.monotonic())
            await asyncio.wait([left], timeout=max(0.0, work_s))
            self._free.release()
            if left.done():
                self._record.add(f"{self.name} drops {request_id}, whose sender has closed")
                return None
            if work_s < self.work_s:
                return 504, [echo, (SIGNATURE, f"{self.name}.{request_id}")], b"deadline"
            signature = (SIGNATURE, f"{self.name}.{request_id}")
            return 200, [echo, signature], f"{self.name} {request_id}".encode()
        finally:
            left.cancel()

    # Keys

    def holds(self, key, now_s):
        """Return whether a key is held."""
        return any(first <= key <= last and now_s < until for first, last, _, until in self.held)

    def _order(self, now_s, kind, order):
        first, last, fence = order["from"], order["target"], order["fence"]
        if kind == "release":
            self.seen.append((first, last, fence))
            self.held = [part for each in self.held for part in _without(each, first, last)]
            self.grants = [
                (at_s, f, t, token, min(until, now_s) if f <= last and first <= t else until)
                for at_s, f, t, token, until in self.grants
            ]
            self._record.add(f"{self.name} releases {first}-{last}, fence {fence}")
            return 200, [("Fireflyferry-Handover", random.randbytes(8).hex())], b""
        if any(low <= last and first <= high and fence < seen for low, high, seen in self.seen):
            self._record.add(f"{self.name} refuses {first}-{last}, fence {fence}")
            return 409, [], b""
        until = now_s + order["holdS"]
        renews = (first, last, fence) in self.seen
        if not renews:
            self.seen.append((first, last, fence))
        self.held = [part for each in self.held for part in _without(each, first, last)]
        self.held.append((first, last, fence, until))
        self.grants.append((now_s, first, last, fence, until))
        if not renews:
            text = f"{self.name} takes {first}-{last}, fence {fence}, until {until:.3f}"
            self._record.add(text)
        return 200, [], b""


def _without_sequence(entry):
    return {**entry, "status": {**entry["status"], "sequence": 0}}


def _without(held, first, last):
    low, high, fence, until = held
    if last < low or high < first:
        return [held]
    parts = [(low, first - 1, fence, until)] if low < first else []
    return parts + ([(last + 1, high, fence, until)] if last < high else [])


class Link:
    """Loopback proxy in front of one server: the network between all VMs and an instance.

    While it is cut, nothing passes. What a VM has written to a connection that was open before is
    kept, as in the kernel of the VM, which goes on sending it again after the connection was
    closed: first 0.2 s later, then after twice the time, and so on (RFC 6298, with Linux's least
    timeout). It arrives with the first attempt after the cut, unless the VM has reset the
    connection: then it is lost. New connections get no answer: the queue of the listener is full,
    so the kernel drops the packets that open them.
    """

    FIRST_RETRANSMISSION_S = 0.2
    ROUND_TRIP_S = 0.005

    def __init__(self, record, server_port):
        self._record, self._server_port = record, server_port
        self._tasks = set()
        self._is_cut = False
        self._healed = asyncio.Event()
        self._healed.set()
        self._healed_s = 0.0
        self._fillers = []
        self.port = 0

    async def start(self):
        """Start it."""
        self._listen()
        self._listener.listen(128)
        self._accepting = self._start(self._accept())
        return self

    def _listen(self):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.setblocking(False)
        self._listener.bind(("127.0.0.1", self.port))
        self.port = self._listener.getsockname()[1]

    def end(self):
        """End it, and all that it has opened."""
        for task in list(self._tasks):
            task.cancel()
        self._listener.close()
        for each in self._fillers:
            each.close()

    async def cut(self):
        """Cut the link, and make sure that new connections hang."""
        self._is_cut = True
        self._healed.clear()
        self._accepting.cancel()
        self._listener.listen(0)
        for _ in range(8):
            filler = socket.socket()
            filler.setblocking(False)
            self._fillers.append(filler)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            await asyncio.sleep(0.02)
            if filler.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0:
                with contextlib.suppress(OSError):
                    filler.getpeername()
                    continue
            break
        else:
            # Where the kernel completes connections all the same, new ones are refused instead.
            self._listener.close()
        self._record.add("link is cut")

    def heal(self):
        """Let everything pass again, and what was held up when it is sent again."""
        for each in self._fillers:
            each.close()
        self._fillers.clear()
        if self._listener.fileno() < 0:
            self._listen()
        self._listener.listen(128)
        self._accepting = self._start(self._accept())
        self._is_cut, self._healed_s = False, time.monotonic()
        self._healed.set()
        self._record.add("link is whole again")

    def _start(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            self._start(self._serve(connection))

    async def _serve(self, connection):
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self._server_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pump(reader, to_writer), self._pump(to_reader, writer))

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(1 << 16):
                was_held = await self._pass(reader)
                writer.write(data)
                await writer.drain()
                if was_held:  # the end of the stream follows when the data is acknowledged
                    await asyncio.sleep(self.ROUND_TRIP_S)
            await self._pass(reader)
        except OSError:
            # The sender has reset the connection; what was held up is lost.
            writer.transport.abort()
            return
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()

    async def _pass(self, reader):
        """Wait until bytes that were sent now arrive; return whether they were held up.

        Raises OSError if their sender resets the connection meanwhile.
        """
        if not self._is_cut:
            return False
        sent_s = time.monotonic()
        await self._healed.wait()
        arrival_s, timeout_s = sent_s, self.FIRST_RETRANSMISSION_S
        while arrival_s < self._healed_s:
            arrival_s, timeout_s = arrival_s + timeout_s, timeout_s * 2
        await asyncio.sleep(max(0.0, arrival_s - time.monotonic()))
        if reader.exception() is not None:
            raise reader.exception()
        return True


class _Pair:
    """The two ends of one connection through a `StoreLink`."""

    silent = False


class StoreLink:
    """Loopback proxy between one VM and the store, whose open connections can fall silent.

    A silent connection stays open and carries nothing any more; new ones work. `watched_s` is when
    the last watch of a kind began.
    """

    def __init__(self, record, server_port):
        self._record, self._server_port = record, server_port
        self._pairs = set()
        self._tasks = set()
        self.watched_s = {}
        self.port = 0

    async def start(self):
        """Start it."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._listener.sockets[0].getsockname()[1]
        return self

    def end(self):
        """End it, and all that it has opened."""
        self._listener.close()
        for task in list(self._tasks):
            task.cancel()

    def silence(self):
        """Let all connections that are open now fall silent for good."""
        for each in self._pairs:
            each.silent = True

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        pair = _Pair()
        self._pairs.add(pair)
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self._server_port)
            await asyncio.gather(
                self._pump(pair, reader, to_writer, True),
                self._pump(pair, to_reader, writer, False),
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._pairs.discard(pair)
            self._tasks.discard(asyncio.current_task())

    async def _pump(self, pair, reader, writer, to_store):
        while data := await reader.read(1 << 16):
            if pair.silent:
                continue
            found = re.match(rb"GET /objects/([^?/]+)\?watch=", data) if to_store else None
            if found:
                self.watched_s[found[1].decode()] = self._record.now()
            writer.write(data)
            await writer.drain()
        if not pair.silent:
            writer.close()


class Vm:
    """One entry VM: the command of the deploy file with the settings template filled in."""

    def __init__(self, folder, name, store_port, ip, zone="zone-a"):
        self._folder, self.name, self.zone, self.ip = folder, name, zone, ip
        self._store_port = store_port
        self.process = None

    def write_settings(self, zones):
        """Write the settings that the template of the deploy file makes."""
        ports = free_ports(self.ip, 3)
        self.front, self.ready_port, internal = ports
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": {
                "front": f"{self.ip}:{self.front}",
                "readyAddress": f"{self.ip}:{self.ready_port}",
            },
            "internalPortRange": [internal, internal],
            "limits": {"cpuShare": 0.86, "cpuCores": 1, "memoryMb": 300},
            "zones": zones,
            "platform": {"address": f"127.0.0.1:{self._store_port}"},
            "bounds": BOUNDS,
        }
        deploy = (ROOT / "deploy/system.toml").read_text()
        template = ROOT / re.search(r'^template = "(.+)"', deploy, re.MULTILINE)[1]
        self._command = re.search(r'^run = "(.+)"', deploy, re.MULTILINE)[1].split()
        self._settings = self._folder / f"{self.name}.ini"
        self._settings.write_text(fill(template.read_text(), fields))

    def start(self):
        """Start it."""
        command = [sys.executable, *self._command[1:]]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "FIREFLYFERRY_BOOT": str(self._settings),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, signal_number):
        """Send a signal."""
        self.process.send_signal(signal_number)

    def log(self):
        """Return the process's log."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def end(self):
        """End it, and all that it has opened."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        """Return whether the readiness check answers 200."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            return (await reader.readline()).split(b" ")[1:2] == [b"200"]
        except OSError:
            return False
        finally:
            writer.transport.abort()


def fill(template, fields):
    """Fill in a settings template, as far as the project's template needs it."""

    def value(path, scope):
        for part in path.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)] if int(part) < len(scope) else None
            else:
                scope = scope.get(part) if isinstance(scope, dict) else None
        return scope

    def section(match):
        found = value(match[1], fields)
        if found is None:
            return ""
        if not isinstance(found, dict):
            return fill(match[2], fields)
        parts = []
        for number, (name, each) in enumerate(found.items()):
            comma = "," if number + 1 < len(found) else ""
            text = match[2].replace("{{@}}", name).replace("{{.}}", str(each))
            parts.append(text.replace("{{,}}", comma))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value(match[1], fields)), text)


def free_ports(ip, count):
    """Return free ports of a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((ip, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def make_ips(count):
    """Return loopback addresses that nobody else is likely to use."""
    prefix = f"127.{random.randrange(64, 250)}.{random.randrange(250)}"
    return [f"{prefix}.{number}" for number in range(1, count + 1)]


def configuration(version, routes, services, **limits):
    """Return what the operator writes; routes and services are `spec`s by name."""

    def resource(kind, name, spec):
        return {"resourceKind": kind, "metadata": {"name": name}, "spec": spec}

    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 1 << 20,
        "headerTimeoutS": 10,
        "idleTimeoutS": 15,
        **limits,
    }
    resources = [resource("routes", name, spec) for name, spec in routes.items()]
    resources += [resource("services", name, spec) for name, spec in services.items()]
    resources.append(resource("limits", "limits", limits))
    return {"version": f"{version:08x}", "resources": resources}


def route(prefix, service, kind="safe", timeout_s=5.0, target_s=0.6, attempts=2):
    """Return the `spec` of a route."""
    return {
        "host": HOST,
        "pathPrefix": prefix,
        "service": service,
        "kind": kind,
        "timeoutS": timeout_s,
        "targetLatencyS": target_s,
        "priority": 1,
        "maxAttempts": attempts,
    }


async def open_client(vm):
    """Open a connection of a client."""
    return await asyncio.open_connection(vm.ip, vm.front)


def request_bytes(request_id, target, deadline_ms, method="GET", body=b"", key=None):
    """Return a request as it is sent."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"{ID}: {request_id}"]
    lines.append(f"{DEADLINE}: {deadline_ms}")
    if key is not None:
        lines.append(f"{KEY}: {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader):
    """Return status, headers and body of an answer with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(head[0].split(" ")[1]), headers, body


async def call(vm, request_id, target, deadline_ms, **options):
    """Send one request on a connection of its own; return its status, 0 without an answer."""
    try:
        reader, writer = await open_client(vm)
    except OSError:
        return 0, {}, b""
    try:
        writer.write(request_bytes(request_id, target, deadline_ms, **options))
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            return await read_answer(reader)
    except (OSError, EOFError, TimeoutError):
        return 0, {}, b""
    finally:
        writer.transport.abort()


async def wait_until(condition, timeout_s, what):
    """Wait until a condition holds; raises RuntimeError if it doesn't in time."""
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        result = condition()
        if await result if asyncio.iscoroutine(result) else result:
            return
        await asyncio.sleep(0.05)
    raise RuntimeError(f"not within {timeout_s} s: {what}")


async def start_vms(folder, store, count, zones=None, store_links=None):
    """Start entry VMs, which reach the store directly or each over a link of its own."""
    zones = zones or {"zone-a": "region-1"}
    names = itertools.cycle(zones)
    ports = [each.port for each in store_links or [store] * count]
    vms = [
        Vm(folder, f"vm-{number}", ports[number], ip, next(names))
        for number, ip in enumerate(make_ips(count))
    ]
    for vm in vms:
        vm.write_settings(zones)
        vm.start()
    return vms


async def wait_ready(vms):
    """Wait until all VMs are ready."""

    async def all_ready():
        return all([await vm.is_ready() for vm in vms])

    await wait_until(all_ready, 30.0, "all VMs are ready")


def main(folder, scenario, trouble):
    """Run a scenario, write its record and exit with 0, 1 or 2.

    The scenario gets the record, a temporary folder, a list for what has to be ended, and whether
    the disruption is to be made. It returns whether the rule was broken.
    """
    record, ends = Record(), []
    status = NOT_RUNNABLE
    with tempfile.TemporaryDirectory() as temporary:

        async def run():
            try:
                async with asyncio.timeout(110.0):
                    return await scenario(record, pathlib.Path(temporary), ends, trouble)
            finally:
                for each in ends:
                    with contextlib.suppress(Exception):
                        each.end()

        try:
            status = BROKEN if asyncio.run(run()) else HELD
        except Exception as error:
            record.add(f"could not run: {type(error).__name__}: {error}")
        finally:
            if keep := os.environ.get("KEEP_LOGS"):
                for log in pathlib.Path(temporary).glob("*.log"):
                    pathlib.Path(keep, log.name).write_bytes(log.read_bytes())
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUNNABLE: "no verdict"}
    record.add(f"trouble {int(trouble)}: {verdict[status]}")
    (pathlib.Path(folder) / "record.txt").write_text("\n".join(record.lines) + "\n")
    print(record.lines[-1])
    return status
