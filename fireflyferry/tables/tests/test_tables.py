"""Guards against bad tables that are accepted, in part or whole, and against unsafe edits."""

import attrs
import orjson
import pytest

from fireflyferry.messages import encode
from fireflyferry.tables import (
    EditError,
    InvalidTablesError,
    Pool,
    Route,
    Tables,
    add_row,
    change_row,
    diff_tables,
    format_tables,
    load_tables,
    next_revision,
    parse_tables,
    remove_row,
    unsafe_changes,
    validate,
)

POOL = Pool("janela", ("natal-1", "natal-2"), tenants={"agri": 2, "antenas": 1})
ROUTE = Route("w", "/w/", "janela", "path:0")
TABLES = Tables(3, (ROUTE,), (POOL,), "ana", "")


def places(findings):
    return {(each.table, each.row, each.column) for each in findings}


def test_tables_are_unchanged_after_writing_and_reading_a_file():
    assert parse_tables(format_tables(TABLES)).tables.pools == TABLES.pools
    assert parse_tables(format_tables(TABLES)).tables.routes == TABLES.routes
    assert parse_tables(format_tables(TABLES)).revision == 3


@pytest.mark.parametrize("share", [0.1, 1e-05, 0.123456789])
def test_numbers_are_unchanged_after_writing_and_reading_a_file(share):
    tables = attrs.evolve(TABLES, pools=(attrs.evolve(POOL, retry_share=share),))
    assert parse_tables(format_tables(tables)).tables.pools == tables.pools


def test_tables_are_unchanged_after_writing_and_reading_a_store_object():
    assert load_tables(encode(TABLES)) == TABLES


def test_all_findings_are_reported_at_once():
    text = """
[pool janela]
data_centres = natal-1
buckets = 0
colour = red
[pool janela]
[route a]
path_prefix = a
pool = missing
key_source = cookie:x
timeout_ms = soon
[route b]
path_prefix = /b
pool = missing
key_source = path:0
[strange]
"""
    with pytest.raises(InvalidTablesError) as caught:
        parse_tables(text)
    assert places(caught.value.findings) == {
        ("file", "", ""),
        ("file", "[strange]", ""),
        ("pools", "janela", "buckets"),
        ("pools", "janela", "colour"),
        ("routes", "a", "path_prefix"),
        ("routes", "a", "key_source"),
        ("routes", "a", "timeout_ms"),
        ("routes", "b", "pool"),
    }
    assert "found '0', allowed: a whole number from 1 to 16384" in str(caught.value)


@pytest.mark.parametrize(
    "first, second, shadowed",
    [
        (("/w/", 0), ("/w", 0), True),
        (("/w/", 1), ("/w/x/", 0), True),
        (("/", 1), ("/w/x", 0), True),
        (("/w/", 0), ("/w/x/", 0), False),
        (("/w", 5), ("/ws", 0), False),
        (("/w/x/", 5), ("/w/", 0), False),
    ],
)
def test_route_that_no_request_can_reach_is_reported(first, second, shadowed):
    routes = tuple(
        attrs.evolve(ROUTE, name=name, path_prefix=prefix, priority=priority)
        for name, (prefix, priority) in (("a", first), ("b", second))
    )
    findings = validate(attrs.evolve(TABLES, routes=routes))
    assert (("routes", "b", "path_prefix") in places(findings)) == shadowed


def test_tables_over_the_size_of_a_store_value_are_refused():
    routes = tuple(attrs.evolve(ROUTE, name=f"r{n}", path_prefix=f"/r{n}") for n in range(9000))
    findings = validate(attrs.evolve(TABLES, routes=routes))
    assert [each.allowed for each in findings] == ["less than 1000000 bytes"]


@pytest.mark.parametrize(
    "path, value",
    [
        (("revision",), -1),
        (("revision",), True),
        (("routes",), {}),
        (("routes", 0), 7),
        (("routes", 0, "timeout_ms"), "2000"),
        (("routes", 0, "idempotent"), 1),
        (("pools", 0, "retry_share"), float("1e300")),
        (("pools", 0, "tenants"), {"a": 0}),
        (("pools", 0, "data_centres"), ["natal-1", "natal-1"]),
        (("note",), "two\nlines"),
        (("retired",), {"janela": 8}),
    ],
)
def test_malformed_store_object_is_refused_as_a_whole(path, value):
    raw = orjson.loads(encode(TABLES))
    part = raw
    for step in path[:-1]:
        part = part[step]
    part[path[-1]] = value
    with pytest.raises(InvalidTablesError):
        load_tables(orjson.dumps(raw))


def test_column_of_a_newer_version_is_ignored_in_the_store():
    raw = orjson.loads(encode(TABLES))
    raw["routes"][0]["added_later"] = 1
    assert load_tables(orjson.dumps(raw)) == TABLES


@pytest.mark.parametrize(
    "changes, column, confirmable",
    [
        ({"buckets": 8192}, "buckets", False),
        ({"data_centres": ("natal-1",)}, "data_centres", True),
    ],
)
def test_unsafe_pool_change_is_reported(changes, column, confirmable):
    found = unsafe_changes(TABLES, change_row(TABLES, "pools", "janela", changes))
    assert [(each.column, each.confirmable) for each in found] == [(column, confirmable)]


@pytest.mark.parametrize("changes", [{"key_source": "query:k"}, {"idempotent": True}])
def test_unsafe_route_change_is_reported(changes):
    found = unsafe_changes(TABLES, change_row(TABLES, "routes", "w", changes))
    assert [each.column for each in found] == list(changes)


def test_removed_pool_cannot_return_with_other_buckets():
    empty = remove_row(remove_row(TABLES, "routes", "w"), "pools", "janela")
    removed = next_revision(TABLES, empty, "ana", "")
    back = next_revision(removed, add_row(removed, "pools", POOL), "ana", "")
    other = add_row(removed, "pools", attrs.evolve(POOL, buckets=99))
    assert not validate(back)
    assert places(validate(next_revision(removed, other, "ana", ""))) == {
        ("pools", "janela", "buckets")
    }


def test_edit_that_does_not_fit_the_rows_is_refused():
    for edit in (
        lambda: add_row(TABLES, "routes", ROUTE),
        lambda: change_row(TABLES, "routes", "x", {"priority": 1}),
        lambda: change_row(TABLES, "routes", "w", {"name": "x"}),
        lambda: remove_row(TABLES, "pools", "x"),
    ):
        with pytest.raises(EditError):
            edit()


def test_difference_gives_row_and_column():
    edited = change_row(TABLES, "routes", "w", {"timeout_ms": 5})
    assert [str(each) for each in diff_tables(TABLES, edited)] == [
        "~ routes w timeout_ms: 2000 -> 5"
    ]
    gone = diff_tables(TABLES, remove_row(TABLES, "routes", "w"))
    assert "- routes w pool: janela" in map(str, gone)
