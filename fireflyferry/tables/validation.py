"""Checks of whole tables, and of changes that are unsafe while requests are served."""

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import chain

import attrs

from fireflyferry.messages import encode
from fireflyferry.settings.values import value_type_of
from fireflyferry.tables.findings import Finding
from fireflyferry.tables.model import MAX_POOLS, MAX_ROUTES, Pool, Route, Tables

__all__ = ["MAX_TABLES_BYTES", "UnsafeChange", "unsafe_changes", "validate"]

# Store values may be up to 1 MB.
MAX_TABLES_BYTES = 1_000_000
MAX_METADATA_CHARACTERS = 500


@attrs.frozen(order=True)
class UnsafeChange:
    """A change that needs the operator's confirmation, or that is never accepted."""

    table: str
    row: str
    column: str
    change: str
    reason: str
    confirmable: bool

    def __str__(self) -> str:
        place = " ".join(part for part in (self.table, self.row, self.column) if part)
        advice = "needs confirmation" if self.confirmable else "never accepted"
        return f"{place}: {self.change} ({advice}): {self.reason}"


def _column_findings(table: str, row: Route | Pool) -> Iterator[Finding]:
    for attribute in attrs.fields(type(row)):
        value_type, value = value_type_of(attribute), getattr(row, attribute.name)
        try:
            value_type.convert(value)
        except ValueError:
            yield Finding(
                table, str(row.name), attribute.name, value_type.describe(value), value_type.allowed
            )


def _duplicate_findings(table: str, rows: tuple) -> Iterator[Finding]:
    for name, count in Counter(row.name for row in rows).items():
        if count > 1:
            yield Finding(table, name, "name", f"{count} rows with this name", "1 row per name")


def _missing_pool_findings(routes: tuple[Route, ...], names: list[str]) -> Iterator[Finding]:
    shown = ", ".join(names[:20]) + (", ..." if len(names) > 20 else "")
    for route in routes:
        if route.pool not in names:
            allowed = f"a pool of the pools table: {shown or 'it is empty'}"
            yield Finding("routes", route.name, "pool", repr(route.pool), allowed)


def _shadowed_route_findings(routes: tuple[Route, ...]) -> Iterator[Finding]:
    # Only a route on the same or a parent path can shadow another, so each has few candidates.
    by_prefix: dict[str, list[Route]] = {}
    for route in routes:
        by_prefix.setdefault(route.path_prefix.rstrip("/"), []).append(route)
    for route in routes:
        parts = route.path_prefix.rstrip("/").split("/")
        parents = ("/".join(parts[:count]) for count in range(1, len(parts) + 1))
        for other in chain.from_iterable(by_prefix.get(parent, ()) for parent in parents):
            if other is not route and other.shadows(route):
                found = f"{route.path_prefix!r} with priority {route.priority}"
                allowed = (
                    f"a prefix and priority that route {other.name} "
                    f"({other.path_prefix!r}, priority {other.priority}) does not shadow"
                )
                yield Finding("routes", route.name, "path_prefix", found, allowed)


def _pool_findings(pool: Pool, retired: dict[str, int]) -> Iterator[Finding]:
    if pool.buckets < pool.groups:
        allowed = f"at least one per group, {pool.groups}"
        yield Finding("pools", pool.name, "buckets", str(pool.buckets), allowed)
    if not pool.imbalance_weight + pool.churn_weight + pool.unavailable_weight > 0:
        allowed = "at least one of the three weights above 0"
        yield Finding("pools", pool.name, "imbalance_weight", "all weights 0", allowed)
    if retired.get(pool.name, pool.buckets) != pool.buckets:
        allowed = f"{retired[pool.name]}, the count when a pool of this name was removed"
        yield Finding("pools", pool.name, "buckets", str(pool.buckets), allowed)


