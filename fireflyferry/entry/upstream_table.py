"""Table of the upstreams of led groups: listing, hello answers and service times."""

import attrs

from fireflyferry.messages import Hello, VmEntry
from fireflyferry.placement import ColdStartRamp

__all__ = ["UpstreamRow", "UpstreamTable"]

HELLO_INTERVAL_S = 0.5
# Weight of one service time in the moving average.
SERVICE_TIME_GAIN = 0.1


@attrs.define
class UpstreamRow:
    """State of one upstream.

    `draining` is the upstream's own report, and `drain_requested` an operator's call.
    `mean_service_s` is a moving average in seconds, and `answered_count` its number of samples.
    """

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
        """Return whether the upstream must not get new units."""
        return self.draining or self.drain_requested or self.entry.state != "live"


class UpstreamTable:
    """Upstreams by id."""

    def __init__(self) -> None:
        self._rows: dict[str, UpstreamRow] = {}
        self._ramp = ColdStartRamp()

    def get(self, upstream_id: str) -> UpstreamRow | None:
        """Return the row of an upstream, None if it is unknown."""
        return self._rows.get(upstream_id)

    def track(self, entry: VmEntry) -> UpstreamRow:
        """Add or update a listed upstream, and return its row.

        A changed address discards the answer to the last hello.
        """
        row = self._rows.setdefault(entry.vm_id, UpstreamRow(entry))
        if row.entry != entry:
            if row.entry.address != entry.address:
                row.hello = None
            row.entry = entry
        return row

    def remove(self, upstream_id: str) -> None:
        """Remove an upstream that is gone."""
        self._rows.pop(upstream_id, None)
        self._ramp.forget(upstream_id)

    def start_hello_if_due(self, now_s: float, upstream_id: str) -> UpstreamRow | None:
        """Return the row if a hello is due, and record that it is sent now; None otherwise."""
        row = self._rows[upstream_id]
        if now_s - row.hello_sent_at_s < HELLO_INTERVAL_S:
            return None
        row.hello_sent_at_s = now_s
        return row

    def on_hello(self, now_s: float, upstream_id: str, hello: Hello) -> None:
        """Record an upstream's answer to a hello."""
        row = self._rows.get(upstream_id)
        if row is None:
            return
        if hello.cold and (row.hello is None or not row.hello.cold):
            self._ramp.start(now_s, upstream_id)
        row.hello = hello
        row.draining = hello.draining

    def on_grant_reply(self, upstream_id: str, draining: bool) -> None:
        """Record whether an upstream is draining, by its reply to a grant message."""
        row = self._rows.get(upstream_id)
        if row is not None:
            row.draining = draining

    def on_service_time(self, upstream_id: str, service_s: float) -> None:
        """Record how long an upstream took to answer a request."""
        row = self._rows.get(upstream_id)
        if row is not None:
            row.answered_count += 1
            row.mean_service_s += SERVICE_TIME_GAIN * (service_s - row.mean_service_s)

    def advance_ramps(self, now_s: float) -> None:
        """Update the load shares of upstreams that are warming up after a cold start."""
        by_pool: dict[str, list[UpstreamRow]] = {}
        for row in self._rows.values():
            by_pool.setdefault(row.entry.pool, []).append(row)
        for rows in by_pool.values():
            pool_mean_s = sum(row.mean_service_s for row in rows) / len(rows)
            for row in rows:
                latency_ms = row.mean_service_s * 1000 if row.answered_count else None
                self._ramp.observe(now_s, row.upstream_id, latency_ms, pool_mean_s * 1000)

    def share(self, upstream_id: str) -> float:
        """Return the fraction of its normal load that an upstream gets now."""
        return self._ramp.share(upstream_id)
