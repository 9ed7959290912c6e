"""Table of a group's units."""

from fireflyferry.ownership.rows import UnitRow
from fireflyferry.placement.units import bucket_unit, key_unit, parse_unit

__all__ = ["UnitTable"]


class UnitTable(dict[str, UnitRow]):
    """Units of one group by unit id, with an index of the single-key units of each bucket."""

    def __init__(self) -> None:
        super().__init__()
        self._key_units: dict[str, dict[str, None]] = {}

    def add(self, unit: str, split: bool) -> UnitRow:
        """Add a unit that has no owner yet; `split` has no effect on a bucket.

        Raises ValueError for a malformed unit id.
        """
        parsed = parse_unit(unit)
        row = UnitRow(bucket_unit(parsed.bucket), parsed.key, split=split or parsed.key is None)
        self[unit] = row
        if parsed.key is not None:
            self._key_units.setdefault(row.bucket, {})[unit] = None
        return row

    def remove(self, unit: str) -> None:
        """Remove a unit.

        Raises KeyError if it is unknown.
        """
        row = self.pop(unit)
        if row.key is not None:
            key_units = self._key_units[row.bucket]
            del key_units[unit]
            if not key_units:
                del self._key_units[row.bucket]

    def has_key_units(self, bucket: str) -> bool:
        """Return whether a bucket has single-key units."""
        return bucket in self._key_units

    def excluded_keys(self, bucket: str) -> tuple[str, ...]:
        """Return the keys of a bucket that are granted as units of their own."""
        rows = (self[unit] for unit in self._key_units.get(bucket, ()))
        return tuple(row.key for row in rows if row.split and row.key is not None)

    def unit_of(self, bucket: int, key: str) -> str:
        """Return the id of the unit that a key belongs to now."""
        own_unit = key_unit(bucket, key)
        row = self.get(own_unit)
        is_separate = row is not None and (row.split or row.target is None)
        return own_unit if is_separate else bucket_unit(bucket)
