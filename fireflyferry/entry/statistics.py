"""Counters of the request path."""

import collections

import attrs

from fireflyferry.edges import Metrics
from fireflyferry.retries import Verdict
from fireflyferry.telemetry import Outcome

__all__ = ["Statistics"]


@attrs.define(eq=False)
class Statistics:
    """Counts requests by outcome and reason, and those in flight.

    `peer_in_flight` counts requests that peers forwarded to this VM. `last_active_s` is the
    monotonic time at which the last request ended.
    """

    _metrics: Metrics
    in_flight: int = 0
    peer_in_flight: int = 0
    last_active_s: float = 0.0
    outcomes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    reasons: collections.Counter[str] = attrs.field(factory=collections.Counter)
    retries: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def count_result(self, verdict: Verdict) -> None:
        """Count a caller's request by its verdict."""
        self.outcomes[verdict.outcome] += 1
        if verdict.outcome is Outcome.ANSWERED:
            self._metrics.increment("requests.answered")
            return
        self.reasons[str(verdict.reason)] += 1
        kind = "refused" if verdict.outcome is Outcome.NOT_RUN else "unknown"
        self._metrics.increment(f"requests.{kind}.{verdict.reason}")

    def count_disconnect(self) -> None:
        """Count a request whose caller left before the answer."""
        self.outcomes["disconnected"] += 1
        self._metrics.increment("requests.disconnected")

    def count_retry(self, verdict: Verdict) -> None:
        """Count a retry by the reason of the attempt before it."""
        self.retries[str(verdict.reason)] += 1
        self._metrics.increment(f"requests.retried.{verdict.reason}")
