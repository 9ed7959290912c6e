"""Owner tables in the store: what was written is read, and damaged tables are turned down."""

import copy

import pytest

from fireflyferry.gateway import documents
from fireflyferry.gateway.edges import Document, UnreadableDocumentError
from fireflyferry.keyranges import OwnedRange, OwnerTable, UpstreamRun

A, B = UpstreamRun("a", 1), UpstreamRun("b", 2)
TABLE = OwnerTable(
    "pool", 3, 9, (OwnedRange(0, 99, A, 4, (B,)), OwnedRange(100, 65_535, B, 9, (), True))
)


def read(content):
    return documents.read_table(Document("pool", 7, content))


def test_stored_table_is_read_back():
    assert read(documents.table_content(TABLE)) == TABLE


@pytest.mark.parametrize(
    ("position", "value"),
    [
        (0, "0"),
        (0, 1),
        (0, True),
        (1, 2),
        (1, -1),
        (1, None),
        (2, 10),
        (2, 1.5),
        (3, 1),
        (4, [5]),
        (4, [-1]),
        (4, "b"),
    ],
)
def test_damaged_range_is_turned_down(position, value):
    """Guards against keys without an owner, or an unexpected error, after a damaged write."""
    content = copy.deepcopy(documents.table_content(TABLE))
    rows = [list(row) for row in content["ranges"]]
    rows[0][position] = value
    with pytest.raises(UnreadableDocumentError):
        read({**content, "ranges": rows})


@pytest.mark.parametrize("rows", [[], [[]], ["x"], [None], [[0, 0, 1, True, [], 1]], None])
def test_damaged_list_of_ranges_is_turned_down(rows):
    content = documents.table_content(TABLE)
    with pytest.raises(UnreadableDocumentError):
        read({**content, "ranges": rows})
