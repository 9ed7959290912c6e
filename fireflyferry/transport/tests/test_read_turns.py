"""Guards against callers whose bytes in small parts take the event loop from all others."""

import asyncio
import contextlib
import gc
import socket
import struct
import weakref

import tornado.netutil
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)

from fireflyferry.transport import read_turns
from fireflyferry.transport.read_turns import (
    BYTES_PER_PART,
    FREE_HEAD_LINES,
    FREE_PARTS,
    HEAD_LINES_PER_PART,
    SHARED_PARTS,
    TURN_PARTS,
    ReadCost,
    ReadTurns,
    SharedAllowance,
)
from fireflyferry.transport.request_server import RequestServer

BYTE_CHUNK = b"1\r\nx\r\n"


def test_bytes_pay_for_parts():
    cost = ReadCost()
    cost.add(FREE_PARTS)
    assert not cost.excess
    cost.add(1)
    assert cost.excess == 1
    cost.add(0, BYTES_PER_PART)
    assert not cost.excess
    cost.add(1)
    cost.grant(1)
    assert not cost.excess
    cost.begin()
    cost.add(FREE_PARTS)
    assert not cost.excess


def test_bodies_in_ordinary_parts_never_wait():
    """Guards against a limit that an ordinary upload meets: 60 MB in segments of 1,400 bytes."""
    cost = ReadCost()
    for _ in range(43_000):
        cost.add(1, 1_400)
        assert not cost.excess


def test_shared_allowance_fills_again_up_to_its_bound():
    allowance = SharedAllowance()
    assert sum(allowance.take(0.0) for _ in range(SHARED_PARTS + 10)) == SHARED_PARTS
    assert sum(allowance.take(0.1) for _ in range(1_000)) == 200
    assert sum(allowance.take(1_000.0) for _ in range(2 * SHARED_PARTS)) == SHARED_PARTS


def test_turns_are_given_one_after_the_other(monkeypatch):
    """Guards against a crowd that is allowed to read in the same round of the loop."""

    async def run():
        monkeypatch.setattr(read_turns, "TURN_INTERVAL_S", 0.0)
        turns = ReadTurns()
        order = []
        waits = [turns.wait() for _ in range(3)]
        waits[1].cancel()  # its connection was closed
        for number, wait in enumerate(waits):
            wait.add_done_callback(lambda _, number=number: order.append(number))
        await waits[0]
        assert not waits[2].done()
        await waits[2]
        assert order[-1] == 2 and turns.waiting == 0
        await asyncio.sleep(0.01)
        assert await asyncio.wait_for(turns.wait(), 5.0) is None

    asyncio.run(run())


class Body(HTTPMessageDelegate):
    """Counts the bytes of a body and answers at its end."""

    received = 0

    def __init__(self, connection):
        self._connection = connection

    def data_received(self, chunk):
        type(self).received += len(chunk)

    def finish(self):
        line = ResponseStartLine("HTTP/1.1", 200, "OK")
        self._connection.write_headers(line, HTTPHeaders({"Content-Length": "0"}))
        self._connection.finish()


class Delegate(HTTPServerConnectionDelegate):
    def start_request(self, _server_connection, connection):
        return Body(connection)


@contextlib.asynccontextmanager
async def serving():
    Body.received = 0
    server = RequestServer(Delegate())
    sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    try:
        yield server, sockets[0].getsockname()[1]
    finally:
        server.stop()
        await server.close_all_connections()


HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"


async def answer_ordinary_request(port):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(HEAD + b"Content-Length: 3\r\n\r\nabc")
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    writer.transport.abort()


def test_chunks_of_one_byte_are_read_in_turns(monkeypatch):
    """Guards against a caller that is read as long as its bytes last."""

    async def run():
        monkeypatch.setattr(read_turns, "SHARED_PARTS_PER_S", 0.0)
        monkeypatch.setattr(read_turns, "TURN_INTERVAL_S", 3600.0)
        async with serving() as (server, port):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            chunks = SHARED_PARTS + 10 * (FREE_PARTS + TURN_PARTS)
            writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + BYTE_CHUNK * chunks)
            writer.write(b"0\r\n\r\n")
            # An ordinary request is answered while that one has had its only turn.
            async with asyncio.timeout(30):
                while not server._turns._task:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            await answer_ordinary_request(port)
            # What the bytes of the chunks pay for comes on top.
            paid = chunks * len(BYTE_CHUNK) / BYTES_PER_PART + 2
            assert Body.received <= SHARED_PARTS + FREE_PARTS + TURN_PARTS + paid + 3
            writer.transport.abort()

    asyncio.run(run())


def test_ordinary_heads_cost_nothing_and_long_ones_many_parts():
    cost = ReadCost()
    cost.add_head(FREE_HEAD_LINES)
    cost.add(FREE_PARTS)
    assert not cost.excess
    cost.add_head(1_700)
    assert cost.excess == (1_700 - FREE_HEAD_LINES) // HEAD_LINES_PER_PART


LINES = b"".join(b"H%d: \r\n" % n for n in range(1_700))
LONG_HEAD = HEAD + LINES + b"Content-Length: 3\r\n\r\n"


