"""HTTP client for the control endpoints of upstreams."""

import attrs
import orjson

from fireflyferry.edges.base import UpstreamControl, UpstreamUnavailableError
from fireflyferry.edges.http_client import HttpClient, NoAnswerError
from fireflyferry.messages import GrantMessage, GrantReply, Hello, decode, encode
from fireflyferry.messages.codec import MessageError

__all__ = ["HttpUpstreamControl"]


@attrs.frozen
class _CancelReply:
    """An upstream's answer to a cancellation."""

    request_id: str
    state: str


class HttpUpstreamControl(UpstreamControl):
    """Control endpoints of upstreams; `address` is `IP:PORT`."""

    def __init__(self, client: HttpClient, cancel_timeout_s: float = 10.0) -> None:
        self._client = client
        self._cancel_timeout_s = cancel_timeout_s

    async def hello(self, address: str) -> Hello:
        """Ask an upstream for its id, its slots and what it checks: grants, fences or nothing.

        Raises UpstreamUnavailableError.
        """
        return self._decode_body(await self._call("GET", address, "hello"), Hello)

    async def grant(self, address: str, message: GrantMessage) -> GrantReply:
        """Send a grant message.

        Raises UpstreamUnavailableError.
        """
        return self._decode_body(
            await self._call("POST", address, "grants", encode(message)), GrantReply
        )

    async def cancel(self, address: str, request_id: str) -> None:
        """Ask an upstream to stop a request whose answer is no longer needed.

        Returns once the request no longer runs. Raises UpstreamUnavailableError.
        """
        body = orjson.dumps({"request_id": request_id})
        answer = await self._call("POST", address, "cancel", body, self._cancel_timeout_s)
        cancelled = self._decode_body(answer, _CancelReply).request_id
        if cancelled != request_id:
            raise UpstreamUnavailableError(f"{address} cancelled {cancelled}, not {request_id}")

    async def _call(
        self,
        method: str,
        address: str,
        name: str,
        body: bytes | None = None,
        timeout_s: float | None = None,
    ) -> bytes:
        url = f"http://{address}/control/v1/{name}"
        try:
            answer = await self._client.call(method, url, body, timeout_s=timeout_s)
        except NoAnswerError as error:
            raise UpstreamUnavailableError(str(error)) from error
        if answer.status != 200:
            raise UpstreamUnavailableError(f"{method} {url}: status {answer.status}")
        return answer.body

    @staticmethod
    def _decode_body(body: bytes, message_type):
        try:
            return decode(body, message_type)
        except MessageError as error:
            raise UpstreamUnavailableError(str(error)) from error
