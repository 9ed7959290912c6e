"""Split of a route's requests between pools by weight."""

from collections.abc import Sequence

from fireflyferry.routing.hosts import PoolShare

__all__ = ["TrafficSplitter"]


class TrafficSplitter:
    """Smooth weighted round robin, so that each share is right also over short times."""

    def __init__(self) -> None:
        self._credits: dict[tuple[PoolShare, ...], list[float]] = {}

    def choose(self, shares: Sequence[PoolShare]) -> str:
        """Return the pool of the next request."""
        if len(shares) == 1:
            return shares[0].pool
        key = tuple(shares)
        total = sum(each.weight for each in key)
        credit = self._credits.setdefault(key, [0.0] * len(key))
        for index, each in enumerate(key):
            credit[index] += each.weight
        best = max(range(len(key)), key=lambda index: credit[index])
        credit[best] -= total
        return key[best].pool

    def retain(self, used: Sequence[tuple[PoolShare, ...]]) -> None:
        """Drop the state of splits that no route uses any more."""
        kept = set(used)
        self._credits = {key: each for key, each in self._credits.items() if key in kept}