def _table_findings(tables: Tables) -> Iterator[Finding]:
    for name, rows, limit in (
        ("routes", tables.routes, MAX_ROUTES),
        ("pools", tables.pools, MAX_POOLS),
    ):
        if len(rows) > limit:
            yield Finding(name, "", "", f"{len(rows)} rows", f"at most {limit}")
    for column in ("author", "note", "edit_id", "edited_at"):
        text = getattr(tables, column)
        if len(text) > MAX_METADATA_CHARACTERS or not text.isprintable():
            allowed = f"at most {MAX_METADATA_CHARACTERS} printable characters on one line"
            yield Finding("tables", "", column, ascii(text)[:80], allowed)
    size_bytes = len(encode(tables))
    if size_bytes >= MAX_TABLES_BYTES:
        allowed = f"less than {MAX_TABLES_BYTES} bytes"
        yield Finding("tables", "", "", f"{size_bytes} bytes", allowed)


def validate(tables: Tables, declared_pools: Iterable[str] = ()) -> tuple[Finding, ...]:
    """Return all faults of the tables, ordered by table, row and column.

    `declared_pools` adds the names of pools whose rows may not be readable, so that routes to them
    are not reported as naming a missing pool.
    """
    findings: list[Finding] = []
    valid_rows: dict[str, list] = {"routes": [], "pools": []}
    for table, rows in (("routes", tables.routes), ("pools", tables.pools)):
        for row in rows:
            row_findings = list(_column_findings(table, row))
            findings.extend(row_findings)
            if not row_findings:
                valid_rows[table].append(row)
    # Rules that compare several columns rely on the type of each column.
    valid_tables = attrs.evolve(
        tables, routes=tuple(valid_rows["routes"]), pools=tuple(valid_rows["pools"])
    )
    names = {str(pool.name) for pool in tables.pools} | set(declared_pools)
    other_findings = chain(
        _duplicate_findings("routes", valid_tables.routes),
        _duplicate_findings("pools", valid_tables.pools),
        _missing_pool_findings(valid_tables.routes, sorted(names)),
        _shadowed_route_findings(valid_tables.routes),
        chain.from_iterable(_pool_findings(pool, tables.retired) for pool in valid_tables.pools),
        _table_findings(valid_tables),
    )
    return tuple(sorted([*findings, *other_findings]))


def _unsafe_pool_changes(old: Pool, new: Pool) -> Iterator[UnsafeChange]:
    if old.buckets != new.buckets:
        change = f"{old.buckets} -> {new.buckets}"
        reason = "keys would hash to other buckets and could have two owners; add a new pool"
        yield UnsafeChange("pools", new.name, "buckets", change, reason, False)
    if old.groups_per_data_centre > new.groups_per_data_centre:
        change = f"{old.groups_per_data_centre} -> {new.groups_per_data_centre}"
        reason = "buckets of the removed groups have no owner until they are released"
        yield UnsafeChange("pools", new.name, "groups_per_data_centre", change, reason, True)
    if gone := [name for name in old.data_centres if name not in new.data_centres]:
        change = f"removes {', '.join(gone)}"
        reason = "buckets of the groups there have no owner until they are released"
        yield UnsafeChange("pools", new.name, "data_centres", change, reason, True)


def _unsafe_route_changes(old: Route, new: Route) -> Iterator[UnsafeChange]:
    reasons = {
        "pool": "owners in the old pool keep running requests for the same keys",
        "key_source": "requests for the same item would get another key, and another owner",
    }
    for column, reason in reasons.items():
        before, after = getattr(old, column), getattr(new, column)
        if before != after:
            yield UnsafeChange("routes", new.name, column, f"{before} -> {after}", reason, True)
    if new.idempotent and not old.idempotent:
        reason = "requests with an unknown outcome would be sent again"
        yield UnsafeChange("routes", new.name, "idempotent", "false -> true", reason, True)


def unsafe_changes(old: Tables, new: Tables) -> tuple[UnsafeChange, ...]:
    """Return the changes that are unsafe while requests are served, ordered by table and row."""
    changes: list[UnsafeChange] = []
    for pool in old.pools:
        after = new.pool(pool.name)
        if after is not None:
            changes.extend(_unsafe_pool_changes(pool, after))
        else:
            reason = "requests in flight lose their pool"
            changes.append(UnsafeChange("pools", pool.name, "", "removed", reason, True))
    for route in old.routes:
        if (successor := new.route(route.name)) is not None:
            changes.extend(_unsafe_route_changes(route, successor))
    return tuple(sorted(changes))
