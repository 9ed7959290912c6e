"""Bytes that a connection has received, as the kernel counts them."""

import fcntl
import socket
import struct
import termios

__all__ = ["bytes_read"]

_RECEIVED = struct.Struct("=Q")
_RECEIVED_AT = 128  # tcpi_bytes_received in Linux's struct tcp_info
_UNREAD = struct.Struct("=i")


def bytes_read(descriptor: int) -> int | None:
    """Return how many bytes of a TCP connection were read; None if the kernel does not say it."""
    try:
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor)
    except (OSError, ValueError):
        return None
    try:
        size = _RECEIVED_AT + _RECEIVED.size
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        # Read second: what arrives in between only makes the result smaller.
        unread = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(_UNREAD.size))
    except OSError:
        return None
    finally:
        connection.detach()
    if len(info) < size:
        return None
    return _RECEIVED.unpack_from(info, _RECEIVED_AT)[0] - _UNREAD.unpack(unread)[0]
