"""Loopback proxies between each VM and each upstream, which tell the VM of a connection."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable, Iterable
from enum import Enum, auto
from typing import Any

from fireflyferry.platform import names
from fireflyferry.platform.soak.links import Link, LinkMode
from fireflyferry.standins.ports import reserve_port

__all__ = ["Cut", "UpstreamPaths"]

BACKLOG = 128
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER without a time


class Cut(Enum):
    """What happens to the connections of a VM that is cut off from the upstreams."""

    HANG = auto()  # no packet passes
    RESET = auto()  # open connections are reset, new ones are refused
    REFUSE = auto()  # open connections live on, new ones are refused


class _Path(Link):
    """Proxy of one VM to one upstream; the VM's connections are known by their source ports."""

    def __init__(self, vm_id: str, server_port: int, by_source: "dict[int, _Path]"):
        super().__init__(server_port)
        self.vm_id = vm_id
        self._by_source = by_source
        self._reserved = reserve_port()
        self.port = self._reserved.getsockname()[1]
        self._accepting: asyncio.Task | None = None
        self._listener: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self.heal()

    def heal(self) -> None:
        """Let everything pass again."""
        self._stop_accepting()
        self._listener = _bind(self.port)
        self._listener.listen(BACKLOG)
        self._accepting = self._tasks.start(self._accept(self._listener))
        self.mode = LinkMode.PASS

    def cut(self, cut: Cut) -> None:
        """Cut the VM off from the upstream."""
        self._stop_accepting()
        if cut is Cut.HANG:
            self.mode = LinkMode.SILENT
            self._listener = _bind(self.port)
            self._listener.listen(0)
            # Linux drops the packets that open connections while the queue of a listener is full.
            self._fillers = [_begin_connect(self.port) for _ in range(2)]
        elif cut is Cut.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset all connections that are open now."""
        for writer in list(self._writers):
            with contextlib.suppress(OSError):
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        super().reset()

    def close(self) -> None:
        """Stop listening and forwarding."""
        self._stop_accepting()
        self._tasks.cancel()
        self.reset()
        self._reserved.close()

    def _stop_accepting(self) -> None:
        if self._accepting is not None:
            self._accepting.cancel()
            self._accepting = None
        for each in [*self._fillers, *filter(None, [self._listener])]:
            each.close()
        self._fillers, self._listener = [], None

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(listener)
            self._tasks.start(self._serve(connection))

    async def _serve(self, connection: socket.socket) -> None:
        await self._on_connection(*await asyncio.open_connection(sock=connection))

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await super()._connect()
        self._by_source[writer.get_extra_info("sockname")[1]] = self
        return reader, writer


class UpstreamPaths:
    """Paths of all VMs to all upstreams; each VM is told addresses of its own.

    A VM that reads the store through a relay would use the paths of the relay.
    """

    def __init__(self) -> None:
        self._paths: dict[tuple[str, int], _Path] = {}
        self._cuts: dict[str, Cut] = {}
        self._by_source: dict[int, _Path] = {}

    def vm_at(self, source_port: int) -> str | None:
        """Return the id of the VM whose connection has a source port; None if it is none."""
        path = self._by_source.get(source_port)
        return path.vm_id if path is not None else None

    def cut(self, vm_ids: Iterable[str], cut: Cut) -> None:
        """Cut VMs off from all upstreams."""
        self._cuts |= dict.fromkeys(vm_ids, cut)
        for (vm_id, _), path in self._paths.items():
            if vm_id in self._cuts:
                path.cut(cut)

    def heal(self) -> None:
        """Let all VMs reach the upstreams again."""
        for (vm_id, _), path in self._paths.items():
            if vm_id in self._cuts:
                path.heal()
        self._cuts.clear()

    def close(self) -> None:
        """Close all paths."""
        for path in self._paths.values():
            path.close()

    def view_of(self, vm_id: str) -> Callable[[str, dict[str, Any]], dict[str, Any]]:
        """Return the function that puts the addresses for a VM into an object of the store."""

        def view(kind: str, value: dict[str, Any]) -> dict[str, Any]:
            spec = value["spec"]
            if kind != names.UPSTREAM_KIND or not isinstance(spec, dict) or "address" not in spec:
                return value
            host, _, port = spec["address"].rpartition(":")
            return value | {"spec": spec | {"address": f"{host}:{self._port(vm_id, int(port))}"}}

        return view

    def _port(self, vm_id: str, server_port: int) -> int:
        if server_port >= 1 << 16:
            return server_port
        path = self._paths.get((vm_id, server_port))
        if path is None:
            path = _Path(vm_id, server_port, self._by_source)
            self._paths[vm_id, server_port] = path
            if vm_id in self._cuts:
                path.cut(self._cuts[vm_id])
        return path.port


def _bind(port: int) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.setblocking(False)
    return listener


def _begin_connect(port: int) -> socket.socket:
    connection = socket.socket()
    connection.setblocking(False)
    connection.connect_ex(("127.0.0.1", port))
    return connection
