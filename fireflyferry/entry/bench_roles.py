"""Processes of the benchmark: upstreams, and routers with fixed leaders and owners."""

import argparse
import asyncio
import cProfile
import pstats
import random
import signal

import xxhash
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from fireflyferry.edges.http_client import HttpClient
from fireflyferry.edges.http_upstream import HttpUpstreamControl
from fireflyferry.edges.peer_auth import PeerSigner
from fireflyferry.edges.statsd_metrics import MemoryMetrics
from fireflyferry.edges.system_clock import SystemClock
from fireflyferry.entry.interfaces import (
    LocalOwners,
    Location,
    Locator,
    TablesSource,
    TrafficObserver,
    UpstreamTarget,
)
from fireflyferry.entry.request_path import make_request_path
from fireflyferry.experiments.naive import NaiveRouter
from fireflyferry.messages import GroupId, VmIncarnation
from fireflyferry.routing import bucket_of, bucket_unit
from fireflyferry.tables import Pool, Route, Tables
from fireflyferry.transport.request_server import RequestServer

__all__ = ["TENANTS", "run_role"]

TENANTS = {"one": 1, "two": 1, "three": 1}
GROUP = GroupId("bench", "local-1", 0)
BUCKETS = 4096
TABLES = Tables(
    1,
    (
        Route("read", "/read", "bench", "path:0", idempotent=True, timeout_ms=5000),
        Route("write", "/write", "bench", "path:0", timeout_ms=5000),
    ),
    (Pool("bench", ("local-1",), buckets=BUCKETS, tenants=TENANTS, queue_length=64),),
)


class _FixedView(TablesSource, Locator, LocalOwners, TrafficObserver):
    """One leader and one set of upstreams that never change."""

    def __init__(self, leader_address: str, upstreams: list[str], slots: int):
        self._leader_address = leader_address
        self._upstreams = upstreams
        self._slots = slots

    def current(self):
        return TABLES

    def locate(self, pool, key):
        unit = bucket_unit(bucket_of(key, BUCKETS))
        leader = VmIncarnation("vm-0", "1")
        return Location(GROUP, unit, leader, self._leader_address, 1, not self._leader_address)

    def owner(self, now_s, group, unit):
        number = xxhash.xxh3_64_intdigest(unit.encode()) % len(self._upstreams)
        address = self._upstreams[number]
        return UpstreamTarget(address, address, 1 << 32, 1, self._slots, "none")

    def begin_forward(self, now_s, group, unit, key):
        return self.owner(now_s, group, unit)

    def end_forward(self, group, upstream_id, unit, key):
        pass

    def may_forward(self, now_s, group):
        return True

    def on_request(self, pool, key, tenant):
        pass

    def on_result(self, upstream_id, outcome, service_s):
        pass


class _QuickUpstream(asyncio.Protocol):
    """Upstream that answers at once, with the request id, and uses little processor time."""

    def connection_made(self, transport):
        self._transport = transport
        self._buffer = b""

    def data_received(self, data):
        self._buffer += data
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            head, self._buffer = self._buffer[:end], self._buffer[end + 4 :]
            start = head.find(b"Firefly-Request-Id: ")
            request_id = head[start + 20 : start + 56] if start >= 0 else b""
            self._transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\nFirefly-Request-Id: "
                + request_id
                + b"\r\n\r\n"
                + b"." * 100
            )


async def _run_upstream(_arguments: argparse.Namespace) -> None:
    server = await asyncio.get_running_loop().create_server(_QuickUpstream, "127.0.0.1", 0)
    print(f"ready port={server.sockets[0].getsockname()[1]}", flush=True)


async def _run_naive(arguments: argparse.Namespace) -> None:
    router = NaiveRouter(TABLES, tuple(arguments.upstream))
    _listen(HTTPServer(router.application()))


async def _run_entry(arguments: argparse.Namespace) -> None:
    view = _FixedView(arguments.leader, arguments.upstream, arguments.slots)
    path = make_request_path(
        vm_id="vm-1" if arguments.leader else "vm-0",
        clock=SystemClock(),
        metrics=MemoryMetrics(),
        rng=random.Random(1),
        tables=view,
        locator=view,
        owners=view,
        observer=view,
        control=HttpUpstreamControl(HttpClient("bench")),
        signer=PeerSigner((b"bench-secret-0000",), SystemClock()),
    )
    delegate = path.peer_delegate if arguments.role == "peer" else path.public_delegate
    _listen(RequestServer(delegate, **path.server_options()))


def _listen(server: HTTPServer) -> None:
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    print(f"ready port={sockets[0].getsockname()[1]}", flush=True)


ROLES = {
    "upstream": _run_upstream,
    "naive": _run_naive,
    "entry": _run_entry,
    "peer": _run_entry,
}


async def _run_until_stopped(arguments: argparse.Namespace) -> None:
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await ROLES[arguments.role](arguments)
    await stop.wait()


def run_role(arguments: argparse.Namespace) -> None:
    """Run one process of the benchmark until SIGTERM."""
    if not arguments.profile:
        asyncio.run(_run_until_stopped(arguments))
        return
    with cProfile.Profile() as profile:
        asyncio.run(_run_until_stopped(arguments))
    with open(arguments.profile, "w") as file:
        pstats.Stats(profile, stream=file).sort_stats("tottime").print_stats(30)
