"""Guards against a cancelled task that ends the exchange which got its transfer meanwhile."""

import asyncio
import contextlib

from fireflyferry.transport import CurlTransport, Exchange, fetch
from fireflyferry.transport.fetch import _CollectedAnswer

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
TIMEOUT_S = 5.0


class ReusingTransport(CurlTransport):
    """Cancels the first task once its transfer has ended, and starts the next exchange at once."""

    first: "asyncio.Task | None" = None
    later: "asyncio.Future | None" = None
    exchange: "Exchange | None" = None

    def _finish(self, *arguments, **keywords):
        super()._finish(*arguments, **keywords)
        if self.later is None:
            assert not self.first.done()
            self.first.cancel()
            answer = _CollectedAnswer(None, None, self.answer_memory)
            self.later = self.start(self.exchange, answer).done


def test_cancelled_task_does_not_end_a_later_exchange():
    async def run():
        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(ANSWER)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        transport = ReusingTransport(force_instance=True)
        transport.exchange = Exchange(address, "GET", "/", [], None, TIMEOUT_S)
        try:
            transport.first = asyncio.ensure_future(fetch(transport, transport.exchange))
            await asyncio.wait([transport.first])
            assert transport.first.cancelled()
            async with asyncio.timeout(2 * TIMEOUT_S):
                assert (await transport.later).error == 0
            assert transport.active == 0
            assert (await fetch(transport, transport.exchange)).body == b"body"
        finally:
            transport.close()
            server.close()

    asyncio.run(run())


def test_cancelled_task_ends_its_own_exchange():
    async def run():
        closed = asyncio.Event()

        async def serve(reader, writer):
            with contextlib.suppress(ConnectionResetError):
                await reader.read()
            closed.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        transport = CurlTransport(force_instance=True)
        exchange = Exchange(address, "GET", "/", [], None, TIMEOUT_S)
        try:
            task = asyncio.ensure_future(fetch(transport, exchange))
            await asyncio.sleep(0.05)
            task.cancel()
            async with asyncio.timeout(TIMEOUT_S):
                await closed.wait()
            assert transport.active == 0
        finally:
            transport.close()
            server.close()

    asyncio.run(run())
