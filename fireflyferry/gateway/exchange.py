"""Server side of requests that are received completely before they are handled."""

import abc
import asyncio
import itertools
import logging
import weakref
from collections.abc import Callable
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from fireflyferry.gateway.memory import RequestMemory
from fireflyferry.telemetry import Reason
from fireflyferry.transport.headers import HeaderList
from fireflyferry.transport.memory_account import BodyClaim
from fireflyferry.transport.received import is_reset
from fireflyferry.transport.request_server import RequestStream

__all__ = ["BufferedExchange", "ClosingConnections", "InFlightRequests", "ServerDelegate"]

_LOG = logging.getLogger(__name__)


# How long a caller has to close a connection after `Connection: close`, before this VM closes it.
CLOSE_TIMEOUT_S = 1.0
# How long the rest of a body is read and dropped after its request was refused. Closing at once
# with unread bytes resets the connection, and the refusal could be lost.
LINGER_S = 2.0
BODY_PART_BYTES = 1 << 16  # parts of a body that are shorter are put together up to this size
# Unless it stalls, the event loop has read the end of a connection by then.
END_NOTICED_S = 0.1
LONG_ANSWER_BYTES = 1 << 16  # a longer body is written on its own, since head and body are copied


class BufferedExchange(HTTPMessageDelegate, abc.ABC):
    """Receives one complete request, handles it in a task and answers it.

    The task is cancelled when the sender disconnects, unless `continues_without_sender` returns
    True; then it has to find out itself that nobody waits for its result. A request is in flight
    from its headers until its answer is written, or until its sender has disconnected and its task
    has ended.
    """

    def __init__(self, connection: HTTP1Connection, in_flight: "InFlightRequests"):
        self._connection = connection
        self._in_flight = in_flight
        self._is_in_flight = False
        self._line: RequestStartLine = None  # type: ignore[assignment]
        self._headers: HTTPHeaders = None  # type: ignore[assignment]
        self._chunks: list[bytes | bytearray] = []
        self._body_bytes = 0
        self._head_memory_bytes = 0  # set by `on_head` for a head that is not small
        self._claim: BodyClaim | None = None
        self._is_received = False
        self._received_s = 0.0
        self._task: asyncio.Task[None] | None = None
        self._closed = False
        self._answered = False
        self._is_broken_off = False

    @abc.abstractmethod
    async def handle(self) -> None:
        """Answer the request; refuse it as not run if the server no longer takes requests.

        A refusal before the whole body has been read could be lost, since closing a connection with
        unread bytes resets it.
        """

    @abc.abstractmethod
    def on_head(self) -> None:
        """Check the headers before the body is read."""

    @abc.abstractmethod
    def answer_broken_off(self) -> None:
        """Answer a request that was broken off: its outcome is unknown, or it was not run."""

    @abc.abstractmethod
    def refuse_body(self, reason: Reason, retry_after_s: float) -> None:
        """Refuse the request as not run, since there is no memory for its body."""

    def on_body_bytes(self, received_bytes: int) -> None:
        """Check the size of the body while it arrives; it may be refused by an answer."""

    def continues_without_sender(self) -> bool:
        """Return whether the request is handled to its end after its sender has disconnected."""
        return False

    @property
    def body(self) -> bytes:
        """The complete body."""
        return b"".join(self._chunks)

    def take_body(self) -> tuple[bytes, ...]:
        """Return the parts of the complete body, and keep none of them."""
        chunks, self._chunks = self._chunks, []
        chunks.reverse()
        parts = []
        while chunks:
            parts.append(bytes(chunks.pop()))
        return tuple(parts)

    def release_body(self) -> None:
        """Drop the body after the request was handled."""
        self._chunks.clear()

    @property
    def peer_name(self) -> str:
        """Address of the sender, for log lines."""
        return str(getattr(self._connection.context, "remote_ip", ""))

    @property
    def written_bytes(self) -> int:
        """Bytes that the connection has passed to the kernel so far."""
        return getattr(self._connection.stream, "written_bytes", 0)

    @property
    def has_left(self) -> bool:
        """Whether the connection is closed or reset, which is not noticed while a body waits."""
        stream = self._connection.stream
        return stream.closed() or is_reset(stream.socket)

    def has_sender_left(self) -> bool:
        """Return whether the sender of a complete request has closed or reset its connection.

        The kernel is asked too, since the event loop may come to the end later, or not read at all
        while too much lies behind the request.
        """
        stream = self._connection.stream
        if self._closed or stream.closed():
            return True
        may_lag = asyncio.get_running_loop().time() > self._received_s + END_NOTICED_S
        return isinstance(stream, RequestStream) and stream.has_unnoticed_end(may_lag)

    def disconnect(self) -> None:
        """Close the connection."""
        self._connection.stream.close()

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> "asyncio.Future[None] | None":
        """Start a request when its headers have arrived; its body may have to wait unread."""
        self._line, self._headers = start_line, headers
        self._is_in_flight = True
        self._in_flight.add(self)
        self.on_head()
        memory, length = self._in_flight.memory, _body_length(headers)
        head_bytes = self._head_memory_bytes
        if self._answered or memory is None or not (length != 0 or head_bytes):
            return None
        self._claim, waits = memory.open(self, length, head_bytes)
        if self._answered:
            self._drop_head()
        return waits

    def data_received(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Buffer a part of the body, unless the request was answered before its end."""
        if self._answered or self._closed:
            return None
        self._body_bytes += len(chunk)
        self._store(chunk)
        self.on_body_bytes(self._body_bytes)
        if self._answered or self._claim is None:
            return None
        return self._in_flight.memory.receive(self, self._claim, len(chunk))

    def _store(self, chunk: bytes) -> None:
        # A body in pieces of a few bytes would take many times its size.
        last = self._chunks[-1] if self._chunks else None
        if isinstance(last, bytearray) and len(last) + len(chunk) <= BODY_PART_BYTES:
            last += chunk
        else:
            self._chunks.append(bytearray(chunk) if len(chunk) < BODY_PART_BYTES else chunk)

    def finish(self) -> None:
        """Start the task that handles the request, now that it is complete."""
        self._is_received = True
        self._received_s = asyncio.get_running_loop().time()
        if self._answered and not self._closed:
            self._connection.finish()  # the connection lingered for the rest of the body
        if self._answered or self._closed:
            return
        if self._claim is not None:
            self._in_flight.memory.complete(self._claim)
        if self._connection.stream.closed():
            self.on_connection_close()
            return
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.ensure_future(self._run())
        self._task.add_done_callback(self._on_task_done)

    def on_connection_close(self) -> None:
        """Cancel the task when the sender disconnects, if the request allows that."""
        self._closed = True
        if self._task is None:
            self._end_request()
        elif not self.continues_without_sender():
            self._task.cancel()

    def break_off(self) -> bool:
        """End the request now with a final answer; return False if it is not being handled."""
        if self._task is None or self._task.done():
            return False
        self._is_broken_off = True
        self._task.cancel()
        return True

    def answer(
        self, status: int, headers: HeaderList, body: bytes | tuple[bytes, ...]
    ) -> "asyncio.Future[None] | None":
        """Send the complete answer, unless one was sent or the sender has disconnected.

        A long body may be in parts, since joining them would take its memory twice. The future that
        is returned is done when the answer has been written.
        """
        if self._closed or self._answered:
            return None
        self._answered = True
        self._chunks.clear()
        fields = HTTPHeaders()
        for name, value in headers:
            if name.lower() != "content-length":
                fields.add(name, value)
        parts = body if isinstance(body, tuple) else (body,)
        size_bytes = sum(map(len, parts))
        without_body = self._line.method == "HEAD" or status in (204, 304) or status < 200
        if not without_body:
            fields["Content-Length"] = str(size_bytes)
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        written = self._write(line, fields, () if without_body else parts)
        written.add_done_callback(self._on_written)
        memory = self._in_flight.memory
        if memory is not None and not written.done():
            memory.add_reader(self, written, size_bytes)
        return written

    def _write(
        self, line: ResponseStartLine, fields: HTTPHeaders, parts: tuple[bytes, ...]
    ) -> "asyncio.Future[None]":
        connection = self._connection
        if not self._is_received:
            # Tornado announces the close, and closes once the rest of the body has been dropped.
            connection._disconnect_on_finish = True
            asyncio.get_running_loop().call_later(LINGER_S, connection.stream.close)
        short = list(itertools.takewhile(lambda part: len(part) <= LONG_ANSWER_BYTES, parts))
        written = connection.write_headers(line, fields, b"".join(short))
        for part in parts[len(short) :]:
            if not connection.stream.closed():
                written = connection.write(part)
        if self._is_received:
            connection.finish()
        return written

    def _on_written(self, written: "asyncio.Future[None]") -> None:
        if not written.cancelled() and written.exception() is not None:
            _LOG.debug("sender_left_during_answer", extra={"target": self._line.path})
        self._end_request()

    def _on_task_done(self, _task: "asyncio.Task[None]") -> None:
        self.release_body()
        self._close_claim()
        if self._is_broken_off:
            self.answer_broken_off()
        if not self._answered:
            self._end_request()

    def _close_claim(self) -> None:
        claim, self._claim = self._claim, None
        if claim is not None:
            self._in_flight.memory.close(claim)

    def _drop_head(self) -> None:
        """Free a long head, to which the connection and its coroutine still refer."""
        if self._head_memory_bytes:
            self._headers.__init__()  # type: ignore[misc]

    def _end_request(self) -> None:
        if self._task is None or self._task.done():
            self._chunks.clear()
            self._close_claim()
            self._drop_head()
        if self._is_in_flight:
            self._is_in_flight = False
            self._in_flight.remove(self)

    async def _run(self) -> None:
        try:
            await self.handle()
        except asyncio.CancelledError:
            raise
        except Exception:
            _LOG.exception("request_failed", extra={"target": self._line.path})
            self.answer(500, [], b"")


class InFlightRequests:
    """Requests in flight on one server.

    Once `closed` is set, requests that have not been received completely are refused. `memory`
    bounds their bodies.
    """

    def __init__(self, memory: RequestMemory | None = None) -> None:
        self.closed = False
        self.memory = memory
        self._exchanges: set[BufferedExchange] = set()

    def __len__(self) -> int:
        return len(self._exchanges)

    def add(self, exchange: BufferedExchange) -> None:
        """Add a request when it starts."""
        self._exchanges.add(exchange)

    def remove(self, exchange: BufferedExchange) -> None:
        """Remove a request when it has ended."""
        self._exchanges.discard(exchange)

    def exchanges(self) -> "list[BufferedExchange]":
        """Return the requests in flight."""
        return list(self._exchanges)

    def break_off(self) -> int:
        """End the requests that are being handled with final answers; return their number."""
        return sum(exchange.break_off() for exchange in list(self._exchanges))


class ClosingConnections:
    """Connections that are closed gracefully while the VM shuts down.

    `active` is set when the shutdown begins.
    Requests that arrive on a connection after an answer with `Connection: close` are not handled;
    their senders send them again on another connection.
    """

    def __init__(self) -> None:
        self.active = False
        self._closing_streams: weakref.WeakSet[IOStream] = weakref.WeakSet()

    def is_closing(self, connection: HTTP1Connection) -> bool:
        """Return whether the last answer on a connection announced that it closes."""
        return connection.stream in self._closing_streams

    def mark_closing(self, stream: IOStream, written: "asyncio.Future[None]") -> None:
        """Note that the answer being sent announces the close, and close after a timeout.

        The timeout begins when the answer has been written.
        """
        self._closing_streams.add(stream)
        loop = asyncio.get_running_loop()
        written.add_done_callback(lambda _: loop.call_later(CLOSE_TIMEOUT_S, stream.close))


class _DroppedRequest(HTTPMessageDelegate):
    """A request that is read and dropped, since its connection is closing."""


class ServerDelegate(HTTPServerConnectionDelegate):
    """Creates an exchange for each request."""

    def __init__(
        self,
        make_exchange: Callable[[HTTP1Connection], BufferedExchange],
        closing: ClosingConnections | None = None,
    ):
        self._make_exchange = make_exchange
        self._closing = closing

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the exchange that receives the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        if self._closing is not None and self._closing.is_closing(request_conn):
            return _DroppedRequest()
        return self._make_exchange(request_conn)


def _body_length(headers: HTTPHeaders) -> int | None:
    """Return the length that the headers of a request name; None for a body in chunks."""
    if "chunked" in headers.get("Transfer-Encoding", "").lower():
        return None
    value = headers.get("Content-Length", "0").partition(",")[0].strip()
    return int(value) if value.isascii() and value.isdigit() else 0
