"""Rows of the routes and pools tables, and the two tables with their revision."""

import attrs

from fireflyferry.settings.values import (
    Choice,
    Flag,
    Integer,
    Number,
    Text,
    TextList,
    Weights,
    field,
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

TABLES_NAME = "config/tables"
HISTORY_PREFIX = "config/history/"
KEY_KINDS = ("header", "path", "query")

# Names become parts of store object names and of group ids, whose parts are separated by slashes.
NAME = Text(
    r"[a-z][a-z0-9-]{0,39}",
    "1 to 40 lower-case letters, digits and hyphens, starting with a letter",
)
PREFIX = Text(
    r"/([A-Za-z0-9._~-]+/)*([A-Za-z0-9._~-]+)?",
    "a path that starts with /, with segments of letters, digits and ._~-",
)
TENANT = Text(r"[A-Za-z0-9._-]{1,64}", "1 to 64 letters, digits and ._-")
HEADER = Text(r"[A-Za-z0-9-]{1,64}", "a header name of letters, digits and hyphens")
KEY_SOURCE = Text(
    r"header:[A-Za-z0-9-]{1,64}|path:[0-9]{1,2}|query:[A-Za-z0-9._~-]{1,64}",
    "header:NAME, path:INDEX (from 0, after the prefix) or query:NAME",
)
MAX_ROUTES = 10_000
MAX_POOLS = 1_000
MAX_TENANTS = 1_000
MAX_BODY_BYTES = 1_073_741_824
MAX_TIME_MS = 3_600_000
# The store object placements/POOL takes less than 100 KB for up to 16,384 buckets.
MAX_BUCKETS = 16_384
TENANTS = Weights(TENANT, Integer(1, 1000), MAX_TENANTS)
WEIGHT = Number(0, 1000)


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


def _segments(prefix: str) -> str:
    return prefix.rstrip("/") + "/"


@attrs.frozen
class Route:
    """A path prefix, the pool that serves requests under it, and where their key is.

    A prefix matches whole segments. Of the routes that match, the one with the highest `priority`
    is used, then the one with the longest prefix. `timeout_ms` applies when the caller sets no
    shorter deadline.
    """

    name: str = field(NAME)
    path_prefix: str = field(PREFIX)
    pool: str = field(NAME)
    key_source: str = field(KEY_SOURCE)
    idempotent: bool = field(Flag(), False)
    timeout_ms: int = field(Integer(1, MAX_TIME_MS), 2000)
    max_body_bytes: int = field(Integer(0, MAX_BODY_BYTES), 1_048_576)
    tenant_header: str = field(HEADER, "Firefly-Tenant")
    priority: int = field(Integer(-1000, 1000), 0)

    def matches(self, path: str) -> bool:
        """Return whether a path, without its query, is under the prefix."""
        return _segments(path).startswith(_segments(self.path_prefix))

    def shadows(self, other: "Route") -> bool:
        """Return whether no request can reach the other route because this one is preferred."""
        if not self.matches(other.path_prefix):
            return False
        if self.priority != other.priority:
            return self.priority > other.priority
        return _segments(self.path_prefix) == _segments(other.path_prefix)


@attrs.frozen
class Pool:
    """Upstreams that share a set of keys, with admission, retry and placement settings.

    `data_centres` are those in which the pool has groups; `tenants` maps a tenant to its weight
    in the fair queue, where tenants that are not listed share one queue of weight 1.
    `retry_share` limits retries to a share of the successful requests. With `takeover` set
    to `hold`, a lost leader is replaced only after an operator declared it lost. The last three
    columns weigh imbalance, moved load (churn) and time without an owner in placement.
    """

    name: str = field(NAME)
    data_centres: tuple[str, ...] = field(TextList(NAME, 1, 64))
    buckets: int = field(Integer(1, MAX_BUCKETS), 4096)
    groups_per_data_centre: int = field(Integer(1, 64), 1)
    tenants: dict[str, int] = field(TENANTS, factory=dict)
    retry_share: float = field(Number(0, 0.5), 0.1)
    queue_length: int = field(Integer(0, 10_000), 64)
    queue_wait_ms: int = field(Integer(0, MAX_TIME_MS), 500)
    takeover: str = field(Choice(("auto", "hold")), "auto")
    unchecked_policy: str = field(Choice(("hold",)), "hold")
    imbalance_weight: float = field(WEIGHT, 1.0)
    churn_weight: float = field(WEIGHT, 1.0)
    unavailable_weight: float = field(WEIGHT, 1.0)

    @property
    def groups(self) -> int:
        """Number of groups in all data centres."""
        return len(self.data_centres) * self.groups_per_data_centre


@attrs.frozen
class Tables:
    """Both tables at one revision, with the edit's author and note.

    `edit_id` is a random id of each edit, to recognise it after a write with an unknown outcome;
    `edited_at` is the time by the author's wall clock, for display only.
    `retired` keeps the bucket count of each removed pool, because owners of its old buckets may
    still be saved in the store when the name is used again.
    """

    revision: int = 0
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    author: str = ""
    note: str = ""
    retired: dict[str, int] = attrs.field(factory=dict)
    edit_id: str = ""
    edited_at: str = ""

    def route(self, name: str) -> Route | None:
        """Return the route with a name, or None."""
        return next((row for row in self.routes if row.name == name), None)

    def pool(self, name: str) -> Pool | None:
        """Return the pool with a name, or None."""
        return next((row for row in self.pools if row.name == name), None)
