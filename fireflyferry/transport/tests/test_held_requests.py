"""Guards against requests that arrive after their sender has given them up."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys

import pytest

from fireflyferry.transport import CurlTransport, Exchange, fetch
from fireflyferry.transport.fetch import complete_body

# More than the buffers of both ends hold, so that a part stays in the kernel of the sender, as
# when a cut link holds a request up.
BODY = b"x" * (16 << 20)
TIMEOUT_S = 0.3


class HoldingServer:
    """Server that reads nothing until `read_rest` is called."""

    async def __aenter__(self):
        self._connected = asyncio.Event()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        writer.transport.pause_reading()
        self._reader, self._writer = reader, writer
        self._connected.set()

    async def wait_for_request(self):
        """Wait until a connection is open and the sender's buffer has had time to fill."""
        await self._connected.wait()
        await asyncio.sleep(TIMEOUT_S / 2)

    async def read_rest(self):
        """Read what arrives until the end; return its size, and whether it ended with a reset."""
        self._writer.transport.resume_reading()
        size = 0
        try:
            while data := await self._reader.read(1 << 16):
                size += len(data)
        except ConnectionResetError:
            return size, True
        return size, False


def exchange_to(server, timeout_s=TIMEOUT_S):
    return Exchange(server.address, "POST", "/grant", [], complete_body(BODY), timeout_s)


async def time_out(server, transport):
    assert (await fetch(transport, exchange_to(server))).timed_out


async def cancel(server, transport):
    task = asyncio.ensure_future(fetch(transport, exchange_to(server, 30.0)))
    await server.wait_for_request()
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def close(server, transport):
    task = asyncio.ensure_future(fetch(transport, exchange_to(server, 30.0)))
    await server.wait_for_request()
    transport.close()
    task.cancel()


@pytest.mark.parametrize("give_up", [time_out, cancel, close])
def test_bytes_of_a_request_that_was_given_up_do_not_arrive(give_up):
    """Guards against two holders of keys, as a grant arrives after the keys have moved."""

    async def run():
        transport = CurlTransport(force_instance=True)
        async with HoldingServer() as server:
            try:
                await give_up(server, transport)
                size, was_reset = await server.read_rest()
            finally:
                if give_up is not close:
                    transport.close()
            assert was_reset and size < len(BODY)

    asyncio.run(run())


SENDER = """
import asyncio, sys
from fireflyferry.transport import CurlTransport, Exchange, fetch
from fireflyferry.transport.fetch import complete_body

async def run():
    body = complete_body(b"x" * int(sys.argv[2]))
    exchange = Exchange(sys.argv[1], "POST", "/grant", [], body, 60.0)
    await fetch(CurlTransport(force_instance=True), exchange)

asyncio.run(run())
"""


def test_bytes_of_a_request_do_not_arrive_after_its_process_was_killed():
    """Guards against the same where the VM that grants ends before its call does."""

    async def run():
        async with HoldingServer() as server:
            command = [sys.executable, "-c", SENDER, server.address, str(len(BODY))]
            process = subprocess.Popen(command)
            try:
                await server.wait_for_request()
            finally:
                os.kill(process.pid, signal.SIGKILL)
                process.wait()
            size, was_reset = await server.read_rest()
            assert was_reset and size < len(BODY)

    asyncio.run(run())
