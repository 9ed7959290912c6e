"""Guards against requests that reach an upstream after their callers have left.

Review case 10: a request that may run once stayed in its queue when its caller closed the
connection, and ran seconds later.
"""

import asyncio
import contextlib
import socket
import struct

import pytest

from fireflyferry.gateway.peer_client import LEFT_PATH, PeerClient
from fireflyferry.gateway.tests.support import (
    FakeStore,
    ScriptedUpstream,
    gateway,
    make_config,
    make_route,
    make_settings,
    read_reply,
    reply,
    request_bytes,
    run_with,
    upstream_content,
)
from fireflyferry.gateway.tests.test_stopping import forward_bytes
from fireflyferry.messages.codec import unstructure
from fireflyferry.transport.request_server import READ_AHEAD_BYTES

LONG_DEADLINE = {"X-Deadline": "60000"}
CONFIG = make_config(
    routes=(
        make_route("read", "plain", timeout_s=60.0, target_latency_s=60.0),
        make_route(
            "write",
            "plain",
            timeout_s=60.0,
            target_latency_s=60.0,
            idempotent=False,
            max_attempts=3,
        ),
    )
)
SLOTS = 1
HELD = ["held", "prefetched"]
OPEN = []  # a connection without a reference to its writer would be closed


@pytest.fixture(autouse=True)
def forget_connections():
    yield
    OPEN.clear()


def post(request_id):
    return request_bytes("/write/", "POST", LONG_DEADLINE, b"x", request_id)


class Gate:
    """Script of an upstream that answers once it is opened."""

    def __init__(self, status="200 OK", headers=""):
        self.opened = asyncio.Event()
        self._status, self._headers = status, headers

    async def __call__(self, seen, writer):
        await self.opened.wait()
        writer.write(reply(seen, b"ok", self._status, self._headers))


