"""Guards against tables whose check ends in an unexpected error instead of findings."""

import attrs
import orjson
import pytest

from fireflyferry.messages import encode
from fireflyferry.tables import InvalidTablesError, Pool, Route, Tables, load_tables

TABLES = Tables(2, (Route("w", "/w/", "janela", "path:0"),), (Pool("janela", ("natal-1",)),))
NESTED = orjson.loads("[" * 1000 + "]" * 1000)
DEEP_OBJECT = orjson.loads('{"a":' * 1000 + "1" + "}" * 1000)


# Guards against a VM or an operator's program that ends on tables of another writer.
@pytest.mark.parametrize(
    "odd", [NESTED, DEEP_OBJECT, 2.0**70, float("inf"), -(10**6), None, "雪\r\n,"]
)
@pytest.mark.parametrize(
    ("table", "column"),
    [
        *(("routes", each.name) for each in attrs.fields(Route)),
        *(("pools", each.name) for each in attrs.fields(Pool)),
        *((each, None) for each in ("revision", "retired", "routes", "pools")),
        *((each, 0) for each in ("routes", "pools")),
    ],
)
def test_odd_value_in_tables_is_a_finding(monkeypatch, table, column, odd):
    raw = orjson.loads(encode(TABLES))
    if column is None:
        raw[table] = odd
    elif column == 0:
        raw[table][0] = odd
    else:
        raw[table][0][column] = odd
    # The value is put in place after decoding, since orjson encodes fewer levels than it decodes.
    monkeypatch.setattr(orjson, "loads", lambda _: raw)
    with pytest.raises(InvalidTablesError) as caught:
        load_tables(b"")
    assert all(len(str(each)) < 1000 for each in caught.value.findings)
