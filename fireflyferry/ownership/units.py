"""Table of a group's units."""

from fireflyferry.ownership.rows import UnitRow
from fireflyferry.placement.units import bucket_unit, key_unit, parse_unit

__all__ = ["UnitTable"]


class UnitTable(dict[str, UnitRow]):
    """Rows by unit id, with the single-key units of each bucket."""

    def __init__(self) -> None:
        super().__init__()
        self._keys: dict[str, dict[str, None]] = {}

    def add(self, unit: str, split: bool) -> UnitRow:
        """Add a unit without owner; a bucket is always split.

        Raises ValueError for an id that names no unit.
        """
        parsed = parse_unit(unit)
        row = UnitRow(bucket_unit(parsed.bucket), parsed.key, split=split or parsed.key is None)
        self[unit] = row
        if parsed.key is not None:
            self._keys.setdefault(row.bucket, {})[unit] = None
        return row

    def remove(self, unit: str) -> None:
        """Remove a unit."""
        row = self.pop(unit)
        if row.key is not None:
            keys = self._keys[row.bucket]
            del keys[unit]
            if not keys:
                del self._keys[row.bucket]

    def has_keys(self, bucket: str) -> bool:
        """Return whether a bucket has single-key units."""
        return bucket in self._keys

    def excluded(self, bucket: str) -> tuple[str, ...]:
        """Return the keys that are owned apart from a bucket."""
        rows = (self[unit] for unit in self._keys.get(bucket, ()))
        return tuple(row.key for row in rows if row.split and row.key is not None)

    def unit_of(self, bucket: int, key: str) -> str:
        """Return the unit that a key belongs to now."""
        own = key_unit(bucket, key)
        row = self.get(own)
        apart = row is not None and (row.split or row.target is None)
        return own if apart else bucket_unit(bucket)
