"""Metrics of one entry VM, in the Prometheus text format."""

from collections.abc import Callable, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from fireflyferry.gateway.calls import Attempt

__all__ = ["DISTANCE_NAMES", "GatewayMetrics"]

DISTANCE_NAMES = ("data_centre", "region", "other_region")

# From the fastest answer seen to the longest time that callers wait.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0)


class GatewayMetrics:
    """All metrics; label values come only from the configuration or from fixed sets."""

    def __init__(self) -> None:
        self._registry = registry = CollectorRegistry()

        def counter(name: str, description: str, *labels: str) -> Counter:
            return Counter(f"fireflyferry_{name}", description, labels, registry=registry)

        def histogram(name: str, description: str, *labels: str) -> Histogram:
            return Histogram(
                f"fireflyferry_{name}",
                description,
                labels,
                registry=registry,
                buckets=LATENCY_BUCKETS_S,
            )

        self._requests = counter(
            "requests", "Requests of callers by outcome.", "pool", "outcome", "reason"
        )
        self._attempts = counter(
            "attempts", "Requests sent to upstreams by outcome.", "pool", "outcome", "reason"
        )
        self._distances = counter(
            "requests_by_distance",
            "Requests sent, by distance of the upstream from the first hop, and why.",
            "pool",
            "distance",
            "why",
        )
        self._retries = counter(
            "retries", "Second sends that the budget allowed or denied.", "pool", "allowed"
        )
        self._latency = histogram("request_seconds", "Time until the answer was given.", "pool")
        self._upstream_latency = histogram(
            "upstream_seconds", "Time that an upstream took.", "pool"
        )
        self._store_calls = counter("store_calls", "Calls to the store.", "call", "result")
        self._orders = counter("key_orders", "Grants and releases sent.", "order", "result")
        self._memory_refusals = counter(
            "memory_refusals", "Bodies, readers and connections that gave way.", "reason"
        )
        self._owner_changes = counter("owner_changes", "Ranges that changed their owner.", "pool")

    def request(self, pool: str, outcome: str, reason: str, took_s: float) -> None:
        """Count a request of a caller and its latency."""
        self._requests.labels(pool, outcome, reason).inc()
        self._latency.labels(pool).observe(took_s)

    def upstream(self, pool: str, attempt: Attempt, took_s: float) -> None:
        """Count a request that was sent to an upstream and its latency."""
        self._attempts.labels(pool, str(attempt.outcome), str(attempt.reason or "")).inc()
        self._upstream_latency.labels(pool).observe(took_s)

    def distance(self, pool: str, distance: int, why: str) -> None:
        """Count a request that this VM as first hop sent to an upstream at a distance."""
        self._distances.labels(pool, DISTANCE_NAMES[distance], why).inc()

    def retry(self, pool: str, allowed: bool) -> None:
        """Count a retry that the budget allowed or denied."""
        self._retries.labels(pool, str(allowed).lower()).inc()

    def store_call(self, call: str, result: str) -> None:
        """Count a call to the store."""
        self._store_calls.labels(call, result).inc()

    def order(self, order: str, result: str) -> None:
        """Count a grant or release."""
        self._orders.labels(order, result).inc()

    def count_owner_changes(self, pool: str, ranges: int) -> None:
        """Count key ranges whose owner changes."""
        self._owner_changes.labels(pool).inc(ranges)

    def memory_refusal(self, reason: str) -> None:
        """Count a body, a reader or a connection that gave way to others."""
        self._memory_refusals.labels(reason).inc()

    def register_gauges(self, gauges: Mapping[str, tuple[str, Callable[[], float]]]) -> None:
        """Register gauges by name, with a description and a function that returns the value."""
        for name, (description, read_value) in gauges.items():
            Gauge(f"fireflyferry_{name}", description, registry=self._registry).set_function(
                read_value
            )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
