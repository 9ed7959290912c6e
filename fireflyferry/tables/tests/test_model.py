"""Guards against table rows that change when they are encoded and key sources that are misread."""

import pytest

from fireflyferry.messages import decode, encode
from fireflyferry.tables import Pool, Route, Tables, parse_key_source


def test_tables_are_unchanged_after_encoding_and_decoding():
    tables = Tables(
        7,
        (Route("w", "/w/", "janela", "path:0", idempotent=True),),
        (Pool("janela", ("natal-1",), tenants={"agri": 2}),),
        "ana",
        "first",
    )
    assert decode(encode(tables), Tables) == tables


@pytest.mark.parametrize("text", ["", "path", "path:", "path:-1", "path:²", "cookie:a", "header:"])
def test_bad_key_source_is_refused(text):
    with pytest.raises(ValueError, match=r"key source|path index"):
        parse_key_source(text)
