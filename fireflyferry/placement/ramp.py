"""Cold-start ramp (slow start): a new upstream gets a growing share of its normal load."""

import attrs

__all__ = ["ColdStartRamp"]


@attrs.define
class _RampStep:
    """Current share of one upstream and the time of its last change."""

    share: float
    changed_at_s: float


@attrs.define
class ColdStartRamp:
    """Shares of normal load of the upstreams that are warming up.

    Times are in seconds. Every `step_s` the share doubles if the observed latency is at most
    `slow_ratio` times the pool's, and halves otherwise; it is never below `first_share`.
    """

    first_share: float = 0.1
    step_s: float = 2.0
    slow_ratio: float = 1.5
    _steps: dict[str, _RampStep] = attrs.field(factory=dict, init=False)

    def start(self, now_s: float, upstream_id: str) -> None:
        """Start the ramp of a cold upstream."""
        self._steps[upstream_id] = _RampStep(self.first_share, now_s)

    def observe(
        self, now_s: float, upstream_id: str, latency_ms: float | None, pool_latency_ms: float
    ) -> None:
        """Advance the ramp; `latency_ms` is None if nothing was answered since the last call."""
        step = self._steps.get(upstream_id)
        if step is None or latency_ms is None or now_s - step.changed_at_s < self.step_s:
            return
        slow = latency_ms > self.slow_ratio * pool_latency_ms
        step.share = max(self.first_share, step.share / 2) if slow else step.share * 2
        step.changed_at_s = now_s
        if step.share >= 1.0:
            del self._steps[upstream_id]

    def forget(self, upstream_id: str) -> None:
        """Drop an upstream that is gone."""
        self._steps.pop(upstream_id, None)

    def share(self, upstream_id: str) -> float:
        """Return the share in 0..1; 1 for an upstream that is warm."""
        step = self._steps.get(upstream_id)
        return 1.0 if step is None else step.share