async def open_caller(port, data):
    """Send bytes on a new connection; return its streams."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    OPEN.append(writer)
    return reader, writer


async def fill(running, upstream):
    """Take the slot of an upstream, and the place for a request that waits inside it."""
    for name in HELD:
        await open_caller(running.port, post(name))
        await running.wait_until(lambda name=name: name in seen_ids(upstream))


def close(writer):
    writer.close()


def reset(writer):
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.close()


def half_close(writer):
    writer.write_eof()


def close_behind_another(writer):
    writer.write(post("behind"))
    writer.close()


def seen_ids(upstream):
    return [each.request_id for each in upstream.seen]


@pytest.mark.parametrize("leave", [close, reset, half_close, close_behind_another])
@pytest.mark.parametrize("from_peer", [False, True], ids=["caller", "other VM"])
def test_request_that_waits_for_a_slot_ends_when_its_sender_leaves(leave, from_peer):
    """Guards against a queue in which a request outlives its sender, and holds up the next."""

    async def scenario(running, upstream, store):
        gate = upstream._script = Gate()
        last_hop = running.program._last_hop
        await fill(running, upstream)
        port = running.settings.vm.peer_port if from_peer else running.port
        first = forward_bytes(60.0) if from_peer else post("r1")
        _, writer = await open_caller(port, first)
        await running.wait_until(lambda: last_hop.waiting == 1)
        stays, _ = await open_caller(running.port, post("stays"))
        await running.wait_until(lambda: last_hop.waiting == 2)
        leave(writer)
        await running.wait_until(lambda: last_hop.waiting == 1)
        gate.opened.set()
        assert (await read_reply(stays)).status == 200
        assert seen_ids(upstream) == [*HELD, "stays"]

    run_with(None, scenario, config=CONFIG, slots=SLOTS)


def test_request_at_its_upstream_goes_on_when_its_caller_leaves():
    """Guards against a non-idempotent request that is cut halfway."""

    async def scenario(running, upstream, store):
        gate = upstream._script = Gate()
        _, writer = await open_caller(running.port, post("a"))
        await running.wait_until(lambda: upstream.seen)
        writer.close()
        exchanges = running.program._caller_services.in_flight._exchanges
        await running.wait_until(lambda: all(each._closed for each in exchanges))
        assert running.program._last_hop.busy == 1 and upstream.closed_by_sender == 0
        gate.opened.set()
        await running.wait_until(lambda: running.program._in_flight() == 0)
        assert seen_ids(upstream) == ["a"]

    run_with(None, scenario, config=CONFIG, slots=SLOTS)


def test_refused_request_of_a_caller_that_has_left_goes_to_no_other_upstream():
    """Guards against a retry for a caller that left while the first upstream had the request."""

    async def run():
        store, gate = FakeStore(), Gate("503 Busy", "X-Not-Run: 1\r\n")
        async with ScriptedUpstream(gate) as one, ScriptedUpstream(gate) as other:
            await store.put("configs", "main", unstructure(CONFIG))
            for name, each in (("u1", one), ("u2", other)):
                await store.put("upstreams", name, upstream_content(name, each.port))
            async with gateway(store) as running:
                _, writer = await open_caller(running.port, post("a"))
                await running.wait_until(lambda: one.seen or other.seen)
                writer.close()
                exchanges = running.program._caller_services.in_flight._exchanges
                await running.wait_until(lambda: all(each._closed for each in exchanges))
                gate.opened.set()
                await running.wait_until(lambda: running.program._in_flight() == 0)
                assert len(one.seen) + len(other.seen) == 1

    asyncio.run(run())


def test_end_behind_a_full_buffer_is_found_before_a_request_is_sent():
    """Guards against a caller whose end is not read, since too much lies behind its request."""

    async def scenario(running, upstream, store):
        gate = upstream._script = Gate()
        last_hop = running.program._last_hop
        await fill(running, upstream)
        behind = b"".join(post(f"b{number}") for number in range(2 * READ_AHEAD_BYTES // 100))
        _, writer = await open_caller(running.port, post("a") + behind)
        await running.wait_until(lambda: last_hop.waiting == 1)
        with contextlib.suppress(OSError):
            await asyncio.wait_for(writer.drain(), 1.0)
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.1)
        gate.opened.set()
        await running.wait_until(lambda: running.program._in_flight() == 0)
        assert seen_ids(upstream) == HELD

    run_with(None, scenario, config=CONFIG, slots=SLOTS)


@contextlib.asynccontextmanager
async def two_vms(script):
    """Yield a first hop, its last hop in another data centre, and the upstream there."""
    store = FakeStore()
    async with ScriptedUpstream(script) as upstream:
        await store.put("configs", "main", unstructure(CONFIG))
        content = upstream_content("u1", upstream.port, slots=SLOTS)
        await store.put("upstreams", "u1", content)
        async with (
            gateway(store, make_settings("vm-1", "dc-2")) as first,
            gateway(store, make_settings("vm-2", "dc-1")) as last,
        ):
            for each in (first, last):
                await each.wait_until(lambda each=each: len(each.program._state.vms) == 2)
            yield first, last, upstream


@pytest.mark.parametrize("told_by", ["reset", "message"])
def test_last_hop_learns_that_a_caller_of_another_vm_has_left(told_by, monkeypatch):
    """Guards against a request in the queue of a VM that does not learn of the caller's leaving.

    A reset that is lost on the way is not sent again, so a message says the same.
    """
    posted = []
    post_message = PeerClient._post

    async def record_post(self, vm, path, body):
        posted.append((path, body))
        if path == LEFT_PATH and told_by == "reset":
            return True
        return await post_message(self, vm, path, body)

    monkeypatch.setattr(PeerClient, "_post", record_post)

    async def run():
        gate = Gate()
        async with two_vms(gate) as (first, last, upstream):
            await fill(last, upstream)
            if told_by == "message":
                # The transport forgets the transfer and leaves its connection open.
                transport = first.program._transport
                monkeypatch.setattr(transport, "_abandon", lambda transfer: None)
            _, writer = await open_caller(first.port, post("a"))
            await last.wait_until(lambda: last.program._last_hop.waiting == 1)
            writer.close()
            await last.wait_until(lambda: last.program._last_hop.waiting == 0)
            assert (LEFT_PATH, b"a") in posted
            gate.opened.set()
            await last.wait_until(lambda: last.program._in_flight() == 0)
            assert seen_ids(upstream) == HELD

    asyncio.run(run())


def test_message_about_another_request_ends_none():
    """Guards against a message that ends the requests of callers that are still there."""

    async def scenario(running, upstream, store):
        gate = upstream._script = Gate()
        reader, _ = await open_caller(running.settings.vm.peer_port, forward_bytes(60.0))
        await running.wait_until(lambda: upstream.seen)
        message = request_bytes(LEFT_PATH, "POST", body=b"r2")
        told, _ = await open_caller(running.settings.vm.peer_port, message)
        assert (await read_reply(told)).status == 204
        gate.opened.set()
        assert (await read_reply(reader)).status == 200

    run_with(None, scenario, config=CONFIG)
