"""Behaviour of curl that would run a request twice or give a caller a wrong answer.

Each test runs with the guard and without it; without, it shows the fault that the guard prevents.
"""

import asyncio
import os

import attrs
import pycurl
import pytest

from fireflyferry.entry import answers
from fireflyferry.entry.limits import RequestLimits
from fireflyferry.entry.tests.support import TABLES, ScriptedUpstream, answer, ask, entry_vms
from fireflyferry.transport import curl as transport
from fireflyferry.transport import sinks

GUARDED = pytest.mark.parametrize("guarded", [True, False])
LARGE = attrs.evolve(
    TABLES, routes=tuple(attrs.evolve(r, max_body_bytes=10_000_000) for r in TABLES.routes)
)


def allow_resend(monkeypatch):
    monkeypatch.setattr(transport._Transfer, "_before_send", lambda *_: pycurl.PREREQFUNC_OK)


def reuse_connections(monkeypatch):
    prepare = transport._Transfer.prepare

    def prepare_reused(self, exchange, receiver):
        prepare(self, attrs.evolve(exchange, fresh_connection=False), receiver)

    monkeypatch.setattr(transport._Transfer, "prepare", prepare_reused)


def run_with(script, requests, limits=None, tables=TABLES):
    """Run `requests(port, cluster, upstream)` against a scripted upstream."""

    async def run():
        async with (
            ScriptedUpstream(script) as upstream,
            entry_vms(upstream.port, limits=limits, tables=tables) as cluster,
        ):
            await requests(cluster.public_ports[0], cluster, upstream)

    asyncio.run(run())


async def close_on_reuse(seen, writer):
    """Answer the first request of each connection and close it at the second."""
    count = getattr(writer, "count", 0)
    writer.count = count + 1
    if count:
        return False
    writer.write(answer(seen, f"{seen.connection}".encode()))


@GUARDED
def test_reused_connection_closed_before_first_byte(guarded, monkeypatch):
    """Guards against curl's own resend of a non-idempotent request."""
    if not guarded:
        allow_resend(monkeypatch)
        reuse_connections(monkeypatch)

    async def requests(port, cluster, upstream):
        assert (await ask(port, "/write/key", "POST", body=b"1")).status == 200
        await ask(port, "/write/key", "POST", body=b"2")
        sent = [seen.body for seen in upstream.seen]
        assert sent == ([b"1", b"2"] if guarded else [b"1", b"2", b"2"])

    run_with(close_on_reuse, requests)


@GUARDED
def test_resend_of_idempotent_request_is_a_counted_retry(guarded, monkeypatch):
    """Guards against resends outside the retry budget."""
    if not guarded:
        allow_resend(monkeypatch)

    async def requests(port, cluster, upstream):
        await ask(port)
        assert (await ask(port)).status == 200
        attempts = [seen.headers["firefly-attempt"] for seen in upstream.seen]
        assert attempts == (["1", "1", "2"] if guarded else ["1", "1", "1"])
        ids = {seen.request_id for seen in upstream.seen}
        assert len(ids) == (3 if guarded else 2), "a cancelled id must not be sent again"
        retries = cluster.paths[0].snapshot().retries
        assert retries == ({"connection_lost": 1} if guarded else {})

    run_with(close_on_reuse, requests)


@GUARDED
@pytest.mark.parametrize("route", ["read", "write"])
def test_redirect_is_passed_on(route, guarded, monkeypatch):
    """Guards against a redirect that sends the request somewhere else."""
    if not guarded:
        allow_resend(monkeypatch)
        monkeypatch.setitem(transport.FIXED_OPTIONS, pycurl.FOLLOWLOCATION, 1)

    async def script(seen, writer):
        extra = "Location: /elsewhere\r\n"
        writer.write(answer(seen, status="302 Found", extra=extra))

    async def requests(port, cluster, upstream):
        reply = await ask(port, f"/{route}/key")
        if guarded:
            assert (reply.status, reply.headers["location"]) == (302, "/elsewhere")
            assert len(upstream.seen) == 1
        else:
            assert len(upstream.seen) > 1

    run_with(script, requests)


@GUARDED
def test_417_is_an_answer(guarded, monkeypatch):
    """Guards against the resend that follows a 417 to curl's own Expect header."""
    if not guarded:
        allow_resend(monkeypatch)
        monkeypatch.setattr(transport, "ADDED_HEADERS", ())

    async def script(seen, writer):
        writer.write(answer(seen, status="417 Expectation Failed"))

    async def requests(port, cluster, upstream):
        upstream.read_bodies = guarded
        body = b"x" * 2_000_000
        reply = await ask(port, "/write/key", "POST", [("Expect", "100-continue")], body)
        if guarded:
            assert reply.status == 417
        assert len(upstream.seen) == (1 if guarded else 2)
        assert ("expect" in upstream.seen[0].headers) is not guarded

    run_with(script, requests, tables=LARGE)


@GUARDED
@pytest.mark.parametrize("framing", ["chunked", "length"])
def test_body_closed_in_the_middle_reaches_caller_incomplete(framing, guarded, monkeypatch):
    """Guards against a truncated answer that looks complete."""
    if not guarded:
        monkeypatch.setattr(sinks.ConnectionSink, "abort", sinks.ConnectionSink.finish)

    async def script(seen, writer):
        framed = "Content-Length: 9" if framing == "length" else "Transfer-Encoding: chunked"
        part = b"some" if framing == "length" else b"4\r\nsome\r\n"
        head = f"HTTP/1.1 200 OK\r\n{framed}\r\nFirefly-Request-Id: {seen.request_id}\r\n\r\n"
        writer.write(head.encode() + part)
        return False

    async def requests(port, cluster, upstream):
        for public_port in cluster.public_ports:
            reply = await ask(public_port)
            assert reply.body == b"some"
            if guarded:
                assert not reply.complete
            elif framing == "chunked":
                assert reply.complete
        assert len(upstream.seen) == len(cluster.public_ports)

    run_with(script, requests)


