"""HTTP client for the peer port of other entry VMs."""

import urllib.parse

from fireflyferry.edges.base import PeerLink, PeerUnavailableError, WatchBatch
from fireflyferry.edges.http_client import HttpClient, NoAnswerError
from fireflyferry.edges.peer_auth import PeerSigner
from fireflyferry.edges.wire import decode_batch
from fireflyferry.messages import Heartbeat, HeartbeatReply, VmIncarnation, decode, encode
from fireflyferry.messages.codec import MessageError, decode_each

__all__ = ["HttpPeerLink"]


class HttpPeerLink(PeerLink):
    """Control calls to other entry VMs; signed if a signer is given."""

    def __init__(self, client: HttpClient, signer: PeerSigner | None = None) -> None:
        self._client = client
        self._signer = signer

    async def identity(self, address: str) -> VmIncarnation:
        """Return which incarnation of which VM listens at an address.

        Raises PeerUnavailableError.
        """
        body = await self._call("GET", address, "/peer/v1/identity")
        return _decode_body(body, lambda data: decode(data, VmIncarnation))

    async def heartbeat(
        self, address: str, heartbeats: tuple[Heartbeat, ...]
    ) -> tuple[HeartbeatReply, ...]:
        """Send heartbeats to a standby and return its readable replies, which hold its pledges.

        Raises PeerUnavailableError.
        """
        body = await self._call("POST", address, "/peer/v1/heartbeat", encode(heartbeats))
        return _decode_body(body, lambda data: decode_each(data, HeartbeatReply, "pledges"))

    async def feed(
        self, address: str, since: int, revision: int, vm_id: str, timeout_s: float
    ) -> WatchBatch:
        """Wait up to `timeout_s` for changes of tables, groups, placements and the VM list.

        `since` is a position in the peer's sequence of changes; `revision` is the tables revision
        that the caller has, and `vm_id` is the caller's. Raises PeerUnavailableError.
        """
        fields = {"since": since, "revision": revision, "vm": vm_id, "timeout_s": timeout_s}
        path = f"/peer/v1/feed?{urllib.parse.urlencode(fields)}"
        body = await self._call("GET", address, path, timeout_s=timeout_s + 2.0)
        return _decode_body(body, decode_batch)

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float | None = None,
    ) -> bytes:
        headers = self._signer.headers(method, path, body or b"") if self._signer else {}
        url = f"http://{address}{path}"
        try:
            answer = await self._client.call(method, url, body, headers, timeout_s)
        except NoAnswerError as error:
            raise PeerUnavailableError(str(error)) from error
        if answer.status != 200:
            raise PeerUnavailableError(f"{method} {url}: status {answer.status}")
        return answer.body


def _decode_body(body: bytes, decode_function):
    try:
        return decode_function(body)
    except MessageError as error:
        raise PeerUnavailableError(str(error)) from error
