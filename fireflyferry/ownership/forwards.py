"""Requests on their way to upstreams that check nothing."""

from collections import Counter

from fireflyferry.ownership.rows import UnitRow

__all__ = ["ForwardCounter"]


class ForwardCounter:
    """Requests that were forwarded and neither answered nor acknowledged as cancelled."""

    def __init__(self) -> None:
        self._running: Counter[tuple[str, str, str]] = Counter()

    def begin(self, upstream_id: str, unit: str, key: str) -> None:
        """Count a request before it is sent."""
        self._running[upstream_id, unit, key] += 1

    def end(self, upstream_id: str, unit: str, key: str) -> None:
        """Drop a counted request."""
        entry = upstream_id, unit, key
        if entry in self._running:
            self._running[entry] -= 1
            if not self._running[entry]:
                del self._running[entry]

    def is_running(self, upstream_id: str, unit: str, row: UnitRow) -> bool:
        """Return whether requests of a unit may still reach an upstream.

        Requests for a split key may have been sent under its bucket.
        """
        return any(
            name == upstream_id
            and (sent_unit == unit or (sent_unit == row.bucket and key == row.key))
            for name, sent_unit, key in self._running
        )
