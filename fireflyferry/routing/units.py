"""Buckets and units of keys."""

from collections.abc import Container

import xxhash

__all__ = ["bucket_of", "bucket_unit", "key_unit", "unit_of"]


def bucket_of(key: str, buckets: int) -> int:
    """Return the bucket that a key is hashed to."""
    return xxhash.xxh3_64_intdigest(key.encode("utf-8", "surrogateescape")) % buckets


def bucket_unit(bucket: int) -> str:
    """Return the unit id of a bucket."""
    return f"b:{bucket}"


def key_unit(bucket: int, key: str) -> str:
    """Return the unit id of a single key that is split from its bucket."""
    return f"k:{bucket}:{key}"


def unit_of(key: str, buckets: int, split_keys: Container[str] = ()) -> str:
    """Return the unit id of a key; `split_keys` are units of their own outside their buckets."""
    bucket = bucket_of(key, buckets)
    return key_unit(bucket, key) if key in split_keys else bucket_unit(bucket)
