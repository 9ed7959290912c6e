"""Split of a route's requests between pools by weight."""

from collections.abc import Sequence

from fireflyferry.routing.hosts import PoolShare

__all__ = ["TrafficSplitter"]


class TrafficSplitter:
    """Smooth weighted round robin, which keeps to the shares even over short times."""

    def __init__(self) -> None:
        self._credits: dict[tuple[PoolShare, ...], list[float]] = {}

    def choose(self, shares: Sequence[PoolShare]) -> str:
        """Return the pool for the next request."""
        if len(shares) == 1:
            return shares[0].pool
        key = tuple(shares)
        total = sum(each.weight for each in key)
        split_credits = self._credits.setdefault(key, [0.0] * len(key))
        for index, each in enumerate(key):
            split_credits[index] += each.weight
        best = max(range(len(key)), key=lambda index: split_credits[index])
        split_credits[best] -= total
        return key[best].pool

    def retain(self, used_splits: Sequence[tuple[PoolShare, ...]]) -> None:
        """Keep only the state of splits that a route still uses."""
        kept_splits = set(used_splits)
        self._credits = {key: each for key, each in self._credits.items() if key in kept_splits}