def test_answer_without_framing_is_not_passed_on():
    """Guards against a body whose end cannot be told from a lost connection."""

    async def script(seen, writer):
        writer.write(f"HTTP/1.1 200 OK\r\nFirefly-Request-Id: {seen.request_id}\r\n\r\nx".encode())
        return False

    async def requests(port, cluster, upstream):
        reply = await ask(port, "/write/key")
        assert (reply.status, reply.outcome, reply.reason) == (504, "unknown", "wrong_answer")

    run_with(script, requests)


@GUARDED
def test_answer_after_the_deadline(guarded, monkeypatch):
    """Guards against a late answer, and against a slot freed while the upstream still works."""
    if not guarded:
        monkeypatch.setattr(transport, "timeout_ms", lambda timeout_s: 0)

    async def script(seen, writer):
        await asyncio.sleep(0.3 if len(upstream_seen) == 1 else 0)
        writer.write(answer(seen, seen.line.encode()))

    upstream_seen = []

    async def requests(port, cluster, upstream):
        upstream.seen = upstream_seen
        control = cluster.controls[0]
        control.confirm.clear()
        reply = await ask(port, "/write/a", headers=[("Firefly-Deadline-Ms", "100")])
        if not guarded:
            assert reply.status == 200
            return
        assert (reply.status, reply.outcome, reply.reason) == (504, "unknown", "timed_out")
        assert control.cancelled == [upstream.seen[0].request_id]
        assert cluster.paths[0].snapshot().queues[0].busy == 1
        control.confirm.set()
        await asyncio.sleep(0.3)
        assert cluster.paths[0].snapshot().queues[0].busy == 0
        assert (await ask(port, "/read/b")).body == b"GET /read/b HTTP/1.1"
        assert upstream.seen[1].connection != upstream.seen[0].connection

    run_with(script, requests)


@GUARDED
def test_late_answer_on_a_connection_given_to_another_request(guarded, monkeypatch):
    """Guards against a caller that receives the answer to an earlier request."""
    if not guarded:
        compare_no_ids(monkeypatch)
    earlier = []

    async def script(seen, writer):
        if len(earlier) == 1:
            writer.write(earlier[0])
        earlier.append(answer(seen, seen.line.encode()))
        writer.write(earlier[-1])

    async def requests(port, cluster, upstream):
        assert (await ask(port, "/read/a")).body == b"GET /read/a HTTP/1.1"
        reply = await ask(port, "/read/b")
        assert upstream.seen[0].connection == upstream.seen[1].connection
        assert reply.body == (b"GET /read/b HTTP/1.1" if guarded else b"GET /read/a HTTP/1.1")
        if guarded:
            assert upstream.seen[2].connection != upstream.seen[1].connection
            assert cluster.paths[0].snapshot().retries == {"wrong_answer": 1}

    run_with(script, requests)


def compare_no_ids(monkeypatch):
    judge = answers.AnswerReceiver._judge

    def judge_any(self, status, headers):
        self._request_id = dict(headers).get("Firefly-Request-Id")
        return judge(self, status, headers)

    monkeypatch.setattr(answers.AnswerReceiver, "_judge", judge_any)


@GUARDED
@pytest.mark.parametrize("first_hop", [0, 1])
def test_answer_with_another_request_id(first_hop, guarded, monkeypatch):
    """Guards against answers that an upstream mixes up, and against a retry after one."""
    if not guarded:
        compare_no_ids(monkeypatch)

    async def script(seen, writer):
        writer.write(answer(seen, b"other", request_id="other"))

    async def requests(port, cluster, upstream):
        reply = await ask(cluster.public_ports[first_hop], "/write/key", "POST", body=b"1")
        if guarded:
            assert (reply.status, reply.outcome, reply.reason) == (504, "unknown", "wrong_answer")
        else:
            assert reply.body == b"other"
        assert len(upstream.seen) == 1

    run_with(script, requests)


def test_not_run_is_not_claimed_after_an_attempt_that_may_have_run():
    """Guards against the refused retry of an idempotent request hiding its first attempt."""

    async def requests(port, cluster, upstream):
        await ask(port)
        await ask(port)

        async def run_and_vanish(seen, writer):
            upstream.stop_listening()
            return False

        upstream.script = run_and_vanish
        reply = await ask(port)
        assert (reply.outcome, reply.reason) == ("unknown", "connection_lost")
        assert len(upstream.seen) == 3

    run_with(None, requests, RequestLimits(backoff_base_s=0.001))


def test_target_and_headers_are_sent_unchanged():
    """Guards against curl's path normalisation, fragments, added and dropped headers, proxies."""
    os.environ["http_proxy"] = "http://127.0.0.1:9/"

    async def requests(port, cluster, upstream):
        target = "/read/key/../a/./b%2f#part?x=1"
        for public_port in cluster.public_ports:
            headers = [("X-Empty", ""), ("X-Two", "1"), ("X-Two", "2"), ("Firefly-Fence", "9")]
            assert (await ask(public_port, target, headers=headers)).status == 200
        for seen in upstream.seen:
            assert seen.line == f"GET {target} HTTP/1.1"
            assert seen.headers["x-empty"] == ""
            assert seen.headers["firefly-fence"] == str(1 << 32)
            assert seen.headers["host"] == "router"
            assert not {"accept", "content-type", "user-agent", "expect"} & seen.headers.keys()

    try:
        run_with(None, requests)
    finally:
        del os.environ["http_proxy"]
