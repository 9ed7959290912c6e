"""Answers whose first line is none, from the upstream to the caller.

Guards against what an upstream sends in place of an answer and what a caller gets as one. Review of
the probe: 600 and 999 were passed on with the upstream's signature and body.
"""

import asyncio
import contextlib

import pytest

from fireflyferry.balancing import LoadTracker
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

# First line of the answer, and the caller's status.
FORMS = {
    "000": ("HTTP/1.1 000 None", 502),
    "001": ("HTTP/1.1 001 None", 502),
    "099": ("HTTP/1.1 099 None", 502),
    "600": ("HTTP/1.1 600 Unknown", 502),
    "999": ("HTTP/1.1 999 Unknown", 502),
    "one digit": ("HTTP/1.1 2 OK", 502),
    "two digits": ("HTTP/1.1 20 OK", 502),
    "four digits": ("HTTP/1.1 2000 OK", 502),
    "plus": ("HTTP/1.1 +20 OK", 502),
    "minus": ("HTTP/1.1 -20 OK", 502),
    "letters": ("HTTP/1.1 abc OK", 502),
    "digits and a letter": ("HTTP/1.1 20x OK", 502),
    "no status": ("HTTP/1.1", 502),
    "two spaces": ("HTTP/1.1  200 OK", 502),
    "tab": ("HTTP/1.1\t200 OK", 502),
    "lower case": ("http/1.1 200 OK", 502),
    "0.9": ("HTTP/0.9 200 OK", 502),
    "1.2": ("HTTP/1.2 200 OK", 502),
    "2.0": ("HTTP/2.0 200 OK", 502),
    "no HTTP": ("SSH-2.0-server", 502),
    "101 without an upgrade": ("HTTP/1.1 101 Switching Protocols", 502),
    "200": ("HTTP/1.1 200 OK", 200),
    "200 without a reason": ("HTTP/1.1 200 ", 200),
    "200 without a space": ("HTTP/1.1 200", 200),
    "200 of 1.0": ("HTTP/1.0 200 OK", 200),
    "299": ("HTTP/1.1 299 Other", 299),
    "300": ("HTTP/1.1 300 Choices", 300),
    "404": ("HTTP/1.1 404 Not Found", 404),
    "499": ("HTTP/1.1 499 Other", 499),
    "500": ("HTTP/1.1 500 Error", 500),
    "599": ("HTTP/1.1 599 Other", 599),
}
EACH_FORM = pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
INVALID = [each for each in FORMS.values() if each[1] == 502]


def with_first_line(seen, line):
    _, _, rest = reply(seen, b"sent").partition(b"\r\n")
    return line.encode() + b"\r\n" + rest


def answer_with(form):
    async def answer(seen, writer):
        writer.write(with_first_line(seen, form[0]))

    return answer


def check(got, form):
    assert (got.status, got.complete) == (form[1], True)
    if form in INVALID:
        assert got.body == b"invalid_answer\n"
        assert "x-signature" not in got.headers and "retry-after" not in got.headers
    else:
        assert got.body == b"sent"


@EACH_FORM
@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
def test_caller_gets_a_valid_status(form, kept, caplog, monkeypatch):
    failed = []
    on_no_answer = LoadTracker.on_no_answer

    def record(self, now_s, run):
        failed.append(run.upstream_id)
        return on_no_answer(self, now_s, run)

    monkeypatch.setattr(LoadTracker, "on_no_answer", record)

    async def answer(seen, writer):
        line = "HTTP/1.1 200 OK" if seen.request_id == "first" else form[0]
        writer.write(with_first_line(seen, line))

    async def scenario(running, upstream, store):
        if kept:
            assert (await request(running.port, "/write/", request_id="first")).status == 200
        check(await request(running.port, "/write/", "POST", body=b"1"), form)
        assert [seen.request_id for seen in upstream.seen].count("r1") == 1
        if form in INVALID:
            await running.wait_until(lambda: upstream.closed_by_sender == 1)

    with caplog.at_level("INFO"):
        run_with(answer, scenario)
    logged = [each for each in caplog.records if each.msg == "upstream_answer_unusable"]
    assert [str(each.reason) for each in logged] == ["invalid_answer"] * (form in INVALID)
    assert all(each.detail for each in logged)
    assert ("u1" in failed) is (form in INVALID)
    assert "connections_not_kept" not in caplog.text


@EACH_FORM
def test_caller_with_a_key_gets_a_valid_status(form):
    async def scenario(running, upstream, store):
        await serving(running)
        headers = {HEADER_NAMES.key: "7"}
        check(await request(running.port, "/keyed/", "POST", headers, b"1"), form)

    run_with(answer_with(form), scenario, pool="keyed")


@EACH_FORM
def test_caller_of_another_vm_gets_a_valid_status(form):
    async def run():
        store = FakeStore()
        async with contextlib.AsyncExitStack() as stack:
            upstream = await stack.enter_async_context(ScriptedUpstream(answer_with(form)))
            await store.put("configs", "main", unstructure(make_config()))
            await store.put("upstreams", "u1", upstream_content("u1", upstream.port))
            running = [
                await stack.enter_async_context(gateway(store, make_settings(f"vm-{n}")))
                for n in range(2)
            ]
            for each in running:
                state = each.program._state
                await each.wait_until(lambda state=state: len(state.vms) == 2)
            state = running[0].program._state
            last_hop = state.last_hop(state.upstreams.get("u1")).vm_id
            first = next(each for each in running if each.settings.vm.vm_id != last_hop)
            check(await request(first.port, "/write/", "POST", body=b"1"), form)
            assert len(upstream.seen) == 1

    asyncio.run(run())


@pytest.mark.parametrize("form", INVALID, ids=lambda form: ascii(form[0]))
def test_idempotent_request_is_tried_once_more(form):
    seen_ids = []

    async def break_first(seen, writer):
        seen_ids.append(seen.request_id)
        line = form[0] if len(seen_ids) == 1 else "HTTP/1.1 200 OK"
        writer.write(with_first_line(seen, line))

    async def scenario(running, upstream, store):
        async with ScriptedUpstream(break_first) as other:
            await store.put("upstreams", "u2", upstream_content("u2", other.port))
            await running.wait_until(lambda: len(list(running.program._state.upstreams)) == 2)
            got = await request(running.port, "/read/")
            assert (got.status, got.body, seen_ids) == (200, b"sent", ["r1", "r1"])

    run_with(break_first, scenario)
