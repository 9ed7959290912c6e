"""Guards against an exchange that cannot be sent and ends what made it, or is sent as another."""

import asyncio

import attrs
import pytest

from fireflyferry.transport import CurlTransport, Exchange, fetch

ANSWER = b"HTTP/1.1 204 No Content\r\n\r\n"


# Guards against an odd id or address of another system in a header, a target or a URL.
@pytest.mark.parametrize(
    ("field", "value"),
    [
        *(("address", odd) for odd in ("", "雪:80", "a b:80", "127.0.0.1:80\r\n", "127.0.0.1:x")),
        *(("address", f"127.0.0.1:{port}") for port in (65_536, -1, "9" * 30)),
        *(("target", odd) for odd in ("/雪", "/ HTTP/1.1\r\nX-Odd: 1\r\n\r\n", "/\0")),
        *(("headers", [("X-Id", odd)]) for odd in ("雪", "a\r\nX-Odd: 1", "a\nX-Odd: 1", "a\0b")),
        ("headers", [("X-Odd: 1\r\nX-Id", "a")]),
        ("timeout_s", float("inf")),
        ("timeout_s", float("nan")),
    ],
    ids=ascii,
)
def test_exchange_that_cannot_be_sent_fails_as_not_sent(field, value):
    async def run():
        received = []

        async def serve(reader, writer):
            received.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(ANSWER)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        good = Exchange(address, "GET", "/", [], None, 5.0)
        transport = CurlTransport(force_instance=True)
        try:
            result = await fetch(transport, attrs.evolve(good, **{field: value}))
            assert (result.complete, result.sent, received) == (False, False, [])
            assert transport.active == 0
            assert (await fetch(transport, good)).status == 204
        finally:
            transport.close()
            server.close()

    asyncio.run(run())
