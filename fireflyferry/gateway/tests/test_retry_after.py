"""Upstreams that refuse a request with Retry-After get no requests for that time."""

import asyncio
import contextlib

import attrs
import pytest

from fireflyferry.gateway import last_hop
from fireflyferry.gateway.calls import not_run
from fireflyferry.gateway.peer_messages import read_result, write_result
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
from fireflyferry.gateway.tests.test_broken_answers import serving
from fireflyferry.messages.codec import unstructure
from fireflyferry.telemetry import Reason

NOT_RUN = f"{HEADER_NAMES.not_run}: 1\r\n"
QUIET = b"upstream_quiet\n"
ROUTES = {"plain": ("write", {}), "keyed": ("keyed", {HEADER_NAMES.key: "1"})}


def refuse(seen, retry_after="Retry-After: 30\r\n", status="503 Service Unavailable"):
    return reply(seen, b"", status, f"{NOT_RUN}{retry_after}Connection: close\r\n")


def other_id(seen):
    return refuse(attrs.evolve(seen, headers={HEADER_NAMES.request_id.lower(): "other"}))


def answer_first_with(make_reply):
    """Return a script that answers the first request so, and the others with success."""
    answered = []

    async def answer(seen, writer):
        writer.write(reply(seen) if answered else make_reply(seen))
        answered.append(seen)
        return len(answered) > 1

    return answer


def send(running, number, route="write", **headers):
    return request(running.port, f"/{route}/", "POST", headers, body=b"1", request_id=f"r{number}")


@pytest.mark.parametrize(
    ("pool", "route", "headers"),
    [("plain", "read", {}), ("plain", "write", {}), ("keyed", "keyed", {HEADER_NAMES.key: "1"})],
    ids=["idempotent", "non-idempotent", "keyed"],
)
def test_request_is_refused_at_once_with_the_time_left(pool, route, headers):
    """Guards against requests, retries included, that reach an upstream in its quiet period."""

    async def scenario(running, upstream, store):
        if pool == "keyed":
            await serving(running)
        for number in range(3):
            got = await send(running, number, route, **headers)
            assert got.status == 503 and 20 < float(got.headers["retry-after"]) <= 30
        assert got.body == QUIET and len(upstream.seen) == 1

    run_with(answer_first_with(refuse), scenario, pool)


NOT_COUNTED = {
    "429": lambda seen: refuse(seen, status="429 Too Many Requests"),
    "date": lambda seen: refuse(seen, "Retry-After: Wed, 21 Oct 2037 07:28:00 GMT\r\n"),
    "other-id": other_id,
    "may-have-run": lambda seen: refuse(seen).replace(b"X-Not-Run", b"X-Other"),
    "cut": lambda seen: refuse(seen).replace(b"Content-Length: 0", b"Content-Length: 1"),
}


@pytest.mark.parametrize("make_reply", NOT_COUNTED.values(), ids=NOT_COUNTED)
def test_other_answers_begin_no_period(make_reply):
    """Guards against an upstream that gets nothing through a damaged or a foreign answer."""

    async def scenario(running, upstream, store):
        await send(running, 1)
        assert (await send(running, 2)).status == 200

    run_with(answer_first_with(make_reply), scenario)


@pytest.mark.parametrize("has_other", [False, True], ids=["one", "shared-last-hop"])
def test_waiting_request_is_refused_or_moved_when_the_period_begins(has_other, caplog):
    """Guards against requests that wait at an upstream which will get none of them in time."""
    caplog.set_level("INFO")
    all_sent = asyncio.Event()

    async def refuse_first(seen, writer):
        await all_sent.wait()
        if seen.request_id == "r0":
            writer.write(refuse(seen))
            return False
        await asyncio.sleep(0.3)
        writer.write(reply(seen))
        return True

    async def scenario(running, upstream, store):
        hop, sends = running.program._last_hop, []
        for number in range(3):
            sends.append(asyncio.ensure_future(send(running, number)))
            await running.wait_until(lambda n=number: hop.busy + hop.waiting == n + 1)
        assert hop.waiting == 1
        async with ScriptedUpstream() as other:
            if has_other:
                await add_other_candidate(running, store, other.port)
            all_sent.set()
            await sends[0]
            assert hop.waiting == 0
            second, third = await asyncio.gather(*sends[1:])
        assert (second.status, len(upstream.seen)) == (200, 2)
        failed = [each.request_id for each in caplog.records if each.msg == "attempt_failed"]
        if has_other:
            assert third.status == 200 and "r2" not in failed
        else:
            assert third.body == QUIET and float(third.headers["retry-after"]) > 20

    run_with(refuse_first, scenario, slots=1)


async def add_other_candidate(running, store, port):
    """Add an upstream, and let the last hop choose among both."""
    await store.put("upstreams", "u2", upstream_content("u2", port))
    upstreams = running.program._state.upstreams
    await running.wait_until(lambda: len(list(upstreams)) == 2)
    running.program._last_hop._candidates = lambda now_s, _: upstreams.ready(now_s, "plain")


