"""Guards against answers of faulty upstreams that reach a caller as complete or as *not run*."""

import asyncio
import socket
import struct

import attrs
import pytest

from fireflyferry.gateway import last_hop
from fireflyferry.gateway.tests.support import (
    HEADER_NAMES,
    ScriptedUpstream,
    reply,
    request,
    run_with,
    upstream_content,
)

NOT_RUN = f"{HEADER_NAMES.not_run}: 1\r\n"
REFUSALS = pytest.mark.parametrize(
    "status", ["503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"]
)


def cut_head(seen):
    """Return a head without its length and its end."""
    head = f"HTTP/1.1 200 OK\r\n{HEADER_NAMES.request_id}: {seen.request_id}\r\n"
    return f"{head}{HEADER_NAMES.signature}: s\r\n".encode()


def cut_head_after_interim(seen):
    return b"HTTP/1.1 100 Continue\r\n\r\n" + cut_head(seen)


def cut_status_line(seen):
    return b"HTTP/1.1 200 OK\r\n"


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
        cut_head,
        cut_head_after_interim,
        cut_status_line,
        cut_body,
        cut_chunks,
        two_lengths,
        length_and_chunks,
        no_status,
    ],
)

# Heads that arrived whole and are invalid; the others are cut.
INVALID = (two_lengths, length_and_chunks, no_status)


async def serving(running):
    """Wait until the owner of the keys serves them."""
    owners = running.program._state.owners
    await running.wait_until(
        lambda: (table := owners.get("keyed")) is not None
        and all(each.serving for each in table.ranges)
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
        assert (got.status, got.complete) == (502 if broken in INVALID else 504, True)
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


class AnyId(str):
    """A request id that equals every other one."""

    __hash__ = str.__hash__

    def __eq__(self, other):
        return True


@REFUSALS
@pytest.mark.parametrize("guarded", [True, False])
def test_earlier_refusal_written_again_is_not_the_answer(guarded, status, monkeypatch):
    """Guards against a false *not run*, for which a request would run once more.

    Load pattern: an upstream refuses a request, then runs the next one on the same connection and
    writes the refusal again before its answer.
    """
    if not guarded:
        monkeypatch.setattr(last_hop, "find_header", lambda *_: AnyId())
    refusals, ran = [], []

    async def refuse_then_run(seen, writer):
        if not refusals:
            refusals.append(reply(seen, b"", status, NOT_RUN))
            writer.write(refusals[0])
            return
        ran.append(seen.request_id)
        writer.write(refusals[0] + reply(seen))

    async def scenario(running, upstream, store):
        first = await request(running.port, "/write/", "POST", body=b"1", request_id="refused")
        assert first.status == 503
        got = await request(running.port, "/write/", "POST", body=b"1", request_id="r1")
        assert [seen.connection for seen in upstream.seen] == [1, 1] and ran == ["r1"]
        assert got.status == (504 if guarded else 503)

    run_with(refuse_then_run, scenario)


@REFUSALS
def test_refusal_written_again_after_the_answer_is_dropped(status):
    """Guards against surplus bytes behind an answer that refuse the next request."""
    refusals = []

    async def refuse_twice(seen, writer):
        if not refusals:
            refusals.append(reply(seen, b"", status, NOT_RUN))
            writer.write(refusals[0] * 2)
        else:
            writer.write(reply(seen))

    async def scenario(running, upstream, store):
        await request(running.port, "/write/", "POST", body=b"1", request_id="a")
        got = await request(running.port, "/write/", "POST", body=b"1", request_id="b")
        assert got.status == 200
        assert [seen.connection for seen in upstream.seen] == [1, 2]

    run_with(refuse_twice, scenario)


def test_retry_after_a_refusal_does_not_use_its_connection():
    """Guards against the first attempt's refusal, written again, that has the id of the retry.

    Load pattern: the owner of a key sheds with free slots, so that it gets the request again.
    """
    refusals = {}

    async def refuse_per_connection(seen, writer):
        if seen.connection == 1:
            refusals[1] = refusals.get(1) or reply(seen, b"", "503 Unavailable", NOT_RUN)
            writer.write(refusals[1])
        else:
            writer.write(reply(seen, b"ran"))

    async def scenario(running, upstream, store):
        await serving(running)
        got = await request(running.port, "/keyed/", "POST", {HEADER_NAMES.key: "7"}, b"1")
        assert (got.status, got.body) == (200, b"ran")
        assert [seen.connection for seen in upstream.seen] == [1, 2]

    run_with(refuse_per_connection, scenario, pool="keyed")


def test_refusal_without_a_request_id_is_not_the_answer():
    """Guards against a false *not run* because of a refusal that names no request."""

    async def refuse(seen, writer):
        nameless = reply(attrs.evolve(seen, headers={"x-id": ""}), b"", "400 Bad Request", NOT_RUN)
        writer.write(nameless.replace(b"X-Id: \r\n", b""))

    async def scenario(running, upstream, store):
        got = await request(running.port, "/write/", "POST", body=b"1")
        assert (got.status, got.body) == (504, b"wrong_answer\n")

    run_with(refuse, scenario)


@pytest.mark.parametrize("status", ["503 Service Unavailable", "429 Slow Down", "408 Timeout"])
def test_status_that_promises_not_run_needs_the_not_run_header(status):
    """Guards against a promise to the caller that the upstream did not make.

    To callers, these statuses mean that the request has not run.
    """

    async def answer(seen, writer):
        writer.write(reply(seen, b"ran", status))

    async def scenario(running, upstream, store):
        got = await request(running.port, "/write/", "POST", body=b"1")
        assert (got.status, got.body) == (504, b"wrong_answer\n")
        assert len(upstream.seen) == 1

    run_with(answer, scenario)
