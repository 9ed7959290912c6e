"""Table of the upstreams that this VM leads, with what they said and did."""

import attrs

from fireflyferry.messages import Hello, VmEntry
from fireflyferry.placement import ColdStartRamp

__all__ = ["UpstreamRow", "UpstreamTable"]

HELLO_INTERVAL_S = 0.5
# Weight of one service time in the moving average.
SERVICE_TIME_GAIN = 0.1


@attrs.define
class UpstreamRow:
    """What is known about one upstream."""

    entry: VmEntry
    hello: Hello | None = None
    hello_sent_at_s: float = float("-inf")
    draining: bool = False
    drain_requested: bool = False
    mean_service_s: float = 0.0
    answered_count: int = 0

    @property
    def upstream_id(self) -> str:
        """Id of the upstream's VM."""
        return self.entry.vm_id

    def is_leaving(self) -> bool:
        """Tell whether the upstream must get no new work."""
        return self.draining or self.drain_requested or self.entry.state != "live"


class UpstreamTable:
    """Upstreams by id."""

    def __init__(self) -> None:
        self._rows: dict[str, UpstreamRow] = {}
        self._ramp = ColdStartRamp()

    def get(self, upstream_id: str) -> UpstreamRow | None:
        """Return the row of an upstream."""
        return self._rows.get(upstream_id)

    def track(self, entry: VmEntry) -> UpstreamRow:
        """Return the row of a listed upstream, with the listed state and address."""
        row = self._rows.setdefault(entry.vm_id, UpstreamRow(entry))
        if row.entry != entry:
            if row.entry.address != entry.address:
                row.hello = None
            row.entry = entry
        return row

    def remove(self, upstream_id: str) -> None:
        """Drop the row of an upstream that is gone."""
        self._rows.pop(upstream_id, None)
        self._ramp.forget(upstream_id)

    def start_hello_if_due(self, now_s: float, upstream_id: str) -> UpstreamRow | None:
        """Return the row unless the upstream was asked lately, and note that it is asked now."""
        row = self._rows[upstream_id]
        if now_s - row.hello_sent_at_s < HELLO_INTERVAL_S:
            return None
        row.hello_sent_at_s = now_s
        return row

    def on_hello(self, now_s: float, upstream_id: str, hello: Hello) -> None:
        """Record an upstream's answer to hello."""
        row = self._rows.get(upstream_id)
        if row is None:
            return
        if hello.cold and (row.hello is None or not row.hello.cold):
            self._ramp.start(now_s, upstream_id)
        row.hello = hello
        row.draining = hello.draining

    def on_grant_reply(self, upstream_id: str, draining: bool) -> None:
        """Record that an upstream answered a grant message."""
        row = self._rows.get(upstream_id)
        if row is not None:
            row.draining = draining

    def on_service_time(self, upstream_id: str, service_s: float) -> None:
        """Note how long an upstream took to answer a request."""
        row = self._rows.get(upstream_id)
        if row is not None:
            row.answered_count += 1
            row.mean_service_s += SERVICE_TIME_GAIN * (service_s - row.mean_service_s)

    def advance_ramps(self, now_s: float) -> None:
        """Raise or lower the shares of upstreams that warm up."""
        by_pool: dict[str, list[UpstreamRow]] = {}
        for row in self._rows.values():
            by_pool.setdefault(row.entry.pool, []).append(row)
        for rows in by_pool.values():
            pool_mean_s = sum(row.mean_service_s for row in rows) / len(rows)
            for row in rows:
                latency_ms = row.mean_service_s * 1000 if row.answered_count else None
                self._ramp.observe(now_s, row.upstream_id, latency_ms, pool_mean_s * 1000)

    def share(self, upstream_id: str) -> float:
        """Return the share of its normal load that an upstream gets now."""
        return self._ramp.share(upstream_id)
