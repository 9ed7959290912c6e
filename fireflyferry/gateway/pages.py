"""Listening sockets, and HTTP servers of one page each for readiness checks and metrics."""

import socket
from collections.abc import Callable

import tornado.httpserver
import tornado.netutil
import tornado.web

__all__ = ["RECEIVE_WINDOW_BYTES", "listen", "serve_page"]

# Received by the kernel and not read yet, for each connection; the kernel takes twice as much. It
# allows 21 MB/s at 3 ms.
RECEIVE_WINDOW_BYTES = 1 << 16
BACKLOG = 1024  # a full queue drops SYN packets, which are sent again only after seconds


def listen(endpoint: str, receive_window_bytes: int | None = None) -> socket.socket:
    """Return a socket that listens on `IP:PORT`, with a bound on what its connections receive.

    Raises OSError if the address cannot be bound.
    """
    host, _, port = endpoint.rpartition(":")
    listener = tornado.netutil.bind_sockets(int(port), host, backlog=BACKLOG)[0]
    if receive_window_bytes is not None:
        # Connections take it over when they are accepted.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_window_bytes)
    return listener


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
