"""Guards against answers of faulty upstreams that reach a caller as complete."""

import asyncio
import socket
import struct

import pytest

from fireflyferry.gateway.tests.support import (
    HEADER_NAMES,
    ScriptedUpstream,
    reply,
    request,
    run_with,
    upstream_content,
)


def cut_head(seen):
    """Return a head without its length and its end."""
    head = f"HTTP/1.1 200 OK\r\n{HEADER_NAMES.request_id}: {seen.request_id}\r\n"
    return f"{head}{HEADER_NAMES.signature}: s\r\n".encode()


def cut_body(seen):
    return reply(seen, b"body")[:-1]


def cut_chunks(seen):
    return cut_head(seen) + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"


def two_lengths(seen):
    return reply(seen, b"body", extra_headers="Content-Length: 2\r\n")


def length_and_chunks(seen):
    return reply(seen, b"4\r\nbody\r\n0\r\n\r\n", extra_headers="Transfer-Encoding: chunked\r\n")


def no_status(seen):
    return reply(seen, b"body", "abc")


BROKEN = pytest.mark.parametrize(
    "broken",
    [
        cut_body,
        cut_chunks,
        two_lengths,
        length_and_chunks,
        no_status,
    ],
)


@BROKEN
@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
def test_broken_answer_is_an_unknown_outcome(broken, kept):
    """Guards against an empty or short answer, framed as whole, and against a second send."""

    async def answer(seen, writer):
        if seen.request_id == "first":
            writer.write(reply(seen))
            return True
        writer.write(broken(seen))
        return False

    async def scenario(running, upstream, store):
        if kept:
            assert (await request(running.port, "/write/", request_id="first")).status == 200
        got = await request(running.port, "/write/", "POST", body=b"1")
        assert (got.status, got.complete) == (504, True)
        assert "x-signature" not in got.headers and "retry-after" not in got.headers
        assert [seen.request_id for seen in upstream.seen].count("r1") == 1

    run_with(answer, scenario)


@BROKEN
def test_idempotent_request_is_sent_again_after_a_broken_answer(broken):
    """Guards against a broken answer that ends a request which another upstream would answer."""
    seen_ids = []

    async def break_first(seen, writer):
        seen_ids.append(seen.request_id)
        writer.write(broken(seen) if len(seen_ids) == 1 else reply(seen, b"whole"))
        return len(seen_ids) > 1

    async def scenario(running, upstream, store):
        async with ScriptedUpstream(break_first) as other:
            await store.put("upstreams", "u2", upstream_content("u2", other.port))
            await running.wait_until(lambda: len(list(running.program._state.upstreams)) == 2)
            got = await request(running.port, "/read/")
            assert (got.status, got.body, seen_ids) == (200, b"whole", ["r1", "r1"])

    run_with(break_first, scenario)


@pytest.mark.parametrize("resets", [False, True])
def test_body_without_a_length_ends_with_its_connection(resets):
    """Guards against a body that is cut by a reset and framed as whole."""

    async def answer(seen, writer):
        writer.write(cut_head(seen) + b"\r\nbody")
        await writer.drain()
        if resets:
            await asyncio.sleep(0.1)
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return False

    async def scenario(running, upstream, store):
        got = await request(running.port, "/write/", "POST", body=b"1")
        assert got.status == (504 if resets else 200)
        assert resets or (got.body, got.complete) == (b"body", True)

    run_with(answer, scenario)
