"""Demand for keys, estimated from a bounded sample of recent requests."""

import bisect
import collections
import itertools

import attrs

from fireflyferry.keyranges.table import KEY_COUNT

__all__ = ["SAMPLE_PERIOD_S", "KeyDemand", "KeySample"]

# Share of the demand that is spread evenly over all keys, so that a range without samples does not
# count as free of load.
UNIFORM_SHARE = 0.1
# Period over which each VM collects a sample.
SAMPLE_PERIOD_S = 0.5
# A key whose demand has just risen is found from the samples of this time alone; over the whole
# window its rate would appear as a fraction for seconds.
RISE_WINDOW_S = 0.6


@attrs.frozen
class KeySample:
    """Keys that one VM sampled in one period; each represents `weight` requests.

    `at_s` is the time in seconds at which the sample was received.
    """

    at_s: float
    keys: tuple[int, ...]
    weight: float = 1.0


class KeyDemand:
    """Requests per second by key over a sliding window."""

    def __init__(self, window_s: float = 2.0, max_keys: int = 20_000):
        self._window_s = window_s
        self._max_keys = max_keys
        self._samples: collections.deque[KeySample] = collections.deque()
        self._sample_key_count = 0
        self._sorted_keys: list[int] = []
        self._cumulative_weights: list[float] = [0.0]
        self._is_refreshed = True

    @property
    def window_s(self) -> float:
        """Seconds that the samples cover.

        It ends with the last sample and not now: VMs that started together report together, and
        until the next reports the requests since then are unknown.
        """
        if not self._samples:
            return self._window_s
        covered_s = self._samples[-1].at_s - self._samples[0].at_s + SAMPLE_PERIOD_S
        return min(self._window_s, covered_s)

    @property
    def total_rate(self) -> float:
        """Requests per second for all keys."""
        self._refresh()
        return self._cumulative_weights[-1] / self.window_s

    def add(self, sample: KeySample) -> None:
        """Add a sample; the oldest samples are dropped when there are too many keys."""
        self._samples.append(sample)
        self._sample_key_count += len(sample.keys)
        while self._sample_key_count > self._max_keys:
            self._drop_oldest()
        self._is_refreshed = False

    def expire(self, now_s: float) -> None:
        """Drop samples that are older than the window."""
        while self._samples and self._samples[0].at_s <= now_s - self._window_s:
            self._drop_oldest()
            self._is_refreshed = False

    def rate_between(self, first: int, last: int) -> float:
        """Return the requests per second for keys `first` to `last`."""
        self._refresh()
        low = bisect.bisect_left(self._sorted_keys, first)
        high = bisect.bisect_right(self._sorted_keys, last)
        sampled_rate = (
            self._cumulative_weights[high] - self._cumulative_weights[low]
        ) / self.window_s
        uniform_rate = self.total_rate * (last - first + 1) / KEY_COUNT
        return (1 - UNIFORM_SHARE) * sampled_rate + UNIFORM_SHARE * uniform_rate

    def samples_between(self, first: int, last: int) -> int:
        """Count the sampled keys from `first` to `last`."""
        self._refresh()
        return bisect.bisect_right(self._sorted_keys, last) - bisect.bisect_left(
            self._sorted_keys, first
        )

    def hottest_key(self) -> tuple[int, float, int] | None:
        """Return the key with the most requests, its requests per second, and its sample count.

        The rate is that of the whole window or, if higher, that of the last `RISE_WINDOW_S`.
        """
        self._refresh()
        best: tuple[int, float, int] | None = None
        end = 0
        for key, group in itertools.groupby(self._sorted_keys):
            start, end = end, end + sum(1 for _ in group)
            rate = (self._cumulative_weights[end] - self._cumulative_weights[start]) / self.window_s
            if best is None or rate > best[1]:
                best = (key, rate, end - start)
        rising = self._rising_key()
        if best is None or rising is None or rising[1] <= best[1]:
            return best
        return rising

    def _rising_key(self) -> tuple[int, float, int] | None:
        """Return the key with the most recent requests, with its rate and sample count."""
        if not self._samples:
            return None
        covered_s = min(RISE_WINDOW_S, self.window_s)
        since_s = self._samples[-1].at_s - covered_s
        weights: collections.Counter[int] = collections.Counter()
        counts: collections.Counter[int] = collections.Counter()
        for sample in itertools.takewhile(
            lambda each: each.at_s > since_s, reversed(self._samples)
        ):
            for key in sample.keys:
                weights[key] += sample.weight
                counts[key] += 1
        if not weights:
            return None
        key = max(weights, key=lambda each: (weights[each], each))
        return key, weights[key] / covered_s, counts[key]

    def distinct_keys_between(self, first: int, last: int) -> list[int]:
        """Return the distinct sampled keys from `first` to `last`, in order."""
        self._refresh()
        low = bisect.bisect_left(self._sorted_keys, first)
        high = bisect.bisect_right(self._sorted_keys, last)
        return [key for key, _ in itertools.groupby(self._sorted_keys[low:high])]

    def _drop_oldest(self) -> None:
        self._sample_key_count -= len(self._samples.popleft().keys)

    def _refresh(self) -> None:
        if self._is_refreshed:
            return
        weighted_keys = sorted(
            (key, sample.weight) for sample in self._samples for key in sample.keys
        )
        self._sorted_keys = [key for key, _ in weighted_keys]
        self._cumulative_weights = [
            0.0,
            *itertools.accumulate(weight for _, weight in weighted_keys),
        ]
        self._is_refreshed = True
