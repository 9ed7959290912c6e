"""Outcomes, at-most-once and retries across both hops."""

import asyncio
import random
import time

import pytest

from fireflyferry.entry.limits import RequestLimits
from fireflyferry.entry.tests.support import ScriptedUpstream, answer, ask, entry_vms
from fireflyferry.retries import new_request_id
from fireflyferry.telemetry import Reason

QUICK = RequestLimits(backoff_base_s=0.001, backoff_limit_s=0.001)


def run_with(script, requests, limits=QUICK):
    async def run():
        async with (
            ScriptedUpstream(script) as upstream,
            entry_vms(upstream.port, limits=limits) as cluster,
        ):
            await requests(cluster, upstream)

    asyncio.run(run())


def refusal(seen, reason, outcome="not-run"):
    extra = f"Firefly-Outcome: {outcome}\r\nFirefly-Reason: {reason}\r\n"
    return answer(seen, b"", "503 Service Unavailable", extra)


def request_id(age_s=0.0, seed=1):
    return ("Request-Id", new_request_id(time.time() - age_s, random.Random(seed)))


@pytest.mark.parametrize("first_hop", [0, 1])
@pytest.mark.parametrize(
    ("reason", "attempts"),
    [("upstream_shed", 4), ("not_owner", 4), ("stale_fence", 4), ("connection_limit", 4)],
)
def test_refused_request_is_retried_and_then_reported_as_not_run(reason, attempts, first_hop):
    """Guards against a refusal of the upstream that is taken for an answer or as unknown."""

    async def script(seen, writer):
        writer.write(refusal(seen, reason))

    async def requests(cluster, upstream):
        port = cluster.public_ports[first_hop]
        reply = await ask(port, "/write/key", "POST", [request_id()], b"body")
        known = "upstream_shed" if reason == "connection_limit" else reason
        assert (reply.status, reply.outcome, reply.reason) == (503, "not-run", known)
        assert [seen.body for seen in upstream.seen] == [b"body"] * attempts

    run_with(script, requests)


@pytest.mark.parametrize("first_hop", [0, 1])
def test_refused_request_runs_at_the_second_attempt(first_hop):
    """Guards against an id that its own refused attempt blocks."""

    async def script(seen, writer):
        first = seen.headers["firefly-attempt"] == "1"
        writer.write(refusal(seen, "upstream_shed") if first else answer(seen, b"done"))

    async def requests(cluster, upstream):
        port = cluster.public_ports[first_hop]
        reply = await ask(port, "/write/key", "POST", [request_id()], b"body")
        assert (reply.status, reply.body) == (200, b"done")

    run_with(script, requests)


@pytest.mark.parametrize("first_hop", [0, 1])
def test_unknown_outcome_is_retried_only_if_idempotent(first_hop):
    """Guards against a second run of a non-idempotent request."""

    async def script(seen, writer):
        return False

    async def requests(cluster, upstream):
        port = cluster.public_ports[first_hop]
        reply = await ask(port, "/write/key", "POST", body=b"1")
        assert (reply.status, reply.outcome, reply.reason) == (504, "unknown", "connection_lost")
        assert len(upstream.seen) == 1
        reply = await ask(port, "/read/key")
        assert (reply.outcome, len(upstream.seen)) == ("unknown", 5)

    run_with(script, requests)


def test_retries_stop_when_the_budget_is_spent():
    """Guards against retries that multiply the load of an outage."""

    async def script(seen, writer):
        writer.write(refusal(seen, "upstream_shed"))

    async def requests(cluster, upstream):
        for _ in range(30):
            assert (await ask(cluster.public_ports[0])).reason == "upstream_shed"
        assert len(upstream.seen) == 30 + 10

    run_with(script, requests)


def test_lapsed_answer_is_not_passed_on():
    """Guards against an answer from an upstream that lost the key while it ran."""

    async def script(seen, writer):
        writer.write(answer(seen, b"stale").replace(b"held", b"lapsed"))

    async def requests(cluster, upstream):
        reply = await ask(cluster.public_ports[0], "/write/key")
        assert (reply.outcome, reply.reason) == ("unknown", "ownership_lapsed")
        assert b"stale" not in reply.body

    run_with(script, requests)


@pytest.mark.parametrize("first_hop", [0, 1])
def test_authority_lost_before_the_first_byte(first_hop):
    """Guards against a request that a former leader still sends."""

    async def requests(cluster, upstream):
        cluster.may_forward = False
        reply = await ask(cluster.public_ports[first_hop], "/write/key")
        assert (reply.outcome, reply.reason) == ("not-run", "not_leader")
        assert upstream.seen == []

    run_with(None, requests)


