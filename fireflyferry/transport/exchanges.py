"""Requests to send, consumers of their answers, and how the transfers ended."""

import abc
from collections.abc import Callable

import attrs
import pycurl

from fireflyferry.transport.bodies import RequestBody
from fireflyferry.transport.headers import HeaderList

__all__ = ["Exchange", "Receiver", "TransferResult"]


@attrs.define(eq=False)
class Exchange:
    """A request to send to `address`, which is `IP:PORT`; without a body if `body` is None.

    With `fresh_connection`, the request uses a new connection that is not used again. Otherwise
    it may use one that has been idle for at most `max_idle_s`; with `new_connection`, it opens
    one, which may be used again. Connections are numbered in the order in which they were opened;
    with `max_connection`, the request is sent only over one with at most this number. With
    `distrust_on_timeout`, a timeout after the request was sent means that its connection has fallen
    silent; the connections to the address that are open then are not used again.
    """

    address: str
    method: str
    target: str
    headers: HeaderList
    body: RequestBody | None
    timeout_s: float
    fresh_connection: bool = False
    max_idle_s: int = 118  # curl's default
    new_connection: bool = False
    max_connection: int | None = None
    distrust_on_timeout: bool = False


class Receiver(abc.ABC):
    """Consumer of one answer; called by curl, so methods must neither block nor raise.

    The transport sets `resume`, which delivers the chunk again that `on_data` held back. A receiver
    that sets `rejects_data` in `on_data` ends the transfer and its connection.
    """

    resume: Callable[[], None]
    rejects_data: bool = False

    @abc.abstractmethod
    def may_send(self) -> bool:
        """Return whether the request may still be sent; called right before its first byte."""

    @abc.abstractmethod
    def on_head(self, status: int, headers: HeaderList) -> bool:
        """Process the head of the final answer, not of a 1xx one; False ends the transfer."""

    @abc.abstractmethod
    def on_data(self, chunk: bytes) -> bool:
        """Process a chunk of the body; False holds it back until `resume` is called."""


@attrs.frozen
class TransferResult:
    """How a transfer ended; `error` is a curl code, 0 for a complete answer.

    `sent` means that the request was handed to a connection, `connection_refused` that no process
    listens on the port, and `reused` that the connection had carried another request before.
    `opened_connections` is how many connections had been opened when the request was sent.
    `connection_too_new` means that it was not sent because of `Exchange.max_connection`,
    `connection_distrusted` that it was not, because its connection is not used again.
    `invalid_head` means that what arrived is no valid head of an answer.
    """

    error: int
    sent: bool
    message: str = ""
    connection_refused: bool = False
    reused: bool = False
    opened_connections: int = 0
    connection_too_new: bool = False
    connection_distrusted: bool = False
    invalid_head: bool = False

    @property
    def timed_out(self) -> bool:
        """Whether the timeout of the exchange expired."""
        return self.error == pycurl.E_OPERATION_TIMEDOUT
