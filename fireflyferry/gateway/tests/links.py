"""Test support: TCP links to an upstream or a server, which can be cut in several ways."""

import asyncio
import contextlib
import socket
import struct

import attrs

from fireflyferry.gateway.tests.support import FakeCodec
from fireflyferry.standins.ports import reserve_port

__all__ = ["Cut", "Link", "LinkedCodec"]

ABORT = struct.pack("ii", 1, 0)


@attrs.frozen
class Cut:
    """How a link fails: what happens to open connections, and to new ones."""

    keeps_open: bool
    forwards: bool
    refuses: bool


class Link:
    """Forwards connections to a port."""

    def __init__(self, upstream_port):
        self._upstream_port = upstream_port
        self._writers = set()
        self._silent = set()
        self._flows = asyncio.Event()
        self._fillers = []
        self._socket = self._server = None
        # Keeps other connections off the port while the link refuses connections.
        self._reserved = reserve_port()
        self.port = self._reserved.getsockname()[1]

    async def open(self):
        """Accept connections, on the same port each time, and forward what arrives."""
        self._flows.set()
        await self._close_listener()
        self._socket = socket.create_server(("127.0.0.1", self.port), backlog=128)
        self._server = await asyncio.start_server(self._forward, sock=self._socket)

    async def cut(self, cut):
        """Fail until the link is opened again."""
        if not cut.forwards:
            self._flows.clear()
        if not cut.keeps_open:
            self._abort_connections()
        if cut.refuses:
            await self._close_listener()
        else:
            # Once the queue of a listener is full, the kernel drops what would open a connection.
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.listen(0)
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", self.port))
                self._fillers.append(filler)
            await asyncio.sleep(0.05)

    def silence(self):
        """Drop what arrives on the connections that are open now; later ones work."""
        self._silent |= self._writers

    async def close(self):
        """End all connections."""
        self._flows.set()
        self._abort_connections()
        await self._close_listener()
        self._reserved.close()

    async def _close_listener(self):
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if self._server is not None:
            self._server.close()
            self._server = None
            await asyncio.sleep(0)

    def _abort_connections(self):
        for writer in self._writers:
            with contextlib.suppress(OSError, AttributeError):
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, ABORT
                )
            writer.transport.abort()

    async def _forward(self, reader, writer):
        try:
            peer = await asyncio.open_connection("127.0.0.1", self._upstream_port)
        except OSError:
            writer.close()
            return
        self._writers |= {writer, peer[1]}
        try:
            await asyncio.gather(self._copy(reader, peer[1]), self._copy(peer[0], writer))
        finally:
            self._writers -= {writer, peer[1]}

    async def _copy(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self._flows.wait()
                if writer in self._silent:
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()


class LinkedCodec(FakeCodec):
    """Codec of a VM that reaches each upstream over its own link."""

    def __init__(self, links):
        self._links = links

    def upstream(self, document):
        upstream = super().upstream(document)
        link = self._links[upstream.run.upstream_id]
        return attrs.evolve(upstream, address=f"127.0.0.1:{link.port}")
