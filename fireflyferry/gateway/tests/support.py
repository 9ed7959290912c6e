"""Test support: an entry VM in this process, an in-memory store, scripted upstreams on loopback."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import attrs

from fireflyferry.balancing import Upstream
from fireflyferry.gateway.edges import (
    Conflict,
    Document,
    DocumentBatch,
    HeaderNames,
    HistoryLostError,
    KeyOrders,
    MetadataStore,
    PlatformCodec,
    StoreCallError,
)
from fireflyferry.gateway.eras import StoreEras
from fireflyferry.gateway.program import GatewayProgram, PlatformAdapters, ProgramRules
from fireflyferry.gateway.settings import (
    BoundSettings,
    GatewaySettings,
    GatewayStoreSettings,
    GatewayVmSettings,
    RegionSettings,
)
from fireflyferry.keyranges import (
    GrantAnswer,
    GrantCall,
    GrantResult,
    ReleaseCall,
    UpstreamRun,
)
from fireflyferry.messages.codec import structure, unstructure
from fireflyferry.routing.hosts import (
    CallerLimits,
    HostRoute,
    PoolShare,
    PoolSpec,
    RoutingConfig,
)
from fireflyferry.settings.model import LogSettings
from fireflyferry.standins.ports import reserve_port

HEADER_NAMES = HeaderNames(
    "X-Id",
    "X-Deadline",
    "X-Signature",
    "X-Expected",
    "X-Not-Run",
    "X-Key",
    "X-Leaving",
    "X-Load",
    "X-Warmup-Ms",
)
LIMITS = CallerLimits(16_384, 1_000_000, 15.0)


class FakeStore(MetadataStore):
    """In-memory store with watches; `down` makes every call fail.

    A watch from a position before `first_kept_revision` fails, since its history is lost.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, Document]] = {}
        self.history: list[tuple[int, str, Document | str]] = []
        self.revision = 0
        self.down = False
        self.first_kept_revision = 0
        self._changed = asyncio.Condition()

    async def put(self, kind: str, name: str, content: Any) -> None:
        """Write an object unconditionally."""
        known = self.objects.get(kind, {}).get(name)
        await self.write(kind, name, content, known.revision if known is not None else 0)

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        del self.objects[kind][name]
        self.history.append((self.revision, kind, name))
        async with self._changed:
            self._changed.notify_all()

    async def read(
        self, kind: str, name: str, stale: bool = False, fresh: bool = False
    ) -> Document | None:
        self._raise_if_down()
        return self.objects.get(kind, {}).get(name)

    async def list(self, kind: str, stale: bool = False) -> DocumentBatch:
        self._raise_if_down()
        return DocumentBatch(self.revision, tuple(self.objects.get(kind, {}).values()))

    async def watch(self, kind: str, position: int, wait_s: float) -> DocumentBatch:
        self._raise_if_down()
        if position < self.first_kept_revision:
            raise HistoryLostError(str(position))

        def changes() -> list[Document | str]:
            return [
                each
                for revision, changed_kind, each in self.history
                if revision > position and changed_kind == kind
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: changes() or self.down)
        self._raise_if_down()
        return DocumentBatch(
            self.revision,
            tuple(each for each in changes() if isinstance(each, Document)),
            tuple(each for each in changes() if isinstance(each, str)),
        )

    async def write(self, kind: str, name: str, content: Any, revision: int) -> int | Conflict:
        self._raise_if_down()
        known = self.objects.setdefault(kind, {}).get(name)
        if revision != (known.revision if known is not None else 0):
            return Conflict(known)
        self.revision += 1
        document = Document(name, self.revision, content)
        self.objects[kind][name] = document
        self.history.append((self.revision, kind, document))
        async with self._changed:
            self._changed.notify_all()
        return self.revision

    def _raise_if_down(self) -> None:
        if self.down:
            raise StoreCallError("down")


