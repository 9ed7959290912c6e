"""Loopback proxy between a process and a server that can delay, reset or block the traffic.

What a silent link has held up is delivered once the link passes again, by the retransmission times
of TCP (RFC 6298), unless its sender has reset the connection.
"""

import asyncio
import contextlib
import time
from enum import Enum, auto

from fireflyferry.tasks import BackgroundTasks

__all__ = ["Link", "LinkMode"]

DELAY_S = 0.3
CHUNK_BYTES = 65_536
MODE_CHECK_INTERVAL_S = 0.02
FIRST_RETRANSMISSION_S = 0.2  # the shortest time-out of Linux; each further one is twice as long


class LinkMode(Enum):
    """What a link does with the bytes that it receives."""

    PASS = auto()
    DELAY = auto()
    SILENT = auto()  # nothing passes; connections stay open
    NO_ANSWERS = auto()  # only bytes towards the server pass


class Link:
    """A port of the loopback address whose connections are forwarded to a server's port."""

    def __init__(self, server_port: int):
        self._server_port = server_port
        self._tasks = BackgroundTasks()
        self._writers: set[asyncio.StreamWriter] = set()
        self.mode = LinkMode.PASS
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and forwarding."""
        self._server.close()
        self._tasks.cancel()
        self.reset()

    def reset(self) -> None:
        """Reset all connections that are open now."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            server_reader, server_writer = await self._connect()
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, server_writer}
        self._tasks.start(self._pump(reader, server_writer, towards_server=True))
        self._tasks.start(self._pump(server_reader, writer, towards_server=False))

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self._server_port)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, towards_server: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._apply_mode(towards_server)
                if (error := reader.exception()) is not None:
                    raise error
                writer.write(data)
                await writer.drain()
        writer.close()
        self._writers.discard(writer)

    async def _apply_mode(self, towards_server: bool) -> None:
        if self.mode is LinkMode.DELAY:
            await asyncio.sleep(DELAY_S)
        sent_s = passes_s = time.monotonic()
        while self.mode is LinkMode.SILENT or (
            self.mode is LinkMode.NO_ANSWERS and not towards_server
        ):
            await asyncio.sleep(MODE_CHECK_INTERVAL_S)
            passes_s = time.monotonic()
        await asyncio.sleep(max(0.0, _arrival_s(sent_s, passes_s) - time.monotonic()))


def _arrival_s(sent_s: float, passes_s: float) -> float:
    """Return when bytes sent at `sent_s` arrive, if the link passes from `passes_s` on."""
    timeout_s = FIRST_RETRANSMISSION_S
    while sent_s < passes_s:
        sent_s, timeout_s = sent_s + timeout_s, 2 * timeout_s
    return sent_s
