"""Samples of the keys that callers of this VM ask for."""

import random
from collections.abc import Mapping

__all__ = ["KeySampler"]


class KeySampler:
    """Keeps a uniform sample of each pool's keys for one period, of bounded size."""

    def __init__(self, rng: random.Random, capacity: int = 200):
        self._rng = rng
        self._capacity = capacity
        self._keys: dict[str, list[int]] = {}
        self._seen: dict[str, int] = {}

    def on_key(self, pool: str, key: int) -> None:
        """Count a request."""
        keys = self._keys.setdefault(pool, [])
        seen = self._seen[pool] = self._seen.get(pool, 0) + 1
        if len(keys) < self._capacity:
            keys.append(key)
            return
        place = self._rng.randrange(seen)
        if place < self._capacity:
            keys[place] = key

    def take(self) -> Mapping[str, tuple[list[int], float]]:
        """Return keys with the number of requests that each stands for, and start anew."""
        taken = {pool: (keys, self._seen[pool] / len(keys)) for pool, keys in self._keys.items()}
        self._keys, self._seen = {}, {}
        return taken
