"""Guards against requests that run twice and answers that are mixed up on kept connections.

Causes are second attempts, late answers and connections that the upstream drops.
"""

import asyncio

import attrs
import pytest

from fireflyferry.balancing import EntryVm, Upstream, VmDirectory
from fireflyferry.edges.system_clock import BootClock
from fireflyferry.gateway import peer_messages
from fireflyferry.gateway.calls import Call
from fireflyferry.gateway.envelopes import EnvelopeCodec
from fireflyferry.gateway.peer_client import FORWARD_PATH, PeerClient
from fireflyferry.gateway.peer_messages import RESULT_HEADER
from fireflyferry.gateway.tests.support import (
    HEADER_NAMES,
    read_reply,
    reply,
    request,
    run_with,
)
from fireflyferry.keyranges import UpstreamRun
from fireflyferry.telemetry import Outcome
from fireflyferry.transport import curl


@pytest.mark.parametrize("guarded", [True, False])
def test_reused_connection_that_closes_does_not_run_a_request_twice(guarded, monkeypatch):
    """Guards against curl's own resend of a non-idempotent request on a reused connection."""
    if not guarded:
        monkeypatch.setattr(curl._Transfer, "_before_send", lambda *_: curl.pycurl.PREREQFUNC_OK)
    answered = set()

    async def close_on_reuse(seen, writer):
        if seen.connection in answered:
            return False
        answered.add(seen.connection)
        writer.write(reply(seen))

    async def scenario(running, upstream, store):
        # Without a body, since curl cannot resend a body that comes from a callback.
        first = await request(running.port, "/write/", "DELETE", request_id="a")
        second = await request(running.port, "/write/", "DELETE", request_id="b")
        assert first.status == 200
        assert upstream.seen[1].connection == upstream.seen[0].connection, "not reused"
        runs = [seen.request_id for seen in upstream.seen].count("b")
        assert runs == (1 if guarded else 2)
        assert second.status == (504 if guarded else 200)

    run_with(close_on_reuse, scenario)


def test_upstream_that_drops_idle_connections_fails_one_request_only():
    """Guards against an unknown outcome of every non-idempotent request instead of only one.

    Load pattern: an upstream drops each idle connection without notice.
    """
    used = set()

    async def close_on_reuse(seen, writer):
        if seen.connection in used:
            return False
        used.add(seen.connection)
        writer.write(reply(seen))

    async def scenario(running, upstream, store):
        statuses = []
        for number in range(5):
            got = await request(running.port, "/write/", "POST", body=b"1", request_id=str(number))
            statuses.append(got.status)
        assert statuses == [200, 504, 200, 200, 200]
        assert len(upstream.seen) == 5

    run_with(close_on_reuse, scenario)


def test_late_second_answer_does_not_reach_another_caller():
    """Guards against surplus bytes on a kept connection that are taken for the next answer.

    The bytes arrive after the first answer and before the next request is sent.
    """

    async def answer_twice(seen, writer):
        writer.write(reply(seen, f"for {seen.request_id}".encode()))
        await writer.drain()
        if len(seen.request_id) == 1:
            await asyncio.sleep(0.05)
            writer.write(reply(seen, b"again"))

    async def scenario(running, upstream, store):
        for request_id in ("a", "b", "c"):
            got = await request(running.port, "/read/", request_id=request_id)
            # Late bytes that are read only after the request was sent count as a wrong answer.
            assert got.body in (f"for {request_id}".encode(), b"wrong_answer\n")
            await asyncio.sleep(0.1)

    run_with(answer_twice, scenario)


def test_answer_to_another_request_is_not_delivered():
    async def answer_with_other_id(seen, writer):
        writer.write(reply(attrs.evolve(seen, headers={HEADER_NAMES.request_id.lower(): "other"})))

    async def scenario(running, upstream, store):
        got = await request(running.port, "/write/", "POST", body=b"1")
        assert got.status == 504 and b"wrong_answer" in got.body

    run_with(answer_with_other_id, scenario)


