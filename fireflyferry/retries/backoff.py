"""Exponential backoff with full jitter."""

import random

__all__ = ["Backoff"]


class Backoff:
    """Delays drawn uniformly below an exponentially growing bound."""

    def __init__(self, rng: random.Random, base_s: float = 0.02, limit_s: float = 0.5):
        self._rng = rng
        self._base_s = base_s
        self._limit_s = limit_s

    def delay_s(self, retry: int) -> float:
        """Return the delay in seconds before a retry, counted from 1."""
        return self._rng.uniform(0.0, min(self._limit_s, self._base_s * 2.0 ** (retry - 1)))
