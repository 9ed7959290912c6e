"""Exchanges whose answer is collected in memory."""

from collections.abc import Callable

import attrs

from fireflyferry.transport.answer_memory import AnswerMemory
from fireflyferry.transport.bodies import RequestBody
from fireflyferry.transport.curl import CurlTransport
from fireflyferry.transport.exchanges import Exchange, Receiver
from fireflyferry.transport.headers import HeaderList

__all__ = ["FetchResult", "HeaderList", "complete_body", "fetch"]

JOINED_BYTES = 1 << 16  # parts of a shorter body are joined, since each costs a system call

AcceptHead = Callable[[int, HeaderList], bool]


@attrs.frozen
class FetchResult:
    """A complete answer, or how the exchange failed; `error` is a curl code, 0 if complete.

    `sent` means that the request was handed to a connection, `reused` that the connection had
    carried another request before, `connection_refused` that no process listens on the port,
    `head_rejected` that `accept` rejected the head of the answer, and `too_large` that its body
    exceeded the memory for answers. `opened_connections`, `connection_too_new` and `invalid_head`
    are as in `TransferResult`.
    """

    error: int
    sent: bool
    timed_out: bool = False
    connection_refused: bool = False
    head_rejected: bool = False
    too_large: bool = False
    reused: bool = False
    message: str = ""
    status: int = 0
    headers: HeaderList = attrs.field(factory=list)
    body: bytes = b""
    opened_connections: int = 0
    connection_too_new: bool = False
    invalid_head: bool = False

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

    def __init__(
        self,
        may_send: Callable[[], bool] | None,
        accept: AcceptHead | None,
        memory: AnswerMemory,
    ):
        self._may_send = may_send
        self._accept = accept
        self._memory = memory
        self.head_rejected = False
        self.status = 0
        self.headers: HeaderList = []
        self.body = bytearray()  # a list of pieces would leave gaps in the heap

    def may_send(self) -> bool:
        """Return the result of the given check; True if none was given."""
        return self._may_send is None or self._may_send()

    def on_head(self, status: int, headers: HeaderList) -> bool:
        """Store the head; one that is not accepted ends the transfer and its connection."""
        self.status, self.headers = status, headers
        self.head_rejected = self._accept is not None and not self._accept(status, headers)
        return not self.head_rejected

    def on_data(self, chunk: bytes) -> bool:
        """Store a chunk; a body that exceeds the memory ends the transfer and its connection."""
        if not self._memory.take(len(self.body), len(chunk)):
            self.rejects_data = True
            return False
        self.body += chunk
        return True

    def give_back(self) -> None:
        """Give the memory of the body back."""
        self._memory.give_back(len(self.body))
        self.body = bytearray()


def complete_body(data: bytes | tuple[bytes, ...]) -> RequestBody:
    """Return a request body that is already complete, and may be given in parts."""
    parts = data if isinstance(data, tuple) else (data,)
    length = sum(map(len, parts))
    if length <= JOINED_BYTES:
        parts = (b"".join(parts),)
    body = RequestBody(length, length, length)
    for part in parts:
        if part:
            body.feed(part)
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
    answer = _CollectedAnswer(may_send, accept, transport.answer_memory)
    try:
        result = await transport.run(exchange, answer)
        body = b"" if result.error else bytes(answer.body)
    finally:
        answer.give_back()
    if result.error:
        return FetchResult(
            result.error,
            result.sent,
            result.timed_out,
            result.connection_refused,
            answer.head_rejected,
            answer.rejects_data,
            result.reused,
            result.message,
            answer.status,
            answer.headers,
            opened_connections=result.opened_connections,
            connection_too_new=result.connection_too_new,
            invalid_head=result.invalid_head,
        )
    return FetchResult(
        0,
        True,
        reused=result.reused,
        status=answer.status,
        headers=answer.headers,
        body=body,
        opened_connections=result.opened_connections,
    )