def test_retry_does_not_use_the_connection_of_the_first_attempt():
    """Guards against a late answer to the first attempt, which has the same id as the retry.

    Found on caatinga-gw, scale-1 --seed 334957912817: a caller got a wrong body.
    """

    async def answer_other_request_first(seen, writer):
        other = attrs.evolve(seen, headers={HEADER_NAMES.request_id.lower(): "other"})
        if seen.connection == 1:
            writer.write(reply(other, b"stale"))
            writer.write(reply(seen, b"late answer to the first send"))
        else:
            writer.write(reply(seen, b"right"))

    async def scenario(running, upstream, store):
        owners = running.program._state.owners
        await running.wait_until(
            lambda: (table := owners.get("keyed")) is not None
            and all(each.serving for each in table.ranges)
        )
        got = await request(running.port, "/keyed/", headers={HEADER_NAMES.key: "7"})
        assert (got.status, got.body) == (200, b"right")
        assert [seen.connection for seen in upstream.seen] == [1, 2]

    run_with(answer_other_request_first, scenario, pool="keyed")


def test_vm_that_shuts_down_reads_a_forwarded_request_before_it_refuses_it():
    """Guards against a refusal that is lost, so that *not run* is taken for an unknown outcome.

    Closing a connection with unread bytes resets it. The body of a forwarded request may arrive
    after its head.
    """

    async def scenario(running, upstream, store):
        running.program._peer_services.in_flight.closed = True
        reader, writer = await asyncio.open_connection("127.0.0.1", running.settings.vm.peer_port)
        body = b"x" * 200_000
        head = f"POST {FORWARD_PATH} HTTP/1.1\r\nHost: f\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode())
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(1)
        writer.write(body)
        got = await read_reply(reader)
        assert got.status == 503
        result = got.headers[RESULT_HEADER.lower()]
        assert peer_messages.read_result(result, None, "u1").outcome is Outcome.NOT_RUN
        writer.close()

    run_with(None, scenario)


def test_forwarded_request_of_an_earlier_revision_is_refused_as_not_run():
    """Guards against unknown outcomes while the VMs of a fleet are replaced one after the other."""

    async def scenario(running, upstream, store):
        headers = {peer_messages.EARLIER_CALL_HEADER: "u1 1 plain -1 0 1 2 0 0 - 0 900 2000"}
        got = await request(running.settings.vm.peer_port, "/write/", "POST", headers, b"1")
        result = peer_messages.read_result(got.headers[RESULT_HEADER.lower()], None, "u1")
        assert result.outcome is Outcome.NOT_RUN and not result.reached
        assert not upstream.seen

    run_with(None, scenario)


def test_vm_of_an_earlier_revision_has_not_run_an_envelope():
    """Guards against the same, in the other direction: such a VM answers 404 to an envelope."""

    async def scenario():
        async def answer_not_found(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(answer_not_found, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        transport = curl.CurlTransport(force_instance=True)
        clock = BootClock()
        earlier_vm = EntryVm("vm-2", "i2", f"127.0.0.1:{port}", "dc-1")
        vms = VmDirectory(EntryVm("vm-1", "i1", "127.0.0.1:1", "dc-1"), {})
        client = PeerClient(clock, transport, vms, EnvelopeCodec(HEADER_NAMES))
        now_s = clock.monotonic_s()
        call = Call("r1", "POST", "/", [], b"1", "p", None, False, 1, 1, now_s, now_s, now_s + 2)
        upstream = Upstream(UpstreamRun("u1", 1), "p", "127.0.0.1:1", "dc-1", 2)
        attempt = await client.forward(call, upstream, earlier_vm)
        transport.close()
        server.close()
        return attempt

    attempt = asyncio.run(scenario())
    assert attempt.outcome is Outcome.NOT_RUN and not attempt.reached
