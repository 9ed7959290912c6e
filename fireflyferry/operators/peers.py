"""Calls of the operators' program to the peer ports of entry VMs and to upstreams."""

import abc
from typing import Any, TypeVar

from fireflyferry.edges.base import PeerUnavailableError
from fireflyferry.edges.http_client import HttpClient, NoAnswerError
from fireflyferry.edges.peer_auth import PeerSigner
from fireflyferry.messages import decode, encode
from fireflyferry.messages.codec import MessageError
from fireflyferry.messages.control import (
    AssignReply,
    AssignRequest,
    DrainReply,
    DrainRequest,
    VmStatus,
)

__all__ = ["HttpPeerControl", "PeerControl"]

# A leader answers once the upstream owns the unit, after 2.5 s at the latest.
ASSIGN_TIMEOUT_S = 5.0

T = TypeVar("T")


class PeerControl(abc.ABC):
    """Calls to VMs and upstreams; `address` is the `IP:PORT` of a peer port, or of an upstream."""

    @abc.abstractmethod
    async def status(self, address: str) -> VmStatus:
        """Request the status of a VM.

        Raises PeerUnavailableError.
        """

    @abc.abstractmethod
    async def assign(self, address: str, request: AssignRequest) -> AssignReply:
        """Ask a VM to place a unit on an upstream.

        Raises PeerUnavailableError without a usable answer; the request may have been carried out.
        """

    @abc.abstractmethod
    async def drain(self, address: str, request: DrainRequest) -> DrainReply:
        """Ask a VM to drain an upstream or itself.

        Raises PeerUnavailableError without a usable answer; the request may have been carried out.
        """

    @abc.abstractmethod
    async def drain_upstream(self, address: str) -> None:
        """Ask an upstream at its own address to drain, so that leaders of later terms see it.

        Raises PeerUnavailableError without a usable answer; the request may have been carried out.
        """


class HttpPeerControl(PeerControl):
    """Signed calls over HTTP with JSON bodies."""

    def __init__(self, client: HttpClient, signer: PeerSigner):
        self._client = client
        self._signer = signer

    async def status(self, address: str) -> VmStatus:
        """Request the status of a VM."""
        return await self._call(address, "GET", "/peer/v1/status", None, VmStatus)

    async def assign(self, address: str, request: AssignRequest) -> AssignReply:
        """Ask a VM to place a unit on an upstream."""
        path = "/peer/v1/assign"
        return await self._call(address, "POST", path, request, AssignReply, ASSIGN_TIMEOUT_S)

    async def drain(self, address: str, request: DrainRequest) -> DrainReply:
        """Ask a VM to drain an upstream or itself."""
        return await self._call(address, "POST", "/peer/v1/drain", request, DrainReply)

    async def drain_upstream(self, address: str) -> None:
        """Ask an upstream at its own address to drain."""
        await self._send(address, "POST", "/control/v1/drain", b"{}", {})

    async def _call(
        self,
        address: str,
        method: str,
        path: str,
        body: Any,
        reply_type: type[T],
        timeout_s: float | None = None,
    ) -> T:
        data = None if body is None else encode(body)
        headers = self._signer.headers(method, path, data or b"")
        answer = await self._send(address, method, path, data, headers, timeout_s)
        try:
            return decode(answer, reply_type)
        except MessageError as error:
            raise PeerUnavailableError(f"{address}: {error}") from error

    async def _send(
        self,
        address: str,
        method: str,
        path: str,
        data: bytes | None,
        headers: dict[str, str],
        timeout_s: float | None = None,
    ) -> bytes:
        url, fresh_connection = f"http://{address}{path}", method == "POST"
        try:
            answer = await self._client.call(
                method, url, data, headers, timeout_s, fresh_connection
            )
        except NoAnswerError as error:
            raise PeerUnavailableError(f"{address}: {error}") from error
        if answer.status != 200:
            raise PeerUnavailableError(f"{address}: {method} {path}: status {answer.status}")
        return answer.body
