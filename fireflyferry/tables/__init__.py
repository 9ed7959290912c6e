"""Routes and pools: model, validation, differences and edits."""

from fireflyferry.tables.model import (
    HISTORY_PREFIX,
    TABLES_NAME,
    Pool,
    Route,
    Tables,
    history_name,
    parse_key_source,
)

__all__ = [
    "HISTORY_PREFIX",
    "TABLES_NAME",
    "Pool",
    "Route",
    "Tables",
    "history_name",
    "parse_key_source",
]
