"""Rows of the routes and pools tables, and the two tables with their revision."""

import attrs

__all__ = [
    "HISTORY_PREFIX",
    "TABLES_NAME",
    "Pool",
    "Route",
    "Tables",
    "history_name",
    "parse_key_source",
]

TABLES_NAME = "config/tables"
HISTORY_PREFIX = "config/history/"
KEY_KINDS = ("header", "path", "query")


def history_name(revision: int) -> str:
    """Return the name of the store object that keeps an earlier revision."""
    return f"{HISTORY_PREFIX}{revision}"


def parse_key_source(text: str) -> tuple[str, str]:
    """Split `header:NAME`, `path:INDEX` or `query:NAME` into kind and argument.

    `path:0` is the first segment after the route's prefix. Raises ValueError for any other form.
    """
    kind, separator, argument = text.partition(":")
    if not separator or kind not in KEY_KINDS or not argument:
        raise ValueError(f"key source {text!r} is not header:NAME, path:INDEX or query:NAME")
    if kind == "path" and not (argument.isascii() and argument.isdigit()):
        raise ValueError(f"path index {argument!r} is not a whole number")
    return kind, argument


@attrs.frozen
class Route:
    """Requests under a path prefix, the pool that serves them and where their key is.

    Of the routes whose prefix matches, the one with the highest `priority` is used, then the one
    with the longest prefix. `timeout_ms` applies when the caller sets no shorter deadline.
    """

    name: str
    path_prefix: str
    pool: str
    key_source: str
    idempotent: bool = False
    timeout_ms: int = 2000
    max_body_bytes: int = 1_048_576
    tenant_header: str = "Firefly-Tenant"
    priority: int = 0


@attrs.frozen
class Pool:
    """Upstreams that share a set of keys, with admission, retry and placement settings.

    `data_centres` are those in which the pool has groups; `tenants` maps a tenant to its weight
    in the fair queue. `retry_share` is the share of successes that may be spent on retries.
    """

    name: str
    data_centres: tuple[str, ...]
    buckets: int = 4096
    groups_per_data_centre: int = 1
    tenants: dict[str, int] = attrs.field(factory=dict)
    retry_share: float = 0.1
    queue_length: int = 64
    queue_wait_ms: int = 500
    takeover: str = "auto"
    unchecked_policy: str = "hold"
    imbalance_weight: float = 1.0
    churn_weight: float = 1.0
    unavailable_weight: float = 1.0


@attrs.frozen
class Tables:
    """Both tables at one revision, with the edit's author and note."""

    revision: int = 0
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    author: str = ""
    note: str = ""

    def route(self, name: str) -> Route | None:
        """Return the route with a name, or None."""
        return next((row for row in self.routes if row.name == name), None)

    def pool(self, name: str) -> Pool | None:
        """Return the pool with a name, or None."""
        return next((row for row in self.pools if row.name == name), None)
