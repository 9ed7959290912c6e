"""Curl client shared by the HTTP edges.

Its options keep libcurl from sending a call twice, to another path or through a proxy.
"""

import asyncio

import attrs
import pycurl
import tornado.curl_httpclient
import tornado.httpclient
import tornado.httputil

from fireflyferry.edges.base import EdgeError

__all__ = ["HttpAnswer", "HttpClient", "NoAnswerError"]

# A watch occupies a handle while it waits; with Tornado's default of 10, other calls would queue
# behind the watches.
MAX_CLIENTS = 100
MIN_TIMEOUT_S = 0.001  # libcurl takes 0 ms to mean no timeout


class NoAnswerError(EdgeError):
    """No complete answer arrived; the call may or may not have taken effect."""

    code = "no_answer"


@attrs.frozen
class HttpAnswer:
    """Status, headers and complete body of an answer."""

    status: int
    headers: tornado.httputil.HTTPHeaders
    body: bytes


class HttpClient:
    """HTTP client whose calls carry the id of one VM; timeouts are in seconds."""

    def __init__(self, vm_id: str, connect_timeout_s: float = 0.5, timeout_s: float = 2.0) -> None:
        self._vm_id = vm_id
        self._connect_timeout_s = connect_timeout_s
        self._timeout_s = timeout_s
        self._client = tornado.curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    @property
    def vm_id(self) -> str:
        """Id of the VM, which is sent with each call."""
        return self._vm_id

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
        fresh_connection: bool = False,
    ) -> HttpAnswer:
        """Make a call.

        With `fresh_connection`, the call uses a new connection that is not used again, so that
        libcurl cannot send it twice. Raises NoAnswerError.
        """
        limit_s = max(self._timeout_s if timeout_s is None else timeout_s, MIN_TIMEOUT_S)
        request = tornado.httpclient.HTTPRequest(
            url,
            method=method,
            body=body,
            headers={"Firefly-Vm": self._vm_id, **(headers or {})},
            connect_timeout=min(self._connect_timeout_s, limit_s),
            request_timeout=limit_s,
            user_agent="fireflyferry",
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=_connection_options(fresh_connection),
        )
        try:
            # Also limits the time in Tornado's queue, which request_timeout does not cover.
            async with asyncio.timeout(limit_s + 1.0):
                response = await self._client.fetch(request, raise_error=False)
        except (TimeoutError, OSError, tornado.httpclient.HTTPClientError) as error:
            raise NoAnswerError(f"{method} {url}: {error!r}") from error
        return HttpAnswer(response.code, response.headers, response.body)


def _connection_options(fresh_connection: bool):
    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.FRESH_CONNECT, int(fresh_connection))
        curl.setopt(pycurl.FORBID_REUSE, int(fresh_connection))
        # libcurl would shorten `a/../b` to `b`, which is another object's name.
        curl.setopt(pycurl.PATH_AS_IS, 1)
        # Proxy variables of the environment must not divert calls between processes.
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOPROXY, "*")

    return prepare
