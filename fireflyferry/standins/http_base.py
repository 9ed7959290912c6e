"""Common parts of the stand-ins' HTTP handlers."""

import asyncio
from collections.abc import Callable

import attrs
import tornado.web

from fireflyferry.messages import decode, encode
from fireflyferry.messages.codec import MessageError
from fireflyferry.standins.faults import Fault, FaultTable, UnknownFaultError

__all__ = ["Broadcast", "FaultsBody", "FaultsHandler", "StandinHandler"]


@attrs.frozen
class FaultsBody:
    """Body of `POST /faults`; the list replaces the faults in force."""

    faults: tuple[Fault, ...] = ()


class Broadcast:
    """Wakes every waiting request when something changed."""

    def __init__(self) -> None:
        self._waiting: set[asyncio.Future] = set()

    def notify(self) -> None:
        """Wake everyone who waits."""
        for future in self._waiting:
            if not future.done():
                future.set_result(None)

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for the next notification; False after the timeout in seconds."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.add(future)
        try:
            await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return False
        finally:
            self._waiting.discard(future)
        return True


class StandinHandler(tornado.web.RequestHandler):
    """Handler with JSON answers and a way to drop the connection."""

    @property
    def caller(self) -> str:
        """VM id that the caller names."""
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
        """Close the connection without an answer."""
        self._finished = True
        if self.request.connection.stream is not None:
            self.detach().close()

    def write_error(self, status_code: int, **kwargs) -> None:
        """Answer an unhandled error as JSON."""
        self.send_json(encode({"error": self._reason}), status_code)
        self.finish()


class FaultsHandler(StandinHandler):
    """`GET`, `POST` and `DELETE /faults`."""

    def initialize(self, table: FaultTable, changed: Callable[[], None]) -> None:
        """Keep the fault table and the function to call after a change."""
        self._table = table
        self._changed = changed

    def get(self) -> None:
        """Show the faults in force."""
        self.send_json(encode(FaultsBody(self._table.faults)))

    def post(self) -> None:
        """Replace the faults in force."""
        try:
            self._table.replace(decode(self.request.body, FaultsBody).faults)
        except (MessageError, UnknownFaultError) as error:
            self.send_error_text(400, str(error))
            return
        self._changed()
        self.get()

    def delete(self) -> None:
        """Clear all faults."""
        self._table.replace(())
        self._changed()
        self.get()
