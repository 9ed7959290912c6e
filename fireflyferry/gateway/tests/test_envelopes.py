"""Envelopes of forwarded requests: contents survive, damage is noticed, heads are short."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fireflyferry.gateway.envelopes import Envelope, EnvelopeCodec, EnvelopeError
from fireflyferry.gateway.tests.support import HEADER_NAMES

CODEC = EnvelopeCodec(HEADER_NAMES)
TEXT = st.text(st.characters(min_codepoint=33, max_codepoint=255), min_size=1)
NAMES = st.text(st.sampled_from("abcXYZ-"), min_size=1)


@given(TEXT, TEXT, st.lists(st.tuples(NAMES, st.one_of(st.just(""), TEXT))), st.binary())
def test_contents_survive(summary, start, headers, body):
    envelope = Envelope(summary, start, headers, body)
    assert CODEC.unpack(CODEC.pack(envelope)) == envelope


@given(st.binary(max_size=200))
def test_any_bytes_are_unpacked_or_rejected(data):
    """Guards against a malformed message that ends a process."""
    try:
        CODEC.unpack(data)
    except EnvelopeError:
        return


def test_envelope_that_was_cut_short_is_rejected():
    data = CODEC.pack(Envelope("s", "GET /", [("Host", "h")], b""))
    for end in range(len(data)):
        with pytest.raises(EnvelopeError):
            CODEC.unpack(data[:end])


def test_head_that_expands_without_end_is_rejected():
    """Guards against a small message that fills the memory of a VM."""
    data = CODEC.pack(Envelope("s", "GET /" + "a" * (1 << 20), [], b""))
    assert len(data) < 4096
    with pytest.raises(EnvelopeError):
        CODEC.unpack(data)


def test_head_of_a_usual_request_shrinks_by_a_third():
    """Guards against heads that are a third of the bytes between regions.

    Load pattern: small requests for keys whose owners are in other regions.
    """
    headers = [
        ("Host", "shop-20.example"),
        ("User-Agent", "client/1.9.3"),
        ("Accept", "*/*"),
        ("Accept-Encoding", "identity"),
        (HEADER_NAMES.request_id, "022e9240ea48536c"),
        ("Cookie", "lang=en; session=a77c"),
        (HEADER_NAMES.key, "17230"),
    ]
    summary = "i-4cd83938ef 1789884872596 windows 17230 1 2 2 0 - 208 22 800"
    envelope = Envelope(summary, "GET /windows/lo79/bd0c/d154", headers, b"")
    plain_bytes = len(summary) + sum(len(name) + len(value) + 4 for name, value in headers) + 40
    assert len(CODEC.pack(envelope)) < 0.65 * plain_bytes
