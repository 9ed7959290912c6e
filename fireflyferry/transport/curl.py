"""HTTP exchanges through curl, each sent at most once, with backpressure and cancellation."""

import asyncio
import errno
import socket
import struct

import attrs
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.ioloop import IOLoop

from fireflyferry.transport.answer_cost import AnswerCost
from fireflyferry.transport.answer_memory import AnswerMemory
from fireflyferry.transport.bodies import RequestBody
from fireflyferry.transport.connections import ConnectionNumbers
from fireflyferry.transport.exchanges import Exchange, Receiver, TransferResult
from fireflyferry.transport.heads import HeadError, read_head, request_lines, request_target
from fireflyferry.transport.received import bytes_read

__all__ = ["CurlTransport"]


# Options with the same value in every transfer.
FIXED_OPTIONS: dict[int, int | str] = {
    pycurl.FOLLOWLOCATION: 0,  # left to the caller; curl would send the request again
    pycurl.PROXY: "",  # ignore http_proxy in the environment
    pycurl.NOPROXY: "*",
    pycurl.PROTOCOLS: pycurl.PROTO_HTTP,
    pycurl.HTTP_VERSION: pycurl.CURL_HTTP_VERSION_1_1,  # an upgrade would send the request again
    pycurl.HTTP09_ALLOWED: 0,  # an answer without a head has no request id to compare
    pycurl.PATH_AS_IS: 1,  # the upstream sees the path that the route matched
    pycurl.USERAGENT: "",  # callers set their own
    pycurl.NOSIGNAL: 1,
    pycurl.NOPROGRESS: 0,
    pycurl.TCP_NODELAY: 1,
    pycurl.BUFFERSIZE: 16_384,  # curl delivers no larger pieces
}

# Closing a connection resets it. The kernel would go on sending what a cut link has held up, also
# after the transfer was given up or the process has ended, and a grant could arrive after its
# keys have gone to another upstream.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER without a time

# curl reports these for a first line that is no status line of a version that it can read.
INVALID_HEAD_ERRORS = (pycurl.E_UNSUPPORTED_PROTOCOL, pycurl.E_FTP_WEIRD_SERVER_REPLY)


class CurlTransport(CurlAsyncHTTPClient):
    """Tornado's curl client with transfers that stream bodies in place of its buffered requests."""

    def initialize(
        self,
        connect_timeout_s: float = 1.0,
        idle_connections: int = 512,
        answer_memory: AnswerMemory | None = None,
    ) -> None:
        """Create the multi handle; times are in seconds."""
        super().initialize(max_clients=0)
        self.answer_memory = answer_memory or AnswerMemory()
        self._multi.setopt(pycurl.M_MAXCONNECTS, idle_connections)
        self._connect_timeout_ms = int(connect_timeout_s * 1000)
        self.connections = ConnectionNumbers()
        self._idle: list[_Transfer] = []
        self._active: dict[pycurl.Curl, _Transfer] = {}

    @property
    def active(self) -> int:
        """Transfers in progress."""
        return len(self._active)

    async def run(self, exchange: Exchange, receiver: Receiver) -> TransferResult:
        """Send a request and pass the answer to the receiver; cancelling closes the connection."""
        result = await self._run_once(exchange, receiver)
        if result.connection_distrusted:
            result = await self._run_once(attrs.evolve(exchange, new_connection=True), receiver)
        return result

    async def _run_once(self, exchange: Exchange, receiver: Receiver) -> TransferResult:
        transfer = self.start(exchange, receiver)
        done = transfer.done
        try:
            return await done
        except asyncio.CancelledError:
            # Once a transfer has ended, it may have been given to another exchange.
            if transfer.done is done:
                self._abandon(transfer)
            raise

    def start(self, exchange: Exchange, receiver: Receiver) -> "_Transfer":
        """Start a transfer; it ends at once if the exchange cannot be sent as HTTP.

        Parts of an exchange come from other systems, such as ids in headers.
        """
        transfer = self._idle.pop() if self._idle else _Transfer(self, self._connect_timeout_ms)
        try:
            transfer.prepare(exchange, receiver)
        except (ValueError, OverflowError, pycurl.error) as error:
            transfer.fail(str(error))
            return transfer
        self._active[transfer.curl] = transfer
        self._multi.add_handle(transfer.curl)
        return transfer

    def close(self) -> None:
        """Close all connections."""
        for transfer in [*self._active.values(), *self._idle]:
            transfer.curl.close()
        self._active.clear()
        self._idle.clear()
        super().close()

    def _set_timeout(self, msecs: int) -> None:
        """Schedule libcurl's timer, unless a timer that fires earlier is scheduled.

        libcurl moves its timer several times per transfer. A timer that fires too early only
        calls libcurl once more, which costs less than replacing the loop's timer each time.
        """
        if msecs < 0:
            return
        loop = asyncio.get_running_loop()
        due_s = loop.time() + msecs / 1000
        if self._timeout is not None:
            if self._due_s <= due_s:
                return
            self._timeout.cancel()
        self._due_s = due_s
        self._timeout = loop.call_at(due_s, self._handle_timeout)

    def _handle_socket(
        self, event: int, fd: int, multi: pycurl.CurlMulti, data: object = None
    ) -> None:
        """Watch a socket for libcurl, without the wrappers of the Tornado loop."""
        loop = asyncio.get_running_loop()
        before = self._fds.pop(fd, pycurl.POLL_NONE)
        # Removed and added again even if unchanged: libcurl may have closed a socket and opened
        # another with the same number.
        if before & pycurl.POLL_IN:
            loop.remove_reader(fd)
        if before & pycurl.POLL_OUT:
            loop.remove_writer(fd)
        if event == pycurl.POLL_REMOVE:
            return
        self._fds[fd] = event
        if event & pycurl.POLL_IN:
            loop.add_reader(fd, self._handle_events, fd, IOLoop.READ)
        if event & pycurl.POLL_OUT:
            loop.add_writer(fd, self._handle_events, fd, IOLoop.WRITE)

    def _abandon(self, transfer: "_Transfer") -> None:
        if self._active.pop(transfer.curl, None) is not None:
            self._multi.remove_handle(transfer.curl)
            transfer.clear()
            transfer.curl.close()

    def _process_queue(self) -> None:
        """Do nothing: transfers start at once."""

    def _finish(
        self, curl: pycurl.Curl, curl_error: int | None = None, curl_message: str | None = None
    ) -> None:
        transfer = self._active.pop(curl)
        self._multi.remove_handle(curl)
        # curl reports success if the connection closes inside a head.
        if not curl_error and transfer.in_head:
            curl_error, curl_message = pycurl.E_PARTIAL_FILE, "connection closed inside the head"
        curl_message = transfer.fault or curl_message
        done, sent = transfer.done, transfer.sent
        invalid_head = transfer.invalid_head or (sent and curl_error in INVALID_HEAD_ERRORS)
        opened_connections = transfer.opened_connections
        connection_too_new = transfer.connection_too_new
        connection_distrusted = transfer.connection_distrusted
        if curl_error == pycurl.E_OPERATION_TIMEDOUT and sent and transfer.distrusts_on_timeout:
            self.connections.distrust(transfer.address)
        connection_refused = (
            curl_error == pycurl.E_COULDNT_CONNECT
            and curl.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED
        )
        reused = sent and curl.getinfo(pycurl.NUM_CONNECTS) == 0
        transfer.clear()
        if curl_error:
            curl.close()
        else:
            self._idle.append(transfer)
        if not done.done():
            done.set_result(
                TransferResult(
                    curl_error or 0,
                    sent,
                    curl_message or "",
                    connection_refused,
                    reused,
                    opened_connections,
                    connection_too_new,
                    connection_distrusted,
                    invalid_head,
                )
            )


