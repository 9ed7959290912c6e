"""Slots and request ids when upstreams are gone or frozen, and when groups move."""

import asyncio
import random

import pytest

from fireflyferry.admission import QueueLimits
from fireflyferry.edges.base import UpstreamUnavailableError
from fireflyferry.entry.limits import RequestLimits
from fireflyferry.entry.seen_ids import SeenIds
from fireflyferry.entry.slots import SlotGate
from fireflyferry.entry.tests.support import (
    GROUP,
    ScriptedUpstream,
    SystemClock,
    entry_vms,
    send_request,
)
from fireflyferry.retries import NewId, OutcomeUnknown, new_request_id
from fireflyferry.telemetry import Reason


@pytest.mark.parametrize("end", ["confirmed", "gone", "grace_over"])
def test_slot_of_a_frozen_upstream_stays_occupied(end):
    """Guards against an upstream that has more requests than slots after it was frozen."""

    async def script(request, writer):
        await asyncio.sleep(1)

    async def run():
        grace_s = 0.1 if end == "grace_over" else 60.0
        limits = RequestLimits(
            cancel_timeout_s=0.02, cancel_retry_delay_s=0.02, cancel_grace_s=grace_s
        )
        async with (
            ScriptedUpstream(script) as upstream,
            entry_vms(upstream.port, limits=limits) as cluster,
        ):
            path, control = cluster.paths[0], cluster.controls[0]
            frozen = True

            async def cancel(address, request_id):
                if frozen:
                    raise UpstreamUnavailableError("frozen")

            control.cancel = cancel
            headers = [("Firefly-Deadline-Ms", "30")]
            reply = await send_request(cluster.public_ports[0], "/write/key", headers=headers)
            assert reply.reason == "timed_out"
            unit = upstream.received[0].headers["firefly-unit"]
            if end != "grace_over":
                await asyncio.sleep(0.15)
                assert path.in_flight("up-0", unit) == 1
            if end == "gone":
                path.upstream_gone("up-0")
            frozen = end != "confirmed"
            async with asyncio.timeout(2):
                while path.in_flight("up-0", unit):
                    await asyncio.sleep(0.01)

    asyncio.run(run())


def test_gone_upstream_is_noticed_after_a_lost_cancellation():
    """Guards against a slot that stays occupied because its cleanup task missed a cancellation."""

    async def script(request, writer):
        await asyncio.sleep(1)

    async def run():
        limits = RequestLimits(
            cancel_timeout_s=0.02, cancel_retry_delay_s=0.02, cancel_grace_s=60.0
        )
        async with (
            ScriptedUpstream(script) as upstream,
            entry_vms(upstream.port, limits=limits) as cluster,
        ):
            path, control = cluster.paths[0], cluster.controls[0]

            async def cancel(address, request_id):
                raise UpstreamUnavailableError("frozen")

            control.cancel = cancel
            last_hop = path._services.last_hop
            headers = [("Firefly-Deadline-Ms", "30")]
            await send_request(cluster.public_ports[0], "/write/key", headers=headers)
            unit = upstream.received[0].headers["firefly-unit"]
            last_hop._gone_upstreams.add("up-0")
            async with asyncio.timeout(20):
                while path.in_flight("up-0", unit):
                    await asyncio.sleep(0.01)

    asyncio.run(run())


def test_waiting_request_is_refused_when_its_upstream_is_gone():
    """Guards against callers that wait for an upstream that is gone for good."""

    async def run():
        gate = SlotGate(SystemClock(), 100)
        deadline_s = SystemClock().monotonic_s() + 5
        assert await gate.acquire("up", 1, QueueLimits(), "a", deadline_s) is None
        waiting = asyncio.ensure_future(gate.acquire("up", 1, QueueLimits(), "a", deadline_s))
        await asyncio.sleep(0)
        gate.drop_queue("up")
        assert await waiting is Reason.OWNER_UNAVAILABLE
        gate.release("up")

    asyncio.run(run())


@pytest.mark.parametrize("moment", ["waiting", "assigned"])
def test_cancelled_waiter_leaks_no_slot(moment):
    """Guards against a slot lost to a request that is cancelled as the slot is assigned to it."""

    async def run():
        gate = SlotGate(SystemClock(), 100)
        deadline_s = SystemClock().monotonic_s() + 5
        limits = QueueLimits()
        assert await gate.acquire("up", 1, limits, "a", deadline_s) is None
        waiting = asyncio.ensure_future(gate.acquire("up", 1, limits, "a", deadline_s))
        await asyncio.sleep(0)
        if moment == "assigned":
            gate.release("up")
            waiting.cancel()
        else:
            waiting.cancel()
            gate.release("up")
        with pytest.raises(asyncio.CancelledError):
            await waiting
        (state,) = gate.states()
        assert (state.busy, state.waiting) == (0, 0)

    asyncio.run(run())


def test_ids_after_a_group_or_bucket_was_gained():
    """Guards against a table that counts as complete after another VM led the group."""
    clock = SystemClock()
    seen_ids = SeenIds(clock, RequestLimits())
    seen_ids.group_gained(GROUP, 1)
    now_s, wall_s = clock.monotonic_s(), clock.wall_s() + 10

    def begin(term, issued_s, bucket=0):
        request_id = new_request_id(issued_s, random.Random(issued_s + bucket))
        return seen_ids.table(GROUP, term).begin(now_s, wall_s, request_id, bucket)

    assert begin(1, wall_s) == NewId()
    clock.wall_shift_s = 10.0
    seen_ids.bucket_gained(GROUP, 2, bucket=7)
    assert begin(2, wall_s, bucket=7) == OutcomeUnknown()
    assert begin(2, wall_s, bucket=8) == NewId()
    assert begin(3, wall_s, bucket=9) == OutcomeUnknown(), "a term that was not reported"
    seen_ids.group_lost(GROUP)
    assert len(seen_ids) == 0
