"""Limits of a last hop on what it sends to an upstream: cold upstreams."""

from fireflyferry.balancing import Upstream
from fireflyferry.balancing.cold_limits import ColdSenders, ColdUpstreams
from fireflyferry.edges import Clock
from fireflyferry.gateway.calls import Attempt, not_run
from fireflyferry.gateway.state import GatewayState
from fireflyferry.telemetry import Reason

__all__ = ["SendLimits"]


class SendLimits:
    """Decides whether this VM may send a request to an upstream now.

    Without a warm-up rate of the pool, only what was sent is counted, and nothing is rejected.
    """

    def __init__(self, clock: Clock, state: GatewayState, senders: ColdSenders):
        self._clock = clock
        self._state = state
        self._senders = senders

    @property
    def _cold(self) -> ColdUpstreams:
        return self._state.cold

    def wait_s(self, now_s: float, upstream: Upstream) -> float:
        """Return how long a request has to wait because the upstream is cold; 0 if not at all."""
        per_s, left_s = self._state.cold_limit(now_s, upstream)
        if left_s <= 0.0:
            return 0.0
        if not self._senders.may_send(now_s, upstream, self._state.is_keyed(upstream.pool)):
            return left_s
        return min(left_s, self._cold.wait_s(now_s, upstream.run, per_s))

    def refusal(self, now_s: float, upstream: Upstream) -> Attempt | None:
        """Return the refusal of a request to a cold upstream, or None if it may be sent."""
        wait_s = self.wait_s(now_s, upstream)
        if wait_s <= 0.0:
            return None
        per_s, _ = self._state.cold_limit(now_s, upstream)
        retry_after_s = self._cold.retry_after_s(now_s, upstream.run, wait_s, per_s)
        return not_run(Reason.UPSTREAM_COLD, retry_after_s)

    def on_sent(self, now_s: float, upstream: Upstream) -> None:
        """Count a request that is sent now."""
        if self._state.warmup_per_s(upstream.pool) > 0.0:
            self._cold.on_sent(now_s, upstream.run)