class _Transfer:
    """One curl handle with its callbacks; reused after a transfer without error."""

    def __init__(self, transport: CurlTransport, connect_timeout_ms: int):
        self._transport = transport
        self.curl = curl = pycurl.Curl()
        for option, value in FIXED_OPTIONS.items():
            curl.setopt(option, value)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, connect_timeout_ms)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_data)
        curl.setopt(pycurl.READFUNCTION, self._on_read)
        curl.setopt(pycurl.PREREQFUNCTION, self._before_send)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._on_socket)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)
        self.clear()

    def clear(self) -> None:
        """Drop the state of the last exchange."""
        body = getattr(self, "_body", None)
        if body is not None:
            body.on_data = None
        self.done: asyncio.Future[TransferResult] = None  # type: ignore[assignment]
        self.sent = False
        self.opened_connections = 0
        self.connection_too_new = self.connection_distrusted = False
        self.address = ""
        self.distrusts_on_timeout = False
        self._max_connection: int | None = None
        self._is_connection_new = False
        self._descriptor = -1
        self._read_before = 0
        self._receiver: Receiver = None  # type: ignore[assignment]
        self._body: RequestBody | None = None
        self._cost = AnswerCost(0.0)
        self._lines: list[bytes] = []
        self.in_head = True
        self.fault = ""
        self.invalid_head = False
        self._read_paused = self._write_paused = False

    def fail(self, message: str) -> None:
        """End an exchange that was not started, and close the handle."""
        done = self.done
        self.clear()
        self.curl.close()
        self.done = done
        done.set_result(TransferResult(pycurl.E_URL_MALFORMAT, False, message))

    def prepare(self, exchange: Exchange, receiver: Receiver) -> None:
        """Set every option that differs between exchanges."""
        self._loop = asyncio.get_running_loop()
        self.done = self._loop.create_future()
        self._cost = AnswerCost(self._loop.time())
        self._receiver = receiver
        receiver.resume = self.resume
        self._body = exchange.body
        self._max_connection = exchange.max_connection
        self.address = exchange.address
        self.distrusts_on_timeout = exchange.distrust_on_timeout
        curl = self.curl
        curl.setopt(pycurl.URL, f"http://{exchange.address}/")
        curl.setopt(pycurl.REQUEST_TARGET, request_target(exchange.target))
        curl.setopt(pycurl.HTTPHEADER, request_lines(exchange.headers))
        curl.setopt(pycurl.TIMEOUT_MS, timeout_ms(exchange.timeout_s))
        # curl sends a request again if a reused connection closes before the answer's first byte.
        new_connection = exchange.fresh_connection or exchange.new_connection
        curl.setopt(pycurl.FRESH_CONNECT, int(new_connection))
        curl.setopt(pycurl.FORBID_REUSE, int(exchange.fresh_connection))
        curl.setopt(pycurl.MAXAGE_CONN, exchange.max_idle_s)
        curl.setopt(pycurl.HTTPGET, 1)
        if exchange.body is not None:
            curl.setopt(pycurl.UPLOAD, 1)
            length = exchange.body.length
            curl.setopt(pycurl.INFILESIZE, -1 if length is None else length)
            exchange.body.on_data = self.resume_sending
        elif exchange.method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        curl.setopt(pycurl.CUSTOMREQUEST, exchange.method)

    def resume(self) -> None:
        """Deliver the answer's body again after the receiver held back a chunk."""
        if self._write_paused:
            self._write_paused = False
            self._unpause()

    def resume_sending(self) -> None:
        """Resume reading the request's body after it had no data."""
        if self._read_paused:
            self._read_paused = False
            self._unpause()

    def _unpause(self) -> None:
        flags = pycurl.PAUSE_CONT
        if self._read_paused:
            flags |= pycurl.PAUSE_SEND
        if self._write_paused:
            flags |= pycurl.PAUSE_RECV
        try:
            self.curl.pause(flags)
        except pycurl.error:
            # The transfer has failed; curl reports the error through `_finish`.
            return

    def _on_socket(self, descriptor: int, _purpose: int) -> int:
        self._is_connection_new = True
        self._descriptor = descriptor
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor)
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        finally:
            connection.detach()
        return pycurl.SOCKOPT_OK

    def _before_send(self, remote_ip: str, local_ip: str, remote_port: int, local_port: int) -> int:
        connections = self._transport.connections
        endpoints = (remote_ip, remote_port, local_ip, local_port)
        if self._is_connection_new:
            self._is_connection_new = False
            number = connections.on_opened(endpoints, self._descriptor)
        else:
            number = connections.number(endpoints)
            self._descriptor = connections.descriptor(endpoints)
        # At a second call curl is about to send the request again, but only the first hop decides
        # about retries.
        if self.sent:
            return pycurl.PREREQFUNC_ABORT
        self.connection_too_new = self._max_connection is not None and number > self._max_connection
        self.connection_distrusted = not connections.is_trusted(endpoints, number)
        is_unusable = self.connection_too_new or self.connection_distrusted
        if is_unusable or not self._receiver.may_send():
            return pycurl.PREREQFUNC_ABORT
        self._read_before = bytes_read(self._descriptor) or 0
        self.sent = True
        self.opened_connections = connections.opened
        return pycurl.PREREQFUNC_OK

    def _on_header(self, line: bytes) -> int:
        if not self._cost.add_line(len(line)):
            self.fault = "too many lines or bytes in heads and trailers"
            return 0
        if not self.in_head:
            return len(line)  # trailer
        if line in (b"\r\n", b"\n"):
            return len(line) if self._end_head() else 0
        self._lines.append(line)
        return len(line)

    def _end_head(self) -> bool:
        lines, self._lines = self._lines, []
        try:
            head = read_head(lines)
        except HeadError as error:
            self.fault = str(error)
            self.invalid_head = True
            return False
        if head.is_interim:
            if not self._cost.add_interim_head():
                self.fault = "too many interim heads"
                return False
            return True
        self.in_head = False
        return self._receiver.on_head(head.status, head.headers)

    def _on_data(self, chunk: bytes) -> int:
        # A chunk that was held back is delivered once more, and counted again.
        if not self._cost.add_piece(len(chunk), self._loop.time()):
            self.fault = "too many small pieces in the body"
            return 0
        if self._receiver.on_data(chunk):
            return len(chunk)
        if self._receiver.rejects_data:
            return 0
        self._write_paused = True
        return pycurl.WRITEFUNC_PAUSE

    def _on_progress(self, _total: int, received: int, _upload: int, uploaded: int) -> int:
        if not self._cost.add_step(received + uploaded, self._loop.time()):
            self.fault = "too many reads for the bytes in the body"
            return 1
        if self.sent and not self.in_head and self._cost.is_framing_due():
            read = bytes_read(self._descriptor)
            if read is not None and not self._cost.allows_read(read - self._read_before, received):
                self.fault = "too many bytes between those of the body"
                return 1
        return 0

    def _on_read(self, size: int) -> bytes | int:
        data = self._body.read(size) if self._body is not None else b""
        if data is None:
            self._read_paused = True
            return pycurl.READFUNC_PAUSE
        return data


def timeout_ms(timeout_s: float) -> int:
    """Return a timeout in milliseconds for curl, which takes 0 to mean no timeout."""
    return max(1, int(timeout_s * 1000))
