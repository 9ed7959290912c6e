"""What the kernel knows of a TCP connection: bytes that were read, and resets."""

import fcntl
import socket
import struct
import termios

__all__ = ["bytes_read", "is_ended", "is_reset"]

_RECEIVED = struct.Struct("=Q")
_RECEIVED_AT = 128  # tcpi_bytes_received in Linux's struct tcp_info
_UNREAD = struct.Struct("=i")
_CLOSED = 7  # TCP_CLOSE in Linux's list of states
_CLOSE_WAIT = 8  # TCP_CLOSE_WAIT: the other end has closed, and this one has not


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


def is_reset(connection: socket.socket) -> bool:
    """Return whether the other end has reset a TCP connection, also while nothing reads from it."""
    return _state(connection) == _CLOSED


def is_ended(connection: socket.socket) -> bool:
    """Return whether the other end has closed or reset a connection, also behind unread bytes."""
    return _state(connection) in (_CLOSED, _CLOSE_WAIT)


def _state(connection: socket.socket) -> int:
    try:
        return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return _CLOSED
