"""Samples of the keys that callers request, and the load reports that carry them."""

import random

import attrs

__all__ = ["KeySampler", "LoadReport", "PoolSample"]


@attrs.frozen
class PoolSample:
    """Keys that one VM sampled from its requests to a pool; each stands for `weight` requests."""

    pool: str
    weight: float
    keys: tuple[int, ...]


@attrs.frozen
class LoadReport:
    """Sampled keys of one or more VMs, and mean service times in seconds by upstream id."""

    samples: tuple[PoolSample, ...]
    service_s: dict[str, float]


class KeySampler:
    """Reservoir sampler that keeps up to `capacity` keys of each pool's requests in a period."""

    def __init__(self, rng: random.Random, capacity: int = 200):
        self._rng = rng
        self._capacity = capacity
        self._keys: dict[str, list[int]] = {}
        self._counts: dict[str, int] = {}

    def on_key(self, pool: str, key: int) -> None:
        """Count a request and sample its key."""
        keys = self._keys.setdefault(pool, [])
        count = self._counts[pool] = self._counts.get(pool, 0) + 1
        if len(keys) < self._capacity:
            keys.append(key)
            return
        index = self._rng.randrange(count)
        if index < self._capacity:
            keys[index] = key

    def take(self) -> list[PoolSample]:
        """Return the sample of each pool and start a new period."""
        samples = [
            PoolSample(pool, self._counts[pool] / len(keys), tuple(keys))
            for pool, keys in self._keys.items()
        ]
        self._keys, self._counts = {}, {}
        return samples
