"""Choice of an upstream for a request without a key."""

import random
from collections.abc import Callable, Container, Iterable

import attrs

from fireflyferry.balancing.directory import Upstream
from fireflyferry.balancing.spillover import (
    Demand,
    LeaveReason,
    Option,
    SpilloverRules,
    choose_option,
)
from fireflyferry.keyranges import UpstreamRun
from fireflyferry.retries import doubled_s

__all__ = ["Choice", "LoadTracker", "SelectionRules"]


@attrs.frozen
class SelectionRules:
    """Weights of the cost, in seconds, by which upstreams of one data centre are compared.

    `spillover` says when a request leaves the data centre. An upstream elsewhere that had no room
    is not asked again for `first_full_s`, doubled with each refusal up to `max_full_s`: without
    that, 89 VMs that ask 5 full data centres once a second each make 445 requests a second.
    """

    spillover: SpilloverRules = attrs.field(factory=SpilloverRules)
    first_full_s: float = 0.5
    max_full_s: float = 4.0
    jitter_s: float = 0.01
    max_forecast_age_s: float = 1.0
    warmup_cost_factor: float = 1.0
    first_avoid_s: float = 1.0  # an upstream that failed once is avoided for this time
    max_avoid_s: float = 8.0
    failure_weight: float = 0.2  # weight of one answer in the moving average of failures
    failure_cost_s: float = 1.0


@attrs.define
class _UpstreamLoad:
    """Last forecast, requests in flight and failures of one upstream, as seen by this VM."""

    wait_s: float = 0.0
    service_s: float = 0.0
    forecast_at_s: float = float("-inf")
    in_flight: int = 0
    consecutive_failures: int = 0
    avoid_until_s: float = 0.0
    failure_share: float = 0.0
    consecutive_full: int = 0
    full_until_s: float = 0.0


@attrs.frozen
class Choice:
    """A chosen upstream with its expected wait and the age of that forecast, in seconds.

    `distance` is 0 in this VM's data centre, 1 in its region, 2 elsewhere; `why` says what led
    there.
    """

    upstream: Upstream
    wait_s: float
    age_s: float
    distance: int = 0
    why: LeaveReason = LeaveReason.NEAR


