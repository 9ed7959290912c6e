"""Exponential backoff with full jitter."""

import random

__all__ = ["Backoff", "doubled_s"]

MAX_DOUBLINGS = 60  # a float holds no more than 1,023


def doubled_s(first_s: float, failures: int, limit_s: float) -> float:
    """Return a time in seconds that doubles with each failure after the first one."""
    return min(first_s * 2.0 ** min(failures - 1, MAX_DOUBLINGS), limit_s)


class Backoff:
    """Delays drawn uniformly below an exponentially growing bound."""

    def __init__(self, rng: random.Random, base_s: float = 0.02, limit_s: float = 0.5):
        self._rng = rng
        self._base_s = base_s
        self._limit_s = limit_s

    def delay_s(self, retry: int) -> float:
        """Return the delay in seconds before a retry, counted from 1."""
        return self._rng.uniform(0.0, doubled_s(self._base_s, retry, self._limit_s))
