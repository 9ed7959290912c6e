"""Listening sockets, and HTTP servers of one page each for readiness checks and metrics."""

import socket
from collections.abc import Callable

import tornado.httpserver
import tornado.netutil
import tornado.web
from tornado.iostream import IOStream

__all__ = ["RequestServer", "listen", "serve_page"]

BACKLOG = 1024  # a full queue drops SYN packets, which are sent again only after seconds


class RequestServer(tornado.httpserver.HTTPServer):
    """HTTP server that sends each answer at once.

    Tornado switches Nagle's algorithm off and on again for each answer, two system calls. Answers
    are written whole, so it is switched off once for each connection.
    """

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve a new connection."""
        stream.set_nodelay(True)
        stream.set_nodelay = lambda value: None  # type: ignore[method-assign]
        super().handle_stream(stream, address)


def listen(endpoint: str) -> socket.socket:
    """Return a socket that listens on `IP:PORT`.

    Raises OSError if the address cannot be bound.
    """
    host, _, port = endpoint.rpartition(":")
    return tornado.netutil.bind_sockets(int(port), host, backlog=BACKLOG)[0]


def serve_page(endpoint: str, path: str, read: Callable[[], tuple[int, bytes]]) -> None:
    """Serve one path on a separate endpoint; `read` returns status and body.

    Raises OSError if the address cannot be bound.
    """

    class Page(tornado.web.RequestHandler):
        def get(self) -> None:
            status, body = read()
            self.set_status(status)
            self.finish(body)

    application = tornado.web.Application([(path, Page)], log_function=lambda _: None)
    tornado.httpserver.HTTPServer(application).add_socket(listen(endpoint))
