"""Route matching, key extraction, buckets and units."""

from fireflyferry.routing.keys import decode_header_text, encode_header_text, extract_key
from fireflyferry.routing.match import RouteTable
from fireflyferry.routing.units import bucket_of, bucket_unit, key_unit, unit_of

__all__ = [
    "RouteTable",
    "bucket_of",
    "bucket_unit",
    "decode_header_text",
    "encode_header_text",
    "extract_key",
    "key_unit",
    "unit_of",
]
