"""Upstream processes of a run: starts, restarts at the same address, heartbeats and entries."""

import asyncio
import socket
import time
from collections.abc import Mapping

import attrs

from fireflyferry.platform import names
from fireflyferry.platform.soak.upstreams import UpstreamStandin, UpstreamWorld
from fireflyferry.standins.ports import reserve_port

__all__ = ["Restart", "UpstreamFleet"]

HEARTBEAT_INTERVAL_S = 0.5
MISSED_HEARTBEATS = 3  # after which the platform removes an entry


@attrs.frozen
class Restart:
    """How a process that crashes is followed by another one at its address.

    The address refuses connections for `down_s` seconds; then the new process is reached, and the
    store lists it `unlisted_s` seconds later.
    """

    same_id: bool = True
    other_pool: bool = False
    down_s: float = 0.0
    unlisted_s: float = 0.0


class UpstreamFleet:
    """Upstreams of some pools; `pools` has whether each one has keys."""

    def __init__(self, world: UpstreamWorld, pools: Mapping[str, bool]):
        self._world = world
        self._pools = pools
        self._ports: list[socket.socket] = []
        self._heard_s: dict[str, float] = {}
        self._started = 0
        self._running: list[UpstreamStandin] = []

    @property
    def running(self) -> list[UpstreamStandin]:
        """Live processes that neither drain nor leave."""
        return [e for e in self._running if e.up and not e.draining and not e.leaving]

    def add(self, pool: str, data_centre: str) -> UpstreamStandin:
        """Start a process at a new address."""
        reserved = reserve_port()
        self._ports.append(reserved)
        upstream = self._start(pool, data_centre, self._new_id(), reserved.getsockname()[1])
        self._running.append(upstream)
        self._register(upstream)
        return upstream

    async def restart(self, ended: UpstreamStandin, restart: Restart) -> None:
        """Crash a process and start another one at its address."""
        ended.end()
        pool = ended.pool
        if restart.other_pool and sum(each.pool == pool for each in self.running) >= 2:
            pool = next(each for each in self._pools if each != pool)
        if restart.down_s:
            await asyncio.sleep(restart.down_s)
        upstream_id = ended.upstream_id if restart.same_id else self._new_id()
        upstream = self._start(pool, ended.data_centre, upstream_id, ended.port)
        self._running[self._running.index(ended)] = upstream
        upstream.unlisted_until_s = max(
            ended.unlisted_until_s, time.monotonic() + restart.unlisted_s
        )
        if not restart.unlisted_s and upstream.reaches_store:
            self._register(upstream)

    async def drain(self, upstream: UpstreamStandin, for_s: float) -> None:
        """Start another process; then let one drain, leave the store and end."""
        self.add(upstream.pool, upstream.data_centre)
        await self.retire(upstream, for_s)

    async def announce_leave(self, upstream: UpstreamStandin, for_s: float, reports: bool) -> None:
        """Start another process; then let one say in its answers that it leaves, and end.

        If it reports that to the store as well, it does so half of the time later.
        """
        self.add(upstream.pool, upstream.data_centre)
        upstream.leaving = True
        if reports:
            await asyncio.sleep(for_s / 2)
            for_s /= 2
        await self.retire(upstream, for_s, reports)

    async def retire(self, upstream: UpstreamStandin, for_s: float, reports: bool = True) -> None:
        """Let a process drain, leave the store and end."""
        upstream.draining = reports
        self._register(upstream)
        await asyncio.sleep(for_s)
        upstream.end()
        self._heard_s.pop(upstream.upstream_id, None)
        self._world.store.remove(names.UPSTREAM_KIND, upstream.upstream_id)

    async def send_heartbeats(self) -> None:
        """Write the entries of all processes; remove those without heartbeats."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for upstream in self._running:
                if upstream.reaches_store:
                    self._register(upstream)
            limit_s = time.monotonic() - MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_S
            for upstream_id in [each for each, heard in self._heard_s.items() if heard < limit_s]:
                del self._heard_s[upstream_id]
                self._world.store.remove(names.UPSTREAM_KIND, upstream_id)

    def close(self) -> None:
        """End all processes and free their ports."""
        for upstream in self._running:
            if upstream.up:
                upstream.end()
        for each in self._ports:
            each.close()

    def _new_id(self) -> str:
        self._started += 1
        return f"i-{self._started:04d}"

    def _start(self, pool: str, data_centre: str, upstream_id: str, port: int) -> UpstreamStandin:
        upstream = UpstreamStandin(upstream_id, pool, data_centre, self._pools[pool], self._world)
        upstream.serve(port)
        return upstream

    def _register(self, upstream: UpstreamStandin) -> None:
        self._heard_s[upstream.upstream_id] = time.monotonic()
        upstream.register()
