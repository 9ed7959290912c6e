"""Server side of requests that are received whole before they are handled."""

import abc
import asyncio
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

from fireflyferry.transport.headers import HeaderList

__all__ = ["BufferedExchange", "ClosingConnections", "InFlightRequests", "ServerDelegate"]

_LOG = logging.getLogger(__name__)


# How long a caller may take to close a connection after it was told to; then it is closed here.
LINGER_S = 1.0


class BufferedExchange(HTTPMessageDelegate, abc.ABC):
    """Receives one request, handles it in a task and answers it.

    A sender that disconnects cancels the task unless `outlives_sender` says otherwise. A request
    is in progress from its head until its answer is written, or its sender and its task are gone.
    """

    def __init__(self, connection: HTTP1Connection, in_flight: "InFlightRequests"):
        self._connection = connection
        self._in_flight = in_flight
        self._in_progress = False
        self._line: RequestStartLine = None  # type: ignore[assignment]
        self._headers: HTTPHeaders = None  # type: ignore[assignment]
        self._chunks: list[bytes] = []
        self._task: asyncio.Task[None] | None = None
        self._closed = False
        self._answered = False

    @abc.abstractmethod
    async def handle(self) -> None:
        """Answer the request."""

    @abc.abstractmethod
    def on_head(self) -> None:
        """Look at the head before the body is read."""

    def reject_request(self) -> None:
        """Turn away a request that comes after the server takes none; it asks another VM."""
        self._closed = True
        self._connection.close()

    def continues_without_sender(self) -> bool:
        """Tell whether the work goes on after the sender has left."""
        return False

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b"".join(self._chunks)

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        """Take the head."""
        self._line, self._headers = start_line, headers
        if self._in_flight.closed:
            self.reject_request()
            return
        self._in_progress = True
        self._in_flight.request_started()
        self.on_head()

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Take the end of the request."""
        if self._answered or self._closed:
            return
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.ensure_future(self._run())
        self._task.add_done_callback(self._on_done)

    def on_connection_close(self) -> None:
        """Stop the work for a sender that has left."""
        self._closed = True
        if self._task is None:
            self._end()
        elif not self.continues_without_sender():
            self._task.cancel()

    def answer(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send the whole answer."""
        if self._closed or self._answered:
            return
        self._answered = True
        fields = HTTPHeaders()
        for name, value in headers:
            if name.lower() != "content-length":
                fields.add(name, value)
        bodiless = self._line.method == "HEAD" or status in (204, 304) or status < 200
        if not bodiless:
            fields["Content-Length"] = str(len(body))
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        written = self._connection.write_headers(line, fields, None if bodiless else body)
        written.add_done_callback(self._on_written)
        self._connection.finish()

    def _on_written(self, written: "asyncio.Future[None]") -> None:
        if not written.cancelled() and written.exception() is not None:
            _LOG.debug("sender_left_during_answer", extra={"target": self._line.path})
        self._end()

    def _on_done(self, _task: "asyncio.Task[None]") -> None:
        if not self._answered:
            self._end()

    def _end(self) -> None:
        if self._in_progress:
            self._in_progress = False
            self._in_flight.request_ended()

    async def _run(self) -> None:
        try:
            await self.handle()
        except asyncio.CancelledError:
            raise
        except Exception:
            _LOG.exception("request_failed", extra={"target": self._line.path})
            self.answer(500, [], b"")


class InFlightRequests:
    """Counts the requests in progress on one server; once closed, no other is taken."""

    def __init__(self) -> None:
        self.count = 0
        self.closed = False

    def request_started(self) -> None:
        """Count a request."""
        self.count += 1

    def request_ended(self) -> None:
        """Count the end of a request."""
        self.count -= 1


class ClosingConnections:
    """Ends kept connections politely while the VM shuts down.

    Requests that were sent behind the last answer of a connection are not handled; their senders
    were told that the connection closes and send them again.
    """

    def __init__(self) -> None:
        self.active = False
        self._told: weakref.WeakSet[IOStream] = weakref.WeakSet()

    def was_told(self, connection: HTTP1Connection) -> bool:
        """Tell whether the last answer of a connection said that it closes."""
        return connection.stream in self._told

    def tell(self, connection: HTTP1Connection) -> None:
        """Note that the answer being sent says that the connection closes."""
        stream = connection.stream
        self._told.add(stream)
        asyncio.get_running_loop().call_later(LINGER_S, stream.close)


class _Ignored(HTTPMessageDelegate):
    """A request that is not read as one."""


class ServerDelegate(HTTPServerConnectionDelegate):
    """Makes an exchange for each request."""

    def __init__(
        self,
        make: Callable[[HTTP1Connection], BufferedExchange],
        closing: ClosingConnections | None = None,
    ):
        self._make = make
        self._closing = closing

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Begin a request."""
        assert isinstance(request_conn, HTTP1Connection)
        if self._closing is not None and self._closing.was_told(request_conn):
            return _Ignored()
        return self._make(request_conn)
