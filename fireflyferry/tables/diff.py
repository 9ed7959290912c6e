"""Differences between two revisions, by row and column."""

from collections.abc import Iterator
from typing import Any

import attrs

from fireflyferry.settings.values import value_type_of
from fireflyferry.tables.model import Tables

__all__ = ["Change", "diff_tables", "format_value"]


@attrs.frozen
class Change:
    """One column that differs; `before` or `after` is None if the row does not exist there."""

    table: str
    row: str
    column: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        place = f"{self.table} {self.row} {self.column}"
        if self.before is None:
            return f"+ {place}: {self.after}"
        if self.after is None:
            return f"- {place}: {self.before}"
        return f"~ {place}: {self.before} -> {self.after}"


def format_value(row: Any, column: str) -> str:
    """Format a column's value as in a table file."""
    return value_type_of(getattr(attrs.fields(type(row)), column)).format(getattr(row, column))


def _cells(rows: tuple) -> dict[str, dict[str, str]]:
    return {
        row.name: {
            attribute.name: format_value(row, attribute.name)
            for attribute in attrs.fields(type(row))
            if attribute.name != "name"
        }
        for row in rows
    }


def _diff_rows(table: str, old: tuple, new: tuple) -> Iterator[Change]:
    before, after = _cells(old), _cells(new)
    for name in sorted(before.keys() | after.keys()):
        old_cells, new_cells = before.get(name), after.get(name)
        for column in old_cells or new_cells or ():
            pair = (old_cells and old_cells[column], new_cells and new_cells[column])
            if old_cells is None:
                yield Change(table, name, column, None, pair[1])
            elif new_cells is None:
                yield Change(table, name, column, pair[0], None)
            elif pair[0] != pair[1]:
                yield Change(table, name, column, *pair)


def diff_tables(old: Tables, new: Tables) -> tuple[Change, ...]:
    """Return the columns that differ, ordered by table and row; revision and note are ignored."""
    return (
        *_diff_rows("routes", old.routes, new.routes),
        *_diff_rows("pools", old.pools, new.pools),
    )
