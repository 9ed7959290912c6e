"""Callers that leave while bytes behind their request lie unread."""

import asyncio

import attrs
import pytest

from fireflyferry.gateway.tests.support import (
    make_config,
    make_route,
    make_settings,
    reply,
    request,
    request_bytes,
    run_with,
)
from fireflyferry.gateway.tests.test_stopping import forward_bytes
from fireflyferry.transport.request_server import READ_AHEAD_BYTES

LONG_DEADLINE = {"X-Deadline": "60000"}
CONFIG = make_config(
    routes=(
        make_route("read", "plain", timeout_s=60.0),
        make_route("write", "plain", timeout_s=60.0, idempotent=False),
    )
)


def get(request_id):
    return request_bytes("/read/", headers=LONG_DEADLINE, request_id=request_id)


def post(request_id, body_bytes=1):
    return request_bytes("/write/", "POST", LONG_DEADLINE, b"x" * body_bytes, request_id)


BEHIND = {
    "nothing": b"",
    "a request": get("b"),
    "several requests": b"".join(get(f"b{number}") for number in range(20)),
    "part of a head": get("b")[:-10],
    "part of a body": post("b", 1000)[:-10],
    "a request and part of another": get("b") + get("c")[:-10],
    "a body": post("b", READ_AHEAD_BYTES // 2),
    "bytes that are no request": b"\x00\r\n\r\n" * 10,
}


async def hold(seen, writer):
    """Answer only requests for the target `/read/now`."""
    if seen.target == "/read/now":
        writer.write(reply(seen))
    else:
        await asyncio.sleep(60)


def streams(running):
    """Return the connections with a request in flight."""
    program = running.program
    services = (program._caller_services, program._peer_services)
    return [each._connection.stream for one in services for each in one.in_flight._exchanges]


async def leave(running, upstream, port, first, behind):
    """Send a request and what is behind it, and close the connection once both have arrived."""
    _reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(first)
    await running.wait_until(lambda: upstream.seen)
    writer.write(behind)
    await running.wait_until(lambda: streams(running)[0]._read_buffer_size > 0 or not behind)
    writer.close()


@pytest.mark.parametrize("behind", BEHIND.values(), ids=BEHIND)
@pytest.mark.parametrize("from_peer", [False, True], ids=["caller", "other VM"])
def test_upstream_does_not_work_for_a_sender_that_has_left(behind, from_peer):
    """Guards against work for callers that left while a further request was in the buffer.

    Review case 5: the first request ran to its end, and then the second one ran.
    """
    first = forward_bytes(60.0, idempotent=True) if from_peer else get("a")

    async def scenario(running, upstream, store):
        vm = running.settings.vm
        port = vm.peer_port if from_peer else running.port
        await leave(running, upstream, port, first, behind)
        await running.wait_until(lambda: running.program._last_hop.busy == 0)
        assert (await request(running.port, "/read/now", request_id="z")).status == 200
        assert [seen.request_id for seen in upstream.seen][1:] == ["z"]
        assert running.program._in_flight() == 0

    run_with(hold, scenario, config=CONFIG)


def test_requests_behind_a_non_idempotent_one_do_not_run_after_the_sender_has_left():
    """Guards against the same where the first request goes on, since it may run only once."""

    async def scenario(running, upstream, store):
        released = asyncio.Event()

        async def hold_writes(seen, writer):
            if seen.method == "POST":
                await released.wait()
            writer.write(reply(seen))

        upstream._script = hold_writes
        await leave(running, upstream, running.port, post("a"), get("b"))
        exchanges = running.program._caller_services.in_flight._exchanges
        await running.wait_until(lambda: all(each._closed for each in exchanges))
        released.set()
        await running.wait_until(lambda: running.program._in_flight() == 0)
        assert (await request(running.port, "/read/", request_id="z")).status == 200
        assert [seen.request_id for seen in upstream.seen] == ["a", "z"]

    run_with(None, scenario, config=CONFIG)


def test_bytes_behind_a_request_take_bounded_memory():
    """Guards against a sender that fills the memory while its first request is handled."""

    async def scenario(running, upstream, store):
        _reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        writer.write(get("a"))
        await running.wait_until(lambda: upstream.seen)
        writer.write(post("b", 64 << 20))
        (stream,) = streams(running)
        await running.wait_until(lambda: stream._read_buffer_size >= READ_AHEAD_BYTES)
        for _ in range(20):
            assert (await request(running.port, "/read/now", request_id="z")).status == 200
        assert stream._read_buffer_size < 2 * READ_AHEAD_BYTES
        writer.transport.abort()

    # The process of the VM holds the bytes that the caller sends as well, up to 320 MB.
    settings = make_settings()
    settings = attrs.evolve(settings, vm=attrs.evolve(settings.vm, memory_mb=4096.0))
    run_with(hold, scenario, config=CONFIG, settings=settings)


def test_pipelined_requests_of_a_caller_that_stays_are_answered_in_order():
    async def scenario(running, upstream, store):
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        numbers = range(50)
        for number in numbers:
            writer.write(post(f"r{number}", 20_000))
        for number in numbers:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            assert head.startswith("HTTP/1.1 200") and f"X-Id: r{number}\r\n" in head
            assert await reader.readexactly(2) == b"ok"
        writer.close()

    run_with(None, scenario, config=CONFIG)
