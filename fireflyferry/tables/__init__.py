"""Routes and pools: model, validation, differences, edits and files."""

from fireflyferry.tables.diff import Change, diff_tables
from fireflyferry.tables.edits import (
    EditError,
    add_row,
    change_row,
    next_revision,
    remove_row,
    restore,
)
from fireflyferry.tables.files import TableFile, format_row, format_tables, parse_tables
from fireflyferry.tables.findings import Finding, InvalidTablesError
from fireflyferry.tables.model import (
    HISTORY_PREFIX,
    TABLES_NAME,
    Pool,
    Route,
    Tables,
    history_name,
    parse_key_source,
)
from fireflyferry.tables.rows import load_tables
from fireflyferry.tables.validation import UnsafeChange, unsafe_changes, validate

__all__ = [
    "HISTORY_PREFIX",
    "TABLES_NAME",
    "Change",
    "EditError",
    "Finding",
    "InvalidTablesError",
    "Pool",
    "Route",
    "TableFile",
    "Tables",
    "UnsafeChange",
    "add_row",
    "change_row",
    "diff_tables",
    "format_row",
    "format_tables",
    "history_name",
    "load_tables",
    "next_revision",
    "parse_key_source",
    "parse_tables",
    "remove_row",
    "restore",
    "unsafe_changes",
    "validate",
]
