"""Upstreams that say in their answers that they leave."""

import asyncio
import contextlib

import attrs
import pytest

from fireflyferry.balancing import Standing
from fireflyferry.gateway.calls import not_run
from fireflyferry.gateway.peer_messages import write_result
from fireflyferry.gateway.tests.support import (
    HEADER_NAMES,
    FakeStore,
    ScriptedUpstream,
    gateway,
    make_config,
    make_settings,
    reply,
    request,
    run_with,
    upstream_content,
)
from fireflyferry.keyranges import UpstreamRun
from fireflyferry.messages.codec import unstructure
from fireflyferry.telemetry import Reason

LEAVING = f"{HEADER_NAMES.leaving}: 1\r\n"
NOT_RUN = f"{HEADER_NAMES.not_run}: 1\r\n"


def shed(seen):
    return reply(seen, b"", "503 Service Unavailable", NOT_RUN + LEAVING)


def other_id(seen):
    return reply(
        attrs.evolve(seen, headers={HEADER_NAMES.request_id.lower(): "other"}),
        b"",
        "200 OK",
        LEAVING,
    )


COUNTED = {
    "success": lambda seen: reply(seen, extra_headers=LEAVING),
    "failure": lambda seen: reply(seen, b"", "500 Internal Server Error", LEAVING),
    "refusal": shed,
}
NOT_COUNTED = {
    "value": lambda seen: reply(seen, extra_headers=f"{HEADER_NAMES.leaving}: 0\r\n"),
    "cut": lambda seen: reply(seen, b"body", extra_headers=LEAVING)[:-1],
    "other-id": other_id,
    "unsigned": lambda seen: reply(seen, extra_headers=LEAVING).replace(b"X-Signature", b"X-Other"),
    # Without a key, only another process at the address answers so.
    "other-process": lambda seen: reply(seen, b"", "421 Misdirected Request", NOT_RUN + LEAVING),
}


def standing(running, upstream_id="u1"):
    program = running.program
    return program._state.upstreams.standing(program._clock.monotonic_s(), upstream_id)


def answer_with(make_reply):
    async def answer(seen, writer):
        writer.write(make_reply(seen))
        return False

    return answer


@pytest.mark.parametrize("make_reply", COUNTED.values(), ids=COUNTED)
def test_answer_of_a_leaving_upstream_ends_new_requests(make_reply):
    """Guards against requests to an upstream whose entry in the store still says ready."""

    async def scenario(running, upstream, store):
        await request(running.port, "/write/", "POST", body=b"1")
        assert standing(running) is Standing.LEAVING
        got = await request(running.port, "/write/", "POST", body=b"1", request_id="r2")
        assert got.status == 503 and len(upstream.seen) == 1

    run_with(answer_with(make_reply), scenario)


@pytest.mark.parametrize("make_reply", NOT_COUNTED.values(), ids=NOT_COUNTED)
def test_answer_that_may_be_another_processs_marks_nothing(make_reply):
    """Guards against an upstream that is lost for good through a damaged or a foreign answer."""

    async def scenario(running, upstream, store):
        await request(running.port, "/write/", "POST", body=b"1")
        assert len(upstream.seen) == 1 and standing(running) is Standing.READY

    run_with(answer_with(make_reply), scenario)


def test_keys_of_a_leaving_upstream_move():
    """Guards against keys that stay with an upstream until the store reports its leaving."""

    async def scenario(running, upstream, store):
        owners = running.program._state.owners

        def serving(upstream_id):
            table = owners.get("keyed")
            return table is not None and all(
                each.serving and each.owner.upstream_id == upstream_id for each in table.ranges
            )

        await running.wait_until(lambda: serving("u1"))
        async with ScriptedUpstream() as other:
            await store.put("upstreams", "u2", upstream_content("u2", other.port, "keyed"))
            await running.wait_until(lambda: standing(running, "u2") is Standing.READY)
            headers = {HEADER_NAMES.key: "1"}
            assert (await request(running.port, "/keyed/", headers=headers)).status == 200
            await running.wait_until(lambda: serving("u2"))
            await running.wait_until(lambda: standing(running) is Standing.GONE)
            got = await request(running.port, "/keyed/", headers=headers, request_id="r2")
            assert got.status == 200 and [each.request_id for each in other.seen] == ["r2"]

    run_with(answer_with(COUNTED["success"]), scenario, pool="keyed")


@pytest.mark.parametrize("vms", [2, 4], ids=["own-last-hop", "shared-last-hop"])
@pytest.mark.parametrize("make_reply", COUNTED.values(), ids=COUNTED)
def test_both_vms_that_pass_an_answer_on_know_that_its_upstream_leaves(make_reply, vms):
    """Guards against a first hop that sends requests itself once it becomes the last hop."""

    async def run():
        store = FakeStore()
        async with contextlib.AsyncExitStack() as stack:
            upstream = await stack.enter_async_context(ScriptedUpstream(answer_with(make_reply)))
            await store.put("configs", "main", unstructure(make_config()))
            content = upstream_content("u1", upstream.port, run=UpstreamRun("u1", 7))
            await store.put("upstreams", "u1", content)
            running = [
                await stack.enter_async_context(gateway(store, make_settings(f"vm-{n}")))
                for n in range(vms)
            ]
            for each in running:
                state = each.program._state
                await each.wait_until(lambda state=state: len(state.vms) == vms)
            state = running[0].program._state
            last_hop = state.last_hop(state.upstreams.get("u1")).vm_id
            first, last = (
                next(e for e in running if (e.settings.vm.vm_id == last_hop) is is_last)
                for is_last in (False, True)
            )
            await request(first.port, "/write/", "POST", body=b"1")
            assert len(upstream.seen) == 1
            assert [standing(each) for each in (first, last)] == [Standing.LEAVING] * 2

    asyncio.run(run())


def test_line_of_a_result_is_the_same_for_a_leaving_upstream():
    """Guards against a line that VMs of an earlier revision cannot read."""
    attempt = not_run(Reason.UPSTREAM_SHED, reached=True)
    leaving = attrs.evolve(attempt, leaving=UpstreamRun("u1", 7))
    assert write_result(leaving) == write_result(attempt) == "n upstream_shed 1 0 -1 0 -"
