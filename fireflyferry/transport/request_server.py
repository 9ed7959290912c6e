"""HTTP server that notices at any time that the sender of a request has disconnected."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import tornado.httpserver
from tornado.iostream import IOStream

from fireflyferry.transport.read_turns import TURN_PARTS, ReadCost, ReadTurns
from fireflyferry.transport.received import is_ended, is_reset

__all__ = ["READ_AHEAD_BYTES", "RequestServer", "RequestStream"]

# Requests behind the one that is handled are read up to this; what follows stays unread in the
# kernel. Each connection may hold so much, and 300 of them fit a sixth of 160 MB.
READ_AHEAD_BYTES = 1 << 16
# Heads are read in small parts, so that a body which waits for memory leaves little of it in the
# buffer of its connection.
HEAD_PART_BYTES = 1 << 12
# Limits of a chunk's size with its extensions, and of all trailers of a body in chunks.
MAX_CHUNK_LINE_BYTES = 1 << 12
MAX_TRAILER_BYTES = 1 << 13


class RequestStream(IOStream):
    """Connection whose end is noticed while a request is handled, also behind further requests.

    Tornado stops reading while its buffer holds bytes that nobody has asked for, such as a
    pipelined request, and would notice the end only after the answer. Requests that are still in
    the buffer when the connection ends are dropped, since nobody waits for their answers.
    """

    server: "RequestServer | None" = None

    def __init__(
        self,
        connection: socket.socket,
        max_buffer_bytes: int,
        part_bytes: int,
        turns: ReadTurns,
    ):
        super().__init__(connection, max_buffer_bytes, part_bytes)
        self._turns = turns
        self._body_part_bytes = part_bytes
        self._cost = ReadCost()
        self._turn: asyncio.Future[None] | None = None
        self._resumption: asyncio.Task[None] | None = None
        self._reads_head = False
        self._holds_head = False
        self._has_dropped_trailers = False

    @property
    def written_bytes(self) -> int:
        """Bytes passed to the kernel so far."""
        return self._total_write_done_index

    @property
    def is_handling(self) -> bool:
        """Whether a complete request is handled or its answer is being written."""
        return self._close_callback is not None or self.writing()

    def has_unnoticed_end(self, may_lag: bool) -> bool:
        """Return whether the other end has closed, and this one has not read so far.

        Nothing reads while the buffer is full; with `may_lag`, the event loop may be behind too.
        """
        is_full = self._read_buffer_size >= READ_AHEAD_BYTES
        return (may_lag or is_full) and is_ended(self.socket)

    def close(self, exc_info: object = False) -> None:
        """Close the connection; unless a request is being read, drop what is in the buffer."""
        was_reading = self.reading() and not self._holds_head
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)
        super().close(exc_info)  # type: ignore[arg-type]
        if self.error is not None:
            # Its traceback refers to this stream, which would stay until the collector runs.
            self.error.__traceback__ = None
        if self.server is not None:
            self.server.on_stream_closed(self)
        if not was_reading:
            self._read_buffer.clear()
            self._read_buffer_size = 0

    def read_until_regex(self, regex: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read a head, which begins a message."""
        self._cost.begin()
        self._reads_head = True
        self.read_chunk_size = HEAD_PART_BYTES
        return super().read_until_regex(regex, max_bytes)

    def read_until(self, delimiter: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read the size of a chunk, once it is the turn of this connection.

        Tornado knows neither extensions of chunks nor trailers, so both are dropped here.
        """
        self._cost.add(1)
        if not self._turns.may_read(self._cost):
            return asyncio.ensure_future(self._read_chunk_size(delimiter))
        line = asyncio.ensure_future(super().read_until(delimiter, MAX_CHUNK_LINE_BYTES))
        is_plain = (
            line.done()
            and line.exception() is None
            and b";" not in line.result()
            and line.result().strip(b"0") != delimiter
        )
        return line if is_plain else asyncio.ensure_future(self._read_chunk_size(delimiter, line))

    async def _read_chunk_size(
        self, delimiter: bytes, line: "asyncio.Future[bytes] | None" = None
    ) -> bytes:
        """Return the size of a chunk without extensions; drop the trailers behind the last one."""
        if line is None:
            await self._wait_for_turn()
            line = super().read_until(delimiter, MAX_CHUNK_LINE_BYTES)
        size = (await line)[: -len(delimiter)].partition(b";")[0].rstrip()
        if size and not size.strip(b"0"):
            await self._drop_trailers(delimiter)
        return size + delimiter

    async def _drop_trailers(self, delimiter: bytes) -> None:
        left_bytes = MAX_TRAILER_BYTES
        while (line := await super().read_until(delimiter, left_bytes)) != delimiter:
            left_bytes -= len(line)
            self._cost.add(1)
            if not self._turns.may_read(self._cost):
                await self._wait_for_turn()
        self._has_dropped_trailers = True

    async def _wait_for_turn(self) -> None:
        if self.closed():
            return
        self._turn = self._turns.wait(lambda: is_reset(self.socket))
        await self._turn
        if not self.closed() and is_reset(self.socket):
            self.close()
        self._cost.grant(TURN_PARTS)

    def _finish_read(self, size: int) -> None:
        """Pass on what was read; a head of many lines once it is the turn of this connection."""
        if self._reads_head:
            self._reads_head = False
            self._cost.add_head(self._read_buffer.count(b"\n", 0, size))
            if not self._turns.may_read(self._cost) and not self.closed():
                self._holds_head = True
                self._stop_reading()
                self._resumption = asyncio.ensure_future(self._finish_head_in_turn(size))
                return
        super()._finish_read(size)

    async def _finish_head_in_turn(self, size: int) -> None:
        await self._wait_for_turn()
        self._holds_head = False
        self._cost.grant(self._cost.excess)
        if not self.closed():
            super()._finish_read(size)

    def read_bytes(self, num_bytes: int, partial: bool = False) -> Awaitable[bytes]:
        """Read a part of a body, or the end of one whose trailers were dropped with it."""
        if self._has_dropped_trailers:
            self._has_dropped_trailers = False
            end: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
            end.set_result(b"\r\n")
            return end
        self.read_chunk_size = self._body_part_bytes
        return super().read_bytes(num_bytes, partial)

    def _handle_events(self, fd: object, events: int) -> None:
        if events & self.io_loop.READ and self.reading():
            self._cost.add(1)
            if not self._turns.may_read(self._cost):
                self._pause_reading()
                events &= ~self.io_loop.READ
        if events:
            super()._handle_events(fd, events)  # type: ignore[arg-type]
        if self._holds_head:
            self._stop_reading()
        else:
            self._maybe_add_error_listener()

    def _stop_reading(self) -> None:
        """Leave what arrives in the kernel, where it gathers."""
        if self._state is not None and not self.closed():
            self._state &= ~self.io_loop.READ
            self.io_loop.update_handler(self.fileno(), self._state)

    def _pause_reading(self) -> None:
        """Stop reading until it is the turn of this connection."""
        self._stop_reading()
        if self._turn is None or self._turn.done():
            self._resumption = asyncio.ensure_future(self._resume_in_turn())

    async def _resume_in_turn(self) -> None:
        await self._wait_for_turn()
        if not self.closed() and self.reading():
            self._add_io_state(self.io_loop.READ)

    def _read_to_buffer(self) -> int | None:
        size = super()._read_to_buffer()
        if size:
            self._cost.add(0, size)
        return size

    def _read_to_buffer_loop(self) -> int | None:
        """Read once if nothing is asked for; Tornado would go on to the limit of the last head."""
        if self.reading():
            return super()._read_to_buffer_loop()
        self._read_to_buffer()
        return None

    def _maybe_add_error_listener(self) -> None:
        """Listen for the end of the connection if nothing else does and a request is handled."""
        is_idle = self._state in (None, self.io_loop.ERROR) and not self.closed()
        has_request = self._close_callback is not None
        if is_idle and has_request and self._read_buffer_size < READ_AHEAD_BYTES:
            self._add_io_state(self.io_loop.READ)


class RequestServer(tornado.httpserver.HTTPServer):
    """HTTP server that sends each answer at once and notices when a sender disconnects.

    Tornado switches Nagle's algorithm off and on again for each answer, two system calls. Answers
    are written whole, so it is switched off once for each connection.

    Of more than `max_connections`, the oldest one without a complete request is closed, or the new
    one if there is none; so it is for each new one while `is_full` returns True.
    """

    max_connections: int | None = None
    is_full: Callable[[], bool] = staticmethod(lambda: False)
    on_connections: Callable[[int, bool], None] = staticmethod(lambda number, closed_one: None)

    def initialize(self, *args: Any, **options: Any) -> None:
        """Configure the server."""
        super().initialize(*args, **options)
        self._streams: dict[RequestStream, None] = {}
        self._turns = ReadTurns()

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve a new connection."""
        connection: socket.socket = stream.socket
        stream = RequestStream(
            connection, stream.max_buffer_size, stream.read_chunk_size, self._turns
        )
        stream.server = self
        stream.set_nodelay(True)
        stream.set_nodelay = lambda value: None  # type: ignore[method-assign]
        self._streams[stream] = None
        excess = self.max_connections is not None and len(self._streams) > self.max_connections
        excess = excess or (len(self._streams) > 1 and self.is_full())
        if excess:
            victims = (each for each in self._streams if not each.is_handling)
            next(victims, stream).close()
        if not stream.closed():
            super().handle_stream(stream, address)
        self.on_connections(len(self._streams), excess)

    def on_stream_closed(self, stream: "RequestStream") -> None:
        """Forget a connection."""
        if self._streams.pop(stream, True) is None:
            self.on_connections(len(self._streams), False)
