"""Sinks that an answer is written to: a server connection, or a recorder in front of one."""

import abc
import asyncio
from collections.abc import Callable
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine

from fireflyferry.retries import StoredAnswer
from fireflyferry.transport.headers import HeaderList

__all__ = ["AnswerSink", "ConnectionSink", "RecordingSink"]


class AnswerSink(abc.ABC):
    """Consumer of one answer; `on_ready` is called when it can take a chunk again."""

    on_ready: Callable[[], None] | None = None

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether an answer was begun, after which no other can be given."""

    @property
    @abc.abstractmethod
    def ready(self) -> bool:
        """Whether the sink can take a chunk."""

    @abc.abstractmethod
    def start(self, status: int, headers: HeaderList) -> None:
        """Begin the answer."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> None:
        """Add a chunk of the body."""

    @abc.abstractmethod
    def finish(self) -> None:
        """Mark the answer as complete."""

    @abc.abstractmethod
    def abort(self) -> None:
        """End an incomplete answer so that its receiver notices that it is incomplete."""


class ConnectionSink(AnswerSink):
    """Writes to a server connection, with at most one unwritten chunk.

    The head is held back until the first chunk or the end, which saves a system call.
    """

    def __init__(self, connection: HTTP1Connection, added_headers: HeaderList):
        self._connection = connection
        self._added_headers = added_headers
        self._head: tuple[ResponseStartLine, HTTPHeaders] | None = None
        self._started = False
        self._ready = True

    @property
    def started(self) -> bool:
        """Whether an answer was begun."""
        return self._started

    @property
    def ready(self) -> bool:
        """Whether the last chunk was written."""
        return self._ready

    def add_header(self, name: str, value: str) -> None:
        """Add a header to the answer's head."""
        self._added_headers.append((name, value))

    def drop_header(self, name: str) -> None:
        """Remove a header that was added."""
        self._added_headers = [pair for pair in self._added_headers if pair[0] != name]

    def start(self, status: int, headers: HeaderList) -> None:
        """Begin the answer."""
        self._started = True
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        for name, value in self._added_headers:
            fields[name] = value
        self._head = (ResponseStartLine("HTTP/1.1", status, responses.get(status, "")), fields)

    def write(self, chunk: bytes) -> None:
        """Add a chunk of the body."""
        if self._head is not None:
            (line, fields), self._head = self._head, None
            self._track_write(self._connection.write_headers(line, fields, chunk))
        else:
            self._track_write(self._connection.write(chunk))

    def finish(self) -> None:
        """Mark the answer as complete."""
        if self._head is not None:
            (line, fields), self._head = self._head, None
            if "Content-Length" not in fields and line.code not in (204, 304):
                fields["Content-Length"] = "0"
            self._connection.write_headers(line, fields)
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection without the final chunk."""
        self._connection.close()

    def _track_write(self, written: "asyncio.Future[None]") -> None:
        if not written.done():
            self._ready = False
            written.add_done_callback(self._on_written)

    def _on_written(self, _written: "asyncio.Future[None]") -> None:
        self._ready = True
        if self.on_ready is not None:
            self.on_ready()


class RecordingSink(AnswerSink):
    """Passes an answer on to another sink and keeps a copy of a body of up to `limit_bytes`."""

    def __init__(self, sink: AnswerSink, limit_bytes: int):
        self._sink = sink
        self._limit_bytes = limit_bytes
        self._status = 0
        self._headers: HeaderList = []
        self._body: bytearray | None = bytearray()

    @property
    def answer(self) -> StoredAnswer | None:
        """The complete answer; None if its body is above the limit or no answer was begun."""
        if self._body is None or not self._status:
            return None
        return StoredAnswer(self._status, tuple(self._headers), bytes(self._body))

    @property
    def started(self) -> bool:
        """Whether an answer was begun."""
        return self._sink.started

    @property
    def ready(self) -> bool:
        """Whether the other sink can take a chunk."""
        return self._sink.ready

    def start(self, status: int, headers: HeaderList) -> None:
        """Begin the answer."""
        self._status, self._headers = status, headers
        self._sink.on_ready = self.on_ready
        self._sink.start(status, headers)

    def write(self, chunk: bytes) -> None:
        """Add a chunk of the body."""
        if self._body is not None:
            self._body += chunk
            if len(self._body) > self._limit_bytes:
                self._body = None
        self._sink.write(chunk)

    def finish(self) -> None:
        """Mark the answer as complete."""
        self._sink.finish()

    def abort(self) -> None:
        """End an incomplete answer."""
        self._sink.abort()
