"""Plan of a load run: which request is due at which time."""

import bisect
import itertools
import random
from collections.abc import Iterator

import attrs

from fireflyferry.experiments.load_scenario import RequestKind, Scenario

__all__ = ["Arrival", "arrivals"]

# Distance by which the popular keys move, to keys that were not popular. It is prime, so that
# repeated moves reach all keys.
HOT_SHIFT_KEYS = 99_991


@attrs.frozen
class Arrival:
    """A request that is due `at_s` seconds after the start."""

    at_s: float
    kind: RequestKind
    key: str
    tenant: str


class _WeightedSampler:
    """Draws positions at random by weight."""

    def __init__(self, weights: Iterator[float]) -> None:
        self._cumulative_weights = list(itertools.accumulate(weights))

    def draw(self, rng: random.Random) -> int:
        point = rng.random() * self._cumulative_weights[-1]
        return min(
            bisect.bisect(self._cumulative_weights, point), len(self._cumulative_weights) - 1
        )


def _key_sampler(kind: RequestKind) -> _WeightedSampler | None:
    if kind.distribution == "uniform":
        return None
    return _WeightedSampler(1 / rank**kind.zipf_exponent for rank in range(1, kind.keys + 1))


def arrivals(scenario: Scenario) -> Iterator[Arrival]:
    """Yield the requests of a scenario in order of time, the same ones for the same seed."""
    rng = random.Random(scenario.seed)
    kinds = _WeightedSampler(kind.share for kind in scenario.kinds)
    tenants = _WeightedSampler(iter(scenario.tenants.values()))
    tenant_names = list(scenario.tenants)
    key_samplers = [_key_sampler(kind) for kind in scenario.kinds]
    at_s = 0.0
    while True:
        if scenario.arrivals == "poisson":
            at_s += rng.expovariate(scenario.rate_per_s)
        else:
            at_s += 1 / scenario.rate_per_s
        if at_s >= scenario.duration_s:
            return
        position = kinds.draw(rng)
        kind = scenario.kinds[position]
        number = _key_number(rng, at_s, kind, key_samplers[position])
        tenant = tenant_names[tenants.draw(rng)]
        yield Arrival(at_s, kind, f"{kind.name}-{number}", tenant)


def _key_number(
    rng: random.Random, at_s: float, kind: RequestKind, sampler: _WeightedSampler | None
) -> int:
    if sampler is None:
        return rng.randrange(kind.keys)
    shifts = int(at_s / kind.hot_shift_s) if kind.hot_shift_s else 0
    return (sampler.draw(rng) + shifts * HOT_SHIFT_KEYS) % kind.keys
