"""Count of requests forwarded to upstreams that do not check grants."""

from collections import Counter

from fireflyferry.ownership.rows import UnitRow

__all__ = ["ForwardCounter"]


class ForwardCounter:
    """Counts forwarded requests that are neither answered nor confirmed as cancelled."""

    def __init__(self) -> None:
        self._by_unit: Counter[tuple[str, str]] = Counter()
        self._by_key: Counter[tuple[str, str, str]] = Counter()

    def begin(self, upstream_id: str, unit: str, key: str) -> None:
        """Count a request before it is sent."""
        self._by_unit[upstream_id, unit] += 1
        self._by_key[upstream_id, unit, key] += 1

    def end(self, upstream_id: str, unit: str, key: str) -> None:
        """Stop counting a request; one that was not counted has no effect."""
        if (upstream_id, unit, key) in self._by_key:
            _decrement(self._by_unit, (upstream_id, unit))
            _decrement(self._by_key, (upstream_id, unit, key))

    def any_running(self) -> bool:
        """Return whether any counted request has not ended."""
        return bool(self._by_unit)

    def is_running(self, upstream_id: str, unit: str, row: UnitRow) -> bool:
        """Return whether requests of a unit may still reach an upstream.

        A request for a split key may have been sent as one of its bucket, before the split.
        """
        return (upstream_id, unit) in self._by_unit or (
            row.key is not None and (upstream_id, row.bucket, row.key) in self._by_key
        )


def _decrement(counter: Counter, entry: tuple[str, ...]) -> None:
    counter[entry] -= 1
    if not counter[entry]:
        del counter[entry]
