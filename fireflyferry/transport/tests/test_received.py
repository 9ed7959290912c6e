"""Guards against a wrong count of the bytes that were read of a connection."""

import socket

from fireflyferry.transport.received import bytes_read


def test_bytes_that_wait_in_the_kernel_are_not_counted():
    """Guards against a long answer that counts as framing because it arrived before it was read."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        with socket.create_connection(server.getsockname()) as reader:
            writer, _ = server.accept()
            with writer:
                writer.sendall(b"x" * 5_000)
                reader.recv(1, socket.MSG_PEEK)
                assert bytes_read(reader.fileno()) == 0
                assert len(reader.recv(3_000, socket.MSG_WAITALL)) == 3_000
                assert bytes_read(reader.fileno()) == 3_000
                reader.send(b"still open")
        assert bytes_read(-1) is None
