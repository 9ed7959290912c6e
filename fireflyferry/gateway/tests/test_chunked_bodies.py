"""Guards against valid bodies in chunks that are answered 400 or passed on changed."""

import asyncio

import pytest

from fireflyferry.gateway.tests.support import read_reply, request_bytes, run_with
from fireflyferry.transport.request_server import MAX_TRAILER_BYTES

HEAD = request_bytes("/write/", "POST", {"Transfer-Encoding": "chunked"})
# Bodies in chunks, and what they stand for.
BODIES = {
    "plain": (b"3\r\nabc\r\n0\r\n\r\n", b"abc"),
    "extension": (b'3;n=1;q="a b"\r\nabc\r\n2 ; x\r\nde\r\n0;last\r\n\r\n', b"abcde"),
    "long extension": (b"3;n=" + b"x" * 3000 + b"\r\nabc\r\n0\r\n\r\n", b"abc"),
    "trailers": (b"3\r\nabc\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n", b"abc"),
    "zeros": (b"003\r\nabc\r\n000\r\n\r\n", b"abc"),
    "empty with trailer": (b"0\r\nX-Sum: 1\r\n\r\n", b""),
}


async def send(running, data, pieces):
    """Send bytes whole or one by one, and a request behind them; return both answers."""
    reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
    data += request_bytes("/read/", request_id="behind")
    step = 1 if pieces else len(data)
    for at in range(0, len(data), step):
        writer.write(data[at : at + step])
        await asyncio.sleep(0)
    replies = [await read_reply(reader), await read_reply(reader)]
    writer.close()
    return replies


@pytest.mark.parametrize("pieces", [False, True], ids=["whole", "bytes"])
@pytest.mark.parametrize(("sent", "body"), BODIES.values(), ids=BODIES)
def test_body_in_chunks_is_passed_on_without_extensions_and_trailers(sent, body, pieces):
    async def scenario(running, upstream, store):
        replies = await send(running, HEAD + sent, pieces)
        assert [each.status for each in replies] == [200, 200]
        assert [(each.request_id, each.body) for each in upstream.seen] == [
            ("r1", body),
            ("behind", b""),
        ]
        assert not any("sum" in name for name in upstream.seen[0].headers)

    run_with(None, scenario)


@pytest.mark.parametrize(
    "sent",
    [
        b"3;n=1\r\nabcd\r\n0\r\n\r\n",
        b"x\r\nabc\r\n0\r\n\r\n",
        b";n=1\r\nabc\r\n0\r\n\r\n",
        b"0\r\n" + b"X-Long: 1\r\n" * (MAX_TRAILER_BYTES // 10) + b"\r\n",
    ],
)
def test_body_in_malformed_chunks_is_not_passed_on(sent):
    """Guards against bytes of one request that are read as another."""

    async def scenario(running, upstream, store):
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        writer.write(HEAD + sent + request_bytes("/read/", request_id="behind"))
        answer = await reader.read()
        assert not answer or answer.startswith(b"HTTP/1.1 400")
        assert not upstream.seen
        writer.close()

    run_with(None, scenario)