class LoadTracker:
    """Forecasts, requests in flight and failures of upstreams as seen by one VM.

    They are kept for each incarnation, since requests to an earlier one may still fail when the
    next one is already in use.
    """

    def __init__(self, rules: SelectionRules, rng: random.Random):
        self._rules = rules
        self._rng = rng
        self._loads: dict[UpstreamRun, _UpstreamLoad] = {}

    def on_sent(self, run: UpstreamRun) -> None:
        """Count a request that is sent to an upstream."""
        self._load_of(run).in_flight += 1

    def on_ended(self, run: UpstreamRun) -> None:
        """Count the end of a request to an upstream."""
        self._load_of(run).in_flight -= 1

    def on_forecast(self, now_s: float, run: UpstreamRun, wait_s: float, service_s: float) -> None:
        """Store the forecast that came with an answer; times in seconds."""
        load = self._load_of(run)
        load.wait_s, load.service_s, load.forecast_at_s = wait_s, service_s, now_s

    def on_answer(self, run: UpstreamRun, failed: bool) -> None:
        """Record an answer; `failed` if it was an error of the upstream itself."""
        load = self._load_of(run)
        load.consecutive_failures = 0
        weight = self._rules.failure_weight
        load.failure_share += weight * (float(failed) - load.failure_share)

    def on_no_answer(self, now_s: float, run: UpstreamRun) -> float:
        """Record a request without a usable answer; return the avoidance time in seconds."""
        load = self._load_of(run)
        load.consecutive_failures += 1
        rules = self._rules
        avoid_s = doubled_s(rules.first_avoid_s, load.consecutive_failures, rules.max_avoid_s)
        load.avoid_until_s = now_s + avoid_s * self._rng.uniform(0.8, 1.2)
        return avoid_s

    def on_room(self, run: UpstreamRun) -> None:
        """Record that an upstream, or the last hop that it shares, had room for a request."""
        self._load_of(run).consecutive_full = 0

    def on_no_room(self, now_s: float, run: UpstreamRun) -> None:
        """Record that an upstream, or the last hop that it shares, had no room for a request."""
        load, rules = self._load_of(run), self._rules
        load.consecutive_full += 1
        full_s = doubled_s(rules.first_full_s, load.consecutive_full, rules.max_full_s)
        load.full_until_s = now_s + full_s * self._rng.uniform(0.8, 1.2)

    def service_s(self, run: UpstreamRun) -> float:
        """Return the last reported mean service time in seconds; 0 if there is none."""
        return self._load_of(run).service_s

    def wait_s(self, now_s: float, upstream: Upstream) -> float:
        """Estimate how many seconds a request waits at an upstream whose last hop is another VM."""
        load = self._load_of(upstream.run)
        age_s = now_s - load.forecast_at_s
        forecast_s = 0.0
        if age_s < self._rules.max_forecast_age_s:
            forecast_s = max(0.0, load.wait_s - age_s)
        queued = max(0, load.in_flight + 1 - upstream.slots)
        return max(forecast_s, queued * load.service_s / upstream.slots)

    def choose(
        self,
        now_s: float,
        upstreams: Iterable[Upstream],
        distance: Callable[[Upstream], int],
        demand: Demand,
        exact_wait: Callable[[Upstream], tuple[float, float] | None],
        tried: Container[str] = (),
    ) -> Choice | None:
        """Return the upstream for a request.

        None if all were tried, or if a request that was refused nearer by gains nothing elsewhere.
        `distance` returns 0 in this VM's data centre, 1 in its region, 2 elsewhere. `exact_wait`
        returns wait and service time in seconds if this VM is the upstream's last hop, else None.
        """
        upstreams = list(upstreams)
        mean_service_s = self._mean_service_s(upstreams)
        untried = [each for each in upstreams if each.run.upstream_id not in tried]
        exact = [exact_wait(each) for each in untried]
        options = [
            self._option(now_s, upstream, distance(upstream), forecast, mean_service_s)
            for upstream, forecast in zip(untried, exact, strict=True)
        ]
        draws = [self._rng.random() for _ in range(4)]
        chosen = choose_option(options, demand, self._rules.spillover, draws)
        if chosen is None:
            return None
        index, why = chosen
        upstream, option = untried[index], options[index]
        age_s = 0.0 if exact[index] else now_s - self._load_of(upstream.run).forecast_at_s
        return Choice(upstream, option.wait_s, age_s, option.distance, why)

    def _option(
        self,
        now_s: float,
        upstream: Upstream,
        distance: int,
        forecast: tuple[float, float] | None,
        mean_service_s: float,
    ) -> Option:
        rules, load = self._rules, self._load_of(upstream.run)
        wait_s, service_s = forecast or (
            self.wait_s(now_s, upstream),
            load.service_s or mean_service_s,
        )
        cost_s = wait_s + service_s + self._rng.uniform(0.0, rules.jitter_s)
        cost_s += load.failure_share * rules.failure_cost_s
        if upstream.warmup_left_s > 0.0:
            cost_s += rules.warmup_cost_factor * service_s
        return Option(
            distance,
            wait_s,
            service_s,
            cost_s,
            upstream.slots,
            load.failure_share,
            avoided=now_s < load.avoid_until_s,
            full=now_s < load.full_until_s,
        )

    def _mean_service_s(self, upstreams: Iterable[Upstream]) -> float:
        """Return the mean of the known service times in seconds; 0 if none is known."""
        loads = (self._load_of(each.run) for each in upstreams)
        known = [load.service_s for load in loads if load.service_s]
        return sum(known) / len(known) if known else 0.0

    def retain(self, known: Container[UpstreamRun]) -> None:
        """Keep only known upstreams and those with requests in flight."""
        self._loads = {
            run: load for run, load in self._loads.items() if run in known or load.in_flight
        }

    def _load_of(self, run: UpstreamRun) -> _UpstreamLoad:
        load = self._loads.get(run)
        if load is None:
            load = self._loads[run] = _UpstreamLoad()
        return load
