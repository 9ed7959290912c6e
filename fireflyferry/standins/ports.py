"""Ports for programs that are told where to listen."""

import socket

__all__ = ["reserve_port"]


def reserve_port() -> socket.socket:
    """Return a socket whose port the kernel gives to nobody else while it is open.

    It does not listen, so a program that allows the reuse of addresses can. A port that was only
    free a moment ago may be taken by a connection of another process.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    return held
