"""Simulated network partitions between entry VMs: a peer port that ignores chosen callers."""

from tornado import web
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.routing import PathMatches, Rule, RuleRouter

from fireflyferry.standins.faults import FaultTable
from fireflyferry.standins.http_base import FaultsHandler

__all__ = ["make_cut_router"]

CUT_KIND = "cut"


class _LinkDelegate(HTTPMessageDelegate):
    """Forwards requests to the inner delegate; requests of a cut-off caller get no response."""

    def __init__(self, faults: FaultTable, inner: HTTPMessageDelegate) -> None:
        self._faults = faults
        self._inner = inner
        self._is_cut = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ):
        """Forward the headers unless a `cut` fault matches the caller."""
        self._is_cut = self._faults.find(CUT_KIND, headers.get("Firefly-Vm", ""), "") is not None
        return None if self._is_cut else self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes):
        """Forward a part of the body."""
        return None if self._is_cut else self._inner.data_received(chunk)

    def finish(self) -> None:
        """Forward the end of the request."""
        if not self._is_cut:
            self._inner.finish()

    def on_connection_close(self) -> None:
        """Forward the end of the connection."""
        self._inner.on_connection_close()


class _LinkRouter(HTTPServerConnectionDelegate):
    def __init__(self, faults: FaultTable, inner: HTTPServerConnectionDelegate) -> None:
        self._faults = faults
        self._inner = inner

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        return _LinkDelegate(self._faults, self._inner.start_request(server_conn, request_conn))

    def on_close(self, server_conn: object) -> None:
        self._inner.on_close(server_conn)


def make_cut_router(inner: HTTPServerConnectionDelegate) -> HTTPServerConnectionDelegate:
    """Wrap the peer port's delegate; `POST /faults` with kind `cut` sets the callers to ignore."""
    faults = FaultTable({CUT_KIND: ("",)})
    settings = {"table": faults, "changed": lambda: None}
    application = web.Application(
        [("/faults", FaultsHandler, settings)], log_function=lambda handler: None
    )
    return RuleRouter(
        [
            Rule(PathMatches("/faults"), application),
            Rule(PathMatches(".*"), _LinkRouter(faults, inner)),
        ]
    )
