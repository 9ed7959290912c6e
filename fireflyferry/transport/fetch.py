"""Exchanges whose answer is collected in memory."""

from collections.abc import Callable

import attrs

from fireflyferry.transport.bodies import RequestBody
from fireflyferry.transport.curl import CurlTransport, Exchange, Receiver
from fireflyferry.transport.headers import HeaderList

__all__ = ["FetchResult", "HeaderList", "complete_body", "fetch"]

AcceptHead = Callable[[int, HeaderList], bool]

MAX_ANSWER_BYTES = 64 << 20  # a quarter of the memory of a small VM


@attrs.frozen
class FetchResult:
    """A complete answer, or how the exchange failed; `error` is a curl code, 0 if complete.

    `sent` means that the request was handed to a connection, `reused` that the connection had
    carried another request before, `connection_refused` that no process listens on the port, and
    `head_rejected` that `accept` rejected the head of the answer.
    """

    error: int
    sent: bool
    timed_out: bool = False
    connection_refused: bool = False
    head_rejected: bool = False
    reused: bool = False
    message: str = ""
    status: int = 0
    headers: HeaderList = attrs.field(factory=list)
    body: bytes = b""

    @property
    def complete(self) -> bool:
        """Whether the whole answer arrived."""
        return self.error == 0

    def header(self, name: str) -> str | None:
        """Return the first value of a header."""
        lower = name.lower()
        return next((value for found, value in self.headers if found.lower() == lower), None)


class _CollectedAnswer(Receiver):
    """Receiver that collects one answer."""

    def __init__(self, may_send: Callable[[], bool] | None, accept: AcceptHead | None):
        self._may_send = may_send
        self._accept = accept
        self.head_rejected = False
        self._body_bytes = 0
        self.status = 0
        self.headers: HeaderList = []
        self.chunks: list[bytes] = []

    def may_send(self) -> bool:
        """Return the result of the given check; True if none was given."""
        return self._may_send is None or self._may_send()

    def on_head(self, status: int, headers: HeaderList) -> bool:
        """Store the head; one that is not accepted ends the transfer and its connection."""
        self.status, self.headers = status, headers
        self.head_rejected = self._accept is not None and not self._accept(status, headers)
        return not self.head_rejected

    def on_data(self, chunk: bytes) -> bool:
        """Store a chunk; a body above the limit is left unread until the exchange times out."""
        self._body_bytes += len(chunk)
        if self._body_bytes > MAX_ANSWER_BYTES:
            return False
        self.chunks.append(chunk)
        return True


def complete_body(data: bytes) -> RequestBody:
    """Return a request body that is already complete."""
    body = RequestBody(len(data), len(data), len(data))
    if data:
        body.feed(data)
    body.end()
    return body


async def fetch(
    transport: CurlTransport,
    exchange: Exchange,
    may_send: Callable[[], bool] | None = None,
    accept: AcceptHead | None = None,
) -> FetchResult:
    """Run an exchange and return its complete answer; cancelling closes the connection.

    `may_send` is called right before the first byte is sent, `accept` with the head of the
    answer. If `accept` rejects the head, the connection is closed, since the bytes that follow
    may belong to another request.
    """
    answer = _CollectedAnswer(may_send, accept)
    result = await transport.run(exchange, answer)
    if result.error:
        return FetchResult(
            result.error,
            result.sent,
            result.timed_out,
            result.connection_refused,
            answer.head_rejected,
            result.reused,
            result.message,
            answer.status,
            answer.headers,
        )
    return FetchResult(
        0, True, status=answer.status, headers=answer.headers, body=b"".join(answer.chunks)
    )