def test_wrong_leader_redirects_once_without_spending_the_budget():
    """Guards against requests that fail while a first hop's view is behind."""

    async def requests(cluster, upstream):
        cluster.leader, cluster.term = 1, 2
        cluster.seen_leader[2] = 0
        reply = await ask(cluster.public_ports[2], "/write/key")
        assert reply.status == 200
        assert cluster.paths[2].snapshot().retries == {"not_leader": 1}

    run_with(None, requests, RequestLimits(retry_reserve=0.0))


def test_leader_that_cannot_be_reached_was_not_sent_to():
    """Guards against an unknown outcome where the connection was refused."""

    async def requests(cluster, upstream):
        cluster.peer_addresses[0] = "127.0.0.1:9"
        reply = await ask(cluster.public_ports[1], "/write/key")
        assert (reply.outcome, reply.reason) == ("not-run", "connect_failed")

    run_with(None, requests)


@pytest.mark.parametrize("first_hop", [0, 1])
def test_repeat_receives_the_first_answer(first_hop):
    """Guards against a second run of a repeated request."""

    async def script(seen, writer):
        writer.write(answer(seen, b"run 1", "201 Created", "X-App: 1\r\n"))

    async def requests(cluster, upstream):
        port = cluster.public_ports[first_hop]
        sent = [request_id()]
        for _ in range(3):
            reply = await ask(port, "/write/key", "POST", sent, b"1")
            assert (reply.status, reply.body, reply.headers["x-app"]) == (201, b"run 1", "1")
        assert len(upstream.seen) == 1
        other = await ask(port, "/write/other", "POST", sent, b"1")
        assert (other.status, other.reason) == (400, "bad_request_id")
        assert len(upstream.seen) == 1

    run_with(script, requests)


def test_repeat_of_an_unrecorded_answer_is_unknown():
    """Guards against a second run where the answer was too large to keep."""

    async def script(seen, writer):
        writer.write(answer(seen, b"x" * 5000))

    async def requests(cluster, upstream):
        sent = [request_id()]
        assert len((await ask(cluster.public_ports[0], "/write/key", "POST", sent)).body) == 5000
        reply = await ask(cluster.public_ports[0], "/write/key", "POST", sent)
        assert (reply.status, reply.reason) == (409, "outcome_not_recorded")
        assert len(upstream.seen) == 1

    run_with(script, requests)


def test_repeat_in_flight_is_not_run_again():
    """Guards against two runs of one request at the same time."""
    release = asyncio.Event()

    async def script(seen, writer):
        await release.wait()
        writer.write(answer(seen))

    async def requests(cluster, upstream):
        sent = [request_id()]
        port = cluster.public_ports[0]
        first = asyncio.ensure_future(ask(port, "/write/key", "POST", sent))
        while not upstream.seen:
            await asyncio.sleep(0.01)
        reply = await ask(port, "/write/key", "POST", sent)
        assert (reply.status, reply.outcome) == (409, "unknown")
        assert reply.reason == "duplicate_in_flight"
        release.set()
        assert (await first).status == 200
        assert len(upstream.seen) == 1

    run_with(script, requests)


def test_id_issued_before_the_group_came_is_unknown():
    """Guards against a repeat across a change of leader that runs again."""

    async def requests(cluster, upstream):
        sent = [request_id(age_s=9.5)]
        reply = await ask(cluster.public_ports[0], "/write/key", "POST", sent)
        assert (reply.status, reply.reason) == (409, "outcome_not_recorded")
        assert upstream.seen == []

    run_with(None, requests)


@pytest.mark.parametrize("change", ["owner", "refused"])
def test_owner_is_asked_again_after_waiting_for_a_slot(change):
    """Guards against sending to the owner of a moment ago."""
    release = asyncio.Event()

    async def script(seen, writer):
        await release.wait()
        writer.write(answer(seen))

    async def requests(cluster, upstream):
        port = cluster.public_ports[0]
        running = [asyncio.ensure_future(ask(port)) for _ in range(2)]
        while len(upstream.seen) < 2:
            await asyncio.sleep(0.01)
        waiting = asyncio.ensure_future(ask(port, "/write/key"))
        while not cluster.paths[0].snapshot().queues[0].waiting:
            await asyncio.sleep(0.01)
        before = cluster.target
        cluster.target = Reason.OWNER_HELD
        if change == "owner":
            cluster.target = before.__class__(
                "up-1", "127.0.0.1:9", before.fence + 1, 1, 2, "grants"
            )
        release.set()
        reply = await waiting
        expected = "owner_held" if change == "refused" else "connect_failed"
        assert (reply.outcome, reply.reason) == ("not-run", expected)
        assert [(await task).status for task in running] == [200, 200]
        assert len(upstream.seen) == 2

    run_with(script, requests)
