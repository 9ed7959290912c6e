"""Reserved ports for programs whose port has to be known before they start."""

import socket

__all__ = ["reserve_port"]


def reserve_port() -> socket.socket:
    """Return a bound socket whose port the kernel assigns to nobody else while it is open.

    The socket does not listen, so a program that sets SO_REUSEADDR can listen on the port. Without
    the reservation, a connection of another process could take a port that was found to be free.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved
