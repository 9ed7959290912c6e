"""Requests around the end of a graceful shutdown: taken, cut, refused, broken off."""

import asyncio
import time

import pytest

from fireflyferry.entry.limits import RequestLimits
from fireflyferry.entry.tests.support import (
    ScriptedUpstream,
    answer,
    entry_vms,
    read_reply,
    send_request,
)

LEADER, OTHER = 0, 1
HOPS = pytest.mark.parametrize("first_hop", [LEADER, OTHER])
DRAIN_TIME_S = 1.5


async def never_answer(request, writer):
    """Work on a request for longer than the drain."""
    await asyncio.sleep(30)


async def wait_until(condition):
    """Wait until a condition is true, for at most 10 s."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


def run_draining(scenario, script=never_answer, slots=2):
    """Run three entry VMs; await `scenario(cluster, upstream)`."""

    async def run():
        async with ScriptedUpstream(script) as upstream:
            limits = RequestLimits(drain_idle_s=0.1, cancel_grace_s=0.1)
            async with entry_vms(upstream.port, slots, limits) as cluster:
                await scenario(cluster, upstream)

    asyncio.run(run())


async def late_reply(cluster, vm_number, after_s):
    """Return the answer to a request on a connection that was open before the drain."""
    reader, writer = await asyncio.open_connection("127.0.0.1", cluster.public_ports[vm_number])
    await asyncio.sleep(0.05)
    blocked = asyncio.ensure_future(send_request(cluster.public_ports[vm_number], "/write/a"))
    await wait_until(lambda: cluster.paths[vm_number].snapshot().in_flight == 1)
    drained = asyncio.ensure_future(cluster.paths[vm_number].drain(DRAIN_TIME_S))
    await asyncio.sleep(after_s)
    writer.write(b"POST /write/b HTTP/1.1\r\nHost: r\r\nContent-Length: 1\r\n\r\n1")
    got = await read_reply(reader, "POST")
    writer.close()
    assert not await drained
    assert (await blocked).status == 504
    return got


@HOPS
def test_request_in_flight_is_answered_before_the_exit(first_hop):
    """Guards against a connection that is cut without an answer when the drain times out."""

    async def scenario(cluster, upstream):
        running = asyncio.ensure_future(send_request(cluster.public_ports[first_hop], "/write/a"))
        await wait_until(lambda: upstream.received)
        assert not await cluster.paths[first_hop].drain(DRAIN_TIME_S)
        got = await running
        assert (got.status, got.outcome, got.reason) == (504, "unknown", "broken_off")
        assert got.complete and got.headers["connection"] == "close"

    run_draining(scenario)


def test_forwarded_request_is_answered_before_the_exit_of_its_last_hop():
    """Guards against a connection between VMs that is cut without an answer."""

    async def scenario(cluster, upstream):
        running = asyncio.ensure_future(send_request(cluster.public_ports[OTHER], "/write/a"))
        await wait_until(lambda: upstream.received)
        assert not await cluster.paths[LEADER].drain(DRAIN_TIME_S)
        got = await running
        assert (got.status, got.reason) == (504, "broken_off")

    run_draining(scenario)


def test_request_that_waits_for_a_slot_is_refused_before_the_exit():
    """Guards against an unknown outcome of a request that was never passed on.

    Load pattern: all slots are taken by requests that last longer than the drain.
    """

    async def scenario(cluster, upstream):
        port, path = cluster.public_ports[LEADER], cluster.paths[LEADER]
        running = asyncio.ensure_future(send_request(port, "/write/a"))
        await wait_until(lambda: upstream.received)
        waiting = asyncio.ensure_future(send_request(port, "/write/b"))
        await wait_until(lambda: path.snapshot().in_flight == 2)
        assert not await path.drain(0.1)
        assert (await running).status == 504
        got = await waiting
        assert (got.status, got.outcome, got.reason) == (503, "not-run", "shutting_down")
        assert len(upstream.received) == 1

    run_draining(scenario, slots=1)


@HOPS
def test_request_taken_during_the_drain_ends_before_the_exit(first_hop):
    """Guards against passing on a request that its upstream may still work on at the exit.

    Load pattern: non-idempotent requests with deadlines beyond the exit, on kept connections.
    """

    async def scenario(cluster, upstream):
        got = await late_reply(cluster, first_hop, 0.1)
        assert (got.status, got.outcome, got.headers["connection"]) == (504, "unknown", "close")
        deadline_ms = int(upstream.received[1].headers["firefly-deadline-ms"])
        assert deadline_ms / 1000 < DRAIN_TIME_S - 0.1

    run_draining(scenario)


@HOPS
def test_late_request_whose_deadline_is_beyond_the_exit_is_refused(first_hop):
    """Guards against passing on a request shortly before the exit."""

    async def scenario(cluster, upstream):
        got = await late_reply(cluster, first_hop, 0.9)
        assert (got.status, got.outcome, got.reason) == (503, "not-run", "shutting_down")
        assert len(upstream.received) == 1

    run_draining(scenario)


@HOPS
def test_request_that_arrives_after_the_drain_is_refused(first_hop):
    """Guards against passing on a request between the end of the drain and the close."""

    async def scenario(cluster, upstream):
        assert await cluster.paths[first_hop].drain(DRAIN_TIME_S)
        got = await send_request(cluster.public_ports[first_hop], "/write/a")
        assert (got.status, got.reason) == (503, "shutting_down")
        assert not upstream.received

    run_draining(scenario)


def test_request_that_gets_a_slot_late_is_not_passed_on():
    """Guards against passing on, shortly before the exit, a request that came before the drain."""
    release = asyncio.Event()

    async def script(request, writer):
        await release.wait()
        writer.write(answer(request))

    async def scenario(cluster, upstream):
        port, path = cluster.public_ports[LEADER], cluster.paths[LEADER]
        running = asyncio.ensure_future(send_request(port, "/write/a"))
        await wait_until(lambda: upstream.received)
        waiting = asyncio.ensure_future(send_request(port, "/write/b"))
        await wait_until(lambda: path.snapshot().in_flight == 2)
        plan = path._services.stop_plan
        plan.cut_until_s, plan.answer_by_s = float("-inf"), time.monotonic() + 1.0
        release.set()
        assert (await running).status == 200
        got = await waiting
        assert (got.status, got.reason) == (503, "shutting_down")
        assert len(upstream.received) == 1

    run_draining(scenario, script, slots=1)
