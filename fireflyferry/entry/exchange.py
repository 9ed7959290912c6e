"""Server side of one request: body, answer and disconnect of the sender."""

import abc
import asyncio
import logging
import math

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine

from fireflyferry.entry import headers as router_headers
from fireflyferry.entry.limits import RequestLimits
from fireflyferry.retries import Verdict
from fireflyferry.telemetry.reasons import REASONS
from fireflyferry.transport.bodies import RequestBody
from fireflyferry.transport.sinks import ConnectionSink

__all__ = ["ServerExchange"]

logger = logging.getLogger(__name__)


class ServerExchange(HTTPMessageDelegate, abc.ABC):
    """Receives one request and answers it in a task; a disconnect cancels the task.

    A body that fits `max_buffered_body_bytes` is received whole before the task starts, so that a
    slow sender occupies no slot.
    """

    def __init__(self, connection: HTTP1Connection, limits: RequestLimits):
        self._connection = connection
        self._limits = limits
        self._line: RequestStartLine = None  # type: ignore[assignment]
        self._headers: HTTPHeaders = None  # type: ignore[assignment]
        self._body: RequestBody | None = None
        self._max_body_bytes = math.inf
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False
        self._body_too_large = False
        self._is_broken_off = False
        self._sink = ConnectionSink(connection, [])

    @abc.abstractmethod
    def prepare(self) -> float | None:
        """Check the head; return the time to wait for the body in seconds, or None to refuse."""

    @abc.abstractmethod
    async def handle(self) -> None:
        """Answer the request."""

    @abc.abstractmethod
    def request_ended(self) -> None:
        """Count the request as ended, whether or not it was answered."""

    @abc.abstractmethod
    def answer_broken_off(self) -> None:
        """Answer that the outcome is unknown, or that the request was never passed on."""

    def break_off(self) -> None:
        """End the request now, with a final answer if none was begun."""
        if self._task is not None and not self._task.done():
            self._is_broken_off = True
            self._task.cancel()

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders) -> None:
        """Receive the head."""
        self._line, self._headers = start_line, headers
        length = headers.get("Content-Length")
        limits = self._limits
        if length is not None or "Transfer-Encoding" in headers:
            self._body = RequestBody(
                None if length is None else int(length),
                limits.max_buffered_body_bytes,
                limits.body_window_bytes,
            )
        body_timeout_s = self.prepare()
        if body_timeout_s is None or (length and int(length) > limits.max_buffered_body_bytes):
            self._start_task()
        elif self._body is not None and length != "0":
            self._timer = asyncio.get_running_loop().call_later(body_timeout_s, self._start_task)

    def data_received(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Receive a part of the body; return a future to wait for if the window is full."""
        body = self._body
        assert body is not None
        space = body.feed(chunk)
        if body.received_bytes > self._max_body_bytes:
            self._reject_long_body()
        elif self._task is None and body.received_bytes > self._limits.max_buffered_body_bytes:
            self._start_task()
        return space

    def finish(self) -> None:
        """Receive the end of the request."""
        if self._body is not None:
            self._body.end()
        if self._connection.stream.closed():
            self.on_connection_close()
            return
        self._connection.set_close_callback(self.on_connection_close)
        self._start_task()

    def on_connection_close(self) -> None:
        """Cancel the task of a request whose sender has disconnected."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        elif self._line is not None:
            self.request_ended()

    def refuse(self, verdict: Verdict) -> None:
        """Answer that the request was refused or that its outcome is unknown."""
        assert verdict.reason is not None
        info = REASONS[verdict.reason]
        body = f"{verdict.reason}\n".encode()
        headers = [
            ("Content-Type", "text/plain"),
            ("Content-Length", str(len(body))),
            (router_headers.OUTCOME, str(info.outcome)),
            (router_headers.REASON, str(verdict.reason)),
        ]
        if info.status in (429, 503):
            headers.append(("Retry-After", "1"))
        if verdict.leader_address:
            headers.append((router_headers.LEADER, verdict.leader_address))
            headers.append((router_headers.TERM, str(verdict.leader_term)))
        self._sink.start(info.status, headers)
        if self._line.method != "HEAD":
            self._sink.write(body)
        self._sink.finish()

    def _start_task(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._task is None and not self._closed:
            self._task = asyncio.ensure_future(self._run())
            # A done callback also runs for a task that is cancelled before its first step.
            self._task.add_done_callback(self._on_task_done)

    def _reject_long_body(self) -> None:
        """Refuse a body that is too long; close the connection if a part may have been sent on."""
        if self._task is not None:
            self._connection.close()
            self.on_connection_close()
            return
        self._max_body_bytes = math.inf
        self._body_too_large = True
        self._start_task()

    async def _run(self) -> None:
        try:
            await self.handle()
        except Exception:
            logger.exception("request failed")
            self._fail_request()

    def _on_task_done(self, _task: asyncio.Task[None]) -> None:
        if self._is_broken_off and not self._closed:
            self._end_broken_off()
        if self._body is not None:
            self._body.discard()
        self.request_ended()

    def _end_broken_off(self) -> None:
        if self._sink.started:
            self._sink.abort()
            return
        self._sink.drop_header(router_headers.OUTCOME)
        self._sink.drop_header("Connection")
        self._sink.add_header("Connection", "close")
        self.answer_broken_off()

    def _fail_request(self) -> None:
        if self._sink.started:
            self._sink.abort()
        else:
            self._sink.start(500, [("Content-Length", "0"), (router_headers.OUTCOME, "unknown")])
            self._sink.finish()
