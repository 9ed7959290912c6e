"""HTTP client shared by the edges, on the transport that sends each call at most once."""

import functools

import attrs

from fireflyferry.edges.base import EdgeError
from fireflyferry.transport import CurlTransport, Exchange, fetch
from fireflyferry.transport.answer_memory import AnswerMemory
from fireflyferry.transport.fetch import complete_body

__all__ = ["HttpAnswer", "HttpClient", "NoAnswerError"]

MIN_TIMEOUT_S = 0.001  # libcurl takes 0 ms to mean no timeout
MAX_ANSWER_BYTES = 100 << 20  # listings have all objects of a kind
MAX_ANSWERS_BYTES = 200 << 20


class NoAnswerError(EdgeError):
    """No complete answer arrived; the call may or may not have taken effect."""

    code = "no_answer"


@attrs.frozen
class HttpAnswer:
    """Status and complete body of an answer."""

    status: int
    body: bytes


class HttpClient:
    """HTTP client whose calls carry the id of one VM; timeouts are in seconds."""

    def __init__(self, vm_id: str, connect_timeout_s: float = 0.5, timeout_s: float = 2.0) -> None:
        self._vm_id = vm_id
        self._connect_timeout_s = connect_timeout_s
        self._timeout_s = timeout_s

    @property
    def vm_id(self) -> str:
        """Id of the VM, which is sent with each call."""
        return self._vm_id

    @functools.cached_property
    def _transport(self) -> CurlTransport:
        """The transport, made by the first call since it needs a running event loop."""
        return CurlTransport(
            force_instance=True,
            connect_timeout_s=self._connect_timeout_s,
            answer_memory=AnswerMemory(MAX_ANSWER_BYTES, MAX_ANSWERS_BYTES, MAX_ANSWERS_BYTES),
        )

    def close(self) -> None:
        """Close all connections."""
        if "_transport" in self.__dict__:
            self._transport.close()

    async def call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
        fresh_connection: bool = False,
    ) -> HttpAnswer:
        """Make a call to an `http` URL.

        With `fresh_connection`, the call uses a new connection that is not used again, so that
        neither an idle connection that the server closes nor an earlier answer can affect it.
        Raises NoAnswerError.
        """
        address, _, path = url.removeprefix("http://").partition("/")
        sends_body = body is not None or method in ("POST", "PUT")
        exchange = Exchange(
            address,
            method,
            f"/{path}",
            [
                ("Firefly-Vm", self._vm_id),
                ("User-Agent", "fireflyferry"),
                *(headers or {}).items(),
            ],
            complete_body(body or b"") if sends_body else None,
            max(self._timeout_s if timeout_s is None else timeout_s, MIN_TIMEOUT_S),
            fresh_connection=fresh_connection,
        )
        result = await fetch(self._transport, exchange)
        if not result.complete:
            raise NoAnswerError(f"{method} {url}: curl error {result.error} {result.message}")
        return HttpAnswer(result.status, result.body)
