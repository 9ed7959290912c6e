"""Tests of route matching, key extraction, buckets and units."""

import hypothesis.strategies as st
import pytest
import xxhash
from hypothesis import given

from fireflyferry.routing import (
    RouteTable,
    bucket_of,
    decode_header_text,
    encode_header_text,
    extract_key,
    unit_of,
)
from fireflyferry.tables import Route, Tables

ROUTES = RouteTable(
    Tables(
        3,
        (
            Route("root", "/", "a", "path:0"),
            Route("api", "/api", "a", "path:1"),
            Route("deep", "/api/deep/", "a", "query:k"),
            Route("first", "/api/deep/er", "a", "header:K", priority=-1),
        ),
    )
)


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/", "root"),
        ("/apix", "root"),
        ("/api", "api"),
        ("/api/x", "api"),
        ("/api/deep", "api"),
        ("/api/deep/", "deep"),
        ("/api/deep/er/x", "deep"),
    ],
)
def test_match_takes_priority_then_longest_prefix_at_a_segment_boundary(path, name):
    """Guards against a request that is routed to the wrong pool."""
    assert ROUTES.match(path).name == name


def test_path_without_route_does_not_match():
    """Guards against a default route that nobody configured."""
    assert RouteTable(Tables(1, (Route("a", "/a", "a", "path:0"),))).match("/b") is None


@pytest.mark.parametrize(
    ("source", "path", "query", "key"),
    [
        ("path:0", "/api/a%2Fb/c", "", "a/b"),
        ("path:1", "/api/a/c", "", "c"),
        ("path:2", "/api/a/c", "", None),
        ("path:0", "/api", "", None),
        ("path:0", "/api//c", "", None),
        ("query:k", "/api", "x=1&k=a+b%26&k=2", "a b&"),
        ("query:k", "/api", "k=", None),
        ("query:k", "/api", "kk=1", None),
        ("header:K", "/api", "", "h"),
        ("header:Other", "/api", "", None),
    ],
)
def test_key_extraction(source, path, query, key):
    """Guards against two spellings of one key that get different owners."""
    route = Route("api", "/api", "a", source)
    assert extract_key(route, path, query, {"K": "h"}) == key


@given(st.text(st.characters(exclude_categories=["Cs"])))
def test_header_text_round_trip(text):
    """Guards against keys that are changed in a header or break its line."""
    encoded = encode_header_text(text)
    assert decode_header_text(encoded) == text
    assert all(0x21 <= ord(char) <= 0x7E for char in encoded)


def test_bucket_and_unit():
    """Guards against a change of the hash, which would move every key."""
    assert bucket_of("natal", 4096) == xxhash.xxh3_64_intdigest(b"natal") % 4096
    bucket = bucket_of("natal", 64)
    assert unit_of("natal", 64) == f"b:{bucket}"
    assert unit_of("natal", 64, {"natal"}) == f"k:{bucket}:natal"