class FakeOrders(KeyOrders):
    """Accepts all grants and releases, and records them."""

    def __init__(self) -> None:
        self.grants: list[GrantCall] = []
        self.releases: list[ReleaseCall] = []

    async def grant(self, call: GrantCall, may_send: Callable[[], bool]) -> GrantResult:
        self.grants.append(call)
        return GrantResult(GrantAnswer.ACCEPTED, 1)

    async def release(
        self, call: ReleaseCall, may_send: Callable[[], bool]
    ) -> tuple[GrantAnswer, str]:
        self.releases.append(call)
        return GrantAnswer.ACCEPTED, "token"


class FakeCodec(PlatformCodec):
    """Codec for documents whose content is a serialised `Upstream` or `RoutingConfig`."""

    headers = HEADER_NAMES
    upstream_kind = "upstreams"
    evacuation_kind = "evacuations"
    config_kind = "configs"
    config_name = "main"

    def upstream(self, document: Document) -> Upstream:
        return structure(document.content, Upstream)

    def config(self, document: Document) -> RoutingConfig:
        return structure(document.content, RoutingConfig)


@attrs.define
class SeenRequest:
    """One request as an upstream received it."""

    connection: int
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers[HEADER_NAMES.request_id.lower()]


Script = Callable[[SeenRequest, asyncio.StreamWriter], Awaitable[bool | None]]


def reply(
    seen: SeenRequest, body: bytes = b"ok", status: str = "200 OK", extra_headers: str = ""
) -> bytes:
    """Return the bytes of a complete answer to a request."""
    head = (
        f"HTTP/1.1 {status}\r\n{HEADER_NAMES.request_id}: {seen.request_id}\r\n"
        f"{HEADER_NAMES.signature}: s\r\nContent-Length: {len(body)}\r\n{extra_headers}\r\n"
    )
    return head.encode() + body


