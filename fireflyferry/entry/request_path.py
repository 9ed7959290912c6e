"""Assembly of the request path of one entry VM."""

import asyncio
import random
from typing import Any

import attrs
from tornado.httputil import HTTPConnection, HTTPMessageDelegate, HTTPServerConnectionDelegate

from fireflyferry.admission import StopPlan
from fireflyferry.edges import Clock, Metrics, UpstreamControl
from fireflyferry.edges.peer_auth import PeerSigner
from fireflyferry.entry.first_hop import FirstHop
from fireflyferry.entry.interfaces import (
    GroupEvents,
    LocalOwners,
    Locator,
    TablesSource,
    TrafficObserver,
)
from fireflyferry.entry.last_hop import LastHop
from fireflyferry.entry.limits import RequestLimits
from fireflyferry.entry.peer import PeerExchange
from fireflyferry.entry.public import PublicExchange
from fireflyferry.entry.remote import RemoteHop
from fireflyferry.entry.seen_ids import SeenIds
from fireflyferry.entry.services import RequestServices
from fireflyferry.entry.slots import QueueState, SlotGate
from fireflyferry.entry.statistics import Statistics
from fireflyferry.messages import GroupId
from fireflyferry.retries import Backoff
from fireflyferry.transport.curl import CurlTransport

__all__ = ["EntryRequestPath", "RequestSnapshot", "make_request_path"]

# Shares of the time that a drain may take. In the first, requests that may last longer than the
# drain are taken with a deadline that is cut. At its end, requests are broken off.
CUT_DEADLINES_SHARE = 0.5
FINAL_ANSWERS_SHARE = 0.1
FINAL_ANSWERS_S = 0.1


@attrs.frozen
class RequestSnapshot:
    """Counters of the request path.

    `sent` is the number of requests that upstreams may be working on, `transfers` the number of
    open curl transfers, and `request_ids` the number of ids in the request-id tables.
    """

    in_flight: int
    peer_in_flight: int
    sent: int
    transfers: int
    request_ids: int
    outcomes: dict[str, int]
    reasons: dict[str, int]
    retries: dict[str, int]
    queues: tuple[QueueState, ...]


class _ConnectionDelegate(HTTPServerConnectionDelegate):
    def __init__(
        self, exchange_type: type[PublicExchange] | type[PeerExchange], services: RequestServices
    ):
        self._exchange_type = exchange_type
        self._services = services

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        return self._exchange_type(request_conn, self._services)


class EntryRequestPath(GroupEvents):
    """The request path of one VM: delegates for both servers, group events and shutdown."""

    def __init__(self, services: RequestServices, transport: CurlTransport):
        self._services = services
        self._transport = transport
        self.public_delegate = _ConnectionDelegate(PublicExchange, services)
        self.peer_delegate = _ConnectionDelegate(PeerExchange, services)

    def server_options(self) -> dict[str, Any]:
        """Return the arguments for both HTTP servers; each request sets its own body limit."""
        return {
            "max_body_size": 1 << 50,
            "chunk_size": 65_536,
            "max_header_size": self._services.limits.read_header_bytes,
        }

    def group_gained(self, group: GroupId, term: int) -> None:
        """Start an empty request-id table for a group."""
        self._services.last_hop.seen_ids.group_gained(group, term)

    def bucket_gained(self, group: GroupId, term: int, bucket: int) -> None:
        """Update the request-id table for a bucket that moved here from another group."""
        self._services.last_hop.seen_ids.bucket_gained(group, term, bucket)

    def group_lost(self, group: GroupId) -> None:
        """Drop the request-id table of a group."""
        self._services.last_hop.seen_ids.group_lost(group)

    def upstream_gone(self, upstream_id: str) -> None:
        """Refuse requests that wait for an upstream that is gone."""
        self._services.last_hop.upstream_gone(upstream_id)

    def in_flight(self, upstream_id: str, unit: str) -> int:
        """Return the number of requests for a unit that an upstream may be working on."""
        return self._services.last_hop.in_flight(upstream_id, unit)

    async def drain(self, time_s: float) -> bool:
        """Handle requests until none has been in flight for `drain_idle_s`, or `time_s` has passed.

        Requests that would last longer are refused, or broken off with a final answer. Returns
        whether none was broken off. The listening sockets are closed before the drain, and idle
        connections after it.
        """
        services = self._services
        services.draining = True
        plan, now_s = services.stop_plan, services.clock.monotonic_s()
        services.statistics.last_active_s = now_s
        final_answers_s = min(FINAL_ANSWERS_S, FINAL_ANSWERS_SHARE * time_s)
        break_off_s = now_s + time_s - final_answers_s
        plan.cut_until_s = now_s + CUT_DEADLINES_SHARE * time_s
        plan.answer_by_s = break_off_s - final_answers_s
        is_idle = await self._wait_until_idle(break_off_s, services.limits.drain_idle_s)
        plan.answer_by_s = float("-inf")
        for exchange in list(services.exchanges):
            exchange.break_off()
        await self._wait_until_idle(break_off_s + final_answers_s, 0.0)
        return is_idle

    async def _wait_until_idle(self, until_s: float, idle_s: float) -> bool:
        """Wait until no request has been in flight for `idle_s` seconds; return whether so."""
        clock, statistics = self._services.clock, self._services.statistics
        while clock.monotonic_s() < until_s:
            in_flight = statistics.in_flight + statistics.peer_in_flight
            if not in_flight and clock.monotonic_s() - statistics.last_active_s >= idle_s:
                return True
            await asyncio.sleep(0.02)
        return not statistics.in_flight + statistics.peer_in_flight

    def close(self) -> None:
        """Close all connections to upstreams and peers."""
        self._transport.close()

    def snapshot(self) -> RequestSnapshot:
        """Return the current counters."""
        services = self._services
        statistics = services.statistics
        return RequestSnapshot(
            statistics.in_flight,
            statistics.peer_in_flight,
            services.last_hop.sent,
            self._transport.active,
            len(services.last_hop.seen_ids),
            dict(statistics.outcomes),
            dict(statistics.reasons),
            dict(statistics.retries),
            services.last_hop.gate.states(),
        )


def make_request_path(
    *,
    vm_id: str,
    clock: Clock,
    metrics: Metrics,
    rng: random.Random,
    tables: TablesSource,
    locator: Locator,
    owners: LocalOwners,
    observer: TrafficObserver,
    control: UpstreamControl,
    signer: PeerSigner,
    limits: RequestLimits | None = None,
) -> EntryRequestPath:
    """Build the request path of one VM; must be called while the event loop runs."""
    limits = limits or RequestLimits()
    transport = CurlTransport(
        force_instance=True,
        connect_timeout_s=limits.connect_timeout_s,
        idle_connections=limits.max_idle_connections,
    )
    statistics, stop_plan = Statistics(metrics), StopPlan()
    last_hop = LastHop(
        clock,
        owners,
        observer,
        control,
        transport,
        limits,
        vm_id,
        stop_plan,
        SlotGate(clock, limits.queue_length),
        SeenIds(clock, limits),
    )
    backoff = Backoff(rng, limits.backoff_base_s, limits.max_backoff_s)
    remote = RemoteHop(clock, transport, vm_id, signer)
    first_hop = FirstHop(
        clock, locator, last_hop, remote, limits, backoff, rng, statistics, stop_plan
    )
    services = RequestServices(
        clock, rng, limits, tables, locator, statistics, last_hop, first_hop, signer, stop_plan
    )
    return EntryRequestPath(services, transport)