def test_period_that_begins_while_a_request_connects_ends_it(monkeypatch):
    """Guards against a request sent late on a connection that was opened before the refusal."""
    refused = asyncio.Event()
    original = last_hop.fetch

    async def fetch_slowly(transport, exchange, *rest):
        if (HEADER_NAMES.request_id, "r1") in exchange.headers:
            await refused.wait()
        return await original(transport, exchange, *rest)

    monkeypatch.setattr(last_hop, "fetch", fetch_slowly)

    async def scenario(running, upstream, store):
        connecting = asyncio.ensure_future(send(running, 1))
        await running.wait_until(lambda: running.program._last_hop.busy == 1)
        await send(running, 0)
        refused.set()
        got = await connecting
        assert (got.status, got.body) == (503, QUIET)
        assert [seen.request_id for seen in upstream.seen] == ["r0"]

    run_with(answer_first_with(refuse), scenario)


def test_request_without_key_goes_to_another_upstream():
    """Guards against refusals while another upstream of the pool is available."""

    async def scenario(running, upstream, store):
        async with ScriptedUpstream() as other:
            await store.put("upstreams", "u2", upstream_content("u2", other.port))
            await running.wait_until(lambda: len(list(running.program._state.upstreams)) == 2)
            for number in range(12):
                assert (await send(running, number)).status == 200
            assert len(upstream.seen) <= 1

    run_with(answer_first_with(refuse), scenario)


def test_load_returns_in_steps_after_the_period():
    """Guards against all slots filled at once at the end of a period."""
    released = asyncio.Event()

    async def answer(seen, writer):
        if seen.request_id == "r0":
            writer.write(refuse(seen, "Retry-After: 0.2\r\n"))
            return False
        await released.wait()
        writer.write(reply(seen))
        return True

    async def scenario(running, upstream, store):
        got = await send(running, 0)
        assert got.status == 503 and float(got.headers["retry-after"]) <= 0.2
        quiet, run = running.program._quiet, running.program._state.upstreams.get("u1").run
        now_s = running.program._clock.monotonic_s
        await running.wait_until(lambda: not quiet.left_s(now_s(), run))
        sends = [asyncio.ensure_future(send(running, number)) for number in (1, 2, 3)]
        hop = running.program._last_hop
        await running.wait_until(lambda: hop.busy + hop.waiting == 3)
        assert (hop.busy, hop.waiting) == (1, 2)
        released.set()
        assert [got.status for got in await asyncio.gather(*sends)] == [200] * 3
        assert len(upstream.seen) == 4 and quiet.limit(run) is None

    run_with(answer, scenario)


def count_forwards(running):
    """Return a list that gets an entry for each request that a VM forwards."""
    peers, forwards = running.program._peers, []
    forward = peers.forward

    def counted(call, *rest):
        forwards.append(call)
        return forward(call, *rest)

    peers.forward = counted
    return forwards


@pytest.mark.parametrize(
    ("vms", "upstreams", "pool"),
    [(2, 1, "plain"), (4, 1, "plain"), (2, 2, "plain"), (4, 2, "plain"), (2, 1, "keyed")],
)
def test_first_hop_learns_of_the_period(vms, upstreams, pool):
    """Guards against requests forwarded in vain, and against a whole pool out for one upstream."""

    async def run():
        store = FakeStore()
        async with contextlib.AsyncExitStack() as stack:
            await store.put("configs", "main", unstructure(make_config()))
            script = answer_first_with(refuse)
            servers = [
                await stack.enter_async_context(ScriptedUpstream(script if n == 0 else None))
                for n in range(upstreams)
            ]
            for n, each in enumerate(servers):
                await store.put("upstreams", f"u{n}", upstream_content(f"u{n}", each.port, pool))
            running = [
                await stack.enter_async_context(gateway(store, make_settings(f"vm-{n}")))
                for n in range(vms)
            ]
            for each in running:
                state = each.program._state
                await each.wait_until(lambda state=state: len(state.vms) == vms)
                if pool == "keyed":
                    await serving(each)
            last_hop = state.last_hop(state.upstreams.get("u0")).vm_id
            first, last = (
                next(each for each in running if (each.settings.vm.vm_id == last_hop) is is_last)
                for is_last in (False, True)
            )
            route, headers = ROUTES[pool]
            if upstreams == 1:
                await send(last, 99, route, **headers)
            forwards = count_forwards(first)
            replies = [await send(first, number, route, **headers) for number in range(8)]
            if upstreams == 2:
                assert [got.status for got in replies] == [200] * 8
                assert len(servers[0].seen) <= 1
                return
            program = first.program
            run = program._state.upstreams.get("u0").run
            assert program._quiet.left_s(program._clock.monotonic_s(), run) > 20
            assert (len(servers[0].seen), len(forwards)) == (1, 1)
            assert {got.body for got in replies} == {QUIET}
            assert all(float(got.headers["retry-after"]) > 20 for got in replies)

    asyncio.run(run())


def test_refusal_of_a_last_hop_can_be_read_by_earlier_revisions():
    """Guards against a reason that makes earlier revisions drop the line of a result."""
    attempt = not_run(Reason.UPSTREAM_QUIET, 2.0)
    line = write_result(attempt)
    assert line == "n upstream_shed 0 2000 -1 0 -"
    assert read_result(line, None, "u1") == attrs.evolve(attempt, upstream_id="u1")
    shed = not_run(Reason.UPSTREAM_SHED, 2.0, reached=True)
    assert read_result(write_result(shed), None, "").reason is Reason.UPSTREAM_SHED
