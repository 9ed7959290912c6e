"""Edits of tables: add, change and remove rows, and the next revision."""

from typing import Any

import attrs

from fireflyferry.errors import FireflyferryError
from fireflyferry.tables.model import Pool, Route, Tables

__all__ = ["EditError", "add_row", "change_row", "next_revision", "remove_row", "restore"]

Row = Route | Pool


class EditError(FireflyferryError):
    """An edit that does not fit the tables, such as a change of a row that does not exist."""

    code = "bad_edit"


def _rows(tables: Tables, table: str) -> tuple[Row, ...]:
    return getattr(tables, table)


def _row_names(tables: Tables, table: str) -> str:
    return ", ".join(sorted(row.name for row in _rows(tables, table))) or "none"


def _with_rows(tables: Tables, table: str, rows: Any) -> Tables:
    ordered = tuple(sorted(rows, key=lambda row: row.name))
    return attrs.evolve(tables, **{table: ordered})


def add_row(tables: Tables, table: str, row: Row) -> Tables:
    """Add a row.

    Raises EditError when a row of that name exists.
    """
    if any(other.name == row.name for other in _rows(tables, table)):
        raise EditError(f"{table} {row.name}: the row already exists")
    return _with_rows(tables, table, (*_rows(tables, table), row))


def change_row(tables: Tables, table: str, name: str, columns: dict[str, Any]) -> Tables:
    """Change some columns of a row.

    Raises EditError when there is no such row, or when the change would rename it.
    """
    if "name" in columns:
        raise EditError(f"{table} {name}: a row cannot be renamed; add a new row instead")
    rows = _rows(tables, table)
    if not any(row.name == name for row in rows):
        raise EditError(f"{table} {name}: no such row; rows: {_row_names(tables, table)}")
    changed = (attrs.evolve(row, **columns) if row.name == name else row for row in rows)
    return _with_rows(tables, table, changed)


def remove_row(tables: Tables, table: str, name: str) -> Tables:
    """Remove a row.

    Raises EditError when there is no such row.
    """
    rows = _rows(tables, table)
    if not any(row.name == name for row in rows):
        raise EditError(f"{table} {name}: no such row; rows: {_row_names(tables, table)}")
    return _with_rows(tables, table, (row for row in rows if row.name != name))


def restore(current: Tables, earlier: Tables) -> Tables:
    """Return the current tables with the rows of an earlier revision."""
    return attrs.evolve(current, routes=earlier.routes, pools=earlier.pools)


def next_revision(current: Tables, edited: Tables, author: str, note: str) -> Tables:
    """Return the edited tables, rows ordered by name, as the revision after the current one."""
    removed = {pool.name: pool.buckets for pool in current.pools if not edited.pool(pool.name)}
    ordered = _with_rows(_with_rows(edited, "routes", edited.routes), "pools", edited.pools)
    return attrs.evolve(
        ordered,
        revision=current.revision + 1,
        author=author,
        note=note,
        retired={**current.retired, **removed},
    )
