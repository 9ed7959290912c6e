"""Operators' calls to the peer ports of entry VMs."""

import abc
from typing import Any, TypeVar

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from fireflyferry.edges.base import PeerUnavailableError
from fireflyferry.messages import decode, encode
from fireflyferry.messages.codec import MessageError
from fireflyferry.messages.control import (
    AssignReply,
    AssignRequest,
    DrainReply,
    DrainRequest,
    VmStatus,
)

__all__ = ["SECRET_HEADER", "HttpPeerControl", "PeerControl"]

SECRET_HEADER = "Firefly-Peer-Secret"
CONNECT_TIMEOUT_S = 1.0

T = TypeVar("T")


class PeerControl(abc.ABC):
    """Operators' calls; `address` is `IP:PORT` of a peer port."""

    @abc.abstractmethod
    async def status(self, address: str) -> VmStatus:
        """Ask a VM for its status.

        Raises PeerUnavailableError.
        """

    @abc.abstractmethod
    async def assign(self, address: str, request: AssignRequest) -> AssignReply:
        """Ask a VM to place a unit on an upstream.

        Raises PeerUnavailableError when the request may or may not have been carried out.
        """

    @abc.abstractmethod
    async def drain(self, address: str, request: DrainRequest) -> DrainReply:
        """Ask a VM to drain an upstream or itself.

        Raises PeerUnavailableError when the request may or may not have been carried out.
        """


class HttpPeerControl(PeerControl):
    """Calls over HTTP with JSON bodies and the peers' shared secret."""

    def __init__(self, secret: str, timeout_s: float = 3.0, max_clients: int = 64):
        self._secret = secret
        self._timeout_s = timeout_s
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=max_clients)

    def close(self) -> None:
        """Close connections."""
        self._client.close()

    async def status(self, address: str) -> VmStatus:
        """Ask a VM for its status."""
        return await self._call(address, "GET", "/peer/v1/status", None, VmStatus)

    async def assign(self, address: str, request: AssignRequest) -> AssignReply:
        """Ask a VM to place a unit on an upstream."""
        return await self._call(address, "POST", "/peer/v1/assign", request, AssignReply)

    async def drain(self, address: str, request: DrainRequest) -> DrainReply:
        """Ask a VM to drain an upstream or itself."""
        return await self._call(address, "POST", "/peer/v1/drain", request, DrainReply)

    async def _call(self, address: str, method: str, path: str, body: Any, kind: type[T]) -> T:
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            body=None if body is None else encode(body),
            headers={
                SECRET_HEADER: self._secret,
                "Content-Type": "application/json",
                "Expect": "",
            },
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=self._timeout_s,
            follow_redirects=False,
            decompress_response=False,
        )
        try:
            response = await self._client.fetch(request)
            return decode(response.body, kind)
        except (HTTPClientError, MessageError, OSError, ValueError) as error:
            raise PeerUnavailableError(f"{address}: {error}") from error