class ScriptedUpstream:
    """Upstream whose script writes the answer to each request.

    The connection is closed if the script returns False. Without a script, each request is answered
    with success.
    """

    def __init__(self, script: Script | None = None):
        self._script = script
        self.seen: list[SeenRequest] = []
        self.connections = 0
        self.closed_by_sender = 0
        self.port = 0

    async def __aenter__(self) -> "ScriptedUpstream":
        self._server = await asyncio.start_server(self._serve_connection, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        connection = self.connections
        try:
            while True:
                seen = await self._read_request(reader, connection)
                self.seen.append(seen)
                script = self._script
                if script is None:
                    writer.write(reply(seen))
                elif await script(seen, writer) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_by_sender += 1
        finally:
            writer.close()

    async def _read_request(self, reader: asyncio.StreamReader, connection: int) -> SeenRequest:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        pairs = (line.partition(":") for line in lines[1:] if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return SeenRequest(connection, method, target, headers, body)


_RESERVED: list[socket.socket] = []


def reserve_free_port() -> int:
    """Return a free port that stays reserved until this process ends."""
    _RESERVED.append(reserve_port())
    return _RESERVED[-1].getsockname()[1]


def make_settings(vm_id: str = "vm-1", data_centre: str = "dc-1") -> GatewaySettings:
    """Return settings with free ports on loopback."""
    return GatewaySettings(
        GatewayVmSettings(
            vm_id,
            data_centre,
            "127.0.0.1",
            f"127.0.0.1:{reserve_free_port()}",
            f"127.0.0.1:{reserve_free_port()}",
            reserve_free_port(),
            reserve_free_port(),
        ),
        RegionSettings(("dc-1:r-1", "dc-2:r-1", "dc-3:r-2")),
        GatewayStoreSettings("127.0.0.1:1"),
        BoundSettings(2.0, 3.0, 10.0, 0.2, 10.0, 64.0),
        LogSettings(),
    )


def make_route(name: str, pool: str, **changes: Any) -> HostRoute:
    """Return a route of host `h` whose path prefix is its name."""
    route = HostRoute(name, "h", f"/{name}/", True, 2.0, 1.0, 1, 2, (PoolShare(pool, 1.0),))
    return attrs.evolve(route, **changes)


def make_config(version: int = 1, **changes: Any) -> RoutingConfig:
    """Return a configuration with idempotent, non-idempotent and keyed routes."""
    routes = (
        make_route("read", "plain"),
        make_route("write", "plain", idempotent=False),
        make_route("keyed", "keyed"),
    )
    pools = {"plain": PoolSpec("plain", False), "keyed": PoolSpec("keyed", True)}
    return attrs.evolve(RoutingConfig(version, routes, pools, LIMITS), **changes)


def upstream_content(upstream_id: str, port: int, pool: str = "plain", **changes: Any) -> Any:
    """Return the stored form of an upstream's entry."""
    upstream = Upstream(UpstreamRun(upstream_id, 1), pool, f"127.0.0.1:{port}", "dc-1", 2)
    return unstructure(attrs.evolve(upstream, **changes))


@attrs.define
class Gateway:
    """A running entry VM."""

    program: GatewayProgram
    settings: GatewaySettings
    orders: FakeOrders
    task: "asyncio.Task[None]"

    @property
    def port(self) -> int:
        return int(self.settings.vm.callers.rpartition(":")[2])

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition is true, for at most 20 s."""
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.01)

    async def ready(self) -> bool:
        """Return whether the readiness endpoint reports ready."""
        port = int(self.settings.vm.readiness.rpartition(":")[2])
        return (await request(port, "/ready")).status == 200


@contextlib.asynccontextmanager
async def gateway(
    store: FakeStore,
    settings: GatewaySettings | None = None,
    rules: ProgramRules | None = None,
    codec: PlatformCodec | None = None,
    orders: FakeOrders | None = None,
    eras: StoreEras | None = None,
) -> AsyncIterator[Gateway]:
    """Run an entry VM until the block ends."""
    settings = settings or make_settings()
    orders = orders or FakeOrders()
    adapters = PlatformAdapters(store, orders, codec or FakeCodec(), eras or StoreEras())
    rules = rules or ProgramRules(accept_while_stopping_s=0.1)
    program = GatewayProgram(settings, lambda *_: adapters, lambda: None, rules)
    running = Gateway(program, settings, orders, asyncio.ensure_future(program.run()))
    try:
        await running.wait_until(lambda: running.task.done() or program.ready)
        yield running
    finally:
        program.stop()
        await running.task


@attrs.define
class Reply:
    """An answer that a caller received; `complete` is False if the connection was cut during it."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def request(
    port: int,
    target: str,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    request_id: str = "r1",
) -> Reply:
    """Send one request on a new connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request_bytes(target, method, headers, body, request_id))
        return await read_reply(reader)
    finally:
        writer.close()


def request_bytes(
    target: str,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    request_id: str = "r1",
) -> bytes:
    """Return the bytes of a request."""
    fields = {"Host": "h", HEADER_NAMES.request_id: request_id, HEADER_NAMES.deadline_ms: "2000"}
    fields.update(headers or {})
    if body:
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one answer."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as error:
        return Reply(int(lines[0].split()[1]), headers, error.partial, False)
    return Reply(int(lines[0].split()[1]), headers, body, True)


def run_with(script, scenario, pool="plain", config=None, settings=None, **changes):
    """Run an entry VM with one scripted upstream; await `scenario(running, upstream, store)`."""

    async def run():
        store = FakeStore()
        async with ScriptedUpstream(script) as upstream:
            await store.put("configs", "main", unstructure(config or make_config()))
            await store.put(
                "upstreams", "u1", upstream_content("u1", upstream.port, pool, **changes)
            )
            async with gateway(store, settings) as running:
                await scenario(running, upstream, store)

    asyncio.run(run())
