"""Comparison of the router with the naive router under the same requests and faults.

The upstream stand-ins count the executions.
"""

import asyncio
import contextlib
import random

import attrs
import orjson
import pytest
import xxhash
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from fireflyferry.entry.interfaces import UpstreamTarget
from fireflyferry.entry.limits import RequestLimits
from fireflyferry.entry.tests.support import TABLES, entry_vms, send_request
from fireflyferry.experiments.naive import NaiveRouter
from fireflyferry.standins.faults import Fault
from fireflyferry.standins.upstream_instance import InstanceSettings, UpstreamInstance
from fireflyferry.standins.upstream_server import make_server

FAULTS = (
    "close_before_first_byte",
    "truncated_body",
    "wrong_request_id",
    "redirect",
    "expectation_failed",
    "shed",
    "late_answer",
)
UPSTREAM_COUNT = 3


@attrs.frozen
class Step:
    route: str
    key: str
    fault: str
    size_bytes: int


def make_steps(seed, with_faults):
    rng = random.Random(seed)
    for number in range(30):
        fault = rng.choice((*FAULTS, "")) if with_faults else ""
        size_bytes = rng.choice((0, 5_000, 300_000))
        yield Step(rng.choice(("read", "write")), f"key-{seed}-{number}", fault, size_bytes)


@contextlib.asynccontextmanager
async def upstreams():
    instances, addresses, servers = [], [], []
    for number in range(UPSTREAM_COUNT):
        settings = InstanceSettings(f"up-{number}", "janela", checks="none", service_ms=1.0)
        instances.append(UpstreamInstance(settings))
        socket, port = bind_unused_port()
        servers.append(make_server(instances[-1]))
        servers[-1].add_socket(socket)
        addresses.append(f"127.0.0.1:{port}")
    try:
        yield instances, addresses
    finally:
        for server in servers:
            server.stop()
            await server.close_all_connections()


async def send_steps(port, instances, steps):
    """Send the steps one after the other; return each step, its reply and its executions."""
    results = []
    for step in steps:
        faults = (Fault(step.fault, count=1, delay_s=0.2),) if step.fault else ()
        deadline_ms = 120 if step.fault else 30_000
        for instance in instances:
            instance.faults.replace(faults)
        target = f"/{step.route}/{step.key}?size_bytes={step.size_bytes}"
        method, body = ("POST", b"data") if step.route == "write" else ("GET", None)
        headers = [("Firefly-Deadline-Ms", str(deadline_ms))]
        reply = await send_request(port, target, method, headers, body)
        await asyncio.sleep(0.15 if step.fault == "late_answer" else 0)
        executions = sum(instance.by_key[step.key] for instance in instances)
        results.append((step, reply, executions))
    return results


async def through_router(steps, first_hop=0):
    limits = RequestLimits(backoff_base_s=0.001)
    async with upstreams() as (instances, addresses), entry_vms(0, limits=limits) as cluster:

        def owner(unit):
            number = xxhash.xxh3_64_intdigest(unit.encode()) % UPSTREAM_COUNT
            return UpstreamTarget(f"up-{number}", addresses[number], 1 << 32, 1, 2, "none")

        cluster.owner_of = owner
        return await send_steps(cluster.public_ports[first_hop], instances, steps)


async def through_naive(steps):
    async with upstreams() as (instances, addresses):
        router = NaiveRouter(TABLES, tuple(addresses))
        socket, port = bind_unused_port()
        server = HTTPServer(router.application())
        server.add_socket(socket)
        try:
            return await send_steps(port, instances, steps)
        finally:
            server.stop()
            await server.close_all_connections()
            router.close()


def violations(results):
    """Count second executions, wrong or incomplete answers, and false refusals."""
    count = 0
    for step, reply, executions in results:
        answered = reply.outcome in (None, "answered") and reply.status in (200, 302, 417)
        if (step.route == "write" and executions > 1) or (
            reply.outcome == "not-run" and executions
        ):
            count += 1
        elif answered and reply.status == 200:
            if reply.complete:
                key = orjson.loads(reply.body.partition(b"\n")[0])["key"]
                count += key != step.key or len(reply.body) < step.size_bytes
            if step.route == "write":
                count += executions != 1
    return count


@pytest.mark.parametrize("first_hop", [0, 1])
def test_without_faults_both_give_the_same_answers(first_hop):
    """Guards against answers that differ from those of a plain forwarder."""
    steps = list(make_steps(1, with_faults=False))
    ours = asyncio.run(through_router(steps, first_hop))
    naive = asyncio.run(through_naive(steps))
    for (step, reply, executions), (_, other, other_executions) in zip(ours, naive, strict=True):
        assert (reply.status, other.status) == (200, 200), step
        assert (executions, other_executions) == (1, 1), step
        assert max(step.size_bytes, 1) <= len(reply.body)
        assert reply.complete and other.complete
    assert violations(ours) == violations(naive) == 0


@pytest.mark.parametrize("seed", [2, 3])
@pytest.mark.parametrize("first_hop", [0, 1])
def test_with_faults_only_the_naive_router_violates_guarantees(seed, first_hop):
    """Guards against second executions, wrong answers and false refusals under faults."""
    steps = list(make_steps(seed, with_faults=True))
    assert violations(asyncio.run(through_router(steps, first_hop))) == 0
    assert violations(asyncio.run(through_naive(steps))) > 0
