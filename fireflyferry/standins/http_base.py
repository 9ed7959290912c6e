"""Base classes of the stand-ins' HTTP handlers."""

import asyncio
from collections.abc import Callable

import attrs
import tornado.web

from fireflyferry.messages import decode, encode
from fireflyferry.messages.codec import MessageError
from fireflyferry.standins.faults import Fault, FaultTable, UnknownFaultError

__all__ = ["Broadcast", "FaultsBody", "FaultsHandler", "StandinHandler", "wait_until_fault_ends"]


@attrs.frozen
class FaultsBody:
    """Body of `POST /faults`; the list replaces the active faults."""

    faults: tuple[Fault, ...] = ()


class Broadcast:
    """Wakes all waiting requests when the state has changed."""

    def __init__(self) -> None:
        self._waiting: set[asyncio.Future] = set()

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def notify(self) -> None:
        """Wake all waiting requests."""
        for future in self._waiting:
            if not future.done():
                future.set_result(None)

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for the next notification; return False after `timeout_s` seconds."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.add(future)
        try:
            await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return False
        finally:
            self._waiting.discard(future)
        return True


async def wait_until_fault_ends(
    table: FaultTable, changed: Broadcast, kind: str, caller: str, operation: str
):
    """Wait until the faults are replaced by a set without a match for the request.

    Only a replacement ends the wait: a fault with a `count` matches no further request once the
    count is used up, but still delays the requests that used it.
    """
    while True:
        generation = table.generation
        while table.generation == generation:
            await changed.wait()
        if table.find(kind, caller, operation) is None:
            return


class StandinHandler(tornado.web.RequestHandler):
    """Handler that sends JSON bodies and can drop the connection."""

    @property
    def caller(self) -> str:
        """VM id in the caller's Firefly-Vm header, or an empty string."""
        return self.request.headers.get("Firefly-Vm", "")

    def send_json(self, data: bytes, status: int = 200) -> None:
        """Send an encoded JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(data)

    def send_error_text(self, status: int, error: str) -> None:
        """Send an error body."""
        self.send_json(encode({"error": error}), status)

    def drop_connection(self) -> None:
        """Close the connection without sending a response."""
        self._finished = True
        if self.request.connection.stream is not None:
            self.detach().close()

    def write_error(self, status_code: int, **kwargs) -> None:
        """Send an unhandled error as JSON."""
        self.send_json(encode({"error": self._reason}), status_code)
        self.finish()


class FaultsHandler(StandinHandler):
    """`GET`, `POST` and `DELETE /faults`."""

    def initialize(self, table: FaultTable, changed: Callable[[], None]) -> None:
        """Store the fault table and the function to call after a change."""
        self._table = table
        self._on_change = changed

    def get(self) -> None:
        """Send the active faults."""
        self.send_json(encode(FaultsBody(self._table.faults)))

    def post(self) -> None:
        """Replace the active faults."""
        try:
            self._table.replace(decode(self.request.body, FaultsBody).faults)
        except (MessageError, UnknownFaultError) as error:
            self.send_error_text(400, str(error))
            return
        self._on_change()
        self.get()

    def delete(self) -> None:
        """Clear all faults."""
        self._table.replace(())
        self._on_change()
        self.get()
