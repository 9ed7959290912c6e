"""Naive router for comparison: rendezvous hashing over a fixed list, plain retries, no grants."""

import argparse
import asyncio

import xxhash
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from fireflyferry.routing import RouteTable, extract_key
from fireflyferry.tables import Route, Tables

__all__ = ["NaiveRouter", "main"]

MAX_ATTEMPTS = 3
DROPPED_HEADERS = frozenset(
    {"connection", "content-length", "host", "transfer-encoding", "keep-alive"}
)


class NaiveRouter:
    """Forwards each request to the first upstream in rendezvous order that answers it.

    `addresses` are `IP:PORT` of the upstreams, all of which this router considers alive.
    """

    def __init__(self, tables: Tables, addresses: tuple[str, ...], max_clients: int = 1000):
        self._routes = RouteTable(tables)
        self._addresses = addresses
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=max_clients)

    def application(self) -> Application:
        """Return the Tornado application."""
        return Application([(r"/.*", _NaiveHandler, {"router": self})], log_function=_log_nothing)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def forward(self, handler: RequestHandler) -> HTTPResponse | None:
        """Send a request to its upstream, and to the next ones without an answer or after a 5xx.

        Returns the last response; None without a route, a key or an answer.
        """
        request = handler.request
        route = self._routes.match(request.path)
        key = extract_key(route, request.path, request.query, request.headers) if route else None
        if route is None or key is None:
            return None
        response = None
        for attempt in range(MAX_ATTEMPTS):
            address = self._ranked_addresses(key)[attempt % len(self._addresses)]
            response = await self._send(handler, route, key, address)
            if response is not None and response.code < 500:
                return response
        return response

    def _ranked_addresses(self, key: str) -> list[str]:
        def weight(address: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{address} {key}".encode())

        return sorted(self._addresses, key=weight)

    async def _send(
        self, handler: RequestHandler, route: Route, key: str, address: str
    ) -> HTTPResponse | None:
        request = handler.request
        headers = {n: v for n, v in request.headers.items() if n.lower() not in DROPPED_HEADERS}
        headers["Firefly-Key"] = key
        try:
            return await self._client.fetch(
                f"http://{address}{request.uri}",
                method=request.method,
                headers=headers,
                body=request.body or None,
                request_timeout=route.timeout_ms / 1000,
                allow_nonstandard_methods=True,
                raise_error=False,
            )
        except (HTTPClientError, OSError):
            return None


class _NaiveHandler(RequestHandler):
    def initialize(self, router: NaiveRouter) -> None:
        self._router = router

    async def forward(self) -> None:
        """Answer a request with any method."""
        response = await self._router.forward(self)
        if response is None or response.code == 599:
            self.set_status(502)
            return
        self.set_status(response.code)
        for name, value in response.headers.get_all():
            if name.lower() not in DROPPED_HEADERS:
                self.add_header(name, value)
        if response.body:
            self.write(response.body)

    get = head = post = put = patch = delete = options = forward


def _log_nothing(_handler: RequestHandler) -> None:
    """Write no access log."""


async def _serve(arguments: argparse.Namespace) -> None:
    route = Route("any", "/", "any", arguments.key_source, timeout_ms=arguments.timeout_ms)
    router = NaiveRouter(Tables(1, (route,)), tuple(arguments.upstream))
    sockets = bind_sockets(arguments.port, "127.0.0.1")
    HTTPServer(router.application()).add_sockets(sockets)
    print(f"ready port={sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


def main(argv: list[str] | None = None) -> None:
    """Run the naive router until it is interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0, help="port to listen on; 0 picks a free one")
    parser.add_argument("--upstream", action="append", required=True, metavar="IP:PORT")
    parser.add_argument("--key-source", default="path:1", help="key source, as in a route")
    parser.add_argument("--timeout-ms", type=int, default=2000, help="timeout of one attempt, ms")
    asyncio.run(_serve(parser.parse_args(argv)))


if __name__ == "__main__":
    main()
