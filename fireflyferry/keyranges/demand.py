"""Demand for keys, estimated from a bounded sample of recent requests."""

import bisect
import collections
import itertools

import attrs

from fireflyferry.keyranges.table import KEY_COUNT

__all__ = ["KeyDemand", "KeySample"]

# Part of the demand that is spread over all keys, so that a range without a sample is not free.
UNIFORM_SHARE = 0.1
# Period over which a VM gathers its samples; a shorter window would know of some VMs only.
LEAST_WINDOW_S = 0.5


@attrs.frozen
class KeySample:
    """Keys that one VM saw in one period; each stands for `weight` requests."""

    at_s: float
    keys: tuple[int, ...]
    weight: float = 1.0


class KeyDemand:
    """Requests a second by key over a sliding window."""

    def __init__(self, window_s: float = 2.0, max_keys: int = 20_000):
        self._window_s = window_s
        self._max_keys = max_keys
        self._samples: collections.deque[KeySample] = collections.deque()
        self._size = 0
        self._keys: list[int] = []
        self._sums: list[float] = [0.0]
        self._fresh = True
        self._first_s: float | None = None
        self._now_s = 0.0

    @property
    def window_s(self) -> float:
        """Seconds that the samples cover: the window, or less while requests have just begun."""
        if self._first_s is None:
            return self._window_s
        return max(LEAST_WINDOW_S, min(self._window_s, self._now_s - self._first_s))

    @property
    def total(self) -> float:
        """Requests a second for all keys."""
        self._refresh()
        return self._sums[-1] / self.window_s

    def add(self, sample: KeySample) -> None:
        """Add a sample; the oldest go when there are too many keys."""
        if not self._samples:
            # It was gathered over about the least window.
            self._first_s = sample.at_s - LEAST_WINDOW_S
        self._now_s = max(self._now_s, sample.at_s)
        self._samples.append(sample)
        self._size += len(sample.keys)
        while self._size > self._max_keys:
            self._drop()
        self._fresh = False

    def expire(self, now_s: float) -> None:
        """Drop samples that left the window."""
        self._now_s = max(self._now_s, now_s)
        while self._samples and self._samples[0].at_s < now_s - self._window_s:
            self._drop()
            self._fresh = False

    def between(self, first: int, last: int) -> float:
        """Return the requests a second for keys `first` to `last`."""
        self._refresh()
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last)
        seen = (self._sums[high] - self._sums[low]) / self.window_s
        spread = self.total * (last - first + 1) / KEY_COUNT
        return (1 - UNIFORM_SHARE) * seen + UNIFORM_SHARE * spread

    def seen_between(self, first: int, last: int) -> int:
        """Count the sampled keys from `first` to `last`."""
        self._refresh()
        return bisect.bisect_right(self._keys, last) - bisect.bisect_left(self._keys, first)

    def hottest(self) -> tuple[int, float, int] | None:
        """Return the key with most requests, its requests a second, and how many were sampled."""
        self._refresh()
        best: tuple[int, float, int] | None = None
        end = 0
        for key, group in itertools.groupby(self._keys):
            start, end = end, end + sum(1 for _ in group)
            rate = (self._sums[end] - self._sums[start]) / self.window_s
            if best is None or rate > best[1]:
                best = (key, rate, end - start)
        return best

    def keys_between(self, first: int, last: int) -> list[int]:
        """Return the distinct sampled keys from `first` to `last`, in order."""
        self._refresh()
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last)
        return [key for key, _ in itertools.groupby(self._keys[low:high])]

    def _drop(self) -> None:
        self._size -= len(self._samples.popleft().keys)

    def _refresh(self) -> None:
        if self._fresh:
            return
        pairs = sorted((key, sample.weight) for sample in self._samples for key in sample.keys)
        self._keys = [key for key, _ in pairs]
        self._sums = [0.0, *itertools.accumulate(weight for _, weight in pairs)]
        self._fresh = True