def test_heads_of_many_lines_are_parsed_in_turns(monkeypatch):
    """Guards against callers whose heads of legal size take the loop: 12 ms for 16 KB."""

    async def run():
        monkeypatch.setattr(read_turns, "SHARED_PARTS", 0)
        monkeypatch.setattr(read_turns, "SHARED_PARTS_PER_S", 0.0)
        monkeypatch.setattr(read_turns, "TURN_INTERVAL_S", 3600.0)
        async with serving() as (server, port):
            connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
            for _, writer in connections:
                writer.write(LONG_HEAD + b"abc" + b"x" * 1_000_000)
            async with asyncio.timeout(30):
                while server._turns.waiting < 2:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            await answer_ordinary_request(port)
            assert Body.received == 6  # of one long head and of the ordinary one
            # What follows a head that waits is left in the kernel.
            assert all(each._read_buffer_size < 1 << 17 for each in server._streams)
            for _, writer in connections:
                writer.transport.abort()

    asyncio.run(run())


def test_heads_of_many_lines_are_answered_in_the_end(monkeypatch):
    """Guards against a head that is lost while it waits for its turn."""

    async def run():
        monkeypatch.setattr(read_turns, "SHARED_PARTS", 0)
        monkeypatch.setattr(read_turns, "SHARED_PARTS_PER_S", 0.0)
        async with serving() as (_, port):
            connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(4)]
            for _, writer in connections:
                writer.write((LONG_HEAD + b"abc") * 2)
            async with asyncio.timeout(60):
                for reader, writer in connections:
                    for _ in range(2):
                        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
                        while await reader.readline() != b"\r\n":
                            pass
                    writer.transport.abort()
            assert Body.received == 24

    asyncio.run(run())


def test_body_in_small_chunks_is_received_whole():
    """Guards against bytes that are lost between two turns."""

    async def run():
        async with serving() as (_, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            chunks = SHARED_PARTS + 1_000
            writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + BYTE_CHUNK * chunks)
            writer.write(b"0\r\n\r\n")
            async with asyncio.timeout(60):
                assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            assert Body.received == chunks
            writer.transport.abort()

    asyncio.run(run())


def test_connection_that_was_reset_is_freed_without_the_collector():
    """Guards against callers that reset connections faster than the collector runs."""

    async def run():
        gc.collect()
        gc.disable()
        try:
            async with serving() as (server, port):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(HEAD + b"Content-Length: 100\r\n\r\nabc")
                while not Body.received:
                    await asyncio.sleep(0.01)
                stream = weakref.ref(next(iter(server._streams)))
                linger = struct.pack("ii", 1, 0)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                async with asyncio.timeout(10):
                    while stream() is not None:
                        await asyncio.sleep(0.01)
        finally:
            gc.enable()

    asyncio.run(run())


def test_head_whose_connection_has_ended_takes_no_turn(monkeypatch):
    """Guards against heads of callers that have left, which wait in memory for their turns."""

    async def run():
        monkeypatch.setattr(read_turns, "SHARED_PARTS", 0)
        monkeypatch.setattr(read_turns, "SHARED_PARTS_PER_S", 0.0)
        monkeypatch.setattr(read_turns, "TURN_INTERVAL_S", 3600.0)
        async with serving() as (server, port):
            _, first = await asyncio.open_connection("127.0.0.1", port)
            first.write(LONG_HEAD + b"abc")
            while not Body.received:
                await asyncio.sleep(0.01)
            for _ in range(20):
                connection = socket.create_connection(("127.0.0.1", port))
                connection.sendall(LONG_HEAD + b"abc")
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                connection.close()
            async with asyncio.timeout(20):
                while len(server._streams) > 1:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            assert server._turns.waiting == 0
            first.transport.abort()

    asyncio.run(run())


def test_body_in_pieces_of_a_byte_is_received_whole(monkeypatch):
    """Guards against a connection that is not read again after its turn."""

    async def run():
        monkeypatch.setattr(read_turns, "SHARED_PARTS", 0)
        monkeypatch.setattr(read_turns, "SHARED_PARTS_PER_S", 0.0)
        async with serving() as (_, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            size = 4 * FREE_PARTS
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % size)
            for _ in range(size):
                writer.write(b"x")
                await asyncio.sleep(0.0005)
            async with asyncio.timeout(60):
                assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            assert Body.received == size
            writer.transport.abort()

    asyncio.run(run())


def test_connection_that_ends_while_it_waits_for_its_turn_is_let_go(monkeypatch):
    """Guards against connections of callers that have left, which wait in the queue of turns."""

    async def run():
        monkeypatch.setattr(read_turns, "SHARED_PARTS_PER_S", 0.0)
        monkeypatch.setattr(read_turns, "TURN_INTERVAL_S", 3600.0)
        async with serving() as (server, port):
            writers = []
            for _ in range(3):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                chunks = BYTE_CHUNK * (2 * SHARED_PARTS)
                writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks)
                writers.append(writer)
            async with asyncio.timeout(30):
                while server._turns.waiting < 2:
                    await asyncio.sleep(0.01)
            async with asyncio.timeout(30):
                await server.close_all_connections()
            for writer in writers:
                writer.transport.abort()

    asyncio.run(run())
